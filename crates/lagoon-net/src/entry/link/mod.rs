//! Exchanges load, rate limit usage and leaving marks between the data path and its steward.
//!
//! A leaving mark says whether an incarnation of an upstream is leaving and gets no new work.
//! Requests never wait for this link: loads and usage are collected and sent by a timer.

use std::collections;
use std::sync;
use std::sync::atomic;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::leaving;
use lagoonline::load::limit;
use lagoonline::port::engine;

use super::settings;
use super::state;
use crate::link;
use crate::wire;

/// Interval of the reports to the steward.
const REPORT_INTERVAL: clock::Span = clock::Span::from_millis(250);
/// Ticks between spending reports of a host that admits no requests. Such a report has no lines,
/// and the steward does not pass it on.
const IDLE_REPORT_TICKS: u64 = 4;

/// The data path's side of the link.
#[derive(Debug, Default)]
pub(crate) struct Link {
    handle: Option<link::Handle>,
    /// Whether the steward has confirmed that the sections are the newest available; never reset.
    complete: atomic::AtomicBool,
    observed: sync::Mutex<Observed>,
    marks: sync::Mutex<leaving::Marks>,
}

#[derive(Debug, Default)]
struct Observed {
    /// Loads since the last report.
    loads: collections::HashMap<id::Upstream, engine::LoadReport>,
    /// Last known incarnation of each upstream.
    incarnations: collections::HashMap<id::Upstream, u64>,
}

impl Link {
    /// Opens the link to the configured steward. Without a steward the link sends and receives
    /// nothing.
    pub(crate) fn open(
        settings: &settings::Settings,
        incarnation: id::Incarnation,
    ) -> (Link, Option<link::Task>) {
        let Some(steward) = settings.steward else {
            return (Link { complete: true.into(), ..Link::default() }, None);
        };
        let (handle, task) = link::open(link::Settings {
            steward,
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            incarnation,
            key: settings.key.clone(),
            ..link::Settings::default()
        });
        (Link { handle: Some(handle), ..Link::default() }, Some(task))
    }

    /// Returns whether the steward has confirmed that the sections in force are the newest ones
    /// available.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete.load(atomic::Ordering::Acquire)
    }

    /// Returns the time since the last message of the steward; `None` without a steward or before
    /// its first message.
    pub(crate) fn view_age(&self) -> Option<clock::Span> {
        self.handle.as_ref()?.view_age()
    }

    fn observed(&self) -> sync::MutexGuard<'_, Observed> {
        self.observed.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Records a load that came with a response, for the next report.
    pub(crate) fn record_load(&self, upstream: &id::Upstream, load: &engine::LoadReport) {
        if self.handle.is_none() {
            return;
        }
        let mut observed = self.observed();
        observed.incarnations.insert(upstream.clone(), load.incarnation);
        observed.loads.insert(upstream.clone(), *load);
    }

    /// Reports an upstream that refused work because it is leaving. This is sent at once, so that
    /// other hosts stop using it too.
    pub(crate) fn report_leaving(&self, upstream: &id::Upstream) {
        let observed = self.observed().incarnations.get(upstream).copied();
        let incarnation = self.record_refusal(upstream, observed.map(id::Incarnation)).0;
        let Some(handle) = &self.handle else { return };
        handle.mark(wire::Mark { upstream: upstream.to_string(), incarnation, leaving: true });
    }

    /// Records a refusal. Returns the incarnation that it applies to, 0 when none is known.
    fn record_refusal(
        &self,
        upstream: &id::Upstream,
        observed: Option<id::Incarnation>,
    ) -> id::Incarnation {
        let mut marks = self.marks();
        if let Some(incarnation) = observed {
            marks.merge(upstream, leaving::Mark { incarnation, leaving: false });
        }
        marks.record_refusal(upstream);
        marks.mark(upstream).unwrap_or_default().incarnation
    }

    /// Merges a mark. Returns whether the upstream is leaving, or `None` if nothing changed.
    ///
    /// Guards against a steward that did not record this host's refusal, for example after a
    /// restart, and reports the upstream as live: a leaving upstream would get new work again.
    fn merge(&self, upstream: &id::Upstream, mark: leaving::Mark) -> Option<bool> {
        let mut marks = self.marks();
        marks.merge(upstream, mark)?;
        Some(marks.is_leaving(upstream))
    }

    fn marks(&self) -> sync::MutexGuard<'_, leaving::Marks> {
        self.marks.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sends the loads recorded since the last report.
    fn flush_loads(&self, handle: &link::Handle) {
        let loads = std::mem::take(&mut self.observed().loads);
        if !loads.is_empty() {
            // The age of 0 ignores the wait for this report, which is at most one interval.
            handle
                .loads(loads.iter().map(|(name, load)| wire::encode_load(name, load, 0)).collect());
        }
    }
}

/// Reports to the steward until the process ends.
pub(crate) async fn report(state: sync::Arc<state::State>) {
    let Some(handle) = state.link.handle.clone() else { return };
    let mut ticks = 0;
    let mut sequence = 0;
    loop {
        let phase = state.phase();
        handle.report(link::State {
            ready: state.is_ready(),
            draining: phase > state::Phase::Serving,
            in_flight: state.active() as u64,
            in_force: state.view().fleet.versions.clone(),
        });
        state.link.flush_loads(&handle);
        let usages = state.rate_limits().take_report();
        if !usages.is_empty() || ticks % IDLE_REPORT_TICKS == 0 {
            sequence += 1;
            handle.spending(spending_report(&state, &usages, sequence));
        }
        ticks += 1;
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Builds the report of the requests and tokens that were admitted since the last one. On the wire,
/// the usage of customers' rate limits is called spending.
fn spending_report(state: &state::State, usages: &[limit::Usage], sequence: u64) -> wire::Spending {
    let line = |usage: &limit::Usage| wire::Spend {
        customer: usage.customer.to_string(),
        requests: usage.requests,
        tokens: usage.tokens,
    };
    wire::Spending {
        host: state.settings.host.to_string(),
        span_ms: u64::try_from(REPORT_INTERVAL.as_millis()).unwrap_or(u64::MAX),
        lines: usages.iter().map(line).collect(),
        sequence,
    }
}

/// Merges a mark and applies the change to the queues and replicas.
fn mark(state: &state::State, upstream: &id::Upstream, mark: leaving::Mark) {
    if let Some(leaving) = state.link.merge(upstream, mark) {
        state.set_leaving(upstream, leaving);
    }
}

/// Applies the steward's updates to the shared state.
pub(crate) struct Sink(pub(crate) sync::Arc<state::State>);

impl link::Sink for Sink {
    fn apply(&mut self, update: link::Update) {
        let state = &self.0;
        match update {
            link::Update::Fleet { fleet, complete } => {
                state.install_fleet(fleet);
                state.link.complete.fetch_or(complete, atomic::Ordering::AcqRel);
            }
            link::Update::Loads(loads) => {
                let view = state.view();
                for load in &loads {
                    let upstream = id::Upstream::from(load.upstream.as_str());
                    let load = wire::decode_load(load);
                    view.queues.values().for_each(|queue| queue.observe(&upstream, &load));
                    let incarnation = id::Incarnation(load.incarnation);
                    mark(state, &upstream, leaving::Mark { incarnation, leaving: false });
                    state.link.observed().incarnations.insert(upstream, load.incarnation);
                }
            }
            link::Update::Marks(marks) => {
                for line in &marks {
                    let incarnation = id::Incarnation(line.incarnation);
                    let upstream = id::Upstream::from(line.upstream.as_str());
                    mark(state, &upstream, leaving::Mark { incarnation, leaving: line.leaving });
                }
            }
            link::Update::Drain => state.advance(state::Phase::Unready),
            link::Update::Spending(spending) => {
                let usage = |line: &wire::Spend| limit::Usage {
                    customer: id::Customer::from(line.customer.as_str()),
                    requests: line.requests,
                    tokens: line.tokens,
                };
                let usages: Vec<_> = spending.lines.iter().map(usage).collect();
                state.rate_limits().apply_report(state.clock.now(), &usages);
            }
        }
    }
}

#[cfg(test)]
mod tests;

//! Placement on upstreams that are cold; see [`cold`] for their permits.

use super::{Placer, UpstreamState};
use crate::clock;
use crate::id;
use crate::load::cold;
use crate::routing;

/// A cold upstream as this host limits its requests, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdUpstream {
    /// The upstream.
    pub upstream: id::Upstream,
    /// When its lifetime began, as [`routing::Registration::started_ms`].
    pub started_ms: u64,
    /// Until when it is cold.
    pub until: clock::Moment,
    /// By what it is known to be cold.
    pub source: cold::Source,
    /// Permits left; negative for a debt.
    pub permits: f64,
    /// What the last answer said, if that is the source.
    pub last: Option<cold::Observation>,
}

/// What is known of the service's cold upstreams as a whole.
#[derive(Clone, Debug)]
pub(super) struct ColdState {
    /// How requests to cold upstreams are limited; `None` if the service asks for nothing.
    plan: Option<cold::Plan>,
    /// Share of the permits that this host counts on.
    share: f64,
    /// Whether a list of upstreams has been taken, so that others are new.
    is_listed: bool,
    /// Upstreams whose cold time is over, until they are taken for the log.
    warmed: Vec<id::Upstream>,
}

impl Default for ColdState {
    fn default() -> Self {
        ColdState { plan: None, share: 1.0, is_listed: false, warmed: Vec::new() }
    }
}

impl Placer {
    /// Takes what the service asks for its cold upstreams, and what the entries set last name, as
    /// far as that is new. Without `cold_start` no upstream is cold. Returns the upstreams for which
    /// that changed anything.
    pub fn update_cold(
        &mut self,
        cold_start: Option<routing::ColdStart>,
        bound: cold::Bound,
        now: clock::Moment,
    ) -> Vec<(id::Upstream, cold::Change)> {
        self.cold.plan = cold_start.map(|cold_start| cold::Plan::new(cold_start, bound));
        let ColdState { plan, share, is_listed, .. } = self.cold;
        let mut changes = Vec::new();
        for state in self.upstreams.values_mut() {
            let remaining = state.entry().cold;
            let change = match &plan {
                Some(plan) => state.cold_mut().observe_entry(remaining, is_listed, plan, now),
                None => state.cold_mut().reset(),
            };
            state.set_cold_share(share, now);
            changes.extend(change.map(|change| (state.entry().upstream.clone(), change)));
        }
        self.cold.is_listed |= !self.upstreams.is_empty();
        changes
    }

    /// Records what an answer of `upstream` in the lifetime that began at `started_ms` says of its
    /// being cold. An answer of another lifetime has no effect, nor has any if the service asks for
    /// nothing.
    pub fn observe_cold(
        &mut self,
        upstream: &id::Upstream,
        started_ms: u64,
        answer: &cold::Observation,
        now: clock::Moment,
    ) -> Option<cold::Change> {
        let plan = self.cold.plan?;
        let state = self.upstreams.get_mut(upstream)?;
        if state.entry().started_ms != started_ms {
            return None;
        }
        let change = state.cold_mut().observe_answer(answer, &plan, now);
        state.set_cold_share(self.cold.share, now);
        change
    }

    /// Sets the share of the permits of cold upstreams that this host counts on, from 0 to 1: 0 for
    /// a host that is not told of the requests of others.
    pub fn set_cold_share(&mut self, share: f64, now: clock::Moment) {
        self.cold.share = share;
        for state in self.upstreams.values_mut() {
            state.set_cold_share(share, now);
        }
    }

    /// Whether the service limits the requests to its cold upstreams.
    pub(super) fn has_cold_start(&self) -> bool {
        self.cold.plan.is_some()
    }

    /// Whether any upstream is cold.
    pub fn has_cold(&self) -> bool {
        self.cold.plan.is_some() && self.upstreams.values().any(UpstreamState::is_cold)
    }

    /// Whether this upstream is cold.
    pub fn is_cold(&self, upstream: &id::Upstream) -> bool {
        self.upstreams.get(upstream).is_some_and(UpstreamState::is_cold)
    }

    /// Time since an answer last said that `upstream` is cold; `None` if no answer did.
    pub fn cold_age(&self, upstream: &id::Upstream, now: clock::Moment) -> Option<clock::Span> {
        let last = self.upstreams.get(upstream)?.cold().observation()?;
        Some(now.since(last.seen))
    }

    /// The cold upstreams.
    pub fn cold_upstreams(&self) -> impl Iterator<Item = ColdUpstream> {
        self.upstreams.values().filter_map(|state| {
            Some(ColdUpstream {
                upstream: state.entry().upstream.clone(),
                started_ms: state.entry().started_ms,
                until: state.cold().until()?,
                source: state.cold().source()?,
                permits: state.cold().permits()?.bucket().level(),
                last: state.cold().observation(),
            })
        })
    }

    /// Ends the cold times that are over, and returns the upstreams whose time has ended since the
    /// last call.
    pub fn expire_cold(&mut self, now: clock::Moment) -> Vec<id::Upstream> {
        self.end_cold_times(now);
        std::mem::take(&mut self.cold.warmed)
    }

    /// Ends the cold times that are over.
    fn end_cold_times(&mut self, now: clock::Moment) {
        for state in self.upstreams.values_mut() {
            if state.cold_mut().expire(now).is_some() {
                self.cold.warmed.push(state.entry().upstream.clone());
            }
        }
    }

    /// Fills the permits of cold upstreams, and closes those without one for this host.
    pub(super) fn update_cold_permits(&mut self, now: clock::Moment) {
        let Some(plan) = self.cold.plan else { return };
        self.end_cold_times(now);
        let hosts = self.waitlist.placing_hosts();
        for state in self.upstreams.values_mut() {
            state.update_cold_permits(&plan, &self.turns, hosts, now);
        }
    }

    /// Counts the choice of `placement` at this host where its upstreams are cold.
    pub(super) fn record_choice(&mut self, placement: &super::Placement, now: clock::Moment) {
        if !self.has_cold_start() {
            return;
        }
        let helpers = placement.helpers.iter().map(|helper| &helper.entry);
        for entry in std::iter::once(&placement.primary).chain(helpers) {
            if let Some(state) = self.upstreams.get_mut(&entry.upstream) {
                state.record_choice(now);
            }
        }
    }

    /// Takes another permit for a request that was not sent soon after its placement, which counted
    /// it in an earlier second. Returns whether it may be sent: its upstream is not cold, or there
    /// was a permit.
    pub fn renew_cold_permit(&mut self, upstream: &id::Upstream, now: clock::Moment) -> bool {
        self.update_cold_permits(now);
        let Some(state) = self.upstreams.get_mut(upstream).filter(|state| state.is_cold()) else {
            return true;
        };
        let lead = self.turns.lead(upstream, now);
        let permits = state.cold().permits();
        let has_permit = permits.is_some_and(|permits| permits.has_permit(lead));
        if has_permit {
            state.take_permit(now);
            state.record_choice(now);
        }
        has_permit
    }

    /// Time until the first of `usable` is warm; `None` if none is cold.
    pub(super) fn time_until_warm(
        usable: &[&UpstreamState],
        now: clock::Moment,
    ) -> Option<clock::Span> {
        let ends = usable.iter().filter(|state| !state.is_limited());
        ends.filter_map(|state| state.cold().until()).min().map(|end| end.since(now))
    }
}

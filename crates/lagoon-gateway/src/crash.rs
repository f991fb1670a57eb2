//! Detection of upstream crashes when connections break.
//!
//! A connection can break for many reasons (reset, truncated answer, lost answer, a leaving
//! upstream), and only one of them is that the process behind it ended. So one connection to the
//! upstream is opened as a probe: it is refused if the process has ended, accepted if it is alive,
//! and times out if its host is down or unreachable.

use std::collections;
use std::fmt;
use std::sync;
use std::sync::atomic;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::lifecycle::{completeness, fingerprint, quarantine};
use lagoonline::routing;

use crate::event;
use crate::forward;
use crate::path;
use crate::state;

/// Timeout of a probe: some round trips between zones.
const PROBE_TIMEOUT: clock::Span = clock::Span::from_millis(350);

/// Time for an answer that is at hand to be delivered before its deadline.
const DELIVERY_TIME: clock::Span = clock::Span::from_millis(50);

/// Requests whose connections broke, by upstream, while that upstream is being probed.
#[derive(Debug, Default)]
pub(crate) struct BrokenRequests(
    sync::Mutex<collections::HashMap<id::Upstream, Vec<BrokenRequest>>>,
);

/// A request whose connection broke.
#[derive(Clone, Debug)]
pub(crate) struct BrokenRequest {
    /// Fingerprint of the request, which does not depend on its id.
    pub(crate) fingerprint: fingerprint::Fingerprint,
    /// Its customer and the shared parts of its prompt.
    pub(crate) prompt: quarantine::Prompt,
    /// Progress of the upstream with the request.
    pub(crate) progress: quarantine::Progress,
}

impl fmt::Display for BrokenRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ", self.fingerprint)?;
        match self.progress {
            quarantine::Progress::Unknown => f.write_str("under way"),
            quarantine::Progress::Waiting => f.write_str("before its answer"),
            quarantine::Progress::Answering { span, events } => {
                write!(f, "after {}ms and {events} events", span.as_millis())
            }
        }
    }
}

impl forward::Admitted {
    /// Records that the connection to `upstream` broke under this request, and probes the upstream.
    pub(crate) fn record_broken_connection(
        &self,
        upstream: &id::Upstream,
        progress: quarantine::Progress,
    ) {
        let (fingerprint, prompt) = (self.fingerprint(), self.prompt());
        if state::lock(&self.state.quarantine.inner).weight(progress).is_some() {
            self.was_at_crash.store(true, atomic::Ordering::Relaxed);
        }
        let request = BrokenRequest { fingerprint, prompt, progress };
        let mut broken = state::lock(&self.state.broken_requests.0);
        let requests = broken.entry(upstream.clone()).or_default();
        requests.push(request);
        let is_first = requests.len() == 1;
        drop(broken);
        if is_first {
            drop(ntex::rt::spawn(probe_upstream(
                self.state.clone(),
                self.service.clone(),
                upstream.clone(),
            )));
        }
    }
}

impl forward::Admitted {
    /// Probes whether the process that made the answer of `open` still runs. The result is unknown
    /// if the deadline is too close: the answer has to be delivered before it.
    pub(crate) async fn probe_process(&self, open: &forward::OpenAnswer) -> completeness::Process {
        let probing = probe_maker(&self.state, &self.service, &open.entry);
        let left = self.time_left().saturating_sub(DELIVERY_TIME);
        tokio::time::timeout(left, probing).await.unwrap_or(completeness::Process::Unknown)
    }
}

/// Probes an upstream whose connections broke, and records a crash if its process has ended.
async fn probe_upstream(
    state: sync::Arc<state::State>,
    service: id::Service,
    upstream: id::Upstream,
) {
    let result = probe(&state, &service, &upstream).await;
    let requests = state::lock(&state.broken_requests.0).remove(&upstream).unwrap_or_default();
    let listed: Vec<_> = requests.iter().map(ToString::to_string).collect();
    if result == completeness::Process::Ended {
        state.record_crash(&service, &upstream, &requests);
    }
    event::Line::new("upstream_probed")
        .text("upstream", &upstream)
        .text("probed", result.as_str())
        .text("requests", listed.join(", "))
        .info();
}

/// Probes whether the process of `entry` still runs, which has just ended an answer. The result is
/// unknown after a timeout, and if an upstream has ended that was leaving or is no longer listed: it
/// may have ended as planned, after its last answer.
async fn probe_maker(
    state: &state::State,
    service: &id::Service,
    entry: &routing::Registration,
) -> completeness::Process {
    let name = entry.upstream.as_str();
    let listed = state.with_placer(service, |placer, _| placer.entry(name).cloned()).flatten();
    if listed.as_ref().is_some_and(|listed| listed.started_ms != entry.started_ms) {
        return completeness::Process::Ended;
    }
    let is_staying = listed.is_some_and(|listed| !listed.leaving);
    match connect(state, entry).await {
        completeness::Process::Ended if !is_staying => completeness::Process::Unknown,
        process => process,
    }
}

/// Probes whether the process of `upstream` still runs. The result is unknown after a timeout, for
/// an upstream that is leaving, which ends as planned, and for one that is no longer listed, which
/// may have ended long ago.
async fn probe(
    state: &state::State,
    service: &id::Service,
    upstream: &id::Upstream,
) -> completeness::Process {
    let entry = state.with_placer(service, |placer, _| placer.entry(upstream.as_str()).cloned());
    let Some(entry) = entry.flatten().filter(|entry| !entry.leaving) else {
        event::Line::new("not_probed")
            .text("upstream", upstream)
            .text("reason", "it is leaving or not listed")
            .info();
        return completeness::Process::Unknown;
    };
    connect(state, &entry).await
}

/// Opens a connection to `entry`, which tells whether a process listens at its address.
async fn connect(state: &state::State, entry: &routing::Registration) -> completeness::Process {
    match path::connect(state, entry, path::Purpose::RUNNING, PROBE_TIMEOUT).await {
        Ok(_) => completeness::Process::Running,
        Err(failure) if failure.verdict == path::Verdict::Refused => completeness::Process::Ended,
        Err(_) => completeness::Process::Unknown,
    }
}

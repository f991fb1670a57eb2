//! Decides when to abandon an upstream that does not respond to a request.

use lagoonline::clock;
use lagoonline::id;
use lagoonline::lifecycle::attempts;
use lagoonline::load::placement;

use crate::forward;

/// Multiple of the route's target for the first event that an upstream may take beyond the expected
/// time before another is tried.
const MAX_LATE_TARGETS: u32 = 2;
/// Additional time to wait: a lost packet is retransmitted within it.
const LOST_PACKET_ALLOWANCE: clock::Span = clock::Span::from_millis(300);
/// Interval at which a silent upstream is checked.
pub(crate) const CHECK_INTERVAL: clock::Span = clock::Span::from_millis(250);
/// An upstream with activity within this time is alive: several of its batch steps.
const ALIVE_WINDOW: clock::Span = clock::Span::from_millis(500);

impl forward::Admitted {
    /// Whether the retry budget allows another attempt.
    pub(crate) fn has_retry_budget(&self) -> bool {
        self.state.has_retry(&self.service)
    }

    /// Whether an upstream has been active recently. If so, silence to a single request may mean
    /// that it is busy.
    pub(crate) fn is_alive(&self, upstream: &id::Upstream) -> bool {
        let alive =
            |placer: &mut placement::Placer, now| placer.is_alive(upstream, ALIVE_WINDOW, now);
        self.state.with_placer(&self.service, alive).unwrap_or(false)
    }

    /// Whether an upstream failed another request and has shown no activity since.
    pub(crate) fn is_unresponsive(&self, upstream: &id::Upstream) -> bool {
        let unresponsive = |placer: &mut placement::Placer, _| placer.is_unresponsive(upstream);
        self.state.with_placer(&self.service, unresponsive).unwrap_or(false)
    }

    /// Whether the upstream has begun to answer a request that was sent after the dispatch `id`.
    fn is_overtaken(&self, id: placement::DispatchId) -> bool {
        let overtaken = |placer: &mut placement::Placer, _| placer.is_overtaken(id);
        self.state.with_placer(&self.service, overtaken).unwrap_or(false)
    }

    /// Returns why to abandon the upstream of `placement`, which has been silent for `silent` since
    /// the dispatch `id`; `None` to keep waiting. An unresponsive upstream is abandoned even if the
    /// retry budget is empty: the caller learns of it at once and may retry elsewhere. An upstream
    /// that is alive may merely be busy and gets one more target.
    pub(crate) fn abandon_reason(
        &self,
        placement: &placement::Placement,
        id: placement::DispatchId,
        silent: clock::Span,
    ) -> Option<&'static str> {
        let upstream = &placement.primary.upstream;
        let silence_limit = self.silence_limit(placement.expected);
        if silent < placement.expected + LOST_PACKET_ALLOWANCE {
            None
        } else if self.is_unresponsive(upstream) {
            Some("silent to others too")
        } else if !self.has_retry_budget() || silent < silence_limit {
            None
        } else if self.is_overtaken(id) {
            Some("later requests were answered")
        } else if silent >= silence_limit + self.route.target || !self.is_alive(upstream) {
            Some("silent")
        } else {
            None
        }
    }

    /// Returns how long an upstream may take to begin its answer before another is tried, unless it
    /// is alive and may merely be busy.
    fn silence_limit(&self, expected: clock::Span) -> clock::Span {
        expected + self.route.target * MAX_LATE_TARGETS + LOST_PACKET_ALLOWANCE
    }

    /// Whether the request may run on another upstream than the one that has it, after `attempts`
    /// that ended.
    pub(crate) fn may_run_elsewhere(&self, attempts: &attempts::Attempts) -> bool {
        self.route.kind.may_repeat() && attempts.runs_left() > 1
    }
}

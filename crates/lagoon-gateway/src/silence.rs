//! Upstreams that are silent to a request: when it is given up there.

use lagoonline::clock;
use lagoonline::id;
use lagoonline::load::placement;

use crate::forward;
use crate::state;

/// Multiple of a route's target that an upstream may be later than expected before another is asked.
const PATIENT_TARGETS: u32 = 2;
/// The same beside that multiple: a lost packet comes again within it.
const PATIENCE: clock::Span = clock::Span::from_millis(300);
/// Time between two looks at an upstream that is silent.
pub(crate) const LOOK: clock::Span = clock::Span::from_millis(250);
/// An upstream that said something within this is alive: several of its passes.
const ALIVE: clock::Span = clock::Span::from_millis(500);

impl forward::Admitted {
    /// Whether another attempt is within the budget.
    pub(crate) fn has_repeat(&self) -> bool {
        let desk = self.state.desk(&self.service);
        desk.is_some_and(|desk| state::lock(&desk).budget.has_retry())
    }

    /// Whether something came of an upstream of late: one that is silent to this request only may
    /// be busy.
    pub(crate) fn is_alive(&self, upstream: &id::Upstream) -> bool {
        let alive = |board: &mut placement::Placer, now| board.is_alive(upstream, ALIVE, now);
        self.state.with_board(&self.service, alive).unwrap_or(false)
    }

    /// Whether an upstream failed another request and nothing has come of it since.
    pub(crate) fn is_lost(&self, upstream: &id::Upstream) -> bool {
        let lost = |board: &mut placement::Placer, _| board.is_unresponsive(upstream);
        self.state.with_board(&self.service, lost).unwrap_or(false)
    }

    /// Whether the upstream has begun a later answer than that of the dispatch `id`.
    fn is_overtaken(&self, id: placement::DispatchId) -> bool {
        let overtaken = |board: &mut placement::Placer, _| board.is_overtaken(id);
        self.state.with_board(&self.service, overtaken).unwrap_or(false)
    }

    /// Why the upstream of `placement` is given up that has been silent for `silent` since the
    /// dispatch `id`, if it is. One that is lost is given up also where no repeat is left: the
    /// caller, told at once, may go on elsewhere by itself.
    pub(crate) fn give_up_after(
        &self,
        placement: &placement::Placement,
        id: placement::DispatchId,
        silent: clock::Span,
    ) -> Option<&'static str> {
        let upstream = &placement.primary.upstream;
        let patience = self.patience(placement.expected);
        if silent < placement.expected + PATIENCE {
            None
        } else if self.is_lost(upstream) {
            Some("silent to others too")
        } else if !self.has_repeat() || silent < patience {
            None
        } else if self.is_overtaken(id) {
            Some("later requests were answered")
        } else if silent >= patience + self.route.target || !self.is_alive(upstream) {
            Some("silent")
        } else {
            None
        }
    }

    /// How long an upstream may be silent before another is asked, unless it is merely busy.
    fn patience(&self, expected: clock::Span) -> clock::Span {
        expected + self.route.target * PATIENT_TARGETS + PATIENCE
    }

    /// Whether another upstream may be asked after so many attempts.
    pub(crate) fn may_repeat(&self, attempts: u32) -> bool {
        self.route.kind.may_repeat() && attempts < self.route.attempts
    }
}

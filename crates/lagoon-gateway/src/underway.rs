//! A dispatch under way, as this host and the others count it on its upstreams.

use std::sync;

use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::placement;

use crate::forward;
use crate::mesh;
use crate::reserve;
use crate::state;
use crate::word;

/// Who decided where a dispatch goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Decider {
    /// This host, which tells the others.
    Own,
    /// The host that schedules for the zone, which has told them.
    Scheduler,
}

/// A dispatch that this host and the others count on its upstreams until it is dropped.
#[derive(Debug)]
pub(crate) struct Underway {
    state: sync::Arc<state::State>,
    service: id::Service,
    id: placement::DispatchId,
    read: bool,
    /// Released when the dispatch ends.
    reserved: Option<reserve::Held>,
}

impl Underway {
    /// The memory that is reserved for it.
    pub(crate) fn reserved(&self) -> Option<&reserve::Held> {
        self.reserved.as_ref()
    }

    /// Keeps `reserved` until it ends.
    pub(crate) fn keep(&mut self, reserved: Option<reserve::Held>) {
        self.reserved = reserved;
    }

    /// The dispatch `id` begins, placed as `placement` by `decider`.
    pub(crate) fn begin(
        admitted: &forward::Admitted,
        id: placement::DispatchId,
        placement: &placement::Placement,
        decider: Decider,
    ) -> Underway {
        let now = admitted.state.clock.now();
        let prompt = admitted.request.call.prompt_tokens.unwrap_or(0);
        let until = admitted.deadline;
        let work = placement::Dispatch::new(id, placement, prompt, admitted.gap(), until);
        let sent = word::Sent::new(&work, now);
        admitted.state.with_board(&admitted.service, |board, _| board.record_dispatch(work, now));
        let underway = Underway {
            state: admitted.state.clone(),
            service: admitted.service.clone(),
            id,
            read: false,
            reserved: None,
        };
        if decider == Decider::Own {
            let word = word::Word::new(id.number, &admitted.service, word::What::Sent(sent));
            admitted.state.say(word, mesh::Reach::All);
        }
        underway
    }

    /// The first token came.
    pub(crate) fn first_token(&mut self) {
        if std::mem::replace(&mut self.read, true) {
            return;
        }
        self.state.with_board(&self.service, |board, now| board.record_first_token(self.id, now));
        self.tell(word::What::First(word::Nothing {}));
    }

    /// Something of its answer came.
    pub(crate) fn heard(&self) {
        if let Some(reserved) = &self.reserved {
            reserved.heard();
        }
    }

    fn tell(&self, what: word::What) {
        self.state.tell(word::Word::new(self.id.number, &self.service, what));
    }
}

impl Drop for Underway {
    fn drop(&mut self) {
        self.state.with_board(&self.service, |board, now| board.record_end(self.id, now));
        self.tell(word::What::Ended(word::Nothing {}));
    }
}

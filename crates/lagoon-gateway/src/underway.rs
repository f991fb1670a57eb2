//! A dispatch in flight, as this host and the others count it in the load of its upstreams.

use std::sync;

use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::placement;

use crate::forward;
use crate::mesh;
use crate::reserve;
use crate::state;
use crate::word;

/// The host that placed a dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Decider {
    /// This host, which publishes it to the others.
    Own,
    /// The zone's scheduler, which has published it already.
    Scheduler,
}

/// A dispatch that is counted in the load of its upstreams until it is dropped.
#[derive(Debug)]
pub(crate) struct Underway {
    state: sync::Arc<state::State>,
    service: id::Service,
    id: placement::WorkId,
    read: bool,
    /// Memory reservations, released when the dispatch ends.
    reserved: Option<reserve::Held>,
}

impl Underway {
    /// Returns the reservations of the dispatch, if any.
    pub(crate) fn reserved(&self) -> Option<&reserve::Held> {
        self.reserved.as_ref()
    }

    /// Keeps `reserved` until the dispatch ends.
    pub(crate) fn keep(&mut self, reserved: Option<reserve::Held>) {
        self.reserved = reserved;
    }

    /// Begins the dispatch `id`, placed by `decider` as `placement`.
    pub(crate) fn begin(
        admitted: &forward::Admitted,
        id: placement::WorkId,
        placement: &placement::Placement,
        decider: Decider,
    ) -> Underway {
        let now = admitted.state.clock.now();
        let prompt = admitted.request.call.prompt_tokens.unwrap_or(0);
        let until = admitted.deadline;
        let work = placement::Work::new(id, placement, prompt, admitted.gap(), until);
        let sent = word::Sent::new(&work, now);
        admitted.state.with_board(&admitted.service, |board, _| board.begin(work, now));
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

    /// Records that the first token arrived.
    pub(crate) fn first_token(&mut self) {
        if std::mem::replace(&mut self.read, true) {
            return;
        }
        self.state.with_board(&self.service, |board, now| board.first_token(self.id, now));
        self.tell(word::What::First(word::Nothing {}));
    }

    /// Records activity of the upstream: bytes of the answer arrived.
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
        self.state.with_board(&self.service, |board, now| board.end(self.id, now));
        self.tell(word::What::Ended(word::Nothing {}));
    }
}

//! A dispatch under way, as this host and the others count it on its upstreams.

use std::sync;

use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::placement;

use crate::forward;
use crate::reserve;
use crate::state;
use crate::word;

/// A dispatch that this host and the others count on its upstreams until it is dropped.
#[derive(Debug)]
pub(crate) struct Underway {
    state: sync::Arc<state::State>,
    service: id::Service,
    id: placement::WorkId,
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

    pub(crate) fn begin(
        admitted: &forward::Admitted,
        id: placement::WorkId,
        placement: &placement::Placement,
    ) -> Underway {
        let now = admitted.state.clock.now();
        let held = placement.helpers.iter().map(|helper| helper.reserve).filter(|held| *held > 0);
        let work = placement::Work {
            id,
            first: placement.first.upstream.clone(),
            helpers: placement.helpers.iter().map(|help| help.entry.upstream.clone()).collect(),
            prompt: admitted.request.call.prompt_tokens.unwrap_or(0),
            held: held.collect(),
            gap: admitted.gap(),
            until: admitted.deadline,
        };
        let sent = word::Sent::new(&work, now);
        admitted.state.with_board(&admitted.service, |board, _| board.begin(work, now));
        let underway = Underway {
            state: admitted.state.clone(),
            service: admitted.service.clone(),
            id,
            read: false,
            reserved: None,
        };
        underway.tell(word::What::Sent(sent));
        underway
    }

    /// The first token came.
    pub(crate) fn first_token(&mut self) {
        if std::mem::replace(&mut self.read, true) {
            return;
        }
        self.state.with_board(&self.service, |board, now| board.first_token(self.id, now));
        self.tell(word::What::First(word::Nothing {}));
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

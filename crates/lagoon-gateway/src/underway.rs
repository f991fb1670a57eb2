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
    _reserved: Option<reserve::Held>,
}

impl Underway {
    pub(crate) fn begin(
        admitted: &forward::Admitted,
        id: placement::WorkId,
        placement: &placement::Placement,
        reserved: Option<reserve::Held>,
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
        let sent = word::Sent {
            first: work.first.to_string(),
            helpers: work.helpers.iter().map(ToString::to_string).collect(),
            held: work.held.clone(),
            prompt: work.prompt,
            gap_ms: u32::try_from(work.gap.as_millis()).unwrap_or(u32::MAX),
            left_ms: u32::try_from(work.until.since(now).as_millis()).unwrap_or(u32::MAX),
        };
        if let Some(desk) = admitted.state.desk(&admitted.service) {
            let mut desk = state::lock(&desk);
            desk.board.begin(work, now);
            desk.budget.first_attempt();
        }
        let underway = Underway {
            state: admitted.state.clone(),
            service: admitted.service.clone(),
            id,
            read: false,
            _reserved: reserved,
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
        let service = self.service.to_string();
        self.state.tell(word::Word { number: self.id.number, service, what: Some(what) });
    }
}

impl Drop for Underway {
    fn drop(&mut self) {
        self.state.with_board(&self.service, |board, now| board.end(self.id, now));
        self.tell(word::What::Ended(word::Nothing {}));
    }
}

//! Tells hosts that carried connections of this one what the upstream said in its answer. The upstream
//! knows a host by its connections, so it said it to the host that carried this one.

use std::collections;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::backoff;
use lagoonline::routing;

use crate::backoffs;
use crate::departures;
use crate::message;
use crate::state;

/// Time for which a host is told again with each heartbeat, in case a datagram is lost.
const REPEAT_TIME: clock::Span = clock::Span::from_secs(1);

/// What an upstream said.
#[derive(Clone, Debug)]
pub(crate) enum Word {
    /// It wants no requests for a time.
    Backoff(backoff::Backoff),
    /// It is leaving.
    Departure(routing::Departure),
}

impl Word {
    /// Creates the update for the host that carried the connection.
    fn update(&self, now: clock::Moment) -> message::Update {
        match self {
            Word::Backoff(backoff) => backoffs::BackedOff::by_receiver(backoff, now).update(),
            Word::Departure(departure) => departures::Departed::new(departure).update(),
        }
    }
}

/// Words that are repeated, each with the host that is told and when this one learned it.
pub(crate) type Repeated = collections::VecDeque<(id::Host, Word, clock::Moment)>;

impl state::State {
    /// Tells the host that carried the connection of an answer what the upstream said.
    pub(crate) fn tell_carrier(&self, host: &id::Host, word: Word) {
        self.send_to_carrier(host, &word);
        let learned = (host.clone(), word, self.clock.now());
        state::lock(&self.repeated_to_carriers).push_back(learned);
    }

    /// Tells hosts that carried connections again.
    pub(crate) fn repeat_to_carriers(&self) {
        let now = self.clock.now();
        let mut repeated = state::lock(&self.repeated_to_carriers);
        repeated.retain(|(_, _, learned)| now.since(*learned) <= REPEAT_TIME);
        let repeated: Vec<_> = repeated.iter().cloned().collect();
        for (host, word, _) in repeated {
            self.send_to_carrier(&host, &word);
        }
    }

    fn send_to_carrier(&self, host: &id::Host, word: &Word) {
        let address = state::lock(&self.peers).address(host);
        let Some(address) = address else { return };
        let update = word.update(self.clock.now());
        self.send(address, &self.encode_updates(vec![update]));
    }
}

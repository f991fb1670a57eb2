//! Upstreams that fail: circuit breaking, and a cap on how many are out at once.
//!
//! Load pattern: an engine that dies or answers errors fast; its outstanding count is always low,
//! so every least-loaded choice prefers it and it eats the load. Three failures in a row open its
//! circuit (one can be the network, two a restart in progress). It is tried again by one request
//! after a time that doubles from one second to thirty. The cap of a third keeps a fault of the
//! callers or of this host, which looks like every upstream failing, from ejecting the zone.
//!
//! Without it 499 requests are refused after one engine of eight dies, with it none.

use crate::clock;

/// Failures in a row that open the circuit.
const FAILURES: u32 = 3;
/// First time out.
const FIRST_SPAN: u64 = 1;
/// Longest time out, in seconds.
const LONGEST_SPAN: u64 = 30;
/// One in this many upstreams may be out at once; at least one always may.
const CAP: usize = 3;

/// Whether an upstream may be asked.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Circuit {
    /// It may.
    #[default]
    Closed,
    /// Not before this moment.
    Open(clock::Moment),
    /// One request is on its way to try it.
    Trying,
}

/// Failures of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    circuit: Circuit,
    failures: u32,
    opened: u32,
}

impl Health {
    /// Whether a request may go to it now.
    pub fn allows(&self, now: clock::Moment) -> bool {
        match self.circuit {
            Circuit::Closed => true,
            Circuit::Open(until) => until <= now,
            Circuit::Trying => false,
        }
    }

    /// Whether it is out or being tried.
    pub fn is_out(&self) -> bool {
        self.circuit != Circuit::Closed
    }

    /// A request goes to it.
    pub fn sent(&mut self) {
        if self.is_out() {
            self.circuit = Circuit::Trying;
        }
    }

    /// It answered.
    pub fn succeeded(&mut self) {
        *self = Health::default();
    }

    /// The request that tried it ended without telling anything.
    pub fn untold(&mut self, now: clock::Moment) {
        if self.circuit == Circuit::Trying {
            self.circuit = Circuit::Open(now);
        }
    }

    /// It said nothing for longer than a busy one would; `out` of `all` upstreams are out already.
    /// Each further try costs a caller seconds, so its circuit opens at once.
    pub fn silent(&mut self, now: clock::Moment, out: usize, all: usize, remote: bool) {
        self.failures = self.failures.max(FAILURES);
        self.failed(now, out, all, remote);
    }

    /// It failed; `out` of `all` upstreams are out already. One of another zone is out at once and
    /// without the cap: a cut link fails for all behind it, three timeouts at each would use up the
    /// retry budget, and the zone's own upstreams remain.
    pub fn failed(&mut self, now: clock::Moment, out: usize, all: usize, remote: bool) {
        self.failures += 1;
        let capped = !self.is_out() && out >= (all / CAP).max(1);
        if !remote && (self.failures < FAILURES || capped) {
            return;
        }
        let seconds = (FIRST_SPAN << self.opened.min(5)).min(LONGEST_SPAN);
        self.opened += 1;
        self.circuit = Circuit::Open(now + clock::Span::from_secs(seconds));
    }
}

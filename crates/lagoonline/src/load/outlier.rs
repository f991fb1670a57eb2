//! Circuit breaker for failing upstreams, with a limit on how many are out at once.
//!
//! Load pattern: an engine crashes or returns errors quickly; its outstanding count is always low,
//! so every least-loaded choice prefers it and it attracts the load. Three failures in a row open
//! its circuit (one can be caused by the network, two by a restart in progress). It is probed with
//! one request after a time that doubles from one second to thirty. The limit of a third prevents a
//! fault of the callers or of this host, which looks as if every upstream failed, from ejecting the
//! whole zone.
//!
//! Without it 499 requests are refused after one engine of eight crashes, with it none.

use crate::clock;

/// Consecutive failures that open the circuit.
const FAILURES: u32 = 3;
/// How long a circuit stays open the first time, in seconds.
const FIRST_SPAN: u64 = 1;
/// How long a circuit stays open at most, in seconds.
const LONGEST_SPAN: u64 = 30;
/// One in this many upstreams may be out at once; at least one always may.
const CAP: usize = 3;

/// Whether requests may be sent to an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Circuit {
    /// Requests may be sent.
    #[default]
    Closed,
    /// No requests before this moment.
    Open(clock::Moment),
    /// One probe request is in flight.
    Trying,
}

/// Health of one upstream, by the results of its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    circuit: Circuit,
    failures: u32,
    opened: u32,
}

impl Health {
    /// Whether a request may be sent to it now.
    pub fn allows(&self, now: clock::Moment) -> bool {
        match self.circuit {
            Circuit::Closed => true,
            Circuit::Open(until) => until <= now,
            Circuit::Trying => false,
        }
    }

    /// Whether the circuit is not closed.
    pub fn is_out(&self) -> bool {
        self.circuit != Circuit::Closed
    }

    /// Records that a request is sent to it.
    pub fn sent(&mut self) {
        if self.is_out() {
            self.circuit = Circuit::Trying;
        }
    }

    /// Records a successful answer, which closes the circuit.
    pub fn succeeded(&mut self) {
        *self = Health::default();
    }

    /// Records the end of a request that shows nothing about the upstream; a probe may be repeated
    /// at once.
    pub fn untold(&mut self, now: clock::Moment) {
        if self.circuit == Circuit::Trying {
            self.circuit = Circuit::Open(now);
        }
    }

    /// Records that it was silent for longer than a busy upstream would be; `out` of `all`
    /// upstreams are out already. Its circuit opens at once, because each further attempt costs a
    /// caller seconds.
    pub fn silent(&mut self, now: clock::Moment, out: usize, all: usize, remote: bool) {
        self.failures = self.failures.max(FAILURES);
        self.failed(now, out, all, remote);
    }

    /// Records a failure; `out` of `all` upstreams are out already. A remote upstream, which is one
    /// of another zone, is out after its first failure and regardless of the limit: a partitioned
    /// link fails for all upstreams behind it, three timeouts at each of them would use up the
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

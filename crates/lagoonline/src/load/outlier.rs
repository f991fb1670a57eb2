//! Outlier ejection: a circuit breaker for failing upstreams, with a limit on how many are out at
//! once.
//!
//! Load pattern: an engine crashes or returns errors quickly; its outstanding count is always low,
//! so every least-loaded choice prefers it and it attracts the load. Three failures in a row open
//! its circuit (one can be caused by the network, two by a restart in progress). It is probed with
//! one request after a time that doubles from one second to thirty. The limit of a third prevents a
//! fault of the callers or of this host, which looks as if every upstream failed, from ejecting the
//! whole zone.
//!
//! Without the circuit breaker 499 requests are refused after one engine of eight crashes, with it
//! none.

use crate::clock;

/// Consecutive failures that open the circuit.
const MAX_FAILURES: u32 = 3;
/// How long a circuit stays open the first time, in seconds.
const FIRST_OPEN_SECONDS: u64 = 1;
/// How long a circuit stays open at most, in seconds.
const MAX_OPEN_SECONDS: u64 = 30;
/// One in this many upstreams may be out at once; at least one always may.
const MAX_OUT_DIVISOR: usize = 3;

/// Whether requests may be sent to an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Circuit {
    /// Requests may be sent.
    #[default]
    Closed,
    /// No requests before this moment.
    Open(clock::Moment),
    /// One probe request is in flight.
    Probing,
}

/// Health of one upstream, by the results of its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    circuit: Circuit,
    failures: u32,
    open_count: u32,
}

impl Health {
    /// Whether a request may be sent to it now.
    pub fn allows(&self, now: clock::Moment) -> bool {
        match self.circuit {
            Circuit::Closed => true,
            Circuit::Open(until) => until <= now,
            Circuit::Probing => false,
        }
    }

    /// Whether the circuit is not closed.
    pub fn is_out(&self) -> bool {
        self.circuit != Circuit::Closed
    }

    /// Records that a request is sent to it.
    pub fn record_sent(&mut self) {
        if self.is_out() {
            self.circuit = Circuit::Probing;
        }
    }

    /// Records a successful answer, which closes the circuit.
    pub fn record_success(&mut self) {
        *self = Health::default();
    }

    /// Records the end of a request that shows nothing about the upstream; a probe may be repeated
    /// at once.
    pub fn record_inconclusive(&mut self, now: clock::Moment) {
        if self.circuit == Circuit::Probing {
            self.circuit = Circuit::Open(now);
        }
    }

    /// Records that it was silent for longer than a busy upstream would be; `out` of `all`
    /// upstreams are out already. Its circuit opens at once, because each further attempt costs a
    /// caller seconds.
    pub fn record_silence(&mut self, now: clock::Moment, out: usize, all: usize, remote: bool) {
        self.failures = self.failures.max(MAX_FAILURES);
        self.record_failure(now, out, all, remote);
    }

    /// Records a failure; `out` of `all` upstreams are out already. A remote upstream, which is one
    /// of another zone, is out after its first failure and regardless of the limit: a partitioned
    /// link fails for all upstreams behind it, three timeouts at each of them would use up the
    /// retry budget, and the zone's own upstreams remain.
    pub fn record_failure(&mut self, now: clock::Moment, out: usize, all: usize, remote: bool) {
        self.failures += 1;
        let capped = !self.is_out() && out >= (all / MAX_OUT_DIVISOR).max(1);
        if !remote && (self.failures < MAX_FAILURES || capped) {
            return;
        }
        // Five doublings are past the longest time; more would only risk an overflow of the shift.
        let seconds = (FIRST_OPEN_SECONDS << self.open_count.min(5)).min(MAX_OPEN_SECONDS);
        self.open_count += 1;
        self.circuit = Circuit::Open(now + clock::Span::from_secs(seconds));
    }
}

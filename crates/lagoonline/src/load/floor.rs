//! Reserves a minimum share of each engine's rate for longer prompts.
//!
//! Load pattern: saturation by short prompts. Engines prefill strictly by priority, so an admitted
//! long prompt would make no progress until the short load falls, and would miss its deadline.
//! While longer prompts arrive, short ones are sent to an engine at no more than the rest of its
//! rate. The floor is one and a half times the longer prompts' fraction of the work, so that they
//! catch up, and a quarter at most: already with a floor of a fifth, an engine of 20,000 tokens a
//! second prefills a million tokens in 250 s, which is within the usual longest deadline of 600 s.
//! It applies to every engine, because a host does not know in time where the other hosts have sent
//! their long prompts.
//!
//! Without the floor 24 medium prompts end late at 1.2 times capacity, with it none.

use crate::clock;

/// Floor as a multiple of the longer prompts' fraction of the work.
const FLOOR_FACTOR: f64 = 1.5;
/// Lowest and highest floor. While no longer prompts arrive, nothing is reserved, and the lowest
/// floor only serves to predict how fast the next longer prompt would be prefilled.
const FLOOR_BOUNDS: (f64, f64) = (0.05, 0.25);

/// Fraction of an engine's rate reserved for longer prompts, by their fraction of the work.
///
/// ```
/// use lagoonline::load::floor;
/// assert_eq!(floor::share(0.0), 0.05);
/// assert_eq!(floor::share(0.5), 0.25);
/// ```
pub fn share(longer_fraction: f64) -> f64 {
    (FLOOR_FACTOR * longer_fraction).clamp(FLOOR_BOUNDS.0, FLOOR_BOUNDS.1)
}

/// Factor by which one host may exceed its even share of the rest, because hosts are not equally
/// busy.
const UNEVEN_FACTOR: f64 = 1.1;
/// Short prefill that may be sent in one burst, in seconds of the engine's rate.
const BURST_SECONDS: f64 = 0.5;

/// Short prefill that one host has sent to one engine beyond its allowed rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShortExcess {
    /// Excess tokens, as of `at`.
    tokens: f64,
    at: clock::Moment,
}

impl ShortExcess {
    /// Whether short prefill may be sent now to an engine of which this host may use `rate` tokens
    /// per second.
    pub fn allows(&self, now: clock::Moment, rate: f64) -> bool {
        self.excess(now, rate) < BURST_SECONDS * rate * UNEVEN_FACTOR
    }

    /// Records short prefill of `tokens` that is sent now.
    pub fn record_sent(&mut self, now: clock::Moment, tokens: f64, rate: f64) {
        self.tokens = self.excess(now, rate) + tokens;
        self.at = now;
    }

    /// Tokens sent beyond `rate` that the elapsed time has not yet made up for.
    pub fn excess(&self, now: clock::Moment, rate: f64) -> f64 {
        (self.tokens - rate * UNEVEN_FACTOR * now.since(self.at).as_secs_f64()).max(0.0)
    }
}

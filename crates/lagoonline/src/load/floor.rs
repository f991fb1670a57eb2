//! A floor of each engine's rate for longer prompts.
//!
//! Load pattern: saturation by short prompts. Engines prefill strictly by priority, so a long
//! prompt that was admitted would make no progress until the short load falls, and miss its
//! deadline. While longer prompts come, short ones are sent to an engine at no more than the rest
//! of its rate. The floor is one and a half times the longer prompts' part of the work, so that
//! they catch up, and a quarter at most: a million tokens at a fifth of 20,000 a second take 250 s
//! of the usual 600 s. It holds for every engine, because a host does not know in time where the
//! others have sent theirs.
//!
//! Without it 24 medium prompts end late at 1.2 times capacity, with it none.

use crate::clock;

/// Floor as a multiple of the longer prompts' part of the work.
const MULTIPLE: f64 = 1.5;
/// Highest and lowest floor, the lowest for predictions while few longer prompts come.
const BOUNDS: (f64, f64) = (0.05, 0.25);

/// Part of an engine's rate kept for longer prompts, by their part of the work.
///
/// ```
/// use lagoonline::load::floor;
/// assert_eq!(floor::part(0.0), 0.05);
/// assert_eq!(floor::part(0.5), 0.25);
/// ```
pub fn part(longer: f64) -> f64 {
    (MULTIPLE * longer).clamp(BOUNDS.0, BOUNDS.1)
}

/// By how much one host's part of the rest may exceed an even one: hosts are not equally busy.
const UNEVEN: f64 = 1.1;
/// Short prefill that may come at once, in seconds of the engine's rate.
const BURST: f64 = 0.5;

/// Short prefill that one host may still send to one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Floor {
    /// Tokens sent beyond the rate.
    sent: f64,
    at: clock::Moment,
}

impl Floor {
    /// Whether short prefill may be sent now to an engine of which this host may use `rate`
    /// tokens a second.
    pub fn allows(&self, now: clock::Moment, rate: f64) -> bool {
        self.left(now, rate) < BURST * rate * UNEVEN
    }

    /// Short prefill of `tokens` is sent.
    pub fn sent(&mut self, now: clock::Moment, tokens: f64, rate: f64) {
        self.sent = self.left(now, rate) + tokens;
        self.at = now;
    }

    /// Tokens sent beyond that rate that it has not caught up with.
    pub fn left(&self, now: clock::Moment, rate: f64) -> f64 {
        (self.sent - rate * UNEVEN * now.since(self.at).as_secs_f64()).max(0.0)
    }
}

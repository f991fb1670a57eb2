//! How much slower a short prompt's first token came than it would have come alone.
//!
//! Load pattern: long among short. Without a figure for it, operators see that first tokens of
//! short prompts got slower, and cannot tell longer prompts from slower links. What a prompt takes
//! alone is its prefill at the engine's rate and an overhead of links and batching that is the
//! same for all; the least overhead seen lately is taken for it. `RISE` lets that follow a fleet
//! that became slower for good within a few thousand prompts, while a busy minute hardly moves it.

use crate::clock;

/// Part by which the overhead rises with each prompt that showed a greater one.
const RISE: f64 = 0.001;

/// Least overhead of first tokens, learned.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Baseline {
    overhead: Option<f64>,
}

impl Baseline {
    /// Takes in a first token that came after `took`, of a prompt of `tokens` tokens on an engine
    /// that prefills `rate` tokens a second; its time as a multiple of that alone, at least 1.
    ///
    /// ```
    /// use lagoonline::{clock::Span, load::slowdown::Baseline};
    /// let mut baseline = Baseline::default();
    /// assert_eq!(baseline.ratio(Span::from_millis(120), 1_000, 10_000.0), 1.0);
    /// let beside_long = baseline.ratio(Span::from_millis(240), 1_000, 10_000.0);
    /// assert!((beside_long - 2.0).abs() < 0.01);
    /// ```
    pub fn ratio(&mut self, took: clock::Span, tokens: u64, rate: f64) -> f64 {
        let (took, prefill) = (took.as_secs_f64(), tokens as f64 / rate.max(1.0));
        let seen = (took - prefill).max(0.0);
        let known = self.overhead.unwrap_or(seen);
        let overhead = if seen < known { seen } else { known + (seen - known) * RISE };
        self.overhead = Some(overhead);
        (took / (prefill + overhead).max(f64::MIN_POSITIVE)).max(1.0)
    }
}

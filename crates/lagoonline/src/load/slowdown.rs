//! Slowdown of short prompts: time to the first token relative to that on an otherwise idle engine.
//!
//! Load pattern: long prompts mixed with short ones. Without a metric for it, operators see that
//! first tokens of short prompts got slower, but cannot distinguish longer prompts from slower
//! links. The time on an idle engine is the prefill at the engine's rate plus an overhead of links
//! and batching that is the same for all prompts; the smallest recent overhead is used for it. A
//! prompt with a greater overhead raises it by a small fraction of the difference, so that it
//! follows a fleet that became permanently slower within a few thousand prompts, while a busy
//! minute hardly changes it.

use crate::clock;

/// Fraction of the difference by which a prompt with a greater overhead raises the learned one.
const RISE_FRACTION: f64 = 0.001;

/// Learned smallest overhead of first tokens, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Overhead {
    seconds: Option<f64>,
}

impl Overhead {
    /// Records a first token that arrived after `took`, for a prompt of `tokens` tokens on an
    /// engine that prefills `rate` tokens per second. Returns the slowdown: its time as a multiple
    /// of that on an idle engine, at least 1.
    ///
    /// ```
    /// use lagoonline::{clock::Span, load::slowdown::Overhead};
    /// let mut overhead = Overhead::default();
    /// assert_eq!(overhead.record(Span::from_millis(120), 1_000, 10_000.0), 1.0);
    /// let beside_long = overhead.record(Span::from_millis(240), 1_000, 10_000.0);
    /// assert!((beside_long - 2.0).abs() < 0.01);
    /// ```
    pub fn record(&mut self, took: clock::Span, tokens: u64, rate: f64) -> f64 {
        let (took, prefill) = (took.as_secs_f64(), tokens as f64 / rate.max(1.0));
        let observed = (took - prefill).max(0.0);
        let known = self.seconds.unwrap_or(observed);
        let overhead =
            if observed < known { observed } else { known + (observed - known) * RISE_FRACTION };
        self.seconds = Some(overhead);
        (took / (prefill + overhead).max(f64::MIN_POSITIVE)).max(1.0)
    }
}

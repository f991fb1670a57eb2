//! How much engines are asked to read of prompts whose answers bear long pauses.
//!
//! Load pattern: a burst of long prompts, and the mix that swings away from them. What was asked
//! for lately tells how many engines such prompts keep busy; it is forgotten as fast as the mix
//! swings.

use crate::clock;

/// Seconds after which a prompt weighs a third: long enough that one prompt alone does not move the
/// division, short enough that the division follows a mix that swings within seconds.
const MEMORY_S: f64 = 1.5;

/// Reading asked for of late.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reading {
    /// Milliseconds of reading, less what is forgotten, at `at`.
    sum_ms: f64,
    at: clock::Moment,
}

impl Reading {
    /// A prompt was sent that takes `read_ms` milliseconds on one engine.
    pub(super) fn add(&mut self, read_ms: f64, now: clock::Moment) {
        self.sum_ms = self.left_ms(now) + read_ms;
        self.at = self.at.max(now);
    }

    /// Engines that it keeps busy.
    pub(super) fn engines(&self, now: clock::Moment) -> f64 {
        self.left_ms(now) / (MEMORY_S * 1e3)
    }

    fn left_ms(&self, now: clock::Moment) -> f64 {
        self.sum_ms * (-now.since(self.at).as_secs_f64() / MEMORY_S).exp()
    }
}

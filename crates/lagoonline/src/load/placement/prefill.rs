//! Recent prefill demand of prompts with a loose gap limit.
//!
//! Load pattern: a burst of long prompts, after which the mix changes again. The recent demand
//! shows how many engines such prompts keep busy, and it decays as fast as the mix changes.

use crate::clock;

/// Decay time in seconds, after which a prompt counts about a third: long enough that a single
/// prompt does not change the division of engines, short enough that the division follows a mix
/// that changes within seconds.
const DECAY_SECONDS: f64 = 1.5;

/// Exponentially decayed sum of the prefill time of dispatched prompts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefillLoad {
    /// Decayed sum in milliseconds, as of `at`.
    sum_ms: f64,
    at: clock::Moment,
}

impl PrefillLoad {
    /// Records the dispatch of a prompt that takes `prefill_ms` milliseconds of prefill on one
    /// engine.
    pub(super) fn add(&mut self, prefill_ms: f64, now: clock::Moment) {
        self.sum_ms = self.decayed_ms(now) + prefill_ms;
        self.at = self.at.max(now);
    }

    /// Number of engines that this demand keeps busy.
    pub(super) fn engines(&self, now: clock::Moment) -> f64 {
        self.decayed_ms(now) / (DECAY_SECONDS * 1e3)
    }

    fn decayed_ms(&self, now: clock::Moment) -> f64 {
        self.sum_ms * (-now.since(self.at).as_secs_f64() / DECAY_SECONDS).exp()
    }
}

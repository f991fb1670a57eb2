//! Keeps a share of the engines clear of long prompts.
//!
//! Load pattern: long prompts mixed with short ones. Even with priorities, a short prompt on an
//! engine that prefills a long one waits for the current chunk, and its tokens come between chunks.
//! Engines without long prompts avoid that. Their share is what the long prompts' fraction of the
//! prefill work leaves, scaled by the weights in the teams' policies. It changes by one engine at
//! most every five seconds, and only if it is off by at least three quarters of one: long prompts
//! stay for tens of seconds, so an engine that is kept clear and opened again at every burst serves
//! neither kind well.
//!
//! In runs of 300 s there is no gain: the p95 of short prompts is 315 ms without engines kept clear
//! and 341 ms with them.

use crate::clock;
use crate::control::document;

/// Half-life of the observed mix, in seconds.
const HALF_LIFE_SECONDS: f64 = 30.0;
/// Shortest time between two changes.
const MIN_CHANGE_INTERVAL: clock::Span = clock::Span::from_secs(5);
/// Difference from the wanted number, in engines, from which the number changes.
const HYSTERESIS_ENGINES: f64 = 0.75;
/// Largest share of the engines that is kept clear while there are long prompts.
const MAX_SHARE: f64 = 0.8;
/// Engines left to long prompts, as a multiple of their fraction of the work: these engines also
/// serve the short prompts that don't fit on the clear ones.
const LONG_WORK_FACTOR: f64 = 3.0;

/// The observed mix of prompts by length class, and the number of engines kept clear because of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct PromptMix {
    /// Decayed prefill work in tokens by length class, as of `updated_at`.
    work: [f64; 4],
    updated_at: clock::Moment,
    /// Number of engines kept clear.
    engines: usize,
    /// When that number last changed.
    last_change: clock::Moment,
}

impl PromptMix {
    /// Records the arrival of a prompt of this class and length.
    pub fn record_arrival(&mut self, now: clock::Moment, class: document::Class, tokens: u64) {
        let decay = (-now.since(self.updated_at).as_secs_f64() / HALF_LIFE_SECONDS).exp2();
        self.updated_at = now;
        for work in &mut self.work {
            *work *= decay;
        }
        self.work[class as usize] += tokens as f64;
    }

    /// Fraction of the prefill work that comes from prompts of this class and shorter ones.
    pub fn fraction_up_to(&self, class: document::Class) -> f64 {
        let all: f64 = self.work.iter().sum();
        let part: f64 = self.work[..=class as usize].iter().sum();
        if all > 0.0 { part / all } else { 1.0 }
    }

    /// Number of engines out of `all` to keep clear now; `short_share` is the teams' weight of
    /// short requests from 0 to 1.
    pub fn engines(&mut self, now: clock::Moment, all: usize, short_share: f64) -> usize {
        let long = 1.0 - self.fraction_up_to(document::Class::Medium);
        let share = (1.0 - LONG_WORK_FACTOR * long).clamp(0.0, MAX_SHARE);
        let wanted = if long > 0.0 { share * short_share } else { 0.0 };
        let wanted = wanted * all as f64;
        let most = all.saturating_sub(1);
        let difference = wanted - self.engines as f64;
        if difference.abs() >= HYSTERESIS_ENGINES
            && now.since(self.last_change) >= MIN_CHANGE_INTERVAL
        {
            self.engines = if difference > 0.0 { self.engines + 1 } else { self.engines - 1 };
            self.last_change = now;
        }
        self.engines = self.engines.min(most);
        self.engines
    }
}

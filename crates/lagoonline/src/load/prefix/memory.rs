//! What this host has placed in the memory of one engine, and what that has probably evicted.

use super::{Hit, Location, Settings};
use crate::clock;

/// The cache of one engine, as far as this host has used it.
///
/// ```
/// use lagoonline::clock::Moment;
/// use lagoonline::load::prefix::{Memory, Settings};
/// let (mut memory, settings, now) = (Memory::default(), Settings::default(), Moment::START);
/// let used = memory.record_use(1, 1_000, now);
/// assert!(memory.holds(&used, 10_000, &settings, now));
/// memory.record_use(1, 20_000, now);
/// assert!(!memory.holds(&used, 10_000, &settings, now));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    /// Raised when the engine starts anew.
    epoch: u32,
    /// Tokens placed there so far, which also orders the uses of its prefixes.
    placed: u64,
    /// Everything that was last used up to this value of `placed` has been evicted.
    evicted: u64,
}

/// What an answer says of the cached tokens of its prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Found {
    /// Prompt tokens as estimated at dispatch.
    pub estimated_tokens: u64,
    /// Prompt tokens as counted by the engine.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found cached.
    pub cached_tokens: u64,
}

impl Memory {
    /// Forgets everything, because the engine has started anew.
    pub fn restart(&mut self) {
        self.epoch += 1;
    }

    /// Records `tokens` new tokens that need memory there and belong to no remembered prefix.
    pub fn place(&mut self, tokens: u64) {
        self.placed += tokens;
    }

    /// Records that a prompt has been prefilled there, of which `new_tokens` were not cached.
    /// Returns where its prefixes are now, for the engine number `engine`.
    pub fn record_use(&mut self, engine: u32, new_tokens: u64, now: clock::Moment) -> Location {
        // Every use gets a value of its own, so that the uses are ordered.
        self.placed += new_tokens.max(1);
        Location { engine, epoch: self.epoch, placed: self.placed, at: now }
    }

    /// Whether a prefix that was last used at `location` is probably still cached, if
    /// `room_tokens` of the engine's memory are free for what this host caches.
    pub fn holds(
        &self,
        location: &Location,
        room_tokens: u64,
        settings: &Settings,
        now: clock::Moment,
    ) -> bool {
        let placed_since = self.placed.saturating_sub(location.placed);
        location.epoch == self.epoch
            && location.placed > self.evicted
            && placed_since as f64 <= room_tokens as f64 * settings.memory_share
            && now.since(location.at) <= settings.max_age
    }

    /// Records what an answer says of the prefix `hit` that was expected there. Returns whether the
    /// expectation was wrong.
    ///
    /// If the prefix was evicted, so was everything used before it. After a partial match the other
    /// prefixes of that same use may still be there.
    pub fn record_found(&mut self, hit: &Hit, found: Found, settings: &Settings) -> bool {
        if hit.tokens == 0 || hit.location.epoch != self.epoch {
            return false;
        }
        let ratio = found.prompt_tokens as f64 / found.estimated_tokens.max(1) as f64;
        let expected = hit.tokens as f64 * ratio;
        if found.cached_tokens as f64 >= expected * settings.min_found_share {
            return false;
        }
        let partial = u64::from(found.cached_tokens > 0);
        self.evicted = self.evicted.max(hit.location.placed - partial);
        true
    }
}

//! A share of the engines is kept clear of long prompts.
//!
//! Load pattern: long among short. Even with priorities, a short prompt on an engine that prefills
//! a long one waits for the chunk under way, and its tokens come between chunks. Engines without
//! long prompts spare it that. The share is what the long prompts' part of the prefill work leaves,
//! scaled by what the owners weigh. It moves by one engine at most every five seconds and only
//! when it is off by three quarters of one: an engine that changes sides at every burst is of no
//! use to either, since long prompts stay for tens of seconds.
//!
//! In runs of 300 s short prompts are no slower without it (p95 315 ms, with it 341).

use crate::clock;
use crate::control::document;

/// Time over which the seen mix halves its weight, in seconds.
const HALF_LIFE: f64 = 30.0;
/// Shortest time between two moves.
const STEP: clock::Span = clock::Span::from_secs(5);
/// Distance from the wanted number that makes it move.
const HYSTERESIS: f64 = 0.75;
/// Most of the engines that are kept clear while there are long prompts.
const MOST: f64 = 0.8;
/// Engines left to long prompts, as a multiple of their part of the work: they share these with
/// the short prompts that the clear ones cannot take.
const ROOM: f64 = 3.0;

/// How many engines are kept clear.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    work: [f64; 4],
    seen: clock::Moment,
    engines: usize,
    moved: clock::Moment,
}

impl Share {
    /// A prompt of this class and length came.
    pub fn offered(&mut self, now: clock::Moment, class: document::Class, tokens: u64) {
        let fade = (-now.since(self.seen).as_secs_f64() / HALF_LIFE).exp2();
        self.seen = now;
        for work in &mut self.work {
            *work *= fade;
        }
        self.work[class as usize] += tokens as f64;
    }

    /// Part of the prefill work that comes from prompts of this class and shorter ones.
    pub fn up_to(&self, class: document::Class) -> f64 {
        let all: f64 = self.work.iter().sum();
        let part: f64 = self.work[..=class as usize].iter().sum();
        if all > 0.0 { part / all } else { 1.0 }
    }

    /// Engines of `all` to keep clear now, where `short_share` is the owners' weight of short
    /// requests from 0 to 1.
    pub fn engines(&mut self, now: clock::Moment, all: usize, short_share: f64) -> usize {
        let long = 1.0 - self.up_to(document::Class::Medium);
        let room = (1.0 - ROOM * long).clamp(0.0, MOST);
        let wanted = if long > 0.0 { room * short_share } else { 0.0 };
        let wanted = wanted * all as f64;
        let most = all.saturating_sub(1);
        let off = wanted - self.engines as f64;
        if off.abs() >= HYSTERESIS && now.since(self.moved) >= STEP {
            self.engines = if off > 0.0 { self.engines + 1 } else { self.engines - 1 };
            self.moved = now;
        }
        self.engines = self.engines.min(most);
        self.engines
    }
}

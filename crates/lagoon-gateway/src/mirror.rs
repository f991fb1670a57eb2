//! A local copy of a table of the platform, which can report the changes since a version.
//!
//! Upstreams rewrite their entries every second, usually with only a counter changed. Such a row
//! keeps the version of its last relevant change, so that neither this host nor those that ask it
//! apply it again.

use std::collections;

use lagoon_platform::store;

use crate::event;

/// Maximum number of removed rows that are kept, so that their removal can be reported.
const MAX_REMOVED_ROWS: usize = 1_000;

/// Maximum number of ignored rows that are kept for the log.
const MAX_OLDER_ROWS: usize = 20;

/// Compares two values of the row with the given key; true if they are equivalent.
pub(crate) type SameValue = fn(&str, &[u8], &[u8]) -> bool;

/// The rows of a table.
#[derive(Debug)]
pub(crate) struct Mirror {
    /// Decides whether a change of a row is relevant.
    same: SameValue,
    rows: collections::BTreeMap<String, store::Row>,
    /// Version up to which the copy is complete; `None` until all rows have been read, and again
    /// when the platform no longer has the history of changes.
    version: Option<u64>,
    /// Version since which the copy has every change; earlier removals precede the first full read
    /// or were pruned.
    history_start: u64,
    /// Version of the last relevant change.
    last_change: u64,
    /// Rows with other values that were ignored as older since they were last taken.
    older_rows: Vec<OlderRow>,
}

/// A row that was ignored, as a newer one of its key is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct OlderRow {
    key: String,
    version: u64,
    known: u64,
}

impl OlderRow {
    /// Logs that this row of `table` was ignored.
    pub(crate) fn log(&self, table: &str) {
        event::Line::new("older_row_ignored")
            .text("dependency", table)
            .text("key", &self.key)
            .number("version", self.version)
            .number("known", self.known)
            .info();
    }
}

/// Changes of a table since some version, or all of its rows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Delta {
    /// The changed rows, or all rows.
    pub(crate) rows: Vec<store::Row>,
    /// Whether `rows` are all rows of the table.
    pub(crate) all: bool,
    /// Version up to which `rows` is complete.
    pub(crate) version: u64,
}

impl Mirror {
    /// Creates an empty copy that is not complete yet.
    pub(crate) fn new(same: SameValue) -> Mirror {
        Mirror {
            same,
            rows: collections::BTreeMap::new(),
            version: None,
            history_start: 0,
            last_change: 0,
            older_rows: Vec::new(),
        }
    }

    /// Returns the version up to which the copy is complete.
    pub(crate) fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the rows that exist.
    pub(crate) fn rows(&self) -> impl Iterator<Item = &store::Row> {
        self.rows.values().filter(|row| row.value.is_some())
    }

    /// Returns the version of the last relevant change.
    pub(crate) fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the rows that were ignored as older since the last call, and forgets them.
    pub(crate) fn take_older_rows(&mut self) -> Vec<OlderRow> {
        std::mem::take(&mut self.older_rows)
    }

    /// Marks the copy as incomplete, so that all rows are read again.
    pub(crate) fn mark_incomplete(&mut self) {
        self.version = None;
    }

    /// Applies changes, and returns the rows with relevant changes.
    ///
    /// Changes may arrive in two ways, directly and through the relay; a row older than the known
    /// one is ignored.
    pub(crate) fn apply(&mut self, delta: Delta) -> Vec<store::Row> {
        let stale = self.version.is_some_and(|known| known > delta.version);
        if delta.all && stale {
            return Vec::new();
        }
        let removed = if delta.all { self.missing_rows(&delta) } else { Vec::new() };
        if delta.all && self.version.is_none() {
            self.history_start = delta.version;
        }
        let rows = delta.rows.into_iter().chain(removed);
        let changed: Vec<_> = rows.filter(|row| self.store_row(row)).collect();
        self.version = self.version.max(Some(delta.version));
        self.prune_removed_rows();
        changed
    }

    /// Returns the changes since `version`, or all rows if it is `None` or too old. Returns `None`
    /// while this copy is not complete.
    pub(crate) fn changes_since(&self, version: Option<u64>) -> Option<Delta> {
        let complete = self.version?;
        let known = version.filter(|version| *version >= self.history_start);
        let rows = self.rows.values().filter(|row| match known {
            Some(version) => row.version > version,
            None => row.value.is_some(),
        });
        Some(Delta { rows: rows.cloned().collect(), all: known.is_none(), version: complete })
    }

    /// Returns removals for the known rows that are missing in a complete list.
    fn missing_rows(&self, delta: &Delta) -> Vec<store::Row> {
        let listed: collections::HashSet<_> = delta.rows.iter().map(|row| &row.key).collect();
        let known = self.rows.values().filter(|row| row.value.is_some());
        let removed = known.filter(|row| !listed.contains(&row.key));
        removed
            .map(|row| store::Row { value: None, version: delta.version, ..row.clone() })
            .collect()
    }

    /// Stores a row. Returns whether it differs from the known one.
    fn store_row(&mut self, row: &store::Row) -> bool {
        if let Some(known) = self.rows.get_mut(&row.key) {
            if known.version >= row.version {
                if known.value != row.value && self.older_rows.len() < MAX_OLDER_ROWS {
                    let (key, version) = (row.key.clone(), row.version);
                    self.older_rows.push(OlderRow { key, version, known: known.version });
                }
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
        self.last_change = self.last_change.max(row.version);
        self.rows.insert(row.key.clone(), row.clone());
        true
    }

    /// Drops the older half of the removed rows when there are too many.
    fn prune_removed_rows(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none());
        let mut versions: Vec<u64> = removed.map(|row| row.version).collect();
        if versions.len() <= MAX_REMOVED_ROWS {
            return;
        }
        versions.sort_unstable();
        self.history_start =
            self.history_start.max(versions[versions.len() - MAX_REMOVED_ROWS / 2]);
        let history_start = self.history_start;
        self.rows.retain(|_, row| row.value.is_some() || row.version > history_start);
    }
}

//! A local copy of a table of the platform, which can report the changes since a revision.
//!
//! Upstreams rewrite their entries every second, usually with only a counter changed. Such a row wakes
//! nobody that waits for changes, and is not applied again. It is handed on with the next changes, since
//! another host may have read that it was removed in between.

use std::collections;

use super::Revision;

/// Maximum number of removed rows that are kept, so that their removal can be reported.
const MAX_REMOVED_ROWS: usize = 1_000;
/// Maximum number of ignored rows that are kept for the log.
const MAX_IGNORED_ROWS: usize = 20;

/// Compares two values of the row with the given key; true if they are equivalent.
pub type SameValue = fn(&str, &[u8], &[u8]) -> bool;

/// A row of a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value of the row; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// When the row was written.
    pub revision: Revision,
}

/// Changes of a table since some revision, or all of its rows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delta {
    /// The changed rows, or all rows.
    pub rows: Vec<Row>,
    /// Revision after which the rows have changed; `None` if they are all rows of the table.
    pub since: Option<Revision>,
    /// Revision up to which `rows` is complete.
    pub revision: Revision,
}

/// A row with another value that was ignored, as a newer one of its key is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ignored {
    /// Key of the row.
    pub key: String,
    /// Revision of the ignored row.
    pub revision: Revision,
    /// Revision of the known row.
    pub known: Revision,
}

/// The rows of a table.
///
/// ```
/// use lagoonline::routing::{Delta, Mirror, Revision, Row};
/// let row = |era, version, value: &str| Row {
///     key: "k".to_owned(),
///     value: Some(value.into()),
///     revision: Revision { era, version },
/// };
/// let mut mirror = Mirror::new(|_, known, value| known == value);
/// let revision = Revision { era: 1, version: 9 };
/// mirror.apply(Delta { rows: vec![row(1, 9, "b")], since: None, revision });
/// // The store was restored from a copy of version 4.
/// let since = Some(revision);
/// let revision = Revision { era: 2, version: 4 };
/// let changed = mirror.apply(Delta { rows: vec![row(2, 3, "a")], since: None, revision });
/// assert_eq!(changed, Some(vec![row(2, 3, "a")]));
/// // A late answer from before.
/// let revision = Revision { era: 1, version: 10 };
/// assert_eq!(mirror.apply(Delta { rows: vec![row(1, 10, "c")], since, revision }), None);
/// ```
#[derive(Debug)]
pub struct Mirror {
    /// Decides whether a change of a row is relevant.
    same: SameValue,
    rows: collections::BTreeMap<String, Row>,
    /// Revision up to which rows have been read.
    revision: Revision,
    /// Whether the copy is complete up to `revision`: not until all rows have been read, and again when
    /// the platform no longer has the history of changes.
    complete: bool,
    /// Revision since which the copy has every change; earlier removals precede the first full read
    /// or were pruned.
    history_start: Revision,
    /// Revision of the last relevant change.
    last_change: Revision,
    ignored: Vec<Ignored>,
}

impl Mirror {
    /// Creates an empty copy that is not complete yet.
    pub fn new(same: SameValue) -> Mirror {
        Mirror {
            same,
            rows: collections::BTreeMap::new(),
            revision: Revision::default(),
            complete: false,
            history_start: Revision::default(),
            last_change: Revision::default(),
            ignored: Vec::new(),
        }
    }

    /// Returns the revision up to which the copy is complete.
    pub fn revision(&self) -> Option<Revision> {
        self.complete.then_some(self.revision)
    }

    /// Returns the revision up to which rows were last read, whether or not the copy is complete.
    pub fn last_read(&self) -> Revision {
        self.revision
    }

    /// Returns the rows that exist.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(|row| row.value.is_some())
    }

    /// Returns whether someone who has the changes up to `known` lacks a relevant one, or does not know
    /// the era.
    pub fn is_ahead_of(&self, known: Revision) -> bool {
        self.last_change > known || self.revision.era > known.era
    }

    /// Returns the rows that were ignored since the last call, and forgets them.
    pub fn take_ignored(&mut self) -> Vec<Ignored> {
        std::mem::take(&mut self.ignored)
    }

    /// Marks the copy as incomplete, so that all rows are read again.
    pub fn mark_incomplete(&mut self) {
        self.complete = false;
    }

    /// Applies changes, and returns the rows with relevant changes. The first rows of a later era are
    /// all relevant, whatever was known before.
    ///
    /// Returns `None` if the changes are of an earlier era than the copy, and also if they do not follow
    /// what has been read, so that all rows have to be read first.
    ///
    /// Changes may arrive in two ways, directly and through the relay; a row older than the known
    /// one is ignored.
    pub fn apply(&mut self, delta: Delta) -> Option<Vec<Row>> {
        if delta.revision.era < self.revision.era {
            return None;
        }
        let is_later_era = delta.revision.era > self.revision.era;
        let Some(since) = delta.since else {
            return if is_later_era { Some(self.replace(delta)) } else { self.apply_all(delta) };
        };
        if is_later_era || since.era != delta.revision.era || since > self.revision {
            self.complete = false;
            return None;
        }
        Some(self.store_rows(delta.rows, delta.revision))
    }

    /// Applies all rows of the known era. Returns `None` if they do not make the copy complete, since
    /// they are older than what has been read.
    fn apply_all(&mut self, delta: Delta) -> Option<Vec<Row>> {
        if self.revision > delta.revision {
            return self.complete.then(Vec::new);
        }
        let removed = self.missing_rows(&delta);
        let changed = self.store_rows(delta.rows.into_iter().chain(removed), delta.revision);
        // The list does not show rows that were added and removed since the last read.
        self.history_start = delta.revision;
        self.complete = true;
        Some(changed)
    }

    /// Stores the rows that are newer than the known ones, and returns those with relevant changes.
    fn store_rows<Rows>(&mut self, rows: Rows, revision: Revision) -> Vec<Row>
    where
        Rows: IntoIterator<Item = Row>,
    {
        let changed = rows.into_iter().filter(|row| self.store_row(row)).collect();
        self.revision = self.revision.max(revision);
        self.prune_removed_rows();
        changed
    }

    /// Returns the changes since `revision`, or all rows if it is `None` or too old. Returns `None`
    /// while this copy is not complete.
    pub fn changes_since(&self, revision: Option<Revision>) -> Option<Delta> {
        let complete = self.revision()?;
        let known = revision.filter(|revision| *revision >= self.history_start);
        let rows = self.rows.values().filter(|row| match known {
            Some(revision) => row.revision > revision,
            None => row.value.is_some(),
        });
        Some(Delta { rows: rows.cloned().collect(), since: known, revision: complete })
    }

    /// Replaces all rows by those of a later era, and returns them and the removals of others.
    fn replace(&mut self, delta: Delta) -> Vec<Row> {
        let removed = self.missing_rows(&delta);
        let changed: Vec<_> = delta.rows.into_iter().chain(removed).collect();
        self.rows = changed.iter().map(|row| (row.key.clone(), row.clone())).collect();
        (self.revision, self.complete) = (delta.revision, true);
        (self.history_start, self.last_change) = (delta.revision, delta.revision);
        self.prune_removed_rows();
        changed
    }

    /// Returns removals for the known rows that are missing in a complete list.
    fn missing_rows(&self, delta: &Delta) -> Vec<Row> {
        let listed: collections::HashSet<_> = delta.rows.iter().map(|row| &row.key).collect();
        let known = self.rows.values().filter(|row| row.value.is_some());
        let removed = known.filter(|row| !listed.contains(&row.key));
        removed.map(|row| Row { value: None, revision: delta.revision, ..row.clone() }).collect()
    }

    /// Stores a row. Returns whether it differs from the known one.
    fn store_row(&mut self, row: &Row) -> bool {
        if let Some(known) = self.rows.get_mut(&row.key) {
            let same = match (&known.value, &row.value) {
                (Some(known), Some(value)) => (self.same)(&row.key, known, value),
                (None, None) => true,
                _ => false,
            };
            if !same && known.revision >= row.revision && self.ignored.len() < MAX_IGNORED_ROWS {
                let (key, revision) = (row.key.clone(), row.revision);
                self.ignored.push(Ignored { key, revision, known: known.revision });
            }
            if known.revision >= row.revision {
                return false;
            }
            if same {
                known.revision = row.revision;
                return false;
            }
        } else if self.complete && row.revision <= self.history_start {
            // It was removed before the history of this copy begins.
            return false;
        }
        self.last_change = self.last_change.max(row.revision);
        self.rows.insert(row.key.clone(), row.clone());
        true
    }

    /// Drops the older half of the removed rows when there are too many.
    fn prune_removed_rows(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none());
        let mut revisions: Vec<Revision> = removed.map(|row| row.revision).collect();
        if revisions.len() <= MAX_REMOVED_ROWS {
            return;
        }
        revisions.sort_unstable();
        self.history_start =
            self.history_start.max(revisions[revisions.len() - MAX_REMOVED_ROWS / 2]);
        let history_start = self.history_start;
        self.rows.retain(|_, row| row.value.is_some() || row.revision > history_start);
    }
}

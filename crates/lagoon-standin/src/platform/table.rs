//! Versioned key-value table with atomic transactions.

use std::collections;

use serde::{Deserialize, Serialize};

/// One row of the table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value of the row, a JSON text.
    pub value: String,
    /// Number of writes to this key, also before it was last deleted.
    pub version: u64,
}

/// A precondition of a transaction: the row has this version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// Expected version; 0 if the row must not exist.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Put {
    /// The row's key.
    pub key: String,
    /// Its new value.
    pub value: String,
}

/// A transaction: either all its writes take effect or none.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Commit {
    /// Preconditions, which must all hold.
    pub checks: Vec<Check>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys of the rows to delete.
    pub deletes: Vec<String>,
}

/// A precondition did not hold, and nothing was written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Conflict;

#[derive(Clone, Debug, Default)]
struct Cell {
    /// `None` for a deleted row. Its cell stays so that versions continue and are never reused.
    value: Option<String>,
    version: u64,
}

/// All rows, ordered by key.
#[derive(Debug, Default)]
pub struct Table {
    cells: collections::BTreeMap<String, Cell>,
}

impl Table {
    /// Returns the row of this key, or `None` if it does not exist.
    pub fn row(&self, key: &str) -> Option<Row> {
        let cell = self.cells.get(key)?;
        let value = cell.value.clone()?;
        Some(Row { key: key.to_owned(), value, version: cell.version })
    }

    /// Returns up to `limit` rows whose keys start with `prefix` and sort after `after`.
    pub fn rows(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let from = self.cells.range(prefix.to_owned()..);
        let matching = from.take_while(|(key, _)| key.starts_with(prefix));
        let later = matching.filter(|(key, _)| key.as_str() > after);
        later.filter_map(|(key, _)| self.row(key)).take(limit).collect()
    }

    /// Writes one row and returns its new version.
    pub fn put(&mut self, key: &str, value: &str) -> u64 {
        let cell = self.cells.entry(key.to_owned()).or_default();
        cell.value = Some(value.to_owned());
        cell.version += 1;
        cell.version
    }

    /// Commits a transaction. Returns the new version of each written row, then 0 for each deleted
    /// row.
    ///
    /// # Errors
    ///
    /// Returns [`Conflict`] if a precondition does not hold.
    ///
    /// ```
    /// use lagoon_standin::platform::{Commit, Table};
    /// let mut table = Table::default();
    /// let commit = r#"{"checks": [{"key": "a", "version": 0}], "puts": [{"key": "a", "value": "1"}]}"#;
    /// let commit: Commit = serde_json::from_str(commit).unwrap();
    /// assert_eq!(table.commit(&commit), Ok(vec![1]));
    /// assert!(table.commit(&commit).is_err());
    /// ```
    pub fn commit(&mut self, commit: &Commit) -> Result<Vec<u64>, Conflict> {
        let version = |key: &str| self.row(key).map_or(0, |row| row.version);
        if commit.checks.iter().any(|check| version(&check.key) != check.version) {
            return Err(Conflict);
        }
        let mut versions = Vec::with_capacity(commit.puts.len() + commit.deletes.len());
        for put in &commit.puts {
            versions.push(self.put(&put.key, &put.value));
        }
        for key in &commit.deletes {
            if let Some(cell) = self.cells.get_mut(key) {
                cell.value = None;
            }
            versions.push(0);
        }
        Ok(versions)
    }
}

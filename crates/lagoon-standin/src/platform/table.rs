//! The table: rows with versions, and transactions that take effect whole or not at all.

use std::collections;

use serde::{Deserialize, Serialize};

/// One row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its value: a JSON text.
    pub value: String,
    /// Counts the writes of this key.
    pub version: u64,
}

/// A condition of a transaction: the row is at this version, 0 for absent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// Its version.
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

/// A transaction.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Commit {
    /// All must hold.
    pub checks: Vec<Check>,
    /// Rows written.
    pub puts: Vec<Put>,
    /// Rows removed.
    pub deletes: Vec<String>,
}

/// A check did not hold; nothing was written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Conflict;

#[derive(Clone, Debug, Default)]
struct Cell {
    /// `None` for a row that was removed: its versions go on, so none comes twice.
    value: Option<String>,
    version: u64,
}

/// All rows.
#[derive(Debug, Default)]
pub struct Table {
    cells: collections::BTreeMap<String, Cell>,
}

impl Table {
    /// The row of this key.
    pub fn row(&self, key: &str) -> Option<Row> {
        let cell = self.cells.get(key)?;
        let value = cell.value.clone()?;
        Some(Row { key: key.to_owned(), value, version: cell.version })
    }

    /// Up to `limit` rows whose keys start with `prefix` and come after `after`.
    pub fn rows(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let from = self.cells.range(prefix.to_owned()..);
        let matching = from.take_while(|(key, _)| key.starts_with(prefix));
        let later = matching.filter(|(key, _)| key.as_str() > after);
        later.filter_map(|(key, _)| self.row(key)).take(limit).collect()
    }

    /// Writes one row; its new version.
    pub fn put(&mut self, key: &str, value: &str) -> u64 {
        let cell = self.cells.entry(key.to_owned()).or_default();
        cell.value = Some(value.to_owned());
        cell.version += 1;
        cell.version
    }

    /// Carries out a transaction: the versions of the rows written, then 0 for each removed.
    ///
    /// # Errors
    ///
    /// A check did not hold.
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

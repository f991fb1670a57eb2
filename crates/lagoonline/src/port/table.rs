//! The platform's transactional table service.

use std::future;

/// A row's value and its version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The row's value: a JSON text.
    pub value: String,
    /// Counts the writes of this row; 0 stands for a row that does not exist.
    pub version: u64,
}

/// A condition that a transaction needs: the row is at this version (0: absent).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The version it must be at.
    pub version: u64,
}

/// One change of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Writes the row.
    Put {
        /// The row's key.
        key: String,
        /// Its new value: a JSON text.
        value: String,
    },
    /// Removes the row.
    Delete {
        /// The row's key.
        key: String,
    },
}

/// Changes that take effect together if every check holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// All must hold.
    pub checks: Vec<Check>,
    /// All take effect, or none does.
    pub changes: Vec<Change>,
}

/// Why a call of the table service did not give its answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A check did not hold; nothing was written.
    #[error("{step}: a row has changed")]
    Conflict {
        /// What was being done.
        step: &'static str,
    },
    /// The call cannot have taken effect: it was refused or never sent.
    #[error("{step}: refused by {peer}: {why}")]
    Refused {
        /// What was being done.
        step: &'static str,
        /// The table service's address.
        peer: String,
        /// Its answer, or what prevented the call.
        why: String,
    },
    /// The answer was lost: the call may or may not have taken effect, or may yet do so.
    #[error("{step}: no answer from {peer}: {why}")]
    Unknown {
        /// What was being done.
        step: &'static str,
        /// The table service's address.
        peer: String,
        /// What was seen.
        why: String,
    },
}

/// Reads and conditional writes of rows. Reads see every write that was answered before.
pub trait Table {
    /// Reads one row; `None` when there is none.
    ///
    /// # Errors
    ///
    /// `Refused` or `Unknown`; a read has no effect in either case.
    fn read(&self, key: &str) -> impl future::Future<Output = Result<Option<Row>, Error>>;

    /// Reads up to `limit` rows whose key starts with `prefix` and is greater than `after`.
    ///
    /// # Errors
    ///
    /// As [`Table::read`].
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl future::Future<Output = Result<Vec<Row>, Error>>;

    /// Carries out a transaction; the answer has the new version of each changed row, in order.
    ///
    /// # Errors
    ///
    /// `Conflict` when a check failed, `Refused` when nothing can have been written, `Unknown`
    /// when that cannot be told.
    fn commit(
        &self,
        transaction: Transaction,
    ) -> impl future::Future<Output = Result<Vec<u64>, Error>>;
}

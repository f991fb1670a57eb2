//! The platform's transactional table service.

use std::future;

/// A row with its version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value of the row, as JSON text.
    pub value: String,
    /// Number of writes to the row; 0 stands for a row that does not exist.
    pub version: u64,
}

/// A precondition of a transaction: the row must be at this version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// The required version; 0 requires that the row does not exist.
    pub version: u64,
}

/// A change made by a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Writes the row.
    Put {
        /// Key of the row.
        key: String,
        /// New value of the row, as JSON text.
        value: String,
    },
    /// Removes the row.
    Delete {
        /// Key of the row.
        key: String,
    },
}

/// Changes that are applied together if all checks hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Preconditions, all of which must hold.
    pub checks: Vec<Check>,
    /// Changes, of which either all are applied or none.
    pub changes: Vec<Change>,
}

/// Why a call to the table service failed. The other services of the platform use the same error.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A check did not hold, so nothing was written.
    #[error("{step}: a row has changed")]
    Conflict {
        /// The operation that failed, as text for the message.
        step: &'static str,
    },
    /// The call was refused or never sent, so it cannot have taken effect.
    #[error("{step}: refused by {peer}: {why}")]
    Refused {
        /// The operation that failed, as text for the message.
        step: &'static str,
        /// Address of the service.
        peer: String,
        /// The service's answer, or what prevented the call.
        why: String,
    },
    /// The answer was lost. The call may have taken effect, or may still do so later.
    #[error("{step}: no answer from {peer}: {why}")]
    Unknown {
        /// The operation that failed, as text for the message.
        step: &'static str,
        /// Address of the service.
        peer: String,
        /// How the answer was lost.
        why: String,
    },
}

/// Reads and conditional writes of rows. A read sees every write that was confirmed before it.
pub trait Table {
    /// Reads a row; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns `Refused` or `Unknown`; the read has no effect in either case.
    fn read(&self, key: &str) -> impl future::Future<Output = Result<Option<Row>, Error>>;

    /// Reads up to `limit` rows whose key starts with `prefix` and is greater than `after`.
    ///
    /// # Errors
    ///
    /// Same as [`Table::read`].
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl future::Future<Output = Result<Vec<Row>, Error>>;

    /// Executes a transaction; returns the new version of each changed row, in order.
    ///
    /// # Errors
    ///
    /// Returns `Conflict` if a check failed, `Refused` if nothing can have been written, and
    /// `Unknown` if the result is not known.
    fn commit(
        &self,
        transaction: Transaction,
    ) -> impl future::Future<Output = Result<Vec<u64>, Error>>;
}

//! The platform's object store.

use std::future;

use bytes::Bytes;

use super::table;

/// Whole objects by key; a put replaces the object and may be repeated.
pub trait Objects {
    /// Stores `body` under `key`.
    ///
    /// # Errors
    ///
    /// As of the table service: `Refused` or `Unknown`.
    fn put(&self, key: &str, body: Bytes)
    -> impl future::Future<Output = Result<(), table::Error>>;

    /// Reads the object under `key`; `None` when there is none.
    ///
    /// # Errors
    ///
    /// As [`Objects::put`].
    fn get(&self, key: &str) -> impl future::Future<Output = Result<Option<Bytes>, table::Error>>;
}

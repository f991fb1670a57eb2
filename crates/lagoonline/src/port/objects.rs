//! The platform's object store.

use std::future;

use bytes::Bytes;

use super::table;

/// Storage of whole objects by key. Storing an object replaces it and may be repeated.
pub trait Objects {
    /// Stores `body` under `key`.
    ///
    /// # Errors
    ///
    /// Returns `Refused` or `Unknown`, as for the table service.
    fn put(&self, key: &str, body: Bytes)
    -> impl future::Future<Output = Result<(), table::Error>>;

    /// Reads the object under `key`; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Same as [`Objects::put`].
    fn get(&self, key: &str) -> impl future::Future<Output = Result<Option<Bytes>, table::Error>>;
}

//! What a claim row holds.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::Digest;

use crate::clock;
use crate::id;
use crate::life::request;

/// A keyed request that wants to run.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Who asks: the scope of the key.
    pub customer: id::Customer,
    /// The caller's key.
    pub key: String,
    /// From [`body_hash`].
    pub body: String,
    /// Whether the call may run more than once.
    pub repeat: request::Repeat,
    /// Names this claim; fresh for each request.
    pub token: id::Attempt,
    /// The upstream it is to go to.
    pub upstream: id::Upstream,
    /// When the request ends at the latest, by this process's monotonic clock.
    pub deadline: clock::Moment,
    /// Wall time now, in milliseconds since the Unix epoch; only retention goes by it.
    pub wall_ms: u64,
}

/// A whole answer, as it is replayed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type`.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// Where a stored answer's body is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kept {
    /// In the row.
    Inline(String),
    /// In the object store, under this key.
    Object(String),
}

/// How far the claim's request came.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum State {
    /// It may have been dispatched.
    Claimed {
        /// The attempt on its way, 32 hex digits.
        attempt: String,
        /// The upstream it goes to.
        upstream: id::Upstream,
    },
    /// It ran and its answer is kept.
    Done {
        /// The HTTP status.
        status: u16,
        /// The `Content-Type`.
        content_type: String,
        /// The body's place.
        kept: Kept,
        /// The body's length.
        bytes: u64,
        /// The body's SHA-256 in hex digits.
        sha256: String,
    },
    /// It may have run; its answer is lost.
    Unknown,
    /// It did not run and never will: the key is free.
    Released,
}

/// The value of a claim row, as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Names the claim, 32 hex digits.
    pub token: String,
    /// From [`body_hash`].
    pub body: String,
    /// `HOST/INCARNATION` of the entry host that wrote it.
    pub holder: String,
    /// Wall time of the claim in milliseconds since the Unix epoch; retention counts from it.
    pub written_ms: u64,
    /// How far it came.
    #[serde(flatten)]
    pub state: State,
}

pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub(crate) fn sha256(bytes: &[u8]) -> String {
    hex(&sha2::Sha256::digest(bytes))
}

/// Hash of what makes two requests the same: method, path with query, and body.
///
/// ```
/// use lagoonline::life::claim::body_hash;
/// assert_ne!(body_hash("POST", "/a", b"b"), body_hash("POST", "/ab", b""));
/// ```
pub fn body_hash(method: &str, path: &str, body: &[u8]) -> String {
    let mut hash = sha2::Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hex(&hash.finalize())
}

/// Key of the claim's row; the caller's key is hashed, so that it cannot name another's row.
///
/// ```
/// use lagoonline::{id::Customer, life::claim::row_key};
/// let key = row_key(&Customer::from("crew"), "../other/x");
/// assert!(key.contains("/crew/") && !key.contains(".."));
/// ```
pub fn row_key(customer: &id::Customer, key: &str) -> String {
    let hash = sha256(key.as_bytes());
    format!("{}{customer}/{hash}", shard_prefix(shard(key)))
}

/// The shard of a key's row, by the key's hash: the sweep is divided by shards.
///
/// ```
/// use lagoonline::{id::Customer, life::claim::{row_key, shard}};
/// let row = row_key(&Customer::from("crew"), "k");
/// assert!(row.starts_with(&format!("claim/{:02x}/crew/", shard("k"))));
/// ```
pub fn shard(key: &str) -> u8 {
    sha2::Sha256::digest(key.as_bytes())[0]
}

pub(super) fn shard_prefix(shard: u8) -> String {
    format!("claim/{shard:02x}/")
}

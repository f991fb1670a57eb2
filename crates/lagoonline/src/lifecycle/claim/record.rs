//! Contents of a claim row.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::Digest;

use crate::clock;
use crate::id;
use crate::lifecycle::request;

/// A request with an idempotency key that is to be run: the input of [`super::Claims::begin`].
#[derive(Clone, Debug)]
pub struct Request {
    /// The calling customer, which is the scope of the key.
    pub customer: id::Customer,
    /// The idempotency key sent by the caller.
    pub key: String,
    /// Hash of the request, from [`request_hash`].
    pub request_hash: String,
    /// Whether the call may run more than once.
    pub repeat: request::Repeat,
    /// Identifies this claim; unique to each request. It is also the id of the request's first
    /// attempt.
    pub token: id::Attempt,
    /// The upstream that the request is to be sent to.
    pub upstream: id::Upstream,
    /// When the request ends at the latest, on this process's monotonic clock.
    pub deadline: clock::Moment,
    /// Current wall time in milliseconds since the Unix epoch; used for retention only.
    pub wall_ms: u64,
}

/// A complete answer for replay.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type`.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// Where the body of a stored answer is kept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BodyLocation {
    /// In the row itself.
    Inline(String),
    /// In the object store, under this key.
    Object(String),
}

/// Progress of the claim's request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum State {
    /// The request may have been dispatched.
    Claimed {
        /// The attempt in flight, as 32 hex digits.
        attempt: String,
        /// The upstream that it was sent to.
        upstream: id::Upstream,
    },
    /// The request ran and its answer is stored.
    Done {
        /// The HTTP status.
        status: u16,
        /// The `Content-Type`.
        content_type: String,
        /// Location of the body.
        kept: BodyLocation,
        /// Length of the body in bytes.
        bytes: u64,
        /// SHA-256 of the body in hex digits.
        sha256: String,
    },
    /// The request may have run; its answer is lost.
    Unknown,
    /// The request did not run and never will, so the key is free.
    Released,
}

/// The value of a claim row, as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Identifies the claim, as 32 hex digits.
    pub token: String,
    /// Hash of the request, from [`request_hash`].
    pub body: String,
    /// The entry host that wrote the row, as `HOST/INCARNATION`.
    pub holder: String,
    /// Wall time of the claim in milliseconds since the Unix epoch; start of the retention time.
    pub written_ms: u64,
    /// Progress of the request.
    #[serde(flatten)]
    pub state: State,
}

pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub(crate) fn sha256(bytes: &[u8]) -> String {
    hex(&sha2::Sha256::digest(bytes))
}

/// Returns a hash of the parts that identify a request: method, path with query, and body.
///
/// ```
/// use lagoonline::lifecycle::claim::request_hash;
/// assert_ne!(request_hash("POST", "/a", b"b"), request_hash("POST", "/ab", b""));
/// ```
pub fn request_hash(method: &str, path: &str, body: &[u8]) -> String {
    let mut hash = sha2::Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hex(&hash.finalize())
}

/// Returns the key of a claim's row. The caller's key is hashed so that it cannot be crafted to
/// address another customer's row.
///
/// ```
/// use lagoonline::{id::Customer, lifecycle::claim::row_key};
/// let key = row_key(&Customer::from("crew"), "../other/x");
/// assert!(key.contains("/crew/") && !key.contains(".."));
/// ```
pub fn row_key(customer: &id::Customer, key: &str) -> String {
    let hash = sha256(key.as_bytes());
    format!("{}{customer}/{hash}", shard_prefix(shard(key)))
}

/// Returns the shard of a key's row, derived from the key's hash. Rows are swept shard by shard.
///
/// ```
/// use lagoonline::{id::Customer, lifecycle::claim::{row_key, shard}};
/// let row = row_key(&Customer::from("crew"), "k");
/// assert!(row.starts_with(&format!("claim/{:02x}/crew/", shard("k"))));
/// ```
pub fn shard(key: &str) -> u8 {
    sha2::Sha256::digest(key.as_bytes())[0]
}

pub(super) fn shard_prefix(shard: u8) -> String {
    format!("claim/{shard:02x}/")
}

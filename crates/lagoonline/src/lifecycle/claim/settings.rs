//! Limits for idempotency claims.

use crate::clock;
use crate::id;
use crate::lifecycle::safeguard;

/// Limits for idempotency claims.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This entry host and its incarnation.
    pub owner: id::Owner,
    /// Longest answer body stored in the row, in bytes; longer ones are stored as objects.
    pub inline_bytes: usize,
    /// Number of commits attempted for one row change before it is given up.
    pub max_commits: u32,
    /// How long after a request's deadline its row may still be written. [`MAX_DEADLINE`] leaves
    /// twice this time before the retention ends.
    pub write_grace: clock::Span,
    /// `Retry-After` for requests refused because the platform is unreachable, or because an
    /// earlier request with the key may have run.
    pub retry_after: clock::Span,
    /// Safeguards in force; all of them outside of mutation tests.
    pub safeguards: safeguard::Set,
}

/// Three commits cover one lost reply and one lost race; more would add load during an outage.
const MAX_COMMITS: u32 = 3;
/// Shortest claim retention that a site may configure.
pub const MIN_RETENTION: clock::Span = clock::Span::from_secs(24 * 3_600);
/// Longest deadline that a document may configure. A row is written until `WRITE_GRACE` after the
/// deadline, and the same time again is left for a suspended host or a delayed commit before the
/// retention can end. Otherwise a host could still dispatch a request, or free its key, after the
/// row was deleted, and the call would run twice.
pub const MAX_DEADLINE: clock::Span = MIN_RETENTION.saturating_sub(WRITE_GRACE.saturating_mul(2));
/// A platform outage may last this long before an answer is left unstored.
const WRITE_GRACE: clock::Span = clock::Span::from_secs(3_600);
/// Longer than the answers of most keyed requests, and keeps scanned rows small.
const INLINE_BYTES: usize = 4_096;

impl Default for Settings {
    fn default() -> Self {
        Settings {
            owner: id::Owner::default(),
            inline_bytes: INLINE_BYTES,
            max_commits: MAX_COMMITS,
            write_grace: WRITE_GRACE,
            retry_after: clock::Span::from_secs(1),
            safeguards: safeguard::Set::default(),
        }
    }
}

//! Limits of the claims.

use crate::clock;
use crate::id;
use crate::life::safeguard;

/// Limits of the claims.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The entry host, in this life.
    pub owner: id::Owner,
    /// Longest answer body kept in the row, in bytes; longer ones are objects.
    pub inline_bytes: usize,
    /// Commits tried for one change of a row before it is given up.
    pub rounds: u32,
    /// How long after the request's deadline its row may still be written; hours less than
    /// retention.
    pub patience: clock::Span,
    /// When a caller refused for the platform's sake is told to come back.
    pub retry_after: clock::Span,
    /// All but in tests of the oracle.
    pub safeguards: safeguard::Set,
}

/// Three commits ride out a lost answer and a lost race; more would add load to an outage.
const ROUNDS: u32 = 3;
/// Shortest retention of claims that a site may set.
pub const LEAST_RETENTION: clock::Span = clock::Span::from_secs(24 * 3_600);
/// Longest deadline that a document may allow. A row is written until `PATIENCE` after it, and as
/// much again is left for a host that sleeps or a commit that is late, before retention can end:
/// else a host dispatches, or frees, a key whose row is gone, and the call runs twice.
pub const LONGEST_DEADLINE: clock::Span =
    LEAST_RETENTION.saturating_sub(PATIENCE.saturating_mul(2));
/// An outage of the platform may last this long before an answer stays unstored.
const PATIENCE: clock::Span = clock::Span::from_secs(3_600);
/// Most bookings answer in less; it keeps a scanned row small.
const INLINE_BYTES: usize = 4_096;

impl Default for Settings {
    fn default() -> Self {
        Settings {
            owner: id::Owner::default(),
            inline_bytes: INLINE_BYTES,
            rounds: ROUNDS,
            patience: PATIENCE,
            retry_after: clock::Span::from_secs(1),
            safeguards: safeguard::Set::default(),
        }
    }
}

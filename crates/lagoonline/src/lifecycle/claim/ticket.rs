//! Typestates of an established claim: only its holder may dispatch, and only one attempt at a
//! time. They go along with the typestates of [`crate::lifecycle::request`], which every request
//! has, with or without a key.

use super::record;
use crate::clock;
use crate::id;
use crate::lifecycle::safeguard;

/// The right to dispatch a request under its key. The row is known to be in the table and no
/// attempt is in flight.
#[derive(Debug)]
pub struct Ticket {
    pub(super) request: record::Request,
    pub(super) row_key: String,
    pub(super) version: u64,
    pub(super) safeguards: safeguard::Set,
}

/// The deadline has passed, so the ticket must be released.
#[derive(Debug)]
pub struct Expired(pub Box<Ticket>);

/// A ticket whose request may have reached the upstream.
#[derive(Debug)]
pub struct Sent(pub(super) Ticket);

/// A repeatable request with the same key that may be running, and where its stream can be resumed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Running {
    /// The attempt to resume.
    pub attempt: id::Attempt,
    /// The engine that the attempt runs on.
    pub upstream: id::Upstream,
    /// The entry host that dispatched it, as `HOST/INCARNATION`.
    pub holder: String,
    /// Version of the row, for [`super::Claims::take_over`].
    pub version: u64,
}

impl Ticket {
    /// Marks the request as sent; call this before the first byte may leave.
    ///
    /// A host may pause after claiming the key until the row's retention ends and another host
    /// claims and runs the call. Deadlines are hours shorter than the retention, so a ticket used
    /// before its deadline still has its row, and the call cannot run twice.
    ///
    /// # Errors
    ///
    /// Returns the ticket if its deadline has passed.
    pub fn dispatch(self, now: clock::Moment) -> Result<Sent, Expired> {
        let is_late = now >= self.request.deadline;
        if is_late && self.safeguards.has(safeguard::Safeguard::DispatchDeadline) {
            return Err(Expired(Box::new(self)));
        }
        Ok(Sent(self))
    }

    /// Returns the token that identifies the claim.
    pub fn token(&self) -> id::Attempt {
        self.request.token
    }
}

impl Sent {
    /// Returns the ticket after the upstream proved that this dispatch did not and will not run.
    pub fn refused(self) -> Ticket {
        self.0
    }

    /// Returns the token that identifies the claim.
    pub fn token(&self) -> id::Attempt {
        self.0.request.token
    }
}

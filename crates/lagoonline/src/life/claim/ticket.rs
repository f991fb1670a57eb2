//! A claim that stands, as types: only its holder may dispatch, and only once at a time.

use super::record;
use crate::clock;
use crate::id;
use crate::life::safeguard;

/// The right to dispatch under a key: the row is known to stand, and nothing is on its way.
#[derive(Debug)]
pub struct Ticket {
    pub(super) ask: record::Ask,
    pub(super) row: String,
    pub(super) version: u64,
    pub(super) safeguards: safeguard::Set,
}

/// The deadline has passed: the ticket is to be released.
#[derive(Debug)]
pub struct Expired(pub Box<Ticket>);

/// A ticket whose request may have reached the upstream.
#[derive(Debug)]
pub struct Sent(pub(super) Ticket);

/// A repeatable call with this key that may be running: where its stream can be resumed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Running {
    /// The attempt to resume.
    pub attempt: id::Attempt,
    /// The engine it runs on.
    pub upstream: id::Upstream,
    /// Who dispatched it, as `HOST/INCARNATION`.
    pub holder: String,
    /// The row's version, for [`super::Claims::take_over`].
    pub version: u64,
}

impl Ticket {
    /// Call this before the first byte may leave.
    ///
    /// Failure answered: a host pauses after its claim, its row's retention ends, another host
    /// claims and runs, and the first resumes and runs it again. Deadlines are hours shorter than
    /// retention, so a ticket that is used before its deadline still has its row.
    ///
    /// # Errors
    ///
    /// The ticket back, when its deadline has passed.
    pub fn dispatch(self, now: clock::Moment) -> Result<Sent, Expired> {
        let late = now >= self.ask.deadline;
        if late && self.safeguards.has(safeguard::Safeguard::DispatchDeadline) {
            return Err(Expired(Box::new(self)));
        }
        Ok(Sent(self))
    }

    /// The claim's name.
    pub fn token(&self) -> id::Attempt {
        self.ask.token
    }
}

impl Sent {
    /// The upstream proved that this dispatch did not and will not run.
    pub fn refused(self) -> Ticket {
        self.0
    }

    /// The claim's name.
    pub fn token(&self) -> id::Attempt {
        self.0.ask.token
    }
}

//! Typestates of a request that ensure that a non-repeatable call is dispatched at most once.
//!
//! If a non-idempotent call were sent again after its answer was lost, it would run twice and, for
//! example, charge a fine twice. [`Dispatched`] is consumed by each event. Only
//! [`Dispatched::refused`], which requires proof from the upstream that it did not run the call,
//! [`Dispatched::withheld`], which nothing was sent before, and [`Lost::retry`], which checks that the
//! call may repeat, lead back to [`Pending`]. This is
//! sufficient because [`Pending::dispatch`] is the only way to start an attempt and `Pending`
//! cannot be copied. For a request with an idempotency key, the typestates of
//! [`crate::lifecycle::claim::Ticket`] apply as well.
//!
//! ```
//! use lagoonline::{id::Attempt, lifecycle::request::{Pending, Repeat}, outcome::Outcome};
//! let pending = Pending::new(Repeat::Never);
//! let lost = pending.dispatch(Attempt(1)).lost();
//! assert_eq!(lost.retry().unwrap_err(), Outcome::Unknown);
//! ```
//!
//! Dispatching a request again while an attempt is in flight does not compile:
//!
//! ```compile_fail,E0382
//! use lagoonline::{id::Attempt, lifecycle::request::{Pending, Repeat}};
//! let pending = Pending::new(Repeat::Never);
//! let first = pending.dispatch(Attempt(1));
//! let second = pending.dispatch(Attempt(2));
//! ```

use crate::id;
use crate::outcome;

/// Whether the call may run more than once, in other words whether it is repeatable or idempotent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// A non-idempotent call, which runs at most once.
    Never,
    /// An idempotent call, such as a model call.
    Allowed,
}

/// A request with no attempt in flight.
#[derive(Debug)]
pub struct Pending {
    repeat: Repeat,
    attempts: u32,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
}

impl Pending {
    /// Creates a request that has not been dispatched.
    pub fn new(repeat: Repeat) -> Self {
        Pending { repeat, attempts: 0, may_have_run: false }
    }

    /// Returns the number of attempts made so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns whether the call may run more than once.
    pub fn repeat(&self) -> Repeat {
        self.repeat
    }

    /// Starts an attempt; call this before the first byte may leave for the upstream.
    pub fn dispatch(self, attempt: id::Attempt) -> Dispatched {
        Dispatched { attempt, pending: Pending { attempts: self.attempts + 1, ..self } }
    }

    /// Gives up and returns the outcome to report to the caller.
    pub fn end(self) -> outcome::Outcome {
        if self.may_have_run { outcome::Outcome::Unknown } else { outcome::Outcome::NotRun }
    }
}

/// A request with an attempt in flight that has not been answered yet. The upstream may have
/// received some of it.
#[derive(Debug)]
pub struct Dispatched {
    attempt: id::Attempt,
    pending: Pending,
}

impl Dispatched {
    /// Returns the attempt in flight.
    pub fn attempt(&self) -> id::Attempt {
        self.attempt
    }

    /// Handles proof that this attempt did not and will not run: the upstream refused it
    /// explicitly, or no connection to it was established.
    pub fn refused(self) -> Pending {
        self.pending
    }

    /// Takes back an attempt of which this host decided to send nothing; it does not count.
    pub fn withheld(self) -> Pending {
        Pending { attempts: self.pending.attempts - 1, ..self.pending }
    }

    /// Handles the start of the answer.
    pub fn answering(self) -> Answering {
        Answering { attempt: self.attempt, pending: self.pending }
    }

    /// Handles the loss of the answer: the connection broke or the deadline passed.
    pub fn lost(self) -> Lost {
        Lost { pending: Pending { may_have_run: true, ..self.pending } }
    }
}

/// A request whose answer is arriving.
#[derive(Debug)]
pub struct Answering {
    attempt: id::Attempt,
    pending: Pending,
}

impl Answering {
    /// Returns the attempt that is being answered.
    pub fn attempt(&self) -> id::Attempt {
        self.attempt
    }

    /// Ends the request after the whole answer was checked and delivered.
    pub fn complete(self) -> outcome::Outcome {
        outcome::Outcome::Done
    }

    /// Handles an answer that broke off or violated the protocol. The same attempt may still be
    /// resumed where it runs, which is not a new dispatch.
    pub fn broken(self) -> Lost {
        Lost { pending: Pending { may_have_run: true, ..self.pending } }
    }
}

/// A request whose attempt may have run but will deliver no answer.
#[derive(Debug)]
pub struct Lost {
    pending: Pending,
}

impl Lost {
    /// Returns the request for another attempt.
    ///
    /// # Errors
    ///
    /// Returns the outcome to report to the caller if the call must not repeat.
    pub fn retry(self) -> Result<Pending, outcome::Outcome> {
        match self.pending.repeat {
            Repeat::Allowed => Ok(self.pending),
            Repeat::Never => Err(outcome::Outcome::Unknown),
        }
    }

    /// Gives up and returns the outcome to report to the caller.
    pub fn end(self) -> outcome::Outcome {
        self.pending.end()
    }
}

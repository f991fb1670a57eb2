//! One request's life as types: a call that may not repeat has no second dispatch to make.
//!
//! Failure answered: a non-idempotent call whose answer is lost is sent again, and runs twice.
//! Symptom: a filing is fined twice. [`Dispatched`] is consumed by what happens to it, and only
//! [`Dispatched::refused`], which takes an upstream's proof that it did not run, and
//! [`Lost::again`], which checks that the call may repeat, lead back to [`Held`]. That is enough
//! because [`Held::dispatch`] is the only way to an attempt, and `Held` cannot be copied.
//!
//! ```
//! use lagoonline::{id::Attempt, life::request::{Held, Repeat}, outcome::Outcome};
//! let held = Held::new(Repeat::Never);
//! let lost = held.dispatch(Attempt(1)).lost();
//! assert_eq!(lost.again().unwrap_err(), Outcome::Unknown);
//! ```
//!
//! A second dispatch of what was dispatched does not compile:
//!
//! ```compile_fail,E0382
//! use lagoonline::{id::Attempt, life::request::{Held, Repeat}};
//! let held = Held::new(Repeat::Never);
//! let first = held.dispatch(Attempt(1));
//! let second = held.dispatch(Attempt(2));
//! ```

use crate::id;
use crate::outcome;

/// Whether the call may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat {
    /// Non-idempotent: at most once.
    Never,
    /// Idempotent, such as a model call.
    Allowed,
}

/// A request no byte of which is on its way to an upstream now.
#[derive(Debug)]
pub struct Held {
    repeat: Repeat,
    attempts: u32,
    /// An earlier attempt may have run.
    may_have_run: bool,
}

impl Held {
    /// A request that was never dispatched.
    pub fn new(repeat: Repeat) -> Self {
        Held { repeat, attempts: 0, may_have_run: false }
    }

    /// Attempts made so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether the call may run more than once.
    pub fn repeat(&self) -> Repeat {
        self.repeat
    }

    /// Call this before the first byte may leave for the upstream.
    pub fn dispatch(self, attempt: id::Attempt) -> Dispatched {
        Dispatched { attempt, held: Held { attempts: self.attempts + 1, ..self } }
    }

    /// Gives up: what the caller is told.
    pub fn end(self) -> outcome::Outcome {
        if self.may_have_run { outcome::Outcome::Unknown } else { outcome::Outcome::NotRun }
    }
}

/// A request some byte of which may have reached an upstream; no answer yet.
#[derive(Debug)]
pub struct Dispatched {
    attempt: id::Attempt,
    held: Held,
}

impl Dispatched {
    /// The attempt on its way.
    pub fn attempt(&self) -> id::Attempt {
        self.attempt
    }

    /// The upstream proved that this attempt did not and will not run: it refused it in its own
    /// words, or no connection to it came about.
    pub fn refused(self) -> Held {
        self.held
    }

    /// The answer has begun.
    pub fn answering(self) -> Answering {
        Answering { attempt: self.attempt, held: self.held }
    }

    /// No answer will come: the connection broke, or the deadline passed.
    pub fn lost(self) -> Lost {
        Lost { held: Held { may_have_run: true, ..self.held } }
    }
}

/// A request whose answer is arriving.
#[derive(Debug)]
pub struct Answering {
    attempt: id::Attempt,
    held: Held,
}

impl Answering {
    /// The attempt that answers.
    pub fn attempt(&self) -> id::Attempt {
        self.attempt
    }

    /// The whole answer was checked and delivered.
    pub fn complete(self) -> outcome::Outcome {
        outcome::Outcome::Done
    }

    /// The answer broke off or broke the protocol. The same attempt may be resumed where it runs:
    /// that is no new dispatch.
    pub fn broken(self) -> Lost {
        Lost { held: Held { may_have_run: true, ..self.held } }
    }
}

/// A request that may have run and whose answer will not come from that attempt.
#[derive(Debug)]
pub struct Lost {
    held: Held,
}

impl Lost {
    /// Back to held for another attempt.
    ///
    /// # Errors
    ///
    /// The outcome to tell the caller, when the call may not repeat.
    pub fn again(self) -> Result<Held, outcome::Outcome> {
        match self.held.repeat {
            Repeat::Allowed => Ok(self.held),
            Repeat::Never => Err(outcome::Outcome::Unknown),
        }
    }

    /// Gives up: what the caller is told.
    pub fn end(self) -> outcome::Outcome {
        self.held.end()
    }
}

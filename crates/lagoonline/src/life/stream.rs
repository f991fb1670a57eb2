//! Checks the chunks of one answer: whole, in order, and this attempt's own.
//!
//! Failure answered: an upstream or a connection reused too early delivers a late, crossed,
//! repeated or cut chunk. Symptom: a caller reads another's answer, or half of its own that looks
//! whole. Each chunk names its attempt and its number, and the end mark names the count; anything
//! but the one expected chunk is a [`Violation`], after which nothing more of that connection is
//! read. That is enough because the caller is sent a chunk only after it passed here.

use crate::id;

/// Why a connection cannot be trusted any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Violation {
    /// A chunk of another attempt.
    #[error("a chunk of another attempt")]
    Crossed,
    /// A chunk that came before.
    #[error("chunk {got} came again, {expected} was expected")]
    Repeated {
        /// Its number.
        got: u64,
        /// The number expected.
        expected: u64,
    },
    /// A chunk is missing before this one.
    #[error("chunk {got} came, {expected} was expected")]
    Gap {
        /// Its number.
        got: u64,
        /// The number expected.
        expected: u64,
    },
    /// The end mark's count differs from the chunks that came.
    #[error("the end mark counts {counted} chunks, {came} came")]
    Count {
        /// The end mark's count.
        counted: u64,
        /// Chunks that came.
        came: u64,
    },
    /// A chunk after the end mark.
    #[error("a chunk after the end mark")]
    AfterEnd,
}

/// Follows one answer, also over a resumption on the same upstream.
///
/// ```
/// use lagoonline::id::Attempt;
/// use lagoonline::life::stream::{Checker, Violation};
/// let mut checker = Checker::new(Attempt(1));
/// assert_eq!(checker.chunk(Attempt(1), 0), Ok(()));
/// assert_eq!(checker.chunk(Attempt(2), 1), Err(Violation::Crossed));
/// assert_eq!(checker.end(Attempt(1), 1), Ok(()));
/// assert!(checker.is_complete());
/// ```
#[derive(Clone, Debug)]
pub struct Checker {
    attempt: id::Attempt,
    next: u64,
    complete: bool,
}

impl Checker {
    /// Expects chunk 0 of `attempt`.
    pub fn new(attempt: id::Attempt) -> Self {
        Checker { attempt, next: 0, complete: false }
    }

    /// Expects chunk `next` of `attempt`, as after a takeover from another entry host.
    pub fn starting_at(attempt: id::Attempt, next: u64) -> Self {
        Checker { attempt, next, complete: false }
    }

    /// Number of the next chunk: where to resume.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether the end mark came and its count was right.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Checks one chunk; deliver it only after `Ok`.
    ///
    /// # Errors
    ///
    /// The violation; the connection must not be read further.
    pub fn chunk(&mut self, attempt: id::Attempt, number: u64) -> Result<(), Violation> {
        self.check_owner(attempt)?;
        let expected = self.next;
        match number {
            got if got < expected => Err(Violation::Repeated { got, expected }),
            got if got > expected => Err(Violation::Gap { got, expected }),
            _ => {
                self.next += 1;
                Ok(())
            }
        }
    }

    /// Checks the end mark.
    ///
    /// # Errors
    ///
    /// As [`Checker::chunk`].
    pub fn end(&mut self, attempt: id::Attempt, counted: u64) -> Result<(), Violation> {
        self.check_owner(attempt)?;
        if counted != self.next {
            return Err(Violation::Count { counted, came: self.next });
        }
        self.complete = true;
        Ok(())
    }

    fn check_owner(&self, attempt: id::Attempt) -> Result<(), Violation> {
        if attempt != self.attempt {
            return Err(Violation::Crossed);
        }
        if self.complete {
            return Err(Violation::AfterEnd);
        }
        Ok(())
    }
}

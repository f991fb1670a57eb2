//! Checks that the chunks of an answer are complete, in order, and belong to the current attempt.
//!
//! An upstream, or a connection that was reused too early, may deliver a late, foreign, repeated or
//! truncated chunk. The caller would then read part of another answer, or half of its own that
//! looks complete. Each chunk carries its attempt and number, and the end mark carries the number
//! of chunks; anything other than the expected chunk is a [`Violation`], after which the connection
//! is not read any further. This is sufficient because a chunk is sent to the caller only after it
//! passed this check.

use crate::id;

/// Why a connection can no longer be trusted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Violation {
    /// The chunk belongs to another attempt.
    #[error("a chunk of another attempt")]
    WrongAttempt,
    /// The chunk was received before.
    #[error("chunk {got} came again, {expected} was expected")]
    Repeated {
        /// Number of the received chunk.
        got: u64,
        /// Number of the expected chunk.
        expected: u64,
    },
    /// At least one chunk is missing before this one.
    #[error("chunk {got} came, {expected} was expected")]
    Gap {
        /// Number of the received chunk.
        got: u64,
        /// Number of the expected chunk.
        expected: u64,
    },
    /// The count in the end mark differs from the number of received chunks.
    #[error("the end mark counts {counted} chunks, {received} came")]
    Count {
        /// The count in the end mark.
        counted: u64,
        /// Number of received chunks.
        received: u64,
    },
    /// A chunk or another end mark arrived after the end mark.
    #[error("a chunk after the end mark")]
    AfterEnd,
}

/// Checks the chunks of one answer, which may be resumed on the same upstream.
///
/// ```
/// use lagoonline::id::Attempt;
/// use lagoonline::lifecycle::stream::{Checker, Violation};
/// let mut checker = Checker::new(Attempt(1));
/// assert_eq!(checker.chunk(Attempt(1), 0), Ok(()));
/// assert_eq!(checker.chunk(Attempt(2), 1), Err(Violation::WrongAttempt));
/// // The connection is closed and the stream is resumed over another one, at the next chunk.
/// assert_eq!(checker.next(), 1);
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
    /// Creates a checker that expects chunk 0 of `attempt`.
    pub fn new(attempt: id::Attempt) -> Self {
        Checker { attempt, next: 0, complete: false }
    }

    /// Creates a checker that expects chunk `next` of `attempt`, for example after a takeover from
    /// another entry host.
    pub fn starting_at(attempt: id::Attempt, next: u64) -> Self {
        Checker { attempt, next, complete: false }
    }

    /// Returns the number of the next chunk, which is where to resume.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns whether the end mark was received and its count was right.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Checks a chunk. It may be delivered only if the result is `Ok`.
    ///
    /// # Errors
    ///
    /// Returns the violation, after which the connection must not be read any further.
    pub fn chunk(&mut self, attempt: id::Attempt, number: u64) -> Result<(), Violation> {
        self.check_open(attempt)?;
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
    /// Same as [`Checker::chunk`].
    pub fn end(&mut self, attempt: id::Attempt, counted: u64) -> Result<(), Violation> {
        self.check_open(attempt)?;
        if counted != self.next {
            return Err(Violation::Count { counted, received: self.next });
        }
        self.complete = true;
        Ok(())
    }

    fn check_open(&self, attempt: id::Attempt) -> Result<(), Violation> {
        if attempt != self.attempt {
            return Err(Violation::WrongAttempt);
        }
        if self.complete {
            return Err(Violation::AfterEnd);
        }
        Ok(())
    }
}

//! Whether an answer is whole, and what follows from it for its caller.
//!
//! A length and a last chunk mark the end of a body. A body without them ends with its connection,
//! which looks the same after a crash. Then only the content can show that the body was cut, and
//! only the end of the upstream's process that a crash did it; otherwise it is unknown whether the
//! answer is whole.
//!
//! To its reader, a body that ends in order is whole, also without a mark (RFC 9112, section 8). So
//! a host lets a body end in order only if it takes it for whole, and marks the end of each body:
//! without a mark it could not tell a broken one, and its own death would look like a good end.

/// How the end of a body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By its length, which is zero for answers that have no body.
    Length,
    /// By the last of its chunks.
    Chunks,
    /// By the end of its connection, which looks the same after a crash.
    Connection,
}

impl Framing {
    /// Returns the name of the framing in logs and metrics.
    ///
    /// ```
    /// use lagoonline::lifecycle::completeness::Framing;
    /// assert_eq!(Framing::Connection.as_str(), "connection");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        }
    }

    /// Whether the end is marked other than by the end of the connection.
    ///
    /// ```
    /// use lagoonline::lifecycle::completeness::Framing;
    /// assert!(Framing::Chunks.marks_end() && !Framing::Connection.marks_end());
    /// ```
    pub fn marks_end(self) -> bool {
        self != Framing::Connection
    }
}

/// What the content of a body shows about its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Content {
    /// It ends where its format ends.
    Whole,
    /// It ends before its format may end, such as inside an event.
    Cut,
    /// It shows nothing.
    Silent,
}

/// What is known of the process that made an answer, at some moment after the end of the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Process {
    /// It still runs, so it ended the answer by itself.
    Running,
    /// It has ended.
    Ended,
    /// It could not be asked, or is about to end as planned.
    Unknown,
}

impl Process {
    /// Returns the name of the state in logs.
    ///
    /// ```
    /// assert_eq!(lagoonline::lifecycle::completeness::Process::Running.as_str(), "alive");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Process::Running => "alive",
            Process::Ended => "ended",
            Process::Unknown => "unknown",
        }
    }
}

/// Whether an answer is whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completeness {
    /// Its framing or its content proves it.
    Whole,
    /// It was broken off.
    Broken,
    /// Nothing shows that it was broken off, and nothing proves the opposite.
    Unknown,
}

impl Completeness {
    /// Decides by the body alone, after its connection ended in order. An answer whose connection
    /// failed before the end of its body is broken.
    ///
    /// ```
    /// use lagoonline::lifecycle::completeness::{Completeness, Content, Framing};
    /// let of = Completeness::of_body;
    /// assert_eq!(of(Framing::Chunks, Content::Silent), Completeness::Whole);
    /// assert_eq!(of(Framing::Chunks, Content::Cut), Completeness::Broken);
    /// assert_eq!(of(Framing::Connection, Content::Silent), Completeness::Unknown);
    /// ```
    pub fn of_body(framing: Framing, content: Content) -> Completeness {
        match content {
            Content::Cut => Completeness::Broken,
            Content::Whole => Completeness::Whole,
            Content::Silent if framing.marks_end() => Completeness::Whole,
            Content::Silent => Completeness::Unknown,
        }
    }

    /// Adds what is known of the upstream's process. That it still runs excludes a crash but proves
    /// nothing: a faulty process may break off its answers and go on.
    ///
    /// ```
    /// use lagoonline::lifecycle::completeness::{Completeness, Process};
    /// let unknown = Completeness::Unknown;
    /// assert_eq!(unknown.with_process(Process::Ended), Completeness::Broken);
    /// assert_eq!(unknown.with_process(Process::Running), Completeness::Unknown);
    /// assert_eq!(Completeness::Whole.with_process(Process::Ended), Completeness::Whole);
    /// ```
    #[must_use]
    pub fn with_process(self, process: Process) -> Completeness {
        match (self, process) {
            (Completeness::Unknown, Process::Ended) => Completeness::Broken,
            _ => self,
        }
    }

    /// Returns the name of the state in logs and metrics.
    ///
    /// ```
    /// use lagoonline::lifecycle::completeness::Completeness;
    /// assert_eq!(Completeness::Unknown.as_str(), "unknown");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Completeness::Whole => "whole",
            Completeness::Broken => "broken",
            Completeness::Unknown => "unknown",
        }
    }
}

/// What is concluded from the end of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Conclusion {
    /// Whether the answer is whole.
    pub completeness: Completeness,
    /// The upstream's process, if it had to be asked.
    pub process: Option<Process>,
}

impl Conclusion {
    /// Concludes from the body alone, after its connection ended in order.
    pub fn of_body(framing: Framing, content: Content) -> Conclusion {
        Conclusion { completeness: Completeness::of_body(framing, content), process: None }
    }

    /// Adds what is known of the upstream's process.
    #[must_use]
    pub fn with_process(self, process: Process) -> Conclusion {
        let completeness = self.completeness.with_process(process);
        Conclusion { completeness, process: Some(process) }
    }

    /// Whether the process outlived its answer. Only then does the answer show that the upstream is
    /// healthy and that the request does not crash it.
    ///
    /// ```
    /// use lagoonline::lifecycle::completeness::{Conclusion, Content, Framing, Process};
    /// let unframed = Conclusion::of_body(Framing::Connection, Content::Silent);
    /// assert!(!unframed.with_process(Process::Unknown).is_outlived());
    /// assert!(unframed.with_process(Process::Running).is_outlived());
    /// assert!(Conclusion::of_body(Framing::Length, Content::Silent).is_outlived());
    /// ```
    pub fn is_outlived(&self) -> bool {
        match self.process {
            Some(process) => process == Process::Running,
            None => self.completeness == Completeness::Whole,
        }
    }
}

impl Conclusion {
    /// Decides how a stream goes on.
    ///
    /// ```
    /// use lagoonline::lifecycle::completeness::{Conclusion, Content, Framing, Next, Process};
    /// let unmarked = Conclusion::of_body(Framing::Connection, Content::Silent);
    /// assert_eq!(unmarked.with_process(Process::Running).next(), Next::Confirm);
    /// assert_eq!(unmarked.with_process(Process::Unknown).next(), Next::Resume);
    /// ```
    pub fn next(&self) -> Next {
        match (self.completeness, self.process) {
            (Completeness::Whole, _) => Next::Finish,
            (Completeness::Unknown, Some(Process::Running)) => Next::Confirm,
            (Completeness::Unknown | Completeness::Broken, _) => Next::Resume,
        }
    }

    /// Whether an answer that cannot be asked for once more is delivered as whole.
    ///
    /// ```
    /// use lagoonline::lifecycle::completeness::{Conclusion, Content, Framing, Process};
    /// let unmarked = Conclusion::of_body(Framing::Connection, Content::Silent);
    /// assert!(unmarked.with_process(Process::Running).is_deliverable());
    /// assert!(!unmarked.with_process(Process::Ended).is_deliverable());
    /// ```
    pub fn is_deliverable(&self) -> bool {
        self.next() != Next::Resume
    }
}

/// What follows for the caller when an upstream's part of a stream has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// The caller's body ends with its end mark.
    Finish,
    /// The upstream ended it in order and still runs, so it is whole unless the upstream is faulty.
    /// Another upstream is asked what follows the last event. If none may be, the body ends with its
    /// end mark.
    Confirm,
    /// Another upstream continues after the last event. If none may, the body ends without its end
    /// mark.
    Resume,
}

/// Returns what a body shows about its end if it is JSON. Objects, arrays and texts end themselves;
/// a number may go on.
///
/// ```
/// use lagoonline::lifecycle::completeness::{Content, json};
/// assert_eq!(json(br#"{"a": [1, 2]}"#), Content::Whole);
/// assert_eq!(json(br#"{"a": [1, "#), Content::Cut);
/// assert_eq!(json(b"12"), Content::Silent);
/// ```
pub fn json(body: &[u8]) -> Content {
    let body = body.trim_ascii_end();
    match serde_json::from_slice::<serde::de::IgnoredAny>(body) {
        Ok(_) if body.ends_with(b"}") || body.ends_with(b"]") || body.ends_with(b"\"") => {
            Content::Whole
        }
        Err(error) if error.is_eof() && !body.is_empty() => Content::Cut,
        Ok(_) | Err(_) => Content::Silent,
    }
}

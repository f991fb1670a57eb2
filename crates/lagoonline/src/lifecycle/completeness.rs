//! Whether the body of an answer is whole.

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
}

//! What a caller is told at the end of a request, and the error that carries it.

use std::fmt;

use crate::clock;

/// What is known of a request's effect at its end.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The whole answer was delivered.
    Done,
    /// No byte of the request can have reached an upstream that acts on it.
    NotRun,
    /// The request may have run; nobody here can tell.
    Unknown,
}

impl Outcome {
    /// The word of the `Lagoon-Outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The step of a request's path at which an error arose.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// Reading the caller's head and body.
    Read,
    /// Matching the caller's key.
    Authenticate,
    /// Deciding whether to let the request in.
    Admit,
    /// Waiting for a place.
    Queue,
    /// Choosing an upstream.
    Route,
    /// Recording the idempotency key.
    Claim,
    /// Sending to the upstream.
    Dispatch,
    /// Receiving the answer.
    Stream,
    /// Storing the answer for replay.
    Store,
}

impl Step {
    /// The word used in errors, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Step::Read => "read",
            Step::Authenticate => "authenticate",
            Step::Admit => "admit",
            Step::Queue => "queue",
            Step::Route => "route",
            Step::Claim => "claim",
            Step::Dispatch => "dispatch",
            Step::Stream => "stream",
            Step::Store => "store",
        }
    }
}

/// Why a request failed; each has one HTTP status.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The request cannot be understood.
    Malformed,
    /// No key, or one that matches nobody.
    Unauthenticated,
    /// The customer may not use this model or service.
    Forbidden,
    /// No model or service of this name.
    UnknownName,
    /// The caller was too slow to send its request.
    SlowCaller,
    /// The key was used before with another body.
    KeyReused,
    /// An earlier request with this key may have run.
    EarlierUnknown,
    /// Longer than the model or any group of engines can hold.
    TooLong,
    /// The customer or its team is over its limit.
    OverLimit,
    /// It could not be answered within its deadline.
    CannotMeetDeadline,
    /// The queue is full.
    Saturated,
    /// This entry host is shutting down.
    Draining,
    /// No upstream in reach serves it.
    NoUpstream,
    /// The platform is needed for this request and cannot be reached.
    PlatformDown,
    /// The deadline passed.
    DeadlinePassed,
    /// The upstream failed or broke its protocol.
    UpstreamFailed,
    /// The caller went away.
    CallerLeft,
    /// Upstreams crashed under this request, wherever it was sent.
    Quarantined,
    /// A fault of our own.
    Internal,
}

impl Reason {
    /// Every reason, for metrics that list them all from the start.
    pub const ALL: [Reason; 19] = [
        Reason::Malformed,
        Reason::Unauthenticated,
        Reason::Forbidden,
        Reason::UnknownName,
        Reason::SlowCaller,
        Reason::KeyReused,
        Reason::EarlierUnknown,
        Reason::TooLong,
        Reason::OverLimit,
        Reason::CannotMeetDeadline,
        Reason::Saturated,
        Reason::Draining,
        Reason::NoUpstream,
        Reason::PlatformDown,
        Reason::DeadlinePassed,
        Reason::UpstreamFailed,
        Reason::CallerLeft,
        Reason::Quarantined,
        Reason::Internal,
    ];

    /// The word of the error's `code` and of the metric's label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::Malformed => "malformed",
            Reason::Unauthenticated => "unauthenticated",
            Reason::Forbidden => "forbidden",
            Reason::UnknownName => "unknown_name",
            Reason::SlowCaller => "slow_caller",
            Reason::KeyReused => "key_reused",
            Reason::EarlierUnknown => "earlier_unknown",
            Reason::TooLong => "too_long",
            Reason::OverLimit => "over_limit",
            Reason::CannotMeetDeadline => "cannot_meet_deadline",
            Reason::Saturated => "saturated",
            Reason::Draining => "draining",
            Reason::NoUpstream => "no_upstream",
            Reason::PlatformDown => "platform_down",
            Reason::DeadlinePassed => "deadline_passed",
            Reason::UpstreamFailed => "upstream_failed",
            Reason::CallerLeft => "caller_left",
            Reason::Quarantined => "quarantined",
            Reason::Internal => "internal",
        }
    }

    /// Whether the caller's own doing made the request fail, so that it says nothing of the
    /// service.
    pub const fn blames_caller(self) -> bool {
        match self {
            Reason::Malformed
            | Reason::Unauthenticated
            | Reason::Forbidden
            | Reason::UnknownName
            | Reason::SlowCaller
            | Reason::KeyReused
            | Reason::TooLong
            | Reason::OverLimit
            | Reason::CallerLeft
            | Reason::Quarantined => true,
            Reason::EarlierUnknown
            | Reason::CannotMeetDeadline
            | Reason::Saturated
            | Reason::Draining
            | Reason::NoUpstream
            | Reason::PlatformDown
            | Reason::DeadlinePassed
            | Reason::UpstreamFailed
            | Reason::Internal => false,
        }
    }

    /// The HTTP status told to the caller.
    pub const fn status(self) -> u16 {
        match self {
            Reason::Malformed => 400,
            Reason::Unauthenticated => 401,
            Reason::Forbidden => 403,
            Reason::UnknownName => 404,
            Reason::SlowCaller => 408,
            Reason::KeyReused | Reason::EarlierUnknown => 409,
            Reason::TooLong => 413,
            Reason::OverLimit => 429,
            Reason::CallerLeft => 499,
            Reason::Internal => 500,
            Reason::UpstreamFailed => 502,
            Reason::CannotMeetDeadline
            | Reason::Saturated
            | Reason::Draining
            | Reason::NoUpstream
            | Reason::PlatformDown
            | Reason::Quarantined => 503,
            Reason::DeadlinePassed => 504,
        }
    }
}

/// A request that did not end with its answer.
///
/// ```
/// use lagoonline::outcome::{Failure, Outcome, Reason, Step};
/// let failure = Failure::new(Reason::Saturated, Step::Admit, Outcome::NotRun);
/// assert_eq!(failure.to_string(), "admit: saturated (not-run)");
/// assert_eq!(failure.reason.status(), 503);
/// ```
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{}: {}{} ({outcome})", step.as_str(), reason.as_str(), At(peer))]
pub struct Failure {
    /// Why.
    pub reason: Reason,
    /// Where on the request's path.
    pub step: Step,
    /// The upstream or platform part involved, empty when none was.
    pub peer: String,
    /// What is known of the effect.
    pub outcome: Outcome,
    /// When asking again is worthwhile, for refusals.
    pub retry_after: Option<clock::Span>,
}

/// Writes ` at PEER`, or nothing for an empty peer.
struct At<'a>(&'a str);

impl fmt::Display for At<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() { Ok(()) } else { write!(f, " at {}", self.0) }
    }
}

impl Failure {
    /// A failure without a peer and without a time to come back.
    pub fn new(reason: Reason, step: Step, outcome: Outcome) -> Self {
        Failure { reason, step, peer: String::new(), outcome, retry_after: None }
    }

    /// The same failure, naming the peer at which it arose.
    pub fn at<P>(self, peer: P) -> Self
    where
        P: Into<String>,
    {
        Failure { peer: peer.into(), ..self }
    }

    /// The same failure, telling the caller when to come back.
    pub fn retry_after(self, span: clock::Span) -> Self {
        Failure { retry_after: Some(span), ..self }
    }
}

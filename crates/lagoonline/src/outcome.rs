//! Outcomes reported to callers, and the error type that carries them.

use std::fmt;

use crate::clock;

/// What is known at the end of a request about whether it ran.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The whole answer was delivered.
    Done,
    /// No part of the request can have reached an upstream that acts on it.
    NotRun,
    /// The request may have run; this cannot be determined.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `Lagoon-Outcome` header.
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

/// The step of request processing in which an error arose.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// Reading the request head and body.
    Read,
    /// Identifying the customer by the caller's key.
    Authenticate,
    /// Deciding whether to admit the request.
    Admit,
    /// Waiting in the queue for capacity.
    Queue,
    /// Choosing an upstream.
    Route,
    /// Claiming the idempotency key.
    Claim,
    /// Sending the request to the upstream.
    Dispatch,
    /// Receiving the answer.
    Stream,
    /// Storing the answer for replay.
    Store,
}

impl Step {
    /// Returns the name used in errors, logs and metrics.
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

/// Why a request failed. Each reason has one HTTP status.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The request could not be parsed.
    Malformed,
    /// The caller sent no key or an unknown one.
    Unauthenticated,
    /// The customer may not use this model or service.
    Forbidden,
    /// No model or service has this name.
    UnknownName,
    /// The caller took too long to send its request.
    SlowCaller,
    /// The idempotency key was used before with a different method, path or body.
    KeyReused,
    /// An earlier request with this idempotency key may have run.
    EarlierUnknown,
    /// The prompt is longer than the model, or any group of engines, can hold.
    TooLong,
    /// The customer or its team has exceeded its limit.
    OverLimit,
    /// The request could not be answered within its deadline.
    CannotMeetDeadline,
    /// The queue is full.
    Saturated,
    /// This entry host is shutting down.
    Draining,
    /// No upstream for the request is reachable.
    NoUpstream,
    /// The request needs the platform, which is unreachable.
    PlatformDown,
    /// The deadline passed.
    DeadlinePassed,
    /// The upstream failed or broke its protocol.
    UpstreamFailed,
    /// The caller disconnected.
    CallerLeft,
    /// Upstreams crashed while running this request, so it is refused until its quarantine expires.
    Quarantined,
    /// An internal error.
    Internal,
}

impl Reason {
    /// All reasons, so that metrics can list every one from the start.
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

    /// Returns the name used for the error's `code` and the metric label.
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

    /// Returns whether the caller caused the failure, in which case it does not count against the
    /// service.
    pub const fn is_caller_fault(self) -> bool {
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

    /// Returns the HTTP status for the caller.
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

/// Error of a request that did not end with its answer.
///
/// ```
/// use lagoonline::outcome::{Failure, Outcome, Reason, Step};
/// let failure = Failure::new(Reason::Saturated, Step::Admit, Outcome::NotRun);
/// assert_eq!(failure.to_string(), "admit: saturated (not-run)");
/// assert_eq!(failure.reason.status(), 503);
/// ```
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{}: {}{} ({outcome})", step.as_str(), reason.as_str(), AtPeer(peer))]
pub struct Failure {
    /// Why the request failed.
    pub reason: Reason,
    /// The step in which it failed.
    pub step: Step,
    /// The upstream or platform component at which the request failed; empty if there was none.
    pub peer: String,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// For a refusal, the time after which a retry is worthwhile.
    pub retry_after: Option<clock::Span>,
}

/// Displays as ` at PEER`, or as nothing if the peer is empty.
struct AtPeer<'a>(&'a str);

impl fmt::Display for AtPeer<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() { Ok(()) } else { write!(f, " at {}", self.0) }
    }
}

impl Failure {
    /// Creates a failure without a peer and without a retry time.
    pub fn new(reason: Reason, step: Step, outcome: Outcome) -> Self {
        Failure { reason, step, peer: String::new(), outcome, retry_after: None }
    }

    /// Sets the peer at which the failure arose.
    pub fn at<P>(self, peer: P) -> Self
    where
        P: Into<String>,
    {
        Failure { peer: peer.into(), ..self }
    }

    /// Sets the time after which the caller should retry.
    pub fn retry_after(self, span: clock::Span) -> Self {
        Failure { retry_after: Some(span), ..self }
    }
}

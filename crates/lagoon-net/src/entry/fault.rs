//! Errors that are reported to a caller: the error object, HTTP status and headers.

use lagoonline::clock;
use lagoonline::outcome;
use lagoonline::outcome::{Outcome, Reason, Step};
use ntex::http;
use ntex::web;
use serde_json::json;

/// A failure that is reported to a caller, with additional detail.
#[derive(Clone, Debug)]
pub(crate) struct Fault {
    pub(crate) failure: outcome::Failure,
    pub(crate) detail: String,
}

pub(crate) fn new(reason: Reason, step: Step, outcome: Outcome) -> Fault {
    Fault::from(outcome::Failure::new(reason, step, outcome))
}

impl From<outcome::Failure> for Fault {
    fn from(failure: outcome::Failure) -> Fault {
        Fault { failure, detail: String::new() }
    }
}

/// `Retry-After` of a refusal that has no retry time of its own.
const DEFAULT_RETRY_AFTER: clock::Span = clock::Span::from_secs(1);

impl Fault {
    /// Names the upstream at which the request failed.
    pub(crate) fn at<P>(self, peer: P) -> Fault
    where
        P: Into<String>,
    {
        Fault { failure: self.failure.at(peer), ..self }
    }

    pub(crate) fn with_detail<D>(self, detail: D) -> Fault
    where
        D: Into<String>,
    {
        Fault { detail: detail.into(), ..self }
    }

    /// Replaces the outcome by the one that the request's state machine gives.
    pub(crate) fn with_outcome(mut self, outcome: Outcome) -> Fault {
        self.failure.outcome = outcome;
        self
    }

    /// Returns the error object as JSON.
    pub(crate) fn to_json(&self) -> String {
        let failure = &self.failure;
        let mut message = failure.to_string();
        if !self.detail.is_empty() {
            message = format!("{message}: {}", self.detail);
        }
        let object = json!({"error": {
            "type": error_type(failure.reason),
            "code": failure.reason.as_str(),
            "message": message,
            "step": failure.step.as_str(),
            "peer": failure.peer,
            "outcome": failure.outcome.as_str(),
        }});
        object.to_string()
    }

    /// Builds the error response. The connection is closed if `close` is set, or if the rest of the
    /// request body was not read.
    pub(crate) fn response(&self, request_id: &str, close: bool) -> web::HttpResponse {
        let status = http::StatusCode::from_u16(self.failure.reason.status());
        let status = status.unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = web::HttpResponse::build(status);
        response.set_header("X-Request-Id", request_id);
        response.set_header("Lagoon-Outcome", self.failure.outcome.as_str());
        if let Some(span) = self.retry_after() {
            response.set_header("Retry-After", whole_seconds(span));
        }
        if close || self.failure.step == Step::Read {
            response.force_close();
        }
        response.content_type("application/json").body(self.to_json())
    }

    /// Returns the value of `Retry-After`, which only refusals have by default.
    fn retry_after(&self) -> Option<clock::Span> {
        let refusal = matches!(self.failure.reason.status(), 429 | 503);
        self.failure.retry_after.or(refusal.then_some(DEFAULT_RETRY_AFTER))
    }
}

fn whole_seconds(span: clock::Span) -> u64 {
    span.as_millis().div_ceil(1_000).max(1).try_into().unwrap_or(u64::MAX)
}

/// Returns the error `type` of the OpenAI API.
fn error_type(reason: Reason) -> &'static str {
    match reason {
        Reason::Unauthenticated => "authentication_error",
        Reason::Forbidden => "permission_error",
        Reason::OverLimit => "rate_limit_error",
        Reason::Malformed
        | Reason::UnknownName
        | Reason::SlowCaller
        | Reason::KeyReused
        | Reason::EarlierUnknown
        | Reason::TooLong
        | Reason::Quarantined => "invalid_request_error",
        Reason::CannotMeetDeadline
        | Reason::Saturated
        | Reason::Draining
        | Reason::NoUpstream
        | Reason::PlatformDown
        | Reason::DeadlinePassed
        | Reason::UpstreamFailed
        | Reason::CallerLeft
        | Reason::Internal => "server_error",
    }
}

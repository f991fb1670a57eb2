//! Answers to callers: an upstream's, passed on, and failures of our own.

use lagoon_platform::head;
use lagoonline::clock;
use lagoonline::outcome::{Outcome, Reason, Step};
use ntex::http;
use ntex::web;

/// Why a request ends without an upstream's answer.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{}: {detail}", .reason.as_str())]
pub(crate) struct Fault {
    /// What went wrong.
    pub(crate) reason: Reason,
    /// Where.
    pub(crate) step: Step,
    /// What is known of its effect.
    pub(crate) outcome: Outcome,
    /// More about it: the peer, the figures that decided.
    pub(crate) detail: String,
    /// When to come back, where that helps.
    pub(crate) retry_after: Option<clock::Span>,
}

impl Fault {
    /// A failure before any byte left for an upstream.
    pub(crate) fn not_run<Detail>(reason: Reason, step: Step, detail: Detail) -> Fault
    where
        Detail: Into<String>,
    {
        Fault { reason, step, outcome: Outcome::NotRun, detail: detail.into(), retry_after: None }
    }

    /// The same with a time to come back.
    pub(crate) fn after(self, span: clock::Span) -> Fault {
        Fault { retry_after: Some(span), ..self }
    }

    /// The same fault of a request of which an earlier attempt may have run: it must not be told as
    /// not run.
    pub(crate) fn if_lost(self, lost: bool) -> Fault {
        if lost { Fault { outcome: Outcome::Unknown, ..self } } else { self }
    }

    /// The status that tells it. 503 promises that the request did not run and never will; where
    /// that is unknown the status promises nothing.
    pub(crate) fn status(&self) -> http::StatusCode {
        match (self.outcome, self.reason) {
            (_, Reason::Malformed) => http::StatusCode::BAD_REQUEST,
            (_, Reason::Unauthenticated) => http::StatusCode::UNAUTHORIZED,
            (_, Reason::UnknownName) => http::StatusCode::NOT_FOUND,
            (_, Reason::TooLong) => http::StatusCode::PAYLOAD_TOO_LARGE,
            (Outcome::NotRun, _) => http::StatusCode::SERVICE_UNAVAILABLE,
            (_, Reason::DeadlinePassed) => http::StatusCode::GATEWAY_TIMEOUT,
            _ => http::StatusCode::BAD_GATEWAY,
        }
    }

    /// The answer.
    pub(crate) fn answer(&self, request_id: &str, closing: bool) -> web::HttpResponse {
        let body = serde_json::json!({"error": {
            "code": self.reason.as_str(),
            "message": self.detail,
            "step": self.step.as_str(),
            "outcome": self.outcome.as_str(),
        }});
        let mut builder = web::HttpResponse::build(self.status());
        if closing {
            builder.force_close();
        }
        if let Some(span) = self.retry_after {
            builder.set_header("retry-after", format!("{:.2}", span.as_secs_f64()));
        }
        let echo = head::echo(request_id);
        builder.set_header(echo.name.as_str(), echo.value.as_slice());
        builder.content_type("application/json").body(body.to_string())
    }
}

/// The head of an upstream's answer, ready for its body.
pub(crate) fn pass_back(
    status: u16,
    fields: &[head::Field],
    closing: bool,
) -> web::HttpResponseBuilder {
    let status =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = web::HttpResponse::build(status);
    for field in fields {
        builder.header(field.name.as_str(), field.value.as_slice());
    }
    if closing {
        builder.force_close();
    }
    builder
}

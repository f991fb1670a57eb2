//! Answers to callers: forwarded answers of upstreams, and errors of this host.

use lagoon_platform::head;
use lagoonline::clock;
use lagoonline::outcome::{Outcome, Reason, Step};
use ntex::http;
use ntex::web;

/// An error answered to a caller instead of an upstream's answer. A failure, in contrast, is why a
/// single connection or attempt brought no answer, and a refusal is that of a placer or an engine.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{}: {detail}", .reason.as_str())]
pub(crate) struct Fault {
    /// What went wrong.
    pub(crate) reason: Reason,
    /// The step that failed.
    pub(crate) step: Step,
    /// Whether the request may have run.
    pub(crate) outcome: Outcome,
    /// Details for the caller, such as the upstream that failed or the limit that was exceeded.
    pub(crate) detail: String,
    /// When the caller should retry, if that helps.
    pub(crate) retry_after: Option<clock::Span>,
}

impl Fault {
    /// Creates the fault of a request of which no byte was sent to an upstream.
    pub(crate) fn not_run<Detail>(reason: Reason, step: Step, detail: Detail) -> Fault
    where
        Detail: Into<String>,
    {
        Fault { reason, step, outcome: Outcome::NotRun, detail: detail.into(), retry_after: None }
    }

    /// Sets the time after which the caller should retry.
    pub(crate) fn with_retry_after(self, span: clock::Span) -> Fault {
        Fault { retry_after: Some(span), ..self }
    }

    /// Sets the outcome to unknown if an earlier attempt may have run (`lost`): the request must
    /// not be reported as not run.
    pub(crate) fn or_unknown(self, lost: bool) -> Fault {
        if lost { Fault { outcome: Outcome::Unknown, ..self } } else { self }
    }

    /// Returns the HTTP status. 503 promises that the request did not run and never will. If that
    /// is unknown, a status without this promise is used.
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

    /// Builds the HTTP answer.
    pub(crate) fn to_response(&self, request_id: &str, closing: bool) -> web::HttpResponse {
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
        let echo = head::request_id_field(request_id);
        builder.set_header(echo.name.as_str(), echo.value.as_slice());
        builder.content_type("application/json").body(body.to_string())
    }
}

/// Starts an answer with the head of an upstream's answer.
pub(crate) fn forward_head(
    status: u16,
    headers: &[head::Header],
    closing: bool,
) -> web::HttpResponseBuilder {
    let status =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = web::HttpResponse::build(status);
    for header in headers {
        builder.header(header.name.as_str(), header.value.as_slice());
    }
    if closing {
        builder.force_close();
    }
    builder
}

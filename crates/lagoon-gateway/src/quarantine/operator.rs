//! Operator calls to list and release quarantined requests, served at the readiness address.

use lagoonline::clock::Clock as _;
use lagoonline::lifecycle::fingerprint;
use ntex::http;
use ntex::web;
use serde_json::json;

use super::message;
use crate::event;
use crate::state;

/// Path of the call that lists the verdicts, including released ones.
const LIST: &str = "/quarantine";
/// Prefix of the call that ends the quarantine of a fingerprint, which follows in the path.
const RELEASE: &str = "/quarantine/release/";

/// Handles a quarantine call. Returns `None` if `path` is not one.
pub(crate) fn handle_operator_call(
    state: &state::State,
    method: &http::Method,
    path: &str,
) -> Option<web::HttpResponse> {
    if path == LIST && method == http::Method::GET {
        return Some(list(state));
    }
    let fingerprint = path.strip_prefix(RELEASE).filter(|_| method == http::Method::POST)?;
    Some(release(state, fingerprint))
}

fn list(state: &state::State) -> web::HttpResponse {
    let now = state.clock.now();
    let verdict = |record: &lagoonline::lifecycle::quarantine::Record| {
        json!({
            "fingerprint": record.fingerprint.to_string(),
            "parts": message::listed_parts(record.pattern.as_ref()),
            "customer": message::only_customer(record.pattern.as_ref()),
            "crashes": record.crashes,
            "times": record.occurrences,
            "left_s": record.expires_at.since(now).as_secs(),
            "released": record.released,
        })
    };
    let verdicts: Vec<_> = state.verdicts().iter().map(verdict).collect();
    let body = json!({"quarantine": verdicts}).to_string();
    web::HttpResponse::Ok().content_type("application/json").body(body)
}

fn release(state: &state::State, fingerprint: &str) -> web::HttpResponse {
    let released = match fingerprint.parse::<fingerprint::Fingerprint>() {
        Ok(fingerprint) => state.release(&fingerprint),
        Err(error) => return web::HttpResponse::BadRequest().body(format!("{error}\n")),
    };
    event::Line::new("quarantine_release")
        .text("fingerprint", fingerprint)
        .number("released", released)
        .warn();
    if released {
        web::HttpResponse::Ok().body("released\n")
    } else {
        web::HttpResponse::NotFound().body("not in quarantine\n")
    }
}

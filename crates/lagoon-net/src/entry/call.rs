//! Parsing and authentication of a request's head: customer, deadline, idempotency key and resume
//! position.

use std::sync;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::control::document;
use lagoonline::id;
use lagoonline::load::limit;
use lagoonline::outcome;
use lagoonline::outcome::{Outcome, Reason, Step};
use lagoonline::view;
use ntex::http;
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

use super::fault;
use super::state;

/// Longest `X-Request-Id` that is echoed, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// Longest `Idempotency-Key`, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Parsed head of an authenticated request.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) view: sync::Arc<state::View>,
    pub(crate) customer: view::CustomerIndex,
    pub(crate) arrived: clock::Moment,
    pub(crate) deadline: clock::Moment,
    /// Value of the `Idempotency-Key` header, if there is one.
    pub(crate) idempotency_key: Option<String>,
    /// Index of the first chunk that the caller wants.
    pub(crate) resume_from: u64,
}

impl Call {
    /// Authenticates the caller and parses the head.
    pub(crate) fn read(
        state: &state::State,
        arrived: clock::Moment,
        headers: &http::HeaderMap,
    ) -> Result<Call, fault::Fault> {
        let view = state.view();
        let customer = authenticate(&view.fleet, headers)?;
        let entry = &view.fleet.customers[customer.0 as usize].entry;
        let deadline = arrived + read_deadline(entry, headers)?;
        let idempotency_key = read_idempotency_key(headers)?;
        let resume_from = read_resume_from(headers, idempotency_key.is_some())?;
        Ok(Call { view, customer, arrived, deadline, idempotency_key, resume_from })
    }

    pub(crate) fn customer(&self) -> &view::Customer {
        &self.view.fleet.customers[self.customer.0 as usize]
    }

    /// Returns the rate limits of the customer for the whole zone.
    pub(crate) fn rate(&self) -> limit::Rate {
        let entry = &self.customer().entry;
        limit::Rate { requests: entry.requests_per_second, tokens: entry.tokens_per_second }
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self, state: &state::State) -> clock::Span {
        self.deadline.since(state.clock.now())
    }
}

/// Finds the customer of the bearer token. The hashes of all its keys are compared in constant
/// time.
fn authenticate(
    fleet: &view::Fleet,
    headers: &http::HeaderMap,
) -> Result<view::CustomerIndex, fault::Fault> {
    let refusal = || fault::new(Reason::Unauthenticated, Step::Authenticate, Outcome::NotRun);
    let value = headers.get("authorization").and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer ")).ok_or_else(refusal)?;
    let hash: document::KeyHash = sha2::Sha256::digest(key.as_bytes()).into();
    let index = fleet.customer_index(&hash).ok_or_else(refusal)?;
    let matches =
        fleet.customers[index.0 as usize].entry.keys.iter().fold(0, |found, key_hash| {
            found | key_hash.as_slice().ct_eq(hash.as_slice()).unwrap_u8()
        });
    if matches == 0 {
        return Err(refusal());
    }
    Ok(index)
}

/// Returns the requested deadline, or the customer's default without the header.
fn read_deadline(
    customer: &document::Customer,
    headers: &http::HeaderMap,
) -> Result<clock::Span, fault::Fault> {
    let Some(value) = headers.get("lagoon-deadline-ms") else {
        return Ok(customer.default_deadline);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let span = millis.filter(|millis| *millis > 0).map(clock::Span::from_millis);
    match span {
        Some(span) if span <= customer.max_deadline => Ok(span),
        _ => {
            let max_ms = customer.max_deadline.as_millis();
            let detail = format!("Lagoon-Deadline-Ms must be a whole number of 1 to {max_ms}");
            Err(malformed(detail))
        }
    }
}

/// Returns the idempotency key, if there is one.
fn read_idempotency_key(headers: &http::HeaderMap) -> Result<Option<String>, fault::Fault> {
    let Some(value) = headers.get("idempotency-key") else { return Ok(None) };
    let bytes = value.as_bytes();
    if bytes.is_empty() || bytes.len() > MAX_KEY_BYTES || !bytes.iter().all(u8::is_ascii_graphic) {
        let detail = "Idempotency-Key must be 1 to 255 visible ASCII characters";
        return Err(malformed(detail.to_owned()));
    }
    Ok(value.to_str().ok().map(str::to_owned))
}

/// Returns the resume position, which needs an idempotency key; 0 without the header.
fn read_resume_from(headers: &http::HeaderMap, keyed: bool) -> Result<u64, fault::Fault> {
    let Some(value) = headers.get("lagoon-resume-from") else { return Ok(0) };
    let from = value.to_str().ok().and_then(|text| text.parse().ok());
    from.filter(|_| keyed).ok_or_else(|| {
        let detail = "Lagoon-Resume-From must be a whole number beside an Idempotency-Key";
        malformed(detail.to_owned())
    })
}

/// Creates the error for a malformed request; `detail` says what is wrong with it.
pub(crate) fn malformed(detail: String) -> fault::Fault {
    let failure = outcome::Failure::new(Reason::Malformed, Step::Read, Outcome::NotRun);
    fault::Fault { failure, detail }
}

/// Returns the caller's request id if it is usable, or a new one.
pub(crate) fn request_id(headers: &http::HeaderMap) -> String {
    let given = headers.get("x-request-id").and_then(|value| value.to_str().ok());
    let usable = |id: &&str| {
        !id.is_empty()
            && id.len() <= MAX_REQUEST_ID_BYTES
            && id.bytes().all(|b| b.is_ascii_graphic())
    };
    given.filter(usable).map_or_else(|| random_id().to_string(), str::to_owned)
}

/// Returns a random id. It names an attempt, a reservation, a request or a response.
pub(crate) fn random_id() -> id::Attempt {
    id::Attempt(rand::random())
}

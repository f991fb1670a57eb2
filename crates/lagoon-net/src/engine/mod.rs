//! Adapter for model engines: the one place that knows how they speak (see docs/PROTOCOLS.md).

mod event;

use std::net;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::port::engine;
use ntex::client;
use ntex::http;
use ntex::util;

pub use event::{Broken, Event, Events, events};

/// What an engine is asked to generate.
#[derive(Clone, Debug)]
pub struct Order {
    /// This dispatch.
    pub attempt: id::Attempt,
    /// Who asks.
    pub owner: id::Owner,
    /// Zone of the asking entry host.
    pub zone: id::Zone,
    /// Time left until the deadline.
    pub left: clock::Span,
    /// Higher goes first.
    pub priority: u8,
    /// The model.
    pub model: id::Model,
    /// Most answer tokens.
    pub answer_tokens: u64,
    /// Answer tokens that the caller has already, for a continuation.
    pub skip: u64,
    /// Reservations of a group, as its header has them; empty for none.
    pub group: String,
    /// The caller's JSON body, shared and not copied.
    pub body: util::Bytes,
}

/// The engine's word that an attempt did not run and will not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No place now.
    Full,
    /// It is leaving.
    Leaving,
    /// It does not serve the model.
    UnknownModel,
    /// The prompt does not fit it.
    TooLong,
    /// The attempt was seen, or cancelled, before.
    AttemptExists,
}

impl Refusal {
    /// The word in the engine's answer, also used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Refusal::Full => "full",
            Refusal::Leaving => "leaving",
            Refusal::UnknownModel => "unknown_model",
            Refusal::TooLong => "too_long",
            Refusal::AttemptExists => "attempt_exists",
        }
    }

    fn parse(code: &str) -> Option<Refusal> {
        let all = [
            Refusal::Full,
            Refusal::Leaving,
            Refusal::UnknownModel,
            Refusal::TooLong,
            Refusal::AttemptExists,
        ];
        all.into_iter().find(|refusal| refusal.as_str() == code)
    }
}

/// Why no answer began.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Failure {
    /// No connection came about, so no byte was sent.
    #[error("no connection: {0}")]
    Unsent(String),
    /// The engine refused the attempt.
    #[error("refused: {}", .0.as_str())]
    Refused(Refusal),
    /// The engine has no such stream.
    #[error("no such stream")]
    NoStream,
    /// Anything else: the attempt may run.
    #[error("lost: {0}")]
    Lost(String),
}

/// Whether `error` proves that no byte of a request left this host.
///
/// Failure answered: a broken connection is taken for one that never came about, and a call that
/// ran is told as not run. Only errors of connecting itself count; ntex also reports a connection
/// that closed before its answer as `Disconnected(None)`, which does not.
pub(crate) fn is_unsent(error: &client::error::ClientError) -> bool {
    use client::error::{ClientError, ConnectError};
    let ClientError::Connect(error) = error else { return false };
    match error {
        ConnectError::Timeout
        | ConnectError::Unresolved
        | ConnectError::NoRecords
        | ConnectError::Resolver(..) => true,
        ConnectError::Disconnected(Some(error)) => is_unreachable(error.kind()),
        _ => false,
    }
}

fn is_unreachable(kind: std::io::ErrorKind) -> bool {
    use std::io::ErrorKind;
    matches!(
        kind,
        ErrorKind::ConnectionRefused | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable
    )
}

/// Milliseconds for a `Lagoon-Deadline-Ms` header.
pub(crate) fn millis(span: clock::Span) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Longest refusal that is read.
const REFUSAL_LIMIT: usize = 16 << 10;

/// Starts an attempt on the engine at `address`.
///
/// # Errors
///
/// Why no answer began.
pub async fn generate(
    client: &client::Client,
    address: net::SocketAddr,
    order: &Order,
) -> Result<Events, Failure> {
    let mut request = client
        .post(format!("http://{address}/generate"))
        .header("Content-Type", "application/json")
        .header("Lagoon-Attempt", order.attempt.to_string())
        .header("Lagoon-Owner", order.owner.to_string())
        .header("Lagoon-Zone", order.zone.as_str())
        .header("Lagoon-Deadline-Ms", millis(order.left))
        .header("Lagoon-Priority", u64::from(order.priority))
        .header("Lagoon-Model", order.model.as_str())
        .header("Lagoon-Answer-Tokens", order.answer_tokens);
    if order.skip > 0 {
        request = request.header("Lagoon-Skip-Tokens", order.skip);
    }
    if !order.group.is_empty() {
        request = request.header("Lagoon-Group", order.group.as_str());
    }
    let answer = request.send_body(order.body.clone()).await;
    open(answer, order.attempt).await
}

/// Resumes an attempt's stream from chunk `from`; it is `owner`'s from then on.
///
/// # Errors
///
/// Why no answer began.
pub async fn resume(
    client: &client::Client,
    address: net::SocketAddr,
    attempt: id::Attempt,
    (owner, zone): (&id::Owner, &id::Zone),
    from: u64,
) -> Result<Events, Failure> {
    let url = format!("http://{address}/streams/{attempt}?from={from}");
    let request = client.get(url).header("Lagoon-Zone", zone.as_str());
    open(request.header("Lagoon-Owner", owner.to_string()).send().await, attempt).await
}

/// Stops an attempt and frees its memory; true once the engine said so.
pub async fn cancel(
    client: &client::Client,
    address: net::SocketAddr,
    attempt: id::Attempt,
    zone: &id::Zone,
) -> bool {
    let url = format!("http://{address}/streams/{attempt}/cancel");
    let answer = client.post(url).header("Lagoon-Zone", zone.as_str()).send().await;
    answer.is_ok_and(|answer| answer.status() == http::StatusCode::OK)
}

/// A reservation of KV memory.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// Its name, new for each.
    pub id: id::Attempt,
    /// Who holds it.
    pub owner: id::Owner,
    /// KV tokens.
    pub tokens: u64,
    /// When the engine drops it by itself.
    pub ttl: clock::Span,
}

/// Reserves KV memory on the engine at `address`.
///
/// # Errors
///
/// `Refused(Full)` when it has too little, `Lost` when the reservation may stand.
pub async fn reserve(
    client: &client::Client,
    address: net::SocketAddr,
    zone: &id::Zone,
    reservation: &Reservation,
) -> Result<(), Failure> {
    let body = serde_json::json!({
        "id": reservation.id.to_string(),
        "owner": reservation.owner.to_string(),
        "tokens": reservation.tokens,
        "ttl_ms": millis(reservation.ttl),
    });
    let request = client.post(format!("http://{address}/kv/reserve"));
    let request = request.header("Lagoon-Zone", zone.as_str());
    match request.send_json(&body).await {
        Ok(answer) if answer.status() == http::StatusCode::OK => Ok(()),
        Ok(answer) => Err(refusal(&answer).await),
        Err(error) if is_unsent(&error) => Err(Failure::Unsent(error.to_string())),
        Err(error) => Err(Failure::Lost(error.to_string())),
    }
}

/// Frees a reservation; true once the engine said so.
pub async fn release(
    client: &client::Client,
    address: net::SocketAddr,
    id: id::Attempt,
    zone: &id::Zone,
) -> bool {
    let url = format!("http://{address}/holdings/{id}/release");
    let answer = client.post(url).header("Lagoon-Zone", zone.as_str()).send().await;
    answer.is_ok_and(|answer| answer.status() == http::StatusCode::OK)
}

#[derive(serde::Deserialize)]
struct Holdings {
    holdings: Vec<engine::Holding>,
}

/// Longest list of holdings that is read, in bytes: some 8,000 of them.
const HOLDINGS_LIMIT: usize = 1 << 20;

/// All that the engine at `address` holds; `None` when it does not say.
pub async fn holdings(
    client: &client::Client,
    address: net::SocketAddr,
    zone: &id::Zone,
) -> Option<Vec<engine::Holding>> {
    let url = format!("http://{address}/holdings");
    let request = client.get(url).header("Lagoon-Zone", zone.as_str());
    let answer = request.send().await.ok()?;
    if answer.status() != http::StatusCode::OK {
        return None;
    }
    let body = answer.body().limit(HOLDINGS_LIMIT).await.ok()?;
    Some(serde_json::from_slice::<Holdings>(&body).ok()?.holdings)
}

async fn open(
    answer: Result<client::ClientResponse, client::error::ClientError>,
    attempt: id::Attempt,
) -> Result<Events, Failure> {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) if is_unsent(&error) => return Err(Failure::Unsent(error.to_string())),
        Err(error) => return Err(Failure::Lost(error.to_string())),
    };
    if answer.status() != http::StatusCode::OK {
        return Err(refusal(&answer).await);
    }
    let echoed = answer.header("Lagoon-Attempt").and_then(|value| value.to_str().ok());
    if echoed.and_then(|text| text.parse().ok()) != Some(attempt) {
        return Err(Failure::Lost("the answer names another attempt".to_owned()));
    }
    let load = answer.header("Lagoon-Load").and_then(|value| value.to_str().ok());
    let load = load.and_then(|text| serde_json::from_str::<engine::Load>(text).ok());
    Ok(Events::new(answer.take_payload(), load))
}

#[derive(serde::Deserialize)]
struct Refused {
    error: Code,
}

#[derive(serde::Deserialize)]
struct Code {
    code: String,
}

async fn refusal(answer: &client::ClientResponse) -> Failure {
    let status = answer.status();
    let body = answer.body().limit(REFUSAL_LIMIT).await;
    let code = body.ok().and_then(|body| serde_json::from_slice::<Refused>(&body).ok());
    match code.and_then(|refused| Refusal::parse(&refused.error.code)) {
        Some(refusal) => Failure::Refused(refusal),
        None if status == http::StatusCode::NOT_FOUND => Failure::NoStream,
        None => Failure::Lost(format!("status {status}")),
    }
}

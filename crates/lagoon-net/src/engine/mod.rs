//! Client for model engines: attempts and their streams, reservations and holdings. Only the
//! steward's own reads of loads (`steward::observe`) and commands to engines (`steward::reconcile`)
//! are elsewhere. docs/PROTOCOLS.md describes the interface.

mod event;

use std::net;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::port::engine;
use ntex::client;
use ntex::http;
use ntex::util;

pub use event::{Event, Events, StreamError, events};

/// Parameters of an attempt: what the engine is asked to generate.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of this attempt, new for each dispatch.
    pub attempt: id::Attempt,
    /// The entry host that sends the request.
    pub owner: id::Owner,
    /// Zone of that entry host.
    pub zone: id::Zone,
    /// Time left until the deadline.
    pub time_left: clock::Span,
    /// Priority; higher values are served first.
    pub priority: u8,
    /// The model to use.
    pub model: id::Model,
    /// Limit on the number of tokens to generate.
    pub max_answer_tokens: u64,
    /// Number of answer tokens that the caller already has, for a continuation.
    pub skip_tokens: u64,
    /// Value of the `Lagoon-Group` header: the reservations on the engines that hold the prompt
    /// together, as `ID@ADDRESS` separated by commas. Empty when one engine holds the prompt.
    pub group: String,
    /// The caller's JSON body, shared and not copied.
    pub body: util::Bytes,
}

/// Reason why the engine refused an attempt, which did not run and will not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The engine has no free capacity.
    Full,
    /// The engine is leaving.
    Leaving,
    /// The engine does not serve the model.
    UnknownModel,
    /// The prompt does not fit on the engine.
    TooLong,
    /// The engine has seen or cancelled this attempt before.
    AttemptExists,
}

impl Refusal {
    /// Returns the error code in the engine's response, which is also a metric label.
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

/// Reason why no response started.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Failure {
    /// No connection was established, so no byte was sent.
    #[error("no connection: {0}")]
    Unsent(String),
    /// The engine refused the attempt.
    #[error("refused: {}", .0.as_str())]
    Refused(Refusal),
    /// The response is 404 without a known code: the engine has no such stream.
    #[error("no such stream")]
    NoStream,
    /// Any other failure: the attempt may run.
    #[error("lost: {0}")]
    Lost(String),
}

/// Returns whether `error` proves that no byte of a request left this host.
///
/// Guards against reporting a call that ran as not run, by mistaking a connection that broke for
/// one that was never established. Only errors of the connect step itself count; ntex also reports
/// a connection that closed before its response as `Disconnected(None)`, which does not.
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

/// Converts a time to whole milliseconds, the unit of the engines' headers and bodies.
pub(crate) fn millis(span: clock::Span) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Longest refusal that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// Starts an attempt on the engine at `address`.
///
/// # Errors
///
/// The reason why no response started.
pub async fn generate(
    client: &client::Client,
    address: net::SocketAddr,
    parameters: &Request,
) -> Result<Events, Failure> {
    let mut request = client
        .post(format!("http://{address}/generate"))
        .header("Content-Type", "application/json")
        .header("Lagoon-Attempt", parameters.attempt.to_string())
        .header("Lagoon-Owner", parameters.owner.to_string())
        .header("Lagoon-Zone", parameters.zone.as_str())
        .header("Lagoon-Deadline-Ms", millis(parameters.time_left))
        .header("Lagoon-Priority", u64::from(parameters.priority))
        .header("Lagoon-Model", parameters.model.as_str())
        .header("Lagoon-Answer-Tokens", parameters.max_answer_tokens);
    if parameters.skip_tokens > 0 {
        request = request.header("Lagoon-Skip-Tokens", parameters.skip_tokens);
    }
    if !parameters.group.is_empty() {
        request = request.header("Lagoon-Group", parameters.group.as_str());
    }
    let response = request.send_body(parameters.body.clone()).await;
    read_head(response, parameters.attempt).await
}

/// Resumes an attempt's stream at chunk `from`. The stream belongs to `owner` from then on.
///
/// # Errors
///
/// The reason why no response started.
pub async fn resume(
    client: &client::Client,
    address: net::SocketAddr,
    attempt: id::Attempt,
    (owner, zone): (&id::Owner, &id::Zone),
    from: u64,
) -> Result<Events, Failure> {
    let url = format!("http://{address}/streams/{attempt}?from={from}");
    let request = client.get(url).header("Lagoon-Zone", zone.as_str());
    read_head(request.header("Lagoon-Owner", owner.to_string()).send().await, attempt).await
}

/// Cancels an attempt and frees its memory. Returns whether the engine acknowledged it.
pub async fn cancel(
    client: &client::Client,
    address: net::SocketAddr,
    attempt: id::Attempt,
    zone: &id::Zone,
) -> bool {
    let url = format!("http://{address}/streams/{attempt}/cancel");
    let response = client.post(url).header("Lagoon-Zone", zone.as_str()).send().await;
    response.is_ok_and(|response| response.status() == http::StatusCode::OK)
}

/// A reservation of KV memory.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// Id of the reservation, new for each. It has the type of an attempt's id but names no
    /// attempt.
    pub id: id::Attempt,
    /// The entry host that holds it.
    pub owner: id::Owner,
    /// Reserved memory, in KV tokens.
    pub tokens: u64,
    /// Time after which the engine drops the reservation by itself.
    pub ttl: clock::Span,
}

/// Reserves KV memory on the engine at `address`.
///
/// # Errors
///
/// `Refused(Full)` when the engine has too little, `Lost` when the reservation may have been made.
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
        Ok(response) if response.status() == http::StatusCode::OK => Ok(()),
        Ok(response) => Err(read_refusal(&response).await),
        Err(error) if is_unsent(&error) => Err(Failure::Unsent(error.to_string())),
        Err(error) => Err(Failure::Lost(error.to_string())),
    }
}

/// Releases a reservation. Returns whether the engine acknowledged it.
pub async fn release(
    client: &client::Client,
    address: net::SocketAddr,
    id: id::Attempt,
    zone: &id::Zone,
) -> bool {
    let url = format!("http://{address}/holdings/{id}/release");
    let response = client.post(url).header("Lagoon-Zone", zone.as_str()).send().await;
    response.is_ok_and(|response| response.status() == http::StatusCode::OK)
}

#[derive(serde::Deserialize)]
struct Holdings {
    holdings: Vec<engine::Holding>,
}

/// Longest list of holdings that is read, in bytes: about 8,000 entries.
const MAX_HOLDINGS_BYTES: usize = 1 << 20;

/// Returns everything that the engine at `address` holds; `None` when it cannot be read.
pub async fn holdings(
    client: &client::Client,
    address: net::SocketAddr,
    zone: &id::Zone,
) -> Option<Vec<engine::Holding>> {
    let url = format!("http://{address}/holdings");
    let request = client.get(url).header("Lagoon-Zone", zone.as_str());
    let response = request.send().await.ok()?;
    if response.status() != http::StatusCode::OK {
        return None;
    }
    let body = response.body().limit(MAX_HOLDINGS_BYTES).await.ok()?;
    Some(serde_json::from_slice::<Holdings>(&body).ok()?.holdings)
}

/// Checks the head of a streamed response and returns its events.
async fn read_head(
    response: Result<client::ClientResponse, client::error::ClientError>,
    attempt: id::Attempt,
) -> Result<Events, Failure> {
    let response = match response {
        Ok(response) => response,
        Err(error) if is_unsent(&error) => return Err(Failure::Unsent(error.to_string())),
        Err(error) => return Err(Failure::Lost(error.to_string())),
    };
    if response.status() != http::StatusCode::OK {
        return Err(read_refusal(&response).await);
    }
    let echoed = response.header("Lagoon-Attempt").and_then(|value| value.to_str().ok());
    if echoed.and_then(|text| text.parse().ok()) != Some(attempt) {
        return Err(Failure::Lost("the answer names another attempt".to_owned()));
    }
    let load = response.header("Lagoon-Load").and_then(|value| value.to_str().ok());
    let load = load.and_then(|text| serde_json::from_str::<engine::LoadReport>(text).ok());
    Ok(Events::new(response.take_payload(), load))
}

#[derive(serde::Deserialize)]
struct Refused {
    error: Code,
}

#[derive(serde::Deserialize)]
struct Code {
    code: String,
}

/// Returns the failure that a response with an error status stands for.
async fn read_refusal(response: &client::ClientResponse) -> Failure {
    let status = response.status();
    let body = response.body().limit(MAX_REFUSAL_BYTES).await;
    let code = body.ok().and_then(|body| serde_json::from_slice::<Refused>(&body).ok());
    match code.and_then(|refused| Refusal::parse(&refused.error.code)) {
        Some(refusal) => Failure::Refused(refusal),
        None if status == http::StatusCode::NOT_FOUND => Failure::NoStream,
        None => Failure::Lost(format!("status {status}")),
    }
}

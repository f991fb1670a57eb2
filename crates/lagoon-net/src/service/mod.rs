//! Adapter for plain services: the caller's request as it came, and the answer as it comes.

use std::net;

use lagoonline::clock;
use lagoonline::id;
use ntex::client;
use ntex::http;
use ntex::http::body;

use crate::engine;

/// Headers that belong to one connection, or to lagoonline itself, and are not passed on.
const HOP_BY_HOP: [&str; 12] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether the header is passed on.
pub(crate) fn passes(name: &http::header::HeaderName) -> bool {
    !HOP_BY_HOP.contains(&name.as_str())
}

/// What a service is asked.
#[derive(Debug)]
pub struct Call<'a> {
    /// This dispatch.
    pub attempt: id::Attempt,
    /// Who asks.
    pub owner: &'a id::Owner,
    /// Zone of the asking entry host.
    pub zone: &'a id::Zone,
    /// Time left until the deadline.
    pub left: clock::Span,
    /// The caller's method.
    pub method: http::Method,
    /// Path and query after `/services/NAME`, beginning with `/`.
    pub target: &'a str,
    /// The caller's headers.
    pub headers: &'a http::HeaderMap,
}

/// Why there is no answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Failure {
    /// No connection came about, so no byte was sent.
    #[error("no connection: {0}")]
    Unsent(String),
    /// The service's word that the call did not run.
    #[error("refused")]
    Refused,
    /// Anything else: the call may have run.
    #[error("lost: {0}")]
    Lost(String),
}

/// Sends a call with its body and waits for the head of the answer.
///
/// # Errors
///
/// Why there is no answer.
pub async fn call(
    client: &client::Client,
    address: net::SocketAddr,
    call: Call<'_>,
    body: body::Body,
) -> Result<client::ClientResponse, Failure> {
    let mut request =
        client.request(call.method, format!("http://{address}{}", call.target)).no_decompress();
    let names = call.headers.iter().filter(|(name, _)| passes(name));
    for (name, value) in names.filter(|(name, _)| !name.as_str().starts_with("lagoon-")) {
        request = request.header(name.clone(), value.clone());
    }
    let request = request
        .set_header("Lagoon-Attempt", call.attempt.to_string())
        .set_header("Lagoon-Owner", call.owner.to_string())
        .set_header("Lagoon-Zone", call.zone.as_str())
        .set_header("Lagoon-Deadline-Ms", engine::millis(call.left));
    let answer = match request.send_body(body).await {
        Ok(answer) => answer,
        Err(error) if engine::is_unsent(&error) => return Err(Failure::Unsent(error.to_string())),
        Err(error) => return Err(Failure::Lost(error.to_string())),
    };
    if answer.status() == http::StatusCode::SERVICE_UNAVAILABLE
        && answer.header("Lagoon-Not-Run").is_some_and(|value| value.as_bytes() == b"1")
    {
        return Err(Failure::Refused);
    }
    let echoed = answer.header("Lagoon-Attempt").and_then(|value| value.to_str().ok());
    if echoed.and_then(|text| text.parse().ok()) != Some(call.attempt) {
        return Err(Failure::Lost("the answer names another attempt".to_owned()));
    }
    Ok(answer)
}

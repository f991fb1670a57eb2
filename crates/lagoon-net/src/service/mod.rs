//! Client for plain services: forwards a caller's request unchanged and streams the response.

use std::net;

use lagoonline::clock;
use lagoonline::id;
use ntex::client;
use ntex::http;
use ntex::http::body;

use crate::engine;
use crate::framing;

/// Headers that are not forwarded: they apply to one connection, are set by the HTTP client itself,
/// or are meant for lagoonline (`authorization`). `Lagoon-*` headers are not forwarded either; the
/// code that copies the headers skips them.
const NOT_FORWARDED: [&str; 12] = [
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

/// Returns whether a header that is not a `Lagoon-*` header is forwarded.
pub(crate) fn is_forwarded(name: &http::header::HeaderName) -> bool {
    !NOT_FORWARDED.contains(&name.as_str())
}

/// Parameters of a call to a service.
#[derive(Debug)]
pub struct Call<'a> {
    /// Id of this attempt, new for each dispatch.
    pub attempt: id::Attempt,
    /// The entry host that sends the call.
    pub owner: &'a id::Owner,
    /// Zone of that entry host.
    pub zone: &'a id::Zone,
    /// Time left until the deadline.
    pub time_left: clock::Span,
    /// The caller's method.
    pub method: http::Method,
    /// Path and query after `/services/NAME`, beginning with `/`.
    pub target: &'a str,
    /// The caller's headers.
    pub headers: &'a http::HeaderMap,
}

/// Reason why there is no response.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Failure {
    /// No connection was established, so no byte was sent.
    #[error("no connection: {0}")]
    Unsent(String),
    /// The service states that the call did not run.
    #[error("refused")]
    Refused,
    /// Any other failure: the call may have run.
    #[error("lost: {0}")]
    Lost(String),
}

/// Sends a call with its body and waits for the head of the response.
///
/// # Errors
///
/// The reason why there is no response.
pub async fn call(
    client: &client::Client,
    address: net::SocketAddr,
    call: Call<'_>,
    body: body::Body,
) -> Result<client::ClientResponse, Failure> {
    let mut request = client
        .request(call.method.clone(), format!("http://{address}{}", call.target))
        .no_decompress();
    let names = call.headers.iter().filter(|(name, _)| is_forwarded(name));
    for (name, value) in names.filter(|(name, _)| !name.as_str().starts_with("lagoon-")) {
        request = request.header(name.clone(), value.clone());
    }
    let request = request
        .set_header("Lagoon-Attempt", call.attempt.to_string())
        .set_header("Lagoon-Owner", call.owner.to_string())
        .set_header("Lagoon-Zone", call.zone.as_str())
        .set_header("Lagoon-Deadline-Ms", engine::millis(call.time_left));
    let response = match request.send_body(body).await {
        Ok(response) => response,
        Err(error) if engine::is_unsent(&error) => return Err(Failure::Unsent(error.to_string())),
        Err(error) => return Err(Failure::Lost(error.to_string())),
    };
    if response.status() == http::StatusCode::SERVICE_UNAVAILABLE
        && response.header("Lagoon-Not-Run").is_some_and(|value| value.as_bytes() == b"1")
    {
        return Err(Failure::Refused);
    }
    let echoed = response.header("Lagoon-Attempt").and_then(|value| value.to_str().ok());
    if echoed.and_then(|text| text.parse().ok()) != Some(call.attempt) {
        return Err(Failure::Lost("the answer names another attempt".to_owned()));
    }
    framing::check(&call.method, &response).map_err(|error| Failure::Lost(error.to_string()))?;
    Ok(response)
}

//! HTTP helpers that all stand-ins share: request bodies, responses, and transport faults.

use std::io;
use std::time;

use bytes::Bytes;
use ntex::http;
use ntex::util;
use rand::Rng;
use serde::{Serialize, de};
use serde_json::json;

use crate::fault;

/// Time for which a request from a cut zone is held before its connection is closed.
const CUT_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Interval at which a held request checks whether the cut has ended.
pub(crate) const CUT_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// The connection is closed without a complete response.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in closed the connection")]
pub struct Closed;

/// Error of reading a request body.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection ended before the body was complete.
    #[error("half a body: {0}")]
    Truncated(String),
    /// The body is not the expected JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// Reads a complete body.
pub(crate) async fn read(request: &mut http::Request) -> Result<Bytes, BodyError> {
    let mut payload = request.take_payload();
    let mut body = Vec::new();
    while let Some(piece) = payload.recv().await {
        let piece = piece.map_err(|error| BodyError::Truncated(error.to_string()))?;
        body.extend_from_slice(&piece);
    }
    Ok(Bytes::from(body))
}

/// Reads a JSON body.
pub(crate) async fn read_json<T>(request: &mut http::Request) -> Result<T, BodyError>
where
    T: de::DeserializeOwned,
{
    let body = read(request).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Reads and discards the body of a call that does not use it, before the response is sent.
///
/// Failure mode: without this read, a handler responds and the connection is closed while the body
/// is still arriving. Symptom: the sender sees a broken connection instead of the response, and
/// cannot tell that nothing was done.
pub(crate) async fn discard(request: &mut http::Request) {
    // An incomplete body is no error, because the call does not use it.
    let _incomplete = read(request).await;
}

/// Returns the text of a header; empty when it is absent or not ASCII.
pub(crate) fn header<'a>(request: &'a http::Request, name: &str) -> &'a str {
    request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Returns the number in a header; `None` when it is absent or not a number.
pub(crate) fn number(request: &http::Request, name: &str) -> Option<u64> {
    header(request, name).parse().ok()
}

/// Returns the percent-decoded value of a query parameter; empty when it is absent.
pub(crate) fn query(request: &http::Request, name: &str) -> String {
    let query = request.uri().query().unwrap_or("");
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value)).next();
    found.unwrap_or_default()
}

/// Decodes percent-encoding, and `+` as a space. An invalid escape stays as it is.
pub(crate) fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let hex = (byte == b'%').then(|| after.get(..2)).flatten();
        let hex = hex.and_then(|digits| std::str::from_utf8(digits).ok());
        match hex.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(if byte == b'+' { b' ' } else { byte });
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns a JSON response.
pub(crate) fn json<T>(status: u16, value: &T) -> http::Response
where
    T: Serialize,
{
    let status = http::StatusCode::from_u16(status).unwrap_or_default();
    http::Response::build(status).json(value)
}

/// Returns a refusal: `{"error":{"code":CODE}}`. For invalid fault switches, CODE is an error text.
pub(crate) fn refuse(status: u16, code: &str) -> http::Response {
    json(status, &json!({"error": {"code": code}}))
}

/// Returns a refusal for a body that could not be read.
pub(crate) fn malformed(error: &BodyError) -> http::Response {
    json(400, &json!({"error": {"code": "malformed", "message": error.to_string()}}))
}

/// Closes the request's connection, so that the sender gets no response.
pub(crate) fn drop_connection(request: &http::Request) -> http::Response {
    if let Some(io) = request.io() {
        io.terminate();
    }
    // Nobody receives this response. Its body fails, which also breaks a connection that could not
    // be terminated above.
    let aborted = futures_util::stream::iter([Err::<util::Bytes, Closed>(Closed)]);
    http::Response::build(http::StatusCode::SERVICE_UNAVAILABLE).force_close().streaming(aborted)
}

/// Applies the transport faults to a request: loss, delay and zone cuts. `current` returns the
/// present switches, because they may change while the request is held.
///
/// # Errors
///
/// Returns [`Closed`] if the connection must be closed without a response.
pub(crate) async fn apply_faults<Current>(
    request: &http::Request,
    current: Current,
) -> Result<(), Closed>
where
    Current: Fn() -> fault::Transport,
{
    let faults = current();
    if faults.down || (faults.loss > 0.0 && rand::rng().random_bool(faults.loss.clamp(0.0, 1.0))) {
        return Err(Closed);
    }
    if faults.delay_ms > 0 {
        tokio::time::sleep(time::Duration::from_millis(faults.delay_ms)).await;
    }
    wait_while_cut(request, &current).await?;
    if current().down { Err(Closed) } else { Ok(()) }
}

/// Waits until the zone of the request's sender is not cut off.
///
/// # Errors
///
/// Returns [`Closed`] if the cut lasts longer than `CUT_TIMEOUT`.
pub(crate) async fn wait_while_cut<Current>(
    request: &http::Request,
    current: Current,
) -> Result<(), Closed>
where
    Current: Fn() -> fault::Transport,
{
    let zone = header(request, "Lagoon-Zone").to_owned();
    let arrived = time::Instant::now();
    while !zone.is_empty() && current().cut.contains(&zone) {
        if arrived.elapsed() > CUT_TIMEOUT {
            return Err(Closed);
        }
        tokio::time::sleep(CUT_POLL_INTERVAL).await;
    }
    Ok(())
}

/// Binds a listen address.
pub(crate) fn bind(address: std::net::SocketAddr) -> io::Result<std::net::TcpListener> {
    std::net::TcpListener::bind(address)
}

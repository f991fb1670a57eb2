//! The HTTP side that all stand-ins share: bodies, answers, and the faults of a port.

use std::io;
use std::time;

use bytes::Bytes;
use ntex::http;
use ntex::util;
use rand::Rng;
use serde::{Serialize, de};
use serde_json::json;

use crate::fault;

/// How long a request from a cut zone is left without an answer before its connection goes.
const CUT_HOLD: time::Duration = time::Duration::from_secs(30);
/// How often a held request looks whether the cut has healed.
pub(crate) const CUT_LOOK: time::Duration = time::Duration::from_millis(20);

/// The connection goes away without a whole answer.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in closed the connection")]
pub struct Gone;

/// What reading a body can come to.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The sender went away before the end.
    #[error("half a body: {0}")]
    Half(String),
    /// It is not the JSON expected.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// Reads a whole body.
pub(crate) async fn read(request: &mut http::Request) -> Result<Bytes, BodyError> {
    let mut payload = request.take_payload();
    let mut body = Vec::new();
    while let Some(piece) = payload.recv().await {
        let piece = piece.map_err(|error| BodyError::Half(error.to_string()))?;
        body.extend_from_slice(&piece);
    }
    Ok(Bytes::from(body))
}

/// Reads a body of JSON.
pub(crate) async fn read_json<T>(request: &mut http::Request) -> Result<T, BodyError>
where
    T: de::DeserializeOwned,
{
    let body = read(request).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Reads away the body of a call that has no use for it.
///
/// Failure answered: the refusal is sent and the connection closed while the body arrives.
/// Symptom: the sender sees a broken connection, and cannot tell that nothing was done.
pub(crate) async fn discard(request: &mut http::Request) {
    // A body that breaks off is refused all the same.
    let _broken = read(request).await;
}

/// A header's text; empty when absent or not ASCII.
pub(crate) fn header<'a>(request: &'a http::Request, name: &str) -> &'a str {
    request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// A header's number; `None` when absent or not a number.
pub(crate) fn number(request: &http::Request, name: &str) -> Option<u64> {
    header(request, name).parse().ok()
}

/// Value of `name` in the query, percent-decoded; empty when absent.
pub(crate) fn query(request: &http::Request, name: &str) -> String {
    let query = request.uri().query().unwrap_or("");
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value)).next();
    found.unwrap_or_default()
}

/// Undoes percent-encoding.
pub(crate) fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        let hex = (first == b'%').then(|| after.get(..2)).flatten();
        let hex = hex.and_then(|digits| std::str::from_utf8(digits).ok());
        match hex.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(if first == b'+' { b' ' } else { first });
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// An answer of JSON.
pub(crate) fn json<T>(status: u16, value: &T) -> http::Response
where
    T: Serialize,
{
    let status = http::StatusCode::from_u16(status).unwrap_or_default();
    http::Response::build(status).json(value)
}

/// A refusal: `{"error":{"code":CODE}}`.
pub(crate) fn refuse(status: u16, code: &str) -> http::Response {
    json(status, &json!({"error": {"code": code}}))
}

/// A refusal for a body that could not be read.
pub(crate) fn malformed(error: &BodyError) -> http::Response {
    json(400, &json!({"error": {"code": "malformed", "message": error.to_string()}}))
}

/// Closes the request's connection, so that the sender gets no answer.
pub(crate) fn vanish(request: &http::Request) -> http::Response {
    if let Some(io) = request.io() {
        io.terminate();
    }
    let broken = futures_util::stream::iter([Err::<util::Bytes, Gone>(Gone)]);
    http::Response::build(http::StatusCode::SERVICE_UNAVAILABLE).force_close().streaming(broken)
}

/// Does to a request what the port's switches say.
///
/// # Errors
///
/// The request must vanish without an answer.
pub(crate) async fn pass<Look>(request: &http::Request, look: Look) -> Result<(), Gone>
where
    Look: Fn() -> fault::Port,
{
    let faults = look();
    if faults.down || (faults.loss > 0.0 && rand::rng().random_bool(faults.loss.clamp(0.0, 1.0))) {
        return Err(Gone);
    }
    if faults.delay_ms > 0 {
        tokio::time::sleep(time::Duration::from_millis(faults.delay_ms)).await;
    }
    healed(request, &look).await?;
    if look().down { Err(Gone) } else { Ok(()) }
}

/// Holds what belongs to a request from a cut zone, until the cut heals.
///
/// # Errors
///
/// It did not heal in time.
pub(crate) async fn healed<Look>(request: &http::Request, look: Look) -> Result<(), Gone>
where
    Look: Fn() -> fault::Port,
{
    let zone = header(request, "Lagoon-Zone").to_owned();
    let arrived = time::Instant::now();
    while !zone.is_empty() && look().cut.contains(&zone) {
        if arrived.elapsed() > CUT_HOLD {
            return Err(Gone);
        }
        tokio::time::sleep(CUT_LOOK).await;
    }
    Ok(())
}

/// Reads a settings address and binds it.
pub(crate) fn bind(address: std::net::SocketAddr) -> io::Result<std::net::TcpListener> {
    std::net::TcpListener::bind(address)
}

//! Whether the end of a response's body is marked.
//!
//! A response with neither a length nor chunks ends with its connection, which looks the same when
//! its sender has crashed. The HTTP client takes such a body for empty (HTTP/1.1) or for whole
//! (HTTP/1.0), so the response must not be used.

use ntex::client;
use ntex::http;

/// The response ends with its connection.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("an answer with neither a length nor chunks, which may have been broken off")]
pub(crate) struct Unmarked;

/// Checks that the end of the body of a response to `method` is marked.
///
/// # Errors
///
/// [`Unmarked`].
pub(crate) fn check(
    method: &http::Method,
    response: &client::ClientResponse,
) -> Result<(), Unmarked> {
    let status = response.status();
    let is_bodyless = *method == http::Method::HEAD
        || status.is_informational()
        || matches!(status, http::StatusCode::NO_CONTENT | http::StatusCode::NOT_MODIFIED);
    let headers = response.headers();
    let has_length = headers.contains_key(http::header::CONTENT_LENGTH);
    let encoding = headers.get(http::header::TRANSFER_ENCODING);
    let encoding = encoding.and_then(|value| value.to_str().ok()).unwrap_or_default();
    // HTTP/1.0 has no chunks.
    let has_chunks = response.version() >= http::Version::HTTP_11
        && encoding.to_ascii_lowercase().ends_with("chunked");
    if is_bodyless || has_length || has_chunks { Ok(()) } else { Err(Unmarked) }
}

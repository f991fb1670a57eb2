//! Reading request bodies with limits on their size and on the time between chunks.

use std::cell;

use lagoonline::clock;
use lagoonline::outcome::{Outcome, Reason, Step};
use ntex::http;
use ntex::util;

use super::call;
use super::fault;
use super::settings;

/// Reads a body into one buffer, which is then shared and not copied again.
pub(crate) async fn collect(
    limits: &settings::Limits,
    headers: &http::HeaderMap,
    mut payload: http::Payload,
) -> Result<util::Bytes, fault::Fault> {
    let expected = content_length(headers).unwrap_or(0);
    if expected > limits.body_bytes as u64 {
        return Err(too_long(limits.body_bytes as u64));
    }
    let mut body = util::BytesMut::with_capacity(usize::try_from(expected).unwrap_or(0));
    loop {
        let next = tokio::time::timeout(limits.body_timeout, payload.recv()).await;
        match next {
            Err(_) => return Err(slow_caller()),
            Ok(None) => return Ok(body.freeze()),
            Ok(Some(Err(error))) => return Err(call::malformed(format!("body: {error}"))),
            Ok(Some(Ok(chunk))) if body.len() + chunk.len() > limits.body_bytes => {
                return Err(too_long(limits.body_bytes as u64));
            }
            Ok(Some(Ok(chunk))) => body.extend_from_slice(&chunk),
        }
    }
}

/// Longest pause between chunks while the rest of a refused caller's body is discarded.
const DISCARD_CHUNK_TIMEOUT: clock::Span = clock::Span::from_secs(1);
/// Longest total time spent on discarding a body.
const DISCARD_TIMEOUT: clock::Span = clock::Span::from_secs(5);

/// A request body that may not have been read yet.
///
/// Guards against lost refusals: a call is refused because of its head, as for a wrong key or
/// during a drain, while its long body is still arriving. If this side closes the connection with
/// unread bytes, the kernel resets it and the caller sees a broken pipe instead of the refusal.
/// [`Unread::discard`] reads the body first, with limits on size and time; a caller beyond these
/// limits sends more than it may or has stopped sending.
#[derive(Debug)]
pub(crate) struct Unread(cell::RefCell<Option<http::Payload>>);

impl Unread {
    pub(crate) fn new(payload: http::Payload) -> Unread {
        Unread(cell::RefCell::new(Some(payload)))
    }

    /// Returns the body to its only reader.
    pub(crate) fn take(&self) -> http::Payload {
        self.0.borrow_mut().take().unwrap_or(http::Payload::None)
    }

    /// Reads and discards the body if it was not taken, unless its announced length exceeds
    /// `max_bytes` bytes.
    pub(crate) async fn discard(&self, headers: &http::HeaderMap, max_bytes: usize) {
        if content_length(headers).is_some_and(|length| length > max_bytes as u64) {
            return;
        }
        let mut payload = self.take();
        let read = async {
            let mut left = max_bytes;
            while let Ok(Some(Ok(chunk))) =
                tokio::time::timeout(DISCARD_CHUNK_TIMEOUT, payload.recv()).await
            {
                left = left.saturating_sub(chunk.len());
                if left == 0 {
                    return;
                }
            }
        };
        let _timeout = tokio::time::timeout(DISCARD_TIMEOUT, read).await;
    }
}

/// Returns the value of the `Content-Length` header.
pub(crate) fn content_length(headers: &http::HeaderMap) -> Option<u64> {
    headers.get("content-length")?.to_str().ok()?.parse().ok()
}

pub(crate) fn too_long(limit: u64) -> fault::Fault {
    let detail = format!("a body has at most {limit} bytes");
    fault::new(Reason::TooLong, Step::Read, Outcome::NotRun).with_detail(detail)
}

pub(crate) fn slow_caller() -> fault::Fault {
    fault::new(Reason::SlowCaller, Step::Read, Outcome::NotRun)
}

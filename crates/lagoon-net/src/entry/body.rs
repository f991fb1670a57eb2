//! Reading a caller's body, bounded in size and in silence.

use std::cell;

use lagoonline::clock;
use lagoonline::outcome::{Outcome, Reason, Step};
use ntex::http;
use ntex::util;

use super::call;
use super::fault;
use super::settings;

/// Collects a body into one buffer, which is shared from then on and not copied again.
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
            Err(_) => return Err(slow()),
            Ok(None) => return Ok(body.freeze()),
            Ok(Some(Err(error))) => return Err(call::malformed(format!("body: {error}"))),
            Ok(Some(Ok(chunk))) if body.len() + chunk.len() > limits.body_bytes => {
                return Err(too_long(limits.body_bytes as u64));
            }
            Ok(Some(Ok(chunk))) => body.extend_from_slice(&chunk),
        }
    }
}

/// Longest silence of a refused caller while the rest of its body is read away.
const DISCARD_SILENCE: clock::Span = clock::Span::from_secs(1);
/// Longest time for which that is done.
const DISCARD_TIME: clock::Span = clock::Span::from_secs(5);

/// A caller's body that may not have been read yet.
///
/// Failure answered: a call is refused by its head, as for a wrong key or a drain, while its long
/// body still arrives. Symptom: this side closes with bytes unread, the kernel resets the
/// connection, and the caller sees a broken pipe in place of the refusal. [`Unread::discard`]
/// reads the body away first, bounded in size and time; beyond the bounds the caller is one that
/// sends more than it may or not at all.
#[derive(Debug)]
pub(crate) struct Unread(cell::RefCell<Option<http::Payload>>);

impl Unread {
    pub(crate) fn new(payload: http::Payload) -> Unread {
        Unread(cell::RefCell::new(Some(payload)))
    }

    /// The body, for its one reader.
    pub(crate) fn take(&self) -> http::Payload {
        self.0.borrow_mut().take().unwrap_or(http::Payload::None)
    }

    /// Reads away what nobody took, unless it is announced as longer than `most` bytes.
    pub(crate) async fn discard(&self, headers: &http::HeaderMap, most: usize) {
        if content_length(headers).is_some_and(|length| length > most as u64) {
            return;
        }
        let mut payload = self.take();
        let read = async {
            let mut left = most;
            while let Ok(Some(Ok(chunk))) =
                tokio::time::timeout(DISCARD_SILENCE, payload.recv()).await
            {
                left = left.saturating_sub(chunk.len());
                if left == 0 {
                    return;
                }
            }
        };
        let _timeout = tokio::time::timeout(DISCARD_TIME, read).await;
    }
}

/// The length that the caller announced.
pub(crate) fn content_length(headers: &http::HeaderMap) -> Option<u64> {
    headers.get("content-length")?.to_str().ok()?.parse().ok()
}

pub(crate) fn too_long(limit: u64) -> fault::Fault {
    let detail = format!("a body has at most {limit} bytes");
    fault::new(Reason::TooLong, Step::Read, Outcome::NotRun).with_detail(detail)
}

pub(crate) fn slow() -> fault::Fault {
    fault::new(Reason::SlowCaller, Step::Read, Outcome::NotRun)
}

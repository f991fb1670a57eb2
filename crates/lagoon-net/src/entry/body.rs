//! Reading a caller's body, bounded in size and in silence.

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

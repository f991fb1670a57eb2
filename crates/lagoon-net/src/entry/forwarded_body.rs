//! Body of a service call, forwarded from the caller to the service.

use std::cell;
use std::io;
use std::rc;
use std::sync;

use futures_util::StreamExt as _;
use futures_util::stream;
use ntex::http;
use ntex::http::body as http_body;
use ntex::util;

use super::body;
use super::call;
use super::fault;
use super::state;

/// A request body. A streamed body is not buffered and can therefore be sent only once.
#[derive(Clone)]
pub(crate) struct ForwardedBody(rc::Rc<Inner>);

struct Inner {
    payload: cell::RefCell<Option<http::Payload>>,
    /// The whole body if it was read beforehand; it can be sent any number of times.
    whole: Option<util::Bytes>,
    empty: bool,
    length: Option<u64>,
    fault: cell::RefCell<Option<fault::Fault>>,
    state: sync::Arc<state::State>,
}

impl ForwardedBody {
    /// Creates a streamed body. Fails if its announced length exceeds the limit.
    pub(crate) fn new(
        state: &sync::Arc<state::State>,
        headers: &http::HeaderMap,
        payload: http::Payload,
    ) -> Result<ForwardedBody, fault::Fault> {
        let length = body::content_length(headers);
        let max_bytes = state.settings.limits.service_body_bytes;
        if length.is_some_and(|length| length > max_bytes) {
            return Err(body::too_long(max_bytes));
        }
        let chunked = headers.contains_key("transfer-encoding");
        let inner = Inner {
            payload: cell::RefCell::new(Some(payload)),
            whole: None,
            empty: !chunked && length.unwrap_or(0) == 0,
            length,
            fault: cell::RefCell::default(),
            state: state.clone(),
        };
        Ok(ForwardedBody(rc::Rc::new(inner)))
    }

    /// Creates a body from bytes that were read beforehand.
    pub(crate) fn from_bytes(state: &sync::Arc<state::State>, body: util::Bytes) -> ForwardedBody {
        ForwardedBody(rc::Rc::new(Inner {
            payload: cell::RefCell::default(),
            empty: body.is_empty(),
            length: Some(body.len() as u64),
            whole: Some(body),
            fault: cell::RefCell::default(),
            state: state.clone(),
        }))
    }

    /// Returns whether another dispatch would send the same body: it is empty, was read beforehand,
    /// or no dispatch has read from the stream yet.
    pub(crate) fn can_resend(&self) -> bool {
        self.0.empty || self.0.whole.is_some() || self.0.payload.borrow().is_some()
    }

    /// Returns the caller's error that ended the body early, if any.
    pub(crate) fn fault(&self) -> Option<fault::Fault> {
        self.0.fault.borrow().clone()
    }

    /// Returns the body for one dispatch. A streamed body is consumed by the first dispatch that
    /// reads from it.
    pub(crate) fn to_http(&self) -> http_body::Body {
        if self.0.empty {
            return http_body::Body::None;
        }
        if let Some(whole) = &self.0.whole {
            return http_body::Body::from(whole.clone());
        }
        let body = self.clone();
        let stream = stream::unfold((body, None, 0), |(body, payload, forwarded)| async move {
            let mut payload = match payload {
                Some(payload) => payload,
                None => body.0.payload.borrow_mut().take()?,
            };
            let item = body.read(&mut payload, forwarded).await?;
            let forwarded = forwarded + item.as_ref().map_or(0, |chunk| chunk.len() as u64);
            Some((item, (body, Some(payload), forwarded)))
        });
        let stream = Box::pin(stream.fuse());
        match self.0.length {
            Some(length) => http_body::Body::from(http_body::SizedStream::new(length, stream)),
            None => http_body::Body::from_message(http_body::BoxedBodyStream::new(stream)),
        }
    }

    /// Reads the next chunk. A fault of the caller is stored and ends the body with an error.
    async fn read(
        &self,
        payload: &mut http::Payload,
        forwarded: u64,
    ) -> Option<Result<util::Bytes, rc::Rc<dyn std::error::Error>>> {
        let limits = &self.0.state.settings.limits;
        let fault = match tokio::time::timeout(limits.body_timeout, payload.recv()).await {
            Ok(None) => return None,
            Ok(Some(Ok(chunk))) => {
                if forwarded + chunk.len() as u64 <= limits.service_body_bytes {
                    return Some(Ok(chunk));
                }
                body::too_long(limits.service_body_bytes)
            }
            Ok(Some(Err(error))) => call::malformed(format!("body: {error}")),
            Err(_) => body::slow_caller(),
        };
        let error = io::Error::other(fault.failure.to_string());
        self.0.fault.replace(Some(fault));
        let error: rc::Rc<dyn std::error::Error> = rc::Rc::new(error);
        Some(Err(error))
    }
}

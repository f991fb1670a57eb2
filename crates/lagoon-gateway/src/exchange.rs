//! HTTP requests to an upstream or to the platform's store, each on a connection of its own.
//!
//! The connection is polled by the future that waits for the answer, not by a task. Dropping an
//! [`Exchange`] therefore closes its connection at once, which tells the upstream that the answer
//! is no longer needed.

use std::future;
use std::io;
use std::pin;
use std::time;

use http_body_util::BodyExt;
use hyper::body;
use hyper::body::Body as _;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use lagoon_net::turn;
use lagoonline::id;
use lagoonline::lifecycle::completeness;
use lagoonline::load::progress;
use lagoonline::routing;

use crate::event;
use crate::message;
use crate::meter;
use crate::path;
use crate::payload;
use crate::state;

/// Maximum number of bytes that are read ahead of an answer. It exceeds the bound on heads of
/// [`progress::Settings`], which is mostly the one that applies.
const READ_BUFFER: usize = 128 << 10;

/// Why there is no answer, or no complete one.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// No byte was sent: the connection failed, or the request could not be built.
    #[error("no connection: {0}")]
    Unsent(String),
    /// No byte was sent: no connection to the upstream opened.
    #[error("no connection: {0}")]
    Unreachable(#[from] path::Failure),
    /// The connection broke, or the answer is invalid: the request may have been acted on.
    #[error("lost: {0}")]
    Lost(String),
    /// The upstream sent bytes that never become a valid answer, or too slowly. The request may have
    /// been acted on.
    #[error("lost: {0}")]
    Violated(progress::Violation),
}

/// The connection, which makes progress only while it is polled.
type Driver = http1::Connection<TokioIo<meter::Metered<path::Connection>>, payload::Payload>;

/// A connection with at most one request in progress.
#[derive(Debug)]
pub(crate) struct Exchange {
    sender: http1::SendRequest<payload::Payload>,
    driver: Option<Driver>,
    meter: meter::Meter,
    turn: turn::Turn,
    is_reset: bool,
}

impl Exchange {
    /// Prepares to send requests on a connection.
    ///
    /// # Errors
    ///
    /// [`Failure::Unsent`].
    pub(crate) async fn open(connection: path::Connection) -> Result<Exchange, Failure> {
        let meter = meter::Meter::default();
        let metered = meter::Metered::new(connection, meter.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(metered))
            .await
            .map_err(|error| Failure::Unsent(error.to_string()))?;
        let (turn, is_reset) = (turn::Turn::default(), false);
        Ok(Exchange { sender, driver: Some(driver), meter, turn, is_reset })
    }

    /// Sends the request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`Failure::Lost`] and [`Failure::Violated`]: a byte may have left.
    pub(crate) async fn send(
        &mut self,
        request: hyper::Request<payload::Payload>,
    ) -> Result<hyper::Response<body::Incoming>, Failure> {
        self.meter.begin_head();
        let answer = self.sender.send_request(request);
        let answer = drive(&mut self.driver, answer).await;
        let answer = answer.map_err(|error| {
            self.is_reset = self.meter.violation().is_none() && is_connection_error(&error);
            self.failure(&error)
        })?;
        self.meter.begin_body();
        Ok(answer)
    }

    /// Reads the next bytes of an answer's body; `None` at its end.
    ///
    /// # Errors
    ///
    /// [`Failure::Lost`]: the answer broke off. [`Failure::Violated`]: its bytes bring no content.
    pub(crate) async fn chunk(
        &mut self,
        body: &mut body::Incoming,
    ) -> Result<Option<body::Bytes>, Failure> {
        loop {
            self.turn.count().await;
            let frame = drive(&mut self.driver, body.frame()).await;
            match frame {
                None => return Ok(None),
                Some(Err(error)) => return Err(self.failure(&error)),
                // Trailers are not part of the body.
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.meter.deliver();
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the complete body, of at most `limit` bytes. `hold` is called with the size of each
    /// piece, and returns whether the host has memory for it.
    ///
    /// # Errors
    ///
    /// [`Failure::Lost`]: the answer broke off. [`Failure::Violated`]: it is longer, or arrives too
    /// slowly.
    pub(crate) async fn read_body<Hold>(
        &mut self,
        body: &mut body::Incoming,
        limit: usize,
        mut hold: Hold,
    ) -> Result<bytes::BytesMut, Failure>
    where
        Hold: FnMut(usize) -> bool,
    {
        let mut bytes = bytes::BytesMut::new();
        let mut watch = progress::Body::new(limit);
        while let Some(chunk) = self.chunk(body).await? {
            watch.receive(chunk.len(), self.meter.now()).map_err(Failure::Violated)?;
            if !hold(chunk.len()) {
                return Err(Failure::Lost("no memory for the answer".to_owned()));
            }
            bytes.extend_from_slice(&chunk);
        }
        Ok(bytes)
    }

    /// Sends a request whose answer has a body of at most `limit` bytes, and reads it.
    ///
    /// # Errors
    ///
    /// As [`Exchange::send`] and [`Exchange::read_body`].
    pub(crate) async fn fetch(
        &mut self,
        request: hyper::Request<payload::Payload>,
        through: Option<id::Host>,
        limit: usize,
    ) -> Result<Reply, Failure> {
        let mut answer = self.send(request).await?;
        let body = self.read_body(answer.body_mut(), limit, |_| true).await?;
        let (head, _) = answer.into_parts();
        Ok(Reply { status: head.status.as_u16(), headers: head.headers, body, through })
    }

    /// Waits until the connection can take another request; returns false if it cannot.
    pub(crate) async fn wait_reusable(&mut self) -> bool {
        let ready = self.sender.ready();
        let ready = drive(&mut self.driver, ready).await.is_ok();
        ready && self.driver.is_some() && self.sender.is_ready()
    }

    /// Returns the connection, on which nothing more is sent; `None` if it has ended.
    pub(crate) fn take_connection(&mut self) -> Option<path::Connection> {
        let driver = self.driver.take()?;
        Some(driver.into_parts().io.into_inner().into_inner())
    }

    /// Whether the connection broke before an answer, and was not closed in order. The upstream may
    /// still read what had arrived by then.
    pub(crate) fn is_reset(&self) -> bool {
        self.is_reset
    }

    /// Returns the failure that `error` of the connection stands for.
    fn failure(&self, error: &hyper::Error) -> Failure {
        use std::error::Error;
        let source = error.source();
        let invalid =
            io_error(error).is_some_and(|source| source.kind() == io::ErrorKind::InvalidData);
        if let Some(violation) = self.meter.violation() {
            Failure::Violated(violation)
        } else if error.is_parse_too_large() {
            // A single read may bring more than what the bound on heads leaves of the buffer.
            Failure::Violated(progress::Violation::Head)
        } else if !invalid {
            let source = source.map(|source| format!(": {source}")).unwrap_or_default();
            Failure::Lost(format!("{error}{source}"))
        } else {
            // The library's own bounds on chunk extensions and trailers.
            Failure::Violated(progress::Violation::Framing)
        }
    }
}

/// Returns the error of the connection that `error` stands for, if it is one.
fn io_error(error: &hyper::Error) -> Option<&io::Error> {
    use std::error::Error;
    error.source()?.downcast_ref()
}

/// Whether `error` is one of the connection, and not of the bytes that came on it.
fn is_connection_error(error: &hyper::Error) -> bool {
    io_error(error).is_some_and(|source| source.kind() != io::ErrorKind::InvalidData)
}

/// Returns how the end of an answer's body is marked.
pub(crate) fn framing(answer: &hyper::Response<body::Incoming>) -> completeness::Framing {
    // An exact size is that of the length, or zero if the answer has no body.
    if answer.body().size_hint().exact().is_some() {
        return completeness::Framing::Length;
    }
    let encodings = answer.headers().get_all(hyper::header::TRANSFER_ENCODING);
    let last = encodings.iter().next_back().and_then(|value| value.to_str().ok());
    let last = last.and_then(|value| value.rsplit(',').next()).unwrap_or_default();
    // HTTP/1.0 has no chunks.
    let has_chunks = answer.version() == hyper::Version::HTTP_11;
    if has_chunks && last.trim().eq_ignore_ascii_case("chunked") {
        completeness::Framing::Chunks
    } else {
        completeness::Framing::Connection
    }
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: bytes::BytesMut,
    /// The host that carried the connection, if it was not direct.
    pub(crate) through: Option<id::Host>,
}

/// Sends one request on the connection that `connecting` opens. Returns the answer, with a body of
/// at most `limit` bytes. The call must finish within `timeout`.
///
/// # Errors
///
/// [`Failure`]: no connection, or no complete answer in time.
pub(crate) async fn call<Connecting>(
    connecting: Connecting,
    request: hyper::Request<payload::Payload>,
    timeout: time::Duration,
    limit: usize,
) -> Result<Reply, Failure>
where
    Connecting: Future<Output = Result<path::Connection, path::Failure>>,
{
    let work = async {
        let connection = connecting.await?;
        let through = connection.through().cloned();
        Exchange::open(connection).await?.fetch(request, through, limit).await
    };
    let timed = tokio::time::timeout(timeout, work).await;
    timed.unwrap_or_else(|_| Err(Failure::Lost("no answer in time".to_owned())))
}

impl state::State {
    /// Counts and logs that the connection to `entry` was closed since its bytes became no answer to
    /// the call for `of`, and records the failure for placement. Other failures are ignored.
    pub(crate) fn record_violation(
        &self,
        of: &'static str,
        entry: &routing::Registration,
        failure: &Failure,
    ) {
        let Failure::Violated(violation) = failure else { return };
        self.metrics.count_violation(of, *violation);
        let failed = message::UpstreamOutcome::Failed;
        let observation = message::Observation::new(&entry.upstream, failed);
        self.record_observation(&entry.service, observation);
        event::Line::new("answer_violation")
            .text("call", of)
            .text("upstream", &entry.upstream)
            .text("kind", violation.as_str())
            .warn();
    }
}

/// Polls the connection alongside `work` until `work` is done.
async fn drive<Work>(driver: &mut Option<Driver>, work: Work) -> Work::Output
where
    Work: Future,
{
    let mut work = pin::pin!(work);
    future::poll_fn(move |context| {
        if let Some(connection) = driver
            && pin::Pin::new(connection).poll(context).is_ready()
        {
            // `work` reports the connection's failure as the failure of the request.
            *driver = None;
        }
        work.as_mut().poll(context)
    })
    .await
}

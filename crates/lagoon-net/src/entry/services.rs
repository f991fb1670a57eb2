//! Calls of plain services: any method, with bodies streamed in both directions.

use std::io;
use std::rc;

use futures_util::stream;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::request;
use lagoonline::outcome::{Outcome, Reason, Step};
use ntex::client;
use ntex::http;
use ntex::http::body as http_body;
use ntex::util;
use ntex::web;

use super::body;
use super::call;
use super::claims;
use super::fault;
use super::forwarded_body;
use super::interrupt;
use super::linger;
use super::metrics;
use super::replica;
use super::state;
use super::worker;
use crate::service;
use crate::turn;

/// Path prefix before the service's name.
const PREFIX: &str = "/services/";
/// Responses up to this many bytes are read completely before their head is sent, so that the head
/// can carry the outcome `done`.
const BUFFERED_RESPONSE_BYTES: usize = 256 << 10;

/// A chunk of a response body.
type Chunk = Result<util::Bytes, rc::Rc<dyn std::error::Error>>;

/// A service call in progress.
pub(crate) struct Job {
    pub(crate) worker: rc::Rc<worker::Worker>,
    pub(crate) call: call::Call,
    pub(crate) request: web::HttpRequest,
    pub(crate) service: id::Service,
    /// Path and query to forward.
    pub(crate) target: String,
    pub(crate) body: forwarded_body::ForwardedBody,
    /// Maximum size of a response that is kept or read completely.
    pub(crate) max_answer_bytes: u64,
}

/// Handles a service call.
pub(crate) async fn handle(
    worker: &rc::Rc<worker::Worker>,
    request: &web::HttpRequest,
    unread: &body::Unread,
    request_id: &str,
) -> Result<web::HttpResponse, fault::Fault> {
    let state = &worker.state;
    let active = state::ActiveGuard::new(state);
    let call = call::Call::read(state, state.clock.now(), request.headers())?;
    let (name, target) = split_path(request);
    let service = id::Service::from(name);
    let refuse = |reason| Err(fault::new(reason, Step::Admit, Outcome::NotRun));
    let Some(entry) = call.view.fleet.services.get(&service) else {
        return refuse(Reason::UnknownName);
    };
    let allowed = &call.customer().entry.services;
    if !allowed.is_empty() && !allowed.contains(&service) {
        return refuse(Reason::Forbidden);
    }
    let labels = metrics::CallLabels::of(KIND, service.as_str(), &call.customer().name);
    request.extensions_mut().insert(labels);
    state.rate_limits().admit(state.clock.now(), &call.customer().name, call.rate(), 0)?;
    let method = request.method().as_str();
    let is_idempotent = entry.idempotent_methods.iter().any(|idempotent| idempotent == method);
    let max_answer_bytes = entry.max_answer_bytes;
    // Idempotent methods need no claim: they may be sent again.
    if let (Some(key), false) = (call.idempotency_key.clone(), is_idempotent) {
        let keyed = claims::KeyedCall {
            worker: worker.clone(),
            key,
            request: request.clone(),
            service,
            target,
            request_id: request_id.to_owned(),
            max_answer_bytes,
            active: rc::Rc::new(active),
            call,
        };
        return claims::handle(keyed, unread.take()).await;
    }
    let body = forwarded_body::ForwardedBody::new(state, request.headers(), unread.take())?;
    let (worker, request) = (worker.clone(), request.clone());
    let job = Job { worker, call, request, service, target, body, max_answer_bytes };
    let repeat = if is_idempotent { request::Repeat::Allowed } else { request::Repeat::Never };
    let (response, answering, slot) = job.send(request::Pending::new(repeat)).await?;
    job.forward_response(response, answering, slot, active, request_id).await
}

/// Splits the path into the service's name and the path and query to forward.
fn split_path(request: &web::HttpRequest) -> (String, String) {
    let uri = request.uri();
    let rest = uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    (name.to_owned(), format!("/{path}{query}"))
}

/// Value of the `kind` label for service calls.
const KIND: &str = "service";

impl Job {
    /// Returns the labels under which the call is counted.
    pub(crate) fn labels(&self) -> metrics::CallLabels {
        metrics::CallLabels::of(KIND, self.service.as_str(), &self.call.customer().name)
    }

    /// Dispatches the call, and retries it on other replicas while that is safe and possible.
    pub(crate) async fn send(
        &self,
        mut pending: request::Pending,
    ) -> Result<(client::ClientResponse, request::Answering, replica::Slot), fault::Fault> {
        let state = &self.worker.state;
        let mut tried = Vec::new();
        let mut last = fault::new(Reason::NoUpstream, Step::Route, Outcome::NotRun);
        loop {
            let slot = match self.slot(&tried, &last).await {
                Ok(slot) => slot,
                Err(fault) => return Err(fault.with_outcome(pending.end())),
            };
            tried.push(slot.upstream.clone());
            let attempt = call::random_id();
            let dispatched = pending.dispatch(attempt);
            let work = self.dispatch(&slot, dispatched.attempt());
            let result = interrupt::within(state, self.call.deadline, work).await;
            let peer = slot.upstream.as_str();
            let failure = match result {
                Ok(Ok(response)) => {
                    state.metrics.count_attempt("answered");
                    slot.record_response();
                    return Ok((response, dispatched.answering(), slot));
                }
                Ok(Err(failure)) => failure,
                Err(interrupt) => {
                    return Err(interrupt.fault(Step::Dispatch, dispatched.lost().end()).at(peer));
                }
            };
            last = fault::new(Reason::UpstreamFailed, Step::Dispatch, Outcome::Unknown).at(peer);
            last = last.with_detail(failure.to_string());
            pending = match failure {
                service::Failure::Unsent(_) => {
                    state.metrics.count_attempt("unsent");
                    last.failure.reason = Reason::NoUpstream;
                    slot.record_failure(state.clock.now());
                    dispatched.refused()
                }
                service::Failure::Refused => {
                    state.metrics.count_attempt("refused");
                    slot.record_response();
                    last.failure.reason = Reason::NoUpstream;
                    dispatched.refused()
                }
                service::Failure::Lost(_) => {
                    state.metrics.count_attempt("lost");
                    let lost = dispatched.lost();
                    if let Some(fault) = self.body.fault() {
                        return Err(fault.with_outcome(lost.end()));
                    }
                    slot.record_failure(state.clock.now());
                    lost.retry().map_err(|outcome| last.clone().with_outcome(outcome))?
                }
            };
            if !self.body.can_resend() {
                return Err(last.with_outcome(pending.end()));
            }
            state.metrics.count_retry("service");
        }
    }

    /// Acquires a slot at a replica that is not in `tried`, after a bounded wait if all are full.
    /// Returns `last` when there is no such replica.
    async fn slot(
        &self,
        tried: &[id::Upstream],
        last: &fault::Fault,
    ) -> Result<replica::Slot, fault::Fault> {
        let state = &self.worker.state;
        let limits = state.settings.limits;
        let until = (state.clock.now() + limits.service_wait).min(self.call.deadline);
        let mut waiter = None;
        loop {
            let view = state.view();
            let (zone, waited) = (&state.settings.zone, waiter.is_some());
            let here = (zone, state.clock.now());
            let slot = view.replicas.take(&view.fleet, &self.service, here, tried, waited);
            match slot {
                Ok(slot) => return Ok(slot),
                Err(replica::Unavailable::NoReplica) => return Err(last.clone()),
                Err(replica::Unavailable::Full) => {}
            }
            let saturated = || fault::new(Reason::Saturated, Step::Queue, Outcome::NotRun);
            if waiter.is_none() {
                waiter = view.replicas.enqueue(&self.service, limits.service_waiting);
            }
            let waiting = waiter.as_ref().ok_or_else(saturated)?;
            match interrupt::within(state, until, waiting.wait()).await {
                Ok(()) => {}
                Err(interrupt::Interrupt::Deadline) if until < self.call.deadline => {
                    return Err(saturated());
                }
                Err(interrupt) => return Err(interrupt.fault(Step::Queue, Outcome::NotRun)),
            }
        }
    }

    /// Sends one attempt to a replica and waits for the head of the response.
    async fn dispatch(
        &self,
        slot: &replica::Slot,
        attempt: id::Attempt,
    ) -> Result<client::ClientResponse, service::Failure> {
        let state = &self.worker.state;
        let call = service::Call {
            attempt,
            owner: &state.owner,
            zone: &state.settings.zone,
            time_left: self.call.time_left(state),
            method: self.request.method().clone(),
            target: &self.target,
            headers: self.request.headers(),
        };
        // Each call gets a new connection: a pooled one may be closed by the service just now.
        service::call(&self.worker.unpooled_client, slot.address, call, self.body.to_http()).await
    }

    /// Forwards a response to the caller: short ones as a whole, others as a stream.
    async fn forward_response(
        &self,
        response: client::ClientResponse,
        answering: request::Answering,
        slot: replica::Slot,
        active: state::ActiveGuard,
        request_id: &str,
    ) -> Result<web::HttpResponse, fault::Fault> {
        let state = &self.worker.state;
        let mut head = web::HttpResponse::build(response.status());
        for (name, value) in
            response.headers().iter().filter(|(name, _)| service::is_forwarded(name))
        {
            if !name.as_str().starts_with("lagoon-") && name.as_str() != "x-request-id" {
                head.header(name.clone(), value.clone());
            }
        }
        head.set_header("X-Request-Id", request_id);
        if state.phase() >= state::Phase::Draining {
            head.force_close();
        }
        let length = body::content_length(response.headers());
        let mut payload = turn::Body::new(response.take_payload());
        let bodyless = *self.request.method() == http::Method::HEAD;
        if let Some(limit) = self.buffered_bytes(length) {
            let whole =
                interrupt::within(state, self.call.deadline, read_whole(&mut payload, limit)).await;
            let whole = match whole {
                Ok(Some(whole)) => whole,
                Ok(None) => {
                    let outcome = answering.broken().end();
                    let fault = fault::new(Reason::UpstreamFailed, Step::Stream, outcome);
                    return Err(fault.at(slot.upstream.as_str()));
                }
                Err(interrupt) => {
                    return Err(interrupt.fault(Step::Stream, answering.broken().end()));
                }
            };
            let outcome = answering.complete();
            state.metrics.count_done(&self.labels(), outcome);
            head.set_header("Lagoon-Outcome", outcome.as_str());
            return Ok(match length {
                // A response to HEAD announces the length of the body that GET would return.
                Some(length) if bodyless => {
                    head.body(http_body::SizedStream::new(length, stream::empty::<Chunk>()))
                }
                _ => head.body(whole),
            });
        }
        head.set_header("Lagoon-Outcome", Outcome::Unknown.as_str());
        let stream = self.stream(payload, answering, slot, active);
        let stream = Box::pin(stream);
        Ok(match length {
            Some(length) => head.body(http_body::SizedStream::new(length, stream)),
            None => head.message_body(http_body::Body::from_message(
                http_body::BoxedBodyStream::new(stream),
            )),
        })
    }

    /// Returns up to how many bytes a response that announces `length` is read completely before its
    /// head is sent; `None` if it is streamed. Callers of HTTP/1.0 have no chunks, so to them the end
    /// of a response without a length would look the same as a break.
    fn buffered_bytes(&self, length: Option<u64>) -> Option<usize> {
        let is_short = length.is_some_and(|length| length <= BUFFERED_RESPONSE_BYTES as u64);
        if is_short || *self.request.method() == http::Method::HEAD {
            return Some(BUFFERED_RESPONSE_BYTES);
        }
        let has_chunks = self.request.version() >= http::Version::HTTP_11;
        let is_unmarked = length.is_none() && !has_chunks;
        is_unmarked.then(|| usize::try_from(self.max_answer_bytes).unwrap_or(usize::MAX))
    }

    /// Streams the response to the caller. If it breaks off, the caller's connection is closed: the
    /// server would write an error into the body as a response of its own, which could complete it.
    fn stream(
        &self,
        payload: turn::Body,
        answering: request::Answering,
        slot: replica::Slot,
        active: state::ActiveGuard,
    ) -> impl futures_util::Stream<Item = Result<util::Bytes, rc::Rc<dyn std::error::Error>>> + 'static
    {
        let state = self.worker.state.clone();
        let deadline = self.call.deadline;
        let connection = self.request.io().cloned();
        let (guard, watch) = linger::pair(connection.as_ref());
        let left = self.call.time_left(&state) + state.settings.limits.linger;
        drop(ntex::rt::spawn(watch.close_after(left)));
        let labels = self.labels();
        // At the end of the response, `owned.0` (the answering state) gives the outcome, which is
        // counted under `owned.4` (the labels). The rest is only kept until then and dropped.
        let owned = (answering, slot, active, guard, labels);
        let first = Some((payload, owned));
        stream::unfold((state, connection, first), move |(state, connection, owned)| async move {
            let (mut payload, owned) = owned?;
            let next = interrupt::within(&state, deadline, payload.chunk()).await;
            let failed = match next {
                Ok(Some(Ok(chunk))) => {
                    return Some((Ok(chunk), (state, connection, Some((payload, owned)))));
                }
                Ok(None) => {
                    state.metrics.count_done(&owned.4, owned.0.complete());
                    return None;
                }
                Ok(Some(Err(error))) => {
                    let outcome = owned.0.broken().end();
                    let fault = fault::new(Reason::UpstreamFailed, Step::Stream, outcome);
                    (owned.4, fault.with_detail(error.to_string()))
                }
                Err(interrupt) => (owned.4, interrupt.fault(Step::Stream, owned.0.broken().end())),
            };
            let (labels, fault) = failed;
            state.metrics.count_failed(&labels, &fault.failure);
            if let Some(connection) = &connection {
                connection.terminate();
            }
            let error = io::Error::other(fault.failure.to_string());
            let error: rc::Rc<dyn std::error::Error> = rc::Rc::new(error);
            Some((Err(error), (state, connection, None)))
        })
    }
}

/// Reads a whole response; `None` when it breaks off or is longer than `limit` bytes.
pub(crate) async fn read_whole(payload: &mut turn::Body, limit: usize) -> Option<util::Bytes> {
    let mut body = util::BytesMut::new();
    while let Some(chunk) = payload.chunk().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > limit {
            return None;
        }
    }
    Some(body.freeze())
}

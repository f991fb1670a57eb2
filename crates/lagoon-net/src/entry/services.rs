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
use super::limit;
use super::linger;
use super::metrics;
use super::replica;
use super::source;
use super::state;
use super::worker;
use crate::service;

/// Path prefix before the service's name.
const PREFIX: &str = "/services/";
/// Responses up to this many bytes are read completely before their head is sent, so that the head
/// can carry the outcome `done`.
const WHOLE_ANSWER: usize = 256 << 10;

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
    pub(crate) body: source::Source,
}

/// Handles a service call.
pub(crate) async fn answer(
    worker: &rc::Rc<worker::Worker>,
    request: &web::HttpRequest,
    unread: &body::Unread,
    request_id: &str,
) -> Result<web::HttpResponse, fault::Fault> {
    let state = &worker.state;
    let active = state::Active::new(state);
    let call = call::Call::read(state, state.clock.now(), request.headers())?;
    let (name, target) = split(request);
    let service = id::Service::from(name);
    let refuse = |reason| Err(fault::new(reason, Step::Admit, Outcome::NotRun));
    let Some(known) = call.view.fleet.services.get(&service) else {
        return refuse(Reason::UnknownName);
    };
    let allowed = &call.customer().entry.services;
    if !allowed.is_empty() && !allowed.contains(&service) {
        return refuse(Reason::Forbidden);
    }
    let subject = metrics::Subject::of(KIND, service.as_str(), &call.customer().name);
    request.extensions_mut().insert(subject);
    state.limits().admit(state.clock.now(), &call.customer().name, call.rate(), 0)?;
    let method = request.method().as_str();
    let repeats = known.idempotent_methods.iter().any(|known| known == method);
    if let (Some(key), false) = (call.key.clone(), repeats) {
        let keyed = claims::Keyed {
            worker: worker.clone(),
            key,
            request: request.clone(),
            service,
            target,
            request_id: request_id.to_owned(),
            max_answer: known.max_answer_bytes,
            active: rc::Rc::new(active),
            call,
        };
        return claims::answer(keyed, unread.take()).await;
    }
    let body = source::Source::new(state, request.headers(), unread.take())?;
    let (worker, request) = (worker.clone(), request.clone());
    let job = Job { worker, call, request, service, target, body };
    let repeat = if repeats { request::Repeat::Allowed } else { request::Repeat::Never };
    let (answer, answering, slot) = job.send(request::Pending::new(repeat)).await?;
    job.pass(answer, answering, slot, active, request_id).await
}

/// Splits the path into the service's name and the path and query to forward.
fn split(request: &web::HttpRequest) -> (String, String) {
    let uri = request.uri();
    let rest = uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    (name.to_owned(), format!("/{path}{query}"))
}

/// Value of the `kind` label for service calls.
const KIND: &str = "service";

impl Job {
    pub(crate) fn subject(&self) -> metrics::Subject {
        metrics::Subject::of(KIND, self.service.as_str(), &self.call.customer().name)
    }

    /// Dispatches the call, and retries it on other replicas while that is safe and possible.
    pub(crate) async fn send(
        &self,
        mut held: request::Pending,
    ) -> Result<(client::ClientResponse, request::Answering, replica::Slot), fault::Fault> {
        let state = &self.worker.state;
        let mut tried = Vec::new();
        let mut last = fault::new(Reason::NoUpstream, Step::Route, Outcome::NotRun);
        loop {
            let slot = match self.slot(&tried, &last).await {
                Ok(slot) => slot,
                Err(fault) => return Err(fault.with_outcome(held.end())),
            };
            tried.push(slot.upstream.clone());
            let attempt = call::new_attempt();
            let dispatched = held.dispatch(attempt);
            let work = self.dispatch(&slot, dispatched.attempt());
            let result = limit::within(state, self.call.deadline, work).await;
            let peer = slot.upstream.as_str();
            let failure = match result {
                Ok(Ok(answer)) => {
                    state.metrics.attempt("answered");
                    slot.answered();
                    return Ok((answer, dispatched.answering(), slot));
                }
                Ok(Err(failure)) => failure,
                Err(stop) => {
                    return Err(stop.fault(Step::Dispatch, dispatched.lost().end()).at(peer));
                }
            };
            last = fault::new(Reason::UpstreamFailed, Step::Dispatch, Outcome::Unknown).at(peer);
            last = last.with_detail(failure.to_string());
            held = match failure {
                service::Failure::Unsent(_) => {
                    state.metrics.attempt("unsent");
                    last.failure.reason = Reason::NoUpstream;
                    slot.failed(state.clock.now());
                    dispatched.refused()
                }
                service::Failure::Refused => {
                    state.metrics.attempt("refused");
                    slot.answered();
                    last.failure.reason = Reason::NoUpstream;
                    dispatched.refused()
                }
                service::Failure::Lost(_) => {
                    state.metrics.attempt("lost");
                    let lost = dispatched.lost();
                    if let Some(fault) = self.body.fault() {
                        return Err(fault.with_outcome(lost.end()));
                    }
                    slot.failed(state.clock.now());
                    lost.retry().map_err(|outcome| last.clone().with_outcome(outcome))?
                }
            };
            if !self.body.is_untouched() {
                return Err(last.with_outcome(held.end()));
            }
            state.metrics.retry("service");
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
        let mut turn = None;
        loop {
            let view = state.view();
            let (zone, waited) = (&state.settings.zone, turn.is_some());
            let here = (zone, state.clock.now());
            let slot = view.replicas.take(&view.fleet, &self.service, here, tried, waited);
            match slot {
                Ok(slot) => return Ok(slot),
                Err(replica::Shortage::None) => return Err(last.clone()),
                Err(replica::Shortage::Full) => {}
            }
            let saturated = || fault::new(Reason::Saturated, Step::Queue, Outcome::NotRun);
            if turn.is_none() {
                turn = view.replicas.wait(&self.service, limits.service_waiting);
            }
            let waiting = turn.as_ref().ok_or_else(saturated)?;
            match limit::within(state, until, waiting.next()).await {
                Ok(()) => {}
                Err(limit::Stop::Deadline) if until < self.call.deadline => {
                    return Err(saturated());
                }
                Err(stop) => return Err(stop.fault(Step::Queue, Outcome::NotRun)),
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
            time_left: self.call.left(state),
            method: self.request.method().clone(),
            target: &self.target,
            headers: self.request.headers(),
        };
        // Each call gets a new connection: a pooled one may be closed by the service just now.
        service::call(&self.worker.once, slot.address, call, self.body.open()).await
    }

    /// Forwards a response to the caller: short ones as a whole, others as a stream.
    async fn pass(
        &self,
        answer: client::ClientResponse,
        answering: request::Answering,
        slot: replica::Slot,
        active: state::Active,
        request_id: &str,
    ) -> Result<web::HttpResponse, fault::Fault> {
        let state = &self.worker.state;
        let mut head = web::HttpResponse::build(answer.status());
        for (name, value) in answer.headers().iter().filter(|(name, _)| service::passes(name)) {
            if !name.as_str().starts_with("lagoon-") && name.as_str() != "x-request-id" {
                head.header(name.clone(), value.clone());
            }
        }
        head.set_header("X-Request-Id", request_id);
        if state.phase() >= state::Phase::Draining {
            head.force_close();
        }
        let length = body::content_length(answer.headers());
        let mut payload = answer.take_payload();
        let bodyless = *self.request.method() == http::Method::HEAD;
        if bodyless || length.is_some_and(|length| length <= WHOLE_ANSWER as u64) {
            let whole =
                limit::within(state, self.call.deadline, whole(&mut payload, WHOLE_ANSWER)).await;
            let whole = match whole {
                Ok(Some(whole)) => whole,
                Ok(None) => {
                    let outcome = answering.broken().end();
                    let fault = fault::new(Reason::UpstreamFailed, Step::Stream, outcome);
                    return Err(fault.at(slot.upstream.as_str()));
                }
                Err(stop) => {
                    return Err(stop.fault(Step::Stream, answering.broken().end()));
                }
            };
            let outcome = answering.complete();
            state.metrics.done(&self.subject(), outcome);
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

    /// Streams the response to the caller. If it breaks off, the caller's connection is cut.
    fn stream(
        &self,
        payload: http::Payload,
        answering: request::Answering,
        slot: replica::Slot,
        active: state::Active,
    ) -> impl futures_util::Stream<Item = Result<util::Bytes, rc::Rc<dyn std::error::Error>>> + 'static
    {
        let state = self.worker.state.clone();
        let deadline = self.call.deadline;
        let (open, watch) = linger::pair(self.request.io());
        let left = self.call.left(&state) + state.settings.limits.linger;
        drop(ntex::rt::spawn(watch.bound(left)));
        let subject = self.subject();
        let held = (answering, slot, active, open, subject);
        let first = Some((payload, held));
        stream::unfold((state, first), move |(state, held)| async move {
            let (mut payload, held) = held?;
            let next = limit::within(&state, deadline, payload.recv()).await;
            let fault = match next {
                Ok(Some(Ok(chunk))) => {
                    return Some((Ok(chunk), (state, Some((payload, held)))));
                }
                Ok(None) => {
                    state.metrics.done(&held.4, held.0.complete());
                    return None;
                }
                Ok(Some(Err(error))) => {
                    let outcome = held.0.broken().end();
                    let fault = fault::new(Reason::UpstreamFailed, Step::Stream, outcome);
                    (held.4, fault.with_detail(error.to_string()))
                }
                Err(stop) => (held.4, stop.fault(Step::Stream, held.0.broken().end())),
            };
            let (subject, fault) = fault;
            state.metrics.failed(&subject, &fault.failure);
            let error = io::Error::other(fault.failure.to_string());
            let error: rc::Rc<dyn std::error::Error> = rc::Rc::new(error);
            Some((Err(error), (state, None)))
        })
    }
}

/// Reads a whole response; `None` when it breaks off or is longer than `limit` bytes.
pub(crate) async fn whole(payload: &mut http::Payload, limit: usize) -> Option<util::Bytes> {
    let mut body = util::BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > limit {
            return None;
        }
    }
    Some(body.freeze())
}

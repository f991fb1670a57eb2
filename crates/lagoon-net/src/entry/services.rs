//! Calls of plain services: any method, bodies streamed both ways.

use std::cell;
use std::io;
use std::rc;
use std::sync;

use futures_util::StreamExt as _;
use futures_util::stream;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::life::request;
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
use super::replica;
use super::state;
use super::worker;
use crate::service;

/// Path before a service's name.
const PREFIX: &str = "/services/";
/// Answers up to this length are taken in whole, so that their head can say `done`.
const WHOLE_ANSWER: usize = 256 << 10;

/// A service call under way.
pub(crate) struct Job {
    pub(crate) worker: rc::Rc<worker::Worker>,
    pub(crate) call: call::Call,
    pub(crate) request: web::HttpRequest,
    pub(crate) service: id::Service,
    pub(crate) target: String,
    pub(crate) body: Source,
}

/// Answers a service call.
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
    state.limits().take(state.clock.now(), &call.customer().name, call.rate(), 0)?;
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
    let body = Source::new(state, request.headers(), unread.take())?;
    let (worker, request) = (worker.clone(), request.clone());
    let job = Job { worker, call, request, service, target, body };
    let repeat = if repeats { request::Repeat::Allowed } else { request::Repeat::Never };
    let (answer, answering, slot) = job.send(request::Held::new(repeat)).await?;
    job.pass(answer, answering, slot, active, request_id).await
}

/// The service's name, and the path and query that it gets.
fn split(request: &web::HttpRequest) -> (String, String) {
    let uri = request.uri();
    let rest = uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    (name.to_owned(), format!("/{path}{query}"))
}

impl Job {
    pub(crate) async fn send(
        &self,
        mut held: request::Held,
    ) -> Result<(client::ClientResponse, request::Answering, replica::Slot), fault::Fault> {
        let state = &self.worker.state;
        let mut tried = Vec::new();
        let mut last = fault::new(Reason::NoUpstream, Step::Route, Outcome::NotRun);
        loop {
            let view = state.view();
            let zone = &state.settings.zone;
            let slot = view.replicas.take(&view.fleet, &self.service, zone, &tried);
            let slot = match slot {
                Ok(slot) => slot,
                Err(replica::Shortage::Full) => {
                    let reason = Reason::Saturated;
                    return Err(fault::new(reason, Step::Admit, held.end()));
                }
                Err(replica::Shortage::None) => return Err(last.with_outcome(held.end())),
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
                    dispatched.refused()
                }
                service::Failure::Refused => {
                    state.metrics.attempt("refused");
                    last.failure.reason = Reason::NoUpstream;
                    dispatched.refused()
                }
                service::Failure::Lost(_) => {
                    state.metrics.attempt("lost");
                    let lost = dispatched.lost();
                    if let Some(fault) = self.body.fault() {
                        return Err(fault.with_outcome(lost.end()));
                    }
                    lost.again().map_err(|outcome| last.clone().with_outcome(outcome))?
                }
            };
            if !self.body.is_untouched() {
                return Err(last.with_outcome(held.end()));
            }
            state.metrics.retry("service");
        }
    }

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
            left: self.call.left(state),
            method: self.request.method().clone(),
            target: &self.target,
            headers: self.request.headers(),
        };
        // Every call on a connection of its own: one that waits in a pool may close just now.
        service::call(&self.worker.once, slot.address, call, self.body.open()).await
    }

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
            state.metrics.done("service", outcome);
            head.set_header("Lagoon-Outcome", outcome.as_str());
            return Ok(head.body(whole));
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

    /// Passes the answer on as it comes; an answer that breaks off cuts the caller's connection.
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
        let held = (answering, slot, active, open);
        let first = Some((payload, held));
        stream::unfold((state, first), move |(state, held)| async move {
            let (mut payload, held) = held?;
            let next = limit::within(&state, deadline, payload.recv()).await;
            let fault = match next {
                Ok(Some(Ok(chunk))) => {
                    return Some((Ok(chunk), (state, Some((payload, held)))));
                }
                Ok(None) => {
                    state.metrics.done("service", held.0.complete());
                    return None;
                }
                Ok(Some(Err(error))) => {
                    let outcome = held.0.broken().end();
                    let fault = fault::new(Reason::UpstreamFailed, Step::Stream, outcome);
                    fault.with_detail(error.to_string())
                }
                Err(stop) => stop.fault(Step::Stream, held.0.broken().end()),
            };
            state.metrics.failed("service", &fault.failure);
            let error = io::Error::other(fault.failure.to_string());
            let error: rc::Rc<dyn std::error::Error> = rc::Rc::new(error);
            Some((Err(error), (state, None)))
        })
    }
}

/// A whole answer; `None` when it breaks off or has more than `limit` bytes.
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

/// The caller's body: passed on as it comes, and therefore once.
#[derive(Clone)]
pub(crate) struct Source(rc::Rc<Inner>);

struct Inner {
    payload: cell::RefCell<Option<http::Payload>>,
    /// The whole body, when it was read before; it can be sent any number of times.
    whole: Option<util::Bytes>,
    empty: bool,
    length: Option<u64>,
    fault: cell::RefCell<Option<fault::Fault>>,
    state: sync::Arc<state::State>,
}

impl Source {
    fn new(
        state: &sync::Arc<state::State>,
        headers: &http::HeaderMap,
        payload: http::Payload,
    ) -> Result<Source, fault::Fault> {
        let length = body::content_length(headers);
        let most = state.settings.limits.service_body_bytes;
        if length.is_some_and(|length| length > most) {
            return Err(body::too_long(most));
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
        Ok(Source(rc::Rc::new(inner)))
    }

    /// A body that was read before.
    pub(crate) fn whole(state: &sync::Arc<state::State>, body: util::Bytes) -> Source {
        Source(rc::Rc::new(Inner {
            payload: cell::RefCell::default(),
            empty: body.is_empty(),
            length: Some(body.len() as u64),
            whole: Some(body),
            fault: cell::RefCell::default(),
            state: state.clone(),
        }))
    }

    /// Whether a further dispatch would send the same body.
    fn is_untouched(&self) -> bool {
        self.0.empty || self.0.whole.is_some() || self.0.payload.borrow().is_some()
    }

    /// What the caller did wrong while its body was passed on.
    fn fault(&self) -> Option<fault::Fault> {
        self.0.fault.borrow().clone()
    }

    fn open(&self) -> http_body::Body {
        if self.0.empty {
            return http_body::Body::None;
        }
        if let Some(whole) = &self.0.whole {
            return http_body::Body::from(whole.clone());
        }
        let source = self.clone();
        let stream = stream::unfold((source, None, 0), |(source, payload, passed)| async move {
            let mut payload = match payload {
                Some(payload) => payload,
                None => source.0.payload.borrow_mut().take()?,
            };
            let item = source.read(&mut payload, passed).await?;
            let passed = passed + item.as_ref().map_or(0, |chunk| chunk.len() as u64);
            Some((item, (source, Some(payload), passed)))
        });
        let stream = Box::pin(stream.fuse());
        match self.0.length {
            Some(length) => http_body::Body::from(http_body::SizedStream::new(length, stream)),
            None => http_body::Body::from_message(http_body::BoxedBodyStream::new(stream)),
        }
    }

    async fn read(
        &self,
        payload: &mut http::Payload,
        passed: u64,
    ) -> Option<Result<util::Bytes, rc::Rc<dyn std::error::Error>>> {
        let limits = &self.0.state.settings.limits;
        let fault = match tokio::time::timeout(limits.body_timeout, payload.recv()).await {
            Ok(None) => return None,
            Ok(Some(Ok(chunk))) => {
                if passed + chunk.len() as u64 <= limits.service_body_bytes {
                    return Some(Ok(chunk));
                }
                body::too_long(limits.service_body_bytes)
            }
            Ok(Some(Err(error))) => call::malformed(format!("body: {error}")),
            Err(_) => body::slow(),
        };
        let error = io::Error::other(fault.failure.to_string());
        self.0.fault.replace(Some(fault));
        let error: rc::Rc<dyn std::error::Error> = rc::Rc::new(error);
        Some(Err(error))
    }
}

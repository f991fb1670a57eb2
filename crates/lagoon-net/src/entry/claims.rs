//! Service calls with an idempotency key whose method is not idempotent. The key is claimed before
//! dispatch, and the response is stored for replay.
//!
//! Guards against duplicate execution: a caller that loses its response retries, perhaps at another
//! entry host, and the call (for example a booking) runs twice. A call is dispatched only with a
//! ticket of `lagoonline::lifecycle::claim`. It runs in a task of its own, so a caller that
//! disconnects does not end it and finds the response when it retries. Storing the response and
//! releasing the key after a dispatch continue when the caller has its response, and a drain waits
//! for them.

use std::rc;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::claim;
use lagoonline::lifecycle::request;
use lagoonline::outcome::{Outcome, Reason, Step};
use ntex::http;
use ntex::util;
use ntex::web;
use tokio::sync as async_sync;

use super::body;
use super::call;
use super::fault;
use super::forwarded_body;
use super::interrupt;
use super::services;
use super::state;
use super::worker;
use crate::platform;
use crate::turn;

/// Client that claims idempotency keys; one for each worker thread.
pub(crate) type Claims = claim::Claims<platform::Client, platform::Client, clock::System>;

/// Number of tries to store a response, [`RETRY_PAUSE`] apart. After a longer platform outage the
/// key stays claimed, which means that the call may have run.
const STORE_TRIES: u32 = 10;
const RETRY_PAUSE: clock::Span = clock::Span::from_secs(1);

/// Opens the claims on the configured platform; `None` without a platform.
pub(crate) async fn open(state: &state::State) -> Option<Claims> {
    let limits = state.platform_limits.clone()?;
    let client = platform::Client::new(limits, state.settings.zone.as_str()).await;
    let owner = state.owner.clone();
    let settings = claim::Settings { owner, ..claim::Settings::default() };
    Some(claim::Claims::new(client.clone(), client, state.clock, settings))
}

/// A call with an idempotency key.
pub(crate) struct KeyedCall {
    pub(crate) worker: rc::Rc<worker::Worker>,
    pub(crate) call: call::Call,
    pub(crate) key: String,
    pub(crate) request: web::HttpRequest,
    pub(crate) service: id::Service,
    /// Path and query to forward.
    pub(crate) target: String,
    pub(crate) request_id: String,
    /// Longest response that is accepted and stored, in bytes.
    pub(crate) max_answer_bytes: u64,
    /// Keeps the call counted as in progress while its response is being stored.
    pub(crate) active: rc::Rc<state::ActiveGuard>,
}

/// Handles a call with an idempotency key.
pub(crate) async fn handle(
    keyed: KeyedCall,
    payload: http::Payload,
) -> Result<web::HttpResponse, fault::Fault> {
    let Some(claims) = keyed.worker.claims.clone() else {
        let fault = fault::new(Reason::PlatformDown, Step::Claim, Outcome::NotRun);
        return Err(fault.with_detail("no table service is set up to record the key"));
    };
    let (sender, receiver) = async_sync::oneshot::channel();
    drop(ntex::rt::spawn(async move {
        let result = keyed.run(claims, payload).await;
        // The receiver is gone when the caller disconnected; the response is stored anyway.
        let _disconnected = sender.send(result);
    }));
    let dropped = |_| Err(fault::new(Reason::Internal, Step::Claim, Outcome::Unknown));
    receiver.await.unwrap_or_else(dropped)
}

impl KeyedCall {
    async fn run(
        self,
        claims: Claims,
        payload: http::Payload,
    ) -> Result<web::HttpResponse, fault::Fault> {
        let state = self.worker.state.clone();
        let read = body::collect(&state.settings.limits, self.request.headers(), payload);
        let body = interrupt::within(&state, self.call.deadline, read).await;
        let body = body.map_err(|interrupt| interrupt.fault(Step::Read, Outcome::NotRun))??;
        match self.begin(&claims, &body).await? {
            claim::Begin::Run(ticket) => self.dispatch(claims, ticket, body).await,
            claim::Begin::Replay(answer) => {
                state.metrics.count_claim("replayed");
                Ok(self
                    .response_builder(answer.status, &answer.content_type)
                    .body(answer.body.to_vec()))
            }
            // Both occur only for calls that may be repeated.
            claim::Begin::Unclaimed | claim::Begin::Running(_) => {
                Err(fault::new(Reason::EarlierUnknown, Step::Claim, Outcome::Unknown))
            }
        }
    }

    /// Returns the claim to request for this call.
    fn new_claim_request(&self, body: &[u8]) -> claim::Request {
        let path = format!("/services/{}{}", self.service, self.target);
        claim::Request {
            customer: self.call.customer().name.clone(),
            key: self.key.clone(),
            request_hash: claim::request_hash(self.request.method().as_str(), &path, body),
            repeat: request::Repeat::Never,
            token: call::random_id(),
            upstream: id::Upstream::default(),
            deadline: self.call.deadline,
            wall_ms: self.worker.state.clock.wall_millis(),
        }
    }

    /// Claims the key, or finds what is recorded under it.
    async fn begin(&self, claims: &Claims, body: &[u8]) -> Result<claim::Begin, fault::Fault> {
        let (claim_request, own_claims) = (self.new_claim_request(body), claims.clone());
        let mut begin = Box::pin(async move { own_claims.begin(claim_request).await });
        let state = &self.worker.state;
        let result = interrupt::within(state, self.call.deadline, &mut begin).await;
        let result = match result {
            Ok(result) => result,
            Err(interrupt) => {
                // The claim may still be written, so it is released afterwards: nothing was
                // dispatched.
                let claims = claims.clone();
                drop(ntex::rt::spawn(async move {
                    match begin.await {
                        Ok(claim::Begin::Run(ticket)) => {
                            release_abandoned(&claims, claims.release(ticket).await).await;
                        }
                        Ok(_) => {}
                        Err(refusal) => release_abandoned(&claims, refusal.abandoned).await,
                    }
                }));
                return Err(interrupt.fault(Step::Claim, Outcome::NotRun));
            }
        };
        result.map_err(|refusal| {
            state.metrics.count_claim("refused");
            let (claims, abandoned) = (claims.clone(), refusal.abandoned);
            drop(ntex::rt::spawn(async move { release_abandoned(&claims, abandoned).await }));
            fault::Fault::from(refusal.failure)
        })
    }

    /// Sends the call, and afterwards stores its response, releases the key or marks it as lost.
    async fn dispatch(
        self,
        claims: Claims,
        ticket: claim::Ticket,
        body: util::Bytes,
    ) -> Result<web::HttpResponse, fault::Fault> {
        let state = self.worker.state.clone();
        state.metrics.count_claim("claimed");
        let sent = match ticket.dispatch(state.clock.now()) {
            Ok(sent) => sent,
            Err(claim::Expired(ticket)) => {
                self.spawn_tracked(claims, |claims| async move {
                    release_abandoned(&claims, claims.release(*ticket).await).await;
                });
                return Err(fault::new(Reason::DeadlinePassed, Step::Claim, Outcome::NotRun));
            }
        };
        match self.send(body).await {
            Ok(answer) => {
                let stored_answer = answer.clone();
                let shared = state.clone();
                self.spawn_tracked(claims, |claims| async move {
                    let stored = store(&claims, sent, stored_answer).await;
                    shared.metrics.count_claim(if stored { "stored" } else { "unstored" });
                });
                Ok(self
                    .response_builder(answer.status, &answer.content_type)
                    .body(answer.body.to_vec()))
            }
            Err(fault) => {
                let may_have_run = fault.failure.outcome != Outcome::NotRun;
                state.metrics.count_claim(if may_have_run { "lost" } else { "released" });
                self.spawn_tracked(claims, move |claims| async move {
                    if may_have_run {
                        claims.mark_unknown(sent).await;
                    } else {
                        release_abandoned(&claims, claims.release(sent.refused()).await).await;
                    }
                });
                Err(fault)
            }
        }
    }

    /// Sends the call once and reads the whole response.
    async fn send(&self, body: util::Bytes) -> Result<claim::Answer, fault::Fault> {
        let job = services::Job {
            worker: self.worker.clone(),
            call: self.call.clone(),
            request: self.request.clone(),
            service: self.service.clone(),
            target: self.target.clone(),
            body: forwarded_body::ForwardedBody::from_bytes(&self.worker.state, body),
            max_answer_bytes: self.max_answer_bytes,
        };
        let pending = request::Pending::new(request::Repeat::Never);
        let (response, answering, slot) = job.send(pending).await?;
        let (status, content_type) = (response.status().as_u16(), response.header("content-type"));
        let content_type =
            content_type.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
        let mut payload = turn::Body::new(response.take_payload());
        let limit = usize::try_from(self.max_answer_bytes).unwrap_or(usize::MAX);
        let work = services::read_whole(&mut payload, limit);
        match interrupt::within(&self.worker.state, self.call.deadline, work).await {
            Ok(Some(whole)) => {
                self.worker.state.metrics.count_done(&job.labels(), answering.complete());
                let body = bytes::Bytes::copy_from_slice(&whole);
                Ok(claim::Answer { status, content_type, body })
            }
            Ok(None) => {
                let outcome = answering.broken().end();
                let fault = fault::new(Reason::UpstreamFailed, Step::Stream, outcome);
                Err(fault.at(slot.upstream.as_str()))
            }
            Err(interrupt) => Err(interrupt.fault(Step::Stream, answering.broken().end())),
        }
    }

    fn response_builder(&self, status: u16, content_type: &str) -> http::ResponseBuilder {
        let status = http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::OK);
        let mut head = web::HttpResponse::build(status);
        head.set_header("X-Request-Id", self.request_id.as_str());
        head.set_header("Lagoon-Outcome", Outcome::Done.as_str());
        if !content_type.is_empty() {
            head.set_header("Content-Type", content_type);
        }
        if self.worker.state.phase() >= state::Phase::Draining {
            head.force_close();
        }
        head
    }

    /// Runs `work` in the background. The caller does not wait for it, but a drain does.
    fn spawn_tracked<Work, Done>(&self, claims: Claims, work: Work)
    where
        Work: FnOnce(Claims) -> Done + 'static,
        Done: std::future::Future<Output = ()> + 'static,
    {
        let active = self.active.clone();
        drop(ntex::rt::spawn(async move {
            work(claims).await;
            drop(active);
        }));
    }
}

/// Stores a response for replay and returns whether it was stored.
pub(crate) async fn store(claims: &Claims, sent: claim::Sent, answer: claim::Answer) -> bool {
    let (mut sent, mut answer) = (sent, answer);
    for _ in 0..STORE_TRIES {
        match claims.finish(sent, answer).await {
            Ok(()) => return true,
            Err(unstored) => (sent, answer) = (unstored.sent, unstored.answer),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    false
}

/// Releases a key whose claim was given up but may still be written. A drain waits for this only
/// where it runs in [`KeyedCall::spawn_tracked`]. Otherwise it need not wait, because the retention
/// period frees the key as well.
async fn release_abandoned(claims: &Claims, abandoned: Option<claim::Abandoned>) {
    let Some(abandoned) = abandoned else { return };
    while !claims.settle(&abandoned).await {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

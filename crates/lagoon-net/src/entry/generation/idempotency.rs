//! Idempotency keys of model calls: replaying a stored response and taking over a running stream.
//!
//! Guards against repeated work when an entry host fails during a stream: without a claim the next
//! host would prefill the whole prompt (up to a million tokens) again. The row of the claim names
//! the engine and the attempt, so a caller that retries with its key gets the same stream from the
//! position it asks for. Model calls may run more than once, so a key that cannot be claimed only
//! loses the replay; the call is still served.

use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::claim;
use lagoonline::lifecycle::request;
use lagoonline::lifecycle::stream;
use lagoonline::outcome::{Outcome, Reason, Step};

use super::{Generation, Stage, Stream};
use crate::engine;
use crate::entry::admission;
use crate::entry::cancel;
use crate::entry::claims;
use crate::entry::fault;
use crate::entry::interrupt;
use crate::entry::state;

/// State of the idempotency claim of one call.
#[derive(Debug, Default)]
pub(crate) enum ClaimState {
    /// No key was given, no platform is configured or reachable, or the claim has been used up.
    #[default]
    None,
    /// The key is claimed once the first engine has been chosen.
    Deferred(Box<Deferred>),
    /// The key is claimed; nothing is dispatched. The ticket allows one dispatch.
    Ticket(Box<claims::Claims>, claim::Ticket),
    /// The key is claimed and the call is dispatched.
    Sent(Box<claims::Claims>, claim::Sent),
}

/// A key that has not been claimed yet.
#[derive(Debug)]
pub(crate) struct Deferred {
    pub(crate) claims: claims::Claims,
    pub(crate) key: String,
    /// Hash of the method, path and body, from `claim::request_hash`.
    pub(crate) request_hash: String,
}

/// What is already recorded under a key.
#[derive(Debug)]
pub(super) enum Existing {
    /// A stored response.
    Answer(claim::Answer),
    /// A stream of another attempt.
    Running(Box<Deferred>, claim::Running),
}

/// Body of a stored response.
#[derive(serde::Deserialize, serde::Serialize)]
struct StoredAnswer<'a> {
    prompt_tokens: u64,
    #[serde(borrow)]
    tokens: Vec<&'a serde_json::value::RawValue>,
}

/// Content type of a [`StoredAnswer`].
const STORED_ANSWER_TYPE: &str = "application/json";

impl Generation {
    /// Returns the claim to request for this call. The attempt's id is also the token of the claim.
    fn new_claim_request(
        &self,
        deferred: &Deferred,
        upstream: &id::Upstream,
        attempt: id::Attempt,
    ) -> claim::Request {
        claim::Request {
            customer: self.input.request.customer.clone(),
            key: deferred.key.clone(),
            request_hash: deferred.request_hash.clone(),
            repeat: request::Repeat::Allowed,
            token: attempt,
            upstream: upstream.clone(),
            deadline: self.input.call.deadline,
            wall_ms: self.worker.state.clock.wall_millis(),
        }
    }

    /// Records the engine and the attempt under the call's key before the call is sent. Returns
    /// what is already recorded there if the call must not be sent.
    pub(super) async fn claim(
        &mut self,
        upstream: &id::Upstream,
        attempt: id::Attempt,
    ) -> Result<Option<Existing>, fault::Fault> {
        let state = self.worker.state.clone();
        let deadline = self.input.call.deadline;
        let (claims, mut ticket) = match std::mem::take(&mut self.claim) {
            ClaimState::None => return Ok(None),
            ClaimState::Deferred(deferred) => {
                let claim_request = self.new_claim_request(&deferred, upstream, attempt);
                let begin =
                    interrupt::within(&state, deadline, deferred.claims.begin(claim_request)).await;
                let begin =
                    begin.map_err(|interrupt| interrupt.fault(Step::Claim, Outcome::NotRun))?;
                return match begin.map_err(|refusal| fault::Fault::from(refusal.failure))? {
                    claim::Begin::Run(ticket) => {
                        state.metrics.count_claim("claimed");
                        self.mark_sent(Box::new(deferred.claims), ticket)
                    }
                    claim::Begin::Unclaimed => Ok(None),
                    claim::Begin::Running(running) => {
                        Ok(Some(Existing::Running(deferred, running)))
                    }
                    claim::Begin::Replay(answer) => Ok(Some(Existing::Answer(answer))),
                };
            }
            ClaimState::Ticket(claims, ticket) => (claims, ticket),
            // A call that may be repeated is dispatched again under the same claim. `refused` turns
            // the claim back into a ticket; here also after an attempt that was lost and may have
            // run, which does no harm because the call may run more than once.
            ClaimState::Sent(claims, sent) => (claims, sent.refused()),
        };
        let work = claims.retarget(&mut ticket, upstream.clone(), attempt);
        let written = interrupt::within(&state, deadline, work).await;
        written.map_err(|interrupt| interrupt.fault(Step::Claim, Outcome::NotRun))?;
        self.mark_sent(claims, ticket)
    }

    /// Marks the claim as dispatched; fails if the ticket has expired.
    fn mark_sent(
        &mut self,
        claims: Box<claims::Claims>,
        ticket: claim::Ticket,
    ) -> Result<Option<Existing>, fault::Fault> {
        match ticket.dispatch(self.worker.state.clock.now()) {
            Ok(sent) => {
                self.claim = ClaimState::Sent(claims, sent);
                Ok(None)
            }
            Err(claim::Expired(_)) => {
                Err(fault::new(Reason::DeadlinePassed, Step::Claim, Outcome::NotRun))
            }
        }
    }

    /// Takes over the stream that is already running under this call's key. Returns the request
    /// when the stream is gone. The key is then claimed for this call if possible; if not, the call
    /// goes on without a claim.
    pub(super) async fn take_over(
        &mut self,
        pending: request::Pending,
        slot: admission::Slot,
        deferred: Box<Deferred>,
        running: claim::Running,
    ) -> Result<Option<request::Pending>, fault::Fault> {
        let state = self.worker.state.clone();
        let (attempt, from) = (running.attempt, self.delivered);
        let view = state.view();
        let address = view.fleet.upstream(&running.upstream).map(|listed| listed.entry.address);
        let dispatched = pending.dispatch(attempt);
        if let Some(address) = address {
            let owner = (&state.owner, &state.settings.zone);
            let work = engine::resume(&self.worker.client, address, attempt, owner, from);
            let result = interrupt::within(&state, self.input.call.deadline, work).await;
            let events = match result {
                Ok(events) => events,
                Err(interrupt) => {
                    return Err(interrupt.fault(Step::Stream, dispatched.lost().end()));
                }
            };
            if let Ok(events) = events {
                state.metrics.count_resume("taken_over");
                // The entry host that started the stream may still serve it, so this host never
                // cancels it.
                let holding = cancel::Holding::Stream(attempt);
                let mut cancel = cancel::Guard::new(&state, address, holding);
                cancel.disarm();
                self.stage = Stage::Streaming(Box::new(Stream {
                    answering: dispatched.answering(),
                    events,
                    checker: stream::Checker::starting_at(attempt, from),
                    slot: slot.released(),
                    cancel,
                    _group: None,
                    address,
                    resumes: (from, 0),
                    silence_start: state.clock.now(),
                    has_tokens: false,
                }));
                return Ok(None);
            }
        }
        drop(slot);
        let pending = dispatched.lost().retry();
        let pending =
            pending.map_err(|end| fault::new(Reason::EarlierUnknown, Step::Claim, end))?;
        let claim_request = self.new_claim_request(&deferred, &running.upstream, attempt);
        let work = deferred.claims.take_over(claim_request, &running);
        let begin = interrupt::within(&state, self.input.call.deadline, work).await;
        if let Ok(Ok(claim::Begin::Run(ticket))) = begin {
            self.claim = ClaimState::Ticket(Box::new(deferred.claims), ticket);
        }
        Ok(Some(pending))
    }

    /// Stores the whole response for replay, in the background; a drain waits for it.
    pub(super) fn store_answer(&mut self, prompt_tokens: u64) {
        let ClaimState::Sent(claims, sent) = std::mem::take(&mut self.claim) else { return };
        let Some(tokens) = self.replay_tokens.take() else { return };
        let tokens = tokens.trim_end_matches(',');
        let body = format!("{{\"prompt_tokens\":{prompt_tokens},\"tokens\":[{tokens}]}}");
        let answer = claim::Answer {
            status: 200,
            content_type: STORED_ANSWER_TYPE.to_owned(),
            body: bytes::Bytes::from(body),
        };
        let state = self.worker.state.clone();
        let active = state::ActiveGuard::new(&state);
        drop(ntex::rt::spawn(async move {
            let stored = claims::store(&claims, sent, answer).await;
            state.metrics.count_claim(if stored { "stored" } else { "unstored" });
            drop(active);
        }));
    }
}

/// Passes the tokens of a stored response to `sink`, starting at index `from`. Returns the number
/// of prompt tokens and of all answer tokens, or `None` when the stored text cannot be parsed.
pub(crate) fn replay<S>(answer: &claim::Answer, from: u64, sink: &mut S) -> Option<(u64, u64)>
where
    S: crate::entry::render::Sink,
{
    let stored: StoredAnswer<'_> = serde_json::from_slice(&answer.body).ok()?;
    let from = usize::try_from(from).unwrap_or(usize::MAX);
    stored.tokens.iter().skip(from).for_each(|token| sink.token(token));
    Some((stored.prompt_tokens, stored.tokens.len() as u64))
}

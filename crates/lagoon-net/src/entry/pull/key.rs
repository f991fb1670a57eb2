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

use super::{Open, Pull, Stage};
use crate::engine;
use crate::entry::cancel;
use crate::entry::claims;
use crate::entry::desk;
use crate::entry::fault;
use crate::entry::limit;
use crate::entry::state;

/// State of the idempotency claim of a call.
#[derive(Debug, Default)]
pub(crate) enum Claim {
    /// No key was given, or the platform cannot be reached.
    #[default]
    None,
    /// The key is claimed once the first engine has been chosen.
    Wanted(Box<Wanted>),
    /// The key is claimed; nothing is dispatched.
    Ticket(Box<claims::Claims>, claim::Ticket),
    /// The key is claimed and the call is dispatched.
    Sent(Box<claims::Claims>, claim::Sent),
}

/// A key that has not been claimed yet.
#[derive(Debug)]
pub(crate) struct Wanted {
    pub(crate) claims: claims::Claims,
    pub(crate) key: String,
    /// Fingerprint of the request body, from `claim::body_hash`.
    pub(crate) body: String,
}

/// What is already recorded under a key.
#[derive(Debug)]
pub(super) enum Found {
    /// A stored response.
    Answer(claim::Answer),
    /// A stream of another attempt.
    Running(Box<Wanted>, claim::Running),
}

/// A response as it is stored for replay.
#[derive(serde::Deserialize, serde::Serialize)]
struct Kept<'a> {
    prompt_tokens: u64,
    #[serde(borrow)]
    tokens: Vec<&'a serde_json::value::RawValue>,
}

/// Content type of a [`StoredAnswer`].
const KEPT_TYPE: &str = "application/json";

impl Pull {
    /// Returns the claim to request for this call.
    fn ask(&self, wanted: &Wanted, upstream: &id::Upstream, token: id::Attempt) -> claim::Request {
        claim::Request {
            customer: self.job.ask.customer.clone(),
            key: wanted.key.clone(),
            body_hash: wanted.body.clone(),
            repeat: request::Repeat::Allowed,
            token,
            upstream: upstream.clone(),
            deadline: self.job.call.deadline,
            wall_ms: self.worker.state.clock.wall_millis(),
        }
    }

    /// Records the engine and the attempt under the call's key before the call is sent. Returns
    /// what is already recorded there if the call must not be sent.
    pub(super) async fn claim(
        &mut self,
        upstream: &id::Upstream,
        attempt: id::Attempt,
    ) -> Result<Option<Found>, fault::Fault> {
        let state = self.worker.state.clone();
        let deadline = self.job.call.deadline;
        let (claims, mut ticket) = match std::mem::take(&mut self.claim) {
            Claim::None => return Ok(None),
            Claim::Wanted(wanted) => {
                let ask = self.ask(&wanted, upstream, attempt);
                let begin = limit::within(&state, deadline, wanted.claims.begin(ask)).await;
                let begin = begin.map_err(|stop| stop.fault(Step::Claim, Outcome::NotRun))?;
                return match begin.map_err(|refusal| fault::Fault::from(refusal.failure))? {
                    claim::Begin::Run(ticket) => {
                        state.metrics.claim("claimed");
                        self.sent(Box::new(wanted.claims), ticket)
                    }
                    claim::Begin::Unclaimed => Ok(None),
                    claim::Begin::Running(running) => Ok(Some(Found::Running(wanted, running))),
                    claim::Begin::Replay(answer) => Ok(Some(Found::Answer(answer))),
                };
            }
            Claim::Ticket(claims, ticket) => (claims, ticket),
            // A call that may be repeated is dispatched again under the same claim.
            Claim::Sent(claims, sent) => (claims, sent.refused()),
        };
        let work = claims.retarget(&mut ticket, upstream.clone(), attempt);
        let written = limit::within(&state, deadline, work).await;
        written.map_err(|stop| stop.fault(Step::Claim, Outcome::NotRun))?;
        self.sent(claims, ticket)
    }

    /// Marks the claim as dispatched; fails if the ticket has expired.
    fn sent(
        &mut self,
        claims: Box<claims::Claims>,
        ticket: claim::Ticket,
    ) -> Result<Option<Found>, fault::Fault> {
        match ticket.dispatch(self.worker.state.clock.now()) {
            Ok(sent) => {
                self.claim = Claim::Sent(claims, sent);
                Ok(None)
            }
            Err(claim::Expired(_)) => {
                Err(fault::new(Reason::DeadlinePassed, Step::Claim, Outcome::NotRun))
            }
        }
    }

    /// Takes over the stream that is already running under this call's key. Returns the request
    /// when the stream is gone; the key is then claimed for this call.
    pub(super) async fn take_over(
        &mut self,
        held: request::Pending,
        place: desk::Place,
        wanted: Box<Wanted>,
        running: claim::Running,
    ) -> Result<Option<request::Pending>, fault::Fault> {
        let state = self.worker.state.clone();
        let (attempt, from) = (running.attempt, self.delivered);
        let view = state.view();
        let address = view.fleet.upstream(&running.upstream).map(|known| known.entry.address);
        let dispatched = held.dispatch(attempt);
        if let Some(address) = address {
            let who = (&state.owner, &state.settings.zone);
            let work = engine::resume(&self.worker.client, address, attempt, who, from);
            let result = limit::within(&state, self.job.call.deadline, work).await;
            let events = match result {
                Ok(events) => events,
                Err(stop) => return Err(stop.fault(Step::Stream, dispatched.lost().end())),
            };
            if let Ok(events) = events {
                state.metrics.resume("taken_over");
                // The entry host that started the stream may still serve it, so this host never
                // cancels it.
                let holding = cancel::Holding::Stream(attempt);
                let mut cancel = cancel::Guard::new(&state, address, holding);
                cancel.disarm();
                self.stage = Stage::Open(Box::new(Open {
                    answering: dispatched.answering(),
                    events,
                    checker: stream::Checker::starting_at(attempt, from),
                    place: place.detached(),
                    cancel,
                    _group: None,
                    address,
                    resumed: (from, 0),
                    heard: state.clock.now(),
                    begun: false,
                }));
                return Ok(None);
            }
        }
        drop(place);
        let held = dispatched.lost().retry();
        let held = held.map_err(|end| fault::new(Reason::EarlierUnknown, Step::Claim, end))?;
        let ask = self.ask(&wanted, &running.upstream, attempt);
        let work = wanted.claims.take_over(ask, &running);
        let begin = limit::within(&state, self.job.call.deadline, work).await;
        if let Ok(Ok(claim::Begin::Run(ticket))) = begin {
            self.claim = Claim::Ticket(Box::new(wanted.claims), ticket);
        }
        Ok(Some(held))
    }

    /// Stores the whole response for replay, in the background; a drain waits for it.
    pub(super) fn keep(&mut self, prompt_tokens: u64) {
        let Claim::Sent(claims, sent) = std::mem::take(&mut self.claim) else { return };
        let Some(tokens) = self.kept.take() else { return };
        let tokens = tokens.trim_end_matches(',');
        let body = format!("{{\"prompt_tokens\":{prompt_tokens},\"tokens\":[{tokens}]}}");
        let answer = claim::Answer {
            status: 200,
            content_type: KEPT_TYPE.to_owned(),
            body: bytes::Bytes::from(body),
        };
        let state = self.worker.state.clone();
        let active = state::Active::new(&state);
        drop(ntex::rt::spawn(async move {
            let stored = claims::store(&claims, sent, answer).await;
            state.metrics.claim(if stored { "stored" } else { "unstored" });
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
    let kept: Kept<'_> = serde_json::from_slice(&answer.body).ok()?;
    let from = usize::try_from(from).unwrap_or(usize::MAX);
    kept.tokens.iter().skip(from).for_each(|token| sink.token(token));
    Some((kept.prompt_tokens, kept.tokens.len() as u64))
}

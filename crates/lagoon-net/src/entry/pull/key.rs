//! Idempotency keys of model calls: replay, and taking over a stream from another entry host.
//!
//! Failure answered: a caller's entry host dies in mid-stream, and its next one prefills a million
//! tokens again. The claim's row names the engine and the attempt, so a caller that comes back
//! with its key gets that stream from the position it names. A model call may run more than once,
//! so a key that cannot be claimed costs the replay, never the answer.

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

/// How far a call's claim has come.
#[derive(Debug, Default)]
pub(crate) enum Claim {
    /// Without a key, or with the platform out of reach.
    #[default]
    None,
    /// To be claimed when the first engine is known.
    Wanted(Box<Wanted>),
    /// Claimed; nothing is on its way.
    Ticket(Box<claims::Claims>, claim::Ticket),
    /// Claimed and dispatched.
    Sent(Box<claims::Claims>, claim::Sent),
}

/// A key that is to be claimed.
#[derive(Debug)]
pub(crate) struct Wanted {
    pub(crate) claims: claims::Claims,
    pub(crate) key: String,
    /// From `claim::body_hash`.
    pub(crate) body: String,
}

/// What stands under a key already.
#[derive(Debug)]
pub(super) enum Found {
    Answer(claim::Answer),
    Running(Box<Wanted>, claim::Running),
}

/// An answer as it is kept for replay.
#[derive(serde::Deserialize, serde::Serialize)]
struct Kept<'a> {
    prompt_tokens: u64,
    #[serde(borrow)]
    tokens: Vec<&'a serde_json::value::RawValue>,
}

/// Content type of a [`Kept`] answer.
const KEPT_TYPE: &str = "application/json";

impl Pull {
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

    /// Records where the call goes, before it is sent; what stands under its key, if it is not
    /// to be sent.
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
            // A call that may repeat goes out again under the same claim.
            Claim::Sent(claims, sent) => (claims, sent.refused()),
        };
        let work = claims.retarget(&mut ticket, upstream.clone(), attempt);
        let written = limit::within(&state, deadline, work).await;
        written.map_err(|stop| stop.fault(Step::Claim, Outcome::NotRun))?;
        self.sent(claims, ticket)
    }

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

    /// Takes over the stream that runs under this call's key; false when it is gone, and the key
    /// is then this call's.
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
                // Its first entry host may still serve it: this one never cancels it.
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

    /// Keeps the whole answer for replay, in the background; a drain waits for it.
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

/// Hands the tokens of a kept answer from number `from` on to `sink`; prompt tokens and the count
/// of all tokens, or `None` when the kept text is not an answer.
pub(crate) fn replay<S>(answer: &claim::Answer, from: u64, sink: &mut S) -> Option<(u64, u64)>
where
    S: crate::entry::render::Sink,
{
    let kept: Kept<'_> = serde_json::from_slice(&answer.body).ok()?;
    let from = usize::try_from(from).unwrap_or(usize::MAX);
    kept.tokens.iter().skip(from).for_each(|token| sink.token(token));
    Some((kept.prompt_tokens, kept.tokens.len() as u64))
}

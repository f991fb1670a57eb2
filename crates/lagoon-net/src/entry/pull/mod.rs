//! Runs one model call: dispatches it, reads the tokens, and resumes or retries a broken stream.
//!
//! The outcome that the caller is told comes from `lagoonline::lifecycle::request` alone. Dropping a
//! [`Generation`] at any point releases its slot and cancels its attempt.

mod dispatch;
mod key;
mod mend;

use std::mem;
use std::rc;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::control::document;
use lagoonline::lifecycle::claim;
use lagoonline::lifecycle::request;
use lagoonline::lifecycle::stream;
use lagoonline::load;
use lagoonline::outcome::{Outcome, Reason, Step};

use super::call;
use super::cancel;
use super::desk;
use super::fault;
use super::group;
use super::limit;
use super::metrics;
use super::render;
use super::worker;
use crate::engine;

pub(crate) use key::{Claim, Wanted, replay};

/// Input of a model call.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) call: call::Call,
    pub(crate) ask: load::Request,
    /// Length of the prompt in bytes, from which its token count was estimated.
    pub(crate) prompt_bytes: usize,
    pub(crate) desk: std::sync::Arc<desk::Desk>,
    /// Whether the model allows a response to be continued on another engine.
    pub(crate) continues: bool,
    pub(crate) body: ntex::util::Bytes,
}

impl Job {
    pub(crate) fn subject(&self) -> metrics::Subject {
        metrics::Subject::of("model", self.ask.model.as_str(), &self.call.customer().name)
    }
}

/// Summary that the engine sends at the end of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct End {
    pub(crate) answer_tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    /// Outcome that the caller is told.
    pub(crate) outcome: Outcome,
}

/// The response stream of the current attempt.
#[derive(Debug)]
struct Open {
    answering: request::Answering,
    events: engine::Events,
    checker: stream::Checker,
    place: desk::Place,
    cancel: cancel::Guard,
    /// Keeps the reservations of a group until the attempt ends.
    _group: Option<group::Group>,
    address: std::net::SocketAddr,
    /// Chunk number that the last resumption asked for, and how many times it did.
    ///
    /// Guards against an engine that breaks each resumption at the same chunk: the stream would be
    /// resumed forever without a token. After a few resumptions without a token the attempt is
    /// given up.
    resumed: (u64, u32),
    /// When the attempt was sent, its last tokens arrived, or its silence was last handled.
    heard: clock::Moment,
    /// Whether this attempt delivered a token.
    begun: bool,
}

impl Open {
    /// Returns the time from which the stream counts as silent for too long.
    fn patience(&self) -> clock::Moment {
        let (first, gap) = self.place.silence();
        self.heard + if self.begun { gap } else { first }
    }
}

#[derive(Debug)]
enum Stage {
    /// Not dispatched.
    Held(request::Pending),
    /// A response is being received.
    Open(Box<Open>),
    /// Completed, failed or abandoned.
    Over,
}

/// A model call in progress.
#[derive(Debug)]
pub(crate) struct Pull {
    worker: rc::Rc<worker::Worker>,
    job: Job,
    stage: Stage,
    /// Number of answer tokens that the caller has, including those before a resumption.
    delivered: u64,
    /// When the last tokens arrived.
    last: Option<clock::Moment>,
    claim: Claim,
    /// JSON texts of all tokens so far, each followed by a comma, if the response is to be stored
    /// for replay.
    kept: Option<String>,
}

impl Pull {
    /// Creates a call whose caller already has the first `from` tokens.
    pub(crate) fn new(worker: rc::Rc<worker::Worker>, job: Job, claim: Claim, from: u64) -> Pull {
        let stage = Stage::Held(request::Pending::new(request::Repeat::Allowed));
        let keeps = from == 0 && matches!(claim, Claim::Wanted(_));
        let kept = keeps.then(String::new);
        Pull { worker, job, stage, delivered: from, last: None, claim, kept }
    }

    pub(crate) fn job(&self) -> &Job {
        &self.job
    }

    /// Abandons the call and returns the outcome for the caller.
    pub(crate) fn leave(&mut self) -> Outcome {
        match mem::replace(&mut self.stage, Stage::Over) {
            Stage::Held(held) => held.end(),
            Stage::Open(open) => open.answering.broken().end(),
            Stage::Over => Outcome::Unknown,
        }
    }

    /// Waits for a slot and for the response to start. Returns the stored response instead if there
    /// is one under the call's idempotency key.
    pub(crate) async fn start(&mut self) -> Result<Option<claim::Answer>, fault::Fault> {
        let Stage::Held(mut held) = mem::replace(&mut self.stage, Stage::Over) else {
            return Ok(None);
        };
        // Runs twice at most: a second time when the stream recorded under the key is gone.
        loop {
            let offer = self.job.desk.offer(self.job.ask.clone());
            match self.open(held, offer).await? {
                dispatch::Opened::Open(open) => {
                    self.stage = Stage::Open(open);
                    return Ok(None);
                }
                dispatch::Opened::Found(_, _, key::Found::Answer(answer)) => {
                    return Ok(Some(answer));
                }
                dispatch::Opened::Found(back, place, key::Found::Running(wanted, running)) => {
                    match self.take_over(back, place, wanted, running).await? {
                        None => return Ok(None),
                        Some(back) => held = back,
                    }
                }
            }
        }
    }

    /// Passes the next tokens to `sink`. Returns the summary once the response is complete and
    /// checked.
    pub(crate) async fn next<S>(&mut self, sink: &mut S) -> Result<Option<End>, fault::Fault>
    where
        S: render::Sink,
    {
        let before = self.delivered;
        loop {
            let Stage::Open(open) = &mut self.stage else {
                return Err(fault::new(Reason::Internal, Step::Stream, self.leave()));
            };
            let deadline = self.job.call.deadline;
            let patience = open.patience();
            let work = open.events.batch();
            let batch = limit::within(&self.worker.state, patience.min(deadline), work).await;
            let result = match batch {
                Ok(Ok(batch)) => self.take(&batch, sink),
                Ok(Err(broken)) => Err(broken),
                Err(limit::Stop::Deadline) if patience < deadline => self.silent(),
                Err(stop) => return Err(stop.fault(Step::Stream, self.leave())),
            };
            self.measure(before);
            match result {
                Ok(Some(end)) => return Ok(Some(self.complete(end))),
                Ok(None) if self.delivered > before => return Ok(None),
                Ok(None) => {}
                Err(broken) => {
                    self.mend(broken).await?;
                    if self.delivered > before {
                        return Ok(None);
                    }
                }
            }
        }
    }

    /// Checks the events of a batch and passes their tokens to `sink`. Returns the summary if the
    /// batch has the end event.
    fn take<S>(&mut self, batch: &[u8], sink: &mut S) -> Result<Option<End>, engine::StreamError>
    where
        S: render::Sink,
    {
        let Stage::Open(open) = &mut self.stage else { return Err(engine::StreamError::Truncated) };
        let mut found = None;
        for event in engine::events(batch) {
            match event? {
                engine::Event::Chunk { attempt, number, text } => {
                    open.checker.chunk(attempt, number)?;
                    sink.token(text);
                    if let Some(kept) = &mut self.kept {
                        kept.push_str(text.get());
                        kept.push(',');
                    }
                    self.delivered = open.checker.next();
                    open.begun = true;
                }
                engine::Event::End { attempt, count, prompt_tokens, cached_tokens, load } => {
                    open.checker.end(attempt, count)?;
                    if let Some(load) = load {
                        self.job.desk.observe(open.place.upstream(), &load);
                        self.worker.state.link.saw_load(open.place.upstream(), &load);
                    }
                    let outcome = Outcome::Unknown;
                    found =
                        Some(End { answer_tokens: count, prompt_tokens, cached_tokens, outcome });
                }
                engine::Event::Error { code } => return Err(engine::StreamError::Aborted(code)),
            }
        }
        Ok(found)
    }

    /// Records the tokens that arrived since `before` tokens had been delivered.
    fn measure(&mut self, before: u64) {
        let came = self.delivered - before;
        if came == 0 {
            return;
        }
        let state = &self.worker.state;
        let now = state.clock.now();
        let ask = &self.job.ask;
        if before == 0
            && let Stage::Open(open) = &self.stage
        {
            open.place.first_token();
            let view = state.view();
            let class = document::Class::of(ask.prompt_tokens);
            let span = now.since(ask.arrived);
            if let Some(known) = view.fleet.upstream(open.place.upstream()) {
                state.metrics.first_token(class, &ask.model, &known.entry.zone, span);
                if class == document::Class::Short {
                    state.metrics.short_slowdown(ask, span, known.entry.prefill_rate);
                }
            }
        }
        state.metrics.tokens(&ask.model, came, self.last.map(|last| now.since(last)));
        self.last = Some(now);
        if let Stage::Open(open) = &mut self.stage {
            open.heard = now;
        }
    }

    /// Releases the slot of a complete response, stores the response and records its metrics.
    fn complete(&mut self, mut end: End) -> End {
        if let Stage::Open(mut open) = mem::replace(&mut self.stage, Stage::Over) {
            open.cancel.disarm();
            let End { answer_tokens, prompt_tokens, cached_tokens, .. } = end;
            let ending = load::Ending::Done { prompt_tokens, cached_tokens, answer_tokens };
            open.place.finish(ending);
            self.job.desk.counted(self.job.prompt_bytes, prompt_tokens);
            end.outcome = open.answering.complete();
        }
        self.keep(end.prompt_tokens);
        let ask = &self.job.ask;
        let span = self.worker.state.clock.now().since(ask.arrived);
        let class = document::Class::of(ask.prompt_tokens);
        let prompt = (end.prompt_tokens, end.cached_tokens);
        self.worker.state.metrics.completion(class, &ask.model, span, prompt);
        end
    }
}

//! One model call on its way: dispatch, reading the answer, resuming and continuing it.
//!
//! What the caller is told is derived from `lagoonline::lifecycle::request` alone. Dropping a
//! [`Pull`] at any point gives its place back and cancels its attempt.

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

/// What a model call needs on its way.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) call: call::Call,
    pub(crate) ask: load::Ask,
    /// Bytes of the prompt, of which its tokens were estimated.
    pub(crate) prompt_bytes: usize,
    pub(crate) desk: std::sync::Arc<desk::Desk>,
    pub(crate) continues: bool,
    pub(crate) body: ntex::util::Bytes,
}

impl Job {
    pub(crate) fn subject(&self) -> metrics::Subject {
        metrics::Subject::of("model", self.ask.model.as_str(), &self.call.customer().name)
    }
}

/// What the engine said at the end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct End {
    pub(crate) answer_tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    /// What the caller is told, by the request's life.
    pub(crate) outcome: Outcome,
}

/// An attempt whose answer is arriving.
#[derive(Debug)]
struct Open {
    answering: request::Answering,
    events: engine::Events,
    checker: stream::Checker,
    place: desk::Place,
    cancel: cancel::Guard,
    _group: Option<group::Group>,
    address: std::net::SocketAddr,
    /// Number of the chunk that the last resumption asked for, and how often it was asked for.
    ///
    /// Failure answered: an engine breaks each resumption at the same chunk. Symptom: the stream
    /// is taken up again for ever without a token. Only a few go without one, then the
    /// attempt is given up.
    resumed: (u64, u32),
    /// When it was sent, or its last tokens came, or its silence was last looked at.
    heard: clock::Moment,
    /// Whether a token of this attempt came.
    begun: bool,
}

impl Open {
    /// When its silence has lasted too long.
    fn patience(&self) -> clock::Moment {
        let (first, gap) = self.place.silence();
        self.heard + if self.begun { gap } else { first }
    }
}

#[derive(Debug)]
enum Stage {
    Held(request::Pending),
    Open(Box<Open>),
    Over,
}

/// A model call under way.
#[derive(Debug)]
pub(crate) struct Pull {
    worker: rc::Rc<worker::Worker>,
    job: Job,
    stage: Stage,
    /// Tokens handed over so far.
    delivered: u64,
    last: Option<clock::Moment>,
    claim: Claim,
    /// Tokens so far, each followed by a comma, when they are kept for replay.
    kept: Option<String>,
}

impl Pull {
    /// A call whose caller has the first `from` tokens already.
    pub(crate) fn new(worker: rc::Rc<worker::Worker>, job: Job, claim: Claim, from: u64) -> Pull {
        let stage = Stage::Held(request::Pending::new(request::Repeat::Allowed));
        let keeps = from == 0 && matches!(claim, Claim::Wanted(_));
        let kept = keeps.then(String::new);
        Pull { worker, job, stage, delivered: from, last: None, claim, kept }
    }

    pub(crate) fn job(&self) -> &Job {
        &self.job
    }

    /// Gives up; what the caller would be told.
    pub(crate) fn leave(&mut self) -> Outcome {
        match mem::replace(&mut self.stage, Stage::Over) {
            Stage::Held(held) => held.end(),
            Stage::Open(open) => open.answering.broken().end(),
            Stage::Over => Outcome::Unknown,
        }
    }

    /// Waits for a place and for the answer to begin; the answer that stands under the call's
    /// key, if there is one.
    pub(crate) async fn start(&mut self) -> Result<Option<claim::Answer>, fault::Fault> {
        let Stage::Held(mut held) = mem::replace(&mut self.stage, Stage::Over) else {
            return Ok(None);
        };
        // Once for what stands under the key, once more when that was gone.
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

    /// Hands the next tokens to `sink`; the end, once the whole answer was checked.
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

    fn take<S>(&mut self, batch: &[u8], sink: &mut S) -> Result<Option<End>, engine::Broken>
    where
        S: render::Sink,
    {
        let Stage::Open(open) = &mut self.stage else { return Err(engine::Broken::Cut) };
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
                engine::Event::Error { code } => return Err(engine::Broken::GivenUp(code)),
            }
        }
        Ok(found)
    }

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

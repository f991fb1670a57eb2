//! One model call on its way: dispatch, reading the answer, resuming and continuing it.
//!
//! What the caller is told is derived from `lagoonline::life::request` alone. Dropping a
//! [`Pull`] at any point gives its place back and cancels its attempt.

mod dispatch;
mod key;

use std::mem;
use std::rc;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::control::document;
use lagoonline::life::claim;
use lagoonline::life::request;
use lagoonline::life::stream;
use lagoonline::load;
use lagoonline::outcome::{Outcome, Reason, Step};

use super::call;
use super::cancel;
use super::desk;
use super::fault;
use super::group;
use super::limit;
use super::render;
use super::worker;
use crate::engine;

pub(crate) use key::{Claim, Wanted, replay};

/// Tries to take a broken stream up again on its own engine before going elsewhere.
const RESUMES: u32 = 3;
/// The same for a stream that is silent.
const SILENT_RESUMES: u32 = 1;
/// Pause before the second such try; it grows by as much with each.
const RESUME_PAUSE: clock::Span = clock::Span::from_millis(20);

/// What a model call needs on its way.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) call: call::Call,
    pub(crate) ask: load::Ask,
    pub(crate) desk: std::sync::Arc<desk::Desk>,
    pub(crate) continues: bool,
    pub(crate) body: ntex::util::Bytes,
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
    /// is taken up again for ever without a token. Only [`RESUMES`] go without one, then the
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

    /// Whether taking up a silent stream again is still worth a try: a connection may be dead
    /// while its engine lives, but once shows that.
    fn may_resume_silent(&self) -> bool {
        self.begun && self.resumed != (self.checker.next(), SILENT_RESUMES)
    }
}

#[derive(Debug)]
enum Stage {
    Held(request::Held),
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
        let stage = Stage::Held(request::Held::new(request::Repeat::Allowed));
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

    /// What a silence leads to: a broken stream where something can be done about it.
    fn silent(&mut self) -> Result<Option<End>, engine::Broken> {
        let now = self.worker.state.clock.now();
        let Stage::Open(open) = &mut self.stage else { return Err(engine::Broken::Cut) };
        open.heard = now;
        if open.may_resume_silent() || self.is_better_elsewhere() {
            return Err(engine::Broken::Silent);
        }
        Ok(None)
    }

    /// Whether the call may leave its silent engine for another one that could take it.
    fn is_better_elsewhere(&self) -> bool {
        let Stage::Open(open) = &self.stage else { return false };
        let may_move = self.delivered == 0 || self.job.continues;
        may_move && open.place.is_better_elsewhere(&self.job.ask)
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
            let zone = view.fleet.upstream(open.place.upstream());
            let zone = zone.map(|known| known.entry.zone.clone()).unwrap_or_default();
            let class = document::Class::of(ask.prompt_tokens);
            state.metrics.first_token(class, &ask.model, &zone, now.since(ask.arrived));
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

    /// Takes a broken answer up again: on its own engine, or elsewhere.
    async fn mend(&mut self, broken: engine::Broken) -> Result<(), fault::Fault> {
        let Stage::Open(mut open) = mem::replace(&mut self.stage, Stage::Over) else {
            return Ok(());
        };
        let metrics = &self.worker.state.metrics;
        if let engine::Broken::Violation(violation) = &broken {
            metrics.chunk_refused(violation_name(violation));
        }
        let silent = broken == engine::Broken::Silent;
        let resumes = match broken {
            engine::Broken::GivenUp(_) => false,
            engine::Broken::Silent => open.may_resume_silent(),
            _ => true,
        };
        if resumes {
            match self.resume(&mut open).await {
                Ok(true) => {
                    metrics.resume("resumed");
                    self.stage = Stage::Open(open);
                    return Ok(());
                }
                Ok(false) => metrics.resume("failed"),
                Err(stop) => {
                    return Err(stop.fault(Step::Stream, open.answering.broken().end()));
                }
            }
        }
        if silent {
            self.stage = Stage::Open(open);
            if !self.is_better_elsewhere() {
                return Ok(());
            }
            let Stage::Open(moved) = mem::replace(&mut self.stage, Stage::Over) else {
                return Ok(());
            };
            open = moved;
        }
        let ending = if silent { load::Ending::Silent } else { load::Ending::Failed };
        let Open { answering, place, cancel, .. } = *open;
        drop(cancel);
        let lost = answering.broken();
        let peer = place.upstream().to_string();
        if self.delivered > 0 && !self.job.continues {
            place.finish(ending);
            let fault = fault::new(Reason::UpstreamFailed, Step::Stream, lost.end());
            return Err(fault.at(peer).with_detail(broken.to_string()));
        }
        let held = lost.again().map_err(|outcome| {
            fault::new(Reason::UpstreamFailed, Step::Stream, outcome).at(peer.as_str())
        })?;
        if held.attempts() >= self.worker.state.settings.limits.attempts {
            place.finish(ending);
            let fault = fault::new(Reason::UpstreamFailed, Step::Stream, held.end());
            return Err(fault.at(peer).with_detail(broken.to_string()));
        }
        metrics.retry(if silent { "silent" } else { "broken" });
        let offer = place.again(ending, self.job.ask.clone());
        match self.open(held, offer).await? {
            dispatch::Opened::Open(open) => self.stage = Stage::Open(open),
            // Its key is this call's since its first dispatch.
            dispatch::Opened::Found(held, ..) => {
                return Err(fault::new(Reason::Internal, Step::Claim, held.end()));
            }
        }
        Ok(())
    }

    /// True when the same attempt's stream goes on where it broke off.
    async fn resume(&self, open: &mut Open) -> Result<bool, limit::Stop> {
        let state = &self.worker.state;
        let (attempt, from) = (open.answering.attempt(), open.checker.next());
        if open.resumed.0 != from {
            open.resumed = (from, 0);
        }
        while open.resumed.1 < RESUMES {
            let pause = RESUME_PAUSE * open.resumed.1;
            open.resumed.1 += 1;
            let work = async {
                tokio::time::sleep(pause).await;
                let zone = &state.settings.zone;
                engine::resume(&self.worker.client, open.address, attempt, zone, from).await
            };
            let (_, gap) = open.place.silence();
            let (now, deadline) = (state.clock.now(), self.job.call.deadline);
            let until = now + gap;
            let result = match limit::within(state, until.min(deadline), work).await {
                Ok(result) => result,
                Err(limit::Stop::Deadline) if until < deadline => return Ok(false),
                Err(stop) => return Err(stop),
            };
            match result {
                Ok(events) => {
                    open.events = events;
                    return Ok(true);
                }
                Err(engine::Failure::Lost(_)) => {}
                Err(
                    engine::Failure::NoStream
                    | engine::Failure::Refused(_)
                    | engine::Failure::Unsent(_),
                ) => return Ok(false),
            }
        }
        Ok(false)
    }
}

fn violation_name(violation: &stream::Violation) -> &'static str {
    match violation {
        stream::Violation::Crossed => "crossed",
        stream::Violation::Repeated { .. } => "repeated",
        stream::Violation::Gap { .. } => "gap",
        stream::Violation::Count { .. } => "count",
        stream::Violation::AfterEnd => "after_end",
    }
}

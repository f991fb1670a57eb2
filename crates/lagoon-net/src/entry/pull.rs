//! One model call on its way: dispatch, reading the answer, resuming and continuing it.
//!
//! What the caller is told is derived from `lagoonline::life::request` alone. Dropping a
//! [`Pull`] at any point gives its place back and cancels its attempt.

use std::mem;
use std::rc;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::control::document;
use lagoonline::id;
use lagoonline::life::request;
use lagoonline::life::stream;
use lagoonline::load;
use lagoonline::outcome::{Outcome, Reason, Step};

use super::call;
use super::cancel;
use super::desk;
use super::fault;
use super::limit;
use super::render;
use super::worker;
use crate::engine;

/// Tries to take a broken stream up again on its own engine before going elsewhere.
const RESUMES: u32 = 3;
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
}

/// An attempt whose answer is arriving.
#[derive(Debug)]
struct Open {
    answering: request::Answering,
    events: engine::Events,
    checker: stream::Checker,
    place: desk::Place,
    cancel: cancel::Guard,
    address: std::net::SocketAddr,
    /// Number of the chunk that the last resumption asked for, and how often it was asked for.
    ///
    /// Failure answered: an engine breaks each resumption at the same chunk. Symptom: the stream
    /// is taken up again for ever without a token. Only [`RESUMES`] go without one, then the
    /// attempt is given up.
    resumed: (u64, u32),
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
}

impl Pull {
    pub(crate) fn new(worker: rc::Rc<worker::Worker>, job: Job) -> Pull {
        let stage = Stage::Held(request::Held::new(request::Repeat::Allowed));
        Pull { worker, job, stage, delivered: 0, last: None }
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

    /// Waits for a place and for the answer to begin.
    pub(crate) async fn start(&mut self) -> Result<(), fault::Fault> {
        let Stage::Held(held) = mem::replace(&mut self.stage, Stage::Over) else { return Ok(()) };
        let offer = self.job.desk.offer(self.job.ask.clone());
        let open = self.open(held, offer).await?;
        self.stage = Stage::Open(Box::new(open));
        Ok(())
    }

    async fn open(
        &self,
        mut held: request::Held,
        mut offer: desk::Offer,
    ) -> Result<Open, fault::Fault> {
        loop {
            let place = match self.seat(offer).await {
                Ok(place) => place,
                Err(fault) => return Err(fault.with_outcome(held.end())),
            };
            let (back, ending, cause) = match self.dispatch(held, place).await? {
                Sent::Open(open) => return Ok(*open),
                Sent::Back(back, place, ending, cause) => ((back, place), ending, cause),
            };
            let (next, place) = back;
            if next.attempts() >= self.worker.state.settings.limits.attempts {
                let peer = place.upstream().to_string();
                place.finish(ending);
                let reason = exhausted(ending);
                return Err(fault::new(reason, Step::Dispatch, next.end()).at(peer));
            }
            self.worker.state.metrics.retry(cause);
            held = next;
            offer = place.again(ending, self.job.ask.clone());
        }
    }

    async fn seat(&self, offer: desk::Offer) -> Result<desk::Place, fault::Fault> {
        let seat = match offer {
            desk::Offer::Place(place) => return Ok(place),
            desk::Offer::Refuse(failure) => return Err(failure.into()),
            desk::Offer::Wait(seat) => seat,
        };
        let turn = limit::within(&self.worker.state, self.job.call.deadline, seat.turn()).await;
        match turn {
            Ok(turn) => turn.map_err(fault::Fault::from),
            Err(stop) => Err(stop.fault(Step::Queue, Outcome::NotRun)),
        }
    }

    async fn dispatch(
        &self,
        held: request::Held,
        place: desk::Place,
    ) -> Result<Sent, fault::Fault> {
        let state = &self.worker.state;
        let upstream = place.upstream().clone();
        let view = state.view();
        let Some(known) = view.fleet.upstream(&upstream) else {
            return Ok(Sent::Back(held, place, load::Ending::Leaving, "unknown_upstream"));
        };
        let (attempt, address) = (call::new_attempt(), known.entry.address);
        let order = self.order(attempt, &place);
        let dispatched = held.dispatch(attempt);
        let mut cancel = cancel::Guard::new(state, address, attempt);
        let work = engine::generate(&self.worker.client, address, &order);
        let result = match limit::within(state, self.job.call.deadline, work).await {
            Ok(result) => result,
            Err(stop) => {
                let fault = stop.fault(Step::Dispatch, dispatched.lost().end());
                return Err(fault.at(upstream.as_str()));
            }
        };
        let failure = match result {
            Ok(mut events) => {
                state.metrics.attempt("answered");
                if let Some(load) = events.take_load() {
                    self.job.desk.observe(&upstream, &load);
                    state.link.saw_load(&upstream, &load);
                }
                let checker = stream::Checker::starting_at(attempt, self.delivered);
                let answering = dispatched.answering();
                let resumed = (self.delivered, 0);
                let open = Open { answering, events, checker, place, cancel, address, resumed };
                return Ok(Sent::Open(Box::new(open)));
            }
            Err(failure) => failure,
        };
        let peer = upstream.as_str();
        match failure {
            engine::Failure::Unsent(_) => {
                state.metrics.attempt("unsent");
                cancel.disarm();
                Ok(Sent::Back(dispatched.refused(), place, load::Ending::Failed, "unsent"))
            }
            engine::Failure::Refused(engine::Refusal::TooLong) => {
                state.metrics.attempt("too_long");
                cancel.disarm();
                place.finish(load::Ending::Abandoned);
                let outcome = dispatched.refused().end();
                Err(fault::new(Reason::TooLong, Step::Dispatch, outcome).at(peer))
            }
            engine::Failure::Refused(refusal) => {
                state.metrics.attempt(refusal.as_str());
                cancel.disarm();
                let ending = match refusal {
                    engine::Refusal::Full => load::Ending::Full,
                    engine::Refusal::Leaving => {
                        state.set_leaving(&upstream, true);
                        state.link.saw_leaving(&upstream);
                        load::Ending::Leaving
                    }
                    engine::Refusal::UnknownModel
                    | engine::Refusal::TooLong
                    | engine::Refusal::AttemptExists => load::Ending::Failed,
                };
                Ok(Sent::Back(dispatched.refused(), place, ending, refusal.as_str()))
            }
            engine::Failure::NoStream | engine::Failure::Lost(_) => {
                state.metrics.attempt("lost");
                let lost = dispatched.lost().again();
                let lost = lost.map_err(|outcome| {
                    fault::new(Reason::UpstreamFailed, Step::Dispatch, outcome).at(peer)
                })?;
                Ok(Sent::Back(lost, place, load::Ending::Failed, "lost"))
            }
        }
    }

    fn order(&self, attempt: id::Attempt, place: &desk::Place) -> engine::Order {
        let state = &self.worker.state;
        engine::Order {
            attempt,
            owner: state.owner.clone(),
            zone: state.settings.zone.clone(),
            left: self.job.call.left(state),
            priority: place.priority(),
            model: self.job.ask.model.clone(),
            answer_tokens: self.job.ask.answer_tokens,
            skip: self.delivered,
            body: self.job.body.clone(),
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
            let work = open.events.batch();
            let batch = limit::within(&self.worker.state, self.job.call.deadline, work).await;
            let result = match batch {
                Ok(Ok(batch)) => self.take(&batch, sink),
                Ok(Err(broken)) => Err(broken),
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
                    self.delivered = open.checker.next();
                }
                engine::Event::End { attempt, count, prompt_tokens, cached_tokens, load } => {
                    open.checker.end(attempt, count)?;
                    if let Some(load) = load {
                        self.job.desk.observe(open.place.upstream(), &load);
                        self.worker.state.link.saw_load(open.place.upstream(), &load);
                    }
                    found = Some(End { answer_tokens: count, prompt_tokens, cached_tokens });
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
    }

    fn complete(&mut self, end: End) -> End {
        if let Stage::Open(mut open) = mem::replace(&mut self.stage, Stage::Over) {
            open.cancel.disarm();
            let End { answer_tokens, prompt_tokens, cached_tokens } = end;
            let ending = load::Ending::Done { prompt_tokens, cached_tokens, answer_tokens };
            open.place.finish(ending);
            // `Done` is told by the answer itself.
            let _done = open.answering.complete();
        }
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
        if !matches!(broken, engine::Broken::GivenUp(_)) {
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
        let Open { answering, place, cancel, .. } = *open;
        drop(cancel);
        let lost = answering.broken();
        let peer = place.upstream().to_string();
        if self.delivered > 0 && !self.job.continues {
            place.finish(load::Ending::Failed);
            let fault = fault::new(Reason::UpstreamFailed, Step::Stream, lost.end());
            return Err(fault.at(peer).with_detail(broken.to_string()));
        }
        let held = lost.again().map_err(|outcome| {
            fault::new(Reason::UpstreamFailed, Step::Stream, outcome).at(peer.as_str())
        })?;
        if held.attempts() >= self.worker.state.settings.limits.attempts {
            place.finish(load::Ending::Failed);
            let fault = fault::new(Reason::UpstreamFailed, Step::Stream, held.end());
            return Err(fault.at(peer).with_detail(broken.to_string()));
        }
        metrics.retry("broken");
        let offer = place.again(load::Ending::Failed, self.job.ask.clone());
        let open = self.open(held, offer).await?;
        self.stage = Stage::Open(Box::new(open));
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
            match limit::within(state, self.job.call.deadline, work).await? {
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

#[derive(Debug)]
enum Sent {
    Open(Box<Open>),
    /// Held again: the place to give back, how its attempt ended, and the metric's word for it.
    Back(request::Held, desk::Place, load::Ending, &'static str),
}

fn exhausted(ending: load::Ending) -> Reason {
    match ending {
        load::Ending::Full => Reason::Saturated,
        load::Ending::Leaving => Reason::NoUpstream,
        load::Ending::Done { .. } | load::Ending::Failed | load::Ending::Abandoned => {
            Reason::UpstreamFailed
        }
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

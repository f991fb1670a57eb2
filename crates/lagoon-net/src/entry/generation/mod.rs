//! Runs one model call: dispatches it, reads the tokens, and resumes or retries a broken stream.
//!
//! The outcome that the caller is told comes from `lagoonline::lifecycle::request` alone. Dropping
//! a [`Generation`] at any point releases its slot and cancels its attempt.

mod dispatch;
mod idempotency;
mod recovery;

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

use super::admission;
use super::call;
use super::cancel;
use super::fault;
use super::group;
use super::interrupt;
use super::metrics;
use super::render;
use super::worker;
use crate::engine;

pub(crate) use idempotency::{ClaimState, Deferred, replay};

/// Input of a model call: the parsed HTTP request (`call`) and what the scheduler needs
/// (`request`).
#[derive(Debug)]
pub(crate) struct Input {
    pub(crate) call: call::Call,
    pub(crate) request: load::Request,
    /// Length of the prompt in bytes, from which its token count was estimated.
    pub(crate) prompt_bytes: usize,
    pub(crate) queue: std::sync::Arc<admission::Queue>,
    /// Whether the model allows a response to be continued on another engine.
    pub(crate) continues: bool,
    pub(crate) body: ntex::util::Bytes,
}

impl Input {
    pub(crate) fn labels(&self) -> metrics::CallLabels {
        metrics::CallLabels::of("model", self.request.model.as_str(), &self.call.customer().name)
    }
}

/// Summary that the engine sends at the end of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Summary {
    pub(crate) answer_tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    /// Outcome that the caller is told; `Unknown` until [`Generation::complete`] sets it.
    pub(crate) outcome: Outcome,
}

/// The response stream of the current attempt.
#[derive(Debug)]
struct Stream {
    answering: request::Answering,
    events: engine::Events,
    checker: stream::Checker,
    slot: admission::Slot,
    cancel: cancel::Guard,
    /// Keeps the reservations of a group until the attempt ends.
    _group: Option<group::Group>,
    address: std::net::SocketAddr,
    /// Chunk number that the last resumption asked for, and how many times it did.
    ///
    /// Guards against an engine that breaks each resumption at the same chunk: the stream would be
    /// resumed forever without a token. After a few resumptions without a token the attempt is
    /// given up.
    resumes: (u64, u32),
    /// Start of the current silence: when the attempt was sent, its last tokens arrived, or a
    /// silence was last handled.
    silence_start: clock::Moment,
    /// Whether this attempt delivered a token.
    has_tokens: bool,
}

impl Stream {
    /// Returns the time from which the stream counts as silent for too long.
    fn silence_deadline(&self) -> clock::Moment {
        let (first, gap) = self.slot.silence();
        self.silence_start + if self.has_tokens { gap } else { first }
    }
}

#[derive(Debug)]
enum Stage {
    /// Not dispatched.
    Pending(request::Pending),
    /// A response is being received.
    Streaming(Box<Stream>),
    /// Completed, failed or abandoned.
    Ended,
}

/// A model call in progress.
#[derive(Debug)]
pub(crate) struct Generation {
    worker: rc::Rc<worker::Worker>,
    input: Input,
    stage: Stage,
    /// Number of answer tokens that the caller has, including those before a resumption.
    delivered: u64,
    /// When the last tokens arrived.
    last_token: Option<clock::Moment>,
    claim: ClaimState,
    /// JSON texts of all tokens so far, each followed by a comma, if the response is to be stored
    /// for replay.
    replay_tokens: Option<String>,
}

impl Generation {
    /// Creates a call whose caller already has the first `from` tokens.
    pub(crate) fn new(
        worker: rc::Rc<worker::Worker>,
        input: Input,
        claim: ClaimState,
        from: u64,
    ) -> Generation {
        let stage = Stage::Pending(request::Pending::new(request::Repeat::Allowed));
        let keeps_tokens = from == 0 && matches!(claim, ClaimState::Deferred(_));
        let replay_tokens = keeps_tokens.then(String::new);
        Generation { worker, input, stage, delivered: from, last_token: None, claim, replay_tokens }
    }

    pub(crate) fn input(&self) -> &Input {
        &self.input
    }

    /// Abandons the call and returns the outcome for the caller.
    pub(crate) fn abandon(&mut self) -> Outcome {
        match mem::replace(&mut self.stage, Stage::Ended) {
            Stage::Pending(pending) => pending.end(),
            Stage::Streaming(stream) => stream.answering.broken().end(),
            Stage::Ended => Outcome::Unknown,
        }
    }

    /// Waits for a slot and for the response to start. Returns the stored response instead if there
    /// is one under the call's idempotency key.
    pub(crate) async fn start(&mut self) -> Result<Option<claim::Answer>, fault::Fault> {
        let Stage::Pending(mut pending) = mem::replace(&mut self.stage, Stage::Ended) else {
            return Ok(None);
        };
        // Runs twice at most: a second time when the stream recorded under the key is gone.
        loop {
            let decision = self.input.queue.offer(self.input.request.clone());
            match self.run_attempts(pending, decision).await? {
                dispatch::Started::Streaming(stream) => {
                    self.stage = Stage::Streaming(stream);
                    return Ok(None);
                }
                dispatch::Started::Existing(_, _, idempotency::Existing::Answer(answer)) => {
                    return Ok(Some(answer));
                }
                dispatch::Started::Existing(
                    unsent,
                    slot,
                    idempotency::Existing::Running(deferred, running),
                ) => match self.take_over(unsent, *slot, deferred, running).await? {
                    None => return Ok(None),
                    Some(next) => pending = next,
                },
            }
        }
    }

    /// Passes the next tokens to `sink`. Returns the summary once the response is complete and
    /// checked.
    pub(crate) async fn next<S>(&mut self, sink: &mut S) -> Result<Option<Summary>, fault::Fault>
    where
        S: render::Sink,
    {
        let before = self.delivered;
        loop {
            let Stage::Streaming(stream) = &mut self.stage else {
                return Err(fault::new(Reason::Internal, Step::Stream, self.abandon()));
            };
            let deadline = self.input.call.deadline;
            let silence_deadline = stream.silence_deadline();
            let work = stream.events.batch();
            let batch =
                interrupt::within(&self.worker.state, silence_deadline.min(deadline), work).await;
            let result = match batch {
                Ok(Ok(batch)) => self.apply_batch(&batch, sink),
                Ok(Err(error)) => Err(error),
                Err(interrupt::Interrupt::Deadline) if silence_deadline < deadline => {
                    self.handle_silence()
                }
                Err(interrupt) => return Err(interrupt.fault(Step::Stream, self.abandon())),
            };
            self.observe_progress(before);
            match result {
                Ok(Some(summary)) => return Ok(Some(self.complete(summary))),
                Ok(None) if self.delivered > before => return Ok(None),
                Ok(None) => {}
                Err(error) => {
                    self.recover(error).await?;
                    if self.delivered > before {
                        return Ok(None);
                    }
                }
            }
        }
    }

    /// Checks the events of a batch and passes their tokens to `sink`. Returns the summary if the
    /// batch has the end event. The stage is always `Streaming` here; any other counts as a
    /// truncated stream.
    fn apply_batch<S>(
        &mut self,
        batch: &[u8],
        sink: &mut S,
    ) -> Result<Option<Summary>, engine::StreamError>
    where
        S: render::Sink,
    {
        let Stage::Streaming(stream) = &mut self.stage else {
            return Err(engine::StreamError::Truncated);
        };
        let mut summary = None;
        for event in engine::events(batch) {
            match event? {
                engine::Event::Chunk { attempt, number, text } => {
                    stream.checker.chunk(attempt, number)?;
                    sink.token(text);
                    if let Some(replay_tokens) = &mut self.replay_tokens {
                        replay_tokens.push_str(text.get());
                        replay_tokens.push(',');
                    }
                    self.delivered = stream.checker.next();
                    stream.has_tokens = true;
                }
                engine::Event::End { attempt, count, prompt_tokens, cached_tokens, load } => {
                    stream.checker.end(attempt, count)?;
                    if let Some(load) = load {
                        self.input.queue.observe(stream.slot.upstream(), &load);
                        self.worker.state.link.record_load(stream.slot.upstream(), &load);
                    }
                    let outcome = Outcome::Unknown;
                    summary = Some(Summary {
                        answer_tokens: count,
                        prompt_tokens,
                        cached_tokens,
                        outcome,
                    });
                }
                engine::Event::Error { code } => return Err(engine::StreamError::Aborted(code)),
            }
        }
        Ok(summary)
    }

    /// Updates the metrics and the start of the silence if tokens arrived since `before` of them
    /// had been delivered.
    fn observe_progress(&mut self, before: u64) {
        let new_tokens = self.delivered - before;
        if new_tokens == 0 {
            return;
        }
        let state = &self.worker.state;
        let now = state.clock.now();
        let request = &self.input.request;
        if before == 0
            && let Stage::Streaming(stream) = &self.stage
        {
            stream.slot.record_first_token();
            let view = state.view();
            let class = document::Class::of(request.prompt_tokens);
            let span = now.since(request.arrived);
            if let Some(listed) = view.fleet.upstream(stream.slot.upstream()) {
                state.metrics.observe_first_token(class, &request.model, &listed.entry.zone, span);
                if class == document::Class::Short {
                    state.metrics.observe_short_slowdown(request, span, listed.entry.prefill_rate);
                }
            }
        }
        state.metrics.observe_tokens(
            &request.model,
            new_tokens,
            self.last_token.map(|last| now.since(last)),
        );
        self.last_token = Some(now);
        if let Stage::Streaming(stream) = &mut self.stage {
            stream.silence_start = now;
        }
    }

    /// Releases the slot of a complete response, stores the response and records its metrics.
    fn complete(&mut self, mut summary: Summary) -> Summary {
        if let Stage::Streaming(mut stream) = mem::replace(&mut self.stage, Stage::Ended) {
            stream.cancel.disarm();
            let believed = stream.slot.believed_cached_tokens();
            self.worker.state.metrics.count_believed_cached(&self.input.request.model, believed);
            let Summary { answer_tokens, prompt_tokens, cached_tokens, .. } = summary;
            let ending = load::Ending::Done { prompt_tokens, cached_tokens, answer_tokens };
            stream.slot.finish(ending);
            self.input.queue.record_prompt_tokens(self.input.prompt_bytes, prompt_tokens);
            summary.outcome = stream.answering.complete();
        }
        self.store_answer(summary.prompt_tokens);
        let request = &self.input.request;
        let span = self.worker.state.clock.now().since(request.arrived);
        let class = document::Class::of(request.prompt_tokens);
        let prompt = (summary.prompt_tokens, summary.cached_tokens);
        self.worker.state.metrics.observe_completion(class, &request.model, span, prompt);
        summary
    }
}

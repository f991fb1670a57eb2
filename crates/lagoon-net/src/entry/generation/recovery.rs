//! Recovery of a stream that broke off or is silent: resume it on its engine, or move the call to
//! another engine.

use std::mem;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::lifecycle::stream;
use lagoonline::load;
use lagoonline::outcome::{Reason, Step};

use super::{Generation, Stage, Stream, Summary, dispatch};
use crate::engine;
use crate::entry::fault;
use crate::entry::interrupt;

/// Tries to resume a broken stream at the same chunk before the call moves to another engine.
const MAX_RESUMES: u32 = 3;
/// Tries to resume a silent stream at the same chunk.
const MAX_SILENT_RESUMES: u32 = 1;
/// Pause before the second try; it grows by the same amount with each further one.
const RESUME_PAUSE: clock::Span = clock::Span::from_millis(20);

/// Result of resuming a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Resumption {
    /// The stream continues.
    Resumed,
    /// The engine did not respond in time.
    Silent,
    /// The stream cannot be resumed: the engine no longer has it or refused the call, no connection
    /// was established, or all [`MAX_RESUMES`] tries at this chunk are used up.
    Unavailable,
}

impl Stream {
    /// Returns whether to resume a silent stream, which must have delivered a token. After
    /// [`MAX_SILENT_RESUMES`] tries at the current chunk it is not resumed: one try is enough to
    /// find out whether only the connection is dead while the engine still works. The comparison is
    /// for equality, so more tries at this chunk, made because the stream broke, do not prevent a
    /// resumption here.
    fn may_resume_silent(&self) -> bool {
        self.has_tokens && self.resumes != (self.checker.next(), MAX_SILENT_RESUMES)
    }
}

impl Generation {
    /// Handles a silence that has lasted too long. Returns an error only if the stream can be
    /// resumed or another engine could take the call.
    pub(super) fn handle_silence(&mut self) -> Result<Option<Summary>, engine::StreamError> {
        let now = self.worker.state.clock.now();
        let Stage::Streaming(stream) = &mut self.stage else {
            return Err(engine::StreamError::Truncated);
        };
        stream.silence_start = now;
        if stream.may_resume_silent() || self.can_move() {
            return Err(engine::StreamError::Silent);
        }
        Ok(None)
    }

    /// Returns whether the call may move to another engine and there is one that could take it.
    fn can_move(&self) -> bool {
        let Stage::Streaming(stream) = &self.stage else { return false };
        let may_move = self.delivered == 0 || self.input.continues;
        may_move && stream.slot.has_alternative(&self.input.request)
    }

    /// Recovers from a broken stream: resumes it on its engine, or dispatches the call again.
    pub(super) async fn recover(&mut self, error: engine::StreamError) -> Result<(), fault::Fault> {
        let Stage::Streaming(mut stream) = mem::replace(&mut self.stage, Stage::Ended) else {
            return Ok(());
        };
        let metrics = &self.worker.state.metrics;
        if let engine::StreamError::Violation(violation) = &error {
            metrics.count_refused_chunk(violation_name(violation));
        }
        let mut silent = error == engine::StreamError::Silent;
        let may_resume = match error {
            engine::StreamError::Aborted(_) => false,
            engine::StreamError::Silent => stream.may_resume_silent(),
            _ => true,
        };
        if may_resume {
            match self.resume(&mut stream).await {
                Ok(Resumption::Resumed) => {
                    metrics.count_resume("resumed");
                    self.stage = Stage::Streaming(stream);
                    return Ok(());
                }
                Ok(Resumption::Silent) => metrics.count_resume("failed"),
                Ok(Resumption::Unavailable) => {
                    metrics.count_resume("failed");
                    // Without the stream there is nothing to wait for: the call moves as after a
                    // broken stream.
                    silent = false;
                }
                Err(interrupt) => {
                    return Err(interrupt.fault(Step::Stream, stream.answering.broken().end()));
                }
            }
        }
        if silent {
            self.stage = Stage::Streaming(stream);
            if !self.can_move() {
                return Ok(());
            }
            let Stage::Streaming(moved) = mem::replace(&mut self.stage, Stage::Ended) else {
                return Ok(());
            };
            stream = moved;
        }
        let ending = if silent { load::Ending::Silent } else { load::Ending::Failed };
        let Stream { answering, slot, cancel, .. } = *stream;
        drop(cancel);
        let lost = answering.broken();
        let peer = slot.upstream().to_string();
        if self.delivered > 0 && !self.input.continues {
            slot.finish(ending);
            let fault = fault::new(Reason::UpstreamFailed, Step::Stream, lost.end());
            return Err(fault.at(peer).with_detail(error.to_string()));
        }
        let pending = lost.retry().map_err(|outcome| {
            fault::new(Reason::UpstreamFailed, Step::Stream, outcome).at(peer.as_str())
        })?;
        if pending.attempts() >= self.worker.state.settings.limits.max_attempts {
            slot.finish(ending);
            let fault = fault::new(Reason::UpstreamFailed, Step::Stream, pending.end());
            return Err(fault.at(peer).with_detail(error.to_string()));
        }
        metrics.count_retry(if silent { "silent" } else { "broken" });
        let decision = slot.retry(ending, self.input.request.clone());
        match self.run_attempts(pending, decision).await? {
            dispatch::Started::Streaming(stream) => self.stage = Stage::Streaming(stream),
            // The first dispatch of this call has already claimed the key, so nothing else can be
            // there.
            dispatch::Started::Existing(pending, ..) => {
                return Err(fault::new(Reason::Internal, Step::Claim, pending.end()));
            }
        }
        Ok(())
    }

    /// Resumes the stream of the same attempt at the next chunk.
    async fn resume(&self, stream: &mut Stream) -> Result<Resumption, interrupt::Interrupt> {
        let state = &self.worker.state;
        let (attempt, from) = (stream.answering.attempt(), stream.checker.next());
        if stream.resumes.0 != from {
            stream.resumes = (from, 0);
        }
        while stream.resumes.1 < MAX_RESUMES {
            let pause = RESUME_PAUSE * stream.resumes.1;
            stream.resumes.1 += 1;
            let work = async {
                tokio::time::sleep(pause).await;
                let owner = (&state.owner, &state.settings.zone);
                engine::resume(&self.worker.client, stream.address, attempt, owner, from).await
            };
            let (_, gap) = stream.slot.silence();
            let (now, deadline) = (state.clock.now(), self.input.call.deadline);
            let until = now + gap;
            let result = match interrupt::within(state, until.min(deadline), work).await {
                Ok(result) => result,
                Err(interrupt::Interrupt::Deadline) if until < deadline => {
                    return Ok(Resumption::Silent);
                }
                Err(interrupt) => return Err(interrupt),
            };
            match result {
                Ok(events) => {
                    stream.events = events;
                    return Ok(Resumption::Resumed);
                }
                Err(engine::Failure::Lost(_)) => {}
                Err(
                    engine::Failure::NoStream
                    | engine::Failure::Refused(_)
                    | engine::Failure::Unsent(_),
                ) => return Ok(Resumption::Unavailable),
            }
        }
        Ok(Resumption::Unavailable)
    }
}

/// Returns the metric label of a violation. A chunk of another attempt is labelled `crossed`.
fn violation_name(violation: &stream::Violation) -> &'static str {
    match violation {
        stream::Violation::WrongAttempt => "crossed",
        stream::Violation::Repeated { .. } => "repeated",
        stream::Violation::Gap { .. } => "gap",
        stream::Violation::Count { .. } => "count",
        stream::Violation::AfterEnd => "after_end",
    }
}

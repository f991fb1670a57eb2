//! Recovery of a stream that broke off or is silent: resume it on its engine, or move the call to
//! another engine.

use std::mem;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::lifecycle::stream;
use lagoonline::load;
use lagoonline::outcome::{Reason, Step};

use super::{End, Open, Pull, Stage, dispatch};
use crate::engine;
use crate::entry::fault;
use crate::entry::limit;

/// Attempts to resume a broken stream at the same chunk before the call moves to another engine.
const RESUMES: u32 = 3;
/// Attempts to resume a silent stream at the same chunk.
const SILENT_RESUMES: u32 = 1;
/// Pause before the second attempt to resume; it grows by the same amount with each further one.
const RESUME_PAUSE: clock::Span = clock::Span::from_millis(20);

/// Result of resuming a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Resumed {
    /// The stream continues.
    On,
    /// The engine did not respond in time.
    Silent,
    /// The engine no longer has the stream.
    Gone,
}

impl Open {
    /// Returns whether to resume a silent stream. One attempt is enough to find out whether only
    /// the connection is dead while the engine still works.
    fn may_resume_silent(&self) -> bool {
        self.begun && self.resumed != (self.checker.next(), SILENT_RESUMES)
    }
}

impl Pull {
    /// Handles a silence that has lasted too long. Returns an error only if the stream can be
    /// resumed or another engine could take the call.
    pub(super) fn silent(&mut self) -> Result<Option<End>, engine::StreamError> {
        let now = self.worker.state.clock.now();
        let Stage::Open(open) = &mut self.stage else { return Err(engine::StreamError::Truncated) };
        open.heard = now;
        if open.may_resume_silent() || self.is_better_elsewhere() {
            return Err(engine::StreamError::Silent);
        }
        Ok(None)
    }

    /// Returns whether the call may move and another engine could take it from its silent one.
    fn is_better_elsewhere(&self) -> bool {
        let Stage::Open(open) = &self.stage else { return false };
        let may_move = self.delivered == 0 || self.job.continues;
        may_move && open.place.is_better_elsewhere(&self.job.ask)
    }

    /// Recovers from a broken stream: resumes it on its engine, or dispatches the call again.
    pub(super) async fn mend(&mut self, broken: engine::StreamError) -> Result<(), fault::Fault> {
        let Stage::Open(mut open) = mem::replace(&mut self.stage, Stage::Over) else {
            return Ok(());
        };
        let metrics = &self.worker.state.metrics;
        if let engine::StreamError::Violation(violation) = &broken {
            metrics.chunk_refused(violation_name(violation));
        }
        let mut silent = broken == engine::StreamError::Silent;
        let resumes = match broken {
            engine::StreamError::Aborted(_) => false,
            engine::StreamError::Silent => open.may_resume_silent(),
            _ => true,
        };
        if resumes {
            match self.resume(&mut open).await {
                Ok(Resumed::On) => {
                    metrics.resume("resumed");
                    self.stage = Stage::Open(open);
                    return Ok(());
                }
                Ok(Resumed::Silent) => metrics.resume("failed"),
                Ok(Resumed::Gone) => {
                    metrics.resume("failed");
                    silent = false;
                }
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
        let held = lost.retry().map_err(|outcome| {
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
            // The first dispatch of this call has already claimed the key, so nothing else can be
            // there.
            dispatch::Opened::Found(held, ..) => {
                return Err(fault::new(Reason::Internal, Step::Claim, held.end()));
            }
        }
        Ok(())
    }

    /// Resumes the stream of the same attempt at the next chunk.
    async fn resume(&self, open: &mut Open) -> Result<Resumed, limit::Stop> {
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
                let who = (&state.owner, &state.settings.zone);
                engine::resume(&self.worker.client, open.address, attempt, who, from).await
            };
            let (_, gap) = open.place.silence();
            let (now, deadline) = (state.clock.now(), self.job.call.deadline);
            let until = now + gap;
            let result = match limit::within(state, until.min(deadline), work).await {
                Ok(result) => result,
                Err(limit::Stop::Deadline) if until < deadline => return Ok(Resumed::Silent),
                Err(stop) => return Err(stop),
            };
            match result {
                Ok(events) => {
                    open.events = events;
                    return Ok(Resumed::On);
                }
                Err(engine::Failure::Lost(_)) => {}
                Err(
                    engine::Failure::NoStream
                    | engine::Failure::Refused(_)
                    | engine::Failure::Unsent(_),
                ) => return Ok(Resumed::Gone),
            }
        }
        Ok(Resumed::Gone)
    }
}

fn violation_name(violation: &stream::Violation) -> &'static str {
    match violation {
        stream::Violation::WrongAttempt => "crossed",
        stream::Violation::Repeated { .. } => "repeated",
        stream::Violation::Gap { .. } => "gap",
        stream::Violation::Count { .. } => "count",
        stream::Violation::AfterEnd => "after_end",
    }
}

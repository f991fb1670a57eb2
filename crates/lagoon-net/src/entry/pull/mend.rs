//! What to do about a stream that broke off or is silent: take it up again, or go elsewhere.

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

/// Tries to take a broken stream up again on its own engine before going elsewhere.
const RESUMES: u32 = 3;
/// The same for a stream that is silent.
const SILENT_RESUMES: u32 = 1;
/// Pause before the second such try; it grows by as much with each.
const RESUME_PAUSE: clock::Span = clock::Span::from_millis(20);

/// What came of taking a stream up again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Resumed {
    /// It goes on.
    On,
    /// The engine did not say.
    Silent,
    /// The engine has it no longer.
    Gone,
}

impl Open {
    /// Whether taking up a silent stream again is still worth a try: a connection may be dead
    /// while its engine lives, but once shows that.
    fn may_resume_silent(&self) -> bool {
        self.begun && self.resumed != (self.checker.next(), SILENT_RESUMES)
    }
}

impl Pull {
    /// What a silence leads to: a broken stream where something can be done about it.
    pub(super) fn silent(&mut self) -> Result<Option<End>, engine::Broken> {
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

    /// Takes a broken answer up again: on its own engine, or elsewhere.
    pub(super) async fn mend(&mut self, broken: engine::Broken) -> Result<(), fault::Fault> {
        let Stage::Open(mut open) = mem::replace(&mut self.stage, Stage::Over) else {
            return Ok(());
        };
        let metrics = &self.worker.state.metrics;
        if let engine::Broken::Violation(violation) = &broken {
            metrics.chunk_refused(violation_name(violation));
        }
        let mut silent = broken == engine::Broken::Silent;
        let resumes = match broken {
            engine::Broken::GivenUp(_) => false,
            engine::Broken::Silent => open.may_resume_silent(),
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
            // Its key is this call's since its first dispatch.
            dispatch::Opened::Found(held, ..) => {
                return Err(fault::new(Reason::Internal, Step::Claim, held.end()));
            }
        }
        Ok(())
    }

    /// Takes the same attempt's stream up where it broke off.
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

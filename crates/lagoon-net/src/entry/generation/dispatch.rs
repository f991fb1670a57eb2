//! Acquires a slot and dispatches the call until a response starts or the attempts are used up.

use std::future;
use std::pin;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::request;
use lagoonline::lifecycle::stream;
use lagoonline::load;
use lagoonline::outcome::{Outcome, Reason, Step};

use super::{Generation, Stream, idempotency};
use crate::engine;
use crate::entry::admission;
use crate::entry::call;
use crate::entry::cancel;
use crate::entry::fault;
use crate::entry::group;
use crate::entry::interrupt;

impl Generation {
    /// Dispatches the call until a response starts. Fails when the attempts are used up or the call
    /// must not be dispatched again.
    pub(super) async fn run_attempts(
        &mut self,
        mut pending: request::Pending,
        mut decision: admission::Decision,
    ) -> Result<Started, fault::Fault> {
        // Counts rounds, not dispatches: a round whose group reservation fails dispatches nothing,
        // and must be limited too.
        for round in 1.. {
            let slot = match self.acquire_slot(decision).await {
                Ok(slot) => slot,
                Err(fault) => return Err(fault.with_outcome(pending.end())),
            };
            let (retry, ending, cause) = match self.dispatch(pending, slot).await? {
                Attempted::Streaming(stream) => return Ok(Started::Streaming(stream)),
                Attempted::Existing(pending, slot, existing) => {
                    return Ok(Started::Existing(pending, Box::new(slot), existing));
                }
                Attempted::Retry(pending, slot, ending, cause) => ((pending, slot), ending, cause),
            };
            let (next, slot) = retry;
            if round >= self.worker.state.settings.limits.max_attempts {
                let peer = slot.upstream().to_string();
                slot.finish(ending);
                let reason = exhausted_reason(ending);
                return Err(fault::new(reason, Step::Dispatch, next.end()).at(peer));
            }
            self.worker.state.metrics.count_retry(cause);
            pending = next;
            decision = slot.retry(ending, self.input.request.clone());
        }
        Err(fault::new(Reason::Internal, Step::Dispatch, pending.end()))
    }

    /// Returns the slot of a decision, waiting for it if necessary.
    async fn acquire_slot(
        &self,
        decision: admission::Decision,
    ) -> Result<admission::Slot, fault::Fault> {
        let queued = match decision {
            admission::Decision::Slot(slot) => return Ok(slot),
            admission::Decision::Refused(failure) => return Err(failure.into()),
            admission::Decision::Queued(queued) => queued,
        };
        let grant =
            interrupt::within(&self.worker.state, self.input.call.deadline, queued.granted()).await;
        match grant {
            Ok(grant) => grant.map_err(fault::Fault::from),
            Err(interrupt) => Err(interrupt.fault(Step::Queue, Outcome::NotRun)),
        }
    }

    /// Makes one attempt: reserves memory for a group, claims the key and sends the call.
    async fn dispatch(
        &mut self,
        pending: request::Pending,
        slot: admission::Slot,
    ) -> Result<Attempted, fault::Fault> {
        let worker = self.worker.clone();
        let state = &worker.state;
        let upstream = slot.upstream().clone();
        let view = state.view();
        let Some(listed) = view.fleet.upstream(&upstream) else {
            return Ok(Attempted::Retry(pending, slot, load::Ending::Leaving, "unknown_upstream"));
        };
        let (attempt, address) = (call::random_id(), listed.entry.address);
        log::debug!(
            "dispatching attempt {attempt} to {upstream}, prompt tokens {}, believed cached {}",
            self.input.request.prompt_tokens,
            slot.believed_cached_tokens(),
        );
        let group = match self.reserve(&slot).await {
            Ok(group) => group,
            Err(ReserveError::Interrupt(interrupt)) => {
                return Err(interrupt.fault(Step::Route, pending.end()));
            }
            Err(ReserveError::Engine(failure)) => {
                let full = failure == engine::Failure::Refused(engine::Refusal::Full);
                let ending = if full { load::Ending::Full } else { load::Ending::Failed };
                return Ok(Attempted::Retry(pending, slot, ending, "group"));
            }
        };
        match self.claim(&upstream, attempt).await {
            Ok(None) if self.delivered > 0 && !self.input.continues => {
                return Err(stream_gone(pending.end(), &upstream));
            }
            Ok(None) => {}
            Ok(Some(existing)) => return Ok(Attempted::Existing(pending, slot, existing)),
            Err(fault) if pending.attempts() == 0 => return Err(fault),
            Err(fault) => return Err(fault.with_outcome(pending.end())),
        }
        let parameters = self.new_request(attempt, &slot, group.as_ref());
        let dispatched = pending.dispatch(attempt);
        let mut cancel = cancel::Guard::new(state, address, cancel::Holding::Stream(attempt));
        let sent = state.clock.now();
        let work = engine::generate(&self.worker.client, address, &parameters);
        let result = match self.wait_for_head(&slot, sent, work).await {
            Ok(Some(result)) => result,
            Ok(None) => {
                state.metrics.count_attempt("silent");
                return retry_lost(dispatched, slot, load::Ending::Silent, "silent");
            }
            Err(interrupt) => {
                let fault = interrupt.fault(Step::Dispatch, dispatched.lost().end());
                return Err(fault.at(upstream.as_str()));
            }
        };
        let failure = match result {
            Ok(mut events) => {
                state.metrics.count_attempt("answered");
                if let Some(load) = events.take_load() {
                    self.input.queue.observe(&upstream, &load);
                    state.link.record_load(&upstream, &load);
                }
                let checker = stream::Checker::starting_at(attempt, self.delivered);
                let answering = dispatched.answering();
                let resumes = (self.delivered, 0);
                let stream = Stream {
                    answering,
                    events,
                    checker,
                    slot,
                    cancel,
                    _group: group,
                    address,
                    resumes,
                    silence_start: sent,
                    has_tokens: false,
                };
                return Ok(Attempted::Streaming(Box::new(stream)));
            }
            Err(failure) => failure,
        };
        if matches!(failure, engine::Failure::Unsent(_) | engine::Failure::Refused(_)) {
            cancel.disarm();
        }
        self.resolve_failure(dispatched, slot, failure)
    }

    /// Decides whether a failed dispatch is retried or reported to the caller.
    fn resolve_failure(
        &self,
        dispatched: request::Dispatched,
        slot: admission::Slot,
        failure: engine::Failure,
    ) -> Result<Attempted, fault::Fault> {
        let state = &self.worker.state;
        let upstream = slot.upstream().clone();
        let peer = upstream.as_str();
        match failure {
            engine::Failure::Unsent(_) => {
                state.metrics.count_attempt("unsent");
                Ok(Attempted::Retry(dispatched.refused(), slot, load::Ending::Failed, "unsent"))
            }
            engine::Failure::Refused(engine::Refusal::TooLong) => {
                state.metrics.count_attempt("too_long");
                // Not `Failed`: the refusal is due to the prompt and must not count against the
                // engine.
                slot.finish(load::Ending::Abandoned);
                let outcome = dispatched.refused().end();
                Err(fault::new(Reason::TooLong, Step::Dispatch, outcome).at(peer))
            }
            engine::Failure::Refused(refusal) => {
                state.metrics.count_attempt(refusal.as_str());
                let ending = match refusal {
                    engine::Refusal::Full => load::Ending::Full,
                    engine::Refusal::Leaving => {
                        state.set_leaving(&upstream, true);
                        state.link.report_leaving(&upstream);
                        load::Ending::Leaving
                    }
                    engine::Refusal::UnknownModel
                    | engine::Refusal::TooLong
                    | engine::Refusal::AttemptExists => load::Ending::Failed,
                };
                Ok(Attempted::Retry(dispatched.refused(), slot, ending, refusal.as_str()))
            }
            engine::Failure::NoStream | engine::Failure::Lost(_) => {
                state.metrics.count_attempt("lost");
                retry_lost(dispatched, slot, load::Ending::Failed, "lost")
            }
        }
    }

    /// Waits for the response head. Returns `None` when the engine has been silent for too long and
    /// another upstream could take the request.
    async fn wait_for_head<F>(
        &self,
        slot: &admission::Slot,
        sent: clock::Moment,
        work: F,
    ) -> Result<Option<F::Output>, interrupt::Interrupt>
    where
        F: future::Future,
    {
        let state = &self.worker.state;
        let deadline = self.input.call.deadline;
        let (silence, _) = slot.silence();
        let mut work = pin::pin!(work);
        let mut silence_start = sent;
        loop {
            let until = silence_start + silence;
            match interrupt::within(state, until.min(deadline), work.as_mut()).await {
                Ok(result) => return Ok(Some(result)),
                Err(interrupt::Interrupt::Deadline) if until < deadline => {}
                Err(interrupt) => return Err(interrupt),
            }
            if slot.has_alternative(&self.input.request) {
                return Ok(None);
            }
            silence_start = state.clock.now();
        }
    }

    /// Reserves KV memory on the engines of a group. Returns `None` for a prompt that one engine
    /// holds, which is the usual case.
    async fn reserve(&self, slot: &admission::Slot) -> Result<Option<group::Group>, ReserveError> {
        let members = slot.group_members();
        if members.is_empty() {
            return Ok(None);
        }
        let state = &self.worker.state;
        let left = self.input.call.time_left(state);
        let work = group::reserve(state, &self.worker.client, &members, left);
        let result = interrupt::within(state, self.input.call.deadline, work).await;
        let result = result.map_err(ReserveError::Interrupt)?;
        result.map(Some).map_err(ReserveError::Engine)
    }

    /// Builds the request of an attempt.
    fn new_request(
        &self,
        attempt: id::Attempt,
        slot: &admission::Slot,
        group: Option<&group::Group>,
    ) -> engine::Request {
        let state = &self.worker.state;
        engine::Request {
            attempt,
            owner: state.owner.clone(),
            zone: state.settings.zone.clone(),
            time_left: self.input.call.time_left(state),
            priority: slot.priority(),
            model: self.input.request.model.clone(),
            max_answer_tokens: self.input.request.answer_tokens,
            skip_tokens: self.delivered,
            group: group.map(|group| group.header.clone()).unwrap_or_default(),
            body: self.input.body.clone(),
        }
    }
}

/// Error for a caller that asks for the rest of a stream which can neither be resumed nor
/// continued.
///
/// Guards against returning the rest of a different response to the same prompt: the joined text
/// would look complete but be wrong. Where the model does not allow continuing on another engine,
/// the caller gets this error and has to request the whole response again.
fn stream_gone(outcome: Outcome, upstream: &id::Upstream) -> fault::Fault {
    let fault = fault::new(Reason::UpstreamFailed, Step::Dispatch, outcome);
    fault.at(upstream.as_str()).with_detail("the stream that was named is gone")
}

/// Reason why no group was reserved.
enum ReserveError {
    /// The deadline passed or the drain was cut short.
    Interrupt(interrupt::Interrupt),
    /// An engine of the group refused or could not be reached.
    Engine(engine::Failure),
}

/// Result of all attempts.
pub(super) enum Started {
    Streaming(Box<Stream>),
    /// Nothing was sent, because the call's idempotency key is already in use.
    Existing(request::Pending, Box<admission::Slot>, idempotency::Existing),
}

#[derive(Debug)]
enum Attempted {
    Streaming(Box<Stream>),
    /// The call's idempotency key is already in use.
    Existing(request::Pending, admission::Slot, idempotency::Existing),
    /// The call may be dispatched again. Holds the slot to release, how its attempt ended, and the
    /// value of the `cause` label of the retry metric.
    Retry(request::Pending, admission::Slot, load::Ending, &'static str),
}

/// Decides whether a dispatch whose result is unknown is retried or reported to the caller.
fn retry_lost(
    dispatched: request::Dispatched,
    slot: admission::Slot,
    ending: load::Ending,
    cause: &'static str,
) -> Result<Attempted, fault::Fault> {
    let lost = dispatched.lost().retry().map_err(|outcome| {
        let fault = fault::new(Reason::UpstreamFailed, Step::Dispatch, outcome);
        fault.at(slot.upstream().as_str())
    })?;
    Ok(Attempted::Retry(lost, slot, ending, cause))
}

/// Returns the failure reason of a call whose attempts are used up, by how the last one ended.
fn exhausted_reason(ending: load::Ending) -> Reason {
    match ending {
        load::Ending::Full => Reason::Saturated,
        load::Ending::Leaving => Reason::NoUpstream,
        load::Ending::Done { .. }
        | load::Ending::Failed
        | load::Ending::Silent
        | load::Ending::Abandoned => Reason::UpstreamFailed,
    }
}

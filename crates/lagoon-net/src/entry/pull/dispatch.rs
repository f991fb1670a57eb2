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

use super::{Open, Pull, key};
use crate::engine;
use crate::entry::call;
use crate::entry::cancel;
use crate::entry::desk;
use crate::entry::fault;
use crate::entry::group;
use crate::entry::limit;

impl Pull {
    /// Dispatches the call until a response starts. Fails when the attempts are used up or the call
    /// must not be dispatched again.
    pub(super) async fn open(
        &mut self,
        mut held: request::Pending,
        mut offer: desk::Offer,
    ) -> Result<Opened, fault::Fault> {
        // Counts rounds, not dispatches: a round whose group reservation fails dispatches nothing.
        for round in 1.. {
            let place = match self.seat(offer).await {
                Ok(place) => place,
                Err(fault) => return Err(fault.with_outcome(held.end())),
            };
            let (back, ending, cause) = match self.dispatch(held, place).await? {
                Sent::Open(open) => return Ok(Opened::Open(open)),
                Sent::Found(held, place, found) => return Ok(Opened::Found(held, place, found)),
                Sent::Back(back, place, ending, cause) => ((back, place), ending, cause),
            };
            let (next, place) = back;
            if round >= self.worker.state.settings.limits.attempts {
                let peer = place.upstream().to_string();
                place.finish(ending);
                let reason = exhausted(ending);
                return Err(fault::new(reason, Step::Dispatch, next.end()).at(peer));
            }
            self.worker.state.metrics.retry(cause);
            held = next;
            offer = place.again(ending, self.job.ask.clone());
        }
        Err(fault::new(Reason::Internal, Step::Dispatch, held.end()))
    }

    /// Returns the slot of a decision, waiting for it if necessary.
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

    /// Makes one attempt: reserves memory for a group, claims the key and sends the call.
    async fn dispatch(
        &mut self,
        held: request::Pending,
        place: desk::Place,
    ) -> Result<Sent, fault::Fault> {
        let worker = self.worker.clone();
        let state = &worker.state;
        let upstream = place.upstream().clone();
        let view = state.view();
        let Some(known) = view.fleet.upstream(&upstream) else {
            return Ok(Sent::Back(held, place, load::Ending::Leaving, "unknown_upstream"));
        };
        let (attempt, address) = (call::new_attempt(), known.entry.address);
        let group = match self.reserve(&place).await {
            Ok(group) => group,
            Err(Unreserved::Stop(stop)) => return Err(stop.fault(Step::Route, held.end())),
            Err(Unreserved::Engine(failure)) => {
                let full = failure == engine::Failure::Refused(engine::Refusal::Full);
                let ending = if full { load::Ending::Full } else { load::Ending::Failed };
                return Ok(Sent::Back(held, place, ending, "group"));
            }
        };
        match self.claim(&upstream, attempt).await {
            Ok(None) if self.delivered > 0 && !self.job.continues => {
                return Err(torn(held.end(), &upstream));
            }
            Ok(None) => {}
            Ok(Some(found)) => return Ok(Sent::Found(held, place, found)),
            Err(fault) if held.attempts() == 0 => return Err(fault),
            Err(fault) => return Err(fault.with_outcome(held.end())),
        }
        let order = self.order(attempt, &place, group.as_ref());
        let dispatched = held.dispatch(attempt);
        let mut cancel = cancel::Guard::new(state, address, cancel::Holding::Stream(attempt));
        let sent = state.clock.now();
        let work = engine::generate(&self.worker.client, address, &order);
        let result = match self.head(&place, sent, work).await {
            Ok(Some(result)) => result,
            Ok(None) => {
                state.metrics.attempt("silent");
                return back_lost(dispatched, place, load::Ending::Silent, "silent");
            }
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
                let open = Open {
                    answering,
                    events,
                    checker,
                    place,
                    cancel,
                    _group: group,
                    address,
                    resumed,
                    heard: sent,
                    begun: false,
                };
                return Ok(Sent::Open(Box::new(open)));
            }
            Err(failure) => failure,
        };
        if matches!(failure, engine::Failure::Unsent(_) | engine::Failure::Refused(_)) {
            cancel.disarm();
        }
        self.after(dispatched, place, failure)
    }

    /// Decides whether a failed dispatch is retried or reported to the caller.
    fn after(
        &self,
        dispatched: request::Dispatched,
        place: desk::Place,
        failure: engine::Failure,
    ) -> Result<Sent, fault::Fault> {
        let state = &self.worker.state;
        let upstream = place.upstream().clone();
        let peer = upstream.as_str();
        match failure {
            engine::Failure::Unsent(_) => {
                state.metrics.attempt("unsent");
                Ok(Sent::Back(dispatched.refused(), place, load::Ending::Failed, "unsent"))
            }
            engine::Failure::Refused(engine::Refusal::TooLong) => {
                state.metrics.attempt("too_long");
                place.finish(load::Ending::Abandoned);
                let outcome = dispatched.refused().end();
                Err(fault::new(Reason::TooLong, Step::Dispatch, outcome).at(peer))
            }
            engine::Failure::Refused(refusal) => {
                state.metrics.attempt(refusal.as_str());
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
                back_lost(dispatched, place, load::Ending::Failed, "lost")
            }
        }
    }

    /// Waits for the response head. Returns `None` when the engine has been silent for too long and
    /// another upstream could take the request.
    async fn head<F>(
        &self,
        place: &desk::Place,
        sent: clock::Moment,
        work: F,
    ) -> Result<Option<F::Output>, limit::Stop>
    where
        F: future::Future,
    {
        let state = &self.worker.state;
        let deadline = self.job.call.deadline;
        let (silence, _) = place.silence();
        let mut work = pin::pin!(work);
        let mut heard = sent;
        loop {
            let until = heard + silence;
            match limit::within(state, until.min(deadline), work.as_mut()).await {
                Ok(result) => return Ok(Some(result)),
                Err(limit::Stop::Deadline) if until < deadline => {}
                Err(stop) => return Err(stop),
            }
            if place.is_better_elsewhere(&self.job.ask) {
                return Ok(None);
            }
            heard = state.clock.now();
        }
    }

    /// Reserves KV memory on the engines of a group. Returns `None` for a prompt that one engine
    /// holds, which is the usual case.
    async fn reserve(&self, place: &desk::Place) -> Result<Option<group::Group>, Unreserved> {
        let members = place.group();
        if members.is_empty() {
            return Ok(None);
        }
        let state = &self.worker.state;
        let left = self.job.call.left(state);
        let work = group::reserve(state, &self.worker.client, &members, left);
        let result = limit::within(state, self.job.call.deadline, work).await;
        let result = result.map_err(Unreserved::Stop)?;
        result.map(Some).map_err(Unreserved::Engine)
    }

    /// Builds the request of an attempt.
    fn order(
        &self,
        attempt: id::Attempt,
        place: &desk::Place,
        group: Option<&group::Group>,
    ) -> engine::Request {
        let state = &self.worker.state;
        engine::Request {
            attempt,
            owner: state.owner.clone(),
            zone: state.settings.zone.clone(),
            time_left: self.job.call.left(state),
            priority: place.priority(),
            model: self.job.ask.model.clone(),
            answer_tokens: self.job.ask.answer_tokens,
            skip_tokens: self.delivered,
            group: group.map(|group| group.header.clone()).unwrap_or_default(),
            body: self.job.body.clone(),
        }
    }
}

/// Error for a stream that can neither be resumed nor continued.
///
/// Guards against a caller that resumes a stream which no longer exists and gets the rest of a
/// different response to the same prompt: the joined text would look complete but be wrong. Where
/// the model does not allow continuing on another engine, the caller gets this error and has to
/// request the whole response again.
fn torn(outcome: Outcome, upstream: &id::Upstream) -> fault::Fault {
    let fault = fault::new(Reason::UpstreamFailed, Step::Dispatch, outcome);
    fault.at(upstream.as_str()).with_detail("the stream that was named is gone")
}

/// Reason why no group was reserved.
enum Unreserved {
    /// The deadline passed or the drain was cut short.
    Stop(limit::Stop),
    /// An engine of the group refused or could not be reached.
    Engine(engine::Failure),
}

/// Result of all attempts.
pub(super) enum Opened {
    Open(Box<Open>),
    /// Nothing was sent, because the call's idempotency key is already in use.
    Found(request::Pending, desk::Place, key::Found),
}

#[derive(Debug)]
enum Sent {
    Open(Box<Open>),
    /// The call's idempotency key is already in use.
    Found(request::Pending, desk::Place, key::Found),
    /// The call may be dispatched again. Holds the slot to release, how its attempt ended, and the
    /// value of the `cause` label of the retry metric.
    Back(request::Pending, desk::Place, load::Ending, &'static str),
}

/// Decides whether a dispatch whose result is unknown is retried or reported to the caller.
fn back_lost(
    dispatched: request::Dispatched,
    place: desk::Place,
    ending: load::Ending,
    cause: &'static str,
) -> Result<Sent, fault::Fault> {
    let lost = dispatched.lost().retry().map_err(|outcome| {
        let fault = fault::new(Reason::UpstreamFailed, Step::Dispatch, outcome);
        fault.at(place.upstream().as_str())
    })?;
    Ok(Sent::Back(lost, place, ending, cause))
}

/// Returns the error for a call whose attempts are used up, by how the last one ended.
fn exhausted(ending: load::Ending) -> Reason {
    match ending {
        load::Ending::Full => Reason::Saturated,
        load::Ending::Leaving => Reason::NoUpstream,
        load::Ending::Done { .. }
        | load::Ending::Failed
        | load::Ending::Silent
        | load::Ending::Abandoned => Reason::UpstreamFailed,
    }
}

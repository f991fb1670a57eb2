//! Placement by the zone's scheduler: one host places requests for all hosts of its zone. This
//! module holds both sides, the host that asks and the scheduler that answers.

use std::collections;
use std::sync;
use std::time;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::{placement, retry};
use lagoonline::routing;
use rand::Rng;
use tokio::sync::oneshot;

use crate::event;
use crate::in_flight;
use crate::mesh;
use crate::message;
use crate::place;
use crate::question;
use crate::state;

/// Timeout for a scheduler's answer. Hosts of a zone are well below a millisecond apart, but one
/// that shares its core may be stalled for some tens of milliseconds.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(60);
/// Maximum number of hosts that are asked in one try to place a request: the leader, then the next
/// candidate by rank. After that this host places the request itself.
const MAX_CANDIDATES_ASKED: usize = 2;

/// Questions of this host that have no answer yet, by dispatch number.
#[derive(Debug, Default)]
pub(crate) struct PendingQuestions {
    senders: sync::Mutex<collections::HashMap<u64, oneshot::Sender<question::Answer>>>,
}

impl PendingQuestions {
    /// Registers a question for the dispatch `number` and returns the handle that receives its
    /// answer.
    fn register(&self, number: u64) -> PendingQuestion<'_> {
        let (sender, receiver) = oneshot::channel();
        state::lock(&self.senders).insert(number, sender);
        PendingQuestion { questions: self, number, receiver }
    }

    /// Delivers an answer to the request that waits for it.
    pub(crate) fn deliver(&self, answer: question::Answer) {
        let waiting = state::lock(&self.senders).remove(&answer.number);
        // A late answer has no receiver any more; the other hosts were already told that its
        // dispatch ended.
        if let Some(waiting) = waiting {
            drop(waiting.send(answer));
        }
    }
}

/// A question without an answer yet. Dropping it unregisters the question, for example when the
/// caller disconnects.
#[derive(Debug)]
struct PendingQuestion<'a> {
    questions: &'a PendingQuestions,
    number: u64,
    receiver: oneshot::Receiver<question::Answer>,
}

impl Drop for PendingQuestion<'_> {
    fn drop(&mut self) {
        state::lock(&self.questions.senders).remove(&self.number);
    }
}

/// The result of placing a dispatch, and which host decided it.
#[derive(Debug)]
pub(crate) struct PlacementResult {
    pub(crate) id: placement::DispatchId,
    pub(crate) decider: in_flight::Decider,
    pub(crate) result: Result<placement::Placement, placement::Refusal>,
}

/// Asks the zone's scheduler to place a request. Returns `None` if this host has to place it
/// itself: there is no scheduler, or none answers. `is_retry` if the request was sent before.
///
/// # Errors
///
/// The zone has no retry left for it.
pub(crate) async fn ask_scheduler(
    state: &state::State,
    service: &id::Service,
    request: &placement::Request<'_>,
    is_retry: bool,
    time_left: clock::Span,
) -> Option<Result<PlacementResult, place::Refusal>> {
    for _ in 0..MAX_CANDIDATES_ASKED {
        let (host, address) = state::lock(&state.peers).scheduler(state.clock.now())?;
        let id = state.next_dispatch_id();
        let question = question::Question::new(id.number, service, request, is_retry, time_left);
        let batch = message::Batch { questions: vec![question], ..message::Batch::default() };
        let batch = state.with_retry_report(batch);
        let mut pending = state.questions.register(id.number);
        state.send(address, &[state.encode_batch(batch)]);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, &mut pending.receiver).await;
        let decision = match answer {
            Ok(Ok(question::Answer { decision: Some(decision), .. })) => decision,
            Ok(_) => {
                skip_scheduler(state, &host, "no decision");
                continue;
            }
            Err(_) => {
                // The scheduler may have placed the dispatch, and only its answer is lost.
                state.publish_ended(service, id);
                skip_scheduler(state, &host, "no answer in time");
                continue;
            }
        };
        let by_scheduler =
            |result| Ok(PlacementResult { id, decider: in_flight::Decider::Scheduler, result });
        return match decision {
            question::Decision::NoRetry(_) => Some(Err(place::Refusal::NoRetry)),
            question::Decision::Refused(refused) => {
                Some(by_scheduler(Err(placement::Refusal::from(&refused))))
            }
            question::Decision::Placed(placed) => {
                let placement = state.with_placer(service, |placer, _| placed.placement(placer));
                let may_send = |placed: &placement::Placement| !is_withheld(state, request, placed);
                let placement = placement.flatten().filter(may_send);
                let Some(placement) = placement else {
                    state.publish_ended(service, id);
                    return None;
                };
                Some(by_scheduler(Ok(placement)))
            }
        };
    }
    None
}

/// Whether an upstream of `placement` must not get `request` now. The scheduler is told why.
fn is_withheld(
    state: &state::State,
    request: &placement::Request<'_>,
    placement: &placement::Placement,
) -> bool {
    let helpers = placement.helpers.iter().map(|helper| &helper.entry);
    let placed = std::iter::once(&placement.primary).chain(helpers);
    let excluded = placed.filter_map(|entry| {
        Some((entry, state.exclusion(entry, request.homes, routing::Work::New)?))
    });
    let excluded: Vec<_> = excluded.collect();
    for (entry, exclusion) in &excluded {
        state.tell_scheduler_why(entry, exclusion);
    }
    !excluded.is_empty()
}

/// Lets the roster skip a scheduler that did not answer or made no decision.
fn skip_scheduler(state: &state::State, host: &id::Host, why: &str) {
    state::lock(&state.peers).roster.skip(host, state.clock.now());
    state.metrics.schedulers_skipped.inc();
    // The scheduler is skipped for a while.
    event::Line::new("scheduler_passed").text("host", host).text("why", why).info();
}

/// Answers a question of the host incarnation `asking`. The decision is empty if this host is
/// shutting down or does not know yet which dispatches are in flight; the asking host then asks
/// another.
pub(crate) fn decide(
    state: &state::State,
    asking: u64,
    question: &question::Question,
) -> question::Answer {
    let decides =
        state.phase() == state::Phase::Serving && state.has_reached(state::SyncLevel::Dispatches);
    let decision = if decides { place(state, asking, question) } else { None };
    question::Answer { number: question.number, decision }
}

/// Places the dispatch in `question` and publishes it. Returns `None` if the service is not known
/// here.
fn place(
    state: &state::State,
    asking: u64,
    question: &question::Question,
) -> Option<question::Decision> {
    let service = id::Service::from(question.service.as_str());
    let avoid: Vec<_> =
        question.avoid.iter().map(|name| id::Upstream::from(name.as_str())).collect();
    let backoffs = state.backoffs_of(asking);
    let zone = &state.settings.node.zone;
    let customer = question.customer();
    let known = question::Known {
        avoid: &avoid,
        backoffs: &backoffs,
        hints: &state.backoff_hints(),
        customer: customer.as_ref(),
        eligibility: &state.eligibility(),
        homes: &question.homes(),
    };
    let request = question.request(asking, zone, known, rand::rng().random());
    if question.is_retry && state.retry_verdict(&service) != retry::Verdict::Allowed {
        return Some(question::Decision::NoRetry(message::Empty {}));
    }
    let own = state.incarnation;
    let id = placement::DispatchId { host: asking, number: question.number };
    let decided = state.with_placer(&service, |placer, now| {
        let placed = placer.place(&request, now)?;
        let dispatch = question.dispatch(id, &placed, now);
        let sent = message::Dispatch::new(&dispatch, now);
        placer.record_placing_host(own, now);
        placer.record_dispatch(dispatch, now);
        Ok::<_, placement::Refusal>((question::Placed::from(&placed), sent))
    })?;
    Some(match decided {
        Ok((placed, sent)) => {
            if question.is_retry {
                state.grant_retry(&service, asking);
            }
            state.queue_update(
                message::Update::about(id, &service, message::Kind::Sent(sent)),
                mesh::Audience::AllZones,
            );
            question::Decision::Placed(placed)
        }
        Err(refusal) => question::Decision::Refused(question::Refused::from(refusal)),
    })
}

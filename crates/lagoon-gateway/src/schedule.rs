//! Placement by the zone's scheduler: one host places requests for all hosts of its zone. This
//! module holds both sides, the host that asks and the scheduler that answers.

use std::collections;
use std::sync;
use std::time;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::placement;
use rand::Rng;
use tokio::sync::oneshot;

use crate::event;
use crate::mesh;
use crate::question;
use crate::state;
use crate::underway;
use crate::word;

/// Timeout for a scheduler's answer. Hosts of a zone are well below a millisecond apart, but one
/// that shares its core may be stalled for some tens of milliseconds.
const ANSWER: time::Duration = time::Duration::from_millis(60);
/// Maximum number of schedulers that are asked for one request before this host places it itself.
const ASKED: usize = 2;

/// Questions of this host that have no answer yet, by dispatch number.
#[derive(Debug, Default)]
pub(crate) struct Questions {
    open: sync::Mutex<collections::HashMap<u64, oneshot::Sender<question::Answer>>>,
}

impl Questions {
    /// Registers a question for the dispatch `number` and returns the handle that receives its
    /// answer.
    fn open(&self, number: u64) -> Open<'_> {
        let (sender, receiver) = oneshot::channel();
        state::lock(&self.open).insert(number, sender);
        Open { questions: self, number, receiver }
    }

    /// Delivers an answer to the request that waits for it.
    pub(crate) fn answer(&self, answer: question::Answer) {
        let waiting = state::lock(&self.open).remove(&answer.number);
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
struct Open<'a> {
    questions: &'a Questions,
    number: u64,
    receiver: oneshot::Receiver<question::Answer>,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        state::lock(&self.questions.open).remove(&self.number);
    }
}

/// The result of placing a dispatch, and which host decided it.
#[derive(Debug)]
pub(crate) struct Decided {
    pub(crate) id: placement::WorkId,
    pub(crate) decider: underway::Decider,
    pub(crate) result: Result<placement::Placement, placement::Refusal>,
}

/// Asks the zone's scheduler to place a request. Returns `None` if this host has to place it
/// itself: there is no scheduler, or none answers.
pub(crate) async fn ask(
    state: &state::State,
    service: &id::Service,
    demand: &placement::Demand<'_>,
    left: clock::Span,
) -> Option<Decided> {
    for _ in 0..ASKED {
        let (host, address) = state::lock(&state.peers).scheduler(state.clock.now())?;
        let id = state.next_work();
        let question = question::Question::new(id.number, service, demand, left);
        let batch = word::Batch { questions: vec![question], ..word::Batch::default() };
        let mut open = state.questions.open(id.number);
        state.send(address, &[state.batch(batch)]);
        let answer = tokio::time::timeout(ANSWER, &mut open.receiver).await;
        let decision = match answer {
            Ok(Ok(question::Answer { decision: Some(decision), .. })) => decision,
            Ok(_) => {
                pass_over(state, &host, "it does not decide now");
                continue;
            }
            Err(_) => {
                // The scheduler may have placed the dispatch, and only its answer is lost.
                state.say_ended(service, id);
                pass_over(state, &host, "no answer in time");
                continue;
            }
        };
        let decided = |result| Decided { id, decider: underway::Decider::Scheduler, result };
        return match decision {
            question::Decision::Refused(refused) => {
                Some(decided(Err(placement::Refusal::from(&refused))))
            }
            question::Decision::Placed(placed) => {
                let known = state.with_board(service, |board, _| placed.placement(board));
                let Some(placement) = known.flatten() else {
                    state.say_ended(service, id);
                    return None;
                };
                Some(decided(Ok(placement)))
            }
        };
    }
    None
}

fn pass_over(state: &state::State, host: &id::Host, why: &str) {
    state::lock(&state.peers).roster.passed(host, state.clock.now());
    state.metrics.schedulers_passed.inc();
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
    let decides = state.phase() == state::Phase::Serving && state.knows(state::Knowledge::Loads);
    let decision = if decides { place(state, asking, question) } else { None };
    question::Answer { number: question.number, decision }
}

fn place(
    state: &state::State,
    asking: u64,
    question: &question::Question,
) -> Option<question::Decision> {
    let service = id::Service::from(question.service.as_str());
    let avoid: Vec<_> =
        question.avoid.iter().map(|name| id::Upstream::from(name.as_str())).collect();
    let demand = question.demand(asking, &state.settings.node.zone, &avoid, rand::rng().random());
    let id = placement::WorkId { host: asking, number: question.number };
    let decided = state.with_board(&service, |board, now| {
        let placed = board.place(&demand, now)?;
        let work = question.work(id, &placed, now);
        let sent = word::Sent::new(&work, now);
        board.begin(work, now);
        Ok::<_, placement::Refusal>((question::Placed::from(&placed), sent))
    })?;
    Some(match decided {
        Ok((placed, sent)) => {
            state.say(word::Word::about(id, &service, word::What::Sent(sent)), mesh::Reach::All);
            question::Decision::Placed(placed)
        }
        Err(refusal) => question::Decision::Refused(question::Refused::from(refusal)),
    })
}

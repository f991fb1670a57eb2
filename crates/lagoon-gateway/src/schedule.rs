//! Where a request goes, in a zone in which one host decides for the others: the question of a
//! host, and the answer of the one that decides.

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

/// Time for an answer: hosts of a zone are well below a millisecond apart, and one that shares its
/// core may stand still for some tens of milliseconds.
const ANSWER: time::Duration = time::Duration::from_millis(60);
/// Hosts that are asked for one request before its own host decides.
const ASKED: usize = 2;

/// Questions of this host that wait for their answers.
#[derive(Debug, Default)]
pub(crate) struct Questions {
    open: sync::Mutex<collections::HashMap<u64, oneshot::Sender<question::Answer>>>,
}

impl Questions {
    /// Waits for the answer to the question about the dispatch `number`.
    fn open(&self, number: u64) -> Open<'_> {
        let (sender, receiver) = oneshot::channel();
        state::lock(&self.open).insert(number, sender);
        Open { questions: self, number, receiver }
    }

    /// An answer came.
    pub(crate) fn answer(&self, answer: question::Answer) {
        let waiting = state::lock(&self.open).remove(&answer.number);
        // An answer that comes too late finds nobody: its dispatch was told to have ended.
        if let Some(waiting) = waiting {
            drop(waiting.send(answer));
        }
    }
}

/// A question that waits for its answer; forgotten when nobody waits any more, as when its caller
/// leaves.
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

/// What was decided for a dispatch, and by whom.
#[derive(Debug)]
pub(crate) struct Decided {
    pub(crate) id: placement::DispatchId,
    pub(crate) decider: underway::Decider,
    pub(crate) result: Result<placement::Placement, placement::Refusal>,
}

/// Asks the host that schedules for the zone; `None` where this host is to decide by itself, or
/// none answers.
pub(crate) async fn ask(
    state: &state::State,
    service: &id::Service,
    demand: &placement::Request<'_>,
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
                // It may have decided all the same.
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
    state::lock(&state.peers).roster.skip(host, state.clock.now());
    state.metrics.schedulers_passed.inc();
    event::Line::new("scheduler_passed").text("host", host).text("why", why).info();
}

/// Decides a question of the life `asking`; a host that is about to end, or does not know yet what
/// is under way, leaves the decision to another.
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
    let id = placement::DispatchId { host: asking, number: question.number };
    let decided = state.with_board(&service, |board, now| {
        let placed = board.place(&demand, now)?;
        let work = question.work(id, &placed, now);
        let sent = word::Sent::new(&work, now);
        board.record_dispatch(work, now);
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

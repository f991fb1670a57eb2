//! Compares what ran with what callers were told. Claims are looked at only by `check_row`.

use std::collections::BTreeMap;

use lagoonline::clock::{self, Clock as _};
use lagoonline::lifecycle::claim;
use lagoonline::outcome::Outcome;

use super::upstream::Run;
use super::world::{Exchange, Response, Task, World};

/// Least time between two runs under one key. A key may run again after its retention of 24 hours,
/// which counts from the claim; the first run may be later than that by up to its deadline.
const MIN_RERUN_GAP: clock::Span = clock::Span::from_secs(23 * 3_600);

/// Invariants that hold after every step.
pub fn check(world: &World) {
    let runs = world.environment.upstream.runs();
    check_once(&runs);
    for task in &world.tasks {
        match &*task.exchange.response.borrow() {
            Some(response) => check_response(&task.exchange, response, &runs),
            None => check_unanswered(world, task),
        }
    }
}

fn check_once(runs: &[Run]) {
    let mut calls = BTreeMap::new();
    let mut keys = BTreeMap::<_, clock::Moment>::new();
    let mut at_most_once: Vec<_> = runs.iter().filter(|run| run.call.at_most_once).collect();
    at_most_once.sort_by_key(|run| run.dispatched);
    for run in at_most_once {
        assert!(calls.insert(run.call.number, ()).is_none(), "ran twice: {:?}", run.call);
        let Some(key) = run.call.key else { continue };
        if let Some(before) = keys.insert((run.call.customer, key), run.dispatched) {
            let apart = run.dispatched.since(before);
            assert!(apart > MIN_RERUN_GAP, "a key ran twice within {apart:?}: {:?}", run.call);
        }
    }
}

/// A caller whose host is running must be answered by its deadline.
fn check_unanswered(world: &World, task: &Task) {
    let overdue = world.environment.clock.now() >= task.exchange.deadline;
    let is_served = !task.crashed && !world.paused[task.exchange.host];
    assert!(!(overdue && is_served), "not answered by its deadline: {:?}", task.exchange.call);
}

fn check_response(exchange: &Exchange, response: &Response, runs: &[Run]) {
    let call = &exchange.call;
    let own = |run: &&Run| run.call.number == call.number;
    let same = |run: &&Run| {
        (run.call.customer, run.call.key, run.call.body) == (call.customer, call.key, call.body)
            && run.call.at_most_once == call.at_most_once
    };
    match response.outcome {
        Outcome::NotRun => {
            assert!(!runs.iter().any(|run| own(&run)), "told not-run but ran: {call:?}")
        }
        Outcome::Unknown => {}
        Outcome::Done => {
            let answer = response.answer.as_ref();
            let is_allowed = |run: &&Run| if response.replayed { same(run) } else { own(run) };
            let mut answers = runs.iter().filter(is_allowed).map(|run| &run.answer);
            assert!(
                answers.any(|ran| Some(ran) == answer),
                "answered with the answer of no matching run: {call:?} {response:?}"
            );
        }
    }
}

/// Invariants that hold once all faults are over and all tasks have ended.
pub fn check_end(world: &World) {
    check(world);
    assert!(world.is_idle(), "a task never ends");
    for task in &world.tasks {
        let response = task.exchange.response.borrow().is_some();
        assert!(response || task.crashed, "not answered: {:?}", task.exchange.call);
    }
    for value in world.environment.platform.values() {
        check_row(world, &value);
    }
}

/// A non-repeatable call that was never dispatched may hold its key only if its host died, its
/// write grace passed, or a sweep deleted the row that blocked its delayed commit.
fn check_row(world: &World, value: &str) {
    let record: claim::Record = serde_json::from_str(value).expect("a claim row");
    if !matches!(record.state, claim::State::Claimed { .. }) {
        return;
    }
    let task = &world.tasks[world.tokens[&record.token]];
    let dispatched = world.environment.dispatched.borrow().contains(&task.token);
    assert!(
        !task.exchange.call.at_most_once || dispatched || task.crashed || task.may_hold_key,
        "a key is blocked: {:?}",
        task.exchange.call
    );
}

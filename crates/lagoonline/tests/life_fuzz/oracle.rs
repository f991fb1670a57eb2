//! Compares what ran with what callers were told, without any knowledge of claims.

use std::collections::BTreeMap;

use lagoonline::clock::{self, Clock as _};
use lagoonline::lifecycle::claim;
use lagoonline::outcome::Outcome;

use super::upstream::Run;
use super::world::{Case, Task, Told, World};

/// Time after which a key may run again: the retention, less the deadline, as retention counts from
/// the claim.
const KEPT: clock::Span = clock::Span::from_secs(23 * 3_600);

/// Invariants that hold after every step.
pub fn check(world: &World) {
    let runs = world.outside.upstream.runs();
    check_once(&runs);
    for task in &world.tasks {
        match &*task.case.told.borrow() {
            Some(told) => check_told(&task.case, told, &runs),
            None => check_waiting(world, task),
        }
    }
}

fn check_once(runs: &[Run]) {
    let mut calls = BTreeMap::new();
    let mut keys = BTreeMap::<_, clock::Moment>::new();
    let mut never: Vec<_> = runs.iter().filter(|run| run.call.never).collect();
    never.sort_by_key(|run| run.dispatched);
    for run in never {
        assert!(calls.insert(run.call.number, ()).is_none(), "ran twice: {:?}", run.call);
        let Some(key) = run.call.key else { continue };
        if let Some(before) = keys.insert((run.call.customer, key), run.dispatched) {
            let apart = run.dispatched.since(before);
            assert!(apart > KEPT, "a key ran twice within {apart:?}: {:?}", run.call);
        }
    }
}

/// A caller whose host is running must be answered by its deadline.
fn check_waiting(world: &World, task: &Task) {
    let overdue = world.outside.clock.now() >= task.case.deadline;
    let is_served = !task.crashed && !world.paused[task.case.host];
    assert!(!(overdue && is_served), "told nothing by its deadline: {:?}", task.case.call);
}

fn check_told(case: &Case, told: &Told, runs: &[Run]) {
    let call = &case.call;
    let own = |run: &&Run| run.call.number == call.number;
    let same = |run: &&Run| {
        (run.call.customer, run.call.key, run.call.body) == (call.customer, call.key, call.body)
            && run.call.never == call.never
    };
    match told.outcome {
        Outcome::NotRun => assert!(!runs.iter().any(|run| own(&run)), "told not-run: {call:?}"),
        Outcome::Unknown => {}
        Outcome::Done => {
            let answer = told.answer.as_ref();
            let may = |run: &&Run| if told.replayed { same(run) } else { own(run) };
            let mut answers = runs.iter().filter(may).map(|run| &run.answer);
            assert!(answers.any(|ran| Some(ran) == answer), "not its answer: {call:?} {told:?}");
        }
    }
}

/// Invariants that hold once all faults are over and all tasks have ended.
pub fn check_end(world: &World) {
    check(world);
    assert!(world.is_idle(), "a task never ends");
    for task in &world.tasks {
        let told = task.case.told.borrow().is_some();
        assert!(told || task.crashed, "told nothing: {:?}", task.case.call);
    }
    for value in world.outside.platform.values() {
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
    let dispatched = world.outside.dispatched.borrow().contains(&task.token);
    assert!(
        !task.case.call.never || dispatched || task.crashed || task.overslept,
        "a key is blocked: {:?}",
        task.case.call
    );
}

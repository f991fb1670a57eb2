//! Reconciliation of engines that check fencing numbers and of engines that ignore them.

use lagoonline::control::reconcile::{self, Actual, Context, Decision, Desired};
use lagoonline::id;
use lagoonline::port::engine;
use rstest::rstest;

fn desired() -> Desired {
    Desired { models: vec!["m".into(), "n".into()], role: engine::Role::Long }
}

fn load() -> engine::Command {
    engine::Command::Load { model: "m".into(), adapter: String::new(), version: String::new() }
}

fn actual(model: &str, role: engine::Role, fence: u64) -> Actual {
    Actual { model: model.to_owned(), role, fence: id::Fence(fence), ..Actual::default() }
}

fn context(checks_fence: bool, in_flight: u32) -> Context {
    Context { fence: id::Fence(5), checks_fence, in_flight }
}

// Guards against commands that the engine does not need, that a later lease holder has superseded,
// or that terminate streams on an engine that ignores fencing numbers.
#[rstest]
#[case::in_desired_state(actual("n", engine::Role::Long, 4), context(true, 0), Decision::Nothing)]
#[case::other_model(actual("x", engine::Role::Long, 4), context(true, 3), Decision::Send(load()))]
#[case::other_role(
    actual("m", engine::Role::Short, 4),
    context(false, 3),
    Decision::Send(engine::Command::Role { role: engine::Role::Long })
)]
#[case::newer_holder(actual("x", engine::Role::Long, 6), context(true, 0), Decision::Superseded)]
#[case::serving_and_ignoring_fences(
    actual("x", engine::Role::Long, 4),
    context(false, 1),
    Decision::Wait
)]
#[case::late_command_executed(
    actual("x", engine::Role::Long, 5),
    context(false, 0),
    Decision::Repair(load())
)]
fn the_decision_depends_on_engine_state_and_fencing(
    #[case] actual: Actual,
    #[case] context: Context,
    #[case] decision: Decision,
) {
    assert_eq!(reconcile::decide(&desired(), &actual, &context), decision);
}

#[test]
fn a_loading_engine_gets_no_command() {
    // Otherwise each reconciliation during a load would send another command and interrupt the
    // load.
    let actual = Actual { loading: true, ..actual("x", engine::Role::Long, 5) };
    assert_eq!(reconcile::decide(&desired(), &actual, &context(true, 0)), Decision::Wait);
}

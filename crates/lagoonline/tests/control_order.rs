//! Orders to engines that check fencing numbers and to those that ignore them.

use lagoonline::control::order::{self, Actual, Decision, Situation, Wanted};
use lagoonline::id;
use lagoonline::port::engine;
use rstest::rstest;

fn wanted() -> Wanted {
    Wanted { models: vec!["m".into(), "n".into()], role: engine::Role::Long }
}

fn load() -> engine::Command {
    engine::Command::Load { model: "m".into(), adapter: String::new(), version: String::new() }
}

fn actual(model: &str, role: engine::Role, fence: u64) -> Actual {
    Actual { model: model.to_owned(), role, fence: id::Fence(fence), ..Actual::default() }
}

fn situation(checks_fence: bool, busy: u32) -> Situation {
    Situation { fence: id::Fence(5), checks_fence, busy }
}

#[rstest]
#[case::as_wanted(actual("n", engine::Role::Long, 4), situation(true, 0), Decision::Nothing)]
#[case::other_model(actual("x", engine::Role::Long, 4), situation(true, 3), Decision::Send(load()))]
#[case::other_role(
    actual("m", engine::Role::Short, 4),
    situation(false, 3),
    Decision::Send(engine::Command::Role { role: engine::Role::Long })
)]
#[case::newer_holder(actual("x", engine::Role::Long, 6), situation(true, 0), Decision::Superseded)]
#[case::serving_and_unfenced(
    actual("x", engine::Role::Long, 4),
    situation(false, 1),
    Decision::Wait
)]
#[case::late_order_obeyed(
    actual("x", engine::Role::Long, 5),
    situation(false, 0),
    Decision::Repair(load())
)]
fn a_look_at_an_engine_gives_one_decision(
    #[case] actual: Actual,
    #[case] situation: Situation,
    #[case] decision: Decision,
) {
    assert_eq!(order::decide(&wanted(), &actual, &situation), decision);
}

#[test]
fn a_loading_engine_is_left_alone() {
    let actual = Actual { loading: true, ..actual("x", engine::Role::Long, 5) };
    assert_eq!(order::decide(&wanted(), &actual, &situation(true, 0)), Decision::Wait);
}

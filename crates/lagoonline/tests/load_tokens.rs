//! Bytes per token of a model, corrected by the engines' counts.

use std::sync;

use lagoonline::clock::Moment;
use lagoonline::control::document;
use lagoonline::load::{Scheduler, Settings};
use lagoonline::{id, view};

fn fleet(bytes_per_token: f64) -> view::Shared {
    let mut fleet = view::Fleet::default();
    let model = document::Model { bytes_per_token, ..document::Model::default() };
    fleet.models.insert(id::Model::from("m"), model);
    sync::Arc::new(fleet)
}

// Guards against planning with a wrong token estimate. The prompts have two bytes per token, the
// document says four; after some answers the estimate matches. A new fleet keeps that correction, a
// new configured estimate resets it.
#[test]
fn counts_correct_the_estimate_until_another_is_configured() {
    let model = id::Model::from("m");
    let mut scheduler = Scheduler::new(Settings::default());
    scheduler.set_fleet(Moment::START, &fleet(4.0), &model);
    assert_eq!(scheduler.ratio().tokens(4_000), 1_000);
    for _ in 0..200 {
        scheduler.record_token_count(4_000, 2_000);
    }
    scheduler.set_fleet(Moment::START, &fleet(4.0), &model);
    assert!((1_990..=2_010).contains(&scheduler.ratio().tokens(4_000)));
    scheduler.set_fleet(Moment::START, &fleet(8.0), &model);
    assert_eq!(scheduler.ratio().tokens(4_000), 500);
}

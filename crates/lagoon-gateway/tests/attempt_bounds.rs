//! The bounds on attempts as upstreams see them: retries of all hosts, runs of one request, and the time
//! that is handed on, on days of troubles that overlap.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

mod deployment;

use rstest::rstest;

use deployment::troubles::{self, Trouble};

/// Plays days of troubles one after the other; `LAGOON_DAYS` names others than the one drawn day, as
/// seeds, `all-` and a seed, or names with commas between them. `LAGOON_DEPLOYMENT=eight-hosts` plays
/// them on another deployment.
#[rstest]
fn days_of_troubles_keep_the_bounds_on_attempts() {
    let days = std::env::var("LAGOON_DAYS").unwrap_or_else(|_| "12".to_owned());
    let settings = match std::env::var("LAGOON_DEPLOYMENT").as_deref() {
        Ok("eight-hosts") => deployment::Settings::eight_hosts(),
        Ok(other) => panic!("no deployment is called {other}"),
        Err(_) => deployment::Settings::default(),
    };
    let broken: Vec<_> = days.split(',').filter(|day| !keeps_bounds(settings, day)).collect();
    assert!(broken.is_empty(), "bounds were broken on {broken:?}");
}

fn keeps_bounds(settings: deployment::Settings, day: &str) -> bool {
    let (drawn, seed) = match day.strip_prefix("all-") {
        Some(seed) => (troubles::drawn_of_all as troubles::Draw, seed),
        None => (troubles::drawn as troubles::Draw, day),
    };
    let seed = seed.parse();
    let troubles = match seed {
        Ok(seed) => drawn(seed, &settings),
        Err(_) => troubles::named(day, &settings),
    };
    println!("day {day}");
    for Trouble { at, kind, span, chosen } in &troubles {
        println!("  {at:.1?}: {kind:?} for {span:.1?}, {} of them", chosen.len());
    }
    deployment::play_day(settings, &troubles, seed.unwrap_or(1)).is_kept()
}

/// Guards against calls that reach upstreams with more time than their callers still have: those that
/// are read late count from then on.
#[rstest]
#[case::upstreams_that_read_nothing_for_a_while("replicas-dark-in-turn")]
#[case::connections_that_stall("connections-held")]
#[case::resets_beside_frozen_upstreams("connections-reset-while-dark")]
#[case::lost_answers_beside_frozen_upstreams("answers-lost-before-dark")]
fn calls_are_not_handed_more_time_than_is_left(#[case] day: &str) {
    assert!(keeps_bounds(deployment::Settings::calls(), day));
}

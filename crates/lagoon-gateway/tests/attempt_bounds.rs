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
/// seeds or names with commas between them.
#[rstest]
fn days_of_troubles_keep_the_bounds_on_attempts() {
    let days = std::env::var("LAGOON_DAYS").unwrap_or_else(|_| "12".to_owned());
    let broken: Vec<_> = days.split(',').filter(|day| !keeps_bounds(day)).collect();
    assert!(broken.is_empty(), "bounds were broken on {broken:?}");
}

fn keeps_bounds(day: &str) -> bool {
    let seed = day.parse();
    let troubles = match seed {
        Ok(seed) => troubles::drawn(seed, deployment::DAY),
        Err(_) => troubles::named(day),
    };
    println!("day {day}");
    for Trouble { at, kind, span, chosen } in &troubles {
        println!("  {at:.1?}: {kind:?} for {span:.1?}, {} of them", chosen.len());
    }
    deployment::play_day(&troubles, seed.unwrap_or(1)).is_kept()
}

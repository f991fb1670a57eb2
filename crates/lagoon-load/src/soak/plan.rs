//! What callers ask during a soak: as in a trial, with shorter prompts so that many calls fit.

use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

use super::Settings;
use crate::trial::plan;

/// Prompt tokens, and the share of model calls that have them.
const LENGTHS: [(u64, f64); 4] =
    [(1_000, 0.930), (10_000, 0.060), (100_000, 0.009), (1_000_000, 0.001)];
/// Share of model calls that are streamed.
const STREAMED: f64 = 0.7;
/// Share of service calls with an idempotency key.
const KEYED: f64 = 0.5;
/// Answer tokens.
const ANSWER: std::ops::Range<u64> = 16..64;
/// Deadlines of short and of longer calls.
const DEADLINE_SHORT: time::Duration = time::Duration::from_secs(10);
const DEADLINE_LONG: time::Duration = time::Duration::from_secs(40);

/// Draws all calls, in order of time.
pub(super) fn draw(settings: &Settings) -> Vec<plan::Call> {
    let mut random = rngs::SmallRng::seed_from_u64(settings.seed);
    let mut asked = Vec::new();
    for at in plan::arrivals(settings.rate, settings.seconds, &mut random) {
        let tokens = plan::length(&LENGTHS, &mut random);
        let answer = random.random_range(ANSWER);
        let stream = random.random_bool(STREAMED);
        asked.push((at, plan::Ask::Model { tokens, answer, stream }));
    }
    for at in plan::arrivals(settings.bookings, settings.seconds, &mut random) {
        asked.push((at, plan::Ask::Booking { keyed: random.random_bool(KEYED) }));
    }
    asked.sort_by(|a, b| a.0.total_cmp(&b.0));
    let number = |(number, (at, ask)): (u64, (f64, plan::Ask))| plan::Call {
        number,
        at: time::Duration::from_secs_f64(at),
        deadline: deadline(&ask),
        ask,
        phase: plan::Phase::Faults,
        draw: random.random(),
    };
    (0..).zip(asked).map(number).collect()
}

fn deadline(ask: &plan::Ask) -> time::Duration {
    match ask {
        plan::Ask::Model { tokens, .. } if *tokens > LENGTHS[0].0 => DEADLINE_LONG,
        plan::Ask::Model { .. } | plan::Ask::Booking { .. } => DEADLINE_SHORT,
    }
}

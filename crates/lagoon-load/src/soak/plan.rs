//! Calls of a soak: as in a trial, with shorter prompts so that the fleet can serve many calls.

use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

use super::Settings;
use crate::trial::plan;

/// Prompt lengths in tokens, and the fraction of model calls with each.
const PROMPT_LENGTHS: [(u64, f64); 4] =
    [(1_000, 0.930), (10_000, 0.060), (100_000, 0.009), (1_000_000, 0.001)];
/// Fraction of model calls that are streamed.
const STREAMED_FRACTION: f64 = 0.7;
/// Fraction of service calls with an idempotency key.
const KEYED_FRACTION: f64 = 0.5;
/// Number of answer tokens of a model call.
const ANSWER_TOKENS: std::ops::Range<u64> = 16..64;
/// Deadline of service calls and of model calls with the shortest prompts.
const SHORT_DEADLINE: time::Duration = time::Duration::from_secs(10);
/// Deadline of model calls with longer prompts.
const LONG_DEADLINE: time::Duration = time::Duration::from_secs(40);

/// Draws all calls from the seed, in order of time.
pub(super) fn draw(settings: &Settings) -> Vec<plan::Call> {
    let mut random = rngs::SmallRng::seed_from_u64(settings.seed);
    let mut requests = Vec::new();
    for at in plan::draw_arrivals(settings.rate, settings.seconds, &mut random) {
        let tokens = plan::draw_length(&PROMPT_LENGTHS, &mut random);
        let answer = random.random_range(ANSWER_TOKENS);
        let stream = random.random_bool(STREAMED_FRACTION);
        requests.push((at, plan::Request::Model { tokens, answer, stream }));
    }
    for at in plan::draw_arrivals(settings.bookings, settings.seconds, &mut random) {
        requests.push((at, plan::Request::Booking { keyed: random.random_bool(KEYED_FRACTION) }));
    }
    requests.sort_by(|a, b| a.0.total_cmp(&b.0));
    let new_call = |(number, (at, request)): (u64, (f64, plan::Request))| plan::Call {
        number,
        at: time::Duration::from_secs_f64(at),
        deadline: deadline(&request),
        request,
        // A soak has no phases; faults occur throughout the run.
        phase: plan::Phase::Faults,
        selector: random.random(),
    };
    (0..).zip(requests).map(new_call).collect()
}

fn deadline(request: &plan::Request) -> time::Duration {
    match request {
        plan::Request::Model { tokens, .. } if *tokens > PROMPT_LENGTHS[0].0 => LONG_DEADLINE,
        plan::Request::Model { .. } | plan::Request::Booking { .. } => SHORT_DEADLINE,
    }
}

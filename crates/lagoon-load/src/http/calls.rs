//! Conversion of arrivals to calls, and of call results to a tally.

use std::collections;
use std::time;

use lagoon_standin::prompt;
use lagoonline::clock;
use lagoonline::outcome;

use crate::bench::arrival;
use crate::bench::report;
use crate::bench::scenario;
use crate::trial::caller;
use crate::trial::plan;

/// Maximum deadline of a call, which bounds the time of a run after its last arrival.
const MAX_DEADLINE: clock::Span = clock::Span::from_secs(50);

/// Draws the arrivals of the scenario, with deadlines limited to [`MAX_DEADLINE`].
pub(super) fn draw(
    scenario: &scenario::Scenario,
    seed: u64,
    seconds: f64,
) -> Vec<arrival::Arrival> {
    let mut arrivals = arrival::draw(scenario, seed, seconds);
    for arrival in &mut arrivals {
        arrival.deadline = arrival.deadline.min(MAX_DEADLINE);
    }
    arrivals
}

/// Distributes the calls round-robin over `threads` callers.
pub(super) fn split(arrivals: &[arrival::Arrival], threads: usize) -> Vec<Vec<plan::Call>> {
    let mut shares = vec![Vec::new(); threads];
    for (number, arrival) in arrivals.iter().enumerate() {
        shares[number % threads].push(new_call(number, arrival));
    }
    shares
}

fn new_call(number: usize, arrival: &arrival::Arrival) -> plan::Call {
    let host = u32::try_from(arrival.host).unwrap_or(0);
    plan::Call {
        number: number as u64,
        at: time::Duration::from_micros(arrival.at.as_micros()),
        request: plan::Request::Model {
            tokens: arrival.prompt_tokens,
            answer: arrival.answer_tokens,
            stream: true,
        },
        deadline: arrival.deadline,
        // The run has no phases.
        phase: plan::Phase::Mixed,
        selector: host * arrival::CUSTOMERS + arrival.customer,
    }
}

/// Tallies the call results; `faulty` holds the hashes of the prompts that the faulty engine
/// accepted.
pub(super) fn tally(
    arrivals: &[arrival::Arrival],
    results: &[caller::CallResult],
    start_time: time::SystemTime,
    seconds: f64,
    faulty: &collections::HashSet<u64>,
) -> report::Tally {
    let mut tally = report::Tally::new(seconds);
    for result in results {
        let arrival = &arrivals[usize::try_from(result.call.number).unwrap_or(0)];
        let started = result.started.duration_since(start_time).unwrap_or_default();
        let started = clock::Moment::START + started;
        let end = started + result.elapsed;
        match result.first_token {
            Some(first) if result.content == caller::Content::Whole => {
                let hash = prompt::Prompt::new(&result.call.prompt()).hash;
                tally.record_answer(arrival, started + first, end, faulty.contains(&hash));
            }
            _ => tally.record_refusal(arrival, end, reason(&result.code)),
        }
    }
    tally
}

/// Returns the refusal reason for an error code; unknown codes count as a failed upstream.
fn reason(code: &str) -> outcome::Reason {
    let found = outcome::Reason::ALL.into_iter().find(|reason| reason.as_str() == code);
    found.unwrap_or(outcome::Reason::UpstreamFailed)
}

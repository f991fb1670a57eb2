//! From arrivals to calls, and from what callers were told to figures.

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

/// Longest deadline: a run ends at most this long after its last arrival.
const DEADLINE: clock::Span = clock::Span::from_secs(50);

/// The arrivals of the scenario, cut to what a short run can hold.
pub(super) fn draw(
    scenario: &scenario::Scenario,
    seed: u64,
    seconds: f64,
) -> Vec<arrival::Arrival> {
    let mut arrivals = arrival::draw(scenario, seed, seconds);
    for arrival in &mut arrivals {
        arrival.deadline = arrival.deadline.min(DEADLINE);
    }
    arrivals
}

/// Deals the calls out to `threads` callers.
pub(super) fn split(arrivals: &[arrival::Arrival], threads: usize) -> Vec<Vec<plan::Call>> {
    let mut shares = vec![Vec::new(); threads];
    for (number, arrival) in arrivals.iter().enumerate() {
        shares[number % threads].push(call(number, arrival));
    }
    shares
}

fn call(number: usize, arrival: &arrival::Arrival) -> plan::Call {
    let host = u32::try_from(arrival.host).unwrap_or(0);
    plan::Call {
        number: number as u64,
        at: time::Duration::from_micros(arrival.at.as_micros()),
        ask: plan::Ask::Model {
            tokens: arrival.prompt_tokens,
            answer: arrival.answer_tokens,
            stream: true,
        },
        deadline: arrival.deadline,
        phase: plan::Phase::Mixed,
        draw: host * arrival::CUSTOMERS + arrival.customer,
    }
}

/// What callers got; `faulty` has the prompts that the faulty engine accepted.
pub(super) fn tally(
    arrivals: &[arrival::Arrival],
    told: &[caller::Told],
    began: time::SystemTime,
    seconds: f64,
    faulty: &collections::HashSet<u64>,
) -> report::Tally {
    let mut tally = report::Tally::new(seconds);
    for told in told {
        let arrival = &arrivals[usize::try_from(told.call.number).unwrap_or(0)];
        let made = told.made.duration_since(began).unwrap_or_default();
        let made = clock::Moment::START + made;
        let end = made + told.took;
        match told.first_token {
            Some(first) if told.content == caller::Content::Whole => {
                let hash = prompt::Prompt::new(&told.call.prompt()).hash;
                tally.record_answer(arrival, made + first, end, faulty.contains(&hash));
            }
            _ => tally.record_refusal(arrival, end, reason(&told.code)),
        }
    }
    tally
}

/// The reason that a caller was told, where anything unclear counts as a failed upstream.
fn reason(code: &str) -> outcome::Reason {
    let found = outcome::Reason::ALL.into_iter().find(|reason| reason.as_str() == code);
    found.unwrap_or(outcome::Reason::UpstreamFailed)
}

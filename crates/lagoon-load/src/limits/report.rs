//! The figures of a simulation.

use serde::Serialize;

/// Window in which requests to an upstream are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time after the first answer that names a limit from which it must hold, in milliseconds.
const LEARNING_MS: u64 = 3_000;
/// Share of the limit, and requests beyond it, that upstreams bear in a window.
const ALLOWED_SHARE: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;

/// What callers and upstreams saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Callers that were served in time, counted from their arrival.
    pub in_time: u64,
    /// Callers that were served later, after they had come back.
    pub late: u64,
    /// Callers that were refused at least once.
    pub refused: u64,
    /// Callers that were refused again when they came back.
    pub refused_twice: u64,
    /// Of those, callers that came back as early as they were told to.
    pub misled: u64,
    /// Callers that were held until their time was over.
    pub held: u64,
    /// Most requests beyond what upstreams bear in any window; 0 if there are none.
    pub excess: f64,
    /// Most requests beyond the limit itself in any window.
    pub excess_of_limit: f64,
    /// Share of the limit that was used, once it was known.
    pub used: f64,
    /// Milliseconds from the first answer that names a limit until all hosts know it, the longest
    /// of all upstreams.
    pub known_ms: u64,
    /// Messages about limits for each host, limit and second.
    pub messages: f64,
}

/// The limit of an upstream from a moment on; `None` for none.
pub(super) type Schedule = Vec<(u64, Option<f64>)>;

/// The limit that holds at `at`.
pub(super) fn limit_at(schedule: &Schedule, at: u64) -> Option<f64> {
    let past = schedule.iter().rev().find(|(from, _)| *from <= at);
    past.and_then(|(_, limit)| *limit)
}

/// Requests that the limit allows from `from` to `to`; `None` if there is none at some time.
fn allowance(schedule: &Schedule, from: u64, to: u64) -> Option<f64> {
    let mut sum = 0.0;
    for at in from..to {
        sum += limit_at(schedule, at)? / 1e3;
    }
    Some(sum)
}

impl Report {
    /// Adds the requests that reached an upstream at the moments `arrivals`, in order. Its first
    /// answer with a limit arrived at `named`.
    pub(super) fn add_upstream(
        &mut self,
        arrivals: &[u64],
        schedule: &Schedule,
        named: u64,
        end: u64,
    ) {
        let first = named + LEARNING_MS;
        for start in (first..end.saturating_sub(WINDOW_MS)).step_by(50) {
            let Some(allowed) = allowance(schedule, start, start + WINDOW_MS) else { continue };
            let in_window = arrivals.iter().filter(|at| (start..start + WINDOW_MS).contains(*at));
            let count = in_window.count() as f64;
            self.excess = self.excess.max(count - allowed * ALLOWED_SHARE - ALLOWED_EXTRA);
            self.excess_of_limit = self.excess_of_limit.max(count - allowed);
        }
    }

    /// Share of the limits that was used while they held.
    pub(super) fn add_use(&mut self, arrivals: &[Vec<u64>], schedule: &Schedule, end: u64) {
        let holds = |at: &u64| limit_at(schedule, *at).is_some();
        let named = schedule.iter().find(|(_, limit)| limit.is_some()).map_or(end, |(at, _)| *at);
        let from = named + LEARNING_MS;
        let counted =
            arrivals.iter().flatten().filter(|at| **at >= from && **at < end && holds(at));
        let allowed: f64 =
            (from..end).filter_map(|at| limit_at(schedule, at)).map(|limit| limit / 1e3).sum();
        self.used = counted.count() as f64 / (allowed * arrivals.len() as f64);
    }
}

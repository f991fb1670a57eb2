//! The figures of a simulation.

use serde::Serialize;

use super::simulation::{RATIO, WINDOW_MS};

/// What upstreams and callers saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Requests of callers.
    pub requests: u64,
    /// Requests that were served, at their first attempt or a later one.
    pub served: u64,
    /// Sends beyond the first of each request.
    pub retries: u64,
    /// Requests that were served by one of them.
    pub served_by_retry: u64,
    /// Requests that got no retry for want of budget.
    pub refused: u64,
    /// Of these, requests that were refused while all hosts together had used less than nine tenths
    /// of what they may.
    pub refused_with_room: u64,
    /// Largest share of the allowed retries that was used in any window.
    pub worst_share: f64,
    /// Messages about retries for each host and second, heartbeats included.
    pub messages: f64,
}

/// Times of requests and retries, in order.
#[derive(Debug, Default)]
pub(super) struct Record {
    pub(super) requests: Vec<u64>,
    pub(super) retries: Vec<u64>,
    /// When a request was refused a retry.
    pub(super) refusals: Vec<u64>,
}

/// Number of `times` from `from` up to, but not including, `to`.
fn count(times: &[u64], from: u64, to: u64) -> usize {
    times.partition_point(|at| *at < to) - times.partition_point(|at| *at < from)
}

impl Record {
    /// Share of the allowed retries that is used in the window from `from` on. The requests are those
    /// of the window, of the one before or of the one half a window before, whichever has most.
    fn share(&self, from: u64, slack: f64) -> f64 {
        let used = count(&self.retries, from, from + WINDOW_MS) as f64;
        let requests = [0, WINDOW_MS / 2, WINDOW_MS].map(|shift| {
            let from = from.saturating_sub(shift);
            count(&self.requests, from, from + WINDOW_MS)
        });
        let requests = requests.into_iter().max().unwrap_or(0) as f64;
        used / (RATIO * requests + slack)
    }

    /// Completes `report`.
    pub(super) fn finish(mut self, slack: f64, report: Report) -> Report {
        self.requests.sort_unstable();
        self.retries.sort_unstable();
        let ends = self.retries.iter().map(|end| (end + 1).saturating_sub(WINDOW_MS));
        let worst = ends.map(|from| self.share(from, slack)).fold(0.0, f64::max);
        let has_room = |at: &&u64| self.share((**at + 1).saturating_sub(WINDOW_MS), slack) < 0.9;
        Report {
            requests: self.requests.len() as u64,
            retries: self.retries.len() as u64,
            refused: self.refusals.len() as u64,
            refused_with_room: self.refusals.iter().filter(has_room).count() as u64,
            worst_share: worst,
            ..report
        }
    }
}

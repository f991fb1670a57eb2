//! What upstreams saw of the bounds on attempts.

use std::collections;
use std::fmt;
use std::time;

use super::requests;
use super::{RETRY_RATIO, WINDOW};
use crate::standin;

/// Requests that may run on more.
const MAX_OVERRUNS: usize = 3;
/// Time by which a repeated request may seem to end later than its first send.
const MAX_EXTENSION: time::Duration = time::Duration::from_millis(500);
/// Requests that may seem to end later; more of them are too many if they are a fifth of the late repeats.
const MAX_EXTENDED: usize = 20;

/// The window with the largest share of the allowed retries.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    pub service: &'static str,
    pub retries: usize,
    pub allowed: f64,
}

impl Window {
    pub fn share(self) -> f64 {
        if self.retries == 0 { 0.0 } else { self.retries as f64 / self.allowed }
    }
}

/// What upstreams saw.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub worst: Window,
    /// Requests that ran on more upstreams than they may.
    pub overruns: usize,
    /// Requests that are no streams and were handed on with more time than was left.
    pub extended: usize,
    /// Of those, first sends that were read after a repeat.
    pub overtaken: usize,
    /// Repeats of those later than [`MAX_EXTENSION`] after the first send.
    pub repeated_late: usize,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Verdict { worst, overruns, extended, overtaken, repeated_late } = self;
        let Window { service, retries, allowed } = worst;
        write!(
            f,
            "{retries} of {allowed:.0} retries of {service} ({:.2}), {overruns} overruns, {extended} \
             extended ({overtaken} overtaken) beside {repeated_late} late repeats",
            worst.share()
        )
    }
}

impl Verdict {
    /// Judges what upstreams `received` of the requests that callers `sent`, by their ids. `slack` are the
    /// retries that are allowed beyond the share of requests.
    pub fn new(
        sent: &collections::BTreeMap<String, requests::Sent>,
        mut received: Vec<standin::ReceivedRequest>,
        slack: f64,
    ) -> Verdict {
        received.sort_by_key(|request| request.at);
        let mut by_id = collections::BTreeMap::<_, (_, Vec<_>)>::new();
        for request in &received {
            let id = request.headers.get("lagoonline-request-id");
            if let Some((id, sent)) = id.and_then(|id| sent.get_key_value(id)) {
                by_id.entry(id).or_insert((sent, Vec::new())).1.push(request);
            }
        }
        let mut verdict = Verdict::default();
        let mut retries = Vec::new();
        for (sent, received) in by_id.values() {
            retries.extend(received[1..].iter().map(|request| (sent.service, request.at)));
            verdict.overruns += usize::from(runs(received) > sent.max_runs);
            if sent.service == "app" {
                verdict.judge_time(sent, received);
            }
        }
        for service in ["llm", "app"] {
            let requests = sent.values().filter(|sent| sent.service == service);
            let requests: Vec<_> = requests.map(|sent| sent.at).collect();
            let retries = retries.iter().filter(|(of, _)| *of == service);
            let retries: Vec<_> = retries.map(|(_, at)| *at).collect();
            for end in &retries {
                let allowed = RETRY_RATIO * requests_before(&requests, *end) + slack;
                let window = Window { service, retries: count(&retries, *end), allowed };
                if window.share() > verdict.worst.share() {
                    verdict.worst = window;
                }
            }
        }
        verdict
    }

    /// Judges the time with which a request was handed on.
    fn judge_time(&mut self, sent: &requests::Sent, received: &[&standin::ReceivedRequest]) {
        let first = received[0];
        self.extended += usize::from(left(first) > sent.left + MAX_EXTENSION);
        let end = (first.at + left(first)).max(sent.at + sent.left);
        for request in &received[1..] {
            if request.at - first.at > MAX_EXTENSION {
                self.repeated_late += 1;
                let is_extended = request.at + left(request) > end + MAX_EXTENSION;
                self.extended += usize::from(is_extended);
                // The time left falls from send to send.
                self.overtaken += usize::from(is_extended && left(request) > left(first));
            }
        }
    }

    pub fn is_kept(&self) -> bool {
        let is_extended =
            self.extended > MAX_EXTENDED && self.extended * 5 > self.extended + self.repeated_late;
        self.worst.share() <= 1.0 && self.overruns <= MAX_OVERRUNS && !is_extended
    }
}

/// Returns the number of upstreams that ran a request.
fn runs(received: &[&standin::ReceivedRequest]) -> usize {
    let ran = received.iter().filter(|request| request.ran);
    ran.map(|request| &request.upstream).collect::<collections::BTreeSet<_>>().len()
}

/// Returns the requests that allow retries in the window up to `end`: those of this window, of the one
/// before it or of the one half a window before it.
fn requests_before(requests: &[time::Instant], end: time::Instant) -> f64 {
    let counts = [0, 1, 2].map(|halves| count(requests, end - WINDOW * halves / 2));
    counts.into_iter().max().unwrap_or_default() as f64
}

/// Returns how many of `times` are in the window up to `end`.
fn count(times: &[time::Instant], end: time::Instant) -> usize {
    times.iter().filter(|at| **at <= end && end - **at < WINDOW).count()
}

/// Returns the time left with which a request was handed on.
fn left(request: &standin::ReceivedRequest) -> time::Duration {
    let left = request.headers.get("lagoonline-request-deadline");
    let left = left.and_then(|left| left.parse().ok());
    // One without a deadline may take any time.
    left.map_or(time::Duration::from_secs(3_600), time::Duration::from_millis)
}

//! Checks the outcomes that callers received against the stand-ins' own records.

use std::collections;
use std::time;

use lagoon_standin::prompt;
use serde::Serialize;

use super::caller;
use super::fleet;
use super::plan;

/// Tolerance for the delay between the end of a call and its detection by a caller, on a busy
/// machine.
const DETECTION_TOLERANCE: time::Duration = time::Duration::from_millis(500);

/// Counts of a run. [`Verdict::holds`] checks those that must be zero.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Calls made.
    pub calls: u64,
    /// Calls with the outcome `done`.
    pub done: u64,
    /// Calls with the outcome `not-run`.
    pub not_run: u64,
    /// Calls with the outcome `unknown`.
    pub unknown: u64,
    /// Calls that ended after their deadline.
    pub past_deadline: u64,
    /// Calls with the outcome `done` and an incomplete answer.
    pub cut: u64,
    /// Calls that received text of another call's answer.
    pub crossed: u64,
    /// Bookings that ran more than once.
    pub doubled: u64,
    /// Calls with the outcome `not-run` that an upstream ran.
    pub false_not_run: u64,
    /// Calls with the outcome `done` that no upstream ran.
    pub false_done: u64,
    /// Calls that got no outcome.
    pub no_clear_end: u64,
    /// KV memory that the engines did not free, in bytes.
    pub bytes_left: u64,
    /// Calls that did not end with `done`, by outcome and code.
    pub failures: collections::BTreeMap<String, u64>,
}

impl Verdict {
    /// Returns whether all counts that must be zero are zero, and at least one call succeeded.
    pub fn holds(&self) -> bool {
        let violations = [
            self.past_deadline,
            self.cut,
            self.crossed,
            self.doubled,
            self.false_not_run,
            self.false_done,
            self.no_clear_end,
            self.bytes_left,
        ];
        self.done > 0 && violations.iter().all(|&count| count == 0)
    }
}

/// Returns how often upstreams ran the call; for a model call, 1 if any engine accepted it.
pub(crate) fn count_runs(call: &plan::Call, record: &fleet::Record) -> u64 {
    match call.request {
        plan::Request::Model { .. } => {
            let hash = prompt::Prompt::new(&call.prompt()).hash;
            u64::from(record.prompts.contains(&hash))
        }
        plan::Request::Booking { .. } => {
            record.bookings.get(&fleet::body_hash(&call.booking())).copied().unwrap_or(0)
        }
    }
}

/// Evaluates all results of a run against the stand-ins' records.
pub(crate) fn evaluate(results: &[caller::CallResult], record: &fleet::Record) -> Verdict {
    let mut verdict = Verdict { bytes_left: record.unfreed_bytes, ..Verdict::default() };
    for result in results {
        count_call(&mut verdict, result, count_runs(&result.call, record));
    }
    verdict
}

/// Adds one call, which upstreams ran `ran` times, to the counts.
fn count_call(verdict: &mut Verdict, result: &caller::CallResult, ran: u64) {
    verdict.calls += 1;
    match result.outcome.as_deref() {
        Some("done") => {
            verdict.done += 1;
            verdict.cut += u64::from(result.content == caller::Content::Part);
            verdict.false_done += u64::from(ran == 0);
        }
        Some("not-run") => {
            verdict.not_run += 1;
            verdict.false_not_run += u64::from(ran > 0);
        }
        Some("unknown") => verdict.unknown += 1,
        _ => verdict.no_clear_end += 1,
    }
    verdict.crossed += u64::from(result.content == caller::Content::Foreign);
    verdict.past_deadline += u64::from(is_late(result));
    // Only bookings have no length class.
    verdict.doubled += u64::from(result.call.class().is_none() && ran > 1);
    if result.outcome.as_deref() != Some("done") {
        let outcome = result.outcome.as_deref().unwrap_or("nothing");
        *verdict.failures.entry(format!("{outcome}: {}", result.code)).or_insert(0) += 1;
    }
}

/// Returns whether the call ended after its deadline, beyond the tolerance.
pub(crate) fn is_late(result: &caller::CallResult) -> bool {
    result.elapsed > result.call.deadline + DETECTION_TOLERANCE
}

/// Returns the name of the first check that the call violates, for the list of example calls.
pub(crate) fn violated_check(
    result: &caller::CallResult,
    record: &fleet::Record,
) -> Option<&'static str> {
    let mut verdict = Verdict::default();
    count_call(&mut verdict, result, count_runs(&result.call, record));
    let checks = [
        (verdict.doubled, "doubled"),
        (verdict.crossed, "crossed"),
        (verdict.cut, "cut"),
        (verdict.false_not_run, "false not-run"),
        (verdict.false_done, "false done"),
    ];
    checks.into_iter().find(|(count, _)| *count > 0).map(|(_, name)| name)
}

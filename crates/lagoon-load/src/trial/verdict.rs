//! Compares what callers were told with what the stand-ins say they did.

use std::collections;
use std::time;

use lagoon_standin::prompt;
use serde::Serialize;

use super::caller;
use super::fleet;
use super::plan;

/// How late an end may be seen by a caller on a busy machine and still count as in time.
const SLACK: time::Duration = time::Duration::from_millis(500);

/// Counts of a run. What must be zero is checked by [`Verdict::holds`].
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Calls made.
    pub calls: u64,
    /// Told `done`.
    pub done: u64,
    /// Told `not-run`.
    pub not_run: u64,
    /// Told `unknown`.
    pub unknown: u64,
    /// Ended after their deadline.
    pub past_deadline: u64,
    /// Told `done`, with less than the whole answer.
    pub cut: u64,
    /// Received something of another answer.
    pub crossed: u64,
    /// Bookings that ran more than once.
    pub doubled: u64,
    /// Told `not-run`, though an upstream ran it.
    pub false_not_run: u64,
    /// Told `done`, though no upstream ran it.
    pub false_done: u64,
    /// Told nothing.
    pub no_clear_end: u64,
    /// Engine memory not returned, in bytes.
    pub bytes_left: u64,
    /// Why calls did not end with `done`: outcome and code, with their count.
    pub failures: collections::BTreeMap<String, u64>,
}

impl Verdict {
    /// Whether everything that must hold held.
    pub fn holds(&self) -> bool {
        let broken = [
            self.past_deadline,
            self.cut,
            self.crossed,
            self.doubled,
            self.false_not_run,
            self.false_done,
            self.no_clear_end,
            self.bytes_left,
        ];
        self.done > 0 && broken.iter().all(|&count| count == 0)
    }
}

/// How often upstreams ran the call.
pub(crate) fn ran(call: &plan::Call, record: &fleet::Record) -> u64 {
    match call.ask {
        plan::Ask::Model { .. } => {
            let hash = prompt::Prompt::new(&call.prompt()).hash;
            u64::from(record.prompts.contains(&hash))
        }
        plan::Ask::Booking { .. } => {
            record.bookings.get(&fleet::request_hash(&call.booking())).copied().unwrap_or(0)
        }
    }
}

/// Judges a run.
pub(crate) fn judge(results: &[caller::Told], record: &fleet::Record) -> Verdict {
    let mut verdict = Verdict { bytes_left: record.bytes_left, ..Verdict::default() };
    for told in results {
        add(&mut verdict, told, ran(&told.call, record));
    }
    verdict
}

fn add(verdict: &mut Verdict, told: &caller::Told, ran: u64) {
    verdict.calls += 1;
    match told.outcome.as_deref() {
        Some("done") => {
            verdict.done += 1;
            verdict.cut += u64::from(told.content == caller::Content::Part);
            verdict.false_done += u64::from(ran == 0);
        }
        Some("not-run") => {
            verdict.not_run += 1;
            verdict.false_not_run += u64::from(ran > 0);
        }
        Some("unknown") => verdict.unknown += 1,
        _ => verdict.no_clear_end += 1,
    }
    verdict.crossed += u64::from(told.content == caller::Content::Foreign);
    verdict.past_deadline += u64::from(is_late(told));
    verdict.doubled += u64::from(told.call.class().is_none() && ran > 1);
    if told.outcome.as_deref() != Some("done") {
        let outcome = told.outcome.as_deref().unwrap_or("nothing");
        *verdict.failures.entry(format!("{outcome}: {}", told.code)).or_insert(0) += 1;
    }
}

/// Whether the caller had its end after the deadline.
pub(crate) fn is_late(told: &caller::Told) -> bool {
    told.took > told.call.deadline + SLACK
}

/// The first check that this call breaks, for a report of single cases.
pub(crate) fn fault(told: &caller::Told, record: &fleet::Record) -> Option<&'static str> {
    let mut alone = Verdict::default();
    add(&mut alone, told, ran(&told.call, record));
    let checks = [
        (alone.doubled, "doubled"),
        (alone.crossed, "crossed"),
        (alone.cut, "cut"),
        (alone.false_not_run, "false not-run"),
        (alone.false_done, "false done"),
    ];
    checks.into_iter().find(|(count, _)| *count > 0).map(|(_, name)| name)
}

//! Report of a soak: counts, causes of failed calls, and a list of example calls.
//!
//! The end of a call is its outcome, or `nothing` if it got none, and its code.

use std::collections;
use std::fmt;
use std::time;

use serde::Serialize;

use super::fault;
use super::notes;
use crate::trial::caller;
use crate::trial::plan;
use crate::trial::verdict;

/// A kill or pause of an entry host, and the attempts that got no outcome or a late one because of
/// it. A retried call has two attempts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Disruption {
    /// Address of the entry host.
    pub host: String,
    /// The action and its time.
    pub word: String,
    /// Attempts at the host that got no outcome.
    pub told_nothing: u64,
    /// Attempts at the host that ended after the deadline of their call.
    pub late: u64,
    /// Ends of these attempts as the callers saw them, with counts.
    pub seen: collections::BTreeMap<String, u64>,
}

/// Report of a soak.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Duration of the arrivals, in seconds.
    pub seconds: f64,
    /// Counts of outcomes and of violated checks.
    pub verdict: verdict::Verdict,
    /// Attempts that got no outcome without a kill or pause of their entry host. Here and in the
    /// next count, the first attempt of a retried call counts as well as the retry.
    pub unexplained_nothing: u64,
    /// Attempts that ended after the deadline without a kill or pause of their entry host.
    pub unexplained_late: u64,
    /// Calls with the outcome `unknown`, by code, kind of call, whether an upstream ran it, and the
    /// faults active meanwhile.
    pub unknown: collections::BTreeMap<String, u64>,
    /// Calls that did not end with `done`, by end, counted in each twentieth of the run.
    pub timeline: collections::BTreeMap<String, [u64; TIMELINE_PARTS]>,
    /// Calls with the outcome `unknown` while no fault was active.
    pub unexplained_unknown: u64,
    /// Calls with an idempotency key that got no outcome and were retried at another host.
    pub asked_again: u64,
    /// Ends of these retries, with counts.
    pub told_again: collections::BTreeMap<String, u64>,
    /// Kills and pauses that affected attempts; one without effect is not listed.
    pub losses: Vec<Disruption>,
    /// The first calls that violated a check or are unexplained, at most 40.
    pub cases: Vec<String>,
    /// Whether every check passed.
    pub holds: bool,
}

/// Number of equal parts of the run in the timeline.
pub const TIMELINE_PARTS: usize = 20;
/// Maximum number of listed cases.
const MAX_CASES: usize = 40;

impl Report {
    pub(super) fn new(
        settings: &super::Settings,
        results: &[caller::CallResult],
        verdict: verdict::Verdict,
        record: &crate::trial::fleet::Record,
        host_notes: &[notes::Note],
    ) -> Report {
        let mut report = Report {
            seed: settings.seed,
            seconds: settings.seconds,
            verdict,
            unexplained_nothing: 0,
            unexplained_late: 0,
            unknown: collections::BTreeMap::new(),
            timeline: collections::BTreeMap::new(),
            unexplained_unknown: 0,
            asked_again: 0,
            told_again: collections::BTreeMap::new(),
            losses: Vec::new(),
            cases: Vec::new(),
            holds: false,
        };
        for result in results {
            report.attribute_failure(result, host_notes);
            report.add_to_timeline(result);
            if let Some(first_attempt) = &result.first_attempt {
                report.asked_again += 1;
                *report.told_again.entry(end_label(result)).or_insert(0) += 1;
                report.attribute_failure(first_attempt, host_notes);
            }
            if result.outcome.as_deref() == Some("unknown") {
                report.add_unknown(result, verdict::count_runs(&result.call, record), host_notes);
            }
            if let Some(check) = verdict::violated_check(result, record) {
                report.add_case(check, result);
            }
        }
        report.holds = report.all_checks_pass();
        report
    }

    /// Counts an attempt that got no outcome or a late one, under the kill or pause that explains
    /// it or as unexplained.
    fn attribute_failure(&mut self, result: &caller::CallResult, host_notes: &[notes::Note]) {
        let no_outcome = result.outcome.is_none();
        let late = verdict::is_late(result);
        if !no_outcome && !late {
            return;
        }
        let started = result.started.duration_since(time::UNIX_EPOCH).unwrap_or_default();
        match notes::find_cause(host_notes, result.host, (started, started + result.elapsed)) {
            Some(note) => {
                let disruption = self.disruption_entry(&note);
                disruption.told_nothing += u64::from(no_outcome);
                disruption.late += u64::from(late);
                *disruption.seen.entry(end_label(result)).or_insert(0) += 1;
            }
            None => {
                self.unexplained_nothing += u64::from(no_outcome);
                self.unexplained_late += u64::from(late);
                self.add_case(if no_outcome { "told nothing" } else { "late" }, result);
            }
        }
    }

    /// Counts a call that did not end with `done` in the timeline.
    fn add_to_timeline(&mut self, result: &caller::CallResult) {
        if result.outcome.as_deref() == Some("done") {
            return;
        }
        let part = result.call.at.as_secs_f64() / self.seconds * TIMELINE_PARTS as f64;
        let row = self.timeline.entry(end_label(result)).or_insert([0; TIMELINE_PARTS]);
        row[(part as usize).min(TIMELINE_PARTS - 1)] += 1;
    }

    /// Counts a call with the outcome `unknown`; `ran` is the number of runs at upstreams.
    fn add_unknown(&mut self, result: &caller::CallResult, ran: u64, host_notes: &[notes::Note]) {
        let at = result.call.at.as_secs_f64();
        let mut faults = fault::active(self.seconds, (at, at + result.elapsed.as_secs_f64()));
        let started = result.started.duration_since(time::UNIX_EPOCH).unwrap_or_default();
        if notes::find_cause(host_notes, result.host, (started, started + result.elapsed)).is_some()
        {
            faults.push("entry host paused".to_owned());
        }
        if faults.is_empty() {
            self.unexplained_unknown += 1;
            self.add_case("unknown without a fault", result);
        }
        let kind = match result.call.request {
            plan::Request::Model { stream: true, .. } => "streamed completion",
            plan::Request::Model { .. } => "completion",
            plan::Request::Booking { keyed: true } => "booking with a key",
            plan::Request::Booking { keyed: false } => "booking",
        };
        let ran = if ran > 0 { "an upstream had it" } else { "no upstream had it" };
        let line = format!("{}: {kind}, {ran}; on: {}", result.code, faults.join(", "));
        *self.unknown.entry(line).or_insert(0) += 1;
    }

    /// Adds a call to the list of example calls, with the violated check or other reason, unless
    /// the list is full.
    fn add_case(&mut self, reason: &str, result: &caller::CallResult) {
        if self.cases.len() < MAX_CASES {
            let caller::CallResult { call, host, elapsed, content, .. } = result;
            let at = call.at + *elapsed;
            self.cases.push(format!(
                "{reason}: call {} at {host}, from {:.2} s to {:.2} s: {:?}, {}, {content:?}",
                call.number,
                call.at.as_secs_f64(),
                at.as_secs_f64(),
                call.request,
                end_label(result)
            ));
        }
    }

    /// Returns the entry of a kill or pause, created on first use.
    fn disruption_entry(&mut self, note: &notes::Note) -> &mut Disruption {
        let (host, word) = (note.host.to_string(), format!("{:?} at {:?}", note.action, note.at));
        let found = self.losses.iter().position(|entry| entry.host == host && entry.word == word);
        let index = found.unwrap_or_else(|| {
            let seen = collections::BTreeMap::new();
            self.losses.push(Disruption { host, word, told_nothing: 0, late: 0, seen });
            self.losses.len() - 1
        });
        &mut self.losses[index]
    }

    /// Returns whether every check passed. Missing and late outcomes are allowed only where a kill
    /// or pause of the entry host explains them.
    fn all_checks_pass(&self) -> bool {
        let verdict =
            verdict::Verdict { no_clear_end: 0, past_deadline: 0, ..self.verdict.clone() };
        verdict.holds()
            && self.unexplained_nothing == 0
            && self.unexplained_late == 0
            && self.unexplained_unknown == 0
    }
}

/// Returns outcome and code of a call, as listed in the report.
fn end_label(result: &caller::CallResult) -> String {
    format!("{}: {}", result.outcome.as_deref().unwrap_or("nothing"), result.code)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = &self.verdict;
        writeln!(f, "{} calls in {} s of arrivals", verdict.calls, self.seconds)?;
        writeln!(
            f,
            "done {}, not-run {}, unknown {}, told nothing {}",
            verdict.done, verdict.not_run, verdict.unknown, verdict.no_clear_end
        )?;
        writeln!(
            f,
            "doubled {}, cut {}, crossed {}, false not-run {}, false done {}, past deadline {}, \
             engine bytes not returned {}",
            verdict.doubled,
            verdict.cut,
            verdict.crossed,
            verdict.false_not_run,
            verdict.false_done,
            verdict.past_deadline,
            verdict.bytes_left
        )?;
        writeln!(f, "ends that are not done, and how many in each twentieth of the run:")?;
        for (failure, parts) in &self.timeline {
            let parts: Vec<String> = parts.iter().map(u64::to_string).collect();
            writeln!(f, "  {:>6} {failure}: {}", verdict.failures[failure], parts.join(" "))?;
        }
        writeln!(
            f,
            "with no kill or pause of their entry host: told nothing {}, past deadline {}; unknown \
             with no fault on: {}",
            self.unexplained_nothing, self.unexplained_late, self.unexplained_unknown
        )?;
        let share = 100.0 * verdict.unknown as f64 / verdict.calls.max(1) as f64;
        writeln!(f, "unknown, {share:.2} % of all calls:")?;
        for (line, count) in &self.unknown {
            writeln!(f, "  {count:>6} {line}")?;
        }
        for disruption in &self.losses {
            let Disruption { host, word, told_nothing, late, seen } = disruption;
            writeln!(f, "{word} of {host}: told nothing {told_nothing}, late {late}: {seen:?}")?;
        }
        writeln!(f, "asked again elsewhere {}: {:?}", self.asked_again, self.told_again)?;
        for case in &self.cases {
            writeln!(f, "case: {case}")?;
        }
        write!(f, "{}", if self.holds { "every check held" } else { "A CHECK FAILED" })
    }
}

//! What a soak showed, case by case.

use std::collections;
use std::fmt;
use std::time;

use serde::Serialize;

use super::fault;
use super::notes;
use crate::trial::caller;
use crate::trial::plan;
use crate::trial::verdict;

/// A kill or pause of an entry host, and the calls that it left without an answer in time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Loss {
    /// Address of the entry host.
    pub host: String,
    /// What was done to it.
    pub word: String,
    /// Calls there that were told nothing.
    pub told_nothing: u64,
    /// Calls there that ended after their deadline.
    pub late: u64,
    /// What callers saw, with counts.
    pub seen: collections::BTreeMap<String, u64>,
}

/// What a soak showed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Seconds of arrivals.
    pub seconds: f64,
    /// All counts.
    pub verdict: verdict::Verdict,
    /// Calls told nothing, with no kill or pause of their entry host.
    pub unexplained_nothing: u64,
    /// Calls past their deadline, with no pause of their entry host.
    pub unexplained_late: u64,
    /// Calls told `unknown`, by code, kind of call, whether an upstream ran it, and the faults that
    /// were on meanwhile.
    pub unknown: collections::BTreeMap<String, u64>,
    /// Calls that did not end with `done`, by end, in each twentieth of the run.
    pub timeline: collections::BTreeMap<String, [u64; PARTS]>,
    /// Calls told `unknown` while no fault was on.
    pub unexplained_unknown: u64,
    /// Calls with an idempotency key that were told nothing, and were told an end at another host.
    pub asked_again: u64,
    /// What they were told there.
    pub told_again: collections::BTreeMap<String, u64>,
    /// Each kill and pause with the calls that it left.
    pub losses: Vec<Loss>,
    /// A few of the calls that broke a check or are unexplained.
    pub cases: Vec<String>,
    /// Whether everything that must hold held.
    pub holds: bool,
}

/// Parts of the run in the timeline.
pub const PARTS: usize = 20;
/// Most cases that are listed.
const CASES: usize = 40;

impl Report {
    pub(super) fn new(
        settings: &super::Settings,
        results: &[caller::Told],
        verdict: verdict::Verdict,
        record: &crate::trial::fleet::Record,
        noted: &[notes::Note],
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
        for told in results {
            report.add(told, noted);
            report.place(told);
            if let Some(first) = &told.first {
                report.asked_again += 1;
                *report.told_again.entry(end(told)).or_insert(0) += 1;
                report.add(first, noted);
            }
            if told.outcome.as_deref() == Some("unknown") {
                report.add_unknown(told, verdict::ran(&told.call, record), noted);
            }
            if let Some(fault) = verdict::fault(told, record) {
                report.case(fault, told);
            }
        }
        report.holds = report.judge();
        report
    }

    fn add(&mut self, told: &caller::Told, noted: &[notes::Note]) {
        let nothing = told.outcome.is_none();
        let late = verdict::is_late(told);
        if !nothing && !late {
            return;
        }
        let made = told.made.duration_since(time::UNIX_EPOCH).unwrap_or_default();
        match notes::explains(noted, told.host, (made, made + told.took)) {
            Some(note) => {
                let loss = self.loss(&note);
                loss.told_nothing += u64::from(nothing);
                loss.late += u64::from(late);
                *loss.seen.entry(end(told)).or_insert(0) += 1;
            }
            None => {
                self.unexplained_nothing += u64::from(nothing);
                self.unexplained_late += u64::from(late);
                self.case(if nothing { "told nothing" } else { "late" }, told);
            }
        }
    }

    fn place(&mut self, told: &caller::Told) {
        if told.outcome.as_deref() == Some("done") {
            return;
        }
        let part = told.call.at.as_secs_f64() / self.seconds * PARTS as f64;
        let row = self.timeline.entry(end(told)).or_insert([0; PARTS]);
        row[(part as usize).min(PARTS - 1)] += 1;
    }

    fn add_unknown(&mut self, told: &caller::Told, ran: u64, noted: &[notes::Note]) {
        let at = told.call.at.as_secs_f64();
        let mut faults = fault::active(self.seconds, (at, at + told.took.as_secs_f64()));
        let made = told.made.duration_since(time::UNIX_EPOCH).unwrap_or_default();
        if notes::explains(noted, told.host, (made, made + told.took)).is_some() {
            faults.push("entry host paused".to_owned());
        }
        if faults.is_empty() {
            self.unexplained_unknown += 1;
            self.case("unknown without a fault", told);
        }
        let kind = match told.call.ask {
            plan::Ask::Model { stream: true, .. } => "streamed completion",
            plan::Ask::Model { .. } => "completion",
            plan::Ask::Booking { keyed: true } => "booking with a key",
            plan::Ask::Booking { keyed: false } => "booking",
        };
        let ran = if ran > 0 { "an upstream had it" } else { "no upstream had it" };
        let line = format!("{}: {kind}, {ran}; on: {}", told.code, faults.join(", "));
        *self.unknown.entry(line).or_insert(0) += 1;
    }

    fn case(&mut self, fault: &str, told: &caller::Told) {
        if self.cases.len() < CASES {
            let caller::Told { call, host, took, content, .. } = told;
            let at = call.at + *took;
            self.cases.push(format!(
                "{fault}: call {} at {host}, from {:.2} s to {:.2} s: {:?}, {}, {content:?}",
                call.number,
                call.at.as_secs_f64(),
                at.as_secs_f64(),
                call.ask,
                end(told)
            ));
        }
    }

    fn loss(&mut self, note: &notes::Note) -> &mut Loss {
        let (host, word) = (note.host.to_string(), format!("{:?} at {:?}", note.word, note.at));
        let found = self.losses.iter().position(|loss| loss.host == host && loss.word == word);
        let index = found.unwrap_or_else(|| {
            let seen = collections::BTreeMap::new();
            self.losses.push(Loss { host, word, told_nothing: 0, late: 0, seen });
            self.losses.len() - 1
        });
        &mut self.losses[index]
    }

    /// A kill may leave calls without an answer, and a pause beyond their deadline; nothing else.
    fn judge(&self) -> bool {
        let verdict =
            verdict::Verdict { no_clear_end: 0, past_deadline: 0, ..self.verdict.clone() };
        verdict.holds()
            && self.unexplained_nothing == 0
            && self.unexplained_late == 0
            && self.unexplained_unknown == 0
    }
}

fn end(told: &caller::Told) -> String {
    format!("{}: {}", told.outcome.as_deref().unwrap_or("nothing"), told.code)
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
        for loss in &self.losses {
            let Loss { host, word, told_nothing, late, seen } = loss;
            writeln!(f, "{word} of {host}: told nothing {told_nothing}, late {late}: {seen:?}")?;
        }
        writeln!(f, "asked again elsewhere {}: {:?}", self.asked_again, self.told_again)?;
        for case in &self.cases {
            writeln!(f, "case: {case}")?;
        }
        write!(f, "{}", if self.holds { "every check held" } else { "A CHECK FAILED" })
    }
}

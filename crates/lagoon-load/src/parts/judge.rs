//! What a host knows of crashes, and what it refuses.

use std::collections;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::lifecycle::quarantine::{Prompt, Quarantine, Record, Status, Suspect};

use super::Way;

/// Number of parts that a host asks others about.
const DOUBTED: usize = 8;
/// Age of the crashes for which it asks.
const DOUBT_AGE: clock::Span = clock::Span::from_secs(10);

/// What a host knows.
#[derive(Debug)]
pub(super) struct Judge {
    way: Way,
    quarantine: Quarantine,
    counted: Counted,
}

/// Words about verdicts.
#[derive(Clone, Debug, Default)]
pub(super) struct Verdicts {
    records: Vec<Record>,
    parts: collections::BTreeSet<id::Part>,
}

impl Verdicts {
    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty() && self.parts.is_empty()
    }

    pub(super) fn extend(&mut self, other: Verdicts) {
        self.records.extend(other.records);
        self.parts.extend(other.parts);
    }
}

/// The crashes of each part since the last answer that began with it.
#[derive(Debug, Default)]
struct Counted {
    crashes: collections::BTreeMap<id::Part, Vec<clock::Moment>>,
    begun: collections::BTreeMap<id::Part, clock::Moment>,
    refused: collections::BTreeSet<id::Part>,
}

impl Counted {
    /// Crashes that prove a part lethal, and the time within which crashes count once.
    const REQUIRED: usize = 3;
    const CORRELATED: clock::Span = clock::Span::from_millis(100);

    fn crash(&mut self, suspects: &[Suspect], now: clock::Moment) {
        for part in suspects.iter().flat_map(|suspect| suspect.prompt.parts.iter()) {
            let crashes = self.crashes.entry(part.clone()).or_default();
            if crashes.last().is_none_or(|last| now.since(*last) > Counted::CORRELATED) {
                crashes.push(now);
            }
        }
    }

    fn uncleared(&self, part: &id::Part) -> usize {
        let begun = self.begun.get(part).copied().unwrap_or(clock::Moment::START);
        let crashes = self.crashes.get(part).into_iter().flatten();
        crashes.filter(|at| **at > begun).count()
    }

    fn begin(&mut self, part: &id::Part, begun: clock::Moment) -> bool {
        let had = self.uncleared(part);
        let known = self.begun.entry(part.clone()).or_default();
        *known = begun.max(*known);
        self.uncleared(part) < had
    }

    fn evaluate(&mut self) -> Verdicts {
        let proven = self.crashes.keys().filter(|part| {
            self.uncleared(part) >= Counted::REQUIRED && !self.refused.contains(*part)
        });
        let parts: collections::BTreeSet<_> = proven.cloned().collect();
        self.refused.extend(parts.iter().cloned());
        Verdicts { parts, ..Verdicts::default() }
    }
}

impl Judge {
    pub(super) fn new(way: Way) -> Judge {
        Judge { way, quarantine: Quarantine::default(), counted: Counted::default() }
    }

    pub(super) fn crash(
        &mut self,
        upstream: &id::Upstream,
        suspects: &[Suspect],
        now: clock::Moment,
    ) {
        match self.way {
            Way::Whole => {
                let whole = suspects.iter().cloned();
                let whole = whole.map(|known| Suspect { prompt: Prompt::default(), ..known });
                self.quarantine.record_crash(upstream, &whole.collect::<Vec<_>>(), now);
            }
            Way::Count => self.counted.crash(suspects, now),
            Way::Best | Way::Held => self.quarantine.record_crash(upstream, suspects, now),
        }
    }

    /// Records an answer that began; returns whether others should be told.
    pub(super) fn begin(&mut self, part: &id::Part, begun: clock::Moment) -> bool {
        match self.way {
            Way::Whole => false,
            Way::Count => self.counted.begin(part, begun),
            Way::Best | Way::Held => self.quarantine.record_begun(part, begun),
        }
    }

    pub(super) fn begun_at(&self, part: &id::Part) -> Option<clock::Moment> {
        match self.way {
            Way::Whole => None,
            Way::Count => self.counted.begun.get(part).copied(),
            Way::Best | Way::Held => self.quarantine.begun_at(part),
        }
    }

    pub(super) fn doubted(&self, now: clock::Moment) -> Vec<id::Part> {
        match self.way {
            Way::Whole => Vec::new(),
            Way::Count => {
                let parts = self.counted.crashes.keys();
                let doubted = parts.filter(|part| self.counted.uncleared(part) >= 2);
                doubted.take(DOUBTED).cloned().collect()
            }
            Way::Best | Way::Held => {
                self.quarantine.doubted_parts(now.saturating_sub(DOUBT_AGE), DOUBTED)
            }
        }
    }

    pub(super) fn evaluate(&mut self, now: clock::Moment) -> Verdicts {
        if self.way == Way::Count {
            return self.counted.evaluate();
        }
        self.quarantine.expire(now);
        let verdicts = self.quarantine.evaluate(now);
        let records = verdicts.into_iter().map(|verdict| verdict.record).collect();
        Verdicts { records, ..Verdicts::default() }
    }

    /// Returns all verdicts, for a host that lacks some.
    pub(super) fn verdicts(&self, now: clock::Moment) -> Verdicts {
        Verdicts {
            records: self.quarantine.records(now).cloned().collect(),
            parts: self.counted.refused.clone(),
        }
    }

    pub(super) fn merge(&mut self, verdicts: &Verdicts, now: clock::Moment) {
        for record in &verdicts.records {
            self.quarantine.merge(record.clone(), now);
        }
        self.counted.refused.extend(verdicts.parts.iter().cloned());
    }

    pub(super) fn status(&self, suspect: &Suspect, now: clock::Moment) -> Status {
        if self.way == Way::Count {
            let mut parts = suspect.prompt.parts.iter();
            let refused = parts.any(|part| self.counted.refused.contains(part));
            // How long it is refused does not matter here: longer than a run lasts.
            return if refused { Status::Pending(clock::Span::MAX) } else { Status::Allowed };
        }
        match self.quarantine.status(&suspect.fingerprint, now) {
            Status::Allowed if self.way != Way::Whole => {
                self.quarantine.prompt_status(&suspect.prompt, now)
            }
            status => status,
        }
    }

    pub(super) fn retry_delay(&self, suspect: &Suspect) -> clock::Span {
        if self.way == Way::Held {
            self.quarantine.retry_delay(&suspect.fingerprint, &suspect.prompt)
        } else {
            clock::Span::ZERO
        }
    }
}

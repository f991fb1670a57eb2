//! Refuses requests that crash the upstreams that start to run them.
//!
//! A request that crashes every upstream that starts it, called lethal here, is retried under new
//! ids and at any host. Each time it interrupts the other requests on that upstream, which are
//! retried and interrupted again at the next one, until most of the fleet is down.
//!
//! A request is identified by its [`Fingerprint`]. Hosts tell each other which requests had just
//! started on an upstream that crashed. A request involved in [`Settings::required_crashes`]
//! crashes that nothing else explains is refused for a while; a request that may still have been
//! queued needs twice as many. The following rules keep other requests from being refused by
//! mistake:
//!
//! - crashes at the same time count once (a rack failure);
//! - a request that is answered completely is not a suspect (popular requests run on many
//!   upstreams);
//! - a crash that involved a quarantined request is no evidence against the others;
//! - while two suspects were involved in the same crashes neither is refused, until a later crash
//!   tells them apart.
//!
//! Prompts that differ may crash upstreams because of a part that they share. Then what they have in
//! common is refused, a [`Pattern`]: the part that explains most crashes, with the parts and the
//! customer that always came with it. Such verdicts follow from all evidence and are judged anew with
//! each crash: one whose crashes another part explains better is withdrawn. Crashes count against a
//! part only until an answer to a prompt with it begins and goes on, and each request counts once.
//!
//! A quarantine expires. After that a single crash is enough for the next one, which lasts twice as
//! long.

mod evidence;
mod parts;
mod pattern;
mod record;
mod settings;

pub use pattern::{Pattern, Prompt};
pub use record::Record;
pub use settings::Settings;

use std::collections;

use crate::clock;
use crate::id;
use crate::lifecycle::fingerprint::Fingerprint;

/// Whether a request may be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Status {
    /// It may be sent.
    Allowed,
    /// The decision is due after this time, once other hosts have reported on the last crash.
    Pending(clock::Span),
    /// It is refused under this record.
    Quarantined(Record),
}

/// How far an upstream had got with a request when its connection broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Unknown, because the answer is sent as a whole.
    Unknown,
    /// The answer had not started.
    Waiting,
    /// The answer had started.
    Answering {
        /// Time since the answer started.
        span: clock::Span,
        /// Number of answer events received.
        events: u64,
    },
}

/// Weight of a crash as evidence against a request that was in flight.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Weight {
    /// The request may still have been queued: it takes twice as many crashes to prove.
    MaybeQueued,
    /// The upstream had just started the request.
    Started,
    /// The upstream had begun the answer, and sent no event of it: it crashed at the moment at which a
    /// lethal request crashes it.
    Begun,
}

impl Weight {
    const fn points(self) -> usize {
        match self {
            Weight::MaybeQueued => 1,
            Weight::Started | Weight::Begun => 2,
        }
    }

    /// Returns the points against a part of the prompt, which other prompts at the crash may have too.
    const fn part_points(self) -> usize {
        match self {
            Weight::MaybeQueued | Weight::Started => 1,
            Weight::Begun => 2,
        }
    }
}

/// A request that was in flight at an upstream when it crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// The request's identity.
    pub fingerprint: Fingerprint,
    /// Weight of the evidence against it.
    pub weight: Weight,
    /// Its customer and the shared parts of its prompt.
    pub prompt: Prompt,
}

/// A decision to quarantine a request or a pattern, with the upstreams that crashed while running
/// it, or to withdraw the quarantine of a pattern, without any.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The record to share with other hosts.
    pub record: Record,
    /// The upstreams that crashed.
    pub upstreams: Vec<id::Upstream>,
}

/// Tracks suspected requests and the requests in quarantine.
///
/// ```
/// use lagoonline::clock::{Moment, Span};
/// use lagoonline::id::Upstream;
/// use lagoonline::lifecycle::fingerprint::Fingerprint;
/// use lagoonline::lifecycle::quarantine::{Prompt, Quarantine, Status, Suspect, Weight};
///
/// let mut quarantine = Quarantine::default();
/// let lethal = Fingerprint::new("acme", "/talk/a", b"a body");
/// let prompt = Prompt::default();
/// let suspect = Suspect { fingerprint: lethal, weight: Weight::Started, prompt };
/// let mut now = Moment::START;
/// for upstream in ["e1", "e2", "e3"] {
///     assert_eq!(quarantine.status(&lethal, now), Status::Allowed);
///     quarantine.record_crash(&Upstream::from(upstream), &[suspect.clone()], now);
///     now = now + Span::from_secs(1);
/// }
/// assert_eq!(quarantine.evaluate(now).len(), 1);
/// assert!(matches!(quarantine.status(&lethal, now), Status::Quarantined(_)));
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: Settings,
    evidence: evidence::Evidence,
    parts: parts::Evidence,
    records: record::Records,
    /// There is evidence that has not been evaluated, or not yet with all reports of other hosts.
    needs_evaluation: bool,
}

impl Default for Quarantine {
    fn default() -> Self {
        Quarantine::new(Settings::default())
    }
}

impl Quarantine {
    /// Creates a quarantine with the given settings.
    pub fn new(settings: Settings) -> Quarantine {
        let evidence = evidence::Evidence::new(settings);
        Quarantine {
            settings,
            evidence,
            parts: parts::Evidence::new(settings),
            records: record::Records::default(),
            needs_evaluation: false,
        }
    }

    /// Returns whether a suspected, recently answered or quarantined request has a body of `length`
    /// bytes. If not, the fingerprint of such a request need not be computed.
    pub fn has_length(&self, length: u64) -> bool {
        self.records.has_length(length) || self.evidence.has_length(length)
    }

    /// Returns the weight of a crash against a request that had made this progress. An answer that
    /// had delivered events for longer than [`Settings::start_window`] yields `None`: a lethal
    /// request crashes an upstream as soon as it starts. An answer without any event yet always
    /// counts.
    pub fn weight(&self, progress: Progress) -> Option<Weight> {
        match progress {
            Progress::Answering { events: 0, .. } => Some(Weight::Begun),
            Progress::Unknown => Some(Weight::Started),
            Progress::Waiting => Some(Weight::MaybeQueued),
            Progress::Answering { span, .. } => {
                (span <= self.settings.start_window).then_some(Weight::Started)
            }
        }
    }

    /// Records that `suspects` were in flight at `upstream` when it crashed.
    pub fn record_crash(
        &mut self,
        upstream: &id::Upstream,
        suspects: &[Suspect],
        now: clock::Moment,
    ) {
        let is_quarantined = |suspect: &Suspect| {
            let record = self.records.get(&suspect.fingerprint);
            record.is_some_and(|record| record.is_active(now))
        };
        let culprits: Vec<_> = suspects.iter().filter(|suspect| is_quarantined(suspect)).collect();
        let culprits: Vec<_> = culprits.into_iter().map(|suspect| suspect.fingerprint).collect();
        self.parts.add(upstream, suspects, &culprits, now);
        let is_explained = |suspect: &Suspect| {
            culprits.contains(&suspect.fingerprint)
                || self.records.refusing(&suspect.prompt, now).is_some()
        };
        let (explained, suspects): (Vec<_>, Vec<_>) =
            suspects.iter().cloned().partition(|suspect| is_explained(suspect));
        self.evidence.add(upstream, &suspects, !explained.is_empty(), now);
        self.needs_evaluation = true;
    }

    /// Records that an answer to a prompt with `part` began at `begun` and went on, which shows that
    /// the part does not crash upstreams. Returns whether other hosts should be told.
    pub fn record_begun(&mut self, part: &id::Part, begun: clock::Moment) -> bool {
        let is_news = self.parts.record_begun(part, begun);
        self.needs_evaluation |= is_news;
        is_news
    }

    /// Returns when the last answer to a prompt with `part` began that went on, if this is known.
    pub fn begun_at(&self, part: &id::Part) -> Option<clock::Moment> {
        self.parts.begun_at(part)
    }

    /// Returns the parts that were at several crashes since `since` and that nothing has cleared, at
    /// most `count`.
    pub fn doubted_parts(&self, since: clock::Moment, count: usize) -> Vec<id::Part> {
        self.parts.doubted(since, count)
    }

    /// Returns how long a request that was just at a crash must wait before it is sent to another
    /// upstream: until other hosts have reported on the crash, if one of its parts was at a crash
    /// before under another request.
    pub fn retry_delay(&self, request: &Fingerprint, prompt: &Prompt) -> clock::Span {
        if self.parts.is_suspected(request, prompt) {
            self.settings.settle_time
        } else {
            clock::Span::ZERO
        }
    }

    /// Records that a request was answered completely, which shows that it does not crash
    /// upstreams. Returns whether other hosts should be told, and the record that ends its
    /// quarantine if it was in one.
    pub fn record_answer(
        &mut self,
        request: &Fingerprint,
        now: clock::Moment,
    ) -> (bool, Option<Record>) {
        let released = self.release(request, now);
        (self.evidence.record_answer(request, now) || released.is_some(), released)
    }

    /// Returns whether a request may be sent, by its identity alone.
    pub fn status(&self, request: &Fingerprint, now: clock::Moment) -> Status {
        if let Some(record) = self.records.get(request).filter(|record| record.is_active(now)) {
            return Status::Quarantined(record.clone());
        }
        let pending = self.evidence.pending_delay(request, now);
        pending.map_or(Status::Allowed, Status::Pending)
    }

    /// Returns whether evidence or a quarantine of any part of prompts exists. If not,
    /// [`Quarantine::prompt_status`] allows every prompt.
    pub fn has_parts(&self) -> bool {
        !self.parts.is_empty() || self.records.has_length(u64::MAX)
    }

    /// Returns whether a prompt may be sent, by the parts that it shares with others.
    pub fn prompt_status(&self, prompt: &Prompt, now: clock::Moment) -> Status {
        if let Some(record) = self.records.refusing(prompt, now) {
            return Status::Quarantined(record.clone());
        }
        let pending = self.parts.pending_delay(prompt, now);
        pending.map_or(Status::Allowed, Status::Pending)
    }

    /// Quarantines the requests that are proven to crash upstreams, and what prompts that crash them
    /// have in common, and withdraws patterns that the evidence no longer shows.
    pub fn evaluate(&mut self, now: clock::Moment) -> Vec<Verdict> {
        if !self.needs_evaluation {
            return Vec::new();
        }
        let mut verdicts = self.evaluate_patterns(now);
        loop {
            let was_quarantined = |request: &Fingerprint| {
                let record = self.records.get(request);
                record.is_some_and(|record| !record.released && !record.is_active(now))
            };
            let Some(request) = self.evidence.proven(was_quarantined, now) else { break };
            let upstreams = self.evidence.upstreams(&request);
            let record = self.quarantine(request, None, upstreams.len(), now);
            verdicts.push(Verdict { record, upstreams });
        }
        self.needs_evaluation = !self.evidence.is_settled(now) || !self.parts.is_settled(now);
        verdicts
    }

    fn evaluate_patterns(&mut self, now: clock::Moment) -> Vec<Verdict> {
        let findings = self.parts.findings(&self.lapsed_parts(now), now);
        let found: collections::BTreeSet<_> =
            findings.iter().map(|finding| finding.pattern.clone()).collect();
        // One that refuses less than another one stays until it expires.
        let is_narrower = |pattern: &Pattern| found.iter().any(|found| found.covers(pattern));
        let active = self.records.values().filter(|record| record.is_active(now));
        let active = active.filter_map(|record| record.pattern.clone());
        let others: Vec<_> = active.filter(|pattern| !is_narrower(pattern)).collect();
        let all = others.iter().chain(&found).cloned().collect();
        let needless = self.parts.needless(&all);
        let mut withdrawn = needless.clone();
        let mut proven: Vec<_> = findings
            .into_iter()
            .filter(|finding| !needless.contains(&finding.pattern))
            .map(|finding| (finding.pattern, finding.upstreams))
            .collect();
        for pattern in others {
            match self.parts.narrowed(&pattern) {
                Some(parts) if parts.is_empty() => withdrawn.push(pattern),
                // One of the parts was proven lethal, so it is one of those that are left.
                Some(parts) => proven.push((Pattern { parts, ..pattern }, Vec::new())),
                None => {}
            }
        }
        let mut verdicts = Vec::new();
        for pattern in withdrawn {
            if let Some(record) = self.release(&pattern.fingerprint(), now) {
                verdicts.push(Verdict { record, upstreams: Vec::new() });
            }
        }
        for (pattern, upstreams) in proven {
            if self.is_refused(&pattern, now) {
                continue;
            }
            let fingerprint = pattern.fingerprint();
            let record = self.quarantine(fingerprint, Some(pattern), upstreams.len(), now);
            verdicts.push(Verdict { record, upstreams });
        }
        verdicts
    }

    /// Returns whether all prompts that match `pattern` are refused already.
    fn is_refused(&self, pattern: &Pattern, now: clock::Moment) -> bool {
        let mut active = self.records.values().filter(|record| record.is_active(now));
        active.any(|record| record.pattern.as_ref().is_some_and(|known| known.covers(pattern)))
    }

    /// Returns the parts whose quarantine has expired. A pattern of several says of none of them that
    /// it is lethal.
    fn lapsed_parts(&self, now: clock::Moment) -> collections::BTreeSet<id::Part> {
        let lapsed =
            self.records.values().filter(|record| !record.released && !record.is_active(now));
        let patterns = lapsed.filter_map(|record| record.pattern.as_ref());
        let patterns = patterns.filter(|pattern| pattern.parts.len() == 1);
        patterns.flat_map(|pattern| pattern.parts.iter().cloned()).collect()
    }

    fn quarantine(
        &mut self,
        fingerprint: Fingerprint,
        pattern: Option<Pattern>,
        crashes: usize,
        now: clock::Moment,
    ) -> Record {
        let known = self.records.get(&fingerprint);
        let (version, occurrences) =
            known.map_or((0, 0), |known| (known.version, known.occurrences));
        let span = self
            .settings
            .base_duration
            .saturating_mul(1_u32.checked_shl(occurrences).unwrap_or(u32::MAX));
        let record = Record {
            fingerprint,
            pattern,
            version: version + 1,
            occurrences: occurrences + 1,
            crashes: u32::try_from(crashes).unwrap_or(u32::MAX),
            expires_at: now + span.min(self.settings.max_duration),
            released: false,
        };
        self.merge(record.clone(), now);
        record
    }

    /// Ends the quarantine of a request; returns `None` if it is not in quarantine.
    pub fn release(&mut self, request: &Fingerprint, now: clock::Moment) -> Option<Record> {
        let known = self.records.get(request).filter(|record| record.is_active(now))?;
        let record =
            Record { version: known.version + 1, occurrences: 0, released: true, ..known.clone() };
        self.merge(record.clone(), now);
        Some(record)
    }

    /// Merges a record received from another host or read from the platform; returns whether it is
    /// newer than the known one.
    pub fn merge(&mut self, record: Record, now: clock::Moment) -> bool {
        let is_newer = self.records.merge(record.clone());
        if is_newer && record.is_active(now) {
            self.evidence.explain(&record.fingerprint);
        }
        if is_newer && record.released {
            self.clear_parts(&record, now);
        }
        is_newer
    }

    /// Clears the parts of a released pattern that no other one refuses.
    fn clear_parts(&mut self, record: &Record, now: clock::Moment) {
        let parts = record.pattern.iter().flat_map(|pattern| pattern.parts.iter());
        let refused = |part: &&id::Part| {
            let mut active = self.records.values().filter(|record| record.is_active(now));
            active.any(|record| {
                record.pattern.as_ref().is_some_and(|pattern| pattern.parts.contains(part))
            })
        };
        let cleared: Vec<_> = parts.filter(|part| !refused(part)).cloned().collect();
        for part in cleared {
            self.parts.record_begun(&part, now);
        }
    }

    /// Returns the records that have not expired, for sharing with other hosts.
    pub fn records(&self, now: clock::Moment) -> impl Iterator<Item = &Record> {
        self.records.unexpired(now)
    }

    /// Returns a checksum of the records that differs between hosts with different records; 0 if
    /// there are none.
    pub fn checksum(&self, now: clock::Moment) -> u64 {
        self.records.checksum(now)
    }

    /// Returns the number of suspected requests that are not in quarantine.
    pub fn suspect_count(&self) -> usize {
        self.evidence.suspect_count()
    }

    /// Drops expired evidence and records. Records are kept for another base duration after they
    /// expire, because a single crash within that time is enough for the next quarantine.
    pub fn expire(&mut self, now: clock::Moment) {
        self.evidence.expire(now);
        self.parts.expire(now);
        self.records.expire(self.settings.base_duration, self.settings.max_entries, now);
    }
}

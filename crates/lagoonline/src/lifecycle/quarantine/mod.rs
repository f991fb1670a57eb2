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
//! A quarantine expires. After that a single crash is enough for the next one, which lasts twice as
//! long.

mod evidence;
mod record;
mod settings;

pub use record::Record;
pub use settings::Settings;

use crate::clock;
use crate::id;
use crate::lifecycle::fingerprint::Fingerprint;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
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
}

impl Weight {
    const fn points(self) -> usize {
        match self {
            Weight::MaybeQueued => 1,
            Weight::Started => 2,
        }
    }
}

/// A request that was in flight at an upstream when it crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// The request's identity.
    pub fingerprint: Fingerprint,
    /// Weight of the evidence against it.
    pub weight: Weight,
}

/// A decision to quarantine a request, with the upstreams that crashed while running it.
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
/// use lagoonline::lifecycle::quarantine::{Quarantine, Status, Suspect, Weight};
///
/// let mut quarantine = Quarantine::default();
/// let lethal = Fingerprint::new("acme", "/talk/a", b"a body");
/// let suspect = Suspect { fingerprint: lethal, weight: Weight::Started };
/// let mut now = Moment::START;
/// for upstream in ["e1", "e2", "e3"] {
///     assert_eq!(quarantine.status(&lethal, now), Status::Allowed);
///     quarantine.record_crash(&Upstream::from(upstream), &[suspect], now);
///     now = now + Span::from_secs(1);
/// }
/// assert_eq!(quarantine.evaluate(now).len(), 1);
/// assert!(matches!(quarantine.status(&lethal, now), Status::Quarantined(_)));
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: Settings,
    evidence: evidence::Evidence,
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
            Progress::Unknown | Progress::Answering { events: 0, .. } => Some(Weight::Started),
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
        let (quarantined, suspects): (Vec<_>, Vec<_>) =
            suspects.iter().copied().partition(|suspect| is_quarantined(suspect));
        self.evidence.add(upstream, &suspects, !quarantined.is_empty(), now);
        self.needs_evaluation = true;
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

    /// Returns whether a request may be sent.
    pub fn status(&self, request: &Fingerprint, now: clock::Moment) -> Status {
        if let Some(record) = self.records.get(request).filter(|record| record.is_active(now)) {
            return Status::Quarantined(*record);
        }
        let pending = self.evidence.pending_delay(request, now);
        pending.map_or(Status::Allowed, Status::Pending)
    }

    /// Quarantines the requests that are proven to crash upstreams.
    pub fn evaluate(&mut self, now: clock::Moment) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        while self.needs_evaluation {
            let was_quarantined = |request: &Fingerprint| {
                let record = self.records.get(request);
                record.is_some_and(|record| !record.released && !record.is_active(now))
            };
            let Some(request) = self.evidence.proven(was_quarantined, now) else {
                self.needs_evaluation = !self.evidence.is_settled(now);
                break;
            };
            let upstreams = self.evidence.upstreams(&request);
            let record = self.quarantine(request, upstreams.len(), now);
            verdicts.push(Verdict { record, upstreams });
        }
        verdicts
    }

    fn quarantine(
        &mut self,
        fingerprint: Fingerprint,
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
            version: version + 1,
            occurrences: occurrences + 1,
            crashes: u32::try_from(crashes).unwrap_or(u32::MAX),
            expires_at: now + span.min(self.settings.max_duration),
            released: false,
        };
        self.merge(record, now);
        record
    }

    /// Ends the quarantine of a request; returns `None` if it is not in quarantine.
    pub fn release(&mut self, request: &Fingerprint, now: clock::Moment) -> Option<Record> {
        let known = self.records.get(request).filter(|record| record.is_active(now))?;
        let record =
            Record { version: known.version + 1, occurrences: 0, released: true, ..*known };
        self.merge(record, now);
        Some(record)
    }

    /// Merges a record received from another host or read from the platform; returns whether it is
    /// newer than the known one.
    pub fn merge(&mut self, record: Record, now: clock::Moment) -> bool {
        let is_newer = self.records.merge(record);
        if is_newer && record.is_active(now) {
            self.evidence.explain(&record.fingerprint);
        }
        is_newer
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
        self.records.expire(self.settings.base_duration, self.settings.max_entries, now);
    }
}

//! Requests that crash the upstreams which begin to run them, and where they are refused.
//!
//! Load pattern: a request crashes each upstream that begins to run it, and comes again and again,
//! under new ids and at any host. Each time it is placed beside the answers of others, which end
//! with the upstream, are sent again and fall with the next one, until most of the fleet is down.
//!
//! A request is known by its [`Fingerprint`]. Hosts tell each other which requests had just begun
//! at an upstream that crashed. One that was at [`Settings::crashes`] crashes which nothing else
//! explains is refused for a while; one that may still have waited its turn, at twice as many. Each of these keeps others from being refused in its place:
//!
//! - crashes at one moment count once (a rack);
//! - a request that is answered whole is no suspect (popular requests lie on many upstreams);
//! - a crash that a request in quarantine was at says nothing of those beside it;
//! - where two suspects were at the same crashes, the next crash decides between them.
//!
//! A quarantine lapses. After it, one crash is enough for the next, which is twice as long.

mod evidence;
mod record;
mod settings;

pub use record::Record;
pub use settings::Settings;

use crate::clock;
use crate::id;
use crate::life::fingerprint::Fingerprint;

/// What holds for a request that is about to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It may be sent.
    Free,
    /// A decision on it is due after this time.
    Undecided(clock::Span),
    /// It is refused.
    Held(Record),
}

/// How far an upstream was with a request when its connection broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Nothing tells: its answer comes as a whole.
    Unknown,
    /// The answer had not begun.
    Waiting,
    /// The answer had begun.
    Begun {
        /// For so long.
        span: clock::Span,
        /// So many of its events came.
        events: u64,
    },
}

/// How much a crash speaks against a request that was under way.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Weight {
    /// It may still have waited its turn: it takes twice as many crashes.
    Waiting,
    /// The upstream had just begun with it.
    Begun,
}

impl Weight {
    const fn points(self) -> usize {
        match self {
            Weight::Waiting => 1,
            Weight::Begun => 2,
        }
    }
}

/// A request under way at an upstream that crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How much that speaks against it.
    pub weight: Weight,
}

/// A request that has been put in quarantine, and the upstreams that crashed under it.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// What other hosts are told.
    pub record: Record,
    /// The upstreams.
    pub upstreams: Vec<id::Upstream>,
}

/// Suspects, and the requests that are refused.
///
/// ```
/// use lagoonline::clock::{Moment, Span};
/// use lagoonline::id::Upstream;
/// use lagoonline::life::fingerprint::Fingerprint;
/// use lagoonline::life::quarantine::{Quarantine, Standing, Suspect, Weight};
///
/// let mut quarantine = Quarantine::default();
/// let lethal = Fingerprint::new("acme", "/talk/a", b"a body");
/// let suspect = Suspect { fingerprint: lethal, weight: Weight::Begun };
/// let mut now = Moment::START;
/// for upstream in ["e1", "e2", "e3"] {
///     assert_eq!(quarantine.standing(&lethal, now), Standing::Free);
///     quarantine.crashed(&Upstream::from(upstream), &[suspect], now);
///     now = now + Span::from_secs(1);
/// }
/// assert_eq!(quarantine.judge(now).len(), 1);
/// assert!(matches!(quarantine.standing(&lethal, now), Standing::Held(_)));
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: Settings,
    evidence: evidence::Evidence,
    records: record::Records,
    /// There is evidence that was not judged, or not with all that other hosts had to tell.
    unjudged: bool,
}

impl Default for Quarantine {
    fn default() -> Self {
        Quarantine::new(Settings::default())
    }
}

impl Quarantine {
    /// With other settings.
    pub fn new(settings: Settings) -> Quarantine {
        let evidence = evidence::Evidence::new(settings);
        Quarantine { settings, evidence, records: record::Records::default(), unjudged: false }
    }

    /// Whether anything is known of a request whose body has `length` bytes: if not, its fingerprint
    /// need not be worked out.
    pub fn knows_length(&self, length: u64) -> bool {
        self.records.knows_length(length) || self.evidence.knows_length(length)
    }

    /// How much a crash of its upstream speaks against a request; `None` for one that ran too long: a
    /// lethal request ends the upstream that begins to run it.
    pub fn weight(&self, progress: Progress) -> Option<Weight> {
        match progress {
            Progress::Unknown | Progress::Begun { events: 0, .. } => Some(Weight::Begun),
            Progress::Waiting => Some(Weight::Waiting),
            Progress::Begun { span, .. } => (span <= self.settings.begin).then_some(Weight::Begun),
        }
    }

    /// `suspects` were under way at `upstream` when it crashed.
    pub fn crashed(&mut self, upstream: &id::Upstream, suspects: &[Suspect], now: clock::Moment) {
        let held = |suspect: &Suspect| {
            let record = self.records.get(&suspect.fingerprint);
            record.is_some_and(|record| record.holds(now))
        };
        let (explain, suspects): (Vec<_>, Vec<_>) =
            suspects.iter().copied().partition(|suspect| held(suspect));
        self.evidence.add(upstream, &suspects, !explain.is_empty(), now);
        self.unjudged = true;
    }

    /// A request was answered whole, so that it does not crash what runs it. What other hosts are to
    /// be told: whether that is news, and the end of its quarantine if it was in one.
    pub fn answered(
        &mut self,
        request: &Fingerprint,
        now: clock::Moment,
    ) -> (bool, Option<Record>) {
        let released = self.release(request, now);
        (self.evidence.trust(request, now) || released.is_some(), released)
    }

    /// What holds for a request that is about to be sent.
    pub fn standing(&self, request: &Fingerprint, now: clock::Moment) -> Standing {
        if let Some(record) = self.records.get(request).filter(|record| record.holds(now)) {
            return Standing::Held(*record);
        }
        let unsettled = self.evidence.unsettled(request, now);
        unsettled.map_or(Standing::Free, Standing::Undecided)
    }

    /// Puts in quarantine what is proven to crash upstreams.
    pub fn judge(&mut self, now: clock::Moment) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        while self.unjudged {
            let on_probation = |request: &Fingerprint| {
                let record = self.records.get(request);
                record.is_some_and(|record| !record.released && !record.holds(now))
            };
            let Some(request) = self.evidence.proven(on_probation, now) else {
                self.unjudged = !self.evidence.is_settled(now);
                break;
            };
            let upstreams = self.evidence.upstreams(&request);
            let record = self.hold(request, upstreams.len(), now);
            verdicts.push(Verdict { record, upstreams });
        }
        verdicts
    }

    fn hold(&mut self, fingerprint: Fingerprint, crashes: usize, now: clock::Moment) -> Record {
        let known = self.records.get(&fingerprint);
        let (version, times) = known.map_or((0, 0), |known| (known.version, known.times));
        let span = self.settings.hold.saturating_mul(1_u32.checked_shl(times).unwrap_or(u32::MAX));
        let record = Record {
            fingerprint,
            version: version + 1,
            times: times + 1,
            crashes: u32::try_from(crashes).unwrap_or(u32::MAX),
            until: now + span.min(self.settings.longest_hold),
            released: false,
        };
        self.merge(record, now);
        record
    }

    /// Ends the quarantine of a request; `None` if it is in none.
    pub fn release(&mut self, request: &Fingerprint, now: clock::Moment) -> Option<Record> {
        let known = self.records.get(request).filter(|record| record.holds(now))?;
        let record = Record { version: known.version + 1, times: 0, released: true, ..*known };
        self.merge(record, now);
        Some(record)
    }

    /// Takes in a verdict of another host, or one kept at the platform; whether it is news.
    pub fn merge(&mut self, record: Record, now: clock::Moment) -> bool {
        let is_news = self.records.merge(record);
        if is_news && record.holds(now) {
            self.evidence.explain(&record.fingerprint);
        }
        is_news
    }

    /// Verdicts that other hosts are to know.
    pub fn records(&self, now: clock::Moment) -> impl Iterator<Item = &Record> {
        self.records.current(now)
    }

    /// Differs between hosts that know different verdicts; 0 where there are none.
    pub fn checksum(&self, now: clock::Moment) -> u64 {
        self.records.checksum(now)
    }

    /// Requests that were under way at crashes and are not in quarantine.
    pub fn suspects(&self) -> usize {
        self.evidence.suspects()
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: clock::Moment) {
        self.evidence.expire(now);
        self.records.expire(self.settings.hold, self.settings.most, now);
    }
}

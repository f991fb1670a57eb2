//! A host of a simulation: its registry, and its calls to the platform.

use lagoonline::clock;
use lagoonline::routing;
use rand::Rng;
use rand::rngs::StdRng;

use super::Way;
use super::platform::{Platform, zone};

/// How long the platform holds a watch open, and how much later the call fails.
const WATCH_MS: u64 = 2_500;
const SLACK_MS: u64 = 800;
/// Timeout of a connection to the platform that does not answer.
const CONNECT_MS: u64 = 1_000;
/// Round trip to the platform.
const ANSWER_MS: u64 = 10;
/// Pause between two reads of the list, and while vanished entries are kept.
const READ_PAUSE_MS: u64 = 800;
const KEPT_PAUSE_MS: u64 = 250;

/// How the platform treats a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Access {
    /// Answers it.
    Served,
    /// Refuses it at once.
    Refused,
    /// Does not answer.
    Unanswered,
}

/// A call to the platform that is under way.
#[derive(Clone, Copy, Debug)]
struct Call {
    started: u64,
    /// Whether its connection has been without an answer.
    is_broken: bool,
}

/// A host.
#[derive(Debug)]
pub(super) struct Host {
    pub(super) zone: usize,
    pub(super) registry: routing::Registry,
    way: Way,
    /// Longest pause between failing calls, in milliseconds.
    max_pause: u64,
    version: u64,
    next_call: u64,
    call: Option<Call>,
    failures: u64,
    failed_at: u64,
}

pub(super) fn moment(millis: u64) -> clock::Moment {
    clock::Moment::from_millis(millis)
}

impl Host {
    pub(super) fn new(own_zone: usize, way: Way, max_pause: u64, random: &mut StdRng) -> Host {
        Host {
            zone: own_zone,
            registry: routing::Registry::new(way.settings(), zone(own_zone)),
            way,
            max_pause,
            version: 0,
            next_call: random.random_range(0..READ_PAUSE_MS),
            call: None,
            failures: 0,
            failed_at: 0,
        }
    }

    /// Advances the host's reading to `now`. Returns the departures that it tells others.
    pub(super) fn step(
        &mut self,
        platform: &Platform,
        access: Access,
        random: &mut StdRng,
        now: u64,
    ) -> Vec<routing::Departure> {
        self.registry.expire(moment(now));
        let Some(mut call) = self.call else {
            if now >= self.next_call {
                self.call = Some(Call { started: now, is_broken: false });
            }
            return Vec::new();
        };
        call.is_broken |= access == Access::Unanswered;
        self.call = Some(call);
        let lasted = now - call.started;
        let timeout = if self.failures > 0 { CONNECT_MS } else { WATCH_MS + SLACK_MS };
        if access == Access::Refused || (call.is_broken && lasted >= timeout) {
            self.fail(call.started, random, now);
            return Vec::new();
        }
        // After a failure the next call is answered at once.
        let has_news = platform.version() > self.version || self.failures > 0;
        if call.is_broken || lasted < ANSWER_MS || (!has_news && lasted < WATCH_MS) {
            return Vec::new();
        }
        self.read(platform, now)
    }

    fn fail(&mut self, started: u64, random: &mut StdRng, now: u64) {
        self.call = None;
        self.failures += 1;
        self.failed_at = started;
        self.registry.record_failure(moment(now));
        let doubled = 60 << self.failures.min(5);
        let pause = self.max_pause.min(doubled) as f64 * random.random_range(0.5..1.0);
        self.next_call = now + pause as u64;
    }

    fn read(&mut self, platform: &Platform, now: u64) -> Vec<routing::Departure> {
        self.call = None;
        if self.failures > 0 {
            self.registry.record_recovery(moment(self.failed_at), moment(now));
        }
        self.failures = 0;
        let told = self.apply_since(platform, now);
        let pause = if self.registry.kept() > 0 { KEPT_PAUSE_MS } else { READ_PAUSE_MS };
        self.next_call = now + pause;
        told
    }

    /// Applies all changes of the list that this host has not seen. Returns the departures that
    /// others can rely on.
    fn apply_since(&mut self, platform: &Platform, now: u64) -> Vec<routing::Departure> {
        let mut told = Vec::new();
        for change in platform.changes_since(self.version) {
            let change = self.as_understood(change);
            let effect = self.registry.apply(change, moment(now));
            if let routing::Effect::Departed { departure, witnessed: true } = effect {
                told.push(departure);
            }
        }
        self.version = platform.version();
        told
    }

    /// A host for which the last statement counts takes each entry for one of a later lifetime.
    fn as_understood(&self, change: &routing::Change) -> routing::Change {
        let mut change = change.clone();
        if let routing::Change::Put(listing) = &mut change
            && self.way.takes_last_statement()
        {
            listing.registration.started_ms = listing.revision.version;
            listing.sequence = 0;
        }
        change
    }

    /// Takes over what the host that reads for the zone knows of the list.
    pub(super) fn follow(&mut self, reader: &Host, platform: &Platform, now: u64) {
        self.registry.expire(moment(now));
        if reader.failures == 0 && self.version < reader.version {
            if reader.failed_at > self.failed_at {
                self.failed_at = reader.failed_at;
                self.registry.record_recovery(moment(self.failed_at), moment(now));
            }
            self.apply_since(platform, now);
        }
    }

    /// Version of the list up to which this host has read it.
    pub(super) fn version(&self) -> u64 {
        self.version
    }
}

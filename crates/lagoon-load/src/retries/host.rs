//! One simulated entry host.

use std::collections;

use lagoonline::clock;
use lagoonline::load::retry;

use super::Way;
use super::scenario::{Knowledge, Scenario};
use super::simulation::{RATIO, WINDOW_MS};

/// How long a host counts as heard after its last message, in milliseconds.
const HEARD_MS: u64 = 700;
/// Hosts of a zone from which on one of them decides for the others, and hosts that hear of all
/// retries then.
const MIN_HOSTS: usize = 6;
pub(super) const CANDIDATES: usize = 3;
/// Bucket of the ways that use one: its largest and smallest size, the share of the slack of all
/// buckets together, and what each send adds of the allowed ratio.
const MAX_BURST: f64 = 10.0;
const MIN_BURST: f64 = 1.0;
const BURST_SHARE: f64 = 0.6;
const FILL: f64 = 0.75;

/// The retries that a process allows.
#[derive(Debug)]
enum Policy {
    Bucket { available: f64, burst: f64 },
    Budget(Box<retry::Budget>),
}

/// A message of one process to another.
#[derive(Clone, Debug)]
pub(super) struct Letter {
    /// The host that sends it, and its process.
    pub(super) from: usize,
    pub(super) life: u64,
    /// When it was sent.
    pub(super) sent: u64,
    /// The process of the receiver, and when it sent the last message that has arrived at the sender.
    pub(super) arrived: Option<(u64, u64)>,
    pub(super) reports: Vec<retry::Report>,
    /// Time until the sender knows everything, if it tells that.
    pub(super) unknown: Option<clock::Span>,
}

impl Letter {
    /// A message of the process `life` of the host `from` that only shows that it runs.
    pub(super) fn greeting(from: usize, life: u64, sent: u64) -> Letter {
        Letter { from, life, sent, arrived: None, reports: Vec::new(), unknown: None }
    }
}

/// A run of a host's process.
#[derive(Debug)]
pub(super) struct Host {
    pub(super) zone: usize,
    pub(super) number: usize,
    /// Number of the process, different for each run.
    pub(super) life: u64,
    pub(super) born: u64,
    pub(super) frozen_until: u64,
    pub(super) isolated_until: u64,
    /// Whether a message about its retries is to be sent.
    pub(super) has_news: bool,
    policy: Policy,
    way: Way,
    /// Hosts with which it shares a part of the slack, itself included, by when it heard them last.
    heard: collections::BTreeMap<usize, u64>,
    /// The last process of each that was heard.
    lives: collections::BTreeMap<usize, u64>,
    /// When each sent the last message that arrived here.
    arrived: collections::BTreeMap<usize, u64>,
    /// When this process sent the last message that each has shown to have got.
    told: collections::BTreeMap<usize, u64>,
    /// When it knows what these used, on its own clock.
    known_at: clock::Moment,
    parts: usize,
    knowledge: Knowledge,
}

/// The window of the budgets.
fn window() -> clock::Span {
    clock::Span::from_millis(WINDOW_MS)
}

/// Whether a host decides on retries for others in a group of `hosts`.
fn has_scheduler(hosts: usize) -> bool {
    hosts >= MIN_HOSTS
}

impl Host {
    /// The process `life` of the host `number`, which starts at `born`.
    pub(super) fn start(
        scenario: &Scenario,
        way: Way,
        number: usize,
        life: u64,
        born: u64,
    ) -> Host {
        let zone = number % scenario.zones;
        let is_sharing = |other: &usize| way == Way::OnePool || other % scenario.zones == zone;
        let heard = (0..scenario.hosts).filter(is_sharing).map(|other| (other, born)).collect();
        let believed = match scenario.knowledge {
            Knowledge::Right => scenario.hosts,
            Knowledge::None => 1,
            Knowledge::Half => scenario.hosts.div_ceil(2),
            Knowledge::Double => scenario.hosts * 2,
        };
        let settings = retry::Settings { ratio: RATIO, slack: scenario.slack, window: window() };
        let burst = (scenario.slack * BURST_SHARE / believed as f64).clamp(MIN_BURST, MAX_BURST);
        let policy = match way {
            Way::FullBuckets => Policy::Bucket { available: burst, burst },
            Way::EmptyBuckets => Policy::Bucket { available: 0.0, burst },
            Way::EvenParts | Way::OnePool | Way::Zones => {
                Policy::Budget(Box::new(retry::Budget::new(settings)))
            }
        };
        let parts = match way {
            Way::EvenParts => believed,
            Way::Zones => scenario.zones,
            Way::OnePool | Way::FullBuckets | Way::EmptyBuckets => 1,
        };
        Host {
            zone,
            number,
            life,
            born,
            frozen_until: 0,
            isolated_until: 0,
            has_news: false,
            policy,
            way,
            heard,
            lives: collections::BTreeMap::new(),
            arrived: collections::BTreeMap::new(),
            told: collections::BTreeMap::new(),
            known_at: clock::Moment::START + window(),
            parts,
            knowledge: scenario.knowledge,
        }
    }

    /// The time on the clock of this process, which starts with it.
    fn moment(&self, now: u64) -> clock::Moment {
        clock::Moment::from_millis(now.saturating_sub(self.born))
    }

    /// Whether it tells other hosts what it used.
    pub(super) fn shares(&self) -> bool {
        matches!(self.way, Way::OnePool | Way::Zones)
    }

    /// Whether one of its zone decides on retries for the others.
    pub(super) fn asks(&self) -> bool {
        self.way == Way::Zones && has_scheduler(self.heard.len())
    }

    /// Returns the hosts that must be told what it used, without itself.
    pub(super) fn audience(&self) -> impl Iterator<Item = usize> {
        let limit = if self.asks() { CANDIDATES } else { usize::MAX };
        self.heard.keys().copied().take(limit).filter(|other| *other != self.number)
    }

    /// Whether it hears of all retries of its zone.
    fn hears_zone(&self) -> bool {
        !self.asks() || self.heard.keys().take(CANDIDATES).any(|other| *other == self.number)
    }

    /// Returns how the slack is divided. `schedules` if it decides as the scheduler of its zone.
    fn sharing(&self, schedules: bool, now: u64) -> Option<retry::Sharing> {
        let size = match self.knowledge {
            Knowledge::Right => self.heard.len(),
            Knowledge::None => return None,
            // A host that is heard is added to the list.
            Knowledge::Half => self.heard.len().div_ceil(2).max(self.lives.len() + 1),
            Knowledge::Double => self.heard.len() * 2,
        };
        let sharing = retry::Sharing { zones: self.parts, deciders: 1, ..Default::default() };
        if !self.shares() {
            let known_at = clock::Moment::START + window();
            return Some(retry::Sharing { known_at, ..sharing });
        }
        let sharing = retry::Sharing { hosts: size, ..sharing };
        if !self.hears_zone() {
            return Some(retry::Sharing { known_at: clock::Moment::NEVER, ..sharing });
        }
        let others = self.heard.iter().filter(|(other, _)| **other != self.number);
        let heard = others.filter(|(_, at)| now.saturating_sub(**at) <= HEARD_MS);
        let heard: Vec<_> = heard.map(|(other, _)| *other).collect();
        let hosts = (heard.len() + 1).min(size);
        let sharing = retry::Sharing { heard: hosts, known_at: self.known_at, ..sharing };
        if self.asks() {
            let told_until = clock::Moment::START;
            let alone = retry::Sharing { deciders: hosts, told_until, ..sharing };
            return Some(if schedules { sharing } else { alone });
        }
        let told = heard.iter().map(|other| self.told.get(other).copied().unwrap_or(self.born));
        let told_until = self.moment(told.min().unwrap_or(now));
        Some(retry::Sharing { deciders: hosts, told_until, ..sharing })
    }

    /// Records a request.
    pub(super) fn record_request(&mut self, now: u64) {
        let at = self.moment(now);
        match &mut self.policy {
            Policy::Bucket { .. } => self.fill(),
            Policy::Budget(budget) => budget.record_request(at),
        }
    }

    /// Adds what a send adds to a bucket.
    fn fill(&mut self) {
        if let Policy::Bucket { available, burst } = &mut self.policy {
            *available = (*available + RATIO * FILL).min(*burst);
        }
    }

    /// Takes a retry for itself, or for the process `asking`. `schedules` if it decides as the scheduler
    /// of its zone.
    pub(super) fn take_retry(
        &mut self,
        asking: Option<u64>,
        schedules: bool,
        now: u64,
    ) -> retry::Verdict {
        let (sharing, at) = (self.sharing(schedules, now), self.moment(now));
        let verdict = match &mut self.policy {
            Policy::Bucket { available, .. } if *available < 1.0 - 1e-9 => retry::Verdict::Refused,
            Policy::Bucket { available, .. } => {
                *available -= 1.0;
                retry::Verdict::Allowed
            }
            Policy::Budget(budget) => {
                budget.set_sharing(sharing);
                budget.expire(at);
                match asking {
                    Some(life) => budget.grant_retry(life, at),
                    None => budget.take_retry(at),
                }
            }
        };
        if verdict == retry::Verdict::Allowed {
            self.fill();
        }
        verdict
    }

    /// Records a retry that another host allowed.
    pub(super) fn record_retry(&mut self, now: u64) {
        let at = self.moment(now);
        if let Policy::Budget(budget) = &mut self.policy {
            budget.record_retry(at);
        }
    }

    /// Returns the process of `other` that was heard last, and when it sent the last message that
    /// arrived here.
    pub(super) fn arrived(&self, other: usize) -> Option<(u64, u64)> {
        Some((*self.lives.get(&other)?, *self.arrived.get(&other)?))
    }

    /// Returns what this process used.
    pub(super) fn report(&self, now: u64) -> Option<retry::Report> {
        let Policy::Budget(budget) = &self.policy else { return None };
        Some(budget.own_report(self.life, self.moment(now)))
    }

    /// Returns all that it knows of its zone, for a process that starts, and the time until it knows
    /// everything; `None` if it does not hear of its zone.
    pub(super) fn knowledge(&self, now: u64) -> Option<(Vec<retry::Report>, clock::Span)> {
        let Policy::Budget(budget) = &self.policy else { return None };
        if !self.hears_zone() {
            return None;
        }
        let at = self.moment(now);
        let reports = budget.reports(at).chain(self.report(now)).collect();
        Some((reports, self.known_at.since(at)))
    }

    /// Applies `letter`.
    pub(super) fn receive(&mut self, letter: &Letter, now: u64) {
        let Letter { from, life, sent, arrived, reports, unknown } = letter;
        let (from, life, unknown) = (*from, *life, *unknown);
        if self.lives.get(&from) != Some(&life) {
            self.arrived.remove(&from);
            self.told.remove(&from);
        }
        let last_sent = self.arrived.entry(from).or_default();
        *last_sent = (*last_sent).max(*sent);
        if let Some((_, told)) = arrived.filter(|(life, _)| *life == self.life) {
            let known = self.told.entry(from).or_default();
            *known = (*known).max(told);
        }
        let last_heard = self.heard.insert(from, now).unwrap_or(self.born);
        let previous = self.lives.insert(from, life).filter(|previous| *previous != life);
        let (sharing, at) = (self.sharing(true, now), self.moment(now));
        if let Policy::Budget(budget) = &mut self.policy {
            budget.set_sharing(sharing);
            if let Some(previous) = previous {
                let silent = clock::Span::from_millis(now.saturating_sub(last_heard));
                budget.record_end(previous, silent, at);
            }
            let others = reports.iter().filter(|report| report.host != self.life);
            others.for_each(|report| budget.record_report(*report, at));
        }
        if let Some(unknown) = unknown {
            self.known_at = self.known_at.min(at + unknown);
        }
    }
}

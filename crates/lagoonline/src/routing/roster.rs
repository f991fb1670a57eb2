//! Which host of a zone does what one host can do for all of them: it places their requests, asks
//! the zone's engines for load reports, and tells other zones what is under way.
//!
//! Load pattern: hundreds of entry hosts, each with a request or two a second. Where each tells
//! each other of every dispatch, a host hears as many words as all hosts together send; where each
//! finds out by itself which engines fail, a crash is met by hundreds of requests. So in a zone of
//! some size the first live host, by size and name, schedules for the others. Nobody is elected and
//! nothing is agreed on: two hosts that both schedule cost efficiency only, and a host that gets no
//! answer asks the next one and then decides by itself.

use std::cmp;
use std::collections;

use crate::clock;
use crate::id;

/// Figures of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Hosts of a zone from which on one schedules for the others. In a smaller zone each host
    /// hears so much of the others that it decides as well by itself.
    pub least_hosts: u64,
    /// Live hosts of a zone that know all that is under way: the one that schedules, and those
    /// that follow when it ends.
    pub candidates: usize,
    /// Most hosts to which heartbeats go, so that a zone most of whose hosts are gone does not make
    /// the others knock at all of them.
    pub most_watched: usize,
    /// Time without an answer to a heartbeat from which a host counts as gone: with two heartbeats
    /// within it, one that is lost changes nothing.
    pub silence: clock::Span,
    /// How long a host that left a question unanswered, or turned it down, is not asked again.
    pub pass_over: clock::Span,
    /// Longest pause between two calls of a platform that fails, at a host of a small zone: it is
    /// back well within the bounds after an outage.
    pub pause_alone: clock::Span,
    /// The same at one of the first hosts of a large zone, whom the others ask.
    pub pause_first: clock::Span,
    /// The same at the others.
    pub pause_other: clock::Span,
    /// How long a host of another zone counts as there after it was heard of.
    pub heard: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            least_hosts: 6,
            candidates: 3,
            most_watched: 12,
            silence: clock::Span::from_millis(700),
            pass_over: clock::Span::from_secs(1),
            pause_alone: clock::Span::from_millis(400),
            pause_first: clock::Span::from_millis(800),
            pause_other: clock::Span::from_millis(2_500),
            heard: clock::Span::from_secs(3),
        }
    }
}

/// A host as its own row at the platform, or its own word, tells.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// Its zone.
    pub zone: id::Zone,
    /// Part of a processor core that it has: larger hosts come first.
    pub cores: f64,
}

/// The order in which hosts of a zone, each with its part of a processor core, do something for the
/// others: the largest first, by name among equals.
pub(super) fn by_rank(a: (&id::Host, f64), b: (&id::Host, f64)) -> cmp::Ordering {
    b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0))
}

/// What is known of another host.
#[derive(Clone, Debug)]
struct Known {
    standing: Standing,
    /// When its row was first seen.
    since: clock::Moment,
    heard: Option<clock::Moment>,
    /// When the first heartbeat was sent to it that it has not answered.
    unanswered: Option<clock::Moment>,
    passed_over: Option<clock::Moment>,
}

impl Known {
    fn new(standing: Standing, since: clock::Moment) -> Known {
        Known { standing, since, heard: None, unanswered: None, passed_over: None }
    }

    /// How long nothing has come from it.
    fn silence(&self, now: clock::Moment) -> clock::Span {
        now.since(self.heard.map_or(self.since, |heard| heard.max(self.since)))
    }

    fn is_live(&self, settings: &Settings, now: clock::Moment) -> bool {
        self.unanswered.is_none_or(|since| now.since(since) <= settings.silence)
    }

    fn is_open(&self, now: clock::Moment) -> bool {
        self.passed_over.is_none_or(|until| until <= now)
    }

    fn is_heard(&self, settings: &Settings, now: clock::Moment) -> bool {
        self.heard.is_some_and(|at| now.since(at) <= settings.heard)
    }
}

/// The hosts, in the order in which those of a zone schedule for each other.
///
/// ```
/// use lagoonline::{clock::Moment, id::{Host, Zone}, routing::{Roster, RosterSettings, Standing}};
/// let settings = RosterSettings { least_hosts: 2, ..RosterSettings::default() };
/// let standing = |cores| Standing { zone: Zone::from("z"), cores };
/// let now = Moment::from_millis(10);
/// let mut roster = Roster::new(settings, Host::from("b"), standing(0.1), now);
/// assert!(roster.leads(now));
/// roster.set(Host::from("a"), standing(0.5), now);
/// assert_eq!(roster.scheduler(now), Some(Host::from("a")));
/// roster.passed(&Host::from("a"), now);
/// assert_eq!(roster.scheduler(now), None);
/// ```
#[derive(Clone, Debug)]
pub struct Roster {
    settings: Settings,
    own: id::Host,
    standing: Standing,
    /// When this host began to listen to others.
    started: clock::Moment,
    hosts: collections::BTreeMap<id::Host, Known>,
    /// Names by zone, in order of rank; this host's own among them.
    ranks: collections::BTreeMap<id::Zone, Vec<id::Host>>,
}

impl Roster {
    /// The roster of the host `own`, which knows of no other yet at `now`.
    pub fn new(
        settings: Settings,
        own: id::Host,
        standing: Standing,
        now: clock::Moment,
    ) -> Roster {
        let ranks = [(standing.zone.clone(), vec![own.clone()])].into();
        Roster { settings, own, standing, started: now, hosts: Default::default(), ranks }
    }

    /// There is a host, or it changed.
    pub fn set(&mut self, host: id::Host, standing: Standing, now: clock::Moment) {
        if host == self.own {
            return;
        }
        match self.hosts.get_mut(&host) {
            Some(known) if known.standing == standing => return,
            Some(known) => known.standing = standing,
            None => drop(self.hosts.insert(host, Known::new(standing, now))),
        }
        self.sort();
    }

    /// A host is no longer there.
    pub fn remove(&mut self, host: &id::Host) {
        if self.hosts.remove(host).is_some() {
            self.sort();
        }
    }

    /// Hosts of this host's zone that have been silent for longer than `span`, where it is for this
    /// host to forget them: every host of a zone tells the first one that it is there.
    ///
    /// Failure answered: hosts are replaced under new names each day. After a year, each host would
    /// read and rank tens of thousands that are gone, and share what all may do with them.
    pub fn gone(&self, span: clock::Span, now: clock::Moment) -> Vec<id::Host> {
        if !self.leads(now) {
            return Vec::new();
        }
        let of_zone = |known: &Known| known.standing.zone == self.standing.zone;
        let gone = self.hosts.iter().filter(|(_, known)| of_zone(known));
        let gone = gone.filter(|(_, known)| known.silence(now) > span);
        gone.map(|(host, _)| host.clone()).collect()
    }

    /// All hosts, this one included.
    pub fn count(&self) -> usize {
        self.hosts.len() + 1
    }

    /// Hosts that decide where requests go: one of each zone that shares its decisions, and all of
    /// the others.
    pub fn deciders(&self) -> usize {
        let of_zone = |(zone, hosts): (&id::Zone, &Vec<id::Host>)| {
            if self.is_shared(zone) { 1 } else { hosts.len() }
        };
        self.ranks.iter().map(of_zone).sum()
    }

    /// Something came from a host.
    pub fn heard(&mut self, host: &id::Host, now: clock::Moment) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.heard = Some(now);
            known.unanswered = None;
        }
    }

    /// A heartbeat goes to a host, which answers it.
    pub fn asked(&mut self, host: &id::Host, now: clock::Moment) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.unanswered.get_or_insert(now);
        }
    }

    /// A host left a question unanswered, or turned it down.
    pub fn passed(&mut self, host: &id::Host, now: clock::Moment) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.passed_over = Some(now + self.settings.pass_over);
        }
    }

    /// Zone of another host.
    pub fn zone(&self, host: &id::Host) -> Option<&id::Zone> {
        self.hosts.get(host).map(|known| &known.standing.zone)
    }

    /// Whether one host of `zone` schedules for the others.
    pub fn is_shared(&self, zone: &id::Zone) -> bool {
        self.ranks.get(zone).is_some_and(|hosts| hosts.len() as u64 >= self.settings.least_hosts)
    }

    /// Whether one host of this host's zone schedules for the others.
    pub fn is_own_shared(&self) -> bool {
        self.is_shared(&self.standing.zone)
    }

    /// The host to ask where a request goes; `None` where this host decides by itself.
    pub fn scheduler(&self, now: clock::Moment) -> Option<id::Host> {
        if !self.is_own_shared() {
            return None;
        }
        let mut candidates = self.candidates(now);
        let open = |host: &id::Host| self.hosts.get(host).is_none_or(|known| known.is_open(now));
        candidates.find(|host| open(host)).filter(|host| **host != self.own).cloned()
    }

    /// Whether this host is the first live one of its zone.
    pub fn leads(&self, now: clock::Moment) -> bool {
        self.candidates(now).next().is_none_or(|host| *host == self.own)
    }

    /// Whether this host is one of those of its zone that know all that is under way: in a small
    /// zone each of them.
    pub fn is_candidate(&self, now: clock::Moment) -> bool {
        !self.is_own_shared() || self.candidates(now).any(|host| *host == self.own)
    }

    /// Longest pause between two calls of a platform that fails.
    ///
    /// Load pattern: the platform is out for seconds, and two hundred hosts call it again and again
    /// until it is back. The first hosts of each zone are enough to find that out; the others ask
    /// them each second, and call the platform seldom, for the case that it turns only those away.
    pub fn longest_pause(&self, now: clock::Moment) -> clock::Span {
        match (self.is_own_shared(), self.is_candidate(now)) {
            (false, _) => self.settings.pause_alone,
            (true, true) => self.settings.pause_first,
            (true, false) => self.settings.pause_other,
        }
    }

    /// The other hosts of this zone to which heartbeats go: the first ones, until there are enough
    /// live ones among them.
    ///
    /// Failure answered: the largest hosts of a zone are killed together. Hosts that are gone stay
    /// watched, so that they are found when they are back, and those next in rank take over.
    pub fn watched(&self, now: clock::Moment) -> Vec<id::Host> {
        let mut live = 0;
        let mut watched = Vec::new();
        for host in self.ranked(&self.standing.zone).take(self.settings.most_watched) {
            if live == self.settings.candidates {
                break;
            }
            live += usize::from(self.is_live(host, now));
            if *host != self.own {
                watched.push(host.clone());
            }
        }
        watched
    }

    /// The hosts of this zone that are to know what is under way.
    pub fn near(&self, now: clock::Moment) -> Vec<id::Host> {
        if self.is_own_shared() {
            return self.watched(now);
        }
        self.ranked(&self.standing.zone).filter(|host| **host != self.own).cloned().collect()
    }

    /// The hosts of other zones that are to know what is under way: all of a small zone; of a large
    /// one the first, and any that was heard of, since only hosts that schedule speak across zones.
    ///
    /// Failure answered: the first hosts of all zones are killed at once, and those that take over
    /// do not know of each other. Of a zone that is not heard of more hosts are told, until one
    /// that schedules there answers.
    pub fn far(&self, now: clock::Moment) -> Vec<id::Host> {
        let mut far = Vec::new();
        for (zone, hosts) in &self.ranks {
            if *zone == self.standing.zone {
                continue;
            }
            let heard = hosts.iter().any(|host| self.is_heard(host, now));
            let first = match (self.is_shared(zone), heard) {
                (false, _) => hosts.len(),
                (true, true) => self.settings.candidates,
                (true, false) => self.settings.most_watched,
            };
            let wanted = hosts
                .iter()
                .enumerate()
                .filter(|(rank, host)| *rank < first || self.is_heard(host, now));
            far.extend(wanted.map(|(_, host)| host.clone()));
        }
        far
    }

    /// Whether this host asks the engines of `zone` for their reports: the first live host of the
    /// zone does, and for a zone none of whose hosts is heard of that of the first zone by name.
    pub fn asks(&self, zone: &id::Zone, now: clock::Moment) -> bool {
        if !self.leads(now) {
            return false;
        }
        if *zone == self.standing.zone {
            return true;
        }
        let heard = |zone: &id::Zone| self.ranked(zone).any(|host| self.is_heard(host, now));
        let first = self.ranks.keys().find(|zone| **zone == self.standing.zone || heard(zone));
        // Before that all other zones are unheard of.
        let listened = now.since(self.started) > self.settings.heard;
        listened && !heard(zone) && first == Some(&self.standing.zone)
    }

    /// The first live hosts of this zone, this one perhaps among them.
    fn candidates(&self, now: clock::Moment) -> impl Iterator<Item = &id::Host> {
        let ranked = self.ranked(&self.standing.zone);
        ranked.filter(move |host| self.is_live(host, now)).take(self.settings.candidates)
    }

    fn ranked(&self, zone: &id::Zone) -> impl Iterator<Item = &id::Host> {
        self.ranks.get(zone).into_iter().flatten()
    }

    fn is_live(&self, host: &id::Host, now: clock::Moment) -> bool {
        self.hosts.get(host).is_none_or(|known| known.is_live(&self.settings, now))
    }

    fn is_heard(&self, host: &id::Host, now: clock::Moment) -> bool {
        self.hosts.get(host).is_some_and(|known| known.is_heard(&self.settings, now))
    }

    fn sort(&mut self) {
        let own = (&self.own, &self.standing);
        let others = self.hosts.iter().map(|(host, known)| (host, &known.standing));
        let mut all: Vec<_> = others.chain([own]).collect();
        all.sort_by(|a, b| by_rank((a.0, a.1.cores), (b.0, b.1.cores)));
        let mut ranks: collections::BTreeMap<id::Zone, Vec<id::Host>> = Default::default();
        for (host, standing) in all {
            ranks.entry(standing.zone.clone()).or_default().push(host.clone());
        }
        self.ranks = ranks;
    }
}

/// When this host asks the engines of each zone for their reports.
///
/// Failure answered: the host that asks is killed. The next one must not wait for a turn of its own:
/// it asks as soon as it counts itself the first, so that an engine that turned slow meanwhile is
/// known of within two seconds.
#[derive(Clone, Debug, Default)]
pub struct Rounds {
    next: collections::BTreeMap<id::Zone, clock::Moment>,
}

impl Rounds {
    /// Those of `zones` whose engines this host asks at `now`; again after `period`.
    ///
    /// ```
    /// use lagoonline::{clock::{Moment, Span}, id::{Host, Zone}};
    /// use lagoonline::routing::{Roster, RosterSettings, Rounds, Standing};
    /// let zone = Zone::from("z");
    /// let standing = Standing { zone: zone.clone(), cores: 0.1 };
    /// let now = Moment::from_millis(10);
    /// let roster = Roster::new(RosterSettings::default(), Host::from("a"), standing, now);
    /// let (mut rounds, second) = (Rounds::default(), Span::from_secs(1));
    /// assert_eq!(rounds.due(&roster, [&zone], second, now), [zone.clone()]);
    /// assert!(rounds.due(&roster, [&zone], second, now + second / 2).is_empty());
    /// assert_eq!(rounds.due(&roster, [&zone], second, now + second), [zone]);
    /// ```
    pub fn due<'a, Zones>(
        &mut self,
        roster: &Roster,
        zones: Zones,
        period: clock::Span,
        now: clock::Moment,
    ) -> Vec<id::Zone>
    where
        Zones: IntoIterator<Item = &'a id::Zone>,
    {
        let mut due = Vec::new();
        for zone in zones {
            if !roster.asks(zone, now) {
                self.next.remove(zone);
            } else if self.next.get(zone).is_none_or(|next| *next <= now) {
                self.next.insert(zone.clone(), now + period);
                due.push(zone.clone());
            }
        }
        due
    }
}

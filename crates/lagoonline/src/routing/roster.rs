//! Determines, without coordination, the leader of each zone: the host that acts for the others. It
//! polls the zone's engines for load reports and, in a large zone, is the scheduler: it schedules
//! the requests of the other hosts, which is to choose the upstream for each, and tells other zones
//! what is in flight. The candidates are the leader and its possible successors.
//!
//! There are hundreds of entry hosts with one or two requests per second each. If every host told
//! every other of each dispatch, each would receive as many messages as all hosts send together; if
//! every host detected failing engines on its own, a crash would affect hundreds of requests. The
//! leader is the first live host of a zone, ordered by size and name; in a zone of at least
//! [`Settings::min_hosts`] it schedules for the others. There is no agreement protocol: two hosts
//! that both schedule only cost efficiency, and a host that gets no answer asks the next candidate
//! and finally schedules its request itself.

use std::cmp;
use std::collections;

use crate::clock;
use crate::id;

/// Settings of the roster.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Minimum number of hosts in a zone for one of them to schedule for the others. In a smaller
    /// zone each host receives enough information about the others to schedule its own requests
    /// equally well.
    pub min_hosts: u64,
    /// Number of candidates of a zone: live hosts that know everything in flight, which are the
    /// leader and its possible successors.
    pub candidates: usize,
    /// Maximum number of hosts that heartbeats are sent to, so that a zone that lost most of its
    /// hosts does not make the remaining ones contact all of them.
    pub max_heartbeat_targets: usize,
    /// Time without an answer to a heartbeat between entry hosts after which a host counts as dead.
    /// It covers two heartbeats of `lagoon-gateway`, so that a single lost one has no effect.
    pub heartbeat_timeout: clock::Span,
    /// How long a host that did not answer a question to the scheduler, or declined it, is not
    /// asked again.
    pub skip_duration: clock::Span,
    /// Maximum pause between two calls to a failing platform, for a host of a small zone. Short
    /// enough to notice the end of an outage well within the bounds on its effects.
    pub max_pause_small_zone: clock::Span,
    /// Maximum pause for a candidate of a large zone, which the other hosts ask for the platform's
    /// state.
    pub max_pause_candidate: clock::Span,
    /// Maximum pause for the other hosts of a large zone.
    pub max_pause_others: clock::Span,
    /// How long a host of another zone counts as alive after it was last heard.
    pub remote_timeout: clock::Span,
    /// How long a zone counts as reachable after one of its hosts was last heard, when limits that
    /// hold for all zones together are divided. It covers a heartbeat between zones.
    pub zone_timeout: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            min_hosts: 6,
            candidates: 3,
            max_heartbeat_targets: 12,
            heartbeat_timeout: clock::Span::from_millis(700),
            skip_duration: clock::Span::from_secs(1),
            max_pause_small_zone: clock::Span::from_millis(400),
            max_pause_candidate: clock::Span::from_millis(800),
            max_pause_others: clock::Span::from_millis(2_500),
            remote_timeout: clock::Span::from_secs(3),
            zone_timeout: clock::Span::from_millis(1_300),
        }
    }
}

/// Attributes of a host, from its row at the platform or its own messages.
#[derive(Clone, Debug, PartialEq)]
pub struct HostInfo {
    /// Availability zone of the host.
    pub zone: id::Zone,
    /// Number of processor cores, possibly a fraction; larger hosts rank first.
    pub cores: f64,
}

/// Orders the hosts of a zone, given with their processor cores, by rank: the largest first, then
/// by name.
pub(super) fn compare_rank(a: (&id::Host, f64), b: (&id::Host, f64)) -> cmp::Ordering {
    b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0))
}

/// What is known about another host.
#[derive(Clone, Debug)]
struct PeerState {
    info: HostInfo,
    /// When its row was first seen.
    first_seen: clock::Moment,
    /// When the last message from it arrived.
    last_contact: Option<clock::Moment>,
    /// When the first heartbeat that it has not answered was sent.
    unanswered_since: Option<clock::Moment>,
    /// Until when it is not asked as the scheduler, because it did not answer or declined.
    skipped_until: Option<clock::Moment>,
}

impl PeerState {
    fn new(info: HostInfo, first_seen: clock::Moment) -> PeerState {
        PeerState {
            info,
            first_seen,
            last_contact: None,
            unanswered_since: None,
            skipped_until: None,
        }
    }

    /// Returns the time since the host was last heard, or since it was first seen.
    fn silent_for(&self, now: clock::Moment) -> clock::Span {
        now.since(self.last_contact.map_or(self.first_seen, |at| at.max(self.first_seen)))
    }

    fn is_live(&self, settings: &Settings, now: clock::Moment) -> bool {
        self.unanswered_since.is_none_or(|since| now.since(since) <= settings.heartbeat_timeout)
    }

    fn is_available(&self, now: clock::Moment) -> bool {
        self.skipped_until.is_none_or(|until| until <= now)
    }

    fn is_heard(&self, settings: &Settings, now: clock::Moment) -> bool {
        self.last_contact.is_some_and(|at| now.since(at) <= settings.remote_timeout)
    }
}

/// All known hosts, ranked within each zone by the order in which they become its leader.
///
/// ```
/// use lagoonline::{clock::Moment, id::{Host, Zone}, routing::{HostInfo, Roster, RosterSettings}};
/// let settings = RosterSettings { min_hosts: 2, ..RosterSettings::default() };
/// let info = |cores| HostInfo { zone: Zone::from("z"), cores };
/// let now = Moment::from_millis(10);
/// let mut roster = Roster::new(settings, Host::from("b"), info(0.1), now);
/// assert!(roster.is_leader(now));
/// roster.upsert(Host::from("a"), info(0.5), now);
/// assert_eq!(roster.scheduler(now), Some(Host::from("a")));
/// roster.skip(&Host::from("a"), now);
/// assert_eq!(roster.scheduler(now), None);
/// ```
#[derive(Clone, Debug)]
pub struct Roster {
    settings: Settings,
    own: id::Host,
    info: HostInfo,
    /// When this host started to listen to others.
    started: clock::Moment,
    hosts: collections::BTreeMap<id::Host, PeerState>,
    /// Host names by zone in order of rank, including this host's own.
    ranks: collections::BTreeMap<id::Zone, Vec<id::Host>>,
}

impl Roster {
    /// Creates the roster of the host `own`, which knows no other hosts at `now`.
    pub fn new(settings: Settings, own: id::Host, info: HostInfo, now: clock::Moment) -> Roster {
        let ranks = [(info.zone.clone(), vec![own.clone()])].into();
        Roster { settings, own, info, started: now, hosts: Default::default(), ranks }
    }

    /// Adds or updates a host.
    pub fn upsert(&mut self, host: id::Host, info: HostInfo, now: clock::Moment) {
        if host == self.own {
            return;
        }
        match self.hosts.get_mut(&host) {
            Some(known) if known.info == info => return,
            Some(known) => known.info = info,
            None => drop(self.hosts.insert(host, PeerState::new(info, now))),
        }
        self.rank_hosts();
    }

    /// Removes a host.
    pub fn remove(&mut self, host: &id::Host) {
        if self.hosts.remove(host).is_some() {
            self.rank_hosts();
        }
    }

    /// Returns the hosts of this host's zone that have been silent for longer than `span`, if it is
    /// up to this host to remove them. Every host of a zone sends heartbeats to the first one,
    /// which can therefore tell.
    ///
    /// Hosts are replaced under new names every day. Without this, after a year each host would
    /// read and rank tens of thousands of dead hosts, and divide shared limits among them.
    pub fn expired(&self, span: clock::Span, now: clock::Moment) -> Vec<id::Host> {
        if !self.is_leader(now) {
            return Vec::new();
        }
        let in_zone = |known: &PeerState| known.info.zone == self.info.zone;
        let silent = self.hosts.iter().filter(|(_, known)| in_zone(known));
        let silent = silent.filter(|(_, known)| known.silent_for(now) > span);
        silent.map(|(host, _)| host.clone()).collect()
    }

    /// Returns the number of known hosts, including this one.
    pub fn count(&self) -> usize {
        self.hosts.len() + 1
    }

    /// Returns the zone of this host.
    pub fn own_zone(&self) -> &id::Zone {
        &self.info.zone
    }

    /// Returns the number of known zones.
    pub fn zone_count(&self) -> usize {
        self.ranks.len()
    }

    /// Returns the number of known hosts of this zone, including this one.
    pub fn zone_size(&self) -> usize {
        self.ranked(&self.info.zone).count()
    }

    /// Returns the other hosts of this zone that are heard from, and when each was last heard.
    pub fn heard_in_zone(
        &self,
        now: clock::Moment,
    ) -> impl Iterator<Item = (&id::Host, clock::Moment)> {
        let others = self.ranked(&self.info.zone);
        let others =
            others.filter_map(move |host| Some((host, self.hosts.get(host)?.silent_for(now))));
        others
            .filter(|(_, span)| *span <= self.settings.heartbeat_timeout)
            .map(move |(host, span)| (host, now.saturating_sub(span)))
    }

    /// Returns the number of hosts that schedule requests: one for each zone with a scheduler, and
    /// all hosts of the other zones.
    pub fn placing_hosts(&self) -> usize {
        let placing = |(zone, hosts): (&id::Zone, &Vec<id::Host>)| {
            if self.has_scheduler(zone) { 1 } else { hosts.len() }
        };
        self.ranks.iter().map(placing).sum()
    }

    /// Records a message from a host.
    pub fn record_contact(&mut self, host: &id::Host, now: clock::Moment) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.last_contact = Some(now);
            known.unanswered_since = None;
        }
    }

    /// Records that a heartbeat was sent to a host, which is expected to answer it.
    pub fn record_heartbeat_sent(&mut self, host: &id::Host, now: clock::Moment) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.unanswered_since.get_or_insert(now);
        }
    }

    /// Records that a host did not answer a question to the scheduler, or declined it, so that it
    /// is skipped for a while.
    pub fn skip(&mut self, host: &id::Host, now: clock::Moment) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.skipped_until = Some(now + self.settings.skip_duration);
        }
    }

    /// Returns the zone of another host.
    pub fn zone(&self, host: &id::Host) -> Option<&id::Zone> {
        self.hosts.get(host).map(|known| &known.info.zone)
    }

    /// Returns whether `zone` is large enough for one of its hosts to schedule for the others.
    pub fn has_scheduler(&self, zone: &id::Zone) -> bool {
        self.ranks.get(zone).is_some_and(|hosts| hosts.len() as u64 >= self.settings.min_hosts)
    }

    /// Returns whether this host's zone is large enough for one of its hosts to schedule for the
    /// others.
    pub fn own_zone_has_scheduler(&self) -> bool {
        self.has_scheduler(&self.info.zone)
    }

    /// Returns the host to ask to schedule a request, or `None` if this host schedules it itself.
    pub fn scheduler(&self, now: clock::Moment) -> Option<id::Host> {
        if !self.own_zone_has_scheduler() {
            return None;
        }
        let mut candidates = self.candidates(now);
        let is_available =
            |host: &id::Host| self.hosts.get(host).is_none_or(|known| known.is_available(now));
        candidates.find(|host| is_available(host)).filter(|host| **host != self.own).cloned()
    }

    /// Returns whether this host is the leader, the first live host of its zone. It schedules for
    /// the others only if [`Roster::own_zone_has_scheduler`].
    pub fn is_leader(&self, now: clock::Moment) -> bool {
        self.candidates(now).next().is_none_or(|host| *host == self.own)
    }

    /// Returns whether this host must know everything in flight in its zone: as a candidate of a
    /// large zone, or as any host of a small zone, where each schedules its own requests.
    pub fn tracks_in_flight(&self, now: clock::Moment) -> bool {
        !self.own_zone_has_scheduler() || self.candidates(now).any(|host| *host == self.own)
    }

    /// Returns the maximum pause between two calls to a failing platform.
    ///
    /// During a platform outage of several seconds, two hundred hosts would call it repeatedly
    /// until it is back. The candidates of each zone are enough to detect its recovery. The others
    /// ask them for the platform's state every second and call the platform only rarely, in case it
    /// refuses only those hosts.
    pub fn max_retry_pause(&self, now: clock::Moment) -> clock::Span {
        match (self.own_zone_has_scheduler(), self.tracks_in_flight(now)) {
            (false, _) => self.settings.max_pause_small_zone,
            (true, true) => self.settings.max_pause_candidate,
            (true, false) => self.settings.max_pause_others,
        }
    }

    /// Returns the other hosts of this zone that heartbeats are sent to: in order of rank, until
    /// there are enough live ones among them.
    ///
    /// If the largest hosts of a zone are killed together, the next in rank take over, while the
    /// dead ones still get heartbeats so that their return is noticed.
    pub fn heartbeat_targets(&self, now: clock::Moment) -> Vec<id::Host> {
        let mut live = 0;
        let mut targets = Vec::new();
        for host in self.ranked(&self.info.zone).take(self.settings.max_heartbeat_targets) {
            if live == self.settings.candidates {
                break;
            }
            live += usize::from(self.is_live(host, now));
            if *host != self.own {
                targets.push(host.clone());
            }
        }
        targets
    }

    /// Returns the hosts of this zone that must be told what is in flight.
    pub fn zone_peers(&self, now: clock::Moment) -> Vec<id::Host> {
        if self.own_zone_has_scheduler() {
            return self.heartbeat_targets(now);
        }
        self.ranked(&self.info.zone).filter(|host| **host != self.own).cloned().collect()
    }

    /// Returns the hosts of other zones that must be told what is in flight: all hosts of a small
    /// zone; of a large zone the first ones and every host heard from, since only schedulers send
    /// messages across zones.
    ///
    /// If the first hosts of all zones are killed at once, their successors do not know of each
    /// other. For a zone that is not heard from, more hosts are therefore told until its scheduler
    /// answers.
    pub fn remote_peers(&self, now: clock::Moment) -> Vec<id::Host> {
        let mut peers = Vec::new();
        for (zone, hosts) in &self.ranks {
            if *zone == self.info.zone {
                continue;
            }
            let heard = hosts.iter().any(|host| self.is_heard(host, now));
            let first = match (self.has_scheduler(zone), heard) {
                (false, _) => hosts.len(),
                (true, true) => self.settings.candidates,
                (true, false) => self.settings.max_heartbeat_targets,
            };
            let wanted = hosts
                .iter()
                .enumerate()
                .filter(|(rank, host)| *rank < first || self.is_heard(host, now));
            peers.extend(wanted.map(|(_, host)| host.clone()));
        }
        peers
    }

    /// Returns whether this host polls the engines of `zone` for load reports. The leader of a zone
    /// does so. If no host of a zone is heard from, the leader of another zone does it instead: of
    /// the zones that are heard from, the first by name.
    pub fn polls(&self, zone: &id::Zone, now: clock::Moment) -> bool {
        if !self.is_leader(now) {
            return false;
        }
        if *zone == self.info.zone {
            return true;
        }
        let heard = |zone: &id::Zone| self.ranked(zone).any(|host| self.is_heard(host, now));
        let first = self.ranks.keys().find(|zone| **zone == self.info.zone || heard(zone));
        // Until then, not having heard from a zone does not show that all its hosts are dead: this
        // host may have started too recently to have heard from any.
        let has_listened = now.since(self.started) > self.settings.remote_timeout;
        has_listened && !heard(zone) && first == Some(&self.info.zone)
    }

    /// Returns this host's share of a limit that holds for all hosts together: all of it while it
    /// hears from all zones, since hosts announce what they use of it. The share of a zone that it
    /// does not hear from is left to that zone, and a host that is told nothing, because another one
    /// schedules for it, has only its own.
    pub fn limit_share(&self, now: clock::Moment) -> f64 {
        if !self.tracks_in_flight(now) {
            return 1.0 / self.count() as f64;
        }
        let is_heard = |host: &id::Host| {
            let is_heard = |known: &PeerState| known.silent_for(now) <= self.settings.zone_timeout;
            *host == self.own || self.hosts.get(host).is_some_and(is_heard)
        };
        let heard = self.ranks.iter().filter(|(_, hosts)| hosts.iter().any(is_heard));
        heard.count() as f64 / self.ranks.len().max(1) as f64
    }

    /// Returns the candidates of this zone, the leader first; this host may be one of them.
    fn candidates(&self, now: clock::Moment) -> impl Iterator<Item = &id::Host> {
        let ranked = self.ranked(&self.info.zone);
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

    /// Rebuilds the ranks after a host was added, changed or removed.
    fn rank_hosts(&mut self) {
        let own = (&self.own, &self.info);
        let others = self.hosts.iter().map(|(host, known)| (host, &known.info));
        let mut all: Vec<_> = others.chain([own]).collect();
        all.sort_by(|a, b| compare_rank((a.0, a.1.cores), (b.0, b.1.cores)));
        let mut ranks: collections::BTreeMap<id::Zone, Vec<id::Host>> = Default::default();
        for (host, info) in all {
            ranks.entry(info.zone.clone()).or_default().push(host.clone());
        }
        self.ranks = ranks;
    }
}

/// Schedule by which this host polls the engines of each zone for load reports.
///
/// When the polling leader is killed, its successor polls as soon as it becomes the leader instead
/// of waiting for a full period, so that an engine that became slow in the meantime is detected
/// within two seconds.
#[derive(Clone, Debug, Default)]
pub struct PollSchedule {
    next: collections::BTreeMap<id::Zone, clock::Moment>,
}

impl PollSchedule {
    /// Returns those of `zones` whose engines this host polls at `now`; each is due again after
    /// `period`.
    ///
    /// ```
    /// use lagoonline::{clock::{Moment, Span}, id::{Host, Zone}};
    /// use lagoonline::routing::{Roster, RosterSettings, PollSchedule, HostInfo};
    /// let zone = Zone::from("z");
    /// let info = HostInfo { zone: zone.clone(), cores: 0.1 };
    /// let now = Moment::from_millis(10);
    /// let roster = Roster::new(RosterSettings::default(), Host::from("a"), info, now);
    /// let (mut schedule, second) = (PollSchedule::default(), Span::from_secs(1));
    /// assert_eq!(schedule.due(&roster, [&zone], second, now), [zone.clone()]);
    /// assert!(schedule.due(&roster, [&zone], second, now + second / 2).is_empty());
    /// assert_eq!(schedule.due(&roster, [&zone], second, now + second), [zone]);
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
            if !roster.polls(zone, now) {
                self.next.remove(zone);
            } else if self.next.get(zone).is_none_or(|next| *next <= now) {
                self.next.insert(zone.clone(), now + period);
                due.push(zone.clone());
            }
        }
        due
    }
}

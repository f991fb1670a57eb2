//! The loop of a simulation.

use std::collections;

use lagoonline::routing;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Way;
use super::host::{Access, Host, moment};
use super::platform::{Platform, index};
use super::report::Report;
use super::scenario::{Fault, Scenario};

/// Length of a step, in milliseconds.
const STEP_MS: u64 = 10;
/// Interval at which it is looked who would send where, in milliseconds.
const LOOK_MS: u64 = 50;
/// Duration of a run, in milliseconds.
const RUN_MS: u64 = 26_000;
/// When figures begin: all hosts have read the list.
const BEGIN_MS: u64 = 5_000;
/// Bound on sends to upstreams that left, and time without a disturbance after which a host is
/// in touch, in milliseconds.
const LEAVING_MS: u64 = 2_000;
const STABLE_MS: u64 = 3_000;
/// Number of hosts of a zone from which one reads for the others, and pause of the others between
/// failing calls.
const RELAY_HOSTS: usize = 6;
const SMALL_ZONE_PAUSE_MS: u64 = 400;
const CANDIDATE_PAUSE_MS: u64 = 800;
/// Hosts of a large zone that hear other zones.
const CANDIDATES: usize = 3;
/// Milliseconds that a message takes.
const MESSAGE_MS: std::ops::Range<u64> = 4..18;
/// Times after the first at which a departure is told again, in milliseconds.
const REPEATS_MS: [u64; 4] = [0, 300, 600, 900];
/// Time without contact after which hosts tell each other what they know, and when that is noticed.
const SILENCE_MS: u64 = 3_000;
const MEET_MS: std::ops::Range<u64> = 20..900;
/// Share of the messages that are lost.
const LOSS: f64 = 0.03;
/// Size of a departure in a datagram, in bytes.
const DEPARTURE_BYTES: u64 = 40;

#[derive(Debug)]
struct Message {
    at: u64,
    to: usize,
    departure: routing::Departure,
}

#[derive(Debug)]
struct Simulation {
    scenario: Scenario,
    way: Way,
    random: StdRng,
    platform: Platform,
    hosts: Vec<Host>,
    messages: Vec<Message>,
    sent_bytes: Vec<u64>,
    /// When a host read that an upstream left.
    read_at: collections::HashMap<(usize, usize), u64>,
    report: Report,
}

/// Plays `scenario` with `way`.
///
/// ```
/// use lagoon_load::departures::{self, Way};
/// let calm = departures::Scenario::default();
/// assert_eq!(departures::run(&calm, Way::BoundedAndTold, 1).late_ms, 0);
/// ```
pub fn run(scenario: &Scenario, way: Way, seed: u64) -> Report {
    let mut random = StdRng::seed_from_u64(seed);
    let platform = Platform::new(scenario, &mut random);
    let is_large = scenario.hosts / scenario.zones >= RELAY_HOSTS;
    let max_pause = if is_large { CANDIDATE_PAUSE_MS } else { SMALL_ZONE_PAUSE_MS };
    let hosts = (0..scenario.hosts)
        .map(|number| Host::new(number % scenario.zones, way, max_pause, &mut random))
        .collect();
    let mut simulation = Simulation {
        scenario: *scenario,
        way,
        random,
        platform,
        hosts,
        messages: Vec::new(),
        sent_bytes: vec![0; scenario.hosts],
        read_at: collections::HashMap::new(),
        report: Report::default(),
    };
    for now in (0..RUN_MS).step_by(STEP_MS as usize) {
        simulation.step(now);
    }
    let sent = simulation.sent_bytes.iter().copied().max().unwrap_or(0);
    Report { sent_bytes: sent, ..simulation.report }
}

impl Simulation {
    fn step(&mut self, now: u64) {
        self.platform.step(now);
        self.deliver(now);
        for number in 0..self.hosts.len() {
            if !self.is_frozen(number, now) {
                self.step_host(number, now);
            }
        }
        self.meet_again(now);
        if now >= BEGIN_MS && now.is_multiple_of(LOOK_MS) {
            self.look(now);
        }
    }

    fn step_host(&mut self, number: usize, now: u64) {
        let before = self.hosts[number].version();
        let reader = number % self.scenario.zones;
        if self.is_large() && reader != number {
            let (readers, others) = self.hosts.split_at_mut(self.scenario.zones);
            let follower = &mut others[number - self.scenario.zones];
            follower.follow(&readers[reader], &self.platform, now);
        } else {
            let access = self.access(number, now);
            let told = self.hosts[number].step(&self.platform, access, &mut self.random, now);
            if self.way.tells() {
                told.iter().for_each(|departure| self.tell(number, departure, now));
            }
        }
        self.note_reads(number, before, now);
    }

    /// Notes which departures the host has read in the list.
    fn note_reads(&mut self, number: usize, before: u64, now: u64) {
        if self.hosts[number].version() == before {
            return;
        }
        for change in self.platform.changes_since(before) {
            let upstream = index(change.upstream());
            let left = match change {
                routing::Change::Put(listing) => listing.registration.leaving,
                _ => self.platform.upstreams[upstream].left_at.is_some(),
            };
            if left {
                self.read_at.entry((number, upstream)).or_insert(now);
            }
        }
    }

    fn is_large(&self) -> bool {
        self.scenario.hosts / self.scenario.zones >= RELAY_HOSTS
    }

    /// Whether the host hears other zones.
    fn is_candidate(&self, number: usize) -> bool {
        !self.is_large() || number / self.scenario.zones < CANDIDATES
    }

    fn is_frozen(&self, number: usize, now: u64) -> bool {
        self.scenario.fault == Fault::Frozen
            && number.is_multiple_of(4)
            && self.platform.is_faulty(now)
    }

    fn access(&self, number: usize, now: u64) -> Access {
        if !self.platform.is_faulty(now) {
            return Access::Served;
        }
        let is_out = match self.scenario.fault {
            Fault::None | Fault::Frozen => false,
            Fault::ZoneCut | Fault::ZoneTurnedAway => self.hosts[number].zone == 0,
            Fault::Silent | Fault::Busy => true,
            Fault::HostsTurnedAway => number.is_multiple_of(4),
        };
        match is_out {
            false => Access::Served,
            true if self.scenario.fault == Fault::Busy => Access::Refused,
            true => Access::Unanswered,
        }
    }

    /// Whether zones `a` and `b` can reach each other.
    fn is_connected(&self, a: usize, b: usize, now: u64) -> bool {
        let is_cut = self.scenario.fault == Fault::ZoneCut && self.platform.is_faulty(now);
        !is_cut || (a == 0) == (b == 0)
    }

    /// Sends a departure to the other hosts, repeatedly.
    fn tell(&mut self, from: usize, departure: &routing::Departure, now: u64) {
        for to in 0..self.hosts.len() {
            if to == from || !self.is_candidate(to) {
                continue;
            }
            for delay in REPEATS_MS {
                self.send(from, to, departure.clone(), now + delay);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, departure: routing::Departure, at: u64) {
        self.sent_bytes[from] += DEPARTURE_BYTES;
        let arrives = at + self.random.random_range(MESSAGE_MS);
        let is_lost = self.random.random_bool(LOSS);
        if self.is_connected(self.hosts[from].zone, self.hosts[to].zone, at) && !is_lost {
            self.messages.push(Message { at: arrives, to, departure });
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.at <= now && !self.is_frozen(message.to, now));
        self.messages = later;
        let due: Vec<Message> = due;
        for Message { to, departure, .. } in due {
            self.hosts[to].registry.learn(&departure, moment(now));
        }
    }

    /// Hosts that did not hear from each other tell what they know once a cut is over.
    fn meet_again(&mut self, now: u64) {
        let Scenario { fault, fault_ms, .. } = self.scenario;
        let ends = super::platform::FAULT_MS + fault_ms;
        let is_end = now.saturating_sub(STEP_MS) < ends && ends <= now;
        if fault != Fault::ZoneCut || fault_ms < SILENCE_MS || !is_end || !self.way.tells() {
            return;
        }
        for from in 0..self.hosts.len() {
            for to in 0..self.hosts.len() {
                let crosses = (self.hosts[from].zone == 0) != (self.hosts[to].zone == 0);
                if !crosses || !self.is_candidate(from) || !self.is_candidate(to) {
                    continue;
                }
                let known: Vec<_> = self.hosts[from].registry.departures().collect();
                let at = now + self.random.random_range(MEET_MS);
                for departure in known {
                    self.send(from, to, departure, at);
                }
            }
        }
    }

    /// Looks which host would send to which upstream.
    fn look(&mut self, now: u64) {
        for number in 0..self.hosts.len() {
            if self.is_frozen(number, now) {
                continue;
            }
            let used = self.used(number);
            self.look_at_left(number, &used, now);
            self.look_at_live(number, &used, now);
        }
    }

    /// Upstreams to which the host sends. In a large zone the zone's reader places its requests.
    fn used(&self, number: usize) -> Vec<bool> {
        let mut used = vec![false; self.scenario.upstreams];
        let ready = |host: &Host, mark: &mut dyn FnMut(usize)| {
            for entry in host.registry.entries().filter(|entry| !entry.leaving) {
                mark(index(&entry.upstream));
            }
        };
        ready(&self.hosts[number], &mut |upstream| used[upstream] = true);
        if self.is_large() {
            let mut placed = vec![false; self.scenario.upstreams];
            let reader = &self.hosts[number % self.scenario.zones];
            ready(reader, &mut |upstream| placed[upstream] = true);
            used.iter_mut().zip(placed).for_each(|(used, placed)| *used &= placed);
        }
        used
    }

    fn look_at_left(&mut self, number: usize, used: &[bool], now: u64) {
        for (upstream, state) in self.platform.upstreams.iter().enumerate() {
            let Some(left_at) = state.left_at.filter(|_| used[upstream]) else { continue };
            // What a host that cannot reach the upstream would send does not arrive.
            if !self.is_connected(self.hosts[number].zone, state.zone, now) {
                continue;
            }
            let after = now - left_at;
            self.report.until_none_ms = self.report.until_none_ms.max(after);
            let read_at = self.read_at.get(&(number, upstream));
            let is_told = read_at.is_some_and(|at| now > at + LEAVING_MS);
            if is_told || (after > LEAVING_MS && self.is_in_touch(number, now)) {
                self.report.late_ms += LOOK_MS;
                self.report.latest_ms = self.report.latest_ms.max(after);
            }
        }
    }

    /// Whether the host has been without a disturbance for long enough.
    fn is_in_touch(&self, number: usize, now: u64) -> bool {
        let span = (now.saturating_sub(STABLE_MS)..=now).step_by(LOOK_MS as usize);
        let mut moments = span;
        moments.all(|at| self.access(number, at) == Access::Served && !self.is_frozen(number, at))
    }

    fn look_at_live(&mut self, number: usize, used: &[bool], now: u64) {
        let mut reachable = 0;
        let mut avoided = 0;
        for (upstream, state) in self.platform.upstreams.iter().enumerate() {
            if state.has_started()
                && state.left_at.is_none()
                && self.is_connected(self.hosts[number].zone, state.zone, now)
            {
                reachable += 1;
                avoided += u64::from(!used[upstream]);
            }
        }
        self.report.avoided_ms += avoided * LOOK_MS;
        if avoided == reachable {
            self.report.without_any_ms += LOOK_MS;
        }
    }
}

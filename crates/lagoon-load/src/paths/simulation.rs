//! The loop of a simulation.

use lagoonline::clock;
use lagoonline::id;
use lagoonline::routing;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Way;
use super::fleet::Fleet;
use super::report::Report;
use super::scenario::{Cut, Scenario};

/// Time after the last cut until which a run lasts, and when figures begin.
const AFTER_MS: u64 = 8_000;
const BEGIN_MS: u64 = 2_000;
/// Time after the beginning of a cut from which first tries are counted.
const STABLE_MS: u64 = 3_000;
/// Round trips within a zone and between zones.
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 11;
/// Timeout of a connection, and of one that a host opens for another.
const CONNECT_MS: u64 = 350;
const CARRIED_CONNECT_MS: u64 = 100;
/// Number of upstreams that are tried for a request, and of hosts that are asked for a connection.
const MAX_ATTEMPTS: usize = 4;
const MAX_HOSTS: usize = 4;
/// Interval between statements of hosts, and number of hosts of a large zone that hear them.
const STATEMENT_MS: u64 = 300;
const TRACKERS: usize = 3;
const LARGE_ZONE: usize = 6;
/// Interval of the balancer's checks, and checks in a row that take a host out.
const CHECK_MS: u64 = 1_000;
const MISSES: u32 = 2;
/// Share of the callers that keep a connection to one host.
const KEPT_SHARE: f64 = 0.5;
/// Time for which a host avoids an upstream that it takes for down.
const AVOID_MS: u64 = 1_000;
/// Refusals that take longer make their callers wait.
const SLOW_REFUSAL_MS: u64 = 300;

#[derive(Debug)]
struct Host {
    paths: routing::Paths,
    avoided_until: Vec<u64>,
    is_ready: bool,
    misses: u32,
    carried: u64,
    served_in_cut: bool,
}

#[derive(Debug)]
struct Simulation {
    scenario: Scenario,
    way: Way,
    fleet: Fleet,
    random: StdRng,
    hosts: Vec<Host>,
    names: Vec<id::Host>,
    upstreams: Vec<id::Upstream>,
    zones: Vec<id::Zone>,
    report: Report,
}

/// How a connection ended, and after how long.
#[derive(Clone, Copy, Debug)]
struct Opened {
    is_open: bool,
    is_down: bool,
    after: u64,
}

/// Plays `scenario` with `way`.
///
/// ```
/// use lagoon_load::paths::{self, Way};
/// let calm = paths::Scenario { share: 0.0, cut_ms: 2_000, ..paths::Scenario::default() };
/// assert_eq!(paths::run(&calm, Way::Through, 1).through, 0);
/// ```
pub fn run(scenario: &Scenario, way: Way, seed: u64) -> Report {
    let zones: Vec<_> =
        (0..scenario.zones).map(|zone| id::Zone::from(format!("z{zone}"))).collect();
    let names: Vec<_> =
        (0..scenario.hosts).map(|host| id::Host::from(format!("h{host}"))).collect();
    let hosts = (0..scenario.hosts).map(|number| {
        let zone = zones[number % scenario.zones].clone();
        let mut paths = routing::Paths::new(routing::PathSettings::default(), zone);
        for (other, name) in names.iter().enumerate().filter(|(other, _)| *other != number) {
            paths.set_host(name.clone(), zones[other % scenario.zones].clone());
        }
        paths.retain(scenario.upstreams, |_| true);
        Host {
            paths,
            avoided_until: vec![0; scenario.upstreams],
            is_ready: true,
            misses: 0,
            carried: 0,
            served_in_cut: false,
        }
    });
    let mut simulation = Simulation {
        hosts: hosts.collect(),
        scenario: *scenario,
        way,
        fleet: Fleet::new(scenario, seed),
        random: StdRng::seed_from_u64(seed),
        names,
        upstreams: (0..scenario.upstreams).map(|up| id::Upstream::from(format!("u{up}"))).collect(),
        zones,
        report: Report::default(),
    };
    let end = simulation.fleet.cuts_end() + AFTER_MS;
    (0..end).for_each(|now| simulation.step(now));
    let busiest = simulation.hosts.iter().map(|host| host.carried).max().unwrap_or(0);
    Report { busiest, ..simulation.report }
}

fn moment(now: u64) -> clock::Moment {
    clock::Moment::from_millis(now)
}

impl Simulation {
    fn step(&mut self, now: u64) {
        if now.is_multiple_of(STATEMENT_MS) {
            self.tell_sights(now);
        }
        if now.is_multiple_of(CHECK_MS) {
            self.check_ready(now);
        }
        if self.fleet.in_cut(now) == Some(0) {
            self.hosts.iter_mut().for_each(|host| host.served_in_cut = false);
        }
        // The same draws for every way, so that arrivals do not depend on it.
        let mut arrivals = StdRng::seed_from_u64(self.random_seed(now));
        for caller in 0..self.scenario.hosts {
            if arrivals.random_bool(self.scenario.rate / 1_000.0) {
                let keeps = arrivals.random_bool(KEPT_SHARE);
                let draw = arrivals.random();
                let host = self.balance(caller, keeps, draw);
                self.serve(host, now);
            }
        }
    }

    fn random_seed(&self, now: u64) -> u64 {
        now.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.scenario.hosts as u64
    }

    /// Returns the host that a caller comes to: one that keeps its connection stays, as long as the
    /// host is ready.
    fn balance(&self, caller: usize, keeps: bool, draw: u64) -> usize {
        if keeps && self.hosts[caller].is_ready {
            return caller;
        }
        let zone = self.fleet.zone(caller);
        let own: Vec<_> =
            (0..self.hosts.len()).filter(|host| self.fleet.zone(*host) == zone).collect();
        let ready: Vec<_> =
            own.iter().copied().filter(|host| self.hosts[*host].misses < MISSES).collect();
        let used = if ready.len() * 2 < own.len() { own } else { ready };
        used[draw as usize % used.len()]
    }

    /// Looks which hosts are ready. One that is not tries now and then whether a path is back.
    fn check_ready(&mut self, now: u64) {
        if !self.way.is_unready_when_cut_off() {
            return;
        }
        for number in 0..self.hosts.len() {
            if !self.hosts[number].is_ready {
                let upstream = self.random.random_range(0..self.scenario.upstreams);
                if self.reaches(number, upstream, now) {
                    let name = &self.upstreams[upstream];
                    self.hosts[number].paths.record_opened(name, moment(now));
                }
            }
            let host = &mut self.hosts[number];
            let is_ready = !host.paths.is_cut_off();
            self.report.flips += u64::from(is_ready != host.is_ready);
            host.is_ready = is_ready;
            host.misses = if is_ready { 0 } else { host.misses + 1 };
        }
    }

    /// Hosts tell each other whether they are cut off: all of them in small zones, otherwise a few
    /// of a zone hear the others and are heard by them.
    fn tell_sights(&mut self, now: u64) {
        let sights: Vec<_> = self.hosts.iter().map(|host| host.paths.sight(moment(now))).collect();
        let is_large = self.scenario.hosts / self.scenario.zones >= LARGE_ZONE;
        let tracks = |host: usize| !is_large || host / self.scenario.zones < TRACKERS;
        for to in 0..self.hosts.len() {
            for (from, sight) in sights.iter().enumerate() {
                let is_near = self.fleet.zone(to) == self.fleet.zone(from);
                let is_heard =
                    if is_near { tracks(to) || tracks(from) } else { tracks(to) && tracks(from) };
                if from != to && is_heard {
                    self.hosts[to].paths.record_sight(&self.names[from], *sight, moment(now));
                }
            }
        }
    }

    fn serve(&mut self, number: usize, now: u64) {
        let mut after = 0;
        let mut is_served = false;
        for _ in 0..MAX_ATTEMPTS {
            let upstream = self.choose_upstream(number, now);
            let opened = self.connect(number, upstream, now + after);
            after += opened.after;
            if opened.is_open {
                is_served = true;
                self.report.connect_ms += after;
                break;
            }
            if opened.is_down || !self.way.goes_through() {
                self.judge_down(number, upstream, now + after - opened.after, now + after);
            }
        }
        self.count(number, is_served, after, now);
    }

    /// Avoids an upstream for what was seen of it from `began` to `now`.
    fn judge_down(&mut self, number: usize, upstream: usize, began: u64, now: u64) {
        self.hosts[number].avoided_until[upstream] = now + AVOID_MS;
        let is_down = self.fleet.is_down(upstream, began) || self.fleet.is_down(upstream, now);
        self.report.misjudged += u64::from(!is_down);
    }

    fn choose_upstream(&mut self, number: usize, now: u64) -> usize {
        for _ in 0..8 {
            let upstream = self.random.random_range(0..self.scenario.upstreams);
            if self.hosts[number].avoided_until[upstream] <= now {
                return upstream;
            }
        }
        self.random.random_range(0..self.scenario.upstreams)
    }

    fn count(&mut self, number: usize, is_served: bool, after: u64, now: u64) {
        if now < BEGIN_MS {
            return;
        }
        if !is_served {
            self.report.refusals += 1;
            self.report.slow_refusals += u64::from(after > SLOW_REFUSAL_MS);
        }
        let Some(since) = self.fleet.in_cut(now) else { return self.report.calm.add(is_served) };
        if !self.fleet.is_cut(number) {
            return self.report.others.add(is_served);
        }
        let host = &mut self.hosts[number];
        if is_served && !host.served_in_cut {
            host.served_in_cut = true;
            self.report.until_served_ms = self.report.until_served_ms.max(since + after);
        }
        if since < 1_000 {
            self.report.cut_first.add(is_served);
        }
        if since >= STABLE_MS || self.scenario.cut_ms <= STABLE_MS {
            self.report.cut.add(is_served);
        }
    }

    fn reaches(&self, number: usize, upstream: usize, now: u64) -> bool {
        self.fleet.has_path(number, upstream, now) && !self.fleet.is_down(upstream, now)
    }

    fn upstream_zone(&self, upstream: usize) -> usize {
        upstream % self.scenario.zones
    }

    /// Round trip between zones.
    fn round_trip(a: usize, b: usize) -> u64 {
        if a == b { NEAR_MS } else { FAR_MS }
    }

    /// Time until a direct connection opens or fails within `timeout`.
    fn direct(&self, number: usize, upstream: usize, timeout: u64, now: u64) -> Opened {
        let trip = Simulation::round_trip(self.fleet.zone(number), self.upstream_zone(upstream));
        let is_open = self.reaches(number, upstream, now);
        let is_silent = self.scenario.cut == Cut::Silent && !self.fleet.is_down(upstream, now);
        let after = if !is_open && is_silent { timeout } else { trip };
        Opened { is_open, is_down: false, after }
    }

    fn connect(&mut self, number: usize, upstream: usize, now: u64) -> Opened {
        let name = self.upstreams[upstream].clone();
        if !self.way.goes_through() {
            let opened = self.direct(number, upstream, CONNECT_MS, now);
            self.record_direct(number, &name, opened.is_open, now);
            return opened;
        }
        match self.hosts[number].paths.plan(&name, moment(now)) {
            routing::PathPlan::Direct { hedge_after } => {
                let hedge_after = hedge_after.as_millis() as u64;
                self.connect_hedged(number, upstream, hedge_after, now)
            }
            routing::PathPlan::Through => {
                let through = self.through(number, upstream, CONNECT_MS, now);
                match through {
                    Through::Opened(after) => Opened { is_open: true, is_down: false, after },
                    Through::Down(after) => Opened { is_open: false, is_down: true, after },
                    Through::AllCutOff(after) => Opened { is_open: false, is_down: false, after },
                    Through::Nobody(after) => {
                        let direct = self.direct(number, upstream, CONNECT_MS - after, now);
                        self.record_direct(number, &name, direct.is_open, now);
                        Opened { after: after + direct.after, ..direct }
                    }
                }
            }
        }
    }

    fn record_direct(&mut self, number: usize, upstream: &id::Upstream, opened: bool, now: u64) {
        let paths = &mut self.hosts[number].paths;
        let now = moment(now);
        if opened {
            paths.record_opened(upstream, now);
        } else {
            paths.record_lost(upstream, now);
        }
    }

    fn connect_hedged(
        &mut self,
        number: usize,
        upstream: usize,
        hedge_after: u64,
        now: u64,
    ) -> Opened {
        let name = self.upstreams[upstream].clone();
        let direct = self.direct(number, upstream, CONNECT_MS, now);
        if direct.is_open {
            self.record_direct(number, &name, true, now);
            return direct;
        }
        let begins = direct.after.min(hedge_after);
        let through = self.through(number, upstream, CONNECT_MS - begins, now + begins);
        match through {
            Through::Opened(after) => {
                self.record_direct(number, &name, false, now);
                Opened { is_open: true, is_down: false, after: begins + after }
            }
            Through::Down(after) => {
                self.hosts[number].paths.record_down(&name);
                Opened { is_open: false, is_down: true, after: direct.after.max(begins + after) }
            }
            Through::AllCutOff(after) | Through::Nobody(after) => {
                self.record_direct(number, &name, false, now);
                Opened { is_open: false, is_down: false, after: direct.after.max(begins + after) }
            }
        }
    }

    /// Connects through other hosts, as `lagoon-gateway` does.
    fn through(&mut self, number: usize, upstream: usize, timeout: u64, now: u64) -> Through {
        let (mut after, mut asked, mut is_silent) = (0, Vec::new(), false);
        let zone = self.zones[self.upstream_zone(upstream)].clone();
        while asked.len() < MAX_HOSTS && after < timeout {
            let random = self.random.random();
            let at = moment(now + after);
            let choice = self.hosts[number].paths.choose_host(&zone, &asked, at, random);
            let host = match choice {
                routing::PathChoice::Host(host) => host,
                routing::PathChoice::AllCutOff => return Through::AllCutOff(after),
                routing::PathChoice::None => break,
            };
            let other = self.names.iter().position(|name| *name == host).unwrap_or(number);
            asked.push(host);
            self.report.asked += 1;
            let (answer, took) = self.carry(other, upstream, now + after);
            after += took + Simulation::round_trip(self.fleet.zone(number), self.fleet.zone(other));
            let sight = match answer {
                Answer::CutOff => Some(routing::Sight::CutOff),
                Answer::Opened | Answer::Refused | Answer::Silent => Some(routing::Sight::Reaches),
                Answer::PathLost => None,
            };
            if sight.is_some() {
                let name = &self.names[other];
                self.hosts[number].paths.record_sight(name, sight, moment(now + after));
            }
            match answer {
                Answer::Opened => {
                    self.count_through(other, now + after);
                    return Through::Opened(after);
                }
                Answer::Refused => return Through::Down(after),
                Answer::Silent => is_silent = true,
                Answer::CutOff | Answer::PathLost => {}
            }
        }
        if is_silent { Through::Down(after) } else { Through::Nobody(after.min(timeout)) }
    }

    fn count_through(&mut self, other: usize, now: u64) {
        self.report.through += 1;
        self.hosts[other].carried += 1;
        if let Some(late) = now.checked_sub(self.fleet.cuts_end()) {
            self.report.detour_after_ms = self.report.detour_after_ms.max(late);
        }
    }

    /// What `other` answers that is asked for a connection, and after how long.
    fn carry(&mut self, other: usize, upstream: usize, now: u64) -> (Answer, u64) {
        let name = self.upstreams[upstream].clone();
        let plan = self.hosts[other].paths.plan(&name, moment(now));
        if plan == routing::PathPlan::Through {
            let is_cut_off = self.hosts[other].paths.is_cut_off();
            return (if is_cut_off { Answer::CutOff } else { Answer::PathLost }, 0);
        }
        let direct = self.direct(other, upstream, CARRIED_CONNECT_MS, now);
        if direct.is_open {
            return (Answer::Opened, direct.after);
        }
        let mut control = || self.random.random_range(0..self.scenario.upstreams);
        let controls = [control(), control()];
        let opened = controls.iter().filter(|control| self.reaches(other, **control, now)).count();
        if opened == 0 {
            self.record_direct(other, &name, false, now);
        }
        if opened == 0 || self.hosts[other].paths.is_cut_off() {
            return (Answer::CutOff, direct.after);
        }
        let is_silent = direct.after == CARRIED_CONNECT_MS;
        (if is_silent { Answer::Silent } else { Answer::Refused }, direct.after)
    }
}

/// The answer of a host that is asked for a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Answer {
    Opened,
    Refused,
    Silent,
    CutOff,
    PathLost,
}

/// What asking other hosts brought, after how many milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Through {
    Opened(u64),
    Down(u64),
    AllCutOff(u64),
    Nobody(u64),
}

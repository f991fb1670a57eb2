//! The event loop of a simulation.

use lagoonline::clock;
use lagoonline::id;
use lagoonline::lifecycle::fingerprint;
use lagoonline::load::placement;
use lagoonline::routing;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Way;
use super::host::{Host, Message, moment, upstream};
use super::report::{Report, Schedule, limit_at};
use super::scenario::{Fault, Scenario, Traffic};
use crate::timeline::Timeline;

/// When upstreams begin to name their limit, in milliseconds.
const NAMED_MS: u64 = 5_000;
/// Time within which callers want their answer to begin, and after which they give up.
const TARGET_MS: u64 = 300;
const DEADLINE_MS: u64 = 10_000;
/// Milliseconds from a request to the head of its answer.
const ANSWER_MS: u64 = 100;
/// Range of the pause between two tries to place a waiting request, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 8..23;
/// Milliseconds that a message takes in a zone, at least and at most, and more between zones.
const ZONE_DELAY_MS: std::ops::Range<u64> = 4..12;
const REMOTE_DELAY_MS: u64 = 6;
/// Interval of heartbeats, in milliseconds, and of updates of the shares.
const HEARTBEAT_MS: u64 = 900;
const SHARE_MS: u64 = 100;
/// Milliseconds after which a host that was asked to place a request counts as silent.
const OWNER_TIMEOUT_MS: u64 = 60;
/// Time after which an unchanged limit is told again, in milliseconds.
const REPEAT_MS: u64 = 500;
/// Share of the messages that are lost under [`Fault::Loss`].
const LOSS: f64 = 0.03;

/// A caller, at its first attempt or when it has come back.
#[derive(Clone, Copy, Debug)]
struct Caller {
    number: u64,
    host: usize,
    arrived: u64,
    /// When this attempt began.
    began: u64,
    returned: bool,
    /// Whether it came back as early as it was told to.
    obeyed: bool,
}

#[derive(Debug)]
enum Event {
    Try(Caller),
    Answer { host: usize, upstream: usize, sent: u64, rate: Option<f64> },
    Deliver { to: usize, from_zone: usize, message: Message },
    Heartbeat,
    Shares,
    Restart,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    way: Way,
    random: StdRng,
    hosts: Vec<Host>,
    events: Timeline<Event>,
    now: u64,
    /// Number of the last dispatch.
    number: u64,
    schedule: Schedule,
    /// When requests reached each upstream.
    arrivals: Vec<Vec<u64>>,
    /// When the first answer that names a limit arrived, and when all hosts knew it.
    named: Vec<Option<u64>>,
    known: Vec<Option<u64>>,
    messages: u64,
    report: Report,
}

/// Plays `scenario` with arrivals drawn from `seed`.
pub fn run(scenario: &Scenario, way: Way, seed: u64) -> Report {
    let end = scenario.seconds * 1_000;
    let mut simulation = Simulation::new(scenario, way, seed);
    simulation.draw_arrivals(end);
    simulation.push(0, Event::Heartbeat);
    simulation.push(0, Event::Shares);
    simulation.push(end / 3, Event::Restart);
    while let Some((at, event)) = simulation.events.pop() {
        if at >= end + DEADLINE_MS {
            break;
        }
        simulation.now = at;
        simulation.handle(event, end);
    }
    simulation.finish(end)
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, way: Way, seed: u64) -> Simulation<'a> {
        let end = scenario.seconds * 1_000;
        let limit = scenario.limit;
        let mut schedule: Schedule = vec![(0, None), (NAMED_MS, Some(limit))];
        if scenario.changes {
            schedule.push((end / 4, Some(limit / 2.0)));
            schedule.push((end / 2, Some(limit * 2.0)));
            schedule.push((end * 3 / 4, None));
        }
        let mut simulation = Simulation {
            scenario,
            way,
            random: StdRng::seed_from_u64(seed),
            hosts: Vec::new(),
            events: Timeline::default(),
            now: 0,
            number: 0,
            schedule,
            arrivals: vec![Vec::new(); scenario.upstreams],
            named: vec![None; scenario.upstreams],
            known: vec![None; scenario.upstreams],
            messages: 0,
            report: Report::default(),
        };
        simulation.start_hosts();
        simulation
    }

    fn start_hosts(&mut self) {
        let Scenario { hosts, zones, upstreams, .. } = *self.scenario;
        let start = |number: usize| {
            let zone = number % zones;
            Host::new(number, (zone, zones), (self.way, hosts), upstreams, self.now)
        };
        self.hosts = (0..hosts).map(start).collect();
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.push(at, event);
    }

    /// Draws the callers, which come at random moments.
    fn draw_arrivals(&mut self, end: u64) {
        let Scenario { upstreams, limit, demand, hosts, zones, traffic, .. } = *self.scenario;
        let rate = upstreams as f64 * limit * demand / 1e3;
        let mut at = 0.0;
        let mut number = 0;
        loop {
            at -= self.random.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
            if at >= end as f64 {
                return;
            }
            let moment = at as u64;
            let any: usize = self.random.random_range(0..hosts);
            let host = match traffic {
                Traffic::Even => any,
                Traffic::OneHost => 0,
                Traffic::Moving => {
                    let zone = (moment / 5_000) as usize % zones;
                    (any / zones * zones + zone) % hosts
                }
            };
            number += 1;
            let caller = Caller {
                number,
                host,
                arrived: moment,
                began: moment,
                returned: false,
                obeyed: false,
            };
            self.push(moment, Event::Try(caller));
        }
    }

    fn is_faulty(&self, fault: Fault) -> bool {
        let end = self.scenario.seconds * 1_000;
        self.scenario.fault == fault && (end / 3..end * 2 / 3).contains(&self.now)
    }

    fn is_frozen(&self, host: usize) -> bool {
        host == 0 && self.is_faulty(Fault::Freeze)
    }

    fn handle(&mut self, event: Event, end: u64) {
        match event {
            Event::Try(caller) if self.is_frozen(caller.host) => {
                self.push(end * 2 / 3, Event::Try(caller));
            }
            Event::Try(caller) => self.try_to_place(caller),
            Event::Answer { host, upstream, sent, rate } => {
                self.answer(host, upstream, sent, rate);
            }
            Event::Deliver { to, from_zone, message } if self.is_frozen(to) => {
                self.push(end * 2 / 3, Event::Deliver { to, from_zone, message });
            }
            Event::Deliver { to, from_zone, message } => {
                self.hosts[to].receive(&message, from_zone, self.now);
                self.record_known();
            }
            Event::Heartbeat => {
                for host in 0..self.hosts.len() {
                    if !self.is_frozen(host) {
                        self.tell(host, &Message::Heartbeat, false);
                    }
                }
                if self.now < end {
                    self.push(self.now + HEARTBEAT_MS, Event::Heartbeat);
                }
            }
            Event::Shares => {
                for host in &mut self.hosts {
                    host.update_share(self.now);
                }
                if self.now < end {
                    self.push(self.now + SHARE_MS, Event::Shares);
                }
            }
            Event::Restart => {
                if self.scenario.fault == Fault::Restart {
                    self.start_hosts();
                }
            }
        }
    }

    /// Sends a message of `from` to the other hosts, or to those of its zone.
    fn tell(&mut self, from: usize, message: &Message, own_zone: bool) {
        let zone = self.hosts[from].zone;
        for to in 0..self.hosts.len() {
            let to_zone = self.hosts[to].zone;
            if to == from || own_zone && to_zone != zone {
                continue;
            }
            let remote = to_zone != zone;
            let is_cut = remote
                && (self.is_faulty(Fault::Cut) && (zone == 0 || to_zone == 0)
                    || self.is_faulty(Fault::CutOneWay) && zone == 0);
            let is_lost = remote && self.is_faulty(Fault::Loss) && self.random.random_bool(LOSS);
            if is_cut || is_lost {
                continue;
            }
            let delay =
                self.random.random_range(ZONE_DELAY_MS) + if remote { REMOTE_DELAY_MS } else { 0 };
            let event = Event::Deliver { to, from_zone: zone, message: message.clone() };
            self.push(self.now + delay, event);
        }
    }

    /// The host that places a request which came to `host`, and the time until its decision is
    /// known there. `None` if no host answers.
    fn placing_host(&self, host: usize) -> (Option<usize>, u64) {
        if self.way != Way::Owner {
            return (Some(host), 0);
        }
        let round_trip = 2 * (ZONE_DELAY_MS.start + REMOTE_DELAY_MS);
        let mut delay = 0;
        for owner in 0..2.min(self.hosts.len()) {
            let (own, other) = (self.hosts[host].zone, self.hosts[owner].zone);
            let cut = self.is_faulty(Fault::Cut) || self.is_faulty(Fault::CutOneWay);
            let is_cut = cut && own != other && (own == 0 || other == 0);
            if owner == host || !is_cut && !self.is_frozen(owner) {
                return (Some(owner), delay + if owner == host { 0 } else { round_trip });
            }
            delay += OWNER_TIMEOUT_MS;
        }
        (None, delay)
    }

    fn try_to_place(&mut self, caller: Caller) {
        let now = self.now;
        let (placing, delay) = self.placing_host(caller.host);
        let zone = id::Zone::from("z");
        let identity = fingerprint::Fingerprint::new("", &caller.number.to_string(), b"");
        let request = placement::Request {
            prompt_tokens: 0,
            answer_tokens: 0,
            target: (moment(caller.began) + clock::Span::from_millis(TARGET_MS)).since(moment(now)),
            max_gap: clock::Span::ZERO,
            waited: moment(now).since(moment(caller.began)),
            waiter: placement::DispatchId {
                host: caller.host as u64,
                number: caller.number * 2 + u64::from(caller.returned),
            },
            zone: &zone,
            avoid: &[],
            backoffs: &[],
            hints: &[],
            random: self.random.random(),
            identity: Some(identity),
            prefixes: &[],
            urgency: 0,
            customer: None,
            eligibility: &routing::Eligibility::default(),
            homes: &routing::Homes::default(),
        };
        self.number += 1;
        let number = self.number;
        let placed = match placing {
            Some(placing) => self.hosts[placing].place(&request, number, now),
            None => Err(placement::Refusal::Rejected(
                placement::Shortage::Permit,
                clock::Span::from_millis(400),
            )),
        };
        match placed {
            Ok(upstream) => {
                let placing = placing.unwrap_or(caller.host);
                self.send(caller, placing, number, upstream, now + delay);
            }
            Err(placement::Refusal::Rejected(_, span)) => {
                let after = u64::try_from(span.as_millis()).unwrap_or(u64::MAX / 4);
                self.refuse(caller, identity, after);
            }
            Err(_) if now - caller.began < DEADLINE_MS => {
                let pause = self.random.random_range(PAUSE_MS);
                self.push(now + delay + pause, Event::Try(caller));
            }
            Err(_) => self.report.held += 1,
        }
    }

    fn send(&mut self, caller: Caller, placing: usize, number: u64, upstream: usize, at: u64) {
        if at.saturating_sub(caller.arrived) <= TARGET_MS {
            self.report.in_time += 1;
        } else {
            self.report.late += 1;
        }
        self.arrivals[upstream].push(at);
        let rate = limit_at(&self.schedule, at + ANSWER_MS / 2);
        let host = caller.host;
        self.push(at + ANSWER_MS, Event::Answer { host, upstream, sent: at, rate });
        if self.way != Way::Owner {
            self.tell(placing, &Message::Sent { host: placing, number, upstream }, false);
        }
    }

    fn refuse(&mut self, caller: Caller, identity: fingerprint::Fingerprint, after: u64) {
        if caller.returned {
            self.report.refused_twice += 1;
            self.report.misled += u64::from(caller.obeyed);
            return;
        }
        self.report.refused += 1;
        // Callers come back to another host of their zone, and wait a third of their time at most.
        let zones = self.scenario.zones;
        let hosts = self.hosts.len();
        if self.way != Way::Owner {
            self.tell(caller.host, &Message::Promised { identity, after }, true);
        }
        let longest = DEADLINE_MS / 3;
        let began = self.now + after.min(longest) + self.random.random_range(8..20);
        let mut host = (caller.host + zones) % hosts;
        if self.hosts[host].zone != self.hosts[caller.host].zone
            || self.scenario.traffic == Traffic::OneHost
        {
            host = caller.host;
        }
        self.push(
            began,
            Event::Try(Caller { host, began, returned: true, obeyed: after <= longest, ..caller }),
        );
    }

    fn answer(&mut self, host: usize, index: usize, sent: u64, rate: Option<f64>) {
        let now = self.now;
        if rate.is_some() {
            self.named[index].get_or_insert(now);
        }
        let placing = self.placing_host(host).0.unwrap_or(host);
        let age = self.hosts[placing].placer.limit_age(&upstream(index), moment(now));
        let is_news = rate.is_some() || age.is_some();
        let changed = self.hosts[placing].observe(index, rate, (sent, now), now);
        let is_recent = age.is_some_and(|age| age < clock::Span::from_millis(REPEAT_MS));
        if is_news && self.way.shares_observations() && (changed || !is_recent) {
            let message = Message::Limited { upstream: index, rate, sent, seen: now };
            self.messages += self.hosts.len() as u64 - 1;
            self.tell(placing, &message, false);
        }
        self.record_known();
    }

    /// Records which limits all hosts know.
    fn record_known(&mut self) {
        for index in 0..self.scenario.upstreams {
            if self.named[index].is_none() || self.known[index].is_some() {
                continue;
            }
            let name = upstream(index);
            if self.hosts.iter().all(|host| host.placer.is_limited(&name)) {
                self.known[index] = Some(self.now);
            }
        }
    }

    fn finish(mut self, end: u64) -> Report {
        for arrivals in &mut self.arrivals {
            arrivals.sort_unstable();
        }
        for (arrivals, named) in self.arrivals.iter().zip(&self.named) {
            self.report.add_upstream(arrivals, &self.schedule, named.unwrap_or(end), end);
        }
        self.report.add_use(&self.arrivals, &self.schedule, end);
        let known = |(named, known): (&Option<u64>, &Option<u64>)| {
            named.map_or(0, |named| known.unwrap_or(end).saturating_sub(named))
        };
        self.report.known_ms = self.named.iter().zip(&self.known).map(known).max().unwrap_or(0);
        let hosts = self.hosts.len() as f64;
        let seconds = (end - NAMED_MS) as f64 / 1e3;
        self.report.messages =
            self.messages as f64 / hosts / self.scenario.upstreams as f64 / seconds;
        self.report
    }
}

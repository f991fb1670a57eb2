//! Simulation of upstreams that return cold, in front of the hosts that place requests.
//!
//! All hosts read of the upstreams at the same moment. Requests take the time of an answer, so that
//! an upstream that has just returned looks the least used one. Messages between hosts take their
//! time, are late or lost, and zones and hosts fail as [`Fault`] says.

use lagoonline::clock;
use lagoonline::id;
use lagoonline::lifecycle::fingerprint;
use lagoonline::load::{cold, placement};
use lagoonline::routing;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use super::host::{moment, upstream};
use crate::timeline::Timeline;

/// What a cold upstream sustains, in requests per second, and the bound on its arrivals.
const RATE: f64 = 17.0;
const BOUND: cold::Bound = cold::Bound { overage: 1.5, slack: 5.0 };
/// Times in milliseconds: when the upstreams return, until when they are cold, and the end.
const RETURN_MS: u64 = 2_000;
const WARM_MS: u64 = 18_000;
const END_MS: u64 = 19_000;
/// First and last moment of the faults, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 5_000..9_000;
/// Time after the return from which the use of the rate is counted.
const SETTLING_MS: u64 = 1_000;
/// Window of the bound.
const WINDOW_MS: u64 = 1_000;
/// Milliseconds of an answer, and slots of an upstream.
const ANSWER_MS: u64 = 1_500;
const SLOTS: u32 = 12;
/// Target time and deadline of a request, and range of the pause between its tries.
const TARGET_MS: u64 = 300;
const DEADLINE_MS: u64 = 8_000;
const PAUSE_MS: std::ops::Range<u64> = 20..60;
/// Milliseconds that a message takes in a zone, more between zones, and more if it is late.
const ZONE_DELAY_MS: std::ops::Range<u64> = 8..16;
const REMOTE_DELAY_MS: u64 = 5;
const LATE_MS: std::ops::Range<u64> = 100..400;
/// Share of the messages that are late, or lost.
const FAULTY_SHARE: f64 = 0.1;
/// Milliseconds that a request takes to its upstream.
const SEND_MS: std::ops::Range<u64> = 1..5;
/// Interval of heartbeats, after which silence a zone counts as cut off, and of updates of shares.
const HEARTBEAT_MS: u64 = 900;
const ZONE_TIMEOUT_MS: u64 = 1_300;
const SHARE_MS: u64 = 100;
/// Interval of bursts.
const BURST_INTERVAL_MS: u64 = 2_000;
/// Start of the lifetimes before the return, and after it.
const STARTED_MS: (u64, u64) = (1, 2);

/// A way of limiting the requests to cold upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Hosts do not limit them.
    Ignored,
    /// Each host applies the rate to its own requests.
    Alone,
    /// Each host counts the requests of all hosts, as the gateway does.
    Counted,
}

impl Way {
    /// All ways.
    pub const ALL: [Way; 3] = [Way::Ignored, Way::Alone, Way::Counted];
}

/// A fault, for some seconds of the cold time unless said otherwise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// None.
    None,
    /// A tenth of the messages are late, all the time.
    Late,
    /// A tenth of the messages between zones are lost, all the time.
    Loss,
    /// The first zone and the others do not hear from each other.
    Cut,
    /// No zone hears from any other.
    CutAll,
    /// The first host is frozen, and wakes.
    Freeze,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 6] =
        [Fault::None, Fault::Late, Fault::Loss, Fault::Cut, Fault::CutAll, Fault::Freeze];
}

/// When requests arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Traffic {
    /// At random, so many per second.
    Steady(f64),
    /// So many at one moment, every two seconds.
    Bursts(u64),
}

/// A scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of those that place requests: one of each zone if it has a scheduler.
    pub placing: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of upstreams that return, and of those that stay.
    pub cold: usize,
    /// Number of warm upstreams.
    pub warm: usize,
    /// When requests arrive.
    pub traffic: Traffic,
}

/// All scenarios: with 2, 12, 112 and 350 hosts one upstream returns, six, a zone of eighteen, all
/// there are, and one while requests arrive in bursts.
pub fn all() -> Vec<Scenario> {
    let sizes = [(2, 2, 2), (12, 12, 3), (112, 3, 3), (350, 9, 9), (45, 45, 9)];
    let kinds = [
        ("one", 1, 11, Traffic::Steady(200.0)),
        ("six", 6, 6, Traffic::Steady(200.0)),
        ("zone", 18, 6, Traffic::Steady(450.0)),
        ("all", 2, 0, Traffic::Steady(60.0)),
        ("bursts", 1, 1, Traffic::Bursts(120)),
    ];
    let of_size = |(hosts, placing, zones)| {
        kinds.map(|(name, cold, warm, traffic)| Scenario {
            name,
            hosts,
            placing,
            zones,
            cold,
            warm,
            traffic,
        })
    };
    sizes.into_iter().flat_map(of_size).collect()
}

/// What upstreams and callers saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Most arrivals at a cold upstream in any second.
    pub most: usize,
    /// Share of the rate that was used, from a second after the return.
    pub used: f64,
    /// Requests that were sent, and those that were refused until their callers' deadline.
    pub sent: u64,
    /// Requests that were given up.
    pub given_up: u64,
}

/// Most arrivals that the bound allows in a second.
pub fn allowed() -> usize {
    (RATE * BOUND.overage + BOUND.slack) as usize
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    number: u64,
    host: usize,
    arrived: u64,
    /// When this attempt began.
    began: u64,
}

#[derive(Clone, Debug)]
enum Message {
    Sent(placement::DispatchId, usize),
    Ended(placement::DispatchId),
    Heartbeat,
}

#[derive(Debug)]
enum Event {
    Return,
    Try(Caller),
    End { host: usize, id: placement::DispatchId },
    Deliver { to: usize, from: usize, message: Message },
    Heartbeat,
    Shares,
}

#[derive(Debug)]
struct Host {
    placer: placement::Placer,
    /// When each zone was last heard of.
    heard: Vec<u64>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    way: Way,
    fault: Fault,
    random: StdRng,
    hosts: Vec<Host>,
    events: Timeline<Event>,
    now: u64,
    number: u64,
    /// When requests reached each upstream; the cold ones come first.
    arrivals: Vec<Vec<u64>>,
    report: Report,
}

/// Plays `scenario` with arrivals drawn from `seed`.
pub fn run(scenario: &Scenario, way: Way, fault: Fault, seed: u64) -> Report {
    let mut simulation = Simulation::new(scenario, way, fault, seed);
    simulation.draw_arrivals();
    for event in [Event::Heartbeat, Event::Shares] {
        simulation.events.push(0, event);
    }
    simulation.events.push(RETURN_MS, Event::Return);
    while let Some((at, event)) = simulation.events.pop() {
        if at >= END_MS {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.finish()
}

/// The dispatch `id` to the upstream `index`.
fn dispatch(id: placement::DispatchId, index: usize, now: u64) -> placement::Dispatch {
    placement::Dispatch {
        id,
        primary: upstream(index),
        helpers: Vec::new(),
        prompt_tokens: 0,
        helper_reserves: Vec::new(),
        max_gap: clock::Span::ZERO,
        deadline: moment(now + ANSWER_MS * 2),
        urgency: 0,
        customer: 0,
    }
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, way: Way, fault: Fault, seed: u64) -> Simulation<'a> {
        let Scenario { placing, zones, cold, warm, .. } = *scenario;
        let host = |number: usize| {
            let settings = placement::Settings::default();
            let placer = placement::Placer::new(settings, id::Zone::from("z"), number as u64);
            Host { placer, heard: vec![0; zones] }
        };
        let mut simulation = Simulation {
            scenario,
            way,
            fault,
            random: StdRng::seed_from_u64(seed),
            hosts: (0..placing).map(host).collect(),
            events: Timeline::default(),
            now: 0,
            number: 0,
            arrivals: vec![Vec::new(); cold + warm],
            report: Report::default(),
        };
        simulation.list(cold..cold + warm);
        simulation
    }

    /// Lets all hosts read the list of the upstreams `indices`.
    fn list(&mut self, indices: std::ops::Range<usize>) {
        let entry = |index: usize| {
            let is_cold = index < self.scenario.cold;
            let left = if is_cold { WARM_MS - RETURN_MS } else { 0 };
            routing::Registration {
                upstream: upstream(index),
                service: id::Service::from("s"),
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
                zone: id::Zone::from("z"),
                slots: SLOTS,
                leaving: false,
                started_ms: if is_cold { STARTED_MS.1 } else { STARTED_MS.0 },
                cold: Some(clock::Span::from_millis(left)),
            }
        };
        let entries: Vec<_> = indices.map(entry).collect();
        let span = clock::Span::from_millis(WARM_MS - RETURN_MS);
        let cold_start = routing::ColdStart { span, rate: RATE };
        let cold_start = Some(cold_start).filter(|_| self.way != Way::Ignored);
        let now = moment(self.now);
        let placing = if self.way == Way::Alone { 1 } else { self.scenario.placing };
        for host in &mut self.hosts {
            host.placer.set_placing_hosts(placing);
            host.placer.set_upstreams(&entries, None);
            host.placer.update_cold(cold_start, BOUND, now);
        }
    }

    /// Draws the requests.
    fn draw_arrivals(&mut self) {
        let placing = self.scenario.placing;
        let mut at = 0.0;
        loop {
            let count = match self.scenario.traffic {
                Traffic::Steady(rate) => {
                    at -= self.random.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate * 1e3;
                    1
                }
                Traffic::Bursts(count) => {
                    at += BURST_INTERVAL_MS as f64;
                    count
                }
            };
            if at >= WARM_MS as f64 {
                return;
            }
            for _ in 0..count {
                self.number += 1;
                let host = self.random.random_range(0..placing);
                let (number, arrived) = (self.number, at as u64);
                let caller = Caller { number, host, arrived, began: arrived };
                self.events.push(arrived, Event::Try(caller));
            }
        }
    }

    fn is_faulty(&self, fault: Fault) -> bool {
        self.fault == fault && FAULT_MS.contains(&self.now)
    }

    fn is_frozen(&self, host: usize) -> bool {
        host == 0 && self.is_faulty(Fault::Freeze)
    }

    fn zone(&self, host: usize) -> usize {
        host % self.scenario.zones
    }

    fn handle(&mut self, event: Event) {
        let now = moment(self.now);
        match event {
            Event::Return => self.list(0..self.scenario.cold + self.scenario.warm),
            // A host that wakes handles its requests first, and then what it was told.
            Event::Try(caller) if self.is_frozen(caller.host) => {
                self.events.push(FAULT_MS.end, Event::Try(caller));
            }
            Event::Deliver { to, from, message } if self.is_frozen(to) => {
                self.events.push(FAULT_MS.end + 1, Event::Deliver { to, from, message });
            }
            Event::Try(caller) => self.try_to_place(caller),
            Event::End { host, id } => {
                self.hosts[host].placer.record_end(id, now);
                self.tell(host, &Message::Ended(id));
            }
            Event::Deliver { to, from, message } => self.receive(to, from, &message),
            Event::Heartbeat => {
                for host in 0..self.hosts.len() {
                    if !self.is_frozen(host) {
                        self.tell(host, &Message::Heartbeat);
                    }
                }
                self.events.push(self.now + HEARTBEAT_MS, Event::Heartbeat);
            }
            Event::Shares => {
                self.update_shares();
                self.events.push(self.now + SHARE_MS, Event::Shares);
            }
        }
    }

    fn update_shares(&mut self) {
        if self.way != Way::Counted {
            return;
        }
        for number in 0..self.hosts.len() {
            if self.is_frozen(number) {
                continue;
            }
            let (zone, now) = (self.zone(number), self.now);
            let host = &mut self.hosts[number];
            host.heard[zone] = now;
            let heard = host.heard.iter().filter(|at| now.saturating_sub(**at) <= ZONE_TIMEOUT_MS);
            let share = heard.count() as f64 / host.heard.len() as f64;
            host.placer.set_cold_share(share, moment(now));
        }
    }

    fn receive(&mut self, to: usize, from: usize, message: &Message) {
        let (zone, now) = (self.zone(from), self.now);
        let host = &mut self.hosts[to];
        host.heard[zone] = now;
        match message {
            Message::Sent(id, index) => {
                host.placer.record_placing_host(from as u64, moment(now));
                host.placer.record_dispatch(dispatch(*id, *index, now), moment(now));
            }
            Message::Ended(id) => host.placer.record_end(*id, moment(now)),
            Message::Heartbeat => {}
        }
    }

    /// Whether no message passes between two hosts.
    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.zone(from), self.zone(to));
        from != to
            && (self.is_faulty(Fault::CutAll)
                || self.is_faulty(Fault::Cut) && (from == 0 || to == 0))
    }

    /// Sends a message of `from` to the other hosts.
    fn tell(&mut self, from: usize, message: &Message) {
        if self.way == Way::Alone {
            return;
        }
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            let is_remote = self.zone(from) != self.zone(to);
            let is_lost =
                is_remote && self.fault == Fault::Loss && self.random.random_bool(FAULTY_SHARE);
            if is_lost || self.is_cut(from, to) {
                continue;
            }
            let mut delay = self.random.random_range(ZONE_DELAY_MS);
            if is_remote {
                delay += REMOTE_DELAY_MS;
            }
            if self.fault == Fault::Late && self.random.random_bool(FAULTY_SHARE) {
                delay += self.random.random_range(LATE_MS);
            }
            let event = Event::Deliver { to, from, message: message.clone() };
            self.events.push(self.now + delay, event);
        }
    }

    fn try_to_place(&mut self, caller: Caller) {
        let now = self.now;
        let Caller { number, host, arrived, began } = caller;
        let zone = id::Zone::from("z");
        let target = moment(began) + clock::Span::from_millis(TARGET_MS);
        let waiter = placement::DispatchId { host: host as u64, number };
        let request = placement::Request {
            prompt_tokens: 0,
            answer_tokens: 0,
            target: target.since(moment(now)),
            max_gap: clock::Span::ZERO,
            waited: moment(now).since(moment(began)),
            waiter,
            zone: &zone,
            avoid: &[],
            backoffs: &[],
            hints: &[],
            random: self.random.random(),
            identity: Some(fingerprint::Fingerprint::new("", &number.to_string(), b"")),
            urgency: 0,
            customer: None,
            eligibility: &routing::Eligibility::default(),
            homes: &routing::Homes::default(),
            prefixes: &[],
        };
        match self.hosts[host].placer.place(&request, moment(now)) {
            Ok(placement) => self.send(host, waiter, &placement),
            Err(_) if now - arrived >= DEADLINE_MS => self.report.given_up += 1,
            Err(placement::Refusal::Rejected(_, span)) => {
                let after = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
                let began = now + after.clamp(1, DEADLINE_MS);
                self.events.push(began, Event::Try(Caller { began, ..caller }));
            }
            Err(_) => {
                let pause = self.random.random_range(PAUSE_MS);
                self.events.push(now + pause, Event::Try(caller));
            }
        }
    }

    fn send(&mut self, host: usize, id: placement::DispatchId, placed: &placement::Placement) {
        let now = self.now;
        let index: usize = placed.primary.upstream.as_str()[1..].parse().unwrap_or_default();
        self.report.sent += 1;
        self.arrivals[index].push(now + self.random.random_range(SEND_MS));
        let placer = &mut self.hosts[host].placer;
        placer.record_placing_host(host as u64, moment(now));
        placer.record_dispatch(dispatch(id, index, now), moment(now));
        self.tell(host, &Message::Sent(id, index));
        self.events.push(now + ANSWER_MS, Event::End { host, id });
    }

    fn finish(mut self) -> Report {
        let cold = self.scenario.cold;
        let mut used = 0;
        for arrivals in &mut self.arrivals[..cold] {
            arrivals.sort_unstable();
            arrivals.retain(|at| *at < WARM_MS);
            used += arrivals.iter().filter(|at| **at >= RETURN_MS + SETTLING_MS).count();
            for (first, start) in arrivals.iter().enumerate() {
                let end = arrivals.partition_point(|at| *at < start + WINDOW_MS);
                self.report.most = self.report.most.max(end - first);
            }
        }
        let seconds = (WARM_MS - RETURN_MS - SETTLING_MS) as f64 / 1e3;
        self.report.used = used as f64 / (RATE * seconds * cold as f64);
        self.report
    }
}

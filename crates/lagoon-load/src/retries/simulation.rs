//! The event loop of a simulation.

use lagoonline::clock;
use lagoonline::load::retry;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Way;
use super::host::{CANDIDATES, Host, Letter};
use super::report::{Record, Report};
use super::scenario::{Event, Fault, Hosts, Scenario, Traffic};
use crate::timeline::Timeline;

/// The allowed retries for each request, and the window.
pub(super) const RATIO: f64 = 0.2;
pub(super) const WINDOW_MS: u64 = 10_000;
/// When attempts begin to fail, in milliseconds.
const FAILING_FROM_MS: u64 = 12_000;
/// Milliseconds in which the requests of a burst arrive.
const BURST_MS: u64 = 100;
/// Milliseconds until an attempt has failed.
const ATTEMPT_MS: std::ops::Range<u64> = 20..60;
/// Most attempts of a request.
const MAX_ATTEMPTS: u32 = 3;
/// Milliseconds for which messages are collected, that they take, and more between zones.
const BATCH_MS: u64 = 8;
const DELAY_MS: std::ops::Range<u64> = 1..5;
const REMOTE_DELAY_MS: u64 = 6;
/// Interval of heartbeats in milliseconds.
const HEARTBEAT_MS: u64 = 300;
/// Milliseconds until a killed host starts, and from its start until it takes requests.
const DOWN_MS: u64 = 500;
const STARTING_MS: u64 = 30;
/// Milliseconds after which a host that was asked for a retry counts as silent, and how many are
/// asked.
const ANSWER_TIMEOUT_MS: u64 = 60;
const MAX_ASKED: usize = 2;

/// A request.
#[derive(Clone, Copy, Debug)]
struct Request {
    host: usize,
    /// The process that it came to.
    life: u64,
    attempts: u32,
    /// Hosts that were asked for a retry and did not answer.
    asked: usize,
}

#[derive(Debug)]
enum Step {
    Arrive {
        host: usize,
    },
    /// An attempt failed.
    Failed(Request),
    /// Tell others what this host used.
    Tell {
        host: usize,
    },
    Heartbeat {
        host: usize,
    },
    Deliver {
        to: usize,
        letter: Letter,
    },
    Start {
        host: usize,
    },
    Happen(Event),
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    way: Way,
    random: StdRng,
    /// `None` while a host is down.
    hosts: Vec<Option<Host>>,
    steps: Timeline<Step>,
    now: u64,
    lives: u64,
    cut_until: u64,
    messages: u64,
    record: Record,
    report: Report,
}

/// Plays `scenario` with requests drawn from `seed`.
pub fn run(scenario: &Scenario, way: Way, seed: u64) -> Report {
    let end = scenario.seconds * 1_000;
    let mut simulation = Simulation {
        scenario,
        way,
        random: StdRng::seed_from_u64(seed),
        hosts: (0..scenario.hosts).map(|_| None).collect(),
        steps: Timeline::default(),
        now: 0,
        lives: 0,
        cut_until: 0,
        messages: 0,
        record: Record::default(),
        report: Report::default(),
    };
    simulation.draw(end);
    while let Some((at, step)) = simulation.steps.pop() {
        if at >= end {
            break;
        }
        simulation.now = at;
        simulation.handle(step);
    }
    let seconds = (scenario.hosts as u64 * scenario.seconds) as f64;
    let messages = simulation.messages as f64 / seconds;
    simulation.record.finish(scenario.slack, Report { messages, ..simulation.report })
}

impl Simulation<'_> {
    fn push(&mut self, at: u64, step: Step) {
        self.steps.push(at, step);
    }

    /// Draws the requests and plans the events.
    fn draw(&mut self, end: u64) {
        for host in 0..self.scenario.hosts {
            self.push(0, Step::Start { host });
        }
        for event in &self.scenario.events {
            self.push(event.at, Step::Happen(*event));
        }
        let last = match self.scenario.traffic {
            Traffic::Ending => (FAILING_FROM_MS + end) / 2,
            Traffic::Even | Traffic::OneHost => end,
        };
        for number in 0..self.scenario.burst {
            let host = self.random.random_range(0..self.scenario.hosts);
            let at = FAILING_FROM_MS + number * BURST_MS / self.scenario.burst;
            self.push(at, Step::Arrive { host });
        }
        let mut at = 0.0;
        loop {
            at += -f64::ln(1.0 - self.random.random::<f64>()) * 1e3 / self.scenario.rate;
            if at >= last as f64 {
                return;
            }
            let host = match self.scenario.traffic {
                Traffic::OneHost => 0,
                Traffic::Even | Traffic::Ending => self.random.random_range(0..self.scenario.hosts),
            };
            self.push(at as u64, Step::Arrive { host });
        }
    }

    fn handle(&mut self, step: Step) {
        match step {
            Step::Arrive { host } => self.arrive(host),
            Step::Failed(request) => self.fail(request),
            Step::Tell { host } => self.tell(host, false),
            Step::Heartbeat { host } => {
                self.tell(host, true);
                self.push(self.now + HEARTBEAT_MS, Step::Heartbeat { host });
            }
            Step::Deliver { to, letter } => {
                let now = self.now;
                let Some(host) = self.hosts[to].as_mut() else { return };
                if host.frozen_until > now {
                    let at = host.frozen_until;
                    return self.push(at, Step::Deliver { to, letter });
                }
                host.receive(&letter, now);
            }
            Step::Start { host } => self.start(host),
            Step::Happen(event) => self.happen(event),
        }
    }

    /// Starts a process, which announces itself and is told what the others know.
    fn start(&mut self, number: usize) {
        self.lives += 1;
        let host = Host::start(self.scenario, self.way, number, self.lives, self.now);
        let audience: Vec<_> = host.audience().collect();
        let is_first = self.lives <= self.scenario.hosts as u64;
        self.hosts[number] = Some(host);
        for other in audience {
            let now = self.now;
            let Some(peer) = self.hosts[other].as_mut() else { continue };
            peer.receive(&Letter::greeting(number, self.lives, now), now);
            if let Some((reports, unknown)) = peer.knowledge(self.now) {
                self.send(other, number, reports, Some(unknown));
            }
        }
        if is_first {
            let at = self.now + self.random.random_range(0..HEARTBEAT_MS);
            self.push(at, Step::Heartbeat { host: number });
        }
    }

    fn arrive(&mut self, number: usize) {
        let now = self.now;
        let wakes_at = match &self.hosts[number] {
            // The balancer sends callers of a host that is down to others.
            None => return self.arrive_elsewhere(),
            Some(host) => host.frozen_until.max(host.born + STARTING_MS),
        };
        if wakes_at > now {
            return self.push(wakes_at, Step::Arrive { host: number });
        }
        self.record.requests.push(now);
        let Some(host) = self.hosts[number].as_mut() else { return };
        host.record_request(now);
        let request = Request { host: number, life: host.life, attempts: 0, asked: 0 };
        self.attempt(request);
    }

    fn arrive_elsewhere(&mut self) {
        let up: Vec<_> = (0..self.hosts.len()).filter(|host| self.hosts[*host].is_some()).collect();
        if up.is_empty() {
            return;
        }
        let host = up[self.random.random_range(0..up.len())];
        self.push(self.now, Step::Arrive { host });
    }

    /// Sends a request to an upstream.
    fn attempt(&mut self, request: Request) {
        if request.attempts > 0 {
            self.record.retries.push(self.now);
        }
        let request = Request { attempts: request.attempts + 1, asked: 0, ..request };
        let failing = if self.now < FAILING_FROM_MS { 0.0 } else { self.scenario.failing };
        if self.random.random_bool(failing) {
            let at = self.now + self.random.random_range(ATTEMPT_MS);
            return self.push(at, Step::Failed(request));
        }
        self.report.served += 1;
        self.report.served_by_retry += u64::from(request.attempts > 1);
    }

    /// Sends a request again after a failure, if that is allowed.
    fn fail(&mut self, request: Request) {
        let now = self.now;
        let Some(host) = self.hosts[request.host].as_mut() else { return };
        if host.life != request.life {
            return;
        }
        if host.frozen_until > now {
            let at = host.frozen_until;
            return self.push(at, Step::Failed(request));
        }
        if request.attempts >= MAX_ATTEMPTS {
            return;
        }
        let verdict = match self.decider(&request) {
            Some(decider) if decider == request.host => self.take(request.host, None, true),
            Some(decider) if self.is_silent(decider) => {
                let request = Request { asked: request.asked + 1, ..request };
                return self.push(now + ANSWER_TIMEOUT_MS, Step::Failed(request));
            }
            Some(decider) => self.take(decider, Some(request), true),
            None => self.take(request.host, None, false),
        };
        match verdict {
            retry::Verdict::Allowed => {
                self.announce(request.host);
                self.attempt(request);
            }
            retry::Verdict::Wait => {
                let pause = retry::TURN.as_millis() as u64 / 2;
                let at = now + self.random.random_range(pause / 2..pause * 3 / 2);
                self.push(at, Step::Failed(request));
            }
            retry::Verdict::Refused => self.record.refusals.push(now),
        }
    }

    /// Returns the host that decides on a retry: the first of the zone that is up and was not asked
    /// in vain; `None` if the host decides by itself.
    fn decider(&self, request: &Request) -> Option<usize> {
        let host = self.hosts[request.host].as_ref()?;
        if !host.asks() || request.asked >= MAX_ASKED {
            return None;
        }
        let zone = (0..self.hosts.len()).filter(|other| other % self.scenario.zones == host.zone);
        let mut up = zone.filter(|other| self.hosts[*other].is_some()).take(CANDIDATES);
        up.nth(request.asked)
    }

    /// Whether a host does not answer a question.
    fn is_silent(&self, host: usize) -> bool {
        self.hosts[host]
            .as_ref()
            .is_none_or(|host| host.frozen_until > self.now || host.isolated_until > self.now)
    }

    fn take(&mut self, decider: usize, asking: Option<Request>, schedules: bool) -> retry::Verdict {
        let now = self.now;
        let Some(host) = self.hosts[decider].as_mut() else { return retry::Verdict::Refused };
        let verdict = host.take_retry(asking.map(|request| request.life), schedules, now);
        if let (retry::Verdict::Allowed, Some(request)) = (verdict, asking)
            && let Some(host) = self.hosts[request.host].as_mut()
        {
            host.record_retry(now);
        }
        verdict
    }

    /// Makes a host tell others of its retries soon.
    fn announce(&mut self, number: usize) {
        let at = self.now + BATCH_MS;
        let Some(host) = self.hosts[number].as_mut() else { return };
        if host.shares() && !std::mem::replace(&mut host.has_news, true) {
            self.push(at, Step::Tell { host: number });
        }
    }

    /// Tells others what a host used.
    fn tell(&mut self, number: usize, is_heartbeat: bool) {
        let now = self.now;
        let Some(host) = self.hosts[number].as_mut() else { return };
        if !is_heartbeat {
            host.has_news = false;
        }
        if host.frozen_until > now || !host.shares() {
            return;
        }
        let Some(report) = host.report(now) else { return };
        let audience: Vec<_> = host.audience().collect();
        for other in audience {
            self.send(number, other, vec![report], None);
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        reports: Vec<retry::Report>,
        unknown: Option<clock::Span>,
    ) {
        self.messages += 1;
        let zones = self.scenario.zones;
        let is_remote = from % zones != to % zones;
        let is_isolated = |host: &usize| {
            self.hosts[*host].as_ref().is_some_and(|host| host.isolated_until > self.now)
        };
        let is_cut = is_remote && self.cut_until > self.now || [from, to].iter().any(is_isolated);
        if is_cut || self.random.random_bool(self.scenario.loss) {
            return;
        }
        let remote = if is_remote { REMOTE_DELAY_MS } else { 0 };
        let delay = self.random.random_range(DELAY_MS) + self.scenario.delay + remote;
        let Some(host) = self.hosts[from].as_ref() else { return };
        let arrived = host.arrived(to);
        let letter =
            Letter { arrived, reports, unknown, ..Letter::greeting(from, host.life, self.now) };
        self.push(self.now + delay, Step::Deliver { to, letter });
    }

    fn happen(&mut self, event: Event) {
        let zones = self.scenario.zones;
        let is_meant = |host: &usize| match event.hosts {
            Hosts::All => true,
            Hosts::First => *host < zones,
            Hosts::Half => host.is_multiple_of(2),
            Hosts::Number(number) => *host == number,
        };
        let hosts: Vec<_> = (0..self.scenario.hosts).filter(is_meant).collect();
        let now = self.now;
        if let Fault::CutZones(span) = event.fault {
            self.cut_until = now + span;
            return;
        }
        for (index, host) in hosts.iter().enumerate() {
            match event.fault {
                Fault::Restart => self.kill(*host),
                Fault::RestartInSeries(span) => {
                    let at = now + span * index as u64 / hosts.len() as u64;
                    let fault = Fault::Restart;
                    self.push(at, Step::Happen(Event { at, hosts: Hosts::Number(*host), fault }));
                }
                Fault::Freeze(span) => {
                    if let Some(host) = self.hosts[*host].as_mut() {
                        host.frozen_until = now + span;
                    }
                }
                Fault::Isolate(span) => {
                    if let Some(host) = self.hosts[*host].as_mut() {
                        host.isolated_until = now + span;
                    }
                }
                Fault::CutZones(_) => {}
            }
        }
    }

    fn kill(&mut self, number: usize) {
        if self.hosts[number].take().is_some() {
            self.push(self.now + DOWN_MS, Step::Start { host: number });
        }
    }
}

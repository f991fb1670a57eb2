//! The event loop of a simulation.

use std::collections;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::load::placement;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Way;
use super::host::{Host, TARGET, moment, upstream};
use super::report::Report;
use super::scenario::{Fault, Scenario, Trouble};
use crate::timeline::Timeline;

/// Time after which callers give up.
const DEADLINE_MS: u64 = 10_000;
/// Range of the time that an upstream works on a request, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 200..1_400;
/// Milliseconds from a host to an upstream, and back.
const HOP_MS: u64 = 3;
/// Milliseconds after which a connection to an upstream that is gone has failed.
const CONNECT_MS: u64 = 20;
/// Range of the milliseconds that a message takes in a zone, and more between zones.
const ZONE_DELAY_MS: std::ops::Range<u64> = 4..12;
const REMOTE_DELAY_MS: u64 = 6;
/// Milliseconds after which a host that was asked to place a request counts as silent.
const ANSWER_TIMEOUT_MS: u64 = 60;
/// Range of the pause between two tries to place a waiting request, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 8..23;
/// Attempts beyond the first that a request may make because upstreams refused it.
const MAX_REFUSALS: u32 = 2;
/// Retries of all hosts in a window: a share of the callers in it, and a number beyond that.
const RETRY_SHARE: f64 = 0.2;
const RETRY_SLACK: usize = 50;
const RETRY_WINDOW_MS: u64 = 10_000;
/// Milliseconds after which a caller comes back that is not told better.
const RETURN_MS: u64 = 400;
/// Time after the answer that names a time within which requests were under way, in milliseconds.
const UNDER_WAY_MS: u64 = 500;
/// Time that a moody upstream names that is not in its right mind: an hour.
const HOUR_MS: u64 = 3_600_000;
/// Share of the messages that are lost under [`Fault::Messages`].
const LOST_MESSAGES: f64 = 0.3;

/// A caller's request at a host.
#[derive(Clone, Debug)]
struct Call {
    host: usize,
    /// When its caller first asked, and when this try of the caller began.
    arrived: u64,
    began: u64,
    returned: bool,
    refusals: u32,
    avoid: Vec<id::Upstream>,
}

/// A call that was sent.
#[derive(Clone, Debug)]
struct Sent {
    call: Call,
    id: placement::DispatchId,
    upstream: usize,
    /// Lifetime of the host that sent it.
    life: u64,
}

/// What hosts tell each other.
#[derive(Clone, Copy, Debug)]
enum Message {
    Sent(placement::DispatchId, usize),
    First(placement::DispatchId),
    Ended(placement::DispatchId),
    BackedOff { host: usize, upstream: usize, until: u64 },
}

#[derive(Debug)]
enum Event {
    Place(Call),
    Reach(Sent),
    TurnedAway { sent: Sent, span: u64 },
    Unreachable(Sent),
    First(Sent),
    Done(Sent),
    Deliver { to: usize, message: Message },
    Restart,
}

/// An upstream: what it works on and what waits.
#[derive(Debug, Default)]
struct Upstream {
    running: usize,
    waiting: collections::VecDeque<Sent>,
    /// The last time that it named to each host: when, and its end.
    asked: collections::BTreeMap<usize, (u64, u64, u64)>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    way: Way,
    random: StdRng,
    hosts: Vec<Host>,
    life: u64,
    upstreams: Vec<Upstream>,
    timeline: Timeline<Event>,
    now: u64,
    end: u64,
    number: u64,
    arrivals: Vec<u64>,
    retries: collections::VecDeque<u64>,
    messages: u64,
    report: Report,
}

/// Plays `scenario` with arrivals drawn from `seed`.
pub fn run(scenario: &Scenario, way: Way, seed: u64) -> Report {
    let end = scenario.seconds * 1_000;
    let mut simulation = Simulation {
        scenario,
        way,
        random: StdRng::seed_from_u64(seed),
        hosts: (0..scenario.hosts).map(|number| Host::new(number, scenario)).collect(),
        life: 0,
        upstreams: (0..scenario.upstreams).map(|_| Upstream::default()).collect(),
        timeline: Timeline::default(),
        now: 0,
        end,
        number: 0,
        arrivals: Vec::new(),
        retries: collections::VecDeque::new(),
        messages: 0,
        report: Report::default(),
    };
    simulation.draw_arrivals();
    simulation.timeline.push(end / 2, Event::Restart);
    while let Some((at, event)) = simulation.timeline.pop() {
        simulation.now = at;
        simulation.handle(event);
    }
    let spread = scenario.hosts as f64 * scenario.seconds as f64;
    Report { messages: simulation.messages as f64 / spread, ..simulation.report }
}

impl Simulation<'_> {
    fn draw_arrivals(&mut self) {
        let Scenario { upstreams, slots, load, hosts, trouble, .. } = *self.scenario;
        let work = (WORK_MS.start + WORK_MS.end) as f64 / 2.0;
        let rate = load * (upstreams * slots) as f64 / work;
        let mut at = 0.0;
        loop {
            let is_burst = trouble == Trouble::Burst && self.is_middle(at as u64);
            let factor = if is_burst { 2.0 } else { 1.0 };
            at -= self.random.random::<f64>().max(f64::MIN_POSITIVE).ln() / (rate * factor);
            if at >= self.end as f64 {
                return;
            }
            let arrived = at as u64;
            let host = self.random.random_range(0..hosts);
            let (refusals, avoid) = (0, Vec::new());
            let call = Call { host, arrived, began: arrived, returned: false, refusals, avoid };
            self.arrivals.push(arrived);
            self.report.callers += 1;
            self.timeline.push(arrived, Event::Place(call));
        }
    }

    /// Whether `at` is in the middle third of the run.
    fn is_middle(&self, at: u64) -> bool {
        (self.end / 3..self.end * 2 / 3).contains(&at)
    }

    fn is_faulty(&self, fault: Fault) -> bool {
        self.scenario.fault == fault && self.is_middle(self.now)
    }

    fn is_troubled(&self, trouble: Trouble) -> bool {
        self.scenario.trouble == trouble && self.is_middle(self.now)
    }

    /// Whether a host does nothing now.
    fn is_frozen(&self, host: usize) -> bool {
        host < self.scenario.zones && self.is_faulty(Fault::Freeze)
    }

    /// Whether an upstream is among the first `share`.
    fn is_among(&self, upstream: usize, share: f64) -> bool {
        (upstream as f64) < (self.scenario.upstreams as f64 * share).ceil()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Place(call) if self.is_frozen(call.host) => {
                self.timeline.push(self.end * 2 / 3, Event::Place(call));
            }
            Event::Place(call) => self.place(call),
            Event::Reach(sent) => self.reach(sent),
            Event::TurnedAway { sent, span } => self.turned_away(sent, span),
            Event::Unreachable(sent) => {
                self.hosts[sent.call.host].record_unreachable(sent.upstream, self.now);
                self.again(sent);
            }
            Event::First(sent) => self.first(&sent),
            Event::Done(sent) => self.done(&sent),
            Event::Deliver { to, message } if self.is_frozen(to) => {
                self.timeline.push(self.end * 2 / 3, Event::Deliver { to, message });
            }
            Event::Deliver { to, message } => self.deliver(to, message),
            Event::Restart if self.scenario.fault == Fault::Restart => {
                let start = |number| Host::new(number, self.scenario);
                self.hosts = (0..self.scenario.hosts).map(start).collect();
                self.life += 1;
                for upstream in &mut self.upstreams {
                    upstream.asked.clear();
                }
            }
            Event::Restart => {}
        }
    }

    /// The host that places the requests of `host`, and milliseconds until its answer is there.
    fn placing_host(&self, host: usize) -> (usize, u64) {
        let scheduler = self.hosts[host].zone;
        if !self.scenario.schedulers || scheduler == host {
            (host, 0)
        } else if self.is_frozen(scheduler) {
            (host, ANSWER_TIMEOUT_MS)
        } else {
            (scheduler, 2 * ZONE_DELAY_MS.start)
        }
    }

    fn place(&mut self, call: Call) {
        if self.now >= call.arrived + DEADLINE_MS {
            return self.refuse(call, None);
        }
        let (mut placing, delay) = self.placing_host(call.host);
        self.number += 1;
        let random = self.random.random();
        let tried = (call.host, self.number);
        let times = (call.began, self.now);
        let mut placed = self.hosts[placing].place(tried, times, &call.avoid, random);
        if let Ok(index) = placed
            && placing != call.host
            && let Some(until) = self.hosts[call.host].backoff_until(call.host, index, self.now)
        {
            self.report.sent_back += 1;
            if self.way != Way::SentBack {
                self.tell_backoff(call.host, index, until);
            }
            placing = call.host;
            placed = self.hosts[placing].place(tried, times, &call.avoid, random);
        }
        match placed {
            Ok(index) => self.send(call, placing, index, delay),
            Err(placement::Refusal::Rejected(placement::Shortage::Backoff, span))
                if self.way == Way::Held =>
            {
                let pause = u64::try_from(span.as_millis()).unwrap_or(u64::MAX / 4);
                let pause = pause.min(DEADLINE_MS) + self.random.random_range(PAUSE_MS);
                self.timeline.push(self.now + pause, Event::Place(call));
            }
            Err(placement::Refusal::Deferred(_)) => {
                let pause = delay + self.random.random_range(PAUSE_MS);
                self.timeline.push(self.now + pause, Event::Place(call));
            }
            Err(placement::Refusal::Rejected(_, span)) => self.refuse(call, Some(span)),
            Err(_) => self.refuse(call, None),
        }
    }

    fn send(&mut self, call: Call, placing: usize, index: usize, delay: u64) {
        let id = placement::DispatchId { host: call.host as u64, number: self.number };
        self.hosts[placing].record_sent(id, index, self.now);
        self.tell(placing, Message::Sent(id, index));
        let sent = Sent { call, id, upstream: index, life: self.life };
        self.timeline.push(self.now + delay + HOP_MS, Event::Reach(sent));
    }

    fn reach(&mut self, sent: Sent) {
        self.count_late(&sent);
        if self.is_lost(sent.upstream) {
            self.timeline.push(self.now + CONNECT_MS, Event::Unreachable(sent));
            return;
        }
        let hour = self.is_troubled(Trouble::Hour) && sent.upstream == 0;
        let turns_all_away = self.turns_all_away(sent.upstream);
        let upstream = &mut self.upstreams[sent.upstream];
        if turns_all_away
            || upstream.running >= self.scenario.slots
                && upstream.waiting.len() >= self.scenario.queue
        {
            return self.turn_away(sent, hour);
        }
        if upstream.running >= self.scenario.slots {
            upstream.waiting.push_back(sent);
        } else {
            upstream.running += 1;
            self.begin(sent);
        }
    }

    fn is_lost(&self, upstream: usize) -> bool {
        self.is_troubled(Trouble::Loss) && self.is_among(upstream, 1.0 / 3.0)
    }

    fn turns_all_away(&self, upstream: usize) -> bool {
        self.is_troubled(Trouble::Moody) && self.is_among(upstream, 1.0 / 6.0)
            || self.is_troubled(Trouble::Hour) && upstream == 0
            || self.is_troubled(Trouble::All)
    }

    /// Whether an upstream would begin a request at once.
    fn has_room(&self, upstream: usize) -> bool {
        let is_usable = !self.is_lost(upstream) && !self.turns_all_away(upstream);
        is_usable && self.upstreams[upstream].running < self.scenario.slots
    }

    /// Counts a request that reaches an upstream which wanted none from its host.
    fn count_late(&mut self, sent: &Sent) {
        let asked = self.upstreams[sent.upstream].asked.get_mut(&sent.call.host);
        if let Some((first, until, count)) = asked
            && (*first + UNDER_WAY_MS..*until).contains(&self.now)
        {
            *count += 1;
            self.report.late += 1;
            self.report.worst = self.report.worst.max(*count);
        }
    }

    fn turn_away(&mut self, sent: Sent, hour: bool) {
        let (shortest, longest) = self.scenario.times_ms;
        let span = if hour { HOUR_MS } else { self.random.random_range(shortest..=longest) };
        self.report.turned_away += 1;
        let (now, until) = (self.now, self.now + span);
        let asked = self.upstreams[sent.upstream].asked.entry(sent.call.host);
        let asked = asked.or_insert((now, until, 0));
        if asked.1 <= now {
            *asked = (now, until, 0);
        }
        asked.1 = asked.1.max(until);
        self.timeline.push(now + HOP_MS, Event::TurnedAway { sent, span });
    }

    fn begin(&mut self, sent: Sent) {
        let slow = self.is_troubled(Trouble::Slow) && self.is_among(sent.upstream, 0.25);
        let work = self.random.random_range(WORK_MS) * if slow { 4 } else { 1 };
        let first = if self.scenario.engines { 60 } else { work };
        self.timeline.push(self.now + first + HOP_MS, Event::First(sent.clone()));
        self.timeline.push(self.now + work, Event::Done(sent));
    }

    fn turned_away(&mut self, sent: Sent, span: u64) {
        let (host, index) = (sent.call.host, sent.upstream);
        let until = self.now + span;
        if self.way != Way::Ignored && sent.life == self.life {
            self.hosts[host].record_backoff(host, index, until, self.now);
            if self.way != Way::SentBack {
                self.tell_backoff(host, index, until);
            }
        }
        self.again(sent);
    }

    /// Ends an attempt that did not run, and makes another one if it may.
    fn again(&mut self, mut sent: Sent) {
        self.end(&sent);
        sent.call.refusals += 1;
        sent.call.avoid.push(upstream(sent.upstream));
        let from = self.now.saturating_sub(RETRY_WINDOW_MS);
        while self.retries.front().is_some_and(|at| *at < from) {
            self.retries.pop_front();
        }
        let arrived = self.arrivals.partition_point(|at| *at <= self.now)
            - self.arrivals.partition_point(|at| *at < from);
        let allowed = (arrived as f64 * RETRY_SHARE) as usize + RETRY_SLACK;
        if sent.call.refusals > MAX_REFUSALS || self.retries.len() >= allowed {
            return self.refuse(sent.call, None);
        }
        self.retries.push_back(self.now);
        self.place(sent.call);
    }

    fn end(&mut self, sent: &Sent) {
        let placing = self.placing_host(sent.call.host).0;
        for host in [sent.call.host, placing] {
            self.hosts[host].record_end(sent.id, self.now);
        }
        self.tell(sent.call.host, Message::Ended(sent.id));
    }

    fn first(&mut self, sent: &Sent) {
        let waited = moment(self.now).since(moment(sent.call.arrived));
        if waited <= TARGET && !sent.call.returned {
            self.report.in_time += 1;
        } else {
            self.report.served_late += 1;
        }
        let placing = self.placing_host(sent.call.host).0;
        self.hosts[placing].record_first(sent.id, self.now);
        self.tell(sent.call.host, Message::First(sent.id));
    }

    fn done(&mut self, sent: &Sent) {
        self.end(sent);
        let upstream = &mut self.upstreams[sent.upstream];
        match upstream.waiting.pop_front() {
            Some(next) => self.begin(next),
            None => upstream.running -= 1,
        }
    }

    fn refuse(&mut self, call: Call, span: Option<clock::Span>) {
        let has_room = (0..self.upstreams.len()).any(|index| self.has_room(index));
        self.report.refused_with_room += u64::from(has_room);
        let after =
            span.map_or(RETURN_MS, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX / 4));
        let after = after + self.random.random_range(0..=(after / 4).min(500));
        let left = (call.arrived + DEADLINE_MS).saturating_sub(self.now);
        if call.returned || left == 0 {
            self.report.refused += 1;
            return;
        }
        // Callers come back to another host of their zone, and wait a third of their time at most.
        let began = self.now + after.min(left / 3);
        let other = call.host + self.scenario.zones;
        let host = if other < self.scenario.hosts { other } else { self.hosts[call.host].zone };
        let (refusals, avoid) = (0, Vec::new());
        let call = Call { host, began, returned: true, refusals, avoid, ..call };
        self.timeline.push(began, Event::Place(call));
    }

    /// Tells the hosts that place requests for `host` until when it wants to send nothing to an
    /// upstream.
    fn tell_backoff(&mut self, host: usize, upstream: usize, until: u64) {
        let message = Message::BackedOff { host, upstream, until };
        let is_hint =
            self.way == Way::Preferred && self.hosts[host].record_hint(upstream, until, self.now);
        if is_hint {
            self.tell(host, message);
        } else if self.way == Way::Shared {
            for to in 0..self.hosts.len() {
                self.send_message(host, to, message);
            }
        } else if self.scenario.schedulers {
            self.send_message(host, self.hosts[host].zone, message);
        }
    }

    /// Sends a message of `from` to all hosts that place requests.
    fn tell(&mut self, from: usize, message: Message) {
        let placing = if self.scenario.schedulers { self.scenario.zones } else { self.hosts.len() };
        for to in 0..placing.min(self.hosts.len()) {
            self.send_message(from, to, message);
        }
    }

    fn send_message(&mut self, from: usize, to: usize, message: Message) {
        let (zone, to_zone) = (self.hosts[from].zone, self.hosts[to].zone);
        let is_cut = self.is_faulty(Fault::Cut) && zone != to_zone && (zone == 0 || to_zone == 0);
        if to == from || is_cut {
            return;
        }
        self.messages += u64::from(matches!(message, Message::BackedOff { .. }));
        if self.is_faulty(Fault::Messages) && self.random.random_bool(LOST_MESSAGES) {
            return;
        }
        let remote = if zone == to_zone { 0 } else { REMOTE_DELAY_MS };
        let delay = self.random.random_range(ZONE_DELAY_MS) + remote;
        self.timeline.push(self.now + delay, Event::Deliver { to, message });
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let now = self.now;
        let host = &mut self.hosts[to];
        match message {
            Message::Sent(id, upstream) => host.record_sent(id, upstream, now),
            Message::First(id) => host.record_first(id, now),
            Message::Ended(id) => host.record_end(id, now),
            Message::BackedOff { upstream, until, .. } if self.way == Way::Shared => {
                host.record_backoff(to, upstream, until, now);
                if self.scenario.schedulers {
                    for other in (to..self.scenario.hosts).step_by(self.scenario.zones) {
                        self.hosts[to].record_backoff(other, upstream, until, now);
                    }
                }
            }
            Message::BackedOff { host: asked, upstream, until } => {
                host.record_backoff(asked, upstream, until, now);
                if self.way == Way::Preferred {
                    host.record_hint(upstream, until, now);
                }
            }
        }
    }
}

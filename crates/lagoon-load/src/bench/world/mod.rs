//! The loop over arrivals, engine steps and reports.

use std::cmp;
use std::collections;
use std::sync;

use lagoonline::clock;
use lagoonline::control::document;
use lagoonline::id;
use lagoonline::load;
use lagoonline::port;
use lagoonline::view;

use super::arrival;
use super::engine;
use super::report;
use super::scenario;

mod fault;
mod send;
mod spending;

/// Attempts of one request at most.
const ATTEMPTS: u32 = 4;
/// How long a host waits for an upstream that does not answer.
const TIMEOUT: clock::Span = clock::Span::from_millis(100);
/// One way between zones.
const ZONE_DELAY: clock::Span = clock::Span::from_millis(4);

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Step { engine: usize, incarnation: u64 },
    End { engine: usize, incarnation: u64, job: engine::Job },
    Lost { request: usize, attempt: u32, ending: load::Ending },
    Report(usize),
    Observe(usize, port::engine::LoadReport),
    Wake(usize),
    Spending,
    Heard { host: usize, spends: Vec<load::limit::Usage> },
    Begin,
    Finish,
}

/// A request under way.
#[derive(Debug, Default)]
struct Request {
    host: usize,
    attempts: u32,
    ticket: Option<load::Ticket>,
    engine: usize,
    /// Engines with the memory taken on each, the first one answers.
    parts: Vec<(usize, u64)>,
    /// Lives of these engines when it was sent.
    lives: Vec<u64>,
    first_token: Option<clock::Moment>,
    ended: bool,
}

/// One run.
pub struct World<'a> {
    scenario: &'a scenario::Scenario,
    arrivals: &'a [arrival::Arrival],
    now: clock::Moment,
    events: collections::BTreeMap<(clock::Moment, u64), Event>,
    sequence: u64,
    engines: Vec<engine::Engine>,
    names: collections::HashMap<id::Upstream, usize>,
    hosts: Vec<load::Scheduler>,
    limits: Vec<load::limit::Limits>,
    wakes: Vec<clock::Moment>,
    waiters: collections::HashMap<(usize, load::Waiter), usize>,
    requests: Vec<Request>,
    cut: bool,
    open: usize,
    seconds: f64,
    tally: report::Tally,
}

impl<'a> World<'a> {
    /// Hosts with these settings before the scenario's engines.
    pub fn new(
        scenario: &'a scenario::Scenario,
        arrivals: &'a [arrival::Arrival],
        settings: &load::Settings,
        seconds: f64,
    ) -> Self {
        let fleet = fleet(scenario);
        let model = id::Model::from("m");
        let count = (scenario.zones * scenario.hosts) as usize;
        let host = |index: usize| {
            let settings = load::Settings {
                zone: zone(index as u32 / scenario.hosts),
                hosts_in_zone: scenario.hosts,
                seed: settings.seed + index as u64,
                ..settings.clone()
            };
            let mut host = load::Scheduler::new(settings);
            host.set_fleet(clock::Moment::START, &fleet, &model);
            host
        };
        let engines = (0..scenario.zones * scenario.engines)
            .map(|_| engine::Engine::new(scenario::RATE, scenario::SLOTS, scenario::KV));
        let names = fleet.upstreams.iter().enumerate();
        World {
            scenario,
            arrivals,
            now: clock::Moment::START,
            events: collections::BTreeMap::new(),
            sequence: 0,
            engines: engines.collect(),
            names: names.map(|(index, upstream)| (upstream.name.clone(), index)).collect(),
            hosts: (0..count).map(host).collect(),
            limits: (0..count).map(|_| load::limit::Limits::new(scenario.hosts)).collect(),
            wakes: vec![clock::Moment::NEVER; count],
            waiters: collections::HashMap::new(),
            requests: arrivals.iter().map(|_| Request::default()).collect(),
            cut: false,
            open: arrivals.len(),
            seconds,
            tally: report::Tally::new(seconds),
        }
    }

    /// Runs until every request has ended.
    pub fn run(mut self) -> report::Tally {
        let third = clock::Span::from_secs_f64(self.seconds / 3.0);
        self.at(clock::Moment::START + third, Event::Begin);
        self.at(clock::Moment::START + 2 * third, Event::Finish);
        for index in 0..self.arrivals.len() {
            self.at(self.arrivals[index].at, Event::Arrive(index));
        }
        for index in 0..self.engines.len() {
            // Spread over the period, as independent reporters are.
            let part = scenario::REPORT.0 * index as u32 / self.engines.len() as u32;
            self.at(clock::Moment::START + part, Event::Report(index));
        }
        if self.scenario.limit > 0.0 {
            self.at(clock::Moment::START, Event::Spending);
        }
        while self.open > 0
            && let Some(((now, _), event)) = self.events.pop_first()
        {
            self.now = now;
            self.handle(event);
        }
        self.tally.kv_held = self.engines.iter().map(|engine| engine.kv_used).sum();
        self.tally.tickets_held = self.hosts.iter().map(load::Scheduler::dispatched).sum();
        self.tally
    }

    fn at(&mut self, moment: clock::Moment, event: Event) {
        self.sequence += 1;
        self.events.insert((moment, self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::Step { engine, incarnation } => self.step(engine, incarnation),
            Event::End { engine, incarnation, job } => self.end(engine, incarnation, &job),
            Event::Lost { request, attempt, ending } => self.lost(request, attempt, ending),
            Event::Report(index) => self.report(index),
            Event::Observe(index, load) => self.observe(index, &load),
            Event::Wake(host) => {
                self.wakes[host] = clock::Moment::NEVER;
                self.poll(host);
            }
            Event::Spending => self.spending(),
            Event::Heard { host, spends } => self.limits[host].apply_report(self.now, &spends),
            Event::Begin => self.begin(),
            Event::Finish => self.finish_fault(),
        }
    }

    fn ask(&self, index: usize) -> load::Request {
        let arrival = &self.arrivals[index];
        let customer = format!("c{}", arrival.customer);
        load::Request {
            customer: id::Customer::from(customer),
            team: id::Team::from("t"),
            weight: 1,
            model: id::Model::from("m"),
            prompt_tokens: arrival.tokens,
            answer_tokens: arrival.answer,
            bytes: arrival.tokens * 4,
            arrived: arrival.at,
            deadline: arrival.at + arrival.deadline,
            prefixes: arrival.prefixes.clone(),
        }
    }

    fn arrive(&mut self, index: usize) {
        let host = self.arrivals[index].host;
        self.requests[index].host = host;
        let ask = self.ask(index);
        if let Err(failure) = self.limit(host, &ask) {
            self.refused(index, failure.reason);
            return;
        }
        let verdict = self.hosts[host].offer(self.now, ask);
        self.verdict(index, verdict);
        self.poll(host);
    }

    fn verdict(&mut self, index: usize, verdict: load::Verdict) {
        match verdict {
            load::Verdict::Dispatch(placement) => self.send(index, &placement),
            load::Verdict::Wait(waiter) => {
                self.waiters.insert((self.requests[index].host, waiter), index);
            }
            load::Verdict::Refuse(failure) => self.refused(index, failure.reason),
        }
    }

    fn poll(&mut self, host: usize) {
        for wake in self.hosts[host].poll(self.now) {
            match wake {
                load::Wake::Dispatch(waiter, placement) => {
                    if let Some(index) = self.waiters.remove(&(host, waiter)) {
                        self.send(index, &placement);
                    }
                }
                load::Wake::Refuse(waiter, failure) => {
                    if let Some(index) = self.waiters.remove(&(host, waiter)) {
                        self.refused(index, failure.reason);
                    }
                }
            }
        }
        let next = self.hosts[host].next_wake().max(self.now + clock::Span::from_micros(1));
        if next < self.wakes[host] {
            self.wakes[host] = next;
            self.at(next, Event::Wake(host));
        }
    }

    fn start(&mut self, engine: usize) {
        let incarnation = self.engines[engine].incarnation;
        if let Some(end) = self.engines[engine].start(self.now) {
            self.at(end, Event::Step { engine, incarnation });
        }
    }

    fn step(&mut self, engine: usize, incarnation: u64) {
        if !self.is_life(engine, incarnation) {
            return;
        }
        if let Some(job) = self.engines[engine].end_step() {
            self.first_token(engine, incarnation, job);
        }
        self.start(engine);
    }

    fn first_token(&mut self, engine: usize, incarnation: u64, job: engine::Job) {
        let arrival = &self.arrivals[job.request];
        self.engines[engine].cache(&arrival.prefixes);
        if !self.is_current(&job) {
            self.at(self.now, Event::End { engine, incarnation, job });
            return;
        }
        let request = &mut self.requests[job.request];
        let zone = engine as u32 / self.scenario.engines;
        let remote = zone != request.host as u32 / self.scenario.hosts;
        let delay = if remote { 2 * ZONE_DELAY } else { clock::Span::ZERO };
        request.first_token.get_or_insert(self.now + delay);
        let (host, ticket) = (request.host, request.ticket);
        if let Some(ticket) = ticket {
            self.hosts[host].record_first_token(self.now, ticket);
        }
        let tokens = arrival.answer as f64 * self.engines[engine].slow;
        let end = self.now + scenario::TOKEN.mul_f64(tokens);
        self.at(end, Event::End { engine, incarnation, job });
        self.poll(host);
    }

    fn end(&mut self, engine: usize, incarnation: u64, job: &engine::Job) {
        if !self.is_life(engine, incarnation) {
            return;
        }
        self.engines[engine].release(job.kv);
        if !self.is_current(job) {
            self.start(engine);
            return;
        }
        self.free_members(job.request);
        let arrival = &self.arrivals[job.request];
        let ending = load::Ending::Done {
            prompt_tokens: arrival.tokens,
            cached_tokens: 0,
            answer_tokens: arrival.answer,
        };
        let request = &mut self.requests[job.request];
        request.ended = true;
        self.open -= 1;
        let (host, first) = (request.host, request.first_token.unwrap_or(self.now));
        let on_slow = self.scenario.fault != scenario::Fault::None && engine == 0;
        self.tally.done(arrival, first, self.now, on_slow);
        if let Some(ticket) = request.ticket.take() {
            self.hosts[host].finish(self.now, ticket, ending);
        }
        self.start(engine);
        self.poll(host);
    }

    fn free_members(&mut self, index: usize) {
        let parts = std::mem::take(&mut self.requests[index].parts);
        let lives = std::mem::take(&mut self.requests[index].lives);
        for ((member, kv), life) in parts.into_iter().zip(lives).skip(1) {
            if self.is_life(member, life) {
                self.engines[member].unreserve(kv);
                self.start(member);
            }
        }
    }

    fn lost(&mut self, index: usize, attempt: u32, ending: load::Ending) {
        let request = &mut self.requests[index];
        if request.ended || request.attempts != attempt {
            return;
        }
        let Some(ticket) = request.ticket.take() else { return };
        let (host, attempts) = (request.host, request.attempts);
        let ask = self.ask(index);
        if attempts >= ATTEMPTS || ask.deadline <= self.now {
            self.hosts[host].finish(self.now, ticket, ending);
            self.refused(index, lagoonline::outcome::Reason::UpstreamFailed);
        } else {
            let verdict = self.hosts[host].retry(self.now, ticket, ending, ask);
            self.verdict(index, verdict);
        }
        self.poll(host);
    }

    fn refused(&mut self, index: usize, reason: lagoonline::outcome::Reason) {
        self.requests[index].ended = true;
        self.open -= 1;
        self.tally.refused(&self.arrivals[index], self.now, reason);
    }

    fn report(&mut self, index: usize) {
        if self.engines[index].alive {
            let load = self.engines[index].load();
            self.at(self.now + scenario::REPORT.1, Event::Observe(index, load));
        }
        self.at(self.now + scenario::REPORT.0, Event::Report(index));
    }

    fn observe(&mut self, index: usize, load: &port::engine::LoadReport) {
        let name = name(index as u32);
        for host in 0..self.hosts.len() {
            self.hosts[host].observe(self.now, &name, load);
            self.poll(host);
        }
    }

    /// Whether the job is its request's last attempt, still awaited.
    fn is_current(&self, job: &engine::Job) -> bool {
        let request = &self.requests[job.request];
        !request.ended && request.attempts == job.attempt && !request.parts.is_empty()
    }

    fn is_life(&self, engine: usize, incarnation: u64) -> bool {
        self.engines[engine].alive && self.engines[engine].incarnation == incarnation
    }
}

fn name(index: u32) -> id::Upstream {
    id::Upstream::from(format!("e{index:03}"))
}

fn zone(index: u32) -> id::Zone {
    id::Zone::from(format!("z{index}"))
}

fn fleet(scenario: &scenario::Scenario) -> view::Shared {
    let mut fleet = view::Fleet::default();
    let model = id::Model::from("m");
    fleet.models.insert(model.clone(), document::Model::default());
    for index in 0..scenario.zones * scenario.engines {
        let entry = document::Upstream {
            zone: zone(index / scenario.engines),
            serves: document::Serves::Models(vec![model.clone()]),
            kv_tokens: scenario::KV,
            slots: scenario::SLOTS,
            ..document::Upstream::default()
        };
        let team = id::Team::from("t");
        fleet.upstreams.push(view::Upstream { name: name(index), team, entry });
    }
    sync::Arc::new(fleet)
}

/// Whether a moment is past a third of the run, where faults begin.
pub fn in_fault(at: clock::Moment, seconds: f64) -> bool {
    at.cmp(&clock::Moment::from_micros((seconds / 3.0 * 1e6) as u64)) != cmp::Ordering::Less
}

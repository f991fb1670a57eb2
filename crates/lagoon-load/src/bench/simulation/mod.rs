//! Event loop over arrivals, engine steps, load reports and usage reports.

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

mod dispatch;
mod fault;
mod usage;

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 4;
/// Time after which a host gives up on an unreachable upstream.
const CONNECT_TIMEOUT: clock::Span = clock::Span::from_millis(100);
/// One-way network delay between zones.
const ZONE_DELAY: clock::Span = clock::Span::from_millis(4);

/// A scheduled event.
#[derive(Debug)]
enum Event {
    /// The request with this index arrives at its host.
    Arrival(usize),
    /// An engine completes a prefill step.
    StepEnd { engine: usize, incarnation: u64 },
    /// An engine completes an answer.
    AnswerEnd { engine: usize, incarnation: u64, job: engine::Job },
    /// A host learns that an attempt failed or was rejected.
    AttemptFailure { request: usize, attempt: u32, ending: load::Ending },
    /// An engine sends a load report.
    LoadReportDue(usize),
    /// All hosts receive a load report of an engine.
    LoadReport(usize, port::engine::LoadReport),
    /// A host polls its scheduler for decisions about queued requests.
    PollDue(usize),
    /// All hosts send their usage reports.
    UsageReportsDue,
    /// A host receives the usage report of another host.
    UsageReport { host: usize, usages: Vec<load::limit::Usage> },
    /// The fault begins.
    FaultStart,
    /// The fault ends.
    FaultEnd,
}

/// State of a request.
#[derive(Debug, Default)]
struct Request {
    host: usize,
    attempts: u32,
    ticket: Option<load::Ticket>,
    engine: usize,
    /// Engines of the current attempt with the KV tokens reserved on each; the first one answers.
    /// Empty if the host no longer waits for an attempt.
    reservations: Vec<(usize, u64)>,
    /// Incarnations of these engines at the time of dispatch.
    incarnations: Vec<u64>,
    /// Prompt tokens that the engine of the current attempt found cached.
    cached_tokens: u64,
    first_token: Option<clock::Moment>,
    ended: bool,
}

/// A simulated run of one scenario.
pub struct Simulation<'a> {
    scenario: &'a scenario::Scenario,
    arrivals: &'a [arrival::Arrival],
    now: clock::Moment,
    events: collections::BTreeMap<(clock::Moment, u64), Event>,
    /// Last sequence number; orders events at the same moment and jobs by arrival.
    sequence: u64,
    engines: Vec<engine::Engine>,
    engine_indices: collections::HashMap<id::Upstream, usize>,
    /// Scheduler of each entry host.
    hosts: Vec<load::Scheduler>,
    /// Rate limits of each entry host.
    limits: Vec<load::limit::Limits>,
    /// Next scheduled [`Event::PollDue`] of each host.
    next_polls: Vec<clock::Moment>,
    /// Request of each queued waiter, by host and waiter.
    waiters: collections::HashMap<(usize, load::Waiter), usize>,
    requests: Vec<Request>,
    /// Whether the last zone is currently partitioned.
    partitioned: bool,
    /// Requests that have not ended.
    open_requests: usize,
    /// Duration of the arrivals, in seconds.
    seconds: f64,
    tally: report::Tally,
}

impl<'a> Simulation<'a> {
    /// Creates the hosts with `settings` and the engines of the scenario.
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
                zone: zone_name(index as u32 / scenario.hosts),
                hosts_in_zone: scenario.hosts,
                seed: settings.seed + index as u64,
                ..settings.clone()
            };
            let mut host = load::Scheduler::new(settings);
            host.set_fleet(clock::Moment::START, &fleet, &model);
            host
        };
        let engines = (0..scenario.zones * scenario.engines).map(|_| {
            engine::Engine::new(scenario::PREFILL_RATE, scenario::SLOTS, scenario::KV_TOKENS)
        });
        let names = fleet.upstreams.iter().enumerate();
        Simulation {
            scenario,
            arrivals,
            now: clock::Moment::START,
            events: collections::BTreeMap::new(),
            sequence: 0,
            engines: engines.collect(),
            engine_indices: names.map(|(index, upstream)| (upstream.name.clone(), index)).collect(),
            hosts: (0..count).map(host).collect(),
            limits: (0..count).map(|_| load::limit::Limits::new(scenario.hosts)).collect(),
            next_polls: vec![clock::Moment::NEVER; count],
            waiters: collections::HashMap::new(),
            requests: arrivals.iter().map(|_| Request::default()).collect(),
            partitioned: false,
            open_requests: arrivals.len(),
            seconds,
            tally: report::Tally::new(seconds),
        }
    }

    /// Runs until every request has ended, and returns the results.
    pub fn run(mut self) -> report::Tally {
        let third_of_run = clock::Span::from_secs_f64(self.seconds / 3.0);
        self.schedule(clock::Moment::START + third_of_run, Event::FaultStart);
        self.schedule(clock::Moment::START + 2 * third_of_run, Event::FaultEnd);
        for index in 0..self.arrivals.len() {
            self.schedule(self.arrivals[index].at, Event::Arrival(index));
        }
        for index in 0..self.engines.len() {
            // Engines report independently, so their reports are spread over the interval.
            let offset = scenario::LOAD_REPORT_INTERVAL_AND_DELAY.0 * index as u32
                / self.engines.len() as u32;
            self.schedule(clock::Moment::START + offset, Event::LoadReportDue(index));
        }
        if self.scenario.limit_factor > 0.0 {
            self.schedule(clock::Moment::START, Event::UsageReportsDue);
        }
        while self.open_requests > 0
            && let Some(((now, _), event)) = self.events.pop_first()
        {
            self.now = now;
            self.handle(event);
        }
        self.tally.kv_held = self.engines.iter().map(|engine| engine.kv_used).sum();
        self.tally.tickets_held = self.hosts.iter().map(load::Scheduler::dispatched).sum();
        self.tally
    }

    fn schedule(&mut self, moment: clock::Moment, event: Event) {
        self.sequence += 1;
        self.events.insert((moment, self.sequence), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(index) => self.handle_arrival(index),
            Event::StepEnd { engine, incarnation } => self.complete_step(engine, incarnation),
            Event::AnswerEnd { engine, incarnation, job } => {
                self.complete_answer(engine, incarnation, &job)
            }
            Event::AttemptFailure { request, attempt, ending } => {
                self.handle_failure(request, attempt, ending)
            }
            Event::LoadReportDue(index) => self.send_load_report(index),
            Event::LoadReport(index, report) => self.deliver_load_report(index, &report),
            Event::PollDue(host) => {
                self.next_polls[host] = clock::Moment::NEVER;
                self.poll_host(host);
            }
            Event::UsageReportsDue => self.send_usage_reports(),
            Event::UsageReport { host, usages } => {
                self.limits[host].apply_report(self.now, &usages)
            }
            Event::FaultStart => self.begin_fault(),
            Event::FaultEnd => self.end_fault(),
        }
    }

    fn scheduler_request(&self, index: usize) -> load::Request {
        let arrival = &self.arrivals[index];
        let customer = format!("c{}", arrival.customer);
        load::Request {
            customer: id::Customer::from(customer),
            team: id::Team::from("t"),
            weight: 1,
            model: id::Model::from("m"),
            prompt_tokens: arrival.prompt_tokens,
            answer_tokens: arrival.answer_tokens,
            // The default of the configuration document, 4 bytes per token.
            bytes: arrival.prompt_tokens * 4,
            arrived: arrival.at,
            deadline: arrival.at + arrival.deadline,
            prefixes: arrival.prefixes.clone(),
        }
    }

    fn handle_arrival(&mut self, index: usize) {
        let host = self.arrivals[index].host;
        self.requests[index].host = host;
        let scheduler_request = self.scheduler_request(index);
        if let Err(failure) = self.admit(host, &scheduler_request) {
            self.record_refusal(index, failure.reason);
            return;
        }
        let decision = self.hosts[host].offer(self.now, scheduler_request);
        self.apply_decision(index, decision);
        self.poll_host(host);
    }

    fn apply_decision(&mut self, index: usize, decision: load::Verdict) {
        match decision {
            load::Verdict::Dispatch(placement) => self.dispatch(index, &placement),
            load::Verdict::Wait(waiter) => {
                self.waiters.insert((self.requests[index].host, waiter), index);
            }
            load::Verdict::Refuse(failure) => self.record_refusal(index, failure.reason),
        }
    }

    /// Polls a host's scheduler, applies the decisions, and schedules the next poll.
    fn poll_host(&mut self, host: usize) {
        for wake in self.hosts[host].poll(self.now) {
            match wake {
                load::Wake::Dispatch(waiter, placement) => {
                    if let Some(index) = self.waiters.remove(&(host, waiter)) {
                        self.dispatch(index, &placement);
                    }
                }
                load::Wake::Refuse(waiter, failure) => {
                    if let Some(index) = self.waiters.remove(&(host, waiter)) {
                        self.record_refusal(index, failure.reason);
                    }
                }
            }
        }
        let next = self.hosts[host].next_wake().max(self.now + clock::Span::from_micros(1));
        if next < self.next_polls[host] {
            self.next_polls[host] = next;
            self.schedule(next, Event::PollDue(host));
        }
    }

    fn start_step(&mut self, engine: usize) {
        let incarnation = self.engines[engine].incarnation;
        if let Some(end) = self.engines[engine].start_step(self.now) {
            self.schedule(end, Event::StepEnd { engine, incarnation });
        }
    }

    fn complete_step(&mut self, engine: usize, incarnation: u64) {
        if !self.is_incarnation(engine, incarnation) {
            return;
        }
        if let Some(job) = self.engines[engine].end_step() {
            self.complete_prefill(engine, incarnation, job);
        }
        self.start_step(engine);
    }

    /// Handles the end of a prefill: caches the prefixes, reports the first token, and schedules
    /// the end of the answer. A job that its host has given up ends at once.
    fn complete_prefill(&mut self, engine: usize, incarnation: u64, job: engine::Job) {
        let arrival = &self.arrivals[job.request];
        self.engines[engine].cache(&arrival.prefixes, arrival.prompt_tokens);
        if !self.is_current(&job) {
            self.schedule(self.now, Event::AnswerEnd { engine, incarnation, job });
            return;
        }
        let request = &mut self.requests[job.request];
        let zone = engine as u32 / self.scenario.engines;
        let remote = zone != request.host as u32 / self.scenario.hosts;
        // Covers both directions: dispatches and the end of the answer have no delay.
        let delay = if remote { 2 * ZONE_DELAY } else { clock::Span::ZERO };
        request.first_token.get_or_insert(self.now + delay);
        let (host, ticket) = (request.host, request.ticket);
        if let Some(ticket) = ticket {
            self.hosts[host].record_first_token(self.now, ticket);
        }
        let tokens = arrival.answer_tokens as f64 * self.engines[engine].slowdown;
        let end = self.now + scenario::TOKEN_INTERVAL.mul_f64(tokens);
        self.schedule(end, Event::AnswerEnd { engine, incarnation, job });
        self.poll_host(host);
    }

    /// Handles the end of an answer; ignored if the engine has crashed meanwhile.
    fn complete_answer(&mut self, engine: usize, incarnation: u64, job: &engine::Job) {
        if !self.is_incarnation(engine, incarnation) {
            return;
        }
        self.engines[engine].release(job.kv);
        if !self.is_current(job) {
            self.start_step(engine);
            return;
        }
        self.free_members(job.request);
        let arrival = &self.arrivals[job.request];
        let ending = load::Ending::Done {
            prompt_tokens: arrival.prompt_tokens,
            cached_tokens: self.requests[job.request].cached_tokens,
            answer_tokens: arrival.answer_tokens,
        };
        let request = &mut self.requests[job.request];
        request.ended = true;
        self.open_requests -= 1;
        let (host, first) = (request.host, request.first_token.unwrap_or(self.now));
        let on_faulty = self.scenario.fault != scenario::Fault::None && engine == 0;
        self.tally.record_answer(arrival, first, self.now, on_faulty);
        if let Some(ticket) = request.ticket.take() {
            self.hosts[host].finish(self.now, ticket, ending);
        }
        self.start_step(engine);
        self.poll_host(host);
    }

    /// Frees the KV memory of the request on the members of its group other than the answering
    /// engine.
    fn free_members(&mut self, index: usize) {
        let reservations = std::mem::take(&mut self.requests[index].reservations);
        let incarnations = std::mem::take(&mut self.requests[index].incarnations);
        for ((member, kv), incarnation) in reservations.into_iter().zip(incarnations).skip(1) {
            if self.is_incarnation(member, incarnation) {
                self.engines[member].unreserve(kv);
                self.start_step(member);
            }
        }
    }

    /// Retries a failed attempt, or refuses the request after the last attempt or its deadline.
    fn handle_failure(&mut self, index: usize, attempt: u32, ending: load::Ending) {
        let request = &mut self.requests[index];
        if request.ended || request.attempts != attempt {
            return;
        }
        let Some(ticket) = request.ticket.take() else { return };
        let (host, attempts) = (request.host, request.attempts);
        let scheduler_request = self.scheduler_request(index);
        if attempts >= MAX_ATTEMPTS || scheduler_request.deadline <= self.now {
            self.hosts[host].finish(self.now, ticket, ending);
            self.record_refusal(index, lagoonline::outcome::Reason::UpstreamFailed);
        } else {
            let decision = self.hosts[host].retry(self.now, ticket, ending, scheduler_request);
            self.apply_decision(index, decision);
        }
        self.poll_host(host);
    }

    fn record_refusal(&mut self, index: usize, reason: lagoonline::outcome::Reason) {
        self.requests[index].ended = true;
        self.open_requests -= 1;
        self.tally.record_refusal(&self.arrivals[index], self.now, reason);
    }

    fn send_load_report(&mut self, index: usize) {
        if self.engines[index].alive {
            let report = self.engines[index].load_report();
            self.schedule(
                self.now + scenario::LOAD_REPORT_INTERVAL_AND_DELAY.1,
                Event::LoadReport(index, report),
            );
        }
        self.schedule(
            self.now + scenario::LOAD_REPORT_INTERVAL_AND_DELAY.0,
            Event::LoadReportDue(index),
        );
    }

    fn deliver_load_report(&mut self, index: usize, report: &port::engine::LoadReport) {
        let name = upstream_name(index as u32);
        for host in 0..self.hosts.len() {
            self.hosts[host].observe(self.now, &name, report);
            self.poll_host(host);
        }
    }

    /// Returns whether the job belongs to the latest attempt of its request, and the host still
    /// waits for it.
    fn is_current(&self, job: &engine::Job) -> bool {
        let request = &self.requests[job.request];
        !request.ended && request.attempts == job.attempt && !request.reservations.is_empty()
    }

    /// Returns whether the engine is up and still in the given incarnation.
    fn is_incarnation(&self, engine: usize, incarnation: u64) -> bool {
        self.engines[engine].alive && self.engines[engine].incarnation == incarnation
    }
}

fn upstream_name(index: u32) -> id::Upstream {
    id::Upstream::from(format!("e{index:03}"))
}

fn zone_name(index: u32) -> id::Zone {
    id::Zone::from(format!("z{index}"))
}

fn fleet(scenario: &scenario::Scenario) -> view::Shared {
    let mut fleet = view::Fleet::default();
    let model = id::Model::from("m");
    fleet.models.insert(model.clone(), document::Model::default());
    for index in 0..scenario.zones * scenario.engines {
        let entry = document::Upstream {
            zone: zone_name(index / scenario.engines),
            serves: document::Serves::Models(vec![model.clone()]),
            kv_tokens: scenario::KV_TOKENS,
            slots: scenario::SLOTS,
            ..document::Upstream::default()
        };
        let team = id::Team::from("t");
        fleet.upstreams.push(view::Upstream { name: upstream_name(index), team, entry });
    }
    sync::Arc::new(fleet)
}

/// Returns whether a moment is at or past one third of the run, where faults begin.
pub fn is_after_fault_start(at: clock::Moment, seconds: f64) -> bool {
    at.cmp(&clock::Moment::from_micros((seconds / 3.0 * 1e6) as u64)) != cmp::Ordering::Less
}

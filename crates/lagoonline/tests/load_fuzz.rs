//! Stateful fuzzing of the scheduler against a simple oracle that records calls and results.

use std::collections;
use std::sync;

use lagoonline::clock::{Moment, Span};
use lagoonline::control::document;
use lagoonline::load::{self, Ending, Scheduler, Ticket, Verdict, Waiter, Wake};
use lagoonline::port::engine;
use lagoonline::{id, view};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const UPSTREAMS: usize = 4;
const SLOTS: u32 = 3;
const QUEUE: usize = 6;
const QUEUE_BYTES: u64 = 4_000_000;

#[derive(Clone, Debug)]
enum Step {
    Offer { customer: u8, tokens: u64, deadline_ms: u64 },
    Advance { ms: u64 },
    FirstToken { pick: usize },
    Finish { pick: usize, ending: u8 },
    Retry { pick: usize, ending: u8 },
    Cancel { pick: usize },
    SetLeaving { upstream: usize, leaving: bool },
    Observe { upstream: usize, running: u32, prefill: u64, incarnation: u64 },
    Fleet { mask: u8 },
}

/// The steps don't depend on the state of the reference model; the oracle is part of [`World`].
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let tokens = prop_oneof![4 => 100..4_000_u64, 2 => 8_000..30_000_u64,
            1 => 100_000..900_000_u64];
        let pick = any::<usize>();
        prop_oneof![
            6 => (0..4_u8, tokens, 1..20_000_u64).prop_map(|(customer, tokens, deadline_ms)| {
                Step::Offer { customer, tokens, deadline_ms }
            }),
            4 => (0..3_000_u64).prop_map(|ms| Step::Advance { ms }),
            3 => pick.prop_map(|pick| Step::FirstToken { pick }),
            4 => (pick, 0..5_u8).prop_map(|(pick, ending)| Step::Finish { pick, ending }),
            2 => (pick, 0..5_u8).prop_map(|(pick, ending)| Step::Retry { pick, ending }),
            1 => pick.prop_map(|pick| Step::Cancel { pick }),
            1 => (0..UPSTREAMS, any::<bool>()).prop_map(|(upstream, leaving)| {
                Step::SetLeaving { upstream, leaving }
            }),
            1 => (0..UPSTREAMS, 0..5_u32, 0..300_000_u64, 1..3_u64).prop_map(
                |(upstream, running, prefill, incarnation)| {
                    Step::Observe { upstream, running, prefill, incarnation }
                }
            ),
            1 => any::<u8>().prop_map(|mask| Step::Fleet { mask }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct World {
    scheduler: Scheduler,
    now: Moment,
    waiting: collections::BTreeMap<Waiter, load::Request>,
    running: collections::BTreeMap<Ticket, (id::Upstream, load::Request)>,
    tickets: collections::BTreeSet<Ticket>,
    leaving: collections::BTreeSet<id::Upstream>,
}

fn name(index: usize) -> id::Upstream {
    id::Upstream::from(format!("e{index}"))
}

fn fleet(mask: u8) -> view::Shared {
    let mut fleet = view::Fleet::default();
    for index in (0..UPSTREAMS).filter(|index| mask & (1 << index) != 0) {
        let entry = document::Upstream {
            serves: document::Serves::Models(vec![id::Model::from("m")]),
            slots: SLOTS,
            ..document::Upstream::default()
        };
        let team = id::Team::from("t");
        fleet.upstreams.push(view::Upstream { name: name(index), team, entry });
    }
    sync::Arc::new(fleet)
}

fn ending(number: u8) -> Ending {
    match number {
        0 => Ending::Done { prompt_tokens: 10, cached_tokens: 0, answer_tokens: 5 },
        1 => Ending::Full,
        2 => Ending::Leaving,
        3 => Ending::Failed,
        _ => Ending::Abandoned,
    }
}

impl World {
    fn new(policy: load::Policy) -> World {
        let settings = load::Settings {
            policy,
            queue_requests: QUEUE,
            queue_bytes: QUEUE_BYTES,
            ..load::Settings::default()
        };
        let mut scheduler = Scheduler::new(settings);
        scheduler.set_fleet(Moment::START, &fleet(u8::MAX), &id::Model::from("m"));
        World {
            scheduler,
            now: Moment::START,
            waiting: collections::BTreeMap::new(),
            running: collections::BTreeMap::new(),
            tickets: collections::BTreeSet::new(),
            leaving: collections::BTreeSet::new(),
        }
    }

    fn request(&self, customer: u8, tokens: u64, deadline_ms: u64) -> load::Request {
        load::Request {
            customer: id::Customer::from(format!("c{customer}")),
            team: id::Team::from(format!("t{}", customer % 2)),
            weight: 1 + u32::from(customer),
            model: id::Model::from("m"),
            prompt_tokens: tokens,
            answer_tokens: 20,
            bytes: tokens * 4,
            arrived: self.now,
            deadline: self.now + Span::from_millis(deadline_ms),
            prefixes: vec![(tokens % 7, tokens.min(1_024))],
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Offer { customer, tokens, deadline_ms } => {
                let request = self.request(customer, tokens, deadline_ms);
                let verdict = self.scheduler.offer(self.now, request.clone());
                self.apply_verdict(verdict, request);
            }
            Step::Advance { ms } => self.now = self.now + Span::from_millis(ms),
            Step::FirstToken { pick } => {
                if let Some(ticket) = self.pick(pick) {
                    self.scheduler.record_first_token(self.now, ticket);
                }
            }
            Step::Finish { pick, ending: number } => {
                if let Some(ticket) = self.pick(pick) {
                    let (upstream, _) = self.running.remove(&ticket).unwrap();
                    self.record_leaving(upstream, number);
                    self.scheduler.finish(self.now, ticket, ending(number));
                }
            }
            Step::Retry { pick, ending: number } => {
                if let Some(ticket) = self.pick(pick) {
                    let (upstream, request) = self.running.remove(&ticket).unwrap();
                    self.record_leaving(upstream, number);
                    let ending = ending(number);
                    let verdict = self.scheduler.retry(self.now, ticket, ending, request.clone());
                    self.apply_verdict(verdict, request);
                }
            }
            Step::Cancel { pick } => {
                let count = self.waiting.len().max(1);
                if let Some(&waiter) = self.waiting.keys().nth(pick % count) {
                    self.waiting.remove(&waiter);
                    self.scheduler.cancel(waiter);
                }
            }
            Step::SetLeaving { upstream, leaving } => {
                let name = name(upstream);
                self.scheduler.set_leaving(self.now, &name, leaving);
                if leaving {
                    self.leaving.insert(name);
                } else {
                    self.leaving.remove(&name);
                }
            }
            Step::Observe { upstream, running, prefill, incarnation } => {
                let load = engine::LoadReport {
                    running,
                    prefill_tokens: prefill,
                    prefill_rate: 20_000.0,
                    incarnation,
                    ..engine::LoadReport::default()
                };
                self.scheduler.observe(self.now, &name(upstream), &load);
            }
            Step::Fleet { mask } => {
                // The data path has to repeat the marks of upstreams that were outside the fleet.
                self.scheduler.set_fleet(self.now, &fleet(mask), &id::Model::from("m"));
                for upstream in self.leaving.clone() {
                    self.scheduler.set_leaving(self.now, &upstream, true);
                }
            }
        }
        self.poll();
    }

    fn record_leaving(&mut self, upstream: id::Upstream, number: u8) {
        // Number 2 is `Ending::Leaving`. The mark is set here too, because the scheduler loses it
        // for an upstream that leaves the fleet and joins again.
        if number == 2 {
            self.scheduler.set_leaving(self.now, &upstream, true);
            self.leaving.insert(upstream);
        }
    }

    fn pick(&self, pick: usize) -> Option<Ticket> {
        self.running.keys().nth(pick % self.running.len().max(1)).copied()
    }

    fn apply_verdict(&mut self, verdict: Verdict, request: load::Request) {
        match verdict {
            Verdict::Dispatch(placement) => self.record_dispatch(placement, request),
            Verdict::Wait(waiter) => assert!(self.waiting.insert(waiter, request).is_none()),
            Verdict::Refuse(failure) => assert!(failure.retry_after.is_some()),
        }
    }

    fn record_dispatch(&mut self, placement: load::Placement, request: load::Request) {
        assert!(self.tickets.insert(placement.ticket), "a ticket was given twice");
        assert!(!self.leaving.contains(&placement.upstream), "a leaving upstream got work");
        self.running.insert(placement.ticket, (placement.upstream, request));
    }

    fn poll(&mut self) {
        for wake in self.scheduler.poll(self.now) {
            match wake {
                Wake::Dispatch(waiter, placement) => {
                    let request = self.waiting.remove(&waiter).expect("a waiter that is not known");
                    assert!(request.deadline > self.now, "sent after its deadline");
                    self.record_dispatch(placement, request);
                }
                Wake::Refuse(waiter, failure) => {
                    assert!(self.waiting.remove(&waiter).is_some(), "refused twice");
                    assert!(failure.retry_after.is_some());
                }
            }
        }
    }

    fn check(&self) {
        let (requests, bytes) = self.scheduler.waiting();
        assert_eq!(requests, self.waiting.len(), "waiters lost");
        assert_eq!(bytes, self.waiting.values().map(|request| request.bytes).sum::<u64>());
        assert!(requests <= QUEUE && bytes <= QUEUE_BYTES);
        assert_eq!(self.scheduler.dispatched(), self.running.len(), "tickets lost");
        let overdue = self.waiting.values().any(|request| request.deadline <= self.now);
        assert!(!overdue, "a waiter outlived its deadline");
        if !self.waiting.is_empty() {
            let first = self.waiting.values().map(|request| request.deadline).min().unwrap();
            assert!(self.scheduler.next_wake() <= first);
        }
        for index in 0..UPSTREAMS {
            let name = name(index);
            let running = self.running.values().filter(|(upstream, _)| *upstream == name).count();
            assert!(running <= SLOTS as usize, "more than its slots");
        }
    }
}

/// Test of the policy at this index of `Policy::ALL`.
struct Test<const POLICY: usize>;

impl<const POLICY: usize> StateMachineTest for Test<POLICY> {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new(load::Policy::ALL[POLICY])
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.step(&step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check();
    }

    // After all deadlines have passed and all work has ended, nothing is left.
    fn teardown(mut world: World) {
        world.now = world.now + Span::from_secs(3_600);
        world.poll();
        while let Some(ticket) = world.pick(0) {
            world.running.remove(&ticket);
            world.scheduler.finish(world.now, ticket, Ending::Abandoned);
        }
        world.poll();
        world.check();
        assert_eq!(world.scheduler.waiting(), (0, 0));
        assert_eq!(world.scheduler.dispatched(), 0);
        assert_eq!(world.scheduler.next_wake(), Moment::NEVER);
    }
}

fn config() -> Config {
    Config {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn full_policy(sequential 1..120 => Test<0>);

    #[test]
    fn round_robin(sequential 1..60 => Test<1>);

    #[test]
    fn least_outstanding(sequential 1..60 => Test<2>);
}

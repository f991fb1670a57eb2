//! The steps of the claim machine and their execution.

use std::cell::Cell;

use lagoonline::clock;
use proptest::prelude::*;
use proptest_state_machine::StateMachineTest;

use super::oracle;
use super::platform::Fault;
use super::world::{Call, HOSTS, World};

/// One step of a test run. An index called `pick` selects an item modulo the number of items.
#[derive(Clone, Debug)]
pub enum Step {
    Call {
        host: usize,
        customer: u8,
        key: Option<u8>,
        body: u8,
        at_most_once: bool,
    },
    Poll {
        pick: usize,
        times: usize,
    },
    TableFault(Fault),
    UpstreamFault(Fault),
    Down(bool),
    /// A delayed transaction reaches the platform.
    ApplyDelayed(usize),
    /// A delayed call reaches the upstream.
    RunDelayed(usize),
    Crash(usize),
    Pause(usize),
    Resume(usize),
    Advance(u64),
    /// Time passes until the retention of all rows has ended.
    EndRetention,
    Sweep,
    /// A host is paused until its rows have been swept and one of its calls is retried at another
    /// host.
    OutliveRetention(usize),
    CorruptObject(usize),
}

/// Counters of a test run, used to check that it covered enough cases.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub calls: u64,
    pub ran: u64,
    pub replayed: u64,
    pub faults: u64,
    pub crashes: u64,
}

thread_local! {
    static TALLY: Cell<Tally> = Cell::new(Tally::default());
}

pub fn tally() -> Tally {
    TALLY.get()
}

fn count<F>(change: F)
where
    F: FnOnce(&mut Tally),
{
    let mut tally = TALLY.get();
    change(&mut tally);
    TALLY.set(tally);
}

fn fault() -> BoxedStrategy<Fault> {
    let faults = [Fault::LoseAnswer, Fault::LoseRequest, Fault::Delay, Fault::Refuse];
    prop::sample::select(faults.to_vec()).boxed()
}

impl super::Steps for Step {
    fn steps() -> BoxedStrategy<Step> {
        let key = prop_oneof![1 => Just(None), 5 => (0..2_u8).prop_map(Some)];
        let body = prop_oneof![6 => Just(0_u8), 1 => Just(1_u8)];
        let at_most_once = prop::bool::weighted(0.8);
        let call = (0..HOSTS, 0..2_u8, key, body, at_most_once).prop_map(
            |(host, customer, key, body, at_most_once)| Step::Call {
                host,
                customer,
                key,
                body,
                at_most_once,
            },
        );
        prop_oneof![
            10 => call,
            40 => (any::<usize>(), 1..8_usize).prop_map(|(pick, times)| Step::Poll { pick, times }),
            8 => fault().prop_map(Step::TableFault),
            4 => fault().prop_map(Step::UpstreamFault),
            2 => any::<bool>().prop_map(Step::Down),
            4 => any::<usize>().prop_map(Step::ApplyDelayed),
            2 => any::<usize>().prop_map(Step::RunDelayed),
            1 => (0..HOSTS).prop_map(Step::Crash),
            2 => (0..HOSTS).prop_map(Step::Pause),
            3 => (0..HOSTS).prop_map(Step::Resume),
            3 => (1..12_000_u64).prop_map(Step::Advance),
            1 => Just(Step::EndRetention),
            2 => Just(Step::Sweep),
            1 => (0..HOSTS).prop_map(Step::OutliveRetention),
            1 => any::<usize>().prop_map(Step::CorruptObject),
        ]
        .boxed()
    }
}

pub struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = super::Script<Step>;

    fn init_test((): &()) -> World {
        World::new(super::safeguards())
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        super::count_step();
        execute(&mut world, step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        oracle::check(world);
    }

    /// Ends all faults and lets every task finish; then applies all delayed writes, when no host is
    /// left to react to them.
    fn teardown(mut world: World) {
        let environment = world.environment.clone();
        environment.platform.clear_faults();
        environment.upstream.clear_faults();
        world.paused = [false; HOSTS];
        world.advance(clock::Span::ZERO);
        for round in 0..2_000 {
            if world.is_idle() {
                break;
            }
            world.poll(round, 3);
        }
        while environment.platform.delayed_count() + environment.upstream.delayed_count() > 0 {
            environment.platform.apply_delayed(0);
            environment.upstream.run_delayed(0);
        }
        oracle::check_end(&world);
        let replayed = world.tasks.iter().filter(|task| {
            task.exchange.response.borrow().as_ref().is_some_and(|response| response.replayed)
        });
        let replayed = replayed.count() as u64;
        count(|tally| {
            tally.calls += world.tasks.len() as u64;
            tally.ran += environment.upstream.runs().len() as u64;
            tally.replayed += replayed;
            tally.faults +=
                environment.platform.injected_count() + environment.upstream.injected_count();
        });
    }
}

fn execute(world: &mut World, step: Step) {
    let environment = world.environment.clone();
    match step {
        Step::Call { host, customer, key, body, at_most_once } => {
            let number = u32::try_from(world.tasks.len()).expect("few calls");
            world.call(host, Call { number, customer, key, body, at_most_once });
        }
        Step::Poll { pick, times } => world.poll(pick, times),
        Step::TableFault(fault) => environment.platform.inject(fault),
        Step::UpstreamFault(fault) => environment.upstream.inject(fault),
        Step::Down(down) => environment.platform.set_down(down),
        Step::ApplyDelayed(pick) => environment.platform.apply_delayed(pick),
        Step::RunDelayed(pick) => environment.upstream.run_delayed(pick),
        Step::Crash(host) => {
            count(|tally| tally.crashes += 1);
            world.crash(host);
        }
        Step::Pause(host) => world.paused[host] = true,
        Step::Resume(host) => world.resume(host),
        Step::Advance(millis) => world.advance(clock::Span::from_millis(millis)),
        Step::EndRetention => end_retention(world),
        Step::OutliveRetention(host) => {
            world.paused[host] = true;
            end_retention(world);
            (0..4).for_each(|_| world.sweep());
            world.retry_elsewhere(host);
        }
        Step::Sweep => world.sweep(),
        Step::CorruptObject(pick) => environment.platform.corrupt(pick),
    }
}

fn end_retention(world: &mut World) {
    world.environment.platform.drop_delayed();
    world.let_unfinished_hold_keys();
    world.advance(clock::Span::from_secs(25 * 3_600));
}

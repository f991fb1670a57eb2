//! The steps of the claim machine and their execution.

use std::cell::Cell;

use lagoonline::clock;
use proptest::prelude::*;
use proptest_state_machine::StateMachineTest;

use super::oracle;
use super::platform::Fault;
use super::world::{Call, HOSTS, World};

/// One step of a test run.
#[derive(Clone, Debug)]
pub enum Step {
    Call {
        host: usize,
        customer: u8,
        key: Option<u8>,
        body: u8,
        never: bool,
    },
    Poll {
        pick: usize,
        times: usize,
    },
    TableFault(Fault),
    UpstreamFault(Fault),
    Down(bool),
    Land(usize),
    Run(usize),
    Crash(usize),
    Pause(usize),
    Resume(usize),
    Advance(u64),
    /// Time passes until the retention of all rows has ended.
    Retain,
    Sweep,
    /// A host is paused until its rows have been swept and one of its calls is retried at another
    /// host.
    Oversleep(usize),
    Damage(usize),
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
    let faults = [Fault::LoseAnswer, Fault::LoseRequest, Fault::Late, Fault::Refuse];
    prop::sample::select(faults.to_vec()).boxed()
}

impl super::Steps for Step {
    fn steps() -> BoxedStrategy<Step> {
        let key = prop_oneof![1 => Just(None), 5 => (0..2_u8).prop_map(Some)];
        let body = prop_oneof![6 => Just(0_u8), 1 => Just(1_u8)];
        let never = prop::bool::weighted(0.8);
        let call =
            (0..HOSTS, 0..2_u8, key, body, never).prop_map(|(host, customer, key, body, never)| {
                Step::Call { host, customer, key, body, never }
            });
        prop_oneof![
            10 => call,
            40 => (any::<usize>(), 1..8_usize).prop_map(|(pick, times)| Step::Poll { pick, times }),
            8 => fault().prop_map(Step::TableFault),
            4 => fault().prop_map(Step::UpstreamFault),
            2 => any::<bool>().prop_map(Step::Down),
            4 => any::<usize>().prop_map(Step::Land),
            2 => any::<usize>().prop_map(Step::Run),
            1 => (0..HOSTS).prop_map(Step::Crash),
            2 => (0..HOSTS).prop_map(Step::Pause),
            3 => (0..HOSTS).prop_map(Step::Resume),
            3 => (1..12_000_u64).prop_map(Step::Advance),
            1 => Just(Step::Retain),
            2 => Just(Step::Sweep),
            1 => (0..HOSTS).prop_map(Step::Oversleep),
            1 => any::<usize>().prop_map(Step::Damage),
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
        carry_out(&mut world, step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        oracle::check(world);
    }

    /// Ends all faults and lets every task finish; then applies all delayed writes, at the worst
    /// possible time.
    fn teardown(mut world: World) {
        let outside = world.outside.clone();
        outside.platform.heal();
        outside.upstream.heal();
        world.paused = [false; HOSTS];
        world.advance(clock::Span::ZERO);
        for round in 0..2_000 {
            if world.is_idle() {
                break;
            }
            world.poll(round, 3);
        }
        while outside.platform.late() + outside.upstream.late() > 0 {
            outside.platform.land(0);
            outside.upstream.land(0);
        }
        oracle::check_end(&world);
        let replayed = world
            .tasks
            .iter()
            .filter(|task| task.case.told.borrow().as_ref().is_some_and(|told| told.replayed));
        let replayed = replayed.count() as u64;
        count(|tally| {
            tally.calls += world.tasks.len() as u64;
            tally.ran += outside.upstream.runs().len() as u64;
            tally.replayed += replayed;
            tally.faults += outside.platform.hit() + outside.upstream.hit();
        });
    }
}

fn carry_out(world: &mut World, step: Step) {
    let outside = world.outside.clone();
    match step {
        Step::Call { host, customer, key, body, never } => {
            let number = u32::try_from(world.tasks.len()).expect("few calls");
            world.call(host, Call { number, customer, key, body, never });
        }
        Step::Poll { pick, times } => world.poll(pick, times),
        Step::TableFault(fault) => outside.platform.fault(fault),
        Step::UpstreamFault(fault) => outside.upstream.fault(fault),
        Step::Down(down) => outside.platform.set_down(down),
        Step::Land(pick) => outside.platform.land(pick),
        Step::Run(pick) => outside.upstream.land(pick),
        Step::Crash(host) => {
            count(|tally| tally.crashes += 1);
            world.crash(host);
        }
        Step::Pause(host) => world.paused[host] = true,
        Step::Resume(host) => world.resume(host),
        Step::Advance(millis) => world.advance(clock::Span::from_millis(millis)),
        Step::Retain => retain(world),
        Step::Oversleep(host) => {
            world.paused[host] = true;
            retain(world);
            (0..4).for_each(|_| world.sweep());
            world.ask_again(host);
        }
        Step::Sweep => world.sweep(),
        Step::Damage(pick) => outside.platform.damage(pick),
    }
}

fn retain(world: &mut World) {
    world.outside.platform.forget_late();
    world.oversleep();
    world.advance(clock::Span::from_secs(25 * 3_600));
}

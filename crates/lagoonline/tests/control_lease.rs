//! Leases under pauses, lost answers and outages: at most one contender may send commands.

mod fake_table;

use std::collections;
use std::future;
use std::pin;

use fake_table::{FakeTable, Fault, block_on};
use lagoonline::clock::{Clock, Fake, Moment, Span};
use lagoonline::control::lease;
use lagoonline::id;
use lagoonline::port::table;
use proptest::prelude::*;
use proptest::test_runner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

fn contender_id(index: usize) -> id::Owner {
    id::Owner { host: id::Host::from(format!("host-{index}")), incarnation: id::Incarnation(1) }
}

/// Returns the lease handle of one contender.
fn contender_lease(index: usize, clock: &Fake) -> lease::Lease<Fake> {
    lease::Lease::new("orders/e", contender_id(index), lease::Settings::default(), clock.clone())
}

#[test]
fn the_next_holder_waits_for_lease_and_command_delay() {
    // The holder stops. The next one may acquire the lease, with a higher fencing number, only when
    // the lease duration and the longest delay of a command have passed since it first saw the
    // last write. Otherwise a command of the old holder could arrive after one of the new holder.
    let (table, clock) = (FakeTable::default(), Fake::default());
    let (mut first, mut second) = (contender_lease(0, &clock), contender_lease(1, &clock));
    assert_eq!(block_on(first.step(&table)), Ok(lease::Status::Held(id::Fence(1))));
    assert_eq!(block_on(second.step(&table)), Ok(lease::Status::Waiting));
    // One millisecond less than the default duration of 10 s and command delay of 2 s.
    clock.advance(Span::from_millis(11_999));
    assert_eq!(block_on(second.step(&table)), Ok(lease::Status::Waiting));
    assert_eq!(first.permit(), None);
    clock.advance(Span::from_millis(1));
    assert_eq!(block_on(second.step(&table)), Ok(lease::Status::Held(id::Fence(2))));
}

#[test]
fn a_renewed_lease_is_not_acquired_by_others() {
    // A contender must restart its wait whenever the holder renews the lease.
    let (table, clock) = (FakeTable::default(), Fake::default());
    let (mut first, mut second) = (contender_lease(0, &clock), contender_lease(1, &clock));
    for _ in 0..100 {
        assert_eq!(block_on(first.step(&table)), Ok(lease::Status::Held(id::Fence(1))));
        assert_eq!(block_on(second.step(&table)), Ok(lease::Status::Waiting));
        clock.advance(Span::from_secs(3));
    }
}

#[test]
fn a_paused_holder_gets_no_permit() {
    // The holder is paused for 30 s, past the end of its lease. Afterwards it must get no permit,
    // and a command whose permit was obtained before the pause must be counted as late.
    let (table, clock) = (FakeTable::default(), Fake::default());
    let mut first = contender_lease(0, &clock);
    block_on(first.step(&table)).unwrap();
    let permit = first.permit().unwrap();
    clock.advance(Span::from_secs(30));
    assert_eq!(first.permit(), None);
    assert!(!first.record_sent(&permit));
    assert_eq!(first.late_commands(), 1);
}

#[test]
fn a_write_with_a_lost_answer_is_read_back() {
    // The write of the lease took effect but its answer was lost. The holder must find its own row
    // instead of waiting for its own lease to expire.
    let (table, clock) = (FakeTable::default(), Fake::default());
    let mut first = contender_lease(0, &clock);
    table.fail_next(Fault::LoseAnswer);
    assert_eq!(block_on(first.step(&table)), Ok(lease::Status::Held(id::Fence(1))));
}

#[test]
fn a_lease_expires_during_a_long_outage() {
    // The table is unavailable for longer than the lease. The holder must stop sending when the
    // lease expires, even though nobody else can acquire it. After the outage it acquires the lease
    // again, with a higher fencing number.
    let (table, clock) = (FakeTable::default(), Fake::default());
    let mut first = contender_lease(0, &clock);
    block_on(first.step(&table)).unwrap();
    table.set_unavailable(true);
    clock.advance(Span::from_secs(9));
    assert!(block_on(first.step(&table)).is_err());
    assert!(first.permit().is_some());
    clock.advance(Span::from_secs(1));
    assert_eq!(first.permit(), None);
    table.set_unavailable(false);
    assert_eq!(block_on(first.step(&table)), Ok(lease::Status::Held(id::Fence(2))));
}

#[test]
fn a_released_lease_is_acquired_immediately() {
    // A released lease must be free for the next holder without any wait.
    let (table, clock) = (FakeTable::default(), Fake::default());
    let (mut first, mut second) = (contender_lease(0, &clock), contender_lease(1, &clock));
    block_on(first.step(&table)).unwrap();
    block_on(first.release(&table)).unwrap();
    assert_eq!(first.permit(), None);
    assert_eq!(block_on(second.step(&table)), Ok(lease::Status::Held(id::Fence(2))));
}

const CONTENDERS: usize = 3;

#[derive(Clone, Debug)]
enum Transition {
    /// A contender starts a step, or continues the current one by one poll.
    Step(usize),
    /// A contender sends a command if it has a permit.
    SendCommand(usize),
    /// Time advances by this many milliseconds; contenders that are not stepped are paused.
    Advance(u64),
    /// The next commit fails with this fault.
    Fail(Fault),
    /// Delayed commits take effect.
    ApplyDelayed,
    /// An outage of the table starts or ends.
    Outage(bool),
}

/// Empty reference state: the system is checked by its invariants only.
#[derive(Clone, Debug)]
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Reference;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Reference> {
        Just(Reference).boxed()
    }

    fn transitions(_: &Reference) -> BoxedStrategy<Transition> {
        prop_oneof![
            12 => (0..CONTENDERS).prop_map(Transition::Step),
            4 => (0..CONTENDERS).prop_map(Transition::SendCommand),
            6 => prop_oneof![0_u64..500, 1_000_u64..13_000].prop_map(Transition::Advance),
            2 => prop_oneof![Just(Fault::LoseAnswer), Just(Fault::Delay), Just(Fault::Refuse)]
                .prop_map(Transition::Fail),
            2 => Just(Transition::ApplyDelayed),
            1 => prop::bool::weighted(0.3).prop_map(Transition::Outage),
        ]
        .boxed()
    }

    fn apply(state: Reference, _: &Transition) -> Reference {
        state
    }
}

/// The lease, which the step owns while it runs, and the result of the step.
type StepOutput = (lease::Lease<Fake>, Result<lease::Status, table::Error>);

/// A contender, or the step that it is executing.
enum Contender {
    Idle(Box<lease::Lease<Fake>>),
    Stepping(pin::Pin<Box<dyn future::Future<Output = StepOutput>>>),
}

/// Contenders, table and the commands sent. A command may arrive at the engine up to the maximum
/// delay after it was sent, so no command of a holder may still be in flight when another
/// holder sends one.
struct System {
    table: FakeTable,
    clock: Fake,
    contenders: Vec<Option<Contender>>,
    /// Fencing number, sender and time of each command sent.
    commands: Vec<(id::Fence, usize, Moment)>,
    /// Contender that used each fencing number.
    fences: collections::BTreeMap<id::Fence, usize>,
}

impl System {
    fn step(&mut self, index: usize) {
        let contender = self.contenders[index].take().unwrap();
        let mut stepping = match contender {
            Contender::Stepping(stepping) => stepping,
            Contender::Idle(mut lease) => {
                let table = self.table.clone();
                Box::pin(async move {
                    let result = lease.step(&table).await;
                    (*lease, result)
                })
            }
        };
        let next = match fake_table::poll_once(stepping.as_mut()) {
            None => Contender::Stepping(stepping),
            Some((lease, _)) => Contender::Idle(Box::new(lease)),
        };
        self.contenders[index] = Some(next);
    }

    fn send_command(&mut self, index: usize) {
        let Some(Contender::Idle(lease)) = &mut self.contenders[index] else { return };
        let Some(permit) = lease.permit() else { return };
        assert!(lease.record_sent(&permit));
        let now = self.clock.now();
        let holder = *self.fences.entry(permit.fence).or_insert(index);
        assert_eq!(holder, index, "fencing number {} has two holders", permit.fence.0);
        let max_delay = lease::Settings::default().max_command_delay;
        for (fence, other, sent) in &self.commands {
            let has_arrived = *sent + max_delay <= now;
            assert!(*other == index || has_arrived, "a command of {other} is still in flight");
            assert!(*fence <= permit.fence, "fencing numbers decreased");
        }
        self.commands.push((permit.fence, index, now));
    }
}

/// State machine test of [`System`].
struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test(_: &Reference) -> System {
        let clock = Fake::default();
        let idle = |index| Some(Contender::Idle(Box::new(contender_lease(index, &clock))));
        let contenders = (0..CONTENDERS).map(idle).collect();
        let (table, commands, fences) = Default::default();
        System { table, clock, contenders, commands, fences }
    }

    fn apply(mut system: System, _: &Reference, transition: Transition) -> System {
        match transition {
            Transition::Step(index) => system.step(index),
            Transition::SendCommand(index) => system.send_command(index),
            Transition::Advance(millis) => system.clock.advance(Span::from_millis(millis)),
            Transition::Fail(fault) => system.table.fail_next(fault),
            Transition::ApplyDelayed => system.table.apply_delayed(),
            Transition::Outage(unavailable) => system.table.set_unavailable(unavailable),
        }
        system
    }

    fn check_invariants(system: &System, _: &Reference) {
        let holds = |contender: &&Option<Contender>| match contender {
            Some(Contender::Idle(lease)) => lease.permit().is_some(),
            Some(Contender::Stepping(_)) | None => false,
        };
        assert!(system.contenders.iter().filter(holds).count() <= 1, "two holders");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    // Three contenders are paused at any point, also within calls of the table, whose answers are
    // lost or late. At no time may two contenders have a permit, and no command may be sent while
    // one of another holder can be in flight.
    #[test]
    fn at_most_one_contender_may_send(sequential 50..200 => Test);
}

//! A stream over connections that break, mix up, repeat and lose chunks.

use std::cell::Cell;

use lagoonline::id::Attempt;
use lagoonline::lifecycle::stream::{Checker, Violation};
use proptest::prelude::*;
use proptest_state_machine::StateMachineTest;

const OWN: Attempt = Attempt(1);
const OTHER: Attempt = Attempt(2);
const WHOLE: u64 = 12;

/// A check that the consumer ignores.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ignore {
    Nothing,
    Crossed,
    Repeated,
    Gap,
    Count,
}

thread_local! {
    static IGNORE: Cell<Ignore> = const { Cell::new(Ignore::Nothing) };
}

pub fn ignore(ignore: Ignore) {
    IGNORE.set(ignore);
}

#[derive(Clone, Debug)]
pub enum Step {
    /// The next chunks arrive in order.
    Next(u64),
    /// Chunks are lost on the way.
    Skip(u64),
    /// An earlier chunk arrives again.
    Again(u64),
    Crossed,
    /// The end mark arrives, at the right time or too early.
    End,
    /// The connection breaks and the stream is resumed at the checker's position.
    Resume,
    /// Another entry host takes over at the position that the caller reports.
    Takeover,
}

/// The engine's connection, and the chunks delivered to the caller.
pub struct World {
    checker: Checker,
    /// Number of the next chunk that the engine sends.
    sending: u64,
    poisoned: bool,
    got: Vec<(Attempt, u64)>,
    told_whole: bool,
}

impl super::Steps for Step {
    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            8 => (1..4_u64).prop_map(Step::Next),
            1 => (1..3_u64).prop_map(Step::Skip),
            1 => (1..5_u64).prop_map(Step::Again),
            1 => Just(Step::Crossed),
            2 => Just(Step::End),
            4 => Just(Step::Resume),
            1 => Just(Step::Takeover),
        ]
        .boxed()
    }
}

fn is_ignored(violation: Violation) -> bool {
    match violation {
        Violation::WrongAttempt => IGNORE.get() == Ignore::Crossed,
        Violation::Repeated { .. } => IGNORE.get() == Ignore::Repeated,
        Violation::Gap { .. } => IGNORE.get() == Ignore::Gap,
        Violation::Count { .. } => IGNORE.get() == Ignore::Count,
        Violation::AfterEnd => false,
    }
}

impl World {
    fn chunk(&mut self, attempt: Attempt, number: u64) {
        if self.poisoned {
            return;
        }
        match self.checker.chunk(attempt, number) {
            Ok(()) => self.got.push((attempt, number)),
            Err(violation) if is_ignored(violation) => self.got.push((attempt, number)),
            Err(_) => self.poisoned = true,
        }
    }

    fn end(&mut self) {
        if self.poisoned {
            return;
        }
        match self.checker.end(OWN, WHOLE) {
            Ok(()) => self.told_whole = true,
            Err(violation) if is_ignored(violation) => self.told_whole = true,
            Err(_) => self.poisoned = true,
        }
    }

    fn send(&mut self, count: u64) {
        for _ in 0..count {
            if self.sending < WHOLE {
                self.chunk(OWN, self.sending);
                self.sending += 1;
            }
        }
    }
}

pub struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = super::Script<Step>;

    fn init_test((): &()) -> World {
        let checker = Checker::new(OWN);
        World { checker, sending: 0, poisoned: false, got: Vec::new(), told_whole: false }
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        super::count_step();
        match step {
            Step::Next(count) => world.send(count),
            Step::Skip(count) => world.sending = (world.sending + count).min(WHOLE),
            Step::Again(back) => world.chunk(OWN, world.sending.saturating_sub(back)),
            Step::Crossed => world.chunk(OTHER, world.sending),
            Step::End => world.end(),
            Step::Resume if !world.checker.is_complete() => {
                world.sending = world.checker.next();
                world.poisoned = false;
            }
            Step::Takeover if !world.checker.is_complete() => {
                world.sending = world.got.len() as u64;
                world.checker = Checker::starting_at(OWN, world.sending);
                world.poisoned = false;
            }
            Step::Resume | Step::Takeover => {}
        }
        world
    }

    /// The caller gets only its own chunks, each once and in order, and all of them if told that
    /// the answer is complete.
    fn check_invariants(world: &World, (): &()) {
        let expected = (0..world.got.len() as u64).map(|number| (OWN, number));
        assert!(world.got.iter().copied().eq(expected), "got {:?}", world.got);
        assert!(!world.told_whole || world.got.len() as u64 == WHOLE, "cut: {:?}", world.got);
    }
}

//! A stream over connections that break, mix up, repeat and lose chunks.

use std::cell::Cell;

use lagoonline::id::Attempt;
use lagoonline::lifecycle::stream::{Checker, Violation};
use proptest::prelude::*;
use proptest_state_machine::StateMachineTest;

const OWN: Attempt = Attempt(1);
const OTHER: Attempt = Attempt(2);
const CHUNKS: u64 = 12;

/// A check that the consumer ignores.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ignore {
    Nothing,
    WrongAttempt,
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
    Deliver(u64),
    /// Chunks are lost on the way.
    Lose(u64),
    /// An earlier chunk arrives again.
    Repeat(u64),
    WrongAttempt,
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
    next_sent: u64,
    is_broken: bool,
    delivered: Vec<(Attempt, u64)>,
    told_complete: bool,
}

impl super::Steps for Step {
    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            8 => (1..4_u64).prop_map(Step::Deliver),
            1 => (1..3_u64).prop_map(Step::Lose),
            1 => (1..5_u64).prop_map(Step::Repeat),
            1 => Just(Step::WrongAttempt),
            2 => Just(Step::End),
            4 => Just(Step::Resume),
            1 => Just(Step::Takeover),
        ]
        .boxed()
    }
}

fn is_ignored(violation: Violation) -> bool {
    match violation {
        Violation::WrongAttempt => IGNORE.get() == Ignore::WrongAttempt,
        Violation::Repeated { .. } => IGNORE.get() == Ignore::Repeated,
        Violation::Gap { .. } => IGNORE.get() == Ignore::Gap,
        Violation::Count { .. } => IGNORE.get() == Ignore::Count,
        Violation::AfterEnd => false,
    }
}

impl World {
    fn chunk(&mut self, attempt: Attempt, number: u64) {
        if self.is_broken {
            return;
        }
        match self.checker.chunk(attempt, number) {
            Ok(()) => self.delivered.push((attempt, number)),
            Err(violation) if is_ignored(violation) => self.delivered.push((attempt, number)),
            Err(_) => self.is_broken = true,
        }
    }

    fn end(&mut self) {
        if self.is_broken {
            return;
        }
        match self.checker.end(OWN, CHUNKS) {
            Ok(()) => self.told_complete = true,
            Err(violation) if is_ignored(violation) => self.told_complete = true,
            Err(_) => self.is_broken = true,
        }
    }

    fn send(&mut self, count: u64) {
        for _ in 0..count {
            if self.next_sent < CHUNKS {
                self.chunk(OWN, self.next_sent);
                self.next_sent += 1;
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
        World {
            checker,
            next_sent: 0,
            is_broken: false,
            delivered: Vec::new(),
            told_complete: false,
        }
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        super::count_step();
        match step {
            Step::Deliver(count) => world.send(count),
            Step::Lose(count) => world.next_sent = (world.next_sent + count).min(CHUNKS),
            Step::Repeat(back) => world.chunk(OWN, world.next_sent.saturating_sub(back)),
            Step::WrongAttempt => world.chunk(OTHER, world.next_sent),
            Step::End => world.end(),
            Step::Resume if !world.checker.is_complete() => {
                world.next_sent = world.checker.next();
                world.is_broken = false;
            }
            Step::Takeover if !world.checker.is_complete() => {
                world.next_sent = world.delivered.len() as u64;
                world.checker = Checker::starting_at(OWN, world.next_sent);
                world.is_broken = false;
            }
            Step::Resume | Step::Takeover => {}
        }
        world
    }

    /// The caller gets only its own chunks, each once and in order, and all of them if told that
    /// the answer is complete.
    fn check_invariants(world: &World, (): &()) {
        let expected = (0..world.delivered.len() as u64).map(|number| (OWN, number));
        assert!(world.delivered.iter().copied().eq(expected), "delivered {:?}", world.delivered);
        assert!(
            !world.told_complete || world.delivered.len() as u64 == CHUNKS,
            "incomplete: {:?}",
            world.delivered
        );
    }
}

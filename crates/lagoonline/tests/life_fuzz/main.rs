//! Stateful fuzzing of claims, engine memory, leaving marks and streams against simple oracles.
//!
//! `LAGOON_FUZZ_CASES` and `LAGOON_FUZZ_SEED` override the number of cases and the seed.

mod machine;
mod marks;
mod memory;
mod oracle;
mod platform;
mod scenarios;
mod streams;
mod upstream;
mod world;

use std::cell::Cell;
use std::{env, fmt, marker, ops};

use lagoonline::lifecycle::safeguard::{Safeguard, Set};
use proptest::strategy::{BoxedStrategy, Just, Strategy};
use proptest::test_runner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rstest::rstest;

const SEED: u64 = 20_261_202;
const CLAIM_STEPS: ops::Range<usize> = 20..80;
const OTHER_STEPS: ops::Range<usize> = 20..120;
/// Number of cases within which a missing safeguard must be detected.
const MUTANT_CASES: u32 = 6_000;
const MUTANT_SHRINKS: u32 = 200;

thread_local! {
    static STEPS: Cell<u64> = const { Cell::new(0) };
    static SAFEGUARDS: Cell<Set> = Cell::new(Set::default());
}

/// Returns the safeguards in force in this test.
fn safeguards() -> Set {
    SAFEGUARDS.get()
}

fn count_step() {
    STEPS.set(STEPS.get() + 1);
}

/// A set of steps for a state machine.
pub trait Steps: Clone + fmt::Debug + 'static {
    /// Strategy that generates one step of any kind.
    fn steps() -> BoxedStrategy<Self>;
}

/// Runs steps in any order. There is no reference state; the oracles check the results.
pub struct Script<S>(marker::PhantomData<S>);

impl<S> ReferenceStateMachine for Script<S>
where
    S: Steps,
{
    type State = ();
    type Transition = S;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<S> {
        S::steps()
    }

    fn apply((): (), _: &S) {}
}

fn env_number<N>(name: &str, default: N) -> N
where
    N: std::str::FromStr,
{
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run<M, S>(cases: u32, shrinks: u32, steps: ops::Range<usize>) -> Result<(), String>
where
    M: StateMachineTest<Reference = Script<S>>,
    S: Steps,
{
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: shrinks,
        rng_seed: test_runner::RngSeed::Fixed(env_number("LAGOON_FUZZ_SEED", SEED)),
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config.clone());
    let strategy = M::Reference::sequential_strategy(steps);
    let result = runner.run(&strategy, |(state, steps, seen)| {
        M::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    println!("{cases} cases at most, {} steps, {:?}", STEPS.get(), machine::tally());
    result.map_err(|error| error.to_string())
}

/// Runs `default_cases` cases, or the number given by the environment; returns whether at least
/// `default_cases` were run.
fn run_cases<M, S>(default_cases: u32, steps: ops::Range<usize>) -> bool
where
    M: StateMachineTest<Reference = Script<S>>,
    S: Steps,
{
    let cases = env_number("LAGOON_FUZZ_CASES", default_cases);
    assert_eq!(run::<M, S>(cases, 2_000, steps), Ok(()));
    assert!(cases < default_cases || STEPS.get() >= 10_000, "only {} steps were run", STEPS.get());
    cases >= default_cases
}

#[test]
fn claims_hold_under_faults() {
    let is_full = run_cases::<machine::Machine, _>(500, CLAIM_STEPS);
    let tally = machine::tally();
    assert!(
        !is_full || tally.ran > 500 && tally.replayed > 50,
        "too few calls ran or were replayed: {tally:?}"
    );
}

#[test]
fn memory_is_returned() {
    run_cases::<memory::Machine, _>(300, OTHER_STEPS);
}

#[test]
fn leaving_upstreams_get_nothing_new() {
    run_cases::<marks::Machine, _>(300, OTHER_STEPS);
}

#[test]
fn streams_are_whole() {
    run_cases::<streams::Machine, _>(300, OTHER_STEPS);
}

#[rstest]
fn oracle_notices_absent_safeguard(
    #[values(
        Safeguard::VersionCheck,
        Safeguard::ReadBack,
        Safeguard::RequestMatch,
        Safeguard::NoTakeover,
        Safeguard::UnknownKept,
        Safeguard::CustomerScope,
        Safeguard::AnswerCheck,
        Safeguard::DispatchDeadline,
        Safeguard::WriteDeadline,
        Safeguard::Settle,
        Safeguard::CancelRepeat,
        Safeguard::OwnerSilence,
        Safeguard::CutOffReaper,
        Safeguard::UnsureOwner,
        Safeguard::StaleMark
    )]
    missing: Safeguard,
) {
    SAFEGUARDS.set(Set::without(missing));
    let result = match missing {
        Safeguard::CancelRepeat
        | Safeguard::OwnerSilence
        | Safeguard::CutOffReaper
        | Safeguard::UnsureOwner => {
            run::<memory::Machine, _>(MUTANT_CASES, MUTANT_SHRINKS, OTHER_STEPS)
        }
        Safeguard::StaleMark => run::<marks::Machine, _>(MUTANT_CASES, MUTANT_SHRINKS, OTHER_STEPS),
        _ => run::<machine::Machine, _>(MUTANT_CASES, MUTANT_SHRINKS, CLAIM_STEPS),
    };
    assert!(result.is_err(), "no case noticed that {missing:?} was missing");
}

/// The checks of the stream checker are safeguards, too. The consumer ignores one of them at a time,
/// and the oracle must detect it. There is no case for `Violation::AfterEnd`.
#[rstest]
fn oracle_notices_ignored_check(
    #[values(
        streams::Ignore::WrongAttempt,
        streams::Ignore::Repeated,
        streams::Ignore::Gap,
        streams::Ignore::Count
    )]
    ignore: streams::Ignore,
) {
    streams::ignore(ignore);
    let result = run::<streams::Machine, _>(MUTANT_CASES, MUTANT_SHRINKS, OTHER_STEPS);
    assert!(result.is_err(), "no case noticed that {ignore:?} was ignored");
}

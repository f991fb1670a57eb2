//! Stateful fuzzing of engine memory, leaving marks and streams.
//!
//! `LAGOON_FUZZ_CASES` and `LAGOON_FUZZ_SEED` change the number of cases and the seed.

mod marks;
mod memory;
mod streams;

use std::cell::Cell;
use std::env;

use lagoonline::life::safeguard;
use proptest::test_runner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rstest::rstest;

const CASES: u32 = 300;
const SEED: u64 = 20_261_202;
const MUTANT_CASES: u32 = 3_000;

thread_local! {
    static STEPS: Cell<u64> = const { Cell::new(0) };
    static SAFEGUARDS: Cell<safeguard::Set> = Cell::new(safeguard::Set::default());
}

/// The safeguards of this test.
fn safeguards() -> safeguard::Set {
    SAFEGUARDS.get()
}

fn count_step() {
    STEPS.set(STEPS.get() + 1);
}

fn number<N>(name: &str, default: N) -> N
where
    N: std::str::FromStr,
{
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run<M>(cases: u32, max_shrink_iters: u32) -> Result<(), String>
where
    M: StateMachineTest,
    <M::Reference as ReferenceStateMachine>::State: 'static,
    <M::Reference as ReferenceStateMachine>::Transition: 'static,
{
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        max_shrink_iters,
        rng_seed: test_runner::RngSeed::Fixed(number("LAGOON_FUZZ_SEED", SEED)),
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config.clone());
    let strategy = M::Reference::sequential_strategy(20..120);
    let result = runner.run(&strategy, |(state, steps, seen)| {
        M::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    println!("{cases} cases at most, {} steps", STEPS.get());
    result.map_err(|error| error.to_string())
}

fn holds<M>()
where
    M: StateMachineTest,
    <M::Reference as ReferenceStateMachine>::State: 'static,
    <M::Reference as ReferenceStateMachine>::Transition: 'static,
{
    let cases = number("LAGOON_FUZZ_CASES", CASES);
    assert_eq!(run::<M>(cases, 2_000), Ok(()));
    assert!(cases < CASES || STEPS.get() >= 10_000, "{} steps", STEPS.get());
}

#[test]
fn memory_returns() {
    holds::<memory::Machine>();
}

#[test]
fn leaving_upstreams_get_nothing_new() {
    holds::<marks::Machine>();
}

#[test]
fn streams_are_whole() {
    holds::<streams::Machine>();
}

#[rstest]
#[case(safeguard::Safeguard::CancelRepeat)]
#[case(safeguard::Safeguard::OwnerSilence)]
#[case(safeguard::Safeguard::CutOffSweeper)]
fn memory_oracle_notices_absent(#[case] missing: safeguard::Safeguard) {
    SAFEGUARDS.set(safeguard::Set::without(missing));
    assert!(run::<memory::Machine>(MUTANT_CASES, 200).is_err(), "{missing:?} was not missed");
}

#[test]
fn marks_oracle_notices_absent_stale_mark_check() {
    SAFEGUARDS.set(safeguard::Set::without(safeguard::Safeguard::StaleMark));
    assert!(run::<marks::Machine>(MUTANT_CASES, 200).is_err());
}

/// The checker's safeguards are its single checks: each is left out by the consumer in turn.
#[rstest]
#[case(streams::Ignore::Crossed)]
#[case(streams::Ignore::Repeated)]
#[case(streams::Ignore::Gap)]
#[case(streams::Ignore::Count)]
fn streams_oracle_notices_ignored(#[case] ignore: streams::Ignore) {
    streams::ignore(ignore);
    assert!(run::<streams::Machine>(MUTANT_CASES, 200).is_err(), "{ignore:?} was not missed");
}

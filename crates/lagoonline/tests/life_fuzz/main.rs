//! Stateful fuzzing of the claims: random calls, hosts and faults against records kept apart.
//!
//! `LAGOON_FUZZ_CASES` and `LAGOON_FUZZ_SEED` change the number of cases and the seed.

mod machine;
mod oracle;
mod platform;
mod scenarios;
mod upstream;
mod world;

use std::env;

use lagoonline::life::safeguard;
use proptest::strategy::Strategy;
use proptest::test_runner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rstest::rstest;

const CASES: u32 = 500;
const SEED: u64 = 20_261_202;
const STEPS: usize = 80;
/// Cases within which the absence of a safeguard must be noticed.
const MUTANT_CASES: u32 = 6_000;

fn number<N>(name: &str, default: N) -> N
where
    N: std::str::FromStr,
{
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn config(cases: u32) -> test_runner::Config {
    test_runner::Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        rng_seed: test_runner::RngSeed::Fixed(number("LAGOON_FUZZ_SEED", SEED)),
        ..test_runner::Config::default()
    }
}

fn run(config: test_runner::Config) -> Result<(), String> {
    let strategy = machine::Script::sequential_strategy(20..STEPS);
    let mut runner = test_runner::TestRunner::new(config.clone());
    runner
        .run(&strategy.prop_map(|case| case), |(state, steps, seen)| {
            machine::Machine::test_sequential(config.clone(), state, steps, seen);
            Ok(())
        })
        .map_err(|error| error.to_string())
}

#[test]
fn claims_hold_under_faults() {
    let cases = number("LAGOON_FUZZ_CASES", CASES);
    machine::reset(safeguard::Set::default());
    let result = run(config(cases));
    let tally = machine::tally();
    println!("{cases} cases: {tally:?}");
    assert_eq!(result, Ok(()));
    assert!(cases < CASES || tally.steps >= 10_000, "{tally:?}");
    assert!(cases < CASES || tally.ran > 500 && tally.replayed > 50, "{tally:?}");
}

#[rstest]
#[case(safeguard::Safeguard::VersionCheck)]
#[case(safeguard::Safeguard::ReadBack)]
#[case(safeguard::Safeguard::BodyMatch)]
#[case(safeguard::Safeguard::NoTakeover)]
#[case(safeguard::Safeguard::UnknownKept)]
#[case(safeguard::Safeguard::CustomerScope)]
#[case(safeguard::Safeguard::AnswerCheck)]
#[case(safeguard::Safeguard::DispatchDeadline)]
#[case(safeguard::Safeguard::WriteDeadline)]
#[case(safeguard::Safeguard::Settle)]
fn oracle_notices_absent(#[case] missing: safeguard::Safeguard) {
    machine::reset(safeguard::Set::without(missing));
    let config = test_runner::Config { max_shrink_iters: 200, ..config(MUTANT_CASES) };
    let result = run(config);
    println!("{missing:?}: after {:?}", machine::tally());
    assert!(result.is_err(), "no case noticed that {missing:?} was missing");
}

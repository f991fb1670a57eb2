//! Usage accounting: every millisecond is attributed once, and every interval is counted once.

mod fake_table;

use std::collections;

use fake_table::{FakeTable, Fault, block_on};
use lagoonline::control::document;
use lagoonline::control::ledger;
use lagoonline::id;
use lagoonline::view;
use proptest::prelude::*;
use proptest::test_runner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

fn fleet() -> view::Fleet {
    let section = |team: &str, text: &str| {
        document::Section::parse(id::Team::from(team), id::Version(1), text).unwrap()
    };
    let owner = r#"{"models": {"m": {}, "n": {}}, "upstreams": {
        "e1": {"zone": "z", "address": "127.0.0.1:1", "models": ["m", "n"]},
        "e2": {"zone": "z", "address": "127.0.0.1:2", "models": ["m"], "accelerators": 2},
        "e3": {"zone": "z", "address": "127.0.0.1:3", "models": ["n"]}},
        "claims": {"m": {"engines": 1}}}"#;
    let other = r#"{"claims": {"m": {"engines": 1}}}"#;
    let sections = [section("owner", owner), section("other", other)];
    view::Fleet::merge(&sections)
}

#[test]
fn claims_get_engines_and_other_engines_are_charged_to_their_owner() {
    // Two teams claim one engine each for model m, which only e1 and e2 serve. No claim holds e3,
    // so its idle time must be charged to its owner.
    let attributions = ledger::attributions(&fleet());
    let claimant = |name: &str| attributions[name].claimant.as_str().to_owned();
    let held: collections::BTreeSet<_> = [claimant("e1"), claimant("e2")].into();
    assert_eq!(held, ["other".to_owned(), "owner".to_owned()].into());
    assert_eq!(claimant("e3"), "");
    assert_eq!(attributions["e3"].owner.as_str(), "owner");
}

#[test]
fn a_row_written_again_after_a_lost_answer_counts_once() {
    // The first write took effect although its answer was lost; the retry must not add to it.
    let table = FakeTable::default();
    let upstream = id::Upstream::from("e");
    let row = ledger::Row { interval: 7, idle_ms: ledger::INTERVAL_MS, ..Default::default() };
    table.fail_next(Fault::LoseAnswer);
    assert!(block_on(ledger::write(&table, &upstream, &row)).is_err());
    block_on(ledger::write(&table, &upstream, &row)).unwrap();
    assert_eq!(table.rows("usage/").len(), 1);
    assert_eq!(table.commits(), 1);
}

#[test]
fn a_missing_interval_is_unobserved() {
    // Intervals 2 and 3 have no rows. Their time must be reported as unobserved and not left out.
    let upstream = id::Upstream::from("e");
    let row =
        |interval| ledger::Row { interval, idle_ms: ledger::INTERVAL_MS, ..Default::default() };
    let rows = [row(1), row(4)];
    let sums = ledger::sum(rows.iter().map(|row| (&upstream, row)), ledger::Grouping::Upstream);
    assert_eq!(sums["e"].unobserved_ms, 2 * ledger::INTERVAL_MS);
    assert_eq!(sums["e"].unclaimed_idle_ms, 2 * ledger::INTERVAL_MS);
}

#[derive(Clone, Debug)]
enum Transition {
    /// Time passes while the engine works for customers with these weights.
    Work { millis: u64, weights: Vec<u64> },
    /// Time passes while the engine is idle.
    Idle(u64),
    /// Time passes while the engine is not observed.
    Unobserved(u64),
    /// The wall clock is set back.
    SetClockBack(u64),
    /// Another steward becomes the observer, which meters the engine; the open interval of the first
    /// one is lost.
    ChangeObserver,
    /// Finished rows are written; the first answer may be lost.
    Write { loses_answer: bool },
}

/// Reference model: the current wall clock time and the highest one so far.
#[derive(Clone, Debug, Default)]
struct Reference {
    wall_ms: u64,
    highest_ms: u64,
}

/// Wall clock time at the start, in the middle of an interval.
const START_MS: u64 = 1_000 * ledger::INTERVAL_MS + 12_345;

impl ReferenceStateMachine for Reference {
    type State = Reference;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Reference> {
        Just(Reference { wall_ms: START_MS, highest_ms: START_MS }).boxed()
    }

    fn transitions(_: &Reference) -> BoxedStrategy<Transition> {
        let millis = || prop_oneof![1_u64..2_000, 30_000_u64..200_000];
        prop_oneof![
            4 => (millis(), prop::collection::vec(0_u64..1_000, 0..4))
                .prop_map(|(millis, weights)| Transition::Work { millis, weights }),
            4 => millis().prop_map(Transition::Idle),
            1 => millis().prop_map(Transition::Unobserved),
            1 => (1_u64..5_000).prop_map(Transition::SetClockBack),
            1 => Just(Transition::ChangeObserver),
            2 => any::<bool>().prop_map(|loses_answer| Transition::Write { loses_answer }),
        ]
        .boxed()
    }

    fn apply(mut state: Reference, transition: &Transition) -> Reference {
        match transition {
            Transition::Work { millis, .. }
            | Transition::Idle(millis)
            | Transition::Unobserved(millis) => {
                state.wall_ms += millis;
            }
            Transition::SetClockBack(millis) => state.wall_ms -= millis,
            Transition::ChangeObserver | Transition::Write { .. } => {}
        }
        state.highest_ms = state.highest_ms.max(state.wall_ms);
        state
    }
}

struct System {
    table: FakeTable,
    meter: ledger::Meter,
    wall_ms: u64,
    pending: Vec<ledger::Row>,
    upstream: id::Upstream,
}

impl System {
    fn advance(&mut self, millis: u64, activity: &ledger::Activity) {
        self.wall_ms += millis;
        self.meter.advance(self.wall_ms, activity);
    }

    fn write(&mut self, loses_answer: bool) {
        self.pending.extend(self.meter.take_finished());
        if loses_answer && !self.pending.is_empty() {
            self.table.fail_next(Fault::LoseAnswer);
        }
        let (table, upstream) = (self.table.clone(), self.upstream.clone());
        // Rows whose answers were lost are written again.
        while !self.pending.is_empty() {
            self.pending.retain(|row| block_on(ledger::write(&table, &upstream, row)).is_err());
        }
    }
}

/// State machine test of [`System`].
struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test(_: &Reference) -> System {
        System {
            table: FakeTable::default(),
            meter: ledger::Meter::new(START_MS),
            wall_ms: START_MS,
            pending: Vec::new(),
            upstream: id::Upstream::from("e"),
        }
    }

    fn apply(mut system: System, _: &Reference, transition: Transition) -> System {
        match transition {
            Transition::Work { millis, weights } => {
                let share = |(index, weight): (usize, &u64)| {
                    let customer = id::Customer::from(format!("c{index}"));
                    (customer, id::Team::from("t"), *weight)
                };
                let shares = weights.iter().enumerate().map(share).collect();
                system.advance(millis, &ledger::Activity::Working(shares));
            }
            Transition::Idle(millis) => system.advance(millis, &ledger::Activity::Idle),
            Transition::Unobserved(millis) => system.advance(millis, &ledger::Activity::Unobserved),
            Transition::SetClockBack(millis) => system.wall_ms -= millis,
            Transition::ChangeObserver => {
                system.write(false);
                system.meter = ledger::Meter::new(system.wall_ms);
            }
            Transition::Write { loses_answer } => system.write(loses_answer),
        }
        system
    }

    fn check_invariants(system: &System, reference: &Reference) {
        assert_eq!(system.wall_ms, reference.wall_ms);
        let rows = system.table.rows("usage/");
        let mut parsed = Vec::new();
        for row in &rows {
            assert_eq!(row.version, 1, "an interval was written twice");
            let row: ledger::Row = serde_json::from_str(&row.value).unwrap();
            assert_eq!(row.total_ms(), ledger::INTERVAL_MS, "{row:?}");
            assert!(
                row.interval * ledger::INTERVAL_MS < reference.highest_ms,
                "row of an interval that has not begun"
            );
            parsed.push(row);
        }
        for grouping in [ledger::Grouping::Team, ledger::Grouping::Customer, ledger::Grouping::Day]
        {
            let sums = ledger::sum(parsed.iter().map(|row| (&system.upstream, row)), grouping);
            let total = sums.values().map(|sum| {
                sum.work_ms + sum.claimed_idle_ms + sum.unclaimed_idle_ms + sum.unobserved_ms
            });
            let first = parsed.iter().map(|row| row.interval).min();
            let last = parsed.iter().map(|row| row.interval).max();
            let span = first.zip(last).map_or(0, |(first, last)| last + 1 - first);
            assert_eq!(total.sum::<u64>(), span * ledger::INTERVAL_MS, "by {grouping:?}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    // An engine works, is idle or is not observed, the wall clock is set back, observers change and
    // answers are lost. Every row must add up to the length of its interval, and a report to the
    // total length of all its intervals.
    #[test]
    fn rows_and_reports_add_up_to_the_wall_time(sequential 20..100 => Test);
}

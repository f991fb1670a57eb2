//! Retries of all hosts together, with many hosts, starts and faults, in virtual time: what upstreams
//! and callers see.

use lagoon_load::retries::{Event, Fault, Hosts, Knowledge, Scenario, Traffic, Way, all, run};
use proptest::prelude::*;
use proptest::test_runner;
use rstest::rstest;

fn scenario(name: &str) -> Scenario {
    all().into_iter().find(|scenario| scenario.name == name).unwrap()
}

/// Upstreams must get no more retries than they allow whatever starts, freezes or loses its way.
#[rstest]
#[case("rejections")]
#[case("series")]
#[case("series-thrice")]
#[case("herds")]
#[case("late-herds")]
#[case("crash-loop")]
#[case("ending")]
#[case("one-host")]
#[case("one-host-crash-loop")]
#[case("cut")]
#[case("isolated")]
#[case("freeze")]
#[case("loss")]
#[case("late-100")]
#[case("late-400")]
#[case("late-600")]
#[case("late-900")]
#[case("2-hosts-late")]
#[case("85-hosts-late")]
#[case("count-unknown")]
#[case("count-half")]
#[case("count-double")]
#[case("2-hosts")]
#[case("2-hosts-herds")]
#[case("85-hosts-herds")]
#[case("85-hosts-leaders")]
#[case("85-hosts-leaders-frozen")]
#[case("350-hosts-late-herds")]
#[case("350-hosts-cut")]
fn upstreams_get_no_more_retries_than_they_allow(#[case] name: &str) {
    let report = run(&scenario(name), Way::Zones, 1);
    assert!(report.worst_share <= 1.0, "{report:?}");
}

/// The simulation must see the fault that it is for.
#[rstest]
#[case("series-thrice")]
#[case("herds")]
#[case("85-hosts-herds")]
fn hosts_that_start_with_a_full_bucket_exceed_the_bound(#[case] name: &str) {
    assert!(run(&scenario(name), Way::FullBuckets, 1).worst_share > 1.0);
}

/// Callers must be served as often as by hosts with full buckets, where second attempts serve.
#[rstest]
#[case("serving")]
#[case("serving-series")]
#[case("serving-one-host")]
#[case("serving-2-hosts")]
#[case("serving-85-hosts")]
#[case("serving-350-hosts")]
fn retries_that_serve_are_made(#[case] name: &str) {
    let served = |way| {
        let reports = (1..=3).map(|seed| run(&scenario(name), way, seed));
        reports.map(|report| report.served as f64 / report.requests as f64).sum::<f64>() / 3.0
    };
    let (zones, buckets) = (served(Way::Zones), served(Way::FullBuckets));
    assert!(zones >= buckets - 0.02, "{zones} of requests served, {buckets} before");
}

/// A host that wakes only to be killed must not renew the retries of its zone.
#[test]
fn a_frozen_host_that_is_killed_does_not_renew_retries() {
    let scenario = Scenario {
        hosts: 2,
        zones: 1,
        rate: 20.0,
        slack: 60.0,
        failing: 0.9889520940707631,
        events: vec![
            Event { at: 12_667, hosts: Hosts::All, fault: Fault::RestartInSeries(2_084) },
            Event { at: 12_079, hosts: Hosts::First, fault: Fault::Freeze(5_122) },
        ],
        seconds: 36,
        ..Scenario::default()
    };
    let report = run(&scenario, Way::Zones, 569);
    assert!(report.worst_share <= 1.0, "{report:?}");
}

fn hosts() -> impl Strategy<Value = Hosts> {
    prop_oneof![
        Just(Hosts::All),
        Just(Hosts::First),
        Just(Hosts::Half),
        (0..9_usize).prop_map(Hosts::Number),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => Just(Fault::Restart),
        2 => (500..5_000_u64).prop_map(Fault::RestartInSeries),
        2 => (100..12_000_u64).prop_map(Fault::Freeze),
        1 => (100..12_000_u64).prop_map(Fault::Isolate),
        1 => (100..12_000_u64).prop_map(Fault::CutZones),
    ]
}

/// A schedule in which all hosts of a zone are killed at once five times in a window at most: more
/// often they cannot start either.
fn schedule() -> impl Strategy<Value = Vec<Event>> {
    let event = (11_000..24_000_u64, hosts(), fault());
    let event = event.prop_map(|(at, hosts, fault)| Event { at, hosts, fault });
    proptest::collection::vec(event, 0..6)
}

fn any_scenario() -> impl Strategy<Value = Scenario> {
    let fleet = prop_oneof![
        2 => Just((2, 1, 20.0, 60.0)),
        3 => Just((4, 2, 40.0, 80.0)),
        6 => Just((9, 3, 60.0, 106.0)),
        3 => Just((24, 3, 60.0, 150.0)),
        1 => Just((85, 3, 100.0, 246.0)),
    ];
    let traffic = prop_oneof![3 => Just(Traffic::Even), 1 => Just(Traffic::OneHost), 1 => Just(Traffic::Ending)];
    let knowledge = prop_oneof![
        4 => Just(Knowledge::Right),
        1 => Just(Knowledge::None),
        1 => Just(Knowledge::Half),
        1 => Just(Knowledge::Double),
    ];
    let loss = prop_oneof![Just(0.0), Just(0.05)];
    let late = (prop_oneof![3 => Just(0), 1 => 50..1_000_u64], prop_oneof![Just(0), 50..400_u64]);
    (fleet, traffic, knowledge, loss, late, 0.3..1.0_f64, schedule()).prop_map(
        |(
            (hosts, zones, rate, slack),
            traffic,
            knowledge,
            loss,
            (delay, burst),
            failing,
            events,
        )| Scenario {
            name: "drawn",
            hosts,
            zones,
            rate,
            slack,
            failing,
            traffic,
            knowledge,
            loss,
            delay,
            burst,
            events,
            seconds: 36,
        },
    )
}

/// Any schedule of starts, freezes and cuts must keep the bound.
#[test]
fn any_schedule_keeps_the_bound() {
    let cases = std::env::var("LAGOON_FUZZ_CASES").ok().and_then(|cases| cases.parse().ok());
    let config = test_runner::Config {
        cases: cases.unwrap_or(150),
        failure_persistence: None,
        ..Default::default()
    };
    let random = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, random);
    let result = runner.run(&(any_scenario(), 1..1_000_u64), |(scenario, seed)| {
        let report = run(&scenario, Way::Zones, seed);
        prop_assert!(report.worst_share <= 1.0, "{report:?}");
        Ok(())
    });
    result.unwrap();
}

//! Tests of the simulation of broken streams.

use lagoon_load::completeness::{self, Scenario, Way};
use rstest::rstest;

fn scenario(name: &str) -> Scenario {
    completeness::all().into_iter().find(|scenario| scenario.name == name).unwrap()
}

/// Guards against a stream that is promised to be whole and is not, whatever cuts it and wherever.
#[rstest]
fn no_short_stream_is_marked_as_whole() {
    for scenario in completeness::all().iter().filter(|scenario| scenario.upstreams < 1_000) {
        for seed in 1..=3 {
            let report = completeness::run(scenario, Way::DoubtAndProbe, seed);
            assert_eq!(report.marked_short, 0, "{}, seed {seed}", scenario.name);
        }
    }
}

/// Guards against whole streams that are told as broken since they came without an end mark.
#[rstest]
#[case("calm")]
#[case("calm-few-unframed")]
#[case("series-inside")]
#[case("fifth-85")]
fn whole_streams_are_delivered(#[case] name: &str) {
    let report = completeness::run(&scenario(name), Way::DoubtAndProbe, 1);
    assert_eq!((report.whole_as_broken, report.resumed_whole), (0, 0));
}

/// Guards against a simulation in which nothing goes wrong: the way that takes each end for whole
/// fails in it, and what a probe adds shows.
#[rstest]
fn the_simulation_tells_the_ways_apart() {
    let run = |way| completeness::run(&scenario("series"), way, 1);
    assert!(run(Way::Ended).marked_short > run(Way::Content).marked_short);
    assert!(run(Way::Content).marked_short > 0 && run(Way::Doubt).doubtful_short > 0);
    assert_eq!(run(Way::DoubtAndProbe).doubtful_short, 0);
}

/// The same seed plays the same streams, whatever the way.
#[rstest]
fn each_way_gets_the_same_streams() {
    let streams = |way| completeness::run(&scenario("fifth"), way, 4).streams;
    assert!(Way::ALL.iter().all(|way| streams(*way) == streams(Way::Ended)));
    let run = || completeness::run(&scenario("fifth"), Way::Asked, 4);
    assert_eq!(run(), run());
}

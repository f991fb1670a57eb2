//! Limits that upstreams name, with many hosts, traffic and faults, in virtual time: what upstreams
//! and callers see.

use lagoon_load::limits::{Scenario, Way, all, run};
use rstest::rstest;

/// Duration of a run in seconds.
const SECONDS: u64 = 30;

fn scenario(name: &str) -> Scenario {
    let found = all().into_iter().find(|scenario| scenario.name == name).unwrap();
    Scenario { seconds: SECONDS, ..found }
}

/// Upstreams must get no more than they bear whichever hosts the traffic comes to, and while zones
/// are cut off, hosts are frozen, messages are lost or limits change.
#[rstest]
#[case("steady")]
#[case("two-hosts")]
#[case("many-hosts")]
#[case("low")]
#[case("crowd")]
#[case("one-upstream")]
#[case("one-host")]
#[case("moving")]
#[case("changes")]
#[case("cut")]
#[case("cut-one-way")]
#[case("freeze")]
#[case("loss")]
fn upstreams_get_no_more_than_they_bear(#[case] name: &str) {
    for seed in 1..=2 {
        let report = run(&scenario(name), Way::Turns, seed);
        assert_eq!(report.excess, 0.0, "seed {seed}: {report:?}");
        assert_eq!(report.held, 0, "seed {seed}: {report:?}");
        assert!(report.known_ms <= 500, "seed {seed}: {report:?}");
    }
}

/// What upstreams offer must be used while callers wait for it, also if only some hosts have them.
#[rstest]
#[case("steady")]
#[case("many-hosts")]
#[case("one-upstream")]
#[case("one-host")]
#[case("moving")]
#[case("loss")]
fn limits_are_used(#[case] name: &str) {
    let report = run(&scenario(name), Way::Turns, 1);
    assert!(report.used >= 0.9, "{report:?}");
}

/// Where there is room for all, nobody must wait or be refused.
#[rstest]
fn callers_are_in_time_where_there_is_room() {
    let report = run(&scenario("room"), Way::Turns, 1);
    assert_eq!((report.late, report.refused), (0, 0), "{report:?}");
}

/// The simulation must see the fault that it is for.
#[rstest]
#[case(Way::Ignored)]
#[case(Way::Alone)]
fn hosts_that_do_not_share_what_they_know_exceed_limits(#[case] way: Way) {
    assert!(run(&scenario("steady"), way, 1).excess > 0.0);
}

//! Upstreams that return cold in front of many hosts, in virtual time.

use lagoon_load::limits::cold::{Fault, Scenario, Way, all, allowed, run};
use rstest::rstest;

fn scenario(name: &str, hosts: usize) -> Scenario {
    let mut scenarios = all().into_iter();
    scenarios.find(|scenario| scenario.name == name && scenario.hosts == hosts).unwrap()
}

/// Guards against more requests in any second than a cold upstream bears, when all hosts see it
/// return at the same moment and need it, and messages, zones and hosts fail.
#[rstest]
fn cold_upstreams_get_no_more_than_they_bear(
    #[values(2, 12, 112, 350)] hosts: usize,
    #[values("all", "bursts")] name: &str,
) {
    for fault in Fault::ALL {
        let report = run(&scenario(name, hosts), Way::Counted, fault, 1);
        assert!(report.most <= allowed(), "{fault:?}: {report:?}");
    }
}

/// Guards against a bound that is kept by leaving the upstreams idle.
#[rstest]
fn what_cold_upstreams_sustain_is_used(#[values(2, 12, 112, 350)] hosts: usize) {
    let report = run(&scenario("all", hosts), Way::Counted, Fault::None, 1);
    assert!(report.used >= 0.75, "{report:?}");
}

/// The simulation must see the fault that it is for.
#[rstest]
#[case(Way::Ignored)]
#[case(Way::Alone)]
fn hosts_that_do_not_count_together_exceed_the_bound(#[case] way: Way) {
    assert!(run(&scenario("all", 350), way, Fault::None, 1).most > allowed());
}

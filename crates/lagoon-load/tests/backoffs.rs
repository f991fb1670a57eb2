//! Upstreams that want no requests for a time, with many hosts, zones and faults, in virtual time: what
//! upstreams and callers see.

use lagoon_load::backoffs::{Scenario, Way, all, run};
use rstest::rstest;

/// Share of callers by which two runs may differ: how many of those that others refuse for want of
/// room are served varies by that.
const TOLERANCE: f64 = 0.01;
/// Duration of a run in seconds, and that of one with hundreds of hosts.
const SECONDS: u64 = 12;
const LARGE_SECONDS: u64 = 4;

fn scenario(name: &str) -> Scenario {
    let found = all().into_iter().find(|scenario| scenario.name == name).unwrap();
    let seconds = if found.hosts < 100 { SECONDS } else { LARGE_SECONDS };
    Scenario { seconds, ..found }
}

/// No upstream may get a request in a time in which it wants none, whatever happens to hosts and
/// messages, and callers must be served as often as by hosts that do not care.
#[rstest]
#[case("burst")]
#[case("loss")]
#[case("slow")]
#[case("moody")]
#[case("hour")]
#[case("two-hosts")]
#[case("plain")]
#[case("plain-moody")]
#[case("zones")]
#[case("zones-burst")]
#[case("zones-cut")]
#[case("zones-messages")]
#[case("zones-freeze")]
#[case("restart")]
#[case("cut")]
#[case("nine-zones")]
fn upstreams_get_nothing_in_their_times_and_callers_are_served(#[case] name: &str) {
    for seed in 1..=2 {
        let scenario = scenario(name);
        let ignored = run(&scenario, Way::Ignored, seed);
        let report = run(&scenario, Way::Preferred, seed);
        assert_eq!(report.late, 0, "seed {seed}: {report:?}");
        let served = |report: &lagoon_load::backoffs::Report| report.in_time + report.served_late;
        let fewer = served(&ignored).saturating_sub(served(&report)) as f64;
        let share = fewer / report.callers as f64;
        assert!(share <= TOLERANCE, "seed {seed}: {report:?}, before {ignored:?}");
    }
}

/// On days on which no upstream turns a host away, nothing may change for anybody.
#[rstest]
#[case("calm")]
#[case("calm-zones")]
#[case("plain-calm")]
fn nothing_changes_where_no_upstream_turns_hosts_away(#[case] name: &str) {
    let scenario = scenario(name);
    assert_eq!(run(&scenario, Way::Preferred, 1), run(&scenario, Way::Ignored, 1));
}

/// While other upstreams have room, hosts must not find out one after the other by refused requests.
#[rstest]
#[case("zones")]
#[case("zones-messages")]
#[case("nine-zones")]
fn hosts_warn_each_other(#[case] name: &str) {
    let (scenario, seed) = (scenario(name), 1);
    let alone = run(&scenario, Way::Told, seed);
    let report = run(&scenario, Way::Preferred, seed);
    assert!(report.turned_away * 2 < alone.turned_away, "{report:?}, alone {alone:?}");
    assert!(report.refused as f64 <= report.callers as f64 * TOLERANCE, "{report:?}");
}

/// The simulation must see the fault that it is for, and what a fleet does that obeys for one host.
#[rstest]
fn the_simulation_shows_the_faults_of_other_ways() {
    assert!(run(&scenario("moody"), Way::Ignored, 1).late > 100);
    let shared = run(&scenario("burst"), Way::Shared, 1);
    let report = run(&scenario("burst"), Way::Preferred, 1);
    assert!(shared.refused > report.refused * 2, "{shared:?}, {report:?}");
}

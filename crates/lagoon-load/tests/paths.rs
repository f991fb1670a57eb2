//! Hosts that lose their paths to upstreams, in virtual time: what callers see there and elsewhere.

use lagoon_load::paths::{Report, Scenario, Way, all, run};
use rstest::rstest;

/// Difference between two shares that is not seen by callers.
const TOLERANCE: f64 = 0.01;

fn scenario(name: &str) -> Scenario {
    all().into_iter().find(|scenario| scenario.name == name).unwrap()
}

fn play(name: &str, seed: u64) -> Report {
    run(&scenario(name), Way::Through, seed)
}

/// Callers of hosts without paths were served less often than those of other hosts, and sound
/// upstreams were taken for down.
#[rstest]
#[case("half")]
#[case("half-refused")]
#[case("one")]
#[case("zone")]
#[case("all-but-one")]
#[case("third-of-upstreams")]
#[case("short")]
#[case("series")]
#[case("series-refused")]
#[case("fifth-down")]
#[case("2-hosts")]
#[case("85-fifth")]
#[case("85-half")]
#[case("85-most")]
#[case("350-half")]
fn hosts_without_paths_serve_as_often_as_the_others(#[case] name: &str) {
    let report = play(name, 1);
    assert!(report.cut.share() + TOLERANCE >= report.others.share(), "{report:?}");
    assert_eq!(report.misjudged, 0, "{report:?}");
    assert!(report.calm.share() + TOLERANCE >= 1.0, "{report:?}");
}

/// Hosts that have all their paths made detours.
#[rstest]
#[case("calm")]
#[case("350-calm")]
fn hosts_with_paths_use_them(#[case] name: &str) {
    let report = play(name, 1);
    assert_eq!((report.through, report.asked), (0, 0), "{report:?}");
}

/// Where no host has a path, nearly every caller is told at once; a few requests look whether one is
/// back.
#[rstest]
#[case("all")]
#[case("all-down")]
fn callers_do_not_wait_where_nobody_has_a_path(#[case] name: &str) {
    let report = play(name, 1);
    assert!(report.refusals > 0, "{report:?}");
    // Of 8 requests a second and host, two may look for themselves.
    assert!(report.slow_refusals * 2 <= report.refusals, "{report:?}");
}

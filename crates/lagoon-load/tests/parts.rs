//! Prompts with a part that crashes engines, in virtual time: what engines and sound callers see.

use lagoon_load::parts::{Report, Scenario, Way, all, run};
use rstest::rstest;

/// Lethal prompts that may be sent later than 3 s after the fifth crash.
const LATE_SENDS: u64 = 3;
/// Share of the sound prompts near the lethal ones that must begin at their first attempt.
const NEAR_SHARE: f64 = 0.5;
const SEEDS: u64 = 2;

fn play(name: &str) -> Vec<Report> {
    let scenario: Scenario = all().into_iter().find(|scenario| scenario.name == name).unwrap();
    (1..=SEEDS).map(|seed| run(&scenario, Way::Held, seed)).collect()
}

/// Guards against prompts with a lethal part that are sent without end, and against a safeguard that
/// refuses the sound prompts beside them instead.
#[rstest]
#[case("middle")]
#[case("companion")]
#[case("first")]
#[case("two")]
#[case("one-customer")]
#[case("rare")]
#[case("flood")]
#[case("beside-singles")]
#[case("beside-racks")]
#[case("beside-series")]
#[case("lost-words")]
#[case("cut")]
#[case("restarts")]
#[case("herd")]
#[case("one-host")]
#[case("2-hosts")]
fn lethal_parts_are_sent_no_more_and_sound_ones_are(#[case] name: &str) {
    for report in play(name) {
        assert!(report.late_sends <= LATE_SENDS, "{report:?}");
        assert!(report.near_share() >= NEAR_SHARE, "{report:?}");
    }
}

/// Guards against sound parts that are refused because they were at crashes.
#[rstest]
#[case("calm")]
#[case("singles")]
#[case("racks")]
#[case("series")]
fn no_part_is_refused_where_none_is_lethal(#[case] name: &str) {
    for report in play(name) {
        assert_eq!(report.refused_sound, 0, "{report:?}");
    }
}

/// Guards against a simulation in which nothing would have to be refused.
#[rstest]
fn without_the_safeguard_lethal_parts_crash_most_engines() {
    let scenario = all().into_iter().find(|scenario| scenario.name == "middle").unwrap();
    let report = run(&scenario, Way::Whole, 1);
    assert!(report.late_sends > 100 && report.crashes > 100, "{report:?}");
}

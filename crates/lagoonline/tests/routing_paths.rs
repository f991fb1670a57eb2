//! Paths of a host to upstreams: when connections go through other hosts, and through which.

use std::collections;

use lagoonline::clock::{Moment, Span};
use lagoonline::id::{Host, Upstream, Zone};
use lagoonline::routing::{PathChange, PathChoice, PathPlan, PathSettings, Paths, Sight};
use proptest::prelude::*;
use rstest::rstest;

const START: Moment = Moment::from_millis(1_000);
/// Number of upstreams that are listed.
const UPSTREAMS: usize = 10;

fn upstream(number: usize) -> Upstream {
    Upstream::from(format!("u{number}"))
}

fn host(number: usize) -> Host {
    Host::from(format!("h{number}"))
}

/// Returns the paths of a host in zone `a` beside `near` hosts of that zone and `far` ones of `b`.
fn paths(near: usize, far: usize) -> Paths {
    let mut paths = Paths::new(PathSettings::default(), Zone::from("a"));
    for number in 0..near + far {
        let zone = if number < near { "a" } else { "b" };
        paths.set_host(host(number), Zone::from(zone));
    }
    paths.retain(UPSTREAMS, |_| true);
    paths
}

fn cut_off(paths: &mut Paths) {
    for number in 0..2 {
        paths.record_lost(&upstream(number), START);
    }
}

/// Returns the hosts that are chosen for an upstream in `zone` over many draws.
fn chosen(paths: &Paths, zone: &str, now: Moment) -> collections::BTreeSet<Host> {
    let draws = 0..200;
    let choices = draws.map(|draw| paths.choose_host(&Zone::from(zone), &[], now, draw));
    choices
        .filter_map(|choice| match choice {
            PathChoice::Host(host) => Some(host),
            PathChoice::AllCutOff | PathChoice::None => None,
        })
        .collect()
}

/// One upstream that fails may just have crashed: the paths to the others are used as before.
#[rstest]
fn a_single_lost_path_leaves_the_others_alone() {
    let mut paths = paths(1, 0);
    assert_eq!(paths.record_lost(&upstream(0), START), None);
    assert_eq!(paths.plan(&upstream(0), START), PathPlan::Through);
    let direct = PathPlan::Direct { hedge_after: PathSettings::default().hedge_after };
    assert_eq!(paths.plan(&upstream(1), START), direct);
    assert_eq!(paths.sight(START), None);
}

/// A host that lost several paths in a row tried each of the others first, at the same loss of time.
#[rstest]
fn a_host_that_is_cut_off_avoids_paths_that_it_has_not_tried() {
    let mut paths = paths(1, 0);
    cut_off(&mut paths);
    assert_eq!(paths.plan(&upstream(7), START), PathPlan::Through);
    assert_eq!(paths.sight(START), Some(Sight::CutOff));
}

/// Where some upstreams stay within reach, the host kept changing its mind with each connection.
#[rstest]
fn a_host_that_reaches_some_upstreams_does_not_flap() {
    let mut paths = paths(1, 0);
    cut_off(&mut paths);
    let change = paths.record_opened(&upstream(9), START);
    assert_eq!(change, Some(PathChange::Regained { after: Span::ZERO, still_lost: 2 }));
    for round in 1..20 {
        let now = START + Span::from_millis(300) * round;
        for number in 0..2 {
            assert_eq!(paths.record_lost(&upstream(number), now), None, "round {round}");
        }
        assert_eq!(paths.record_opened(&upstream(9), now), None, "round {round}");
    }
}

/// A host that reached a few upstreams said that it has paths: others asked it for connections to all
/// the rest, and took its word for upstreams being down.
#[rstest]
fn a_host_that_lost_most_paths_counts_as_cut_off() {
    let mut paths = paths(1, 0);
    for number in 0..6 {
        paths.record_lost(&upstream(number), START);
        paths.record_opened(&upstream(9), START);
        assert_eq!(paths.is_cut_off(), number == 5, "{number}");
    }
    assert_eq!(paths.sight(START), Some(Sight::CutOff));
    // The paths come back: each one that opens makes the next request try its own.
    let later = START + PathSettings::default().retry_after;
    for number in 0..6 {
        assert!(matches!(paths.plan(&upstream(number), later), PathPlan::Direct { .. }));
        paths.record_opened(&upstream(number), later);
    }
    assert_eq!((paths.lost(), paths.sight(later)), (0, Some(Sight::Reaches)));
}

/// After its paths were back a host went on through others for as long as nobody looked.
#[rstest]
fn a_lost_path_is_tried_again_and_the_others_with_it() {
    let mut paths = paths(1, 0);
    cut_off(&mut paths);
    let settings = PathSettings::default();
    let later = START + settings.retry_after;
    let retry = PathPlan::Direct { hedge_after: settings.retry_hedge_after };
    assert_eq!(paths.plan(&upstream(0), later), retry);
    // One try at a time.
    assert_eq!(paths.plan(&upstream(1), later), PathPlan::Through);
    paths.record_opened(&upstream(0), later);
    assert_eq!(paths.plan(&upstream(1), later), retry);
    let direct = PathPlan::Direct { hedge_after: settings.hedge_after };
    assert_eq!(paths.plan(&upstream(0), later), direct);
}

/// An upstream that is down was avoided after its return as if the path to it were lost.
#[rstest]
fn an_upstream_that_is_down_loses_no_path() {
    let mut paths = paths(1, 0);
    paths.record_lost(&upstream(0), START);
    paths.record_down(&upstream(0));
    assert!(!paths.is_avoided(&upstream(0)));
    assert_eq!(paths.lost(), 0);
}

/// A path that got no requests after it was lost counted as lost forever, and its host as cut off.
#[rstest]
fn lost_paths_that_nobody_tries_are_forgotten() {
    let mut paths = paths(1, 0);
    cut_off(&mut paths);
    let memory = PathSettings::default().memory;
    assert!(!paths.expire(START + memory));
    let later = START + memory + Span::from_millis(1);
    assert!(paths.expire(later));
    assert_eq!((paths.lost(), paths.sight(later)), (0, None));
    assert!(!paths.expire(later));
}

/// A host that is cut off and goes on trying must not forget it between two tries.
#[rstest]
fn lost_paths_that_are_tried_are_remembered() {
    let mut paths = paths(1, 0);
    cut_off(&mut paths);
    let pause = PathSettings::default().memory / 2;
    for round in 1..10 {
        let now = START + pause * round;
        assert!(matches!(paths.plan(&upstream(7), now), PathPlan::Direct { .. }));
        assert!(!paths.expire(now));
        assert!(paths.is_cut_off(), "round {round}");
    }
}

/// Connections of all cut-off hosts would go through the same one, or through another zone.
#[rstest]
fn hosts_of_the_own_zone_share_the_connections() {
    let paths = paths(3, 3);
    assert_eq!(chosen(&paths, "b", START), [host(0), host(1), host(2)].into());
}

/// A whole zone that is cut off has to go through another one.
#[rstest]
fn cut_off_hosts_are_not_chosen() {
    let mut paths = paths(2, 1);
    for number in 0..2 {
        paths.record_sight(&host(number), Some(Sight::CutOff), START);
    }
    assert_eq!(chosen(&paths, "a", START), [host(2)].into());
    // What they said is old by then.
    let later = START + PathSettings::default().statement_validity + Span::from_millis(1);
    assert_eq!(chosen(&paths, "a", later), [host(0), host(1)].into());
}

/// Where most hosts are cut off, one that is known to have paths is found at once.
#[rstest]
fn a_host_known_to_have_paths_comes_first_where_many_are_cut_off() {
    let mut paths = paths(20, 1);
    for number in 0..2 {
        paths.record_sight(&host(number), Some(Sight::CutOff), START);
    }
    paths.record_sight(&host(20), Some(Sight::Reaches), START);
    assert_eq!(chosen(&paths, "a", START), [host(20)].into());
}

/// Callers waited for connections that no host could open.
#[rstest]
fn it_is_known_when_all_others_are_cut_off() {
    let mut paths = paths(2, 0);
    let zone = Zone::from("a");
    for number in 0..2 {
        paths.record_sight(&host(number), Some(Sight::CutOff), START);
    }
    assert_eq!(paths.choose_host(&zone, &[], START, 0), PathChoice::AllCutOff);
}

/// A host that lost power is listed for minutes, and each question to it costs time.
#[rstest]
fn a_host_that_does_not_answer_is_passed_over_longer_each_time() {
    let mut paths = paths(1, 0);
    let zone = Zone::from("a");
    let settings = PathSettings::default();
    let mut now = START;
    let mut spans = Vec::new();
    for _ in 0..7 {
        // Connections that fail at the same moment count once.
        (0..3).for_each(|_| paths.skip_host(&host(0), now));
        let skipped = now;
        while paths.choose_host(&zone, &[], now, 0) == PathChoice::None {
            now = now + Span::from_millis(500);
        }
        spans.push(now.since(skipped));
    }
    let seconds: Vec<_> = [1, 2, 4, 8, 16, 16, 16].into();
    assert_eq!(
        spans,
        seconds.into_iter().map(|span| settings.skip_span * span).collect::<Vec<_>>()
    );
    paths.record_sight(&host(0), Some(Sight::Reaches), now);
    paths.skip_host(&host(0), now);
    let zone_choice = paths.choose_host(&zone, &[], now + settings.skip_span, 0);
    assert_eq!(zone_choice, PathChoice::Host(host(0)));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Whatever happened before, a path that opens is used directly at once, and no host is chosen
    /// twice for one connection.
    #[test]
    fn an_open_path_is_used_and_no_host_is_asked_twice(
        steps in prop::collection::vec((0..5_usize, 0..6_usize, 0..4_u8, 0..2_000_u64), 1..60),
    ) {
        let mut paths = paths(3, 2);
        let mut now = START;
        for (host_number, number, kind, pause) in steps {
            now = now + Span::from_millis(pause);
            match kind {
                0 => drop(paths.record_lost(&upstream(number), now)),
                1 => drop(paths.record_opened(&upstream(number), now)),
                2 => paths.record_sight(&host(host_number), Some(Sight::CutOff), now),
                _ => paths.skip_host(&host(host_number), now),
            }
            let mut asked = Vec::new();
            while let PathChoice::Host(host) =
                paths.choose_host(&Zone::from("b"), &asked, now, pause)
            {
                prop_assert!(!asked.contains(&host));
                asked.push(host);
            }
        }
        for number in 0..6 {
            paths.record_opened(&upstream(number), now);
        }
        for number in 0..6 {
            let direct = PathPlan::Direct { hedge_after: PathSettings::default().hedge_after };
            prop_assert_eq!(paths.plan(&upstream(number), now), direct);
        }
    }
}

//! Tests of the question of whether an upstream may get a request now, and of placement by it.

mod placer_simulation;

use lagoonline::clock::{Moment, Span};
use lagoonline::id;
use lagoonline::load::placement;
use lagoonline::routing::{self, Eligibility, Evacuation, Exclusion, Homes, Revision, Send, Work};
use proptest::prelude::*;
use rstest::rstest;

use placer_simulation::{Simulation, TIGHT, entry, name};

const NOW: Moment = Moment::from_millis(10);

fn zone(name: &str) -> id::Zone {
    id::Zone::from(name)
}

fn region(name: &str) -> id::Region {
    id::Region::from(name)
}

/// A revision of an era without restores.
fn revision(version: u64) -> Revision {
    Revision { era: 1, version }
}

fn evacuation(name: &str, version: u64, in_force: bool) -> Evacuation {
    Evacuation { zone: zone(name), revision: revision(version), in_force }
}

/// Zones `a` and `b` are in region `east`, `c` is in `west`; that of `d` is unknown.
fn regions() -> std::collections::BTreeMap<id::Zone, id::Region> {
    [("a", "east"), ("b", "east"), ("c", "west")]
        .map(|(name, of)| (zone(name), region(of)))
        .into_iter()
        .collect()
}

fn evacuated(names: &[&str]) -> Eligibility {
    let mut eligibility = Eligibility::new(regions());
    for name in names {
        assert!(eligibility.learn(&evacuation(name, 5, true), NOW));
    }
    eligibility
}

fn send<'a>(entry: &'a routing::Registration, homes: &'a Homes) -> Send<'a> {
    Send { chosen: entry, listed: Some(entry), homes, backoff_until: None, work: Work::New }
}

/// Each reason alone withholds a send. Without any of them nothing is withheld.
#[rstest]
fn each_reason_excludes_an_upstream() {
    let eligibility = evacuated(&["b"]);
    let (all, east) = (Homes::default(), Homes::only([region("east")]));
    let in_zone = |name: &str| entry(1, name);
    let ask = |send: Send<'_>| eligibility.exclusion(&send);
    let a = in_zone("a");
    assert_eq!(ask(send(&a, &east)), None);
    assert_eq!(ask(Send { listed: None, ..send(&a, &all) }), Some(Exclusion::Left));
    let leaving = routing::Registration { leaving: true, ..a.clone() };
    assert_eq!(ask(Send { listed: Some(&leaving), ..send(&a, &all) }), Some(Exclusion::Left));
    let restarted = routing::Registration { started_ms: 2, ..a.clone() };
    let other_lifetime = Send { listed: Some(&restarted), ..send(&a, &all) };
    assert_eq!(ask(other_lifetime), Some(Exclusion::OtherLifetime));
    let b = in_zone("b");
    assert_eq!(ask(send(&b, &all)), Some(Exclusion::Evacuated(zone("b"))));
    for outside in ["c", "d"] {
        let entry = in_zone(outside);
        assert_eq!(ask(send(&entry, &all)), None, "no homes, so {outside} is allowed");
        assert_eq!(ask(send(&entry, &east)), Some(Exclusion::OutsideHomes(zone(outside))));
    }
    let until = Moment::from_millis(50);
    let backed_off = Send { backoff_until: Some(until), ..send(&a, &all) };
    assert_eq!(ask(backed_off), Some(Exclusion::BackedOff(until)));
}

/// A running request ends whole: the evacuation of its zone must not keep its memory from being
/// renewed and released.
#[rstest]
fn calls_about_running_requests_are_made_in_an_evacuated_zone() {
    let eligibility = evacuated(&["b"]);
    let (entry, homes) = (entry(1, "b"), Homes::default());
    let running = Send { work: Work::Running, ..send(&entry, &homes) };
    assert_eq!(eligibility.exclusion(&running), None);
}

/// A late or repeated word about a zone must neither evacuate it again nor return it to service.
#[rstest]
fn an_older_word_never_undoes_a_newer_one() {
    let mut eligibility = Eligibility::default();
    assert!(eligibility.learn(&evacuation("a", 5, true), NOW));
    assert!(!eligibility.learn(&evacuation("a", 4, false), NOW));
    assert!(!eligibility.learn(&evacuation("a", 5, false), NOW));
    assert!(eligibility.is_evacuated(&zone("a")));
    assert!(eligibility.learn(&evacuation("a", 9, false), NOW));
    assert!(!eligibility.learn(&evacuation("a", 5, true), NOW));
    assert!(!eligibility.is_evacuated(&zone("a")));
}

/// A host that heard of an evacuation from others, and reads the table only after its end, reads no
/// removal. It must not withhold requests from the zone for ever, nor follow the old word again.
#[rstest]
fn the_platform_ends_an_evacuation_that_others_reported() {
    let mut eligibility = Eligibility::default();
    assert!(eligibility.learn(&evacuation("a", 5, true), NOW));
    assert_eq!(eligibility.read(&[], revision(4), NOW), [], "the table is older than the word");
    assert_eq!(eligibility.read(&[], revision(7), NOW), [evacuation("a", 7, false)]);
    assert!(!eligibility.learn(&evacuation("a", 5, true), NOW));
    assert!(!eligibility.learn(&evacuation("b", 6, true), NOW), "the table has no such row");
    assert!(eligibility.learn(&evacuation("a", 8, true), NOW), "newer than the table");
}

/// A wrong word that an evacuation has ended must not outlast the next read of the table.
#[rstest]
fn the_platform_prevails_over_an_end_that_others_reported() {
    let mut eligibility = Eligibility::default();
    assert_eq!(eligibility.read(&[zone("a")], revision(4), NOW), [evacuation("a", 4, true)]);
    assert!(eligibility.learn(&evacuation("a", 6, false), NOW));
    assert_eq!(
        eligibility.read(&[zone("a")], revision(5), NOW),
        [],
        "the table is older than the word"
    );
    assert_eq!(eligibility.read(&[zone("a")], revision(6), NOW), [evacuation("a", 6, true)]);
}

/// A zone is returned and evacuated again between two reads of the table, which show no difference.
/// What the host tells others must prevail over the end that another host read in between.
#[rstest]
fn an_evacuation_that_goes_on_is_told_as_of_the_last_read() {
    let mut eligibility = Eligibility::default();
    eligibility.read(&[zone("a")], revision(4), NOW);
    assert_eq!(eligibility.read(&[zone("a")], revision(9), Moment::from_millis(50)), []);
    let told: Vec<_> = eligibility.statements(Moment::from_millis(60)).collect();
    assert_eq!(told, [(evacuation("a", 9, true), Span::from_millis(50))]);
}

/// Revision of the first table that is read after a restore; the versions go back.
const RESTORED: Revision = Revision { era: 2, version: 3 };
/// When operators have written again what the restore lost.
const SETTLED: Moment = Moment::from_millis(2_000);

/// A restore lost an evacuation. Until operators have written it again, a host that had read it sends
/// nothing to the zone; if they do not, the zone is used again.
#[rstest]
fn an_evacuation_that_a_restore_lost_stays_in_force_for_a_while() {
    let mut eligibility = Eligibility::default();
    eligibility.read(&[zone("a")], revision(5), NOW);
    eligibility.set_settled_at(SETTLED);
    assert_eq!(eligibility.read(&[], RESTORED, Moment::from_millis(20)), []);
    assert!(eligibility.is_evacuated(&zone("a")));
    let ended = Evacuation { revision: RESTORED, ..evacuation("a", 0, false) };
    assert_eq!(eligibility.read(&[], RESTORED, SETTLED), [ended]);
}

/// A host that starts on the copy learns a lost evacuation from others, but no end of one, and nothing
/// once operators have written again.
#[rstest]
#[case::evacuated(true, Moment::from_millis(20), true)]
#[case::returned(false, Moment::from_millis(20), false)]
#[case::late(true, SETTLED, false)]
fn a_host_on_a_copy_learns_what_was_lost(
    #[case] in_force: bool,
    #[case] at: Moment,
    #[case] expected: bool,
) {
    let mut eligibility = Eligibility::default();
    eligibility.set_settled_at(SETTLED);
    eligibility.read(&[], RESTORED, NOW);
    assert_eq!(eligibility.learn(&evacuation("a", 5, in_force), at), expected);
    eligibility.read(&[], Revision { version: 4, ..RESTORED }, at);
    assert_eq!(eligibility.is_evacuated(&zone("a")), expected);
    eligibility.read(&[], Revision { version: 4, ..RESTORED }, SETTLED);
    assert!(!eligibility.is_evacuated(&zone("a")));
}

/// An evacuation of the new era is newer than an end of the earlier one, though its version is lower.
#[rstest]
fn an_evacuation_after_a_restore_counts_whatever_its_version() {
    let mut eligibility = Eligibility::default();
    eligibility.read(&[zone("a")], revision(5), NOW);
    eligibility.read(&[], revision(9), NOW);
    let again = Evacuation { revision: RESTORED, ..evacuation("a", 0, true) };
    assert!(eligibility.learn(&again, NOW));
    assert!(!eligibility.learn(&evacuation("a", 12, false), NOW));
}

fn route(homes: &[&str]) -> routing::Route {
    routing::Route {
        name: id::Route::from("r"),
        host: "x.example".to_owned(),
        prefix: "/".to_owned(),
        kind: routing::Kind::Once,
        timeout: Span::from_secs(1),
        target: Span::from_millis(200),
        priority: 0,
        shares: Vec::new(),
        max_attempts: 1,
        public: false,
        homes: homes.iter().map(|name| region(name)).collect(),
    }
}

/// The homes of the route and of the customer both bind; those that have no region in common allow
/// none, which must not be taken for no constraint.
#[rstest]
#[case::none(&[], &[], &["east", "west"])]
#[case::of_the_route(&["east"], &[], &["east"])]
#[case::of_the_customer(&[], &["west"], &["west"])]
#[case::of_both(&["east", "west"], &["west", "north"], &["west"])]
#[case::without_a_common_one(&["east"], &["west"], &[])]
fn homes_of_route_and_customer_both_bind(
    #[case] of_route: &[&str],
    #[case] of_customer: &[&str],
    #[case] expected: &[&str],
) {
    let customer = routing::Customer {
        name: id::Customer::from("c"),
        keys: Vec::new(),
        priority: None,
        homes: of_customer.iter().map(|name| region(name)).collect(),
    };
    let homes = Homes::of(&route(of_route), Some(&customer));
    let allowed = ["east", "west"].into_iter().filter(|name| homes.allows(Some(&region(name))));
    assert_eq!(allowed.collect::<Vec<_>>(), expected);
}

/// Places a prompt on nine engines in the zones `a`, `b` and `c`, in turn.
fn place(
    eligibility: &Eligibility,
    homes: &Homes,
    prompt_tokens: u64,
) -> Result<placement::Placement, placement::Refusal> {
    let mut sim = Simulation::new(9);
    let request = placement::Request { eligibility, homes, prompt_tokens, ..sim.request() };
    sim.place_request(&request)
}

fn zones_of(placement: &placement::Placement) -> Vec<&str> {
    let helpers = placement.helpers.iter().map(|helper| &helper.entry);
    std::iter::once(&placement.primary).chain(helpers).map(|entry| entry.zone.as_str()).collect()
}

/// A long prompt needs the memory of several engines: neither it nor its parts may be placed in an
/// excluded zone, although engines there are idle.
#[rstest]
#[case::evacuated(&["a"], None, &["b", "c"])]
#[case::homes(&[], Some("west"), &["c"])]
#[case::both(&["a"], Some("east"), &["b"])]
fn neither_a_prompt_nor_its_parts_go_to_an_excluded_zone(
    #[case] without: &[&str],
    #[case] home: Option<&str>,
    #[case] expected: &[&str],
) {
    let homes = home.map_or_else(Homes::default, |home| Homes::only([region(home)]));
    let placed = place(&evacuated(without), &homes, 600_000).unwrap();
    assert!(!placed.helpers.is_empty(), "{placed:?}");
    let zones = zones_of(&placed);
    assert!(zones.iter().all(|zone| expected.contains(zone)), "{zones:?}");
}

/// All zones of a request are excluded: it must be refused at once with a time to come back, and not
/// wait for operators until its deadline.
#[rstest]
#[case::all_evacuated(&["a", "b", "c"], None)]
#[case::all_homes_evacuated(&["c"], Some("west"))]
#[case::no_zone_at_home(&[], Some("north"))]
fn a_request_without_a_zone_is_refused_at_once(
    #[case] without: &[&str],
    #[case] home: Option<&str>,
) {
    let homes = home.map_or_else(Homes::default, |home| Homes::only([region(home)]));
    let refused = place(&evacuated(without), &homes, 5_000);
    let is_expected = matches!(refused, Err(placement::Refusal::Rejected(placement::Shortage::Zone, span)) if !span.is_zero());
    assert!(is_expected, "{refused:?}");
}

/// The only upstream outside the evacuated zones wants no requests for a time. The caller is told
/// that time, since it is known, and the request waits if it is soon.
#[rstest]
fn a_known_time_goes_before_an_evacuation() {
    let mut sim = Simulation::new(2);
    let until = sim.now + Span::from_millis(100);
    let upstream = name(0);
    let backoffs = [lagoonline::load::backoff::Backoff { upstream, started_ms: 1, until }];
    let eligibility = evacuated(&["b"]);
    let request = placement::Request {
        eligibility: &eligibility,
        backoffs: &backoffs,
        prompt_tokens: 5_000,
        target: Span::from_millis(300),
        max_gap: TIGHT,
        ..sim.request()
    };
    let deferred = Err(placement::Refusal::Deferred(placement::Shortage::Backoff));
    assert_eq!(sim.place_request(&request), deferred);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: prop::test_runner::RngSeed::Fixed(71),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Words of other hosts come late, twice and in any order. Whatever the order, all hosts must
    /// end with the newest word on each zone.
    #[test]
    fn hosts_agree_whatever_the_order_of_words(
        words in prop::collection::vec((0_usize..3, any::<bool>()), 1..12),
        order in prop::collection::vec(0_usize..12, 0..40),
    ) {
        let names = ["a", "b", "c"];
        let words: Vec<_> = words
            .iter()
            .enumerate()
            .map(|(index, (zone, in_force))| evacuation(names[*zone], index as u64 + 1, *in_force))
            .collect();
        let mut shuffled = Eligibility::default();
        for index in &order {
            shuffled.learn(&words[index % words.len()], NOW);
        }
        for word in words.iter().rev() {
            shuffled.learn(word, NOW);
        }
        let newest = |name: &str| words.iter().rev().find(|word| word.zone == zone(name));
        for name in names {
            let expected = newest(name).is_some_and(|word| word.in_force);
            prop_assert_eq!(shuffled.is_evacuated(&zone(name)), expected);
        }
    }
}

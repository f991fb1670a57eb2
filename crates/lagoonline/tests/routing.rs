//! Routes, customers and the selection of the host that reads the platform.

use lagoonline::clock::{Moment, Span};
use lagoonline::id;
use lagoonline::routing;
use rstest::rstest;

fn route(name: &str, prefix: &str) -> routing::Route {
    routing::Route {
        name: id::Route::from(name),
        host: "x.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: routing::Kind::Idempotent,
        timeout: Span::from_secs(1),
        target: Span::from_millis(200),
        priority: 1,
        shares: vec![
            routing::Share { service: id::Service::from("a"), weight: 90 },
            routing::Share { service: id::Service::from("b"), weight: 10 },
        ],
        max_attempts: 2,
        public: false,
        homes: Vec::new(),
    }
}

fn customer(name: &str, keys: &[&str]) -> routing::Customer {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    routing::Customer { name: id::Customer::from(name), keys, priority: None, homes: Vec::new() }
}

#[rstest]
#[case("x.example", "/a/b/c", Some("deep"))]
#[case("X.Example:8080", "/a/x", Some("wide"))]
#[case("x.example", "/ab", None)]
#[case("y.example", "/a/b/c", None)]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let routes = vec![route("wide", "/a/"), route("deep", "/a/b/")];
    let table = routing::Table::new(routing::Desired { routes, ..Default::default() });
    assert_eq!(table.route(host, path).map(|route| route.name.as_str()), expected);
}

#[rstest]
fn keys_are_required_unless_a_route_is_public() {
    let customers = Some(vec![customer("c", &["k1", "k2"])]);
    let table = routing::Table::new(routing::Desired { customers, ..Default::default() });
    let closed = route("r", "/");
    let public = routing::Route { public: true, ..route("p", "/") };
    assert!(matches!(table.customer(&closed, Some("k2")), routing::KeyMatch::Customer(_)));
    assert_eq!(table.customer(&closed, Some("k3")), routing::KeyMatch::Unknown);
    assert_eq!(table.customer(&closed, None), routing::KeyMatch::Unknown);
    assert_eq!(table.customer(&public, None), routing::KeyMatch::Open);
}

#[rstest]
fn shares_get_requests_by_weight() {
    let route = route("r", "/");
    let to_a = (0..1_000).filter(|draw| route.service(*draw).as_str() == "a").count();
    assert_eq!(to_a, 900);
}

fn sources(own: &str, peers: &[&str]) -> routing::SourceSelector {
    let settings = routing::SourceSettings { min_hosts: 3, ..Default::default() };
    let mut sources = routing::SourceSelector::new(settings, id::Host::from(own), 0.1);
    for peer in peers {
        sources.set_peer(id::Host::from(*peer), routing::Peer { cores: 0.1 });
    }
    sources
}

fn peer(name: &str) -> routing::Source {
    routing::Source::Peer(id::Host::from(name))
}

/// All hosts of a zone know the same hosts, so exactly one of them reads the platform.
#[rstest]
fn one_host_of_a_zone_reads() {
    let names = ["a", "b", "c", "d"];
    let reads = |own: &&str| {
        let others: Vec<_> = names.into_iter().filter(|name| name != own).collect();
        sources(own, &others).next(Moment::START) == routing::Source::Platform
    };
    assert_eq!(names.into_iter().filter(reads).collect::<Vec<_>>(), ["a"]);
    assert_eq!(sources("b", &["a"]).next(Moment::START), routing::Source::Platform);
}

/// The reader dies, and then the next host in order. Each is skipped for three seconds from its own
/// failure and then asked again.
#[rstest]
fn failed_readers_are_skipped_for_a_while() {
    let mut sources = sources("c", &["a", "b", "d"]);
    sources.record_failure(&id::Host::from("a"), Moment::from_millis(0));
    assert_eq!(sources.next(Moment::from_millis(10)), peer("b"));
    sources.record_failure(&id::Host::from("b"), Moment::from_millis(1_000));
    assert_eq!(sources.next(Moment::from_millis(1_010)), routing::Source::Platform);
    assert_eq!(sources.next(Moment::from_millis(3_000)), peer("a"));
}

/// The platform refuses this host but serves the others, so the host asks them although it is the
/// first in order.
#[rstest]
fn a_host_refused_by_the_platform_asks_another() {
    let mut sources = sources("a", &["b", "c"]);
    sources.record_platform_failure(Moment::from_millis(0));
    assert_eq!(sources.next(Moment::from_millis(10)), peer("b"));
    assert_eq!(sources.next(Moment::from_millis(3_000)), routing::Source::Platform);
}

/// During a platform outage no host of a zone of nine can answer. A host must ask only a few
/// others; otherwise all hosts would ask each other for the whole outage.
#[rstest]
fn a_host_asks_only_a_few_that_cannot_answer() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut sources = sources("i", &names);
    let now = Moment::from_millis(10);
    let mut asked = 0;
    while let routing::Source::Peer(host) = sources.next(now) {
        sources.record_failure(&host, now);
        asked += 1;
    }
    assert_eq!(asked, 5);
}

/// The platform refuses the hosts that the others ask, which then search for a reader in vain.
/// Their state may be as old as the search span when they ask the last host, whose answer takes up
/// to [`MAX_ANSWER_TIME`]. Reading the platform itself must still be possible within the bound.
#[rstest]
fn the_search_for_a_reader_ends_within_the_bound(
    #[values(2_000, 3_000, 4_000)] max_propagation: u64,
    #[values("a", "z")] own: &str,
) {
    const MAX_ANSWER_TIME: Span = Span::from_millis(1_300);
    let max_propagation = Span::from_millis(max_propagation);
    let search = zone_of_ten(own).search_span(max_propagation);
    assert!(search + MAX_ANSWER_TIME < max_propagation, "{search:?} of {max_propagation:?}");
}

/// Guards against a platform that is read by all hosts of a zone at once when its reader fails. The
/// hosts that the others ask read it first; the others have found one of them by the time they
/// would read it themselves.
#[rstest]
#[case(3_000)]
#[case(4_000)]
fn hosts_that_others_ask_read_the_platform_first(#[case] max_propagation: u64) {
    const ANSWER_TIME: Span = Span::from_millis(350);
    let max_propagation = Span::from_millis(max_propagation);
    let first = zone_of_ten("a").search_span(max_propagation);
    let other = zone_of_ten("z").search_span(max_propagation);
    assert!(first + ANSWER_TIME < other, "{first:?}, others {other:?}");
}

/// The selector of the host `own` beside nine others, called h0 to h8.
fn zone_of_ten(own: &str) -> routing::SourceSelector {
    let settings = routing::SourceSettings::default();
    let mut sources = routing::SourceSelector::new(settings, id::Host::from(own), 0.1);
    for index in 0..9 {
        sources.set_peer(id::Host::from(format!("h{index}")), routing::Peer { cores: 0.1 });
    }
    sources
}

/// In a small zone every host reads the platform itself, even the smallest.
#[rstest]
fn each_host_of_a_small_zone_reads() {
    let now = Moment::from_millis(10);
    let settings = routing::SourceSettings { min_hosts: 3, ..Default::default() };
    let mut sources = routing::SourceSelector::new(settings, id::Host::from("b"), 0.1);
    sources.set_peer(id::Host::from("a"), routing::Peer { cores: 0.5 });
    assert_eq!(sources.next(now), routing::Source::Platform);
    assert!(sources.must_read_platform(now));
    sources.set_peer(id::Host::from("c"), routing::Peer { cores: 0.1 });
    assert!(!sources.must_read_platform(now));
}

/// Answers that are held back for long must not be taken to be newer than they are, however late
/// they arrive, nor the platform's clock be trusted after it was set anew.
#[rstest]
#[case::held_back(72_000, 3_100, 2_490..=2_500)]
#[case::held_back_and_late(72_000, 9_000, 2_490..=2_500)]
#[case::went_back(60_000, 3_100, 1_010..=1_010)]
#[case::went_ahead(99_000, 3_100, 1_010..=1_010)]
fn an_answer_is_as_new_as_the_platforms_clock_says(
    #[case] millis: u64,
    #[case] arrived: u64,
    #[case] expected: std::ops::RangeInclusive<u64>,
) {
    let at = Moment::from_millis;
    let mut remote = routing::RemoteClock::default();
    assert_eq!(remote.made_at(at(1_000), 70_000, at(1_010)), at(1_000));
    let made = remote.made_at(at(1_010), millis, at(arrived));
    assert!(expected.contains(&made.as_millis()), "{made:?}");
}

/// The clocks differ in speed: readings of an hour ago must not make an answer newer than it is.
#[rstest]
fn a_slow_clock_of_the_platform_does_not_add_up() {
    let mut remote = routing::RemoteClock::default();
    let (mut now, mut millis) = (1_000_000_u64, 70_000_u64);
    for _ in 0..3_600 {
        // This host's clock runs slower, by 100 millionths.
        now += 999_900;
        millis += 1_000;
        let (sent, arrived) = (Moment::from_micros(now - 900_000), Moment::from_micros(now + 500));
        let made = remote.made_at(sent, millis, arrived);
        assert!(made <= Moment::from_micros(now), "{made:?}");
    }
}

/// Guards against a less urgent short prompt ahead of an urgent long one in an engine's queue, and
/// against another order than by length where all requests are equally urgent.
#[rstest::rstest]
#[case::equal(&[1], 1, 2, None)]
#[case::urgent_and_long(&[0, 1, 2], 0, 2, Some(2))]
#[case::less_urgent_and_short(&[0, 1, 2], 1, 0, Some(3))]
#[case::least_urgent_and_long(&[0, 1, 2], 2, 2, Some(8))]
#[case::two_of_five(&[0, 1, 2, 3, 4], 4, 2, Some(9))]
#[case::more_urgencies_than_priorities(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11], 11, 2, Some(9))]
fn urgency_goes_before_length_in_engines(
    #[case] urgencies: &[u32],
    #[case] urgency: u32,
    #[case] length: usize,
    #[case] priority: Option<u8>,
) {
    let urgencies = routing::Urgencies::from(urgencies.to_vec());
    assert_eq!(urgencies.queue_priority(urgency, length, 3), priority);
}

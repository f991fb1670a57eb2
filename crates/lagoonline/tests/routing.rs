//! Routes, customers, the list of upstreams, and how long a version counts as the newest.

use std::net;

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
        attempts: 2,
        public: false,
    }
}

fn customer(name: &str, keys: &[&str]) -> routing::Customer {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    routing::Customer { name: id::Customer::from(name), keys, priority: None }
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
fn keys_name_customers_unless_a_route_is_public() {
    let customers = Some(vec![customer("c", &["k1", "k2"])]);
    let table = routing::Table::new(routing::Desired { customers, ..Default::default() });
    let closed = route("r", "/");
    let public = routing::Route { public: true, ..route("p", "/") };
    assert!(matches!(table.customer(&closed, Some("k2")), routing::Match::Customer(_)));
    assert_eq!(table.customer(&closed, Some("k3")), routing::Match::Unknown);
    assert_eq!(table.customer(&closed, None), routing::Match::Unknown);
    assert_eq!(table.customer(&public, None), routing::Match::Open);
}

#[rstest]
fn shares_get_requests_by_weight() {
    let route = route("r", "/");
    let to_a = (0..1_000).filter(|draw| route.service(*draw).as_str() == "a").count();
    assert_eq!(to_a, 900);
}

fn entry(name: &str, leaving: bool) -> routing::Entry {
    routing::Entry {
        upstream: id::Upstream::from(name),
        service: id::Service::from("s"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: id::Zone::from("z"),
        slots: 6,
        leaving,
        born: 1,
    }
}

fn removed(name: &str) -> routing::Change {
    routing::Change::Removed(id::Upstream::from(name))
}

/// The platform was out and its entries lapsed. Its first answer lacks a living upstream, which is
/// back two seconds later; dropping it at once would leave callers without anybody to serve them.
#[rstest]
fn an_entry_that_lapsed_in_an_outage_stays_until_it_can_be_back() {
    let mut registry = routing::Registry::default();
    registry.apply(routing::Change::Put(entry("u", false)), Moment::from_millis(0));
    registry.returned(Moment::from_millis(9_000));
    registry.apply(removed("u"), Moment::from_millis(9_010));
    assert!(!registry.expire(Moment::from_millis(11_000)));
    assert_eq!(registry.entries().count(), 1);
    assert!(registry.expire(Moment::from_millis(11_400)));
    assert_eq!(registry.entries().count(), 0);
}

/// The platform came back three seconds ago. An entry that vanishes now has not lapsed: its
/// upstream left without a word, and a request sent to it would come after the bound on leaving.
#[rstest]
fn an_entry_that_vanishes_after_the_return_is_dropped_at_once() {
    let mut registry = routing::Registry::default();
    registry.apply(routing::Change::Put(entry("u", false)), Moment::from_millis(0));
    registry.returned(Moment::from_millis(9_000));
    registry.apply(removed("u"), Moment::from_millis(12_000));
    assert_eq!(registry.entries().count(), 0);
}

/// An upstream that said that it leaves is not kept for its return.
#[rstest]
fn a_leaving_entry_is_not_kept() {
    let mut registry = routing::Registry::default();
    registry.apply(routing::Change::Put(entry("u", true)), Moment::from_millis(0));
    registry.returned(Moment::from_millis(10));
    registry.apply(removed("u"), Moment::from_millis(20));
    assert_eq!(registry.entries().count(), 0);
}

#[rstest]
fn a_whole_list_drops_what_it_lacks() {
    let mut registry = routing::Registry::default();
    let now = Moment::from_millis(5);
    registry.reset(vec![entry("u", false), entry("v", false)], now);
    registry.reset(vec![entry("v", true)], now);
    let names: Vec<_> = registry.entries().map(|entry| entry.upstream.as_str()).collect();
    assert_eq!(names, ["v"]);
}

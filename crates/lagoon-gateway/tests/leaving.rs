//! Tests of upstreams that leave while hosts cannot read the platform, or whose entries come out of
//! order.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::thread;
use std::time;

use rstest::rstest;
use serde_json::json;

use host::{Host, HostSettings, desired};
use standin::{Behavior, Entrance, Standin};

/// Time after an upstream's departure is known within which it gets no new requests.
const LEAVING_BOUND: time::Duration = time::Duration::from_secs(2);
/// Time after its last report after which the platform drops the entry of a live upstream that it
/// cannot hear.
const OUTAGE: time::Duration = time::Duration::from_millis(3_600);
/// Time after the end of a disturbance after which a host is held to the bounds.
const STABLE_TIME: time::Duration = time::Duration::from_secs(3);
/// Pause between two requests.
const PAUSE: time::Duration = time::Duration::from_millis(10);
/// The upstream that leaves, and goes on serving.
const LEAVER: &str = "r1";

/// A zone in which one host reads the platform through an entrance of its own.
struct Zone {
    standin: Standin,
    entrance: Entrance,
    /// The host that reads through `entrance`.
    host: Host,
    /// Hosts that the platform always serves.
    _others: Vec<Host>,
}

impl Zone {
    /// Starts a zone with `others` hosts that the platform always serves.
    fn start(others: usize) -> Zone {
        let standin = Standin::start();
        standin.put("op", "config", &desired(1, &["k1"], 10_000));
        for name in [LEAVER, "r2"] {
            standin.upstream(name, "app", 6);
        }
        let entrance = standin.entrance();
        // Keys stay valid while the platform turns a host away.
        let settings = HostSettings { revoke_ms: 60_000, ..HostSettings::default() };
        let names = ["h2", "h3"];
        let others: Vec<_> = names[..others]
            .iter()
            .map(|name| Host::join(&standin, HostSettings { name, ..settings }))
            .collect();
        let host = Host::join(
            &standin,
            HostSettings { name: "h1", store: Some(entrance.address), ..settings },
        );
        let zone = Zone { standin, entrance, host, _others: others };
        zone.host.until("sent to both upstreams", || {
            zone.look();
            zone.arrivals(LEAVER) > 0 && zone.arrivals("r2") > 0
        });
        zone
    }

    fn look(&self) {
        let (status, body) = self.host.call("GET", "/look/1", "k1", "");
        assert_eq!(status, 200, "{body}");
    }

    fn look_for(&self, span: time::Duration) {
        let until = time::Instant::now() + span;
        while time::Instant::now() < until {
            self.look();
            thread::sleep(PAUSE);
        }
    }

    /// Returns the number of requests that reached `upstream`.
    fn arrivals(&self, upstream: &str) -> usize {
        let requests = self.standin.received_requests();
        requests.iter().filter(|request| request.upstream == upstream).count()
    }
}

/// Checks that no request reached the leaver later than `since`.
fn check_nothing_later_than(standin: &Standin, since: time::Instant) {
    let requests = standin.received_requests();
    let reached = requests.iter().filter(|request| request.upstream == LEAVER);
    let late: Vec<_> =
        reached.filter_map(|request| request.at.checked_duration_since(since)).collect();
    assert!(late.is_empty(), "{} too late, the last by {:?}", late.len(), late.last());
}

/// Writes the entry of an upstream with another state and sequence.
fn put_entry(standin: &Standin, upstream: &str, state: &str, sequence: u64) {
    let mut entry = standin.row("servers", upstream).unwrap();
    entry["State"] = json!(state);
    entry["Sequence"] = json!(sequence);
    standin.put("servers", upstream, &entry);
}

/// An upstream leaves without notice during an outage of a host. The host took it for one whose
/// entry expired in the outage, and went on sending to it for longer than the bound.
#[rstest]
fn a_gone_upstream_gets_nothing_after_the_bound_from_a_host_that_was_cut_off() {
    let zone = Zone::start(0);
    zone.entrance.set_closed(true);
    zone.standin.remove("servers", LEAVER);
    zone.look_for(OUTAGE);
    zone.entrance.set_closed(false);
    zone.host.until("told of the removal", || {
        zone.look();
        zone.entrance.removal_told(LEAVER).is_some()
    });
    let told = zone.entrance.removal_told(LEAVER).unwrap();
    zone.look_for(LEAVING_BOUND + time::Duration::from_secs(1));
    check_nothing_later_than(&zone.standin, told + LEAVING_BOUND);
}

/// The platform turns one host away while it serves the others of the zone. Only these learned that
/// an upstream was gone, and the one went on sending to it.
#[rstest]
fn a_gone_upstream_gets_nothing_from_a_host_whose_zone_knows_better() {
    let zone = Zone::start(1);
    zone.entrance.set_closed(true);
    thread::sleep(time::Duration::from_millis(500));
    zone.standin.remove("servers", LEAVER);
    let removed = time::Instant::now();
    zone.look_for(OUTAGE);
    zone.entrance.set_closed(false);
    zone.look_for(LEAVING_BOUND + time::Duration::from_secs(1));
    check_nothing_later_than(&zone.standin, removed + LEAVING_BOUND);
}

/// The platform drops its history while it turns a host away. The host reads the whole list, which
/// has no removal of the upstream that left, and must not keep what is not listed.
#[rstest]
fn a_gone_upstream_gets_nothing_from_a_host_that_reads_the_whole_list() {
    let zone = Zone::start(0);
    zone.entrance.set_closed(true);
    zone.standin.remove("servers", LEAVER);
    zone.standin.forget_history();
    zone.look_for(OUTAGE);
    let opened = time::Instant::now();
    zone.entrance.set_closed(false);
    zone.look_for(STABLE_TIME + time::Duration::from_secs(1));
    check_nothing_later_than(&zone.standin, opened + STABLE_TIME);
}

/// Requests wait for an engine, are resumed at another, or are planned by another host, while an
/// upstream announces its departure. Each way of sending looks at what is known when it sends.
#[rstest]
#[case::each_host_places(6)]
#[case::one_host_places(2)]
fn a_leaving_engine_gets_no_prompts_by_any_way(#[case] relay_hosts: u64) {
    let standin = Standin::start();
    standin.put("op", "config", &desired(1, &["k1"], 10_000));
    for name in [LEAVER, "r2", "r3"] {
        standin.upstream(name, "llm", 2);
        standin.behavior(name, Behavior::SlowEvents);
    }
    let settings = HostSettings { relay_hosts, revoke_ms: 60_000, ..HostSettings::default() };
    let names = ["h1", "h2", "h3"];
    let hosts = names.map(|name| Host::join(&standin, HostSettings { name, ..settings }));
    let announced = time::Instant::now() + time::Duration::from_secs(1);
    let until = announced + LEAVING_BOUND + time::Duration::from_secs(2);
    thread::scope(|scope| {
        for caller in 0..12 {
            let host = &hosts[caller % hosts.len()];
            scope.spawn(move || {
                while time::Instant::now() < until {
                    host.talk();
                }
            });
        }
        thread::sleep(announced.duration_since(time::Instant::now()));
        standin.behavior("r2", Behavior::BreakAfter(3));
        put_entry(&standin, LEAVER, "draining", 2);
    });
    check_nothing_later_than(&standin, announced + LEAVING_BOUND);
    assert!(standin.received_requests().iter().any(|request| request.upstream == LEAVER));
}

/// The store carries out a write that an upstream made before it announced its departure. The older
/// entry made it usable again.
#[rstest]
fn a_leaving_upstream_gets_nothing_after_an_older_entry() {
    let zone = Zone::start(0);
    put_entry(&zone.standin, LEAVER, "draining", 9);
    let announced = time::Instant::now();
    zone.look_for(time::Duration::from_millis(500));
    put_entry(&zone.standin, LEAVER, "ready", 8);
    zone.look_for(LEAVING_BOUND + time::Duration::from_secs(1));
    check_nothing_later_than(&zone.standin, announced + LEAVING_BOUND);
}

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
use standin::{Entrance, Standin};

/// Time after an upstream's departure is known within which it gets no new requests.
const LEAVING_BOUND: time::Duration = time::Duration::from_secs(2);
/// Time after its last report after which the platform drops the entry of a live upstream that it
/// cannot hear.
const OUTAGE: time::Duration = time::Duration::from_millis(3_600);
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

    /// Checks that no request reached the leaver later than `since`.
    fn check_nothing_later_than(&self, since: time::Instant) {
        let requests = self.standin.received_requests();
        let late = requests.iter().filter(|request| request.upstream == LEAVER);
        let late: Vec<_> =
            late.filter_map(|request| request.at.checked_duration_since(since)).collect();
        assert!(late.is_empty(), "{} too late, the last by {:?}", late.len(), late.last());
    }

    /// Writes the entry of the leaver with another state and sequence.
    fn put_leaver(&self, state: &str, sequence: u64) {
        let mut entry = self.standin.row("servers", LEAVER).unwrap();
        entry["State"] = json!(state);
        entry["Sequence"] = json!(sequence);
        self.standin.put("servers", LEAVER, &entry);
    }
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
    zone.check_nothing_later_than(told + LEAVING_BOUND);
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
    zone.check_nothing_later_than(removed + LEAVING_BOUND);
}

/// The store carries out a write that an upstream made before it announced its departure. The older
/// entry made it usable again.
#[rstest]
fn a_leaving_upstream_gets_nothing_after_an_older_entry() {
    let zone = Zone::start(0);
    zone.put_leaver("draining", 9);
    let announced = time::Instant::now();
    zone.look_for(time::Duration::from_millis(500));
    zone.put_leaver("ready", 8);
    zone.look_for(LEAVING_BOUND + time::Duration::from_secs(1));
    zone.check_nothing_later_than(announced + LEAVING_BOUND);
}

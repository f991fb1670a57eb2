//! Tests of several entry hosts of one zone, over sockets: one reads the platform and places
//! requests for the others, and each reports its dispatches in flight.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

mod scheduler;

use std::io::{Read, Write};
use std::net;
use std::thread;
use std::time;

use rstest::rstest;
use serde_json::json;

use standin::{Behavior, Standin};

/// Maximum time of a step on a busy machine.
const STEP_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// How long one watch of the desired state is held.
const WATCH_TIME: time::Duration = time::Duration::from_millis(300);
/// Time after a restart of all hosts within which callers are served.
const RECOVERY_TIME: time::Duration = time::Duration::from_secs(12);
/// Key revocation bound.
const REVOKE_BOUND: time::Duration = time::Duration::from_millis(5_000);

/// Silence after which a host's row is removed.
const HOST_GONE_TIME: time::Duration = time::Duration::from_millis(2_000);

struct Host {
    running: Option<lagoon_gateway::Running>,
}

impl Host {
    /// Starts the host `name` with a share of `cores`. The host with the largest share reads the
    /// platform.
    fn start(standin: &Standin, name: &str, cores: f64) -> Host {
        let text = format!(
            "NodeName: {name}\nIp: 127.0.0.1\nZone: a\nListen:\n  Front: \"127.0.0.1:0\"\n  \
             Ready: \"127.0.0.1:0\"\nInternalPorts: [0, 0]\nLimits:\n  CpuShare: {cores}\n\
             Platform:\n  Address: \"{}\"\nBounds:\n  GraceS: 8\n  StrictRevoke: true\n  \
             RevokeMs: {}\n",
            standin.store_address,
            REVOKE_BOUND.as_millis(),
        );
        let settings = lagoon_gateway::Settings {
            node: lagoon_platform::settings::read(&text).unwrap(),
            tuning: lagoon_gateway::Tuning {
                desired_wait: WATCH_TIME,
                relay_hosts: 2,
                hosts_pause: time::Duration::from_millis(20),
                hosts_gone: HOST_GONE_TIME,
                upstreams_pause: time::Duration::from_millis(20),
                ..Default::default()
            },
        };
        let host = Host { running: Some(lagoon_gateway::start(settings).unwrap()) };
        until("ready", || host.status("ready", "/", "") == 200);
        host
    }

    /// Returns the status of an answer at the callers' or at the readiness address.
    fn status(&self, side: &str, path: &str, key: &str) -> u16 {
        let handle = self.running.as_ref().unwrap().handle();
        status(if side == "ready" { handle.ready() } else { handle.callers() }, path, key)
    }

    fn lookup(&self, key: &str) -> u16 {
        self.status("callers", "/look/1", key)
    }

    fn drain(&mut self) {
        let running = self.running.take().unwrap();
        running.handle().drain();
        running.wait().unwrap();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(running) = self.running.take() {
            running.handle().drain();
        }
    }
}

/// Returns the status of the answer to a request.
fn status(address: net::SocketAddr, path: &str, key: &str) -> u16 {
    text(address, path, key).split(' ').nth(1).unwrap().parse().unwrap()
}

/// Returns the answer to a request.
fn text(address: net::SocketAddr, path: &str, key: &str) -> String {
    let mut stream = net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
         authorization: Token {key}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

fn until<Check>(what: &str, mut check: Check)
where
    Check: FnMut() -> bool,
{
    let began = time::Instant::now();
    while !check() {
        assert!(began.elapsed() < STEP_TIMEOUT, "not {what} in time");
        thread::sleep(time::Duration::from_millis(10));
    }
}

fn desired(version: u64, keys: &[&str]) -> serde_json::Value {
    json!({"Version": version,
        "Routes": [{"Name": "look", "Host": "x.example", "Prefix": "/look/", "Kind": "safe",
             "TimeoutMs": 3000, "TargetLatencyMs": 200, "Service": "app", "MaxAttempts": 2}],
        "Services": [{"Name": "app", "HealthPath": "/h", "MaxConnections": 100}],
        "Tenants": [{"Name": "c1", "ApiKeys": keys}]})
}

/// Returns a desired state with one route, whose requests may run only once.
fn booking_state() -> serde_json::Value {
    let book = json!({"Name": "book", "Host": "x.example", "Prefix": "/book/", "Kind": "unsafe",
        "TimeoutMs": 20_000, "TargetLatencyMs": 200, "Service": "app", "MaxAttempts": 1});
    let mut state = desired(1, &["k1"]);
    state["Routes"] = json!([book]);
    state
}

/// Starts a platform with one replica, and two hosts of which the first reads for the second.
fn start_zone() -> (Standin, Host, Host) {
    let standin = Standin::start();
    standin.put("op", "config", &desired(1, &["k1"]));
    standin.upstream("r1", "app", 6);
    let first = Host::start(&standin, "h1", 0.5);
    let second = Host::start(&standin, "h2", 0.1);
    // One host begins about 7 watches in this time; two hosts that each read the platform would
    // begin about 13.
    until("read by one host", || {
        let before = standin.watches("op");
        thread::sleep(WATCH_TIME * 20 / 3);
        (1..=9).contains(&(standin.watches("op") - before))
    });
    (standin, first, second)
}

/// A host that does not read the platform must get changes from the one that does: a new key and a
/// new replica are used, and a revoked key is refused.
#[rstest]
fn a_host_that_does_not_read_gets_changes_relayed() {
    let (standin, _first, second) = start_zone();
    assert_eq!(second.lookup("k1"), 200);
    standin.put("op", "config", &desired(2, &["k2"]));
    until("served with the new key", || second.lookup("k2") == 200);
    assert_eq!(second.lookup("k1"), 401);
    standin.upstream("r2", "app", 6);
    standin.remove("servers", "r1");
    until("served by the new replica", || {
        assert_eq!(second.lookup("k2"), 200);
        standin.received_requests().last().is_some_and(|request| request.upstream == "r2")
    });
}

/// The host that reads the platform ends. The other must read it at once: its callers are served
/// all the while, and a change made at that moment is applied within two seconds.
#[rstest]
fn a_host_takes_over_when_the_reader_ends() {
    let (standin, mut first, second) = start_zone();
    let ending = thread::spawn(move || first.drain());
    standin.put("op", "config", &desired(2, &["k1", "k2"]));
    let began = time::Instant::now();
    until("served with the new key", || second.lookup("k2") == 200);
    assert!(began.elapsed() < time::Duration::from_secs(2), "after {:?}", began.elapsed());
    while !ending.is_finished() {
        assert_eq!(second.lookup("k1"), 200);
    }
    ending.join().unwrap();
    standin.put("op", "config", &desired(3, &["k3"]));
    until("served with the next key", || second.lookup("k3") == 200);
}

/// The platform is down. What one host relays to the other ages as well: neither may accept a key
/// beyond the revocation bound, and both must accept it again after the recovery.
#[rstest]
fn relayed_keys_are_refused_after_the_revocation_bound() {
    let (standin, first, second) = start_zone();
    standin.set_down(true);
    let began = time::Instant::now();
    for host in [&second, &first] {
        until("refused", || host.lookup("k1") == 503);
    }
    let took = began.elapsed();
    assert!(took < REVOKE_BOUND + time::Duration::from_millis(500), "refused only after {took:?}");
    standin.set_down(false);
    for host in [&second, &first] {
        until("served", || host.lookup("k1") == 200);
    }
}

/// Three bookings are in flight at the only replica when a second replica and a second host start.
/// The new host must learn of the three and send its own first three bookings to the idle replica;
/// otherwise it would spread them, and callers would queue behind bookings that it does not know.
#[rstest]
fn a_new_host_learns_dispatches_in_flight() {
    let standin = Standin::start();
    standin.put("op", "config", &booking_state());
    let send = |host: &Host, count: usize| {
        let before = standin.received_requests().len();
        for _ in 0..count {
            let handle = host.running.as_ref().unwrap().handle();
            thread::spawn(move || status(handle.callers(), "/book/1", "k1"));
        }
        until("sent", || standin.received_requests().len() == before + count);
        standin.received_requests()[before..]
            .iter()
            .map(|request| request.upstream.clone())
            .collect::<Vec<_>>()
    };
    standin.behavior("r1", Behavior::IgnoreAll);
    standin.behavior("r2", Behavior::IgnoreAll);
    standin.upstream("r1", "app", 6);
    let first = Host::start(&standin, "h1", 0.5);
    assert_eq!(send(&first, 3), ["r1", "r1", "r1"]);
    standin.upstream("r2", "app", 6);
    let second = Host::start(&standin, "h2", 0.1);
    assert_eq!(send(&second, 3), ["r2", "r2", "r2"]);
}

/// A zone of two hosts in front of two replicas that do not answer, for bookings sent to either
/// host.
struct BookingZone {
    standin: Standin,
    hosts: Vec<Host>,
}

impl BookingZone {
    fn start() -> BookingZone {
        let standin = Standin::start();
        standin.put("op", "config", &booking_state());
        for name in ["r1", "r2"] {
            standin.behavior(name, Behavior::IgnoreAll);
            standin.upstream(name, "app", 6);
        }
        let hosts = vec![Host::start(&standin, "h1", 0.5), Host::start(&standin, "h2", 0.1)];
        BookingZone { standin, hosts }
    }

    /// Sends a booking to each of `hosts` and returns the replicas that got them.
    fn book(&self, hosts: &[usize]) -> Vec<String> {
        let before = self.standin.received_requests().len();
        for host in hosts {
            let callers = self.hosts[*host].running.as_ref().unwrap().handle().callers();
            thread::spawn(move || status(callers, "/book/1", "k1"));
        }
        until("sent", || self.standin.received_requests().len() == before + hosts.len());
        self.standin.received_requests()[before..]
            .iter()
            .map(|request| request.upstream.clone())
            .collect()
    }
}

/// Ten requests arrive at two hosts at the same time. Two hosts that place requests on their own
/// would both start with the same idle replica; placed by one scheduler, five go to each replica.
#[rstest]
fn one_host_places_requests_for_its_zone() {
    let zone = BookingZone::start();
    let sent = zone.book(&[0, 1, 0, 1, 0, 1, 0, 1, 0, 1]);
    for replica in ["r1", "r2"] {
        assert_eq!(sent.iter().filter(|name| *name == replica).count(), 5, "{sent:?}");
    }
}

/// The zone's scheduler ends. The other host's callers must be served all the while: first the
/// scheduler reports that it no longer schedules, then it does not answer, and the other host
/// places requests itself.
#[rstest]
fn a_host_places_requests_itself_when_the_scheduler_ends() {
    let mut zone = BookingZone::start();
    zone.book(&[1, 1]);
    let mut first = zone.hosts.remove(0);
    let ending = thread::spawn(move || first.drain());
    while !ending.is_finished() {
        zone.book(&[0]);
    }
    ending.join().unwrap();
    let began = time::Instant::now();
    assert_eq!(zone.book(&[0]).len(), 1);
    assert!(began.elapsed() < time::Duration::from_secs(2), "after {:?}", began.elapsed());
}

/// A replica closes its connections without an answer, and one host observes it. The other host
/// must learn of it from the zone's scheduler, so that its lookups go to the healthy replica at
/// once.
#[rstest]
fn a_failing_upstream_is_avoided_by_other_hosts() {
    let (standin, first, second) = start_zone();
    standin.behavior("r0", Behavior::DropAnswer);
    standin.upstream("r0", "app", 6);
    let retries = |host: &Host| -> u64 {
        let ready = host.running.as_ref().unwrap().handle().ready();
        let text = text(ready, "/metrics", "");
        let line = text.lines().find(|line| line.starts_with("lagoon_gateway_repeats_total"));
        line.unwrap().split(' ').nth(1).unwrap().parse().unwrap()
    };
    until("met", || {
        assert_eq!(second.lookup("k1"), 200);
        retries(&second) > 0
    });
    // Updates are collected for some milliseconds before they are sent.
    thread::sleep(time::Duration::from_millis(100));
    let before = retries(&first);
    for _ in 0..20 {
        assert_eq!(first.lookup("k1"), 200);
    }
    assert_eq!(retries(&first), before, "the other host met the failing replica too");
}

/// The rows of replaced hosts must be removed from the platform, and a running host whose row was
/// removed must write it again.
#[rstest]
fn rows_of_dead_hosts_are_removed() {
    let (standin, _first, second) = start_zone();
    let row = |name: &str| standin.row("lagoon-hosts", name);
    let mut gone = row("h2").unwrap();
    gone["address"] = json!("127.0.0.1:9");
    gone["cores"] = json!(0.01);
    standin.put("lagoon-hosts", "h9", &gone);
    until("removed", || row("h9").is_none());
    assert!(row("h1").is_some() && row("h2").is_some(), "a host that lives was removed");
    standin.remove("lagoon-hosts", "h2");
    until("back", || row("h2").is_some());
    assert_eq!(second.lookup("k1"), 200);
}

/// Callers must be served again after all hosts were down at once.
#[rstest]
fn callers_are_served_after_a_restart_of_all_hosts() {
    let (standin, mut first, mut second) = start_zone();
    let ending = thread::spawn(move || first.drain());
    second.drain();
    ending.join().unwrap();
    standin.put("op", "config", &desired(2, &["k2"]));
    let began = time::Instant::now();
    let hosts = [Host::start(&standin, "h1", 0.5), Host::start(&standin, "h3", 0.1)];
    for host in &hosts {
        until("served", || host.lookup("k2") == 200);
        assert_eq!(host.lookup("k1"), 401, "an older version is in force again");
    }
    assert!(began.elapsed() < RECOVERY_TIME, "served after {:?}", began.elapsed());
}

/// The scheduler may list an upstream that this host knows to be leaving, or does not know. A
/// placement on it must not be used.
#[rstest]
#[case::leaving(true)]
#[case::unknown(false)]
fn a_placement_on_an_unlisted_upstream_is_not_used(#[case] known: bool) {
    let standin = Standin::start();
    standin.put("op", "config", &desired(1, &["k1"]));
    standin.upstream("r1", "app", 6);
    let host = Host::start(&standin, "h5", 0.1);
    let row = || standin.row("lagoon-hosts", "h5");
    until("registered", || row().is_some());
    let address = standin.upstream("r9", "app", 6).to_string();
    if known {
        let leaving = json!({"Service": "app", "Address": address, "Zone": "a", "Slots": 6,
            "State": "draining", "born": 1});
        standin.put("servers", "r9", &leaving);
    } else {
        standin.remove("servers", "r9");
    }
    // Time for two reads of the list.
    thread::sleep(time::Duration::from_millis(500));
    let before = standin.received_requests().len();
    let scheduler = scheduler::Scheduler::start(&standin, "r9");
    until("asked", || {
        assert_eq!(host.lookup("k1"), 200);
        scheduler.question_count() > 0
    });
    assert!(standin.received_requests()[before..].iter().all(|request| request.upstream == "r1"));
}

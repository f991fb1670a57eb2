//! Tests of upstreams that say in their answers that they are cold, with hosts of two zones.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::net;
use std::thread;
use std::time;

use rstest::rstest;

use host::{Host, HostSettings, STEP_TIMEOUT, desired, send_request};
use standin::{Behavior, Standin};

/// Requests per second that a cold upstream bears. The hosts' settings name no overage and no slack,
/// so that this is the bound for any second as well.
const RATE: usize = 10;
/// Callers of each host, so that without a limit each engine gets some hundred requests a second.
const CALLERS_PER_HOST: usize = 6;
/// Pause of a caller between two prompts.
const PAUSE: time::Duration = time::Duration::from_millis(20);
/// Time for which requests are sent and counted.
const SPAN: time::Duration = time::Duration::from_secs(4);

/// Starts two hosts in front of three engines that are cold at `RATE` after a start.
fn start() -> (Standin, Vec<Host>) {
    let standin = Standin::start();
    let mut state = desired(1, &["k1"], 10_000);
    state["Services"][0]["ColdStartS"] = 60.into();
    state["Services"][0]["ColdPerS"] = RATE.into();
    standin.put("op", "config", &state);
    for name in ["e0", "e1", "e2"] {
        standin.upstream(name, "llm", 16);
        standin.behavior(name, Behavior::Complete);
    }
    let settings = HostSettings { revoke_ms: 5_000, ..HostSettings::default() };
    let join = |(name, zone)| Host::join(&standin, HostSettings { name, zone, ..settings });
    let hosts = [("h1", "a"), ("h2", "b")].map(join);
    (standin, hosts.into())
}

/// Sends a short prompt.
fn send_prompt(address: net::SocketAddr, id: &str) {
    let head = format!(
        "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: {id}\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n\
         lagoonline-token-count: 5000,400\r\n\r\n"
    );
    assert_eq!(send_request(address, &head).0, 200);
}

/// Sends short prompts through all hosts for `span`.
fn send_for(hosts: &[Host], span: time::Duration) {
    let until = time::Instant::now() + span;
    thread::scope(|scope| {
        for caller in 0..hosts.len() * CALLERS_PER_HOST {
            let address = hosts[caller % hosts.len()].callers;
            scope.spawn(move || {
                let mut number = 0;
                while time::Instant::now() < until {
                    number += 1;
                    send_prompt(address, &format!("{caller}-{number}"));
                    thread::sleep(PAUSE);
                }
            });
        }
    });
}

/// Returns the number of upstreams that `host` knows to be cold.
fn cold_upstreams(host: &Host) -> String {
    let metrics = send_request(host.ready, "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n").1;
    let found =
        metrics.lines().find_map(|line| line.strip_prefix("lagoon_gateway_upstreams_cold "));
    found.unwrap().to_owned()
}

/// Sends short prompts until all hosts know of `count` cold upstreams.
fn send_until_known(hosts: &[Host], count: &str) {
    let began = time::Instant::now();
    while !hosts.iter().all(|host| cold_upstreams(host) == count) {
        assert!(began.elapsed() < STEP_TIMEOUT, "not {count} cold upstreams in time");
        send_for(hosts, time::Duration::from_millis(100));
    }
}

/// Guards against hosts that send a cold upstream as much as the others, that each use its whole
/// rate, or that leave it idle, and against going on when it says that it is warm.
#[rstest]
fn an_upstream_that_says_that_it_is_cold_gets_what_it_bears() {
    let (standin, hosts) = start();
    standin.change_heads("e0", None, &[("lagoonline-cold-remaining", "60000")]);
    send_until_known(&hosts, "1");
    // What was sent before the hosts knew is over.
    thread::sleep(time::Duration::from_secs(1));
    let from = time::Instant::now();
    send_for(&hosts, SPAN);
    let requests = standin.received_requests();
    let own = requests.iter().filter(|request| request.upstream == "e0" && request.at >= from);
    let arrivals: Vec<_> = own.map(|request| request.at).collect();
    let in_second = |start: &time::Instant| {
        let end = *start + time::Duration::from_secs(1);
        arrivals.iter().filter(|at| *at >= start && **at < end).count()
    };
    let most = arrivals.iter().map(in_second).max().unwrap_or(0);
    let others = requests.iter().filter(|request| request.at >= from).count() - arrivals.len();
    assert!(most <= RATE, "{most} requests in a second");
    assert!(arrivals.len() >= RATE, "{} requests in {SPAN:?}", arrivals.len());
    assert!(others > 3 * arrivals.len(), "the others got {others}");
    standin.change_heads("e0", None, &[("lagoonline-cold-remaining", "0")]);
    send_until_known(&hosts, "0");
}

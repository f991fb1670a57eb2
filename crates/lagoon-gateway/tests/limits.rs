//! Tests of upstreams that name a limit on their requests, with several hosts and zones.

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

/// Number of engines behind the hosts. Short prompts go to the first ones by name as long as these
/// have places.
const ENGINES: usize = 6;
/// Callers of each host, so that without a limit an engine gets some five requests a second.
const CALLERS_PER_HOST: usize = 8;
/// Pause of a caller between two prompts, each of which takes a second.
const PAUSE: time::Duration = time::Duration::from_millis(120);
/// Seconds after which no permit is kept for a caller any more.
const LONGEST_PROMISE: f64 = 3.0;
/// Window in which the requests to a limited upstream are counted.
const WINDOW: time::Duration = time::Duration::from_secs(4);
/// Time after the first answer that names a limit from which it must hold.
const LEARNING_TIME: time::Duration = time::Duration::from_secs(3);
/// Share of the limit, and number of requests beyond it, that a window may have.
const ALLOWED_SHARE: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;

/// Hosts of two zones in front of the same engines.
struct Fleet {
    standin: Standin,
    hosts: Vec<Host>,
}

impl Fleet {
    /// Starts four hosts. A zone with at least `relay_hosts` of them has a scheduler.
    fn start(relay_hosts: u64) -> Fleet {
        let standin = Standin::start();
        standin.put("op", "config", &desired(1, &["k1"], 10_000));
        for number in 0..ENGINES {
            let name = format!("e{number}");
            standin.upstream(&name, "llm", 16);
            standin.behavior(&name, Behavior::SlowEvents);
        }
        let names = [("h1", "a"), ("h2", "a"), ("h3", "b"), ("h4", "b")];
        // Hosts that read the platform through another one know later that keys are valid.
        let settings = HostSettings { relay_hosts, revoke_ms: 5_000, ..HostSettings::default() };
        let hosts =
            names.map(|(name, zone)| Host::join(&standin, HostSettings { name, zone, ..settings }));
        Fleet { standin, hosts: hosts.into() }
    }

    /// Sends short prompts through all hosts for `span` and waits for the answers.
    fn send_for(&self, span: time::Duration) {
        let until = time::Instant::now() + span;
        thread::scope(|scope| {
            for caller in 0..self.hosts.len() * CALLERS_PER_HOST {
                let address = self.hosts[caller % self.hosts.len()].callers;
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

    /// Sends a prompt until it is served, each time at another host, and returns how often it was
    /// refused although a permit had been kept for it.
    fn call_until_served(&self, caller: usize) -> usize {
        let mut refused_again = 0;
        let mut told = f64::INFINITY;
        for attempt in caller.. {
            let host = &self.hosts[attempt % 2];
            let began = time::Instant::now();
            let (status, retry_after, body) = send_returning_prompt(host.callers, caller);
            if status == 200 {
                break;
            }
            assert!(status == 503 && body.contains("limit their requests"), "{status} {body}");
            assert!(began.elapsed() < time::Duration::from_millis(1_200), "{:?}", began.elapsed());
            refused_again += usize::from(told <= LONGEST_PROMISE);
            told = retry_after;
            thread::sleep(time::Duration::from_secs_f64(retry_after));
        }
        refused_again
    }

    /// Sends prompts until all hosts apply the limit `rate` to `upstream`, or none. An upstream that
    /// got many requests at once gets none for some seconds.
    fn send_until_applied(&self, upstream: &str, rate: Option<&str>) {
        let began = time::Instant::now();
        let applies = |host: &Host| applied_limit(host, upstream).as_deref() == rate;
        while !self.hosts.iter().all(applies) {
            assert!(began.elapsed() < STEP_TIMEOUT, "not {rate:?} at {upstream} in time");
            self.send_for(time::Duration::from_millis(300));
        }
    }

    /// Returns when requests reached `upstream`.
    fn arrivals(&self, upstream: &str) -> Vec<time::Instant> {
        let requests = self.standin.received_requests();
        let own = requests.iter().filter(|request| request.upstream == upstream);
        own.map(|request| request.at).collect()
    }

    /// Checks that no window that begins after `from` has more requests to `upstream` than its
    /// limit of `rate` a second allows.
    fn check_limit(&self, upstream: &str, rate: f64, from: time::Instant) {
        let arrivals = self.arrivals(upstream);
        let allowed = rate * WINDOW.as_secs_f64() * ALLOWED_SHARE + ALLOWED_EXTRA;
        for start in arrivals.iter().filter(|start| **start >= from) {
            let in_window = arrivals.iter().filter(|at| *at >= start && **at < *start + WINDOW);
            let count = in_window.count();
            let limit = format!("{upstream}, which had named {rate} requests a second");
            assert!(count as f64 <= allowed, "{limit}, got {count} in {WINDOW:?}");
        }
    }
}

/// Sends a prompt that is the same each time but for its id. Returns the status, and the seconds
/// after which its caller should come back, and the body.
fn send_returning_prompt(address: net::SocketAddr, caller: usize) -> (u16, f64, String) {
    let body = format!("prompt of {caller}");
    let head = format!(
        "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: r{caller}\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n\
         lagoonline-token-count: 5000,400\r\ncontent-length: {}\r\n\r\n{body}",
        body.len(),
    );
    let (status, head, body) = host::send_request_for_head(address, &head);
    let retry_after = head.lines().find_map(|line| line.strip_prefix("retry-after: "));
    (status, retry_after.map_or(0.0, |seconds| seconds.trim().parse().unwrap()), body)
}

/// Sends a short prompt and returns its answer.
fn send_prompt(address: net::SocketAddr, id: &str) -> (u16, String) {
    let head = format!(
        "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: {id}\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n\
         lagoonline-token-count: 5000,400\r\n\r\n"
    );
    send_request(address, &head)
}

/// An upstream in need names the requests a second that it takes from all hosts together. Hosts that
/// ignore it, or that each apply it alone, send it several times as many.
#[rstest]
#[case::each_host_places(6)]
#[case::one_host_of_each_zone_places(2)]
fn an_upstream_gets_no_more_requests_than_the_limit_that_it_names(#[case] relay_hosts: u64) {
    let fleet = Fleet::start(relay_hosts);
    fleet.standin.name_limit("e1", Some("1.6"));
    fleet.standin.name_limit("e4", Some("2"));
    let named = time::Instant::now();
    fleet.send_for(LEARNING_TIME + WINDOW + time::Duration::from_secs(1));
    fleet.check_limit("e1", 1.6, named + LEARNING_TIME);
    fleet.check_limit("e4", 2.0, named + LEARNING_TIME);
}

/// Returns the limit of `upstream` that `host` applies.
fn applied_limit(host: &Host, upstream: &str) -> Option<String> {
    let metrics = send_request(host.ready, "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n").1;
    let prefix = format!("lagoon_gateway_upstream_limit{{upstream=\"{upstream}\"}} ");
    metrics.lines().find_map(|line| line.strip_prefix(&prefix).map(str::to_owned))
}

/// A limit holds only as long as the upstream names it. A host that went on applying it would leave
/// an upstream idle that has recovered.
#[rstest]
#[case::each_host_places(6)]
#[case::one_host_of_each_zone_places(2)]
fn a_limit_ends_with_the_first_answers_that_do_not_name_it(#[case] relay_hosts: u64) {
    let fleet = Fleet::start(relay_hosts);
    fleet.standin.name_limit("e0", Some("1.6"));
    fleet.send_until_applied("e0", Some("1.6"));
    fleet.standin.name_limit("e0", None);
    fleet.send_until_applied("e0", None);
    let before = fleet.arrivals("e0").len();
    fleet.send_for(time::Duration::from_secs(3));
    let after = fleet.arrivals("e0").len() - before;
    assert!(after >= 8, "{after} requests in 3 s");
}

/// A changed limit must be applied by all hosts that choose upstreams, and a host that joins must
/// learn it from the others: it may not have an answer of that upstream for long.
#[rstest]
fn all_hosts_learn_a_limit_from_each_other() {
    let mut fleet = Fleet::start(6);
    fleet.standin.name_limit("e0", Some("1.5"));
    fleet.send_until_applied("e0", Some("1.5"));
    let late = HostSettings { name: "h5", zone: "c", ..HostSettings::default() };
    let late = Host::join(&fleet.standin, late);
    late.until("told", || applied_limit(&late, "e0").as_deref() == Some("1.5"));
    fleet.hosts.push(late);
    fleet.standin.name_limit("e0", Some("0.5"));
    fleet.send_until_applied("e0", Some("0.5"));
}

/// A new lifetime of an upstream has named nothing.
#[rstest]
fn a_restarted_upstream_has_no_limit() {
    let fleet = Fleet::start(6);
    fleet.standin.name_limit("e0", Some("0.5"));
    fleet.send_until_applied("e0", Some("0.5"));
    let mut entry = fleet.standin.row("servers", "e0").unwrap();
    entry["born"] = 2.into();
    fleet.standin.put("servers", "e0", &entry);
    let host = &fleet.hosts[0];
    host.until("forgotten", || applied_limit(host, "e0").is_none());
}

/// A value that is no limit must neither stop requests to the upstream nor end a limit that it
/// named before.
#[rstest]
#[case("")]
#[case("0")]
#[case("-2")]
#[case("NaN")]
#[case("two")]
fn a_limit_that_cannot_be_read_changes_nothing(#[case] value: &str) {
    let fleet = Fleet::start(6);
    fleet.standin.name_limit("e0", Some("1.5"));
    fleet.standin.name_limit("e1", Some(value));
    fleet.send_for(time::Duration::from_secs(2));
    fleet.send_until_applied("e0", Some("1.5"));
    assert!(fleet.arrivals("e1").len() >= 5);
    assert_eq!(applied_limit(&fleet.hosts[0], "e1"), None);
    fleet.standin.name_limit("e0", Some(value));
    let before = fleet.arrivals("e0").len();
    let asked_again = || fleet.arrivals("e0").len() > before + 2;
    while !asked_again() {
        fleet.send_for(time::Duration::from_secs(1));
    }
    assert_eq!(applied_limit(&fleet.hosts[0], "e0").as_deref(), Some("1.5"));
}

/// All upstreams of a service limit their requests: a caller that cannot be served in time must be
/// refused at once, with a time to come back, and be served then, at another host.
#[rstest]
#[case::each_host_places(6)]
#[case::one_host_of_each_zone_places(2)]
fn refused_callers_are_served_when_they_come_back(#[case] relay_hosts: u64) {
    let fleet = Fleet::start(relay_hosts);
    for number in 0..ENGINES {
        fleet.standin.name_limit(&format!("e{number}"), Some("1"));
    }
    fleet.send_for(time::Duration::from_secs(2));
    let returns = 12;
    let again: usize = thread::scope(|scope| {
        let fleet = &fleet;
        let callers: Vec<_> = (0..returns)
            .map(|caller| scope.spawn(move || fleet.call_until_served(caller)))
            .collect();
        callers.into_iter().map(|caller| caller.join().unwrap()).sum()
    });
    assert!(again * 6 <= returns, "{again} of {returns} callers were refused again");
}

/// Calls that may run only once count like others, and are refused with a word that is true.
#[rstest]
fn calls_that_may_run_once_keep_the_limit() {
    let fleet = Fleet::start(6);
    fleet.standin.upstream("r1", "app", 6);
    fleet.standin.name_limit("r1", Some("1"));
    let host = &fleet.hosts[0];
    host.until("served", || host.call("POST", "/book/a", "k1", "").0 == 200);
    let began = time::Instant::now();
    let mut served = 0;
    while began.elapsed() < time::Duration::from_secs(4) {
        let (status, body) = host.call("POST", "/book/a", "k1", "");
        served += usize::from(status == 200);
        assert!(status == 200 || status == 503 && body.contains("not-run"), "{status} {body}");
        thread::sleep(time::Duration::from_millis(20));
    }
    assert!((3..=6).contains(&served), "{served} calls served in 4 s");
    let received = fleet.arrivals("r1").iter().filter(|at| **at >= began).count();
    assert_eq!(received, served);
}

/// A long prompt takes several requests of each engine. Engines that limit theirs must get neither
/// parts of it nor orders about its memory, and no polls, while others can do it.
#[rstest]
fn long_prompts_and_reports_leave_limited_engines_alone() {
    let fleet = Fleet::start(6);
    fleet.standin.name_limit("e0", Some("3.5"));
    fleet.send_until_applied("e0", Some("3.5"));
    thread::sleep(time::Duration::from_millis(600));
    let (requests, reports) = (fleet.arrivals("e0").len(), fleet.standin.reports("e0"));
    for _ in 0..3 {
        let more = "lagoonline-token-count: 200000,400\r\n";
        assert_eq!(fleet.hosts[0].call("POST", "/review/a", "k1", more).0, 200);
    }
    assert_eq!(fleet.arrivals("e0").len(), requests);
    assert_eq!(fleet.standin.reports("e0"), reports);
    let address = fleet.standin.address("e0").to_string();
    let requests = fleet.standin.received_requests();
    let mut helpers =
        requests.iter().filter_map(|request| request.headers.get("lagoonline-helpers"));
    assert!(!helpers.any(|helpers| helpers.contains(&address)));
}

/// An engine that only helps others answers no requests, but reports: all hosts must learn from
/// these that it has a limit, before they send it any.
#[rstest]
fn hosts_learn_a_limit_from_reports() {
    let fleet = Fleet::start(6);
    fleet.standin.name_limit_in_reports("e5", "1.5");
    for host in &fleet.hosts {
        host.until("learnt", || applied_limit(host, "e5").as_deref() == Some("1.5"));
    }
    assert!(fleet.arrivals("e5").is_empty());
}

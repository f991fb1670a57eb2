//! Tests of upstreams that say in their answers that they leave, also while no host reads that from
//! the platform.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::thread;
use std::time;

use rstest::rstest;
use serde_json::json;

use host::{Host, HostSettings, desired, send_request, send_request_for_head};
use standin::path::Mode;
use standin::{Behavior, Entrance, Standin};

/// Time after the first answer that says so after which the upstream gets nothing from any host that
/// was told: a request that was on its way has arrived then.
const TOLD_TIME: time::Duration = time::Duration::from_millis(500);
/// Time after which a host that was told gets nothing to it by the rule.
const LEAVING_BOUND: time::Duration = time::Duration::from_secs(2);
/// Time for which requests are sent after that.
const WATCH_TIME: time::Duration = time::Duration::from_secs(3);
/// Pause between two requests.
const PAUSE: time::Duration = time::Duration::from_millis(10);
/// The upstream that leaves, and goes on serving.
const LEAVER: &str = "r1";

/// Whether the platform answers the hosts while the upstream leaves.
#[derive(Clone, Copy, Debug)]
enum Platform {
    Answers,
    Away,
}

/// Hosts before two replicas, which read the platform through one entrance.
struct Fleet {
    standin: Standin,
    entrance: Entrance,
    hosts: Vec<Host>,
}

impl Fleet {
    /// Starts hosts of the given names and zones. A zone with at least `relay_hosts` of them has a
    /// scheduler.
    fn start(hosts: &[(&str, &str)], relay_hosts: u64) -> Fleet {
        let standin = Standin::start();
        standin.put("op", "config", &desired(1, &["k1"], 10_000));
        for name in [LEAVER, "r2"] {
            standin.upstream(name, "app", 6);
        }
        let entrance = standin.entrance();
        let store = Some(entrance.address);
        // Keys stay valid while the platform turns hosts away.
        let settings =
            HostSettings { relay_hosts, revoke_ms: 60_000, store, ..HostSettings::default() };
        let join = |(name, zone): &(&str, &str)| {
            Host::join(&standin, HostSettings { name, zone, ..settings })
        };
        let hosts: Vec<_> = hosts.iter().map(join).collect();
        let fleet = Fleet { standin, entrance, hosts };
        for host in &fleet.hosts {
            let before = fleet.arrivals(LEAVER).len();
            host.until("sent to the leaver", || {
                look(host);
                fleet.arrivals(LEAVER).len() > before
            });
        }
        fleet
    }

    fn set_platform(&self, platform: Platform) {
        if matches!(platform, Platform::Away) {
            self.entrance.set_closed(true);
            // Reads that are under way end.
            thread::sleep(time::Duration::from_millis(600));
        }
    }

    /// Returns when requests reached `upstream`.
    fn arrivals(&self, upstream: &str) -> Vec<time::Instant> {
        let requests = self.standin.received_requests();
        requests
            .iter()
            .filter(|request| request.upstream == upstream)
            .map(|request| request.at)
            .collect()
    }

    /// Sends requests through one host until the leaver has answered one.
    fn send_until_told(&self) -> time::Instant {
        let before = self.arrivals(LEAVER).len();
        self.hosts[0].until("answered by the leaver", || {
            look(&self.hosts[0]);
            self.arrivals(LEAVER).len() > before
        });
        time::Instant::now()
    }

    /// Sends requests through all hosts, and returns how many of them reached the leaver later than
    /// [`TOLD_TIME`] after `told`.
    fn late_after(&self, told: time::Instant) -> usize {
        let until = told + TOLD_TIME + WATCH_TIME;
        thread::scope(|scope| {
            for host in &self.hosts {
                scope.spawn(move || {
                    while time::Instant::now() < until {
                        look(host);
                        thread::sleep(PAUSE);
                    }
                });
            }
        });
        self.arrivals(LEAVER).iter().filter(|at| **at > told + TOLD_TIME).count()
    }
}

fn look(host: &Host) {
    let (status, body) = host.call("GET", "/look/1", "k1", "");
    assert_eq!(status, 200, "{body}");
}

const ONE: &[(&str, &str)] = &[("h1", "a")];
const ZONES: &[(&str, &str)] = &[("h1", "a"), ("h2", "a"), ("h3", "b"), ("h4", "b")];

/// An upstream said in its answers that it leaves. Hosts that the platform did not tell went on
/// sending to it, the one that had the answer among them.
#[rstest]
#[case::one_host(ONE, 6, Platform::Answers)]
#[case::one_host_out_of_touch(ONE, 6, Platform::Away)]
#[case::zones_out_of_touch(ZONES, 6, Platform::Away)]
#[case::zones_with_schedulers_out_of_touch(ZONES, 2, Platform::Away)]
fn an_upstream_that_says_that_it_leaves_gets_nothing_more(
    #[case] hosts: &[(&str, &str)],
    #[case] relay_hosts: u64,
    #[case] platform: Platform,
) {
    let fleet = Fleet::start(hosts, relay_hosts);
    fleet.set_platform(platform);
    fleet.standin.say_leaving(LEAVER, "1");
    let told = fleet.send_until_told();
    assert_eq!(fleet.late_after(told), 0);
}

/// An upstream refuses a request and says that it leaves. Only the refusal was heard.
#[rstest]
fn a_refusal_that_says_so_counts() {
    let fleet = Fleet::start(ONE, 6);
    fleet.set_platform(Platform::Away);
    fleet.standin.behavior(LEAVER, Behavior::Refuse);
    fleet.standin.say_leaving(LEAVER, "1");
    let told = fleet.send_until_told();
    assert_eq!(fleet.late_after(told), 0);
}

/// The platform lists an upstream as ready after it said that it leaves: an older write, or one of a
/// process that does not know it. Only a later lifetime of the upstream ends its departure.
#[rstest]
fn only_a_later_lifetime_ends_what_an_upstream_said() {
    let fleet = Fleet::start(ONE, 6);
    fleet.standin.say_leaving(LEAVER, "1");
    let told = fleet.send_until_told();
    let mut entry = fleet.standin.row("servers", LEAVER).unwrap();
    entry["Sequence"] = json!(9);
    fleet.standin.put("servers", LEAVER, &entry);
    fleet.standin.remove("servers", LEAVER);
    fleet.standin.put("servers", LEAVER, &entry);
    assert_eq!(fleet.late_after(told), 0);
    fleet.standin.say_leaving(LEAVER, "0");
    entry["born"] = json!(2);
    fleet.standin.put("servers", LEAVER, &entry);
    let before = fleet.arrivals(LEAVER).len();
    fleet.hosts[0].until("used in its new lifetime", || {
        look(&fleet.hosts[0]);
        fleet.arrivals(LEAVER).len() > before
    });
}

/// Engines: first tries, streams that resume elsewhere, plans of another host, parts of long prompts
/// and orders about memory all stay away from one that said that it leaves.
#[rstest]
#[case::each_host_places(6)]
#[case::one_host_places(2)]
fn a_leaving_engine_gets_nothing_by_any_way(#[case] relay_hosts: u64) {
    let standin = Standin::start();
    standin.put("op", "config", &desired(1, &["k1"], 10_000));
    for name in [LEAVER, "r2", "r3"] {
        standin.upstream(name, "llm", 2);
        standin.behavior(name, Behavior::SlowEvents);
    }
    let entrance = standin.entrance();
    let store = Some(entrance.address);
    let settings =
        HostSettings { relay_hosts, revoke_ms: 60_000, store, ..HostSettings::default() };
    let hosts =
        ["h1", "h2", "h3"].map(|name| Host::join(&standin, HostSettings { name, ..settings }));
    let until = time::Instant::now() + time::Duration::from_secs(6);
    let said = thread::scope(|scope| {
        for caller in 0..12 {
            let host = &hosts[caller % hosts.len()];
            scope.spawn(move || {
                while time::Instant::now() < until {
                    if caller % 4 == 0 {
                        let more = "lagoonline-token-count: 300000,400\r\n";
                        host.call("POST", "/review/a", "k1", more);
                    } else {
                        host.talk();
                    }
                }
            });
        }
        entrance.set_closed(true);
        thread::sleep(time::Duration::from_millis(800));
        standin.behavior("r2", Behavior::BreakAfter(3));
        standin.say_leaving(LEAVER, "1");
        time::Instant::now()
    });
    let requests = standin.received_requests();
    let at_leaver = || requests.iter().filter(|request| request.upstream == LEAVER);
    let told = at_leaver().map(|request| request.at).find(|at| *at >= said);
    let told = told.unwrap_or(said) + TOLD_TIME;
    let is_release = |body: &[u8]| body.windows(9).any(|part| part == b"\"release\"");
    let is_renewal = |at: usize, request: &standin::ReceivedRequest| {
        requests[..at].iter().any(|earlier| {
            earlier.upstream == request.upstream
                && earlier.path == request.path
                && earlier.body == request.body
        })
    };
    let late: Vec<_> = requests
        .iter()
        .enumerate()
        .filter(|(_, request)| request.upstream == LEAVER && request.at > told)
        .filter(|(at, request)| !is_release(&request.body) && !is_renewal(*at, request))
        .map(|(_, request)| (request.path.clone(), request.at - told))
        .collect();
    assert!(late.is_empty(), "{late:?}");
    let address = standin.address(LEAVER).to_string();
    let helped = requests.iter().filter(|request| request.at > told).filter(|request| {
        request.headers.get("lagoonline-helpers").is_some_and(|helpers| helpers.contains(&address))
    });
    assert_eq!(helped.count(), 0, "prompts of which it was to read a part");
}

/// An engine that has had no request yet says in its reports that it leaves. All hosts must know
/// before they send it any.
#[rstest]
fn hosts_learn_it_from_reports() {
    let fleet = Fleet::start(ZONES, 6);
    fleet.standin.upstream("e1", "llm", 16);
    fleet.standin.say_leaving("e1", "1");
    fleet.standin.upstream("e2", "llm", 16);
    fleet.hosts[0].until("asked for a report", || fleet.standin.reports("e1") > 0);
    thread::sleep(TOLD_TIME);
    for host in &fleet.hosts {
        assert_eq!(host.talk().0, 200);
    }
    assert_eq!(fleet.arrivals("e1").len(), 0);
}

/// What does not say so, or is not said by the upstream itself, must not take it away: a sound
/// upstream would get nothing until its next start.
#[rstest]
#[case::another_value(200, &[("server-leaving", "0")])]
#[case::no_value(200, &[("server-leaving", "")])]
#[case::contradiction(200, &[("server-leaving", "1"), ("server-leaving", "0")])]
#[case::answer_to_another_request(
    200, &[("server-leaving", "1"), ("lagoonline-request-id", "q7")]
)]
#[case::another_upstream_at_its_address(421, &[("server-leaving", "1")])]
#[case::answer_that_names_another_upstream(
    503,
    &[("server-leaving", "1"), ("lagoonline-not-executed", "1"), ("lagoonline-instance-id", "r9")]
)]
fn a_wrong_hint_takes_no_upstream_away(#[case] status: u16, #[case] fields: &[(&str, &str)]) {
    let fleet = Fleet::start(ONE, 6);
    let send_until_it_arrives = || {
        let before = fleet.arrivals(LEAVER).len();
        fleet.hosts[0].until("sent to the upstream", || {
            fleet.hosts[0].call("GET", "/look/1", "k1", "");
            fleet.arrivals(LEAVER).len() > before
        });
    };
    fleet.standin.change_heads(LEAVER, Some(status), fields);
    send_until_it_arrives();
    fleet.standin.change_heads(LEAVER, None, &[]);
    send_until_it_arrives();
}

/// All upstreams of a service said that they leave: callers are refused at once and told when to
/// come back, and what began before runs on.
#[rstest]
fn callers_are_refused_at_once_when_all_leave() {
    let fleet = Fleet::start(ONE, 6);
    for name in [LEAVER, "r2"] {
        fleet.standin.say_leaving(name, "1");
    }
    let host = &fleet.hosts[0];
    host.until("refused", || host.call("GET", "/look/1", "k1", "").0 == 503);
    let before = fleet.standin.received_requests().len();
    let began = time::Instant::now();
    let request = "GET /look/1 HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
                   authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n\r\n";
    let (status, head, body) = send_request_for_head(host.callers, request);
    assert_eq!(status, 503, "{body}");
    assert!(began.elapsed() < TOLD_TIME, "{:?}", began.elapsed());
    assert!(head.contains("retry-after: ") && body.contains("not-run"), "{head} {body}");
    assert_eq!(fleet.standin.received_requests().len(), before);
}

/// Hosts without paths are told through another one, which passed the answer on. In a large zone that
/// host hears of departures from nobody else while the platform is away.
#[rstest]
fn a_host_that_carried_the_answer_knows_it() {
    let standin = Standin::start();
    standin.put("op", "config", &desired(1, &["k1"], 10_000));
    standin.upstream(LEAVER, "app", 6);
    let (cut, whole) = (standin.entrance_with_paths(), standin.entrance());
    let settings = HostSettings { relay_hosts: 2, revoke_ms: 60_000, ..HostSettings::default() };
    let join = |name, store| Host::join(&standin, HostSettings { name, store, ..settings });
    // The first three by name track what is under way, and are told of departures. None has paths.
    let _trackers = ["h0", "h1", "h2"].map(|name| join(name, Some(cut.address)));
    let host = join("h3", Some(cut.address));
    let carrier = join("h4", Some(whole.address));
    cut.set_paths(Mode::Reset);
    let look = || host.call("GET", "/look/1", "k1", "").0;
    host.until("served through the other host", || look() == 200);
    cut.set_closed(true);
    whole.set_closed(true);
    standin.say_leaving(LEAVER, "1");
    host.until("told", || look() == 503);
    let told = time::Instant::now();
    while metric(&carrier, "upstream_departures_total{way=\"host\"}") < 1.0 {
        assert!(told.elapsed() < LEAVING_BOUND, "the host in between was not told");
        thread::sleep(PAUSE);
    }
}

/// Returns the value of a metric of `host`; 0 if it has none yet.
fn metric(host: &Host, name: &str) -> f64 {
    let text = send_request(host.ready, "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n").1;
    let mut lines = text.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|(key, _)| *key == format!("lagoon_gateway_{name}"));
    found.map_or(0.0, |(_, value)| value.parse().unwrap())
}

//! Tests of upstreams that turn a host away and say when they want further requests from it.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::net;
use std::sync::atomic;
use std::thread;
use std::time;

use rstest::rstest;
use serde_json::json;

use host::{Host, HostSettings, desired, send_request, send_request_for_head};
use standin::path::Mode;
use standin::{Behavior, ReceivedRequest, Standin};

/// Time after the answer that names a time for which requests that were on their way may arrive.
const UNDER_WAY: time::Duration = time::Duration::from_millis(500);
/// Time for which upstreams want nothing from a host that they turned away, as the header has it.
const REST: &str = "2";
const REST_TIME: time::Duration = time::Duration::from_secs(2);
/// Pause between two requests of a caller.
const PAUSE: time::Duration = time::Duration::from_millis(10);
/// The upstream that turns requests away.
const BUSY: &str = "e1";

/// Hosts before engines and replicas.
struct Fleet {
    standin: Standin,
    hosts: Vec<(&'static str, Host)>,
    /// Number of the next request.
    next: atomic::AtomicUsize,
}

impl Fleet {
    /// Starts hosts of the given names and zones. A zone with at least `relay_hosts` of them has a
    /// scheduler.
    fn start(hosts: &[(&'static str, &'static str)], relay_hosts: u64) -> Fleet {
        let settings = HostSettings { relay_hosts, ..HostSettings::default() };
        Fleet::start_with(hosts, settings)
    }

    fn start_with(
        hosts: &[(&'static str, &'static str)],
        settings: HostSettings<'static>,
    ) -> Fleet {
        let standin = Standin::start();
        standin.put("op", "config", &desired(1, &["k1"], 10_000));
        for name in [BUSY, "e2", "e3"] {
            standin.upstream(name, "llm", 16);
        }
        for name in ["r1", "r2"] {
            standin.upstream(name, "app", 6);
        }
        let settings = HostSettings { revoke_ms: 60_000, ..settings };
        let join = |(name, zone): &(&'static str, &'static str)| {
            (*name, Host::join(&standin, HostSettings { name, zone, ..settings }))
        };
        let hosts = hosts.iter().map(join).collect();
        Fleet { standin, hosts, next: atomic::AtomicUsize::new(0) }
    }

    fn send(&self, host: usize, method: &str, path: &str, more: &str) -> (u16, String, String) {
        let number = self.next.fetch_add(1, atomic::Ordering::SeqCst);
        let (name, host) = &self.hosts[host];
        send_as(host.callers, &format!("{name}-{number}"), method, path, more)
    }

    /// Sends a short prompt and returns the status of its answer.
    fn talk(&self, host: usize) -> u16 {
        self.send(host, "POST", "/talk/a", "lagoonline-token-count: 5000,400\r\n").0
    }

    fn look(&self, host: usize) -> u16 {
        self.send(host, "GET", "/look/1", "").0
    }

    /// Sends requests with `send` through all hosts, by two callers of each, for `span`. Returns the
    /// statuses of their answers.
    fn send_for<Send>(&self, span: time::Duration, send: Send) -> Vec<u16>
    where
        Send: Fn(usize) -> u16 + Sync,
    {
        let until = time::Instant::now() + span;
        let send = &send;
        thread::scope(|scope| {
            let callers: Vec<_> = (0..self.hosts.len() * 2)
                .map(|caller| {
                    scope.spawn(move || {
                        let mut statuses = Vec::new();
                        while time::Instant::now() < until {
                            statuses.push(send(caller % self.hosts.len()));
                            thread::sleep(PAUSE);
                        }
                        statuses
                    })
                })
                .collect();
            callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
        })
    }

    /// Returns the requests that reached `upstream`, orders included.
    fn received(&self, upstream: &str) -> Vec<ReceivedRequest> {
        let requests = self.standin.received_requests();
        requests.into_iter().filter(|request| request.upstream == upstream).collect()
    }

    /// Returns when callers' requests of the host `name` reached `upstream` after `since`.
    fn arrivals(&self, upstream: &str, name: &str, since: time::Instant) -> Vec<time::Instant> {
        let is_of_host = |request: &ReceivedRequest| {
            let id = request.headers.get("lagoonline-request-id");
            id.is_some_and(|id| id.starts_with(&format!("{name}-")))
        };
        let received = self.received(upstream).into_iter();
        received.filter(is_of_host).map(|request| request.at).filter(|at| *at >= since).collect()
    }

    /// Returns how many requests reached `upstream` from hosts within the times that it had named to
    /// them, without those that were under way.
    fn late(&self, upstream: &str, since: time::Instant) -> usize {
        let of_host = |name: &str| {
            let mut asked: Option<time::Instant> = None;
            let mut late = 0;
            for at in self.arrivals(upstream, name, since) {
                match asked {
                    Some(first) if at < first + REST_TIME => {
                        late += usize::from(at > first + UNDER_WAY);
                    }
                    _ => asked = Some(at),
                }
            }
            late
        };
        self.hosts.iter().map(|(name, _)| of_host(name)).sum()
    }
}

/// Sends a request with this id. Returns the status, the head and the body of the answer.
fn send_as(
    address: net::SocketAddr,
    id: &str,
    method: &str,
    path: &str,
    more: &str,
) -> (u16, String, String) {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: {id}\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\ncontent-length: 0\r\n\
         {more}\r\n"
    );
    send_request_for_head(address, &head)
}

/// Returns the value of a counter of `host`; 0 if it has none yet.
fn counter(host: &Host, name: &str) -> f64 {
    let text = send_request(host.ready, "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n").1;
    let mut lines = text.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|(key, _)| *key == format!("lagoon_gateway_{name}"));
    found.map_or(0.0, |(_, value)| value.parse().unwrap())
}

const ONE: &[(&str, &str)] = &[("h1", "a")];
const ZONES: &[(&str, &str)] = &[("h1", "a"), ("h2", "a"), ("h3", "b"), ("h4", "b")];

/// An upstream turned a host away and named the time of further requests. It got as many as before,
/// since an upstream that refuses looks the least used one.
#[rstest]
#[case::one_host(ONE, 6)]
#[case::zones(ZONES, 6)]
#[case::zones_with_schedulers(ZONES, 2)]
fn an_upstream_that_turns_a_host_away_gets_nothing_until_its_time(
    #[case] hosts: &[(&'static str, &'static str)],
    #[case] relay_hosts: u64,
) {
    let fleet = Fleet::start(hosts, relay_hosts);
    let since = time::Instant::now();
    fleet.standin.turn_away(BUSY, Some(REST));
    fleet.standin.turn_away("r1", Some(REST));
    let statuses = fleet.send_for(REST_TIME * 2, |host| match fleet.look(host) {
        200 => fleet.talk(host),
        status => status,
    });
    let refused = statuses.iter().filter(|status| **status != 200).count();
    assert_eq!(refused, 0, "of {} callers, though other upstreams are free", statuses.len());
    assert_eq!((fleet.late(BUSY, since), fleet.late("r1", since)), (0, 0));
    assert!(!fleet.received("r1").is_empty(), "nothing was sent to the busy upstream at all");
}

/// Once its time has come an upstream is used again: it must not stand idle.
#[rstest]
fn an_upstream_is_used_again_after_its_time() {
    let fleet = Fleet::start(ONE, 6);
    fleet.standin.turn_away("r1", Some(REST));
    let turned_away = || !fleet.received("r1").is_empty();
    fleet.hosts[0].1.until("turned away", || fleet.look(0) == 200 && turned_away());
    let asked = time::Instant::now();
    fleet.standin.turn_away("r1", None);
    fleet.send_for(REST_TIME + time::Duration::from_secs(1), |host| fleet.look(host));
    let served = fleet.arrivals("r1", "h1", asked);
    assert!(served.len() > 10, "{served:?}");
}

/// Callers were refused since the budget of retries was used up by attempts at upstreams that had
/// asked for none, although others were free.
#[rstest]
fn callers_are_served_though_no_retry_is_left() {
    let settings = HostSettings { retry_slack: 4, ..HostSettings::default() };
    let fleet = Fleet::start_with(ONE, settings);
    fleet.standin.turn_away(BUSY, Some(REST));
    let statuses = fleet.send_for(REST_TIME, |host| fleet.talk(host));
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(counter(&fleet.hosts[0].1, "repeats_total") <= 2.0);
}

/// Long prompts: an engine that turned the host away gets no orders about memory, no parts to read,
/// and no questions for reports until its time.
#[rstest]
#[case::each_host_places(6)]
#[case::one_host_places(2)]
fn orders_parts_and_reports_wait_too(#[case] relay_hosts: u64) {
    let fleet = Fleet::start(&ZONES[..2], relay_hosts);
    // It refuses late, so that both hosts have sent it a prompt before they tell each other.
    fleet.standin.behavior(BUSY, Behavior::BusyBeforeHead);
    fleet.standin.turn_away(BUSY, Some("4"));
    let since = time::Instant::now();
    let statuses = fleet.send_for(PAUSE, |host| fleet.talk(host));
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    for (name, _) in &fleet.hosts {
        assert!(!fleet.arrivals(BUSY, name, since).is_empty(), "{name} was not turned away");
    }
    let (received, reports) = (fleet.received(BUSY).len(), fleet.standin.reports(BUSY));
    let more = "lagoonline-token-count: 300000,400\r\n";
    let statuses = fleet.send_for(REST_TIME, |host| fleet.send(host, "POST", "/review/a", more).0);
    assert!(statuses.contains(&200), "{statuses:?}");
    assert_eq!(fleet.received(BUSY).len(), received);
    assert_eq!(fleet.standin.reports(BUSY), reports);
    let address = fleet.standin.address(BUSY).to_string();
    let requests = fleet.standin.received_requests();
    let helpers = requests.iter().filter_map(|request| request.headers.get("lagoonline-helpers"));
    assert_eq!(helpers.filter(|helpers| helpers.contains(&address)).count(), 0);
}

/// All upstreams turned the host away: callers are refused at once and told when the first one wants
/// requests again, and those who come back then are served.
#[rstest]
fn callers_are_told_when_to_come_back_if_all_upstreams_turn_away() {
    let fleet = Fleet::start(ONE, 6);
    for name in ["r1", "r2"] {
        fleet.standin.turn_away(name, Some(REST));
    }
    let all_asked = || ["r1", "r2"].iter().all(|name| !fleet.received(name).is_empty());
    let began = time::Instant::now();
    while !all_asked() {
        assert!(began.elapsed() < REST_TIME);
        fleet.look(0);
    }
    let received = fleet.standin.received_requests().len();
    let asked = time::Instant::now();
    let mut told = Vec::new();
    for _ in 0..20 {
        let sent = time::Instant::now();
        let (status, head, body) = fleet.send(0, "GET", "/look/1", "");
        assert_eq!(status, 503, "{body}");
        assert!(body.contains("not-run"), "{body}");
        assert!(sent.elapsed() < time::Duration::from_millis(150), "{:?}", sent.elapsed());
        let field = head.lines().find_map(|line| line.strip_prefix("retry-after: ")).unwrap();
        told.push(sent + time::Duration::from_secs_f64(field.trim().parse().unwrap()));
    }
    assert_eq!(fleet.standin.received_requests().len(), received);
    let (first, last) = (told.iter().min().unwrap(), told.iter().max().unwrap());
    assert!(*first >= began + REST_TIME - PAUSE * 10, "{:?}", *first - began);
    assert!(*last <= asked + REST_TIME + time::Duration::from_secs(1), "{:?}", *last - asked);
    assert!(*last - *first > PAUSE, "all callers were told the same moment");
    for name in ["r1", "r2"] {
        fleet.standin.turn_away(name, None);
    }
    thread::sleep(*last - time::Instant::now());
    assert_eq!(fleet.look(0), 200);
}

/// A value that names no time, or none to wait for, must not keep requests away.
#[rstest]
fn a_time_that_cannot_be_read_changes_nothing(#[values("", "0", "-3", "soon", "NaN")] value: &str) {
    let fleet = Fleet::start(ONE, 6);
    fleet.standin.turn_away("r1", Some(value));
    let before = fleet.received("r1").len();
    fleet.hosts[0].1.until("sent again", || {
        fleet.look(0);
        fleet.received("r1").len() > before + 2
    });
}

/// Only refusals name a time for the upstream; what else has the header is about its request.
#[rstest]
fn other_answers_with_the_header_change_nothing(#[values(200, 413)] status: u16) {
    let fleet = Fleet::start(ONE, 6);
    fleet.standin.change_heads("r1", Some(status), &[("retry-after", "60")]);
    let before = fleet.received("r1").len();
    fleet.hosts[0].1.until("sent again", || {
        fleet.look(0);
        fleet.received("r1").len() > before + 2
    });
}

/// What an upstream asked for holds while its entry is removed and back, while its service is taken
/// away and back, and when the list is written anew. Only a later lifetime ends it.
#[rstest]
fn only_a_later_lifetime_ends_the_time_of_an_upstream() {
    let fleet = Fleet::start(ONE, 6);
    let host = &fleet.hosts[0].1;
    let since = time::Instant::now();
    fleet.standin.turn_away("r1", Some("30"));
    host.until("turned away", || fleet.look(0) == 200 && !fleet.received("r1").is_empty());
    let entry = fleet.standin.row("servers", "r1").unwrap();
    fleet.standin.remove("servers", "r1");
    fleet.send_for(time::Duration::from_millis(400), |host| fleet.look(host));
    fleet.standin.put("servers", "r1", &entry);
    fleet.send_for(time::Duration::from_millis(400), |host| fleet.look(host));
    let mut without = desired(2, &["k1"], 10_000);
    for list in ["Routes", "Services"] {
        let kept = without[list].as_array().unwrap().iter();
        let is_app =
            |value: &serde_json::Value| value["Name"] == "app" || value["Service"] == "app";
        without[list] = kept.filter(|value| !is_app(value)).cloned().collect();
    }
    fleet.standin.put("op", "config", &without);
    host.until("without the service", || fleet.look(0) == 404);
    fleet.standin.put("op", "config", &desired(3, &["k1"], 10_000));
    host.until("with the service", || fleet.look(0) == 200);
    fleet.send_for(time::Duration::from_millis(800), |host| fleet.look(host));
    assert_eq!(fleet.arrivals("r1", "h1", since).len(), 1);
    fleet.standin.turn_away("r1", None);
    let mut later = entry;
    later["born"] = json!(2);
    fleet.standin.put("servers", "r1", &later);
    host.until("used in its new lifetime", || {
        fleet.look(0);
        fleet.arrivals("r1", "h1", since).len() > 1
    });
}

/// A host without paths reaches an upstream through another one, from which the requests come as the
/// upstream sees it. Both then leave it alone, and neither helps the other around its time.
#[rstest]
fn a_host_that_carries_connections_is_bound_by_the_answers() {
    let standin = Standin::start();
    standin.put("op", "config", &desired(1, &["k1"], 10_000));
    for name in ["r1", "r2"] {
        standin.upstream(name, "app", 6);
    }
    let entrance = standin.entrance_with_paths();
    let settings = HostSettings { revoke_ms: 60_000, ..HostSettings::default() };
    let other = Host::join(&standin, HostSettings { name: "h2", ..settings });
    let cut = Host::join(
        &standin,
        HostSettings { name: "h1", store: Some(entrance.address), ..settings },
    );
    let hosts = vec![("h1", cut), ("h2", other)];
    let fleet = Fleet { standin, hosts, next: atomic::AtomicUsize::new(0) };
    entrance.set_paths(Mode::Reset);
    fleet.hosts[0].1.until("served through the other host", || fleet.look(0) == 200);
    let since = time::Instant::now();
    fleet.standin.turn_away("r1", Some("4"));
    let by_cut = || fleet.arrivals("r1", "h1", since).len();
    fleet.hosts[0].1.until("turned away", || fleet.look(0) == 200 && by_cut() > 0);
    thread::sleep(UNDER_WAY);
    let statuses = fleet.send_for(REST_TIME, |host| fleet.look(host));
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let received = fleet.received("r1").into_iter().filter(|request| request.at >= since);
    let received: Vec<_> = received.map(|request| request.at - since).collect();
    assert_eq!(received.len(), 1, "{received:?}");
}

/// A stream that broke off resumes elsewhere, and not at an engine that turned the host away.
#[rstest]
fn streams_resume_elsewhere() {
    let fleet = Fleet::start(ONE, 6);
    fleet.standin.turn_away(BUSY, Some("4"));
    let turned_away = || !fleet.received(BUSY).is_empty();
    fleet.hosts[0].1.until("turned away", || fleet.talk(0) == 200 && turned_away());
    fleet.standin.behavior("e2", Behavior::BreakAfter(3));
    let before = fleet.received(BUSY).len();
    let statuses = fleet.send_for(REST_TIME, |host| fleet.talk(host));
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert_eq!(fleet.received(BUSY).len(), before);
}

/// Returns when orders that begin with `operation` reached `upstream` after `since`.
fn orders(
    fleet: &Fleet,
    upstream: &str,
    operation: &str,
    since: time::Instant,
) -> Vec<time::Instant> {
    let is_order = |request: &ReceivedRequest| {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        request.path == "/api/order" && body.contains(operation)
    };
    let received = fleet.received(upstream).into_iter().filter(is_order);
    received.map(|request| request.at).filter(|at| *at >= since).collect()
}

/// An engine that holds memory for a running prompt turns its host away: orders wait until its time. If
/// the reservation would expire before, it is renewed once, at the last moment.
#[rstest]
#[case::time_within_the_reservation("1.5", 1_500, 0)]
#[case::time_beyond_the_reservation("30", 2_400, 1)]
fn orders_for_memory_in_use_wait(
    #[case] retry_after: &str,
    #[case] watched_ms: u64,
    #[case] allowed: usize,
) {
    let fleet = Fleet::start(ONE, 6);
    for name in [BUSY, "e2", "e3"] {
        fleet.standin.behavior(name, Behavior::HangAfter(3));
    }
    let since = time::Instant::now();
    let watched = time::Duration::from_millis(watched_ms);
    thread::scope(|scope| {
        let more = "lagoonline-token-count: 300000,400\r\n";
        scope.spawn(|| fleet.send(0, "POST", "/review/a", more));
        let holds = |name: &&str| !orders(&fleet, name, "reserve", since).is_empty();
        let helper = || [BUSY, "e2", "e3"].into_iter().rfind(|name| holds(name));
        fleet.hosts[0].1.until("reserved", || helper().is_some());
        thread::sleep(time::Duration::from_millis(200));
        let helper = helper().unwrap();
        let reserved = orders(&fleet, helper, "reserve", since).len();
        fleet.standin.turn_away(helper, Some(retry_after));
        let turned_away = || orders(&fleet, helper, "reserve", since).len() > reserved;
        fleet.hosts[0].1.until("turned away", turned_away);
        let asked = orders(&fleet, helper, "reserve", since)[reserved];
        thread::sleep(watched);
        let late = |at: &&time::Instant| **at > asked && **at < asked + watched;
        let orders = |operation| orders(&fleet, helper, operation, since);
        assert!(orders("reserve").iter().filter(late).count() <= allowed);
        assert_eq!(orders("release").iter().filter(late).count(), 0);
        if allowed == 0 {
            fleet.standin.turn_away(helper, None);
            let is_told = || orders("re").iter().any(|at| *at >= asked + watched);
            fleet.hosts[0].1.until("told again", is_told);
        }
    });
}

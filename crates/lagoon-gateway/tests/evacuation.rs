//! Tests of zones that operators evacuate, and of requests that may only be processed in some
//! regions.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

mod scheduler;

use std::io::{Read, Write};
use std::net;
use std::sync::atomic;
use std::thread;
use std::time;

use prost::Message;
use rstest::rstest;
use serde_json::json;

use host::{Host, HostSettings, all_events, desired, send_request_for_head};
use standin::path::Mode;
use standin::{Behavior, ReceivedRequest, Standin};

/// Time after an evacuation or its end after which hosts act on it: a part of the bound of 5 s.
const LEARN_TIME: time::Duration = time::Duration::from_millis(1_500);
/// Time for which requests are sent after that.
const WATCH_TIME: time::Duration = time::Duration::from_secs(2);
/// The zone that is evacuated. Its upstreams are preferred before: the replica by hosts of the zone,
/// the engine since it comes first by name.
const EVACUATED: &str = "a";
/// Pause between two requests.
const PAUSE: time::Duration = time::Duration::from_millis(10);
/// Time within which a request that has no zone is refused: it does not wait.
const REFUSAL_TIME: time::Duration = time::Duration::from_millis(500);
/// Regions of the zones, and that of the host. The region of zone `d` is unknown.
const REGIONS: &str = "Region: east\nZones: {a: east, b: west, c: north}\n";

/// Starts a stand-in with an engine `eZ` and a replica `rZ` in each zone Z of `zones`.
fn start(zones: &[&str]) -> Standin {
    let standin = Standin::start();
    standin.put("op", "config", &desired(1, &["k1"], 10_000));
    for zone in zones {
        add(&standin, &format!("e{zone}"), "llm", zone);
        add(&standin, &format!("r{zone}"), "app", zone);
    }
    standin
}

/// Starts an upstream in `zone`.
fn add(standin: &Standin, name: &str, service: &str, zone: &str) {
    standin.upstream(name, service, 16);
    let mut entry = standin.row("servers", name).unwrap();
    entry["Zone"] = json!(zone);
    entry["Sequence"] = json!(2);
    standin.put("servers", name, &entry);
}

/// Settings of a host that may lose the platform: its keys stay valid.
fn settings<'a>(name: &'a str, zone: &'a str, relay_hosts: u64) -> HostSettings<'a> {
    HostSettings { name, zone, relay_hosts, revoke_ms: 60_000, ..HostSettings::default() }
}

fn evacuate(standin: &Standin, zone: &str) {
    standin.put("op", &format!("evacuate/{zone}"), &json!({}));
}

fn take_back(standin: &Standin, zone: &str) {
    standin.remove("op", &format!("evacuate/{zone}"));
}

/// Sends a request to each service. Returns the statuses of the answers.
fn call_both(host: &Host) -> [u16; 2] {
    [host.call("GET", "/look/1", "k1", "").0, host.talk().0]
}

/// Sends requests through all hosts until `is_over`, and returns how many were not served.
fn send_until<Over>(hosts: &[Host], is_over: Over) -> usize
where
    Over: Fn() -> bool + Sync,
{
    let unserved = atomic::AtomicUsize::new(0);
    let (is_over, unserved) = (&is_over, &unserved);
    thread::scope(|scope| {
        for host in hosts {
            scope.spawn(move || {
                while !is_over() {
                    let failed = call_both(host).into_iter().filter(|status| *status != 200);
                    unserved.fetch_add(failed.count(), atomic::Ordering::SeqCst);
                    thread::sleep(PAUSE);
                }
            });
        }
    });
    unserved.load(atomic::Ordering::SeqCst)
}

fn send_for(hosts: &[Host], span: time::Duration) -> usize {
    let until = time::Instant::now() + span;
    send_until(hosts, || time::Instant::now() >= until)
}

/// Begin of the paths of calls of the platform's store.
const STORE_CALL: &str = "/api/rows-";

/// Returns the requests that reached upstreams of `zone` after `since`, orders included. The host of a
/// test that has ended may still call its store, at a port that an upstream has now.
fn arrivals(standin: &Standin, zone: &str, since: time::Instant) -> Vec<ReceivedRequest> {
    let is_in_zone = |request: &ReceivedRequest| {
        let entry = standin.row("servers", &request.upstream).unwrap();
        let is_for_store = request.path.starts_with(STORE_CALL);
        entry["Zone"] == zone && request.at >= since && !is_for_store
    };
    standin.received_requests().into_iter().filter(is_in_zone).collect()
}

/// Sends requests through `hosts` until each service of `zone` has had one.
fn send_until_used(standin: &Standin, hosts: &[Host], zone: &str) {
    let since = time::Instant::now();
    let is_used = || {
        let names: std::collections::BTreeSet<_> =
            arrivals(standin, zone, since).into_iter().map(|request| request.upstream).collect();
        names.len() == 2
    };
    let until = since + host::STEP_TIMEOUT;
    send_until(hosts, || is_used() || time::Instant::now() >= until);
    assert!(is_used(), "zone {zone} is not used");
}

const ONE: &[(&str, &str)] = &[("h1", "a")];
const ZONES: &[(&str, &str)] = &[("h1", "a"), ("h2", "a"), ("h3", "b"), ("h4", "b")];

/// A zone is evacuated and returned under load. Its upstreams must get nothing of any service, load
/// reports included, no caller may notice, and the zone must not stand idle afterwards.
#[rstest]
#[case::one_host(ONE, 6)]
#[case::each_host_places(ZONES, 6)]
#[case::one_host_of_a_zone_places(ZONES, 2)]
fn an_evacuated_zone_gets_nothing_until_it_is_returned(
    #[case] hosts: &[(&str, &str)],
    #[case] relay_hosts: u64,
) {
    let standin = start(&["a", "b"]);
    let join =
        |(name, zone): &(&str, &str)| Host::join(&standin, settings(name, zone, relay_hosts));
    let hosts: Vec<_> = hosts.iter().map(join).collect();
    send_until_used(&standin, &hosts, EVACUATED);
    evacuate(&standin, EVACUATED);
    let since = time::Instant::now() + LEARN_TIME;
    assert_eq!(send_for(&hosts, LEARN_TIME), 0, "unserved while hosts learn of it");
    let reports = standin.reports("ea");
    assert_eq!(send_for(&hosts, WATCH_TIME), 0, "unserved though zone b serves");
    let late = arrivals(&standin, EVACUATED, since);
    assert!(late.is_empty(), "{} requests, the first {:?}", late.len(), late.first());
    assert_eq!(standin.reports("ea"), reports);
    take_back(&standin, EVACUATED);
    send_until_used(&standin, &hosts, EVACUATED);
}

/// A host starts while a zone is evacuated. It must know that before it takes its first request.
#[rstest]
fn a_host_that_starts_sends_nothing_to_an_evacuated_zone() {
    let standin = start(&["a", "b"]);
    evacuate(&standin, EVACUATED);
    let began = time::Instant::now();
    let hosts = [Host::join(&standin, settings("h1", EVACUATED, 6))];
    assert_eq!(send_for(&hosts, WATCH_TIME), 0);
    let sent = arrivals(&standin, EVACUATED, began);
    assert!(sent.is_empty(), "{} requests", sent.len());
}

/// A host loses the platform before a zone is evacuated. It must learn of that, and of its end, from
/// the other hosts, as far as it hears them.
#[rstest]
fn a_host_without_the_platform_learns_of_evacuations_from_others() {
    let standin = start(&["a", "b"]);
    let entrance = standin.entrance();
    let store = Some(entrance.address);
    let hosts = [Host::join(&standin, HostSettings { store, ..settings("h1", "a", 6) })];
    let _other = Host::join(&standin, settings("h2", "b", 6));
    send_until_used(&standin, &hosts, EVACUATED);
    entrance.set_closed(true);
    thread::sleep(LEARN_TIME);
    evacuate(&standin, EVACUATED);
    let since = time::Instant::now() + LEARN_TIME;
    assert_eq!(send_for(&hosts, LEARN_TIME + WATCH_TIME), 0);
    let late = arrivals(&standin, EVACUATED, since);
    assert!(late.is_empty(), "{} requests", late.len());
    take_back(&standin, EVACUATED);
    send_until_used(&standin, &hosts, EVACUATED);
}

/// A host loses the platform while a zone is evacuated, and no other host tells it more. It must
/// keep to what it knows, and follow the platform when that answers again, which by then has
/// forgotten its history.
#[rstest]
fn a_host_without_the_platform_keeps_to_the_evacuations_that_it_knows() {
    let standin = start(&["a", "b"]);
    let entrance = standin.entrance();
    let store = Some(entrance.address);
    let hosts = [Host::join(&standin, HostSettings { store, ..settings("h1", "a", 6) })];
    evacuate(&standin, EVACUATED);
    thread::sleep(LEARN_TIME);
    let since = time::Instant::now();
    entrance.set_closed(true);
    take_back(&standin, EVACUATED);
    assert_eq!(send_for(&hosts, WATCH_TIME), 0);
    assert_eq!(arrivals(&standin, EVACUATED, since).len(), 0);
    standin.forget_history();
    entrance.set_closed(false);
    send_until_used(&standin, &hosts, EVACUATED);
}

/// Sends a request and checks that it is refused at once, not run, with a time to come back.
fn check_refused(host: &Host, method: &str, path: &str, more: &str) {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n\
         content-length: 0\r\n{more}\r\n"
    );
    let began = time::Instant::now();
    let (status, head, body) = send_request_for_head(host.callers, &head);
    assert_eq!(status, 503, "{path}: {body}");
    assert!(body.contains("not-run"), "{path}: {body}");
    assert!(began.elapsed() < REFUSAL_TIME, "{path}: after {:?}", began.elapsed());
    let after = head.lines().find_map(|line| line.strip_prefix("retry-after: "));
    assert!(after.is_some_and(|after| after.parse::<f64>().unwrap() >= 1.0), "{path}: {head}");
}

/// All zones are evacuated: requests of every kind are refused at once, guaranteed not run, with a
/// time to come back. Waiting until the deadline, or 502, would cost callers more.
#[rstest]
#[case::one_host(ONE, 6)]
#[case::one_host_of_a_zone_places(ZONES, 2)]
fn without_a_zone_requests_are_refused_and_never_run(
    #[case] hosts: &[(&str, &str)],
    #[case] relay_hosts: u64,
) {
    let standin = start(&["a", "b"]);
    evacuate(&standin, "a");
    evacuate(&standin, "b");
    let join =
        |(name, zone): &(&str, &str)| Host::join(&standin, settings(name, zone, relay_hosts));
    let hosts: Vec<_> = hosts.iter().map(join).collect();
    for host in &hosts {
        check_refused(host, "GET", "/look/1", "");
        check_refused(host, "POST", "/book/1", "");
        check_refused(host, "POST", "/talk/a", "lagoonline-token-count: 5000,400\r\n");
        check_refused(host, "POST", "/review/a", "lagoonline-token-count: 300000,400\r\n");
    }
    assert_eq!(standin.received_requests().len(), 0);
    take_back(&standin, "a");
    send_until_used(&standin, &hosts, "a");
    assert_eq!(arrivals(&standin, "b", time::Instant::now() - host::STEP_TIMEOUT).len(), 0);
}

/// The zone of a long prompt is evacuated while its answer is under way. The answer must come whole
/// from the same engine, and its memory there must be released.
#[rstest]
fn a_stream_under_way_ends_whole() {
    let standin = start(&["a"]);
    standin.behavior("ea", Behavior::SlowEvents);
    let host = Host::join(&standin, settings("h1", "a", 6));
    let prompt = "lagoonline-token-count: 150000,400\r\n";
    let answer = thread::scope(|scope| {
        let caller = scope.spawn(|| host.call("POST", "/talk/a", "k1", prompt));
        let has_begun =
            || standin.received_requests().iter().any(|request| request.path == "/talk/a");
        host.until("sent", has_begun);
        evacuate(&standin, "a");
        caller.join().unwrap()
    });
    assert_eq!(answer, (200, all_events()));
    let is_release = |request: &ReceivedRequest| {
        request.path == "/api/order" && String::from_utf8_lossy(&request.body).contains("release")
    };
    host.until("released", || standin.received_requests().iter().any(is_release));
    check_refused(&host, "POST", "/talk/a", prompt);
    let prompts = standin.received_requests();
    assert_eq!(prompts.iter().filter(|request| request.path == "/talk/a").count(), 1);
}

/// The engine of a stream stops responding after its zone was evacuated. The stream must go on in
/// another zone, although an engine of the same zone is idle.
#[rstest]
fn a_resumed_stream_goes_to_another_zone() {
    let standin = start(&["a", "b"]);
    // Comes before the engine of zone b in the order of engines.
    add(&standin, "da", "llm", "a");
    for engine in ["da", "ea"] {
        standin.behavior(engine, Behavior::HangAfter(3));
    }
    // Makes the stream begin in zone a.
    evacuate(&standin, "b");
    let host = Host::join(&standin, settings("h1", "a", 6));
    let answer = thread::scope(|scope| {
        let caller = scope.spawn(|| host.talk());
        host.until("sent", || !standin.received_requests().is_empty());
        evacuate(&standin, "a");
        take_back(&standin, "b");
        caller.join().unwrap()
    });
    assert_eq!(answer, (200, all_events()));
    let engines: Vec<_> =
        standin.received_requests().into_iter().map(|request| request.upstream).collect();
    assert_eq!(engines.len(), 2, "{engines:?}");
    assert_eq!(engines[1], "eb");
}

/// The host that places a zone's requests has not heard of an evacuation. A host that knows of it
/// must not follow, and places its requests itself.
#[rstest]
fn a_scheduler_that_knows_less_is_not_followed() {
    let standin = start(&["a", "b"]);
    // A smaller share of a core than that of the stand-in, which then ranks first.
    let more = "Limits:\n  CpuShare: 0.5\n";
    let host = Host::join(&standin, HostSettings { more, ..settings("h1", "a", 2) });
    evacuate(&standin, "a");
    thread::sleep(LEARN_TIME);
    let scheduler = scheduler::Scheduler::start(&standin, "ra");
    host.until("asked", || {
        assert_eq!(host.call("GET", "/look/1", "k1", ""), (200, "done by rb".to_owned()));
        scheduler.question_count() > 0
    });
}

/// Returns a desired state in which `/look/` may only be processed in these regions.
fn desired_at_home(version: u64, regions: &[&str]) -> serde_json::Value {
    let mut desired = desired(version, &["k1"], 10_000);
    let routes = desired["Routes"].as_array_mut().unwrap();
    let look = routes.iter_mut().find(|route| route["Name"] == "look").unwrap();
    look["AllowedRegions"] = json!(regions);
    desired
}

/// A request may only be processed in one region. It must not reach a zone of another one or of none,
/// whoever places it, and is refused where that region has no upstream.
#[rstest]
#[case::each_host_places(6)]
#[case::one_host_of_a_zone_places(2)]
fn a_request_reaches_only_its_homes(#[case] relay_hosts: u64) {
    let standin = start(&["a", "b", "d"]);
    standin.put("op", "config", &desired_at_home(2, &["west"]));
    let join = |name| {
        Host::join(&standin, HostSettings { more: REGIONS, ..settings(name, "a", relay_hosts) })
    };
    let hosts = ["h1", "h2"].map(join);
    for _ in 0..30 {
        for host in &hosts {
            let answer = host.call("GET", "/look/1", "k1", "");
            assert_eq!(answer, (200, "done by rb".to_owned()));
        }
    }
    evacuate(&standin, "b");
    thread::sleep(LEARN_TIME);
    for host in &hosts {
        check_refused(host, "GET", "/look/1", "");
        let (status, body) = host.call("POST", "/book/1", "k1", "content-length: 0\r\n");
        assert_eq!(status, 200, "a request without homes: {body}");
    }
    let looks = standin.received_requests();
    let looks = looks.iter().filter(|request| request.path == "/look/1");
    assert!(looks.into_iter().all(|request| request.upstream == "rb"));
}

/// A host without paths of its own sends through other hosts. The body of a request with homes must
/// not pass through a host of a third region, but one of a home region may carry it.
#[rstest]
#[case::third_region("c", 503)]
#[case::home_region("b", 200)]
#[case::own_region("a", 200)]
fn a_body_passes_only_through_hosts_of_its_homes(#[case] carrier: &str, #[case] expected: u16) {
    let standin = start(&["b"]);
    standin.put("op", "config", &desired_at_home(2, &["west"]));
    let entrance = standin.entrance_with_paths();
    let store = Some(entrance.address);
    let host =
        Host::join(&standin, HostSettings { store, more: REGIONS, ..settings("h1", "a", 6) });
    let _carrier =
        Host::join(&standin, HostSettings { more: REGIONS, ..settings("h2", carrier, 6) });
    let book = || host.call("POST", "/book/1", "k1", "content-length: 0\r\n").0;
    assert_eq!(book(), 200);
    entrance.set_paths(Mode::Reset);
    host.until("served through the other host", || book() == 200);
    let began = time::Instant::now();
    let status = host.call("GET", "/look/1", "k1", "").0;
    assert_eq!(status, expected);
    let looks = standin.received_requests();
    let looks = looks.iter().filter(|request| request.path == "/look/1" && request.at >= began);
    assert_eq!(looks.count(), usize::from(expected == 200));
}

/// The request for a connection, and its answer, as far as the test needs them.
#[derive(Clone, PartialEq, prost::Message)]
struct Request {
    #[prost(message, optional, tag = "4")]
    open: Option<Open>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Open {
    #[prost(string, tag = "1")]
    upstream: String,
    #[prost(uint64, tag = "2")]
    life: u64,
    #[prost(uint32, tag = "3")]
    timeout_ms: u32,
    #[prost(string, tag = "5")]
    service: String,
    #[prost(bool, tag = "7")]
    running: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Response {
    #[prost(message, optional, tag = "2")]
    opened: Option<Answer>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Answer {
    #[prost(int32, tag = "1")]
    outcome: i32,
}

/// Asks the host that answers relay requests at `address` for a connection to the replica of zone a.
fn ask_for_connection(address: &str, running: bool) -> i32 {
    let (upstream, service) = ("ra".to_owned(), "app".to_owned());
    let open = Open { upstream, life: 1, timeout_ms: 200, service, running };
    let message = Request { open: Some(open) }.encode_to_vec();
    let mut stream = net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(host::STEP_TIMEOUT)).unwrap();
    stream.write_all(&u32::try_from(message.len()).unwrap().to_be_bytes()).unwrap();
    stream.write_all(&message).unwrap();
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut answer = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut answer).unwrap();
    Response::decode(&answer[..]).unwrap().opened.unwrap().outcome
}

/// A host that has not heard of an evacuation asks one that has for a connection to the zone. It must
/// get none for new work, and one to renew or release the memory of a running request.
#[rstest]
fn a_connection_to_an_evacuated_zone_is_opened_only_for_running_requests() {
    const OPENED: i32 = 1;
    const ZONE_EVACUATED: i32 = 10;
    let standin = start(&["a", "b"]);
    let host = Host::join(&standin, settings("h1", "a", 6));
    host.until("registered", || standin.row("lagoon-hosts", "h1").is_some());
    let address = standin.row("lagoon-hosts", "h1").unwrap()["reader"].as_str().unwrap().to_owned();
    assert_eq!(ask_for_connection(&address, false), OPENED);
    evacuate(&standin, EVACUATED);
    thread::sleep(LEARN_TIME);
    assert_eq!(ask_for_connection(&address, false), ZONE_EVACUATED);
    assert_eq!(ask_for_connection(&address, true), OPENED);
}

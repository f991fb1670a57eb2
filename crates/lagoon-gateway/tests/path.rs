//! Tests of the whole request path over sockets, with a stand-in of the platform's store and
//! upstreams. Engines answer streamed prompts (`talk`, `review`); replicas of a plain service
//! answer bookings, which may run only once, and lookups, which are idempotent.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::io::{Read, Write};
use std::net;
use std::time;

use rstest::rstest;
use serde_json::json;

use host::{Host, HostSettings, STEP_TIMEOUT, all_events, desired, send_request};
use standin::{Behavior, Standin, event};

/// Without faults a stream, a booking and a lookup are answered completely. The upstream is given
/// the customer but never the key, and the time that is left.
#[rstest]
fn requests_are_served_without_faults() {
    let host = Host::start();
    assert_eq!(host.talk(), (200, all_events()));
    let (status, body) = host.call("POST", "/book/1", "k1", "content-length: 0\r\n");
    assert!(status == 200 && body.starts_with("done by r"), "{status} {body}");
    assert_eq!(host.call("GET", "/look/1?q=2", "k1", "").0, 200);
    for request in host.standin.received_requests() {
        assert_eq!(request.headers["lagoonline-tenant"], "c1");
        assert!(!request.headers.contains_key("authorization"));
        assert_eq!(request.headers["lagoonline-target-instance"], request.upstream);
        let left: u64 = request.headers["lagoonline-request-deadline"].parse().unwrap();
        assert!(left <= 8_000, "{left} ms handed on");
    }
    assert!(host.standin.received_requests().iter().any(|request| request.path == "/look/1?q=2"));
}

/// A booking's body reaches the replica unchanged. Its length is 11 bytes, so the last byte that is
/// sent does not belong to it.
#[rstest]
fn a_body_is_passed_on_unchanged() {
    let host = Host::start();
    let more = "content-type: text/plain\r\ncontent-length: 11\r\n\r\ntwo\r\n\r\nlines";
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
         authorization: Token k1\r\n{more}"
    );
    assert_eq!(send_request(host.callers, &head).0, 200);
    assert_eq!(host.standin.received_requests()[0].body, b"two\r\n\r\nlines"[..11]);
}

/// The only engine runs a request and its answer is lost. The caller must get 502, since 503 would
/// promise that the request has not run.
#[rstest]
fn a_lost_request_is_not_reported_as_not_run() {
    let host = Host::start();
    host.standin.remove("servers", "e2");
    std::thread::sleep(time::Duration::from_millis(500));
    host.standin.behavior("e1", Behavior::DropAnswer);
    assert_eq!(host.talk().0, 502);
    assert_eq!(host.ran_count(), 1);
}

/// The caller of a stream disconnects. The engine must stop within half a second, so that the
/// abandoned work does not delay other requests.
#[rstest]
fn the_engine_stops_when_the_caller_leaves() {
    let host = Host::start();
    host.standin.behavior("e1", Behavior::SlowEvents);
    host.standin.behavior("e2", Behavior::SlowEvents);
    let mut stream = net::TcpStream::connect(host.callers).unwrap();
    let head = "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
         authorization: Token k1\r\nlagoonline-token-count: 5000,400\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let mut buffer = [0; 64];
    assert!(stream.read(&mut buffer).unwrap() > 0);
    drop(stream);
    host.until("stopped", || host.standin.stopped() == 1);
}

/// A long prompt reserves its memory before it is sent, and releases it when the answer has ended.
#[rstest]
fn memory_of_a_long_prompt_is_released() {
    let host = Host::start();
    let call = host.call("POST", "/talk/a", "k1", "lagoonline-token-count: 150000,400\r\n");
    assert_eq!(call, (200, all_events()));
    let orders = || -> Vec<serde_json::Value> {
        let requests = host.standin.received_requests();
        let orders = requests.iter().filter(|request| request.path == "/api/order");
        orders.map(|request| serde_json::from_slice(&request.body).unwrap()).collect()
    };
    host.until("released", || orders().iter().any(|order| order["Op"] == "release"));
    let orders = orders();
    assert_eq!(orders[0]["Op"], "reserve");
    assert!(orders.iter().all(|order| order["Id"] == orders[0]["Id"]));
    let sent = host.standin.received_requests();
    let named = sent.iter().find_map(|request| request.headers.get("lagoonline-helpers")).unwrap();
    assert!(named.contains(orders[0]["Id"].as_str().unwrap()), "{named} names no reservation");
}

/// A prompt larger than one engine is prefilled by two, and the engine that has to answer stops
/// responding. The caller still waits, but the memory on the helper must not be renewed: it has to
/// be free within the bound on unused memory, not only after the host's own timeout.
#[rstest]
fn memory_is_not_renewed_for_an_unresponsive_engine() {
    let host = Host::start();
    for name in ["e1", "e2"] {
        host.standin.behavior(name, Behavior::IgnorePrompts);
    }
    let (callers, standin) = (host.callers, host.standin.clone());
    let head = "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
        authorization: Token k1\r\nlagoonline-request-deadline: 9000\r\n\
        lagoonline-token-count: 300000,400\r\n\r\n";
    let caller = std::thread::spawn(move || send_request(callers, head));
    let prompt =
        || standin.received_requests().into_iter().find(|request| request.path == "/talk/a");
    host.until("sent", || prompt().is_some());
    let first = prompt().unwrap().upstream;
    standin.behavior(&first, Behavior::IgnoreAll);
    let renewals = || {
        let requests = standin.received_requests();
        let orders = requests
            .iter()
            .filter(|request| request.path == "/api/order" && request.upstream != first);
        orders.filter(|request| String::from_utf8_lossy(&request.body).contains("reserve")).count()
    };
    let before = renewals();
    assert_eq!(before, 1, "reserved on the engine that helps");
    std::thread::sleep(time::Duration::from_secs(3));
    assert_eq!(renewals(), before, "renewed for an engine that is gone");
    drop(host);
    drop(caller.join());
}

/// An engine crashes in the middle of an event. The caller must get one complete stream: the
/// partial event is dropped, and the other engine resumes after the last event that was forwarded.
#[rstest]
fn a_stream_resumes_on_another_engine() {
    let host = Host::start();
    host.standin.behavior("e1", Behavior::BreakAfter(4));
    host.standin.behavior("e2", Behavior::BreakAfter(4));
    let change = host.standin.clone();
    // The engine that gets the request first breaks off; the other answers completely from then on.
    std::thread::spawn(move || {
        while change.received_requests().is_empty() {
            std::thread::sleep(time::Duration::from_millis(1));
        }
        let first = change.received_requests()[0].upstream.clone();
        let other = if first == "e1" { "e2" } else { "e1" };
        change.behavior(other, Behavior::Complete);
    });
    let (status, body) = host.talk();
    assert_eq!((status, body), (200, all_events()));
    let requests = host.standin.received_requests();
    assert_eq!(requests[1].headers["last-event-id"], "4");
}

/// Both engines break off. The stream must end without its terminating chunk and without bytes that
/// no engine sent, so that it does not look complete.
#[rstest]
fn a_stream_that_cannot_resume_is_cut() {
    let host = Host::start();
    host.standin.behavior("e1", Behavior::BreakAfter(2));
    host.standin.behavior("e2", Behavior::BreakAfter(2));
    let (status, body) = host.talk();
    let expected: String = (1..=2).map(event).collect();
    assert_eq!((status, body), (200, expected + " CUT"));
}

/// A replica runs a booking and its answer is lost. The caller must get 502, which promises
/// nothing, and the booking must not be sent again: a second run would book twice.
#[rstest]
fn a_booking_whose_answer_is_lost_runs_once() {
    let host = Host::start();
    host.standin.behavior("r1", Behavior::DropAnswer);
    host.standin.behavior("r2", Behavior::DropAnswer);
    assert_eq!(host.call("POST", "/book/1", "k1", "content-length: 0\r\n").0, 502);
    assert_eq!(host.ran_count(), 1);
}

/// Both replicas report that they did not run a booking. The caller must get 503, which promises
/// that it has not run.
#[rstest]
fn a_refused_booking_is_reported_as_not_run() {
    let host = Host::start();
    host.standin.behavior("r1", Behavior::Refuse);
    host.standin.behavior("r2", Behavior::Refuse);
    assert_eq!(host.call("POST", "/book/1", "k1", "content-length: 0\r\n").0, 503);
    assert_eq!(host.ran_count(), 0);
}

/// A lookup is idempotent: when the first replica loses its answer, the second one's answer is
/// returned.
#[rstest]
fn a_lookup_is_retried() {
    let host = Host::start();
    host.standin.behavior("r1", Behavior::DropAnswer);
    assert_eq!(host.call("GET", "/look/1", "k1", "").0, 200);
}

/// An answer without the upstream's signature may come from anyone and must not be forwarded as a
/// success.
#[rstest]
fn an_unsigned_answer_is_not_forwarded() {
    let host = Host::start();
    host.standin.behavior("r1", Behavior::Unsigned);
    host.standin.behavior("r2", Behavior::Unsigned);
    assert_eq!(host.call("POST", "/book/1", "k1", "content-length: 0\r\n").0, 502);
}

/// A replica registers as leaving. From then on all requests must go to the other one.
#[rstest]
fn a_leaving_upstream_gets_no_new_requests() {
    let host = Host::start();
    let entry = json!({"Service": "app", "Address": "127.0.0.1:1", "Zone": "a", "Slots": 6,
        "State": "draining"});
    host.standin.put("servers", "r1", &entry);
    std::thread::sleep(time::Duration::from_millis(500));
    for _ in 0..8 {
        assert_eq!(host.call("GET", "/look/1", "k1", "").0, 200);
    }
    assert!(host.standin.received_requests().iter().all(|request| request.upstream == "r2"));
}

/// A new version removes a route and revokes a key. Both must be refused from then on, and an older
/// version that is written later must not restore them.
#[rstest]
fn a_new_desired_state_is_applied() {
    let host = Host::start();
    assert_eq!(host.call("GET", "/look/1", "k1", "").0, 200);
    host.standin.put("op", "config", &desired(3, &["k2"], 10_000));
    host.until("revoked", || host.call("GET", "/look/1", "k1", "").0 == 401);
    assert_eq!(host.call("GET", "/look/1", "k2", "").0, 200);
    host.standin.put("op", "config", &desired(2, &["k1"], 10_000));
    std::thread::sleep(time::Duration::from_millis(300));
    assert_eq!(host.call("GET", "/look/1", "k1", "").0, 401);
    assert_eq!(host.call("GET", "/nowhere/1", "k2", "").0, 404);
}

/// The platform is down for longer than the key revocation bound. Requests with a key must be
/// refused as not run, since the key may have been revoked meanwhile, and served again after the
/// recovery.
#[rstest]
fn keys_are_refused_after_the_revocation_bound() {
    let host = Host::start();
    host.standin.set_down(true);
    host.until("refused", || host.call("GET", "/look/1", "k1", "").0 == 503);
    let before = host.ran_count();
    assert_eq!(host.call("GET", "/look/1", "k1", "").0, 503);
    assert_eq!(host.ran_count(), before);
    host.standin.set_down(false);
    host.until("served", || host.call("GET", "/look/1", "k1", "").0 == 200);
}

/// The host is drained while a stream is running: it reports not ready, the stream ends completely,
/// and then the process ends.
#[rstest]
fn a_drain_cuts_no_stream() {
    let mut host = Host::start();
    host.standin.behavior("e1", Behavior::SlowEvents);
    host.standin.behavior("e2", Behavior::SlowEvents);
    let running = host.running.take().unwrap();
    let callers = host.callers;
    let stream = std::thread::spawn(move || {
        let head = "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
             authorization: Token k1\r\nlagoonline-token-count: 5000,400\r\n\r\n";
        send_request(callers, head)
    });
    host.until("streaming", || !host.standin.received_requests().is_empty());
    running.handle().drain();
    host.until("unready", || host.readiness() == 503);
    assert_eq!(stream.join().unwrap(), (200, all_events()));
    running.wait().unwrap();
}

/// An engine reports that it works four times slower than published. Prompts must go to the other
/// engine within some seconds, and to this one again after it reports its usual speed.
#[rstest]
fn a_slow_engine_gets_no_new_requests() {
    let host = Host::start();
    let talks_to = |name: &str| {
        (0..6).any(|_| {
            assert_eq!(host.talk(), (200, all_events()));
            host.standin.received_requests().last().is_some_and(|request| request.upstream == name)
        })
    };
    host.until("used", || talks_to("e1"));
    host.standin.behavior("e1", Behavior::ReportSlowness);
    host.until("left alone", || !talks_to("e1"));
    host.standin.behavior("e1", Behavior::Complete);
    host.until("used again", || talks_to("e1"));
}

/// A helper engine is down but still listed, and the first engine of a long prompt refuses the
/// request and names that helper. The prompt must be retried without that helper at once; otherwise
/// it would be refused three times and rejected.
#[rstest]
fn a_dead_helper_is_left_out() {
    let host = Host::start();
    for name in ["e3", "e4", "e5", "e6", "e7", "e8"] {
        host.standin.upstream(name, "llm", 16);
    }
    std::thread::sleep(time::Duration::from_millis(500));
    host.standin.behavior("e5", Behavior::NoHelp);
    for _ in 0..4 {
        let call = host.call("POST", "/talk/a", "k1", "lagoonline-token-count: 100000,400\r\n");
        assert_eq!(call, (200, all_events()));
    }
    let prompts = host
        .standin
        .received_requests()
        .into_iter()
        .filter(|request| request.path == "/talk/a" && request.ran);
    assert_eq!(prompts.count(), 4);
}

/// The platform refuses this host for longer than the key revocation bound but serves another host,
/// which reports it. A caller that is refused here must be told to retry at once, since the other
/// host can serve it; while no host can, it must be told to wait.
#[rstest]
fn callers_are_sent_to_hosts_that_can_trust_keys() {
    let host = Host::start();
    host.until("registered", || host.standin.row("lagoon-hosts", "h1").is_some());
    let row = host.standin.row("lagoon-hosts", "h1").unwrap();
    let address: net::SocketAddr = row["address"].as_str().unwrap().parse().unwrap();
    host.standin.set_down(true);
    host.until("refused", || host.call("GET", "/look/1", "k1", "").0 == 503);
    let retry_after = || -> f64 {
        let head = "GET /look/1 HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
             authorization: Token k1\r\nconnection: close\r\n\r\n";
        let mut stream = net::TcpStream::connect(host.callers).unwrap();
        stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        stream.write_all(head.as_bytes()).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let text = text.to_ascii_lowercase();
        let line = text.lines().find_map(|line| line.strip_prefix("retry-after: "));
        line.unwrap().trim().parse().unwrap()
    };
    assert!(retry_after() >= 0.3, "sent away though no host can serve");
    // A batch without updates: host number 7, confirmed 0 ms ago.
    let batch = [9, 7, 0, 0, 0, 0, 0, 0, 0, 0x18, 0];
    let peer = net::UdpSocket::bind("127.0.0.1:0").unwrap();
    host.until("sent on", || {
        peer.send_to(&batch, address).unwrap();
        retry_after() <= 0.05
    });
}

/// A request that does not end must not keep the process running beyond its grace time.
#[rstest]
fn a_drain_ends_within_the_grace_time() {
    let mut host = Host::start();
    host.standin.behavior("e1", Behavior::SlowEvents);
    host.standin.behavior("e2", Behavior::SlowEvents);
    host.standin.behavior("r1", Behavior::IgnoreAll);
    host.standin.behavior("r2", Behavior::IgnoreAll);
    let callers = host.callers;
    let booking = std::thread::spawn(move || {
        let head = "POST /book/1 HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
             authorization: Token k1\r\ncontent-length: 0\r\n\r\n";
        send_request(callers, head)
    });
    host.until("sent", || !host.standin.received_requests().is_empty());
    let running = host.running.take().unwrap();
    let began = time::Instant::now();
    running.handle().drain();
    running.wait().unwrap();
    let took = began.elapsed();
    assert!(took < time::Duration::from_secs(8), "ended after {took:?}");
    drop(booking.join());
}

/// Guards against an outage of the platform in which each host goes on calling it for every table.
/// Only the desired state is tried again; the list of upstreams is read at once after the recovery.
#[rstest]
fn one_table_is_tried_again_in_an_outage() {
    let host = Host::start();
    host.standin.set_down(true);
    std::thread::sleep(time::Duration::from_secs(4));
    let (tried, others) = (host.standin.refused("op"), host.standin.refused("servers"));
    assert!(tried >= 4, "the recovery would be noticed late: {tried} calls in 4 s");
    assert!(others <= 2, "{others} calls for the list of upstreams beside {tried} others");
    host.standin.set_down(false);
    host.standin.upstream("r3", "app", 6);
    let recovered = time::Instant::now();
    let reached = || host.standin.received_requests().iter().any(|at| at.upstream == "r3");
    while !reached() {
        // Refused until the keys are confirmed again.
        host.call("GET", "/look/1", "k1", "");
        assert!(recovered.elapsed() < time::Duration::from_secs(3), "the list is not read again");
    }
}

/// Keys must stay trusted while the desired state changes often. An answer with a change is as new
/// as the moment at which the platform made it; taken to be as old as its call, the confirmation
/// would be older than the bound before the next answer, and all callers with a key be refused.
#[rstest]
fn keys_are_trusted_while_the_desired_state_changes() {
    let standin = Standin::start();
    standin.put("op", "config", &desired(1, &["k1"], 10_000));
    standin.upstream("e1", "llm", 16);
    let settings = HostSettings { desired_wait_ms: 750, ..HostSettings::default() };
    let host = Host::join(&standin, settings);
    for version in 2..8 {
        let changed = time::Instant::now();
        standin.put("op", "config", &desired(version, &["k1"], 10_000));
        while changed.elapsed() < time::Duration::from_millis(700) {
            let (status, body) = host.talk();
            assert_eq!(status, 200, "version {version}, after {:?}: {body}", changed.elapsed());
        }
    }
}

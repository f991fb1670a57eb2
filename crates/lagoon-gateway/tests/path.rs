//! The whole path before a stand-in of the platform's store and upstreams, over sockets.

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

use host::{Host, PATIENCE, all_events, desired, exchange};
use standin::{Manner, event};

/// A quiet day: a stream, a booking and a lookup are answered whole; the upstream is shown the
/// customer and never the key, and gets the time that is left.
#[rstest]
fn a_quiet_day_is_served() {
    let host = Host::start();
    assert_eq!(host.talk(), (200, all_events()));
    let (status, body) = host.call("POST", "/book/1", "k1", "content-length: 0\r\n");
    assert!(status == 200 && body.starts_with("done by r"), "{status} {body}");
    assert_eq!(host.call("GET", "/look/1?q=2", "k1", "").0, 200);
    for seen in host.standin.seen() {
        assert_eq!(seen.headers["lagoonline-tenant"], "c1");
        assert!(!seen.headers.contains_key("authorization"));
        assert_eq!(seen.headers["lagoonline-target-instance"], seen.upstream);
        let left: u64 = seen.headers["lagoonline-request-deadline"].parse().unwrap();
        assert!(left <= 8_000, "{left} ms handed on");
    }
    assert!(host.standin.seen().iter().any(|seen| seen.path == "/look/1?q=2"));
}

/// A booking's body reaches the replica as it was sent.
#[rstest]
fn a_body_is_passed_on_unchanged() {
    let host = Host::start();
    let more = "content-type: text/plain\r\ncontent-length: 11\r\n\r\ntwo\r\n\r\nlines";
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
         authorization: Token k1\r\n{more}"
    );
    assert_eq!(exchange(host.callers, &head).0, 200);
    assert_eq!(host.standin.seen()[0].body, b"two\r\n\r\nlines"[..11]);
}

/// An engine runs a request and its answer is lost; there is no other engine. The caller hears 502:
/// 503 would promise that it has not run.
#[rstest]
fn a_request_that_was_lost_is_not_told_as_not_run() {
    let host = Host::start();
    host.standin.remove("servers", "e2");
    std::thread::sleep(time::Duration::from_millis(500));
    host.standin.manner("e1", Manner::LoseAnswer);
    assert_eq!(host.talk().0, 502);
    assert_eq!(host.ran(), 1);
}

/// A caller leaves in the middle of its stream. The engine stops within half a second: work for
/// nobody would delay the others.
#[rstest]
fn the_engine_stops_when_the_caller_leaves() {
    let host = Host::start();
    host.standin.manner("e1", Manner::Slow);
    host.standin.manner("e2", Manner::Slow);
    let mut stream = net::TcpStream::connect(host.callers).unwrap();
    let head = "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
         authorization: Token k1\r\nlagoonline-token-count: 5000,400\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let mut buffer = [0; 64];
    assert!(stream.read(&mut buffer).unwrap() > 0);
    drop(stream);
    host.until("stopped", || host.standin.stopped() == 1);
}

/// A long prompt reserves its memory before it is sent and releases it when its answer has ended.
#[rstest]
fn memory_of_a_long_prompt_comes_back() {
    let host = Host::start();
    let call = host.call("POST", "/talk/a", "k1", "lagoonline-token-count: 150000,400\r\n");
    assert_eq!(call, (200, all_events()));
    let orders = || -> Vec<serde_json::Value> {
        let seen = host.standin.seen();
        let orders = seen.iter().filter(|seen| seen.path == "/api/order");
        orders.map(|seen| serde_json::from_slice(&seen.body).unwrap()).collect()
    };
    host.until("released", || orders().iter().any(|order| order["Op"] == "release"));
    let orders = orders();
    assert_eq!(orders[0]["Op"], "reserve");
    assert!(orders.iter().all(|order| order["Id"] == orders[0]["Id"]));
    let sent = host.standin.seen();
    let named = sent.iter().find_map(|seen| seen.headers.get("lagoonline-helpers")).unwrap();
    assert!(named.contains(orders[0]["Id"].as_str().unwrap()), "{named} names no reservation");
}

/// A prompt larger than one engine is read by two, and the one that is to answer it falls silent. Its
/// caller still waits, but the other engine's memory is no longer renewed: it lapses by itself and
/// is back before the bound on unused memory, not only when the host's patience has ended.
#[rstest]
fn memory_for_an_engine_that_went_dark_is_not_renewed() {
    let host = Host::start();
    for name in ["e1", "e2"] {
        host.standin.manner(name, Manner::Mute);
    }
    let (callers, standin) = (host.callers, host.standin.clone());
    let head = "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
        authorization: Token k1\r\nlagoonline-request-deadline: 9000\r\n\
        lagoonline-token-count: 300000,400\r\n\r\n";
    let caller = std::thread::spawn(move || exchange(callers, head));
    let prompt = || standin.seen().into_iter().find(|seen| seen.path == "/talk/a");
    host.until("sent", || prompt().is_some());
    let first = prompt().unwrap().upstream;
    standin.manner(&first, Manner::Hold);
    let renewals = || {
        let seen = standin.seen();
        let orders = seen.iter().filter(|seen| seen.path == "/api/order" && seen.upstream != first);
        orders.filter(|seen| String::from_utf8_lossy(&seen.body).contains("reserve")).count()
    };
    let before = renewals();
    assert_eq!(before, 1, "reserved on the engine that helps");
    std::thread::sleep(time::Duration::from_secs(3));
    assert_eq!(renewals(), before, "renewed for an engine that is gone");
    drop(host);
    drop(caller.join());
}

/// An engine crashes in the middle of an event. The caller sees one whole stream: the half event
/// is dropped, and the other engine goes on after the last event that was passed on.
#[rstest]
fn a_stream_goes_on_at_another_engine() {
    let host = Host::start();
    host.standin.manner("e1", Manner::BreakAfter(4));
    host.standin.manner("e2", Manner::BreakAfter(4));
    let change = host.standin.clone();
    // Whichever engine gets it first breaks; the other answers whole as soon as one has got it.
    std::thread::spawn(move || {
        while change.seen().is_empty() {
            std::thread::sleep(time::Duration::from_millis(1));
        }
        let first = change.seen()[0].upstream.clone();
        let other = if first == "e1" { "e2" } else { "e1" };
        change.manner(other, Manner::Whole);
    });
    let (status, body) = host.talk();
    assert_eq!((status, body), (200, all_events()));
    let seen = host.standin.seen();
    assert_eq!(seen[1].headers["last-event-id"], "4");
}

/// Both engines break off. The caller's stream ends without its end mark and without any byte that
/// no engine sent; it must not look complete.
#[rstest]
fn a_stream_that_cannot_go_on_is_cut() {
    let host = Host::start();
    host.standin.manner("e1", Manner::BreakAfter(2));
    host.standin.manner("e2", Manner::BreakAfter(2));
    let (status, body) = host.talk();
    let expected: String = (1..=2).map(event).collect();
    assert_eq!((status, body), (200, expected + " CUT"));
}

/// A replica runs a booking and its answer is lost. The caller hears 502, which promises nothing,
/// and the booking is not sent again: a second run would book twice.
#[rstest]
fn a_booking_whose_answer_is_lost_runs_once() {
    let host = Host::start();
    host.standin.manner("r1", Manner::LoseAnswer);
    host.standin.manner("r2", Manner::LoseAnswer);
    assert_eq!(host.call("POST", "/book/1", "k1", "content-length: 0\r\n").0, 502);
    assert_eq!(host.ran(), 1);
}

/// Both replicas say that they did not run a booking. The caller hears 503, which promises that it
/// has not run, with a time to come back.
#[rstest]
fn a_booking_that_is_refused_has_not_run() {
    let host = Host::start();
    host.standin.manner("r1", Manner::Refuse);
    host.standin.manner("r2", Manner::Refuse);
    assert_eq!(host.call("POST", "/book/1", "k1", "content-length: 0\r\n").0, 503);
    assert_eq!(host.ran(), 0);
}

/// A lookup may run again: the first replica loses its answer, the second one's reaches the caller.
#[rstest]
fn a_lookup_is_tried_again() {
    let host = Host::start();
    host.standin.manner("r1", Manner::LoseAnswer);
    assert_eq!(host.call("GET", "/look/1", "k1", "").0, 200);
}

/// An answer without the upstream's proof is nobody's: the caller must not see it as a success.
#[rstest]
fn an_unproven_answer_is_not_passed_on() {
    let host = Host::start();
    host.standin.manner("r1", Manner::Unproven);
    host.standin.manner("r2", Manner::Unproven);
    assert_eq!(host.call("POST", "/book/1", "k1", "content-length: 0\r\n").0, 502);
}

/// A replica says that it is leaving. From then on every request goes to the other one.
#[rstest]
fn a_leaving_upstream_gets_nothing_new() {
    let host = Host::start();
    let entry = json!({"Service": "app", "Address": "127.0.0.1:1", "Zone": "a", "Slots": 6,
        "State": "draining"});
    host.standin.put("servers", "r1", &entry);
    std::thread::sleep(time::Duration::from_millis(500));
    for _ in 0..8 {
        assert_eq!(host.call("GET", "/look/1", "k1", "").0, 200);
    }
    assert!(host.standin.seen().iter().all(|seen| seen.upstream == "r2"));
}

/// A route is dropped and a key is taken away by a new version; both are refused from then on, and
/// neither comes back with an older version.
#[rstest]
fn a_new_desired_state_is_in_force() {
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

/// The platform is out for longer than the bound on keys. Requests with a key are refused as not
/// run, since it may have been taken away meanwhile; they are served again when it is back.
#[rstest]
fn keys_are_not_trusted_beyond_their_bound() {
    let host = Host::start();
    host.standin.set_out(true);
    host.until("refused", || host.call("GET", "/look/1", "k1", "").0 == 503);
    let before = host.ran();
    assert_eq!(host.call("GET", "/look/1", "k1", "").0, 503);
    assert_eq!(host.ran(), before);
    host.standin.set_out(false);
    host.until("served", || host.call("GET", "/look/1", "k1", "").0 == 200);
}

/// The host is told to end while a stream runs: it says that it is not ready, the stream ends
/// whole, and the process ends by itself.
#[rstest]
fn a_drain_cuts_no_stream() {
    let mut host = Host::start();
    host.standin.manner("e1", Manner::Slow);
    host.standin.manner("e2", Manner::Slow);
    let running = host.running.take().unwrap();
    let callers = host.callers;
    let stream = std::thread::spawn(move || {
        let head = "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
             authorization: Token k1\r\nlagoonline-token-count: 5000,400\r\n\r\n";
        exchange(callers, head)
    });
    host.until("streaming", || !host.standin.seen().is_empty());
    running.handle().drain();
    host.until("unready", || host.readiness() == 503);
    assert_eq!(stream.join().unwrap(), (200, all_events()));
    running.wait().unwrap();
}

/// An engine reports that it works four times slower than published. Within some seconds callers'
/// prompts go to the other one only; when it reports its usual pace again, it gets some again.
#[rstest]
fn a_slow_engine_gets_nothing_new() {
    let host = Host::start();
    let talks_to = |name: &str| {
        (0..6).any(|_| {
            assert_eq!(host.talk(), (200, all_events()));
            host.standin.seen().last().is_some_and(|seen| seen.upstream == name)
        })
    };
    host.until("used", || talks_to("e1"));
    host.standin.manner("e1", Manner::Slowed);
    host.until("left alone", || !talks_to("e1"));
    host.standin.manner("e1", Manner::Whole);
    host.until("used again", || talks_to("e1"));
}

/// An engine is gone, though it is still listed: the first engine of a long prompt refuses it since
/// that helper is missing, and says which. The prompt must go on without that helper at once; asked
/// again with it, the caller's prompt is refused three times and turned away.
#[rstest]
fn a_helper_that_is_gone_is_left_out() {
    let host = Host::start();
    for name in ["e3", "e4", "e5", "e6", "e7", "e8"] {
        host.standin.upstream(name, "llm", 16);
    }
    std::thread::sleep(time::Duration::from_millis(500));
    host.standin.manner("e5", Manner::NoHelp);
    for _ in 0..4 {
        let call = host.call("POST", "/talk/a", "k1", "lagoonline-token-count: 100000,400\r\n");
        assert_eq!(call, (200, all_events()));
    }
    let prompts = host.standin.seen().into_iter().filter(|seen| seen.path == "/talk/a" && seen.ran);
    assert_eq!(prompts.count(), 4);
}

/// The platform turns this host away for longer than the bound on keys, and serves another one,
/// which says so. A caller that is refused here is asked to come back at once, since the other host
/// can serve it; while no host can, it is asked to wait.
#[rstest]
fn callers_are_sent_to_hosts_that_can_serve_them() {
    let host = Host::start();
    host.until("registered", || host.standin.row("lagoon-hosts", "h1").is_some());
    let row = host.standin.row("lagoon-hosts", "h1").unwrap();
    let address: net::SocketAddr = row["address"].as_str().unwrap().parse().unwrap();
    host.standin.set_out(true);
    host.until("refused", || host.call("GET", "/look/1", "k1", "").0 == 503);
    let retry_after = || -> f64 {
        let head = "GET /look/1 HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
             authorization: Token k1\r\nconnection: close\r\n\r\n";
        let mut stream = net::TcpStream::connect(host.callers).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(head.as_bytes()).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let text = text.to_ascii_lowercase();
        let line = text.lines().find_map(|line| line.strip_prefix("retry-after: "));
        line.unwrap().trim().parse().unwrap()
    };
    assert!(retry_after() >= 0.3, "sent away though no host can serve");
    // A batch of no words: host number 7, confirmed 0 ms ago.
    let batch = [9, 7, 0, 0, 0, 0, 0, 0, 0, 0x18, 0];
    let peer = net::UdpSocket::bind("127.0.0.1:0").unwrap();
    host.until("sent on", || {
        peer.send_to(&batch, address).unwrap();
        retry_after() <= 0.05
    });
}

/// Guards against a process that outlives its grace time since a request does not end.
#[rstest]
fn a_drain_ends_within_the_grace_time() {
    let mut host = Host::start();
    host.standin.manner("e1", Manner::Slow);
    host.standin.manner("e2", Manner::Slow);
    host.standin.manner("r1", Manner::Hold);
    host.standin.manner("r2", Manner::Hold);
    let callers = host.callers;
    let booking = std::thread::spawn(move || {
        let head = "POST /book/1 HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
             authorization: Token k1\r\ncontent-length: 0\r\n\r\n";
        exchange(callers, head)
    });
    host.until("sent", || !host.standin.seen().is_empty());
    let running = host.running.take().unwrap();
    let began = time::Instant::now();
    running.handle().drain();
    running.wait().unwrap();
    let took = began.elapsed();
    assert!(took < time::Duration::from_secs(8), "ended after {took:?}");
    drop(booking.join());
}

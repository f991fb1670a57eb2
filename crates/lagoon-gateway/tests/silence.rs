//! Tests of upstreams that stop responding to a request while the connection stays open, and of the
//! memory reserved for such requests.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::thread;
use std::time;

use rstest::rstest;

use host::{Host, all_events, send_request};
use standin::Behavior;

/// Starts a host in front of one engine that behaves as `behavior`.
fn start_with_one_engine(behavior: Behavior) -> Host {
    let host = Host::start();
    host.standin.remove("servers", "e2");
    thread::sleep(time::Duration::from_millis(300));
    host.standin.behavior("e1", behavior);
    host
}

/// Sends a prompt of `tokens` tokens on `route`; the thread returns the answer and how long it
/// took.
fn prompt(
    host: &Host,
    route: &str,
    tokens: u64,
) -> thread::JoinHandle<((u16, String), time::Duration)> {
    let callers = host.callers;
    let head = format!(
        "POST /{route}/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 9000\r\n\
         lagoonline-token-count: {tokens},400\r\n\r\n"
    );
    thread::spawn(move || {
        let began = time::Instant::now();
        (send_request(callers, &head), began.elapsed())
    })
}

/// Returns the ids of the reservations in the orders of kind `op` that engines got.
fn orders(host: &Host, op: &str) -> Vec<String> {
    let requests = host.standin.received_requests();
    let orders = requests.iter().filter(|request| request.path == "/api/order");
    let orders =
        orders.map(|request| serde_json::from_slice::<serde_json::Value>(&request.body).unwrap());
    let orders = orders.filter(|order| order["Op"] == op);
    orders.map(|order| order["Id"].as_str().unwrap().to_owned()).collect()
}

/// A request must not wait for an engine that answers later requests but not this one.
#[rstest]
fn a_prompt_leaves_an_engine_that_answers_later_requests() {
    let host = start_with_one_engine(Behavior::IgnorePrompts);
    let unanswered = prompt(&host, "talk", 5_000);
    host.until("sent", || !host.standin.received_requests().is_empty());
    host.standin.behavior("e1", Behavior::Complete);
    assert_eq!(host.talk(), (200, all_events()));
    host.standin.upstream("e3", "llm", 16);
    while !unanswered.is_finished() {
        // The engine stays alive: it answers the prompts of other callers.
        assert_eq!(host.talk(), (200, all_events()));
        thread::sleep(time::Duration::from_millis(100));
    }
    let (answer, took) = unanswered.join().unwrap();
    assert_eq!(answer, (200, all_events()));
    // Callers of such prompts give up after two seconds without an event.
    assert!(took < time::Duration::from_secs(2), "answered after {took:?}");
}

/// A stream with a long gap target must not wait for an engine that is known to have stopped
/// responding.
#[rstest]
fn a_stream_leaves_an_engine_that_failed_another_stream() {
    let host = start_with_one_engine(Behavior::HangAfter(3));
    let review = prompt(&host, "review", 5_000);
    let talk = prompt(&host, "talk", 5_000);
    host.until("sent", || host.standin.received_requests().len() == 2);
    host.standin.upstream("e3", "llm", 16);
    for (stream, limit_ms) in [(talk, 2_500), (review, 3_000)] {
        let (answer, took) = stream.join().unwrap();
        assert_eq!(answer, (200, all_events()));
        assert!(took < time::Duration::from_millis(limit_ms), "whole after {took:?}");
    }
}

/// Memory must not be renewed for a request that its engine has ended without an answer.
#[rstest]
fn memory_of_an_ended_request_is_not_renewed() {
    let host = Host::start();
    for name in ["e1", "e2"] {
        host.standin.behavior(name, Behavior::IgnorePrompts);
    }
    let caller = prompt(&host, "review", 300_000);
    host.until("sent", || {
        host.standin.received_requests().iter().any(|request| request.path == "/review/a")
    });
    // The first token is overdue by now, and the engines report that no request uses the memory.
    thread::sleep(time::Duration::from_secs(5));
    let before = orders(&host, "reserve").len();
    thread::sleep(time::Duration::from_millis(2_500));
    assert_eq!(orders(&host, "reserve").len(), before, "renewed for a request that is over");
    drop(host);
    drop(caller.join());
}

/// A reserve order may be carried out after its reservation was released; that memory must be
/// released again.
#[rstest]
fn an_unanswered_reservation_is_released_again() {
    let host = start_with_one_engine(Behavior::IgnoreAll);
    let caller = prompt(&host, "review", 150_000);
    host.until("ordered", || !orders(&host, "reserve").is_empty());
    let id = orders(&host, "reserve").remove(0);
    host.standin.behavior("e1", Behavior::Complete);
    let releases = || orders(&host, "release").iter().filter(|released| **released == id).count();
    host.until("released", || releases() >= 1);
    host.until("released again", || releases() >= 3);
    drop(host);
    drop(caller.join());
}

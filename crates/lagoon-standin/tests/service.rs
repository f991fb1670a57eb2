//! HTTP interface of the service stand-in.

mod common;

use std::net;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use common::{get, post, refuses, run};
use lagoon_standin::service;
use ntex::client;
use rstest::rstest;
use serde_json::json;

async fn call(address: std::net::SocketAddr, method: &str) -> Option<client::ClientResponse> {
    let client = client::Client::new().await;
    let method = method.parse().unwrap();
    let request = client.request(method, format!("http://{address}/bookings/7"));
    request.set_header("Lagoon-Attempt", "abc").send_body("tin").await.ok()
}

#[rstest]
#[case("POST")]
#[case("PUT")]
#[case("DELETE")]
#[case("PATCH")]
fn every_method_runs_and_is_recorded(#[case] method: &'static str) {
    run(async move {
        let service = service::start(service::Settings::default()).unwrap();
        let response = call(service.address(), method).await.unwrap();
        assert_eq!(response.status().as_u16(), 200);
        assert_eq!(response.headers().get("Lagoon-Attempt").unwrap(), "abc");
        let record = service.node().record();
        assert_eq!(record.calls.len(), 1);
        let call = &record.calls[0];
        assert_eq!((call.method.as_str(), call.path.as_str()), (method, "/bookings/7"));
        assert!(call.ran && call.body_sha256.len() == 64);
    });
}

// The call runs but the connection closes before the response. The caller cannot know the outcome;
// the record must show that the call ran once.
#[test]
fn call_with_lost_response_is_recorded() {
    run(async {
        let service = service::start(service::Settings::default()).unwrap();
        post(service.address(), "/faults", json!({"lose_answer": true})).await;
        assert!(call(service.address(), "POST").await.is_none());
        assert_eq!(service.node().record().calls.len(), 1);
    });
}

#[test]
fn lost_request_does_not_run() {
    run(async move {
        let service = service::start(service::Settings::default()).unwrap();
        post(service.address(), "/faults", json!({"loss": 1.0})).await;
        assert!(call(service.address(), "POST").await.is_none());
        assert_eq!(get(service.address(), "/record").await.1["calls"], json!([]));
    });
}

// A replica that is down must refuse connections, so that a caller knows that its call did not run.
// Once it is up again, calls run.
#[test]
fn replica_that_is_down_refuses_connections() {
    run(async move {
        let service = service::start(service::Settings::default()).unwrap();
        service.node().set_faults(service::Faults { down: true, ..service::Faults::default() });
        assert!(refuses(service.address()));
        assert!(call(service.address(), "POST").await.is_none());
        assert_eq!(service.node().record().calls, []);
        service.node().set_faults(service::Faults::default());
        assert_eq!(call(service.address(), "POST").await.unwrap().status().as_u16(), 200);
    });
}

// The zone of the caller's entry host is cut off while its call runs. The call completes, but its
// response is held until the cut ends.
#[test]
fn cut_holds_the_response_of_a_call_in_flight() {
    run(async {
        let settings = service::Settings { work_ms: 100, ..service::Settings::default() };
        let service = service::start(settings).unwrap();
        let client = client::Client::new().await;
        let request = client.post(format!("http://{}/bookings/7", service.address()));
        let response = ntex::rt::spawn(request.set_header("Lagoon-Zone", "suva").send_body("tin"));
        while service.node().record().calls.is_empty() {
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
        let cut = vec!["suva".to_owned()];
        service.node().set_faults(service::Faults { cut, ..service::Faults::default() });
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        assert!(!response.is_finished());
        service.node().set_faults(service::Faults::default());
        assert_eq!(response.await.unwrap().unwrap().status().as_u16(), 200);
    });
}

#[test]
fn leaving_replica_refuses_calls_as_not_run() {
    run(async {
        let service = service::start(service::Settings::default()).unwrap();
        assert_eq!(post(service.address(), "/leave", json!({})).await.0, 200);
        let response = call(service.address(), "POST").await.unwrap();
        assert_eq!(response.status().as_u16(), 503);
        assert_eq!(response.headers().get("Lagoon-Not-Run").unwrap(), "1");
        assert!(service.node().record().calls.is_empty());
    });
}

/// Number of times that the test below closes or opens the port.
const SWITCH_COUNT: usize = 200;
/// Limit for all these changes, far above the time that they take.
const SWITCH_TIMEOUT: time::Duration = time::Duration::from_secs(20);

// Callers connect continuously while the port closes and reopens. Guards against a deadlock: a
// connection that ended with the port held the lock on the port's state while it waited, the next
// change of the state waited for that lock, and a new connection on the same thread waited for the
// change.
#[test]
fn port_that_closes_and_reopens_keeps_serving() {
    run(async {
        let service = service::start(service::Settings::default()).unwrap();
        let (address, node) = (service.address(), service.node().clone());
        let stop = std::sync::Arc::new(atomic::AtomicBool::new(false));
        for _ in 0..8 {
            let stop = stop.clone();
            thread::spawn(move || {
                // The 15 newest connections stay open, so that closing the port ends some.
                let mut open = std::collections::VecDeque::new();
                while !stop.load(atomic::Ordering::Relaxed) {
                    open.extend(net::TcpStream::connect(address));
                    open.truncate(16);
                    if open.len() == 16 {
                        open.pop_front();
                    }
                }
            });
        }
        let (done, is_done) = mpsc::channel();
        thread::spawn(move || {
            for switch in 0..SWITCH_COUNT {
                let down = switch % 2 == 0;
                node.set_faults(service::Faults { down, ..service::Faults::default() });
                thread::sleep(time::Duration::from_millis(3));
            }
            done.send(()).unwrap();
        });
        let ended = is_done.recv_timeout(SWITCH_TIMEOUT);
        stop.store(true, atomic::Ordering::Relaxed);
        ended.expect("the port no longer opens or closes");
        assert_eq!(call(address, "POST").await.unwrap().status().as_u16(), 200);
    });
}

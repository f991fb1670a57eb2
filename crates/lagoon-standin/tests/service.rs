//! A plain service as its callers see it.

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
fn any_method_runs_and_is_recorded(#[case] method: &'static str) {
    run(async move {
        let service = service::start(service::Settings::default()).unwrap();
        let answer = call(service.address(), method).await.unwrap();
        assert_eq!(answer.status().as_u16(), 200);
        assert_eq!(answer.headers().get("Lagoon-Attempt").unwrap(), "abc");
        let record = service.node().record();
        assert_eq!(record.calls.len(), 1);
        let call = &record.calls[0];
        assert_eq!((call.method.as_str(), call.path.as_str()), (method, "/bookings/7"));
        assert!(call.ran && call.body_sha256.len() == 64);
    });
}

// The booking is made, and the connection goes before the answer: the caller cannot know, and the
// record says that it ran, once.
#[test]
fn a_lost_answer_is_of_a_call_that_ran() {
    run(async {
        let service = service::start(service::Settings::default()).unwrap();
        post(service.address(), "/faults", json!({"lose_answer": true})).await;
        assert!(call(service.address(), "POST").await.is_none());
        assert_eq!(service.node().record().calls.len(), 1);
    });
}

#[test]
fn a_lost_request_does_not_run() {
    run(async move {
        let service = service::start(service::Settings::default()).unwrap();
        post(service.address(), "/faults", json!({"loss": 1.0})).await;
        assert!(call(service.address(), "POST").await.is_none());
        assert_eq!(get(service.address(), "/record").await.1["calls"], json!([]));
    });
}

// The replica dies: new connections are refused, so that a caller knows that its call did not run.
// When it is back, calls run again.
#[test]
fn a_dead_replica_refuses_connections() {
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

// The zone of the caller's entry host is cut off while its booking is being made: the booking runs,
// and its answer comes only when the cut has healed.
#[test]
fn a_cut_holds_an_answer_under_way() {
    run(async {
        let settings = service::Settings { work_ms: 100, ..service::Settings::default() };
        let service = service::start(settings).unwrap();
        let client = client::Client::new().await;
        let request = client.post(format!("http://{}/bookings/7", service.address()));
        let answer = ntex::rt::spawn(request.set_header("Lagoon-Zone", "suva").send_body("tin"));
        while service.node().record().calls.is_empty() {
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
        let cut = vec!["suva".to_owned()];
        service.node().set_faults(service::Faults { cut, ..service::Faults::default() });
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        assert!(!answer.is_finished());
        service.node().set_faults(service::Faults::default());
        assert_eq!(answer.await.unwrap().unwrap().status().as_u16(), 200);
    });
}

#[test]
fn a_leaving_replica_says_that_the_call_did_not_run() {
    run(async {
        let service = service::start(service::Settings::default()).unwrap();
        assert_eq!(post(service.address(), "/leave", json!({})).await.0, 200);
        let answer = call(service.address(), "POST").await.unwrap();
        assert_eq!(answer.status().as_u16(), 503);
        assert_eq!(answer.headers().get("Lagoon-Not-Run").unwrap(), "1");
        assert!(service.node().record().calls.is_empty());
    });
}

/// Switches of the port in the test below.
const SWITCHES: usize = 200;
/// Far beyond the time that they take.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

// Callers connect all the time while the port closes and opens again at once. A connection that
// ends with the port kept the state of the port locked while it waited; the next switch waited for
// the lock, and a new connection on the same thread for the switch: nothing went on any more.
#[test]
fn a_port_that_closes_and_opens_again_stays_alive() {
    run(async {
        let service = service::start(service::Settings::default()).unwrap();
        let (address, node) = (service.address(), service.node().clone());
        let stop = std::sync::Arc::new(atomic::AtomicBool::new(false));
        for _ in 0..8 {
            let stop = stop.clone();
            thread::spawn(move || {
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
            for switch in 0..SWITCHES {
                let down = switch % 2 == 0;
                node.set_faults(service::Faults { down, ..service::Faults::default() });
                thread::sleep(time::Duration::from_millis(3));
            }
            done.send(()).unwrap();
        });
        let ended = is_done.recv_timeout(PATIENCE);
        stop.store(true, atomic::Ordering::Relaxed);
        ended.expect("the port no longer opens or closes");
        assert_eq!(call(address, "POST").await.unwrap().status().as_u16(), 200);
    });
}

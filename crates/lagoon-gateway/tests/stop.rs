//! Tests of planned stops: what callers get whose requests are open when the grace time ends, and
//! whose requests cross stops that overlap.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::io::Write;
use std::net;
use std::sync;
use std::thread;
use std::time;

use nix::sys::signal::Signal;
use rstest::rstest;

use host::caller::{self, End};
use host::process::{Process, ProcessSettings};
use host::{desired, send_request, send_request_for_head, start_upstreams};
use standin::{Behavior, Standin};

/// Grace time of the hosts.
const GRACE: time::Duration = time::Duration::from_secs(8);

fn request(id: &str, method: &str, path: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: {id}\r\n\
         authorization: Token k1\r\n{more}\r\n"
    )
}

fn start_upstream(standin: &Standin, name: &str, service: &str, slots: u32) {
    standin.upstream(name, service, slots);
}

fn behave(standin: &Standin, upstreams: &[&str], behavior: Behavior) {
    upstreams.iter().for_each(|name| standin.behavior(name, behavior));
}

fn start_process(standin: &Standin, name: &str) -> Process {
    Process::start(standin, ProcessSettings { name, ..ProcessSettings::default() })
}

/// Stops the process, and waits until it has ended.
fn stop(mut process: Process) {
    let began = time::Instant::now();
    process.signal(Signal::SIGTERM);
    assert!(process.child.wait().unwrap().success());
    assert!(began.elapsed() < GRACE, "{:?}", began.elapsed());
}

/// Waits until upstreams got `count` requests for `path`.
fn wait_until_sent(standin: &Standin, path: &str, count: usize) {
    let began = time::Instant::now();
    let received = || standin.received_requests().into_iter();
    while received().filter(|request| request.path == path).count() < count {
        assert!(began.elapsed() < host::STEP_TIMEOUT, "not sent in time");
        thread::sleep(time::Duration::from_millis(10));
    }
}

/// Guards against a request that is cut without an answer when the grace time ends: its caller has
/// to learn that it may have run.
#[rstest]
#[case::booking("POST", "/book/1", "content-length: 0\r\n")]
#[case::prompt("POST", "/tell/a", "lagoonline-token-count: 5000,400\r\ncontent-length: 0\r\n")]
fn a_request_that_outlives_the_grace_time_is_answered(
    #[case] method: &str,
    #[case] path: &str,
    #[case] more: &str,
) {
    let standin = start_upstreams(start_upstream);
    behave(&standin, &["e1", "e2", "r1", "r2"], Behavior::IgnoreAll);
    let process = start_process(&standin, "h1");
    let (callers, text) = (process.callers, request("q1", method, path, more));
    let sent = thread::spawn(move || send_request(callers, &text));
    wait_until_sent(&standin, path, 1);
    stop(process);
    let (status, body) = sent.join().unwrap();
    assert_eq!(status, 502, "{body}");
    assert!(body.contains("draining") && body.contains("unknown"), "{body}");
}

/// Guards against prompts that end without an answer in a stop, whether they were sent or wait for a
/// place: the latter's caller has to learn that it did not run.
#[rstest]
fn prompts_that_cannot_end_in_the_grace_time_are_answered() {
    let standin = start_upstreams(start_upstream);
    behave(&standin, &["e1", "e2"], Behavior::IgnorePrompts);
    let process = start_process(&standin, "h1");
    let callers = process.callers;
    // A prompt that takes the memory of both engines.
    let prompt = |id: &str| {
        let more = "lagoonline-token-count: 300000,400\r\ncontent-length: 0\r\n";
        let text = request(id, "POST", "/review/a", more);
        thread::spawn(move || send_request_for_head(callers, &text))
    };
    let first = prompt("q1");
    wait_until_sent(&standin, "/review/a", 1);
    let waiting = prompt("q2");
    thread::sleep(time::Duration::from_millis(300));
    stop(process);
    let (status, head, body) = waiting.join().unwrap();
    assert_eq!(status, 503, "{body}");
    assert!(body.contains("not-run"), "{body}");
    assert!(head.to_ascii_lowercase().contains("retry-after: "), "{head}");
    assert_eq!(first.join().unwrap().0, 502);
}

/// What callers sent that was not answered, as ids.
type Cut = sync::Mutex<Vec<String>>;

/// Sends requests on open connections until the host is gone. Adds those without a whole answer to
/// `cut`.
fn call_until_gone(address: net::SocketAddr, caller: usize, cut: &Cut) {
    let ways = [
        ("POST", "/talk/a", "lagoonline-token-count: 5000,400\r\ncontent-length: 0\r\n"),
        ("POST", "/book/1", "content-length: 0\r\n"),
        ("GET", "/look/1", ""),
    ];
    let (method, path, more) = ways[caller % ways.len()];
    let mut number = 0;
    while let Ok(mut stream) = net::TcpStream::connect(address) {
        stream.set_read_timeout(Some(GRACE * 2)).unwrap();
        loop {
            number += 1;
            let id = format!("q{}-{caller}-{number}", address.port());
            let text = request(&id, method, path, more);
            let is_written = stream.write_all(text.as_bytes()).is_ok();
            let answer = is_written.then(|| caller::read(&mut stream));
            let is_whole = answer.is_some_and(|answer| answer.end == End::Marked);
            if !is_whole {
                cut.lock().unwrap().push(id);
                break;
            }
        }
        thread::sleep(time::Duration::from_millis(20));
    }
}

/// Sends a body of 30 bytes within three seconds; returns the status of its answer.
fn send_slowly(address: net::SocketAddr) -> u16 {
    let mut stream = net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(GRACE)).unwrap();
    let head = request("slow", "POST", "/book/2", "content-length: 30\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    for _ in 0..30 {
        thread::sleep(time::Duration::from_millis(100));
        drop(stream.write_all(b"x"));
    }
    caller::read(&mut stream).status
}

/// Guards against requests that are passed on and cut while stops overlap and further signals and a
/// new desired state come within the grace time, some of them while they are resumed.
#[rstest]
#[case::sound(Behavior::SlowEvents)]
#[case::breaking(Behavior::BreakAfter(4))]
fn stops_that_overlap_cut_no_request(#[case] behavior: Behavior) {
    let standin = start_upstreams(start_upstream);
    behave(&standin, &["e1"], behavior);
    behave(&standin, &["e2"], Behavior::SlowEvents);
    let mut hosts = ["h1", "h2"].map(|name| start_process(&standin, name));
    let cut = Cut::default();
    let signals = [
        (500, 0, Signal::SIGTERM),
        (1_000, 0, Signal::SIGHUP),
        (1_500, 1, Signal::SIGTERM),
        (2_000, 0, Signal::SIGTERM),
        (2_600, 1, Signal::SIGHUP),
        (3_500, 1, Signal::SIGTERM),
    ];
    let slow = thread::scope(|scope| {
        for (host, caller) in hosts.iter().flat_map(|host| (0..12).map(move |n| (host, n))) {
            let (address, cut) = (host.callers, &cut);
            scope.spawn(move || call_until_gone(address, caller, cut));
        }
        let slow = [0, 2_000].map(|at| {
            let address = hosts[1].callers;
            scope.spawn(move || {
                thread::sleep(time::Duration::from_millis(at));
                send_slowly(address)
            })
        });
        let began = time::Instant::now();
        for (at, host, signal) in signals {
            let due = began + time::Duration::from_millis(at);
            thread::sleep(due.saturating_duration_since(time::Instant::now()));
            hosts[host].signal(signal);
            if signal == Signal::SIGHUP {
                standin.put("op", "config", &desired(2 + host as u64, &["k1"], 10_000));
            }
        }
        slow.map(|slow| slow.join().unwrap())
    });
    assert!(hosts.iter_mut().all(|host| host.child.wait().unwrap().success()));
    let received = standin.received_requests();
    let is_sent = |id: &&String| {
        received.iter().any(|request| request.headers.get("lagoonline-request-id") == Some(*id))
    };
    let cut = cut.into_inner().unwrap();
    let lost: Vec<_> = cut.iter().filter(is_sent).collect();
    assert!(lost.is_empty(), "{} of {} passed on and cut: {lost:?}", lost.len(), received.len());
    assert!(received.len() > 100, "{}", received.len());
    assert_eq!(slow, [200, 503], "bodies that end before and after requests are refused");
}

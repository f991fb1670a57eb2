//! Tests of the log lines by which a failed request is explained afterwards.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::io::Write;
use std::net;
use std::sync;

use rstest::rstest;

use host::Host;
use standin::Behavior;

/// Lines that this process has logged.
static LINES: sync::Mutex<Vec<String>> = sync::Mutex::new(Vec::new());

struct Lines;

impl log::Log for Lines {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Starts recording the lines of this process.
fn record() {
    static STARTED: sync::Once = sync::Once::new();
    STARTED.call_once(|| {
        log::set_logger(&Lines).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// A log line for each of many upstreams would displace the other lines of the start.
#[rstest]
fn the_first_list_of_upstreams_is_one_line() {
    record();
    let _host = Host::start();
    let lines = LINES.lock().unwrap();
    assert!(lines.iter().any(|line| line.contains("\"upstreams_listed\",\"upstreams\":4")));
    assert!(!lines.iter().any(|line| line.contains("\"upstream_listed\"")));
}

/// The line about a caller that left before its answer must contain the request id.
#[rstest]
fn a_caller_that_left_is_logged_by_its_request_id() {
    record();
    let host = Host::start();
    host.standin.behavior("e1", Behavior::IgnoreAll);
    host.standin.behavior("e2", Behavior::IgnoreAll);
    let mut stream = net::TcpStream::connect(host.callers).unwrap();
    let head = "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: left-early\r\n\
         authorization: Token k1\r\nlagoonline-token-count: 5000,400\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    host.until("sent", || !host.standin.received_requests().is_empty());
    drop(stream);
    let logged = |line: &String| line.contains("caller_left") && line.contains("left-early");
    host.until("logged", || LINES.lock().unwrap().iter().any(logged));
}

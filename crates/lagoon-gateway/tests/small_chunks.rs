//! Tests, over sockets, that an answer in small pieces neither keeps a host from its other callers
//! nor hides that its own caller has left.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::io;
use std::io::Write;
use std::net;
use std::thread;
use std::time;

use rstest::rstest;

use host::caller::{End, call};
use host::{Host, send_request};
use standin::raw::{self, Body, End as Ending, Framing, Script, WHOLE};

/// Heads of answers that go on without end.
const EVENTS: &str = "HTTP/1.1 200 OK\r\nlagoonline-response-signature: e\r\n\
    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
const PLAIN: &str = "HTTP/1.1 200 OK\r\nlagoonline-response-signature: r\r\n\
    content-type: text/plain\r\ntransfer-encoding: chunked\r\n\r\n";
/// Bytes that are written at a time.
const WRITE_BYTES: usize = 64 << 10;
/// Time in which a caller beside such an answer gets its own: the deadline of its request.
const DEADLINE: time::Duration = time::Duration::from_secs(1);
/// Time in which requests that are sent together are passed on.
const PASS_TIME: time::Duration = time::Duration::from_millis(200);
/// Time within which an upstream notices that a caller has left.
const LEAVE_TIME: time::Duration = time::Duration::from_millis(500);

/// Returns an answer that begins with `head` and goes on in chunks of `content`, without end.
fn pouring(head: &'static str, content: &str) -> Script {
    let chunk = format!("{:x}\r\n{content}\r\n", content.len());
    let text = Box::leak(chunk.repeat(WRITE_BYTES.div_ceil(chunk.len())).into_boxed_str());
    let (body, end) = (Body::Text(head), Ending::Repeat(text, 0));
    Script { framing: Framing::Verbatim, body, end, ..WHOLE }
}

fn request(id: &str, method: &str, path: &str, deadline: time::Duration) -> String {
    let deadline = deadline.as_millis();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: {id}\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: {deadline}\r\n\
         content-length: 0\r\n\r\n"
    )
}

/// Sends requests that are answered by `script`, and returns their connections, which are read.
fn pour(
    host: &Host,
    method: &str,
    path: &str,
    script: Script,
    count: usize,
) -> Vec<net::TcpStream> {
    host.standin.script(&vec![script; count]);
    let send = |number| {
        let mut stream = net::TcpStream::connect(host.callers).unwrap();
        let text = request(&format!("p{number}"), method, path, time::Duration::from_secs(8));
        stream.write_all(text.as_bytes()).unwrap();
        let mut reader = stream.try_clone().unwrap();
        thread::spawn(move || io::copy(&mut reader, &mut io::sink()));
        stream
    };
    let streams = (0..count).map(send).collect();
    host.until("passed on", || !host.standin.received_requests().is_empty());
    thread::sleep(PASS_TIME);
    streams
}

/// Guards against a host that only reads such answers while it has requests of other callers.
#[rstest]
#[case::one_event("POST", "/tell/a", pouring(EVENTS, "x"), 1)]
#[case::events_of_many("POST", "/tell/a", pouring(EVENTS, "x"), 12)]
#[case::small_events("POST", "/tell/a", pouring(EVENTS, &"data:\n\n".repeat(8_000)), 12)]
#[case::blank_lines("POST", "/tell/a", pouring(EVENTS, "\n"), 12)]
#[case::body("GET", "/look/1", pouring(PLAIN, "x"), 1)]
#[case::bodies("GET", "/look/1", pouring(PLAIN, "x"), 12)]
fn callers_beside_an_answer_in_small_pieces_are_served(
    #[case] method: &str,
    #[case] path: &str,
    #[case] script: Script,
    #[case] count: usize,
) {
    let host = Host::start_raw();
    let streams = pour(&host, method, path, script, count);
    let late: Vec<_> = (0..20)
        .map(|number| {
            let began = time::Instant::now();
            let text = request(&format!("q{number}"), "GET", "/look/2", DEADLINE);
            let answer = call(host.callers, &text);
            (answer.status, answer.end, began.elapsed())
        })
        .filter(|(status, end, span)| (*status, *end) != (200, End::Marked) || *span > DEADLINE)
        .collect();
    streams.iter().for_each(|stream| drop(stream.shutdown(net::Shutdown::Both)));
    assert!(late.is_empty(), "{} of 20: {late:?}", late.len());
}

/// Guards against an upstream that works on for a caller who has left, since nothing but its answer
/// is looked at.
#[rstest]
#[case::events("POST", "/tell/a", pouring(EVENTS, "x"))]
#[case::body("GET", "/look/1", pouring(PLAIN, "x"))]
fn a_caller_that_leaves_ends_an_answer_in_small_pieces(
    #[case] method: &str,
    #[case] path: &str,
    #[case] script: Script,
) {
    let host = Host::start_raw();
    let streams = pour(&host, method, path, script, 1);
    streams.iter().for_each(|stream| stream.shutdown(net::Shutdown::Both).unwrap());
    let left = time::Instant::now();
    host.until("closed", || !host.standin.poured.lock().unwrap().is_empty());
    assert!(left.elapsed() < LEAVE_TIME, "{:?}", left.elapsed());
    assert_eq!(send_request(host.ready, "GET /api/ready HTTP/1.1\r\nhost: h\r\n\r\n").0, 200);
}

/// Guards against an upstream that keeps a host at work with millions of chunks of one event or body.
#[rstest]
#[case::event("POST", "/talk/a", pouring(EVENTS, "x"))]
#[case::body("GET", "/look/1", pouring(PLAIN, "x"))]
fn an_upstream_whose_answer_comes_in_too_many_chunks_is_left(
    #[case] method: &str,
    #[case] path: &str,
    #[case] script: Script,
) {
    let host = Host::start_raw();
    host.standin.script(&[script]);
    let text = request("q1", method, path, time::Duration::from_secs(15));
    let answer = call(host.callers, &text);
    assert_eq!((answer.status, answer.end), (200, End::Marked));
    assert_eq!(answer.body, raw::events_after(0, "\n"));
    let metrics = send_request(host.ready, "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n").1;
    let counted = "lagoon_gateway_answer_violations_total{of=\"answer\",kind=\"pieces\"} 1";
    assert!(metrics.contains(counted), "{metrics}");
}

//! Tests, over sockets, that bytes without end which are no answer neither fill the host's memory
//! nor keep a request from another upstream.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use host::caller::{Answer, End, call};
use host::{Host, HostSettings, send_request, start_upstreams};
use rstest::rstest;
use standin::Standin;
use standin::raw::{self, Body, End as Ending, Framing, Script, WHOLE};

/// Start of the answer to a prompt.
const STREAM: &str = "HTTP/1.1 200 OK\r\nlagoonline-response-signature: e\r\n\
    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
/// Start of an answer that is not streamed.
const TEXT: &str = "HTTP/1.1 200 OK\r\nlagoonline-response-signature: r\r\n\
    content-type: text/plain\r\ncontent-length: 90\r\n\r\n";
/// What a connection may take before it is closed, in bytes: the buffers of the kernel on both sides
/// hold some megabytes of it.
const MAX_POURED: usize = 16 << 20;
/// Time within which a host leaves an upstream that sends at full speed.
const SOON: time::Duration = time::Duration::from_secs(2);

/// A filler without a line end.
const FILLER: &str = concat!(
    "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
    "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
);

/// Returns a script that writes `start`, and then `text` again and again with a pause in
/// milliseconds after each time.
fn endless(start: &'static str, text: &'static str, pause: u64) -> Script {
    let end = Ending::Repeat(text, pause);
    Script { framing: Framing::Verbatim, body: Body::Text(start), end, ..WHOLE }
}

/// Returns `parts` joined, for the rest of the process.
fn joined(parts: &[&str]) -> &'static str {
    Box::leak(parts.concat().into_boxed_str())
}

fn request(method: &str, path: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n{more}\r\n"
    )
}

fn prompt(host: &Host, route: &str) -> Answer {
    let tokens = "lagoonline-token-count: 5000,400\r\ncontent-length: 0\r\n";
    call(host.callers, &request("POST", &format!("/{route}/a"), tokens))
}

fn look(host: &Host) -> Answer {
    call(host.callers, &request("GET", "/look/1", ""))
}

/// Waits until the upstream's connection is closed, and checks how much it took.
fn assert_closed(host: &Host) {
    host.until("closed", || !host.standin.poured.lock().unwrap().is_empty());
    let poured = host.standin.poured.lock().unwrap()[0];
    assert!(poured < MAX_POURED, "{poured} bytes");
}

/// Returns the value of the counter of violations while `of` was asked for, of any or of one `kind`.
fn violations(host: &Host, of: &str, kind: &str) -> u64 {
    let head = "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n";
    let text = send_request(host.ready, head).1;
    let label = format!("lagoon_gateway_answer_violations_total{{of=\"{of}\",kind=\"{kind}");
    let lines = text.lines().filter(|line| line.starts_with(&label));
    lines.map(|line| line.rsplit(' ').next().unwrap().parse::<u64>().unwrap()).sum()
}

/// Guards against bytes that never become an answer, sent at full speed: without a bound they fill
/// the memory, or hold the request until its deadline. The stream comes from another upstream.
#[rstest]
#[case::head("HTTP/1.1 200 OK\r\n", "x-filler: abcdefgh\r\n", "head")]
#[case::head_line("HTTP/1.1 200 OK\r\nx-filler: ", FILLER, "head")]
#[case::status_line("HTTP/1.1 200 ", FILLER, "head")]
#[case::continues("", "HTTP/1.1 100 Continue\r\n\r\n", "head")]
#[case::hints("", "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n", "head")]
#[case::extension(joined(&[STREAM, "5;"]), FILLER, "framing")]
#[case::trailers(joined(&[STREAM, "0\r\n"]), "x-filler: abcdefgh\r\n", "framing")]
#[case::comment(joined(&[STREAM, "fffffff\r\n: "]), FILLER, "comments")]
#[case::comments(joined(&[STREAM, "fffffff\r\n"]), ": comment\n", "comments")]
#[case::keep_alives(joined(&[STREAM, "fffffff\r\n"]), ": comment\n\n", "comments")]
#[case::blank_lines(joined(&[STREAM, "fffffff\r\n"]), "\n\n\n\n\n\n\n\n", "comments")]
#[case::blank_line_chunks(STREAM, "1\r\n\n\r\n", "comments")]
fn a_prompt_leaves_an_upstream_that_pours(
    #[case] start: &'static str,
    #[case] text: &'static str,
    #[case] kind: &str,
) {
    let host = Host::start_raw();
    host.standin.script(&[endless(start, text, 0)]);
    let began = time::Instant::now();
    let answer = prompt(&host, "talk");
    assert_eq!((answer.status, answer.end), (200, End::Marked));
    let events: Vec<_> = answer.body.lines().filter(|line| !line.starts_with(':')).collect();
    assert!(events.join("\n").trim_start().starts_with("id: 1\ndata: word 1\n"), "{events:?}");
    assert!(began.elapsed() < SOON, "{:?}", began.elapsed());
    assert_closed(&host);
    assert_eq!(violations(&host, "answer", kind), 1);
}

/// Guards against the same in an answer that is not streamed.
#[rstest]
#[case::head("HTTP/1.1 200 OK\r\n", "x-filler: abcdefgh\r\n", "head")]
#[case::extension(joined(&[&STREAM.replace("event-stream", "plain"), "5;"]), FILLER, "framing")]
#[case::body(joined(&[&STREAM.replace("event-stream", "plain"), "fffffff\r\n"]), FILLER, "body")]
fn a_plain_request_leaves_an_upstream_that_pours(
    #[case] start: &'static str,
    #[case] text: &'static str,
    #[case] kind: &str,
) {
    let host = Host::start_raw();
    host.standin.script(&[endless(start, text, 0)]);
    let answer = look(&host);
    assert_eq!((answer.status, answer.end), (200, End::Marked));
    assert_closed(&host);
    assert_eq!(violations(&host, "answer", kind), 1);
}

/// Guards against a request that may run only once and is sent again after such an answer: it may
/// have run, so its caller is told so, and at once.
#[rstest]
fn a_request_that_may_run_once_ends_clearly() {
    let host = Host::start_raw();
    host.standin.script(&[endless("HTTP/1.1 200 OK\r\n", "x-filler: abcdefgh\r\n", 0)]);
    let began = time::Instant::now();
    let answer = call(host.callers, &request("POST", "/book/1", "content-length: 0\r\n"));
    assert_eq!(answer.status, 502, "{}", answer.body);
    assert!(began.elapsed() < SOON, "{:?}", began.elapsed());
    assert_closed(&host);
    assert_eq!(host.standin.received_requests().len(), 1);
}

/// Guards against an upstream that writes on behind a complete body, which must neither reach the
/// caller nor be read on.
#[rstest]
#[case::chunked(joined(&[STREAM, "5\r\n: ok\n\r\n0\r\n\r\n"]))]
#[case::length(joined(&[&TEXT.replace("90", "5"), "whole"]))]
fn bytes_behind_a_whole_body_are_not_read(#[case] start: &'static str) {
    let host = Host::start_raw();
    host.standin.script(&[endless(start, FILLER, 0)]);
    let answer = if start.contains("chunked") { prompt(&host, "tell") } else { look(&host) };
    assert_eq!((answer.status, answer.end), (200, End::Marked));
    assert!(answer.body.len() <= 5, "{}", answer.body.len());
    assert_closed(&host);
}

/// Guards against one piece a second, which is no silence: each keeps the request at this upstream
/// until its deadline.
#[rstest]
#[case::event(joined(&[STREAM, "fffffff\r\ndata: "]), "x", "slow_event")]
#[case::comment(joined(&[STREAM, "fffffff\r\n: "]), "x", "slow_event")]
fn a_prompt_leaves_an_upstream_that_trickles(
    #[case] start: &'static str,
    #[case] text: &'static str,
    #[case] kind: &str,
) {
    let host = Host::start_raw();
    host.standin.script(&[endless(start, text, 900)]);
    let began = time::Instant::now();
    let answer = prompt(&host, "talk");
    assert_eq!((answer.status, answer.end), (200, End::Marked));
    assert_eq!(answer.body, raw::events_after(0, "\n"));
    assert!(began.elapsed() < time::Duration::from_secs(6), "{:?}", began.elapsed());
    assert_closed(&host);
    assert_eq!(violations(&host, "answer", kind), 1);
}

/// Guards against the same before any byte of the body, at an upstream that cannot be abandoned for
/// its silence since the request may run only once.
#[rstest]
#[case::head("HTTP/1.1 200 OK\r\n", "slow_head", 502)]
#[case::extension(joined(&[STREAM, "5;"]), "slow_framing", 200)]
fn a_prompt_that_may_run_once_ends_clearly(
    #[case] start: &'static str,
    #[case] kind: &str,
    #[case] status: u16,
) {
    let host = Host::start_raw();
    host.standin.script(&[endless(start, "x", 900)]);
    let began = time::Instant::now();
    let answer = prompt(&host, "tell");
    assert_eq!(answer.status, status, "{}", answer.body);
    assert!(status != 200 || answer.end == End::Early);
    assert!(began.elapsed() < time::Duration::from_secs(6), "{:?}", began.elapsed());
    assert_closed(&host);
    assert_eq!(violations(&host, "answer", kind), 1);
}

/// Guards against the same in an answer that is not streamed.
#[rstest]
fn a_plain_request_leaves_an_upstream_that_trickles() {
    let host = Host::start_raw();
    host.standin.script(&[endless(TEXT, "x", 900)]);
    let began = time::Instant::now();
    let answer = look(&host);
    assert_eq!((answer.status, answer.end), (200, End::Marked));
    assert!(began.elapsed() < time::Duration::from_secs(6), "{:?}", began.elapsed());
    assert_closed(&host);
    assert_eq!(violations(&host, "answer", "slow_body"), 1);
}

/// Guards against keep-alive comments, at a usual pace, that are taken for such bytes.
#[rstest]
fn keep_alive_comments_are_no_violation() {
    let host = Host::start_raw();
    let start = joined(&[STREAM, "fffffff\r\nid: 1\ndata: a\n\n"]);
    host.standin.script(&[endless(start, ": alive\n\n", 200)]);
    let answer = prompt(&host, "tell");
    assert_eq!((answer.status, answer.end), (200, End::Early), "ended by its deadline");
    assert_eq!(violations(&host, "answer", ""), 0);
    assert!(answer.body.matches(": alive").count() > 20, "{}", answer.body);
}

/// Guards against the same bytes in place of an engine's report. Prompts go on to be answered, since
/// an engine that fails is used if there is no other.
#[rstest]
fn a_report_that_pours_is_left() {
    let host = Host::start_raw();
    host.standin.report_poured.store(true, atomic::Ordering::Relaxed);
    host.until("counted", || violations(&host, "report", "head") > 0);
    assert_closed(&host);
    host.standin.report_poured.store(false, atomic::Ordering::Relaxed);
    assert_eq!(prompt(&host, "talk").body, raw::events_after(0, "\n"));
}

/// A store that sends `start` and filler to every call while `pours` is set, and is the stand-in's otherwise.
fn pouring_store(
    standin: &Standin,
    start: &'static str,
    pours: sync::Arc<atomic::AtomicBool>,
    written: sync::Arc<atomic::AtomicUsize>,
) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let store = standin.store_address;
    std::thread::spawn(move || {
        for caller in listener.incoming().map(Result::unwrap) {
            let (pours, written) = (pours.clone(), written.clone());
            std::thread::spawn(move || {
                if pours.load(atomic::Ordering::Relaxed) {
                    pour(caller, start, &written);
                } else {
                    carry(caller, net::TcpStream::connect(store).unwrap());
                }
            });
        }
    });
    address
}

/// Sends `start` and then filler until the connection is closed, and adds up its bytes.
fn pour(mut caller: net::TcpStream, start: &str, written: &atomic::AtomicUsize) {
    let mut buffer = [0; 4096];
    drop(caller.read(&mut buffer));
    let mut sent = caller.write_all(start.as_bytes());
    while sent.is_ok() {
        sent = caller.write_all(FILLER.as_bytes());
        written.fetch_add(FILLER.len(), atomic::Ordering::Relaxed);
    }
}

/// Passes bytes on between two connections.
fn carry(caller: net::TcpStream, store: net::TcpStream) {
    let (mut from, mut to) = (caller.try_clone().unwrap(), store.try_clone().unwrap());
    std::thread::spawn(move || std::io::copy(&mut from, &mut to));
    drop(std::io::copy(&mut &store, &mut &caller));
    drop(caller.shutdown(net::Shutdown::Both));
}

/// Guards against the same bytes of the platform's store: they are no rows, and the next call has
/// to be made on another connection.
#[rstest]
#[case::head("HTTP/1.1 200 OK\r\nx-filler: ")]
#[case::extension("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;")]
#[case::body("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffff\r\n")]
#[case::behind_a_body("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno")]
fn a_store_that_pours_is_left(#[case] start: &'static str) {
    let standin = start_upstreams(Standin::raw_upstream);
    let pours = sync::Arc::new(atomic::AtomicBool::new(true));
    let written = sync::Arc::new(atomic::AtomicUsize::new(0));
    let store = pouring_store(&standin, start, pours.clone(), written.clone());
    let ended = std::thread::spawn(move || {
        std::thread::sleep(time::Duration::from_millis(1_000));
        pours.store(false, atomic::Ordering::Relaxed);
    });
    let host = Host::join(&standin, HostSettings { store: Some(store), ..Default::default() });
    ended.join().unwrap();
    // Several calls were made.
    let written = written.load(atomic::Ordering::Relaxed);
    assert!(written < 8 * MAX_POURED, "{written} bytes");
    assert_eq!(prompt(&host, "talk").body, raw::events_after(0, "\n"));
    if !start.ends_with("no") {
        assert!(violations(&host, "store", "") > 0);
    }
}

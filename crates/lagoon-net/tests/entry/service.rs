//! Plain services: what is forwarded, and what the caller gets when a call fails.
//!
//! The service `pickup` is served by stand-in replicas (runners); a POST to it is a booking.

use std::io::Write as _;
use std::net;
use std::time;

use lagoon_net::entry;
use lagoonline::control::document;
use rstest::rstest;

use crate::host;
use crate::runner::{LONG_BODY, Runner, start};

fn start_host(services: &[(&str, net::SocketAddr)]) -> host::Host {
    let settings = host::settings(vec![host::section(&[], services, true)]);
    host::Host { running: entry::start(settings).unwrap(), engines: Vec::new() }
}

#[test]
fn passes_method_path_query_headers_and_body() {
    let (address, calls) = start(Runner::Answer);
    let host = start_host(&[("pickup", address)]);
    let headers = "X-Crew: 3\r\nConnection: close\r\n";
    let request = host::request("PROPFIND", "/services/pickup/a/b?c=d", headers, "tin");
    let answer = host.exchange(&request);
    assert_eq!(host::status(&answer), "201", "{answer}");
    assert!(answer.ends_with("bin"), "{answer}");
    let head = answer.to_lowercase();
    assert!(head.contains("lagoon-outcome: done") && head.contains("x-tin: 7"), "{answer}");
    let call = calls.lock().unwrap().join("");
    assert!(call.starts_with("propfind /a/b?c=d http/1.1\r\n"), "{call}");
    assert!(call.contains("x-crew: 3") && call.ends_with("tin"), "{call}");
    assert!(call.contains("lagoon-deadline-ms: ") && call.contains("lagoon-owner: suva-1/"));
    assert!(!call.contains("authorization"), "{call}");
    host.finish();
}

#[test]
fn passes_a_chunked_body() {
    let (address, calls) = start(Runner::Answer);
    let host = start_host(&[("pickup", address)]);
    let request = format!(
        "POST /services/pickup/x HTTP/1.1\r\nAuthorization: Bearer {}\r\nConnection: close\r\n\
         Transfer-Encoding: chunked\r\n\r\n3\r\ntin\r\n3\r\ncan\r\n0\r\n\r\n",
        host::KEY
    );
    let answer = host.exchange(request.as_bytes());
    assert_eq!(host::status(&answer), "201", "{answer}");
    let call = calls.lock().unwrap().join("");
    assert!(call.contains("tin") && call.contains("can"), "{call}");
    host.finish();
}

// The runner reads a booking and closes the connection, or responds for another attempt. Whether
// the call ran cannot be known, so the caller gets `unknown`. A POST is not sent again; a GET is
// retried on the other runner.
#[rstest]
#[case("POST", Runner::CloseAfterReading, 1)]
#[case("POST", Runner::AnswerOtherAttempt, 1)]
#[case("GET", Runner::CloseAfterReading, 2)]
// An answer that ends with its connection may have been broken off.
#[case("POST", Runner::AnswerUnframed, 1)]
#[case("POST", Runner::AnswerHttp10, 1)]
#[case("GET", Runner::AnswerUnframed, 2)]
#[case("GET", Runner::AnswerHttp10, 2)]
// In the status line, after it, in a field, after all fields, and before the last line end.
#[case("POST", Runner::CloseInsideHead(7), 1)]
#[case("POST", Runner::CloseInsideHead(22), 1)]
#[case("POST", Runner::CloseInsideHead(60), 1)]
#[case("POST", Runner::CloseInsideHead(72), 1)]
#[case("POST", Runner::CloseInsideHead(usize::MAX), 1)]
#[case("GET", Runner::CloseInsideHead(22), 2)]
#[case("GET", Runner::CloseInsideHead(72), 2)]
#[case("GET", Runner::CloseInsideHead(usize::MAX), 2)]
fn a_lost_answer_is_unknown(#[case] method: &str, #[case] runner: Runner, #[case] sent: usize) {
    let (first, first_calls) = start(runner);
    let (second, second_calls) = start(runner);
    let host = start_host(&[("pickup", first), ("pickup", second)]);
    let body = if method == "POST" { "tin" } else { "" };
    let answer = host.exchange(&host::request(method, "/services/pickup/x", "", body));
    assert_eq!(host::status(&answer), "502", "{answer}");
    assert!(answer.to_lowercase().contains("lagoon-outcome: unknown"), "{answer}");
    let calls = first_calls.lock().unwrap().len() + second_calls.lock().unwrap().len();
    assert_eq!(calls, sent);
    host.finish();
}

/// Returns what a caller of HTTP/1.0 gets for a booking.
fn book_with_http10(host: &host::Host) -> String {
    let request = host::request("POST", "/services/pickup/x", "", "tin");
    let request = String::from_utf8(request).unwrap().replace("HTTP/1.1", "HTTP/1.0");
    host.exchange(request.as_bytes())
}

// Guards against an answer that breaks off and looks whole to a caller of HTTP/1.0, which has no
// chunks: its body would end with its connection.
#[test]
fn a_broken_answer_in_chunks_is_no_success_for_callers_of_http_1_0() {
    let (address, _calls) = start(Runner::BreakOffChunks);
    let host = start_host(&[("pickup", address)]);
    let answer = book_with_http10(&host);
    assert_eq!(host::status(&answer), "502", "{answer}");
    assert!(answer.to_lowercase().contains("lagoon-outcome: unknown"), "{answer}");
    host.finish();
}

// Guards against an error that the HTTP server writes into the body of an answer that breaks off:
// it would complete the announced length.
#[rstest]
#[case::length(Runner::BreakOffLength)]
#[case::chunks(Runner::BreakOffChunks)]
fn nothing_follows_an_answer_that_breaks_off(#[case] runner: Runner) {
    let (address, _calls) = start(runner);
    let host = start_host(&[("pickup", address)]);
    let answer = host.exchange(&host::request("POST", "/services/pickup/x", "", "tin"));
    let (_, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
    assert!(body.len() < LONG_BODY && !body.ends_with("0\r\n\r\n"), "{} bytes", body.len());
    assert!(!body.contains("HTTP/1.1"), "{}", &body[body.len().saturating_sub(200)..]);
    host.finish();
}

// Guards against an answer whose end a caller of HTTP/1.0 cannot see.
#[test]
fn an_answer_in_chunks_has_a_length_for_callers_of_http_1_0() {
    let (address, _calls) = start(Runner::AnswerInChunks);
    let host = start_host(&[("pickup", address)]);
    let answer = book_with_http10(&host);
    assert_eq!(host::status(&answer), "201", "{answer}");
    let head = answer.to_lowercase();
    assert!(
        head.contains("content-length: 6") && head.contains("lagoon-outcome: done"),
        "{answer}"
    );
    assert!(answer.ends_with("\r\n\r\ntincan"), "{answer}");
    host.finish();
}

// No connection can be established, or the runner refuses the call as not run: the caller gets
// `not-run`.
#[rstest]
#[case(true)]
#[case(false)]
fn a_call_that_did_not_run_is_told_so(#[case] listens: bool) {
    let (address, _calls) = start(Runner::RefuseAsNotRun);
    let closed = net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let host = start_host(&[("pickup", if listens { address } else { closed })]);
    let answer = host.exchange(&host::request("POST", "/services/pickup/x", "", "tin"));
    assert_eq!(host::status(&answer), "503", "{answer}");
    assert!(answer.to_lowercase().contains("lagoon-outcome: not-run"), "{answer}");
    host.finish();
}

// A caller sends half of a booking and then stops or disconnects. The runner may have received that
// half, so a caller that is still connected gets 408 with `unknown`. The connection to the runner
// is cut, so that the runner cannot take the half for a complete body.
#[rstest]
#[case::silent(false)]
#[case::gone(true)]
fn an_incomplete_body_is_unknown(#[case] leaves: bool) {
    let (address, calls) = start(Runner::Answer);
    let host = start_host(&[("pickup", address)]);
    let head = format!(
        "POST /services/pickup/x HTTP/1.1\r\nAuthorization: Bearer {}\r\n\
         Content-Length: 500000\r\n\r\n{}",
        host::KEY,
        "a".repeat(200_000)
    );
    let mut stream = host.connect();
    stream.write_all(head.as_bytes()).unwrap();
    if leaves {
        drop(stream);
    } else {
        let answer = host::read_all(&mut stream);
        assert_eq!(host::status(&answer), "408", "{answer}");
        assert!(answer.to_lowercase().contains("lagoon-outcome: unknown"), "{answer}");
    }
    host::wait_until("the runner's connection was cut", || {
        calls.lock().unwrap().iter().any(|call| call.len() < 500_000)
    });
    host.finish();
}

// Without a table service the key cannot be recorded. The booking is not sent, and the caller gets
// `not-run` and a time to retry.
#[test]
fn a_keyed_booking_needs_the_platform() {
    let (address, calls) = start(Runner::Answer);
    let host = start_host(&[("pickup", address)]);
    let headers = "Idempotency-Key: k1\r\n";
    let answer = host.exchange(&host::request("POST", "/services/pickup/x", headers, "tin"));
    assert_eq!(host::status(&answer), "503", "{answer}");
    let head = answer.to_lowercase();
    assert!(head.contains("lagoon-outcome: not-run") && head.contains("retry-after"), "{answer}");
    assert!(calls.lock().unwrap().is_empty());
    host.finish();
}

/// Starts a host with one runner that has one slot.
fn start_single_slot(address: net::SocketAddr, service_wait: time::Duration) -> host::Host {
    let section = host::section(&[], &[("pickup", address)], true);
    let single_slot = r#""service":"pickup","slots":1"#;
    let text = section.text.replace(r#""service":"pickup""#, single_slot);
    let section = document::Section::parse(section.team, section.version, &text).unwrap();
    let settings = host::settings(vec![section]);
    let limits = entry::Limits { service_wait, ..settings.limits };
    let settings = entry::Settings { limits, ..settings };
    host::Host { running: entry::start(settings).unwrap(), engines: Vec::new() }
}

fn call_at_once(host: &host::Host, calls: usize) -> Vec<String> {
    let request = host::request("POST", "/services/pickup/x", "", "tin");
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..calls).map(|_| scope.spawn(|| host.exchange(&request))).collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    })
}

// Six crews call a runner with one slot at once. Without a queue five of them would get 503
// although the runner is free within a second; they wait instead, and all are served.
#[test]
fn calls_wait_for_a_free_slot() {
    let (address, calls) = start(Runner::AnswerSlowly);
    let host = start_single_slot(address, host::PATIENCE);
    for answer in call_at_once(&host, 6) {
        assert_eq!(host::status(&answer), "201", "{answer}");
    }
    assert_eq!(calls.lock().unwrap().len(), 6);
    host.finish();
}

// The same without waiting: a call that finds no slot is refused at once with `not-run` and a time
// to retry.
#[test]
fn a_wait_for_a_slot_is_bounded() {
    let (address, calls) = start(Runner::AnswerSlowly);
    let host = start_single_slot(address, time::Duration::ZERO);
    let answers = call_at_once(&host, 12);
    let refused = answers.iter().filter(|answer| host::status(answer) == "503");
    let refused: Vec<_> = refused.map(|answer| answer.to_lowercase()).collect();
    assert!(!refused.is_empty());
    for answer in &refused {
        assert!(answer.contains("retry-after") && answer.contains("\"saturated\""), "{answer}");
        assert!(answer.contains("lagoon-outcome: not-run"), "{answer}");
    }
    assert_eq!(calls.lock().unwrap().len(), answers.len() - refused.len());
    host.finish();
}

/// The response to HEAD announces the length that a response to GET would have.
#[test]
fn an_answer_to_head_keeps_its_length() {
    let (address, _calls) = start(Runner::AnswerHead);
    let host = start_host(&[("pickup", address)]);
    let answer = host.exchange(&host::request("HEAD", "/services/pickup/x", "", ""));
    assert_eq!(host::status(&answer), "200", "{answer}");
    assert!(answer.to_lowercase().contains("content-length: 12345"), "{answer}");
    assert!(answer.ends_with("\r\n\r\n"), "{answer}");
    host.finish();
}

/// One of three replicas reads every booking and closes the connection. Since its calls end at once
/// it always has the fewest in progress: without a circuit breaker it would get every booking, and
/// all would end as unknown. Three callers get `unknown`, or up to five on a machine so slow that
/// the circuit is probed meanwhile; the others are served by the other two replicas.
#[test]
fn a_replica_that_loses_every_answer_is_ejected() {
    let runners = [Runner::CloseAfterReading, Runner::Answer, Runner::Answer].map(start);
    let services: Vec<_> = runners.iter().map(|(address, _)| ("pickup", *address)).collect();
    let host = start_host(&services);
    let answers: Vec<String> =
        (0..12).map(|number| host.post("/services/pickup/x", "", &number.to_string())).collect();
    let unknown = answers.iter().filter(|answer| host::status(answer) == "502").count();
    let done = answers.iter().filter(|answer| host::status(answer) == "201").count();
    assert_eq!(unknown + done, 12, "{answers:?}");
    assert!((3..=5).contains(&unknown), "{answers:?}");
    host.finish();
}

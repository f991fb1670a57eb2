//! Malformed and incomplete requests: each gets a clear error, and no resource is leaked.

use std::io::Write as _;

use rstest::rstest;

use crate::host;

#[rstest]
#[case::not_json("{", "400", "malformed")]
#[case::no_model("{\"prompt\":\"a\"}", "400", "malformed")]
#[case::unknown_model("{\"model\":\"x\",\"prompt\":\"a\"}", "404", "unknown_name")]
#[case::too_long(
    "{\"model\":\"model\",\"prompt\":\"a\",\"max_tokens\":9000000}",
    "413",
    "too_long"
)]
fn refuses_bad_bodies(#[case] body: &str, #[case] status: &str, #[case] code: &str) {
    let host = host::Host::start(vec![host::quick()]);
    let answer = host.post("/v1/completions", "", body);
    assert_eq!(host::status(&answer), status, "{answer}");
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{answer}");
    assert!(answer.to_lowercase().contains("lagoon-outcome: not-run"), "{answer}");
    host.finish();
}

#[rstest]
#[case::negative("Lagoon-Deadline-Ms: -5\r\n")]
#[case::zero("Lagoon-Deadline-Ms: 0\r\n")]
#[case::absurd("Lagoon-Deadline-Ms: 99999999999999999999999\r\n")]
#[case::above_the_customers_maximum("Lagoon-Deadline-Ms: 60001\r\n")]
#[case::no_number("Lagoon-Deadline-Ms: soon\r\n")]
#[case::bad_key("Idempotency-Key: a b\r\n")]
fn refuses_bad_headers(#[case] headers: &str) {
    let host = host::Host::start(vec![host::quick()]);
    let answer = host.post("/v1/completions", headers, &host::completion("a", 1, false));
    assert_eq!(host::status(&answer), "400", "{answer}");
    host.finish();
}

#[test]
fn refuses_a_wrong_key_and_none() {
    let host = host::Host::start(vec![host::quick()]);
    for header in ["Authorization: Bearer other\r\n", "Authorization: Basic x\r\n", ""] {
        let request = format!("GET /v1/models HTTP/1.1\r\nConnection: close\r\n{header}\r\n");
        let answer = host.exchange(request.as_bytes());
        assert_eq!(host::status(&answer), "401", "{answer}");
    }
    host.finish();
}

#[test]
fn refuses_invalid_utf8() {
    let host = host::Host::start(vec![host::quick()]);
    let head =
        host::request("POST", "/v1/completions", "", "{\"model\":\"model\",\"prompt\":\"??\"}");
    let bytes: Vec<u8> = head.iter().map(|byte| if *byte == b'?' { 0xff } else { *byte }).collect();
    let answer = host.exchange(&bytes);
    assert_eq!(host::status(&answer), "400", "{answer}");
    host.finish();
}

#[test]
fn refuses_an_oversized_head_and_body() {
    let host = host::Host::start(vec![host::quick()]);
    let headers = format!("X-Long: {}\r\n", "a".repeat(100 << 10));
    let answer = host.post("/v1/completions", &headers, "{}");
    assert!(host::status(&answer).starts_with('4') || answer.is_empty(), "{answer}");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
        host::KEY,
        1_u64 << 40
    );
    let answer = host.exchange(head.as_bytes());
    assert_eq!(host::status(&answer), "413", "{answer}");
    host.finish();
}

#[test]
fn a_slow_body_ends_with_408() {
    let host = host::Host::start(vec![host::quick()]);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer {}\r\nContent-Length: 50\r\n\r\n{{",
        host::KEY
    );
    let answer = host.exchange(head.as_bytes());
    assert_eq!(host::status(&answer), "408", "{answer}");
    host.finish();
}

#[test]
fn half_a_body_leaves_nothing_behind() {
    let host = host::Host::start(vec![host::quick()]);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer {}\r\nContent-Length: 50\r\n\r\n{{",
        host::KEY
    );
    host.connect().write_all(head.as_bytes()).unwrap();
    host::wait_until("the request was received and has ended", || {
        host.running.handle().active() == 0 && host.metrics().contains("lagoon_requests_total{")
    });
    assert!(host.engines[0].node().record().attempts.is_empty());
    host.finish();
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let host = host::Host::start(vec![host::quick()]);
    let first = "GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n".as_bytes();
    let second = host::request("POST", "/v1/completions", "", &host::completion("a", 3, false));
    let answer = host.exchange(&[first, &second].concat());
    let (_, rest) = answer.split_once("ok\n").unwrap();
    assert_eq!(host::status(rest), "200", "{answer}");
    host.finish();
}

#[test]
fn a_slow_head_is_closed() {
    let host = host::Host::start_with(vec![host::quick()], true, |settings| {
        let limits = lagoon_net::entry::Limits {
            head_timeout: std::time::Duration::from_secs(1),
            ..settings.limits
        };
        lagoon_net::entry::Settings { limits, ..settings }
    });
    let answer = host.exchange(b"GET /healthz HTTP/1.1\r\nHost: a\r\nX-S");
    assert_eq!(host::status(&answer), "408", "{answer}");
    host.finish();
}

// Many callers disconnect at every stage at once: after half a head, after half a body, while
// queued and in mid-stream. No resource stays held, and the host still serves calls.
#[test]
fn callers_that_vanish_leave_nothing() {
    let engine = lagoon_standin::engine::Settings { decode_ms: 200.0, ..host::quick() };
    let host = host::Host::start(vec![engine]);
    let call = host::completion("tin", 5_000, true);
    let request = host::request("POST", "/v1/completions", "", &call);
    std::thread::scope(|scope| {
        for index in 0..60 {
            let (host, request) = (&host, &request);
            scope.spawn(move || {
                let cut = if index % 3 == 0 { request.len() * index / 60 } else { request.len() };
                let mut stream = host.connect();
                stream.write_all(&request[..cut]).unwrap();
                std::thread::sleep(std::time::Duration::from_millis(index as u64));
            });
        }
    });
    host::wait_until("the engine has its memory back", || {
        let record = host.engines[0].node().record();
        record.bytes_reserved == record.bytes_returned
    });
    let answer = host.post("/v1/completions", "", &host::completion("a", 3, false));
    assert_eq!(host::status(&answer), "200", "{answer}");
    host.finish();
}

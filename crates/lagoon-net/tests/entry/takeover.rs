//! A caller whose entry host died retries with its idempotency key at another host.
//!
//! The dead host is represented by what it left behind: the row of a claim in the table, and a
//! stream on the engine that nobody reads.

use std::io::{Read as _, Write as _};
use std::time;

use lagoon_standin::engine;
use lagoonline::id;
use lagoonline::lifecycle::claim;
use rstest::rstest;
use serde_json::Value;

use crate::claims;
use crate::host;

const ATTEMPT: id::Attempt = id::Attempt(7);
const TOKENS: u64 = 40;

/// A new host, the table with the dead host's claim, and the body of the interrupted call.
struct Fixture {
    host: host::Host,
    rows: claims::Table,
    call: String,
}

/// Starts a host, with the claim and the stream of another host that died while it served `prompt`.
fn start_after_death(prompt: &str, stream: bool, continues: bool, scale: f64) -> Fixture {
    let settings = engine::Settings { time_scale: scale, resume_ms: 600_000, ..host::quick() };
    let (host, rows) = claims::start_one(settings, continues);
    let call = host::completion(prompt, TOKENS, stream);
    let record = claim::Record {
        token: ATTEMPT.to_string(),
        body: claim::request_hash("POST", "/v1/completions", call.as_bytes()),
        holder: "suva-0/1".to_owned(),
        written_ms: 1,
        state: claim::State::Claimed {
            attempt: ATTEMPT.to_string(),
            upstream: id::Upstream::from("engine-0"),
        },
    };
    let key = claim::row_key(&id::Customer::from("crew"), "k1");
    rows.node().put(&key, &serde_json::to_string(&record).unwrap());
    let mut dying = host::connect(host.engines[0].address());
    let head = format!(
        "POST /generate HTTP/1.1\r\nHost: e\r\nContent-Length: {}\r\nLagoon-Attempt: {ATTEMPT}\r\n\
         Lagoon-Owner: suva-0/1\r\nLagoon-Model: model\r\nLagoon-Answer-Tokens: {TOKENS}\r\n\
         Lagoon-Deadline-Ms: 600000\r\n\r\n{call}",
        call.len()
    );
    dying.write_all(head.as_bytes()).unwrap();
    // The other host dies after it has read the response head and some tokens.
    let (mut read, mut buffer) = (0, [0; 1_024]);
    while read < 1_000 {
        read += dying.read(&mut buffer).unwrap();
    }
    Fixture { host, rows, call }
}

/// Returns the headers of a retry: the idempotency key, and the position to resume at if there is
/// one.
fn retry_headers(from: Option<u64>) -> String {
    let resume = from.map(|from| format!("Lagoon-Resume-From: {from}\r\n"));
    format!("Idempotency-Key: k1\r\n{}", resume.unwrap_or_default())
}

/// Returns the number of tokens in a complete response.
fn tokens(answer: &str, stream: bool) -> u64 {
    if stream {
        assert!(answer.contains("data: [DONE]"), "{answer}");
        return answer.matches("\"finish_reason\":null").count() as u64;
    }
    let body: Value = serde_json::from_str(answer.split_once("\r\n\r\n").unwrap().1).unwrap();
    let text = body["choices"][0]["text"].as_str().unwrap();
    text.split_whitespace().count() as u64
}

/// The caller gets the rest of its response from the position that it asks for, or all of it
/// without a position, streamed or not. The engine ran a single attempt, which now belongs to the
/// new host, and frees its memory.
#[rstest]
#[case(true, Some(5))]
#[case(true, None)]
#[case(false, Some(5))]
#[case(false, None)]
fn a_dead_hosts_stream_is_resumed(#[case] stream: bool, #[case] from: Option<u64>) {
    let fixture = start_after_death("tin", stream, false, 50.0);
    let answer = fixture.host.post("/v1/completions", &retry_headers(from), &fixture.call);
    assert_eq!(host::status(&answer), "200", "{answer}");
    assert_eq!(tokens(&answer, stream), TOKENS - from.unwrap_or(0), "{answer}");
    let engine = fixture.host.engines[0].node().clone();
    assert_eq!(engine.record().attempts.len(), 1);
    host::wait_until("the memory is back", || {
        engine.record().bytes_reserved == engine.record().bytes_returned
    });
    fixture.host.finish();
}

/// The engine has restarted too, so the stream is gone. A caller without a position gets a new
/// response. One with a position gets the response continued where the model allows that and an
/// error otherwise, since the rest of a different response does not fit the part it has.
#[rstest]
#[case(None, false, "200")]
#[case(Some(5), true, "200")]
#[case(Some(5), false, "502")]
fn a_retry_after_the_engine_restarted(
    #[case] from: Option<u64>,
    #[case] continues: bool,
    #[case] status: &str,
    #[values(true, false)] stream: bool,
) {
    let fixture = start_after_death("tin", stream, continues, 50.0);
    let engine = fixture.host.engines[0].node().clone();
    engine.set_faults(engine::Faults { down: true, ..engine.faults() });
    engine.set_faults(engine::Faults::default());
    let answer = fixture.host.post("/v1/completions", &retry_headers(from), &fixture.call);
    assert_eq!(host::status(&answer), status, "{answer}");
    if status == "200" {
        assert_eq!(tokens(&answer, stream), TOKENS - from.unwrap_or(0), "{answer}");
    } else {
        assert!(answer.to_lowercase().contains("lagoon-outcome: unknown"), "{answer}");
    }
    assert!(!fixture.rows.node().rows("").is_empty());
    fixture.host.finish();
}

/// Returns the seconds from the call to its first token.
fn first_token(host: &host::Host, headers: &str, call: &str) -> f64 {
    let began = time::Instant::now();
    let mut stream = host.connect();
    stream.write_all(&host::request("POST", "/v1/completions", headers, call)).unwrap();
    let (mut text, mut buffer) = (String::new(), [0; 4_096]);
    while !text.contains("\"finish_reason\":null") {
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "{text}");
        text.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    let first = began.elapsed().as_secs_f64();
    host::read_all(&mut stream);
    first
}

/// The engine prefilled a million-token prompt for the host that died. After the takeover the
/// response continues without a second prefill; another caller's prompt of the same length shows
/// how long that would take.
#[test]
fn a_million_tokens_are_not_prefilled_again() {
    let prompt = "a".repeat(4 * 1_000_000);
    let fixture = start_after_death(&prompt, true, true, 10.0);
    let taken = first_token(&fixture.host, &retry_headers(Some(5)), &fixture.call);
    let engine = fixture.host.engines[0].node().clone();
    assert_eq!(engine.record().attempts.len(), 1);
    let other = host::completion(&"b".repeat(4 * 1_000_000), TOKENS, true);
    let anew = first_token(&fixture.host, "", &other);
    println!(
        "first token: {taken:.3} s taken over, {anew:.3} s prefilled, engine 10 times as fast"
    );
    fixture.host.finish();
}

/// A steward frees the memory of streams that belong to a dead host. A stream that was taken over
/// is being read, so the engine must have recorded its new owner.
#[test]
fn a_taken_over_stream_belongs_to_the_new_host() {
    let fixture = start_after_death("tin", true, false, 0.5);
    let engine = fixture.host.engines[0].address();
    let mut caller = fixture.host.connect();
    let request = host::request("POST", "/v1/completions", &retry_headers(None), &fixture.call);
    caller.write_all(&request).unwrap();
    host::wait_until("the engine knows the new owner", || {
        let mut stream = host::connect(engine);
        let ask = "GET /holdings HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n";
        stream.write_all(ask.as_bytes()).unwrap();
        host::read_all(&mut stream).contains("\"owner\":\"suva-1/")
    });
    host::read_all(&mut caller);
    fixture.host.finish();
}

//! Streams that break, mix up attempts, are cancelled or are read slowly.

use std::io::Read as _;
use std::io::Write as _;

use lagoon_net::entry;
use lagoon_standin::engine;
use rstest::rstest;

use crate::host;

/// Starts a host whose engines all have `faults`.
fn faulty(faults: engine::Faults, continues: bool, engines: usize) -> host::Host {
    let host = host::Host::start_with(vec![host::quick(); engines], continues, |settings| settings);
    for engine in &host.engines {
        engine.node().set_faults(faults.clone());
    }
    host
}

// The connection breaks every few chunks, or repeats a chunk. The entry host stops reading it and
// resumes the stream at the next chunk: the caller gets each of the 40 tokens once, and `[DONE]`.
#[rstest]
#[case(engine::Faults { cut_after_chunks: 15, ..engine::Faults::default() })]
#[case(engine::Faults { repeat_chunks: 7, ..engine::Faults::default() })]
fn a_broken_stream_is_taken_up_again(#[case] faults: engine::Faults) {
    let host = faulty(faults, true, 1);
    let answer = host.post("/v1/completions", "", &host::completion("tin", 40, true));
    assert_eq!(answer.matches("\"finish_reason\":null").count(), 40, "{answer}");
    assert!(answer.contains("data: [DONE]"), "{answer}");
    host.finish();
}

// Whenever the engine sends chunk 7 it names another attempt. The caller gets the tokens before it
// and then an `error` event: the chunk is never delivered, and the number of resumptions that bring
// it again is limited.
#[test]
fn a_chunk_of_another_attempt_never_reaches_the_caller() {
    let faults = engine::Faults { cross_chunks: 7, ..engine::Faults::default() };
    let host = faulty(faults, false, 1);
    let answer = host.post("/v1/completions", "", &host::completion("tin", 40, true));
    assert_eq!(answer.matches("\"finish_reason\":null").count(), 7, "{answer}");
    assert!(answer.contains("event: error"), "{answer}");
    assert!(!answer.contains("[DONE]"), "{answer}");
    // The chunk is refused in the first stream and in each of three resumptions.
    assert!(host.metrics().contains("lagoon_chunks_refused_total{cause=\"crossed\"} 4"));
    host.finish();
}

// The engine dies after the first tokens. The other engine continues after the tokens that the
// caller has: the caller gets each token once.
#[test]
fn continues_on_another_engine() {
    let slow = engine::Settings { decode_ms: 500.0, ..host::quick() };
    let host = host::Host::start(vec![slow; 2]);
    let mut stream = host.connect();
    let call = host::completion("tin", 60, true);
    stream.write_all(&host::request("POST", "/v1/completions", "", &call)).unwrap();
    let mut first = [0; 400];
    stream.read_exact(&mut first).unwrap();
    let busy = host.engines.iter().find(|engine| !engine.node().record().attempts.is_empty());
    busy.unwrap().node().set_faults(engine::Faults { down: true, ..engine::Faults::default() });
    let rest = host::read_all(&mut stream);
    let answer = format!("{}{rest}", String::from_utf8_lossy(&first));
    assert_eq!(answer.matches("\"finish_reason\":null").count(), 60, "{answer}");
    assert!(answer.contains("data: [DONE]"), "{answer}");
    revive(&host);
    host.finish();
}

/// Brings dead engines back, so that they acknowledge the cancels that are repeated until then.
fn revive(host: &host::Host) {
    for engine in &host.engines {
        engine.node().set_faults(engine::Faults::default());
    }
}

// As above, but the model must not be continued on another engine. The caller gets an `error` event
// with the outcome `unknown` and no `[DONE]`.
#[test]
fn fails_clearly_where_it_must_not_continue() {
    let slow = engine::Settings { decode_ms: 500.0, ..host::quick() };
    let host = host::Host::start_with(vec![slow; 2], false, |settings| settings);
    let mut stream = host.connect();
    let call = host::completion("tin", 60, true);
    stream.write_all(&host::request("POST", "/v1/completions", "", &call)).unwrap();
    let mut first = [0; 400];
    stream.read_exact(&mut first).unwrap();
    for engine in &host.engines {
        engine.node().set_faults(engine::Faults { down: true, ..engine::Faults::default() });
    }
    let rest = host::read_all(&mut stream);
    assert!(rest.contains("event: error"), "{rest}");
    assert!(rest.contains("\"outcome\":\"unknown\""), "{rest}");
    assert!(!rest.contains("[DONE]"), "{rest}");
    revive(&host);
    host.finish();
}

// The caller disconnects while its stream is running. The engine is sent a cancel at once and frees
// the memory long before the response would have ended.
#[test]
fn a_caller_that_leaves_frees_the_engine() {
    let slow = engine::Settings { decode_ms: 1_000.0, ..host::quick() };
    let host = host::Host::start(vec![slow]);
    let mut stream = host.connect();
    let call = host::completion("tin", 10_000, true);
    stream.write_all(&host::request("POST", "/v1/completions", "", &call)).unwrap();
    let mut first = [0; 400];
    stream.read_exact(&mut first).unwrap();
    drop(stream);
    let engine = host.engines[0].node();
    host::wait_until("the engine has its memory back", || {
        let record = engine.record();
        record.bytes_reserved > 0 && record.bytes_reserved == record.bytes_returned
    });
    host.finish();
}

// As above for a response that is not streamed, while the engine is still generating it.
#[test]
fn a_caller_that_leaves_before_its_answer_frees_the_engine() {
    let slow = engine::Settings { decode_ms: 1_000.0, ..host::quick() };
    let host = host::Host::start(vec![slow]);
    let mut stream = host.connect();
    let call = host::completion("tin", 10_000, false);
    stream.write_all(&host::request("POST", "/v1/completions", "", &call)).unwrap();
    let engine = host.engines[0].node();
    host::wait_until("the engine works", || !engine.record().attempts.is_empty());
    drop(stream);
    host::wait_until("the engine has its memory back", || {
        let record = engine.record();
        record.bytes_reserved > 0 && record.bytes_reserved == record.bytes_returned
    });
    host.finish();
}

// The engine loses the first cancels. They are repeated until the engine acknowledges one.
#[test]
fn cancels_are_repeated() {
    let slow = engine::Settings { decode_ms: 1_000.0, ..host::quick() };
    let host = host::Host::start(vec![slow]);
    let engine = host.engines[0].node().clone();
    engine.set_faults(engine::Faults { lose_cancel: true, ..engine::Faults::default() });
    let call = host::completion("tin", 10_000, true);
    let answer = host.post("/v1/completions", "Lagoon-Deadline-Ms: 300\r\n", &call);
    assert!(answer.contains("deadline_passed"), "{answer}");
    host::wait_until("a cancel was repeated", || {
        let metrics = host.metrics();
        let line = "lagoon_cancels_total{cause=\"repeated\"} ";
        metrics.contains(line) && !metrics.contains(&format!("{line}0"))
    });
    engine.set_faults(engine::Faults::default());
    host::wait_until("a cancel was acknowledged", || {
        host.metrics().contains("lagoon_cancels_total{cause=\"acknowledged\"} 1")
    });
    let record = engine.record();
    assert_eq!(record.bytes_reserved, record.bytes_returned);
    host.finish();
}

// The caller does not read a long response. The entry host stops reading from the engine, so that
// only the socket buffers and the bounded channel hold data. At the deadline the engine is sent a
// cancel, and the slot is released.
#[test]
fn a_caller_that_reads_nothing_ends_at_its_deadline() {
    let fast = engine::Settings { decode_ms: 1.0, ..host::quick() };
    let host = host::Host::start(vec![fast]);
    let mut stream = host.connect();
    let call = host::completion("tin", 300_000, true);
    let headers = "Lagoon-Deadline-Ms: 1500\r\n";
    stream.write_all(&host::request("POST", "/v1/completions", headers, &call)).unwrap();
    let engine = host.engines[0].node();
    host::wait_until("the engine has its memory back", || {
        let record = engine.record();
        record.bytes_reserved > 0 && record.bytes_reserved == record.bytes_returned
    });
    let answer = host::read_all(&mut stream);
    assert!(answer.contains("deadline_passed"), "{}", &answer[answer.len() - 400..]);
    assert!(!answer.contains("[DONE]"));
    host.finish();
}

// As above, but the caller never reads at all and keeps its connection open. The request failed at
// its deadline, but would count as in progress until the caller disconnects, and a drain would wait
// for it. The host closes the connection shortly after the deadline.
#[test]
fn a_caller_that_never_reads_is_cut_off() {
    let fast = engine::Settings { decode_ms: 1.0, ..host::quick() };
    let host = host::Host::start_with(vec![fast], true, |settings| {
        let linger = std::time::Duration::from_millis(100);
        let limits = entry::Limits { linger, ..settings.limits };
        entry::Settings { limits, ..settings }
    });
    let mut stream = host.connect();
    let call = host::completion("tin", 1_000_000, true);
    let headers = "Lagoon-Deadline-Ms: 1500\r\n";
    stream.write_all(&host::request("POST", "/v1/completions", headers, &call)).unwrap();
    host::wait_until("the request is in progress", || host.running.handle().active() > 0);
    host::wait_until("no request is in progress", || host.running.handle().active() == 0);
    host.finish();
    let rest = host::read_all(&mut stream);
    assert!(rest.contains("HTTP/1.1 200"), "{rest}");
    assert!(!rest.contains("[DONE]"));
}

//! Idempotency keys over real sockets, with the stand-in platform.
//!
//! The customer `crew` books at the service `pickup`, which a stand-in replica (runner) serves.

use std::io::Write as _;
use std::sync;

use lagoon_net::entry;
use lagoon_net::platform;
use lagoon_standin::engine;
use lagoon_standin::platform as standin;
use lagoon_standin::server;
use rstest::rstest;

use crate::host;
use crate::runner::{self, Runner};

pub type Table = server::Running<standin::Platform>;

fn start_table() -> Table {
    standin::start(standin::Settings::default()).unwrap()
}

fn any_row(table: &Table, text: &str) -> bool {
    table.node().rows("").iter().any(|row| row.value.contains(text))
}

fn start(runner: Runner) -> (host::Host, sync::Arc<sync::Mutex<Vec<String>>>, Table) {
    let (address, calls) = runner::start(runner);
    let table = start_table();
    let settings = host::settings(vec![host::section(&[], &[("pickup", address)], true)]);
    let settings = entry::Settings {
        platform: Some(platform::Settings {
            address: table.address(),
            ..platform::Settings::default()
        }),
        ..settings
    };
    (host::Host { running: entry::start(settings).unwrap(), engines: Vec::new() }, calls, table)
}

fn book(host: &host::Host, body: &str) -> String {
    let headers = "Idempotency-Key: k1\r\n";
    host.exchange(&host::request("POST", "/services/pickup/x", headers, body))
}

// A crew books, loses the response and books again with the same key. It gets the same response,
// and the runner received one booking. A different body with the same key is refused as not run.
#[test]
fn a_key_books_once() {
    let (host, calls, table) = start(Runner::Answer);
    let first = book(&host, "tin");
    assert_eq!(host::status(&first), "201", "{first}");
    host::wait_until("the answer is stored", || any_row(&table, "\"done\""));
    let again = book(&host, "tin");
    assert_eq!(host::status(&again), "201", "{again}");
    assert!(again.ends_with("bin"), "{again}");
    assert!(again.to_lowercase().contains("lagoon-outcome: done"), "{again}");
    let other = book(&host, "can");
    assert_eq!(host::status(&other), "409", "{other}");
    assert!(other.to_lowercase().contains("lagoon-outcome: not-run"), "{other}");
    assert_eq!(calls.lock().unwrap().len(), 1);
    host.finish();
}

// The runner reads the booking and closes the connection, or its answer ends with the connection
// and may have been broken off. The caller gets `unknown`, also when it retries with the key: the
// booking is not sent again, and half an answer is not kept as the whole one.
#[rstest]
#[case(Runner::CloseAfterReading)]
#[case(Runner::AnswerUnframed)]
#[case(Runner::AnswerHttp10)]
fn a_lost_booking_is_not_sent_again(#[case] runner: Runner) {
    let (host, calls, table) = start(runner);
    for status in ["502", "409"] {
        let answer = book(&host, "tin");
        assert_eq!(host::status(&answer), status, "{answer}");
        assert!(answer.to_lowercase().contains("lagoon-outcome: unknown"), "{answer}");
    }
    assert!(!any_row(&table, "\"done\""));
    assert_eq!(calls.lock().unwrap().len(), 1);
    host.finish();
}

// The runner refuses the booking as not run. The key is released, and a retry sends the booking
// again.
#[test]
fn a_refused_booking_frees_its_key() {
    let (host, calls, table) = start(Runner::RefuseAsNotRun);
    for sent in 1..=2 {
        let answer = book(&host, "tin");
        assert_eq!(host::status(&answer), "503", "{answer}");
        assert!(answer.to_lowercase().contains("lagoon-outcome: not-run"), "{answer}");
        assert_eq!(calls.lock().unwrap().len(), sent);
        host::wait_until("the key is released", || any_row(&table, "\"released\""));
    }
    host.finish();
}

// The crew disconnects before the response. The booking still runs to its end, so that a retry with
// the key finds the response.
#[test]
fn a_caller_that_leaves_finds_its_answer() {
    let (host, calls, table) = start(Runner::Answer);
    let headers = "Idempotency-Key: k1\r\n";
    let request = host::request("POST", "/services/pickup/x", headers, "tin");
    let mut stream = host.connect();
    stream.write_all(&request).unwrap();
    host::wait_until("the booking was claimed", || any_row(&table, ""));
    drop(stream);
    host::wait_until("the answer is stored", || any_row(&table, "\"done\""));
    let again = book(&host, "tin");
    assert_eq!(host::status(&again), "201", "{again}");
    assert_eq!(calls.lock().unwrap().len(), 1);
    host.finish();
}

/// Starts one entry host with an engine and the table service.
pub fn start_one(engine: engine::Settings, continues: bool) -> (host::Host, Table) {
    let table = start_table();
    let platform = platform::Settings { address: table.address(), ..platform::Settings::default() };
    let with_platform = |settings| entry::Settings { platform: Some(platform), ..settings };
    (host::Host::start_with(vec![engine], continues, with_platform), table)
}

/// Starts two entry hosts that share an engine and the table service.
fn start_two(engine: engine::Settings) -> (host::Host, host::Host, Table) {
    let table = start_table();
    let platform = platform::Settings { address: table.address(), ..platform::Settings::default() };
    let with_platform = |settings| entry::Settings { platform: Some(platform), ..settings };
    let first = host::Host::start_with(vec![engine], true, with_platform.clone());
    let section = host::section(&[first.engines[0].address()], &[], true);
    let settings = entry::Settings {
        host: lagoonline::id::Host::from("suva-2"),
        ..with_platform(host::settings(vec![section]))
    };
    let second = host::Host { running: entry::start(settings).unwrap(), engines: Vec::new() };
    (first, second, table)
}

// A caller has 5 tokens of a response from one entry host and resumes at another with its key. It
// gets the tokens from index 5 on, of the same attempt. The finished response is stored: another
// call with the key returns all of it, and the engine still ran a single attempt.
#[test]
fn another_host_takes_a_stream_over() {
    let slow = engine::Settings { decode_ms: 1_000.0, ..host::quick() };
    let (first, second, table) = start_two(slow);
    let call = host::completion("tin", 60, true);
    let key = "Idempotency-Key: k1\r\n";
    let mut stream = first.connect();
    stream.write_all(&host::request("POST", "/v1/completions", key, &call)).unwrap();
    let engine = first.engines[0].node();
    host::wait_until("the engine works", || !engine.record().attempts.is_empty());
    let resume = format!("{key}Lagoon-Resume-From: 5\r\n");
    let rest = second.post("/v1/completions", &resume, &call);
    assert_eq!(rest.matches("\"finish_reason\":null").count(), 55, "{rest}");
    assert!(rest.contains("\"text\":\"5:") && !rest.contains("\"text\":\"4:"), "{rest}");
    assert!(rest.contains("data: [DONE]"), "{rest}");
    let whole = host::read_all(&mut stream);
    assert_eq!(whole.matches("\"finish_reason\":null").count(), 60, "{whole}");
    host::wait_until("the response is stored", || any_row(&table, "\"done\""));
    let again = second.post("/v1/completions", key, &call);
    assert_eq!(again.matches("\"finish_reason\":null").count(), 60, "{again}");
    assert!(again.contains("data: [DONE]"), "{again}");
    assert_eq!(engine.record().attempts.len(), 1);
    first.finish();
    second.finish();
}

// The engine is down during the first call, which fails and leaves a claim that names a stream the
// engine does not have. The next call with the key gets a new response. `cut_after_chunks` has no
// effect while the engine refuses connections.
#[test]
fn a_stream_that_is_gone_runs_again() {
    let (first, second, _table) = start_two(host::quick());
    let faults = engine::Faults { cut_after_chunks: 3, ..engine::Faults::default() };
    let engine = first.engines[0].node().clone();
    engine.set_faults(engine::Faults { down: true, ..faults });
    let call = host::completion("tin", 20, true);
    let key = "Idempotency-Key: k1\r\n";
    let failed = first.post("/v1/completions", key, &call);
    assert_eq!(host::status(&failed), "502", "{failed}");
    engine.set_faults(engine::Faults::default());
    let answer = second.post("/v1/completions", key, &call);
    assert_eq!(answer.matches("\"finish_reason\":null").count(), 20, "{answer}");
    assert!(answer.contains("data: [DONE]"), "{answer}");
    first.finish();
    second.finish();
}

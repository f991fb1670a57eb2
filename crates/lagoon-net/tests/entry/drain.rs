//! Shutdown of an entry host.

use std::io::Read as _;
use std::io::Write as _;
use std::time;

use lagoon_net::entry;
use lagoon_standin::engine;

use crate::host;

fn slow() -> engine::Settings {
    engine::Settings { decode_ms: 500.0, ..host::quick() }
}

/// Starts a streamed call and reads the beginning of its response.
fn begin(host: &host::Host, tokens: u64) -> std::net::TcpStream {
    let mut stream = host.connect();
    let call = host::completion("tin", tokens, true);
    stream.write_all(&host::request("POST", "/v1/completions", "", &call)).unwrap();
    let mut first = [0; 200];
    stream.read_exact(&mut first).unwrap();
    stream
}

// A drain starts while a stream is running. An idle connection gets 503 with `draining` and is
// closed; the stream continues to `[DONE]`; then the server stops by itself.
#[test]
fn a_drain_cuts_nothing() {
    let host = host::Host::start(vec![slow()]);
    let mut stream = begin(&host, 60);
    let mut idle = host.connect();
    host.running.drain();
    host::wait_until("new requests are refused", || {
        let call = host::completion("tin", 1, false);
        let answer = host.post("/v1/completions", "", &call);
        answer.contains("\"code\":\"draining\"") && answer.to_lowercase().contains("retry-after")
    });
    let ready = host.exchange(&host::request("GET", "/readyz", "", ""));
    assert_eq!(host::status(&ready), "503", "{ready}");
    let get = format!("GET /v1/models HTTP/1.1\r\nAuthorization: Bearer {}\r\n\r\n", host::KEY);
    idle.write_all(get.as_bytes()).unwrap();
    let refused = host::read_all(&mut idle);
    assert_eq!(host::status(&refused), "503", "{refused}");
    let rest = host::read_all(&mut stream);
    assert!(rest.contains("data: [DONE]"), "{rest}");
    assert_eq!(host.running.wait().unwrap(), entry::Ending::Clean);
}

// The grace limit passes, or a second signal arrives, while a stream is running. The caller gets an
// `error` event with the code `draining` and no `[DONE]`, and the engine's memory is freed.
#[rstest::rstest]
#[case::grace(false)]
#[case::second_signal(true)]
fn a_drain_cut_short_fails_clearly(#[case] second: bool) {
    let host = host::Host::start_with(vec![slow()], true, |settings| {
        let grace = if second { settings.grace } else { time::Duration::from_millis(200) };
        entry::Settings { grace, ..settings }
    });
    let mut stream = begin(&host, 100_000);
    host.running.drain();
    if second {
        host.running.handle().abort();
    }
    let rest = host::read_all(&mut stream);
    assert!(rest.contains("event: error"), "{rest}");
    assert!(rest.contains("\"code\":\"draining\""), "{rest}");
    assert!(!rest.contains("[DONE]"), "{rest}");
    assert_eq!(host.running.wait().unwrap(), entry::Ending::Cut(1));
    let engine = host.engines[0].node();
    host::wait_until("the engine has its memory back", || {
        let record = engine.record();
        record.bytes_reserved > 0 && record.bytes_reserved == record.bytes_returned
    });
}

//! Engines that accept a call and then send nothing.

use std::io::Read as _;
use std::io::Write as _;

use lagoon_standin::engine;
use rstest::rstest;

use crate::host;

/// Freeze time in milliseconds, longer than any deadline in these tests.
const FREEZE_MS: u64 = 600_000;

fn frozen() -> engine::Faults {
    engine::Faults { freeze_ms: FREEZE_MS, ..engine::Faults::default() }
}

fn cut() -> engine::Faults {
    engine::Faults { cut: vec!["suva".to_owned()], ..engine::Faults::default() }
}

fn is_working(engine: &engine::Engine) -> bool {
    let record = engine.record();
    record.bytes_reserved > record.bytes_returned
}

// One of two engines accepts calls and never starts a response (frozen), or its link drops all its
// responses (cut). Without detection, callers would wait until their deadline while the other
// engine is idle. The silence is detected, the call is cancelled there, and the other engine serves
// it.
#[rstest]
#[case::frozen(frozen())]
#[case::cut(cut())]
fn a_silent_engine_does_not_hold_calls(#[case] faults: engine::Faults) {
    let host = host::Host::start(vec![host::quick(); 2]);
    host.engines[0].node().set_faults(faults);
    // On a busy machine the six calls may run one after the other and all use the other engine.
    host::wait_until("the silence of the engine was detected", || {
        std::thread::scope(|scope| {
            let calls: Vec<_> = (0..6)
                .map(|_| {
                    let call = host::completion("tin", 8, false);
                    let host = &host;
                    scope.spawn(move || host.post("/v1/completions", "", &call))
                })
                .collect();
            for call in calls {
                let answer = call.join().unwrap();
                assert_eq!(host::status(&answer), "200", "{answer}");
            }
        });
        host.metrics().contains("cause=\"silent\"")
    });
    host.engines[0].node().set_faults(engine::Faults::default());
    host.finish();
}

// The engine freezes while a stream is running. The host resumes the stream there once, finds it
// still silent, and continues on the other engine: the caller gets each token once, and `[DONE]`.
#[test]
fn a_stream_goes_on_elsewhere_when_its_engine_freezes() {
    let slow = engine::Settings { decode_ms: 1_000.0, ..host::quick() };
    let host = host::Host::start(vec![slow; 2]);
    let mut stream = host.connect();
    let call = host::completion("tin", 60, true);
    stream.write_all(&host::request("POST", "/v1/completions", "", &call)).unwrap();
    let mut first = [0; 800];
    stream.read_exact(&mut first).unwrap();
    let working = host.engines.iter().find(|engine| is_working(engine.node())).unwrap();
    working.node().set_faults(frozen());
    let rest = host::read_all(&mut stream);
    let answer = String::from_utf8_lossy(&first).into_owned() + &rest;
    assert!(rest.contains("data: [DONE]"), "{rest}");
    assert_eq!(answer.matches("\"finish_reason\":null").count(), 60, "{answer}");
    working.node().set_faults(engine::Faults::default());
    host.finish();
}

// The only engine freezes for a while. No other engine could serve the call, so it stays where it
// is, and the caller gets the response when the engine continues.
#[test]
fn a_call_waits_for_its_engine_when_there_is_no_other() {
    let host = host::Host::start(vec![host::quick()]);
    let pause = engine::Faults { freeze_ms: 3_000, ..engine::Faults::default() };
    host.engines[0].node().set_faults(pause);
    let answer = host.post("/v1/completions", "", &host::completion("tin", 8, false));
    assert_eq!(host::status(&answer), "200", "{answer}");
    assert_eq!(host.engines[0].node().record().attempts.len(), 1);
    host.finish();
}

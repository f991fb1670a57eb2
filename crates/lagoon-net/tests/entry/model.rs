//! Model calls without faults.

use rstest::rstest;
use serde_json::Value;

use crate::host;

fn body(answer: &str) -> Value {
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    serde_json::from_str(body).unwrap()
}

#[rstest]
#[case("/v1/completions", r#"{"model":"model","prompt":"tin","max_tokens":5}"#)]
#[case(
    "/v1/chat/completions",
    r#"{"model":"model","messages":[{"role":"user","content":"tin"}],"max_tokens":5}"#
)]
fn answers_whole(#[case] path: &str, #[case] call: &str) {
    let host = host::Host::start(vec![host::quick()]);
    let answer = host.post(path, "X-Request-Id: abc\r\n", call);
    assert_eq!(host::status(&answer), "200", "{answer}");
    let head = answer.to_lowercase();
    assert!(head.contains("lagoon-outcome: done"), "{answer}");
    assert!(head.contains("x-request-id: abc"), "{answer}");
    let body = body(&answer);
    assert_eq!(body["usage"]["completion_tokens"], 5);
    let choice = &body["choices"][0];
    let text = choice["text"].as_str().or_else(|| choice["message"]["content"].as_str());
    assert!(!text.unwrap().is_empty());
    host.finish();
}

#[test]
fn streams_as_openai_clients_expect() {
    let host = host::Host::start(vec![host::quick()]);
    let call = host::completion("tin", 20, true);
    let answer = host.post("/v1/completions", "Lagoon-Outcome-Event: 1\r\n", &call);
    assert_eq!(host::status(&answer), "200", "{answer}");
    assert!(answer.to_lowercase().contains("lagoon-outcome: unknown"), "{answer}");
    assert_eq!(answer.matches("\"finish_reason\":null").count(), 20, "{answer}");
    assert!(answer.contains("event: outcome\ndata: done\n\ndata: [DONE]\n\n"), "{answer}");
    host.finish();
}

#[test]
fn lists_models_and_tells_its_state() {
    let host = host::Host::start(vec![host::quick()]);
    let models = host.exchange(&host::request("GET", "/v1/models", "", ""));
    assert_eq!(body(&models)["data"][0]["id"], "model");
    for path in ["/healthz", "/readyz", "/metrics"] {
        let answer = host.exchange(&host::request("GET", path, "", ""));
        assert_eq!(host::status(&answer), "200", "{answer}");
    }
    host.finish();
}

/// A prompt of a million tokens reaches the engine complete: the engine counts its tokens.
#[test]
fn passes_a_million_tokens() {
    let engine = lagoon_standin::engine::Settings { time_scale: 10_000.0, ..host::quick() };
    let host = host::Host::start(vec![engine]);
    let prompt = "a".repeat(4 * 1_000_000);
    let answer = host.post("/v1/completions", "", &host::completion(&prompt, 4, false));
    assert_eq!(host::status(&answer), "200", "{answer}");
    assert_eq!(body(&answer)["usage"]["prompt_tokens"], 1_000_000);
    host.finish();
}

/// Requests beyond the engine's slots wait in the queue, and all of them succeed.
#[test]
fn queues_what_does_not_fit() {
    let host = host::Host::start(vec![host::quick()]);
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..80)
            .map(|_| {
                scope.spawn(|| host.post("/v1/completions", "", &host::completion("t", 8, false)))
            })
            .collect();
        for call in calls {
            let answer = call.join().unwrap();
            assert_eq!(host::status(&answer), "200", "{answer}");
        }
    });
    host.finish();
}

// The prompt needs more than twice the memory of one engine. The entry host reserves memory on
// three engines and sends the prompt with these reservations. The caller gets a complete response,
// and afterwards the memory of every engine is freed.
#[test]
fn a_group_holds_what_no_engine_can() {
    let small = lagoon_standin::engine::Settings {
        kv_tokens: 400_000,
        time_scale: 10_000.0,
        resume_ms: 100,
        ..host::quick()
    };
    let host = host::Host::start_sized(vec![small; 3], 400_000);
    let prompt = "a".repeat(4 * 1_000_000);
    let answer = host.post("/v1/completions", "", &host::completion(&prompt, 4, false));
    assert_eq!(host::status(&answer), "200", "{answer}");
    assert_eq!(body(&answer)["usage"]["prompt_tokens"], 1_000_000);
    for engine in &host.engines {
        host::wait_until("the engine has its memory back", || {
            let record = engine.node().record();
            record.bytes_reserved > 0 && record.bytes_reserved == record.bytes_returned
        });
    }
    host.finish();
}

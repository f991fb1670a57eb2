//! HTTP interface of the engine stand-in.

mod common;

use common::{attempt, generate, get, post, refuses, resume, run};
use lagoon_standin::{answer, engine, prompt};
use rstest::rstest;
use serde_json::json;

/// Settings that run 100 times faster than real time, with immediate and lossless cache events.
fn fast_settings() -> engine::Settings {
    engine::Settings {
        time_scale: 100.0,
        load_lag_ms: 5,
        cache_lag_ms: 0,
        cache_loss: 0.0,
        ..engine::Settings::default()
    }
}

#[test]
fn complete_answer_returns_its_memory() {
    run(async {
        let engine = engine::start(fast_settings()).unwrap();
        let headers = [("Lagoon-Answer-Tokens", "20")];
        let answer = generate(engine.address(), &attempt(1), "tin", &headers).await.all().await;
        assert_eq!(answer.numbers, (0..20).collect::<Vec<_>>());
        assert_eq!(answer.text, answer::text(prompt::Prompt::new("tin").hash, 0, 20));
        assert_eq!(answer.end.unwrap()["count"], 20);
        let record = engine.node().record();
        assert_eq!(record.attempts[0].state, "done");
        // One prompt token and 20 answer tokens.
        assert_eq!(record.bytes_reserved, 21 * 1_024);
        assert_eq!(record.bytes_returned, record.bytes_reserved);
    });
}

#[test]
fn continuation_numbers_chunks_after_the_skipped_ones() {
    run(async {
        let engine = engine::start(fast_settings()).unwrap();
        let headers = [("Lagoon-Answer-Tokens", "9"), ("Lagoon-Skip-Tokens", "6")];
        let answer = generate(engine.address(), &attempt(1), "tin", &headers).await.all().await;
        assert_eq!(answer.numbers, [6, 7, 8]);
        assert_eq!(answer.end.unwrap()["count"], 9);
    });
}

// The connection breaks after three chunks and the reader resumes from chunk 3. The engine keeps
// the stream, so no chunk may be lost or repeated.
#[test]
fn broken_stream_resumes_without_loss_or_duplicates() {
    run(async {
        let engine = engine::start(fast_settings()).unwrap();
        engine.node().set_faults(engine::Faults { cut_after_chunks: 3, ..Default::default() });
        let headers = [("Lagoon-Answer-Tokens", "8")];
        let first = generate(engine.address(), &attempt(1), "tin", &headers).await.all().await;
        assert_eq!((first.numbers.as_slice(), first.aborted), ([0, 1, 2].as_slice(), true));
        engine.node().set_faults(engine::Faults::default());
        let rest = resume(engine.address(), &attempt(1), 3).await.all().await;
        assert_eq!(rest.numbers, [3, 4, 5, 6, 7]);
        assert!(rest.end.is_some());
        assert_eq!(resume(engine.address(), &attempt(2), 0).await.status, 404);
    });
}

// The cancel arrives before the generate call. The engine must refuse the late call, which would
// otherwise run and hold memory that no caller releases.
#[test]
fn attempt_cancelled_before_it_arrives_is_refused() {
    run(async {
        let engine = engine::start(fast_settings()).unwrap();
        let path = format!("/streams/{}/cancel", attempt(1));
        assert_eq!(post(engine.address(), &path, json!({})).await.0, 200);
        let late = generate(engine.address(), &attempt(1), "tin", &[]).await;
        assert_eq!(late.status, 409);
        assert!(engine.node().record().attempts.is_empty());
    });
}

#[test]
fn cancel_returns_memory_of_a_running_stream() {
    run(async {
        let engine =
            engine::start(engine::Settings { time_scale: 1.0, ..fast_settings() }).unwrap();
        let prompt = "x".repeat(400_000);
        let reader = generate(engine.address(), &attempt(1), &prompt, &[]).await;
        assert_eq!(reader.status, 200);
        let held = get(engine.address(), "/holdings").await.1;
        assert_eq!(held["holdings"][0]["kind"], "stream");
        post(engine.address(), &format!("/streams/{}/cancel", attempt(1)), json!({})).await;
        let record = engine.node().record();
        assert!(record.bytes_reserved > 0);
        assert_eq!(record.bytes_returned, record.bytes_reserved);
        assert_eq!(record.attempts[0].state, "cancelled");
    });
}

#[rstest]
#[case::unknown_model(&[("Lagoon-Model", "other")], 4, 404, "unknown_model")]
#[case::too_long(&[], 2_000_000, 413, "too_long")]
fn attempt_that_cannot_run_is_refused(
    #[case] headers: &'static [(&'static str, &'static str)],
    #[case] bytes: usize,
    #[case] status: u16,
    #[case] reason: &'static str,
) {
    run(async move {
        let engine = engine::start(fast_settings()).unwrap();
        let prompt = "x".repeat(bytes);
        let reader = generate(engine.address(), &attempt(1), &prompt, headers).await;
        assert_eq!(reader.status, status, "{reason}");
        assert!(engine.node().record().attempts.is_empty());
    });
}

#[test]
fn engine_with_full_batch_and_queue_refuses() {
    run(async {
        let settings =
            engine::Settings { time_scale: 1.0, slots: 1, waiting_limit: 1, ..fast_settings() };
        let engine = engine::start(settings).unwrap();
        let prompt = "x".repeat(400_000);
        let first = generate(engine.address(), &attempt(1), &prompt, &[]).await;
        let second = generate(engine.address(), &attempt(2), &prompt, &[]).await;
        let third = generate(engine.address(), &attempt(3), &prompt, &[]).await;
        assert_eq!((first.status, second.status, third.status), (200, 200, 429));
    });
}

#[test]
fn higher_priority_is_prefilled_first() {
    run(async {
        let engine =
            engine::start(engine::Settings { time_scale: 20.0, ..fast_settings() }).unwrap();
        let long = "x".repeat(800_000);
        let low = generate(engine.address(), &attempt(1), &long, &[("Lagoon-Priority", "1")]).await;
        let headers = [("Lagoon-Priority", "9")];
        let high = generate(engine.address(), &attempt(2), "tin", &headers).await;
        assert!(high.all().await.end.is_some());
        let record = engine.node().record();
        let unfinished = record.attempts.iter().find(|a| a.attempt == attempt(1)).unwrap();
        assert_eq!(unfinished.chunks, 0);
        assert!(low.all().await.end.is_some());
    });
}

#[test]
fn cached_prefix_is_reported_in_end_event_and_cache_events() {
    run(async {
        let engine = engine::start(fast_settings()).unwrap();
        let prompt = "y".repeat(3 * prompt::BLOCK_BYTES + 7);
        generate(engine.address(), &attempt(1), &prompt, &[]).await.all().await;
        let again = generate(engine.address(), &attempt(2), &prompt, &[]).await.all().await;
        assert_eq!(again.end.unwrap()["cached_tokens"], 3 * 1_024);
        let events = get(engine.address(), "/cache/events?after=1").await.1;
        assert_eq!(events["events"].as_array().unwrap().len(), 2);
        assert_eq!(events["events"][0]["tokens"], 2 * 1_024);
    });
}

// A prompt needs more KV memory than one engine has. Two engines reserve memory, and the first one
// runs the prompt. While a reservation of the group is missing, the call is refused
// and nothing runs.
#[test]
fn group_of_engines_runs_a_prompt_too_long_for_one() {
    run(async {
        let settings = engine::Settings { kv_tokens: 10_000, ..fast_settings() };
        let engines = engine::start_all(vec![settings.clone(), settings]).unwrap();
        let prompt = "z".repeat(60_000);
        let (one, two) = (engines[0].address(), engines[1].address());
        let group = format!("r1@{one},r2@{two}");
        let headers = [("Lagoon-Group", group.as_str())];
        let reservation = |id| json!({"id": id, "owner": "a/1", "tokens": 8_000, "ttl_ms": 60_000});
        assert_eq!(post(one, "/kv/reserve", reservation("r1")).await.0, 200);
        assert_eq!(generate(one, &attempt(1), &prompt, &headers).await.status, 429);
        assert_eq!(post(two, "/kv/reserve", reservation("r2")).await.0, 200);
        let answer = generate(one, &attempt(1), &prompt, &headers).await.all().await;
        assert!(answer.end.is_some());
        for (engine, id) in engines.iter().zip(["r1", "r2"]) {
            post(engine.address(), &format!("/holdings/{id}/release"), json!({})).await;
            let record = engine.node().record();
            assert_eq!(record.bytes_returned, record.bytes_reserved);
        }
    });
}

#[test]
fn unreleased_reservation_expires() {
    run(async {
        let engine = engine::start(fast_settings()).unwrap();
        let body = json!({"id": "r", "owner": "a/1", "tokens": 100, "ttl_ms": 1});
        post(engine.address(), "/kv/reserve", body).await;
        while engine.node().record().bytes_returned == 0 {
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
        }
        assert_eq!(engine.node().record().bytes_returned, 100 * 1_024);
    });
}

#[test]
fn export_is_imported_into_another_cache() {
    run(async {
        let engines = engine::start_all(vec![fast_settings(), fast_settings()]).unwrap();
        let (one, two) = (engines[0].address(), engines[1].address());
        let prompt = "k".repeat(2 * prompt::BLOCK_BYTES);
        generate(one, &attempt(1), &prompt, &[]).await.all().await;
        let prefix = prompt::Prompt::new(&prompt).hash;
        let body = json!({"id": "e", "owner": "a/1", "prefix": prefix, "ttl_ms": 60_000});
        assert_eq!(post(one, "/kv/export", body).await.1["bytes"], 2 * 1_024 * 1_024);
        // An import reads only `id` and `from`; the other fields have no effect.
        let body = json!({"id": "e", "owner": "a/1", "from": one, "ttl_ms": 60_000});
        assert_eq!(post(two, "/kv/import", body).await.1["tokens"], 2 * 1_024);
        let missing = json!({"id": "x", "owner": "a/1", "from": one, "ttl_ms": 60_000});
        assert_eq!(post(two, "/kv/import", missing).await.0, 502);
    });
}

#[rstest]
#[case::checks(true, 409)]
#[case::ignores(false, 200)]
fn old_fencing_number_is_counted_and_checked(#[case] checks_fence: bool, #[case] status: u16) {
    run(async move {
        let engine = engine::start(engine::Settings { checks_fence, ..fast_settings() }).unwrap();
        let order = |fence| json!({"fence": fence, "order": {"do": "role", "role": "short"}});
        assert_eq!(post(engine.address(), "/orders", order(5)).await.0, 200);
        assert_eq!(post(engine.address(), "/orders", order(4)).await.0, status);
        assert_eq!(engine.node().record().stale_orders, 1);
        assert_eq!(get(engine.address(), "/orders").await.1["fence"], 5);
    });
}

#[test]
fn leaving_engine_finishes_streams_and_refuses_new_ones() {
    run(async {
        let engine =
            engine::start(engine::Settings { time_scale: 5.0, ..fast_settings() }).unwrap();
        let running = generate(engine.address(), &attempt(1), "tin", &[]).await;
        post(engine.address(), "/leave", json!({})).await;
        assert_eq!(generate(engine.address(), &attempt(2), "tin", &[]).await.status, 503);
        assert!(running.all().await.end.is_some());
    });
}

// The engine crashes during a stream. The reader's connection breaks without an end event, and the
// memory counts as returned because the process that held it has ended.
#[test]
fn crashed_engine_breaks_streams_and_returns_memory() {
    run(async {
        let engine =
            engine::start(engine::Settings { time_scale: 1.0, ..fast_settings() }).unwrap();
        let prompt = "x".repeat(400_000);
        let reader = generate(engine.address(), &attempt(1), &prompt, &[]).await;
        let before = engine.node().record().incarnation;
        assert_eq!(post(engine.address(), "/faults", json!({"down": true})).await.0, 200);
        let answer = reader.all().await;
        assert!(answer.aborted && answer.end.is_none());
        assert_eq!(get(engine.address(), "/load").await.0, 0);
        assert!(refuses(engine.address()));
        let record = engine.node().record();
        assert_eq!(record.bytes_returned, record.bytes_reserved);
        assert_eq!(record.attempts[0].state, "lost");
        engine.node().set_faults(engine::Faults::default());
        assert!(get(engine.address(), "/load").await.1["incarnation"].as_u64() > Some(before));
    });
}

#[rstest]
#[case::crossed(json!({"cross_chunks": 2}))]
#[case::repeated(json!({"repeat_chunks": 2}))]
fn chunk_faults_are_visible_to_the_reader(#[case] change: serde_json::Value) {
    run(async move {
        let engine = engine::start(fast_settings()).unwrap();
        post(engine.address(), "/faults", change).await;
        let answer = generate(engine.address(), &attempt(1), "tin", &[]).await.all().await;
        let has_wrong_attempt = answer.attempts.iter().any(|name| *name != attempt(1));
        let has_duplicate = answer.numbers.iter().filter(|number| **number == 2).count() == 2;
        assert!(has_wrong_attempt != has_duplicate);
    });
}

#[test]
fn unknown_switch_is_refused() {
    run(async {
        let engine = engine::start(fast_settings()).unwrap();
        assert_eq!(post(engine.address(), "/faults", json!({"dwon": true})).await.0, 400);
    });
}

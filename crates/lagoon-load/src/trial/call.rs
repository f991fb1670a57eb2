//! One caller: sends its request, reads the answer, and judges it by its own copy of the text.

use std::fmt::Write;
use std::net;
use std::time;

use lagoon_standin::answer;
use lagoon_standin::prompt;
use ntex::client;
use serde_json::{Value, json};
use sha2::Digest;

use super::plan;
use super::world;

/// Tokens of each answer.
const ANSWER_TOKENS: u64 = 16;
/// Deadline of a call, in milliseconds.
const DEADLINE_MS: u64 = 15_000;
/// What a call may take beyond its deadline on a busy machine before it counts as past it.
const SLACK: time::Duration = time::Duration::from_millis(500);

/// How a call ended, as its caller saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// Whole and its own.
    Done,
    /// Told that it did not run.
    NotRun,
    /// Told that it may have run.
    Unknown,
    /// It broke off without a word.
    Cut,
    /// Text that is not of its own answer.
    Crossed,
}

/// What came of one call.
#[derive(Debug)]
pub(super) struct Result {
    pub(super) call: plan::Call,
    pub(super) end: End,
    pub(super) late: bool,
    pub(super) first_token: Option<time::Duration>,
    pub(super) gaps: Vec<time::Duration>,
    pub(super) prompt_hash: u64,
    pub(super) body_sha256: String,
    /// Code of the error, for the report.
    pub(super) code: String,
}

/// A text of its own for each call, of `tokens` tokens.
fn text(number: u64, tokens: u64) -> String {
    let mut text = format!("call {number}: ");
    while text.len() < tokens as usize * 4 {
        // Writing to a String cannot fail.
        let _ = write!(text, "tin {} of {number}; ", text.len());
    }
    text.truncate(tokens as usize * 4);
    text
}

pub(super) async fn run(call: plan::Call, address: net::SocketAddr) -> Result {
    let start = time::Instant::now();
    let mut result = Result {
        call,
        end: End::Cut,
        late: false,
        first_token: None,
        gaps: Vec::new(),
        prompt_hash: 0,
        body_sha256: String::new(),
        code: String::new(),
    };
    match call.kind {
        plan::Kind::Prompt { class, streamed } => {
            let prompt = text(call.number, plan::LENGTHS[class].0);
            result.prompt_hash = prompt::Prompt::new(&prompt).hash;
            ask(&mut result, address, &prompt, streamed, start).await;
        }
        plan::Kind::Booking { keyed } => book(&mut result, address, keyed).await,
    }
    result.late = start.elapsed() > time::Duration::from_millis(DEADLINE_MS) + SLACK;
    result
}

async fn request(address: net::SocketAddr, path: &str) -> Option<client::ClientRequest> {
    let client = client::Client::builder()
        .disable_timeout()
        .response_payload_timeout(ntex::time::Millis(0))
        .build(ntex::SharedCfg::default())
        .await
        .ok()?;
    let request = client.post(format!("http://{address}{path}")).bearer_auth(world::KEY);
    Some(request.set_header("Lagoon-Deadline-Ms", DEADLINE_MS.to_string()))
}

async fn book(result: &mut Result, address: net::SocketAddr, keyed: bool) {
    let body = format!(r#"{{"booking":{}}}"#, result.call.number);
    let hash = sha2::Sha256::digest(body.as_bytes());
    result.body_sha256 = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    let Some(mut request) = request(address, "/services/pickup/bookings").await else { return };
    if keyed {
        request = request.set_header("Idempotency-Key", format!("booking-{}", result.call.number));
    }
    let Ok(answer) = request.send_body(body).await else { return };
    let whole = answer.body().limit(1 << 20).await;
    if answer.status().is_success() {
        let own = whole.is_ok_and(|body| {
            serde_json::from_slice::<Value>(&body)
                .is_ok_and(|body| body["body_sha256"] == result.body_sha256.as_str())
        });
        result.end = if own { End::Done } else { End::Crossed };
    } else if let Ok(body) = whole {
        judge_error(result, &body);
    }
}

/// Takes the outcome that the error names.
fn judge_error(result: &mut Result, body: &[u8]) {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    body["error"]["code"].as_str().unwrap_or("").clone_into(&mut result.code);
    result.end = match body["error"]["outcome"].as_str() {
        Some("not-run") => End::NotRun,
        Some("unknown") => End::Unknown,
        _ => End::Cut,
    };
}

async fn ask(
    result: &mut Result,
    address: net::SocketAddr,
    prompt: &str,
    streamed: bool,
    start: time::Instant,
) {
    let Some(request) = request(address, "/v1/completions").await else { return };
    let body = json!({
        "model": "model", "prompt": prompt, "max_tokens": ANSWER_TOKENS, "stream": streamed,
    });
    let Ok(answer) = request.send_json(&body).await else { return };
    let expected = answer::text(result.prompt_hash, 0, ANSWER_TOKENS);
    if !answer.status().is_success() || !streamed {
        let Ok(body) = answer.body().limit(1 << 20).await else { return };
        if answer.status().is_success() {
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            result.end = judge(body["choices"][0]["text"].as_str().unwrap_or(""), &expected);
        } else {
            judge_error(result, &body);
        }
        return;
    }
    read(result, &answer, &expected, start).await;
}

fn judge(text: &str, expected: &str) -> End {
    if text == expected {
        End::Done
    } else if expected.starts_with(text) {
        End::Cut
    } else {
        End::Crossed
    }
}

async fn read(
    result: &mut Result,
    answer: &client::ClientResponse,
    expected: &str,
    start: time::Instant,
) {
    let mut payload = answer.take_payload();
    let (mut buffer, mut text) = (Vec::new(), String::new());
    let mut last = None;
    while let Some(Ok(piece)) = payload.recv().await {
        buffer.extend_from_slice(&piece);
        while let Some(at) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..at + 2).collect();
            let event = String::from_utf8_lossy(&event).into_owned();
            let data = event.lines().find_map(|line| line.strip_prefix("data: ")).unwrap_or("");
            if data == "[DONE]" {
                result.end = judge(&text, expected);
                return;
            }
            let value: Value = serde_json::from_str(data).unwrap_or_default();
            if value.get("error").is_some() {
                judge_error(result, data.as_bytes());
                return;
            }
            let Some(token) = value["choices"][0]["text"].as_str().filter(|t| !t.is_empty()) else {
                continue;
            };
            text.push_str(token);
            let now = time::Instant::now();
            match last.replace(now) {
                None => result.first_token = Some(now - start),
                Some(before) => result.gaps.push(now - before),
            }
        }
    }
}

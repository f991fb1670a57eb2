//! A replica's calls: any method on any path but those of faults and record.

use std::fmt::Write;
use std::sync;
use std::sync::atomic;
use std::time;

use ntex::http;
use serde_json::{Value, json};
use sha2::Digest;

use crate::fault;
use crate::port;

type Shared = sync::Arc<super::Service>;

pub(crate) async fn handle(service: Shared, mut request: http::Request) -> http::Response {
    match (request.method().as_str(), request.path()) {
        ("GET", "/faults") => return port::json(200, &service.faults()),
        ("POST", "/faults") => return change(&service, &mut request).await,
        ("GET", "/record") => return port::json(200, &service.record()),
        ("POST", "/leave") => {
            port::discard(&mut request).await;
            service.leave();
            return port::json(200, &json!({}));
        }
        _ => {}
    }
    if port::pass(&request, || service.port_faults()).await.is_err() {
        return port::vanish(&request);
    }
    let slot = Slot::new(&service);
    if slot.number > service.settings.slots || service.leaving.load(atomic::Ordering::Acquire) {
        port::discard(&mut request).await;
        return not_run(&request);
    }
    let answer = run(&service, &mut request).await;
    let healed = port::healed(&request, || service.port_faults()).await;
    if healed.is_err() || service.faults().lose_answer || service.faults().down {
        return port::vanish(&request);
    }
    answer
}

/// One of the calls handled at once.
struct Slot<'a> {
    service: &'a super::Service,
    number: usize,
}

impl<'a> Slot<'a> {
    fn new(service: &'a super::Service) -> Self {
        let number = service.running.fetch_add(1, atomic::Ordering::AcqRel) + 1;
        Slot { service, number }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.service.running.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

async fn change(service: &Shared, request: &mut http::Request) -> http::Response {
    let change: Value = match port::read_json(request).await {
        Ok(change) => change,
        Err(error) => return port::malformed(&error),
    };
    match fault::merge(&service.faults(), &change) {
        Ok(faults) => {
            service.set_faults(faults);
            port::json(200, &service.faults())
        }
        Err(error) => port::refuse(400, &error.to_string()),
    }
}

fn not_run(request: &http::Request) -> http::Response {
    http::Response::build(http::StatusCode::SERVICE_UNAVAILABLE)
        .header("Lagoon-Not-Run", "1")
        .header("Lagoon-Attempt", port::header(request, "Lagoon-Attempt"))
        .json(&json!({"error": {"code": "full"}}))
}

async fn run(service: &Shared, request: &mut http::Request) -> http::Response {
    let mut call = super::CallRecord {
        attempt: port::header(request, "Lagoon-Attempt").to_owned(),
        method: request.method().as_str().to_owned(),
        path: request.path().to_owned(),
        body_sha256: String::new(),
        ran: false,
    };
    let Some(hash) = hash(request).await else {
        service.note(call);
        return port::refuse(400, "half_a_body");
    };
    (call.body_sha256, call.ran) = (hash, true);
    // The effect comes first and the time after it, so that a lost answer is of a call that ran.
    service.note(call.clone());
    tokio::time::sleep(time::Duration::from_millis(service.settings.work_ms)).await;
    http::Response::build(http::StatusCode::OK).header("Lagoon-Attempt", call.attempt.clone()).json(
        &json!({
            "service": service.settings.name, "method": call.method, "path": call.path,
            "body_sha256": call.body_sha256,
        }),
    )
}

/// SHA-256 of the body as it passes; `None` for half a body.
async fn hash(request: &mut http::Request) -> Option<String> {
    let mut payload = request.take_payload();
    let mut hasher = sha2::Sha256::new();
    while let Some(piece) = payload.recv().await {
        hasher.update(&piece.ok()?);
    }
    let mut text = String::with_capacity(64);
    for byte in hasher.finalize() {
        write!(text, "{byte:02x}").ok()?;
    }
    Some(text)
}

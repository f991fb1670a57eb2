//! HTTP interface of a replica: any method on any path, besides the administrative calls for
//! faults, record and leave.

use std::fmt::Write;
use std::sync;
use std::sync::atomic;
use std::time;

use ntex::http;
use serde_json::{Value, json};
use sha2::Digest;

use crate::fault;
use crate::transport;

type Shared = sync::Arc<super::Service>;

pub(crate) async fn handle(service: Shared, mut request: http::Request) -> http::Response {
    match (request.method().as_str(), request.path()) {
        ("GET", "/faults") => return transport::json(200, &service.faults()),
        ("POST", "/faults") => return set_faults(&service, &mut request).await,
        ("GET", "/record") => return transport::json(200, &service.record()),
        ("POST", "/leave") => {
            transport::discard(&mut request).await;
            service.leave();
            return transport::json(200, &json!({}));
        }
        _ => {}
    }
    if transport::apply_faults(&request, || service.transport_faults()).await.is_err() {
        return transport::drop_connection(&request);
    }
    let slot = Slot::new(&service);
    if slot.in_use > service.settings.slots || service.leaving.load(atomic::Ordering::Acquire) {
        transport::discard(&mut request).await;
        return refuse_not_run(&request);
    }
    let response = run_call(&service, &mut request).await;
    let cut_ended = transport::wait_while_cut(&request, || service.transport_faults()).await;
    if cut_ended.is_err() || service.faults().lose_answer || service.faults().down {
        return transport::drop_connection(&request);
    }
    response
}

/// Counts one call in flight until it is dropped.
struct Slot<'a> {
    service: &'a super::Service,
    /// Calls in flight when this one arrived, including this one.
    in_use: usize,
}

impl<'a> Slot<'a> {
    fn new(service: &'a super::Service) -> Self {
        let in_use = service.in_flight.fetch_add(1, atomic::Ordering::AcqRel) + 1;
        Slot { service, in_use }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.service.in_flight.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

async fn set_faults(service: &Shared, request: &mut http::Request) -> http::Response {
    let change: Value = match transport::read_json(request).await {
        Ok(change) => change,
        Err(error) => return transport::malformed(&error),
    };
    match fault::merge(&service.faults(), &change) {
        Ok(faults) => {
            service.set_faults(faults);
            transport::json(200, &service.faults())
        }
        Err(error) => transport::refuse(400, &error.to_string()),
    }
}

/// Refuses a call with the header that tells the caller that it did not run. The code is `full`
/// also while the replica is leaving.
fn refuse_not_run(request: &http::Request) -> http::Response {
    http::Response::build(http::StatusCode::SERVICE_UNAVAILABLE)
        .header("Lagoon-Not-Run", "1")
        .header("Lagoon-Attempt", transport::header(request, "Lagoon-Attempt"))
        .json(&json!({"error": {"code": "full"}}))
}

async fn run_call(service: &Shared, request: &mut http::Request) -> http::Response {
    let mut call = super::CallRecord {
        attempt: transport::header(request, "Lagoon-Attempt").to_owned(),
        method: request.method().as_str().to_owned(),
        path: request.path().to_owned(),
        body_sha256: String::new(),
        ran: false,
    };
    let Some(hash) = hash_body(request).await else {
        service.record_call(call);
        return transport::refuse(400, "half_a_body");
    };
    (call.body_sha256, call.ran) = (hash, true);
    // The call takes effect when it is recorded, before the wait of `work_ms`. A response that is
    // lost during that wait is thus that of a call that ran.
    service.record_call(call.clone());
    tokio::time::sleep(time::Duration::from_millis(service.settings.work_ms)).await;
    http::Response::build(http::StatusCode::OK).header("Lagoon-Attempt", call.attempt.clone()).json(
        &json!({
            "service": service.settings.name, "method": call.method, "path": call.path,
            "body_sha256": call.body_sha256,
        }),
    )
}

/// Returns the SHA-256 of the body as hex digits, or `None` if the body is incomplete.
async fn hash_body(request: &mut http::Request) -> Option<String> {
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

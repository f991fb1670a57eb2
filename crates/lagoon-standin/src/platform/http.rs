//! HTTP interface of the platform, see `docs/PROTOCOLS.md`.

use std::sync;
use std::time;

use bytes::Bytes;
use ntex::http;
use serde::Deserialize;
use serde_json::{Value, json};

use super::table;
use crate::fault;
use crate::transport;

/// Maximum number of rows in a response to a request without the parameter `limit`.
const DEFAULT_ROW_LIMIT: usize = 1_000;

type Shared = sync::Arc<super::Platform>;

pub(crate) async fn handle(platform: Shared, mut request: http::Request) -> http::Response {
    let path = request.path().to_owned();
    let method = request.method().clone();
    match (method.as_str(), path.as_str()) {
        ("GET", "/faults") => return transport::json(200, &platform.faults()),
        ("POST", "/faults") => return set_faults(&platform, &mut request).await,
        ("GET", "/record") => return transport::json(200, &platform.record()),
        ("POST", "/hosts") => return set_hosts(&platform, &mut request).await,
        _ => {}
    }
    if transport::apply_faults(&request, || transport_faults(&platform)).await.is_err() {
        return transport::drop_connection(&request);
    }
    if platform.faults().down {
        transport::discard(&mut request).await;
        return record_refusal(&platform, 503, "out");
    }
    match (method.as_str(), path.as_str()) {
        ("GET", "/table/row") => read(&platform, |state| {
            let row = state.table.row(&transport::query(&request, "key"));
            row.map_or_else(|| transport::refuse(404, "no_row"), |row| transport::json(200, &row))
        }),
        ("GET", "/table/rows") => read(&platform, |state| rows(state, &request)),
        ("POST", "/table/commit") => commit(&platform, &mut request).await,
        ("GET", "/hosts") => read(&platform, |state| {
            let lag = time::Duration::from_millis(state.faults.hosts_lag_ms);
            transport::json(200, &json!({"hosts": visible_hosts(state, lag)}))
        }),
        ("POST", "/weights/take") => take_weights(&platform, &mut request).await,
        (method, path) => match path.strip_prefix("/objects/") {
            Some(key) => object(&platform, &mut request, method, &transport::decode(key)).await,
            None => {
                transport::discard(&mut request).await;
                transport::refuse(404, "unknown_call")
            }
        },
    }
}

fn transport_faults(platform: &Shared) -> fault::Transport {
    let super::Faults { delay_ms, cut, .. } = platform.faults();
    fault::Transport { down: false, delay_ms, loss: 0.0, cut }
}

fn record_refusal(platform: &Shared, status: u16, code: &str) -> http::Response {
    platform.lock().record.refused += 1;
    transport::refuse(status, code)
}

async fn set_faults(platform: &Shared, request: &mut http::Request) -> http::Response {
    let change: Value = match transport::read_json(request).await {
        Ok(change) => change,
        Err(error) => return transport::malformed(&error),
    };
    match fault::merge(&platform.faults(), &change) {
        Ok(faults) => {
            platform.set_faults(faults);
            transport::json(200, &platform.faults())
        }
        Err(error) => transport::refuse(400, &error.to_string()),
    }
}

async fn set_hosts(platform: &Shared, request: &mut http::Request) -> http::Response {
    #[derive(Deserialize)]
    struct Hosts {
        hosts: Vec<super::HostEntry>,
    }
    match transport::read_json::<Hosts>(request).await {
        Ok(list) => {
            platform.set_hosts(list.hosts);
            transport::json(200, &json!({}))
        }
        Err(error) => transport::malformed(&error),
    }
}

/// Answers a read within the rate limit.
fn read<Respond>(platform: &Shared, respond: Respond) -> http::Response
where
    Respond: FnOnce(&super::State) -> http::Response,
{
    let mut state = platform.lock();
    let rate = state.faults.reads_per_second;
    if state.reads.take(1.0, rate, time::Instant::now()).is_err() {
        state.record.refused += 1;
        return transport::refuse(429, "over_limit");
    }
    state.record.reads += 1;
    respond(&state)
}

/// Applies a write of `count` rows or objects within the rate limit. With the fault `lose_answer`
/// the write takes effect but its response is lost.
fn write<Apply>(
    platform: &Shared,
    request: &http::Request,
    count: usize,
    apply: Apply,
) -> http::Response
where
    Apply: FnOnce(&mut super::State) -> Result<http::Response, table::Conflict>,
{
    let mut state = platform.lock();
    let rate = state.faults.writes_per_second;
    if state.writes.take(count as f64, rate, time::Instant::now()).is_err() {
        state.record.refused += 1;
        return transport::refuse(429, "over_limit");
    }
    match apply(&mut state) {
        Ok(response) => {
            state.record.writes += count as u64;
            if state.faults.lose_answer { transport::drop_connection(request) } else { response }
        }
        Err(table::Conflict) => {
            state.record.refused += 1;
            transport::refuse(409, "conflict")
        }
    }
}

fn rows(state: &super::State, request: &http::Request) -> http::Response {
    let limit = transport::query(request, "limit").parse().unwrap_or(DEFAULT_ROW_LIMIT);
    let prefix = transport::query(request, "prefix");
    let rows = state.table.rows(&prefix, &transport::query(request, "after"), limit);
    transport::json(200, &json!({"rows": rows}))
}

async fn commit(platform: &Shared, request: &mut http::Request) -> http::Response {
    let commit: super::Commit = match transport::read_json(request).await {
        Ok(commit) => commit,
        Err(error) => return transport::malformed(&error),
    };
    // A commit without writes, which only checks versions, counts as one write.
    let count = (commit.puts.len() + commit.deletes.len()).max(1);
    write(platform, request, count, |state| {
        let versions = state.table.commit(&commit)?;
        Ok(transport::json(200, &json!({"versions": versions})))
    })
}

async fn object(
    platform: &Shared,
    request: &mut http::Request,
    method: &str,
    key: &str,
) -> http::Response {
    match method {
        "GET" => read(platform, |state| match state.objects.get(key) {
            Some(object) => object_response(object),
            None => transport::refuse(404, "no_object"),
        }),
        "PUT" => {
            let object = match transport::read(request).await {
                Ok(object) => object,
                Err(error) => return transport::malformed(&error),
            };
            write(platform, request, 1, |state| {
                state.objects.insert(key.to_owned(), object);
                Ok(transport::json(200, &json!({})))
            })
        }
        _ => transport::refuse(405, "method"),
    }
}

fn object_response(object: &Bytes) -> http::Response {
    http::Response::build(http::StatusCode::OK)
        .content_type("application/octet-stream")
        .body(ntex::util::Bytes::copy_from_slice(object))
}

/// Returns the newest host list that is at least `lag` old, or the oldest one if there is none.
fn visible_hosts(state: &super::State, lag: time::Duration) -> &[super::HostEntry] {
    let mut lists = state.hosts.iter().rev();
    let visible = lists.find(|(at, _)| at.elapsed() >= lag).or(state.hosts.front());
    visible.map_or(&[], |(_, hosts)| hosts)
}

/// Request for permission to transfer this many bytes from the weight store, within its rate limit.
/// No weights are transferred. Other fields, such as the `holder` that engines send, are ignored.
#[derive(Debug, Deserialize)]
struct TakeWeights {
    bytes: u64,
}

async fn take_weights(platform: &Shared, request: &mut http::Request) -> http::Response {
    let body: TakeWeights = match transport::read_json(request).await {
        Ok(body) => body,
        Err(error) => return transport::malformed(&error),
    };
    let rate = platform.settings.weight_rate;
    let mut state = platform.lock();
    match state.weights.take(body.bytes as f64, rate, time::Instant::now()) {
        Ok(()) => transport::json(200, &json!({})),
        Err(seconds) => {
            state.record.refused += 1;
            http::Response::build(http::StatusCode::TOO_MANY_REQUESTS)
                .header("Retry-After", (seconds.ceil() as u64).to_string())
                .json(&json!({"error": {"code": "over_limit"}}))
        }
    }
}

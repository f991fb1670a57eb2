//! HTTP interface of the platform, see `docs/PROTOCOLS.md`.

use std::sync;
use std::time;

use bytes::Bytes;
use ntex::http;
use serde::Deserialize;
use serde_json::{Value, json};

use super::table;
use crate::fault;
use crate::port;

/// Maximum number of rows in a response to a request without the parameter `limit`.
const DEFAULT_ROW_LIMIT: usize = 1_000;

type Shared = sync::Arc<super::Platform>;

pub(crate) async fn handle(platform: Shared, mut request: http::Request) -> http::Response {
    let path = request.path().to_owned();
    let method = request.method().clone();
    match (method.as_str(), path.as_str()) {
        ("GET", "/faults") => return port::json(200, &platform.faults()),
        ("POST", "/faults") => return set_faults(&platform, &mut request).await,
        ("GET", "/record") => return port::json(200, &platform.record()),
        ("POST", "/hosts") => return set_hosts(&platform, &mut request).await,
        _ => {}
    }
    if port::apply_faults(&request, || port_faults(&platform)).await.is_err() {
        return port::drop_connection(&request);
    }
    if platform.faults().down {
        port::discard(&mut request).await;
        return record_refusal(&platform, 503, "out");
    }
    match (method.as_str(), path.as_str()) {
        ("GET", "/table/row") => read(&platform, |state| {
            let row = state.table.row(&port::query(&request, "key"));
            row.map_or_else(|| port::refuse(404, "no_row"), |row| port::json(200, &row))
        }),
        ("GET", "/table/rows") => read(&platform, |state| rows(state, &request)),
        ("POST", "/table/commit") => commit(&platform, &mut request).await,
        ("GET", "/hosts") => read(&platform, |state| {
            let lag = time::Duration::from_millis(state.faults.hosts_lag_ms);
            port::json(200, &json!({"hosts": visible_hosts(state, lag)}))
        }),
        ("POST", "/weights/take") => take_weights(&platform, &mut request).await,
        (method, path) => match path.strip_prefix("/objects/") {
            Some(key) => object(&platform, &mut request, method, &port::decode(key)).await,
            None => {
                port::discard(&mut request).await;
                port::refuse(404, "unknown_call")
            }
        },
    }
}

fn port_faults(platform: &Shared) -> fault::Port {
    let super::Faults { delay_ms, cut, .. } = platform.faults();
    fault::Port { down: false, delay_ms, loss: 0.0, cut }
}

fn record_refusal(platform: &Shared, status: u16, code: &str) -> http::Response {
    platform.lock().record.refused += 1;
    port::refuse(status, code)
}

async fn set_faults(platform: &Shared, request: &mut http::Request) -> http::Response {
    let change: Value = match port::read_json(request).await {
        Ok(change) => change,
        Err(error) => return port::malformed(&error),
    };
    match fault::merge(&platform.faults(), &change) {
        Ok(faults) => {
            platform.set_faults(faults);
            port::json(200, &platform.faults())
        }
        Err(error) => port::refuse(400, &error.to_string()),
    }
}

async fn set_hosts(platform: &Shared, request: &mut http::Request) -> http::Response {
    #[derive(Deserialize)]
    struct Hosts {
        hosts: Vec<super::HostEntry>,
    }
    match port::read_json::<Hosts>(request).await {
        Ok(list) => {
            platform.set_hosts(list.hosts);
            port::json(200, &json!({}))
        }
        Err(error) => port::malformed(&error),
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
        return port::refuse(429, "over_limit");
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
        return port::refuse(429, "over_limit");
    }
    match apply(&mut state) {
        Ok(answer) => {
            state.record.writes += count as u64;
            if state.faults.lose_answer { port::drop_connection(request) } else { answer }
        }
        Err(table::Conflict) => {
            state.record.refused += 1;
            port::refuse(409, "conflict")
        }
    }
}

fn rows(state: &super::State, request: &http::Request) -> http::Response {
    let limit = port::query(request, "limit").parse().unwrap_or(DEFAULT_ROW_LIMIT);
    let prefix = port::query(request, "prefix");
    let rows = state.table.rows(&prefix, &port::query(request, "after"), limit);
    port::json(200, &json!({"rows": rows}))
}

async fn commit(platform: &Shared, request: &mut http::Request) -> http::Response {
    let commit: super::Commit = match port::read_json(request).await {
        Ok(commit) => commit,
        Err(error) => return port::malformed(&error),
    };
    let count = (commit.puts.len() + commit.deletes.len()).max(1);
    write(platform, request, count, |state| {
        let versions = state.table.commit(&commit)?;
        Ok(port::json(200, &json!({"versions": versions})))
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
            None => port::refuse(404, "no_object"),
        }),
        "PUT" => {
            let object = match port::read(request).await {
                Ok(object) => object,
                Err(error) => return port::malformed(&error),
            };
            write(platform, request, 1, |state| {
                state.objects.insert(key.to_owned(), object);
                Ok(port::json(200, &json!({})))
            })
        }
        _ => port::refuse(405, "method"),
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

#[derive(Debug, Deserialize)]
struct TakeWeights {
    bytes: u64,
}

async fn take_weights(platform: &Shared, request: &mut http::Request) -> http::Response {
    let body: TakeWeights = match port::read_json(request).await {
        Ok(body) => body,
        Err(error) => return port::malformed(&error),
    };
    let rate = platform.settings.weight_rate;
    let mut state = platform.lock();
    match state.weights.take(body.bytes as f64, rate, time::Instant::now()) {
        Ok(()) => port::json(200, &json!({})),
        Err(seconds) => {
            state.record.refused += 1;
            http::Response::build(http::StatusCode::TOO_MANY_REQUESTS)
                .header("Retry-After", (seconds.ceil() as u64).to_string())
                .json(&json!({"error": {"code": "over_limit"}}))
        }
    }
}

//! HTTP interface of an engine, see `docs/PROTOCOLS.md`.

use std::net;
use std::sync;
use std::time;

use lagoonline::id;
use lagoonline::port::engine;
use ntex::http;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::commands;
use super::delivery;
use super::kv;
use super::state;
use crate::fault;
use crate::prompt;
use crate::transport;

/// Deadline of an attempt without the header `Lagoon-Deadline-Ms`.
const DEFAULT_DEADLINE_MS: u64 = 600_000;
/// Answer tokens of an attempt without the header `Lagoon-Answer-Tokens`.
const DEFAULT_ANSWER_TOKENS: u64 = 16;

type Shared = sync::Arc<super::Engine>;

pub(crate) async fn handle(engine: Shared, mut request: http::Request) -> http::Response {
    let path = request.path().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    let method = request.method().clone();
    let method = method.as_str();
    if let Some(response) = handle_admin(&engine, &mut request, method, &parts).await {
        return response;
    }
    if transport::apply_faults(&request, || engine.transport_faults()).await.is_err() {
        return transport::drop_connection(&request);
    }
    match (method, parts.as_slice()) {
        ("POST", ["generate"]) => generate(engine, request).await,
        ("GET", ["streams", attempt]) => resume(engine, &request, attempt),
        ("POST", ["streams", attempt, "cancel"]) => {
            transport::discard(&mut request).await;
            cancel(&engine, &request, attempt)
        }
        ("GET", ["load"]) => transport::json(200, &engine.lock().published_report()),
        ("GET", ["cache", "events"]) => list_events(&engine, &request),
        ("GET", ["holdings"]) => list_holdings(&engine),
        ("POST", ["holdings", id, "release"]) => {
            transport::discard(&mut request).await;
            engine.lock().release(&transport::decode(id), time::Instant::now());
            transport::json(200, &json!({}))
        }
        ("POST", ["kv", "reserve"]) => reserve(&engine, &mut request).await,
        ("POST", ["kv", "export"]) => export(&engine, &mut request).await,
        ("GET", ["kv", "exports", id]) => read_export(&engine, &transport::decode(id)),
        ("POST", ["kv", "import"]) => import(&engine, &mut request).await,
        ("POST", ["orders"]) => apply_command(&engine, &mut request).await,
        ("GET", ["orders"]) => {
            let state = engine.lock();
            transport::json(200, &state.commands.json(state.incarnation))
        }
        _ => {
            transport::discard(&mut request).await;
            transport::refuse(404, "unknown_call")
        }
    }
}

/// Handles the administrative calls (faults, record, leave), which bypass loss, delay and cuts.
/// While `down` closes the port, only the control address reaches them.
async fn handle_admin(
    engine: &Shared,
    request: &mut http::Request,
    method: &str,
    parts: &[&str],
) -> Option<http::Response> {
    match (method, parts) {
        ("GET", ["faults"]) => Some(transport::json(200, &engine.faults())),
        ("GET", ["record"]) => Some(transport::json(200, &engine.record())),
        ("POST", ["leave"]) => {
            transport::discard(request).await;
            engine.leave();
            Some(transport::json(200, &json!({})))
        }
        ("POST", ["faults"]) => Some(match transport::read_json::<Value>(request).await {
            Ok(change) => match fault::merge(&engine.faults(), &change) {
                Ok(faults) => {
                    engine.set_faults(faults);
                    transport::json(200, &engine.faults())
                }
                Err(error) => transport::refuse(400, &error.to_string()),
            },
            Err(error) => transport::malformed(&error),
        }),
        _ => None,
    }
}

/// Accepts an attempt and streams its answer.
async fn generate(engine: Shared, mut request: http::Request) -> http::Response {
    let Ok(attempt) = transport::header(&request, "Lagoon-Attempt").parse::<id::Attempt>() else {
        return transport::refuse(400, "malformed");
    };
    let body = match transport::read(&mut request).await {
        Ok(body) => body,
        Err(error) => return transport::malformed(&error),
    };
    let Some(text) = prompt::text(&body) else { return transport::refuse(400, "malformed") };
    let mut attempt_request = read_headers(&request, attempt, &text);
    let members = transport::header(&request, "Lagoon-Group");
    if !members.is_empty() {
        let need = engine.settings.tokens(text.len()) + attempt_request.answer_tokens;
        attempt_request.reservation = group_reservation(&engine, members, need).await;
        if attempt_request.reservation.is_none() {
            return transport::refuse(429, "full");
        }
    }
    let accepted = engine.lock().accept(attempt_request, time::Instant::now());
    if let Err(refusal) = accepted {
        let (status, code) = refusal.code();
        return transport::refuse(status, code);
    }
    stream_response(engine, &request, attempt, None)
}

fn read_headers(request: &http::Request, attempt: id::Attempt, text: &str) -> state::Request {
    let deadline = transport::number(request, "Lagoon-Deadline-Ms").unwrap_or(DEFAULT_DEADLINE_MS);
    let priority = transport::number(request, "Lagoon-Priority").unwrap_or(0);
    let answer_tokens =
        transport::number(request, "Lagoon-Answer-Tokens").unwrap_or(DEFAULT_ANSWER_TOKENS);
    state::Request {
        attempt,
        owner: transport::header(request, "Lagoon-Owner").to_owned(),
        priority: u8::try_from(priority).unwrap_or(u8::MAX),
        model: transport::header(request, "Lagoon-Model").to_owned(),
        // At most one day.
        deadline: time::Duration::from_millis(deadline.min(86_400_000)),
        prompt: prompt::Prompt::new(text),
        skip_tokens: transport::number(request, "Lagoon-Skip-Tokens").unwrap_or(0),
        answer_tokens,
        reservation: None,
    }
}

fn stream_response(
    engine: Shared,
    request: &http::Request,
    attempt: id::Attempt,
    from: Option<u64>,
) -> http::Response {
    let zone = transport::header(request, "Lagoon-Zone").to_owned();
    let load = serde_json::to_string(&engine.lock().load_report()).unwrap_or_default();
    let Some(delivery) = delivery::Delivery::new(engine, attempt, zone, from) else {
        return transport::refuse(404, "unknown_stream");
    };
    let parts = futures_util::stream::unfold(delivery, |mut delivery| async {
        delivery.next_part().await.map(|part| (part, delivery))
    });
    http::Response::build(http::StatusCode::OK)
        .content_type("text/event-stream")
        .header("Lagoon-Attempt", attempt.to_string())
        .header("Lagoon-Load", load)
        .streaming(Box::pin(parts))
}

/// Streams an accepted attempt from a given chunk, and makes the caller its owner.
fn resume(engine: Shared, request: &http::Request, attempt: &str) -> http::Response {
    let Ok(attempt) = attempt.parse() else { return transport::refuse(404, "unknown_stream") };
    let from = transport::query(request, "from").parse().unwrap_or(0);
    let owner = transport::header(request, "Lagoon-Owner");
    if !owner.is_empty() {
        engine.lock().set_owner(attempt, owner);
    }
    stream_response(engine, request, attempt, Some(from))
}

fn cancel(engine: &Shared, request: &http::Request, attempt: &str) -> http::Response {
    let Ok(attempt) = attempt.parse() else { return transport::refuse(400, "malformed") };
    let mut state = engine.lock();
    if state.faults.lose_cancel {
        return transport::drop_connection(request);
    }
    state.cancel(attempt, time::Instant::now());
    transport::json(200, &json!({}))
}

fn list_events(engine: &Shared, request: &http::Request) -> http::Response {
    let after = transport::query(request, "after").parse().unwrap_or(0);
    let state = engine.lock();
    let lag = time::Duration::from_millis(engine.settings.cache_lag_ms);
    let events = state.cache.events(after, lag, time::Instant::now());
    transport::json(200, &json!({"incarnation": state.incarnation, "events": events}))
}

/// Response body of `GET /holdings`.
#[derive(Debug, Deserialize, Serialize)]
struct Holdings {
    incarnation: u64,
    holdings: Vec<engine::Holding>,
}

fn list_holdings(engine: &Shared) -> http::Response {
    let now = time::Instant::now();
    let state = engine.lock();
    let held = state.kv.iter().map(|(id, holding)| engine::Holding {
        id: id.clone(),
        owner: holding.owner.clone(),
        kind: holding.kind,
        bytes: holding.tokens * engine.settings.kv_bytes_per_token,
        expires_ms: u64::try_from(holding.expires.saturating_duration_since(now).as_millis())
            .unwrap_or(u64::MAX),
    });
    let holdings = held.collect();
    transport::json(200, &Holdings { incarnation: state.incarnation, holdings })
}

/// Returns the id of this engine's reservation in a group of engines, if all reservations of the
/// group exist and together hold at least `need` tokens. `members` is a list of `ID@IP:PORT`.
async fn group_reservation(engine: &Shared, members: &str, need: u64) -> Option<String> {
    let mut own = None;
    let mut tokens = 0;
    for member in members.split(',') {
        let (id, address) = member.trim().split_once('@')?;
        let address: net::SocketAddr = address.parse().ok()?;
        if address == engine.settings.address {
            tokens += engine.lock().kv.get(id)?.tokens;
            own = Some(id.to_owned());
        } else {
            tokens += remote_reservation(engine, address, id).await?;
        }
    }
    own.filter(|_| tokens >= need)
}

/// Returns the tokens of a reservation at another engine.
async fn remote_reservation(engine: &Shared, address: net::SocketAddr, id: &str) -> Option<u64> {
    let client = ntex::client::Client::new().await;
    let response = client.get(format!("http://{address}/holdings")).send().await.ok()?;
    let held: Holdings = response.json().limit(16 << 20).await.ok()?;
    let bytes = held.holdings.iter().find(|holding| holding.id == id)?.bytes;
    Some(bytes / engine.settings.kv_bytes_per_token)
}

#[derive(Debug, Deserialize)]
struct Reserve {
    id: String,
    owner: String,
    tokens: u64,
    ttl_ms: u64,
}

/// Returns the expiry for a time to live of at most one day.
fn expiry(ttl_ms: u64) -> time::Instant {
    time::Instant::now() + time::Duration::from_millis(ttl_ms.min(86_400_000))
}

/// Reserves KV memory, or extends the expiry of a reservation that exists.
async fn reserve(engine: &Shared, request: &mut http::Request) -> http::Response {
    let body: Reserve = match transport::read_json(request).await {
        Ok(body) => body,
        Err(error) => return transport::malformed(&error),
    };
    let mut state = engine.lock();
    if state.leaving {
        return transport::refuse(503, "leaving");
    }
    if state.kv.get(&body.id).is_some() {
        state.kv.set_expiry(&body.id, expiry(body.ttl_ms));
        return transport::json(200, &json!({}));
    }
    if state.faults.refuse_full || !state.make_room(body.tokens, time::Instant::now()) {
        return transport::refuse(429, "full");
    }
    let holding = kv::Holding {
        owner: body.owner,
        kind: engine::Kind::Reservation,
        tokens: body.tokens,
        expires: expiry(body.ttl_ms),
        prefixes: Vec::new(),
    };
    state.kv.add(body.id, holding);
    transport::json(200, &json!({}))
}

#[derive(Debug, Deserialize)]
struct Export {
    id: String,
    owner: String,
    prefix: u64,
    ttl_ms: u64,
}

/// Allocates an export of the cached blocks up to a prefix, for another engine to import.
async fn export(engine: &Shared, request: &mut http::Request) -> http::Response {
    let body: Export = match transport::read_json(request).await {
        Ok(body) => body,
        Err(error) => return transport::malformed(&error),
    };
    let mut state = engine.lock();
    let Some(prefixes) = state.cache.chain(body.prefix) else {
        return transport::refuse(404, "unknown_prefix");
    };
    let tokens = prefixes.len() as u64 * engine.settings.tokens(prompt::BLOCK_BYTES);
    let bytes = tokens * engine.settings.kv_bytes_per_token;
    if state.kv.get(&body.id).is_none() {
        if !state.make_room(tokens, time::Instant::now()) {
            return transport::refuse(429, "full");
        }
        let (owner, expires) = (body.owner, expiry(body.ttl_ms));
        let kind = engine::Kind::Export;
        state.kv.add(body.id, kv::Holding { owner, kind, tokens, expires, prefixes });
    }
    transport::json(200, &json!({"bytes": bytes}))
}

/// Exported cache blocks. The stand-in transfers only their prefix hashes, no cache contents.
#[derive(Debug, Deserialize, Serialize)]
struct Exported {
    prefixes: Vec<u64>,
    tokens: u64,
    bytes: u64,
}

fn read_export(engine: &Shared, id: &str) -> http::Response {
    let state = engine.lock();
    let holding = state.kv.get(id).filter(|holding| holding.kind == engine::Kind::Export);
    let Some(holding) = holding else { return transport::refuse(404, "unknown_export") };
    let bytes = holding.tokens * engine.settings.kv_bytes_per_token;
    let prefixes = holding.prefixes.clone();
    transport::json(200, &Exported { prefixes, tokens: holding.tokens, bytes })
}

#[derive(Debug, Deserialize)]
struct Import {
    id: String,
    from: net::SocketAddr,
}

/// Fetches an export from another engine at `import_rate` and adds its blocks to the cache.
async fn import(engine: &Shared, request: &mut http::Request) -> http::Response {
    let body: Import = match transport::read_json(request).await {
        Ok(body) => body,
        Err(error) => return transport::malformed(&error),
    };
    let Some(exported) = fetch(&body).await else { return transport::refuse(502, "no_export") };
    let seconds = exported.bytes as f64 / engine.settings.import_rate as f64;
    tokio::time::sleep(time::Duration::from_secs_f64(seconds)).await;
    let mut state = engine.lock();
    state.cache_prefixes(&exported.prefixes, time::Instant::now());
    let tokens = state.cache.lookup(&exported.prefixes);
    transport::json(200, &json!({"tokens": tokens}))
}

async fn fetch(body: &Import) -> Option<Exported> {
    let client = ntex::client::Client::new().await;
    let uri = format!("http://{}/kv/exports/{}", body.from, body.id);
    let response = client.get(uri).send().await.ok()?;
    response.json().limit(16 << 20).await.ok()
}

async fn apply_command(engine: &Shared, request: &mut http::Request) -> http::Response {
    let envelope: commands::Envelope = match transport::read_json(request).await {
        Ok(envelope) => envelope,
        Err(error) => return transport::malformed(&error),
    };
    let mut state = engine.lock();
    match state.commands.apply(envelope, engine.settings.checks_fence) {
        Err(commands::StaleFence) => transport::refuse(409, "stale_fence"),
        Ok(load) => {
            if let Some(number) = load {
                ntex::rt::spawn(commands::load_model(engine.clone(), number));
            }
            let commands = &state.commands;
            let (model, role, fence) = (&commands.model, commands.role, commands.fence);
            transport::json(200, &json!({"model": model, "role": role, "fence": fence}))
        }
    }
}

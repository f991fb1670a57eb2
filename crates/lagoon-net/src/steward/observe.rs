//! Polls the load of the engines that this steward is responsible for.

use lagoonline::control::document;
use lagoonline::id;
use lagoonline::port::engine;
use ntex::client;
use ntex::http;
use ntex::rt;
use ntex::time;

use super::Context;

/// Timeout of one request.
const TIMEOUT: time::Millis = time::Millis(1_000);

pub(super) async fn run(context: Context) {
    let http = client::Client::new().await;
    loop {
        for (upstream, address) in assigned_engines(&context) {
            rt::spawn(observe(context.clone(), http.clone(), upstream, address));
        }
        let wait = context.settings.observe_interval.mul_f64(rand::random_range(0.9..1.1));
        tokio::time::sleep(wait).await;
    }
}

/// Returns the engines of this zone that rendezvous hashing assigns to this steward.
pub(super) fn assigned_engines(context: &Context) -> Vec<(id::Upstream, std::net::SocketAddr)> {
    let core = context.core.borrow();
    let here = |upstream: &&lagoonline::view::Upstream| {
        let is_engine = matches!(upstream.entry.serves, document::Serves::Models(_));
        is_engine && upstream.entry.zone == *core.zone() && core.is_assigned(upstream.name.as_str())
    };
    let found = core.fleet.upstreams.iter().filter(here);
    found.map(|upstream| (upstream.name.clone(), upstream.entry.address)).collect()
}

/// Reads the load of one upstream and records it.
async fn observe(
    context: Context,
    http: client::Client,
    upstream: id::Upstream,
    address: std::net::SocketAddr,
) {
    let read = read(http, address, context.settings.zone.as_str());
    // An upstream that does not respond keeps its last load; readers see its age.
    if let Ok(Some(load)) = time::timeout(TIMEOUT, read).await {
        context.core.borrow_mut().observe(&upstream, load);
    }
}

async fn read(
    http: client::Client,
    address: std::net::SocketAddr,
    zone: &str,
) -> Option<engine::LoadReport> {
    let request = http.get(format!("http://{address}/load")).set_header("Lagoon-Zone", zone);
    let response = request.send().await.ok()?;
    if response.status() != http::StatusCode::OK {
        return None;
    }
    let body = response.body().await.ok()?;
    serde_json::from_slice(&body).ok()
}

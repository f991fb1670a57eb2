//! Orders to an engine: loading a model at the weight store's rate, and changing role.

use std::net;
use std::sync;
use std::time;

use lagoonline::port::engine;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::settings;

/// Bytes asked of the weight store at once.
const TAKE_BYTES: u64 = 256 << 20;
/// Wait after the weight store said no or nothing.
const TAKE_PAUSE: time::Duration = time::Duration::from_millis(50);

/// What orders made of the engine.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) model: String,
    pub(crate) adapter: String,
    pub(crate) version: String,
    pub(crate) role: engine::Role,
    pub(crate) fence: u64,
    pub(crate) loading: bool,
    pub(crate) stale: u64,
    /// Loads ordered so far.
    pub(crate) loads: u64,
}

/// An order as it comes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Envelope {
    pub(crate) fence: u64,
    pub(crate) order: engine::Command,
}

/// The order's fencing number is old and the engine checks it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Stale;

impl State {
    pub(crate) fn new(settings: &settings::Settings) -> Self {
        State {
            model: settings.model.clone(),
            adapter: String::new(),
            version: String::new(),
            role: engine::Role::Mixed,
            fence: 0,
            loading: false,
            stale: 0,
            loads: 0,
        }
    }

    /// Takes an order; the number returned names the load that must now be carried out.
    pub(crate) fn take(&mut self, envelope: Envelope, checks: bool) -> Result<Option<u64>, Stale> {
        if envelope.fence < self.fence {
            self.stale += 1;
            if checks {
                return Err(Stale);
            }
        }
        self.fence = self.fence.max(envelope.fence);
        match envelope.order {
            engine::Command::Role { role } => {
                self.role = role;
                Ok(None)
            }
            engine::Command::Load { model, adapter, version } => {
                let same = self.model == model.as_str();
                if same && self.adapter == adapter && self.version == version {
                    return Ok(None);
                }
                model.as_str().clone_into(&mut self.model);
                (self.adapter, self.version) = (adapter, version);
                self.loading = true;
                self.loads += 1;
                Ok(Some(self.loads))
            }
        }
    }

    /// The load of this number is over; a later order's load goes on.
    fn loaded(&mut self, number: u64) {
        if self.loads == number {
            self.loading = false;
        }
    }

    pub(crate) fn json(&self, incarnation: u64) -> serde_json::Value {
        json!({
            "incarnation": incarnation, "model": self.model, "adapter": self.adapter,
            "version": self.version, "role": self.role, "fence": self.fence,
            "loading": self.loading,
        })
    }
}

/// Fetches the weights at the rate that the weight store allows, then serves the model.
pub(crate) async fn load(engine: sync::Arc<super::Engine>, number: u64) {
    if let Some(store) = engine.settings.weight_store {
        let client = ntex::client::Client::new().await;
        let mut left = engine.settings.weight_bytes;
        while left > 0 && engine.lock().orders.loads == number {
            let bytes = left.min(TAKE_BYTES);
            if take(&client, store, bytes, &engine.settings.name).await {
                left -= bytes;
            } else {
                tokio::time::sleep(TAKE_PAUSE).await;
            }
        }
    }
    engine.lock().orders.loaded(number);
}

async fn take(
    client: &ntex::client::Client,
    store: net::SocketAddr,
    bytes: u64,
    holder: &str,
) -> bool {
    let request = client.post(format!("http://{store}/weights/take"));
    let answer = request.send_json(&json!({"bytes": bytes, "holder": holder})).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

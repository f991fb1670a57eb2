//! Commands to an engine: load a model at the weight store's rate, or change the role. The HTTP
//! interface calls them orders.

use std::net;
use std::sync;
use std::time;

use lagoonline::port::engine;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::settings;

/// Bytes requested from the weight store in one call. The store only grants permission to transfer
/// them, within its rate limit; no weights are transferred.
const WEIGHT_REQUEST_BYTES: u64 = 256 << 20;
/// Delay before the next request after the weight store refused one or did not respond.
const WEIGHT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// State that commands change: model, role and fencing number.
#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) model: String,
    /// Name of the model adapter; empty if there is none.
    pub(crate) adapter: String,
    /// Version of the model; empty until a load command gives one.
    pub(crate) version: String,
    pub(crate) role: engine::Role,
    /// Highest fencing number seen.
    pub(crate) fence: u64,
    /// Whether weights are being fetched; attempts are refused meanwhile.
    pub(crate) loading: bool,
    /// Number of commands with a fencing number below the highest one seen.
    pub(crate) stale: u64,
    /// Number of loads started so far, which is also the number of the latest load.
    pub(crate) load_count: u64,
}

/// Request body of a command.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Envelope {
    pub(crate) fence: u64,
    pub(crate) order: engine::Command,
}

/// The command was refused because its fencing number is below the highest one seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StaleFence;

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
            load_count: 0,
        }
    }

    /// Applies a command. Returns the number of the load that the caller must now run, if any.
    ///
    /// Without `checks_fence`, a command with an old fencing number is counted but applied.
    pub(crate) fn apply(
        &mut self,
        envelope: Envelope,
        checks_fence: bool,
    ) -> Result<Option<u64>, StaleFence> {
        if envelope.fence < self.fence {
            self.stale += 1;
            if checks_fence {
                return Err(StaleFence);
            }
        }
        self.fence = self.fence.max(envelope.fence);
        match envelope.order {
            engine::Command::Role { role } => {
                self.role = role;
                Ok(None)
            }
            engine::Command::Load { model, adapter, version } => {
                let same_model = self.model == model.as_str();
                if same_model && self.adapter == adapter && self.version == version {
                    return Ok(None);
                }
                model.as_str().clone_into(&mut self.model);
                (self.adapter, self.version) = (adapter, version);
                self.loading = true;
                self.load_count += 1;
                Ok(Some(self.load_count))
            }
        }
    }

    /// Marks the load of this number as finished, unless a later load has replaced it.
    fn finish_load(&mut self, number: u64) {
        if self.load_count == number {
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

/// Fetches the weights at the rate that the weight store allows, then marks the model as loaded.
///
/// Stops early when a later load has started.
pub(crate) async fn load_model(engine: sync::Arc<super::Engine>, number: u64) {
    if let Some(store) = engine.settings.weight_store {
        let client = ntex::client::Client::new().await;
        let mut remaining = engine.settings.weight_bytes;
        while remaining > 0 && engine.lock().commands.load_count == number {
            let bytes = remaining.min(WEIGHT_REQUEST_BYTES);
            if request_weights(&client, store, bytes, &engine.settings.name).await {
                remaining -= bytes;
            } else {
                tokio::time::sleep(WEIGHT_RETRY_DELAY).await;
            }
        }
    }
    engine.lock().commands.finish_load(number);
}

/// Requests permission to transfer `bytes` of weights. Returns whether the store granted it.
///
/// `holder` is the name of this engine; the weight store of the platform stand-in ignores it.
async fn request_weights(
    client: &ntex::client::Client,
    store: net::SocketAddr,
    bytes: u64,
    holder: &str,
) -> bool {
    let request = client.post(format!("http://{store}/weights/take"));
    let response = request.send_json(&json!({"bytes": bytes, "holder": holder})).await;
    response.is_ok_and(|response| response.status().is_success())
}

//! HTTP access to the stand-ins' fault switches and records.

use std::collections;
use std::io;
use std::net;
use std::thread;
use std::time;

use lagoon_standin::{engine, service};
use serde::de;
use serde_json::Value;

use super::settings;
use crate::trial::fleet;

/// Maximum size of a record, in bytes.
const MAX_RECORD_BYTES: usize = 1 << 30;
/// Timeout for a response of a stand-in.
const RESPONSE_TIMEOUT: ntex::time::Seconds = ntex::time::Seconds(30);

async fn new_client() -> ntex::client::Client {
    let builder = ntex::client::Client::builder().response_timeout(RESPONSE_TIMEOUT);
    match builder.build(ntex::SharedCfg::default()).await {
        Ok(client) => client,
        Err(_) => ntex::client::Client::new().await,
    }
}

/// Runs a future to completion on an event loop of its own.
fn run_blocking<F, Output>(future: F) -> Output
where
    F: Future<Output = Output> + 'static,
    Output: 'static,
{
    ntex::rt::System::new("remote", ntex::rt::DefaultRuntime).block_on(future)
}

/// Sends a JSON body.
///
/// # Errors
///
/// There is no response, or its status is not a success such as 200.
pub(super) fn post_json(address: net::SocketAddr, path: &str, body: &Value) -> io::Result<()> {
    let (uri, body) = (format!("http://{address}{path}"), body.clone());
    run_blocking(async move {
        let response = new_client().await.post(uri).send_json(&body).await;
        let response = response.map_err(|error| io::Error::other(error.to_string()))?;
        let status = response.status();
        if status.is_success() { Ok(()) } else { Err(io::Error::other(status.to_string())) }
    })
}

/// Reads a JSON response.
fn get_json<T>(address: net::SocketAddr, path: &str) -> io::Result<T>
where
    T: de::DeserializeOwned + 'static,
{
    let uri = format!("http://{address}{path}");
    run_blocking(async move {
        let response = new_client().await.get(uri).send().await;
        let response = response.map_err(|error| io::Error::other(error.to_string()))?;
        let read = response.json().limit(MAX_RECORD_BYTES).await;
        read.map_err(|error| io::Error::other(error.to_string()))
    })
}

/// Waits at most `timeout` until the engines have freed all KV memory, then reads the stand-ins'
/// records. Memory that is not freed by then is in the result's `unfreed_bytes`.
///
/// # Errors
///
/// A record cannot be read.
pub(super) fn wait_for_record(
    fleet_settings: &settings::Fleet,
    timeout: time::Duration,
) -> io::Result<fleet::Record> {
    let deadline = time::Instant::now() + timeout;
    let engines = loop {
        let records: io::Result<Vec<engine::Record>> = fleet_settings
            .engines
            .iter()
            .map(|engine| read_record(fleet_settings, &engine.name))
            .collect();
        let records = records?;
        if unfreed_bytes(&records) == 0 || time::Instant::now() > deadline {
            break records;
        }
        thread::sleep(time::Duration::from_secs(1));
    };
    let mut record =
        fleet::Record { unfreed_bytes: unfreed_bytes(&engines), ..fleet::Record::default() };
    for engine in &engines {
        record.prompts.extend(engine.attempts.iter().map(|attempt| attempt.prompt_hash));
    }
    let mut bookings = collections::BTreeMap::new();
    for upstream in &fleet_settings.services {
        let service: service::Record = read_record(fleet_settings, &upstream.name)?;
        for call in service.calls.into_iter().filter(|call| call.ran) {
            *bookings.entry(call.body_sha256).or_insert(0) += 1;
        }
    }
    Ok(fleet::Record { bookings, ..record })
}

fn read_record<T>(fleet_settings: &settings::Fleet, name: &str) -> io::Result<T>
where
    T: de::DeserializeOwned + 'static,
{
    get_json(fleet_settings.control, &format!("/{name}/record"))
}

/// Returns the KV memory that the engines have not freed, in bytes.
fn unfreed_bytes(records: &[engine::Record]) -> u64 {
    records.iter().map(|record| record.bytes_reserved - record.bytes_returned).sum()
}

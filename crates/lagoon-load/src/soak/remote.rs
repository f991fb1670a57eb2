//! The stand-ins' switches and records, by HTTP.

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

/// Longest record that is read.
const RECORD_LIMIT: usize = 1 << 30;
/// Longest time for one of the stand-ins' answers.
const TIMEOUT: ntex::time::Seconds = ntex::time::Seconds(30);

async fn new_client() -> ntex::client::Client {
    let builder = ntex::client::Client::builder().response_timeout(TIMEOUT);
    match builder.build(ntex::SharedCfg::default()).await {
        Ok(client) => client,
        Err(_) => ntex::client::Client::new().await,
    }
}

fn block<F, Output>(work: F) -> Output
where
    F: Future<Output = Output> + 'static,
    Output: 'static,
{
    ntex::rt::System::new("remote", ntex::rt::DefaultRuntime).block_on(work)
}

/// Sends JSON.
///
/// # Errors
///
/// No answer, or another one than 200.
pub(super) fn post(address: net::SocketAddr, path: &str, body: &Value) -> io::Result<()> {
    let (uri, body) = (format!("http://{address}{path}"), body.clone());
    block(async move {
        let answer = new_client().await.post(uri).send_json(&body).await;
        let answer = answer.map_err(|error| io::Error::other(error.to_string()))?;
        let status = answer.status();
        if status.is_success() { Ok(()) } else { Err(io::Error::other(status.to_string())) }
    })
}

fn get<T>(address: net::SocketAddr, path: &str) -> io::Result<T>
where
    T: de::DeserializeOwned + 'static,
{
    let uri = format!("http://{address}{path}");
    block(async move {
        let answer = new_client().await.get(uri).send().await;
        let answer = answer.map_err(|error| io::Error::other(error.to_string()))?;
        let read = answer.json().limit(RECORD_LIMIT).await;
        read.map_err(|error| io::Error::other(error.to_string()))
    })
}

/// Waits until the engines have returned all memory, then reads what the stand-ins did; what is
/// left after `most` is in the record.
///
/// # Errors
///
/// A record could not be read.
pub(super) fn record(of: &settings::Fleet, most: time::Duration) -> io::Result<fleet::Record> {
    let deadline = time::Instant::now() + most;
    let engines = loop {
        let records: io::Result<Vec<engine::Record>> =
            of.engines.iter().map(|engine| read(of, &engine.name)).collect();
        let records = records?;
        if left(&records) == 0 || time::Instant::now() > deadline {
            break records;
        }
        thread::sleep(time::Duration::from_secs(1));
    };
    let mut record = fleet::Record { bytes_left: left(&engines), ..fleet::Record::default() };
    for engine in &engines {
        record.prompts.extend(engine.attempts.iter().map(|attempt| attempt.prompt_hash));
    }
    let mut bookings = collections::BTreeMap::new();
    for upstream in &of.services {
        let service: service::Record = read(of, &upstream.name)?;
        for call in service.calls.into_iter().filter(|call| call.ran) {
            *bookings.entry(call.body_sha256).or_insert(0) += 1;
        }
    }
    Ok(fleet::Record { bookings, ..record })
}

fn read<T>(of: &settings::Fleet, name: &str) -> io::Result<T>
where
    T: de::DeserializeOwned + 'static,
{
    get(of.control, &format!("/{name}/record"))
}

fn left(records: &[engine::Record]) -> u64 {
    records.iter().map(|record| record.bytes_reserved - record.bytes_returned).sum()
}

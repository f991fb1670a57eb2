//! Verdicts stored at the platform, so that they survive a crash of all hosts.
//!
//! Each host reads them once after its start and then learns new ones from the other hosts. The
//! leader of each zone writes those that are missing and removes those that have expired.

use std::collections;
use std::sync;

use lagoon_platform::store;
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::lifecycle::{fingerprint, quarantine};
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::message;
use crate::event;
use crate::state;
use crate::store as client;

/// Table of the verdicts.
const TABLE: &str = "lagoon-quarantine";
/// Timeout for a call of the store.
const CALL_TIMEOUT: clock::Span = clock::Span::from_millis(1_500);
/// Interval between two rounds of writes; doubled with each consecutive failed round, up to the
/// roster's limit.
const WRITE_INTERVAL: clock::Span = clock::Span::from_millis(700);
/// Maximum number of writes, and of removals, in one round.
const MAX_CALLS: usize = 10;

/// The row of a verdict; its key is the fingerprint.
#[derive(Debug, Deserialize, Serialize)]
struct Row {
    /// Version of the verdict; grows with each verdict on the same request.
    version: u32,
    /// How often the request has been in quarantine.
    times: u32,
    /// Number of crashes on which the verdict is based.
    crashes: u32,
    /// Unix time in milliseconds at which the verdict expires.
    until_ms: u64,
    /// Whether the quarantine was ended early.
    released: bool,
    /// Parts that the refused prompts have in common; none if a single request is refused.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    parts: Vec<String>,
    /// The only customer whose prompts are refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    customer: Option<String>,
}

/// Versions of the verdicts that the platform is known to hold.
type Stored = collections::BTreeMap<fingerprint::Fingerprint, u32>;

/// Reads the stored verdicts, then keeps them up to date.
pub(crate) async fn run(state: sync::Arc<state::State>) {
    let mut client = client::Client::new(&state);
    let mut stored = Stored::new();
    let mut failures = 0;
    while let Err(error) = read(&state, &mut client, &mut stored).await {
        // The stored verdicts could not be read.
        event::Line::new("quarantine_unread").text("error", error).warn();
        failures += 1;
        pause(&state, failures).await;
    }
    failures = 0;
    let mut era = state.era.get().number();
    loop {
        pause(&state, failures).await;
        if !state::lock(&state.peers).roster.is_leader(state.clock.now()) {
            continue;
        }
        let latest = state.era.get().number();
        if latest > era {
            // A restore may have lost verdicts that were stored, and brought back others.
            stored.clear();
        }
        let result = match latest > era {
            true => read(&state, &mut client, &mut stored).await,
            false => write(&state, &mut client, &mut stored).await,
        };
        if result.is_ok() {
            era = latest;
        }
        failures = match result {
            Ok(()) => 0,
            Err(error) => {
                // Verdicts could not be written, removed or read again.
                event::Line::new("quarantine_unwritten").text("error", error).warn();
                failures + 1
            }
        };
    }
}

/// Sleeps longer after each consecutive failure, up to the longest pause that the roster sets for
/// this host, which limits how often all hosts together call a failing platform. The pause is
/// randomized so that hosts which lost the platform together do not call it together.
async fn pause(state: &state::State, failures: u32) {
    let max_pause = state::lock(&state.peers).roster.max_retry_pause(state.clock.now());
    let span = WRITE_INTERVAL.saturating_mul(1_u32.checked_shl(failures).unwrap_or(u32::MAX));
    let span = span.min(max_pause.max(WRITE_INTERVAL));
    tokio::time::sleep(span.mul_f64(rand::rng().random_range(0.7..1.3))).await;
}

/// Reads and merges all stored verdicts.
async fn read(
    state: &state::State,
    client: &mut client::Client,
    stored: &mut Stored,
) -> Result<(), client::Error> {
    let mut from = String::new();
    loop {
        let answer = client.call(&store::rows(TABLE, &from), CALL_TIMEOUT).await?;
        let store::Reply::Rows(rows) = answer.reply else { return Ok(()) };
        for row in &rows.rows {
            merge_row(state, row, stored);
        }
        match rows.rows.last() {
            // The key right after the last one.
            Some(last) if rows.more => from = format!("{}\0", last.key),
            _ => return Ok(()),
        }
    }
}

/// Merges a row; one that cannot be read is logged and ignored.
fn merge_row(state: &state::State, row: &store::Row, stored: &mut Stored) {
    let Some(value) = &row.value else { return };
    let read = serde_json::from_slice::<Row>(value);
    match (row.key.parse::<fingerprint::Fingerprint>(), read) {
        (Ok(fingerprint), Ok(row)) => {
            stored.insert(fingerprint, row.version);
            let left = row.until_ms.saturating_sub(state.clock.wall_millis());
            let record = quarantine::Record {
                fingerprint,
                version: row.version,
                occurrences: row.times,
                crashes: row.crashes,
                expires_at: state.clock.now() + clock::Span::from_millis(left),
                released: row.released,
                pattern: message::pattern(&row.parts, row.customer.as_deref()),
            };
            state.merge_verdict(record, "platform");
        }
        (Err(error), _) => log_unreadable(&row.key, &error.to_string()),
        (_, Err(error)) => log_unreadable(&row.key, &error.to_string()),
    }
}

fn log_unreadable(key: &str, error: &str) {
    event::Line::new("quarantine_unreadable").text("key", key).text("error", error).warn();
}

/// Writes new verdicts and removes expired ones, up to [`MAX_CALLS`] of each.
async fn write(
    state: &state::State,
    client: &mut client::Client,
    stored: &mut Stored,
) -> Result<(), client::Error> {
    let records = state.verdicts();
    let is_new = |record: &&quarantine::Record| {
        stored.get(&record.fingerprint).is_none_or(|version| *version < record.version)
    };
    let new: Vec<_> = records.iter().filter(is_new).take(MAX_CALLS).cloned().collect();
    for record in new {
        let text = serde_json::json!(encode_row(state, &record)).to_string();
        let call = store::put(TABLE, &record.fingerprint.to_string(), text.as_bytes());
        // Writing a verdict again is harmless, so a lost answer needs no check.
        client.call(&call, CALL_TIMEOUT).await?;
        stored.insert(record.fingerprint, record.version);
    }
    let known: collections::BTreeSet<_> = records.iter().map(|known| known.fingerprint).collect();
    let expired = stored.keys().filter(|stored| !known.contains(stored));
    let expired: Vec<_> = expired.take(MAX_CALLS).copied().collect();
    for fingerprint in expired {
        client.call(&store::remove(TABLE, &fingerprint.to_string()), CALL_TIMEOUT).await?;
        stored.remove(&fingerprint);
    }
    Ok(())
}

fn encode_row(state: &state::State, record: &quarantine::Record) -> Row {
    let left = record.expires_at.since(state.clock.now()).as_millis();
    let left = u64::try_from(left).unwrap_or(u64::MAX);
    Row {
        version: record.version,
        times: record.occurrences,
        crashes: record.crashes,
        until_ms: state.clock.wall_millis().saturating_add(left),
        released: record.released,
        parts: message::listed_parts(record.pattern.as_ref()),
        customer: message::only_customer(record.pattern.as_ref()),
    }
}

//! The table of entry hosts at the platform.
//!
//! Each host keeps one row with the addresses at which other hosts reach it. The leader of a zone,
//! its first live host by rank (see [`crate::mesh`]), removes the rows of hosts in its zone that
//! have been silent for long. A host whose row was removed while it is running writes it again.
//!
//! A row also tells in which era of the platform's store it was written, and when that era was seen to
//! begin. A host that starts learns by it whether the store has been restored just now. After a restore
//! the rows that were lost are written again, and those of the leaders, with the new era.

use std::net;
use std::sync;

use lagoon_platform::store;
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::routing;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::event;
use crate::mesh;
use crate::relay;
use crate::state;
use crate::store as client;
use crate::tables;
use crate::watch;

/// Table of the entry hosts.
const TABLE: &str = "lagoon-hosts";
/// Timeout for the write of this host's row.
const WRITE_TIMEOUT: clock::Span = clock::Span::from_millis(1_500);
/// Time that the first read of the table may take before this host writes its row all the same.
const MAX_FIRST_READ_WAIT: clock::Span = clock::Span::from_millis(1_000);
/// Pause before a failed write is retried.
const WRITE_RETRY_PAUSE: clock::Span = clock::Span::from_millis(700);
/// Maximum pause before a row that is missing is written again.
const MAX_REWRITE_PAUSE: clock::Span = clock::Span::from_millis(800);
/// Time given to the other hosts to report their dispatches in flight: zones are some milliseconds
/// apart and hosts answer at once. A lost answer only makes placement less accurate.
const DISPATCHES_ANSWER_WAIT: clock::Span = clock::Span::from_millis(30);

/// The same just after a restore of the platform: only the other hosts know of evacuations and departures
/// that it has lost.
const UNSETTLED_ANSWER_WAIT: clock::Span = clock::Span::from_millis(300);
/// Maximum pause after the first read of the table.
///
/// When all hosts start within moments of each other, each finds only the rows of those before it.
/// Many then rank themselves first and read the platform for their zone until the next read of this
/// table.
const MAX_FIRST_PAUSE: clock::Span = clock::Span::from_millis(600);
/// Time for which this host reads the platform before it follows this table as well: when a reader
/// fails, many hosts read the platform for some moments until they have found the next one.
const READING_BEFORE_FOLLOWING: clock::Span = clock::Span::from_secs(3);

/// The row of a host.
#[derive(Debug, Deserialize, Serialize)]
struct Row {
    /// UDP address for datagrams from other hosts.
    address: net::SocketAddr,
    /// TCP address at which it answers relay requests of its zone, whether or not it reads the
    /// platform.
    reader: net::SocketAddr,
    zone: id::Zone,
    /// Share of a processor core that the host may use.
    cores: f64,
    /// Era of the platform's store; absent if it names none, or if it is not known when it began.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era: Option<u64>,
    /// Reading of the platform's clock in milliseconds when a host saw that era begin; absent if none
    /// did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    era_since_ms: Option<u64>,
}

/// Registers this host and follows the table of the others. This host receives datagrams at
/// `address` and answers relay requests of its zone at `relay_address`.
pub(crate) fn run(
    state: &sync::Arc<state::State>,
    address: net::SocketAddr,
    relay_address: net::SocketAddr,
) {
    let node = &state.settings.node;
    let row = Row {
        address,
        reader: relay_address,
        zone: node.zone.clone(),
        cores: node.cpu_share,
        era: None,
        era_since_ms: None,
    };
    drop(ntex::rt::spawn(register(state.clone(), row)));
    drop(ntex::rt::spawn(follow(state.clone())));
    drop(ntex::rt::spawn(remove_gone(state.clone())));
}

/// Writes this host's row, and writes it again whenever it is missing. The table is read first: a row
/// that is there already is of an earlier life of this host.
async fn register(state: sync::Arc<state::State>, mut own: Row) {
    drop(tokio::time::timeout(MAX_FIRST_READ_WAIT, state.hosts_read.notified()).await);
    loop {
        (own.era, own.era_since_ms) = era_record(&state);
        write_row(&state, &own).await;
        state.unregistered.notified().await;
        // When all hosts have to, they do not write at the same moment.
        let pause = MAX_REWRITE_PAUSE.mul_f64(rand::rng().random_range(0.0..1.0));
        tokio::time::sleep(pause).await;
    }
}

/// Returns the era of the platform's store and when it was seen to begin, as a row has them.
fn era_record(state: &state::State) -> (Option<u64>, Option<u64>) {
    let era = state.era.get();
    let number = Some(era.number()).filter(|number| *number > 0);
    let Some(since) = era.since() else { return (number, None) };
    let Some((millis, at)) = state.tables.platform_clock() else { return (None, None) };
    let millis_of = |span: clock::Span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    // One of the two spans is zero.
    let (later, earlier) = (millis_of(since.since(at)), millis_of(at.since(since)));
    (number, Some(millis.saturating_add(later).saturating_sub(earlier)))
}

/// Learns from the rows of hosts when the era of the platform's store began. If a host that starts finds
/// no record at all, no host has run before.
fn learn_era(state: &state::State) {
    let Some((millis, at)) = state.tables.platform_clock() else { return };
    let latest = state.era.get();
    if latest.is_settled(state.clock.now()) {
        return;
    }
    let mirror = state::lock(&state.tables.hosts);
    let rows = mirror.rows().filter_map(|row| row.value.as_ref());
    let rows = rows.filter_map(|value| serde_json::from_slice::<Row>(value).ok());
    let records: Vec<_> = rows.filter_map(|row| Some((row.era?, row.era_since_ms))).collect();
    drop(mirror);
    if !latest.has_followed() && records.is_empty() {
        state.learn_era(latest.number(), None);
    }
    for (era, since_ms) in records {
        let age = |since_ms| clock::Span::from_millis(millis.saturating_sub(since_ms));
        state.learn_era(era, since_ms.map(|since_ms| at.saturating_sub(age(since_ms))));
    }
}

/// Removes the rows of hosts that have been silent too long, while this host leads its zone.
async fn remove_gone(state: sync::Arc<state::State>) {
    let span = state.settings.tuning.hosts_gone;
    let mut client = client::Client::new(&state);
    loop {
        tokio::time::sleep(span.mul_f64(rand::rng().random_range(0.2..0.3))).await;
        let gone = state::lock(&state.peers).roster.expired(span, state.clock.now());
        for host in gone {
            let call = store::remove(TABLE, host.as_str());
            match client.call(&call, WRITE_TIMEOUT).await {
                Ok(_) => event::Line::new("host_forgotten").text("host", &host).info(),
                Err(error) => {
                    // This host could not remove the row.
                    event::Line::new("host_not_forgotten")
                        .text("host", &host)
                        .text("error", error)
                        .warn();
                }
            }
        }
    }
}

/// Writes this host's row, and retries until that succeeds.
async fn write_row(state: &state::State, own: &Row) {
    let mut client = client::Client::new(state);
    let row = serde_json::json!(own).to_string();
    state.tables.set_own_row(row.as_bytes());
    let call = store::put(TABLE, state.settings.node.host.as_str(), row.as_bytes());
    let mut tries = 0_u32;
    // Writing the row again is harmless, so a lost answer needs no check.
    while let Err(error) = client.call(&call, WRITE_TIMEOUT).await {
        tries += 1;
        if tries == 1 {
            event::Line::new("registration_failed").text("error", error).warn();
        }
        tokio::time::sleep(WRITE_RETRY_PAUSE).await;
    }
    event::Line::new("registered").text("address", own.address).number("tries", tries).info();
}

/// Follows the table while this host reads the platform itself; otherwise the rows come through the
/// relay.
async fn follow(state: sync::Arc<state::State>) {
    let wait = state.settings.tuning.hosts_wait;
    let mirror = state.tables.hosts.clone();
    let mut watch = watch::Watch::new(&state, "entry hosts", TABLE, wait, mirror);
    let mut first = true;
    loop {
        let was_reading = state.tables.reads_platform();
        state.tables.wait_until_reading().await;
        if !was_reading {
            tokio::select! {
                () = tokio::time::sleep(READING_BEFORE_FOLLOWING) => {}
                () = state.tables.wait_until_relayed() => continue,
            }
        }
        watch.update_max_pause();
        let Some(changes) = watch.next_unless_relayed().await else { continue };
        if let Some(millis) = changes.clock_ms {
            state.tables.record_platform_clock(millis, changes.at);
        }
        apply_rows(&state, &changes.applied, tables::Way::Platform);
        let pause = state.settings.tuning.hosts_pause;
        if std::mem::take(&mut first) {
            mesh::announce(&state);
            let is_settled = state.era.get().is_settled(state.clock.now());
            let wait = if is_settled { DISPATCHES_ANSWER_WAIT } else { UNSETTLED_ANSWER_WAIT };
            tokio::time::sleep(wait).await;
            state.raise_level(state::SyncLevel::Dispatches);
            tokio::time::sleep(pause.min(MAX_FIRST_PAUSE)).await;
        } else {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Applies changes of the table, which came by `way`.
pub(crate) fn apply_rows(state: &state::State, applied: &tables::Applied, way: tables::Way) {
    let own = state.settings.node.host.as_str();
    let is_restore = applied.began.is_some_and(|began| began.is_restore);
    // Hosts whose rows a restore has lost are running and write them again. Without the host that reads
    // for its zone, all others would read the platform at once.
    let is_lost = |row: &routing::Row| is_restore && row.value.is_none();
    for row in applied.rows.iter().filter(|row| row.key != own && !is_lost(row)) {
        apply_row(state, row);
    }
    let own_row = applied.rows.iter().find(|row| row.key == own);
    let own_value = own_row.and_then(|row| row.value.as_ref());
    let was_removed = own_row.is_some() && own_value.is_none();
    if was_removed || (is_restore && must_write_again(state, own_value)) {
        state.unregistered.notify_one();
    }
    if way == tables::Way::Platform {
        learn_era(state);
    }
    let peers = state::lock(&state.peers);
    let placing_hosts = peers.roster.placing_hosts();
    drop(peers);
    state.set_placing_hosts(placing_hosts);
    // A host that relays the table may not have read it yet, and a restore may have lost the row.
    let is_settled = state.era.get().is_settled(state.clock.now());
    let is_new = way == tables::Way::Platform && own_value.is_none() && is_settled;
    state.record_host_table(is_new);
    state.hosts_read.notify_one();
}

/// Whether this host has to write its row after a restore of the platform, which now shows `value`: if
/// that is not what it wrote last, or if it is the one in its zone that records the new era.
fn must_write_again(state: &state::State, value: Option<&Vec<u8>>) -> bool {
    let is_leader = state::lock(&state.peers).roster.is_leader(state.clock.now());
    is_leader || value.is_none_or(|value| !state.tables.is_own_row(value))
}

/// Applies the row of another host. A row that was removed or cannot be read removes the host.
fn apply_row(state: &state::State, row: &routing::Row) {
    let host = id::Host::from(row.key.as_str());
    let text = row.value.as_ref();
    let read = text.map(|text| serde_json::from_slice::<Row>(text));
    match read {
        Some(Ok(peer)) => {
            let info = routing::HostInfo { zone: peer.zone.clone(), cores: peer.cores };
            state::lock(&state.peers).set(&host, info, peer.address, state.clock.now());
            state::lock(&state.paths).set_host(host.clone(), peer.zone.clone());
            state::lock(&state.host_addresses).insert(host.clone(), peer.reader);
            if peer.zone == state.settings.node.zone {
                let known = routing::Peer { cores: peer.cores };
                let member = relay::Member { address: peer.reader, peer: known };
                state::lock(&state.members).insert(host, member);
            }
            return;
        }
        Some(Err(error)) => {
            event::Line::new("host_unreadable").text("host", &row.key).text("error", error).warn();
        }
        None => event::Line::new("host_removed").text("host", &row.key).info(),
    }
    state::lock(&state.peers).remove(&host);
    state::lock(&state.members).remove(&host);
    state::lock(&state.paths).remove_host(&host);
    state::lock(&state.host_addresses).remove(&host);
}

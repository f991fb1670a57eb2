//! The other entry hosts: where they are, and what is told between them.
//!
//! Each host keeps one row at the platform with the address at which it hears words. Rows of hosts
//! that are gone stay until a host of the same name overwrites them; a word sent there is lost.

use std::collections;
use std::net;
use std::sync;

use lagoon_platform::store;
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::placement;
use lagoonline::routing;
use prost::Message;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::event;
use crate::feed;
use crate::mirror;
use crate::relay;
use crate::state;
use crate::store as client;
use crate::watch;
use crate::word;

/// Table of the entry hosts.
const TABLE: &str = "lagoon-hosts";
/// Longest time for the write of the own row.
const WRITE: clock::Span = clock::Span::from_millis(1_500);
/// Pause before the write is tried again.
const AGAIN: clock::Span = clock::Span::from_millis(700);

/// A host's row.
#[derive(Debug, Deserialize, Serialize)]
struct Row {
    /// Where it hears words.
    address: net::SocketAddr,
    /// Where it answers hosts of its zone.
    reader: net::SocketAddr,
    zone: id::Zone,
    /// Part of a processor core that it has.
    cores: f64,
}

type Peers = sync::Arc<sync::Mutex<collections::HashMap<String, net::SocketAddr>>>;

/// Registers this host, follows the others, and passes words.
///
/// # Errors
///
/// The socket cannot be used.
pub(crate) fn run(
    state: sync::Arc<state::State>,
    socket: net::UdpSocket,
    reader: net::SocketAddr,
    words: mpsc::Receiver<word::Word>,
) -> std::io::Result<()> {
    let address = socket.local_addr()?;
    let socket = sync::Arc::new(UdpSocket::from_std(socket)?);
    let peers = Peers::default();
    let node = &state.settings.node;
    let row = Row { address, reader, zone: node.zone.clone(), cores: node.cpu_share };
    drop(ntex::rt::spawn(register(state.clone(), row)));
    let members = relay::Members::default();
    drop(ntex::rt::spawn(follow(state.clone(), peers.clone(), members.clone())));
    drop(ntex::rt::spawn(relay::follow(state.clone(), members)));
    drop(ntex::rt::spawn(hear(state.clone(), socket.clone())));
    drop(ntex::rt::spawn(tell(state.clone(), socket, peers, words)));
    Ok(())
}

async fn register(state: sync::Arc<state::State>, own: Row) {
    let mut client = client::Client::new(state.settings.node.store);
    let row = serde_json::json!(own).to_string();
    let call = store::put(TABLE, state.settings.node.host.as_str(), row.as_bytes());
    let mut tries = 0_u32;
    // Writing the row again is harmless, so a lost answer needs no reading back.
    while let Err(error) = client.call(&call, WRITE).await {
        tries += 1;
        if tries == 1 {
            event::Line::new("registration_failed").text("error", error).warn();
        }
        tokio::time::sleep(AGAIN).await;
    }
    event::Line::new("registered").text("address", own.address).number("tries", tries).info();
}

async fn follow(state: sync::Arc<state::State>, peers: Peers, members: relay::Members) {
    let wait = state.settings.tuning.hosts_wait;
    let mirror = sync::Arc::new(sync::Mutex::new(mirror::Mirror::new(feed::same_bytes)));
    let mut watch = watch::Watch::new(&state, "entry hosts", TABLE, wait, mirror);
    watch.knock_seldom();
    let own = state.settings.node.host.as_str();
    loop {
        let news = watch.next().await;
        for row in news.rows.iter().filter(|row| row.key != own) {
            take_row(&state, row, &peers, &members);
        }
        let others = state::lock(&members).len() as u64;
        state.feed.set_shared(others + 1 >= state.settings.tuning.relay_hosts);
        state.set_hosts(state::lock(&peers).len() + 1);
        tokio::time::sleep(state.settings.tuning.hosts_pause).await;
    }
}

/// Takes in the row of another host; one that was removed or cannot be read names no host.
fn take_row(state: &state::State, row: &store::Row, peers: &Peers, members: &relay::Members) {
    let host = id::Host::from(row.key.as_str());
    state::lock(peers).remove(&row.key);
    state::lock(members).remove(&host);
    let Some(text) = &row.value else { return };
    match serde_json::from_slice::<Row>(text) {
        Ok(peer) => {
            state::lock(peers).insert(row.key.clone(), peer.address);
            if peer.zone == state.settings.node.zone {
                let known = routing::Peer { cores: peer.cores };
                let member = relay::Member { address: peer.reader, peer: known };
                state::lock(members).insert(host, member);
            }
        }
        Err(error) => {
            event::Line::new("host_unreadable").text("host", &row.key).text("error", error).warn()
        }
    }
}

async fn tell(
    state: sync::Arc<state::State>,
    socket: sync::Arc<UdpSocket>,
    peers: Peers,
    mut words: mpsc::Receiver<word::Word>,
) {
    let mut batch = Vec::new();
    loop {
        let count = words.recv_many(&mut batch, usize::MAX).await;
        if count == 0 {
            return;
        }
        tokio::time::sleep(state.settings.tuning.words_pause).await;
        while let Ok(word) = words.try_recv() {
            batch.push(word);
        }
        let datagrams = word::Batch::datagrams(state.number, std::mem::take(&mut batch));
        let addresses: Vec<_> = state::lock(&peers).values().copied().collect();
        for address in addresses {
            for datagram in &datagrams {
                if socket.send_to(datagram, address).await.is_err() {
                    state.metrics.words_lost.inc();
                }
            }
        }
    }
}

async fn hear(state: sync::Arc<state::State>, socket: sync::Arc<UdpSocket>) {
    let mut buffer = vec![0; 1 << 16];
    loop {
        let length = match socket.recv(&mut buffer).await {
            Ok(length) => length,
            Err(error) => {
                event::Line::new("words_unheard").text("error", error).warn();
                tokio::time::sleep(AGAIN).await;
                continue;
            }
        };
        match word::Batch::decode(&buffer[..length]) {
            Ok(batch) => batch.words.into_iter().for_each(|word| take_in(&state, batch.host, word)),
            Err(error) => event::Line::new("words_unreadable").text("error", error).warn(),
        }
    }
}

fn take_in(state: &state::State, host: u64, word: word::Word) {
    let Some(desk) = state.desk(&id::Service::from(word.service.as_str())) else { return };
    let now = state.clock.now();
    let id = placement::WorkId { host, number: word.number };
    let mut desk = state::lock(&desk);
    match word.what {
        Some(word::What::Sent(sent)) => desk.board.begin(work(id, sent, now), now),
        Some(word::What::First(_)) => desk.board.first_token(id, now),
        Some(word::What::Ended(_)) => desk.board.end(id, now),
        // A later build's word.
        None => {}
    }
}

fn work(id: placement::WorkId, sent: word::Sent, now: clock::Moment) -> placement::Work {
    placement::Work {
        id,
        first: id::Upstream::from(sent.first),
        helpers: sent.helpers.into_iter().map(id::Upstream::from).collect(),
        prompt: sent.prompt,
        held: sent.held,
        gap: clock::Span::from_millis(u64::from(sent.gap_ms)),
        until: now + clock::Span::from_millis(u64::from(sent.left_ms)),
    }
}

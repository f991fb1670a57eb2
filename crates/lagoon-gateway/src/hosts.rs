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
use crate::report;
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

/// Time for the other hosts to tell what they have under way: zones are some milliseconds apart,
/// hosts answer at once, and what is lost on the way costs only efficiency.
const ANSWERS: clock::Span = clock::Span::from_millis(30);

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

/// The other hosts. One that starts again at a new address is heard of by its words seconds before
/// its row is read.
#[derive(Debug, Default)]
struct Known {
    /// Where those hear words that have a row at the platform.
    rows: collections::HashMap<String, net::SocketAddr>,
    /// The life that was last heard of at each address, and when.
    lives: collections::HashMap<net::SocketAddr, (u64, clock::Moment)>,
}

type Peers = sync::Arc<sync::Mutex<Known>>;

impl Known {
    fn addresses(&self) -> collections::BTreeSet<net::SocketAddr> {
        self.rows.values().chain(self.lives.keys()).copied().collect()
    }

    /// Numbers of the lives that were heard of within `span` before `now`.
    fn heard_within(&self, span: clock::Span, now: clock::Moment) -> Vec<u64> {
        let heard = self.lives.values().filter(|(_, at)| now.since(*at) <= span);
        heard.map(|(life, _)| *life).collect()
    }
}

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
    drop(ntex::rt::spawn(follow(state.clone(), socket.clone(), peers.clone(), members.clone())));
    drop(ntex::rt::spawn(relay::follow(state.clone(), members)));
    drop(ntex::rt::spawn(hear(state.clone(), socket.clone(), peers.clone())));
    drop(ntex::rt::spawn(tell(state.clone(), socket, peers.clone(), words)));
    let clock = state.clock;
    let others = move |span| state::lock(&peers).heard_within(span, clock.now());
    drop(ntex::rt::spawn(report::run(state, others)));
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

async fn follow(
    state: sync::Arc<state::State>,
    socket: sync::Arc<UdpSocket>,
    peers: Peers,
    members: relay::Members,
) {
    let wait = state.settings.tuning.hosts_wait;
    let mirror = sync::Arc::new(sync::Mutex::new(mirror::Mirror::new(feed::same_bytes)));
    let mut watch = watch::Watch::new(&state, "entry hosts", TABLE, wait, mirror);
    watch.knock_seldom();
    let own = state.settings.node.host.as_str();
    let mut first = true;
    loop {
        let news = watch.next().await;
        for row in news.rows.iter().filter(|row| row.key != own) {
            if let Some(address) = take_row(&state, row, &peers, &members) {
                greet(&state, &socket, address).await;
            }
        }
        if std::mem::take(&mut first) {
            tokio::time::sleep(ANSWERS).await;
            state.learn(state::Knowledge::Loads);
        }
        let others = state::lock(&members).len() as u64;
        state.feed.set_shared(others + 1 >= state.settings.tuning.relay_hosts);
        state.set_hosts(state::lock(&peers).rows.len() + 1);
        tokio::time::sleep(state.settings.tuning.hosts_pause).await;
    }
}

/// Takes in the row of another host; one that was removed or cannot be read names no host. Gives
/// the address of one that is new.
fn take_row(
    state: &state::State,
    row: &store::Row,
    peers: &Peers,
    members: &relay::Members,
) -> Option<net::SocketAddr> {
    let host = id::Host::from(row.key.as_str());
    let before = state::lock(peers).rows.remove(&row.key);
    state::lock(members).remove(&host);
    let text = row.value.as_ref()?;
    match serde_json::from_slice::<Row>(text) {
        Ok(peer) => {
            state::lock(peers).rows.insert(row.key.clone(), peer.address);
            if peer.zone == state.settings.node.zone {
                let known = routing::Peer { cores: peer.cores };
                let member = relay::Member { address: peer.reader, peer: known };
                state::lock(members).insert(host, member);
            }
            Some(peer.address).filter(|address| before != Some(*address))
        }
        Err(error) => {
            event::Line::new("host_unreadable").text("host", &row.key).text("error", error).warn();
            None
        }
    }
}

/// Tells a host that this one is there: it answers with what it has under way.
async fn greet(state: &state::State, socket: &UdpSocket, address: net::SocketAddr) {
    send(state, socket, address, &state.datagrams(Vec::new())).await;
}

async fn send(
    state: &state::State,
    socket: &UdpSocket,
    address: net::SocketAddr,
    datagrams: &[Vec<u8>],
) {
    for datagram in datagrams {
        if socket.send_to(datagram, address).await.is_err() {
            state.metrics.words_lost.inc();
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
        let datagrams = state.datagrams(std::mem::take(&mut batch));
        let addresses = state::lock(&peers).addresses();
        for address in addresses {
            send(&state, &socket, address, &datagrams).await;
        }
    }
}

async fn hear(state: sync::Arc<state::State>, socket: sync::Arc<UdpSocket>, peers: Peers) {
    let mut buffer = vec![0; 1 << 16];
    // What is told of a service that is not known yet would be lost.
    state.wait_for(state::Knowledge::Lists).await;
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(heard) => heard,
            Err(error) => {
                event::Line::new("words_unheard").text("error", error).warn();
                tokio::time::sleep(AGAIN).await;
                continue;
            }
        };
        match word::Batch::decode(&buffer[..length]) {
            Ok(batch) => {
                meet(&state, &socket, &peers, from, batch.host).await;
                state.heard_confirmation(batch.confirmed_ms);
                batch.words.into_iter().for_each(|word| take_in(&state, batch.host, word));
            }
            Err(error) => event::Line::new("words_unreadable").text("error", error).warn(),
        }
    }
}

/// Tells a life of a host that is heard of for the first time what this host has under way.
///
/// Failure answered: a host that has just started knows of nothing on the engines, believes that all
/// are idle, and sends its first seconds of requests to the same ones. Told at once, dispatches that
/// missed three or more answers on their engine went from 62 to 12 a simulated day (ten days).
async fn meet(
    state: &state::State,
    socket: &UdpSocket,
    peers: &Peers,
    from: net::SocketAddr,
    life: u64,
) {
    let now = state.clock.now();
    let before = state::lock(peers).lives.insert(from, (life, now));
    if before.is_some_and(|(before, _)| before == life) {
        return;
    }
    if let Some((before, _)) = before {
        state.forget_host(before);
    }
    let datagrams = state.datagrams(state.under_way());
    event::Line::new("host_met")
        .text("address", from)
        .number("life", life)
        .number("datagrams", datagrams.len())
        .info();
    send(state, socket, from, &datagrams).await;
}

fn take_in(state: &state::State, host: u64, word: word::Word) {
    let Some(desk) = state.desk(&id::Service::from(word.service.as_str())) else { return };
    let now = state.clock.now();
    let id = placement::WorkId { host, number: word.number };
    let mut desk = state::lock(&desk);
    match word.what {
        Some(word::What::Sent(sent)) => desk.board.begin(sent.work(id, now), now),
        Some(word::What::First(_)) => desk.board.first_token(id, now),
        Some(word::What::Ended(_)) => desk.board.end(id, now),
        Some(word::What::Reported(report)) => {
            let upstream = id::Upstream::from(report.upstream);
            desk.board.set_slowness(&upstream, report.slowness, now);
        }
        // A later build's word.
        None => {}
    }
}

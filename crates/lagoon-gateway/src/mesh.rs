//! Datagrams between entry hosts: heartbeats, dispatches in flight, health of upstreams, and
//! questions to the zone's scheduler. [`routing::Roster`] decides which host reports to which.
//!
//! [`routing::Roster`]: lagoonline::routing::Roster

use std::collections;
use std::net;
use std::sync;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::placement;
use lagoonline::routing;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::event;
use crate::peers;
use crate::schedule;
use crate::state;
use crate::word;

/// Interval between heartbeats to hosts of this zone.
const BEAT: clock::Span = clock::Span::from_millis(300);
/// Heartbeats within the zone for each heartbeat to other zones.
const FAR_BEATS: u64 = 3;
/// A dispatch first seen within this time before a heartbeat's list of dispatches is kept even if
/// the list does not name it: it may have begun after the list was made.
const ON_THE_WAY: clock::Span = clock::Span::from_secs(1);
/// Pause after the socket failed.
const AGAIN: clock::Span = clock::Span::from_millis(700);

/// The hosts that receive an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reach {
    /// Hosts of this zone.
    Near,
    /// Hosts of other zones.
    Far,
    /// Hosts of all zones.
    All,
}

/// An update queued for other hosts.
#[derive(Clone, Debug)]
pub(crate) struct Said {
    pub(crate) word: word::Word,
    pub(crate) reach: Reach,
}

/// Starts the tasks that send and receive datagrams for as long as the process runs.
///
/// # Errors
///
/// The socket cannot be used.
pub(crate) fn run(
    state: &sync::Arc<state::State>,
    socket: net::UdpSocket,
    said: mpsc::Receiver<Said>,
) -> std::io::Result<()> {
    let socket = UdpSocket::from_std(socket)?;
    drop(ntex::rt::spawn(hear(state.clone(), socket)));
    drop(ntex::rt::spawn(tell(state.clone(), said)));
    drop(ntex::rt::spawn(beat(state.clone())));
    Ok(())
}

async fn tell(state: sync::Arc<state::State>, mut said: mpsc::Receiver<Said>) {
    let mut batch = Vec::new();
    loop {
        let count = said.recv_many(&mut batch, usize::MAX).await;
        if count == 0 {
            return;
        }
        tokio::time::sleep(state.settings.tuning.words_pause).await;
        while let Ok(more) = said.try_recv() {
            batch.push(more);
        }
        let (near, far) = state.reached();
        send_words(&state, &batch, Reach::Near, &near);
        send_words(&state, &batch, Reach::Far, &far);
        batch.clear();
    }
}

/// Sends the updates of `batch` that are meant for `side` to `addresses`.
fn send_words(state: &state::State, batch: &[Said], side: Reach, addresses: &[net::SocketAddr]) {
    let reached = batch.iter().filter(|said| said.reach == side || said.reach == Reach::All);
    let words: Vec<_> = reached.map(|said| said.word.clone()).collect();
    if words.is_empty() {
        return;
    }
    let datagrams = state.datagrams(words);
    for address in addresses {
        state.send(*address, &datagrams);
    }
}

/// Sends heartbeats with the dispatches in flight, and forgets hosts whose heartbeats have stopped.
async fn beat(state: sync::Arc<state::State>) {
    let mut count = 0;
    loop {
        tokio::time::sleep(BEAT).await;
        forget_silent(&state);
        beat_near(&state);
        if count % FAR_BEATS == 0 {
            beat_far(&state);
        }
        count += 1;
    }
}

/// Announces this host to those that track dispatches in flight; they answer with theirs.
pub(crate) fn greet(state: &state::State) {
    beat_near(state);
    if state::lock(&state.peers).roster.is_candidate(state.clock.now()) {
        beat_far(state);
    }
}

fn beat_near(state: &state::State) {
    let now = state.clock.now();
    let own = collections::HashSet::from([state.number]);
    let datagram = state.heartbeat(state.numbers(&own), true);
    let mut peers = state::lock(&state.peers);
    let near = peers.roster.near(now);
    for host in &near {
        peers.roster.asked(host, now);
    }
    let addresses: Vec<_> = near.iter().filter_map(|host| peers.address(host)).collect();
    drop(peers);
    for address in addresses {
        state.send(address, std::slice::from_ref(&datagram));
    }
}

/// Sends a heartbeat to other zones. It lists what all hosts of this zone have in flight and is
/// sent by the zone's scheduler; in a small zone without one, each host sends its own.
fn beat_far(state: &state::State) {
    let now = state.clock.now();
    let peers = state::lock(&state.peers);
    let shared = peers.roster.is_own_shared();
    if shared && !peers.roster.leads(now) {
        return;
    }
    let mut lives = collections::HashSet::from([state.number]);
    if shared {
        lives.extend(peers.lives_in(&state.settings.node.zone));
    }
    let far = peers.far(now);
    drop(peers);
    let datagrams: Vec<_> = word::pack(state.numbers(&lives))
        .into_iter()
        .map(|under_way| state.heartbeat(under_way, false))
        .collect();
    for address in far {
        state.send(address, &datagrams);
    }
}

/// Drops the dispatches of hosts whose heartbeats have stopped.
///
/// When a host loses power, nobody reports that its requests ended. Without this, their slots would
/// count as taken until the callers' deadlines.
fn forget_silent(state: &state::State) {
    let silent = state::lock(&state.peers).take_silent(state.clock.now());
    for life in silent {
        event::Line::new("host_silent").number("life", life).info();
        state.forget_life(life);
    }
}

async fn hear(state: sync::Arc<state::State>, socket: UdpSocket) {
    let mut buffer = vec![0; 1 << 16];
    // An update about a service that is not known yet would be lost.
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
            Ok(batch) => take_in(&state, from, batch),
            Err(error) => event::Line::new("words_unreadable").text("error", error).warn(),
        }
    }
}

fn take_in(state: &state::State, from: net::SocketAddr, batch: word::Batch) {
    let life = batch.host;
    let now = state.clock.now();
    if let Some(beat) = &batch.beat {
        let standing =
            routing::Standing { zone: id::Zone::from(beat.zone.as_str()), cores: beat.cores };
        let host = id::Host::from(beat.host.as_str());
        state::lock(&state.peers).set(&host, standing, from, now);
    }
    let met = state::lock(&state.peers).heard(from, life, now);
    if let peers::Met::New { before } = met {
        meet(state, from, life, before);
    }
    state.heard_confirmation(batch.confirmed_ms);
    let relays = state.relays_for(from);
    for word in batch.words {
        take_word(state, life, word, relays);
    }
    for question in &batch.questions {
        let answer = schedule::decide(state, life, question);
        state.send(
            from,
            &[state.batch(word::Batch { answers: vec![answer], ..Default::default() })],
        );
    }
    for answer in batch.answers {
        state.questions.answer(answer);
    }
    if let Some(beat) = batch.beat {
        take_beat(state, from, beat);
    }
    state.compare_verdicts(from, batch.verdicts);
}

fn take_beat(state: &state::State, from: net::SocketAddr, beat: word::Beat) {
    if beat.wants_answer {
        state.send(from, &state.datagrams(Vec::new()));
    }
    for under_way in beat.under_way {
        let numbers = under_way.numbers.into_iter().collect();
        state.keep_only(under_way.host, &numbers, ON_THE_WAY);
    }
}

/// Sends the dispatches in flight to a host incarnation that is seen for the first time.
///
/// A host that has just started knows of no dispatches and believes that all engines are idle.
/// Without this, it would send its first seconds of requests to the same engines.
fn meet(state: &state::State, from: net::SocketAddr, life: u64, before: Option<u64>) {
    if let Some(before) = before {
        state.forget_life(before);
    }
    let words = state.told_when_met(from);
    event::Line::new("host_met")
        .text("address", from)
        .number("life", life)
        .number("words", words.len())
        .info();
    if !words.is_empty() {
        state.send(from, &state.datagrams(words));
    }
}

/// Whether the zone's scheduler forwards `what` to other zones on behalf of its hosts.
fn is_relayed(what: &word::What) -> bool {
    match what {
        word::What::First(_)
        | word::What::Ended(_)
        | word::What::Crashed(_)
        | word::What::Cleared(_) => true,
        word::What::Sent(_)
        | word::What::Reported(_)
        | word::What::Seen(_)
        | word::What::Verdict(_) => false,
    }
}

/// Applies an update of the host incarnation `from`, and forwards it to other zones if `relays` is
/// set.
fn take_word(state: &state::State, from: u64, word: word::Word, relays: bool) {
    let service = id::Service::from(word.service.as_str());
    let id = placement::WorkId { host: word.host.unwrap_or(from), number: word.number };
    let is_own = word.host.is_none();
    let Some(what) = word.what else {
        // A kind of update that only a later build knows.
        return;
    };
    if relays && is_own && is_relayed(&what) {
        state.say(word::Word::about(id, &service, what.clone()), Reach::Far);
    }
    match &what {
        word::What::Crashed(crashed) => return state.heard_crash(crashed),
        word::What::Cleared(cleared) => return state.heard_cleared(cleared),
        word::What::Verdict(verdict) => return state.heard_verdict(verdict),
        _ => {}
    }
    let told = state.with_board(&service, |board, now| match what {
        word::What::Sent(sent) => board.begin(sent.work(id, now), now),
        word::What::First(_) => board.first_token(id, now),
        word::What::Ended(_) => board.end(id, now),
        word::What::Reported(report) => {
            let upstream = id::Upstream::from(report.upstream);
            board.set_slowness(&upstream, report.slowness, now);
        }
        word::What::Seen(seen) => seen.note(board, now),
        word::What::Crashed(_) | word::What::Cleared(_) | word::What::Verdict(_) => {}
    });
    if told.is_none() {
        log::debug!("\"event\":\"word_of_unknown_service\"");
    }
}

//! Words between entry hosts: who they are, what is under way, how upstreams fare, and where
//! requests are to go. [`routing::Roster`] decides who tells whom.
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

/// Time between two heartbeats to hosts of this zone.
const BEAT: clock::Span = clock::Span::from_millis(300);
/// Heartbeats within the zone for each that goes to other zones.
const FAR_BEATS: u64 = 3;
/// What a host heard of later than this before a list of all that is under way may have begun after
/// the list was made.
const ON_THE_WAY: clock::Span = clock::Span::from_secs(1);
/// Pause after the socket failed.
const AGAIN: clock::Span = clock::Span::from_millis(700);

/// Who is to hear a word.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reach {
    /// Hosts of this zone.
    Near,
    /// Hosts of other zones.
    Far,
    /// Both.
    All,
}

/// A word on its way to other hosts.
#[derive(Clone, Debug)]
pub(crate) struct Said {
    pub(crate) word: word::Word,
    pub(crate) reach: Reach,
}

/// Tells and hears words as long as the process lives.
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

/// Sends those of `batch` that are to reach `side` to `addresses`.
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

/// Tells the others now and then that this host is there and all that it has under way, and forgets
/// those that fell silent.
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

/// Tells those who are to know what is under way that this host is there; they answer with what
/// they have under way.
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
    let near = peers.roster.zone_peers(now);
    for host in &near {
        peers.roster.record_heartbeat_sent(host, now);
    }
    let addresses: Vec<_> = near.iter().filter_map(|host| peers.address(host)).collect();
    drop(peers);
    for address in addresses {
        state.send(address, std::slice::from_ref(&datagram));
    }
}

/// What the hosts of this zone have under way is told to other zones by the host that schedules for
/// them, in a small zone by each.
fn beat_far(state: &state::State) {
    let now = state.clock.now();
    let peers = state::lock(&state.peers);
    let shared = peers.roster.own_zone_has_scheduler();
    if shared && !peers.roster.is_leader(now) {
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

/// Forgets what lives that fell silent had under way.
///
/// Failure answered: a host loses power. Nobody says that its requests ended, and their places
/// count as taken until their callers' time is over.
fn forget_silent(state: &state::State) {
    let silent = state::lock(&state.peers).take_silent(state.clock.now());
    for life in silent {
        event::Line::new("host_silent").number("life", life).info();
        state.forget_life(life);
    }
}

async fn hear(state: sync::Arc<state::State>, socket: UdpSocket) {
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
            routing::HostInfo { zone: id::Zone::from(beat.zone.as_str()), cores: beat.cores };
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

/// Tells a life of a host that is heard of for the first time what is under way.
///
/// Failure answered: a host that has just started knows of nothing on the engines, believes that all
/// are idle, and sends its first seconds of requests to the same ones.
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

/// Whether other zones hear `what` from the host that schedules for this one.
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

/// Takes in a word of the life `from`, and tells other zones of it where `relays` says so.
fn take_word(state: &state::State, from: u64, word: word::Word, relays: bool) {
    let service = id::Service::from(word.service.as_str());
    let id = placement::DispatchId { host: word.host.unwrap_or(from), number: word.number };
    let is_own = word.host.is_none();
    let Some(what) = word.what else {
        // A later build's word.
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
        word::What::Sent(sent) => board.record_dispatch(sent.work(id, now), now),
        word::What::First(_) => board.record_first_token(id, now),
        word::What::Ended(_) => board.record_end(id, now),
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

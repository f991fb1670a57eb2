//! Datagrams between entry hosts: heartbeats, dispatches in flight, health of upstreams, and
//! questions to the zone's scheduler. [`routing::Roster`] decides which host reports to which.
//!
//! In a small zone every host tracks the dispatches of all hosts and places its own requests. In a
//! larger one the leader, the first live host by rank, is the scheduler and places the requests of
//! all hosts. Only it and the next live hosts by rank, its possible successors, track the
//! dispatches in flight, and it forwards the updates of its zone to other zones. Hosts rank by
//! their share of a processor core, the largest first, then by name.
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
use crate::message;
use crate::peers;
use crate::schedule;
use crate::state;

/// Interval between heartbeats to hosts of this zone.
const HEARTBEAT_INTERVAL: clock::Span = clock::Span::from_millis(300);
/// Heartbeats within the zone for each heartbeat to other zones.
const HEARTBEATS_PER_REMOTE_HEARTBEAT: u64 = 3;
/// A dispatch first seen within this time before a heartbeat's list of dispatches is kept even if
/// the list does not name it: it may have begun after the list was made.
const IN_TRANSIT_GRACE: clock::Span = clock::Span::from_secs(1);
/// Pause after the socket failed.
const SOCKET_RETRY_PAUSE: clock::Span = clock::Span::from_millis(700);

/// The hosts that receive an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Audience {
    /// Hosts of this zone that track dispatches in flight.
    OwnZone,
    /// Hosts of other zones that track dispatches in flight.
    OtherZones,
    /// Hosts of all zones that track dispatches in flight.
    AllZones,
}

/// An update queued for other hosts.
#[derive(Clone, Debug)]
pub(crate) struct QueuedUpdate {
    pub(crate) update: message::Update,
    pub(crate) audience: Audience,
}

/// Starts the tasks that send and receive datagrams for as long as the process runs.
///
/// # Errors
///
/// The socket cannot be used.
pub(crate) fn run(
    state: &sync::Arc<state::State>,
    socket: net::UdpSocket,
    updates: mpsc::Receiver<QueuedUpdate>,
) -> std::io::Result<()> {
    let socket = UdpSocket::from_std(socket)?;
    drop(ntex::rt::spawn(receive(state.clone(), socket)));
    drop(ntex::rt::spawn(send_updates(state.clone(), updates)));
    drop(ntex::rt::spawn(send_heartbeats(state.clone())));
    Ok(())
}

/// Collects queued updates for a short time and sends them in batches.
async fn send_updates(state: sync::Arc<state::State>, mut updates: mpsc::Receiver<QueuedUpdate>) {
    let mut batch = Vec::new();
    loop {
        let count = updates.recv_many(&mut batch, usize::MAX).await;
        if count == 0 {
            return;
        }
        tokio::time::sleep(state.settings.tuning.batch_window).await;
        while let Ok(more) = updates.try_recv() {
            batch.push(more);
        }
        let (own_zone, remote) = state.tracking_addresses();
        send_batch(&state, &batch, Audience::OwnZone, &own_zone);
        send_batch(&state, &batch, Audience::OtherZones, &remote);
        batch.clear();
    }
}

/// Sends the updates of `batch` that are meant for `audience` to `addresses`.
fn send_batch(
    state: &state::State,
    batch: &[QueuedUpdate],
    audience: Audience,
    addresses: &[net::SocketAddr],
) {
    let selected = batch
        .iter()
        .filter(|queued| queued.audience == audience || queued.audience == Audience::AllZones);
    let updates: Vec<_> = selected.map(|queued| queued.update.clone()).collect();
    if updates.is_empty() {
        return;
    }
    let datagrams = match audience {
        Audience::OwnZone => state.encode_updates_in_zone(updates),
        Audience::OtherZones | Audience::AllZones => state.encode_updates(updates),
    };
    for address in addresses {
        state.send(*address, &datagrams);
    }
}

/// Sends heartbeats with the dispatches in flight, and forgets hosts whose heartbeats have stopped.
async fn send_heartbeats(state: sync::Arc<state::State>) {
    let mut count = 0;
    loop {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        forget_silent_hosts(&state);
        send_zone_heartbeat(&state);
        state.repeat_departures();
        state.repeat_to_carriers();
        if count % HEARTBEATS_PER_REMOTE_HEARTBEAT == 0 {
            send_remote_heartbeat(&state);
            state.repeat_evacuations();
        }
        count += 1;
    }
}

/// Announces this host to those that track dispatches in flight; they answer with theirs.
pub(crate) fn announce(state: &state::State) {
    send_zone_heartbeat(state);
    if state::lock(&state.peers).roster.tracks_in_flight(state.clock.now()) {
        send_remote_heartbeat(state);
    }
}

/// Sends a heartbeat with this host's dispatches to the hosts of the zone that track dispatches in
/// flight, and asks them to answer.
fn send_zone_heartbeat(state: &state::State) {
    let now = state.clock.now();
    let own = collections::HashSet::from([state.incarnation]);
    let datagram = state.encode_heartbeat(state.in_flight_numbers(&own), true);
    let mut peers = state::lock(&state.peers);
    let trackers = peers.roster.zone_peers(now);
    for host in &trackers {
        peers.roster.record_heartbeat_sent(host, now);
    }
    let addresses: Vec<_> = trackers.iter().filter_map(|host| peers.address(host)).collect();
    drop(peers);
    for address in addresses {
        state.send(address, std::slice::from_ref(&datagram));
    }
}

/// Sends a heartbeat to other zones. It lists what all hosts of this zone have in flight and is
/// sent by the zone's scheduler; in a small zone without one, each host sends its own.
fn send_remote_heartbeat(state: &state::State) {
    let now = state.clock.now();
    let peers = state::lock(&state.peers);
    let has_scheduler = peers.roster.own_zone_has_scheduler();
    if has_scheduler && !peers.roster.is_leader(now) {
        return;
    }
    let mut incarnations = collections::HashSet::from([state.incarnation]);
    if has_scheduler {
        incarnations.extend(peers.incarnations_in(&state.settings.node.zone));
    }
    let remote = peers.remote_tracker_addresses(now);
    drop(peers);
    let datagrams: Vec<_> = message::pack(state.in_flight_numbers(&incarnations))
        .into_iter()
        .map(|dispatches| state.encode_heartbeat(dispatches, false))
        .collect();
    for address in remote {
        state.send(address, &datagrams);
    }
}

/// Drops the dispatches of hosts whose heartbeats have stopped.
///
/// When a host loses power, nobody reports that its requests ended. Without this, their slots would
/// count as taken until the callers' deadlines.
fn forget_silent_hosts(state: &state::State) {
    let silent = state::lock(&state.peers).remove_silent(state.clock.now());
    for ended in silent {
        // The heartbeats of an incarnation (`life`) have stopped.
        event::Line::new("host_silent").number("life", ended.number).info();
        forget_ended(state, ended);
    }
}

/// Drops the dispatches of a host incarnation that has ended.
fn forget_ended(state: &state::State, ended: peers::Ended) {
    state.forget_incarnation(ended.number);
    if ended.in_own_zone {
        state.end_retries_of(ended.number, ended.silent);
    }
}

/// Receives datagrams and applies them.
async fn receive(state: sync::Arc<state::State>, socket: UdpSocket) {
    let mut buffer = vec![0; 1 << 16];
    // An update about a service that is not known yet would be lost.
    state.wait_for_level(state::SyncLevel::Tables).await;
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // Receiving a datagram failed.
                event::Line::new("words_unheard").text("error", error).warn();
                tokio::time::sleep(SOCKET_RETRY_PAUSE).await;
                continue;
            }
        };
        match message::Batch::decode(&buffer[..length]) {
            Ok(batch) => apply_batch(&state, from, batch),
            Err(error) => event::Line::new("words_unreadable").text("error", error).warn(),
        }
    }
}

/// Applies a batch, and answers the questions in it.
fn apply_batch(state: &state::State, from: net::SocketAddr, batch: message::Batch) {
    let incarnation = batch.host;
    let now = state.clock.now();
    if let Some(beat) = &batch.beat {
        let info =
            routing::HostInfo { zone: id::Zone::from(beat.zone.as_str()), cores: beat.cores };
        let host = id::Host::from(beat.host.as_str());
        state::lock(&state.peers).set(&host, info, from, now);
    }
    let contact = state::lock(&state.peers).record_datagram(from, incarnation, now);
    if let peers::Contact::New { previous } = contact {
        send_in_flight(state, from, incarnation, previous);
    }
    state.record_peer_confirmation(batch.confirmed_ms);
    record_sight(state, from, batch.reaches_upstreams);
    // Before the questions below, which may ask for another retry.
    state.apply_retry_report(from, &batch);
    let forwards = state.forwards_for(from);
    for update in batch.words {
        apply_update(state, incarnation, update, forwards);
    }
    for question in &batch.questions {
        let answer = schedule::decide(state, incarnation, question);
        state.send(
            from,
            &[state.encode_batch(message::Batch { answers: vec![answer], ..Default::default() })],
        );
    }
    for answer in batch.answers {
        state.questions.deliver(answer);
    }
    if let Some(beat) = batch.beat {
        apply_heartbeat(state, from, beat);
    }
    state.answer_doubts(&batch.doubted);
    state.compare_verdicts(from, batch.verdicts);
}

/// Records what the host at `from` says of its own paths to upstreams.
fn record_sight(state: &state::State, from: net::SocketAddr, reaches_upstreams: Option<bool>) {
    let sight = reaches_upstreams
        .map(|reaches| if reaches { routing::Sight::Reaches } else { routing::Sight::CutOff });
    let host = state::lock(&state.peers).host_at(from).cloned();
    if let Some(host) = host {
        state::lock(&state.paths).record_sight(&host, sight, state.clock.now());
    }
}

/// Drops dispatches that a heartbeat no longer lists, and answers it if asked to.
fn apply_heartbeat(state: &state::State, from: net::SocketAddr, beat: message::Heartbeat) {
    if beat.wants_answer {
        state.send(from, &state.encode_updates_in_zone(Vec::new()));
    }
    state.update_retry_sharing(false);
    for dispatches in beat.under_way {
        let numbers = dispatches.numbers.into_iter().collect();
        state.retain_dispatches(dispatches.host, &numbers, IN_TRANSIT_GRACE);
    }
}

/// Sends the dispatches in flight to a host incarnation that is seen for the first time.
///
/// A host that has just started knows of no dispatches and believes that all engines are idle.
/// Without this, it would send its first seconds of requests to the same engines.
fn send_in_flight(
    state: &state::State,
    from: net::SocketAddr,
    incarnation: u64,
    previous: Option<peers::Ended>,
) {
    if let Some(previous) = previous {
        forget_ended(state, previous);
    }
    // The dispatches come first: they were sent before, and take no permits of the limits.
    let mut updates = state.in_flight_for_new_host(from);
    updates.extend(state.knowledge_for_new_host(from));
    // A new incarnation (`life`) was seen and got this many updates (`words`).
    event::Line::new("host_met")
        .text("address", from)
        .number("life", incarnation)
        .number("words", updates.len())
        .info();
    if !updates.is_empty() {
        state.send(from, &state.encode_updates(updates));
    }
}

/// Whether the zone's scheduler forwards `what` to other zones on behalf of its hosts.
///
/// Forwarded are the kinds that a host sends only to its own zone and that matter to all zones.
/// `Sent` and `Verdict` go to all zones from the start, and so does `Reported`, since only leaders
/// poll engines. `Seen`, `Promised` and `Used` are meant for the hosts of the own zone.
fn is_forwarded(what: &message::Kind) -> bool {
    match what {
        message::Kind::First(_)
        | message::Kind::Ended(_)
        | message::Kind::Crashed(_)
        | message::Kind::Cleared(_)
        | message::Kind::Begun(_)
        | message::Kind::Limited(_)
        | message::Kind::Called(_)
        | message::Kind::Departed(_)
        | message::Kind::Evacuated(_)
        | message::Kind::Cold(_) => true,
        message::Kind::BackedOff(word) => word.is_for_all(),
        message::Kind::Sent(_)
        | message::Kind::Reported(_)
        | message::Kind::Seen(_)
        | message::Kind::Verdict(_)
        | message::Kind::Promised(_)
        | message::Kind::Used(_) => false,
    }
}

/// Applies an update of the host incarnation `sender`, and forwards it to other zones if `forwards`
/// is set.
fn apply_update(state: &state::State, sender: u64, update: message::Update, forwards: bool) {
    let service = id::Service::from(update.service.as_str());
    let id = placement::DispatchId { host: update.host.unwrap_or(sender), number: update.number };
    let concerns_sender = update.host.is_none();
    let Some(what) = update.what else {
        // A kind of update that only a later build knows.
        return;
    };
    if forwards && concerns_sender && is_forwarded(&what) {
        state
            .queue_update(message::Update::about(id, &service, what.clone()), Audience::OtherZones);
    }
    match &what {
        message::Kind::Crashed(crashed) => return state.apply_crash(crashed),
        message::Kind::Cleared(cleared) => return state.apply_cleared(cleared),
        message::Kind::Begun(begun) => return state.apply_begun(begun),
        message::Kind::Verdict(verdict) => return state.apply_verdict(verdict),
        message::Kind::Limited(limited) => return state.apply_limited(&service, sender, limited),
        message::Kind::Departed(departed) => return state.apply_departed(sender, departed),
        message::Kind::Evacuated(word) => return state.apply_evacuated(sender, word),
        message::Kind::Used(usages) => return state.apply_usages(usages),
        message::Kind::BackedOff(word) => return state.apply_backoff(id.host, word),
        message::Kind::Cold(cold) => return state.apply_cold(&service, cold),
        _ => {}
    }
    let applied = state.with_placer(&service, |placer, now| match what {
        message::Kind::Sent(sent) => {
            placer.record_placing_host(sender, now);
            placer.record_dispatch(sent.dispatch(id, now), now);
        }
        message::Kind::First(_) => placer.record_first_token(id, now),
        message::Kind::Ended(_) => placer.record_end(id, now),
        message::Kind::Reported(report) => {
            let upstream = id::Upstream::from(report.upstream);
            placer.set_slowness(&upstream, report.slowness, now);
        }
        message::Kind::Seen(seen) => seen.apply(placer, now),
        message::Kind::Called(called) => {
            placer.record_call(&id::Upstream::from(called.upstream), now);
        }
        message::Kind::Promised(promised) => {
            if let Some(request) = promised.request() {
                placer.record_promise(request, promised.span(), now);
            }
        }
        message::Kind::Crashed(_)
        | message::Kind::Cleared(_)
        | message::Kind::Begun(_)
        | message::Kind::Verdict(_)
        | message::Kind::Limited(_)
        | message::Kind::Departed(_)
        | message::Kind::Evacuated(_)
        | message::Kind::Used(_)
        | message::Kind::BackedOff(_)
        | message::Kind::Cold(_) => {}
    });
    if applied.is_none() {
        log::debug!("\"event\":\"word_of_unknown_service\"");
    }
}

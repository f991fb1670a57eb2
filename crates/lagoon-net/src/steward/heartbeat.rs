//! Heartbeats over UDP, and the periodic timers of the membership.

use std::net;

use lagoonline::clock::Clock;
use lagoonline::control::membership;
use lagoonline::id;
use tokio::net as tokio_net;
use tokio::time;

use super::Context;
use super::core;
use crate::wire;

/// Time between two checks of heartbeat timeouts.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time between two flushes of full loads and of customer spending.
const FLUSH_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Receives and sends heartbeats, and runs the timers, until the task is cancelled.
pub(super) async fn run(context: Context, socket: tokio_net::UdpSocket) {
    let mut heartbeats = time::interval(context.settings.membership.interval);
    let mut ticks = time::interval(TICK_INTERVAL);
    heartbeats.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
    let mut flushes = time::interval(FLUSH_INTERVAL);
    flushes.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
    let mut window = wire::ReplayWindow::default();
    let mut buffer = [0; wire::DATAGRAM_LIMIT];
    let mut sequence = 0;
    loop {
        tokio::select! {
            // Datagrams that have arrived are processed before timeouts are evaluated.
            biased;
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, _)) = received {
                    receive(&context, &mut window, &buffer[..length]);
                }
            }
            _ = heartbeats.tick() => send_all(&context, &socket, &mut sequence),
            _ = ticks.tick() => tick(&context),
            _ = flushes.tick() => {
                let mut core = context.core.borrow_mut();
                core.flush_full_loads();
                core.flush_spending();
            }
        }
    }
}

/// Processes one received datagram.
fn receive(context: &Context, window: &mut wire::ReplayWindow, sealed: &[u8]) {
    let counters = context.core.borrow().counters.clone();
    core::Counters::add(&counters.datagrams_received, 1);
    core::Counters::add(&counters.datagram_bytes_received, sealed.len() as u64);
    let frame = match wire::open(&context.settings.key, sealed) {
        Ok(frame) if window.admit(&frame, context.clock.wall_millis()) => frame,
        _ => return core::Counters::add(&counters.datagrams_refused, 1),
    };
    let mut core = context.core.borrow_mut();
    let host = id::Host::from(frame.sender);
    let updates =
        core.group.record_heartbeat(&host, id::Incarnation(frame.incarnation), context.clock.now());
    core.broadcast_members(&updates, None);
    let Some(wire::Body::Heartbeat(heartbeat)) = frame.body else { return };
    core.handle_compact_loads(&host, &heartbeat.loads.unwrap_or_default());
    for spending in heartbeat.spendings {
        core.handle_spending(&host, spending);
    }
}

/// Sends one round of heartbeats.
fn send_all(context: &Context, socket: &tokio_net::UdpSocket, sequence: &mut u64) {
    let targets = targets(context);
    let payload = context.core.borrow_mut().next_payload();
    for (host, address) in targets {
        *sequence += 1;
        let frame = heartbeat(context, &payload, &host, *sequence);
        let sealed = wire::seal(&context.settings.key, &frame);
        // A datagram that cannot be sent counts as lost; the next heartbeat replaces it.
        if socket.try_send_to(&sealed, address).is_ok() {
            let counters = context.core.borrow().counters.clone();
            core::Counters::add(&counters.datagrams_sent, 1);
            core::Counters::add(&counters.datagram_bytes_sent, sealed.len() as u64);
        }
    }
}

fn targets(context: &Context) -> Vec<(id::Host, net::SocketAddr)> {
    let core = context.core.borrow();
    let peers = core.group.heartbeat_peers();
    let target = |host: &id::Host| {
        core.group.roster().member(host).map(|member| (host.clone(), member.address))
    };
    peers.iter().filter_map(target).collect()
}

fn heartbeat(
    context: &Context,
    payload: &core::Payload,
    to: &id::Host,
    sequence: u64,
) -> wire::Frame {
    wire::Frame {
        version: wire::VERSION,
        sender: context.settings.host.to_string(),
        incarnation: context.core.borrow().group.own().incarnation.0,
        sequence,
        wall_ms: context.clock.wall_millis(),
        body: Some(wire::Body::Heartbeat(payload.heartbeat_for(to))),
        ..wire::Frame::default()
    }
}

/// Checks timeouts, and passes on what changed.
fn tick(context: &Context) {
    let mut core = context.core.borrow_mut();
    let (updates, changes) = core.group.tick(context.clock.now());
    core.broadcast_members(&updates, None);
    core.check_entry();
    core.flush_reports();
    for change in changes {
        match change {
            membership::Change::Live(host) => log::info!("steward of {host} is live"),
            membership::Change::Dead(host) => {
                log::warn!("steward of {host} is declared dead");
                core::Counters::add(&core.counters.members_declared_dead, 1);
            }
        }
    }
}

//! Heartbeats by UDP, and the passing of time in the membership.

use std::net;

use lagoonline::clock::Clock;
use lagoonline::control::membership;
use lagoonline::id;
use tokio::net as tokio_net;
use tokio::time;

use super::Context;
use super::core;
use crate::wire;

/// Time between two looks at who is silent.
const TICK: time::Duration = time::Duration::from_millis(100);

/// Time between two messages on upstreams in a new life, and to the entry process on spending.
const FLUSH: time::Duration = time::Duration::from_secs(1);

pub(super) async fn run(context: Context, socket: tokio_net::UdpSocket) {
    let mut beats = time::interval(context.settings.membership.interval);
    let mut ticks = time::interval(TICK);
    beats.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
    let mut flushes = time::interval(FLUSH);
    flushes.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Skip);
    let mut window = wire::ReplayWindow::default();
    let mut buffer = [0; wire::DATAGRAM_LIMIT];
    let mut sequence = 0;
    loop {
        tokio::select! {
            // What has arrived counts before silence is judged.
            biased;
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, _)) = received {
                    hear(&context, &mut window, &buffer[..length]);
                }
            }
            _ = beats.tick() => beat(&context, &socket, &mut sequence),
            _ = ticks.tick() => tick(&context),
            _ = flushes.tick() => {
                let mut core = context.core.borrow_mut();
                core.flush_lives();
                core.flush_spending();
            }
        }
    }
}

fn hear(context: &Context, window: &mut wire::ReplayWindow, sealed: &[u8]) {
    let counters = context.core.borrow().counters.clone();
    core::Counters::add(&counters.datagrams_received, 1);
    core::Counters::add(&counters.datagram_bytes_received, sealed.len() as u64);
    let frame = match wire::open(&context.settings.key, sealed) {
        Ok(frame) if window.admit(&frame, context.clock.wall_millis()) => frame,
        _ => return core::Counters::add(&counters.datagrams_refused, 1),
    };
    let mut core = context.core.borrow_mut();
    let host = id::Host::from(frame.sender);
    let news =
        core.group.record_heartbeat(&host, id::Incarnation(frame.incarnation), context.clock.now());
    core.tell_members(&news, None);
    let Some(wire::Body::Heartbeat(heartbeat)) = frame.body else { return };
    core.take_brief(&host, &heartbeat.loads.unwrap_or_default());
    for spending in heartbeat.spendings {
        core.take_spending(&host, spending);
    }
}

fn beat(context: &Context, socket: &tokio_net::UdpSocket, sequence: &mut u64) {
    let targets = targets(context);
    let room = context.core.borrow_mut().next_room();
    for (host, address) in targets {
        *sequence += 1;
        let frame = heartbeat(context, &room, &host, *sequence);
        let sealed = wire::seal(&context.settings.key, &frame);
        // A datagram that cannot be sent is a lost one.
        if socket.try_send_to(&sealed, address).is_ok() {
            let counters = context.core.borrow().counters.clone();
            core::Counters::add(&counters.datagrams_sent, 1);
            core::Counters::add(&counters.datagram_bytes_sent, sealed.len() as u64);
        }
    }
}

fn targets(context: &Context) -> Vec<(id::Host, net::SocketAddr)> {
    let core = context.core.borrow();
    let contacts = core.group.heartbeat_peers();
    let target = |host: &id::Host| {
        core.group.roster().member(host).map(|member| (host.clone(), member.address))
    };
    contacts.iter().filter_map(target).collect()
}

fn heartbeat(context: &Context, room: &core::Room, to: &id::Host, sequence: u64) -> wire::Frame {
    wire::Frame {
        version: wire::VERSION,
        sender: context.settings.host.to_string(),
        incarnation: context.core.borrow().group.own().incarnation.0,
        sequence,
        wall_ms: context.clock.wall_millis(),
        body: Some(wire::Body::Heartbeat(room.heartbeat(to))),
        ..wire::Frame::default()
    }
}

fn tick(context: &Context) {
    let mut core = context.core.borrow_mut();
    let (news, changes) = core.group.tick(context.clock.now());
    core.tell_members(&news, None);
    core.watch_entry();
    core.flush_reports();
    for change in changes {
        match change {
            membership::Change::Live(host) => log::info!("{host} lives"),
            membership::Change::Dead(host) => {
                log::warn!("{host} is dead");
                core::Counters::add(&core.counters.members_declared_dead, 1);
            }
        }
    }
}

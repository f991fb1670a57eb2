//! Opens connections to other stewards: to those that this steward keeps links to (the mesh, see
//! `lagoonline::control::mesh`), to dead members, and to the configured peers.

use std::collections;
use std::net;
use std::time;

use lagoonline::clock::Clock;
use lagoonline::control::membership;
use lagoonline::control::mesh;
use lagoonline::id;
use ntex::rt;

use super::Context;
use super::session;
use crate::link;

/// Time between two checks for missing links.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Maximum number of checks between two attempts to connect to an address; drawn at random.
const MAX_RETRY_CHECKS: u32 = 8;

/// Checks between two attempts to reach some dead member, on average.
const DEAD_RETRY_CHECKS: u32 = 16;

pub(super) async fn run(context: Context) {
    let mut checks_left = collections::HashMap::<net::SocketAddr, u32>::new();
    let mut first = true;
    loop {
        for (host, address) in targets(&context, first) {
            let wait = checks_left.entry(address).or_default();
            if *wait > 0 {
                *wait -= 1;
                continue;
            }
            *wait = 1 + rand::random_range(0..MAX_RETRY_CHECKS);
            rt::spawn(dial(context.clone(), host, address));
        }
        first = false;
        tokio::time::sleep(CHECK_INTERVAL).await;
        let mut core = context.core.borrow_mut();
        core.request_missing();
        core.close_unneeded_links();
    }
}

/// Returns the addresses to dial: hosts of the mesh, an occasional dead member, and the configured
/// peers at start and while no steward is linked.
fn targets(context: &Context, first: bool) -> Vec<(Option<id::Host>, net::SocketAddr)> {
    let core = context.core.borrow();
    let mut found = Vec::new();
    for host in mesh::link_targets(&core.group) {
        if core.is_linked(&host) || core.dialing.contains(&host) {
            continue;
        }
        if let Some(member) = core.group.roster().member(&host) {
            found.push((Some(host), member.address));
        }
    }
    // After a network partition each side considers the other dead, and neither would reconnect.
    let dead: Vec<_> = core.group.dead().filter(|member| member.zone == *core.zone()).collect();
    if rand::random_ratio(1, DEAD_RETRY_CHECKS) && !dead.is_empty() {
        let member = dead[rand::random_range(0..dead.len())];
        found.push((Some(member.host.clone()), member.address));
    }
    if first || core.steward_links() == 0 {
        let others = context.settings.peers.iter().filter(|peer| **peer != context.address);
        found.extend(others.map(|peer| (None, *peer)));
    }
    found
}

async fn dial(context: Context, host: Option<id::Host>, address: net::SocketAddr) {
    let name = host.unwrap_or_else(|| id::Host::from(address.to_string()));
    context.core.borrow_mut().dialing.insert(name.clone());
    let connected = link::Channel::connect(address, &session::identity(&context)).await;
    context.core.borrow_mut().dialing.remove(&name);
    match connected {
        Ok((channel, mut peer)) => {
            let roster_zone = {
                let core = context.core.borrow();
                let member = core.group.roster().member(&id::Host::from(peer.sender.as_str()));
                member.map(|member| member.zone.clone())
            };
            peer.zone = roster_zone.unwrap_or_default();
            session::serve(&context, channel, peer, true).await;
        }
        Err(error) => log::debug!("{error}"),
    }
}

/// Adds members found in the platform's table to the membership.
pub(super) fn add_members(context: &Context, members: Vec<membership::Member>) {
    let updates: Vec<_> = members.into_iter().map(membership::Update::Member).collect();
    let mut core = context.core.borrow_mut();
    let fresh = core.group.apply(&updates, context.clock.now());
    core.broadcast_members(&fresh, None);
}

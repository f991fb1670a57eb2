//! Sends calls to stewards of other zones, for results that cover the whole fleet.

use std::collections;
use std::net;
use std::time;

use futures_util::future;
use lagoonline::control::mesh;
use lagoonline::control::rendezvous;
use lagoonline::id;

use super::Context;
use super::session;
use crate::link;
use crate::wire;

/// Timeout of one steward's reply. [`MAX_TRIES`] of them take less than the 5 s that an operator
/// waits for a steward by default.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Maximum number of stewards of a zone that are tried.
const MAX_TRIES: usize = 3;

/// One zone's reply; `text` is `None` when none of the tried stewards replied.
pub(super) struct ZoneReply {
    pub(super) zone: id::Zone,
    pub(super) text: Option<String>,
}

/// Sends `call` to one steward of every other known zone.
pub(super) async fn call_other_zones(context: &Context, call: &wire::Call) -> Vec<ZoneReply> {
    let zones = addresses(context);
    let calls = zones.into_iter().map(|(zone, addresses)| call_any(context, zone, addresses, call));
    future::join_all(calls).await
}

/// Sends `call` to the reconciling steward of each zone, including this one.
pub(super) async fn call_reconcilers(context: &Context, call: &wire::Call) -> Vec<ZoneReply> {
    let targets = reconcilers(context);
    let calls =
        targets.into_iter().map(|(zone, address)| call_any(context, zone, vec![address], call));
    future::join_all(calls).await
}

/// Returns the reconciling steward of each zone.
fn reconcilers(context: &Context) -> Vec<(id::Zone, net::SocketAddr)> {
    let core = context.core.borrow();
    let zones: collections::BTreeSet<_> = core.group.live().map(|member| &member.zone).collect();
    let reconciler = |zone: &&id::Zone| {
        let host = rendezvous::choose(core.group.live_in(zone), super::reconcile::RECONCILER)?;
        let member = core.group.roster().member(&id::Host::from(host))?;
        Some(((*zone).clone(), member.address))
    };
    zones.iter().filter_map(reconciler).collect()
}

/// Sends `call` to one steward of `zone`.
pub(super) async fn call_zone(
    context: &Context,
    zone: &id::Zone,
    call: &wire::Call,
) -> Option<String> {
    let addresses = addresses(context).remove(zone)?;
    call_any(context, zone.clone(), addresses, call).await.text
}

/// Returns the addresses of the stewards of the other zones. The gateways of a zone, which are its
/// stewards that keep links to other zones, come first.
fn addresses(context: &Context) -> collections::BTreeMap<id::Zone, Vec<net::SocketAddr>> {
    let core = context.core.borrow();
    let mut zones = collections::BTreeMap::<_, Vec<_>>::new();
    for member in core.group.roster().members().filter(|member| member.zone != *core.zone()) {
        zones.entry(member.zone.clone()).or_default().push((member.host.clone(), member.address));
    }
    let ordered = zones.into_iter().map(|(zone, mut members)| {
        let gateways = mesh::gateways(&core.group, &zone);
        members.sort_by_key(|(host, _)| !gateways.contains(host));
        (zone, members.into_iter().map(|(_, address)| address).collect())
    });
    ordered.collect()
}

/// Sends `call` to the given stewards of a zone in turn, until one replies.
async fn call_any(
    context: &Context,
    zone: id::Zone,
    addresses: Vec<net::SocketAddr>,
    call: &wire::Call,
) -> ZoneReply {
    for address in addresses.into_iter().take(MAX_TRIES) {
        let reply = call_steward(context, address, call);
        if let Ok(Some(text)) = tokio::time::timeout(REPLY_TIMEOUT, reply).await {
            return ZoneReply { zone, text: Some(text) };
        }
    }
    ZoneReply { zone, text: None }
}

/// Sends `call` to one steward; `None` if the call fails.
async fn call_steward(
    context: &Context,
    address: net::SocketAddr,
    call: &wire::Call,
) -> Option<String> {
    // As an operator, so that the receiver does not start to replicate its state over this link.
    let identity = link::Identity { role: wire::Role::Operator, ..session::identity(context) };
    let (mut channel, _) = link::Channel::connect(address, &identity).await.ok()?;
    channel.send(wire::Body::Call(call.clone())).await.ok()?;
    loop {
        let frame = channel.receive().await.ok()?;
        if let Some(wire::Body::Reply(reply)) = frame.body {
            return reply.good.then_some(reply.text);
        }
    }
}

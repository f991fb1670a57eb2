//! Topology of the links between stewards.
//!
//! Within a zone, a host links to its [heartbeat peers](membership::Group::heartbeat_peers). An
//! update then crosses a zone in about three hops, at a cost per host that does not grow with the
//! zone. Links between zones are more expensive, so only [`GATEWAYS_PER_ZONE`] hosts of each zone
//! keep them; with two, a zone stays connected while one of them restarts.

use super::membership;
use super::rendezvous;
use crate::id;

/// Number of hosts per zone that keep links to other zones.
pub const GATEWAYS_PER_ZONE: usize = 2;

/// Returns the hosts that this steward should keep links to.
///
/// ```
/// use lagoonline::{clock, control::{membership, mesh}, id};
/// let member = |host: &str, zone: &str| membership::Member {
///     host: id::Host::from(host),
///     zone: id::Zone::from(zone),
///     address: ([127, 0, 0, 1], 1).into(),
///     incarnation: id::Incarnation(1),
/// };
/// let now = clock::Moment::START;
/// let mut group = membership::Group::new(member("a", "x"), Default::default(), now);
/// group.apply(&[membership::Update::Member(member("b", "y"))], now);
/// assert_eq!(mesh::link_targets(&group), [id::Host::from("b")]);
/// ```
pub fn link_targets(group: &membership::Group) -> Vec<id::Host> {
    let mut hosts = group.heartbeat_peers().to_vec();
    let own = group.own();
    let is_gateway = gateways(group, &own.zone).contains(&own.host);
    if !is_gateway {
        return hosts;
    }
    let mut zones: Vec<&id::Zone> = group.live().map(|member| &member.zone).collect();
    zones.sort();
    zones.dedup();
    for zone in zones.into_iter().filter(|zone| **zone != own.zone) {
        hosts.extend(gateways(group, zone));
    }
    hosts
}

/// Returns the hosts of `zone` that keep links to other zones.
pub fn gateways(group: &membership::Group, zone: &id::Zone) -> Vec<id::Host> {
    let chosen = rendezvous::rank(group.live_in(zone), "gateway", GATEWAYS_PER_ZONE);
    chosen.into_iter().map(id::Host::from).collect()
}

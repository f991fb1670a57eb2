//! Which stewards keep a link with which.
//!
//! Within a zone a host links to its neighbours, so that news crosses a zone in about three steps
//! at a cost that does not grow with it. Between zones, whose links cost more, only
//! [`GATEWAYS`] hosts of each zone keep links: with two, a zone stays linked while one restarts.

use super::membership;
use super::owner;
use crate::id;

/// Hosts of each zone that keep links with other zones.
pub const GATEWAYS: usize = 2;

/// Members that the group's own steward should be linked with.
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
/// group.take(&[membership::News::Member(member("b", "y"))], now);
/// assert_eq!(mesh::wanted(&group), [id::Host::from("b")]);
/// ```
pub fn wanted(group: &membership::Group) -> Vec<id::Host> {
    let mut hosts = group.contacts().to_vec();
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

/// The hosts of `zone` that keep links with other zones.
pub fn gateways(group: &membership::Group, zone: &id::Zone) -> Vec<id::Host> {
    let chosen = owner::rank(group.live_in(zone), "gateway", GATEWAYS);
    chosen.into_iter().map(id::Host::from).collect()
}

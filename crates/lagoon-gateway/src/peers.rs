//! The other entry hosts: their addresses, the latest incarnation of each, and the roster that
//! assigns the tasks which one host does for others.

use std::collections;
use std::net;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::routing;

/// Time without a datagram after which an incarnation counts as ended: ten heartbeats within the
/// zone, or three between zones.
const SILENCE_TIMEOUT: clock::Span = clock::Span::from_secs(3);

/// An incarnation of a host: one run of its process.
#[derive(Clone, Copy, Debug)]
struct Incarnation {
    number: u64,
    /// When its last datagram arrived.
    at: clock::Moment,
    /// Its clock when it sent the latest report of its retries that arrived, in milliseconds.
    reported_ms: Option<u64>,
    /// When this host sent the latest report of its retries that had arrived there.
    told_until: Option<clock::Moment>,
}

/// The other entry hosts.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(crate) roster: routing::Roster,
    addresses: collections::HashMap<id::Host, net::SocketAddr>,
    names: collections::HashMap<net::SocketAddr, id::Host>,
    incarnations: collections::HashMap<net::SocketAddr, Incarnation>,
}

/// An incarnation that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Ended {
    pub(crate) number: u64,
    /// Time since its last datagram.
    pub(crate) silent: clock::Span,
    /// Whether its host is in this host's zone.
    pub(crate) in_own_zone: bool,
}

/// Whether the incarnation that sent a datagram was known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Contact {
    /// The incarnation was seen before.
    Known,
    /// The incarnation is seen for the first time; `previous` is the previous one at its address.
    New { previous: Option<Ended> },
}

impl Peers {
    pub(crate) fn new(roster: routing::Roster) -> Peers {
        Peers {
            roster,
            addresses: collections::HashMap::new(),
            names: collections::HashMap::new(),
            incarnations: collections::HashMap::new(),
        }
    }

    /// Adds a host that receives datagrams at `address`, or updates it.
    pub(crate) fn set(
        &mut self,
        host: &id::Host,
        info: routing::HostInfo,
        address: net::SocketAddr,
        now: clock::Moment,
    ) {
        self.roster.upsert(host.clone(), info, now);
        let previous = self.addresses.insert(host.clone(), address);
        if let Some(previous) = previous.filter(|previous| *previous != address) {
            self.names.remove(&previous);
        }
        self.names.insert(address, host.clone());
    }

    /// Removes a host.
    pub(crate) fn remove(&mut self, host: &id::Host) {
        self.roster.remove(host);
        if let Some(address) = self.addresses.remove(host) {
            self.names.remove(&address);
        }
    }

    /// Records a datagram of the incarnation `number` from `address`.
    pub(crate) fn record_datagram(
        &mut self,
        address: net::SocketAddr,
        number: u64,
        now: clock::Moment,
    ) -> Contact {
        if let Some(host) = self.names.get(&address) {
            self.roster.record_contact(host, now);
        }
        let known = self.incarnations.get(&address).filter(|known| known.number == number);
        let incarnation = match known {
            Some(known) => Incarnation { at: now, ..*known },
            None => Incarnation { number, at: now, reported_ms: None, told_until: None },
        };
        let previous = self.incarnations.insert(address, incarnation);
        match previous {
            Some(previous) if previous.number == number => Contact::Known,
            previous => Contact::New {
                previous: previous.map(|incarnation| self.ended(address, incarnation, now)),
            },
        }
    }

    /// Records that the incarnation at `address` sent a report of its retries when its clock showed
    /// `reported_ms`, and that until then one had arrived there which this host sent at `told_until`.
    pub(crate) fn record_report(
        &mut self,
        address: net::SocketAddr,
        reported_ms: u64,
        told_until: Option<clock::Moment>,
    ) {
        if let Some(known) = self.incarnations.get_mut(&address) {
            known.reported_ms = known.reported_ms.max(Some(reported_ms));
            known.told_until = known.told_until.max(told_until);
        }
    }

    /// Returns the incarnations that this host tells of its retries and that tell theirs, each with its
    /// clock at its latest report in milliseconds.
    pub(crate) fn reported_by_trackers(&self, now: clock::Moment) -> Vec<(u64, u64)> {
        let addresses = self.zone_tracker_addresses(now);
        let known = addresses.iter().filter_map(|address| self.incarnations.get(address));
        known.filter_map(|known| Some((known.number, known.reported_ms?))).collect()
    }

    /// Returns, for each host that this one tells of its retries and that is heard from, until when it
    /// knows of them. Of one that does not tell, when it was last heard, less `usual`.
    pub(crate) fn told_in_zone(
        &self,
        usual: clock::Span,
        now: clock::Moment,
    ) -> impl Iterator<Item = clock::Moment> {
        let trackers = self.roster.zone_peers(now);
        let heard = self.roster.heard_in_zone(now);
        let heard = heard.filter(move |(host, _)| trackers.contains(host));
        heard.map(move |(host, at)| {
            let address = self.addresses.get(host);
            let known = address.and_then(|address| self.incarnations.get(address));
            match known {
                Some(Incarnation { reported_ms: Some(_), told_until, .. }) => {
                    told_until.unwrap_or(clock::Moment::START)
                }
                _ => at.saturating_sub(usual),
            }
        })
    }

    fn ended(
        &self,
        address: net::SocketAddr,
        incarnation: Incarnation,
        now: clock::Moment,
    ) -> Ended {
        let in_own_zone = self.is_in_zone(address, self.roster.own_zone());
        Ended { number: incarnation.number, silent: now.since(incarnation.at), in_own_zone }
    }

    /// Removes the incarnations that have been silent too long, and returns them.
    pub(crate) fn remove_silent(&mut self, now: clock::Moment) -> Vec<Ended> {
        let is_silent = |incarnation: &Incarnation| now.since(incarnation.at) > SILENCE_TIMEOUT;
        let silent = self.incarnations.iter().filter(|(_, incarnation)| is_silent(incarnation));
        let silent = silent.map(|(address, incarnation)| self.ended(*address, *incarnation, now));
        let silent = silent.collect();
        self.incarnations.retain(|_, incarnation| !is_silent(incarnation));
        silent
    }

    /// Returns the address at which `host` receives datagrams.
    pub(crate) fn address(&self, host: &id::Host) -> Option<net::SocketAddr> {
        self.addresses.get(host).copied()
    }

    /// Returns the host that sends datagrams from `address`.
    pub(crate) fn host_at(&self, address: net::SocketAddr) -> Option<&id::Host> {
        self.names.get(&address)
    }

    /// Whether the host at `address` is in `zone`.
    pub(crate) fn is_in_zone(&self, address: net::SocketAddr, zone: &id::Zone) -> bool {
        let host = self.names.get(&address);
        host.and_then(|host| self.roster.zone(host)).is_some_and(|known| known == zone)
    }

    /// Whether the host at `address` is one of `hosts`.
    pub(crate) fn is_among(&self, address: net::SocketAddr, hosts: &[id::Host]) -> bool {
        self.names.get(&address).is_some_and(|host| hosts.contains(host))
    }

    /// Returns the known incarnations of hosts.
    pub(crate) fn incarnations(&self) -> collections::HashSet<u64> {
        self.incarnations.values().map(|incarnation| incarnation.number).collect()
    }

    /// Returns the known incarnations of hosts in `zone`.
    pub(crate) fn incarnations_in(&self, zone: &id::Zone) -> collections::HashSet<u64> {
        let incarnations =
            self.incarnations.iter().filter(|(address, _)| self.is_in_zone(**address, zone));
        incarnations.map(|(_, incarnation)| incarnation.number).collect()
    }

    /// Returns the addresses of the hosts in this zone that track dispatches in flight.
    pub(crate) fn zone_tracker_addresses(&self, now: clock::Moment) -> Vec<net::SocketAddr> {
        self.roster.zone_peers(now).iter().filter_map(|host| self.address(host)).collect()
    }

    /// Returns the addresses of the hosts in other zones that track dispatches in flight.
    pub(crate) fn remote_tracker_addresses(&self, now: clock::Moment) -> Vec<net::SocketAddr> {
        self.roster.remote_peers(now).iter().filter_map(|host| self.address(host)).collect()
    }

    /// Returns the host that places requests for this zone, and its address. `None` if this host
    /// places its own requests.
    pub(crate) fn scheduler(&self, now: clock::Moment) -> Option<(id::Host, net::SocketAddr)> {
        let host = self.roster.scheduler(now)?;
        let address = self.address(&host)?;
        Some((host, address))
    }
}

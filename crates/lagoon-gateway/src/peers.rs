//! The other entry hosts: where each hears words, which of its lives was heard of last, and which
//! of them do what one host can do for others.

use std::collections;
use std::net;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::routing;

/// Silence after which a life counts as over: ten heartbeats, or three of those between zones.
const SILENCE: clock::Span = clock::Span::from_secs(3);

/// A life of a host.
#[derive(Clone, Copy, Debug)]
struct Life {
    number: u64,
    /// When it was last heard of.
    at: clock::Moment,
}

/// The other hosts.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(crate) roster: routing::Roster,
    addresses: collections::HashMap<id::Host, net::SocketAddr>,
    names: collections::HashMap<net::SocketAddr, id::Host>,
    lives: collections::HashMap<net::SocketAddr, Life>,
}

/// What a word told of the life that said it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Met {
    /// It was heard of before.
    Known,
    /// It is heard of for the first time; the number of the life that spoke there before.
    New { before: Option<u64> },
}

impl Peers {
    pub(crate) fn new(roster: routing::Roster) -> Peers {
        Peers {
            roster,
            addresses: collections::HashMap::new(),
            names: collections::HashMap::new(),
            lives: collections::HashMap::new(),
        }
    }

    /// A host is there, and hears words at `address`.
    pub(crate) fn set(
        &mut self,
        host: &id::Host,
        standing: routing::HostInfo,
        address: net::SocketAddr,
        now: clock::Moment,
    ) {
        self.roster.upsert(host.clone(), standing, now);
        let before = self.addresses.insert(host.clone(), address);
        if let Some(before) = before.filter(|before| *before != address) {
            self.names.remove(&before);
        }
        self.names.insert(address, host.clone());
    }

    /// A host is no longer there.
    pub(crate) fn remove(&mut self, host: &id::Host) {
        self.roster.remove(host);
        if let Some(address) = self.addresses.remove(host) {
            self.names.remove(&address);
        }
    }

    /// Words came from `address`, said by the life `number`.
    pub(crate) fn heard(
        &mut self,
        address: net::SocketAddr,
        number: u64,
        now: clock::Moment,
    ) -> Met {
        if let Some(host) = self.names.get(&address) {
            self.roster.record_contact(host, now);
        }
        let before = self.lives.insert(address, Life { number, at: now });
        match before {
            Some(before) if before.number == number => Met::Known,
            before => Met::New { before: before.map(|life| life.number) },
        }
    }

    /// Forgets lives that fell silent, and tells their numbers.
    pub(crate) fn take_silent(&mut self, now: clock::Moment) -> Vec<u64> {
        let is_silent = |life: &Life| now.since(life.at) > SILENCE;
        let silent = self.lives.values().filter(|life| is_silent(life));
        let silent = silent.map(|life| life.number).collect();
        self.lives.retain(|_, life| !is_silent(life));
        silent
    }

    /// Where the host `host` hears words.
    pub(crate) fn address(&self, host: &id::Host) -> Option<net::SocketAddr> {
        self.addresses.get(host).copied()
    }

    /// Whether the host at `address` is in the zone `zone`.
    pub(crate) fn is_in(&self, address: net::SocketAddr, zone: &id::Zone) -> bool {
        let host = self.names.get(&address);
        host.and_then(|host| self.roster.zone(host)).is_some_and(|known| known == zone)
    }

    /// Whether the host at `address` is among `hosts`.
    pub(crate) fn is_among(&self, address: net::SocketAddr, hosts: &[id::Host]) -> bool {
        self.names.get(&address).is_some_and(|host| hosts.contains(host))
    }

    /// Numbers of the lives in `zone` that were heard of.
    pub(crate) fn lives_in(&self, zone: &id::Zone) -> collections::HashSet<u64> {
        let lives = self.lives.iter().filter(|(address, _)| self.is_in(**address, zone));
        lives.map(|(_, life)| life.number).collect()
    }

    /// Where the hosts of this zone hear words that are to know what is under way.
    pub(crate) fn near(&self, now: clock::Moment) -> Vec<net::SocketAddr> {
        self.roster.zone_peers(now).iter().filter_map(|host| self.address(host)).collect()
    }

    /// Where those of other zones do.
    pub(crate) fn far(&self, now: clock::Moment) -> Vec<net::SocketAddr> {
        self.roster.remote_peers(now).iter().filter_map(|host| self.address(host)).collect()
    }

    /// The host that is to be asked where a request goes.
    pub(crate) fn scheduler(&self, now: clock::Moment) -> Option<(id::Host, net::SocketAddr)> {
        let host = self.roster.scheduler(now)?;
        let address = self.address(&host)?;
        Some((host, address))
    }
}

//! Which stewards live.
//!
//! Load pattern: one in twenty datagrams is lost and delays vary, and a rack, a zone or all hosts
//! may go or restart at once. A host is dead only when it was silent for [`Settings::suspect`]
//! here and a majority of the peers that live says the same; a lone bad link kills nobody.

use std::collections;

use crate::clock;
use crate::id;

/// Times of the heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between two heartbeats to the same peer.
    pub interval: clock::Span,
    /// Silence after which a host is suspected: at 5% loss, five heartbeats in a row are lost once
    /// in three million.
    pub suspect: clock::Span,
    /// Silence after which a host is dead though too few peers live to confirm it.
    pub give_up: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            interval: clock::Span::from_millis(300),
            suspect: clock::Span::from_millis(1_800),
            give_up: clock::Span::from_millis(2_700),
        }
    }
}

/// What a peer is held to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Heard of lately.
    Live,
    /// Silent here; not confirmed by peers.
    Suspect,
    /// Silent here and confirmed.
    Dead,
}

/// One peer as seen from here.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its zone.
    pub zone: id::Zone,
    /// Its life.
    pub incarnation: id::Incarnation,
    /// Its state.
    pub state: State,
    heard: clock::Moment,
    suspected_by: collections::BTreeSet<id::Host>,
}

/// A heartbeat that came in.
#[derive(Clone, Debug, Default)]
pub struct Heartbeat {
    /// The sender.
    pub host: id::Host,
    /// Its zone.
    pub zone: id::Zone,
    /// Its life.
    pub incarnation: id::Incarnation,
    /// Whom it suspects, in which life.
    pub suspects: Vec<(id::Host, id::Incarnation)>,
}

/// The peers that this steward exchanges heartbeats with.
#[derive(Clone, Debug)]
pub struct Group {
    own: id::Host,
    settings: Settings,
    peers: collections::BTreeMap<id::Host, Peer>,
}

impl Group {
    /// A group of nobody else.
    ///
    /// ```
    /// use lagoonline::clock::{Moment, Span};
    /// use lagoonline::control::membership::{Group, Heartbeat, Settings};
    /// use lagoonline::id::Host;
    /// let mut group = Group::new(Host::from("a"), Settings::default());
    /// let heartbeat = Heartbeat { host: Host::from("b"), ..Heartbeat::default() };
    /// group.hear(&heartbeat, Moment::START);
    /// assert_eq!(group.live().count(), 2);
    /// group.tick(Moment::START + Span::from_secs(3));
    /// assert_eq!(group.live().count(), 1);
    /// ```
    pub fn new(own: id::Host, settings: Settings) -> Self {
        Group { own, settings, peers: collections::BTreeMap::new() }
    }

    /// Takes a heartbeat; true when its sender was not live in this life before.
    pub fn hear(&mut self, heartbeat: &Heartbeat, now: clock::Moment) -> bool {
        if heartbeat.host == self.own {
            return false;
        }
        let fresh = Peer {
            zone: heartbeat.zone.clone(),
            incarnation: heartbeat.incarnation,
            state: State::Dead,
            heard: now,
            suspected_by: collections::BTreeSet::new(),
        };
        let peer = self.peers.entry(heartbeat.host.clone()).or_insert(fresh);
        if heartbeat.incarnation < peer.incarnation {
            return false;
        }
        let joined = peer.state == State::Dead || heartbeat.incarnation > peer.incarnation;
        peer.incarnation = heartbeat.incarnation;
        peer.zone = heartbeat.zone.clone();
        peer.state = State::Live;
        peer.heard = now;
        self.take_suspicions(heartbeat);
        joined
    }

    fn take_suspicions(&mut self, heartbeat: &Heartbeat) {
        for (host, peer) in &mut self.peers {
            let named = |(suspect, life): &(id::Host, id::Incarnation)| {
                suspect == host && *life >= peer.incarnation
            };
            if heartbeat.suspects.iter().any(named) {
                peer.suspected_by.insert(heartbeat.host.clone());
            } else {
                peer.suspected_by.remove(&heartbeat.host);
            }
        }
    }

    /// Moves silent peers on to suspect and dead; the hosts that died just now.
    pub fn tick(&mut self, now: clock::Moment) -> Vec<id::Host> {
        let live: collections::BTreeSet<_> = self.live().cloned().collect();
        let mut died = Vec::new();
        for (host, peer) in &mut self.peers {
            let silence = now.since(peer.heard);
            if peer.state == State::Dead || silence < self.settings.suspect {
                continue;
            }
            peer.state = State::Suspect;
            let voters = live.iter().filter(|voter| *voter != host).count();
            let against = peer.suspected_by.iter().filter(|voter| live.contains(*voter)).count();
            let confirmed = 2 * (against + 1) > voters;
            if confirmed || silence >= self.settings.give_up && against > 0 && voters < 3 {
                peer.state = State::Dead;
                peer.suspected_by.clear();
                died.push(host.clone());
            }
        }
        died
    }

    /// Live hosts, this one included.
    pub fn live(&self) -> impl Iterator<Item = &id::Host> {
        let live = self.peers.iter().filter(|(_, peer)| peer.state == State::Live);
        live.map(|(host, _)| host).chain([&self.own])
    }

    /// Live or suspected hosts of `zone`, this one not included: only death takes an owner away.
    pub fn standing<'a>(&'a self, zone: &'a id::Zone) -> impl Iterator<Item = &'a id::Host> {
        let standing = |peer: &Peer| peer.state != State::Dead && peer.zone == *zone;
        self.peers.iter().filter(move |(_, peer)| standing(peer)).map(|(host, _)| host)
    }

    /// All peers known.
    pub fn peers(&self) -> impl Iterator<Item = (&id::Host, &Peer)> {
        self.peers.iter()
    }

    /// Whom this host suspects, to be told in its heartbeats.
    pub fn suspects(&self) -> Vec<(id::Host, id::Incarnation)> {
        let suspects = self.peers.iter().filter(|(_, peer)| peer.state == State::Suspect);
        suspects.map(|(host, peer)| (host.clone(), peer.incarnation)).collect()
    }
}

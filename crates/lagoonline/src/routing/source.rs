//! From whom a host learns what the platform holds: from the platform itself, or from the one host
//! of its zone that reads for the others.
//!
//! Load pattern: a zone of twenty entry hosts, each of which watches the platform's tables. The
//! same rows are read twenty times a second or more, each call is paid for, and a platform that
//! comes back after an outage meets all of them. So the first host in an order that all know reads,
//! and the others ask it. Nobody is elected: a host that gets no good answer reads for itself at
//! once and looks for another reader later. Two hosts that both read cost calls, never a promise.

use std::collections;

use super::roster;
use crate::clock;
use crate::id;

/// Figures of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Hosts of a zone from which on one reads for the others. In a smaller zone the calls saved
    /// are worth less than the second that a silent reader costs the others.
    pub least_hosts: u64,
    /// How long a host that gave no good answer is passed over. Within it a killed host is started
    /// again and has read everything.
    pub pass_over: clock::Span,
    /// How long a host that does not read now is passed over: when a reader ends, all others learn
    /// of it within moments, and the next one in order then reads.
    pub pass_over_idle: clock::Span,
    /// Part of the bound on changes up to which what a host knows may be old while it looks for
    /// another reader: the rest is for the question that it asks then and for its own reading.
    pub look_share: f64,
    /// Hosts passed over at a time after which this one reads for itself: while the platform is
    /// out nobody can answer, and asking all of a large zone would only be noise.
    pub most_passed: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            least_hosts: 6,
            pass_over: clock::Span::from_secs(3),
            pass_over_idle: clock::Span::from_millis(250),
            look_share: 0.3,
            most_passed: 4,
        }
    }
}

impl Settings {
    /// Age of what a host knows up to which it looks for another reader before it reads for itself,
    /// where a change must be in force within `apply`.
    ///
    /// Failure answered: the platform turns away the first hosts of a zone, which tell the others
    /// that they know nothing new. A host that waited for them would go on by an old version though
    /// the platform would have told it the new one.
    ///
    /// ```
    /// use lagoonline::{clock::Span, routing::SourceSettings};
    /// let span = SourceSettings::default().look_span(Span::from_secs(4));
    /// assert_eq!(span, Span::from_millis(1_200));
    /// ```
    pub fn look_span(&self, apply: clock::Span) -> clock::Span {
        apply.mul_f64(self.look_share)
    }
}

/// Another host of the same zone, as its own row at the platform tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peer {
    /// Part of a processor core that it has: the largest host reads.
    pub cores: f64,
}

/// Where news of the platform comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// This host reads for itself, and answers others that ask.
    Platform,
    /// Another host reads.
    Peer(id::Host),
}

/// The order in which the hosts of a zone read for each other.
///
/// ```
/// use lagoonline::{clock::Moment, id::Host, routing::{Peer, Source, SourceSettings, Sources}};
/// let settings = SourceSettings { least_hosts: 2, ..SourceSettings::default() };
/// let mut sources = Sources::new(settings, Host::from("b"), 0.1);
/// let now = Moment::from_millis(10);
/// assert_eq!(sources.next(now), Source::Platform);
/// sources.set_peer(Host::from("a"), Peer { cores: 0.5 });
/// assert_eq!(sources.next(now), Source::Peer(Host::from("a")));
/// sources.failed(&Host::from("a"), now);
/// assert_eq!(sources.next(now), Source::Platform);
/// ```
#[derive(Clone, Debug)]
pub struct Sources {
    settings: Settings,
    own: id::Host,
    cores: f64,
    peers: collections::BTreeMap<id::Host, Peer>,
    passed: collections::BTreeMap<id::Host, clock::Moment>,
}

impl Sources {
    /// The choice of the host `own`, which has `cores`.
    pub fn new(settings: Settings, own: id::Host, cores: f64) -> Sources {
        Sources {
            settings,
            own,
            cores,
            peers: collections::BTreeMap::new(),
            passed: collections::BTreeMap::new(),
        }
    }

    /// There is another host in the zone, or it changed.
    pub fn set_peer(&mut self, host: id::Host, peer: Peer) {
        self.peers.insert(host, peer);
    }

    /// A host is no longer there.
    pub fn remove_peer(&mut self, host: &id::Host) {
        self.peers.remove(host);
        self.passed.remove(host);
    }

    /// A host said that it does not read now.
    pub fn idle(&mut self, host: &id::Host, now: clock::Moment) {
        self.passed.insert(host.clone(), now + self.settings.pass_over_idle);
    }

    /// A host gave no answer.
    pub fn failed(&mut self, host: &id::Host, now: clock::Moment) {
        self.passed.insert(host.clone(), now + self.settings.pass_over);
    }

    /// The platform does not answer this host: others may still be answered.
    pub fn platform_failed(&mut self, now: clock::Moment) {
        self.failed(&self.own.clone(), now);
    }

    /// Whether this host is to read for itself, whatever the others know: it is the first in order
    /// that is not passed over, or its zone is small.
    pub fn is_first(&self, now: clock::Moment) -> bool {
        self.is_small()
            || self
                .order()
                .find(|(host, _)| self.is_open(host, now))
                .is_none_or(|(host, _)| host == &self.own)
    }

    /// Whom to ask next: the first in order that is not passed over; the platform itself when that
    /// is this host, when all are passed over, or in a small zone.
    pub fn next(&self, now: clock::Moment) -> Source {
        if self.is_small() {
            return Source::Platform;
        }
        let mut asked = self.order().take(self.settings.most_passed + 1);
        let first = asked.find(|(host, _)| self.is_open(host, now));
        match first {
            Some((host, _)) if *host != self.own => Source::Peer(host.clone()),
            Some(_) | None => Source::Platform,
        }
    }

    fn is_small(&self) -> bool {
        (self.peers.len() as u64 + 1) < self.settings.least_hosts
    }

    fn is_open(&self, host: &id::Host, now: clock::Moment) -> bool {
        self.passed.get(host).is_none_or(|until| *until <= now)
    }

    /// All hosts of the zone, the largest first.
    fn order(&self) -> impl Iterator<Item = (&id::Host, f64)> {
        let own = (&self.own, self.cores);
        let peers = self.peers.iter().map(|(host, peer)| (host, peer.cores));
        let mut order: Vec<_> = peers.chain(std::iter::once(own)).collect();
        order.sort_by(|a, b| roster::by_rank(*a, *b));
        order.into_iter()
    }
}

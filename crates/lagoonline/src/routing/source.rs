//! Selects where a host reads the platform's state from: the platform itself, or the one host of
//! its zone that reads it for the others.
//!
//! If each of a zone's twenty entry hosts watched the platform's tables, the same rows would be
//! read twenty times a second or more, each call would be paid for, and a platform that recovers
//! from an outage would be hit by all hosts at once. Therefore the first host, in an order known to
//! all, reads the tables and the others ask it. There is no election: a host that gets no useful
//! answer reads the platform itself at once and looks for another reader later. If two hosts both
//! read the platform, this costs calls but does no harm.

use std::collections;

use super::roster;
use crate::clock;
use crate::id;

/// Settings of the reader selection.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Minimum number of hosts in a zone for one of them to read for the others. In a smaller zone
    /// the saved calls are worth less than the second for which an unresponsive reader holds up the
    /// others.
    pub min_hosts: u64,
    /// How long a host that gave no answer, or no usable one, is skipped. A killed host is
    /// restarted and has read the whole state within this time.
    pub skip_failed: clock::Span,
    /// How long a host that is not reading is skipped. Short, because when a reader stops all
    /// others notice it at about the same time, and the next one in order then starts to read.
    pub skip_idle: clock::Span,
    /// While looking for another reader, the state of a host that the others would ask may be at
    /// most this share of the allowed propagation time old.
    pub search_share: f64,
    /// The same for all other hosts. They go on looking for longer, so that the first ones have
    /// taken over by then.
    pub search_share_others: f64,
    /// Part of the allowed propagation time that these hosts leave for the last question asked and
    /// for reading the platform itself.
    pub reserve: clock::Span,
    /// Number of hosts that are tried after the first one in order, before the platform itself is
    /// read. During a platform outage no host can answer, and asking every host of a large zone
    /// would only add load.
    pub max_fallbacks: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            min_hosts: 6,
            skip_failed: clock::Span::from_secs(3),
            skip_idle: clock::Span::from_millis(250),
            search_share: 0.3,
            search_share_others: 0.5,
            reserve: clock::Span::from_millis(1_500),
            max_fallbacks: 4,
        }
    }
}

/// Another host of the same zone, as described by its row at the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peer {
    /// Number of processor cores, possibly a fraction; the largest host reads.
    pub cores: f64,
}

/// Where a host reads the platform's state from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// The platform itself; the host also answers other hosts that ask.
    Platform,
    /// Another host of the zone, which reads the platform.
    Peer(id::Host),
}

/// Selects the source for one host.
///
/// ```
/// use lagoonline::{clock::Moment, id::Host};
/// use lagoonline::routing::{Peer, Source, SourceSelector, SourceSettings};
/// let settings = SourceSettings { min_hosts: 2, ..SourceSettings::default() };
/// let mut sources = SourceSelector::new(settings, Host::from("b"), 0.1);
/// let now = Moment::from_millis(10);
/// assert_eq!(sources.next(now), Source::Platform);
/// sources.set_peer(Host::from("a"), Peer { cores: 0.5 });
/// assert_eq!(sources.next(now), Source::Peer(Host::from("a")));
/// sources.record_failure(&Host::from("a"), now);
/// assert_eq!(sources.next(now), Source::Platform);
/// ```
#[derive(Clone, Debug)]
pub struct SourceSelector {
    settings: Settings,
    own: id::Host,
    cores: f64,
    peers: collections::BTreeMap<id::Host, Peer>,
    /// Hosts that are skipped, and until when.
    skipped_until: collections::BTreeMap<id::Host, clock::Moment>,
}

impl SourceSelector {
    /// Creates the selector of the host `own`, which has `cores`.
    pub fn new(settings: Settings, own: id::Host, cores: f64) -> SourceSelector {
        SourceSelector {
            settings,
            own,
            cores,
            peers: collections::BTreeMap::new(),
            skipped_until: collections::BTreeMap::new(),
        }
    }

    /// Adds or updates another host of the zone.
    pub fn set_peer(&mut self, host: id::Host, peer: Peer) {
        self.peers.insert(host, peer);
    }

    /// Removes a host.
    pub fn remove_peer(&mut self, host: &id::Host) {
        self.peers.remove(host);
        self.skipped_until.remove(host);
    }

    /// Records that a host reported that it is not reading the platform.
    pub fn record_idle(&mut self, host: &id::Host, now: clock::Moment) {
        self.skipped_until.insert(host.clone(), now + self.settings.skip_idle);
    }

    /// Records that a host gave no answer, or no usable one.
    pub fn record_failure(&mut self, host: &id::Host, now: clock::Moment) {
        self.skipped_until.insert(host.clone(), now + self.settings.skip_failed);
    }

    /// Records that the platform did not answer this host, although it may still answer others.
    pub fn record_platform_failure(&mut self, now: clock::Moment) {
        self.record_failure(&self.own.clone(), now);
    }

    /// Returns whether this host must read the platform whatever the others know: it is the first
    /// host in order that is not skipped, or its zone is small.
    pub fn must_read_platform(&self, now: clock::Moment) -> bool {
        self.is_small()
            || self
                .ranked_hosts()
                .find(|(host, _)| self.is_available(host, now))
                .is_none_or(|(host, _)| host == &self.own)
    }

    /// Returns the source to read next: the first host in order that is not skipped, or the
    /// platform itself if that is this host, if all are skipped, or if the zone is small.
    pub fn next(&self, now: clock::Moment) -> Source {
        if self.is_small() {
            return Source::Platform;
        }
        let mut candidates = self.ranked_hosts().take(self.settings.max_fallbacks + 1);
        let first = candidates.find(|(host, _)| self.is_available(host, now));
        match first {
            Some((host, _)) if *host != self.own => Source::Peer(host.clone()),
            Some(_) | None => Source::Platform,
        }
    }

    /// Returns the maximum age of this host's state at which it still looks for another reader
    /// instead of reading the platform itself, given that changes must take effect within
    /// `max_propagation`.
    ///
    /// If the platform refuses only the first hosts of a zone, these report to the others that
    /// nothing is new. A host that relied on them would keep using an old version although the
    /// platform would give it the new one.
    ///
    /// ```
    /// use lagoonline::{clock::Span, id::Host, routing::{SourceSelector, SourceSettings}};
    /// let sources = SourceSelector::new(SourceSettings::default(), Host::from("a"), 0.5);
    /// assert_eq!(sources.search_span(Span::from_secs(4)), Span::from_millis(1_200));
    /// ```
    pub fn search_span(&self, max_propagation: clock::Span) -> clock::Span {
        let first_span = max_propagation.mul_f64(self.settings.search_share);
        let mut asked = self.ranked_hosts().take(self.settings.max_fallbacks + 1);
        if asked.any(|(host, _)| *host == self.own) {
            return first_span;
        }
        let span = max_propagation.mul_f64(self.settings.search_share_others);
        span.min(max_propagation.saturating_sub(self.settings.reserve)).max(first_span)
    }

    fn is_small(&self) -> bool {
        (self.peers.len() as u64 + 1) < self.settings.min_hosts
    }

    fn is_available(&self, host: &id::Host, now: clock::Moment) -> bool {
        self.skipped_until.get(host).is_none_or(|until| *until <= now)
    }

    /// Returns all hosts of the zone, the largest first.
    fn ranked_hosts(&self) -> impl Iterator<Item = (&id::Host, f64)> {
        let own = (&self.own, self.cores);
        let peers = self.peers.iter().map(|(host, peer)| (host, peer.cores));
        let mut hosts: Vec<_> = peers.chain(std::iter::once(own)).collect();
        hosts.sort_by(|a, b| roster::compare_rank(*a, *b));
        hosts.into_iter()
    }
}

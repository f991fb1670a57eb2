//! This host's paths to upstreams, and the other hosts through which it reaches those that it cannot
//! reach itself.
//!
//! A connection that fails shows that the upstream is down, or that this host's path to it is lost;
//! the host's own attempts cannot tell which. So whatever fails directly is tried through another
//! host. If that one reaches the upstream, only the path is lost: connections go through other hosts
//! until a direct one opens again. If a host that reaches other upstreams does not reach it either,
//! the upstream is down. A host that reaches nothing can say neither.

use std::collections;

use crate::clock;
use crate::control::rendezvous;
use crate::id;

/// Settings of [`Paths`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Paths that must be lost in a row before the host counts as cut off from all: a
    /// single path may be lost alone.
    pub min_lost: usize,
    /// Time after which a connection is tried through another host beside the direct one. It is
    /// longer than connections between zones take, and leaves time for two other hosts.
    pub hedge_after: clock::Span,
    /// The same while a path that was lost is tried again: a direct connection within the zone opens
    /// within it.
    pub retry_hedge_after: clock::Span,
    /// Time after which a lost path is tried again. It bounds how long requests make a detour, or
    /// are refused where no host has a path, after the path is back. It is longer than the timeout
    /// of a connection, so that not every request waits for such a try.
    pub retry_after: clock::Span,
    /// How long a host's statement about its paths counts: hosts repeat it at least every 900 ms.
    pub statement_validity: clock::Span,
    /// How long a host is passed over that did not answer; doubled each time in a row.
    pub skip_span: clock::Span,
    /// How often that span is doubled at most: hosts are listed for minutes after they are gone.
    pub max_skip_doublings: u32,
    /// How long the last direct connection that opened shows that paths are there.
    pub opened_validity: clock::Span,
    /// How long lost paths are remembered while none is tried.
    pub memory: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            min_lost: 2,
            hedge_after: clock::Span::from_millis(100),
            retry_hedge_after: clock::Span::from_millis(20),
            retry_after: clock::Span::from_millis(500),
            statement_validity: clock::Span::from_millis(2_000),
            skip_span: clock::Span::from_secs(1),
            max_skip_doublings: 4,
            opened_validity: clock::Span::from_secs(5),
            memory: clock::Span::from_secs(5),
        }
    }
}

/// What a host says of its own paths.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sight {
    /// It reaches upstreams.
    Reaches,
    /// It has lost its paths to all upstreams that it tried.
    CutOff,
}

/// How to connect to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plan {
    /// Directly, and beside that through another host if no connection opens within this time.
    Direct {
        /// Time until another host is tried; it is tried at once if the direct connection fails.
        hedge_after: clock::Span,
    },
    /// Through another host; directly only if no other host is known that may have paths.
    Through,
}

/// The hosts that may carry a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// This one is to be asked next.
    Host(id::Host),
    /// All hosts that answer say that they are cut off too.
    AllCutOff,
    /// No host is left to ask.
    None,
}

/// A change of what the host believes of its own paths.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Paths to this many upstreams were lost in a row.
    Lost {
        /// Number of distinct upstreams.
        upstreams: usize,
    },
    /// A connection opened after paths had been lost for `after`.
    Regained {
        /// Time since the first connection that failed.
        after: clock::Span,
        /// Number of paths that are still lost.
        still_lost: usize,
    },
}

/// Another host, as a way to upstreams.
#[derive(Clone, Debug)]
struct Host {
    zone: id::Zone,
    statement: Option<(Sight, clock::Moment)>,
    skipped_until: clock::Moment,
    /// Times in a row that it did not answer.
    skips: u32,
}

impl Host {
    fn sight(&self, settings: &Settings, now: clock::Moment) -> Option<Sight> {
        let (sight, at) = self.statement?;
        (now.since(at) <= settings.statement_validity).then_some(sight)
    }
}

/// This host's paths to upstreams.
///
/// ```
/// use lagoonline::{clock::Moment, id::{Host, Upstream, Zone}};
/// use lagoonline::routing::{PathChoice, PathPlan, Paths, PathSettings};
/// let (zone, x, y) = (Zone::from("z"), Upstream::from("x"), Upstream::from("y"));
/// let mut paths = Paths::new(PathSettings::default(), zone.clone());
/// let now = Moment::from_millis(10);
/// paths.set_host(Host::from("h"), zone.clone());
/// paths.record_lost(&x, now);
/// assert_eq!(paths.plan(&x, now), PathPlan::Through);
/// assert_eq!(paths.choose_host(&zone, &[], now, 0), PathChoice::Host(Host::from("h")));
/// paths.record_lost(&y, now);
/// assert!(paths.is_cut_off());
/// paths.record_opened(&y, now);
/// assert!(!paths.is_cut_off());
/// ```
#[derive(Clone, Debug)]
pub struct Paths {
    settings: Settings,
    zone: id::Zone,
    /// Number of upstreams that are listed.
    upstreams: usize,
    /// Paths that are lost, and when each is tried again.
    lost: collections::BTreeMap<id::Upstream, clock::Moment>,
    /// Upstreams to which paths were newly lost since a direct connection last opened.
    in_a_row: collections::BTreeSet<id::Upstream>,
    /// When the first of them failed.
    lost_since: clock::Moment,
    /// When a direct connection is tried again while the host is cut off from all.
    retry_at: clock::Moment,
    /// When a lost path was last tried or found.
    tried_at: clock::Moment,
    /// When a direct connection last opened.
    opened_at: Option<clock::Moment>,
    hosts: collections::BTreeMap<id::Host, Host>,
}

impl Paths {
    /// Creates the paths of a host in `zone` that has tried none yet.
    pub fn new(settings: Settings, zone: id::Zone) -> Paths {
        Paths {
            settings,
            zone,
            upstreams: 0,
            lost: collections::BTreeMap::new(),
            in_a_row: collections::BTreeSet::new(),
            lost_since: clock::Moment::START,
            retry_at: clock::Moment::START,
            tried_at: clock::Moment::START,
            opened_at: None,
            hosts: collections::BTreeMap::new(),
        }
    }

    /// Adds another host, or updates its zone.
    pub fn set_host(&mut self, host: id::Host, zone: id::Zone) {
        let skipped_until = clock::Moment::START;
        let added = Host { zone, statement: None, skipped_until, skips: 0 };
        let zone = added.zone.clone();
        self.hosts.entry(host).or_insert(added).zone = zone;
    }

    /// Removes another host.
    pub fn remove_host(&mut self, host: &id::Host) {
        self.hosts.remove(host);
    }

    /// Returns the other hosts that are known, with their zones.
    pub fn hosts(&self) -> impl Iterator<Item = (&id::Host, &id::Zone)> {
        self.hosts.iter().map(|(name, host)| (name, &host.zone))
    }

    /// Whether other hosts are known.
    pub fn has_hosts(&self) -> bool {
        !self.hosts.is_empty()
    }

    /// Records what another host says of its paths, or that it said nothing.
    pub fn record_sight(&mut self, host: &id::Host, sight: Option<Sight>, now: clock::Moment) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.statement = sight.map(|sight| (sight, now));
            known.skips = 0;
        }
    }

    /// Records that another host did not answer, or takes no connections now.
    pub fn skip_host(&mut self, host: &id::Host, now: clock::Moment) {
        // Several connections may fail at the same host at once.
        let known = self.hosts.get_mut(host).filter(|known| known.skipped_until <= now);
        if let Some(known) = known {
            known.skipped_until = now + self.settings.skip_span * 2u32.pow(known.skips);
            known.skips = (known.skips + 1).min(self.settings.max_skip_doublings);
        }
    }

    /// Returns what this host says of its own paths; `None` if it has not used any lately.
    pub fn sight(&self, now: clock::Moment) -> Option<Sight> {
        if self.is_cut_off() {
            return Some(Sight::CutOff);
        }
        let is_recent = |at| now.since(at) <= self.settings.opened_validity;
        self.opened_at.filter(|at| is_recent(*at)).map(|_| Sight::Reaches)
    }

    /// Decides how to connect to `upstream`. While a path is lost, a direct connection is planned
    /// from time to time to find out whether it is back.
    pub fn plan(&mut self, upstream: &id::Upstream, now: clock::Moment) -> Plan {
        let is_cut_off = self.is_cut_off();
        let retry_at =
            if is_cut_off { Some(&mut self.retry_at) } else { self.lost.get_mut(upstream) };
        match retry_at {
            None => Plan::Direct { hedge_after: self.settings.hedge_after },
            Some(at) if *at <= now => {
                *at = now + self.settings.retry_after;
                self.tried_at = now;
                Plan::Direct { hedge_after: self.settings.retry_hedge_after }
            }
            Some(_) => Plan::Through,
        }
    }

    /// Chooses another host through which to connect to an upstream in `zone`, besides those already
    /// `asked`. Hosts of this zone come first, then those of the upstream's; among equals `random`
    /// decides, so that no host carries the connections of all.
    pub fn choose_host(
        &self,
        zone: &id::Zone,
        asked: &[id::Host],
        now: clock::Moment,
        random: u64,
    ) -> Choice {
        let sight = |host: &Host| host.sight(&self.settings, now);
        let count = |wanted| self.hosts.values().filter(|host| sight(host) == Some(wanted)).count();
        // Hosts that were not heard lately are as good as others, unless many are cut off.
        let prefers_known = count(Sight::CutOff) > count(Sight::Reaches);
        let rank = |host: &Host| {
            let is_unknown = prefers_known && sight(host).is_none();
            (is_unknown, host.zone != self.zone, host.zone != *zone)
        };
        let is_available =
            |(name, host): &(&id::Host, &Host)| host.skipped_until <= now && !asked.contains(name);
        let may_reach = |host: &Host| sight(host) != Some(Sight::CutOff);
        let candidates: Vec<_> = self
            .hosts
            .iter()
            .filter(|entry| is_available(entry) && may_reach(entry.1))
            .map(|(name, host)| (rank(host), name.as_str()))
            .collect();
        let best = candidates.iter().map(|(rank, _)| *rank).min();
        let equals = candidates.iter().filter(|(rank, _)| Some(*rank) == best);
        match rendezvous::choose(equals.map(|(_, name)| *name), &random.to_string()) {
            Some(name) => Choice::Host(id::Host::from(name)),
            None if count(Sight::CutOff) > 0 => Choice::AllCutOff,
            None => Choice::None,
        }
    }

    /// Records that a direct connection to `upstream` opened.
    pub fn record_opened(&mut self, upstream: &id::Upstream, now: clock::Moment) -> Option<Change> {
        let was_cut_off = self.is_cut_off();
        self.opened_at = Some(now);
        self.in_a_row.clear();
        if self.lost.remove(upstream).is_some() {
            // The other paths that were lost are most likely back too.
            self.lost.values_mut().for_each(|retry_at| *retry_at = now);
            self.retry_at = now;
        }
        let after = now.since(self.lost_since);
        let is_regained = was_cut_off && !self.is_cut_off();
        is_regained.then_some(Change::Regained { after, still_lost: self.lost.len() })
    }

    /// Records that no direct connection to `upstream` opened and nothing shows that it is down:
    /// another host reached it, or no host that reaches any upstream could be asked.
    pub fn record_lost(&mut self, upstream: &id::Upstream, now: clock::Moment) -> Option<Change> {
        let was_cut_off = self.is_cut_off();
        self.tried_at = now;
        // A lost path that fails again shows nothing of the others.
        if self.lost.contains_key(upstream) {
            return None;
        }
        let retry_at = now + self.settings.retry_after;
        self.lost.insert(upstream.clone(), retry_at);
        if self.in_a_row.is_empty() {
            self.lost_since = now;
        }
        self.in_a_row.insert(upstream.clone());
        if was_cut_off || !self.is_cut_off() {
            return None;
        }
        self.retry_at = retry_at;
        Some(Change::Lost { upstreams: self.in_a_row.len() })
    }

    /// Records that `upstream` is down: a host that reaches others does not reach it either.
    pub fn record_down(&mut self, upstream: &id::Upstream) {
        self.lost.remove(upstream);
        self.in_a_row.remove(upstream);
    }

    /// Sets the number of upstreams that are listed, and forgets the paths to others.
    pub fn retain<Listed>(&mut self, upstreams: usize, is_listed: Listed)
    where
        Listed: Fn(&id::Upstream) -> bool,
    {
        self.upstreams = upstreams;
        self.lost.retain(|upstream, _| is_listed(upstream));
        self.in_a_row.retain(is_listed);
    }

    /// Forgets lost paths that nobody has tried for long, and returns whether the host counted as cut
    /// off: a path without requests would otherwise count as lost forever.
    pub fn expire(&mut self, now: clock::Moment) -> bool {
        let was_cut_off = self.is_cut_off();
        if now.since(self.tried_at) <= self.settings.memory {
            return false;
        }
        self.lost.clear();
        self.in_a_row.clear();
        was_cut_off
    }

    /// Whether no direct connection has opened since those to several upstreams failed, or the paths
    /// to most upstreams are lost. A host that reaches a few must not be asked to carry connections
    /// to the others, and cannot tell whether one of those is down.
    pub fn is_cut_off(&self) -> bool {
        self.in_a_row.len() >= self.settings.min_lost || self.lost.len() * 2 > self.upstreams.max(2)
    }

    /// Whether connections to `upstream` go through other hosts.
    pub fn is_avoided(&self, upstream: &id::Upstream) -> bool {
        self.is_cut_off() || self.lost.contains_key(upstream)
    }

    /// Number of paths that are lost.
    pub fn lost(&self) -> usize {
        self.lost.len()
    }
}

//! Registry of upstreams, built from their registrations at the platform.
//!
//! During an outage of the platform, registrations expire although their upstreams are alive. A
//! host that dropped these upstreams when the platform recovers would have no upstream to send to
//! for seconds. A registration that is found missing within [`Settings::recovery_grace`] after the
//! recovery therefore stays in use until the end of that time, within which a live upstream
//! registers again. One that vanishes at any other time is dropped at once, and one that is marked
//! as leaving gets no new requests from then on.

use std::collections;

use super::Registration;
use crate::clock;
use crate::id;

/// A change of one registration.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The registration was added or updated.
    Put(Registration),
    /// The registration was deleted, or no longer describes a usable upstream.
    Removed(id::Upstream),
}

impl Change {
    /// Returns the upstream that it is about.
    pub fn upstream(&self) -> &id::Upstream {
        match self {
            Change::Put(entry) => &entry.upstream,
            Change::Removed(upstream) => upstream,
        }
    }
}

/// How long registrations that vanished stay in use.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long after an outage a vanished registration stays in use.
    pub recovery_grace: clock::Span,
}

/// Live upstreams register again about two seconds after the platform recovers.
const RECOVERY_GRACE: clock::Span = clock::Span::from_millis(2_300);

impl Default for Settings {
    fn default() -> Self {
        Settings { recovery_grace: RECOVERY_GRACE }
    }
}

/// All registrations.
///
/// ```
/// use lagoonline::{clock::Moment, routing::Registry};
/// let mut registry = Registry::default();
/// registry.reset(Vec::new(), Moment::START);
/// assert_eq!(registry.entries().count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Registry {
    settings: Settings,
    entries: collections::BTreeMap<id::Upstream, Registration>,
    /// Registrations that vanished around an outage, and until when they stay in use.
    vanished: collections::BTreeMap<id::Upstream, clock::Moment>,
    /// When the platform last recovered from an outage.
    recovered_at: Option<clock::Moment>,
}

impl Registry {
    /// Creates a registry with the given settings.
    pub fn new(settings: Settings) -> Registry {
        Registry { settings, ..Registry::default() }
    }

    /// Records that the platform has recovered from an outage; call this before applying the
    /// changes that it reports.
    pub fn record_recovery(&mut self, now: clock::Moment) {
        self.recovered_at = Some(now);
    }

    /// Applies a single change.
    pub fn apply(&mut self, change: Change, now: clock::Moment) {
        match change {
            Change::Put(entry) => {
                self.vanished.remove(&entry.upstream);
                self.entries.insert(entry.upstream.clone(), entry);
            }
            Change::Removed(upstream) => self.remove(upstream, now),
        }
    }

    /// Applies a complete list of registrations read at `now`; those that are missing from it are
    /// treated as deleted.
    pub fn reset(&mut self, entries: Vec<Registration>, now: clock::Moment) {
        let listed: collections::BTreeSet<_> =
            entries.iter().map(|entry| entry.upstream.clone()).collect();
        let missing: Vec<_> =
            self.entries.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        for upstream in missing {
            self.remove(upstream, now);
        }
        for entry in entries {
            self.apply(Change::Put(entry), now);
        }
    }

    /// Returns until when a registration that vanished around an outage stays in use; `None` for
    /// any other.
    pub fn kept_until(&self, upstream: &id::Upstream) -> Option<clock::Moment> {
        self.vanished.get(upstream).copied()
    }

    /// Drops vanished registrations whose grace time is over, and returns their upstreams.
    pub fn expire(&mut self, now: clock::Moment) -> Vec<id::Upstream> {
        let overdue: Vec<_> = self.vanished.iter().filter(|(_, until)| **until <= now).collect();
        let overdue: Vec<_> = overdue.into_iter().map(|(name, _)| name.clone()).collect();
        for upstream in &overdue {
            self.vanished.remove(upstream);
            self.entries.remove(upstream);
        }
        overdue
    }

    /// Returns the registrations in use, including those of leaving upstreams.
    pub fn entries(&self) -> impl Iterator<Item = &Registration> {
        self.entries.values()
    }

    /// Drops a registration, or keeps it for the grace time if it vanished around an outage.
    fn remove(&mut self, upstream: id::Upstream, now: clock::Moment) {
        let until = self.recovered_at.map(|at| at + self.settings.recovery_grace);
        let leaving = self.entries.get(&upstream).is_none_or(|entry| entry.leaving);
        match until {
            Some(until) if until > now && !leaving => {
                self.vanished.entry(upstream).or_insert(until);
            }
            _ => {
                self.vanished.remove(&upstream);
                self.entries.remove(&upstream);
            }
        }
    }
}

//! Which upstreams there are, from the entries that they keep at the platform.
//!
//! Failure answered: while the platform is out, entries lapse though their upstreams live. A host
//! that drops them at the platform's return has nobody to send to for seconds. So an entry that
//! vanished in or just after an outage stays in use for [`Settings::return_span`], in which a
//! living upstream is back, and is dropped after it. An entry that vanishes at any other time is
//! dropped at once, and one that says it is leaving gets nothing new from then on.

use std::collections;

use super::Entry;
use crate::clock;
use crate::id;

/// A change of one entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The entry as it is now.
    Put(Entry),
    /// The entry is no longer there, or no longer names an upstream that can be used.
    Removed(id::Upstream),
}

/// How long entries that vanished are believed.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// After an outage, how long a vanished entry stays in use.
    pub return_span: clock::Span,
}

/// Living upstreams are back about two seconds after the platform's return.
const RETURN_SPAN: clock::Span = clock::Span::from_millis(2_300);

impl Default for Settings {
    fn default() -> Self {
        Settings { return_span: RETURN_SPAN }
    }
}

/// All entries.
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
    entries: collections::BTreeMap<id::Upstream, Entry>,
    /// Entries that vanished around an outage, and until when they stay in use.
    lapsed: collections::BTreeMap<id::Upstream, clock::Moment>,
    returned: Option<clock::Moment>,
}

impl Registry {
    /// With other settings.
    pub fn new(settings: Settings) -> Registry {
        Registry { settings, ..Registry::default() }
    }

    /// The platform answers again after an outage; call it before the changes that it brings.
    pub fn returned(&mut self, now: clock::Moment) {
        self.returned = Some(now);
    }

    /// Takes in one change.
    pub fn apply(&mut self, change: Change, now: clock::Moment) {
        match change {
            Change::Put(entry) => {
                self.lapsed.remove(&entry.upstream);
                self.entries.insert(entry.upstream.clone(), entry);
            }
            Change::Removed(upstream) => self.remove(upstream, now),
        }
    }

    /// Takes in all entries, read at once.
    pub fn reset(&mut self, entries: Vec<Entry>, now: clock::Moment) {
        let listed: collections::BTreeSet<_> =
            entries.iter().map(|entry| entry.upstream.clone()).collect();
        let gone: Vec<_> =
            self.entries.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        for upstream in gone {
            self.remove(upstream, now);
        }
        for entry in entries {
            self.apply(Change::Put(entry), now);
        }
    }

    /// Drops entries that lapsed and did not come back; whether there were any.
    pub fn expire(&mut self, now: clock::Moment) -> bool {
        let due: Vec<_> = self.lapsed.iter().filter(|(_, until)| **until <= now).collect();
        let due: Vec<_> = due.into_iter().map(|(name, _)| name.clone()).collect();
        for upstream in &due {
            self.lapsed.remove(upstream);
            self.entries.remove(upstream);
        }
        !due.is_empty()
    }

    /// The entries in use, leaving ones included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    fn remove(&mut self, upstream: id::Upstream, now: clock::Moment) {
        let until = self.returned.map(|at| at + self.settings.return_span);
        let leaving = self.entries.get(&upstream).is_none_or(|entry| entry.leaving);
        match until {
            Some(until) if until > now && !leaving => {
                self.lapsed.entry(upstream).or_insert(until);
            }
            _ => {
                self.lapsed.remove(&upstream);
                self.entries.remove(&upstream);
            }
        }
    }
}

//! Tracks the upstreams that are leaving and must get no new work.
//!
//! The platform's host list lags: a leaving upstream could still get work, or an older list could
//! report `live` again and the state would flap. Each upstream therefore has one mark, the pair
//! (incarnation, leaving). Every sign of its state is merged into the mark by taking the greater of
//! the two: entries of the list, marks sent by other entry hosts, incarnations named in load
//! reports, and refusals by the upstream itself. A later incarnation wins over an earlier one, and
//! leaving wins over live within an incarnation. Merging is commutative and idempotent, so entry
//! hosts that received the same signs, in any order and from any source, have the same mark, and
//! only a new incarnation clears it.

use std::collections;

use crate::id;
use crate::lifecycle::safeguard;
use crate::port::hosts;

/// Whether the latest known incarnation of an upstream is leaving.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Mark {
    /// The latest known incarnation.
    pub incarnation: id::Incarnation,
    /// Whether it gets no new work.
    pub leaving: bool,
}

/// The marks of all upstreams.
///
/// ```
/// use lagoonline::{id::{Incarnation, Upstream}, lifecycle::leaving::{Mark, Marks}};
/// let (mut marks, engine) = (Marks::default(), Upstream::from("e"));
/// marks.merge(&engine, Mark { incarnation: Incarnation(4), leaving: true });
/// marks.merge(&engine, Mark { incarnation: Incarnation(4), leaving: false });
/// assert!(marks.is_leaving(&engine));
/// marks.merge(&engine, Mark { incarnation: Incarnation(5), leaving: false });
/// assert!(!marks.is_leaving(&engine));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Marks {
    marks: collections::BTreeMap<id::Upstream, Mark>,
    /// Upstreams that refused work before any incarnation of theirs was known. The refusal applies
    /// to the first incarnation that becomes known.
    unidentified: collections::BTreeSet<id::Upstream>,
    safeguards: safeguard::Set,
}

impl Marks {
    /// Creates an empty set of marks with the given safeguards in force.
    pub fn new(safeguards: safeguard::Set) -> Self {
        Marks { safeguards, ..Marks::default() }
    }

    /// Merges a mark received from another entry host, or an incarnation named in a load report.
    /// Returns the mark if it changed; it should then be sent to the other entry hosts at once.
    pub fn merge(&mut self, upstream: &id::Upstream, mark: Mark) -> Option<Mark> {
        let known = self.marks.get(upstream).copied();
        let unidentified = self.unidentified.remove(upstream);
        let mark = Mark { leaving: mark.leaving || unidentified, ..mark };
        let is_stale = known.is_some_and(|known| mark <= known);
        if is_stale && self.safeguards.has(safeguard::Safeguard::StaleMark) {
            return None;
        }
        self.marks.insert(upstream.clone(), mark);
        Some(mark)
    }

    /// Merges the platform's host list; returns the marks that changed. Every entry is taken for an
    /// upstream; marks made for entry hosts are dropped by [`Marks::retain`].
    pub fn apply_list(&mut self, entries: &[hosts::Entry]) -> Vec<(id::Upstream, Mark)> {
        let merge = |entry: &hosts::Entry| {
            let upstream = id::Upstream::from(entry.name.as_str());
            let leaving = entry.state == hosts::State::Leaving;
            let mark = Mark { incarnation: entry.incarnation, leaving };
            self.merge(&upstream, mark).map(|mark| (upstream, mark))
        };
        entries.iter().filter_map(merge).collect()
    }

    /// Records that the upstream itself refused work because it is leaving; this applies to the
    /// incarnation named in its last load report.
    pub fn record_refusal(&mut self, upstream: &id::Upstream) -> Option<Mark> {
        match self.marks.get(upstream).copied() {
            Some(known) => self.merge(upstream, Mark { leaving: true, ..known }),
            None => {
                self.unidentified.insert(upstream.clone());
                None
            }
        }
    }

    /// Returns whether the upstream gets no new work.
    pub fn is_leaving(&self, upstream: &id::Upstream) -> bool {
        let leaving = self.marks.get(upstream).is_some_and(|mark| mark.leaving);
        leaving || self.unidentified.contains(upstream)
    }

    /// Returns the mark of an upstream, or `None` if no incarnation of it is known.
    pub fn mark(&self, upstream: &id::Upstream) -> Option<Mark> {
        self.marks.get(upstream).copied()
    }

    /// Iterates over all marks, to send them to a newly connected entry host.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Upstream, Mark)> {
        self.marks.iter().map(|(upstream, mark)| (upstream, *mark))
    }

    /// Drops upstreams that the document no longer names.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&id::Upstream) -> bool,
    {
        self.marks.retain(|upstream, _| keep(upstream));
        self.unidentified.retain(|upstream| keep(upstream));
    }
}

//! Which upstreams get no new work because they are leaving.
//!
//! Failure answered: the platform's list lags, so a leaving upstream gets new work, or a list that
//! is older than the sign says `live` again and the mark flaps. Each upstream has one mark, the
//! pair (incarnation, leaving), and all signs are merged by taking the greater: a later life
//! before an earlier, leaving before live within a life. That is enough because merging commutes
//! and repeats without effect, so entry hosts that heard the same signs, in any order and from
//! any source, have the same mark, and only a new life ends one.

use std::collections;

use crate::id;
use crate::life::safeguard;
use crate::port::hosts;

/// What is known of an upstream's latest life.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Mark {
    /// That life.
    pub incarnation: id::Incarnation,
    /// It gets no new work.
    pub leaving: bool,
}

/// The marks of all upstreams.
///
/// ```
/// use lagoonline::{id::{Incarnation, Upstream}, life::leaving::{Mark, Marks}};
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
    /// Refused before any life of theirs was known: the first life heard of is the one meant.
    unnamed: collections::BTreeSet<id::Upstream>,
    safeguards: safeguard::Set,
}

impl Marks {
    /// With all safeguards but those missing in `safeguards`.
    pub fn new(safeguards: safeguard::Set) -> Self {
        Marks { safeguards, ..Marks::default() }
    }

    /// Takes in a peer's word, or a life that a load report names; returns the mark when it
    /// changed, to be passed on to peers at once.
    pub fn merge(&mut self, upstream: &id::Upstream, mark: Mark) -> Option<Mark> {
        let known = self.marks.get(upstream).copied();
        let unnamed = self.unnamed.remove(upstream);
        let mark = Mark { leaving: mark.leaving || unnamed, ..mark };
        let stale = known.is_some_and(|known| mark <= known);
        if stale && self.safeguards.has(safeguard::Safeguard::StaleMark) {
            return None;
        }
        self.marks.insert(upstream.clone(), mark);
        Some(mark)
    }

    /// Takes in the platform's list; returns the marks that changed.
    pub fn listed(&mut self, lines: &[hosts::Line]) -> Vec<(id::Upstream, Mark)> {
        let merge = |line: &hosts::Line| {
            let upstream = id::Upstream::from(line.name.as_str());
            let leaving = line.state == hosts::State::Leaving;
            let mark = Mark { incarnation: line.incarnation, leaving };
            self.merge(&upstream, mark).map(|mark| (upstream, mark))
        };
        lines.iter().filter_map(merge).collect()
    }

    /// The upstream itself refused work as leaving, in the life that its last load report named.
    pub fn refused(&mut self, upstream: &id::Upstream) -> Option<Mark> {
        match self.marks.get(upstream).copied() {
            Some(known) => self.merge(upstream, Mark { leaving: true, ..known }),
            None => {
                self.unnamed.insert(upstream.clone());
                None
            }
        }
    }

    /// Whether it gets no new work.
    pub fn is_leaving(&self, upstream: &id::Upstream) -> bool {
        let leaving = self.marks.get(upstream).is_some_and(|mark| mark.leaving);
        leaving || self.unnamed.contains(upstream)
    }

    /// The mark of an upstream of which a life is known.
    pub fn mark(&self, upstream: &id::Upstream) -> Option<Mark> {
        self.marks.get(upstream).copied()
    }

    /// Every mark, for a peer that has just connected.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Upstream, Mark)> {
        self.marks.iter().map(|(upstream, mark)| (upstream, *mark))
    }

    /// Forgets upstreams that the document no longer names.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&id::Upstream) -> bool,
    {
        self.marks.retain(|upstream, _| keep(upstream));
        self.unnamed.retain(|upstream| keep(upstream));
    }
}

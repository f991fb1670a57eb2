//! What this host knows of its own paths to upstreams, from the connections that it opens.
//!
//! A host whose connections to several upstreams fail in a row, with none that opens in between, has
//! either lost its own paths or meets a fleet that is gone. Its own attempts cannot tell which.

use std::collections;

use crate::clock;
use crate::id;

/// Distinct upstreams that must fail in a row before the host suspects its own paths: a single one
/// may just have crashed.
const MIN_LOST: usize = 2;

/// A change of what the host suspects of its own paths.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Connections to this many upstreams failed in a row.
    Lost {
        /// Number of distinct upstreams.
        upstreams: usize,
    },
    /// A connection opened after paths had been lost for `after`.
    Regained {
        /// Time since the first connection that failed.
        after: clock::Span,
    },
}

/// This host's paths to upstreams.
///
/// ```
/// use lagoonline::{clock::Moment, id::Upstream, routing::{PathChange, Paths}};
/// let (mut paths, now) = (Paths::default(), Moment::from_millis(10));
/// assert_eq!(paths.record_failed(&Upstream::from("x"), now), None);
/// let change = paths.record_failed(&Upstream::from("y"), now);
/// assert_eq!(change, Some(PathChange::Lost { upstreams: 2 }));
/// assert!(paths.is_cut_off());
/// paths.record_opened(now);
/// assert!(!paths.is_cut_off());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Paths {
    /// Upstreams to which connections failed since one last opened.
    lost: collections::BTreeSet<id::Upstream>,
    /// When the first of them failed.
    lost_since: clock::Moment,
}

impl Paths {
    /// Records that a direct connection to an upstream opened.
    pub fn record_opened(&mut self, now: clock::Moment) -> Option<Change> {
        let was_cut_off = self.is_cut_off();
        self.lost.clear();
        was_cut_off.then(|| Change::Regained { after: now.since(self.lost_since) })
    }

    /// Records that no direct connection to `upstream` opened.
    pub fn record_failed(&mut self, upstream: &id::Upstream, now: clock::Moment) -> Option<Change> {
        if self.lost.is_empty() {
            self.lost_since = now;
        }
        let was_cut_off = self.is_cut_off();
        self.lost.insert(upstream.clone());
        let is_new = self.is_cut_off() && !was_cut_off;
        is_new.then_some(Change::Lost { upstreams: self.lost.len() })
    }

    /// Whether no connection has opened since those to several upstreams failed.
    pub fn is_cut_off(&self) -> bool {
        self.lost.len() >= MIN_LOST
    }

    /// Number of upstreams to which connections failed since one last opened.
    pub fn lost(&self) -> usize {
        self.lost.len()
    }
}

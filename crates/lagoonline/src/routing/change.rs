//! Statements about upstreams, and what they do to the [`super::Registry`].

use std::fmt;

use super::{Registration, Revision};
use crate::clock;
use crate::id;

/// An entry of the platform's list of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// What the upstream registered.
    pub registration: Registration,
    /// Number of the upstream's report, which increases within a lifetime; 0 if unknown.
    pub sequence: u64,
    /// When the entry was written.
    pub revision: Revision,
}

/// A change of the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The entry was added or updated.
    Put(Listing),
    /// The entry was removed.
    Removed {
        /// The upstream.
        upstream: id::Upstream,
        /// When it was removed.
        revision: Revision,
    },
    /// The entry was replaced by one that describes no usable upstream.
    Invalid {
        /// The upstream.
        upstream: id::Upstream,
        /// When it was replaced.
        revision: Revision,
    },
}

impl Change {
    /// Returns the upstream that it is about.
    pub fn upstream(&self) -> &id::Upstream {
        match self {
            Change::Put(listing) => &listing.registration.upstream,
            Change::Removed { upstream, .. } | Change::Invalid { upstream, .. } => upstream,
        }
    }

    /// Returns when it was made.
    pub fn revision(&self) -> Revision {
        match self {
            Change::Put(listing) => listing.revision,
            Change::Removed { revision, .. } | Change::Invalid { revision, .. } => *revision,
        }
    }
}

/// What a change, or a departure that another host reported, did to the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The upstream is in use as listed.
    Listed,
    /// The upstream gets no new requests from now on.
    Departed {
        /// Which lifetime, and how it is known.
        departure: Departure,
        /// Whether other hosts can rely on it, whatever outage they had.
        witnessed: bool,
    },
    /// The entry vanished around an outage; the upstream stays in use until this moment at most.
    Kept(clock::Moment),
    /// An upstream that already gets no new requests is no longer listed.
    Forgotten,
    /// The statement is older than what is known, and changes nothing.
    Ignored(Older),
    /// Nothing new.
    Unchanged,
}

/// Why a statement is older than what is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Older {
    /// An entry of the same or a later revision is known.
    BeforeEntry,
    /// The upstream's entry was removed in the same or a later revision.
    BeforeRemoval,
    /// The upstream's entry was removed in a part of the history that a restore has lost.
    BeforeRestore,
    /// The upstream has announced its departure in the same lifetime.
    AfterAnnouncement,
    /// A later lifetime of the upstream is known.
    EarlierLifetime,
    /// A later report of the same lifetime is known.
    EarlierReport,
}

impl fmt::Display for Older {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Older::BeforeEntry => "a newer entry is known",
            Older::BeforeRemoval => "its removal is known",
            Older::BeforeRestore => "its removal was known before the store was restored",
            Older::AfterAnnouncement => "it has announced its departure",
            Older::EarlierLifetime => "a later lifetime is known",
            Older::EarlierReport => "a later report is known",
        })
    }
}

/// The departure of one lifetime of an upstream, which gets no new requests from then on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Departure {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Start time of the lifetime, as [`Registration::started_ms`].
    pub started_ms: u64,
    /// How it is known.
    pub cause: DepartureCause,
}

/// How the departure of an upstream is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DepartureCause {
    /// The upstream announced it; final for its lifetime.
    Announced,
    /// Its entry was removed. An entry of a later revision ends it.
    Removed {
        /// When it was removed.
        revision: Revision,
    },
}

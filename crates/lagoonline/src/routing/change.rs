//! Statements about upstreams, and what they do to the [`super::Registry`].

use std::fmt;

use super::Registration;
use crate::clock;
use crate::id;

/// An entry of the platform's list of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// What the upstream registered.
    pub registration: Registration,
    /// Number of the upstream's report, which increases within a lifetime; 0 if unknown.
    pub sequence: u64,
    /// Version of the platform in which the entry was written.
    pub version: u64,
}

/// A change of the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The entry was added or updated.
    Put(Listing),
    /// The entry was removed in this version.
    Removed {
        /// The upstream.
        upstream: id::Upstream,
        /// Version of the platform.
        version: u64,
    },
    /// The entry was replaced in this version by one that describes no usable upstream.
    Invalid {
        /// The upstream.
        upstream: id::Upstream,
        /// Version of the platform.
        version: u64,
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

    /// Returns the version of the platform in which it was made.
    pub fn version(&self) -> u64 {
        match self {
            Change::Put(listing) => listing.version,
            Change::Removed { version, .. } | Change::Invalid { version, .. } => *version,
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
    /// An entry of the same or a later version is known.
    BeforeEntry,
    /// The upstream's entry was removed in the same or a later version.
    BeforeRemoval,
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
    /// Its entry was removed. An entry of a later version ends it.
    Removed {
        /// Version of the platform.
        version: u64,
    },
}

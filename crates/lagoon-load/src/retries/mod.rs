//! Simulation of entry hosts that share a bound on their retries, in virtual time.
//!
//! Each host has a clock and a budget of its own that begin with its process. It learns from
//! messages, which take their time and may be lost, what other hosts used. Requests arrive at
//! random, fail at random, and are sent again as far as the host's budget allows. The same seed
//! gives the same requests for every [`Way`] of keeping the bound.

mod host;
mod report;
mod scenario;
mod simulation;

pub use report::Report;
pub use scenario::{Event, Fault, Hosts, Knowledge, Scenario, Traffic, all};
pub use simulation::run;

/// A way of keeping the bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Each process has a bucket of its own that starts full and that each send fills, its size
    /// divided by the number of hosts.
    FullBuckets,
    /// As [`Way::FullBuckets`], but the buckets start empty.
    EmptyBuckets,
    /// Each host counts its own window and has an even part of the slack.
    EvenParts,
    /// All hosts hear of each other's retries, in all zones, and use the slack together.
    OnePool,
    /// Each zone has a part of the slack, which its hosts use together.
    Zones,
}

impl Way {
    /// All ways, the first one of hosts that keep what they used in their own memory.
    pub const ALL: [Way; 5] =
        [Way::FullBuckets, Way::EmptyBuckets, Way::EvenParts, Way::OnePool, Way::Zones];
}

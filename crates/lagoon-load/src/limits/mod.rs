//! Simulation of entry hosts before upstreams that name limits on their requests, in virtual time.
//!
//! Each host has a [`lagoonline::load::placement::Placer`] of its own and learns from messages,
//! which take their time and may be lost, what other hosts sent and what answers said. Callers
//! arrive at random, wait, are refused, and come back once when they were told to. The same seed
//! gives the same arrivals for every [`Way`] of keeping a limit.

pub mod cold;
mod host;
mod report;
mod scenario;
mod simulation;

pub use report::Report;
pub use scenario::{Fault, Scenario, Traffic, all};
pub use simulation::run;

/// A way of keeping a limit that holds for all hosts together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Hosts ignore the limit.
    Ignored,
    /// Each host applies the whole limit to its own requests.
    Alone,
    /// Each host applies an even share of the limit to its own requests.
    EvenShares,
    /// One host places the requests of all hosts; if it does not answer, the next one does.
    Owner,
    /// Each host counts the requests of all hosts.
    Counted,
    /// As [`Way::Counted`], and hosts that need an upstream at the same moment take turns.
    Turns,
}

impl Way {
    /// All ways, the one of hosts that know of no limits first.
    pub const ALL: [Way; 6] =
        [Way::Ignored, Way::Alone, Way::EvenShares, Way::Owner, Way::Counted, Way::Turns];

    /// Whether hosts tell each other what answers say.
    fn shares_observations(self) -> bool {
        !matches!(self, Way::Ignored | Way::Alone)
    }

    /// Whether hosts count the requests of others.
    fn counts_others(self) -> bool {
        matches!(self, Way::Owner | Way::Counted | Way::Turns)
    }
}

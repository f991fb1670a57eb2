//! The figures of a simulation.

use serde::Serialize;

/// First tries, and how many of them were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Count {
    /// First tries that were served.
    pub served: u64,
    /// All first tries.
    pub all: u64,
}

impl Count {
    pub(super) fn add(&mut self, served: bool) {
        self.served += u64::from(served);
        self.all += 1;
    }

    /// Returns the share that was served; 1 if there was none.
    ///
    /// ```
    /// use lagoon_load::paths::Count;
    /// assert_eq!(Count { served: 1, all: 4 }.share(), 0.25);
    /// ```
    pub fn share(&self) -> f64 {
        if self.all == 0 { 1.0 } else { self.served as f64 / self.all as f64 }
    }
}

/// What callers and hosts would see.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// First tries at cut-off hosts in a cut, from 3 s after its beginning on, or from its beginning
    /// on if it is shorter.
    pub cut: Count,
    /// The same in the first second of a cut.
    pub cut_first: Count,
    /// First tries at the other hosts, in a cut.
    pub others: Count,
    /// First tries outside of cuts.
    pub calm: Count,
    /// Longest time from the beginning of a cut until a host that lost its paths served again.
    pub until_served_ms: u64,
    /// Time after the end of the last cut at which a connection last went through another host.
    pub detour_after_ms: u64,
    /// Sum of the times until connections opened, in milliseconds.
    pub connect_ms: u64,
    /// Connections that went through another host.
    pub through: u64,
    /// Questions to other hosts.
    pub asked: u64,
    /// Connections carried by the host that carried most.
    pub busiest: u64,
    /// Sound upstreams taken for down by a host.
    pub misjudged: u64,
    /// Refusals that took longer than 300 ms.
    pub slow_refusals: u64,
    /// Refusals.
    pub refusals: u64,
    /// Times that hosts became ready or unready.
    pub flips: u64,
}

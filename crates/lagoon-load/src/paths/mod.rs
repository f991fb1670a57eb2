//! Simulation of entry hosts that lose their paths to upstreams, in virtual time.
//!
//! Each host decides with a [`lagoonline::routing::Paths`] of its own. Callers come through a balancer
//! that asks hosts whether they are ready, or keep a connection to a host. The same seed gives the
//! same arrivals and cuts for every [`Way`].

mod fleet;
mod report;
mod scenario;
mod simulation;

pub use report::{Count, Report};
pub use scenario::{Cut, Scenario, all};
pub use simulation::run;

/// A way of serving callers at a host whose paths are lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// One upstream after another is tried directly.
    Alone,
    /// As [`Way::Alone`]; a host that is cut off says that it is not ready and closes the connections
    /// of its callers after their answers.
    Unready,
    /// Connections go through other hosts.
    Through,
    /// As [`Way::Through`], and a host that is cut off is not ready as in [`Way::Unready`].
    Both,
}

impl Way {
    /// All ways.
    pub const ALL: [Way; 4] = [Way::Alone, Way::Unready, Way::Through, Way::Both];

    fn goes_through(self) -> bool {
        matches!(self, Way::Through | Way::Both)
    }

    fn is_unready_when_cut_off(self) -> bool {
        matches!(self, Way::Unready | Way::Both)
    }
}

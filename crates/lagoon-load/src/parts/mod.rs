//! Simulation of prompts with parts that crash the engines which begin to answer them, in virtual
//! time.
//!
//! Hosts of several zones tell each other of crashes and of answers that began. Those that judge use
//! a [`lagoonline::lifecycle::quarantine::Quarantine`] of their own, or a simpler rule. The same seed
//! gives the same arrivals for every [`Way`].

mod fleet;
mod judge;
mod report;
mod scenario;
mod simulation;

pub use report::Report;
pub use scenario::{Attack, Fault, Scenario, all};
pub use simulation::run;

/// A way of finding what crashes engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// A request is known by its customer, path and body together.
    Whole,
    /// A part at three crashes since the last answer that began with it is refused from then on.
    Count,
    /// The part that explains most crashes is refused, judged anew with each crash.
    Best,
    /// As [`Way::Best`]; a request that was at a crash, with a part that was at another one, is sent
    /// again only after the reports on the crash.
    Held,
}

impl Way {
    /// All ways.
    pub const ALL: [Way; 4] = [Way::Whole, Way::Count, Way::Best, Way::Held];
}

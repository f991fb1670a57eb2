//! Simulation of streams whose upstreams crash or break off answers, in virtual time.
//!
//! Streams arrive at random, prefill at an upstream that works on one prompt after another, and
//! write their events. When an upstream crashes, its streams are cut inside an event or between two,
//! and what their hosts conclude decides what their callers get. The same seed gives the same
//! streams, crashes and cuts for every [`Way`].

mod report;
mod scenario;
mod simulation;

pub use report::Report;
pub use scenario::{Fault, Scenario, all};
pub use simulation::run;

/// A way of deciding whether a stream is whole whose upstream marked no end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// What has ended is whole.
    Ended,
    /// A stream that ends inside an event is broken, any other is whole.
    Content,
    /// As [`Way::Content`], and another upstream is asked to continue after the last event of each
    /// other one, if the stream may be resumed.
    Asked,
    /// As [`Way::Content`], and the process is probed: the stream is whole if it runs. If it does not
    /// run or cannot be asked, another upstream continues or the stream is broken.
    Probed,
    /// As [`Way::Content`], and the caller of each other one gets no end mark either.
    Doubt,
    /// As [`Way::Doubt`], and the process is probed: the stream is broken if it has ended.
    DoubtAndProbe,
}

impl Way {
    /// All ways, the one that takes each end for whole first.
    pub const ALL: [Way; 6] =
        [Way::Ended, Way::Content, Way::Asked, Way::Probed, Way::Doubt, Way::DoubtAndProbe];

    /// Whether the caller of a stream that came without an end mark gets none either.
    fn passes_doubt_on(self) -> bool {
        matches!(self, Way::Doubt | Way::DoubtAndProbe)
    }

    fn probes(self) -> bool {
        matches!(self, Way::Probed | Way::DoubtAndProbe)
    }
}

//! Simulation of entry hosts before upstreams that turn them away and name the time after which they
//! want further requests, in virtual time.
//!
//! Requests are placed by [`lagoonline::load::placement::Placer`], of each host or of the first host
//! of each zone, and the times are kept by [`lagoonline::load::backoff::Backoffs`]. Messages between
//! hosts take their time and may be lost. Callers arrive at random, are refused, and come back once
//! when they were told to. The same seed gives the same arrivals for every [`Way`] of obeying.

mod host;
mod report;
mod scenario;
mod simulation;

pub use report::Report;
pub use scenario::{Fault, Scenario, Trouble, all};
pub use simulation::run;

/// A way of obeying upstreams that want no requests for a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// The times are not read.
    Ignored,
    /// The host that was turned away obeys; it sends plans of another host back that name such an
    /// upstream, and then places by itself.
    SentBack,
    /// The same, and the host that places requests for it is told.
    Told,
    /// As [`Way::Told`], and while all upstreams want no requests, callers are held until the first
    /// one does.
    Held,
    /// As [`Way::Told`], and hosts prefer other upstreams to those that turned another host away
    /// while the others have room.
    Preferred,
    /// All hosts obey what one of them was told.
    Shared,
}

impl Way {
    /// All ways, the one that obeys none first.
    pub const ALL: [Way; 6] =
        [Way::Ignored, Way::SentBack, Way::Told, Way::Held, Way::Preferred, Way::Shared];
}

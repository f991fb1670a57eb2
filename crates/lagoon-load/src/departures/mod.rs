//! Simulation of entry hosts that learn which upstreams left, in virtual time.
//!
//! Each host has a [`lagoonline::routing::Registry`] of its own. It reads the platform's list through
//! watches that fail while the platform is out of reach, and hears from other hosts. Upstreams
//! report to the platform, which drops the entries of those that it has not heard for a while; some
//! upstreams leave, with or without an announcement, and go on serving. The same seed gives the same
//! times for every [`Way`].

mod host;
mod platform;
mod report;
mod scenario;
mod simulation;

pub use report::Report;
pub use scenario::{Departure, Fault, Scenario, all};
pub use simulation::run;

use lagoonline::clock;
use lagoonline::routing;

/// A way of deciding which upstreams get requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// The last statement counts. What is missing after an outage is kept for 2.3 s from the moment at
    /// which the host noticed its end.
    Noticed,
    /// Older statements are ignored, and nothing is kept.
    Dropped,
    /// Older statements are ignored. What is missing after an outage is kept for a time that is bounded
    /// by the last failed call too.
    Bounded,
    /// As [`Way::Noticed`], and hosts tell each other which upstreams left.
    Told,
    /// As [`Way::Bounded`], and hosts tell each other which upstreams left.
    BoundedAndTold,
}

impl Way {
    /// All ways.
    pub const ALL: [Way; 5] =
        [Way::Noticed, Way::Dropped, Way::Bounded, Way::Told, Way::BoundedAndTold];

    /// Whether hosts tell each other which upstreams left.
    fn tells(self) -> bool {
        matches!(self, Way::Told | Way::BoundedAndTold)
    }

    /// Whether the last statement about an upstream counts, whatever it says of its own order.
    fn takes_last_statement(self) -> bool {
        matches!(self, Way::Noticed | Way::Told)
    }

    fn settings(self) -> routing::RegistrySettings {
        let default = routing::RegistrySettings::default();
        let millis = clock::Span::from_millis;
        let (grace_after_answer, grace_after_failure) = match self {
            Way::Noticed | Way::Told => (millis(2_300), millis(600_000)),
            Way::Dropped => (clock::Span::ZERO, clock::Span::ZERO),
            // The margin for a request that is on its way, as lagoon-gateway has it.
            Way::Bounded | Way::BoundedAndTold => (millis(1_800), millis(2_800)),
        };
        routing::RegistrySettings { grace_after_answer, grace_after_failure, ..default }
    }
}

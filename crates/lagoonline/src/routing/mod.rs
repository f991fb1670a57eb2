//! Routing of requests: routes by host and path prefix, the services behind them, and the customers
//! allowed to use them.
//!
//! A [`Desired`] is one version of the configuration that operators have set (the desired state),
//! as read by an adapter; a [`Table`] is the same, indexed for lookups by request.

mod change;
mod confirm;
mod eligibility;
mod era;
mod mirror;
mod paths;
mod registry;
mod remote_clock;
mod revision;
mod roster;
mod source;
mod table;
mod urgency;

use std::net;

use crate::clock;
use crate::id;
use crate::load::profile;

pub use change::{Change, Departure, DepartureCause, Effect, Listing, Older};
pub use confirm::Confirmation;
pub use eligibility::{Eligibility, Evacuation, Exclusion, Homes, Send, Work};
pub use era::Era;
pub use mirror::{Delta, Ignored, Mirror, Row, SameValue};
pub use paths::{
    Change as PathChange, Choice as PathChoice, Paths, Plan as PathPlan, Settings as PathSettings,
    Sight,
};
pub use registry::{Registry, Settings as RegistrySettings};
pub use remote_clock::RemoteClock;
pub use revision::Revision;
pub use roster::{HostInfo, PollSchedule, Roster, Settings as RosterSettings};
pub use source::{Peer, Settings as SourceSettings, Source, SourceSelector};
pub use table::{KeyMatch, Table};
pub use urgency::Urgencies;

/// How a request is answered, and whether it may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The request is answered by a stream of numbered events.
    Stream {
        /// Whether another upstream may continue the stream after the last delivered event, as a
        /// new attempt.
        resumable: bool,
        /// Longest pause between events for the answer to count as in time.
        max_gap: clock::Span,
    },
}

impl Kind {
    /// Returns whether the request may run again after it may have run, on the same or another
    /// upstream.
    ///
    /// ```
    /// use lagoonline::{clock::Span, routing::Kind};
    /// assert!(!Kind::Once.may_repeat());
    /// assert!(Kind::Stream { resumable: true, max_gap: Span::ZERO }.may_repeat());
    /// ```
    pub const fn may_repeat(self) -> bool {
        match self {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream { resumable, .. } => resumable,
        }
    }
}

/// A share of a route's traffic that goes to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service that receives the traffic.
    pub service: id::Service,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// A route: requests with one `Host` header under one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, used in logs and metrics.
    pub name: id::Route,
    /// Value of the `Host` header, in lower case.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// How requests are answered, and whether they may be retried.
    pub kind: Kind,
    /// Maximum time until the final answer.
    pub timeout: clock::Span,
    /// Time within which the answer, or the first event of a stream, counts as in time.
    pub target: clock::Span,
    /// Priority of its requests; 0 is the highest.
    pub priority: u32,
    /// Services that receive its requests; never empty.
    pub shares: Vec<Share>,
    /// Maximum number of upstreams that one request may run on.
    pub max_attempts: u32,
    /// Whether requests are served without a customer's key.
    pub public: bool,
    /// The only regions in which its requests may be processed; empty if all are allowed.
    pub homes: Vec<id::Region>,
}

/// A group of upstreams that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: id::Service,
    /// Path of its health check.
    pub health_path: String,
    /// Number of connections that each upstream accepts from all callers together.
    pub max_connections: u32,
    /// Performance profile of its model engines; `None` for a plain service.
    pub profile: Option<profile::Profile>,
    /// What its upstreams bear shortly after a start; `None` if they bear all that they ever do.
    pub cold_start: Option<ColdStart>,
}

/// What an upstream bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long it is cold after a start.
    pub span: clock::Span,
    /// Requests per second, of all hosts together, that it bears meanwhile.
    pub rate: f64,
}

/// A customer and its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name of the customer.
    pub name: id::Customer,
    /// Keys, in plain text, that identify the customer's callers.
    pub keys: Vec<String>,
    /// Priority of its requests, where 0 is the highest; overrides the priority of the route.
    pub priority: Option<u32>,
    /// The only regions in which its requests may be processed; empty if all are allowed.
    pub homes: Vec<id::Region>,
}

/// Limits on the size and timing of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub head_timeout: clock::Span,
    /// Maximum time without a request on an open connection.
    pub idle_timeout: clock::Span,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: clock::Span::from_secs(3),
            idle_timeout: clock::Span::from_secs(15),
        }
    }
}

/// One version of the configuration set by operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Desired {
    /// A later version has a higher number.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on requests.
    pub limits: Limits,
    /// Customers and their keys; `None` if no keys are required.
    pub customers: Option<Vec<Customer>>,
}

/// An upstream, as it registered itself at the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Name of the upstream. A restarted process usually registers under a new name.
    pub upstream: id::Upstream,
    /// The service it belongs to.
    pub service: id::Service,
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is leaving and must get no new work.
    pub leaving: bool,
    /// Start time of this incarnation in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
    /// How much longer it is cold, as of the report that says so; `None` if it does not say.
    pub cold: Option<clock::Span>,
}

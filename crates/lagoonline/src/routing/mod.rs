//! Where a request may go: routes by host and path prefix, the services behind them, and the
//! customers who may use them.
//!
//! A [`Desired`] is one version of what the operators want, as an adapter read it; a [`Table`] is
//! the same, indexed for lookups by request.

mod confirm;
mod registry;
mod roster;
mod source;
mod table;

use std::net;

use crate::clock;
use crate::id;
use crate::load::profile;

pub use confirm::Confirmation;
pub use registry::{Change, Registry, Settings as RegistrySettings};
pub use roster::{Roster, Rounds, Settings as RosterSettings, Standing};
pub use source::{Peer, Settings as SourceSettings, Source, Sources};
pub use table::{Match, Table};

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    Once,
    /// Answered by a series of numbered events.
    Stream {
        /// Whether another upstream may go on after the last event that was delivered.
        resumable: bool,
        /// Longest pause between events for which the answer is still in time.
        gap: clock::Span,
    },
}

impl Kind {
    /// Whether a second run does no harm.
    ///
    /// ```
    /// use lagoonline::{clock::Span, routing::Kind};
    /// assert!(!Kind::Once.may_repeat());
    /// assert!(Kind::Stream { resumable: true, gap: Span::ZERO }.may_repeat());
    /// ```
    pub const fn may_repeat(self) -> bool {
        match self {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream { resumable, .. } => resumable,
        }
    }
}

/// A part of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: id::Service,
    /// Its part, relative to the other shares of the route.
    pub weight: u32,
}

/// Requests of one host under one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: id::Route,
    /// Value of the `Host` header, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time to a final answer.
    pub timeout: clock::Span,
    /// Time within which the answer (for a stream: its first event) is in time.
    pub target: clock::Span,
    /// Rank among requests, 0 first.
    pub priority: u32,
    /// Where requests go; never empty.
    pub shares: Vec<Share>,
    /// Most upstreams that one request may run on.
    pub attempts: u32,
    /// Whether it is served without a customer's key.
    pub public: bool,
}

/// A group of upstreams that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one upstream accepts from all callers together.
    pub connections: u32,
    /// How its model engines work; `None` for a plain service.
    pub profile: Option<profile::Profile>,
}

/// A customer and the keys that name it.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The customer's name.
    pub name: id::Customer,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Rank of its requests, 0 first; where given, goes before the route's.
    pub priority: Option<u32>,
}

/// What callers may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: clock::Span,
    /// Longest time without a request on an open connection.
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

/// One version of all that operators want.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Desired {
    /// Higher is later.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds on callers.
    pub limits: Limits,
    /// Customers with keys; `None` where no key is asked for.
    pub customers: Option<Vec<Customer>>,
}

/// One upstream as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name; a new life mostly has a new one.
    pub upstream: id::Upstream,
    /// The service it belongs to.
    pub service: id::Service,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving and must get no new work.
    pub leaving: bool,
    /// Start of this life, in Unix milliseconds; 0 where it does not say.
    pub born: u64,
}

//! Messages between a host that connects through another one and that host.

use lagoonline::id;
use lagoonline::routing;

/// Asks for a connection to an upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Open {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub(crate) upstream: String,
    /// When the upstream's lifetime began, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub(crate) life: u64,
    /// Milliseconds within which the connection has to open.
    #[prost(uint32, tag = "3")]
    pub(crate) timeout_ms: u32,
    /// The request for which the connection is used; absent for a host's own calls.
    #[prost(message, optional, tag = "4")]
    pub(crate) admission: Option<Admission>,
    /// Service of the upstream.
    #[prost(string, tag = "5")]
    pub(crate) service: String,
    /// Name of the asking host.
    #[prost(string, tag = "6")]
    pub(crate) host: String,
    /// Whether it is for a call of the asking host's own about a running request.
    #[prost(bool, tag = "7")]
    pub(crate) running: bool,
}

impl Open {
    /// Returns what the connection is used for.
    pub(crate) fn work(&self) -> routing::Work {
        match (&self.admission, self.running) {
            (None, true) => routing::Work::Running,
            (Some(_), _) | (None, false) => routing::Work::New,
        }
    }
}

/// How a request was admitted, so that a host with a newer desired state can refuse it.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Admission {
    /// Version of the desired state that admitted it.
    #[prost(uint64, tag = "1")]
    pub(crate) version: u64,
    /// Value of its `Host` header.
    #[prost(string, tag = "2")]
    pub(crate) host: String,
    /// Path without the query.
    #[prost(string, tag = "3")]
    pub(crate) path: String,
    /// Key of the caller.
    #[prost(string, optional, tag = "4")]
    pub(crate) key: Option<String>,
    /// Customer whose key it is.
    #[prost(string, optional, tag = "5")]
    pub(crate) customer: Option<String>,
    /// Id of the request, for the log.
    #[prost(string, tag = "6")]
    pub(crate) request: String,
}

impl Admission {
    /// Whether `table` still allows the request to go to `service`. A table that is no newer than
    /// the one that admitted the request does not object.
    pub(crate) fn is_allowed(&self, table: &routing::Table, service: &id::Service) -> bool {
        if table.version() <= self.version {
            return true;
        }
        let Some(route) = table.route(&self.host, &self.path) else { return false };
        let customer = match table.customer(route, self.key.as_deref()) {
            routing::KeyMatch::Open => None,
            routing::KeyMatch::Customer(customer) => Some(customer.name.to_string()),
            routing::KeyMatch::Unknown => return false,
        };
        customer == self.customer && route.shares.iter().any(|share| share.service == *service)
    }

    /// Returns where the request may be processed by `table`. A table that is no newer than the one
    /// that admitted the request does not object.
    pub(crate) fn homes(&self, table: &routing::Table) -> routing::Homes {
        let route = table.route(&self.host, &self.path);
        let Some(route) = route.filter(|_| table.version() > self.version) else {
            return routing::Homes::default();
        };
        match table.customer(route, self.key.as_deref()) {
            routing::KeyMatch::Customer(customer) => routing::Homes::of(route, Some(&customer)),
            routing::KeyMatch::Open | routing::KeyMatch::Unknown => routing::Homes::of(route, None),
        }
    }
}

/// The answer to [`Open`]. If the connection is open, its bytes follow in both directions, in
/// messages of any length; an empty one says that the upstream has sent its last byte.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Answer {
    #[prost(enumeration = "Outcome", tag = "1")]
    pub(crate) outcome: i32,
    /// Name of the host through which the answering one connects itself, if it is cut off.
    #[prost(string, optional, tag = "2")]
    pub(crate) elsewhere: Option<String>,
}

/// Whether the connection is open.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum Outcome {
    /// A build that only knows other outcomes.
    Unspecified = 0,
    Opened = 1,
    /// The upstream's address refuses connections; others are reached.
    Refused = 2,
    /// The upstream does not respond; others do.
    Silent = 3,
    /// The host that was asked reaches no upstream itself.
    CutOff = 4,
    /// The upstream has left, or is not known in this lifetime.
    Left = 5,
    /// A newer desired state does not allow the request.
    NotAllowed = 6,
    /// The host that was asked has lost its path to this upstream; it reaches others.
    PathLost = 8,
    /// The host that was asked is shutting down, starting, or carries too many connections.
    Unavailable = 7,
    /// The upstream turned the host that was asked away, and wants no requests from it for a time.
    BackedOff = 9,
    /// The upstream's zone is evacuated.
    Evacuated = 10,
}

impl Outcome {
    /// Returns the name of the outcome in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Outcome::Unspecified => "unspecified",
            Outcome::Opened => "opened",
            Outcome::Refused => "refused",
            Outcome::Silent => "silent",
            Outcome::CutOff => "cut_off",
            Outcome::Left => "left",
            Outcome::NotAllowed => "not_allowed",
            Outcome::PathLost => "path_lost",
            Outcome::Unavailable => "unavailable",
            Outcome::BackedOff => "backed_off",
            Outcome::Evacuated => "evacuated",
        }
    }
}

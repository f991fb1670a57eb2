//! Liveness of the entry processes that own resources on engines, in a form that zones exchange. An
//! entry process runs on an entry host and reports to the steward there.
//!
//! When a steward restarts or is cut off, the entry process that reports to it seems to have died
//! although it still serves, and releasing what it owns would interrupt streams that are being
//! read. A process therefore counts as gone only if its own live steward, which sees its connection
//! close, says so, or if its host is dead to the other stewards of its zone and is no longer in the
//! platform's list. Otherwise its state is unsure. A new incarnation of the process proves the old
//! one dead in any case.

use serde::{Deserialize, Serialize};

use crate::control::replication;
use crate::id;

/// Liveness of an entry process, as known to the stewards of its zone.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// Its steward is alive and has a report that it serves or drains.
    Serving,
    /// Its steward is alive and has no such report, or its host is dead and no longer listed.
    Gone,
    /// Its steward is unreachable, and the platform lists the host or cannot be reached.
    Unsure,
}

/// State of the host that an entry process runs on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostState {
    /// Its steward is reachable.
    Live,
    /// Its steward is not reachable.
    Dead {
        /// Whether the platform lists the host; `None` if the list cannot be read.
        listed: Option<bool>,
    },
}

/// Status of an owner, as reported by its zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The host's latest incarnation, as `HOST/INCARNATION`.
    pub owner: String,
    /// Its liveness.
    pub sign: Liveness,
}

impl Status {
    /// Derives the status from the last report of the process and the state of its host.
    ///
    /// ```
    /// use lagoonline::{control::replication::Report, id::{Host, Incarnation}};
    /// use lagoonline::lifecycle::owner::{self, Liveness, Status};
    /// let report = Report { incarnation: Incarnation(7), ready: true, ..Report::default() };
    /// let host = Host::from("suva-1");
    /// let sign = |report: &Report, known| Status::new(&host, report, known).sign;
    /// assert_eq!(sign(&report, owner::HostState::Live), Liveness::Serving);
    /// assert_eq!(sign(&report, owner::HostState::Dead { listed: None }), Liveness::Unsure);
    /// assert_eq!(sign(&report, owner::HostState::Dead { listed: Some(false) }), Liveness::Gone);
    /// let closed = Report { ready: false, ..report.clone() };
    /// assert_eq!(sign(&closed, owner::HostState::Live), Liveness::Gone);
    /// ```
    pub fn new(host: &id::Host, report: &replication::Report, known: HostState) -> Self {
        let owner = id::Owner { host: host.clone(), incarnation: report.incarnation };
        let sign = match known {
            HostState::Live if report.ready || report.draining => Liveness::Serving,
            HostState::Live | HostState::Dead { listed: Some(false) } => Liveness::Gone,
            HostState::Dead { listed: Some(true) | None } => Liveness::Unsure,
        };
        Status { owner: owner.to_string(), sign }
    }
}

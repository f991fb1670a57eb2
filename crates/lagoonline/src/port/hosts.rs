//! The platform's list of live and leaving hosts; it lags, so it is a hint.

use std::future;

use super::table;
use crate::id;

/// What the list says of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// In service.
    Live,
    /// About to leave: no new work.
    Leaving,
}

/// One line of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    /// Name of the upstream or entry host.
    pub name: String,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Which life of it the line speaks of.
    pub incarnation: id::Incarnation,
    /// Its state.
    pub state: State,
}

/// Reads the list.
pub trait Hosts {
    /// The list as the platform has it now.
    ///
    /// # Errors
    ///
    /// `Refused` or `Unknown`.
    fn list(&self) -> impl future::Future<Output = Result<Vec<Line>, table::Error>>;
}

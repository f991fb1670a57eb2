//! The platform's list of entry hosts and upstreams, live and leaving. It lags and is used only as
//! a hint: of upstreams that get no new work (see [`crate::lifecycle::leaving`]), and of entry
//! hosts that are gone (see [`crate::lifecycle::owner`]).

use std::future;

use super::table;
use crate::id;

/// State of an entry host or upstream in the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// In service.
    Live,
    /// About to leave; it gets no new work.
    Leaving,
}

/// An entry of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Name of the upstream or entry host.
    pub name: String,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The incarnation that the entry refers to.
    pub incarnation: id::Incarnation,
    /// Its state.
    pub state: State,
}

/// Read access to the list.
pub trait Hosts {
    /// Returns the platform's current list.
    ///
    /// # Errors
    ///
    /// Returns [`table::Error::Refused`] or [`table::Error::Unknown`].
    fn list(&self) -> impl future::Future<Output = Result<Vec<Entry>, table::Error>>;
}

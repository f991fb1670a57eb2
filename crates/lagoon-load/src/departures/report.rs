//! The figures of a simulation.

use serde::Serialize;

/// What upstreams and callers would see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Host-milliseconds for which hosts would send to upstreams that left, later than the bound
    /// after the platform's acknowledgement at hosts that are in touch with it, or after the host
    /// has read it.
    pub late_ms: u64,
    /// The longest time after the acknowledgement at which such a send would happen, in
    /// milliseconds.
    pub latest_ms: u64,
    /// Milliseconds from the acknowledgement until no host sends, whatever its connections.
    pub until_none_ms: u64,
    /// Host-milliseconds for which hosts avoid live upstreams that they can reach.
    pub avoided_ms: u64,
    /// Host-milliseconds for which hosts have no live upstream at all that they can reach.
    pub without_any_ms: u64,
    /// Bytes about departures that a host sends, the most of all hosts.
    pub sent_bytes: u64,
}

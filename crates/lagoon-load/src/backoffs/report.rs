//! The figures of a simulation.

use serde::Serialize;

/// What callers and upstreams saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Requests that reached an upstream from a host later than half a second after it had named a
    /// time to that host, and before that time.
    pub late: u64,
    /// Most such requests of one host at one upstream within one time.
    pub worst: u64,
    /// First tries of callers.
    pub callers: u64,
    /// Callers that were served by their first try, in time.
    pub in_time: u64,
    /// Callers that were served later, or after they came back.
    pub served_late: u64,
    /// Callers that were refused, and not served when they came back.
    pub refused: u64,
    /// Callers that were refused although upstreams had room, first tries and later ones.
    pub refused_with_room: u64,
    /// Requests that upstreams turned away.
    pub turned_away: u64,
    /// Plans of other hosts that were sent back.
    pub sent_back: u64,
    /// Messages about times for each host and second.
    pub messages: f64,
}

//! Settings of the link.

use std::net;

use lagoonline::clock;
use lagoonline::id;

use crate::wire;

/// Settings of the link between an entry process and its steward.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the steward.
    pub steward: net::SocketAddr,
    /// Name of this entry host.
    pub host: id::Host,
    /// Its zone.
    pub zone: id::Zone,
    /// Incarnation of the entry process.
    pub incarnation: id::Incarnation,
    /// The key shared by all processes of the fleet.
    pub key: wire::Key,
    /// Maximum delay before the first reconnect; it doubles up to two seconds.
    pub retry: clock::Span,
    /// Time between two reports of the entry process's state.
    pub report: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            steward: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            host: id::Host::default(),
            zone: id::Zone::default(),
            incarnation: id::Incarnation::default(),
            key: wire::Key::new(&[]),
            retry: clock::Span::from_millis(100),
            report: clock::Span::from_secs(1),
        }
    }
}

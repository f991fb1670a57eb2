//! Settings of the link.

use std::net;

use lagoonline::clock;
use lagoonline::id;

use crate::wire;

/// Who connects to whom.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the steward listens.
    pub steward: net::SocketAddr,
    /// This entry host.
    pub host: id::Host,
    /// Its zone.
    pub zone: id::Zone,
    /// Life of the entry process.
    pub incarnation: id::Incarnation,
    /// The fleet's key.
    pub key: wire::Key,
    /// Longest first wait before the steward is tried again; it doubles up to two seconds.
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

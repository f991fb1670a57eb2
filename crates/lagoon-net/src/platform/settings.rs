//! Settings of the platform client.

use std::net;

use lagoonline::check;
use lagoonline::clock;

/// How the platform is reached, and how much of it one process may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Longest time for one call.
    pub timeout: clock::Span,
    /// Reads a second that this process may make. The platform has 2,000 for all.
    pub reads_per_second: f64,
    /// Writes a second that this process may make. The platform has several hundred for all.
    pub writes_per_second: f64,
    /// Time for which no call is made after several in a row failed.
    pub breaker_pause: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            timeout: clock::Span::from_millis(1_500),
            reads_per_second: 20.0,
            writes_per_second: 5.0,
            breaker_pause: clock::Span::from_secs(1),
        }
    }
}

impl Settings {
    /// Reads `{"address": "IP:PORT", "timeout_ms", "reads_per_second", "writes_per_second",
    /// "rest_ms"}`.
    ///
    /// ```
    /// use lagoon_net::platform;
    /// use lagoonline::check;
    /// let text = r#"{"address": "127.0.0.1:7000", "timeout_ms": 500}"#;
    /// let settings = check::parse(text, platform::Settings::read).unwrap();
    /// assert_eq!(settings.timeout.as_millis(), 500);
    /// ```
    pub fn read(reader: &check::Reader<'_>) -> Settings {
        let usual = Settings::default();
        let timeout = reader.number("timeout_ms", 1_500, 10..=60_000);
        let rest = reader.number("rest_ms", 1_000, 10..=60_000);
        Settings {
            address: reader.required_parsed("address", "IP:PORT", usual.address),
            timeout: clock::Span::from_millis(timeout),
            reads_per_second: reader.float("reads_per_second", usual.reads_per_second, 0.1..=1e5),
            writes_per_second: reader.float(
                "writes_per_second",
                usual.writes_per_second,
                0.01..=1e5,
            ),
            breaker_pause: clock::Span::from_millis(rest),
        }
    }
}

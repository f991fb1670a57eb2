//! Settings of the platform client.

use std::net;

use lagoonline::check;
use lagoonline::clock;

/// Address of the platform, and the share of its capacity that one process may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Address of the platform.
    pub address: net::SocketAddr,
    /// Timeout of one call.
    pub timeout: clock::Span,
    /// Reads per second that this process may make. The platform serves 2,000 in total.
    pub reads_per_second: f64,
    /// Writes per second that this process may make. The platform serves several hundred in total.
    pub writes_per_second: f64,
    /// Time for which the breaker blocks calls after several in a row have failed.
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
    /// "rest_ms"}`, where `rest_ms` is the time for which the breaker blocks calls.
    ///
    /// ```
    /// use lagoon_net::platform;
    /// use lagoonline::check;
    /// let text = r#"{"address": "127.0.0.1:7000", "timeout_ms": 500}"#;
    /// let settings = check::parse(text, platform::Settings::read).unwrap();
    /// assert_eq!(settings.timeout.as_millis(), 500);
    /// ```
    pub fn read(reader: &check::Reader<'_>) -> Settings {
        let defaults = Settings::default();
        let timeout = reader.number("timeout_ms", 1_500, 10..=60_000);
        let rest = reader.number("rest_ms", 1_000, 10..=60_000);
        Settings {
            address: reader.required_parsed("address", "IP:PORT", defaults.address),
            timeout: clock::Span::from_millis(timeout),
            reads_per_second: reader.float(
                "reads_per_second",
                defaults.reads_per_second,
                0.1..=1e5,
            ),
            writes_per_second: reader.float(
                "writes_per_second",
                defaults.writes_per_second,
                0.01..=1e5,
            ),
            breaker_pause: clock::Span::from_millis(rest),
        }
    }
}

//! Settings of the platform.

use std::net;

use lagoonline::check;

use super::{Faults, HostEntry};

/// Settings of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Listen address; port 0 selects a free port.
    pub address: net::SocketAddr,
    /// Fault switches at the start, which include rate limits and lags.
    pub faults: Faults,
    /// Rate of the weight store, in bytes per second.
    pub weight_rate: f64,
    /// Host list at the start.
    pub hosts: Vec<HostEntry>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            faults: Faults::default(),
            weight_rate: 4e9,
            hosts: Vec::new(),
        }
    }
}

impl Settings {
    /// Reads the settings object of the platform.
    ///
    /// ```
    /// use lagoon_standin::platform::Settings;
    /// use lagoonline::check;
    /// let text = r#"{"address": "127.0.0.1:0", "writes_per_second": 300}"#;
    /// let settings = check::parse(text, Settings::read).unwrap();
    /// assert_eq!(settings.faults.writes_per_second, 300.0);
    /// ```
    pub fn read(reader: &check::Reader<'_>) -> Self {
        let defaults = Settings::default();
        let limits = defaults.faults;
        let rate = |name, default| reader.float(name, default, 0.0..=1e9);
        let millis = |name, default| reader.number(name, default, 0..=3_600_000);
        Settings {
            address: reader.required_parsed("address", "IP:PORT", defaults.address),
            faults: Faults {
                delay_ms: millis("delay_ms", limits.delay_ms),
                reads_per_second: rate("reads_per_second", limits.reads_per_second),
                writes_per_second: rate("writes_per_second", limits.writes_per_second),
                hosts_lag_ms: millis("hosts_lag_ms", limits.hosts_lag_ms),
                ..Faults::default()
            },
            weight_rate: reader.float("weight_rate", defaults.weight_rate, 1.0..=1e15),
            hosts: reader.list("hosts", read_host),
        }
    }
}

fn read_host(reader: &check::Reader<'_>) -> HostEntry {
    let state = reader.text("state", "live");
    if state != "live" && state != "leaving" {
        reader.fault("state", "must be live or leaving");
    }
    HostEntry {
        name: reader.required("name"),
        zone: reader.required("zone"),
        incarnation: reader.number("incarnation", 0, 0..=u64::MAX),
        state,
    }
}

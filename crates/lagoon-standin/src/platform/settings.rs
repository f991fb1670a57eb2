//! Settings of the platform.

use std::net;

use lagoonline::check;

use super::{Faults, HostEntry};

/// Settings of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where it listens; port 0 takes a free one.
    pub address: net::SocketAddr,
    /// Its limits and lags at the start.
    pub faults: Faults,
    /// Bytes of weights that the weight store gives in a second.
    pub weight_rate: f64,
    /// The list of hosts at the start.
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
    /// Reads the platform's object of a settings text.
    ///
    /// ```
    /// use lagoon_standin::platform::Settings;
    /// use lagoonline::check;
    /// let text = r#"{"address": "127.0.0.1:0", "writes_per_second": 300}"#;
    /// let settings = check::parse(text, Settings::read).unwrap();
    /// assert_eq!(settings.faults.writes_per_second, 300.0);
    /// ```
    pub fn read(reader: &check::Reader<'_>) -> Self {
        let usual = Settings::default();
        let limits = usual.faults;
        let rate = |name, default| reader.float(name, default, 0.0..=1e9);
        let span = |name, default| reader.number(name, default, 0..=3_600_000);
        Settings {
            address: reader.required_parsed("address", "IP:PORT", usual.address),
            faults: Faults {
                delay_ms: span("delay_ms", limits.delay_ms),
                reads_per_second: rate("reads_per_second", limits.reads_per_second),
                writes_per_second: rate("writes_per_second", limits.writes_per_second),
                hosts_lag_ms: span("hosts_lag_ms", limits.hosts_lag_ms),
                ..Faults::default()
            },
            weight_rate: reader.float("weight_rate", usual.weight_rate, 1.0..=1e15),
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

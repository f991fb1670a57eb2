//! Settings of a plain service's replica.

use std::net;

use lagoonline::check;

/// Settings of a plain service's replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the service, as in the configuration document. Responses and the control address use
    /// it too.
    pub name: String,
    /// Listen address; port 0 selects a free port.
    pub address: net::SocketAddr,
    /// Duration of a call, in milliseconds.
    pub work_ms: u64,
    /// Maximum number of calls in flight; further ones are refused as not run.
    pub slots: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            name: "service".to_owned(),
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            work_ms: 2,
            slots: 256,
        }
    }
}

impl Settings {
    /// Reads the settings object of one replica.
    ///
    /// ```
    /// use lagoon_standin::service::Settings;
    /// use lagoonline::check;
    /// let faults = check::parse(r#"{"slots": 0}"#, Settings::read).unwrap_err();
    /// assert_eq!(faults.0.len(), 2);
    /// ```
    pub fn read(reader: &check::Reader<'_>) -> Self {
        let defaults = Settings::default();
        let slots = reader.number("slots", defaults.slots as u64, 1..=65_536);
        Settings {
            name: reader.text("name", &defaults.name),
            address: reader.required_parsed("address", "IP:PORT", defaults.address),
            work_ms: reader.number("work_ms", defaults.work_ms, 0..=3_600_000),
            slots: usize::try_from(slots).unwrap_or(defaults.slots),
        }
    }
}

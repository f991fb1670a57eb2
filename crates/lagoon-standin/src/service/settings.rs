//! Settings of a plain service's replica.

use std::net;

use lagoonline::check;

/// Settings of a plain service's replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name, as the document has it.
    pub name: String,
    /// Where it listens; port 0 takes a free one.
    pub address: net::SocketAddr,
    /// Milliseconds that a call takes.
    pub work_ms: u64,
    /// Calls handled at once; further ones are refused as not run.
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
    /// Reads one replica's object of a settings text.
    ///
    /// ```
    /// use lagoon_standin::service::Settings;
    /// use lagoonline::check;
    /// let faults = check::parse(r#"{"slots": 0}"#, Settings::read).unwrap_err();
    /// assert_eq!(faults.0.len(), 2);
    /// ```
    pub fn read(reader: &check::Reader<'_>) -> Self {
        let usual = Settings::default();
        let slots = reader.number("slots", usual.slots as u64, 1..=65_536);
        Settings {
            name: reader.text("name", &usual.name),
            address: reader.required_parsed("address", "IP:PORT", usual.address),
            work_ms: reader.number("work_ms", usual.work_ms, 0..=3_600_000),
            slots: usize::try_from(slots).unwrap_or(usual.slots),
        }
    }
}

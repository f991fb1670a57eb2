//! Settings of an operator's program.

use std::net;

use lagoonline::check;
use lagoonline::clock;

use crate::wire;

/// How stewards are reached, and as whom.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Stewards; any of them will do, and they are tried in turn.
    pub stewards: Vec<net::SocketAddr>,
    /// The fleet's key.
    pub fleet_key: wire::Key,
    /// The team's key, or the operators'.
    pub key: String,
    /// Longest time for one steward's answer.
    pub timeout: clock::Span,
    /// Longest time for a whole call over all tries.
    pub total_timeout: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            stewards: Vec::new(),
            fleet_key: wire::Key::new(&[]),
            key: String::new(),
            timeout: clock::Span::from_secs(5),
            total_timeout: clock::Span::from_secs(15),
        }
    }
}

impl Settings {
    /// Reads `{"stewards": ["IP:PORT"], "fleet_key", "key", "timeout_ms", "patience_ms"}`.
    ///
    /// ```
    /// use lagoon_net::operator;
    /// use lagoonline::check;
    /// let text = r#"{"stewards": ["127.0.0.1:7000"], "fleet_key": "f", "key": "k"}"#;
    /// let settings = check::parse(text, operator::Settings::read).unwrap();
    /// assert_eq!(settings.stewards.len(), 1);
    /// ```
    pub fn read(reader: &check::Reader<'_>) -> Settings {
        let mut stewards = Vec::new();
        for (index, text) in reader.texts("stewards").iter().enumerate() {
            match text.parse() {
                Ok(address) => stewards.push(address),
                Err(_) => reader.fault_item("stewards", index, "must be IP:PORT"),
            }
        }
        if !reader.has("stewards") {
            reader.fault("stewards", "must be given");
        }
        let timeout = reader.number("timeout_ms", 5_000, 10..=600_000);
        let patience = reader.number("patience_ms", 15_000, 10..=600_000);
        Settings {
            stewards,
            fleet_key: wire::Key::new(reader.required("fleet_key").as_bytes()),
            key: reader.required("key"),
            timeout: clock::Span::from_millis(timeout),
            total_timeout: clock::Span::from_millis(patience),
        }
    }
}

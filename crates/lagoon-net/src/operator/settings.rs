//! Settings of an operator's program.

use std::net;

use lagoonline::check;
use lagoonline::clock;

use crate::wire;

/// Addresses of stewards, and keys.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of stewards. Any of them can serve a call; they are tried in turn.
    pub stewards: Vec<net::SocketAddr>,
    /// The key shared by all processes of the fleet.
    pub fleet_key: wire::Key,
    /// A key of the team or of the operators.
    pub key: String,
    /// Timeout of one steward's reply.
    pub timeout: clock::Span,
    /// Timeout of a call over all attempts.
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
    /// Reads `{"stewards": ["IP:PORT"], "fleet_key", "key", "timeout_ms", "patience_ms"}`, where
    /// `patience_ms` is the timeout of a call over all attempts.
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
        let total_timeout = reader.number("patience_ms", 15_000, 10..=600_000);
        Settings {
            stewards,
            fleet_key: wire::Key::new(reader.required("fleet_key").as_bytes()),
            key: reader.required("key"),
            timeout: clock::Span::from_millis(timeout),
            total_timeout: clock::Span::from_millis(total_timeout),
        }
    }
}

//! Settings of a steward.

use std::net;

use lagoonline::check;
use lagoonline::clock;
use lagoonline::control::document;
use lagoonline::control::lease;
use lagoonline::control::membership;
use lagoonline::id;
use lagoonline::lifecycle::claim;
use lagoonline::lifecycle::reap;

use crate::logs;
use crate::platform;
use crate::wire;

/// Default time between two reads of an engine's load. Each read costs a host 560 B. Reads every
/// 500 ms do not shorten the time to first token (docs/measurements/load.md), because an entry host
/// places requests by its own dispatches and by the loads in responses, which are newer.
const OBSERVE_MS: u64 = 2_500;

/// Settings of a steward.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry host.
    pub host: id::Host,
    /// Its zone.
    pub zone: id::Zone,
    /// Where to listen, by TCP and UDP on the same port; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// Address at which others reach it, if it differs from the one it listens on.
    pub advertise: Option<net::SocketAddr>,
    /// The key shared by all processes of the fleet.
    pub key: wire::Key,
    /// The platform; if `None`, sections come from peers only.
    pub platform: Option<platform::Settings>,
    /// Stewards to connect to at start, besides those in the platform's table.
    pub peers: Vec<net::SocketAddr>,
    /// SHA-256 hashes of the operators' keys, which authorize changes of every section.
    pub operator_keys: Vec<document::KeyHash>,
    /// Heartbeats and failure detection.
    pub membership: membership::Settings,
    /// The lease under which commands are sent to engines.
    pub lease: lease::Settings,
    /// Time between two reads of the document's head row, which lists the newest version of each
    /// section, by the zone's fetcher.
    pub poll_interval: clock::Span,
    /// Time between two reads of the load of an upstream that this steward observes.
    pub observe_interval: clock::Span,
    /// Time between two reads of the holdings of an engine that this steward observes.
    pub sweep_interval: clock::Span,
    /// When an owner of engine memory is considered dead.
    pub reap: reap::Settings,
    /// Retention of idempotency keys.
    pub claims: claim::SweepSettings,
    /// Log level and target.
    pub logs: logs::Settings,
}

/// Default time between two reads of holdings. The lists of the three or four engines that a
/// steward observes have about 2 KB each, which makes 0.4 KB a second.
const SWEEP_MS: u64 = 20_000;

impl Default for Settings {
    fn default() -> Self {
        Settings {
            host: id::Host::from("host"),
            zone: id::Zone::from("zone"),
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            advertise: None,
            key: wire::Key::new(&[]),
            platform: None,
            peers: Vec::new(),
            operator_keys: Vec::new(),
            membership: membership::Settings::default(),
            lease: lease::Settings::default(),
            poll_interval: clock::Span::from_millis(500),
            observe_interval: clock::Span::from_millis(OBSERVE_MS),
            sweep_interval: clock::Span::from_millis(SWEEP_MS),
            reap: reap::Settings::default(),
            claims: claim::SweepSettings::default(),
            logs: logs::Settings::default(),
        }
    }
}

impl Settings {
    /// Reads a steward's settings. `key`, `host`, `zone` and `listen` are required. Optional are
    /// `advertise`, `platform`, `peers`, `operator_keys`, `membership` with `interval_ms` and
    /// `silence_ms` (the heartbeat timeout), `poll_ms`, `observe_ms`, `sweep_ms`,
    /// `claim_retention_hours` and `logs`.
    ///
    /// ```
    /// use lagoon_net::steward;
    /// use lagoonline::check;
    /// let text = r#"{"host": "suva-1", "zone": "suva", "listen": "127.0.0.1:0", "key": "secret"}"#;
    /// let settings = check::parse(text, steward::Settings::read).unwrap();
    /// assert_eq!(settings.zone.as_str(), "suva");
    /// ```
    pub fn read(reader: &check::Reader<'_>) -> Settings {
        let defaults = Settings::default();
        let poll = reader.number("poll_ms", 500, 10..=60_000);
        let observe = reader.number("observe_ms", OBSERVE_MS, 10..=60_000);
        let sweep = reader.number("sweep_ms", SWEEP_MS, 10..=600_000);
        Settings {
            host: id::Host::from(reader.required("host")),
            zone: id::Zone::from(reader.required("zone")),
            listen: reader.required_parsed("listen", "IP:PORT", defaults.listen),
            advertise: reader.parsed("advertise", "IP:PORT"),
            key: wire::Key::new(reader.required("key").as_bytes()),
            platform: reader.child("platform", platform::Settings::read),
            peers: read_peers(reader),
            operator_keys: read_keys(reader),
            membership: reader.child("membership", read_membership).unwrap_or_default(),
            lease: defaults.lease,
            poll_interval: clock::Span::from_millis(poll),
            observe_interval: clock::Span::from_millis(observe),
            sweep_interval: clock::Span::from_millis(sweep),
            reap: defaults.reap,
            claims: read_claims(reader),
            logs: reader.child("logs", logs::Settings::read).unwrap_or_default(),
        }
    }
}

fn read_peers(reader: &check::Reader<'_>) -> Vec<net::SocketAddr> {
    let texts = reader.texts("peers");
    let mut peers = Vec::with_capacity(texts.len());
    for (index, text) in texts.iter().enumerate() {
        match text.parse() {
            Ok(address) => peers.push(address),
            Err(_) => reader.fault_item("peers", index, "must be IP:PORT"),
        }
    }
    peers
}

fn read_claims(reader: &check::Reader<'_>) -> claim::SweepSettings {
    let least = claim::MIN_RETENTION.as_secs() / 3_600;
    let hours = reader.number("claim_retention_hours", least, least..=8_760);
    let retention = clock::Span::from_secs(hours * 3_600);
    claim::SweepSettings { retention, ..claim::SweepSettings::default() }
}

fn read_keys(reader: &check::Reader<'_>) -> Vec<document::KeyHash> {
    let texts = reader.texts("operator_keys");
    let mut keys = Vec::with_capacity(texts.len());
    for (index, text) in texts.iter().enumerate() {
        match document::parse_key_hash(text) {
            Some(key) => keys.push(key),
            None => reader.fault_item("operator_keys", index, "must be 64 hex digits"),
        }
    }
    keys
}

fn read_membership(reader: &check::Reader<'_>) -> membership::Settings {
    let defaults = membership::Settings::default();
    let interval = reader.number("interval_ms", 500, 10..=60_000);
    let heartbeat_timeout = reader.number("silence_ms", 2_200, 20..=600_000);
    if heartbeat_timeout < 2 * interval {
        reader.fault("silence_ms", "is below two intervals");
    }
    membership::Settings {
        interval: clock::Span::from_millis(interval),
        heartbeat_timeout: clock::Span::from_millis(heartbeat_timeout),
        ..defaults
    }
}

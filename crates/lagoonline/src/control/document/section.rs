//! Sections: the original text, its version and the validated contents.

use std::collections;
use std::net;
use std::sync;

use super::body;
use crate::check;
use crate::clock;
use crate::id;
use crate::lifecycle::claim;
use crate::port::engine;

/// One version of a team's section.
#[derive(Clone, Debug, PartialEq)]
pub struct Section {
    /// Team that owns the section.
    pub team: id::Team,
    /// Version; 1 for the first one stored.
    pub version: id::Version,
    /// JSON text exactly as stored.
    pub text: sync::Arc<str>,
    /// Parsed contents.
    pub body: body::Body,
}

impl Section {
    /// Parses and validates a section's text on its own; [`check_document`](super::check_document)
    /// checks it against the other sections.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text, each with its JSON pointer within the section.
    ///
    /// ```
    /// use lagoonline::control::document::Section;
    /// use lagoonline::id::{Team, Version};
    /// let text = r#"{"models": {"tin-label": {"max_tokens": 4096}}}"#;
    /// let section = Section::parse(Team::from("labels"), Version(1), text).unwrap();
    /// assert_eq!(section.body.models["tin-label"].max_tokens, 4096);
    /// let faults = Section::parse(Team::from("labels"), Version(1), r#"{"model": {}}"#);
    /// assert_eq!(faults.unwrap_err().to_string(), "/model: unknown field");
    /// ```
    pub fn parse(team: id::Team, version: id::Version, text: &str) -> Result<Self, check::Faults> {
        let body = check::parse(text, read_body)?;
        Ok(Section { team, version, text: sync::Arc::from(text), body })
    }
}

/// Maximum length of a name, in bytes, which are ASCII characters.
const MAX_NAME_BYTES: usize = 64;

fn check_name(reader: &check::Reader<'_>, name: &str) {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
        reader.fault_here("a name has 1 to 64 letters, digits, '-', '_' or '.'");
    }
}

/// Reads a map from names to values and checks the names.
fn read_named<K, T, Read>(
    reader: &check::Reader<'_>,
    field: &str,
    read: Read,
) -> collections::BTreeMap<K, T>
where
    K: From<String> + Ord,
    Read: Fn(&check::Reader<'_>) -> T,
{
    let entries = reader.map(field, |name, reader| {
        check_name(reader, name);
        read(reader)
    });
    entries.into_iter().map(|(name, item)| (K::from(name), item)).collect()
}

fn read_body(reader: &check::Reader<'_>) -> body::Body {
    body::Body {
        customers: read_named(reader, "customers", read_customer),
        models: read_named(reader, "models", read_model),
        services: read_named(reader, "services", read_service),
        upstreams: read_named(reader, "upstreams", read_upstream),
        claims: read_named(reader, "claims", read_claim),
        policy: reader.child("policy", read_policy).unwrap_or_default(),
    }
}

/// Longest deadline that a section may allow, in milliseconds. A call must not be dispatched under
/// an idempotency key for longer than the key's record is retained, or it could run twice. These
/// records are the claims of [`lifecycle::claim`](claim), unrelated to [`body::Claim`].
const MAX_DEADLINE_MS: u64 = claim::MAX_DEADLINE.as_secs() * 1_000;

fn read_customer(reader: &check::Reader<'_>) -> body::Customer {
    let defaults = body::Customer::default();
    let default_ms = reader.number("default_deadline_ms", 60_000, 1..=MAX_DEADLINE_MS);
    let max_ms = reader.number("max_deadline_ms", 600_000, 1..=MAX_DEADLINE_MS);
    if default_ms > max_ms {
        reader.fault("default_deadline_ms", "is above max_deadline_ms");
    }
    body::Customer {
        keys: read_keys(reader, "keys"),
        models: reader.texts("models").into_iter().map(id::Model::from).collect(),
        services: reader.texts("services").into_iter().map(id::Service::from).collect(),
        weight: read_u32(reader, "weight", defaults.weight, 1, 1_000),
        requests_per_second: reader.float("requests_per_second", 50.0, 0.001..=1e6),
        tokens_per_second: reader.float("tokens_per_second", 4e6, 1.0..=1e12),
        default_deadline: clock::Span::from_millis(default_ms),
        max_deadline: clock::Span::from_millis(max_ms),
    }
}

fn read_u32(reader: &check::Reader<'_>, name: &str, default: u32, min: u32, max: u32) -> u32 {
    let number = reader.number(name, u64::from(default), u64::from(min)..=u64::from(max));
    u32::try_from(number).unwrap_or(max)
}

fn read_keys(reader: &check::Reader<'_>, name: &str) -> Vec<body::KeyHash> {
    let texts = reader.texts(name);
    let mut keys = Vec::with_capacity(texts.len());
    for (index, text) in texts.iter().enumerate() {
        match parse_key_hash(text) {
            Some(key) => keys.push(key),
            None => reader.fault_item(name, index, "must be 64 hex digits (SHA-256)"),
        }
    }
    keys
}

/// Parses a SHA-256 hash written as 64 hex digits.
///
/// ```
/// use lagoonline::control::document;
/// assert_eq!(document::parse_key_hash(&"0f".repeat(32)), Some([15; 32]));
/// assert_eq!(document::parse_key_hash("0f"), None);
/// ```
pub fn parse_key_hash(text: &str) -> Option<body::KeyHash> {
    let mut hash = body::KeyHash::default();
    if text.len() != 2 * hash.len() || !text.is_ascii() {
        return None;
    }
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(hash)
}

fn read_model(reader: &check::Reader<'_>) -> body::Model {
    let defaults = body::Model::default();
    body::Model {
        max_tokens: reader.number("max_tokens", defaults.max_tokens, 1..=100_000_000),
        bytes_per_token: reader.float("bytes_per_token", defaults.bytes_per_token, 0.1..=100.0),
        kv_bytes_per_token: reader.number(
            "kv_bytes_per_token",
            defaults.kv_bytes_per_token,
            1..=1 << 30,
        ),
        continues: reader.flag("continues", defaults.continues),
        weight_bytes: reader.number("weight_bytes", defaults.weight_bytes, 1..=1 << 50),
    }
}

fn read_service(reader: &check::Reader<'_>) -> body::Service {
    let defaults = body::Service::default();
    let methods = reader.texts("idempotent_methods");
    let is_given = reader.has("idempotent_methods");
    body::Service {
        idempotent_methods: if is_given { methods } else { defaults.idempotent_methods },
        max_answer_bytes: reader.number("max_answer_bytes", defaults.max_answer_bytes, 0..=1 << 30),
    }
}

fn read_upstream(reader: &check::Reader<'_>) -> body::Upstream {
    let defaults = body::Upstream::default();
    let models = reader.texts("models");
    let service = reader.text("service", "");
    if models.is_empty() == service.is_empty() {
        reader.fault_here("must name either models or a service");
    }
    let serves = if service.is_empty() {
        body::Serves::Models(models.into_iter().map(id::Model::from).collect())
    } else {
        body::Serves::Service(id::Service::from(service))
    };
    let address: Option<net::SocketAddr> = reader.parsed("address", "IP:PORT");
    if !reader.has("address") {
        reader.fault("address", "must be given");
    }
    body::Upstream {
        zone: id::Zone::from(reader.required("zone")),
        address: address.unwrap_or(defaults.address),
        serves,
        role: read_role(reader),
        kv_tokens: reader.number("kv_tokens", defaults.kv_tokens, 1..=1 << 40),
        prefill_rate: reader.float("prefill_rate", defaults.prefill_rate, 1.0..=1e9),
        slots: read_u32(reader, "slots", defaults.slots, 1, 65_536),
        checks_fence: reader.flag("checks_fence", defaults.checks_fence),
        accelerators: read_u32(reader, "accelerators", defaults.accelerators, 1, 4_096),
    }
}

fn read_role(reader: &check::Reader<'_>) -> engine::Role {
    match reader.text("role", "mixed").as_str() {
        "mixed" => engine::Role::Mixed,
        "short" => engine::Role::Short,
        "long" => engine::Role::Long,
        _ => {
            reader.fault("role", "must be mixed, short or long");
            engine::Role::Mixed
        }
    }
}

fn read_claim(reader: &check::Reader<'_>) -> body::Claim {
    body::Claim { engines: read_u32(reader, "engines", 0, 0, 100_000) }
}

fn read_policy(reader: &check::Reader<'_>) -> body::Policy {
    let defaults = body::Policy::default();
    let read_weights = |reader: &check::Reader<'_>| {
        body::Class::ALL.map(|class| reader.float(class.as_str(), 1.0, 0.0..=1_000.0))
    };
    body::Policy {
        team_keys: read_keys(reader, "team_keys"),
        first_token_weight: reader
            .child("first_token_weight", read_weights)
            .unwrap_or(defaults.first_token_weight),
        short_slowdown_weight: reader.float("short_slowdown_weight", 1.0, 0.0..=1_000.0),
        objectives: reader.list("objectives", read_objective),
    }
}

fn read_objective(reader: &check::Reader<'_>) -> body::Objective {
    body::Objective {
        name: sync::Arc::from(reader.required("name")),
        indicator: read_indicator(reader),
        bound: reader.float("bound", 0.0, 0.0..=1e9),
        target: reader.float("target", 0.95, 0.0..=0.999_999),
    }
}

fn read_indicator(reader: &check::Reader<'_>) -> body::Indicator {
    let class_name = reader.text("class", "short");
    let class = body::Class::ALL.into_iter().find(|class| class.as_str() == class_name);
    if class.is_none() {
        reader.fault("class", "must be short, medium, long or huge");
    }
    match reader.required("indicator").as_str() {
        "first_token" => body::Indicator::FirstToken(class.unwrap_or(body::Class::Short)),
        "between_tokens" => body::Indicator::BetweenTokens,
        "short_slowdown" => body::Indicator::ShortSlowdown,
        "known_outcome" => body::Indicator::KnownOutcome,
        // An empty or absent indicator has already been reported by `required`.
        "within_deadline" | "" => body::Indicator::WithinDeadline,
        _ => {
            reader.fault("indicator", "is not an indicator; see the page on the document");
            body::Indicator::WithinDeadline
        }
    }
}

//! Settings of an engine.

use std::net;

use lagoonline::check;

/// Settings of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the engine, as in the configuration document. The control address uses it too.
    pub name: String,
    /// Listen address; port 0 selects a free port.
    pub address: net::SocketAddr,
    /// Model that is loaded at the start.
    pub model: String,
    /// Number of engine seconds that pass in one real second.
    pub time_scale: f64,
    /// KV memory, in tokens.
    pub kv_tokens: u64,
    /// KV memory per token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Bytes of prompt text per token.
    pub bytes_per_token: f64,
    /// Maximum number of streams in the batch.
    pub slots: usize,
    /// Maximum number of accepted requests that wait for the batch.
    pub waiting_limit: usize,
    /// Tokens prefilled per engine second while no stream decodes.
    pub prefill_rate: f64,
    /// Maximum number of tokens prefilled in one step of the batch.
    pub prefill_chunk: u64,
    /// Duration of a decode step with one stream, in engine milliseconds.
    pub decode_ms: f64,
    /// Time that each further stream adds to a decode step, in engine milliseconds.
    pub decode_stream_ms: f64,
    /// Interval between load reports, in real milliseconds.
    pub load_lag_ms: u64,
    /// Delay before a cache event is published, in real milliseconds.
    pub cache_lag_ms: u64,
    /// Probability that a cache event is lost, 0 to 1.
    pub cache_loss: f64,
    /// Time for which a finished stream can be resumed, and by which an unfinished stream may
    /// exceed its deadline, in real milliseconds.
    pub resume_ms: u64,
    /// Whether commands with an old fencing number are refused.
    pub checks_fence: bool,
    /// Size of a model's weights, in bytes.
    pub weight_bytes: u64,
    /// Address of the weight store; without one, a model loads immediately.
    pub weight_store: Option<net::SocketAddr>,
    /// Rate of KV cache imports, in bytes per real second.
    pub import_rate: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            name: "engine".to_owned(),
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            model: "model".to_owned(),
            time_scale: 1.0,
            kv_tokens: 400_000,
            kv_bytes_per_token: 1_024,
            bytes_per_token: 4.0,
            slots: 32,
            waiting_limit: 16,
            prefill_rate: 20_000.0,
            prefill_chunk: 512,
            decode_ms: 8.0,
            decode_stream_ms: 0.2,
            load_lag_ms: 200,
            cache_lag_ms: 500,
            cache_loss: 0.01,
            resume_ms: 10_000,
            checks_fence: true,
            weight_bytes: 16 << 30,
            weight_store: None,
            import_rate: 1 << 30,
        }
    }
}

impl Settings {
    /// Reads the settings object of one engine.
    ///
    /// ```
    /// use lagoon_standin::engine::Settings;
    /// use lagoonline::check;
    /// let text = r#"{"address": "127.0.0.1:0", "slots": 4}"#;
    /// assert_eq!(check::parse(text, Settings::read).unwrap().slots, 4);
    /// ```
    pub fn read(reader: &check::Reader<'_>) -> Self {
        let defaults = Settings::default();
        let count = |name, default: usize, min| {
            let number = reader.number(name, default as u64, min..=65_536);
            usize::try_from(number).unwrap_or(default)
        };
        let millis = |name, default| reader.number(name, default, 0..=3_600_000);
        Settings {
            name: reader.text("name", &defaults.name),
            address: reader.required_parsed("address", "IP:PORT", defaults.address),
            model: reader.text("model", &defaults.model),
            time_scale: reader.float("time_scale", defaults.time_scale, 0.01..=10_000.0),
            kv_tokens: reader.number("kv_tokens", defaults.kv_tokens, 1..=1 << 40),
            kv_bytes_per_token: reader.number(
                "kv_bytes_per_token",
                defaults.kv_bytes_per_token,
                1..=1 << 30,
            ),
            bytes_per_token: reader.float("bytes_per_token", defaults.bytes_per_token, 0.1..=100.0),
            slots: count("slots", defaults.slots, 1),
            waiting_limit: count("waiting_limit", defaults.waiting_limit, 0),
            prefill_rate: reader.float("prefill_rate", defaults.prefill_rate, 1.0..=1e9),
            prefill_chunk: reader.number("prefill_chunk", defaults.prefill_chunk, 1..=1 << 20),
            decode_ms: reader.float("decode_ms", defaults.decode_ms, 0.001..=60_000.0),
            decode_stream_ms: reader.float(
                "decode_stream_ms",
                defaults.decode_stream_ms,
                0.0..=1e3,
            ),
            load_lag_ms: millis("load_lag_ms", defaults.load_lag_ms),
            cache_lag_ms: millis("cache_lag_ms", defaults.cache_lag_ms),
            cache_loss: reader.float("cache_loss", defaults.cache_loss, 0.0..=1.0),
            resume_ms: millis("resume_ms", defaults.resume_ms),
            checks_fence: reader.flag("checks_fence", defaults.checks_fence),
            weight_bytes: reader.number("weight_bytes", defaults.weight_bytes, 1..=1 << 50),
            weight_store: reader.parsed("weight_store", "IP:PORT"),
            import_rate: reader.number("import_rate", defaults.import_rate, 1..=1 << 50),
        }
    }

    /// Returns the number of tokens in a text of `bytes` bytes, at least 1.
    pub(crate) fn tokens(&self, bytes: usize) -> u64 {
        ((bytes as f64 / self.bytes_per_token).ceil() as u64).max(1)
    }
}

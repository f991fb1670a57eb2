//! Settings of an engine.

use std::net;

use lagoonline::check;

/// Settings of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name, as the document has it.
    pub name: String,
    /// Where it listens; port 0 takes a free one.
    pub address: net::SocketAddr,
    /// The model loaded at first.
    pub model: String,
    /// Engine seconds pass this many times faster than real ones.
    pub time_scale: f64,
    /// KV memory, in tokens.
    pub kv_tokens: u64,
    /// KV memory for each token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Bytes of prompt text for each token.
    pub bytes_per_token: f64,
    /// Streams in the batch at once.
    pub slots: usize,
    /// Requests accepted and not yet in the batch, at most.
    pub waiting_limit: usize,
    /// Tokens prefilled in an engine second when it does nothing else.
    pub prefill_rate: f64,
    /// Most tokens prefilled in one step of the batch.
    pub prefill_chunk: u64,
    /// Engine milliseconds of a decode step with one stream.
    pub decode_ms: f64,
    /// Engine milliseconds that each further stream adds to a decode step.
    pub decode_stream_ms: f64,
    /// Age of the load reports, in real milliseconds, at most.
    pub load_lag_ms: u64,
    /// Age at which a cache event is published, in real milliseconds.
    pub cache_lag_ms: u64,
    /// Share of cache events that are lost.
    pub cache_loss: f64,
    /// Real milliseconds for which a stream that nobody reads, or a finished one, is kept.
    pub resume_ms: u64,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// Weights of a model, in bytes.
    pub weight_bytes: u64,
    /// The weight store; without one, a model loads at once.
    pub weight_store: Option<net::SocketAddr>,
    /// Bytes of KV cache imported in a real second.
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
    /// Reads one engine's object of a settings text.
    ///
    /// ```
    /// use lagoon_standin::engine::Settings;
    /// use lagoonline::check;
    /// let text = r#"{"address": "127.0.0.1:0", "slots": 4}"#;
    /// assert_eq!(check::parse(text, Settings::read).unwrap().slots, 4);
    /// ```
    pub fn read(reader: &check::Reader<'_>) -> Self {
        let usual = Settings::default();
        let count = |name, default: usize, least| {
            let number = reader.number(name, default as u64, least..=65_536);
            usize::try_from(number).unwrap_or(default)
        };
        let span = |name, default| reader.number(name, default, 0..=3_600_000);
        Settings {
            name: reader.text("name", &usual.name),
            address: reader.required_parsed("address", "IP:PORT", usual.address),
            model: reader.text("model", &usual.model),
            time_scale: reader.float("time_scale", usual.time_scale, 0.01..=10_000.0),
            kv_tokens: reader.number("kv_tokens", usual.kv_tokens, 1..=1 << 40),
            kv_bytes_per_token: reader.number(
                "kv_bytes_per_token",
                usual.kv_bytes_per_token,
                1..=1 << 30,
            ),
            bytes_per_token: reader.float("bytes_per_token", usual.bytes_per_token, 0.1..=100.0),
            slots: count("slots", usual.slots, 1),
            waiting_limit: count("waiting_limit", usual.waiting_limit, 0),
            prefill_rate: reader.float("prefill_rate", usual.prefill_rate, 1.0..=1e9),
            prefill_chunk: reader.number("prefill_chunk", usual.prefill_chunk, 1..=1 << 20),
            decode_ms: reader.float("decode_ms", usual.decode_ms, 0.001..=60_000.0),
            decode_stream_ms: reader.float("decode_stream_ms", usual.decode_stream_ms, 0.0..=1e3),
            load_lag_ms: span("load_lag_ms", usual.load_lag_ms),
            cache_lag_ms: span("cache_lag_ms", usual.cache_lag_ms),
            cache_loss: reader.float("cache_loss", usual.cache_loss, 0.0..=1.0),
            resume_ms: span("resume_ms", usual.resume_ms),
            checks_fence: reader.flag("checks_fence", usual.checks_fence),
            weight_bytes: reader.number("weight_bytes", usual.weight_bytes, 1..=1 << 50),
            weight_store: reader.parsed("weight_store", "IP:PORT"),
            import_rate: reader.number("import_rate", usual.import_rate, 1..=1 << 50),
        }
    }

    /// Tokens of a text of `bytes` bytes.
    pub(crate) fn tokens(&self, bytes: usize) -> u64 {
        ((bytes as f64 / self.bytes_per_token).ceil() as u64).max(1)
    }
}

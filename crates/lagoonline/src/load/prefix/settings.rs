//! Bounds on the belief that a prefix is cached.

use crate::clock;

/// Bounds on the belief that an engine has a prefix cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How long a prefix counts as cached after its last use by a request of this host. Engines
    /// evict by memory only, so this bounds the effect of requests of other hosts, which this host
    /// does not see.
    pub max_age: clock::Span,
    /// Share of an engine's free memory that cached prefixes are assumed to fill before the least
    /// recently used one is evicted; the rest is for errors in the token estimate. With 0.9 and one
    /// host, hosts believed as many tokens cached as engines found; with twice as much room, 1.7
    /// times as many, at the same time to the first token (docs/measurements/prefixes.md).
    pub memory_share: f64,
    /// Share of the expected cached tokens below which an answer's count ends the belief. Expected
    /// tokens are estimated from bytes, and the estimate is off by a few percent.
    pub min_found_share: f64,
    /// Most prefixes remembered. One takes about 230 bytes, so the default takes up to 12 MB; from
    /// 57,345 on the hash table doubles.
    pub max_prefixes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            max_age: clock::Span::from_secs(300),
            memory_share: 0.9,
            min_found_share: 0.9,
            max_prefixes: 50_000,
        }
    }
}

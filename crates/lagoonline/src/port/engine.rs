//! Reports of a model engine, and the commands that it accepts apart from requests.

use serde::{Deserialize, Serialize};

use crate::id;

/// Load reported by an engine. It lags behind the actual load.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct LoadReport {
    /// Number of streams in the batch.
    pub running: u32,
    /// Number of requests accepted but not in the batch yet.
    pub waiting: u32,
    /// Number of prompt tokens accepted but not prefilled yet.
    pub prefill_tokens: u64,
    /// Free KV cache memory, in tokens.
    pub kv_free_tokens: u64,
    /// Total KV cache memory, in tokens.
    pub kv_tokens: u64,
    /// Prefill speed in tokens per second while the engine does nothing else.
    pub prefill_rate: f64,
    /// Number of this report within the incarnation.
    pub sequence: u64,
    /// The engine's incarnation.
    pub incarnation: u64,
}

/// A change of an engine's prefix cache. A gap in `sequence` means that events were lost.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Number of this event within the incarnation, starting at 1.
    pub sequence: u64,
    /// Hash of the prompt prefix, as computed by the code in `lagoon-net`.
    pub prefix: u64,
    /// Length of the prefix in tokens.
    pub tokens: u64,
    /// Whether the prefix was cached (true) or evicted (false).
    pub cached: bool,
}

/// The kind of a resource that an engine holds for an owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A running or finished stream with its KV cache.
    Stream,
    /// Memory reserved for a part of a prompt that a group of engines processes.
    Reservation,
    /// KV cache kept until another engine imports it.
    Export,
}

/// A resource that an engine holds, with its owner and expiry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holding {
    /// The attempt or reservation that it belongs to, as 32 hex digits.
    pub id: String,
    /// The entry host that it is held for, as `HOST/INCARNATION`.
    pub owner: String,
    /// The kind of resource.
    pub kind: Kind,
    /// Memory that it occupies, in bytes.
    pub bytes: u64,
    /// Milliseconds until the engine releases it on its own.
    pub expires_ms: u64,
}

/// A command to an engine. Repeating one has no further effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Command {
    /// Loads a model, with a model adapter and in the given version.
    Load {
        /// Name of the model.
        model: id::Model,
        /// Name of the model adapter; empty if there is none.
        #[serde(default)]
        adapter: String,
        /// Version of the model.
        #[serde(default)]
        version: String,
    },
    /// Changes the role of the engine.
    Role {
        /// The new role.
        role: Role,
    },
}

/// Which prompts an engine is used for.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prompts of every length.
    #[default]
    Mixed,
    /// Short prompts only.
    Short,
    /// Long prompts first.
    Long,
}

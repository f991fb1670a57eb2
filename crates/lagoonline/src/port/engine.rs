//! What a model engine says of itself, and what can be asked of it besides answers.

use serde::{Deserialize, Serialize};

use crate::id;

/// Load as an engine reports it; it lags.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Load {
    /// Streams in the batch.
    pub running: u32,
    /// Requests accepted and not yet in the batch.
    pub waiting: u32,
    /// Prompt tokens accepted and not yet prefilled.
    pub prefill_tokens: u64,
    /// Free KV memory, in tokens.
    pub kv_free_tokens: u64,
    /// All KV memory, in tokens.
    pub kv_tokens: u64,
    /// Tokens that the engine prefills in a second when it does nothing else.
    pub prefill_rate: f64,
    /// Counts the reports of this incarnation.
    pub sequence: u64,
    /// The engine's life.
    pub incarnation: u64,
}

/// One change of an engine's prefix cache. A jump in `sequence` means that events were lost.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Counts the events of this incarnation, from 1.
    pub sequence: u64,
    /// Hash of the prompt prefix, as the adapter computes it.
    pub prefix: u64,
    /// Its length in tokens.
    pub tokens: u64,
    /// True when cached, false when evicted.
    pub cached: bool,
}

/// What an engine holds for an owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A running or finished stream with its KV cache.
    Stream,
    /// Memory reserved for a span of a group.
    Reservation,
    /// KV cache kept for another engine to import.
    Export,
}

/// One thing that an engine holds, with its owner and expiry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holding {
    /// The attempt or reservation it belongs to, as 32 hex digits.
    pub id: String,
    /// `HOST/INCARNATION` of the entry host it is held for.
    pub owner: String,
    /// What it is.
    pub kind: Kind,
    /// Its memory, in bytes.
    pub bytes: u64,
    /// Milliseconds until the engine drops it by itself.
    pub expires_ms: u64,
}

/// An order to an engine; repeating one has no further effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Order {
    /// Load a model, with its adapter and version.
    Load {
        /// The model's name.
        model: id::Model,
        /// Its adapter, empty for none.
        #[serde(default)]
        adapter: String,
        /// Its version.
        #[serde(default)]
        version: String,
    },
    /// Change what the engine is used for.
    Role {
        /// The new role.
        role: Role,
    },
}

/// What an engine is used for.
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

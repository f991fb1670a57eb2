//! Fault switches of an engine.

use serde::{Deserialize, Serialize};

use crate::fault;

/// Fault switches of an engine; all off by default.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The process is down: connections are refused, and streams, KV memory and cache are lost.
    pub down: bool,
    /// Milliseconds for which the engine makes no progress, from the time this value changes.
    pub freeze_ms: u64,
    /// Factor by which steps take longer; 1 for none. Values below 0.001 count as 0.001.
    pub slow: f64,
    /// Number of chunks after which each response's connection is closed; 0 for no limit.
    pub cut_after_chunks: u64,
    /// Index of the chunk that carries the id of another attempt; 0 for none, so the first chunk
    /// cannot be selected.
    pub cross_chunks: u64,
    /// Index of the chunk that is sent twice; 0 for none, so the first chunk cannot be selected.
    pub repeat_chunks: u64,
    /// Refuses attempts and reservations with the code `full`.
    pub refuse_full: bool,
    /// Cancels get no response and have no effect.
    pub lose_cancel: bool,
    /// Delay before a request is handled, in milliseconds.
    pub delay_ms: u64,
    /// Probability that a request is dropped before it is handled, 0 to 1.
    pub loss: f64,
    /// Zones that are cut off: requests whose `Lagoon-Zone` header names one are held until the cut
    /// ends. After 30 s their connection is closed without a response. A stream that has already
    /// started pauses for as long as the cut lasts.
    pub cut: Vec<String>,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            down: false,
            freeze_ms: 0,
            slow: 1.0,
            cut_after_chunks: 0,
            cross_chunks: 0,
            repeat_chunks: 0,
            refuse_full: false,
            lose_cancel: false,
            delay_ms: 0,
            loss: 0.0,
            cut: Vec::new(),
        }
    }
}

impl Faults {
    /// Returns the faults that are applied before a request reaches the engine. Of these, `cut` and
    /// `down` also apply to a started stream, see `Delivery::next_part`.
    pub(crate) fn transport(&self) -> fault::Transport {
        let Faults { down, delay_ms, loss, .. } = *self;
        fault::Transport { down, delay_ms, loss, cut: self.cut.clone() }
    }
}

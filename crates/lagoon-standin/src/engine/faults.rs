//! Fault switches of an engine.

use serde::{Deserialize, Serialize};

use crate::fault;

/// Fault switches of an engine; all off by default.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// It is dead: connections are refused, and all that it held is gone.
    pub down: bool,
    /// Milliseconds for which it does nothing, from when the switch is set.
    pub freeze_ms: u64,
    /// Factor by which it is slower than its rates; 1 for none.
    pub slow: f64,
    /// Cuts each answer's connection after this many chunks; 0 for none.
    pub cut_after_chunks: u64,
    /// Names another attempt in the chunk of this number; 0 for none.
    pub cross_chunks: u64,
    /// Sends the chunk of this number twice; 0 for none.
    pub repeat_chunks: u64,
    /// Refuses everything as `full`.
    pub refuse_full: bool,
    /// Cancels get no answer and have no effect.
    pub lose_cancel: bool,
    /// Milliseconds before a request is looked at.
    pub delay_ms: u64,
    /// Share of requests lost, 0 to 1.
    pub loss: f64,
    /// Zones whose entry hosts get no answer.
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
    pub(crate) fn port(&self) -> fault::Port {
        let Faults { down, delay_ms, loss, .. } = *self;
        fault::Port { down, delay_ms, loss, cut: self.cut.clone() }
    }
}

//! Turns of tasks that share a thread.
//!
//! One read of a connection may bring thousands of chunks or events, none of which has to be waited
//! for. A task that works through them lets others run after some.

use ntex::http;
use ntex::util;

/// Units of work that a task does before others run.
const UNITS_PER_TURN: u32 = 32;

/// Units of work, such as chunks or events, in the current turn of a task.
///
/// The runtime's cooperative budget does not serve here: a `select!` that is out of budget polls
/// none of its branches, such as the one that waits for the caller to leave.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// let mut turn = lagoon_net::turn::Turn::default();
/// let chunks = ["a"; 100];
/// for _chunk in chunks {
///     turn.count().await;
/// }
/// # });
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn {
    units: u32,
}

impl Turn {
    /// Counts a unit of work, and lets other tasks run if it is the last one of the turn.
    pub async fn count(&mut self) {
        self.units += 1;
        if self.units >= UNITS_PER_TURN {
            self.units = 0;
            tokio::task::yield_now().await;
        }
    }
}

/// A body whose reader lets other tasks run.
#[derive(Debug)]
pub(crate) struct Body {
    payload: http::Payload,
    turn: Turn,
}

impl Body {
    /// Creates the body that arrives as `payload`.
    pub(crate) fn new(payload: http::Payload) -> Body {
        Body { payload, turn: Turn::default() }
    }

    /// Returns the next chunk; `None` at the end of the body.
    pub(crate) async fn chunk(&mut self) -> Option<Result<util::Bytes, http::error::PayloadError>> {
        self.turn.count().await;
        self.payload.recv().await
    }
}

//! Turns of the tasks that share a thread.
//!
//! One read of a connection may bring thousands of chunks or events, none of which has to be waited
//! for. A task that works through them lets others run after some.

/// Units of work that a task does before others run. A unit costs some microseconds.
const UNITS_PER_TURN: u32 = 32;

/// Units of work in the current turn of a task.
///
/// The runtime's cooperative budget does not serve here: a `select!` that is out of budget polls
/// none of its branches, such as the one that waits for the caller to leave.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Turn {
    units: u32,
}

impl Turn {
    /// Counts a unit of work, and lets other tasks run if it is the last one of the turn.
    pub(crate) async fn count(&mut self) {
        self.units += 1;
        if self.units >= UNITS_PER_TURN {
            self.units = 0;
            tokio::task::yield_now().await;
        }
    }
}

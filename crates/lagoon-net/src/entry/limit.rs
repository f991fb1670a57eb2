//! Ends a wait at the deadline, or when a drain is cut short.

use std::future;
use std::sync;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::outcome::{Outcome, Reason, Step};

use super::fault;
use super::state;

/// Why a wait ended without its result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stop {
    Deadline,
    Abort,
}

impl Stop {
    pub(crate) fn fault(self, step: Step, outcome: Outcome) -> fault::Fault {
        let reason = match self {
            Stop::Deadline => Reason::DeadlinePassed,
            Stop::Abort => Reason::Draining,
        };
        fault::new(reason, step, outcome)
    }
}

/// Waits for `work` until `deadline`.
pub(crate) async fn within<F>(
    state: &sync::Arc<state::State>,
    deadline: clock::Moment,
    work: F,
) -> Result<F::Output, Stop>
where
    F: future::Future,
{
    let mut phase = state.watch_phase();
    let left = deadline.since(state.clock.now());
    tokio::select! {
        biased;
        result = work => Ok(result),
        () = tokio::time::sleep(left) => Err(Stop::Deadline),
        _ended = async {
            phase.wait_for(|phase| *phase == state::Phase::Aborting).await.is_ok()
        } => {
            state.count_aborted();
            Err(Stop::Abort)
        }
    }
}

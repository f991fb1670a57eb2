//! Runs a future until the request's deadline or until a drain is cut short.

use std::future;
use std::sync;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::outcome::{Outcome, Reason, Step};

use super::fault;
use super::state;

/// Reason why a future was stopped before it completed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Interrupt {
    /// The request's deadline passed.
    Deadline,
    /// The drain was cut short.
    Abort,
}

impl Interrupt {
    /// Returns the error for a request that was interrupted during `step`.
    pub(crate) fn fault(self, step: Step, outcome: Outcome) -> fault::Fault {
        let reason = match self {
            Interrupt::Deadline => Reason::DeadlinePassed,
            Interrupt::Abort => Reason::Draining,
        };
        fault::new(reason, step, outcome)
    }
}

/// Runs `work` until it completes, `deadline` passes or the drain is aborted.
pub(crate) async fn within<F>(
    state: &sync::Arc<state::State>,
    deadline: clock::Moment,
    work: F,
) -> Result<F::Output, Interrupt>
where
    F: future::Future,
{
    let mut phase = state.watch_phase();
    let left = deadline.since(state.clock.now());
    tokio::select! {
        biased;
        result = work => Ok(result),
        () = tokio::time::sleep(left) => Err(Interrupt::Deadline),
        _ended = async {
            phase.wait_for(|phase| *phase == state::Phase::Aborting).await.is_ok()
        } => {
            state.count_aborted();
            Err(Interrupt::Abort)
        }
    }
}

//! Reconciliation of an engine's reported state with the state that the document specifies.
//!
//! Commands are level-triggered. No record is kept of the commands sent: each reconciliation
//! compares the engine's reported state with the document, so a lost command, a lost answer and a
//! late command of an earlier lease holder are all corrected by the same rule at the next
//! reconciliation.
//!
//! Limitation: an engine that does not check fencing numbers also executes the command of a lease
//! holder that was paused between its last check of the lease and the write, no matter how long the
//! pause was. The next holder detects the changed state at its next reconciliation and reverts it,
//! so the wrong state lasts for one reconciliation interval plus the execution of one command; each
//! case is reported as [`Decision::Repair`]. Commands that would terminate streams are not sent to
//! such engines while they have requests.

use serde::{Deserialize, Serialize};

use crate::control::document;
use crate::id;
use crate::port::engine;

/// State that an engine reports.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Actual {
    /// Incarnation of the engine process; reported, but not used for decisions.
    pub incarnation: u64,
    /// Model that it serves; empty if there is none.
    pub model: String,
    /// Adapter of the model; empty if there is none. Not compared, since documents specify none.
    pub adapter: String,
    /// Version of the model. Not compared, since documents specify none.
    pub version: String,
    /// Current role.
    pub role: engine::Role,
    /// Highest fencing number among the commands that it executed.
    pub fence: id::Fence,
    /// Whether it is loading a model.
    pub loading: bool,
}

/// Desired state of an engine according to the document.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Desired {
    /// Models that the engine may serve. Any of them is accepted; if it serves none of them, the
    /// first one is loaded.
    pub models: Vec<id::Model>,
    /// Desired role.
    pub role: engine::Role,
}

impl Desired {
    /// Returns the desired state of an upstream; `None` for a plain service.
    ///
    /// ```
    /// use lagoonline::control::{document, reconcile};
    /// let upstream = document::Upstream {
    ///     serves: document::Serves::Models(vec!["m".into()]),
    ///     ..Default::default()
    /// };
    /// assert_eq!(reconcile::Desired::of(&upstream).unwrap().models.len(), 1);
    /// ```
    pub fn of(upstream: &document::Upstream) -> Option<Desired> {
        match &upstream.serves {
            document::Serves::Models(models) => {
                Some(Desired { models: models.clone(), role: upstream.role })
            }
            document::Serves::Service(_) => None,
        }
    }
}

/// Lease, engine capability and load that a decision depends on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Context {
    /// Fencing number of the lease under which commands are sent.
    pub fence: id::Fence,
    /// Whether the engine rejects outdated fencing numbers.
    pub checks_fence: bool,
    /// Number of requests that the engine is serving.
    pub in_flight: u32,
}

/// Result of one reconciliation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The engine is in the desired state.
    Nothing,
    /// No command now: the engine is loading, or has requests that a command would interrupt.
    Wait,
    /// The engine has seen a higher fencing number: another steward holds the lease.
    Superseded,
    /// Send this command.
    Send(engine::Command),
    /// Send this command to an engine that ignores fencing numbers and has already executed a
    /// command under the current lease, but is not in the desired state. Either it has executed a
    /// late command of an earlier lease holder since, or the document has changed.
    Repair(engine::Command),
}

/// Compares the desired with the actual state and returns what to do.
///
/// ```
/// use lagoonline::control::reconcile::{decide, Actual, Decision, Context, Desired};
/// use lagoonline::port::engine::{Command, Role};
/// let desired = Desired { models: vec!["m".into()], role: Role::Mixed };
/// let Decision::Send(Command::Load { model, .. }) =
///     decide(&desired, &Actual::default(), &Context::default())
/// else {
///     panic!("no command");
/// };
/// assert_eq!(model.as_str(), "m");
/// ```
pub fn decide(desired: &Desired, actual: &Actual, context: &Context) -> Decision {
    if actual.fence > context.fence {
        return Decision::Superseded;
    }
    if actual.loading {
        return Decision::Wait;
    }
    let Some(command) = required_command(desired, actual) else { return Decision::Nothing };
    let is_load = matches!(command, engine::Command::Load { .. });
    // Loading a model terminates the engine's streams. An engine that ignores fencing numbers
    // cannot tell a late load command from a valid one, so none is sent while it has requests.
    if is_load && context.in_flight > 0 && !context.checks_fence {
        return Decision::Wait;
    }
    let executed_current = actual.fence == context.fence && context.fence > id::Fence(0);
    if executed_current && !context.checks_fence {
        return Decision::Repair(command);
    }
    Decision::Send(command)
}

/// Returns the command that is needed to reach the desired state, if any.
fn required_command(desired: &Desired, actual: &Actual) -> Option<engine::Command> {
    let has_model = desired.models.iter().any(|model| model.as_str() == actual.model);
    if !has_model {
        let model = desired.models.first()?.clone();
        // Documents specify neither adapters nor versions.
        let (adapter, version) = (String::new(), String::new());
        return Some(engine::Command::Load { model, adapter, version });
    }
    (desired.role != actual.role).then_some(engine::Command::Role { role: desired.role })
}

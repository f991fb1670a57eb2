//! What to order of an engine: reconciliation of what is wanted with what it says it does.
//!
//! Orders are level triggered. Nothing is remembered of what was sent: each look compares the
//! engine's own state with the document, so a lost order, a lost answer and a late order of an
//! earlier holder are all repaired by the same rule at the next look.
//!
//! What cannot be guaranteed: an engine that ignores fencing numbers obeys a holder that was
//! paused between its last check and the write, for as long as that pause was. The next holder
//! finds the state changed at its next look and orders it back, so the wrong state lasts one look
//! and one order; each case is counted as [`Decision::Repair`]. Orders that would end streams are
//! kept off such engines while they serve.

use serde::{Deserialize, Serialize};

use crate::control::document;
use crate::id;
use crate::port::engine;

/// State that an engine reports of its orders.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Actual {
    /// The engine's life.
    pub incarnation: u64,
    /// Model that it serves; empty for none.
    pub model: String,
    /// Its adapter.
    pub adapter: String,
    /// Its version.
    pub version: String,
    /// What it is used for.
    pub role: engine::Role,
    /// Highest fencing number that it obeyed.
    pub fence: id::Fence,
    /// Whether it is loading.
    pub loading: bool,
}

/// State that the document wants.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Wanted {
    /// Models that the engine may serve; any of them will do, the first is ordered.
    pub models: Vec<id::Model>,
    /// What it is used for.
    pub role: engine::Role,
}

impl Wanted {
    /// What the document wants of an upstream; `None` for a plain service.
    ///
    /// ```
    /// use lagoonline::control::{document, order};
    /// let upstream = document::Upstream {
    ///     serves: document::Serves::Models(vec!["m".into()]),
    ///     ..Default::default()
    /// };
    /// assert_eq!(order::Wanted::of(&upstream).unwrap().models.len(), 1);
    /// ```
    pub fn of(upstream: &document::Upstream) -> Option<Wanted> {
        match &upstream.serves {
            document::Serves::Models(models) => {
                Some(Wanted { models: models.clone(), role: upstream.role })
            }
            document::Serves::Service(_) => None,
        }
    }
}

/// What else bears on an order.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Situation {
    /// Number of the lease that orders are sent under.
    pub fence: id::Fence,
    /// Whether the engine refuses old fencing numbers.
    pub checks_fence: bool,
    /// Requests that it has.
    pub busy: u32,
}

/// What to do about one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is as wanted.
    Nothing,
    /// It is loading, or serves and must not be disturbed.
    Wait,
    /// A higher fencing number has been there: another holds the lease.
    Superseded,
    /// Send this.
    Send(engine::Command),
    /// Send this; the engine obeyed an order that did not come from the lease that it names.
    Repair(engine::Command),
}

/// Decides on one look at an engine.
///
/// ```
/// use lagoonline::control::order::{decide, Actual, Decision, Situation, Wanted};
/// use lagoonline::port::engine::{Order, Role};
/// let wanted = Wanted { models: vec!["m".into()], role: Role::Mixed };
/// let Decision::Send(Order::Load { model, .. }) =
///     decide(&wanted, &Actual::default(), &Situation::default())
/// else {
///     panic!("no order");
/// };
/// assert_eq!(model.as_str(), "m");
/// ```
pub fn decide(wanted: &Wanted, actual: &Actual, situation: &Situation) -> Decision {
    if actual.fence > situation.fence {
        return Decision::Superseded;
    }
    if actual.loading {
        return Decision::Wait;
    }
    let Some(order) = missing(wanted, actual) else { return Decision::Nothing };
    let is_load = matches!(order, engine::Command::Load { .. });
    // A load ends what the engine serves. Where fencing numbers are ignored, a late one could not
    // be told from a good one, so none is sent while there is something to lose.
    if is_load && situation.busy > 0 && !situation.checks_fence {
        return Decision::Wait;
    }
    let obeyed_own = actual.fence == situation.fence && situation.fence > id::Fence(0);
    if obeyed_own && !situation.checks_fence {
        return Decision::Repair(order);
    }
    Decision::Send(order)
}

fn missing(wanted: &Wanted, actual: &Actual) -> Option<engine::Command> {
    let serves = wanted.models.iter().any(|model| model.as_str() == actual.model);
    if !serves {
        let model = wanted.models.first()?.clone();
        let (adapter, version) = (String::new(), String::new());
        return Some(engine::Command::Load { model, adapter, version });
    }
    (wanted.role != actual.role).then_some(engine::Command::Role { role: wanted.role })
}

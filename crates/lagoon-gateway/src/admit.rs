//! What lets a request in: a desired state, a route, a customer, and a key that can be trusted now.

use std::sync;

use lagoonline::clock;
use lagoonline::outcome::{Reason, Step};
use lagoonline::routing;
use rand::Rng;

use crate::answer;
use crate::forward;
use crate::state;

/// Age of the confirmation up to which a name that is unknown is told as unknown; beyond it the
/// caller is asked to come back.
const FRESH: clock::Span = clock::Span::from_millis(4_000);

/// Lets a request in, or tells why not.
///
/// # Errors
///
/// No desired state yet, no such route, no customer with its key, or a key that cannot be trusted now.
pub(crate) fn admit(
    state: &sync::Arc<state::State>,
    request: forward::Request,
) -> Result<forward::Admitted, answer::Fault> {
    let Some(table) = state.table() else {
        let detail = "no desired state yet";
        let fault = answer::Fault::not_run(Reason::PlatformDown, Step::Admit, detail);
        return Err(fault.after(forward::COME_BACK));
    };
    let age = state.confirmation_age();
    let Some(route) = table.route(&request.host, &request.path) else {
        return Err(unknown(state, age, Reason::UnknownName, "no such route"));
    };
    let key = request.call.key.as_deref();
    let customer = match table.customer(route, key) {
        routing::KeyMatch::Open => None,
        routing::KeyMatch::Customer(customer) => Some(customer.name.clone()),
        routing::KeyMatch::Unknown => {
            return Err(unknown(state, age, Reason::Unauthenticated, "no customer holds this key"));
        }
    };
    if customer.is_some() {
        check_key_age(state)?;
    }
    let wait = request.call.time_left.unwrap_or(route.timeout).min(route.timeout);
    Ok(forward::Admitted {
        state: state.clone(),
        service: route.service(rand::rng().random()).clone(),
        customer,
        deadline: request.arrived + wait,
        route: route.clone(),
        request,
        fingerprint: sync::OnceLock::new(),
    })
}

/// A name that this host does not know: told as unknown only while the host is in touch.
fn unknown(
    state: &state::State,
    age: Option<clock::Span>,
    reason: Reason,
    detail: &str,
) -> answer::Fault {
    if age.is_some_and(|age| age <= FRESH) {
        return answer::Fault::not_run(reason, Step::Authenticate, detail);
    }
    let detail = format!("{detail}, and the desired state was last confirmed {age:?} ago");
    answer::Fault::not_run(Reason::PlatformDown, Step::Authenticate, detail).after(come_back(state))
}

/// Whether keys can be trusted: one that was taken away is known within the bound.
///
/// # Errors
///
/// The desired state was last confirmed too long ago.
pub(crate) fn check_key_age(state: &state::State) -> Result<(), answer::Fault> {
    let age = state.confirmation_age();
    if state.trusts_keys(age) {
        return Ok(());
    }
    let detail = format!("keys were last confirmed {age:?} ago");
    Err(answer::Fault::not_run(Reason::PlatformDown, Step::Authenticate, detail)
        .after(come_back(state)))
}

/// When a caller may come back whom this host turns away because the platform is out of its reach.
///
/// Load pattern: the platform turns some hosts away and serves the others. Their callers wait
/// before they go to another host, which could have answered at once, and are late. While others
/// say that they can, callers are sent on at once.
fn come_back(state: &state::State) -> clock::Span {
    if state.is_trusted_elsewhere() { forward::ELSEWHERE } else { forward::COME_BACK }
}

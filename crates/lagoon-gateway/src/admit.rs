//! Admission of a request: finds its route and customer in the desired state and checks that the
//! customer's key can still be trusted.

use std::sync;
use std::sync::atomic;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::outcome::{Reason, Step};
use lagoonline::routing;
use rand::Rng;

use crate::answer;
use crate::forward;
use crate::retries;
use crate::state;

/// Maximum age of the desired state's last confirmation at which an unknown route or key is
/// reported as unknown. With an older confirmation the name may have been added since, so the
/// caller is told to retry.
const MAX_CONFIRMATION_AGE: clock::Span = clock::Span::from_millis(4_000);

/// Admits a request: resolves its route, customer, service and deadline.
///
/// # Errors
///
/// No desired state has been read yet, no route matches, no customer has the key, or keys cannot be
/// trusted now.
pub(crate) fn admit(
    state: &sync::Arc<state::State>,
    request: forward::Request,
) -> Result<forward::Admitted, answer::Fault> {
    let Some(table) = state.routing_table() else {
        let detail = "no desired state yet";
        let fault = answer::Fault::not_run(Reason::PlatformDown, Step::Admit, detail);
        return Err(fault.with_retry_after(forward::RETRY_AFTER));
    };
    let age = state.confirmation_age();
    let Some(route) = table.route(&request.host, &request.path) else {
        return Err(unknown_route_or_key(state, age, Reason::UnknownName, "no such route"));
    };
    let key = request.head.key.as_deref();
    let customer = match table.customer(route, key) {
        routing::KeyMatch::Open => None,
        routing::KeyMatch::Customer(customer) => Some(customer),
        routing::KeyMatch::Unknown => {
            return Err(unknown_route_or_key(
                state,
                age,
                Reason::Unauthenticated,
                "no customer holds this key",
            ));
        }
    };
    if customer.is_some() {
        check_key_age(state)?;
    }
    let service = route.service(rand::rng().random()).clone();
    state.record_request(&service);
    let wait = request.head.time_left.unwrap_or(route.timeout).min(route.timeout);
    Ok(forward::Admitted {
        state: state.clone(),
        service,
        urgency: route.urgency(customer.as_deref()),
        homes: routing::Homes::of(route, customer.as_deref()),
        customer: customer.map(|customer| customer.name.clone()),
        deadline: request.arrived + wait,
        route: route.clone(),
        request,
        fingerprint: sync::OnceLock::new(),
        was_at_crash: atomic::AtomicBool::new(false),
        sends: retries::Sends::default(),
    })
}

/// Returns the fault for a route or key that is not in this host's desired state. It is reported as
/// unknown only if the desired state was confirmed recently, otherwise as a platform outage.
fn unknown_route_or_key(
    state: &state::State,
    age: Option<clock::Span>,
    reason: Reason,
    detail: &str,
) -> answer::Fault {
    if age.is_some_and(|age| age <= MAX_CONFIRMATION_AGE) {
        return answer::Fault::not_run(reason, Step::Authenticate, detail);
    }
    let detail = format!("{detail}, and the desired state was last confirmed {age:?} ago");
    answer::Fault::not_run(Reason::PlatformDown, Step::Authenticate, detail)
        .with_retry_after(retry_time(state))
}

/// Checks that this host may accept keys: its desired state must have been confirmed recently
/// enough for a revoked key to be refused within the configured bound.
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
        .with_retry_after(retry_time(state)))
}

/// Returns the retry time for a caller that is refused because this host cannot reach the platform, or
/// because the platform was restored just now and does not confirm keys yet.
///
/// The platform may refuse some hosts, or be unreachable for them, and serve the others. A caller
/// that waits here before it tries another host, which could have answered at once, misses its
/// deadline. So the retry time is short while another host reports that it can trust keys.
fn retry_time(state: &state::State) -> clock::Span {
    if state.peer_trusts_keys() {
        return forward::RETRY_ELSEWHERE_AFTER;
    }
    let unsettled = state.era.get().settled_at().since(state.clock.now());
    unsettled.max(forward::RETRY_AFTER)
}

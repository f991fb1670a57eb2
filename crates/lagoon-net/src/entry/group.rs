//! Reservations for a prompt that does not fit on a single engine.
//!
//! Guards against a deadlock: two such prompts could each reserve half of the memory they need, and
//! neither would start. Members are reserved in the order of the placement, which is that of the
//! fleet, and all or nothing: the first refusal drops the reservations made so far, and each is
//! released when dropped. Their expiry shortly after the deadline covers a host that dies in
//! between.

use std::sync;

use lagoonline::clock;
use lagoonline::id;
use ntex::client;

use super::call;
use super::cancel;
use super::state;
use crate::engine;

/// Time that a reservation outlives its request's deadline.
const EXPIRY_MARGIN: clock::Span = clock::Span::from_secs(5);

/// Reservations on all engines of a group, released when dropped.
#[derive(Debug)]
pub(crate) struct Group {
    /// Value of the `Lagoon-Group` header.
    pub(crate) header: String,
    _guards: Vec<cancel::Guard>,
}

/// An engine of a group and the number of tokens that it holds.
pub(crate) type Member<'a> = (&'a id::Upstream, u64);

/// Reserves memory on every member or on none.
pub(crate) async fn reserve(
    state: &sync::Arc<state::State>,
    client: &client::Client,
    members: &[Member<'_>],
    time_left: clock::Span,
) -> Result<Group, engine::Failure> {
    let view = state.view();
    let mut parts = Vec::with_capacity(members.len());
    let mut guards = Vec::with_capacity(members.len());
    for (upstream, tokens) in members {
        let Some(listed) = view.fleet.upstream(upstream) else {
            return Err(engine::Failure::Unsent(format!("{upstream} is not in the fleet")));
        };
        let (id, address) = (call::random_id(), listed.entry.address);
        let (owner, ttl) = (state.owner.clone(), time_left + EXPIRY_MARGIN);
        let reservation = engine::Reservation { id, owner, tokens: *tokens, ttl };
        // Created before the request is sent, so that a reservation whose response is lost is
        // released too.
        guards.push(cancel::Guard::new(state, address, cancel::Holding::Reservation(id)));
        engine::reserve(client, address, &state.settings.zone, &reservation).await?;
        parts.push(format!("{id}@{address}"));
    }
    Ok(Group { header: parts.join(","), _guards: guards })
}

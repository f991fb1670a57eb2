//! Reservations of engine memory for a prompt larger than one engine.
//!
//! All or nothing, in the order of the upstreams' names, so that two long prompts cannot each hold
//! half of what they need. A reservation is short and renewed while its request runs: a host that
//! dies leaves it to lapse within the bound on unused memory. At the end it is released; a release
//! that is not answered is made again until the reservation has lapsed by itself.

use std::sync;
use std::time;

use lagoon_platform::{engine, head};
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::routing;

use crate::event;
use crate::exchange;
use crate::state;

/// Longest time for an order to be answered.
const ORDER: time::Duration = time::Duration::from_millis(600);
/// Longest time for a connection.
const CONNECT: time::Duration = time::Duration::from_millis(300);
/// Part of the bound on unused memory that a reservation lasts: what is lost with its host is back
/// before the bound.
const HOLD_SHARE: f64 = 0.85;
/// Renewals within one hold: two may be lost.
const RENEWALS: u32 = 3;
/// Longest answer to an order.
const ANSWER: usize = 64 << 10;

/// One reservation.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    /// Its name at the engine.
    pub(crate) id: String,
    entry: routing::Entry,
    tokens: u64,
}

/// Reservations that are held; dropping them releases them.
#[derive(Debug)]
pub(crate) struct Held {
    state: sync::Arc<state::State>,
    tickets: Vec<Ticket>,
    alive: sync::Arc<()>,
}

impl Held {
    /// The ticket on the engine `upstream`.
    pub(crate) fn on(&self, upstream: &id::Upstream) -> Option<&str> {
        let found = self.tickets.iter().find(|ticket| ticket.entry.upstream == *upstream);
        found.map(|ticket| ticket.id.as_str())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        for ticket in self.tickets.drain(..) {
            drop(ntex::rt::spawn(release(self.state.clone(), ticket)));
        }
    }
}

/// An engine did not reserve memory.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{upstream}: no reservation: {detail}")]
pub(crate) struct Refusal {
    pub(crate) upstream: id::Upstream,
    /// Whether the engine answered at all.
    pub(crate) reached: bool,
    pub(crate) detail: String,
}

fn hold(state: &state::State) -> time::Duration {
    let bounds = &state.settings.node.bounds;
    bounds.free.mul_f64(HOLD_SHARE).min(bounds.hold)
}

/// Reserves memory on each of `wanted`.
///
/// # Errors
///
/// The engine that did not grant it; what was granted is released.
pub(crate) async fn take(
    state: &sync::Arc<state::State>,
    name: &str,
    wanted: &[(routing::Entry, u64)],
) -> Result<Held, Refusal> {
    let mut ordered = wanted.to_vec();
    ordered.sort_by(|a, b| a.0.upstream.cmp(&b.0.upstream));
    let mut held = Held { state: state.clone(), tickets: Vec::new(), alive: sync::Arc::new(()) };
    for (index, (entry, tokens)) in ordered.into_iter().enumerate() {
        let ticket = Ticket { id: format!("{name}-{index}"), entry, tokens };
        let body = engine::reserve(&ticket.id, tokens, hold(state));
        // An order without an answer may be carried out: its ticket is released with the others.
        held.tickets.push(ticket.clone());
        state.metrics.reservations.inc();
        let status = order(&ticket.entry, body).await;
        if !matches!(status, Ok(200)) {
            let reached = status.is_ok();
            let detail = status.map_or_else(|error| error.to_string(), |code| code.to_string());
            return Err(Refusal { upstream: ticket.entry.upstream, reached, detail });
        }
    }
    let alive = sync::Arc::downgrade(&held.alive);
    drop(ntex::rt::spawn(renew(state.clone(), held.tickets.clone(), alive)));
    Ok(held)
}

async fn renew(state: sync::Arc<state::State>, tickets: Vec<Ticket>, alive: sync::Weak<()>) {
    loop {
        tokio::time::sleep(hold(&state) / RENEWALS).await;
        for ticket in &tickets {
            if alive.upgrade().is_none() {
                return;
            }
            let body = engine::reserve(&ticket.id, ticket.tokens, hold(&state));
            match order(&ticket.entry, body).await {
                Ok(200) => {}
                status => event::Line::new("renewal_failed")
                    .text("reservation", &ticket.id)
                    .text("upstream", &ticket.entry.upstream)
                    .text("status", format!("{status:?}"))
                    .warn(),
            }
        }
    }
}

async fn release(state: sync::Arc<state::State>, ticket: Ticket) {
    let lapsed = state.clock.now() + hold(&state);
    loop {
        let status = order(&ticket.entry, engine::release(&ticket.id)).await;
        let released = matches!(status, Ok(200 | 202 | 404 | 409 | head::MISDIRECTED));
        if released || state.clock.now() >= lapsed {
            if !released {
                event::Line::new("release_failed")
                    .text("reservation", &ticket.id)
                    .text("upstream", &ticket.entry.upstream)
                    .text("status", format!("{status:?}"))
                    .warn();
            }
            state.metrics.reservations.dec();
            return;
        }
        tokio::time::sleep(ORDER / 3).await;
    }
}

async fn order(entry: &routing::Entry, body: Vec<u8>) -> Result<u16, exchange::Failure> {
    let request = hyper::Request::post(engine::ORDER_PATH)
        .header("host", entry.address.to_string())
        .header("content-type", "application/json")
        .body(exchange::Payload::new(hyper::body::Bytes::from(body)))
        .map_err(|error| exchange::Failure::Unsent(error.to_string()))?;
    let call = exchange::call(entry.address, request, CONNECT, ORDER, ANSWER);
    call.await.map(|(status, _)| status)
}

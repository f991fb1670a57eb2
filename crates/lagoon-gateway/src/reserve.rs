//! Reservations of engine memory for long prompts.
//!
//! Reservations of one prompt are made all or nothing, in the order of the upstreams' names, so
//! that two long prompts cannot each hold half of what they need. A reservation is short and is
//! renewed while its request runs, so if the host dies, it expires within the bound on unused
//! memory. When the request ends, the reservation is released; an unanswered release is retried
//! until the reservation has expired by itself.
//!
//! A request may be over at the engine that answers it without the host knowing: the engine is
//! unreachable, or its answer is lost. If the host renewed until its own timeout, the helping
//! engines would hold memory beyond the bound on unused memory. So each round of renewals begins
//! with the answering engine, and while the request shows no activity, only reservations that an
//! engine reports as used are renewed.

use std::sync;
use std::time;

use lagoon_platform::{engine, head};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::routing;

use crate::event;
use crate::exchange;
use crate::link;
use crate::report;
use crate::state;

/// Timeout for an order's answer.
const ORDER: time::Duration = time::Duration::from_millis(600);
/// Timeout for connecting to an engine.
const CONNECT: time::Duration = time::Duration::from_millis(300);
/// Share of the bound on unused memory for which a reservation is held, so that the memory of a
/// dead host is free again before the bound.
const HOLD_SHARE: f64 = 0.85;
/// Renewals within one hold time: two may be lost.
const RENEWALS: u32 = 3;
/// Pause before a round of renewals is repeated because the answering engine did not respond.
const AGAIN: time::Duration = time::Duration::from_millis(150);
/// Time for which an unanswered order may still be carried out.
const LATE: time::Duration = time::Duration::from_secs(12);
/// Releases within one hold time of a reservation that a late order may have recreated. It would
/// expire by itself within the bound, but its memory should not lie idle until then.
const RELEASES: u32 = 3;
/// Maximum size of an order's answer, in bytes.
const ANSWER: usize = 64 << 10;

/// One reservation on one engine.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    /// Id of the reservation at the engine.
    pub(crate) id: String,
    entry: routing::Entry,
    tokens: u64,
    /// When a reserve order was last sent that is still unanswered.
    unsure: sync::Arc<sync::Mutex<Option<clock::Moment>>>,
}

impl Ticket {
    /// Creates or renews the reservation. Returns the status of the engine's answer.
    async fn reserve(&self, state: &state::State) -> Result<u16, exchange::Failure> {
        *state::lock(&self.unsure) = Some(state.clock.now());
        let status =
            order(&self.entry, engine::reserve(&self.id, self.tokens, hold(state))).await?;
        *state::lock(&self.unsure) = None;
        Ok(status)
    }

    /// Whether an unanswered reserve order may still be carried out.
    fn is_unsure(&self, now: clock::Moment) -> bool {
        state::lock(&self.unsure).is_some_and(|sent| now.since(sent) <= LATE)
    }
}

/// Time until which the request counts as active although its engine is silent.
type Quiet = sync::Mutex<clock::Moment>;

/// The reservations of one request; dropping them releases them.
#[derive(Debug)]
pub(crate) struct Held {
    state: sync::Arc<state::State>,
    tickets: Vec<Ticket>,
    quiet_until: sync::Arc<Quiet>,
}

impl Held {
    /// Records activity of the request's engine: bytes of the answer arrived.
    pub(crate) fn heard(&self) {
        *state::lock(&self.quiet_until) = self.state.clock.now() + spare(&self.state);
    }

    /// Returns the id of the reservation on `upstream`.
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

/// Returns how long after a request has ended its memory may still be renewed.
fn spare(state: &state::State) -> time::Duration {
    state.settings.node.bounds.free.saturating_sub(hold(state))
}

/// Reserves memory on each of `wanted` for a prompt that `first` answers and whose first token is
/// expected after `expected`.
///
/// # Errors
///
/// The engine that did not grant its reservation. Those already granted are released.
pub(crate) async fn take(
    state: &sync::Arc<state::State>,
    name: &str,
    first: &routing::Entry,
    wanted: &[(routing::Entry, u64)],
    expected: clock::Span,
) -> Result<Held, Refusal> {
    let mut ordered = wanted.to_vec();
    ordered.sort_by(|a, b| a.0.upstream.cmp(&b.0.upstream));
    let quiet_until = state.clock.now() + expected + spare(state);
    let quiet_until = sync::Arc::new(sync::Mutex::new(quiet_until));
    let mut held = Held { state: state.clone(), tickets: Vec::new(), quiet_until };
    for (index, (entry, tokens)) in ordered.into_iter().enumerate() {
        let id = format!("{name}-{index}");
        let ticket = Ticket { id, entry, tokens, unsure: sync::Arc::default() };
        // Added before the order is sent: an unanswered order may be carried out, so its
        // reservation has to be released as well.
        held.tickets.push(ticket.clone());
        state.metrics.reservations.inc();
        let status = ticket.reserve(state).await;
        if !matches!(status, Ok(200)) {
            let reached = status.is_ok();
            let detail = status.map_or_else(|error| error.to_string(), |code| code.to_string());
            return Err(Refusal { upstream: ticket.entry.upstream, reached, detail });
        }
    }
    let quiet_until = sync::Arc::downgrade(&held.quiet_until);
    let mut tickets = held.tickets.clone();
    tickets.sort_by_key(|ticket| ticket.entry.upstream != first.upstream);
    drop(ntex::rt::spawn(renew(state.clone(), first.clone(), tickets, quiet_until)));
    Ok(held)
}

/// Renews `tickets`, the one of the engine `first` before the others, while the reservations are
/// held.
async fn renew(
    state: sync::Arc<state::State>,
    first: routing::Entry,
    tickets: Vec<Ticket>,
    held: sync::Weak<Quiet>,
) {
    let mut pause = hold(&state) / RENEWALS;
    loop {
        tokio::time::sleep(pause).await;
        if held.strong_count() == 0 {
            return;
        }
        pause = match renew_all(&state, &first, &tickets, &held).await {
            Ok(()) => hold(&state) / RENEWALS,
            Err(error) => {
                event::Line::new("not_renewed")
                    .text("upstream", &first.upstream)
                    .text("error", error)
                    .warn();
                AGAIN
            }
        };
    }
}

/// Runs one round of renewals.
///
/// # Errors
///
/// The engine `first` did not respond, or a reservation is no longer used. The rest was not
/// renewed.
async fn renew_all(
    state: &state::State,
    first: &routing::Entry,
    tickets: &[Ticket],
    held: &sync::Weak<Quiet>,
) -> Result<(), String> {
    if tickets.first().is_none_or(|ticket| ticket.entry.upstream != first.upstream) {
        let called = link::connect(first.address, CONNECT).await;
        called.map_err(|error| error.to_string())?;
    }
    for ticket in tickets {
        let Some(quiet_until) = held.upgrade().map(|quiet| *state::lock(&quiet)) else {
            return Ok(());
        };
        if state.clock.now() > quiet_until && !is_used(ticket).await? {
            return Err(format!("{}: no request uses {}", ticket.entry.upstream, ticket.id));
        }
        let status = ticket.reserve(state).await;
        if matches!(status, Ok(200)) {
            continue;
        }
        event::Line::new("renewal_failed")
            .text("reservation", &ticket.id)
            .text("upstream", &ticket.entry.upstream)
            .text("status", format!("{status:?}"))
            .warn();
        if ticket.entry.upstream == first.upstream {
            status.map_err(|error| error.to_string())?;
        }
    }
    Ok(())
}

/// Whether the engine reports that a request uses the reservation.
///
/// # Errors
///
/// The engine sent no report.
async fn is_used(ticket: &Ticket) -> Result<bool, String> {
    let report = report::fetch(&ticket.entry).await?;
    let mut tickets = report.tickets.iter();
    Ok(tickets.any(|known| known.id == ticket.id && known.state == engine::Use::Used))
}

async fn release(state: sync::Arc<state::State>, ticket: Ticket) {
    let lapsed = state.clock.now() + hold(&state);
    loop {
        let status = order(&ticket.entry, engine::release(&ticket.id)).await;
        let released = matches!(status, Ok(200 | 202 | 404 | 409 | head::MISDIRECTED));
        if released && ticket.is_unsure(state.clock.now()) {
            // A reserve order that is still on its way may recreate it.
            tokio::time::sleep(hold(&state) / RELEASES).await;
            continue;
        }
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
    let text = String::from_utf8_lossy(&body).into_owned();
    let request = hyper::Request::post(engine::ORDER_PATH)
        .header("host", entry.address.to_string())
        .header("content-type", "application/json")
        .body(exchange::Payload::new(hyper::body::Bytes::from(body)))
        .map_err(|error| exchange::Failure::Unsent(error.to_string()))?;
    let began = time::Instant::now();
    let answer = exchange::call(entry.address, request, CONNECT, ORDER, ANSWER).await;
    let answer = answer.map(|(status, _)| status);
    let line = event::Line::new("memory_order")
        .text("order", text)
        .text("upstream", &entry.upstream)
        .span("took_ms", began.elapsed());
    match &answer {
        Ok(status) => line.number("status", status).info(),
        Err(failure) => line.text("error", failure).warn(),
    }
    answer
}

//! Reservations of engine memory for a prompt larger than one engine.
//!
//! All or nothing, in the order of the upstreams' names, so that two long prompts cannot each hold
//! half of what they need. A reservation is short and renewed while its request runs: a host that
//! dies leaves it to lapse within the bound on unused memory. At the end it is released; a release
//! that is not answered is made again until the reservation has lapsed by itself.
//!
//! Failure answered: the request is over at the engine that answers it, and its host does not know:
//! the engine went dark, or its answer is lost. Renewed until its host's patience ends, the memory on
//! the engines that helped would be kept beyond the bound on unused memory. So a round of renewals
//! begins with the engine that answers, and while that is silent to the request only what an engine
//! reports as used is renewed.

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

/// Longest time for an order to be answered.
const ORDER: time::Duration = time::Duration::from_millis(600);
/// Longest time for a connection.
const CONNECT: time::Duration = time::Duration::from_millis(300);
/// Part of the bound on unused memory that a reservation lasts: what is lost with its host is back
/// before the bound.
const HOLD_SHARE: f64 = 0.85;
/// Renewals within one hold: two may be lost.
const RENEWALS: u32 = 3;
/// Pause before a round of renewals is begun again that the answering engine left without a word.
const AGAIN: time::Duration = time::Duration::from_millis(150);
/// How long after it was sent an order without an answer may still be carried out.
const LATE: time::Duration = time::Duration::from_secs(12);
/// Releases within one hold of a reservation that a late order may have made anew: it lapses by
/// itself within the bound, and its memory should not lie idle until then.
const RELEASES: u32 = 3;
/// Longest answer to an order.
const ANSWER: usize = 64 << 10;

/// One reservation.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    /// Its name at the engine.
    pub(crate) id: String,
    entry: routing::Registration,
    tokens: u64,
    /// When an order to reserve was last sent that is not answered.
    unsure: sync::Arc<sync::Mutex<Option<clock::Moment>>>,
}

impl Ticket {
    /// Reserves or renews.
    async fn reserve(&self, state: &state::State) -> Result<u16, exchange::Failure> {
        *state::lock(&self.unsure) = Some(state.clock.now());
        let status =
            order(&self.entry, engine::reserve(&self.id, self.tokens, hold(state))).await?;
        *state::lock(&self.unsure) = None;
        Ok(status)
    }

    /// Whether an order to reserve without an answer may still be carried out.
    fn is_unsure(&self, now: clock::Moment) -> bool {
        state::lock(&self.unsure).is_some_and(|sent| now.since(sent) <= LATE)
    }
}

/// Until when the silence of a request says nothing.
type Quiet = sync::Mutex<clock::Moment>;

/// Reservations that are held; dropping them releases them.
#[derive(Debug)]
pub(crate) struct Held {
    state: sync::Arc<state::State>,
    tickets: Vec<Ticket>,
    quiet_until: sync::Arc<Quiet>,
}

impl Held {
    /// Something of the request's answer came.
    pub(crate) fn heard(&self) {
        *state::lock(&self.quiet_until) = self.state.clock.now() + spare(&self.state);
    }

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

/// How long after a request has ended its memory may still be renewed.
fn spare(state: &state::State) -> time::Duration {
    state.settings.node.bounds.free.saturating_sub(hold(state))
}

/// Reserves memory on each of `wanted` for a prompt that `first` answers, whose first token is
/// expected after `expected`.
///
/// # Errors
///
/// The engine that did not grant it; what was granted is released.
pub(crate) async fn take(
    state: &sync::Arc<state::State>,
    name: &str,
    first: &routing::Registration,
    wanted: &[(routing::Registration, u64)],
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
        // An order without an answer may be carried out: its ticket is released with the others.
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

/// Renews `tickets`, that of the engine `first` before the others, while the reservations are held.
async fn renew(
    state: sync::Arc<state::State>,
    first: routing::Registration,
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

/// One round of renewals.
///
/// # Errors
///
/// The engine `first` gave no word: nothing more was renewed.
async fn renew_all(
    state: &state::State,
    first: &routing::Registration,
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

/// Whether the engine of `ticket` reports that a request uses it.
///
/// # Errors
///
/// The engine gave no report.
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
            // An order on its way may reserve it anew.
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

async fn order(entry: &routing::Registration, body: Vec<u8>) -> Result<u16, exchange::Failure> {
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

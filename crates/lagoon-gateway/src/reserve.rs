//! Reservations of engine memory for long prompts.
//!
//! A prompt that is larger than one engine needs memory on several. Its reservations are made all
//! or nothing, in the order of the upstreams' names, so that two long prompts cannot each hold half
//! of what they need. A reservation is short and is renewed while its request runs, so if the host
//! dies, it expires within the bound on unused memory. When the request ends, the reservation is
//! released; an unanswered release is retried until the reservation has expired by itself.
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
use crate::message;
use crate::path;
use crate::payload;
use crate::report;
use crate::state;

/// Timeout for an order's answer.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Timeout for connecting to an engine.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Share of the bound on unused memory (`bounds.free`) for which a reservation is held, so that the
/// memory of a dead host is free again before the bound.
const HOLD_SHARE: f64 = 0.85;
/// Renewals within one hold time, so that a reservation outlasts a lost renewal. The third is sent
/// only when the reservation is about to expire.
const RENEWALS_PER_HOLD: u32 = 3;
/// Pause before a round of renewals is repeated because the answering engine did not respond.
const RENEWAL_RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);
/// Time for which an unanswered order may still be carried out.
const LATE_ORDER_WINDOW: time::Duration = time::Duration::from_secs(12);
/// Releases within one hold time of a reservation that a late order may have recreated. It would
/// expire by itself within the bound, but its memory should not lie idle until then.
const RELEASES_PER_HOLD: u32 = 3;
/// Status of an order that was carried out.
const GRANTED: u16 = 200;
/// Maximum size of an order's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// One reservation on one engine.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// Id of the reservation at the engine.
    pub(crate) id: String,
    entry: routing::Registration,
    tokens: u64,
    /// When a reserve order was last sent that is still unanswered.
    unanswered_since: sync::Arc<sync::Mutex<Option<clock::Moment>>>,
    /// When the last reserve order was sent that the engine carried out.
    held_since: sync::Arc<sync::Mutex<clock::Moment>>,
}

impl Reservation {
    /// Creates or renews the reservation, which is `work` of that kind. Returns the status of the
    /// engine's answer.
    async fn reserve(
        &self,
        state: &state::State,
        work: routing::Work,
    ) -> Result<u16, exchange::Failure> {
        let sent_at = state.clock.now();
        *state::lock(&self.unanswered_since) = Some(sent_at);
        let status = send_order(
            state,
            &self.entry,
            engine::reserve_order(&self.id, self.tokens, hold_time(state)),
            work,
        )
        .await?;
        *state::lock(&self.unanswered_since) = None;
        if status == GRANTED {
            *state::lock(&self.held_since) = sent_at;
        }
        Ok(status)
    }

    /// Returns when the next renewal is due at an engine that wants no orders from this host now: once
    /// it wants them, or just before the reservation expires. `None` if it is due already. What has
    /// expired can wait.
    fn postponed_until(&self, state: &state::State) -> Option<clock::Moment> {
        let until = state.running_work_until(&self.entry)?;
        let now = state.clock.now();
        let expiry = *state::lock(&self.held_since) + hold_time(state);
        let last_chance = expiry.saturating_sub(ORDER_TIMEOUT);
        let due = if now < expiry { until.min(last_chance) } else { until };
        (due > now).then_some(due)
    }

    /// Whether the engine may still carry out an unanswered reserve order.
    fn has_pending_order(&self, now: clock::Moment) -> bool {
        state::lock(&self.unanswered_since).is_some_and(|sent| now.since(sent) <= LATE_ORDER_WINDOW)
    }
}

/// Time until which the request counts as active although its engine is silent.
type ActiveUntil = sync::Mutex<clock::Moment>;

/// The reservations of one request; dropping them releases them.
#[derive(Debug)]
pub(crate) struct Reservations {
    state: sync::Arc<state::State>,
    reservations: Vec<Reservation>,
    active_until: sync::Arc<ActiveUntil>,
}

impl Reservations {
    /// Records activity of the request's engine: bytes of the answer arrived.
    pub(crate) fn record_activity(&self) {
        *state::lock(&self.active_until) = self.state.clock.now() + renewal_slack(&self.state);
    }

    /// Returns the id of the reservation on `upstream`.
    pub(crate) fn id_on(&self, upstream: &id::Upstream) -> Option<&str> {
        let found =
            self.reservations.iter().find(|reservation| reservation.entry.upstream == *upstream);
        found.map(|reservation| reservation.id.as_str())
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        for reservation in self.reservations.drain(..) {
            drop(ntex::rt::spawn(release(self.state.clone(), reservation)));
        }
    }
}

/// An engine did not reserve memory.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{upstream}: no reservation: {detail}")]
pub(crate) struct Refusal {
    pub(crate) upstream: id::Upstream,
    /// What it shows of the engine; `None` if only this host's path may be at fault.
    pub(crate) outcome: Option<message::UpstreamOutcome>,
    pub(crate) detail: String,
}

/// Returns how long a reservation lasts without a renewal.
fn hold_time(state: &state::State) -> time::Duration {
    let bounds = &state.settings.node.bounds;
    bounds.free.mul_f64(HOLD_SHARE).min(bounds.hold)
}

/// Returns for how long after its last sign of activity a request still counts as active: a
/// reservation renewed until then expires within the bound on unused memory.
fn renewal_slack(state: &state::State) -> time::Duration {
    state.settings.node.bounds.free.saturating_sub(hold_time(state))
}

/// Reserves memory on each of `wanted` for a prompt that `primary` answers and whose first token is
/// expected after `expected`. The request may be processed in `homes`.
///
/// # Errors
///
/// The engine that did not grant its reservation. Those already granted are released.
pub(crate) async fn reserve_all(
    state: &sync::Arc<state::State>,
    name: &str,
    primary: &routing::Registration,
    wanted: &[(routing::Registration, u64)],
    expected: clock::Span,
    homes: &routing::Homes,
) -> Result<Reservations, Refusal> {
    let mut ordered = wanted.to_vec();
    ordered.sort_by(|a, b| a.0.upstream.cmp(&b.0.upstream));
    let active_until = state.clock.now() + expected + renewal_slack(state);
    let active_until = sync::Arc::new(sync::Mutex::new(active_until));
    let mut held = Reservations { state: state.clone(), reservations: Vec::new(), active_until };
    for (index, (entry, tokens)) in ordered.into_iter().enumerate() {
        let id = format!("{name}-{index}");
        if let Some(why) = state.exclusion(&entry, homes, routing::Work::New) {
            let detail = why.to_string();
            return Err(Refusal { upstream: entry.upstream, outcome: None, detail });
        }
        let reservation = Reservation {
            id,
            entry,
            tokens,
            unanswered_since: sync::Arc::default(),
            held_since: sync::Arc::default(),
        };
        // Added before the order is sent: an unanswered order may be carried out, so its
        // reservation has to be released as well.
        held.reservations.push(reservation.clone());
        state.metrics.reservations.inc();
        let status = reservation.reserve(state, routing::Work::New).await;
        if !matches!(status, Ok(GRANTED)) {
            let outcome = match &status {
                Ok(_) => Some(message::UpstreamOutcome::Full),
                Err(exchange::Failure::Unreachable(failure)) if !failure.verdict.is_down() => None,
                Err(_) => Some(message::UpstreamOutcome::Failed),
            };
            let detail = status.map_or_else(|error| error.to_string(), |code| code.to_string());
            return Err(Refusal { upstream: reservation.entry.upstream, outcome, detail });
        }
    }
    let active_until = sync::Arc::downgrade(&held.active_until);
    let mut reservations = held.reservations.clone();
    reservations.sort_by_key(|reservation| reservation.entry.upstream != primary.upstream);
    drop(ntex::rt::spawn(renew(state.clone(), primary.clone(), reservations, active_until)));
    Ok(held)
}

/// Renews `reservations`, the one of the engine `primary` before the others, while the reservations
/// are held.
async fn renew(
    state: sync::Arc<state::State>,
    primary: routing::Registration,
    reservations: Vec<Reservation>,
    active_until: sync::Weak<ActiveUntil>,
) {
    let mut pause = hold_time(&state) / RENEWALS_PER_HOLD;
    loop {
        tokio::time::sleep(pause).await;
        if active_until.strong_count() == 0 {
            return;
        }
        pause = match renew_round(&state, &primary, &reservations, &active_until).await {
            Ok(postponed) => {
                let regular = hold_time(&state) / RENEWALS_PER_HOLD;
                let now = state.clock.now();
                postponed.map_or(regular, |until| regular.min(until.since(now)))
            }
            Err(error) => {
                event::Line::new("not_renewed")
                    .text("upstream", &primary.upstream)
                    .text("error", error)
                    .warn();
                RENEWAL_RETRY_PAUSE
            }
        };
    }
}

/// Runs one round of renewals. Returns when the first of those is due that were put off since their
/// engines want no orders now.
///
/// # Errors
///
/// The engine `primary` did not respond, or a reservation is no longer used. The rest was not
/// renewed.
async fn renew_round(
    state: &state::State,
    primary: &routing::Registration,
    reservations: &[Reservation],
    active_until: &sync::Weak<ActiveUntil>,
) -> Result<Option<clock::Moment>, String> {
    let mut postponed = None;
    if reservations.first().is_none_or(|reservation| reservation.entry.upstream != primary.upstream)
    {
        let connected =
            path::connect(state, primary, path::Purpose::RUNNING, CONNECT_TIMEOUT).await;
        connected.map_err(|error| error.to_string())?;
    }
    for reservation in reservations {
        let Some(active_until) =
            active_until.upgrade().map(|active_until| *state::lock(&active_until))
        else {
            return Ok(None);
        };
        if let Some(until) = reservation.postponed_until(state) {
            postponed = Some(postponed.map_or(until, |first: clock::Moment| first.min(until)));
            continue;
        }
        if state.clock.now() > active_until && !is_used(state, reservation).await? {
            return Err(format!(
                "{}: no request uses {}",
                reservation.entry.upstream, reservation.id
            ));
        }
        let status = reservation.reserve(state, routing::Work::Running).await;
        if matches!(status, Ok(GRANTED)) {
            continue;
        }
        event::Line::new("renewal_failed")
            .text("reservation", &reservation.id)
            .text("upstream", &reservation.entry.upstream)
            .text("status", format!("{status:?}"))
            .warn();
        if reservation.entry.upstream == primary.upstream {
            status.map_err(|error| error.to_string())?;
        }
    }
    Ok(postponed)
}

/// Whether the engine reports that a request uses the reservation.
///
/// # Errors
///
/// The engine sent no report.
async fn is_used(state: &state::State, reservation: &Reservation) -> Result<bool, String> {
    let report = report::fetch(state, &reservation.entry, routing::Work::Running).await?;
    let mut reservations = report.tickets.iter();
    Ok(reservations
        .any(|known| known.id == reservation.id && known.state == engine::ReservationState::Used))
}

/// Releases a reservation, and repeats that until the engine confirms it or the reservation has
/// expired.
async fn release(state: sync::Arc<state::State>, reservation: Reservation) {
    let expiry = state.clock.now() + hold_time(&state);
    loop {
        // The engine wants no orders for a time; the reservation may expire before that.
        if let Some(until) = state.running_work_until(&reservation.entry) {
            tokio::time::sleep(until.min(expiry).since(state.clock.now())).await;
            if until >= expiry {
                state.metrics.reservations.dec();
                return;
            }
        }
        let order = engine::release_order(&reservation.id);
        let status = send_order(&state, &reservation.entry, order, routing::Work::Running).await;
        // Counts as released also if the order was only accepted, or was refused by an engine that
        // does not have the reservation.
        let released = matches!(status, Ok(200 | 202 | 404 | 409 | head::MISDIRECTED));
        if released && reservation.has_pending_order(state.clock.now()) {
            // A reserve order that is still on its way may recreate it.
            tokio::time::sleep(hold_time(&state) / RELEASES_PER_HOLD).await;
            continue;
        }
        if released || state.clock.now() >= expiry {
            if !released {
                event::Line::new("release_failed")
                    .text("reservation", &reservation.id)
                    .text("upstream", &reservation.entry.upstream)
                    .text("status", format!("{status:?}"))
                    .warn();
            }
            state.metrics.reservations.dec();
            return;
        }
        tokio::time::sleep(ORDER_TIMEOUT / 3).await;
    }
}

/// Sends an order to an engine, as a part of `work`, and logs it. Returns the status of the answer.
async fn send_order(
    state: &state::State,
    entry: &routing::Registration,
    body: Vec<u8>,
    work: routing::Work,
) -> Result<u16, exchange::Failure> {
    let text = String::from_utf8_lossy(&body).into_owned();
    let request = hyper::Request::post(engine::ORDER_PATH)
        .header("host", entry.address.to_string())
        .header("content-type", "application/json")
        .body(payload::Payload::new(hyper::body::Bytes::from(body)))
        .map_err(|error| exchange::Failure::Unsent(error.to_string()))?;
    state.record_call(entry);
    state.count_send(entry);
    let sent_at = state.clock.now();
    let began = time::Instant::now();
    let connecting = path::connect(state, entry, path::Purpose::Call(work), CONNECT_TIMEOUT);
    let answer = exchange::call(connecting, request, ORDER_TIMEOUT, MAX_ANSWER_BYTES).await;
    let answer = answer.map(|reply| {
        state.observe_reply(entry, sent_at, &reply);
        reply.status
    });
    let line = event::Line::new("memory_order")
        .text("order", text)
        .text("upstream", &entry.upstream)
        .span("took_ms", began.elapsed());
    match &answer {
        Ok(status) => line.number("status", status).info(),
        Err(failure) => {
            state.record_violation("order", entry, failure);
            line.text("error", failure).warn();
        }
    }
    answer
}

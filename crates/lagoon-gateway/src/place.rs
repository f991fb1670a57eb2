//! Placement of a request: chooses an upstream and reserves the memory that the prompt needs there.

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::fingerprint;
use lagoonline::load::{placement, retry};
use lagoonline::outcome::{Reason, Step};
use rand::Rng;

use crate::admit;
use crate::answer;
use crate::event;
use crate::forward;
use crate::in_flight;
use crate::reserve;
use crate::retries;
use crate::schedule;

/// Pause between two placement attempts, before jitter, while no engine has a free slot, free
/// memory or a short enough prefill queue: a tenth of the prefill backlog that an engine may have.
/// It is shorter on routes with a short target.
const BUSY_PAUSE: clock::Span = clock::Span::from_millis(40);

/// Longest time by which callers come back spread after upstreams turned the host away: they wait a
/// few seconds at most.
const MAX_BACKOFF_SPREAD: clock::Span = clock::Span::from_millis(500);

/// A placement whose memory is reserved and which is counted as in flight.
#[derive(Debug)]
pub(crate) struct Allocation {
    pub(crate) placement: placement::Placement,
    pub(crate) id: placement::DispatchId,
    pub(crate) in_flight: in_flight::Guard,
    pub(crate) leave: Leave,
    /// When it was placed, and its permits were taken.
    pub(crate) placed_at: clock::Moment,
}

/// By what a dispatch may be sent.
#[derive(Debug)]
pub(crate) enum Leave {
    /// It is the first of its request.
    First,
    /// This host took a retry for it.
    Own(retries::Charge),
    /// The zone's scheduler took a retry for it.
    Scheduler,
}

/// What is to be placed.
#[derive(Debug)]
struct Wish<'a> {
    /// Upstreams on which the request failed.
    avoid: &'a [id::Upstream],
    /// How long it has waited.
    waited: clock::Span,
    /// When its first event is due.
    due: clock::Moment,
    /// Identifies it while it waits.
    waiter: placement::DispatchId,
    identity: Option<fingerprint::Fingerprint>,
    is_retry: bool,
}

/// Why a request is not sent.
#[derive(Debug)]
pub(crate) enum Refusal {
    /// It cannot be placed.
    Fault(answer::Fault),
    /// It was sent before, and no retry is left.
    NoRetry,
}

impl Refusal {
    /// Returns the fault for a caller of whom nothing else is known.
    pub(crate) fn into_fault(self) -> answer::Fault {
        match self {
            Refusal::Fault(fault) => fault,
            Refusal::NoRetry => {
                let detail = "no retry is left";
                answer::Fault::not_run(Reason::UpstreamFailed, Step::Route, detail)
                    .with_retry_after(forward::RETRY_AFTER)
            }
        }
    }
}

impl From<answer::Fault> for Refusal {
    fn from(fault: answer::Fault) -> Refusal {
        Refusal::Fault(fault)
    }
}

/// Returns a random pause between half and one and a half of `span`, so that hosts do not retry in
/// step.
fn jittered(span: clock::Span) -> clock::Span {
    span.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Returns a random retry time of at least `span`, so that callers neither return too early nor all
/// at once.
fn jittered_retry_time(span: clock::Span) -> clock::Span {
    span.mul_f64(rand::rng().random_range(1.0..1.5))
}

/// Returns a random time by which a caller comes back later than the upstreams want requests again.
/// Their times often began at one moment and end at one moment.
fn backoff_spread(span: clock::Span) -> clock::Span {
    let longest = (span / 4).min(MAX_BACKOFF_SPREAD);
    longest.mul_f64(rand::rng().random_range(0.0..1.0))
}

impl forward::Admitted {
    /// Places the request and reserves the memory that it needs. Waits while there is no capacity:
    /// memory becomes free when a long answer ends. `is_retry` if it was sent before: then it also
    /// needs a retry of the budget.
    ///
    /// # Errors
    ///
    /// Why the request cannot be placed; nothing was sent to an upstream.
    pub(crate) async fn allocate(
        &self,
        avoid: &[id::Upstream],
        is_retry: bool,
    ) -> Result<Allocation, Refusal> {
        if is_retry {
            self.wait_for_crash_reports().await;
        }
        let started = self.state.clock.now();
        let mut last_shortage: Option<placement::Shortage> = None;
        let waiter = self.state.next_dispatch_id();
        let mut charge = None;
        loop {
            self.check_quarantine().await?;
            if is_retry && charge.is_none() && !self.state.has_retry(&self.service) {
                return Err(Refusal::NoRetry);
            }
            let waited = self.state.clock.now().since(started);
            // A request that resumes on another upstream has already missed its target, but its
            // caller is still waiting, so the target counts from now.
            let due = if avoid.is_empty() { self.request.arrived } else { started };
            let due = due + self.route.target;
            let identity = self.identity(last_shortage.is_some());
            let wish = Wish { avoid, waited, due, waiter, identity, is_retry };
            let chosen = self.choose(wish).await;
            let placed_at = self.state.clock.now();
            let schedule::PlacementResult { id, decider, result } =
                chosen.inspect_err(|_| self.state.record_retry_refusal(&self.service))?;
            self.record_permit_refusal(&result, decider);
            self.record_exclusion_refusal(&result);
            let placement = match result {
                Ok(placement) => placement,
                Err(placement::Refusal::Deferred(shortage))
                    if self.time_left() > forward::MIN_TIME_LEFT =>
                {
                    let earlier = last_shortage.replace(shortage);
                    if earlier != Some(shortage) {
                        self.record_wait(shortage, waited, earlier.is_none());
                    }
                    let pause = BUSY_PAUSE.min(self.route.target / 20);
                    tokio::time::sleep(jittered(pause)).await;
                    continue;
                }
                Err(refusal) => {
                    self.record_room_refusal(&refusal, waited);
                    return Err(self.placement_fault(refusal).into());
                }
            };
            if is_retry && decider == in_flight::Decider::Own && charge.is_none() {
                match self.state.charge_retry(&self.service) {
                    Ok(taken) => charge = Some(taken),
                    Err(retry::Verdict::Wait) if self.time_left() > forward::MIN_TIME_LEFT => {
                        tokio::time::sleep(jittered(retry::TURN / 2)).await;
                        continue;
                    }
                    Err(_) => return Err(Refusal::NoRetry),
                }
            }
            // Registered before the checks below: if the request is not sent after all, dropping
            // this publishes that the dispatch ended.
            let mut in_flight = in_flight::Guard::begin(self, id, &placement, decider);
            self.check_time(&placement)?;
            if self.customer.is_some() {
                admit::check_key_age(&self.state)?;
            }
            match self.reserve(&placement, id).await {
                Ok(reservations) => {
                    in_flight.set_reservations(reservations);
                    self.check_quarantine().await?;
                    let leave = match (is_retry, charge) {
                        (false, _) => Leave::First,
                        (true, Some(charge)) => Leave::Own(charge),
                        (true, None) => Leave::Scheduler,
                    };
                    return Ok(Allocation { placement, id, in_flight, leave, placed_at });
                }
                Err(refusal) => {
                    drop(in_flight);
                    self.record_reservation_refusal(&refusal, waited);
                    tokio::time::sleep(jittered(BUSY_PAUSE)).await;
                    if waited > self.route.target * 2 {
                        let fault = answer::Fault::not_run(
                            Reason::Saturated,
                            Step::Route,
                            refusal.to_string(),
                        );
                        return Err(fault.with_retry_after(forward::RETRY_AFTER).into());
                    }
                }
            }
        }
    }

    /// Checks that the first token is expected before the deadline.
    ///
    /// # Errors
    ///
    /// It is not. If sent anyway, the request would take engine time for nothing.
    fn check_time(&self, placement: &placement::Placement) -> Result<(), answer::Fault> {
        if placement.expected <= self.time_left() {
            return Ok(());
        }
        let detail = format!("first token expected after {:?}", placement.expected);
        Err(answer::Fault::not_run(Reason::CannotMeetDeadline, Step::Route, detail))
    }

    /// Logs and publishes that an engine did not reserve memory, or could not be reached for it.
    fn record_reservation_refusal(&self, refusal: &reserve::Refusal, waited: clock::Span) {
        event::Line::new("not_reserved")
            .text("request", &self.request.head.request_id)
            .text("upstream", &refusal.upstream)
            .text("detail", &refusal.detail)
            .span("waited_ms", waited)
            .info();
        if let Some(outcome) = refusal.outcome {
            self.record_outcome(&refusal.upstream, outcome);
        }
    }

    /// Reserves the memory that `placement` asks for. Returns `None` if it needs none.
    async fn reserve(
        &self,
        placement: &placement::Placement,
        id: placement::DispatchId,
    ) -> Result<Option<reserve::Reservations>, reserve::Refusal> {
        let helpers = placement.helpers.iter().map(|helper| (&helper.entry, helper.reserve));
        let wanted: Vec<_> = std::iter::once((&placement.primary, placement.reserve))
            .chain(helpers)
            .filter(|(_, tokens)| *tokens > 0)
            .map(|(entry, tokens)| (entry.clone(), tokens))
            .collect();
        if wanted.is_empty() {
            return Ok(None);
        }
        let name = format!("{:x}-{}", self.state.incarnation, id.number);
        let (primary, expected) = (&placement.primary, placement.expected);
        let homes = &self.homes;
        reserve::reserve_all(&self.state, &name, primary, &wanted, expected, homes).await.map(Some)
    }

    /// Chooses where the request goes next.
    ///
    /// # Errors
    ///
    /// The zone's scheduler has no retry left for it.
    async fn choose(&self, wish: Wish<'_>) -> Result<schedule::PlacementResult, Refusal> {
        let Wish { avoid, waited, due, waiter, identity, is_retry } = wish;
        let now = self.state.clock.now();
        let backoffs = self.state.backoffs_of(self.state.incarnation);
        let request = placement::Request {
            prompt_tokens: self.request.head.prompt_tokens.unwrap_or(0),
            answer_tokens: self.request.head.answer_tokens.unwrap_or(0),
            target: due.since(now),
            max_gap: self.gap_target(),
            waited,
            waiter,
            zone: &self.state.settings.node.zone,
            avoid,
            backoffs: &backoffs,
            hints: &self.state.backoff_hints(),
            random: rand::rng().random(),
            identity,
            // The platform names parts of prompts without saying that engines retain them.
            prefixes: &[],
            urgency: self.urgency,
            customer: self.customer.as_ref(),
            eligibility: &self.state.eligibility(),
            homes: &self.homes,
        };
        let ask = schedule::ask_scheduler(
            &self.state,
            &self.service,
            &request,
            is_retry,
            self.time_left(),
        );
        if let Some(result) = ask.await {
            return result;
        }
        let placed =
            self.state.with_placer(&self.service, |placer, now| placer.place(&request, now));
        Ok(schedule::PlacementResult {
            id: self.state.next_dispatch_id(),
            decider: in_flight::Decider::Own,
            result: placed.unwrap_or(Err(placement::Refusal::NoUpstream)),
        })
    }

    /// Returns what the request is if placement may need it: if it waits already, so that its caller
    /// may be told when to come back, or this host knows that all upstreams limit their requests.
    fn identity(&self, waits: bool) -> Option<fingerprint::Fingerprint> {
        let wants_identity =
            || self.state.with_placer(&self.service, |placer, _| placer.wants_identity());
        let is_wanted = waits || wants_identity() == Some(true);
        is_wanted.then(|| self.fingerprint())
    }

    /// Counts a request without a permit, and tells the zone if its caller is to come back.
    fn record_permit_refusal(
        &self,
        result: &Result<placement::Placement, placement::Refusal>,
        decider: in_flight::Decider,
    ) {
        match result {
            Err(placement::Refusal::Rejected(placement::Shortage::Permit, span)) => {
                self.count_permit_refusal(true);
                if decider == in_flight::Decider::Own {
                    self.publish_promise(*span);
                }
            }
            Err(placement::Refusal::Deferred(placement::Shortage::Permit)) => {
                self.count_permit_refusal(false);
            }
            _ => {}
        }
    }

    /// Counts a request without a permit: under cold upstreams if this host knows of any, and under
    /// limits otherwise. `is_final` if it is refused, and not held back.
    fn count_permit_refusal(&self, is_final: bool) {
        let metrics = &self.state.metrics;
        let has_cold = self.state.with_placer(&self.service, |placer, _| placer.has_cold());
        let counter = match (has_cold == Some(true), is_final) {
            (true, true) => &metrics.refused_for_cold,
            (true, false) => &metrics.held_for_cold,
            (false, true) => &metrics.refused_for_limit,
            (false, false) => &metrics.held_for_limit,
        };
        counter.inc();
    }

    /// Counts a request that is refused because all upstreams asked this host to wait, or are in
    /// excluded zones.
    fn record_exclusion_refusal(&self, result: &Result<placement::Placement, placement::Refusal>) {
        match result {
            Err(placement::Refusal::Rejected(placement::Shortage::Backoff, _)) => {
                self.state.metrics.refused_for_backoff.inc();
            }
            Err(placement::Refusal::Rejected(placement::Shortage::Zone, _)) => {
                self.state.metrics.refused_for_zone.inc();
            }
            _ => {}
        }
    }

    /// Returns the fault for a request that cannot be placed.
    fn placement_fault(&self, refusal: placement::Refusal) -> answer::Fault {
        let detail = format!("{}: {refusal}", self.service);
        let (reason, span) = match refusal {
            placement::Refusal::NoUpstream => (Reason::NoUpstream, forward::RETRY_AFTER),
            // Engines may be missing only for a moment, and a 4xx status would be final.
            placement::Refusal::TooLong => (Reason::Saturated, forward::RETRY_AFTER),
            placement::Refusal::Deferred(_) => (Reason::Saturated, forward::RETRY_AFTER),
            // The times are spread already, and a permit may be kept for the caller at its time.
            placement::Refusal::Rejected(placement::Shortage::Permit, span) => {
                (Reason::Saturated, span)
            }
            placement::Refusal::Rejected(placement::Shortage::Backoff, span) => {
                (Reason::Saturated, span + backoff_spread(span))
            }
            placement::Refusal::Rejected(_, span) => (Reason::Saturated, jittered_retry_time(span)),
        };
        answer::Fault::not_run(reason, Step::Route, detail).with_retry_after(span)
    }
}

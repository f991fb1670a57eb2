//! Placement of a request: chooses an upstream and reserves the memory that the prompt needs there.

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::placement;
use lagoonline::outcome::{Reason, Step};
use rand::Rng;

use crate::admit;
use crate::answer;
use crate::event;
use crate::forward;
use crate::reserve;
use crate::schedule;
use crate::underway;
use crate::word;

/// Maximum pause between two placement attempts while no engine has a free slot, free memory or a
/// short enough prefill queue: a tenth of the prefill backlog that an engine may have.
const BUSY_PAUSE: clock::Span = clock::Span::from_millis(40);

/// A chosen upstream, with the memory reserved for the request.
#[derive(Debug)]
pub(crate) struct Secured {
    pub(crate) placement: placement::Placement,
    pub(crate) id: placement::WorkId,
    pub(crate) underway: underway::Underway,
}

/// Returns a random pause between half and one and a half of `span`, so that hosts do not retry in
/// step.
fn spread(span: clock::Span) -> clock::Span {
    span.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Returns a random retry time of at least `span`, so that callers neither return too early nor all
/// at once.
fn later(span: clock::Span) -> clock::Span {
    span.mul_f64(rand::rng().random_range(1.0..1.5))
}

impl forward::Admitted {
    /// Places the request and reserves the memory that it needs. Waits while there is no capacity:
    /// memory becomes free when a long answer ends.
    ///
    /// # Errors
    ///
    /// Why the request cannot be placed; nothing was sent to an upstream.
    pub(crate) async fn secure(&self, avoid: &[id::Upstream]) -> Result<Secured, answer::Fault> {
        let first_try = self.state.clock.now();
        let mut lacking = None;
        let turn = self.state.next_work();
        loop {
            self.check_quarantine().await?;
            let waited = self.state.clock.now().since(first_try);
            // A request that resumes on another upstream has already missed its target, but its
            // caller is still waiting, so the target counts from now.
            let due = if avoid.is_empty() { self.request.arrived } else { first_try };
            let due = due + self.route.target;
            let decided = self.place(avoid, waited, due, turn).await;
            let schedule::Decided { id, decider, result } = decided;
            let placement = match result {
                Ok(placement) => placement,
                Err(placement::Refusal::Busy(shortage)) if self.left() > forward::WORTH_TRYING => {
                    if lacking.replace(shortage) != Some(shortage) {
                        self.log_wait(shortage, waited);
                    }
                    let pause = BUSY_PAUSE.min(self.route.target / 20);
                    tokio::time::sleep(spread(pause)).await;
                    continue;
                }
                Err(refusal) => return Err(self.refused(refusal)),
            };
            // Registered before the checks below: if the request is not sent after all, dropping
            // this publishes that the dispatch ended.
            let mut underway = underway::Underway::begin(self, id, &placement, decider);
            self.check_time(&placement)?;
            if self.customer.is_some() {
                admit::check_key_age(&self.state)?;
            }
            match self.reserve(&placement, id).await {
                Ok(reserved) => {
                    underway.keep(reserved);
                    self.check_quarantine().await?;
                    return Ok(Secured { placement, id, underway });
                }
                Err(refusal) => {
                    drop(underway);
                    self.note_refusal(&refusal, waited);
                    tokio::time::sleep(spread(BUSY_PAUSE)).await;
                    if waited > self.route.target * 2 {
                        let fault = answer::Fault::not_run(
                            Reason::Saturated,
                            Step::Route,
                            refusal.to_string(),
                        );
                        return Err(fault.after(forward::COME_BACK));
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
        if placement.expected <= self.left() {
            return Ok(());
        }
        let detail = format!("first token expected after {:?}", placement.expected);
        Err(answer::Fault::not_run(Reason::CannotMeetDeadline, Step::Route, detail))
    }

    /// Logs and publishes that an engine did not reserve memory.
    fn note_refusal(&self, refusal: &reserve::Refusal, waited: clock::Span) {
        event::Line::new("not_reserved")
            .text("request", &self.request.call.request_id)
            .text("upstream", &refusal.upstream)
            .text("detail", &refusal.detail)
            .span("waited_ms", waited)
            .info();
        let manner = if refusal.reached { word::Manner::Full } else { word::Manner::Failed };
        self.saw(&refusal.upstream, manner);
    }

    async fn reserve(
        &self,
        placement: &placement::Placement,
        id: placement::WorkId,
    ) -> Result<Option<reserve::Held>, reserve::Refusal> {
        let helpers = placement.helpers.iter().map(|helper| (&helper.entry, helper.reserve));
        let wanted: Vec<_> = std::iter::once((&placement.first, placement.reserve))
            .chain(helpers)
            .filter(|(_, tokens)| *tokens > 0)
            .map(|(entry, tokens)| (entry.clone(), tokens))
            .collect();
        if wanted.is_empty() {
            return Ok(None);
        }
        let name = format!("{:x}-{}", self.state.number, id.number);
        let (first, expected) = (&placement.first, placement.expected);
        reserve::take(&self.state, &name, first, &wanted, expected).await.map(Some)
    }

    /// Chooses where the request goes next, after it has waited for `waited`. Its first event is
    /// due at `due`; `turn` identifies it while it waits.
    async fn place(
        &self,
        avoid: &[id::Upstream],
        waited: clock::Span,
        due: clock::Moment,
        turn: placement::WorkId,
    ) -> schedule::Decided {
        let now = self.state.clock.now();
        let demand = placement::Demand {
            prompt: self.request.call.prompt_tokens.unwrap_or(0),
            answer: self.request.call.answer_tokens.unwrap_or(0),
            target: due.since(now),
            gap: self.gap(),
            waited,
            turn,
            zone: &self.state.settings.node.zone,
            avoid,
            draw: rand::rng().random(),
        };
        let asked = schedule::ask(&self.state, &self.service, &demand, self.left()).await;
        if let Some(decided) = asked {
            return decided;
        }
        let placed = self.state.with_board(&self.service, |board, now| board.place(&demand, now));
        schedule::Decided {
            id: self.state.next_work(),
            decider: underway::Decider::Own,
            result: placed.unwrap_or(Err(placement::Refusal::NoUpstream)),
        }
    }

    fn refused(&self, refusal: placement::Refusal) -> answer::Fault {
        let detail = format!("{}: {refusal}", self.service);
        let (reason, span) = match refusal {
            placement::Refusal::NoUpstream => (Reason::NoUpstream, forward::COME_BACK),
            // Engines may be missing only for a moment, and a 4xx status would be final.
            placement::Refusal::TooLong => (Reason::Saturated, forward::COME_BACK),
            placement::Refusal::Busy(_) => (Reason::Saturated, forward::COME_BACK),
            placement::Refusal::Full(_, span) => (Reason::Saturated, later(span)),
        };
        answer::Fault::not_run(reason, Step::Route, detail).after(span)
    }

    /// Logs that the request waits, at the first shortage and whenever the shortage changes.
    fn log_wait(&self, shortage: placement::Shortage, waited: clock::Span) {
        event::Line::new("waits")
            .text("request", &self.request.call.request_id)
            .text("route", &self.route.name)
            .number("prompt_tokens", self.request.call.prompt_tokens.unwrap_or(0))
            .text("engines", shortage)
            .span("waited_ms", waited)
            .info();
    }
}

//! Whether a request that finds no place at once may wait here, and until when.

use crate::clock;
use crate::control::document;
use crate::load::admit;
use crate::load::route;
use crate::load::scheduler;
use crate::outcome;

/// Part of the longest wait up to which a wait may be predicted: the rest is for prompts that
/// come later and go first, so that few are refused after having waited.
const ADMIT_PART: f64 = 0.6;
/// The same for medium prompts, which all short ones pass.
const MEDIUM_PART: f64 = 0.3;
/// The same for customers over their share, whom those of all others pass.
const OVER_PART: f64 = 0.2;
/// Wait predicted for a longer prompt, as a multiple of what the first of its band has waited.
const HEAD_MULTIPLE: f64 = 2.0;
/// Part of the time left that is kept for the engine when a wait is bounded.
const ENGINE_PART: f64 = 0.5;

/// Part of the longest wait that may be predicted for a request that is let in.
fn admit_part(need: &route::Need) -> f64 {
    match need.class {
        _ if need.rank > need.class => OVER_PART,
        document::Class::Medium => MEDIUM_PART,
        _ => ADMIT_PART,
    }
}

impl scheduler::Scheduler {
    /// Whether it may wait, and until when: as long as it can still be answered, since a refusal
    /// after a wait serves the caller least.
    pub(super) fn admit(
        &mut self,
        now: clock::Moment,
        band: usize,
        ask: &scheduler::Ask,
    ) -> Result<clock::Moment, outcome::Failure> {
        if !self.full() {
            return Ok(ask.deadline);
        }
        let need = self.need(now, ask);
        let draw = self.draw();
        let survey = self.rules(now).survey(&need, draw);
        if need.kv > self.memory {
            return Err(admit::refusal(outcome::Reason::TooLong, 60.0, draw));
        }
        if !self.settings.safeguards.admit {
            return Ok(ask.deadline);
        }
        let rate = survey.rate / f64::from(self.settings.hosts_in_zone.max(1));
        let rate = rate * self.sure_part(&need);
        let least = self.least_wait(now, band);
        let prediction = admit::Prediction {
            wait: self.forecast.wait(self.queue.tokens_before(band, ask), rate).max(least),
            first_token: survey.soonest / self.sure_part(&need),
            answer: self.forecast.answer(ask.answer_tokens),
        };
        let left = ask.deadline.since(now);
        let longest = self.settings.longest_wait[need.class as usize];
        let part = admit_part(&need);
        admit::check(prediction, longest.mul_f64(part), left, draw)?;
        let engine = prediction.first_token + prediction.answer;
        let engine = engine.min(left.as_secs_f64() * ENGINE_PART);
        let spare = left.saturating_sub(clock::Span::from_secs_f64(engine));
        Ok(now + spare)
    }

    /// A newcomer of a longer class waits twice as long as the first of its band has waited so far,
    /// or more: the forecast learns from few of them, and would go on letting them in while none
    /// leaves.
    fn least_wait(&self, now: clock::Moment, band: usize) -> f64 {
        if band == document::Class::Short as usize {
            return 0.0;
        }
        let head = self.queue.head(band);
        head.map_or(0.0, |item| HEAD_MULTIPLE * now.since(item.ask.arrived).as_secs_f64())
    }

    /// Keeps the queue within its bounds, at the cost of the customer with most waiters.
    pub(super) fn make_room(&mut self, ask: &scheduler::Ask) -> bool {
        let bytes = self.queue.bytes() + ask.bytes;
        if self.queue.len() < self.settings.queue_requests && bytes <= self.settings.queue_bytes {
            return true;
        }
        let Some(waiter) = self.queue.displaced_by(ask) else { return false };
        let Some(item) = self.queue.remove(waiter) else { return false };
        let draw = self.draw();
        let failure = admit::refusal(outcome::Reason::Saturated, 1.0, draw);
        self.displaced.push(scheduler::Wake::Refuse(item.waiter, failure));
        let bytes = self.queue.bytes() + ask.bytes;
        self.queue.len() < self.settings.queue_requests && bytes <= self.settings.queue_bytes
    }
}

//! Whether a request that cannot be dispatched at once may wait here, and until when.

use crate::clock;
use crate::control::document;
use crate::load::admit;
use crate::load::route;
use crate::load::scheduler;
use crate::outcome;

/// Fraction of the longest wait up to which a predicted wait is accepted: the rest is for prompts
/// that arrive later and go first, so that few requests are refused after having waited.
const ADMIT_FRACTION: f64 = 0.6;
/// The same for medium prompts, which are overtaken by all short ones.
const MEDIUM_FRACTION: f64 = 0.3;
/// The same for customers over their share, who are overtaken by all others.
const OVER_SHARE_FRACTION: f64 = 0.2;
/// Predicted wait of a longer prompt, as a multiple of the time that the first of its band has
/// waited.
const HEAD_MULTIPLE: f64 = 2.0;
/// Largest fraction of the remaining time that is kept for the engine when a wait is bounded; the
/// predicted time on the engine is kept if it is less.
const ENGINE_FRACTION: f64 = 0.5;

/// Fraction of the longest wait up to which a predicted wait is accepted for a request.
fn admit_fraction(need: &route::Need) -> f64 {
    match need.class {
        _ if need.rank > need.class => OVER_SHARE_FRACTION,
        document::Class::Medium => MEDIUM_FRACTION,
        _ => ADMIT_FRACTION,
    }
}

impl scheduler::Scheduler {
    /// Returns the time until which the request may wait, which is as long as it can still be
    /// answered, since a refusal after a wait is the worst outcome for the caller.
    pub(super) fn admit(
        &mut self,
        now: clock::Moment,
        band: usize,
        request: &scheduler::Request,
    ) -> Result<clock::Moment, outcome::Failure> {
        if !self.is_full_policy() {
            return Ok(request.deadline);
        }
        let need = self.need(now, request);
        let random = self.next_random();
        let survey = self.router(now).survey(&need, random);
        if need.kv > self.group_kv {
            // The longest Retry-After before its random extension: it takes another fleet to hold
            // this prompt.
            return Err(admit::refusal(outcome::Reason::TooLong, 60.0, random));
        }
        if !self.settings.safeguards.admit {
            return Ok(request.deadline);
        }
        let rate = survey.rate / f64::from(self.settings.hosts_in_zone.max(1));
        let rate = rate * self.guaranteed_rate_share(&need);
        let min_wait = self.min_wait(now, band);
        let prediction = admit::Prediction {
            wait: self.forecast.wait(self.queue.tokens_before(band, request), rate).max(min_wait),
            first_token: survey.soonest / self.guaranteed_rate_share(&need),
            answer: self.forecast.answer(request.answer_tokens),
        };
        let left = request.deadline.since(now);
        let longest = self.settings.longest_wait[need.class as usize];
        let fraction = admit_fraction(&need);
        admit::check(prediction, longest.mul_f64(fraction), left, random)?;
        let engine_seconds = prediction.first_token + prediction.answer;
        let engine_seconds = engine_seconds.min(left.as_secs_f64() * ENGINE_FRACTION);
        let spare = left.saturating_sub(clock::Span::from_secs_f64(engine_seconds));
        Ok(now + spare)
    }

    /// Lower bound of the predicted wait, in seconds: a new request of a longer class is assumed to
    /// wait at least twice as long as the first of its band has waited so far. The forecast learns
    /// from few such requests, and would go on admitting them while none is dispatched.
    fn min_wait(&self, now: clock::Moment, band: usize) -> f64 {
        if band == document::Class::Short as usize {
            return 0.0;
        }
        let head = self.queue.head(band);
        head.map_or(0.0, |item| HEAD_MULTIPLE * now.since(item.request.arrived).as_secs_f64())
    }

    /// Makes room for `request` within the bounds of the queue, if necessary by displacing a
    /// request of the customer with the most waiters.
    pub(super) fn make_room(&mut self, request: &scheduler::Request) -> bool {
        let bytes = self.queue.bytes() + request.bytes;
        if self.queue.len() < self.settings.queue_requests && bytes <= self.settings.queue_bytes {
            return true;
        }
        let Some(waiter) = self.queue.displaced_by(request) else { return false };
        let Some(item) = self.queue.remove(waiter) else { return false };
        let random = self.next_random();
        let failure = admit::refusal(outcome::Reason::Saturated, 1.0, random);
        self.displaced.push(scheduler::Wake::Refuse(item.waiter, failure));
        let bytes = self.queue.bytes() + request.bytes;
        self.queue.len() < self.settings.queue_requests && bytes <= self.settings.queue_bytes
    }
}

//! Predicts when a request would get its first token and end.
//!
//! Load pattern: saturation. A queue that accepts everything answers everything too late. The
//! predicted wait at this host is the work ahead of the request (by class and fair share) divided
//! by the rate at which the queue actually empties. That rate is learned while something waits,
//! because prefill, slots or memory may be the scarce resource. Answers rarely use all the tokens
//! they may, so their length and speed are learned too.
//!
//! Before the first answer nothing is known about either, and an answer is predicted to take no
//! time. If it were predicted to have all the tokens it may have at a usual speed, every call that
//! allows a long answer would be refused even by an idle engine, and no answer would ever correct
//! the prediction. Until then too many requests may be admitted, but the slots bound the damage:
//! the first answers end, and correct the prediction, before a request that waited for a slot is
//! dispatched.

use crate::clock;

/// Shortest window over which the queue's rate is measured, in seconds.
const MIN_WINDOW_SECONDS: f64 = 0.5;
/// Weight of a new sample of the queue's rate.
const RATE_GAIN: f64 = 0.3;
/// Smallest weight of one answer's length and speed; the first answers are averaged evenly.
const ANSWER_GAIN: f64 = 0.05;

/// Rate at which a queue empties.
#[derive(Clone, Copy, Debug, Default)]
struct DrainRate {
    /// Smoothed rate in tokens per second; none before the first sample.
    rate: Option<f64>,
    /// Start of the current window and the tokens dispatched in it; none while nothing waits.
    window: Option<(clock::Moment, u64)>,
}

impl DrainRate {
    fn record_dispatch(&mut self, now: clock::Moment, tokens: u64, waiting: bool) {
        if !waiting {
            self.window = None;
            return;
        }
        let Some((start, sum)) = self.window else {
            // The work that opens the window was dispatched before it and doesn't count.
            self.window = Some((now, 0));
            return;
        };
        let sum = sum + tokens;
        let seconds = now.since(start).as_secs_f64();
        if seconds < MIN_WINDOW_SECONDS {
            self.window = Some((start, sum));
            return;
        }
        let sample = sum as f64 / seconds;
        self.rate = Some(self.rate.map_or(sample, |rate| rate + RATE_GAIN * (sample - rate)));
        self.window = Some((now, 0));
    }
}

/// Learned figures of one model at one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forecast {
    /// Per rank: rate at which work of that rank is dispatched while more of it waits. Work of
    /// earlier ranks that arrives later and goes first is thus taken into account.
    queue_rates: [DrainRate; 4],
    /// Number of answers seen.
    answers: u32,
    /// Mean length of an answer, as a fraction of the tokens that it might have had.
    answer_fraction: f64,
    /// Mean seconds between tokens.
    token_seconds: f64,
}

impl Forecast {
    /// Records that work of `tokens` and this rank was dispatched; `waiting` tells whether more of
    /// it still waits.
    pub fn record_dispatch(&mut self, now: clock::Moment, rank: usize, tokens: u64, waiting: bool) {
        self.queue_rates[rank].record_dispatch(now, tokens, waiting);
    }

    /// Records the end of an answer: its tokens, the most it could have had, and the time since its
    /// first token.
    pub fn record_answer(&mut self, tokens: u64, most: u64, took: clock::Span) {
        if tokens == 0 || most == 0 {
            return;
        }
        let fraction = (tokens as f64 / most as f64).min(1.0);
        let seconds_per_token = took.as_secs_f64() / tokens as f64;
        self.answers = self.answers.saturating_add(1);
        let gain = ANSWER_GAIN.max(1.0 / f64::from(self.answers));
        self.answer_fraction += gain * (fraction - self.answer_fraction);
        self.token_seconds += gain * (seconds_per_token - self.token_seconds);
    }

    /// Learned seconds between tokens; 0 before the first answer.
    pub fn token_interval(&self) -> f64 {
        self.token_seconds
    }

    /// Seconds until the work ahead, in tokens by rank, has been dispatched; `rate` is used for
    /// ranks without a learned rate.
    pub fn wait(&self, ahead: [u64; 4], rate: f64) -> f64 {
        let seconds = |(tokens, queue): (u64, &DrainRate)| {
            tokens as f64 / queue.rate.unwrap_or(rate).max(1.0)
        };
        ahead.into_iter().zip(&self.queue_rates).map(seconds).sum()
    }

    /// Seconds from the first token to the end of an answer of at most `most` tokens; 0 before the
    /// first answer.
    ///
    /// ```
    /// use lagoonline::{clock::Span, load::predict};
    /// let mut forecast = predict::Forecast::default();
    /// assert_eq!(forecast.answer(10_000), 0.0);
    /// forecast.record_answer(50, 100, Span::from_secs(1));
    /// assert_eq!(forecast.answer(10_000), 100.0);
    /// ```
    pub fn answer(&self, most: u64) -> f64 {
        most as f64 * self.answer_fraction * self.token_seconds
    }
}

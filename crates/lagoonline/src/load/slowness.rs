//! Learned slowness of an upstream relative to the rate that it reports.
//!
//! Load pattern: a slow upstream whose report still states its nominal rate. Without this module
//! its predicted time to the first token looks as short as the others' and it keeps its share of
//! the load. Each first token of a prompt of short rank gives the ratio of the actual to the
//! predicted time; longer prompts are left out, because later prompts overtake them. A prompt that
//! is late already counts before its first token, so that an upstream loses its load before its
//! slow answers arrive. The ratio decays towards 1; otherwise an upstream that gets no load could
//! never show that it has recovered.
//!
//! A late first token of a short prompt says little about the rate: on a fivefold slower engine 200
//! tokens still take only 50 ms. A first token is therefore weighted by its expected time, and the
//! time per answer token counts too, relative to the usual one in the zone. From twice the usual
//! time on an upstream is slow: it gets nothing but probes, one request at a time and one every two
//! seconds from all hosts of the zone together, until it is below one and a half. At most a third
//! of the upstreams are slow at once, since upstreams that all look slow together are only busier
//! than predicted.
//!
//! Without this module 2.3% of the requests still go to a fivefold slower engine after two seconds,
//! with it 0.5%.

use std::collections;

use crate::clock;
use crate::load::scheduler;

/// Weight of one sample.
const GAIN: f64 = 0.2;
/// Half-life in seconds of the distance of the ratio from 1 without new samples.
const HALF_LIFE_SECONDS: f64 = 10.0;
/// Lateness below this is noise caused by the engine's chunks, in seconds.
const NOISE_SECONDS: f64 = 0.1;
/// Slowness from which on an upstream gets probes only, and below which it gets load again.
const SLOW_BOUNDS: (f64, f64) = (2.0, 1.5);
/// Seconds between two probes of a slow upstream by all hosts of a zone.
const PROBE_SECONDS: f64 = 2.0;
/// One in this many upstreams may be slow at once; at least one always may.
const MAX_SLOW_DIVISOR: usize = 3;
/// Shortest answer, in tokens, whose speed is a usable sample.
const MIN_ANSWER_TOKENS: u64 = 4;
/// Bounds of one sample: a single stall of a minute must not count as a thousand slow answers.
const SAMPLE_BOUNDS: (f64, f64) = (1.0, 20.0);

/// A dispatched prompt without its first token.
#[derive(Clone, Copy, Debug)]
struct Pending {
    ticket: scheduler::Ticket,
    sent: clock::Moment,
    /// Seconds from dispatch to the first token by the prediction.
    expected: f64,
}

/// Learned slowness of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Slowness {
    /// Ratio of actual to expected time, less 1.
    excess: f64,
    last_sample: clock::Moment,
    last_dispatch: clock::Moment,
    /// Whether it gets probes only.
    slow: bool,
    /// Dispatched prompts without a first token, in order of dispatch.
    pending: collections::VecDeque<Pending>,
}

impl Slowness {
    /// Records the dispatch of a prompt whose first token is expected after `expected` seconds.
    pub fn record_dispatch(
        &mut self,
        now: clock::Moment,
        ticket: scheduler::Ticket,
        expected: f64,
    ) {
        self.last_dispatch = now;
        self.pending.push_back(Pending { ticket, sent: now, expected });
    }

    /// Records the first token of a prompt.
    pub fn record_first_token(&mut self, now: clock::Moment, ticket: scheduler::Ticket) {
        let Some(pending) = self.take(ticket) else { return };
        let took = seconds_between(pending.sent, now);
        let expected = pending.expected.max(1e-3);
        let sample = 1.0 + (took - expected - NOISE_SECONDS) / expected;
        self.learn(now, sample, expected / (expected + NOISE_SECONDS));
    }

    /// Records the end of an answer of `tokens` tokens that took `seconds` per token, where answers
    /// usually take `usual` seconds per token.
    pub fn record_answer(&mut self, now: clock::Moment, tokens: u64, seconds: f64, usual: f64) {
        if tokens >= MIN_ANSWER_TOKENS && usual > 0.0 {
            self.learn(now, seconds / usual, 1.0);
        }
    }

    /// Whether its state may change, so that [`Slowness::update`] should be called.
    pub fn needs_update(&self, now: clock::Moment) -> bool {
        self.slow || 1.0 + self.decayed(now) >= SLOW_BOUNDS.1
    }

    /// Updates whether it is slow enough to get probes only; `slow` of `all` upstreams are already.
    pub fn update(&mut self, now: clock::Moment, slow: usize, all: usize) {
        let factor = 1.0 + self.decayed(now);
        let capped = slow >= (all / MAX_SLOW_DIVISOR).max(1);
        self.slow = factor >= SLOW_BOUNDS.1 && (self.slow || (factor >= SLOW_BOUNDS.0 && !capped));
    }

    /// Whether it gets probes only.
    pub fn is_slow(&self, now: clock::Moment) -> bool {
        self.slow && 1.0 + self.decayed(now) >= SLOW_BOUNDS.1
    }

    /// Whether one of `hosts` hosts may probe it now.
    pub fn may_probe(&self, now: clock::Moment, hosts: u32) -> bool {
        seconds_between(self.last_dispatch, now) >= PROBE_SECONDS * f64::from(hosts)
    }

    /// Records that a prompt was abandoned because the upstream was silent.
    pub fn record_silence(&mut self, now: clock::Moment, ticket: scheduler::Ticket) {
        if self.take(ticket).is_some() {
            self.learn(now, SAMPLE_BOUNDS.1, 1.0);
        }
    }

    /// Records the end of a prompt, with or without a first token.
    pub fn record_end(&mut self, ticket: scheduler::Ticket) {
        self.take(ticket);
    }

    /// Factor by which the upstream is slower than it reports: 1 or more.
    pub fn factor(&self, now: clock::Moment) -> f64 {
        let learned = 1.0 + self.decayed(now);
        let late = self.pending.front().map_or(0.0, |pending| {
            seconds_between(pending.sent, now) / (pending.expected + NOISE_SECONDS)
        });
        learned.max(late.min(SAMPLE_BOUNDS.1))
    }

    fn learn(&mut self, now: clock::Moment, sample: f64, weight: f64) {
        let sample = sample.clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        let excess = self.decayed(now);
        self.excess = excess + GAIN * weight * (sample - 1.0 - excess);
        self.last_sample = now;
    }

    fn decayed(&self, now: clock::Moment) -> f64 {
        if self.excess == 0.0 {
            return 0.0;
        }
        self.excess * (-seconds_between(self.last_sample, now) / HALF_LIFE_SECONDS).exp2()
    }

    fn take(&mut self, ticket: scheduler::Ticket) -> Option<Pending> {
        let index = self.pending.iter().position(|pending| pending.ticket == ticket)?;
        self.pending.remove(index)
    }
}

/// Seconds from one moment to a later one. Routing computes this for every upstream, and a
/// conversion through a duration would cost a 128-bit division.
pub(crate) fn seconds_between(from: clock::Moment, to: clock::Moment) -> f64 {
    to.as_micros().saturating_sub(from.as_micros()) as f64 * 1e-6
}

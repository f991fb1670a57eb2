//! How fast an upstream really is, beside the rate that it reports.
//!
//! Load pattern: a slow upstream, whose report still names its nominal rate. Without this its
//! predicted wait looks as short as the others' and it keeps its share of the load. Each first
//! token of a short or medium prompt gives the ratio of the time it took to the time predicted;
//! long ones are left out, because prompts that came later overtake them. A prompt that is still
//! without its first token counts already when it is late, so that an upstream loses its load
//! before its slow answers arrive. The ratio decays towards 1, else an upstream that gets no load
//! could never show that it has recovered.

use std::collections;

use crate::clock;
use crate::load::scheduler;

/// Weight of one sample.
const GAIN: f64 = 0.2;
/// Time over which a ratio without new samples halves its distance from 1.
const HALF_LIFE: f64 = 10.0;
/// Lateness below this is noise of the engine's chunks, in seconds.
const GRACE: f64 = 0.1;
/// Bounds of one sample: one stall of a minute must not count as a thousand slow answers.
const BOUNDS: (f64, f64) = (0.5, 20.0);

/// A dispatched prompt without its first token.
#[derive(Clone, Copy, Debug)]
struct Pending {
    ticket: scheduler::Ticket,
    sent: clock::Moment,
    expected: f64,
}

/// Learned pace of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    /// Distance of the ratio of time taken to time expected from 1.
    excess: f64,
    learned: clock::Moment,
    pending: collections::VecDeque<Pending>,
}

impl Pace {
    /// A prompt went out whose first token is expected after `expected` seconds.
    pub fn sent(&mut self, now: clock::Moment, ticket: scheduler::Ticket, expected: f64) {
        self.pending.push_back(Pending { ticket, sent: now, expected });
    }

    /// Its first token came.
    pub fn first_token(&mut self, now: clock::Moment, ticket: scheduler::Ticket) {
        let Some(pending) = self.take(ticket) else { return };
        let took = seconds(pending.sent, now);
        let sample = (took / (pending.expected + GRACE)).clamp(BOUNDS.0, BOUNDS.1);
        self.learn(now, sample.max(1.0));
    }

    /// It was given up for its silence.
    pub fn silent(&mut self, now: clock::Moment, ticket: scheduler::Ticket) {
        if self.take(ticket).is_some() {
            self.learn(now, BOUNDS.1);
        }
    }

    /// It ended, perhaps without a first token.
    pub fn ended(&mut self, ticket: scheduler::Ticket) {
        self.take(ticket);
    }

    /// By how much the upstream is slower than it says: 1 or more.
    pub fn slowness(&self, now: clock::Moment) -> f64 {
        let learned = 1.0 + self.decayed(now);
        let late = self
            .pending
            .front()
            .map_or(0.0, |pending| seconds(pending.sent, now) / (pending.expected + GRACE));
        learned.max(late.min(BOUNDS.1))
    }

    fn learn(&mut self, now: clock::Moment, sample: f64) {
        let excess = self.decayed(now);
        self.excess = excess + GAIN * (sample - 1.0 - excess);
        self.learned = now;
    }

    fn decayed(&self, now: clock::Moment) -> f64 {
        if self.excess == 0.0 {
            return 0.0;
        }
        self.excess * (-seconds(self.learned, now) / HALF_LIFE).exp2()
    }

    fn take(&mut self, ticket: scheduler::Ticket) -> Option<Pending> {
        let index = self.pending.iter().position(|pending| pending.ticket == ticket)?;
        self.pending.remove(index)
    }
}

/// Seconds from one moment to a later one; routing asks this of every upstream, and the detour
/// over a duration costs a division of 128 bits.
pub(crate) fn seconds(from: clock::Moment, to: clock::Moment) -> f64 {
    to.as_micros().saturating_sub(from.as_micros()) as f64 * 1e-6
}

//! How fast an upstream really is, beside the rate that it reports.
//!
//! Load pattern: a slow upstream, whose report still names its nominal rate. Without this its
//! predicted wait looks as short as the others' and it keeps its share of the load. Each first
//! token of a short or medium prompt gives the ratio of the time it took to the time predicted;
//! long ones are left out, because prompts that came later overtake them. A prompt that is still
//! without its first token counts already when it is late, so that an upstream loses its load
//! before its slow answers arrive. The ratio decays towards 1, else an upstream that gets no load
//! could never show that it has recovered.
//!
//! A short prompt's lateness says little of the rate: on a fivefold slower engine 200 tokens still
//! take only 50 ms. So a first token counts by how long it was expected to take, and the pace of
//! answer tokens counts too, beside what is usual in the zone. From twice the usual time on an
//! upstream is slow: it gets nothing but one request at a time, one each two seconds from all hosts
//! of the zone together, until it is below one and a half. At most a third are slow at once, since
//! all that look slow together are only busier than predicted.
//!
//! Without it 2.3% of the requests still go to a fivefold slower engine after two seconds, with it
//! 0.5%.

use std::collections;

use crate::clock;
use crate::load::scheduler;

/// Weight of one sample.
const GAIN: f64 = 0.2;
/// Time over which a ratio without new samples halves its distance from 1.
const HALF_LIFE: f64 = 10.0;
/// Lateness below this is noise of the engine's chunks, in seconds.
const GRACE: f64 = 0.1;
/// Slowness from which on an upstream gets probes only, and below which it gets load again.
const SLOW: (f64, f64) = (2.0, 1.5);
/// Time between two probes of a slow upstream by all hosts of a zone.
const PROBE: f64 = 2.0;
/// One in this many upstreams may be slow at once; at least one always may.
const CAP: usize = 3;
/// Fewest answer tokens whose pace says something.
const TOKENS: u64 = 4;
/// Bounds of one sample: one stall of a minute must not count as a thousand slow answers.
const BOUNDS: (f64, f64) = (1.0, 20.0);

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
    sent: clock::Moment,
    slow: bool,
    pending: collections::VecDeque<Pending>,
}

impl Pace {
    /// A prompt went out whose first token is expected after `expected` seconds.
    pub fn sent(&mut self, now: clock::Moment, ticket: scheduler::Ticket, expected: f64) {
        self.sent = now;
        self.pending.push_back(Pending { ticket, sent: now, expected });
    }

    /// Its first token came.
    pub fn first_token(&mut self, now: clock::Moment, ticket: scheduler::Ticket) {
        let Some(pending) = self.take(ticket) else { return };
        let took = seconds(pending.sent, now);
        let expected = pending.expected.max(1e-3);
        let sample = 1.0 + (took - expected - GRACE) / expected;
        self.learn(now, sample, expected / (expected + GRACE));
    }

    /// An answer of `tokens` tokens ended, each of which took `seconds` where `usual` is usual.
    pub fn answered(&mut self, now: clock::Moment, tokens: u64, seconds: f64, usual: f64) {
        if tokens >= TOKENS && usual > 0.0 {
            self.learn(now, seconds / usual, 1.0);
        }
    }

    /// Whether it may have to be judged.
    pub fn looks_slow(&self, now: clock::Moment) -> bool {
        self.slow || 1.0 + self.decayed(now) >= SLOW.1
    }

    /// Whether it is slow enough to be left to probes; `slow` of `all` upstreams are already.
    pub fn judge(&mut self, now: clock::Moment, slow: usize, all: usize) {
        let slowness = 1.0 + self.decayed(now);
        let capped = slow >= (all / CAP).max(1);
        self.slow = slowness >= SLOW.1 && (self.slow || (slowness >= SLOW.0 && !capped));
    }

    /// Whether it gets probes only.
    pub fn is_slow(&self, now: clock::Moment) -> bool {
        self.slow && 1.0 + self.decayed(now) >= SLOW.1
    }

    /// Whether one of `hosts` hosts may probe it now.
    pub fn may_probe(&self, now: clock::Moment, hosts: u32) -> bool {
        seconds(self.sent, now) >= PROBE * f64::from(hosts)
    }

    /// It was given up for its silence.
    pub fn silent(&mut self, now: clock::Moment, ticket: scheduler::Ticket) {
        if self.take(ticket).is_some() {
            self.learn(now, BOUNDS.1, 1.0);
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

    fn learn(&mut self, now: clock::Moment, sample: f64, weight: f64) {
        let sample = sample.clamp(BOUNDS.0, BOUNDS.1);
        let excess = self.decayed(now);
        self.excess = excess + GAIN * weight * (sample - 1.0 - excess);
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

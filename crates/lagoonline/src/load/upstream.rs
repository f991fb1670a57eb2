//! What one host knows of one upstream: its own work there, and a lagging report of the rest.
//!
//! Load pattern: load views that lag by up to a second. On the report alone every host sends its
//! queue to the engine that was idle a moment ago. So the work of this host is counted exactly,
//! only the part of other hosts comes from the report, and prefill drains at the known rate
//! between reports.

use crate::clock;
use crate::control::document;
use crate::id;
use crate::load::floor;
use crate::load::outlier;
use crate::load::ramp;
use crate::load::rate;
use crate::port::engine;

/// Tokens that an engine prefills in one step, which a newcomer of any priority waits for.
const CHUNK: f64 = 1_024.0;

/// Prefill of other hosts that can be short prompts only, in seconds of the engine's rate: each
/// host's own bound on what is ahead, with some for the lag.
const SHORT_SECONDS: f64 = 0.4;
/// Weight of one report in what others usually have.
const TYPICAL_GAIN: f64 = 0.05;

/// One upstream as seen from this host.
#[derive(Debug, Default)]
pub(crate) struct Upstream {
    pub name: id::Upstream,
    /// Stable while the scheduler lives.
    pub number: u32,
    /// Raised when what is known of its cache becomes void.
    pub epoch: u32,
    /// Its place among the upstreams of this host's zone, none for those of other zones.
    pub local: Option<usize>,
    /// Time by which its wait must be shorter than a local one's, in seconds.
    pub delay: f64,
    pub slots: u32,
    pub kv_tokens: u64,
    pub role: engine::Role,
    pub leaving: bool,
    /// No longer in the fleet; kept until its work ends.
    pub gone: bool,
    pub joined: Option<clock::Moment>,
    pub full_until: clock::Moment,
    pub health: outlier::Health,
    pub pace: rate::Pace,
    /// Our requests, those before their first token by class in tokens, and our KV memory.
    pub requests: u32,
    pub pending: [u64; 4],
    pub kv: u64,
    pub nominal: f64,
    pub incarnation: u64,
    pub cache_sequence: u64,
    others_requests: u32,
    others_kv: u64,
    own: [f64; 4],
    others: [f64; 4],
    pub floor: floor::Floor,
    drained: clock::Moment,
}

impl Upstream {
    /// Prefill rate by what was learned, in tokens a second.
    pub fn rate(&self, now: clock::Moment) -> f64 {
        self.nominal / self.pace.slowness(now)
    }

    /// Prefill of this class and shorter ones that is outstanding, in tokens, at the learned rate.
    pub fn ahead(&self, now: clock::Moment, class: document::Class, rate: f64) -> f64 {
        let upto = class as usize;
        let all: f64 = (0..=upto).map(|class| self.own[class] + self.others[class]).sum();
        let drained = rate::seconds(self.drained, now) * rate;
        (all - drained).max(0.0)
    }

    /// Seconds until the first token of a prompt with `tokens` tokens to prefill, at the rate that
    /// was learned.
    pub fn first_token(
        &self,
        now: clock::Moment,
        class: document::Class,
        tokens: f64,
        rate: f64,
    ) -> f64 {
        let residual = if self.has_later(class) { CHUNK / 2.0 } else { 0.0 };
        (self.ahead(now, class, rate) + tokens + residual) / rate.max(1.0) + self.delay
    }

    /// Long prefill that is outstanding here, by our count and the last report, in tokens.
    pub fn long_pending(&self) -> f64 {
        (self.pending[2] + self.pending[3]) as f64 + self.others[2] + self.others[3]
    }

    /// Prefill of all but the first rank that is outstanding here, in tokens.
    pub fn later_pending(&self) -> f64 {
        self.pending[1] as f64 + self.long_pending()
    }

    /// Slots that are free for this host.
    pub fn free_slots(&self, now: clock::Moment, ramped: bool) -> u32 {
        let joined = if ramped { self.joined } else { None };
        let slots = ramp::slots(self.slots, joined, now);
        slots.saturating_sub(self.requests + self.others_requests)
    }

    /// KV memory that is free, in tokens.
    pub fn free_kv(&self) -> u64 {
        self.kv_tokens.saturating_sub(self.kv + self.others_kv)
    }

    /// Whether anything new may go there.
    pub fn is_open(&self, now: clock::Moment, outliers: bool) -> bool {
        let healthy = !outliers || self.health.allows(now);
        !self.gone && !self.leaving && healthy && self.full_until <= now
    }

    /// Whether prompts of a later rank are pending here.
    pub fn has_later(&self, rank: document::Class) -> bool {
        (rank as usize + 1..4).any(|rank| self.pending[rank] > 0 || self.others[rank] > 0.0)
    }

    /// Takes in a report. Reports do not tell prompts apart by length, but every host keeps short
    /// prefill below a bound: `typical` is what others usually have, and what exceeds that in a
    /// large report must be long.
    pub fn observe(&mut self, now: clock::Moment, load: &engine::Load, typical: &mut f64) {
        self.drain(now);
        if load.prefill_rate > 0.0 {
            self.nominal = load.prefill_rate;
        }
        if load.kv_tokens > 0 {
            self.kv_tokens = load.kv_tokens;
            let used = load.kv_tokens.saturating_sub(load.kv_free_tokens);
            self.others_kv = used.saturating_sub(self.kv);
        }
        self.others_requests = (load.running + load.waiting).saturating_sub(self.requests);
        let own: f64 = self.own.iter().sum();
        let others = (load.prefill_tokens as f64 - own).max(0.0);
        if others <= self.nominal * SHORT_SECONDS {
            *typical += TYPICAL_GAIN * (others - *typical);
            self.others = [others, 0.0, 0.0, 0.0];
        } else {
            self.others = [typical.min(others), 0.0, (others - *typical).max(0.0), 0.0];
        }
    }

    /// Adds prefill of ours.
    pub fn add(&mut self, now: clock::Moment, class: document::Class, tokens: u64, kv: u64) {
        self.drain(now);
        self.own[class as usize] += tokens as f64;
        self.pending[class as usize] += tokens;
        self.kv += kv;
    }

    /// Prefill of ours is done or given up.
    pub fn prefilled(&mut self, now: clock::Moment, class: document::Class, tokens: u64) {
        self.drain(now);
        let class = class as usize;
        self.pending[class] = self.pending[class].saturating_sub(tokens);
        self.own[class] = self.own[class].min(self.pending[class] as f64);
    }

    /// Moves the outstanding prefill on, shorter classes first as the engine does.
    fn drain(&mut self, now: clock::Moment) {
        let mut work = rate::seconds(self.drained, now) * self.rate(now);
        for (own, others) in self.own.iter_mut().zip(&mut self.others) {
            let all = *own + *others;
            if all > 0.0 {
                let left = (1.0 - work / all).max(0.0);
                work = (work - all).max(0.0);
                *own *= left;
                *others *= left;
            }
        }
        self.drained = now;
    }
}

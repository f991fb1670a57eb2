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
/// How old the work that a report shows may be. At 500 ms, hosts that share engines take too much
/// of each other's work for their own: short p95 beside long prompts rose from 331 to 342 ms.
const REPORT_LAG: clock::Span = clock::Span::from_millis(200);
/// How long a report counts without a newer one: several reports may be lost, and a short prompt
/// that waits for it to lapse is still answered.
const REPORT_LIFE: clock::Span = clock::Span::from_secs(2);

/// Most that this host had there of late.
///
/// Failure answered: requests of ours end while a report that still shows them is on its way.
/// Symptom: they count as other hosts' work, the engine looks full, nothing is sent to it, and so
/// no answer brings a newer report; callers are refused as saturated before an idle engine. What
/// we had within the lag is taken off instead, which at worst counts too little, and then the
/// engine's own refusal is final.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    since: clock::Moment,
    before: u64,
    now: u64,
}

impl Peak {
    fn saw(&mut self, now: clock::Moment, amount: u64) {
        let age = now.since(self.since);
        if age >= REPORT_LAG {
            self.before = if age < REPORT_LAG * 2 { self.now } else { 0 };
            (self.now, self.since) = (0, now);
        }
        self.now = self.now.max(amount);
    }

    /// The peak, `amount` being what is there at the moment.
    fn most(&mut self, now: clock::Moment, amount: u64) -> u64 {
        self.saw(now, amount);
        self.before.max(self.now)
    }
}

/// Prefill of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// By length.
    pub class: document::Class,
    /// By length and the customer's share.
    pub rank: document::Class,
    pub tokens: u64,
}

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
    /// The same by length, whatever the customer's share.
    lengths: [u64; 4],
    pub kv: u64,
    pub nominal: f64,
    pub incarnation: u64,
    others_requests: u32,
    others_kv: u64,
    reported: clock::Moment,
    requests_peak: Peak,
    kv_peak: Peak,
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
    pub fn long_pending(&self, now: clock::Moment) -> f64 {
        (self.pending[2] + self.pending[3]) as f64 + self.others_long(now)
    }

    /// The part of other hosts, as far as it is not done since the report.
    ///
    /// Failure answered: a report counts work of ours as theirs, because the engine is behind what
    /// we predicted. Symptom: while nothing is sent there, nothing takes that work off again, so
    /// a long prompt waits before an idle engine until it is refused.
    fn others_long(&self, now: clock::Moment) -> f64 {
        let others = self.others[2] + self.others[3];
        if others <= 0.0 || !self.is_current(now) {
            return 0.0;
        }
        (others - rate::seconds(self.drained, now) * self.rate(now)).max(0.0)
    }

    /// Prefill of all but the first rank that is outstanding here, in tokens.
    pub fn later_pending(&self, now: clock::Moment) -> f64 {
        self.pending[1] as f64 + self.long_pending(now)
    }

    /// Slots that are free for this host.
    pub fn free_slots(&self, now: clock::Moment, ramped: bool) -> u32 {
        let joined = if ramped { self.joined } else { None };
        let slots = ramp::slots(self.slots, joined, now);
        let others = if self.is_current(now) { self.others_requests } else { 0 };
        slots.saturating_sub(self.requests + others)
    }

    /// KV memory that is free, in tokens.
    pub fn free_kv(&self, now: clock::Moment) -> u64 {
        let others = if self.is_current(now) { self.others_kv } else { 0 };
        self.kv_tokens.saturating_sub(self.kv + others)
    }

    /// Whether the last report still counts: with the observer dead, an engine that was full when
    /// it died would otherwise look full for ever.
    fn is_current(&self, now: clock::Moment) -> bool {
        now.since(self.reported) < REPORT_LIFE
    }

    /// Work of ours ends there.
    pub fn ended(&mut self, now: clock::Moment, kv: u64) {
        self.requests_peak.saw(now, u64::from(self.requests));
        self.kv_peak.saw(now, self.kv);
        self.requests = self.requests.saturating_sub(1);
        self.kv = self.kv.saturating_sub(kv);
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

    /// Whether prompts longer than of this class are pending here, by our count and the last report.
    pub fn has_longer(&self, class: document::Class) -> bool {
        (class as usize + 1..4).any(|class| self.lengths[class] > 0 || self.others[class] > 0.0)
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
            self.others_kv = used.saturating_sub(self.kv_peak.most(now, self.kv));
        }
        self.reported = now;
        let own = self.requests_peak.most(now, u64::from(self.requests));
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        self.others_requests = load.running.saturating_add(load.waiting).saturating_sub(own);
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
    pub fn add(&mut self, now: clock::Moment, load: Load, kv: u64) {
        self.drain(now);
        self.own[load.rank as usize] += load.tokens as f64;
        self.pending[load.rank as usize] += load.tokens;
        self.lengths[load.class as usize] += load.tokens;
        self.kv += kv;
    }

    /// Prefill of ours is done or given up.
    pub fn prefilled(&mut self, now: clock::Moment, load: Load) {
        self.drain(now);
        let (class, rank) = (load.class as usize, load.rank as usize);
        self.lengths[class] = self.lengths[class].saturating_sub(load.tokens);
        self.pending[rank] = self.pending[rank].saturating_sub(load.tokens);
        self.own[rank] = self.own[rank].min(self.pending[rank] as f64);
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

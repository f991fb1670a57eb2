//! One upstream as known to one host: the host's own work there, and a lagging report of the rest.
//!
//! Load pattern: a view of the load that is up to a second old. If only load reports were used,
//! every host would send its queue to the engine that was idle a moment ago. The work of this host
//! is therefore counted exactly, only the work of other hosts comes from the report, and prefill is
//! drained at the known rate between reports.

use crate::clock;
use crate::control::document;
use crate::id;
use crate::load::floor;
use crate::load::outlier;
use crate::load::prefix;
use crate::load::ramp;
use crate::load::slowness;
use crate::port::engine;

/// Tokens that any engine is assumed to prefill in one step, for which a new request of any
/// priority waits. The published chunk size ([`crate::load::profile::Profile::chunk`]) is not used
/// here.
const CHUNK_TOKENS: f64 = 1_024.0;

/// Largest prefill of other hosts that may still consist of short prompts only, in seconds of the
/// engine's rate: each host's own bound on outstanding prefill, with a margin for the lag.
const MAX_SHORT_SECONDS: f64 = 0.4;
/// Weight of one report in the typical prefill of other hosts.
const TYPICAL_GAIN: f64 = 0.05;
/// Assumed age of the state in a report on its arrival: own work within it is subtracted from the
/// report. With 500 ms, hosts that share engines mistake too much of each other's work for their
/// own: the p95 of short prompts beside long ones rose from 331 to 342 ms.
const REPORT_LAG: clock::Span = clock::Span::from_millis(200);
/// How long a report is valid without a newer one: several reports may be lost, and a short prompt
/// that waits for it to expire is still answered.
const REPORT_VALIDITY: clock::Span = clock::Span::from_secs(2);

/// Recent maximum of this host's own work on an upstream.
///
/// Failure mode: requests of this host end while a report that still includes them is in
/// transit. Symptom: they are counted as other hosts' work, the engine looks full, nothing is sent
/// to it, and so no answer triggers a newer report; callers are refused as saturated although the
/// engine is idle. Subtracting the recent maximum of the own work at worst underestimates the work
/// of others, and then the engine's own refusal is authoritative.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    since: clock::Moment,
    previous: u64,
    current: u64,
}

impl Peak {
    fn record(&mut self, now: clock::Moment, amount: u64) {
        let age = now.since(self.since);
        if age >= REPORT_LAG {
            self.previous = if age < REPORT_LAG * 2 { self.current } else { 0 };
            (self.current, self.since) = (0, now);
        }
        self.current = self.current.max(amount);
    }

    /// The recent maximum, where `amount` is the current value.
    fn max(&mut self, now: clock::Moment, amount: u64) -> u64 {
        self.record(now, amount);
        self.previous.max(self.current)
    }
}

/// Prefill of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptPrefill {
    /// Class by length.
    pub class: document::Class,
    /// Class by length and the customer's share.
    pub rank: document::Class,
    pub tokens: u64,
}

/// One upstream as seen from this host.
#[derive(Debug, Default)]
pub(crate) struct Upstream {
    pub name: id::Upstream,
    /// Stable for the lifetime of the scheduler.
    pub number: u32,
    /// What this host has placed in its memory, from which its cached prefixes are estimated.
    pub cache: prefix::Memory,
    /// Its index among the upstreams of this host's zone; none for those of other zones.
    pub local_index: Option<usize>,
    /// Delay and cost of its zone, as the seconds by which its first token must be predicted sooner
    /// than a local one's; 0 for this host's zone.
    pub zone_delay: f64,
    pub slots: u32,
    pub kv_tokens: u64,
    pub role: engine::Role,
    pub leaving: bool,
    /// No longer in the fleet; kept until its work ends.
    pub removed: bool,
    /// When it joined or restarted; none if it was there when the scheduler started.
    pub joined_at: Option<clock::Moment>,
    /// Until when it gets no new requests because it reported itself full.
    pub full_until: clock::Moment,
    pub health: outlier::Health,
    pub slowness: slowness::Slowness,
    /// Number of this host's requests there.
    pub requests: u32,
    /// Prefill of this host's requests without a first token, in tokens by rank.
    pub pending: [u64; 4],
    /// The same by length class, regardless of the customer's share.
    pending_by_length: [u64; 4],
    /// KV tokens of this host's requests there.
    pub kv: u64,
    /// Prefill rate that it reports, in tokens per second; the configured one before the first
    /// report.
    pub nominal_rate: f64,
    /// Incarnation of its process by the last report; 0 before the first one.
    pub incarnation: u64,
    /// Requests of other hosts, by the last report.
    other_requests: u32,
    /// KV tokens of other hosts, by the last report.
    other_kv: u64,
    /// When the last report arrived.
    reported_at: clock::Moment,
    requests_peak: Peak,
    kv_peak: Peak,
    /// Estimated outstanding prefill of this host as of `drained_to`, in tokens by rank.
    own_prefill: [f64; 4],
    /// The same for other hosts, as far as the last report shows it.
    other_prefill: [f64; 4],
    /// Short prefill that this host has sent beyond its allowed rate.
    pub short_excess: floor::ShortExcess,
    /// Time up to which the outstanding prefill has been advanced.
    drained_to: clock::Moment,
}

impl Upstream {
    /// Learned prefill rate, in tokens per second.
    pub fn rate(&self, now: clock::Moment) -> f64 {
        self.nominal_rate / self.slowness.factor(now)
    }

    /// Outstanding prefill of this rank and earlier ones, in tokens, if the engine works at
    /// `rate`.
    pub fn ahead(&self, now: clock::Moment, rank: document::Class, rate: f64) -> f64 {
        let last = rank as usize;
        let all: f64 =
            (0..=last).map(|rank| self.own_prefill[rank] + self.other_prefill[rank]).sum();
        let drained = slowness::seconds_between(self.drained_to, now) * rate;
        (all - drained).max(0.0)
    }

    /// Seconds until the first token of a prompt with `tokens` tokens to prefill, if the engine
    /// works at `rate`.
    pub fn first_token_seconds(
        &self,
        now: clock::Moment,
        rank: document::Class,
        tokens: f64,
        rate: f64,
    ) -> f64 {
        // On average half of the current chunk of a later rank remains to be prefilled.
        let chunk_rest = if self.has_later_rank(rank) { CHUNK_TOKENS / 2.0 } else { 0.0 };
        (self.ahead(now, rank, rate) + tokens + chunk_rest) / rate.max(1.0) + self.zone_delay
    }

    /// Outstanding prefill of the ranks long and huge, by this host's count and the last report, in
    /// tokens. It includes medium prompts of customers over their share, which are ranked as long.
    pub fn long_rank_pending(&self, now: clock::Moment) -> f64 {
        (self.pending[2] + self.pending[3]) as f64 + self.other_long_rank_prefill(now)
    }

    /// Prefill of other hosts in the ranks long and huge that is not done since the report.
    ///
    /// Failure mode: a report counts work of this host as that of others, because the engine is
    /// slower than predicted. Symptom: while nothing is sent there, nothing removes that work, so a
    /// long prompt waits although the engine is idle, until it is refused.
    fn other_long_rank_prefill(&self, now: clock::Moment) -> f64 {
        let others = self.other_prefill[2] + self.other_prefill[3];
        if others <= 0.0 || !self.is_report_valid(now) {
            return 0.0;
        }
        (others - slowness::seconds_between(self.drained_to, now) * self.rate(now)).max(0.0)
    }

    /// Outstanding prefill of all but the first rank, in tokens.
    pub fn later_rank_pending(&self, now: clock::Moment) -> f64 {
        self.pending[1] as f64 + self.long_rank_pending(now)
    }

    /// Slots that are free for this host.
    pub fn free_slots(&self, now: clock::Moment, ramped: bool) -> u32 {
        let joined = if ramped { self.joined_at } else { None };
        let slots = ramp::slots(self.slots, joined, now);
        let others = if self.is_report_valid(now) { self.other_requests } else { 0 };
        slots.saturating_sub(self.requests + others)
    }

    /// Free KV memory, in tokens.
    pub fn free_kv(&self, now: clock::Moment) -> u64 {
        let others = if self.is_report_valid(now) { self.other_kv } else { 0 };
        self.kv_tokens.saturating_sub(self.kv + others)
    }

    /// Whether the last report is still valid. If reports stop, for example because the process
    /// that polls the engine crashes, an engine that was full in the last one would otherwise look
    /// full forever.
    fn is_report_valid(&self, now: clock::Moment) -> bool {
        now.since(self.reported_at) < REPORT_VALIDITY
    }

    /// Records that a request of this host ended there.
    pub fn record_end(&mut self, now: clock::Moment, kv: u64) {
        self.requests_peak.record(now, u64::from(self.requests));
        self.kv_peak.record(now, self.kv);
        self.requests = self.requests.saturating_sub(1);
        self.kv = self.kv.saturating_sub(kv);
    }

    /// Whether new requests may be sent there.
    pub fn is_available(&self, now: clock::Moment, outliers: bool) -> bool {
        let healthy = !outliers || self.health.allows(now);
        !self.removed && !self.leaving && healthy && self.full_until <= now
    }

    /// Whether prompts of a later rank are pending here.
    pub fn has_later_rank(&self, rank: document::Class) -> bool {
        (rank as usize + 1..4).any(|rank| self.pending[rank] > 0 || self.other_prefill[rank] > 0.0)
    }

    /// Whether prompts are pending here that come after `rank` because of their length, by this
    /// host's count and the last report. Unlike in [`Upstream::has_later_rank`], a prompt of this
    /// host counts by its length class and not by its rank.
    pub fn has_longer_than(&self, rank: document::Class) -> bool {
        (rank as usize + 1..4)
            .any(|class| self.pending_by_length[class] > 0 || self.other_prefill[class] > 0.0)
    }

    /// Applies a load report. Reports do not distinguish prompts by length, but every host keeps
    /// short prefill below a bound: `typical` is what other hosts usually have outstanding, and
    /// what exceeds it in a large report must be long.
    pub fn observe(&mut self, now: clock::Moment, load: &engine::LoadReport, typical: &mut f64) {
        self.drain(now);
        if load.prefill_rate > 0.0 {
            self.nominal_rate = load.prefill_rate;
        }
        if load.kv_tokens > 0 {
            self.kv_tokens = load.kv_tokens;
            let used = load.kv_tokens.saturating_sub(load.kv_free_tokens);
            self.other_kv = used.saturating_sub(self.kv_peak.max(now, self.kv));
        }
        self.reported_at = now;
        let own = self.requests_peak.max(now, u64::from(self.requests));
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        self.other_requests = load.running.saturating_add(load.waiting).saturating_sub(own);
        let own: f64 = self.own_prefill.iter().sum();
        let others = (load.prefill_tokens as f64 - own).max(0.0);
        if others <= self.nominal_rate * MAX_SHORT_SECONDS {
            *typical += TYPICAL_GAIN * (others - *typical);
            self.other_prefill = [others, 0.0, 0.0, 0.0];
        } else {
            self.other_prefill = [typical.min(others), 0.0, (others - *typical).max(0.0), 0.0];
        }
    }

    /// Adds prefill and memory of a request of this host.
    pub fn add_prefill(&mut self, now: clock::Moment, prefill: PromptPrefill, kv: u64) {
        self.drain(now);
        self.own_prefill[prefill.rank as usize] += prefill.tokens as f64;
        self.pending[prefill.rank as usize] += prefill.tokens;
        self.pending_by_length[prefill.class as usize] += prefill.tokens;
        self.kv += kv;
    }

    /// Records that prefill of this host is done or abandoned.
    pub fn remove_prefill(&mut self, now: clock::Moment, prefill: PromptPrefill) {
        self.drain(now);
        let (class, rank) = (prefill.class as usize, prefill.rank as usize);
        self.pending_by_length[class] =
            self.pending_by_length[class].saturating_sub(prefill.tokens);
        self.pending[rank] = self.pending[rank].saturating_sub(prefill.tokens);
        self.own_prefill[rank] = self.own_prefill[rank].min(self.pending[rank] as f64);
    }

    /// Advances the outstanding prefill, shorter classes first as in the engine.
    fn drain(&mut self, now: clock::Moment) {
        let mut work = slowness::seconds_between(self.drained_to, now) * self.rate(now);
        for (own, others) in self.own_prefill.iter_mut().zip(&mut self.other_prefill) {
            let all = *own + *others;
            if all > 0.0 {
                let left = (1.0 - work / all).max(0.0);
                work = (work - all).max(0.0);
                *own *= left;
                *others *= left;
            }
        }
        self.drained_to = now;
    }
}

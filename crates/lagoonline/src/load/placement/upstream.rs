//! State of one upstream, which is a model engine or a replica of a plain service, as far as this
//! host knows what is in flight on it.

use super::{Dispatch, DispatchId};
use crate::clock;
use crate::load::{cold, profile, upstream_limit};
use crate::routing;

/// Progress of a dispatch on one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// The prompt, or a part of it, is being prefilled; the field is the remaining prefill time in
    /// milliseconds.
    Prefill(f64),
    /// The answer is being decoded here.
    Decode,
    /// The part has been prefilled and only occupies KV memory.
    Hold,
}

/// The share of a dispatch that runs on this upstream.
#[derive(Clone, Debug, PartialEq)]
struct Part {
    dispatch: DispatchId,
    stage: Stage,
    /// Whether this upstream decodes the answer.
    is_primary: bool,
    /// Milliseconds that the prefill takes if nothing else runs on the engine.
    total_ms: f64,
    /// KV cache memory in tokens.
    memory_tokens: u64,
    /// Longest pause between events that the caller tolerates, in milliseconds.
    max_gap_ms: f64,
    /// Priority of its request; 0 is the most urgent.
    urgency: u32,
}

impl Part {
    /// Estimated remaining prefill time in milliseconds.
    fn remaining_ms(&self) -> f64 {
        match self.stage {
            Stage::Prefill(left) => left.max(self.total_ms * UNCONFIRMED_SHARE),
            Stage::Decode | Stage::Hold => 0.0,
        }
    }
}

/// Slowness (actual pass time divided by the published one) from which an engine counts as slow: a
/// pass of a full engine that includes the prefill of two average short prompts then takes most of
/// the shortest gap that callers tolerate.
const SLOW_FACTOR: f64 = 1.6;
/// Share of its prefill time that a part still counts as until the first token of its prompt
/// arrives.
///
/// Load pattern: engines that fall behind their estimate. By the estimate their parts are done, so
/// they would look idle and get the next parts as well. The missing first tokens of their prompts
/// show which engines these are.
const UNCONFIRMED_SHARE: f64 = 0.25;
/// How long a reported slowness is valid: three report intervals, so that two reports may be lost.
const SLOWNESS_VALIDITY: clock::Span = clock::Span::from_millis(3_000);
/// Cost in milliseconds that a fully occupied engine adds for a new request besides its prefill
/// queue: two thirds of a pass of a full engine.
const OCCUPANCY_COST_MS: f64 = 40.0;
/// Cost in milliseconds of each request beyond the number of slots: a tenth of the time of an
/// answer.
const EXCESS_COST_MS: f64 = 200.0;
/// Consecutive failures without a response up to which the time for which an upstream is avoided
/// grows.
const MAX_UNREACHABLE_COUNT: u32 = 4;
/// How far one failure moves the remembered failure rate towards one.
const FAILURE_WEIGHT: f64 = 0.35;
/// Factor by which one answer reduces the remembered failure rate.
const SUCCESS_FACTOR: f64 = 0.8;
/// Half-life of the remembered failure rate in seconds; an avoided upstream is thereby tried again.
const FAILURE_HALF_LIFE_SECONDS: f64 = 1.5;

/// An upstream and the dispatches in flight on it.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    entry: routing::Registration,
    profile: Option<profile::Profile>,
    /// In-flight work on it, in order of arrival.
    parts: Vec<Part>,
    /// Time up to which the progress of `parts` has been estimated.
    advanced_to: clock::Moment,
    /// Until when it is avoided after a failure without a response.
    avoided_until: Option<clock::Moment>,
    /// When it last failed without sending a response.
    unreachable_at: Option<clock::Moment>,
    /// Consecutive failures without a response, up to [`MAX_UNREACHABLE_COUNT`].
    unreachable_count: u32,
    /// Until when it counts as full after it refused a reservation.
    full_until: Option<clock::Moment>,
    /// When this host last received anything from it.
    last_activity: clock::Moment,
    /// Recent share of failed requests, as of `failure_rate_at`.
    failure_rate: f64,
    failure_rate_at: clock::Moment,
    /// When its slowness was last reported, and the reported factor.
    slowness: Option<(clock::Moment, f64)>,
    /// The limit that it names on its requests.
    limit: upstream_limit::Limit,
    /// Whether it is cold.
    cold: cold::Cold,
    /// Whether its limit, if it has one, and its being cold, if it is, let this host send it a request now.
    is_open: bool,
    /// Whether it has named a limit that cannot be read.
    named_unreadable_limit: bool,
}

impl UpstreamState {
    pub(super) fn new(
        entry: routing::Registration,
        profile: Option<profile::Profile>,
    ) -> UpstreamState {
        UpstreamState {
            entry,
            profile,
            parts: Vec::new(),
            advanced_to: clock::Moment::START,
            avoided_until: None,
            unreachable_at: None,
            unreachable_count: 0,
            full_until: None,
            last_activity: clock::Moment::START,
            failure_rate: 0.0,
            failure_rate_at: clock::Moment::START,
            slowness: None,
            limit: upstream_limit::Limit::default(),
            cold: cold::Cold::default(),
            is_open: true,
            named_unreadable_limit: false,
        }
    }

    /// Its registration.
    pub fn entry(&self) -> &routing::Registration {
        &self.entry
    }

    /// Its published performance profile; none for a replica of a plain service.
    pub fn profile(&self) -> Option<profile::Profile> {
        self.profile
    }

    /// The limit that it names on its requests.
    pub(super) fn limit(&self) -> &upstream_limit::Limit {
        &self.limit
    }

    pub(super) fn limit_mut(&mut self) -> &mut upstream_limit::Limit {
        &mut self.limit
    }

    /// Records that it named a limit that cannot be read. Returns whether that is the first one.
    pub(super) fn record_unreadable_limit(&mut self) -> bool {
        !std::mem::replace(&mut self.named_unreadable_limit, true)
    }

    /// Whether it has a limit on its requests.
    pub(super) fn is_limited(&self) -> bool {
        self.limit.rate().is_some()
    }

    /// Fills the permits of its limit, and determines whether it is open.
    pub(super) fn update_permits(&mut self, turns: &upstream_limit::Turns, now: clock::Moment) {
        let upstream = &self.entry.upstream;
        self.is_open = self.limit.bucket_mut().is_none_or(|bucket| {
            bucket.fill(now);
            bucket.has_permit(turns.lead(upstream, now))
        });
    }

    /// What is known of its being cold.
    pub(super) fn cold(&self) -> &cold::Cold {
        &self.cold
    }

    pub(super) fn cold_mut(&mut self) -> &mut cold::Cold {
        &mut self.cold
    }

    /// Whether it is cold.
    pub(super) fn is_cold(&self) -> bool {
        self.cold.until().is_some()
    }

    /// Whether its requests need permits.
    pub(super) fn needs_permits(&self) -> bool {
        self.is_limited() || self.is_cold()
    }

    /// The permits of its limit, or of its cold time; the scarcer ones if it has both.
    pub(super) fn bucket(&self) -> Option<&upstream_limit::Bucket> {
        let cold = self.cold.permits().map(cold::Permits::bucket);
        let both = self.limit.bucket().into_iter().chain(cold);
        both.min_by(|a, b| a.own_rate().total_cmp(&b.own_rate()))
    }

    /// Fills the permits of its cold time, if it is cold, and closes it if there is none for this
    /// host, one of `hosts` that place requests. After [`UpstreamState::update_permits`].
    pub(super) fn update_cold_permits(
        &mut self,
        plan: &cold::Plan,
        turns: &upstream_limit::Turns,
        hosts: usize,
        now: clock::Moment,
    ) {
        let Some(permits) = self.cold.permits_mut() else { return };
        permits.fill(plan, hosts, turns.part(hosts, now), now);
        let upstream = &self.entry.upstream;
        self.is_open &= permits.has_permit(turns.lead(upstream, now))
            && turns.is_drawn(upstream, plan.part_at_once(hosts), now);
    }

    /// Counts a choice of this host if it is cold.
    pub(super) fn record_choice(&mut self, now: clock::Moment) {
        if let Some(permits) = self.cold.permits_mut() {
            permits.take_own(now);
        }
    }

    /// Takes the permits of its limit and of its cold time for a request of any host.
    pub(super) fn take_permit(&mut self, now: clock::Moment) {
        if let Some(permits) = self.cold.permits_mut() {
            permits.take(now);
        }
        if let Some(bucket) = self.limit.bucket_mut() {
            bucket.take(now);
        }
    }

    /// Sets this host's share of its limit.
    pub(super) fn set_limit_share(&mut self, share: f64, now: clock::Moment) {
        if let Some(bucket) = self.limit.bucket_mut() {
            bucket.set_share(share, now);
        }
    }

    /// Sets this host's share of the permits of its cold time.
    pub(super) fn set_cold_share(&mut self, share: f64, now: clock::Moment) {
        if let Some(permits) = self.cold.permits_mut() {
            permits.set_share(share, now);
        }
    }

    /// Whether its limit, if it has one, and its being cold, if it is, let this host send it a
    /// request now.
    pub(super) fn is_open(&self) -> bool {
        self.is_open
    }

    /// Number of dispatches in flight on it.
    pub fn dispatches(&self) -> usize {
        self.parts.len()
    }

    pub(super) fn update(
        &mut self,
        entry: routing::Registration,
        profile: Option<profile::Profile>,
    ) {
        if entry.started_ms != self.entry.started_ms {
            self.parts.clear();
            self.limit = upstream_limit::Limit::default();
            self.cold = cold::Cold::default();
            self.is_open = true;
            self.named_unreadable_limit = false;
        }
        self.entry = entry;
        self.profile = profile;
    }

    pub(super) fn add_if_on(&mut self, dispatch: &Dispatch, now: clock::Moment) {
        let name = &self.entry.upstream;
        let is_primary = dispatch.primary == *name;
        let helper = dispatch.helpers.iter().position(|helper| helper == name);
        if !is_primary && helper.is_none() {
            return;
        }
        self.advance(now);
        let parts = dispatch.helpers.len() as u32 + 1;
        let total_ms =
            self.profile.map_or(0.0, |profile| profile.part_ms(dispatch.prompt_tokens, parts));
        let on_helpers: u64 = dispatch.helper_reserves.iter().sum();
        let memory_tokens = match helper {
            Some(index) => dispatch.helper_reserves.get(index).copied().unwrap_or(0),
            None => dispatch.prompt_tokens.saturating_sub(on_helpers),
        };
        let max_gap_ms = dispatch.max_gap.as_secs_f64() * 1e3;
        self.parts.push(Part {
            dispatch: dispatch.id,
            stage: Stage::Prefill(total_ms),
            total_ms,
            is_primary,
            memory_tokens,
            max_gap_ms,
            urgency: dispatch.urgency,
        });
    }

    pub(super) fn record_first_token(&mut self, dispatch: DispatchId, now: clock::Moment) {
        self.advance(now);
        self.record_activity(now);
        for part in self.parts.iter_mut().filter(|part| part.dispatch == dispatch) {
            part.stage = if part.is_primary { Stage::Decode } else { Stage::Hold };
        }
    }

    /// Whether it currently decodes the answer of `dispatch`.
    pub(super) fn is_decoding(&self, dispatch: DispatchId) -> bool {
        self.parts.iter().any(|part| part.dispatch == dispatch && part.stage == Stage::Decode)
    }

    pub(super) fn record_end(&mut self, dispatch: DispatchId, now: clock::Moment) {
        self.advance(now);
        self.parts.retain(|part| part.dispatch != dispatch);
    }

    /// Records a failure without a response. It is avoided for `span` times the number of
    /// consecutive failures of this kind.
    pub(super) fn record_unreachable(&mut self, now: clock::Moment, span: clock::Span) {
        self.record_failure(now);
        self.unreachable_count = (self.unreachable_count + 1).min(MAX_UNREACHABLE_COUNT);
        self.avoided_until = Some(now + span * self.unreachable_count);
        self.unreachable_at = Some(now);
    }

    /// Forgets that it could not be reached.
    pub(super) fn forget_failure(&mut self) {
        self.unreachable_count = 0;
        self.avoided_until = None;
        self.unreachable_at = None;
    }

    pub(super) fn set_slowness(&mut self, factor: f64, now: clock::Moment) {
        self.slowness = Some((now, factor));
    }

    /// Whether a recent report shows it so slow that its answers would be late.
    pub(super) fn is_slow(&self, now: clock::Moment) -> bool {
        let current = self.slowness.filter(|(at, _)| now.since(*at) <= SLOWNESS_VALIDITY);
        current.is_some_and(|(_, factor)| factor >= SLOW_FACTOR)
    }

    pub(super) fn record_activity(&mut self, now: clock::Moment) {
        self.last_activity = self.last_activity.max(now);
    }

    pub(super) fn last_activity(&self) -> clock::Moment {
        self.last_activity
    }

    pub(super) fn mark_full(&mut self, until: clock::Moment) {
        self.full_until = Some(until);
    }

    /// Records a failed request, whether it answered with an error or not at all.
    pub(super) fn record_failure(&mut self, now: clock::Moment) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (1.0 - rate) * FAILURE_WEIGHT;
        self.failure_rate_at = now;
    }

    /// Recent share of failed requests, decayed up to `now`.
    pub(super) fn failure_rate(&self, now: clock::Moment) -> f64 {
        let span = now.since(self.failure_rate_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(span / FAILURE_HALF_LIFE_SECONDS)
    }

    pub(super) fn record_success(&mut self, now: clock::Moment) {
        self.failure_rate = self.failure_rate(now) * SUCCESS_FACTOR;
        self.failure_rate_at = now;
        self.unreachable_count = 0;
        self.avoided_until = None;
    }

    pub(super) fn is_avoided(&self, now: clock::Moment) -> bool {
        self.avoided_until.is_some_and(|until| until > now)
    }

    /// Whether it failed and has sent nothing since.
    pub(super) fn is_unresponsive(&self) -> bool {
        self.unreachable_at.is_some_and(|unreachable_at| unreachable_at > self.last_activity)
    }

    /// Advances the estimated progress to `now`: prompts are prefilled one after the other, and
    /// decode steps are interleaved between them.
    pub(super) fn advance(&mut self, now: clock::Moment) {
        let span = now.since(self.advanced_to).as_secs_f64() * 1e3;
        self.advanced_to = self.advanced_to.max(now);
        let queued_ms = self.queued_prefill_ms();
        if queued_ms <= 0.0 {
            return;
        }
        let mut budget = span * queued_ms / (queued_ms + self.pass_ms());
        // Parts of prompts that other engines answer are prefilled ahead of the engine's own
        // prompts.
        let (helper_parts, own) =
            self.parts.iter_mut().partition::<Vec<_>, _>(|part| !part.is_primary);
        for part in helper_parts.into_iter().chain(own) {
            if let Stage::Prefill(left) = &mut part.stage {
                let done = left.min(budget);
                *left -= done;
                budget -= done;
            }
        }
    }

    /// Milliseconds until the prefill of a new prompt that this engine answers would start: the
    /// rest of the current pass and all queued prefill.
    pub(super) fn wait_ms(&self) -> f64 {
        self.queued_prefill_ms() + self.pass_ms() / 2.0
    }

    /// Milliseconds until the prefill of a part for another engine would start; such parts go ahead
    /// of the engine's own prompts.
    pub(super) fn helper_wait_ms(&self) -> f64 {
        let helper_parts = self.parts.iter().filter(|part| !part.is_primary);
        helper_parts.map(Part::remaining_ms).sum::<f64>() + self.pass_ms() / 2.0
    }

    /// Number of the engine's own prompts that are still in prefill; each is delayed by a part that
    /// the engine prefills for another.
    pub(super) fn own_prefills(&self) -> usize {
        self.parts.iter().filter(|part| part.is_primary && part.remaining_ms() > 0.0).count()
    }

    /// Total remaining prefill time in milliseconds.
    pub(super) fn queued_prefill_ms(&self) -> f64 {
        self.parts.iter().map(Part::remaining_ms).sum()
    }

    /// Number of requests in decode.
    pub(super) fn decoding(&self) -> u32 {
        self.parts.iter().filter(|part| part.stage == Stage::Decode).count() as u32
    }

    /// Number of requests answered here, in prefill or decode, whose gap limit is at most
    /// `max_gap_ms`.
    pub(super) fn tight_requests(&self, max_gap_ms: f64) -> u32 {
        self.parts.iter().filter(|part| part.is_primary && part.max_gap_ms <= max_gap_ms).count()
            as u32
    }

    /// Number of requests in decode whose gap limit would be exceeded if a prefill of `prefill_ms`
    /// were added: a pass lasts for its decode steps and all prefill that is queued for it.
    pub(super) fn late_answers(&self, prefill_ms: f64) -> u32 {
        let pass_ms = self.pass_ms() + self.queued_prefill_ms() + prefill_ms;
        let late = |part: &&Part| part.stage == Stage::Decode && part.max_gap_ms < pass_ms;
        self.parts.iter().filter(late).count() as u32
    }

    /// Milliseconds of a pass without any prefill.
    pub(super) fn pass_ms(&self) -> f64 {
        let context = self.parts.iter().filter(|part| part.stage != Stage::Hold);
        let context = context.map(|part| part.memory_tokens).sum();
        self.profile.map_or(0.0, |profile| profile.pass_ms(self.decoding(), context))
    }

    /// The estimate of its state at `now`.
    pub(super) fn estimate(&self, now: clock::Moment) -> super::Estimate {
        super::Estimate {
            prefill_ms: self.queued_prefill_ms(),
            decoding: self.decoding(),
            used_slots: self.used_slots(),
            silence: now.since(self.last_activity),
        }
    }

    /// Number of slots.
    pub(super) fn slots(&self) -> u32 {
        self.entry.slots.max(1)
    }

    /// Whether a slot is free, so that another request would be worked on at once.
    pub(super) fn has_free_slot(&self) -> bool {
        self.used_slots() < self.slots() as usize
    }

    /// Slots in use, by requests in prefill or decode that are answered here.
    pub(super) fn used_slots(&self) -> usize {
        self.parts.iter().filter(|part| part.is_primary).count()
    }

    /// KV tokens and priority of each request in decode whose gap limit would be exceeded because of
    /// an added prefill of `prefill_ms`; requests that are late already are left out.
    pub(super) fn newly_late(&self, prefill_ms: f64) -> impl Iterator<Item = (u64, u32)> {
        let before = self.pass_ms() + self.queued_prefill_ms();
        let after = before + prefill_ms;
        let parts = self.parts.iter().filter(|part| part.stage == Stage::Decode);
        let late = parts.filter(move |part| part.max_gap_ms < after && part.max_gap_ms >= before);
        late.map(|part| (part.memory_tokens, part.urgency))
    }

    /// Cost in milliseconds that the requests on this engine add for a new one besides its wait;
    /// requests beyond the number of slots count most.
    pub(super) fn occupancy_cost_ms(&self) -> f64 {
        let used = self.used_slots() as f64;
        let slots = f64::from(self.slots());
        let excess = (used + 1.0 - slots).max(0.0);
        used / slots * OCCUPANCY_COST_MS + excess * EXCESS_COST_MS
    }

    /// KV memory in tokens that placement may use, which is `share` of the whole.
    pub(super) fn usable_memory(&self, share: f64) -> u64 {
        self.profile.map_or(0, |profile| (profile.memory_tokens as f64 * share) as u64)
    }

    /// Free KV memory in tokens, as far as this host knows.
    pub(super) fn free_memory(&self, share: f64) -> u64 {
        if self.full_until.is_some_and(|until| until > self.advanced_to) {
            return 0;
        }
        let used: u64 = self.parts.iter().map(|part| part.memory_tokens).sum();
        self.usable_memory(share).saturating_sub(used)
    }
}

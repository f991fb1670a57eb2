//! State of one upstream, as far as this host knows what is in flight on it.

use super::{Dispatch, DispatchId};
use crate::clock;
use crate::load::profile;
use crate::routing;

/// Progress of a dispatch on one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// The prompt, or a part of it, is being prefilled; the field is the remaining prefill time in
    /// milliseconds.
    Reading(f64),
    /// The answer is being decoded here.
    Writing,
    /// The part has been prefilled and only occupies KV memory.
    Holding,
}

/// The share of a dispatch that runs on this upstream.
#[derive(Clone, Debug, PartialEq)]
struct Part {
    work: DispatchId,
    stage: Stage,
    /// Whether this upstream decodes the answer.
    writes: bool,
    /// Milliseconds that the prefill takes if nothing else runs on the engine.
    whole_ms: f64,
    /// KV cache memory in tokens.
    memory: u64,
    /// Longest pause between events that the caller tolerates, in milliseconds.
    gap_ms: f64,
}

impl Part {
    /// Estimated remaining prefill time in milliseconds.
    fn left_ms(&self) -> f64 {
        match self.stage {
            Stage::Reading(left) => left.max(self.whole_ms * UNREAD_SHARE),
            Stage::Writing | Stage::Holding => 0.0,
        }
    }
}

/// Slowness (actual pass time divided by the published one) from which an engine counts as slow: a
/// pass of a full engine that includes the prefill of two average short prompts then takes most of
/// the shortest gap that callers tolerate.
const SLOW: f64 = 1.6;
/// Share of its prefill time that a part still counts as until the first token of its prompt
/// arrives.
///
/// Load pattern: engines that fall behind their estimate. By the estimate their parts are done, so
/// they would look idle and get the next parts as well. The missing first tokens of their prompts
/// show which engines these are.
const UNREAD_SHARE: f64 = 0.25;
/// How long a reported slowness is valid: three report intervals, so that two reports may be lost.
const SAID: clock::Span = clock::Span::from_millis(3_000);
/// Cost in milliseconds that a fully occupied engine adds for a new request besides its prefill
/// queue: two thirds of a pass of a full engine.
const CROWD_MS: f64 = 40.0;
/// Cost in milliseconds of each request beyond the number of slots: a tenth of the time of an
/// answer.
const OVER_MS: f64 = 200.0;
/// Consecutive failures up to which the time for which an upstream is avoided grows.
const MOST_FAILURES: u32 = 4;
/// How far one failure moves the remembered failure rate towards one.
const FAILURE_WEIGHT: f64 = 0.35;
/// Factor by which one answer reduces the remembered failure rate.
const ANSWER_WEIGHT: f64 = 0.8;
/// Half-life of the remembered failure rate in seconds; an avoided upstream is thereby tried again.
const FORGET_S: f64 = 1.5;

/// An upstream and the dispatches in flight on it.
#[derive(Clone, Debug)]
pub struct Engine {
    entry: routing::Registration,
    profile: Option<profile::Profile>,
    parts: Vec<Part>,
    advanced: clock::Moment,
    suspect_until: Option<clock::Moment>,
    /// When it last failed without sending a response.
    failed: Option<clock::Moment>,
    failures: u32,
    full_until: Option<clock::Moment>,
    heard: clock::Moment,
    /// Recent share of failed requests, as of `erred_at`.
    errors: f64,
    erred_at: clock::Moment,
    /// When its slowness was last reported, and the reported factor.
    slowness: Option<(clock::Moment, f64)>,
}

impl Engine {
    pub(super) fn new(entry: routing::Registration, profile: Option<profile::Profile>) -> Engine {
        Engine {
            entry,
            profile,
            parts: Vec::new(),
            advanced: clock::Moment::START,
            suspect_until: None,
            failed: None,
            failures: 0,
            full_until: None,
            heard: clock::Moment::START,
            errors: 0.0,
            erred_at: clock::Moment::START,
            slowness: None,
        }
    }

    /// Its entry in the routing table.
    pub fn entry(&self) -> &routing::Registration {
        &self.entry
    }

    /// Its published performance profile; none for a replica of a plain service.
    pub fn profile(&self) -> Option<profile::Profile> {
        self.profile
    }

    /// Number of dispatches in flight on it.
    pub fn works(&self) -> usize {
        self.parts.len()
    }

    pub(super) fn update(
        &mut self,
        entry: routing::Registration,
        profile: Option<profile::Profile>,
    ) {
        if entry.born != self.entry.born {
            self.parts.clear();
        }
        self.entry = entry;
        self.profile = profile;
    }

    pub(super) fn begin_if_on(&mut self, dispatch: &Dispatch, now: clock::Moment) {
        let name = &self.entry.upstream;
        let writes = dispatch.primary == *name;
        let helper = dispatch.helpers.iter().position(|helper| helper == name);
        if !writes && helper.is_none() {
            return;
        }
        self.advance(now);
        let parts = dispatch.helpers.len() as u32 + 1;
        let read =
            self.profile.map_or(0.0, |profile| profile.part_ms(dispatch.prompt_tokens, parts));
        let elsewhere: u64 = dispatch.helper_reserves.iter().sum();
        let memory = match helper {
            Some(index) => dispatch.helper_reserves.get(index).copied().unwrap_or(0),
            None => dispatch.prompt_tokens.saturating_sub(elsewhere),
        };
        let gap_ms = dispatch.max_gap.as_secs_f64() * 1e3;
        self.parts.push(Part {
            work: dispatch.id,
            stage: Stage::Reading(read),
            whole_ms: read,
            writes,
            memory,
            gap_ms,
        });
    }

    pub(super) fn read_done(&mut self, work: DispatchId, now: clock::Moment) {
        self.advance(now);
        self.hear(now);
        for part in self.parts.iter_mut().filter(|part| part.work == work) {
            part.stage = if part.writes { Stage::Writing } else { Stage::Holding };
        }
    }

    /// Whether it currently decodes the answer of `work`.
    pub(super) fn writes(&self, work: DispatchId) -> bool {
        self.parts.iter().any(|part| part.work == work && part.stage == Stage::Writing)
    }

    pub(super) fn end(&mut self, work: DispatchId, now: clock::Moment) {
        self.advance(now);
        self.parts.retain(|part| part.work != work);
    }

    pub(super) fn failed(&mut self, now: clock::Moment, span: clock::Span) {
        self.erred(now);
        self.failures = (self.failures + 1).min(MOST_FAILURES);
        self.suspect_until = Some(now + span * self.failures);
        self.failed = Some(now);
    }

    pub(super) fn set_slowness(&mut self, factor: f64, now: clock::Moment) {
        self.slowness = Some((now, factor));
    }

    /// Whether a recent report shows it so slow that its answers would be late.
    pub(super) fn is_slow(&self, now: clock::Moment) -> bool {
        let fresh = self.slowness.filter(|(at, _)| now.since(*at) <= SAID);
        fresh.is_some_and(|(_, factor)| factor >= SLOW)
    }

    pub(super) fn hear(&mut self, now: clock::Moment) {
        self.heard = self.heard.max(now);
    }

    pub(super) fn heard(&self) -> clock::Moment {
        self.heard
    }

    pub(super) fn full(&mut self, until: clock::Moment) {
        self.full_until = Some(until);
    }

    /// Records that it answered with an error, or not at all.
    pub(super) fn erred(&mut self, now: clock::Moment) {
        let errors = self.errors(now);
        self.errors = errors + (1.0 - errors) * FAILURE_WEIGHT;
        self.erred_at = now;
    }

    /// Recent share of failed requests, decayed up to `now`.
    pub(super) fn errors(&self, now: clock::Moment) -> f64 {
        let span = now.since(self.erred_at).as_secs_f64();
        self.errors * 0.5_f64.powf(span / FORGET_S)
    }

    pub(super) fn answered(&mut self, now: clock::Moment) {
        self.errors = self.errors(now) * ANSWER_WEIGHT;
        self.erred_at = now;
        self.failures = 0;
        self.suspect_until = None;
    }

    pub(super) fn is_suspect(&self, now: clock::Moment) -> bool {
        self.suspect_until.is_some_and(|until| until > now)
    }

    /// Whether it failed and has sent nothing since.
    pub(super) fn is_lost(&self) -> bool {
        self.failed.is_some_and(|failed| failed > self.heard)
    }

    /// Advances the estimated progress to `now`: prompts are prefilled one after the other, and
    /// decode steps are interleaved between them.
    pub(super) fn advance(&mut self, now: clock::Moment) {
        let span = now.since(self.advanced).as_secs_f64() * 1e3;
        self.advanced = self.advanced.max(now);
        let reading = self.reading_ms();
        if reading <= 0.0 {
            return;
        }
        let mut budget = span * reading / (reading + self.pass_ms());
        // Parts of prompts that other engines answer are prefilled ahead of the engine's own
        // prompts.
        let (helped, own) = self.parts.iter_mut().partition::<Vec<_>, _>(|part| !part.writes);
        for part in helped.into_iter().chain(own) {
            if let Stage::Reading(left) = &mut part.stage {
                let done = left.min(budget);
                *left -= done;
                budget -= done;
            }
        }
    }

    /// Milliseconds until the prefill of a new prompt that this engine answers would start: the
    /// rest of the current pass and all queued prefill.
    pub(super) fn wait_ms(&self) -> f64 {
        self.reading_ms() + self.pass_ms() / 2.0
    }

    /// Milliseconds until the prefill of a part for another engine would start; such parts go ahead
    /// of the engine's own prompts.
    pub(super) fn helper_wait_ms(&self) -> f64 {
        let helped = self.parts.iter().filter(|part| !part.writes);
        helped.map(Part::left_ms).sum::<f64>() + self.pass_ms() / 2.0
    }

    /// Number of the engine's own prompts that are still in prefill; each is delayed by a part that
    /// the engine prefills for another.
    pub(super) fn unread(&self) -> usize {
        self.parts.iter().filter(|part| part.writes && part.left_ms() > 0.0).count()
    }

    /// Total remaining prefill time in milliseconds.
    pub(super) fn reading_ms(&self) -> f64 {
        self.parts.iter().map(Part::left_ms).sum()
    }

    /// Number of requests in decode.
    pub(super) fn writers(&self) -> u32 {
        self.parts.iter().filter(|part| part.stage == Stage::Writing).count() as u32
    }

    /// Number of requests answered here, in prefill or decode, whose gap limit is at most `gap_ms`.
    pub(super) fn tight_writers(&self, gap_ms: f64) -> u32 {
        self.parts.iter().filter(|part| part.writes && part.gap_ms <= gap_ms).count() as u32
    }

    /// Number of requests in decode whose gap limit would be exceeded if a prefill of `read_ms`
    /// were added: a pass lasts for its decode steps and all prefill that is queued for it.
    pub(super) fn harmed(&self, read_ms: f64) -> u32 {
        let pass = self.pass_ms() + self.reading_ms() + read_ms;
        let writes = |part: &&Part| part.stage == Stage::Writing && part.gap_ms < pass;
        self.parts.iter().filter(writes).count() as u32
    }

    /// Milliseconds of a pass without any prefill.
    pub(super) fn pass_ms(&self) -> f64 {
        let context = self.parts.iter().filter(|part| part.stage != Stage::Holding);
        let context = context.map(|part| part.memory).sum();
        self.profile.map_or(0.0, |profile| profile.pass_ms(self.writers(), context))
    }

    /// The estimate of its state at `now`.
    pub(super) fn estimate(&self, now: clock::Moment) -> super::Estimate {
        super::Estimate {
            prefill_ms: self.reading_ms(),
            decoding: self.writers(),
            used_slots: self.places(),
            silence: now.since(self.heard),
        }
    }

    /// Number of slots.
    pub(super) fn slots(&self) -> u32 {
        self.entry.slots.max(1)
    }

    /// Whether a slot is free, so that another request would be worked on at once.
    pub(super) fn has_place(&self) -> bool {
        self.places() < self.slots() as usize
    }

    /// Slots in use, by requests in prefill or decode that are answered here.
    pub(super) fn places(&self) -> usize {
        self.parts.iter().filter(|part| part.writes).count()
    }

    /// KV tokens of each request in decode whose gap limit would be exceeded because of an added
    /// prefill of `read_ms`; requests that are late already are left out.
    pub(super) fn made_late(&self, read_ms: f64) -> impl Iterator<Item = u64> {
        let before = self.pass_ms() + self.reading_ms();
        let after = before + read_ms;
        let parts = self.parts.iter().filter(|part| part.stage == Stage::Writing);
        let late = parts.filter(move |part| part.gap_ms < after && part.gap_ms >= before);
        late.map(|part| part.memory)
    }

    /// Cost in milliseconds that the requests on this engine add for a new one besides its wait;
    /// requests beyond the number of slots count most.
    pub(super) fn crowd_ms(&self) -> f64 {
        let places = self.places() as f64;
        let slots = f64::from(self.slots());
        let over = (places + 1.0 - slots).max(0.0);
        places / slots * CROWD_MS + over * OVER_MS
    }

    /// KV memory in tokens that placement may use, which is `share` of the whole.
    pub(super) fn memory(&self, share: f64) -> u64 {
        self.profile.map_or(0, |profile| (profile.memory_tokens as f64 * share) as u64)
    }

    /// Free KV memory in tokens, as far as this host knows.
    pub(super) fn room(&self, share: f64) -> u64 {
        if self.full_until.is_some_and(|until| until > self.advanced) {
            return 0;
        }
        let used: u64 = self.parts.iter().map(|part| part.memory).sum();
        self.memory(share).saturating_sub(used)
    }
}

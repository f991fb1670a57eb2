//! One upstream, as far as this host knows what is under way on it.

use super::{Work, WorkId};
use crate::clock;
use crate::load::pass;
use crate::routing;

/// How far a request is on one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Its prompt, or a part of it, is still read; so many milliseconds of it are left.
    Reading(f64),
    /// Its answer is written here.
    Writing,
    /// Its part is read, and only its memory is used.
    Holding,
}

/// A request on this upstream.
#[derive(Clone, Debug, PartialEq)]
struct Part {
    work: WorkId,
    stage: Stage,
    /// Whether this upstream writes the answer.
    writes: bool,
    /// Milliseconds that an engine alone needs to read it.
    whole_ms: f64,
    /// Tokens of memory.
    memory: u64,
    /// Longest pause that its caller bears, in milliseconds.
    gap_ms: f64,
}

impl Part {
    /// Milliseconds of reading that are left, as far as is known.
    fn left_ms(&self) -> f64 {
        match self.stage {
            Stage::Reading(left) => left.max(self.whole_ms * UNREAD_SHARE),
            Stage::Writing | Stage::Holding => 0.0,
        }
    }
}

/// Times its published pace from which an engine counts as slow: a pass of a full engine
/// and the reading of two usual short prompts in it then take most of the shortest pause that answers
/// bear.
const SLOW: f64 = 1.6;
/// Share of its reading that a part counts until its prompt's first token.
///
/// Load pattern: engines that fall behind what is planned for them. By plan their parts are read,
/// they are believed idle and get the next ones too; that their prompts are still waited for tells
/// which they are.
const UNREAD_SHARE: f64 = 0.25;
/// How long a report of its pace holds: three reports, of which two may be lost.
const SAID: clock::Span = clock::Span::from_millis(3_000);
/// Milliseconds that an engine with all places taken delays a newcomer beside its reads: two thirds of
/// a full engine's pass.
const CROWD_MS: f64 = 40.0;
/// Milliseconds that each request beyond its places costs a newcomer: a tenth of an answer's time.
const OVER_MS: f64 = 200.0;
/// Failures in a row by which the time for which an upstream is passed over grows.
const MOST_FAILURES: u32 = 4;
/// What one failure adds to the share of failures that is remembered, of what is left to one.
const FAILURE_WEIGHT: f64 = 0.35;
/// What one answer leaves of that share.
const ANSWER_WEIGHT: f64 = 0.8;
/// Seconds after which half of it is forgotten: an upstream that gets nothing is tried again.
const FORGET_S: f64 = 1.5;

/// An upstream and what is under way on it.
#[derive(Clone, Debug)]
pub struct Engine {
    entry: routing::Registration,
    pace: Option<pass::Pace>,
    parts: Vec<Part>,
    advanced: clock::Moment,
    suspect_until: Option<clock::Moment>,
    /// When it last failed without a word.
    failed: Option<clock::Moment>,
    failures: u32,
    full_until: Option<clock::Moment>,
    heard: clock::Moment,
    /// Share of its requests that failed of late, as of `erred_at`.
    errors: f64,
    erred_at: clock::Moment,
    /// Times its published pace that it takes, and when that was said.
    slowness: Option<(clock::Moment, f64)>,
}

impl Engine {
    pub(super) fn new(entry: routing::Registration, pace: Option<pass::Pace>) -> Engine {
        Engine {
            entry,
            pace,
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

    /// Its entry.
    pub fn entry(&self) -> &routing::Registration {
        &self.entry
    }

    /// How it works, where it is a model engine.
    pub fn pace(&self) -> Option<pass::Pace> {
        self.pace
    }

    /// Requests under way on it.
    pub fn works(&self) -> usize {
        self.parts.len()
    }

    pub(super) fn update(&mut self, entry: routing::Registration, pace: Option<pass::Pace>) {
        if entry.born != self.entry.born {
            self.parts.clear();
        }
        self.entry = entry;
        self.pace = pace;
    }

    pub(super) fn begin_if_on(&mut self, work: &Work, now: clock::Moment) {
        let name = &self.entry.upstream;
        let writes = work.first == *name;
        let helper = work.helpers.iter().position(|helper| helper == name);
        if !writes && helper.is_none() {
            return;
        }
        self.advance(now);
        let parts = work.helpers.len() as u32 + 1;
        let read = self.pace.map_or(0.0, |pace| pace.part_ms(work.prompt, parts));
        let elsewhere: u64 = work.held.iter().sum();
        let memory = match helper {
            Some(index) => work.held.get(index).copied().unwrap_or(0),
            None => work.prompt.saturating_sub(elsewhere),
        };
        let gap_ms = work.gap.as_secs_f64() * 1e3;
        self.parts.push(Part {
            work: work.id,
            stage: Stage::Reading(read),
            whole_ms: read,
            writes,
            memory,
            gap_ms,
        });
    }

    pub(super) fn read_done(&mut self, work: WorkId, now: clock::Moment) {
        self.advance(now);
        self.hear(now);
        for part in self.parts.iter_mut().filter(|part| part.work == work) {
            part.stage = if part.writes { Stage::Writing } else { Stage::Holding };
        }
    }

    /// Whether it writes the answer of `work`.
    pub(super) fn writes(&self, work: WorkId) -> bool {
        self.parts.iter().any(|part| part.work == work && part.stage == Stage::Writing)
    }

    pub(super) fn end(&mut self, work: WorkId, now: clock::Moment) {
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

    /// Whether it works so slowly that its requests come late.
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

    /// It answered with an error, or not at all.
    pub(super) fn erred(&mut self, now: clock::Moment) {
        let errors = self.errors(now);
        self.errors = errors + (1.0 - errors) * FAILURE_WEIGHT;
        self.erred_at = now;
    }

    /// Share of its requests that failed of late.
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

    /// Whether it failed and nothing has come of it since.
    pub(super) fn is_lost(&self) -> bool {
        self.failed.is_some_and(|failed| failed > self.heard)
    }

    /// Lets what is under way go on until `now`: prompts are read one after the other, and between
    /// them the writers make their steps.
    pub(super) fn advance(&mut self, now: clock::Moment) {
        let span = now.since(self.advanced).as_secs_f64() * 1e3;
        self.advanced = self.advanced.max(now);
        let reading = self.reading_ms();
        if reading <= 0.0 {
            return;
        }
        let mut budget = span * reading / (reading + self.pass_ms());
        // Parts of prompts that other engines answer are read ahead of the engine's own.
        let (helped, own) = self.parts.iter_mut().partition::<Vec<_>, _>(|part| !part.writes);
        for part in helped.into_iter().chain(own) {
            if let Stage::Reading(left) = &mut part.stage {
                let done = left.min(budget);
                *left -= done;
                budget -= done;
            }
        }
    }

    /// Milliseconds until a prompt that this engine is to answer begins to be read: the pass under
    /// way, and the prompts before it.
    pub(super) fn wait_ms(&self) -> f64 {
        self.reading_ms() + self.pass_ms() / 2.0
    }

    /// The same for a part of a prompt that another engine answers, which is read ahead of the
    /// engine's own prompts.
    pub(super) fn helper_wait_ms(&self) -> f64 {
        let helped = self.parts.iter().filter(|part| !part.writes);
        helped.map(Part::left_ms).sum::<f64>() + self.pass_ms() / 2.0
    }

    /// Its own prompts that are not read yet: a part that it reads for another delays each of them.
    pub(super) fn unread(&self) -> usize {
        self.parts.iter().filter(|part| part.writes && part.left_ms() > 0.0).count()
    }

    /// Milliseconds of prompts that are not read yet.
    pub(super) fn reading_ms(&self) -> f64 {
        self.parts.iter().map(Part::left_ms).sum()
    }

    /// Requests that write.
    pub(super) fn writers(&self) -> u32 {
        self.parts.iter().filter(|part| part.stage == Stage::Writing).count() as u32
    }

    /// Requests that write, or will, and bear only pauses up to `gap_ms`.
    pub(super) fn tight_writers(&self, gap_ms: f64) -> u32 {
        self.parts.iter().filter(|part| part.writes && part.gap_ms <= gap_ms).count() as u32
    }

    /// Writers whose pause would be too long if a prompt that takes `read_ms` were read beside
    /// them: a pass lasts for its steps and all reads that wait for it.
    pub(super) fn harmed(&self, read_ms: f64) -> u32 {
        let pass = self.pass_ms() + self.reading_ms() + read_ms;
        let writes = |part: &&Part| part.stage == Stage::Writing && part.gap_ms < pass;
        self.parts.iter().filter(writes).count() as u32
    }

    /// Milliseconds of a pass in which nothing is read.
    pub(super) fn pass_ms(&self) -> f64 {
        let context = self.parts.iter().filter(|part| part.stage != Stage::Holding);
        let context = context.map(|part| part.memory).sum();
        self.pace.map_or(0.0, |pace| pace.pass_ms(self.writers(), context))
    }

    /// What is believed of it at `now`.
    pub(super) fn belief(&self, now: clock::Moment) -> super::Belief {
        super::Belief {
            reading_ms: self.reading_ms(),
            writers: self.writers(),
            places: self.places(),
            heard: now.since(self.heard),
        }
    }

    /// Places for answers.
    pub(super) fn slots(&self) -> u32 {
        self.entry.slots.max(1)
    }

    /// Whether another request would be worked on at once.
    pub(super) fn has_place(&self) -> bool {
        self.places() < self.slots() as usize
    }

    /// Places that are taken, by requests that write or will.
    pub(super) fn places(&self) -> usize {
        self.parts.iter().filter(|part| part.writes).count()
    }

    /// The prompts of the writers whose pause would become too long by a read of `read_ms`, as
    /// tokens of their memory; those that are late already are left out.
    pub(super) fn made_late(&self, read_ms: f64) -> impl Iterator<Item = u64> {
        let before = self.pass_ms() + self.reading_ms();
        let after = before + read_ms;
        let parts = self.parts.iter().filter(|part| part.stage == Stage::Writing);
        let late = parts.filter(move |part| part.gap_ms < after && part.gap_ms >= before);
        late.map(|part| part.memory)
    }

    /// What the requests on it cost a newcomer beside its wait, in milliseconds; places that run
    /// out weigh most.
    pub(super) fn crowd_ms(&self) -> f64 {
        let places = self.places() as f64;
        let slots = f64::from(self.slots());
        let over = (places + 1.0 - slots).max(0.0);
        places / slots * CROWD_MS + over * OVER_MS
    }

    /// Tokens of memory that are planned with.
    pub(super) fn memory(&self, share: f64) -> u64 {
        self.pace.map_or(0, |pace| (pace.memory_tokens as f64 * share) as u64)
    }

    /// Tokens of memory that are free, as far as is known.
    pub(super) fn room(&self, share: f64) -> u64 {
        if self.full_until.is_some_and(|until| until > self.advanced) {
            return 0;
        }
        let used: u64 = self.parts.iter().map(|part| part.memory).sum();
        self.memory(share).saturating_sub(used)
    }
}

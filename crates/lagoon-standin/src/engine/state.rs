//! All state of one engine, and how it moves on with time.

use std::cmp;
use std::collections;
use std::sync;
use std::time;

use lagoonline::id;
use lagoonline::port::engine;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::batch;
use super::cache;
use super::faults;
use super::kv;
use super::orders;
use super::settings;
use crate::prompt;

/// Seconds of real time that a late tick may catch up.
const CATCH_UP: f64 = 0.25;
/// How long a cancelled attempt is remembered, so that it is refused when it comes later.
const TOMB: time::Duration = time::Duration::from_secs(600);

/// What the record says of one attempt.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AttemptRecord {
    /// The attempt, as 32 hex digits.
    pub attempt: String,
    /// Entry host and life that sent it.
    pub owner: String,
    /// `waiting`, `running`, `done`, `cancelled`, `expired` or `lost`.
    pub state: String,
    /// Number that the next chunk would have had.
    pub chunks: u64,
    /// Length of its prompt.
    pub prompt_tokens: u64,
    /// FNV-1a of its prompt's text.
    pub prompt_hash: u64,
}

/// What an engine did.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Its life.
    pub incarnation: u64,
    /// Every attempt that it accepted.
    pub attempts: Vec<AttemptRecord>,
    /// KV memory ever reserved, in bytes.
    pub bytes_reserved: u64,
    /// KV memory ever returned, in bytes.
    pub bytes_returned: u64,
    /// Orders that came with a fencing number below an earlier one.
    pub stale_orders: u64,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    Done,
    Cancelled,
    Expired,
    Lost,
}

impl End {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            End::Done => "done",
            End::Cancelled => "cancelled",
            End::Expired => "expired",
            End::Lost => "lost",
        }
    }
}

/// What the readers of a stream follow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    pub(crate) next: u64,
    pub(crate) end: Option<End>,
}

/// An attempt as it comes in.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) attempt: id::Attempt,
    pub(crate) owner: String,
    pub(crate) priority: u8,
    pub(crate) model: String,
    pub(crate) deadline: time::Duration,
    pub(crate) prompt: prompt::Prompt,
    pub(crate) skip: u64,
    pub(crate) answer_tokens: u64,
    /// This engine's reservation of a group that was found to hold the whole prompt.
    pub(crate) group: Option<String>,
}

#[derive(Debug)]
pub(crate) struct Stream {
    priority: u8,
    arrival: u64,
    owner: String,
    group: Option<String>,
    expires: time::Instant,
    prefixes: Vec<u64>,
    prefill_left: u64,
    pub(crate) prompt_hash: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) first: u64,
    total: u64,
    pub(crate) progress: watch::Sender<Progress>,
}

impl Stream {
    fn rank(&self) -> (cmp::Reverse<u8>, u64) {
        (cmp::Reverse(self.priority), self.arrival)
    }

    /// Tokens of memory that it needs here.
    fn need(&self) -> u64 {
        if self.group.is_some() { 0 } else { self.prompt_tokens + self.total }
    }
}

/// Why an attempt is refused; it did not run and will not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    Full,
    Leaving,
    UnknownModel,
    TooLong,
    AttemptExists,
}

impl Refusal {
    pub(crate) const fn code(self) -> (u16, &'static str) {
        match self {
            Refusal::Full => (429, "full"),
            Refusal::Leaving => (503, "leaving"),
            Refusal::UnknownModel => (404, "unknown_model"),
            Refusal::TooLong => (413, "too_long"),
            Refusal::AttemptExists => (409, "attempt_exists"),
        }
    }
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: sync::Arc<settings::Settings>,
    pub(crate) faults: faults::Faults,
    pub(crate) leaving: bool,
    pub(crate) incarnation: u64,
    pub(crate) kv: kv::Kv,
    pub(crate) cache: cache::Cache,
    pub(crate) orders: orders::State,
    pub(crate) streams: collections::HashMap<id::Attempt, Stream>,
    waiting: Vec<id::Attempt>,
    running: Vec<id::Attempt>,
    tombs: collections::HashMap<id::Attempt, time::Instant>,
    history: collections::BTreeMap<id::Attempt, AttemptRecord>,
    arrivals: u64,
    credit: f64,
    last: time::Instant,
    frozen_until: Option<time::Instant>,
    published: engine::LoadReport,
    published_at: time::Instant,
}

impl State {
    pub(crate) fn new(settings: sync::Arc<settings::Settings>, now: time::Instant) -> Self {
        let wall = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        let cache = new_cache(&settings);
        let orders = orders::State::new(&settings);
        let mut state = State {
            faults: faults::Faults::default(),
            leaving: false,
            incarnation: u64::try_from(wall.as_micros()).unwrap_or(0),
            kv: kv::Kv::default(),
            cache,
            orders,
            streams: collections::HashMap::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            tombs: collections::HashMap::new(),
            history: collections::BTreeMap::new(),
            arrivals: 0,
            credit: 0.0,
            last: now,
            frozen_until: None,
            published: engine::LoadReport::default(),
            published_at: now,
            settings,
        };
        state.published = state.load();
        state
    }

    pub(crate) fn set_faults(&mut self, faults: faults::Faults, now: time::Instant) {
        if faults.down && !self.faults.down {
            self.crash();
        }
        if faults.freeze_ms != self.faults.freeze_ms {
            self.frozen_until = Some(now + time::Duration::from_millis(faults.freeze_ms));
        }
        self.faults = faults;
    }

    /// The process dies: all that it held is gone, and what comes back is a new incarnation.
    fn crash(&mut self) {
        let attempts: Vec<_> = self.streams.keys().copied().collect();
        for attempt in attempts {
            self.finish(attempt, End::Lost);
        }
        self.streams.clear();
        self.kv.clear();
        self.tombs.clear();
        self.cache = new_cache(&self.settings);
        self.orders =
            orders::State { stale: self.orders.stale, ..orders::State::new(&self.settings) };
        self.leaving = false;
        self.incarnation += 1;
        self.published = engine::LoadReport { sequence: 0, ..self.load() };
    }

    /// Takes an attempt in, or refuses it.
    pub(crate) fn accept(&mut self, call: Call, now: time::Instant) -> Result<(), Refusal> {
        let settings = self.settings.clone();
        let prompt_tokens = settings.tokens(call.prompt.bytes);
        let total = call.answer_tokens.max(call.skip);
        if self.tombs.contains_key(&call.attempt) || self.streams.contains_key(&call.attempt) {
            return Err(Refusal::AttemptExists);
        }
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if call.model != self.orders.model || self.orders.loading {
            return Err(Refusal::UnknownModel);
        }
        if call.group.is_none() && prompt_tokens + total > settings.kv_tokens {
            return Err(Refusal::TooLong);
        }
        let free_slot = self.running.len() + self.waiting.len() < settings.slots;
        let must_wait = !free_slot || !self.fits(prompt_tokens + total, call.group.is_some());
        if self.faults.refuse_full || (must_wait && self.waiting.len() >= settings.waiting_limit) {
            return Err(Refusal::Full);
        }
        self.enqueue(call, prompt_tokens, total, now);
        Ok(())
    }

    fn fits(&self, tokens: u64, group: bool) -> bool {
        group || self.kv.tokens() + tokens <= self.settings.kv_tokens
    }

    fn enqueue(&mut self, call: Call, prompt_tokens: u64, total: u64, now: time::Instant) {
        self.arrivals += 1;
        let progress = Progress { next: call.skip, end: None };
        let stream = Stream {
            priority: call.priority,
            arrival: self.arrivals,
            owner: call.owner.clone(),
            group: call.group,
            expires: now + call.deadline + time::Duration::from_millis(self.settings.resume_ms),
            prefixes: call.prompt.prefixes,
            prefill_left: prompt_tokens,
            prompt_hash: call.prompt.hash,
            prompt_tokens,
            cached_tokens: 0,
            first: call.skip,
            total,
            progress: watch::Sender::new(progress),
        };
        let record = AttemptRecord {
            attempt: call.attempt.to_string(),
            owner: call.owner,
            state: "waiting".to_owned(),
            chunks: call.skip,
            prompt_tokens,
            prompt_hash: stream.prompt_hash,
        };
        self.history.insert(call.attempt, record);
        self.streams.insert(call.attempt, stream);
        self.waiting.push(call.attempt);
        self.admit(now);
    }

    /// Moves waiting attempts into the batch, in order, while they fit. The first that does not
    /// fit holds up those behind it, else a long prompt would wait for ever.
    fn admit(&mut self, now: time::Instant) {
        let streams = &self.streams;
        self.waiting.sort_by_key(|attempt| streams.get(attempt).map(Stream::rank));
        while self.running.len() < self.settings.slots {
            let Some(&attempt) = self.waiting.first() else { return };
            let Some(stream) = self.streams.get(&attempt) else { return };
            let need = stream.need();
            if !self.make_room(need, now) {
                return;
            }
            self.waiting.remove(0);
            self.begin(attempt, need);
        }
    }

    fn begin(&mut self, attempt: id::Attempt, tokens: u64) {
        let Some(stream) = self.streams.get_mut(&attempt) else { return };
        stream.cached_tokens = self.cache.lookup(&stream.prefixes).min(stream.prompt_tokens - 1);
        stream.prefill_left = stream.prompt_tokens + stream.first - stream.cached_tokens;
        let piece = kv::Piece {
            owner: stream.owner.clone(),
            kind: engine::Kind::Stream,
            tokens,
            expires: stream.expires,
            prefixes: Vec::new(),
        };
        self.kv.take(attempt.to_string(), piece);
        self.running.push(attempt);
        let streams = &self.streams;
        self.running.sort_by_key(|attempt| streams.get(attempt).map(Stream::rank));
        self.note(attempt, "running");
    }

    /// Frees `tokens` of memory by putting out cached blocks; false when held memory is too much.
    pub(crate) fn make_room(&mut self, tokens: u64, now: time::Instant) -> bool {
        if self.kv.tokens() + tokens > self.settings.kv_tokens {
            return false;
        }
        let room = self.settings.kv_tokens - self.kv.tokens() - tokens;
        while self.cache.tokens() > room && self.cache.evict(now) {}
        true
    }

    /// Puts blocks into the prefix cache as far as held memory leaves room.
    pub(crate) fn remember(&mut self, prefixes: &[u64], now: time::Instant) {
        let room = self.settings.kv_tokens - self.kv.tokens();
        self.cache.insert(prefixes, room, now);
    }

    fn note(&mut self, attempt: id::Attempt, state: &str) {
        let next = self.streams.get(&attempt).map(|stream| stream.progress.borrow().next);
        if let Some(record) = self.history.get_mut(&attempt) {
            state.clone_into(&mut record.state);
            record.chunks = next.unwrap_or(record.chunks);
        }
    }

    /// Ends a stream; one that is done keeps its memory until it is delivered or expires.
    fn finish(&mut self, attempt: id::Attempt, end: End) {
        self.running.retain(|other| *other != attempt);
        self.waiting.retain(|other| *other != attempt);
        self.note(attempt, end.as_str());
        let Some(stream) = self.streams.get(&attempt) else { return };
        stream.progress.send_modify(|progress| progress.end = progress.end.or(Some(end)));
        if end != End::Done {
            self.kv.give_back(&attempt.to_string());
        }
    }

    /// Stops an attempt and frees its memory; a later one of the same name will be refused.
    pub(crate) fn cancel(&mut self, attempt: id::Attempt, now: time::Instant) {
        self.tombs.insert(attempt, now + TOMB);
        let ended = self.streams.get(&attempt).is_none_or(|s| s.progress.borrow().end.is_some());
        if !ended {
            self.finish(attempt, End::Cancelled);
        }
        self.kv.give_back(&attempt.to_string());
        self.streams.remove(&attempt);
        self.admit(now);
    }

    /// Another entry host has taken the stream over.
    pub(crate) fn set_owner(&mut self, attempt: id::Attempt, owner: &str) {
        if let Some(stream) = self.streams.get_mut(&attempt) {
            owner.clone_into(&mut stream.owner);
            self.kv.set_owner(&attempt.to_string(), owner);
        }
    }

    /// The whole answer went out: its memory comes back at once.
    pub(crate) fn delivered(&mut self, attempt: id::Attempt, now: time::Instant) {
        self.kv.give_back(&attempt.to_string());
        self.admit(now);
    }

    /// Frees a holding of any kind; nothing when there is none.
    pub(crate) fn release(&mut self, id: &str, now: time::Instant) {
        if let Ok(attempt) = id.parse::<id::Attempt>()
            && self.streams.contains_key(&attempt)
        {
            self.cancel(attempt, now);
        }
        self.kv.give_back(id);
        self.admit(now);
    }

    /// Moves on to `now`: expiries, admission, and as many steps as the time allows.
    pub(crate) fn advance(&mut self, now: time::Instant) {
        let passed = now.saturating_duration_since(self.last).as_secs_f64().min(CATCH_UP);
        self.last = now;
        if self.frozen_until.is_some_and(|until| now < until) {
            return;
        }
        self.expire(now);
        self.publish(now);
        self.admit(now);
        self.credit += passed * self.settings.time_scale / self.faults.slow.max(0.001);
        while !self.running.is_empty() {
            let left = self.running.iter().filter_map(|attempt| self.streams.get(attempt));
            let left: Vec<u64> = left.map(|stream| stream.prefill_left).collect();
            let step = batch::plan(&self.settings, &left);
            if step.seconds > self.credit {
                return;
            }
            self.credit -= step.seconds;
            self.apply(&step, &left, now);
        }
        self.credit = 0.0;
    }

    fn apply(&mut self, step: &batch::Step, left: &[u64], now: time::Instant) {
        let running = self.running.clone();
        for ((attempt, &share), &left) in running.into_iter().zip(&step.prefill).zip(left) {
            if left == 0 {
                self.decode(attempt);
            } else if share > 0 {
                self.prefill(attempt, share, now);
            }
        }
        self.admit(now);
    }

    fn prefill(&mut self, attempt: id::Attempt, share: u64, now: time::Instant) {
        let Some(stream) = self.streams.get_mut(&attempt) else { return };
        stream.prefill_left -= share;
        if stream.prefill_left == 0 {
            let prefixes = std::mem::take(&mut stream.prefixes);
            self.remember(&prefixes, now);
        }
    }

    fn decode(&mut self, attempt: id::Attempt) {
        let Some(stream) = self.streams.get(&attempt) else { return };
        if let Some(group) = &stream.group
            && self.kv.get(group).is_none()
        {
            self.finish(attempt, End::Lost);
            return;
        }
        let next = stream.progress.borrow().next;
        if next < stream.total {
            stream.progress.send_modify(|progress| progress.next = next + 1);
        }
        if next + 1 >= stream.total {
            self.finish(attempt, End::Done);
            let kept = self.last + time::Duration::from_millis(self.settings.resume_ms);
            self.kv.set_expiry(&attempt.to_string(), kept);
            if let Some(stream) = self.streams.get_mut(&attempt) {
                stream.expires = kept;
            }
        }
    }

    fn expire(&mut self, now: time::Instant) {
        self.tombs.retain(|_, until| *until > now);
        let due = self.streams.iter().filter(|(_, stream)| stream.expires <= now);
        let due: Vec<id::Attempt> = due.map(|(attempt, _)| *attempt).collect();
        for attempt in due {
            let ended =
                self.streams.get(&attempt).is_some_and(|s| s.progress.borrow().end.is_some());
            if !ended {
                self.finish(attempt, End::Expired);
            }
            self.kv.give_back(&attempt.to_string());
            self.streams.remove(&attempt);
        }
        for id in self.kv.expired(now) {
            self.kv.give_back(&id);
        }
    }

    fn publish(&mut self, now: time::Instant) {
        let lag = time::Duration::from_millis(self.settings.load_lag_ms);
        if now.saturating_duration_since(self.published_at) < lag {
            return;
        }
        let sequence = self.published.sequence + 1;
        self.published = engine::LoadReport { sequence, ..self.load() };
        self.published_at = now;
    }

    /// Load as last published.
    pub(crate) fn published(&self) -> engine::LoadReport {
        self.published
    }

    /// Load as it is, for answers to carry.
    pub(crate) fn load(&self) -> engine::LoadReport {
        let left = self.streams.values().filter(|s| s.progress.borrow().end.is_none());
        engine::LoadReport {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            prefill_tokens: left.map(|stream| stream.prefill_left).sum(),
            kv_free_tokens: self.settings.kv_tokens.saturating_sub(self.kv.tokens()),
            kv_tokens: self.settings.kv_tokens,
            prefill_rate: self.settings.prefill_rate * self.settings.time_scale,
            sequence: self.published.sequence,
            incarnation: self.incarnation,
        }
    }

    /// What it did.
    pub(crate) fn record(&self) -> Record {
        let (reserved, returned) = self.kv.totals();
        let unit = self.settings.kv_bytes_per_token;
        let attempts = self.history.iter().map(|(attempt, record)| {
            let next = self.streams.get(attempt).map(|stream| stream.progress.borrow().next);
            AttemptRecord { chunks: next.unwrap_or(record.chunks), ..record.clone() }
        });
        Record {
            incarnation: self.incarnation,
            attempts: attempts.collect(),
            bytes_reserved: reserved * unit,
            bytes_returned: returned * unit,
            stale_orders: self.orders.stale,
        }
    }
}

fn new_cache(settings: &settings::Settings) -> cache::Cache {
    cache::Cache::new(settings.tokens(prompt::BLOCK_BYTES), settings.cache_loss)
}

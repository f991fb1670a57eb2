//! State of one engine and its progress over time.
//!
//! An attempt is one dispatch of a request to this engine by an entry host. The caller chooses its
//! id and gives it again to resume or cancel the attempt; a cancel may arrive before the request
//! does. An accepted attempt has a [`Stream`], the progress of its prompt and answer.

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
use super::commands;
use super::faults;
use super::kv;
use super::settings;
use crate::prompt;

/// Maximum real time that one late tick makes up for, in seconds. Engine time beyond it is lost.
const MAX_CATCH_UP_SECONDS: f64 = 0.25;
/// Time for which a cancelled attempt is refused, as its request may arrive after the cancel.
const TOMBSTONE_TTL: time::Duration = time::Duration::from_secs(600);

/// Record of one accepted attempt.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AttemptRecord {
    /// The attempt, as 32 hex digits.
    pub attempt: String,
    /// Owner as given by the caller: the entry host and its incarnation.
    pub owner: String,
    /// `waiting`, `running`, `done`, `cancelled`, `expired` or `lost`.
    pub state: String,
    /// Number of chunks so far, including skipped ones.
    pub chunks: u64,
    /// Length of its prompt, in tokens.
    pub prompt_tokens: u64,
    /// FNV-1a hash of the prompt text.
    pub prompt_hash: u64,
}

/// Record of an engine's activity, for test assertions.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Current incarnation of the engine, a number that grows with each crash.
    pub incarnation: u64,
    /// All accepted attempts, also of earlier incarnations.
    pub attempts: Vec<AttemptRecord>,
    /// Total KV memory allocated since the start, for holdings of all kinds, in bytes.
    pub bytes_reserved: u64,
    /// Total KV memory returned since the start, in bytes.
    pub bytes_returned: u64,
    /// Number of commands with a fencing number below the highest one seen.
    pub stale_orders: u64,
}

/// Reason why a stream ended.
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

/// Progress of a stream, as its readers see it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Number of the next chunk to be decoded.
    pub(crate) next: u64,
    /// `None` while the stream is waiting or running.
    pub(crate) end: Option<End>,
}

/// Parameters of a new attempt.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) attempt: id::Attempt,
    pub(crate) owner: String,
    pub(crate) priority: u8,
    pub(crate) model: String,
    pub(crate) deadline: time::Duration,
    pub(crate) prompt: prompt::Prompt,
    /// Tokens of the answer that the caller has already.
    pub(crate) skip_tokens: u64,
    /// Tokens of the whole answer, including those that are skipped.
    pub(crate) answer_tokens: u64,
    /// This engine's reservation in a group of engines that together hold the whole prompt.
    pub(crate) reservation: Option<String>,
}

/// State of an accepted attempt, kept until the attempt is cancelled or expires. Each chunk of the
/// answer is one token.
#[derive(Debug)]
pub(crate) struct Stream {
    priority: u8,
    arrival: u64,
    owner: String,
    /// Id of this engine's reservation, for a stream that runs on a group of engines.
    reservation: Option<String>,
    /// Time at which the stream is dropped: its deadline plus `resume_ms`, or `resume_ms` after it
    /// is done.
    expires: time::Instant,
    /// Hashes of the prompt's prefixes, until they are cached.
    prefixes: Vec<u64>,
    /// Tokens that are still to be prefilled.
    prefill_left: u64,
    pub(crate) prompt_hash: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    /// Number of the first chunk, which follows the skipped ones.
    pub(crate) first_chunk: u64,
    /// Number of chunks in the whole answer, with the skipped ones.
    total_chunks: u64,
    pub(crate) progress: watch::Sender<Progress>,
}

impl Stream {
    /// Sort key of the queue and the batch: higher priority first, then earlier arrival.
    fn rank(&self) -> (cmp::Reverse<u8>, u64) {
        (cmp::Reverse(self.priority), self.arrival)
    }

    /// Returns the KV memory that the stream itself holds, in tokens. A stream of a group uses its
    /// reservation.
    fn needed_tokens(&self) -> u64 {
        if self.reservation.is_some() { 0 } else { self.prompt_tokens + self.total_chunks }
    }
}

/// Reason why a request for an attempt was refused. The refused request starts no work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    Full,
    Leaving,
    /// The engine serves another model, or is still loading this one.
    UnknownModel,
    /// The prompt and answer need more KV memory than the engine has.
    TooLong,
    /// An earlier request for the attempt was accepted, or the attempt was cancelled.
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

/// State of one engine, which survives a crash only in part, see [`State::crash`].
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: sync::Arc<settings::Settings>,
    pub(crate) faults: faults::Faults,
    pub(crate) leaving: bool,
    /// Starts as the wall clock time in microseconds; each crash adds one.
    pub(crate) incarnation: u64,
    pub(crate) kv: kv::Kv,
    pub(crate) cache: cache::Cache,
    pub(crate) commands: commands::State,
    pub(crate) streams: collections::HashMap<id::Attempt, Stream>,
    /// Accepted attempts that are not in the batch yet.
    waiting: Vec<id::Attempt>,
    /// Attempts in the batch, in priority order.
    running: Vec<id::Attempt>,
    /// Cancelled attempts, and the time until which each is refused.
    tombstones: collections::HashMap<id::Attempt, time::Instant>,
    /// Records of all accepted attempts; they survive a crash.
    history: collections::BTreeMap<id::Attempt, AttemptRecord>,
    /// Number of accepted attempts, which orders those of equal priority.
    arrivals: u64,
    /// Elapsed engine time that no step has used yet.
    unspent_seconds: f64,
    last_advance: time::Instant,
    frozen_until: Option<time::Instant>,
    /// Load report that `GET /load` returns, up to `load_lag_ms` old. Its sequence number restarts
    /// with each incarnation.
    published_report: engine::LoadReport,
    published_at: time::Instant,
}

impl State {
    pub(crate) fn new(settings: sync::Arc<settings::Settings>, now: time::Instant) -> Self {
        let wall = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        let cache = new_cache(&settings);
        let commands = commands::State::new(&settings);
        let mut state = State {
            faults: faults::Faults::default(),
            leaving: false,
            incarnation: u64::try_from(wall.as_micros()).unwrap_or(0),
            kv: kv::Kv::default(),
            cache,
            commands,
            streams: collections::HashMap::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            tombstones: collections::HashMap::new(),
            history: collections::BTreeMap::new(),
            arrivals: 0,
            unspent_seconds: 0.0,
            last_advance: now,
            frozen_until: None,
            published_report: engine::LoadReport::default(),
            published_at: now,
            settings,
        };
        state.published_report = state.load_report();
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

    /// Simulates a crash of the process and starts the next incarnation.
    ///
    /// Drops all streams, holdings, tombstones and cached blocks. The model, role and highest
    /// fencing number return to their initial values, and `leaving` ends. The settings, the
    /// fault switches, the records of attempts, the totals of KV memory and the number of stale
    /// commands survive.
    fn crash(&mut self) {
        let attempts: Vec<_> = self.streams.keys().copied().collect();
        for attempt in attempts {
            self.finish(attempt, End::Lost);
        }
        self.streams.clear();
        self.kv.clear();
        self.tombstones.clear();
        self.cache = new_cache(&self.settings);
        self.commands =
            commands::State { stale: self.commands.stale, ..commands::State::new(&self.settings) };
        self.leaving = false;
        self.incarnation += 1;
        self.published_report = engine::LoadReport { sequence: 0, ..self.load_report() };
    }

    /// Accepts and queues an attempt, or refuses it.
    pub(crate) fn accept(&mut self, request: Request, now: time::Instant) -> Result<(), Refusal> {
        let settings = self.settings.clone();
        let prompt_tokens = settings.tokens(request.prompt.bytes);
        let total_chunks = request.answer_tokens.max(request.skip_tokens);
        if self.tombstones.contains_key(&request.attempt)
            || self.streams.contains_key(&request.attempt)
        {
            return Err(Refusal::AttemptExists);
        }
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if request.model != self.commands.model || self.commands.loading {
            return Err(Refusal::UnknownModel);
        }
        if request.reservation.is_none() && prompt_tokens + total_chunks > settings.kv_tokens {
            return Err(Refusal::TooLong);
        }
        let free_slot = self.running.len() + self.waiting.len() < settings.slots;
        let must_queue =
            !free_slot || !self.fits(prompt_tokens + total_chunks, request.reservation.is_some());
        if self.faults.refuse_full || (must_queue && self.waiting.len() >= settings.waiting_limit) {
            return Err(Refusal::Full);
        }
        self.enqueue(request, prompt_tokens, total_chunks, now);
        Ok(())
    }

    /// Returns whether a stream of this many tokens fits beside the current holdings.
    fn fits(&self, tokens: u64, is_reserved: bool) -> bool {
        is_reserved || self.kv.tokens() + tokens <= self.settings.kv_tokens
    }

    fn enqueue(
        &mut self,
        request: Request,
        prompt_tokens: u64,
        total_chunks: u64,
        now: time::Instant,
    ) {
        self.arrivals += 1;
        let progress = Progress { next: request.skip_tokens, end: None };
        let stream = Stream {
            priority: request.priority,
            arrival: self.arrivals,
            owner: request.owner.clone(),
            reservation: request.reservation,
            expires: now + request.deadline + time::Duration::from_millis(self.settings.resume_ms),
            prefixes: request.prompt.prefixes,
            prefill_left: prompt_tokens,
            prompt_hash: request.prompt.hash,
            prompt_tokens,
            cached_tokens: 0,
            first_chunk: request.skip_tokens,
            total_chunks,
            progress: watch::Sender::new(progress),
        };
        let record = AttemptRecord {
            attempt: request.attempt.to_string(),
            owner: request.owner,
            state: "waiting".to_owned(),
            chunks: request.skip_tokens,
            prompt_tokens,
            prompt_hash: stream.prompt_hash,
        };
        self.history.insert(request.attempt, record);
        self.streams.insert(request.attempt, stream);
        self.waiting.push(request.attempt);
        self.admit(now);
    }

    /// Moves waiting attempts into the batch in order, while they fit. The first attempt that does
    /// not fit blocks those behind it, otherwise a long prompt could starve.
    fn admit(&mut self, now: time::Instant) {
        let streams = &self.streams;
        self.waiting.sort_by_key(|attempt| streams.get(attempt).map(Stream::rank));
        while self.running.len() < self.settings.slots {
            let Some(&attempt) = self.waiting.first() else { return };
            let Some(stream) = self.streams.get(&attempt) else { return };
            let need = stream.needed_tokens();
            if !self.make_room(need, now) {
                return;
            }
            self.waiting.remove(0);
            self.start(attempt, need);
        }
    }

    /// Moves an attempt into the batch and allocates its memory. Cached prompt blocks need no
    /// prefill, skipped chunks do.
    fn start(&mut self, attempt: id::Attempt, tokens: u64) {
        let Some(stream) = self.streams.get_mut(&attempt) else { return };
        // At least one prompt token is always prefilled.
        stream.cached_tokens = self.cache.lookup(&stream.prefixes).min(stream.prompt_tokens - 1);
        stream.prefill_left = stream.prompt_tokens + stream.first_chunk - stream.cached_tokens;
        let holding = kv::Holding {
            owner: stream.owner.clone(),
            kind: engine::Kind::Stream,
            tokens,
            expires: stream.expires,
            prefixes: Vec::new(),
        };
        self.kv.add(attempt.to_string(), holding);
        self.running.push(attempt);
        let streams = &self.streams;
        self.running.sort_by_key(|attempt| streams.get(attempt).map(Stream::rank));
        self.record_state(attempt, "running");
    }

    /// Evicts cached blocks until `tokens` are free. Returns false when holdings leave less than
    /// that.
    pub(crate) fn make_room(&mut self, tokens: u64, now: time::Instant) -> bool {
        if self.kv.tokens() + tokens > self.settings.kv_tokens {
            return false;
        }
        let room = self.settings.kv_tokens - self.kv.tokens() - tokens;
        while self.cache.tokens() > room && self.cache.evict(now) {}
        true
    }

    /// Inserts blocks into the prefix cache, within the memory that holdings leave free.
    pub(crate) fn cache_prefixes(&mut self, prefixes: &[u64], now: time::Instant) {
        let room = self.settings.kv_tokens - self.kv.tokens();
        self.cache.insert(prefixes, room, now);
    }

    /// Updates the state and chunk count in the record of an attempt.
    fn record_state(&mut self, attempt: id::Attempt, state: &str) {
        let next = self.streams.get(&attempt).map(|stream| stream.progress.borrow().next);
        if let Some(record) = self.history.get_mut(&attempt) {
            state.clone_into(&mut record.state);
            record.chunks = next.unwrap_or(record.chunks);
        }
    }

    /// Ends a stream. A completed stream keeps its memory until it is delivered or expires.
    fn finish(&mut self, attempt: id::Attempt, end: End) {
        self.running.retain(|other| *other != attempt);
        self.waiting.retain(|other| *other != attempt);
        self.record_state(attempt, end.as_str());
        let Some(stream) = self.streams.get(&attempt) else { return };
        stream.progress.send_modify(|progress| progress.end = progress.end.or(Some(end)));
        if end != End::Done {
            self.kv.release(&attempt.to_string());
        }
    }

    /// Stops an attempt and frees its memory. A request for the same attempt that arrives later is
    /// refused.
    pub(crate) fn cancel(&mut self, attempt: id::Attempt, now: time::Instant) {
        self.tombstones.insert(attempt, now + TOMBSTONE_TTL);
        let ended = self.streams.get(&attempt).is_none_or(|s| s.progress.borrow().end.is_some());
        if !ended {
            self.finish(attempt, End::Cancelled);
        }
        self.kv.release(&attempt.to_string());
        self.streams.remove(&attempt);
        self.admit(now);
    }

    /// Records that another entry host has taken over the stream.
    pub(crate) fn set_owner(&mut self, attempt: id::Attempt, owner: &str) {
        if let Some(stream) = self.streams.get_mut(&attempt) {
            owner.clone_into(&mut stream.owner);
            self.kv.set_owner(&attempt.to_string(), owner);
        }
    }

    /// Records that the whole answer was delivered, and frees its memory.
    pub(crate) fn record_delivered(&mut self, attempt: id::Attempt, now: time::Instant) {
        self.kv.release(&attempt.to_string());
        self.admit(now);
    }

    /// Frees a holding of any kind; does nothing when it does not exist.
    pub(crate) fn release(&mut self, id: &str, now: time::Instant) {
        if let Ok(attempt) = id.parse::<id::Attempt>()
            && self.streams.contains_key(&attempt)
        {
            self.cancel(attempt, now);
        }
        self.kv.release(id);
        self.admit(now);
    }

    /// Advances to `now`: expires holdings, publishes load, admits attempts and runs as many batch
    /// steps as the elapsed time allows.
    pub(crate) fn advance(&mut self, now: time::Instant) {
        let elapsed = now
            .saturating_duration_since(self.last_advance)
            .as_secs_f64()
            .min(MAX_CATCH_UP_SECONDS);
        self.last_advance = now;
        if self.frozen_until.is_some_and(|until| now < until) {
            return;
        }
        self.expire(now);
        self.publish(now);
        self.admit(now);
        self.unspent_seconds += elapsed * self.settings.time_scale / self.faults.slow.max(0.001);
        while !self.running.is_empty() {
            let running = self.running.iter().filter_map(|attempt| self.streams.get(attempt));
            let prefill_left: Vec<u64> = running.map(|stream| stream.prefill_left).collect();
            let step = batch::plan(&self.settings, &prefill_left);
            if step.seconds > self.unspent_seconds {
                return;
            }
            self.unspent_seconds -= step.seconds;
            self.apply(&step, &prefill_left, now);
        }
        self.unspent_seconds = 0.0;
    }

    /// Applies the work of one step to the running streams.
    fn apply(&mut self, step: &batch::Step, prefill_left: &[u64], now: time::Instant) {
        let running = self.running.clone();
        for ((attempt, &tokens), &prefill_left) in
            running.into_iter().zip(&step.prefill).zip(prefill_left)
        {
            if prefill_left == 0 {
                self.decode(attempt);
            } else if tokens > 0 {
                self.prefill(attempt, tokens, now);
            }
        }
        self.admit(now);
    }

    fn prefill(&mut self, attempt: id::Attempt, tokens: u64, now: time::Instant) {
        let Some(stream) = self.streams.get_mut(&attempt) else { return };
        stream.prefill_left -= tokens;
        if stream.prefill_left == 0 {
            let prefixes = std::mem::take(&mut stream.prefixes);
            self.cache_prefixes(&prefixes, now);
        }
    }

    /// Decodes one token. A stream of a group ends as lost when its reservation is gone.
    fn decode(&mut self, attempt: id::Attempt) {
        let Some(stream) = self.streams.get(&attempt) else { return };
        if let Some(reservation) = &stream.reservation
            && self.kv.get(reservation).is_none()
        {
            self.finish(attempt, End::Lost);
            return;
        }
        let next = stream.progress.borrow().next;
        if next < stream.total_chunks {
            stream.progress.send_modify(|progress| progress.next = next + 1);
        }
        if next + 1 >= stream.total_chunks {
            self.finish(attempt, End::Done);
            let expires = self.last_advance + time::Duration::from_millis(self.settings.resume_ms);
            self.kv.set_expiry(&attempt.to_string(), expires);
            if let Some(stream) = self.streams.get_mut(&attempt) {
                stream.expires = expires;
            }
        }
    }

    /// Drops tombstones, streams and holdings whose time has passed.
    fn expire(&mut self, now: time::Instant) {
        self.tombstones.retain(|_, until| *until > now);
        let expired = self.streams.iter().filter(|(_, stream)| stream.expires <= now);
        let expired: Vec<id::Attempt> = expired.map(|(attempt, _)| *attempt).collect();
        for attempt in expired {
            let ended =
                self.streams.get(&attempt).is_some_and(|s| s.progress.borrow().end.is_some());
            if !ended {
                self.finish(attempt, End::Expired);
            }
            self.kv.release(&attempt.to_string());
            self.streams.remove(&attempt);
        }
        for id in self.kv.expired(now) {
            self.kv.release(&id);
        }
    }

    /// Publishes a new load report when the last one is `load_lag_ms` old.
    fn publish(&mut self, now: time::Instant) {
        let lag = time::Duration::from_millis(self.settings.load_lag_ms);
        if now.saturating_duration_since(self.published_at) < lag {
            return;
        }
        let sequence = self.published_report.sequence + 1;
        self.published_report = engine::LoadReport { sequence, ..self.load_report() };
        self.published_at = now;
    }

    /// Returns the load report as last published.
    pub(crate) fn published_report(&self) -> engine::LoadReport {
        self.published_report
    }

    /// Returns the current load, which stream responses carry.
    pub(crate) fn load_report(&self) -> engine::LoadReport {
        let active = self.streams.values().filter(|s| s.progress.borrow().end.is_none());
        engine::LoadReport {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            prefill_tokens: active.map(|stream| stream.prefill_left).sum(),
            kv_free_tokens: self.settings.kv_tokens.saturating_sub(self.kv.tokens()),
            kv_tokens: self.settings.kv_tokens,
            prefill_rate: self.settings.prefill_rate * self.settings.time_scale,
            sequence: self.published_report.sequence,
            incarnation: self.incarnation,
        }
    }

    /// Returns the record of accepted attempts and KV memory totals.
    pub(crate) fn record(&self) -> Record {
        let (allocated, returned) = self.kv.totals();
        let bytes_per_token = self.settings.kv_bytes_per_token;
        let attempts = self.history.iter().map(|(attempt, record)| {
            let next = self.streams.get(attempt).map(|stream| stream.progress.borrow().next);
            AttemptRecord { chunks: next.unwrap_or(record.chunks), ..record.clone() }
        });
        Record {
            incarnation: self.incarnation,
            attempts: attempts.collect(),
            bytes_reserved: allocated * bytes_per_token,
            bytes_returned: returned * bytes_per_token,
            stale_orders: self.commands.stale,
        }
    }
}

fn new_cache(settings: &settings::Settings) -> cache::Cache {
    cache::Cache::new(settings.tokens(prompt::BLOCK_BYTES), settings.cache_loss)
}

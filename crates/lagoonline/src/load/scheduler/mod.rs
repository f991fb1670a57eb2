//! Interface of the scheduler for the data path: request a placement, wait, report results.

use std::collections;
use std::mem;

use crate::clock;
use crate::control::document;
use crate::id;
use crate::load::admit;
use crate::load::clear;
use crate::load::predict;
use crate::load::prefix;
use crate::load::queue;
use crate::load::retry;
use crate::load::settings;
use crate::load::tokens;
use crate::load::upstream;
use crate::load::usage;
use crate::outcome;

mod admission;
mod fleet;
mod place;

/// Prefixes of one prompt that are recorded: shared ones are at its start.
const MAX_PROMPT_PREFIXES: usize = 256;
/// Interval between polls while something waits: capacity freed by other hosts' work causes no call
/// here.
const POLL_INTERVAL: clock::Span = clock::Span::from_millis(5);
/// How long an upstream that reported itself full gets no new requests.
const FULL_SPAN: clock::Span = clock::Span::from_millis(50);

/// A request to be scheduled.
#[derive(Clone, Debug)]
pub struct Request {
    /// Customer that sent the request.
    pub customer: id::Customer,
    /// The customer's team.
    pub team: id::Team,
    /// The customer's share relative to other customers.
    pub weight: u32,
    /// The requested model.
    pub model: id::Model,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
    pub answer_tokens: u64,
    /// Bytes that the request keeps in memory while it waits.
    pub bytes: u64,
    /// Arrival time.
    pub arrived: clock::Moment,
    /// Time by which the answer must be complete.
    pub deadline: clock::Moment,
    /// Hashes of the prompt's prefixes with their lengths in tokens, shortest first.
    pub prefixes: Vec<(u64, u64)>,
}

/// Identifies a dispatched request until it is reported finished.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Identifies a waiting request until it is dispatched, refused or cancelled.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Waiter(pub u64);

/// Where a request is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// Must be passed to [`Scheduler::finish`] at the end.
    pub ticket: Ticket,
    /// The upstream that answers.
    pub upstream: id::Upstream,
    /// Further engines that hold spans of the KV cache, in order; empty for most prompts.
    pub members: Vec<id::Upstream>,
    /// KV tokens to reserve at the upstream and each member, in this order; empty without a group.
    pub reserve_tokens: Vec<u64>,
    /// Prompt tokens that the upstream probably has cached.
    pub cached_tokens: u64,
    /// Priority that is passed to the engine; higher goes first.
    pub priority: u8,
    /// Silence before the first token after which the caller should ask
    /// [`Scheduler::is_better_elsewhere`].
    pub first_token_silence: clock::Span,
    /// The same for silence between two tokens.
    pub token_silence: clock::Span,
}

/// The decision on a request that was just offered.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Send the request now.
    Dispatch(Placement),
    /// Wait until [`Scheduler::poll`] returns this waiter.
    Wait(Waiter),
    /// Refuse the request at once.
    Refuse(outcome::Failure),
}

/// The decision that ends the wait of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Wake {
    /// Send the request now.
    Dispatch(Waiter, Placement),
    /// Refuse the request at once.
    Refuse(Waiter, outcome::Failure),
}

/// How an attempt ended, from which the scheduler learns about the upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// The answer arrived completely.
    Done {
        /// Prompt length in tokens as counted by the engine; corrects the estimate.
        prompt_tokens: u64,
        /// Prompt tokens that were found in the prefix cache.
        cached_tokens: u64,
        /// Answer length in tokens.
        answer_tokens: u64,
    },
    /// The upstream refused it because it is full.
    Full,
    /// The upstream refused it because it is leaving.
    Leaving,
    /// The upstream failed or violated its protocol.
    Failed,
    /// The upstream sent nothing for too long.
    Silent,
    /// The caller left or the deadline passed; says nothing about the upstream.
    Abandoned,
}

/// The scheduler of one model at one entry host: a single state machine under one lock.
#[derive(Debug, Default)]
pub struct Scheduler {
    settings: settings::Settings,
    weights: settings::Weights,
    upstreams: Vec<upstream::Upstream>,
    /// Indices of the upstreams, by name.
    index: collections::HashMap<id::Upstream, usize>,
    /// Indices of the upstreams, by their stable number.
    index_by_number: collections::HashMap<u32, usize>,
    /// Whether a fleet has been set; upstreams that join later get their load gradually.
    started: bool,
    /// Number of upstreams in this host's zone, which come first.
    local_count: usize,
    /// KV memory of the largest engine, in tokens.
    largest_kv: u64,
    /// KV memory that one group may span, in tokens.
    group_kv: u64,
    /// Smallest delay of another zone, in seconds.
    min_zone_delay: f64,
    queue: queue::Queue,
    /// Refusals of displaced waiters, which the next poll returns.
    displaced: Vec<Wake>,
    in_flight: collections::HashMap<Ticket, InFlight>,
    budget: retry::Bucket,
    prompt_mix: clear::PromptMix,
    /// Recent use of customers, by length class.
    usage: [usage::Usage; 4],
    /// Prefill that other hosts typically have outstanding on one engine, in tokens.
    typical_prefill: f64,
    forecast: predict::Forecast,
    prefixes: prefix::Map,
    ratio: tokens::Ratio,
    /// The model's configured estimate from which the ratio started.
    configured_ratio: f64,
    /// Last number given to a ticket or waiter.
    last_id: u64,
    /// Last number given to an upstream.
    last_number: u32,
    random_state: u64,
    last_poll: clock::Moment,
}

/// A dispatched request.
#[derive(Debug)]
struct InFlight {
    /// Engines with the KV memory and the prefill that this request uses there, in tokens; the
    /// first one answers.
    parts: Vec<Part>,
    answer_tokens: u64,
    first_token_at: Option<clock::Moment>,
    prompt_tokens: u64,
    prefixes: Vec<(u64, u64)>,
    /// The prefix that the answering engine was expected to have cached.
    hit: prefix::Hit,
}

/// What a request uses on one engine.
#[derive(Debug)]
struct Part {
    upstream: id::Upstream,
    kv: u64,
    prefill: upstream::PromptPrefill,
}

impl Scheduler {
    /// A scheduler without upstreams.
    pub fn new(settings: settings::Settings) -> Self {
        let full_policy = settings.policy == settings::Policy::Full;
        let queue = queue::Queue::new(full_policy && settings.safeguards.fair);
        let weights = settings.weights.unwrap_or_default();
        let random_state = settings.seed;
        let prefixes = prefix::Map::new(settings.prefixes.max_prefixes);
        Scheduler { settings, weights, queue, random_state, prefixes, ..Scheduler::default() }
    }

    /// Requests a placement for a new request.
    pub fn offer(&mut self, now: clock::Moment, request: Request) -> Verdict {
        self.budget.record_first_attempt();
        self.prompt_mix.record_arrival(now, class(&request), request.prompt_tokens);
        let cost = queue::cost(&request);
        self.usage[class(&request) as usize].record(now, &request.customer, request.weight, cost);
        self.place_or_queue(now, request)
    }

    /// Requests another placement after an attempt that ended with `ending` and may be repeated;
    /// takes one retry from the retry budget.
    pub fn retry(
        &mut self,
        now: clock::Moment,
        ticket: Ticket,
        ending: Ending,
        request: Request,
    ) -> Verdict {
        self.finish(now, ticket, ending);
        let full_policy = self.settings.policy == settings::Policy::Full;
        if full_policy && self.settings.safeguards.retry_budget && !self.budget.take_retry() {
            let random = self.next_random();
            return Verdict::Refuse(admit::refusal(outcome::Reason::Saturated, 1.0, random));
        }
        self.place_or_queue(now, request)
    }

    /// Removes a waiting request whose caller left; its place in the queue is free at once.
    pub fn cancel(&mut self, waiter: Waiter) {
        self.queue.remove(waiter);
        let other = |wake: &Wake| !matches!(wake, Wake::Refuse(other, _) if *other == waiter);
        self.displaced.retain(other);
    }

    /// Records the first token of a dispatched request.
    pub fn record_first_token(&mut self, now: clock::Moment, ticket: Ticket) {
        let Some(dispatched) = self.in_flight.get_mut(&ticket) else { return };
        if dispatched.first_token_at.replace(now).is_some() {
            return;
        }
        let recorded = dispatched.prefixes.len().min(MAX_PROMPT_PREFIXES);
        // The first engine of a group prefills the prompt from its start; the others hold later
        // spans, which are the prefix of no prompt.
        for (position, part) in dispatched.parts.iter().enumerate() {
            let Some(&index) = self.index.get(&part.upstream) else { continue };
            let upstream = &mut self.upstreams[index];
            upstream.remove_prefill(now, part.prefill);
            upstream.slowness.record_first_token(now, ticket);
            if position > 0 {
                upstream.cache.place(part.kv);
                continue;
            }
            let location = upstream.cache.record_use(upstream.number, part.prefill.tokens, now);
            let prefixes = &dispatched.prefixes[..recorded];
            let fitting = prefixes.partition_point(|(_, tokens)| *tokens <= part.kv);
            self.prefixes.insert_all(&prefixes[..fitting], location);
        }
        let first = dispatched.parts.first().and_then(|part| self.index.get(&part.upstream));
        if let Some(&index) = first {
            self.update_slowness(now, index);
        }
    }

    /// Records the token rate of an answer and updates whether the upstream counts as slow.
    fn record_answer(&mut self, now: clock::Moment, index: usize, tokens: u64, took: clock::Span) {
        let seconds = took.as_secs_f64() / tokens.max(1) as f64;
        let usual = self.forecast.token_interval();
        self.upstreams[index].slowness.record_answer(now, tokens, seconds, usual);
        self.update_slowness(now, index);
    }

    fn update_slowness(&mut self, now: clock::Moment, index: usize) {
        if !self.upstreams[index].slowness.needs_update(now) {
            return;
        }
        let slow = self.upstreams.iter().filter(|upstream| upstream.slowness.is_slow(now)).count();
        let all = self.upstreams.len();
        self.upstreams[index].slowness.update(now, slow, all);
    }

    /// Records the end of a dispatched request.
    pub fn finish(&mut self, now: clock::Moment, ticket: Ticket, ending: Ending) {
        let Some(dispatched) = self.in_flight.remove(&ticket) else { return };
        self.record_cached_tokens(&dispatched, ending);
        if let (Ending::Done { answer_tokens, .. }, Some(first)) =
            (ending, dispatched.first_token_at)
        {
            let took = now.since(first);
            if let Some(&index) =
                dispatched.parts.first().and_then(|part| self.index.get(&part.upstream))
            {
                self.record_answer(now, index, answer_tokens, took);
            }
            self.forecast.record_answer(answer_tokens, dispatched.answer_tokens, took);
        }
        let failed = matches!(ending, Ending::Failed | Ending::Silent);
        let out = if failed { self.out_count() } else { 0 };
        let all = self.upstreams.len();
        for (position, part) in dispatched.parts.iter().enumerate() {
            let Some(&index) = self.index.get(&part.upstream) else { continue };
            let upstream = &mut self.upstreams[index];
            upstream.record_end(now, part.kv);
            if dispatched.first_token_at.is_none() {
                upstream.remove_prefill(now, part.prefill);
            }
            if ending == Ending::Silent {
                upstream.slowness.record_silence(now, ticket);
            }
            upstream.slowness.record_end(ticket);
            if position == 0 {
                update_health(upstream, now, ending, out, all);
            }
        }
    }

    /// Compares the engine's count of cached tokens with what was expected, and records the memory
    /// that the answer has taken.
    fn record_cached_tokens(&mut self, dispatched: &InFlight, ending: Ending) {
        let Ending::Done { prompt_tokens, cached_tokens, answer_tokens } = ending else { return };
        let first = dispatched.parts.first().and_then(|part| self.index.get(&part.upstream));
        let Some(&index) = first else { return };
        let cache = &mut self.upstreams[index].cache;
        let estimated_tokens = dispatched.prompt_tokens;
        let found = prefix::Found { estimated_tokens, prompt_tokens, cached_tokens };
        cache.record_found(&dispatched.hit, found, &self.settings.prefixes);
        cache.place(answer_tokens);
    }

    /// Number of upstreams whose circuit is not closed.
    fn out_count(&self) -> usize {
        self.upstreams.iter().filter(|upstream| upstream.health.is_out()).count()
    }

    /// Returns the waiting requests that can be dispatched or are refused now. Must be called after
    /// every change and at [`Scheduler::next_wake`].
    pub fn poll(&mut self, now: clock::Moment) -> Vec<Wake> {
        self.last_poll = now;
        let mut wakes = mem::take(&mut self.displaced);
        self.expire(now, &mut wakes);
        if self.queue.is_empty() {
            return wakes;
        }
        let mut queue = mem::take(&mut self.queue);
        while let Some(wake) = self.dispatch_next(now, &mut queue) {
            wakes.push(wake);
        }
        self.queue = queue;
        wakes
    }

    /// Learned ratio of bytes to tokens in the model's prompts.
    pub fn ratio(&self) -> tokens::Ratio {
        self.ratio
    }

    /// Records that an engine counted `tokens` tokens in a prompt of `bytes` bytes.
    pub fn record_token_count(&mut self, bytes: u64, tokens: u64) {
        self.ratio.learn(bytes, tokens);
    }

    /// When [`Scheduler::poll`] must be called next if nothing else happens.
    pub fn next_wake(&self) -> clock::Moment {
        if !self.displaced.is_empty() {
            return clock::Moment::START;
        }
        match self.queue.first_expiry() {
            Some((expiry, _)) => expiry.min(self.last_poll + POLL_INTERVAL),
            None => clock::Moment::NEVER,
        }
    }

    /// Number of waiting requests, and the bytes that they keep in memory.
    pub fn waiting(&self) -> (usize, u64) {
        (self.queue.len(), self.queue.bytes())
    }

    /// Number of dispatched requests that have not ended.
    pub fn dispatched(&self) -> usize {
        self.in_flight.len()
    }
}

/// Updates the upstream's health from the end of an attempt.
fn update_health(
    upstream: &mut upstream::Upstream,
    now: clock::Moment,
    ending: Ending,
    out: usize,
    all: usize,
) {
    match ending {
        Ending::Done { .. } => upstream.health.record_success(),
        Ending::Failed => {
            upstream.health.record_failure(now, out, all, upstream.local_index.is_none())
        }
        Ending::Silent => {
            upstream.health.record_silence(now, out, all, upstream.local_index.is_none())
        }
        Ending::Full => {
            upstream.full_until = now + FULL_SPAN;
            upstream.health.record_inconclusive(now);
        }
        Ending::Leaving => {
            upstream.leaving = true;
            upstream.health.record_inconclusive(now);
        }
        Ending::Abandoned => upstream.health.record_inconclusive(now),
    }
}

/// Length class of a request, by its prompt.
pub fn class(request: &Request) -> document::Class {
    document::Class::of(request.prompt_tokens)
}

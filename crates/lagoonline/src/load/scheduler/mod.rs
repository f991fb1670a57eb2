//! The face of the decisions towards the data path: ask for a place, wait, report back.

use std::collections;
use std::mem;

use crate::clock;
use crate::control::document;
use crate::id;
use crate::load::admit;
use crate::load::clear;
use crate::load::group;
use crate::load::outlier;
use crate::load::predict;
use crate::load::prefix;
use crate::load::queue;
use crate::load::retry;
use crate::load::settings;
use crate::load::upstream;
use crate::load::usage;
use crate::outcome;
use crate::port::engine;
use crate::view;

mod place;

/// Prefixes of one prompt that are remembered: shared ones are at its start.
const PREFIXES: usize = 256;
/// While something waits, room may come from other hosts' work, which shows in no call.
const RECHECK: clock::Span = clock::Span::from_millis(5);
/// How long an upstream that said it was full is left alone.
const FULL_SPAN: clock::Span = clock::Span::from_millis(50);

/// A request as the decisions see it.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Who asks.
    pub customer: id::Customer,
    /// The customer's team.
    pub team: id::Team,
    /// Share beside other customers.
    pub weight: u32,
    /// The model asked for.
    pub model: id::Model,
    /// Prompt tokens, estimated.
    pub prompt_tokens: u64,
    /// Most answer tokens.
    pub answer_tokens: u64,
    /// Bytes that the request keeps in memory while it waits.
    pub bytes: u64,
    /// When it arrived.
    pub arrived: clock::Moment,
    /// When it must have ended.
    pub deadline: clock::Moment,
    /// Hashes of the prompt's prefixes with their lengths in tokens, shortest first.
    pub prefixes: Vec<(u64, u64)>,
}

/// Names a dispatched request until it is reported finished.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Names a waiting request until it gets its place, is refused or leaves.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Waiter(pub u64);

/// Where a request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// To be given back with [`Scheduler::finish`].
    pub ticket: Ticket,
    /// The upstream that answers.
    pub upstream: id::Upstream,
    /// Further engines that hold spans of the KV cache, in order; empty for most prompts.
    pub members: Vec<id::Upstream>,
    /// Priority that the engine is asked to honour; higher goes first.
    pub priority: u8,
}

/// Answer to an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Send it now.
    Dispatch(Placement),
    /// Wait for [`Scheduler::poll`] to name this waiter.
    Wait(Waiter),
    /// Tell the caller at once.
    Refuse(outcome::Failure),
}

/// What became of a waiter.
#[derive(Clone, Debug, PartialEq)]
pub enum Wake {
    /// Send it now.
    Dispatch(Waiter, Placement),
    /// Tell the caller at once.
    Refuse(Waiter, outcome::Failure),
}

/// How an attempt ended, for what the decisions learn from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// The whole answer came.
    Done {
        /// Prompt tokens by the engine's count, which corrects the estimate.
        prompt_tokens: u64,
        /// Of these, tokens found in the prefix cache.
        cached_tokens: u64,
        /// Answer tokens.
        answer_tokens: u64,
    },
    /// The upstream refused it: full.
    Full,
    /// The upstream refused it: leaving.
    Leaving,
    /// The upstream failed or broke its protocol.
    Failed,
    /// The caller left or the deadline passed; says nothing of the upstream.
    Abandoned,
}

/// One entry host's decisions for one model, as one state machine under one lock.
#[derive(Debug, Default)]
pub struct Scheduler {
    settings: settings::Settings,
    weights: settings::Weights,
    upstreams: Vec<upstream::Upstream>,
    index: collections::HashMap<id::Upstream, usize>,
    by_number: collections::HashMap<u32, usize>,
    started: bool,
    locals: usize,
    /// KV memory of the largest engine, in tokens.
    largest: u64,
    /// KV memory that one group may span, in tokens.
    memory: u64,
    /// Smallest delay of another zone, in seconds.
    nearest: f64,
    queue: queue::Queue,
    displaced: Vec<Wake>,
    tickets: collections::HashMap<Ticket, Work>,
    budget: retry::Budget,
    share: clear::Share,
    usage: [usage::Usage; 4],
    /// Prefill that other hosts usually have on one engine, in tokens.
    typical: f64,
    forecast: predict::Forecast,
    prefixes: prefix::Map,
    next: u64,
    numbers: u32,
    draws: u64,
    polled: clock::Moment,
}

/// A dispatched request.
#[derive(Debug)]
struct Work {
    /// Class that it counted as, by length and the customer's share.
    rank: document::Class,
    /// Engines with the KV memory and the prefill that this request takes there, in tokens; the
    /// first one answers.
    parts: Vec<Part>,
    answer_tokens: u64,
    first_token: Option<clock::Moment>,
    prefixes: Vec<(u64, u64)>,
}

#[derive(Debug)]
struct Part {
    upstream: id::Upstream,
    kv: u64,
    prefill: u64,
}

impl Scheduler {
    /// Decisions with no upstreams yet.
    pub fn new(settings: settings::Settings) -> Self {
        let full = settings.policy == settings::Policy::Full;
        let queue = queue::Queue::new(full && settings.safeguards.fair);
        let weights = settings.weights.unwrap_or_default();
        let draws = settings.seed;
        Scheduler { settings, weights, queue, draws, ..Scheduler::default() }
    }

    /// Takes over the engines of `model` from a new fleet; work under way keeps its tickets.
    pub fn set_fleet(&mut self, now: clock::Moment, fleet: &view::Shared, model: &id::Model) {
        let old = mem::take(&mut self.upstreams);
        let mut old: collections::HashMap<_, _> =
            old.into_iter().map(|upstream| (upstream.name.clone(), upstream)).collect();
        let mut entries: Vec<_> = fleet.engines(model).collect();
        let is_remote = |entry: &view::Upstream| entry.entry.zone != self.settings.zone;
        entries.sort_by(|a, b| (is_remote(a), &a.name).cmp(&(is_remote(b), &b.name)));
        self.locals = 0;
        for entry in entries {
            let known = old.remove(&entry.name);
            let upstream = self.refreshed(now, known, entry);
            self.upstreams.push(upstream);
        }
        let working = old.into_values().filter(|upstream| upstream.requests > 0);
        self.upstreams.extend(working.map(|mut old| {
            old.gone = true;
            old
        }));
        let names = self.upstreams.iter().enumerate();
        self.index = names.map(|(index, upstream)| (upstream.name.clone(), index)).collect();
        let numbers = self.upstreams.iter().enumerate();
        self.by_number = numbers.map(|(index, upstream)| (upstream.number, index)).collect();
        self.measure();
        self.started = true;
        if self.settings.weights.is_none() {
            self.weights = mean_weights(fleet);
        }
    }

    fn refreshed(
        &mut self,
        now: clock::Moment,
        known: Option<upstream::Upstream>,
        entry: &view::Upstream,
    ) -> upstream::Upstream {
        let fresh = known.is_none();
        let mut upstream = known.unwrap_or_default();
        if fresh {
            self.numbers += 1;
            upstream.number = self.numbers;
            upstream.nominal = self.settings.prefill_rate;
            upstream.joined = if self.started { Some(now) } else { None };
        }
        let is_local = entry.entry.zone == self.settings.zone;
        upstream.name = entry.name.clone();
        upstream.gone = false;
        upstream.slots = entry.entry.slots;
        upstream.kv_tokens = entry.entry.kv_tokens;
        upstream.role = entry.entry.role;
        upstream.local = if is_local { Some(self.locals) } else { None };
        upstream.delay = if is_local { 0.0 } else { self.delay(&entry.entry.zone) };
        self.locals += usize::from(is_local);
        upstream
    }

    fn delay(&self, zone: &id::Zone) -> f64 {
        let listed = self.settings.remote_zones.iter().find(|(name, _)| name == zone);
        listed.map_or(self.settings.remote_default, |(_, span)| *span).as_secs_f64()
    }

    /// Takes in a lagging load report.
    pub fn observe(&mut self, now: clock::Moment, upstream: &id::Upstream, load: &engine::Load) {
        let Some(&index) = self.index.get(upstream) else { return };
        let upstream = &mut self.upstreams[index];
        if upstream.incarnation != 0 && load.incarnation != upstream.incarnation {
            upstream.epoch += 1;
            upstream.joined = Some(now);
            upstream.health = outlier::Health::default();
        }
        upstream.incarnation = load.incarnation;
        let before = upstream.kv_tokens;
        upstream.observe(now, load, &mut self.typical);
        if upstream.kv_tokens != before {
            self.measure();
        }
    }

    fn measure(&mut self) {
        let sizes = self.upstreams.iter().map(|upstream| upstream.kv_tokens);
        self.largest = sizes.max().unwrap_or(0);
        // Members of a group are of one zone; without any here, one engine is all there is.
        let locals = self.upstreams[..self.locals].iter().map(|upstream| upstream.kv_tokens);
        self.memory = group::reach(locals).max(self.largest);
        let delays = self.upstreams[self.locals..].iter().map(|upstream| upstream.delay);
        self.nearest = delays.fold(f64::MAX, f64::min);
    }

    /// Takes in one change of an engine's prefix cache; a gap voids what was known of it.
    pub fn cache_event(&mut self, upstream: &id::Upstream, event: &engine::CacheEvent) {
        let Some(&index) = self.index.get(upstream) else { return };
        let upstream = &mut self.upstreams[index];
        if event.sequence != upstream.cache_sequence + 1 {
            upstream.epoch += 1;
        }
        upstream.cache_sequence = event.sequence;
        let place = prefix::Place { engine: upstream.number, epoch: upstream.epoch };
        if event.cached {
            self.prefixes.cached(event.prefix, place);
        } else {
            self.prefixes.evicted(event.prefix, place.engine);
        }
    }

    /// Marks an upstream as leaving, or takes the mark back for a new incarnation.
    pub fn set_leaving(&mut self, _now: clock::Moment, upstream: &id::Upstream, leaving: bool) {
        if let Some(&index) = self.index.get(upstream) {
            self.upstreams[index].leaving = leaving;
        }
    }

    /// Asks for a place for a new request.
    pub fn offer(&mut self, now: clock::Moment, ask: Ask) -> Verdict {
        self.budget.first_attempt();
        self.share.offered(now, class(&ask), ask.prompt_tokens);
        let cost = queue::cost(&ask);
        self.usage[class(&ask) as usize].record(now, &ask.customer, ask.weight, cost);
        self.enter(now, ask)
    }

    /// Asks for another place after an attempt that ended with `ending` and may be repeated;
    /// draws on the retry budget.
    pub fn again(
        &mut self,
        now: clock::Moment,
        ticket: Ticket,
        ending: Ending,
        ask: Ask,
    ) -> Verdict {
        self.finish(now, ticket, ending);
        let full = self.settings.policy == settings::Policy::Full;
        if full && self.settings.safeguards.retry_budget && !self.budget.take() {
            let draw = self.draw();
            return Verdict::Refuse(admit::refusal(outcome::Reason::Saturated, 1.0, draw));
        }
        self.enter(now, ask)
    }

    /// The caller of a waiting request left: its place is free at once.
    pub fn leave(&mut self, waiter: Waiter) {
        self.queue.remove(waiter);
        let other = |wake: &Wake| !matches!(wake, Wake::Refuse(other, _) if *other == waiter);
        self.displaced.retain(other);
    }

    /// The first token of a dispatched request came.
    pub fn first_token(&mut self, now: clock::Moment, ticket: Ticket) {
        let Some(work) = self.tickets.get_mut(&ticket) else { return };
        if work.first_token.replace(now).is_some() {
            return;
        }
        for part in &work.parts {
            let Some(&index) = self.index.get(&part.upstream) else { continue };
            let upstream = &mut self.upstreams[index];
            upstream.prefilled(now, work.rank, part.prefill);
            upstream.pace.first_token(now, ticket);
            let place = prefix::Place { engine: upstream.number, epoch: upstream.epoch };
            for (hash, _) in work.prefixes.iter().take(PREFIXES) {
                self.prefixes.cached(*hash, place);
            }
        }
    }

    /// A dispatched request ended.
    pub fn finish(&mut self, now: clock::Moment, ticket: Ticket, ending: Ending) {
        let Some(work) = self.tickets.remove(&ticket) else { return };
        if let (Ending::Done { answer_tokens, .. }, Some(first)) = (ending, work.first_token) {
            self.forecast.answered(answer_tokens, work.answer_tokens, now.since(first));
        }
        let failed = ending == Ending::Failed;
        let out = if failed { self.out() } else { 0 };
        let all = self.upstreams.len();
        for (place, part) in work.parts.iter().enumerate() {
            let Some(&index) = self.index.get(&part.upstream) else { continue };
            let upstream = &mut self.upstreams[index];
            upstream.requests = upstream.requests.saturating_sub(1);
            upstream.kv = upstream.kv.saturating_sub(part.kv);
            if work.first_token.is_none() {
                upstream.prefilled(now, work.rank, part.prefill);
            }
            upstream.pace.ended(ticket);
            if place == 0 {
                judge(upstream, now, ending, out, all);
            }
        }
    }

    /// Upstreams whose circuit is open.
    fn out(&self) -> usize {
        self.upstreams.iter().filter(|upstream| upstream.health.is_out()).count()
    }

    /// Waiting requests that get a place or are refused now. Call after every change and at
    /// [`Scheduler::next_wake`].
    pub fn poll(&mut self, now: clock::Moment) -> Vec<Wake> {
        self.polled = now;
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

    /// When to call [`Scheduler::poll`] next if nothing else happens.
    pub fn next_wake(&self) -> clock::Moment {
        if !self.displaced.is_empty() {
            return clock::Moment::START;
        }
        match self.queue.first_expiry() {
            Some((expiry, _)) => expiry.min(self.polled + RECHECK),
            None => clock::Moment::NEVER,
        }
    }

    /// Requests that wait here, and the bytes that they keep in memory.
    pub fn waiting(&self) -> (usize, u64) {
        (self.queue.len(), self.queue.bytes())
    }

    /// Requests that were dispatched and have not ended.
    pub fn dispatched(&self) -> usize {
        self.tickets.len()
    }
}

/// Takes from an ending what it says of the upstream.
fn judge(
    upstream: &mut upstream::Upstream,
    now: clock::Moment,
    ending: Ending,
    out: usize,
    all: usize,
) {
    match ending {
        Ending::Done { .. } => upstream.health.succeeded(),
        Ending::Failed => upstream.health.failed(now, out, all),
        Ending::Full => {
            upstream.full_until = now + FULL_SPAN;
            upstream.health.untold(now);
        }
        Ending::Leaving => {
            upstream.leaving = true;
            upstream.health.untold(now);
        }
        Ending::Abandoned => upstream.health.untold(now),
    }
}

/// Mean of what the teams of the fleet weigh.
fn mean_weights(fleet: &view::Fleet) -> settings::Weights {
    let count = fleet.policies.len() as f64;
    if count == 0.0 {
        return settings::Weights::default();
    }
    let mut first_token = [0.0; 4];
    let mut short_slowdown = 0.0;
    for policy in fleet.policies.values() {
        short_slowdown += policy.short_slowdown_weight / count;
        for (sum, weight) in first_token.iter_mut().zip(policy.first_token_weight) {
            *sum += weight / count;
        }
    }
    settings::Weights { first_token, short_slowdown }
}

/// Length class of an ask, by its prompt.
pub fn class(ask: &Ask) -> document::Class {
    document::Class::of(ask.prompt_tokens)
}

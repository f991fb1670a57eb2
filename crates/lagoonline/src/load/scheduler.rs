//! The face of the decisions towards the data path: ask for a place, wait, report back.

use std::collections;
use std::sync;

use crate::clock;
use crate::control::document;
use crate::id;
use crate::outcome;
use crate::port::engine;
use crate::view;

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

/// Settings of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Zone of this entry host.
    pub zone: id::Zone,
    /// Entry hosts of the zone that share its upstreams.
    pub hosts_in_zone: u32,
    /// Most requests that wait.
    pub queue_requests: usize,
    /// Most bytes that waiting requests keep in memory.
    pub queue_bytes: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            zone: id::Zone::default(),
            hosts_in_zone: 1,
            queue_requests: 1_024,
            queue_bytes: 1 << 30,
        }
    }
}

/// One entry host's decisions for one model, as one state machine under one lock.
///
/// First version: least outstanding and a first-come queue, the baseline that later ones are
/// measured against.
#[derive(Debug, Default)]
pub struct Scheduler {
    settings: Settings,
    engines: collections::BTreeMap<id::Upstream, Engine>,
    queue: collections::VecDeque<(Waiter, Ask)>,
    tickets: collections::HashMap<Ticket, id::Upstream>,
    next: u64,
}

#[derive(Debug, Default)]
struct Engine {
    slots: u32,
    outstanding: u32,
    leaving: bool,
}

impl Scheduler {
    /// Decisions with no upstreams yet.
    pub fn new(settings: Settings) -> Self {
        Scheduler { settings, ..Scheduler::default() }
    }

    /// Takes over the engines of `model` from a new fleet; work under way keeps its tickets.
    pub fn set_fleet(&mut self, _now: clock::Moment, fleet: &view::Shared, model: &id::Model) {
        let mut engines = collections::BTreeMap::new();
        for upstream in fleet.engines(model) {
            let old = self.engines.remove(&upstream.name).unwrap_or_default();
            let slots = upstream.entry.slots;
            engines.insert(upstream.name.clone(), Engine { slots, ..old });
        }
        self.engines = engines;
    }

    /// Takes in a lagging load report.
    pub fn observe(&mut self, _now: clock::Moment, _upstream: &id::Upstream, _load: &engine::Load) {
    }

    /// Marks an upstream as leaving, or takes the mark back for a new incarnation.
    pub fn set_leaving(&mut self, _now: clock::Moment, upstream: &id::Upstream, leaving: bool) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.leaving = leaving;
        }
    }

    /// Asks for a place for a new request.
    pub fn offer(&mut self, _now: clock::Moment, ask: Ask) -> Verdict {
        if self.engines.is_empty() {
            return Verdict::Refuse(refusal(outcome::Reason::NoUpstream));
        }
        if self.queue.is_empty()
            && let Some(placement) = self.place()
        {
            return Verdict::Dispatch(placement);
        }
        if self.queue.len() >= self.settings.queue_requests {
            return Verdict::Refuse(refusal(outcome::Reason::Saturated));
        }
        self.next += 1;
        let waiter = Waiter(self.next);
        self.queue.push_back((waiter, ask));
        Verdict::Wait(waiter)
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
        self.offer(now, ask)
    }

    /// The caller of a waiting request left: its place is free at once.
    pub fn leave(&mut self, waiter: Waiter) {
        self.queue.retain(|(other, _)| *other != waiter);
    }

    /// The first token of a dispatched request came.
    pub fn first_token(&mut self, _now: clock::Moment, _ticket: Ticket) {}

    /// A dispatched request ended.
    pub fn finish(&mut self, _now: clock::Moment, ticket: Ticket, _ending: Ending) {
        let Some(upstream) = self.tickets.remove(&ticket) else { return };
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.outstanding = engine.outstanding.saturating_sub(1);
        }
    }

    /// Waiting requests that get a place or are refused now. Call after every change and at
    /// [`Scheduler::next_wake`].
    pub fn poll(&mut self, now: clock::Moment) -> Vec<Wake> {
        let mut wakes = Vec::new();
        while let Some((waiter, ask)) = self.queue.pop_front() {
            if ask.deadline <= now {
                let failure = refusal(outcome::Reason::DeadlinePassed);
                wakes.push(Wake::Refuse(waiter, failure));
            } else if let Some(placement) = self.place() {
                wakes.push(Wake::Dispatch(waiter, placement));
            } else {
                self.queue.push_front((waiter, ask));
                break;
            }
        }
        wakes
    }

    /// When to call [`Scheduler::poll`] next if nothing else happens.
    pub fn next_wake(&self) -> clock::Moment {
        self.queue.iter().map(|(_, ask)| ask.deadline).min().unwrap_or(clock::Moment::NEVER)
    }

    fn place(&mut self) -> Option<Placement> {
        let free =
            |(_, engine): &(_, &mut Engine)| !engine.leaving && engine.outstanding < engine.slots;
        let candidates = self.engines.iter_mut().filter(free);
        let (name, engine) = candidates.min_by_key(|(_, engine)| engine.outstanding)?;
        engine.outstanding += 1;
        self.next += 1;
        let ticket = Ticket(self.next);
        self.tickets.insert(ticket, name.clone());
        Some(Placement { ticket, upstream: name.clone(), members: Vec::new(), priority: 0 })
    }
}

fn refusal(reason: outcome::Reason) -> outcome::Failure {
    let failure = outcome::Failure::new(reason, outcome::Step::Admit, outcome::Outcome::NotRun);
    failure.retry_after(clock::Span::from_secs(1))
}

/// Schedulers of all models, each under its own lock; cheap to replace when the fleet changes.
#[derive(Clone, Debug, Default)]
pub struct Shards {
    shards: collections::HashMap<id::Model, sync::Arc<sync::Mutex<Scheduler>>>,
}

impl Shards {
    /// One scheduler for each model of the fleet, keeping those that were there.
    ///
    /// ```
    /// use lagoonline::{clock::Moment, load, view};
    /// let shards = load::Shards::default();
    /// let fleet = view::Shared::default();
    /// let shards = shards.with_fleet(Moment::START, &fleet, &load::Settings::default());
    /// assert!(shards.get(&"m".into()).is_none());
    /// ```
    pub fn with_fleet(
        &self,
        now: clock::Moment,
        fleet: &view::Shared,
        settings: &Settings,
    ) -> Shards {
        let mut shards = collections::HashMap::new();
        for model in fleet.models.keys() {
            let kept = self.shards.get(model).cloned();
            let shard = kept.unwrap_or_else(|| {
                sync::Arc::new(sync::Mutex::new(Scheduler::new(settings.clone())))
            });
            lock(&shard).set_fleet(now, fleet, model);
            shards.insert(model.clone(), shard);
        }
        Shards { shards }
    }

    /// The scheduler of a model.
    pub fn get(&self, model: &id::Model) -> Option<&sync::Arc<sync::Mutex<Scheduler>>> {
        self.shards.get(model)
    }

    /// Every scheduler with its model.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Model, &sync::Arc<sync::Mutex<Scheduler>>)> {
        self.shards.iter()
    }
}

/// Locks a scheduler. A panic of another holder leaves counts that the engines' own refusals
/// correct, so a poisoned lock is taken all the same.
pub fn lock(shard: &sync::Mutex<Scheduler>) -> sync::MutexGuard<'_, Scheduler> {
    shard.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Length class of an ask, by its prompt.
pub fn class(ask: &Ask) -> document::Class {
    document::Class::of(ask.prompt_tokens)
}

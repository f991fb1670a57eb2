//! Chooses the upstream for a request, and the engines that help to prefill a long prompt.
//!
//! Load pattern: short prompts mixed with long ones, in proportions that change tenfold within
//! seconds, arriving through many entry hosts that each see only a part of the traffic.
//! Least-outstanding balancing would queue a short prompt behind a long one, or two long ones on
//! one engine. The [`Board`] therefore tracks what all hosts have in flight on each engine, as far
//! as this host has been told, advances it at the engine's published speed, and places a request
//! where its first token is expected soonest while it delays the fewest other answers. Late or lost
//! messages from other hosts only cost efficiency, since an engine enforces its own limits.

use std::collections;
use std::fmt;
use std::net;

use super::pass;
use crate::clock;
use crate::id;
use crate::routing;

mod cut;
mod engine;
mod prompt;
mod reading;
mod settings;
mod waiting;

pub use cut::Cuts;
use engine::Engine;
use reading::Reading;
pub use settings::Settings;
use waiting::Waiting;

/// Identifies a dispatch: the host that sent it, and its sequence number there.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkId {
    /// Number of the host.
    pub host: u64,
    /// Sequence number of the dispatch at that host.
    pub number: u64,
}

/// A dispatched request and the load that it puts on upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Its identifier.
    pub id: WorkId,
    /// The upstream that answers it.
    pub first: id::Upstream,
    /// The engines that prefill parts of its prompt.
    pub helpers: Vec<id::Upstream>,
    /// Prompt length in tokens; 0 for a call of a plain service.
    pub prompt: u64,
    /// KV tokens reserved on each of the first helpers; further helpers have no reservation.
    pub held: Vec<u64>,
    /// Longest pause between two events of the answer that still meets the objective.
    pub gap: clock::Span,
    /// Time by which it has ended at the latest.
    pub until: clock::Moment,
}

impl Work {
    /// The dispatch of a prompt of `prompt` tokens according to the placement `placed`, with the
    /// gap limit `gap` and the deadline `until`.
    pub fn new(
        id: WorkId,
        placed: &Placement,
        prompt: u64,
        gap: clock::Span,
        until: clock::Moment,
    ) -> Work {
        let held = placed.helpers.iter().map(|helper| helper.reserve).filter(|held| *held > 0);
        Work {
            id,
            first: placed.first.upstream.clone(),
            helpers: placed.helpers.iter().map(|help| help.entry.upstream.clone()).collect(),
            prompt,
            held: held.collect(),
            gap,
            until,
        }
    }
}

/// A request that needs a placement.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// Prompt length in tokens; 0 for a call of a plain service.
    pub prompt: u64,
    /// Most tokens that the answer may have.
    pub answer: u64,
    /// Time left until the first event would be late.
    pub target: clock::Span,
    /// Longest pause between two events of the answer that still meets the objective.
    pub gap: clock::Span,
    /// How long it has waited at this host.
    pub waited: clock::Span,
    /// Identifies the request while it waits.
    pub turn: WorkId,
    /// Zone of this host.
    pub zone: &'a id::Zone,
    /// Upstreams that have already failed this request.
    pub avoid: &'a [id::Upstream],
    /// Random number that breaks ties between equally good choices.
    pub draw: u64,
}

/// The outcome of a placement decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The upstream that answers the request.
    pub first: routing::Entry,
    /// KV tokens to reserve on it; 0 for no reservation.
    pub reserve: u64,
    /// Engines that prefill parts of the prompt, in the order in which they are listed in the
    /// request to the primary.
    pub helpers: Vec<Helper>,
    /// Expected time from now to the first token.
    pub expected: clock::Span,
    /// Estimated state of the chosen upstream, for the log.
    pub belief: Belief,
    /// Estimated state of the second-best upstream, for the log.
    pub next: Option<Belief>,
}

/// Estimated state of an upstream at the time of a placement decision.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Belief {
    /// Queued prefill in milliseconds.
    pub reading_ms: f64,
    /// Number of answers in decode.
    pub writers: u32,
    /// Slots in use, by answers in prefill or decode.
    pub places: usize,
    /// Time since this host last received anything from it.
    pub heard: clock::Span,
}

impl fmt::Display for Belief {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Belief { reading_ms, writers, places, heard } = self;
        let heard_ms = heard.as_millis();
        write!(formatter, "reads {reading_ms:.0} ms, {writers} writers, {places} places, ")?;
        write!(formatter, "heard {heard_ms} ms ago")
    }
}

/// An engine that prefills a part of a prompt which another engine answers.
#[derive(Clone, Debug, PartialEq)]
pub struct Helper {
    /// The engine.
    pub entry: routing::Entry,
    /// KV tokens to reserve on it; 0 for no reservation.
    pub reserve: u64,
}

/// Why a request cannot be placed now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// No upstream is available.
    #[error("no upstream")]
    NoUpstream,
    /// The prompt needs more memory than all engines that may help have together.
    #[error("too long")]
    TooLong,
    /// The request should wait briefly at this host for the missing resource.
    #[error("engines are busy: {0}")]
    Busy(Shortage),
    /// The request would be late; the missing resource is expected to be free after this span.
    #[error("engines are full for {1:?}: {0}")]
    Full(Shortage, clock::Span),
}

/// The resource that engines lack for a request that cannot be placed now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Shortage {
    /// A free slot.
    #[error("no place")]
    Place,
    /// KV memory for the prompt.
    #[error("no memory")]
    Memory,
    /// Prefill capacity within the time limit.
    #[error("too much to read")]
    Reading,
    /// Slack in the gap limits of in-flight answers: the prefill would make more of them late than
    /// the request's own answer is worth.
    #[error("answers under way would be late")]
    Pause,
}

/// A dispatch in flight, and when this host learned of it.
#[derive(Clone, Debug)]
struct Begun {
    work: Work,
    at: clock::Moment,
}

/// Tracks the dispatches in flight on the upstreams of one service and places new requests.
#[derive(Clone, Debug, Default)]
pub struct Board {
    settings: Settings,
    upstreams: collections::BTreeMap<id::Upstream, Engine>,
    works: collections::HashMap<WorkId, Begun>,
    zone: id::Zone,
    cuts: Cuts,
    /// Recent prefill demand of prompts with loose gap limits.
    reading: Reading,
    /// Prompts that wait for a placement.
    waiting: Waiting,
}

impl Board {
    /// An empty tracker for a host in `zone`.
    pub fn new(settings: Settings, zone: id::Zone) -> Board {
        Board { settings, zone, ..Board::default() }
    }

    /// Replaces the set of upstreams; dispatches in flight are kept.
    pub fn set_upstreams(&mut self, entries: &[routing::Entry], pace: Option<pass::Pace>) {
        let names: collections::BTreeSet<_> = entries.iter().map(|entry| &entry.upstream).collect();
        self.upstreams.retain(|name, _| names.contains(name));
        for entry in entries {
            match self.upstreams.get_mut(&entry.upstream) {
                Some(engine) => engine.update(entry.clone(), pace),
                None => {
                    let mut engine = Engine::new(entry.clone(), pace);
                    for begun in self.works.values() {
                        engine.begin_if_on(&begun.work, clock::Moment::START);
                    }
                    self.upstreams.insert(entry.upstream.clone(), engine);
                }
            }
        }
    }

    /// Number of dispatches in flight.
    pub fn works(&self) -> usize {
        self.works.len()
    }

    /// Records that a request was dispatched.
    ///
    /// Repeated records of one dispatch count once: when two hosts connect, each sends a list of
    /// all its dispatches in flight, and it also announces each dispatch separately.
    pub fn begin(&mut self, work: Work, now: clock::Moment) {
        if self.works.contains_key(&work.id) {
            return;
        }
        for name in std::iter::once(&work.first).chain(&work.helpers) {
            if let Some(engine) = self.upstreams.get_mut(name) {
                engine.begin_if_on(&work, now);
            }
        }
        self.reading.add(self.loose_read_ms(&work), now);
        self.works.insert(work.id, Begun { work, at: now });
    }

    /// Milliseconds in which a single engine would prefill the prompt of `work`; 0 if its gap limit
    /// is tight.
    fn loose_read_ms(&self, work: &Work) -> f64 {
        if work.gap <= self.settings.tight_gap {
            return 0.0;
        }
        let pace = self.upstreams.get(&work.first).and_then(Engine::pace);
        pace.map_or(0.0, |pace| pace.read_ms(work.prompt))
    }

    /// Sets the number of hosts that place requests, including this one. Each of the others is
    /// assumed to have as many waiting prompts as this one.
    pub fn set_deciders(&mut self, deciders: usize) {
        self.waiting.set_deciders(deciders);
    }

    /// Whether the prompt of `work` has been prefilled.
    fn is_read(&self, work: &Work) -> bool {
        self.upstreams.get(&work.first).is_some_and(|engine| engine.writes(work.id))
    }

    /// Records the first token of a request, which shows that its prompt has been prefilled.
    pub fn first_token(&mut self, id: WorkId, now: clock::Moment) {
        self.each_engine(id, |engine| engine.read_done(id, now));
    }

    /// Records the end of a request.
    pub fn end(&mut self, id: WorkId, now: clock::Moment) {
        self.each_engine(id, |engine| engine.end(id, now));
        self.works.remove(&id);
    }

    /// The in-flight dispatches of the hosts that `wanted` selects, each with whether its prompt
    /// has been prefilled.
    pub fn under_way<Wanted>(&self, wanted: Wanted) -> impl Iterator<Item = (&Work, bool)>
    where
        Wanted: Fn(u64) -> bool,
    {
        let works = self.works.values().map(|begun| &begun.work);
        let works = works.filter(move |work| wanted(work.id.host));
        works.map(|work| (work, self.is_read(work)))
    }

    /// Drops the dispatches of `host` that are not listed in `numbers` and that this host has known
    /// of since `before` or earlier; `numbers` lists all dispatches that `host` has in flight.
    /// Returns those dropped.
    ///
    /// Failure answered: the message that a request ended is lost, and its slot would count as used
    /// until the caller's deadline. The complete list of a host corrects all lost messages.
    pub fn keep_only(
        &mut self,
        host: u64,
        numbers: &collections::HashSet<u64>,
        before: clock::Moment,
        now: clock::Moment,
    ) -> Vec<WorkId> {
        let over = self.works.values().filter(|begun| {
            let id = begun.work.id;
            id.host == host && begun.at <= before && !numbers.contains(&id.number)
        });
        let over: Vec<_> = over.map(|begun| begun.work.id).collect();
        for id in &over {
            self.end(*id, now);
        }
        over
    }

    /// Drops dispatches past their deadline, such as those of hosts that stopped sending updates.
    pub fn expire(&mut self, now: clock::Moment) {
        let works = self.works.values().map(|begun| &begun.work);
        let due: Vec<_> = works.filter(|work| work.until <= now).map(|work| work.id).collect();
        for id in due {
            self.end(id, now);
        }
    }

    /// Records that an upstream could not be reached or stopped responding; it is avoided for a
    /// while.
    pub fn suspect(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        let span = self.settings.suspect_span;
        if let Some(engine) = self.upstreams.get_mut(upstream) {
            engine.failed(now, span);
            self.cuts.failed(&self.zone, &engine.entry().zone, upstream, now);
        }
    }

    /// Records that the engine `first` could not reach `helper`, which was to prefill a part of a
    /// prompt.
    pub fn helper_failed(
        &mut self,
        first: &id::Upstream,
        helper: &id::Upstream,
        now: clock::Moment,
    ) {
        let from = self.upstreams.get(first).map(|engine| engine.entry().zone.clone());
        let span = self.settings.suspect_span;
        if let (Some(from), Some(engine)) = (from, self.upstreams.get_mut(helper)) {
            engine.failed(now, span);
            self.cuts.failed(&from, &engine.entry().zone, helper, now);
        }
    }

    /// The upstream that listens on `address`.
    pub fn at(&self, address: net::SocketAddr) -> Option<&id::Upstream> {
        let mut entries = self.upstreams.values().map(Engine::entry);
        entries.find(|entry| entry.address == address).map(|entry| &entry.upstream)
    }

    /// The routing entry of the upstream with this name.
    pub fn entry(&self, name: &str) -> Option<&routing::Entry> {
        self.upstreams.get(name).map(Engine::entry)
    }

    /// Records that data arrived from an upstream.
    pub fn heard(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        if let Some(engine) = self.upstreams.get_mut(upstream) {
            engine.hear(now);
        }
    }

    /// Records that a pass of this upstream takes `factor` times as long as published.
    ///
    /// Load pattern: some of the engines become several times slower for some seconds. Every prompt
    /// sent to one of them is late, and so is every long prompt of which one prefills a part, and
    /// the prompts queued behind it. Slow engines get no new requests as long as another engine is
    /// available.
    pub fn set_slowness(&mut self, upstream: &id::Upstream, factor: f64, now: clock::Moment) {
        if let Some(engine) = self.upstreams.get_mut(upstream) {
            engine.set_slowness(factor, now);
        }
    }

    /// The routing entries of the model engines, which are the upstreams with a performance
    /// profile.
    pub fn engines(&self) -> impl Iterator<Item = &routing::Entry> {
        let engines = self.upstreams.values().filter(|engine| engine.pace().is_some());
        engines.map(Engine::entry)
    }

    /// Whether anything arrived from an upstream within `span` before `now`. An upstream that is
    /// silent on a single request but active on others is busy, not down.
    pub fn is_alive(&self, upstream: &id::Upstream, span: clock::Span, now: clock::Moment) -> bool {
        self.upstreams.get(upstream).is_some_and(|engine| now.since(engine.heard()) <= span)
    }

    /// Whether an upstream failed another request and has sent nothing since.
    ///
    /// Failure answered: an upstream stops responding while it has many requests. Without this
    /// check each request would wait for its own gap limit to pass, which can take seconds.
    pub fn is_lost(&self, upstream: &id::Upstream) -> bool {
        self.upstreams.get(upstream).is_some_and(Engine::is_lost)
    }

    /// Whether the engine that should answer `id` has started a later answer with the same gap
    /// limit to a prompt at least as long. An engine processes prompts of one kind in order of
    /// arrival.
    ///
    /// Failure answered: an engine keeps working but never answers some of its requests. Since the
    /// engine is alive, these would be awaited until their callers give up.
    pub fn is_overtaken(&self, id: WorkId) -> bool {
        let Some(Begun { work, at }) = self.works.get(&id) else { return false };
        let passes = |other: &&Begun| {
            let Work { first, prompt, gap, .. } = &other.work;
            other.at > *at && *first == work.first && *gap == work.gap && *prompt >= work.prompt
        };
        self.works.values().filter(passes).any(|other| self.is_read(&other.work))
    }

    /// Records that an engine had no memory for a reservation; it counts as full for a short time.
    pub fn full(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        let until = now + self.settings.full_span;
        if let Some(engine) = self.upstreams.get_mut(upstream) {
            engine.full(until);
        }
    }

    /// Records that an upstream answered with an error of its own.
    ///
    /// Load pattern: an upstream fails its requests at once although its health check succeeds. It
    /// would always be the least loaded one and attract all requests, so its failure rate counts as
    /// additional delay.
    pub fn erred(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        if let Some(engine) = self.upstreams.get_mut(upstream) {
            engine.erred(now);
        }
    }

    /// Records that an upstream answered successfully.
    pub fn answered(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        if let Some(engine) = self.upstreams.get_mut(upstream) {
            engine.answered(now);
            self.cuts.answered(&self.zone, &engine.entry().zone);
        }
    }

    fn each_engine<Act>(&mut self, id: WorkId, mut act: Act)
    where
        Act: FnMut(&mut Engine),
    {
        let Some(Begun { work, .. }) = self.works.get(&id) else { return };
        for name in std::iter::once(&work.first).chain(&work.helpers) {
            if let Some(engine) = self.upstreams.get_mut(name) {
                act(engine);
            }
        }
    }

    /// Chooses the upstreams for `demand`.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request cannot be placed now.
    pub fn place(&mut self, demand: &Demand<'_>, now: clock::Moment) -> Result<Placement, Refusal> {
        for engine in self.upstreams.values_mut() {
            engine.advance(now);
        }
        let usable = self.usable(demand, now);
        if usable.is_empty() {
            return Err(Refusal::NoUpstream);
        }
        let pace = usable.iter().find_map(|engine| engine.pace());
        match pace {
            Some(pace) if demand.prompt > 0 => {
                let placed = self.place_prompt(demand, &usable, pace, now);
                let waits = matches!(placed, Err(Refusal::Busy(_)));
                self.waiting.note(demand.turn, pace.read_ms(demand.prompt), waits, now);
                placed
            }
            _ => Ok(self.place_call(demand, &usable, now)),
        }
    }

    /// Upstreams that may be used: those that look healthy, or all if none does.
    fn usable(&self, demand: &Demand<'_>, now: clock::Moment) -> Vec<&Engine> {
        let open = |engine: &&Engine| {
            !engine.entry().leaving && !demand.avoid.contains(&engine.entry().upstream)
        };
        let all: Vec<&Engine> = self.upstreams.values().filter(open).collect();
        let sound = |engine: &&Engine| {
            let cut = self.cuts.is_cut(&self.zone, &engine.entry().zone, now);
            !engine.is_suspect(now) && !cut && !engine.is_slow(now)
        };
        let mut found: Vec<&Engine> = all.iter().copied().filter(sound).collect();
        // Failing upstreams come last, because the first engines are the ones reserved for tight
        // gap limits.
        found.sort_by_key(|engine| engine.errors(now) > FAILS);
        if found.is_empty() { all } else { found }
    }

    /// Places a call of a plain service on the least-used replica, preferring the own zone unless
    /// it is busier.
    fn place_call(&self, demand: &Demand<'_>, usable: &[&Engine], now: clock::Moment) -> Placement {
        let cost = |engine: &&&Engine| {
            let remote = u64::from(engine.entry().zone != *demand.zone);
            let slots = u64::from(engine.entry().slots.max(1));
            let used = engine.works() as u64 * 1_000 / slots;
            let errors = (engine.errors(now) * ERRORS_USED) as u64;
            (used + remote * REMOTE_USED + errors, spread(demand.draw, engine))
        };
        let first = usable.iter().min_by_key(cost).map_or(usable[0], |engine| *engine);
        Placement {
            first: first.entry().clone(),
            reserve: 0,
            helpers: Vec::new(),
            expected: clock::Span::ZERO,
            belief: first.belief(now),
            next: None,
        }
    }
}

/// Failure rate above which an upstream counts as failing: twice the rate at which healthy services
/// fail.
const FAILS: f64 = 0.3;
/// Penalty for a replica in another zone, in thousandths of its slots: as if two of six were taken.
const REMOTE_USED: u64 = 300;
/// Penalty for a failure rate of one, in thousandths of a replica's slots: as if twice overloaded.
const ERRORS_USED: f64 = 2_000.0;

/// A pseudo-random order of upstreams that differs from request to request.
fn spread(draw: u64, engine: &Engine) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = collections::hash_map::DefaultHasher::new();
    (draw, engine.entry().upstream.as_str()).hash(&mut hasher);
    hasher.finish()
}

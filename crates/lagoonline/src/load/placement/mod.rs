//! Which upstream gets a request, and which engines help to read a long prompt.
//!
//! Load pattern: short prompts beside long ones in shares that swing tenfold within seconds, seen
//! by many entry hosts of which each sends only a part. Least outstanding puts a short prompt
//! behind a long one and two long ones on one engine. So a [`Board`] keeps what all hosts have
//! under way on each engine, as far as this host was told, lets it drain at the engine's published
//! pace, and places a request where its first token comes soonest and delays the fewest writers.
//! Words of other hosts that are late or lost cost efficiency only: the engine's own refusal is
//! final.

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

/// A request under way: the host that sent it, and its number there.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkId {
    /// The host's number.
    pub host: u64,
    /// The host counts its dispatches.
    pub number: u64,
}

/// What a request under way costs the upstreams that work on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Which it is.
    pub id: WorkId,
    /// The upstream that answers it.
    pub first: id::Upstream,
    /// The engines that read parts of its prompt.
    pub helpers: Vec<id::Upstream>,
    /// Tokens of its prompt; 0 for a call of a plain service.
    pub prompt: u64,
    /// Tokens of its prompt whose memory lies at each of the first helpers.
    pub held: Vec<u64>,
    /// Longest pause between its events that is still in time.
    pub gap: clock::Span,
    /// When it is over at the latest.
    pub until: clock::Moment,
}

impl Work {
    /// The work of a request with a prompt of `prompt` tokens that is placed as `placed`, bears
    /// pauses up to `gap` and is over at `until`.
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

/// What is to be placed.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// Tokens of the prompt; 0 for a call of a plain service.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub answer: u64,
    /// Time left until the first event would be late.
    pub target: clock::Span,
    /// Longest pause between events that is still in time.
    pub gap: clock::Span,
    /// How long it has waited at this host.
    pub waited: clock::Span,
    /// Names the request while it waits.
    pub turn: WorkId,
    /// Zone of this host.
    pub zone: &'a id::Zone,
    /// Upstreams that failed this request.
    pub avoid: &'a [id::Upstream],
    /// A draw that spreads equal choices.
    pub draw: u64,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The upstream that gets it.
    pub first: routing::Registration,
    /// Tokens of memory to reserve on it; 0 for none.
    pub reserve: u64,
    /// Engines that read parts of the prompt, in the order in which they are named to the first.
    pub helpers: Vec<Helper>,
    /// When its first token is expected, from now.
    pub expected: clock::Span,
    /// What was believed of the upstream that gets it.
    pub belief: Belief,
    /// What was believed of the next best one.
    pub next: Option<Belief>,
}

/// What was believed of an upstream when a request was placed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Belief {
    /// Milliseconds that it has to read.
    pub reading_ms: f64,
    /// Answers that it writes.
    pub writers: u32,
    /// Places that are taken, by answers written or to be written.
    pub places: usize,
    /// Time since something last came of it to this host.
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

/// An engine that reads a part of a prompt for another.
#[derive(Clone, Debug, PartialEq)]
pub struct Helper {
    /// The engine.
    pub entry: routing::Registration,
    /// Tokens of memory to reserve on it; 0 for none.
    pub reserve: u64,
}

/// Why a request cannot be placed now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// No upstream that may be asked.
    #[error("no upstream")]
    NoUpstream,
    /// The prompt is larger than the memory of all engines together that may help.
    #[error("too long")]
    TooLong,
    /// It should wait a moment at this host for what engines lack.
    #[error("engines are busy: {0}")]
    Busy(Shortage),
    /// It would come too late; engines are expected to have what they lack after this span.
    #[error("engines are full for {1:?}: {0}")]
    Full(Shortage, clock::Span),
}

/// What engines lack for a request that cannot be placed now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Shortage {
    /// A place for its answer.
    #[error("no place")]
    Place,
    /// Memory for its prompt.
    #[error("no memory")]
    Memory,
    /// Time to read its prompt soon enough.
    #[error("too much to read")]
    Reading,
    /// Pauses that answers under way can bear: its parts would make more of them late than its own
    /// answer is worth.
    #[error("answers under way would be late")]
    Pause,
}

/// A request under way, and since when this host knows of it.
#[derive(Clone, Debug)]
struct Begun {
    work: Work,
    at: clock::Moment,
}

/// What is under way on the upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct Board {
    settings: Settings,
    upstreams: collections::BTreeMap<id::Upstream, Engine>,
    works: collections::HashMap<WorkId, Begun>,
    zone: id::Zone,
    cuts: Cuts,
    /// What long prompts ask of the engines.
    reading: Reading,
    /// Prompts that wait for them.
    waiting: Waiting,
}

impl Board {
    /// The board of a host in `zone`.
    pub fn new(settings: Settings, zone: id::Zone) -> Board {
        Board { settings, zone, ..Board::default() }
    }

    /// Takes in which upstreams there are; what is under way stays known.
    pub fn set_upstreams(&mut self, entries: &[routing::Registration], pace: Option<pass::Pace>) {
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

    /// Requests under way.
    pub fn works(&self) -> usize {
        self.works.len()
    }

    /// A request was sent.
    ///
    /// What is told twice counts once: a host tells another all that it has under way when they
    /// meet, and the same dispatch by itself.
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

    /// Milliseconds that an engine alone would read the prompt of `work`; 0 where its answer bears
    /// only short pauses.
    fn loose_read_ms(&self, work: &Work) -> f64 {
        if work.gap <= self.settings.tight_gap {
            return 0.0;
        }
        let pace = self.upstreams.get(&work.first).and_then(Engine::pace);
        pace.map_or(0.0, |pace| pace.read_ms(work.prompt))
    }

    /// There are so many hosts, this one included, that decide where requests go. Each is taken to
    /// have as many prompts waiting as this one.
    pub fn set_deciders(&mut self, deciders: usize) {
        self.waiting.set_deciders(deciders);
    }

    /// Whether the prompt of `work` is read.
    fn is_read(&self, work: &Work) -> bool {
        self.upstreams.get(&work.first).is_some_and(|engine| engine.writes(work.id))
    }

    /// The first token of a request came: its prompt is read.
    pub fn first_token(&mut self, id: WorkId, now: clock::Moment) {
        self.each_engine(id, |engine| engine.read_done(id, now));
    }

    /// A request ended.
    pub fn end(&mut self, id: WorkId, now: clock::Moment) {
        self.each_engine(id, |engine| engine.end(id, now));
        self.works.remove(&id);
    }

    /// What the hosts of which `wanted` holds have under way, and whether its prompt is read.
    pub fn under_way<Wanted>(&self, wanted: Wanted) -> impl Iterator<Item = (&Work, bool)>
    where
        Wanted: Fn(u64) -> bool,
    {
        let works = self.works.values().map(|begun| &begun.work);
        let works = works.filter(move |work| wanted(work.id.host));
        works.map(|work| (work, self.is_read(work)))
    }

    /// Forgets what `host` does not have under way though this host knew of it before `before`: all
    /// that it has are those of `numbers`.
    ///
    /// Failure answered: the word that a request ended is lost, and its place counts as taken until
    /// its caller's time is over. A host that tells all that it has makes up for every lost word.
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

    /// Forgets what must be over, as of hosts that fell silent.
    pub fn expire(&mut self, now: clock::Moment) {
        let works = self.works.values().map(|begun| &begun.work);
        let due: Vec<_> = works.filter(|work| work.until <= now).map(|work| work.id).collect();
        for id in due {
            self.end(id, now);
        }
    }

    /// An upstream could not be reached, or fell silent: it is passed over for a while.
    pub fn suspect(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        let span = self.settings.suspect_span;
        if let Some(engine) = self.upstreams.get_mut(upstream) {
            engine.failed(now, span);
            self.cuts.failed(&self.zone, &engine.entry().zone, upstream, now);
        }
    }

    /// The engine `first` could not reach `helper`, which was to read a part of a prompt.
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

    /// The upstream that hears at `address`.
    pub fn at(&self, address: net::SocketAddr) -> Option<&id::Upstream> {
        let mut entries = self.upstreams.values().map(Engine::entry);
        entries.find(|entry| entry.address == address).map(|entry| &entry.upstream)
    }

    /// What is known of the upstream of this name.
    pub fn entry(&self, name: &str) -> Option<&routing::Registration> {
        self.upstreams.get(name).map(Engine::entry)
    }

    /// Something came from an upstream.
    pub fn heard(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        if let Some(engine) = self.upstreams.get_mut(upstream) {
            engine.hear(now);
        }
    }

    /// An upstream takes `factor` times its published pace.
    ///
    /// Load pattern: a part of the engines turns several times slower for some seconds. Each prompt
    /// that is sent there is late, and so is each long prompt of which one reads a part, and those
    /// that wait behind it. While another engine is left, slow ones get nothing new.
    pub fn set_slowness(&mut self, upstream: &id::Upstream, factor: f64, now: clock::Moment) {
        if let Some(engine) = self.upstreams.get_mut(upstream) {
            engine.set_slowness(factor, now);
        }
    }

    /// The model engines.
    pub fn engines(&self) -> impl Iterator<Item = &routing::Registration> {
        let engines = self.upstreams.values().filter(|engine| engine.pace().is_some());
        engines.map(Engine::entry)
    }

    /// Whether something came from an upstream within `span` before `now`: one that is silent to a
    /// single request is busy with others, not gone.
    pub fn is_alive(&self, upstream: &id::Upstream, span: clock::Span, now: clock::Moment) -> bool {
        self.upstreams.get(upstream).is_some_and(|engine| now.since(engine.heard()) <= span)
    }

    /// Whether an upstream failed another request and nothing has come of it since.
    ///
    /// Failure answered: an upstream goes silent under many requests. Each that waits for it on its
    /// own waits as long as its own answer may pause, those with long pauses for seconds.
    pub fn is_lost(&self, upstream: &id::Upstream) -> bool {
        self.upstreams.get(upstream).is_some_and(Engine::is_lost)
    }

    /// Whether the engine that is to answer `id` has begun a later answer of the same kind to a
    /// prompt at least as long. An engine takes prompts of one kind in their order.
    ///
    /// Failure answered: an engine works on, but never answers some of its requests. It is alive, so
    /// those would be waited for until their callers have left.
    pub fn is_overtaken(&self, id: WorkId) -> bool {
        let Some(Begun { work, at }) = self.works.get(&id) else { return false };
        let passes = |other: &&Begun| {
            let Work { first, prompt, gap, .. } = &other.work;
            other.at > *at && *first == work.first && *gap == work.gap && *prompt >= work.prompt
        };
        self.works.values().filter(passes).any(|other| self.is_read(&other.work))
    }

    /// An engine had no memory to reserve: it is taken for full for a moment.
    pub fn full(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        let until = now + self.settings.full_span;
        if let Some(engine) = self.upstreams.get_mut(upstream) {
            engine.full(until);
        }
    }

    /// An upstream answered with an error of its own.
    ///
    /// Load pattern: an upstream that fails its requests at once, with a good health check, is
    /// always the least busy one and draws all of them. Its share of failures counts as delay.
    pub fn erred(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        if let Some(engine) = self.upstreams.get_mut(upstream) {
            engine.erred(now);
        }
    }

    /// An upstream answered.
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

    /// Where `demand` goes.
    ///
    /// # Errors
    ///
    /// Why it cannot be placed now.
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

    /// Upstreams that may be asked: those not suspected, or all when every one is.
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
        // Those that fail come last: the first ones are kept for short prompts.
        found.sort_by_key(|engine| engine.errors(now) > FAILS);
        if found.is_empty() { all } else { found }
    }

    /// A call of a plain service: the least used replica, in the own zone unless that is busier.
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

/// Share of failed requests above which an upstream counts as failing: twice what services fail of
/// themselves.
const FAILS: f64 = 0.3;
/// Thousandths of a replica's places that being in another zone counts as: two of six taken.
const REMOTE_USED: u64 = 300;
/// The same for failing every request: full twice over.
const ERRORS_USED: f64 = 2_000.0;

/// An order of equal choices that differs from draw to draw.
fn spread(draw: u64, engine: &Engine) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = collections::hash_map::DefaultHasher::new();
    (draw, engine.entry().upstream.as_str()).hash(&mut hasher);
    hasher.finish()
}

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

use super::pass;
use crate::clock;
use crate::id;
use crate::routing;

mod cut;
mod engine;

pub use cut::Cuts;
pub use engine::{Engine, Stage};

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
    pub first: routing::Entry,
    /// Tokens of memory to reserve on it; 0 for none.
    pub reserve: u64,
    /// Engines that read parts of the prompt, in the order in which they are named to the first.
    pub helpers: Vec<Helper>,
    /// When its first token is expected, from now.
    pub expected: clock::Span,
}

/// An engine that reads a part of a prompt for another.
#[derive(Clone, Debug, PartialEq)]
pub struct Helper {
    /// The engine.
    pub entry: routing::Entry,
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
    /// It should wait a moment at this host: engines have no place or no memory for it, or so much
    /// to read that others would come too late.
    #[error("engines are busy")]
    Busy,
    /// It would come too late; places are expected after this span.
    #[error("engines are full for {0:?}")]
    Full(clock::Span),
}

/// Figures of the placement.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// A part of a prompt that one engine reads should take no longer than this, in milliseconds:
    /// a pass of writers (some 50 ms) and two such parts stay below the pause of 250 ms that
    /// answers to short prompts bear.
    pub part_ms: f64,
    /// The same for prompts whose answers bear longer pauses, in milliseconds. Smaller parts wait
    /// for more engines, and the first token comes after the last of them.
    pub loose_part_ms: f64,
    /// Engines that may help with one prompt: one less than an engine takes names of, since its own
    /// reservation is named as well.
    pub helpers: usize,
    /// Part of an engine's memory that is planned with; the rest is for answers and for what this
    /// host has not heard of.
    pub memory_share: f64,
    /// A prompt that needs more than this part of an engine's memory reserves it before it is sent:
    /// two such prompts, sent at once by hosts that do not know of each other, do not fit together,
    /// and the second waits in the engine for seconds until the first has ended.
    pub reserve_share: f64,
    /// How long an engine that had no memory to reserve is taken for full.
    pub full_span: clock::Span,
    /// Milliseconds that another zone's upstream must be ahead to be chosen.
    pub remote_ms: f64,
    /// Longest pause between events of an answer that counts as tight: three passes of writers
    /// with a part of a prompt in each.
    pub tight_gap: clock::Span,
    /// Tight answers that one engine of those kept for them should write: of 16 places some are
    /// left for a burst.
    pub tight_writers: u32,
    /// Answers that bear longer pauses for which one engine is kept back from the others.
    pub loose_writers: u32,
    /// Milliseconds by which a short prompt's first token may come later without being late.
    pub stall_ms: f64,
    /// How long a short prompt's answer takes, by which the rate of short prompts is known from
    /// those under way.
    pub tight_life: clock::Span,
    /// Milliseconds by which equal choices are spread.
    pub jitter_ms: f64,
    /// Milliseconds that engines may have to read, on the average, when a long prompt is sent: a
    /// burst of short prompts waits no longer than this and their own reading.
    pub backlog_ms: f64,
    /// Milliseconds of reading of a prompt for which that bound holds in full; a larger prompt's is
    /// smaller in proportion, down to a quarter.
    pub backlog_prompt_ms: f64,
    /// Part of the time that a prompt has waited by which its bound grows.
    pub backlog_growth: f64,
    /// Part of the time left to its first token that a short prompt waits for a place.
    pub hold_share: f64,
    /// How long a prompt waits at most for engines to have less to read.
    pub patience: clock::Span,
    /// Milliseconds of delay that one answer made late is worth.
    pub harm_ms: f64,
    /// How long an upstream that failed without a word is passed over.
    pub suspect_span: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            part_ms: 60.0,
            loose_part_ms: 60.0,
            helpers: 15,
            memory_share: 0.92,
            reserve_share: 0.25,
            full_span: clock::Span::from_millis(150),
            remote_ms: 12.0,
            tight_gap: clock::Span::from_millis(400),
            tight_writers: 11,
            loose_writers: 2,
            stall_ms: 100.0,
            tight_life: clock::Span::from_millis(1_900),
            jitter_ms: 20.0,
            backlog_ms: 200.0,
            backlog_prompt_ms: 1_200.0,
            backlog_growth: 0.12,
            hold_share: 0.3,
            patience: clock::Span::from_millis(5_000),
            harm_ms: 60.0,
            suspect_span: clock::Span::from_secs(1),
        }
    }
}

/// What is under way on the upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct Board {
    settings: Settings,
    upstreams: collections::BTreeMap<id::Upstream, Engine>,
    works: collections::HashMap<WorkId, Work>,
    zone: id::Zone,
    cuts: Cuts,
}

impl Board {
    /// The board of a host in `zone`.
    pub fn new(settings: Settings, zone: id::Zone) -> Board {
        Board { settings, zone, ..Board::default() }
    }

    /// Takes in which upstreams there are; what is under way stays known.
    pub fn set_upstreams(&mut self, entries: &[routing::Entry], pace: Option<pass::Pace>) {
        let names: collections::BTreeSet<_> = entries.iter().map(|entry| &entry.upstream).collect();
        self.upstreams.retain(|name, _| names.contains(name));
        for entry in entries {
            match self.upstreams.get_mut(&entry.upstream) {
                Some(engine) => engine.update(entry.clone(), pace),
                None => {
                    let mut engine = Engine::new(entry.clone(), pace);
                    for work in self.works.values() {
                        engine.begin_if_on(work, clock::Moment::START);
                    }
                    self.upstreams.insert(entry.upstream.clone(), engine);
                }
            }
        }
    }

    /// The upstreams, for gauges.
    pub fn upstreams(&self) -> impl Iterator<Item = &Engine> {
        self.upstreams.values()
    }

    /// Requests under way.
    pub fn works(&self) -> usize {
        self.works.len()
    }

    /// A request was sent.
    pub fn begin(&mut self, work: Work, now: clock::Moment) {
        for name in std::iter::once(&work.first).chain(&work.helpers) {
            if let Some(engine) = self.upstreams.get_mut(name) {
                engine.begin_if_on(&work, now);
            }
        }
        self.works.insert(work.id, work);
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

    /// Forgets what must be over, as of hosts that fell silent.
    pub fn expire(&mut self, now: clock::Moment) {
        let due: Vec<_> =
            self.works.values().filter(|work| work.until <= now).map(|work| work.id).collect();
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

    /// Something came from an upstream.
    pub fn heard(&mut self, upstream: &id::Upstream, now: clock::Moment) {
        if let Some(engine) = self.upstreams.get_mut(upstream) {
            engine.hear(now);
        }
    }

    /// Whether something came from an upstream within `span` before `now`: one that is silent to a
    /// single request is busy with others, not gone.
    pub fn is_alive(&self, upstream: &id::Upstream, span: clock::Span, now: clock::Moment) -> bool {
        self.upstreams.get(upstream).is_some_and(|engine| now.since(engine.heard()) <= span)
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
        let Some(work) = self.works.get(&id) else { return };
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
            Some(pace) if demand.prompt > 0 => self.place_prompt(demand, &usable, pace, now),
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
            !engine.is_suspect(now) && !cut
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
        }
    }

    /// How many engines, the first by name, are kept for answers that bear only short pauses.
    ///
    /// A long read in a pass delays every writer of its engine; spread evenly, long reads make all
    /// answers to short prompts late. Kept apart, both are in time; the division moves with the
    /// answers under way, since the mix swings. Long prompts keep what they have under way; short
    /// ones take the rest when they need it.
    fn kept_for_tight(&self, usable: &[&Engine]) -> usize {
        let gap_ms = self.settings.tight_gap.as_secs_f64() * 1e3;
        let tight: u32 = usable.iter().map(|engine| engine.tight_writers(gap_ms)).sum();
        let loose: u32 = usable.iter().map(|engine| engine.loose_writers(gap_ms)).sum();
        let wanted = tight.div_ceil(self.settings.tight_writers.max(1)) as usize;
        let needed = loose.div_ceil(self.settings.loose_writers.max(1)) as usize;
        wanted.max(1).min(usable.len().saturating_sub(needed).max(1))
    }

    fn place_prompt(
        &self,
        demand: &Demand<'_>,
        usable: &[&Engine],
        pace: pass::Pace,
        now: clock::Moment,
    ) -> Result<Placement, Refusal> {
        let tight = demand.gap <= self.settings.tight_gap;
        let kept = self.kept_for_tight(usable);
        let total_ms = pace.read_ms(demand.prompt);
        let part_ms = if tight { self.settings.part_ms } else { self.settings.loose_part_ms };
        let placeless = usable.iter().all(|engine| !engine.has_place());
        if tight && placeless {
            return Err(self.without_place(demand, pace));
        }
        if !tight {
            self.check_backlog(demand, &usable[kept.min(usable.len() - 1)..], total_ms)?;
        }
        let mut best: Option<Plan> = None;
        let mut refusal = Refusal::NoUpstream;
        for side in [Side::Unharmed, Side::Own, Side::Any] {
            let eligible = self.eligible(usable, side, kept, tight, total_ms.min(part_ms));
            if tight && eligible.iter().all(|index| !usable[*index].has_place()) {
                continue;
            }
            match self.plan(demand, usable, &eligible, (total_ms, part_ms), now) {
                Ok(mut plan) => {
                    plan.net = self.net(demand, usable, kept, &plan, now);
                    if best.as_ref().is_none_or(|best| plan.net > best.net) {
                        best = Some(plan);
                    }
                }
                Err(error) => refusal = error,
            }
        }
        match best {
            Some(plan) if tight || plan.net >= 0.0 => {
                Ok(placed(demand, usable, pace, &plan, self.settings.reserve_share))
            }
            Some(_) => Err(self.not_now(demand)),
            None if refusal == Refusal::Busy => Err(self.not_now(demand)),
            None => Err(refusal),
        }
    }

    /// What becomes of a short prompt when every place of every engine is taken.
    ///
    /// Load pattern: short prompts come faster than engines write their answers. Queued in the
    /// engines, each waits behind all before it, and soon every answer is late though the engines
    /// do all they can. So a prompt waits here for a place for as long as it can still be in time,
    /// and is then refused: those that are let in are in time. By the time an answer usually takes
    /// every place has changed hands once.
    fn without_place(&self, demand: &Demand<'_>, pace: pass::Pace) -> Refusal {
        if demand.waited < demand.target.mul_f64(self.settings.hold_share) {
            return Refusal::Busy;
        }
        let context = u64::from(pace.slots) * pace.usual_prompt;
        let pass_ms = pace.pass_ms(pace.slots, context);
        Refusal::Full(pace.write_span(pace.usual_answer, pass_ms))
    }

    /// Whether a long prompt may add to what the engines of its side have to read.
    ///
    /// Load pattern: a burst of long prompts brings more reading than engines can do. Sent at
    /// once, they queue in the engines, where nobody passes them: every one of them is late, and
    /// when short prompts return they find seconds of reading before them. So what is read is
    /// bounded, and tighter for a larger prompt: smaller ones, which earn more for the time that
    /// they take, pass it at the hosts. The bound grows while it waits, and ends after
    /// [`Settings::patience`] of it.
    fn check_backlog(
        &self,
        demand: &Demand<'_>,
        engines: &[&Engine],
        total_ms: f64,
    ) -> Result<(), Refusal> {
        let sum: f64 = engines.iter().map(|engine| engine.reading_ms()).sum();
        let backlog = sum / engines.len().max(1) as f64;
        let waited = demand.waited.as_secs_f64() * 1e3;
        let scaled = self.settings.backlog_ms * self.settings.backlog_prompt_ms / total_ms.max(1.0);
        let bound = scaled.clamp(self.settings.backlog_ms / 4.0, self.settings.backlog_ms)
            + waited * self.settings.backlog_growth;
        let patient = demand.waited < self.settings.patience;
        if patient && backlog > bound {
            return Err(Refusal::Busy);
        }
        Ok(())
    }

    /// The engines that a plan may use.
    fn eligible(
        &self,
        usable: &[&Engine],
        side: Side,
        kept: usize,
        tight: bool,
        part_ms: f64,
    ) -> Vec<usize> {
        let own = |index: usize| (index < kept) == tight;
        let unharmed = |index: usize| usable[index].harmed(part_ms) == 0;
        let all = 0..usable.len();
        match side {
            Side::Unharmed => all.filter(|index| own(*index) && unharmed(*index)).collect(),
            Side::Own => all.filter(|index| own(*index)).collect(),
            Side::Any => all.collect(),
        }
    }

    /// The best way to serve `demand` with the engines `eligible`.
    fn plan(
        &self,
        demand: &Demand<'_>,
        usable: &[&Engine],
        eligible: &[usize],
        (total_ms, part_ms): (f64, f64),
        now: clock::Moment,
    ) -> Result<Plan, Refusal> {
        if eligible.is_empty() {
            return Err(Refusal::NoUpstream);
        }
        let wish = (total_ms / part_ms).ceil() as usize;
        let wish = wish.clamp(1, (self.settings.helpers + 1).min(eligible.len()));
        let part_ms = total_ms / wish as f64;
        let open: Vec<usize> =
            eligible.iter().copied().filter(|index| usable[*index].has_place()).collect();
        let open = if open.is_empty() { eligible } else { &open };
        let firsts = self.rank(demand, usable, open, |engine| {
            let errors = engine.errors(now) * ERRORS_MS;
            self.cost(engine, part_ms) + engine.crowd_ms() + self.far(demand, engine) + errors
        });
        let need = demand.prompt + demand.answer;
        let share = self.settings.memory_share;
        // The first engine writes: it needs the memory, or helpers that hold a part of it.
        let fits = firsts.iter().find(|index| usable[**index].room(share) >= need);
        let (first, mut helpers) = match fits {
            Some(index) => (*index, Vec::new()),
            None => {
                let first = self.roomiest(usable, eligible);
                (first, self.holders(usable, &self.in_reach(usable, eligible, first, now), need)?)
            }
        };
        let eligible = &self.in_reach(usable, eligible, first, now);
        for index in self.rank(demand, usable, eligible, |engine| {
            self.cost(engine, part_ms) + engine.errors(now) * ERRORS_MS
        }) {
            if helpers.len() + 1 >= wish {
                break;
            }
            if index != first && helpers.iter().all(|(other, _)| *other != index) {
                helpers.push((index, 0));
            }
        }
        let part_ms = total_ms / (helpers.len() + 1) as f64;
        let parts = helpers.iter().map(|(index, _)| *index).chain([first]);
        let wait = parts.map(|index| usable[index].wait_ms()).fold(0.0, f64::max);
        let expected = wait + part_ms + usable[first].pass_ms() / 2.0;
        Ok(Plan { first, helpers, part_ms, expected, net: 0.0 })
    }

    /// What a plan earns less what it takes from the requests under way and from short prompts that
    /// will come, in answers in time to a usual short prompt.
    fn net(
        &self,
        demand: &Demand<'_>,
        usable: &[&Engine],
        kept: usize,
        plan: &Plan,
        now: clock::Moment,
    ) -> f64 {
        let target = demand.target.as_secs_f64() * 1e3;
        let in_time = match plan.expected {
            expected if expected <= target => 1.0,
            expected if expected <= target * TOO_LATE => LATE_VALUE,
            _ => 0.0,
        };
        let parts = || plan.helpers.iter().map(|(index, _)| *index).chain([plan.first]);
        let late = |index: usize| usable[index].made_late(plan.part_ms).map(value).sum::<f64>();
        let writers: f64 = parts().map(late).sum();
        let gap_ms = self.settings.tight_gap.as_secs_f64() * 1e3;
        let tight: u32 = usable.iter().map(|engine| engine.tight_writers(gap_ms)).sum();
        let touched = parts().filter(|index| *index < kept).count() as f64 / kept.max(1) as f64;
        let stall = (plan.part_ms - self.settings.stall_ms).max(0.0) / 1e3;
        let arrivals = f64::from(tight) / self.settings.tight_life.as_secs_f64() * touched * stall;
        let served = 1.0 - usable[plan.first].errors(now);
        value(demand.prompt) * in_time * served - (writers + arrivals) * (1.0 - LATE_VALUE)
    }

    /// What becomes of a long prompt for which there is no memory, or that would take more from
    /// others than its answer is worth.
    ///
    /// Load pattern: one prompt of several engines' memory among a burst of short ones. Its parts
    /// stop every engine for seconds, and hundreds of answers are late for one. It waits for a
    /// calmer moment, and is then asked to come back.
    fn not_now(&self, demand: &Demand<'_>) -> Refusal {
        if demand.waited < self.settings.patience {
            Refusal::Busy
        } else {
            Refusal::Full(self.settings.patience / 2)
        }
    }

    /// The indices `eligible` by cost, in which a draw hides small differences: hosts that have not
    /// yet heard of each other's choices would all choose the same engine, and several prompts
    /// would be read in one pass.
    fn rank<Cost>(
        &self,
        demand: &Demand<'_>,
        usable: &[&Engine],
        eligible: &[usize],
        cost: Cost,
    ) -> Vec<usize>
    where
        Cost: Fn(&Engine) -> f64,
    {
        let keyed = eligible.iter().map(|index| {
            let engine = usable[*index];
            let jitter = spread(demand.draw, engine) % 1_000;
            (cost(engine) + jitter as f64 / 1e3 * self.settings.jitter_ms, *index)
        });
        let mut keyed: Vec<(f64, usize)> = keyed.collect();
        keyed.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        keyed.into_iter().map(|(_, index)| index).collect()
    }

    /// The engines of `eligible` that the engine `first` can reach, itself first among them.
    fn in_reach(
        &self,
        usable: &[&Engine],
        eligible: &[usize],
        first: usize,
        now: clock::Moment,
    ) -> Vec<usize> {
        let from = &usable[first].entry().zone;
        let others = eligible.iter().copied().filter(|index| {
            *index != first && !self.cuts.is_cut(from, &usable[*index].entry().zone, now)
        });
        std::iter::once(first).chain(others).collect()
    }

    fn roomiest(&self, usable: &[&Engine], eligible: &[usize]) -> usize {
        let share = self.settings.memory_share;
        let most = eligible.iter().copied().max_by_key(|index| usable[*index].room(share));
        most.unwrap_or(0)
    }

    /// Engines that hold what a prompt needs beyond the memory of the first of `eligible`, as few
    /// as can, each with the tokens to reserve on it.
    fn holders(
        &self,
        usable: &[&Engine],
        eligible: &[usize],
        need: u64,
    ) -> Result<Vec<(usize, u64)>, Refusal> {
        let share = self.settings.memory_share;
        let total: u64 = usable.iter().map(|engine| engine.memory(share)).sum();
        if need > total {
            return Err(Refusal::TooLong);
        }
        let room = |index: &usize| usable[*index].room(share);
        let mut by_room: Vec<usize> = eligible[1..].to_vec();
        by_room.sort_by_key(|index| std::cmp::Reverse(room(index)));
        let mut left = need.saturating_sub(room(&eligible[0]));
        let mut holders = Vec::new();
        for index in by_room.into_iter().take(self.settings.helpers) {
            let part = left.min(room(&index));
            if part == 0 {
                break;
            }
            holders.push((index, part));
            left -= part;
        }
        if left > 0 { Err(Refusal::Busy) } else { Ok(holders) }
    }

    /// What reading a part on `engine` costs, in milliseconds of delay: the wait of the part, and
    /// the writers that it makes late.
    fn cost(&self, engine: &Engine, part_ms: f64) -> f64 {
        let harmed = engine.harmed(part_ms);
        engine.wait_ms() + f64::from(harmed) * self.settings.harm_ms
    }

    fn far(&self, demand: &Demand<'_>, engine: &Engine) -> f64 {
        if engine.entry().zone == *demand.zone { 0.0 } else { self.settings.remote_ms }
    }
}

/// Share of failed requests above which an upstream counts as failing: twice what services fail of
/// themselves.
const FAILS: f64 = 0.3;
/// Thousandths of a replica's places that being in another zone counts as: two of six taken.
const REMOTE_USED: u64 = 300;
/// The same for failing every request: full twice over.
const ERRORS_USED: f64 = 2_000.0;
/// Milliseconds of delay that failing every request counts as: more than any engine is worth.
const ERRORS_MS: f64 = 1_500.0;

/// Which engines a plan may use, the strictest first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Side {
    /// Those on the request's side of the division where no writer would be late by it.
    Unharmed,
    /// Those on its side.
    Own,
    /// All.
    Any,
}

/// A way to serve a request, by indices of engines.
#[derive(Clone, Debug)]
struct Plan {
    first: usize,
    /// The helpers, and tokens to reserve on each.
    helpers: Vec<(usize, u64)>,
    /// Milliseconds of reading on each engine.
    part_ms: f64,
    /// Milliseconds until its first token.
    expected: f64,
    /// What it earns less what it takes from others.
    net: f64,
}

/// What an answer that is late is worth, of one in time: owners of services value it at a quarter.
const LATE_VALUE: f64 = 0.25;
/// Multiple of the target after which nobody waits for a first token any more.
const TOO_LATE: f64 = 3.5;
/// Tokens of a prompt whose answer is worth one.
const UNIT_PROMPT: f64 = 5_000.0;
/// Growth of an answer's worth with its prompt: owners value prompts of 5,000, 45,000 and 133,000
/// tokens as 1, 3 and 11.5.
const VALUE_EXPONENT: f64 = 0.72;
/// Most that one answer is worth: four times that of a usual long prompt.
const MOST_VALUE: f64 = 36.0;

/// What an answer in time to a prompt of `tokens` is worth.
fn value(tokens: u64) -> f64 {
    (tokens as f64 / UNIT_PROMPT).powf(VALUE_EXPONENT).min(MOST_VALUE)
}

/// The placement that a plan stands for.
fn placed(
    demand: &Demand<'_>,
    usable: &[&Engine],
    pace: pass::Pace,
    plan: &Plan,
    reserve_share: f64,
) -> Placement {
    let helper = |(index, reserve): &(usize, u64)| Helper {
        entry: usable[*index].entry().clone(),
        reserve: *reserve,
    };
    let held: u64 = plan.helpers.iter().map(|(_, reserve)| reserve).sum();
    let need = (demand.prompt + demand.answer).saturating_sub(held);
    let large = need as f64 > pace.memory_tokens as f64 * reserve_share;
    Placement {
        first: usable[plan.first].entry().clone(),
        reserve: if large { need } else { 0 },
        helpers: plan.helpers.iter().map(helper).collect(),
        expected: clock::Span::try_from_secs_f64(plan.expected / 1e3).unwrap_or_default(),
    }
}

/// An order of equal choices that differs from draw to draw.
fn spread(draw: u64, engine: &Engine) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = collections::hash_map::DefaultHasher::new();
    (draw, engine.entry().upstream.as_str()).hash(&mut hasher);
    hasher.finish()
}

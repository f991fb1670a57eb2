//! Where a prompt goes: the engines that may be used, the ways to use them, and what each way earns
//! and takes from others.

use super::{Board, Demand, Engine, Helper, Placement, Refusal, Shortage, spread};
use crate::clock;
use crate::load::pass;

/// Milliseconds of delay that failing every request counts as: more than any engine is worth.
const ERRORS_MS: f64 = 1_500.0;

/// Which engines a plan for a prompt whose answer bears long pauses may use, the strictest first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Side {
    /// Those on the request's side of the division where no writer would be late by it.
    Unharmed,
    /// Those on its side.
    Own,
    /// All.
    Any,
}

/// The engines that may be used, of which the first are kept for answers that bear only short
/// pauses.
#[derive(Clone, Copy, Debug)]
struct Division<'a> {
    usable: &'a [&'a Engine],
    kept: usize,
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
    /// The engine that would have been next.
    next: Option<usize>,
}

/// When a request that cannot be placed now might be served.
#[derive(Clone, Copy, Debug)]
struct Outlook {
    /// What engines lack for it.
    shortage: Shortage,
    /// Milliseconds until they are expected to have it.
    free_ms: f64,
    /// Milliseconds until its first token at the earliest.
    first_ms: f64,
}

/// What an answer that is late is worth, of one in time.
const LATE_VALUE: f64 = 0.25;
/// Multiple of the target after which nobody waits for a first token any more.
const TOO_LATE: f64 = 3.5;
/// Tokens of a prompt whose answer is worth one.
const UNIT_PROMPT: f64 = 5_000.0;
/// Growth of an answer's worth with its prompt: less than in proportion, since a long prompt is one
/// caller's as a short one is.
const VALUE_EXPONENT: f64 = 0.72;
/// Most that one answer is worth, so that one giant prompt does not outweigh all others.
const MOST_VALUE: f64 = 36.0;

/// What an answer in time to a prompt of `tokens` is worth.
fn value(tokens: u64) -> f64 {
    (tokens as f64 / UNIT_PROMPT).powf(VALUE_EXPONENT).min(MOST_VALUE)
}

impl Board {
    /// How many engines, the first by name, are kept for answers that bear only short pauses.
    ///
    /// A long read in a pass delays every writer of its engine; spread evenly, long reads make all
    /// answers to short prompts late. Kept apart, both are in time. The mix swings tenfold within
    /// seconds, and the division with it: short prompts want places for their answers, long ones
    /// time to be read, and where both want more than there is each gets its share of it.
    ///
    /// What long prompts ask to read decides, not how many of their answers are written: those
    /// take a place and little time, and bear long pauses. By answers, engines would stand apart for
    /// one long answer each while short ones wait for places on the others.
    fn kept_for_tight(&self, usable: &[&Engine], now: clock::Moment) -> usize {
        let tight = self.tight_writers(usable);
        let places: u32 = usable.iter().map(|engine| engine.slots()).sum();
        let engines = usable.len() as f64;
        let each = f64::from(places) / engines.max(1.0) * self.settings.tight_share;
        let wanted = f64::from(tight) / each.max(f64::MIN_POSITIVE);
        let needed = self.reading.engines(now) / self.settings.read_share;
        let share = (engines / (wanted + needed).max(f64::MIN_POSITIVE)).min(1.0);
        ((wanted * share).ceil() as usize).clamp(1, usable.len())
    }

    /// Whether the answer bears only short pauses.
    fn is_tight(&self, demand: &Demand<'_>) -> bool {
        demand.gap <= self.settings.tight_gap
    }

    /// Answers under way that bear only short pauses.
    fn tight_writers(&self, usable: &[&Engine]) -> u32 {
        let gap_ms = self.settings.tight_gap.as_secs_f64() * 1e3;
        usable.iter().map(|engine| engine.tight_writers(gap_ms)).sum()
    }

    pub(super) fn place_prompt(
        &self,
        demand: &Demand<'_>,
        usable: &[&Engine],
        pace: pass::Pace,
        now: clock::Moment,
    ) -> Result<Placement, Refusal> {
        let division = Division { usable, kept: self.kept_for_tight(usable, now) };
        if self.is_tight(demand) {
            self.place_tight(demand, division, pace, now)
        } else {
            self.place_loose(demand, division, pace, now)
        }
    }

    /// A prompt whose answer bears only short pauses: on either side of the division, where a place
    /// is free.
    fn place_tight(
        &self,
        demand: &Demand<'_>,
        division: Division<'_>,
        pace: pass::Pace,
        now: clock::Moment,
    ) -> Result<Placement, Refusal> {
        let usable = division.usable;
        if usable.iter().all(|engine| !engine.has_place()) {
            return Err(self.without_place(demand, pace));
        }
        let all: Vec<usize> = (0..usable.len()).collect();
        let reading = (pace.read_ms(demand.prompt), self.settings.part_ms);
        match self.plan(demand, division, &all, reading, now) {
            Ok(plan) => Ok(placed(demand, usable, pace, &plan, self.settings.reserve_share, now)),
            Err(Refusal::Busy(_)) => Err(self.without_place(demand, pace)),
            Err(refusal) => Err(refusal),
        }
    }

    /// A prompt whose answer bears long pauses: the way that earns most less what it takes from
    /// others, if it earns anything.
    fn place_loose(
        &self,
        demand: &Demand<'_>,
        division: Division<'_>,
        pace: pass::Pace,
        now: clock::Moment,
    ) -> Result<Placement, Refusal> {
        let Division { usable, kept } = division;
        let total_ms = pace.read_ms(demand.prompt);
        let part_ms = self.settings.loose_part_ms;
        let wish = self.wish(total_ms, part_ms);
        self.check_backlog(demand, &usable[kept.min(usable.len() - 1)..], total_ms, wish, now)?;
        let mut best: Option<Plan> = None;
        let mut refusal = Refusal::NoUpstream;
        let free_ms = self.write_span(pace).as_secs_f64() * 1e3;
        let part_alone_ms = total_ms / wish as f64;
        for side in [Side::Unharmed, Side::Own, Side::Any] {
            let eligible = self.eligible(division, side, total_ms.min(part_ms));
            match self.plan(demand, division, &eligible, (total_ms, part_ms), now) {
                Ok(mut plan) => {
                    plan.net = self.net(demand, division, &plan, now);
                    if best.as_ref().is_none_or(|best| plan.net > best.net) {
                        best = Some(plan);
                    }
                }
                Err(error) => refusal = error,
            }
        }
        match best {
            Some(plan) if plan.net >= 0.0 => {
                Ok(placed(demand, usable, pace, &plan, self.settings.reserve_share, now))
            }
            Some(plan) => {
                let first_ms = plan.expected;
                Err(self.not_now(demand, Outlook { shortage: Shortage::Pause, free_ms, first_ms }))
            }
            None => match refusal {
                Refusal::Busy(shortage) => {
                    let first_ms = part_alone_ms;
                    Err(self.not_now(demand, Outlook { shortage, free_ms, first_ms }))
                }
                other => Err(other),
            },
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
            return Refusal::Busy(Shortage::Place);
        }
        Refusal::Full(Shortage::Place, self.write_span(pace))
    }

    /// How long a full engine writes a usual answer: places and memory change hands within it.
    fn write_span(&self, pace: pass::Pace) -> clock::Span {
        let context = u64::from(pace.slots) * pace.usual_prompt;
        let pass_ms = pace.pass_ms(pace.slots, context);
        pace.write_span(pace.usual_answer, pass_ms)
    }

    /// Whether a long prompt may add to what the engines of its side have to read.
    ///
    /// Load pattern: a burst of long prompts brings more reading than engines can do. Sent at
    /// once, they queue in the engines, where nobody passes them: every one of them is late, and
    /// when short prompts return they find seconds of reading before them. So what is read is
    /// bounded, and tighter for a larger prompt: smaller ones, which earn more for the time that
    /// they take, pass it at the hosts. The bound grows while it waits. Those engines count that
    /// would read it: among hundreds some are idle while others have much to read.
    fn check_backlog(
        &self,
        demand: &Demand<'_>,
        engines: &[&Engine],
        total_ms: f64,
        wish: usize,
        now: clock::Moment,
    ) -> Result<(), Refusal> {
        let mut reading: Vec<f64> = engines.iter().map(|engine| engine.reading_ms()).collect();
        reading.sort_by(f64::total_cmp);
        reading.truncate(wish.max(1));
        let backlog = reading.iter().sum::<f64>() / reading.len().max(1) as f64;
        let waited = demand.waited.as_secs_f64() * 1e3;
        let scaled = self.settings.backlog_ms * self.settings.backlog_prompt_ms / total_ms.max(1.0);
        let bound = scaled.clamp(self.settings.backlog_ms / 4.0, self.settings.backlog_ms)
            + waited * self.settings.backlog_growth;
        if backlog <= bound {
            return Ok(());
        }
        let drained_ms = (backlog - bound) / (1.0 + self.settings.backlog_growth);
        let planned = engines.len() as f64 * self.settings.read_share;
        let pace = self.reading.engines(now).max(planned).max(1.0);
        let free_ms = drained_ms + self.waiting.ahead_ms(demand.turn, total_ms) / pace;
        let first_ms = free_ms + bound + total_ms / wish as f64;
        Err(self.not_now(demand, Outlook { shortage: Shortage::Reading, free_ms, first_ms }))
    }

    /// The engines that a plan for a prompt whose answer bears long pauses may use.
    fn eligible(&self, division: Division<'_>, side: Side, part_ms: f64) -> Vec<usize> {
        let Division { usable, kept } = division;
        let unharmed = |index: &usize| usable[*index].harmed(part_ms) == 0;
        match side {
            Side::Unharmed => (kept..usable.len()).filter(unharmed).collect(),
            Side::Own => (kept..usable.len()).collect(),
            Side::Any => (0..usable.len()).collect(),
        }
    }

    /// Engines among which a prompt is divided that takes `total_ms`, in parts of `part_ms`.
    fn wish(&self, total_ms: f64, part_ms: f64) -> usize {
        ((total_ms / part_ms).ceil() as usize).clamp(1, self.settings.helpers + 1)
    }

    /// The best way to serve `demand` with the engines `eligible`.
    fn plan(
        &self,
        demand: &Demand<'_>,
        division: Division<'_>,
        eligible: &[usize],
        (total_ms, part_ms): (f64, f64),
        now: clock::Moment,
    ) -> Result<Plan, Refusal> {
        let Division { usable, kept } = division;
        let tight = self.is_tight(demand);
        if eligible.is_empty() {
            return Err(Refusal::NoUpstream);
        }
        let wish = self.wish(total_ms, part_ms).min(eligible.len());
        let part_ms = total_ms / wish as f64;
        let open: Vec<usize> =
            eligible.iter().copied().filter(|index| usable[*index].has_place()).collect();
        let open = if open.is_empty() { eligible } else { &open };
        let stray =
            |index: usize| if tight && index >= kept { self.settings.stray_ms } else { 0.0 };
        let firsts = self.rank(demand, usable, open, |index| {
            let engine = usable[index];
            let errors = engine.errors(now) * ERRORS_MS;
            let opens = !tight && engine.places() == 0;
            let reader = if opens { self.settings.reader_ms } else { 0.0 };
            let place = engine.crowd_ms() + self.far(demand, engine) + stray(index) + reader;
            self.cost(engine, part_ms) + place + errors
        });
        let need = demand.prompt + demand.answer;
        let share = self.settings.memory_share;
        // The first engine writes: it needs the memory, or helpers that hold a part of it.
        let fits = firsts.iter().find(|index| usable[**index].room(share) >= need);
        let ever_fits = usable.iter().any(|engine| engine.memory(share) >= need);
        if fits.is_none() && tight && ever_fits {
            // An engine of which all places are taken may have the room; it would be late there.
            return Err(Refusal::Busy(Shortage::Memory));
        }
        let (first, mut helpers) = match fits {
            Some(index) => (*index, Vec::new()),
            None => {
                let first = self.roomiest(usable, eligible);
                (first, self.holders(usable, &self.in_reach(usable, eligible, first, now), need)?)
            }
        };
        let eligible = &self.in_reach(usable, eligible, first, now);
        for index in self.rank(demand, usable, eligible, |index| {
            let engine = usable[index];
            self.helper_cost(engine, part_ms) + engine.errors(now) * ERRORS_MS + stray(index)
        }) {
            if helpers.len() + 1 >= wish {
                break;
            }
            if index != first && helpers.iter().all(|(other, _)| *other != index) {
                helpers.push((index, 0));
            }
        }
        let part_ms = total_ms / (helpers.len() + 1) as f64;
        let waits = helpers.iter().map(|(index, _)| usable[*index].helper_wait_ms());
        let wait = waits.fold(usable[first].wait_ms(), f64::max);
        let expected = wait + part_ms + usable[first].pass_ms();
        let next = firsts.iter().copied().find(|index| *index != first);
        Ok(Plan { first, helpers, part_ms, expected, net: 0.0, next })
    }

    /// What a plan earns less what it takes from the requests under way and from short prompts that
    /// will come, in answers in time to a usual short prompt.
    fn net(
        &self,
        demand: &Demand<'_>,
        Division { usable, kept }: Division<'_>,
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
        let tight = self.tight_writers(usable);
        let touched = parts().filter(|index| *index < kept).count() as f64 / kept.max(1) as f64;
        let stall = (plan.part_ms - self.settings.stall_ms).max(0.0) / 1e3;
        let arrivals = f64::from(tight) / self.settings.tight_life.as_secs_f64() * touched * stall;
        let served = 1.0 - usable[plan.first].errors(now);
        value(demand.prompt) * in_time * served - (writers + arrivals) * (1.0 - LATE_VALUE)
    }

    /// What becomes of a long prompt for which engines lack something.
    ///
    /// Load pattern: long prompts come faster than engines read them, or one of several engines'
    /// memory among a burst of short ones. Held until its patience ends, a prompt is refused seconds
    /// after it could no longer be in time. So it waits only while it can be, and is refused as soon
    /// as what waits before it or the time left shows that it cannot, with the time after which
    /// engines are expected to have what they lack.
    fn not_now(&self, demand: &Demand<'_>, outlook: Outlook) -> Refusal {
        let in_time = outlook.first_ms <= demand.target.as_secs_f64() * 1e3;
        if in_time && demand.waited < self.settings.patience {
            return Refusal::Busy(outlook.shortage);
        }
        let free = clock::Span::try_from_secs_f64(outlook.free_ms / 1e3).unwrap_or_default();
        Refusal::Full(outlook.shortage, free.max(self.settings.full_span))
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
        Cost: Fn(usize) -> f64,
    {
        let keyed = eligible.iter().map(|index| {
            let jitter = spread(demand.draw, usable[*index]) % 1_000;
            (cost(*index) + jitter as f64 / 1e3 * self.settings.jitter_ms, *index)
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
        if left > 0 { Err(Refusal::Busy(Shortage::Memory)) } else { Ok(holders) }
    }

    /// What reading a part on `engine` costs, in milliseconds of delay: the wait of the part, and
    /// the writers that it makes late.
    fn cost(&self, engine: &Engine, part_ms: f64) -> f64 {
        engine.wait_ms() + self.harm(engine, part_ms)
    }

    /// The same for a part of a prompt that another engine answers: it passes the engine's own
    /// prompts, and each of those is later by it.
    ///
    /// Load pattern: prompts that are each read by many engines, so that most engines both answer one
    /// and help with others. Read behind a row of helped parts, the answering engine's own part is
    /// the last of its prompt, and all others have waited for it.
    fn helper_cost(&self, engine: &Engine, part_ms: f64) -> f64 {
        let harm = self.harm(engine, part_ms);
        engine.helper_wait_ms() + harm + engine.unread() as f64 * part_ms
    }

    /// What the writers that a read makes late count as, in milliseconds of delay.
    fn harm(&self, engine: &Engine, part_ms: f64) -> f64 {
        f64::from(engine.harmed(part_ms)) * self.settings.harm_ms
    }

    fn far(&self, demand: &Demand<'_>, engine: &Engine) -> f64 {
        if engine.entry().zone == *demand.zone { 0.0 } else { self.settings.remote_ms }
    }
}

/// The placement that a plan stands for.
fn placed(
    demand: &Demand<'_>,
    usable: &[&Engine],
    pace: pass::Pace,
    plan: &Plan,
    reserve_share: f64,
    now: clock::Moment,
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
        belief: usable[plan.first].belief(now),
        next: plan.next.map(|index| usable[index].belief(now)),
    }
}

//! Placement of prompts: enumerates the engines that may be used and the candidate plans, and
//! weighs the value of each plan against the harm that it does to other requests.

use super::{Engine, Helper, Placement, Placer, Refusal, Request, Shortage, spread};
use crate::clock;
use crate::load::profile;

/// Penalty in milliseconds for a failure rate of one: more than any engine can gain elsewhere.
const ERRORS_MS: f64 = 1_500.0;

/// Which engines a plan for a prompt with a loose gap limit may use, the most restrictive first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Side {
    /// Engines on the request's side of the division whose answers in decode would all stay in
    /// time.
    Unharmed,
    /// All engines on the request's side of the division.
    Own,
    /// All engines.
    Any,
}

/// The usable engines, of which the first `kept` are reserved for answers with a tight gap limit.
#[derive(Clone, Copy, Debug)]
struct Division<'a> {
    usable: &'a [&'a Engine],
    kept: usize,
}

/// A way to serve a request; engines are given by their indices.
#[derive(Clone, Debug)]
struct Plan {
    first: usize,
    /// The helpers, each with the tokens to reserve on it.
    helpers: Vec<(usize, u64)>,
    /// Prefill time on each engine in milliseconds.
    part_ms: f64,
    /// Milliseconds until the first token.
    expected: f64,
    /// Value of the answer less the harm done to other requests.
    net: f64,
    /// The second-best primary, for the log.
    next: Option<usize>,
}

/// When a request that cannot be placed now might be served.
#[derive(Clone, Copy, Debug)]
struct Outlook {
    /// The resource that engines lack for it.
    shortage: Shortage,
    /// Milliseconds until that resource is expected to be free.
    free_ms: f64,
    /// Milliseconds until the first token at the earliest.
    first_ms: f64,
}

/// Value of a late answer relative to one in time.
const LATE_VALUE: f64 = 0.25;
/// Multiple of the target after which the caller is assumed to have given up.
const TOO_LATE: f64 = 3.5;
/// Prompt length in tokens at which an answer has the value 1.
const UNIT_PROMPT: f64 = 5_000.0;
/// Exponent by which an answer's value grows with its prompt: less than proportionally, because a
/// long prompt serves one caller just as a short one does.
const VALUE_EXPONENT: f64 = 0.72;
/// Upper limit of the value of one answer, so that one giant prompt does not outweigh all others.
const MOST_VALUE: f64 = 36.0;

/// Value of an answer in time to a prompt of `tokens`.
fn value(tokens: u64) -> f64 {
    (tokens as f64 / UNIT_PROMPT).powf(VALUE_EXPONENT).min(MOST_VALUE)
}

impl Placer {
    /// Number of engines, the first by name, that are reserved for answers with a tight gap limit.
    ///
    /// A long prefill in a pass delays every answer that its engine is decoding; if long prompts
    /// were spread evenly, all answers to short prompts would be late. With separate engines both
    /// kinds are in time. The mix changes tenfold within seconds and the division follows it: short
    /// prompts need slots, long ones need prefill time, and if there is not enough for both, each
    /// kind gets a proportional share.
    ///
    /// The division depends on the prefill demand of long prompts, not on the number of their
    /// answers in decode: such an answer occupies a slot but needs little time and has a loose gap
    /// limit. If answers were counted, engines would be set aside for a single long answer each
    /// while short prompts wait for slots on the others.
    fn kept_for_tight(&self, usable: &[&Engine], now: clock::Moment) -> usize {
        let tight = self.tight_writers(usable);
        let places: u32 = usable.iter().map(|engine| engine.slots()).sum();
        let engines = usable.len() as f64;
        let each = f64::from(places) / engines.max(1.0) * self.settings.tight_share;
        let wanted = f64::from(tight) / each.max(f64::MIN_POSITIVE);
        let needed = self.prefill_load.engines(now) / self.settings.read_share;
        let share = (engines / (wanted + needed).max(f64::MIN_POSITIVE)).min(1.0);
        ((wanted * share).ceil() as usize).clamp(1, usable.len())
    }

    /// Whether the answer has a tight gap limit.
    fn is_tight(&self, request: &Request<'_>) -> bool {
        request.max_gap <= self.settings.tight_gap
    }

    /// Number of in-flight answers with a tight gap limit.
    fn tight_writers(&self, usable: &[&Engine]) -> u32 {
        let gap_ms = self.settings.tight_gap.as_secs_f64() * 1e3;
        usable.iter().map(|engine| engine.tight_writers(gap_ms)).sum()
    }

    pub(super) fn place_prompt(
        &self,
        request: &Request<'_>,
        usable: &[&Engine],
        profile: profile::Profile,
        now: clock::Moment,
    ) -> Result<Placement, Refusal> {
        let division = Division { usable, kept: self.kept_for_tight(usable, now) };
        if self.is_tight(request) {
            self.place_tight(request, division, profile, now)
        } else {
            self.place_loose(request, division, profile, now)
        }
    }

    /// Places a prompt with a tight gap limit on either side of the division, wherever a slot is
    /// free.
    fn place_tight(
        &self,
        request: &Request<'_>,
        division: Division<'_>,
        profile: profile::Profile,
        now: clock::Moment,
    ) -> Result<Placement, Refusal> {
        let usable = division.usable;
        if usable.iter().all(|engine| !engine.has_place()) {
            return Err(self.without_place(request, profile));
        }
        let all: Vec<usize> = (0..usable.len()).collect();
        let reading = (profile.prefill_ms(request.prompt_tokens), self.settings.part_ms);
        match self.plan(request, division, &all, reading, now) {
            Ok(plan) => {
                Ok(placed(request, usable, profile, &plan, self.settings.reserve_threshold, now))
            }
            Err(Refusal::Busy(_)) => Err(self.without_place(request, profile)),
            Err(refusal) => Err(refusal),
        }
    }

    /// Places a prompt with a loose gap limit by the plan with the highest net value, if that value
    /// isn't negative.
    fn place_loose(
        &self,
        request: &Request<'_>,
        division: Division<'_>,
        profile: profile::Profile,
        now: clock::Moment,
    ) -> Result<Placement, Refusal> {
        let Division { usable, kept } = division;
        let total_ms = profile.prefill_ms(request.prompt_tokens);
        let part_ms = self.settings.loose_part_ms;
        let wish = self.wish(total_ms, part_ms);
        self.check_backlog(request, &usable[kept.min(usable.len() - 1)..], total_ms, wish, now)?;
        let mut best: Option<Plan> = None;
        let mut refusal = Refusal::NoUpstream;
        let free_ms = self.decode_span(profile).as_secs_f64() * 1e3;
        let part_alone_ms = total_ms / wish as f64;
        for side in [Side::Unharmed, Side::Own, Side::Any] {
            let eligible = self.eligible(division, side, total_ms.min(part_ms));
            match self.plan(request, division, &eligible, (total_ms, part_ms), now) {
                Ok(mut plan) => {
                    plan.net = self.net(request, division, &plan, now);
                    if best.as_ref().is_none_or(|best| plan.net > best.net) {
                        best = Some(plan);
                    }
                }
                Err(error) => refusal = error,
            }
        }
        match best {
            Some(plan) if plan.net >= 0.0 => {
                Ok(placed(request, usable, profile, &plan, self.settings.reserve_threshold, now))
            }
            Some(plan) => {
                let first_ms = plan.expected;
                Err(self.not_now(request, Outlook { shortage: Shortage::Gap, free_ms, first_ms }))
            }
            None => match refusal {
                Refusal::Busy(shortage) => {
                    let first_ms = part_alone_ms;
                    Err(self.not_now(request, Outlook { shortage, free_ms, first_ms }))
                }
                other => Err(other),
            },
        }
    }

    /// The refusal of a prompt with a tight gap limit when every slot of every engine is taken.
    ///
    /// Load pattern: short prompts arrive faster than engines finish their answers. If they queued
    /// in the engines, each would wait behind all earlier ones, and soon every answer would be late
    /// although the engines work at full capacity. A prompt therefore waits at this host for a slot
    /// as long as it can still be in time, and is then refused, so that accepted prompts are in
    /// time. Within the duration of an average answer every slot becomes free once.
    fn without_place(&self, request: &Request<'_>, profile: profile::Profile) -> Refusal {
        if request.waited < request.target.mul_f64(self.settings.hold_share) {
            return Refusal::Busy(Shortage::Slot);
        }
        Refusal::Full(Shortage::Slot, self.decode_span(profile))
    }

    /// How long a full engine takes for an average answer; slots and memory become free within it.
    fn decode_span(&self, profile: profile::Profile) -> clock::Span {
        let context = u64::from(profile.slots) * profile.mean_prompt;
        let pass_ms = profile.pass_ms(profile.slots, context);
        profile.decode_span(profile.mean_answer, pass_ms)
    }

    /// Checks whether a prompt with a loose gap limit may add to the prefill backlog of the engines
    /// on its side.
    ///
    /// Load pattern: a burst of long prompts brings more prefill than the engines can do. If all
    /// were dispatched at once, they would queue in the engines, where they cannot be reordered:
    /// every one of them would be late, and short prompts that arrive later would find seconds of
    /// prefill ahead of them. The backlog is therefore bounded, with a lower bound for a larger
    /// prompt, so that smaller ones, which have more value for the time they take, overtake it at
    /// the hosts. The bound grows while the prompt waits. Only the engines that would prefill the
    /// prompt count, because in a fleet of hundreds some are idle while others have a long backlog.
    fn check_backlog(
        &self,
        request: &Request<'_>,
        engines: &[&Engine],
        total_ms: f64,
        wish: usize,
        now: clock::Moment,
    ) -> Result<(), Refusal> {
        let mut reading: Vec<f64> = engines.iter().map(|engine| engine.reading_ms()).collect();
        reading.sort_by(f64::total_cmp);
        reading.truncate(wish.max(1));
        let backlog = reading.iter().sum::<f64>() / reading.len().max(1) as f64;
        let waited = request.waited.as_secs_f64() * 1e3;
        let scaled = self.settings.backlog_ms * self.settings.backlog_prompt_ms / total_ms.max(1.0);
        let bound = scaled.clamp(self.settings.backlog_ms / 4.0, self.settings.backlog_ms)
            + waited * self.settings.backlog_growth;
        if backlog <= bound {
            return Ok(());
        }
        let drained_ms = (backlog - bound) / (1.0 + self.settings.backlog_growth);
        let planned = engines.len() as f64 * self.settings.read_share;
        let prefilling = self.prefill_load.engines(now).max(planned).max(1.0);
        let free_ms = drained_ms + self.waitlist.ahead_ms(request.waiter, total_ms) / prefilling;
        let first_ms = free_ms + bound + total_ms / wish as f64;
        Err(self.not_now(request, Outlook { shortage: Shortage::Prefill, free_ms, first_ms }))
    }

    /// Indices of the engines that a plan for a prompt with a loose gap limit may use.
    fn eligible(&self, division: Division<'_>, side: Side, part_ms: f64) -> Vec<usize> {
        let Division { usable, kept } = division;
        let unharmed = |index: &usize| usable[*index].harmed(part_ms) == 0;
        match side {
            Side::Unharmed => (kept..usable.len()).filter(unharmed).collect(),
            Side::Own => (kept..usable.len()).collect(),
            Side::Any => (0..usable.len()).collect(),
        }
    }

    /// Number of engines that should share a prefill of `total_ms` in parts of `part_ms`.
    fn wish(&self, total_ms: f64, part_ms: f64) -> usize {
        ((total_ms / part_ms).ceil() as usize).clamp(1, self.settings.max_helpers + 1)
    }

    /// The best plan for `request` that uses only the engines `eligible`.
    fn plan(
        &self,
        request: &Request<'_>,
        division: Division<'_>,
        eligible: &[usize],
        (total_ms, part_ms): (f64, f64),
        now: clock::Moment,
    ) -> Result<Plan, Refusal> {
        let Division { usable, kept } = division;
        let tight = self.is_tight(request);
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
        let firsts = self.rank(request, usable, open, |index| {
            let engine = usable[index];
            let errors = engine.errors(now) * ERRORS_MS;
            let opens = !tight && engine.places() == 0;
            let reader = if opens { self.settings.reader_ms } else { 0.0 };
            let place = engine.crowd_ms() + self.far(request, engine) + stray(index) + reader;
            self.cost(engine, part_ms) + place + errors
        });
        let need = request.prompt_tokens + request.answer_tokens;
        let share = self.settings.memory_share;
        // The primary decodes the answer, so it needs the memory, or helpers that hold the excess.
        let fits = firsts.iter().find(|index| usable[**index].room(share) >= need);
        let ever_fits = usable.iter().any(|engine| engine.memory(share) >= need);
        if fits.is_none() && tight && ever_fits {
            // An engine without a free slot may have the memory, but the answer would be late
            // there.
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
        for index in self.rank(request, usable, eligible, |index| {
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

    /// Value of a plan less the harm that it does to in-flight requests and to short prompts that
    /// are about to arrive, in units of an answer in time to a prompt of [`UNIT_PROMPT`] tokens.
    fn net(
        &self,
        request: &Request<'_>,
        Division { usable, kept }: Division<'_>,
        plan: &Plan,
        now: clock::Moment,
    ) -> f64 {
        let target = request.target.as_secs_f64() * 1e3;
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
        let arrivals =
            f64::from(tight) / self.settings.tight_answer_span.as_secs_f64() * touched * stall;
        let served = 1.0 - usable[plan.first].errors(now);
        value(request.prompt_tokens) * in_time * served - (writers + arrivals) * (1.0 - LATE_VALUE)
    }

    /// The refusal of a prompt for which engines lack a resource.
    ///
    /// Load pattern: long prompts arrive faster than engines prefill them, or one needs the memory
    /// of several engines during a burst of short ones. If it were held until the maximum wait, it
    /// would be refused seconds after it could no longer be in time. It therefore waits only while
    /// it can be in time, and is refused as soon as the prompts ahead of it or the remaining time
    /// show that it cannot, with the time after which the missing resource is expected to be free.
    fn not_now(&self, request: &Request<'_>, outlook: Outlook) -> Refusal {
        let in_time = outlook.first_ms <= request.target.as_secs_f64() * 1e3;
        if in_time && request.waited < self.settings.max_wait {
            return Refusal::Busy(outlook.shortage);
        }
        let free = clock::Span::try_from_secs_f64(outlook.free_ms / 1e3).unwrap_or_default();
        Refusal::Full(outlook.shortage, free.max(self.settings.full_span))
    }

    /// The indices `eligible` ordered by cost, with a random jitter that hides small differences.
    /// Hosts that have not yet heard of each other's decisions would otherwise all choose the same
    /// engine, and several prompts would be prefilled in one pass.
    fn rank<Cost>(
        &self,
        request: &Request<'_>,
        usable: &[&Engine],
        eligible: &[usize],
        cost: Cost,
    ) -> Vec<usize>
    where
        Cost: Fn(usize) -> f64,
    {
        let keyed = eligible.iter().map(|index| {
            let jitter = spread(request.random, usable[*index]) % 1_000;
            (cost(*index) + jitter as f64 / 1e3 * self.settings.jitter_ms, *index)
        });
        let mut keyed: Vec<(f64, usize)> = keyed.collect();
        keyed.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        keyed.into_iter().map(|(_, index)| index).collect()
    }

    /// The engines of `eligible` that the engine `first` can reach, with `first` itself at the
    /// front.
    fn in_reach(
        &self,
        usable: &[&Engine],
        eligible: &[usize],
        first: usize,
        now: clock::Moment,
    ) -> Vec<usize> {
        let from = &usable[first].entry().zone;
        let others = eligible.iter().copied().filter(|index| {
            *index != first
                && !self.partitions.is_partitioned(from, &usable[*index].entry().zone, now)
        });
        std::iter::once(first).chain(others).collect()
    }

    fn roomiest(&self, usable: &[&Engine], eligible: &[usize]) -> usize {
        let share = self.settings.memory_share;
        let most = eligible.iter().copied().max_by_key(|index| usable[*index].room(share));
        most.unwrap_or(0)
    }

    /// Chooses as few engines as possible to hold the memory that a prompt needs beyond that of the
    /// first of `eligible`, each with the tokens to reserve on it.
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
        for index in by_room.into_iter().take(self.settings.max_helpers) {
            let part = left.min(room(&index));
            if part == 0 {
                break;
            }
            holders.push((index, part));
            left -= part;
        }
        if left > 0 { Err(Refusal::Busy(Shortage::Memory)) } else { Ok(holders) }
    }

    /// Cost of prefilling a part on `engine`, in milliseconds of delay: the wait until the part
    /// starts, and the answers that it makes late.
    fn cost(&self, engine: &Engine, part_ms: f64) -> f64 {
        engine.wait_ms() + self.harm(engine, part_ms)
    }

    /// Cost of prefilling a part for another engine: it goes ahead of the engine's own prompts and
    /// delays each of those by its length.
    ///
    /// Load pattern: prompts that are each prefilled by many engines, so that most engines both
    /// answer one prompt and help with others. If an answering engine has many helper parts ahead
    /// of its own part, its own part is the last of its prompt to finish, and all the other engines
    /// have waited for it.
    fn helper_cost(&self, engine: &Engine, part_ms: f64) -> f64 {
        let harm = self.harm(engine, part_ms);
        engine.helper_wait_ms() + harm + engine.unread() as f64 * part_ms
    }

    /// Cost in milliseconds of delay of the answers that a prefill on `engine` would make late.
    fn harm(&self, engine: &Engine, part_ms: f64) -> f64 {
        f64::from(engine.harmed(part_ms)) * self.settings.harm_ms
    }

    fn far(&self, request: &Request<'_>, engine: &Engine) -> f64 {
        if engine.entry().zone == *request.zone { 0.0 } else { self.settings.remote_penalty_ms }
    }
}

/// Converts a plan into a placement.
fn placed(
    request: &Request<'_>,
    usable: &[&Engine],
    profile: profile::Profile,
    plan: &Plan,
    reserve_threshold: f64,
    now: clock::Moment,
) -> Placement {
    let helper = |(index, reserve): &(usize, u64)| Helper {
        entry: usable[*index].entry().clone(),
        reserve: *reserve,
    };
    let held: u64 = plan.helpers.iter().map(|(_, reserve)| reserve).sum();
    let need = (request.prompt_tokens + request.answer_tokens).saturating_sub(held);
    let large = need as f64 > profile.memory_tokens as f64 * reserve_threshold;
    Placement {
        primary: usable[plan.first].entry().clone(),
        reserve: if large { need } else { 0 },
        helpers: plan.helpers.iter().map(helper).collect(),
        expected: clock::Span::try_from_secs_f64(plan.expected / 1e3).unwrap_or_default(),
        estimate: usable[plan.first].estimate(now),
        runner_up: plan.next.map(|index| usable[index].estimate(now)),
    }
}

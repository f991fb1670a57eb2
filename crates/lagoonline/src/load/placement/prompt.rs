//! Placement of prompts: enumerates the engines that may be used and the candidate plans, and
//! weighs the value of each plan against the harm that it does to other requests.

use super::waitlist::Turn;
use super::{
    Claim, Helper, Placement, Placer, Queued, Refusal, Request, Shortage, UpstreamState, tie_break,
};
use crate::clock;
use crate::load::profile;

/// Penalty in milliseconds for a failure rate of one: larger than any other difference in cost
/// between engines.
const FAILURE_PENALTY_MS: f64 = 1_500.0;

/// Which engines a plan for a prompt with a loose gap limit may use, the most restrictive first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scope {
    /// Engines that are not dedicated to tight gap limits and whose answers in decode would all
    /// stay in time.
    Harmless,
    /// All engines that are not dedicated to tight gap limits.
    Loose,
    /// All engines.
    All,
}

/// The usable engines. The first `dedicated` are dedicated to answers with a tight gap limit; the
/// rest is for those with a loose one.
#[derive(Clone, Copy, Debug)]
struct Division<'a> {
    usable: &'a [&'a UpstreamState],
    dedicated: usize,
    /// Prefill time in milliseconds that each engine's cached prefix saves; empty if none does.
    savings_ms: &'a [f64],
}

impl Division<'_> {
    fn saving_ms(&self, index: usize) -> f64 {
        self.savings_ms.get(index).copied().unwrap_or(0.0)
    }
}

/// A way to serve a request; engines are given by their indices.
#[derive(Clone, Debug)]
struct Plan {
    primary: usize,
    /// The helpers, each with the tokens to reserve on it.
    helpers: Vec<(usize, u64)>,
    /// Prefill time on each engine in milliseconds.
    part_ms: f64,
    /// Milliseconds until the first token.
    first_token_ms: f64,
    /// Value of the answer less the harm done to other requests.
    net_value: f64,
    /// The second-best primary, for the log.
    runner_up: Option<usize>,
}

/// When a request that cannot be placed now might be served.
#[derive(Clone, Copy, Debug)]
struct Outlook {
    /// The resource that engines lack for it.
    shortage: Shortage,
    /// Milliseconds until that resource is expected to be free.
    free_ms: f64,
    /// Milliseconds until the first token at the earliest.
    first_token_ms: f64,
}

/// Largest share of an engine's time that parts of later prompts are expected to take. With more, a
/// queue of a few milliseconds would outweigh all other costs.
const MAX_OVERTAKING_SHARE: f64 = 0.8;
/// Value of a late answer relative to one in time.
const LATE_VALUE: f64 = 0.25;
/// Multiple of the target after which the caller is assumed to have given up.
const ABANDON_FACTOR: f64 = 3.5;
/// Prompt length in tokens at which an answer has the value 1.
const UNIT_PROMPT: f64 = 5_000.0;
/// Exponent by which an answer's value grows with its prompt: less than proportionally, because a
/// long prompt serves one caller just as a short one does.
const VALUE_EXPONENT: f64 = 0.72;
/// Upper limit of the value of one answer, so that one giant prompt does not outweigh all others.
const MAX_VALUE: f64 = 36.0;

/// Share of the slots that become free that are promised to callers who come back. With all of
/// them, no prompt would be served at its first attempt any more.
const RETURNING_SHARE: f64 = 0.5;
/// Slots per second that become free at least, so that a time can be named.
const MIN_RATE: f64 = 0.1;
/// How long a prompt waits for its host to send its identity: three attempts.
const IDENTITY_WAIT: clock::Span = clock::Span::from_millis(100);
/// Standard deviations by which the number of slots that become free may exceed its mean.
const DEVIATIONS: f64 = 2.0;

/// The slots of the engines that a prompt may use.
#[derive(Clone, Copy, Debug, Default)]
struct Slots {
    all: u32,
    free: usize,
}

impl Slots {
    fn of<'a, Engines>(engines: Engines) -> Slots
    where
        Engines: Iterator<Item = &'a UpstreamState>,
    {
        engines.fold(Slots::default(), |sum, engine| Slots {
            all: sum.all + engine.slots(),
            free: sum.free + (engine.slots() as usize).saturating_sub(engine.used_slots()),
        })
    }

    /// Slots that become free per second if an answer takes `span`.
    fn per_second(self, span: clock::Span) -> f64 {
        f64::from(self.all) / span.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

/// Number that independent events, of which `mean` are expected, hardly ever exceed.
fn most_arrivals(mean: f64) -> f64 {
    mean + DEVIATIONS * mean.sqrt() + 1.0
}

/// Weight of making a more urgent answer late: one of value 0.5 outweighs any plan.
const URGENT_HARM: f64 = 2.0 * MAX_VALUE / (1.0 - LATE_VALUE);

/// Value of an answer in time to a prompt of `tokens`.
fn value(tokens: u64) -> f64 {
    (tokens as f64 / UNIT_PROMPT).powf(VALUE_EXPONENT).min(MAX_VALUE)
}

/// Weight of making an answer of the priority `harmed` late by a plan for the priority `urgency`. A
/// less urgent plan must not pay for it with its own value.
fn harm_weight(urgency: u32, harmed: u32) -> f64 {
    if harmed < urgency { URGENT_HARM } else { 1.0 }
}

impl Placer {
    /// Number of engines at the front of `usable` that are dedicated to answers with a tight gap
    /// limit. The order is that of [`Placer::usable`].
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
    fn dedicated_engines(&self, usable: &[&UpstreamState], now: clock::Moment) -> usize {
        let tight = self.tight_requests(usable);
        let slots: u32 = usable.iter().map(|engine| engine.slots()).sum();
        let engines = usable.len() as f64;
        let tight_per_engine = f64::from(slots) / engines.max(1.0) * self.settings.tight_share;
        let tight_engines = f64::from(tight) / tight_per_engine.max(f64::MIN_POSITIVE);
        let loose_engines = self.prefill_load.engines(now) / self.settings.prefill_share;
        let share = (engines / (tight_engines + loose_engines).max(f64::MIN_POSITIVE)).min(1.0);
        ((tight_engines * share).ceil() as usize).clamp(1, usable.len())
    }

    /// Whether the answer has a tight gap limit.
    fn is_tight(&self, request: &Request<'_>) -> bool {
        request.max_gap <= self.settings.tight_gap
    }

    /// Number of in-flight answers with a tight gap limit.
    fn tight_requests(&self, usable: &[&UpstreamState]) -> u32 {
        let max_gap_ms = self.settings.tight_gap.as_secs_f64() * 1e3;
        usable.iter().map(|engine| engine.tight_requests(max_gap_ms)).sum()
    }

    pub(super) fn place_prompt(
        &self,
        request: &Request<'_>,
        usable: &[&UpstreamState],
        profile: profile::Profile,
        queued: Queued,
        now: clock::Moment,
    ) -> Result<Placement, Refusal> {
        let savings_ms = &self.savings_ms(request, usable, profile, now);
        let dedicated = self.dedicated_engines(usable, now);
        let division = Division { usable, dedicated, savings_ms };
        if self.is_tight(request) {
            self.place_tight(request, division, profile, queued, now)
        } else {
            self.place_loose(request, division, profile, queued, now)
        }
    }

    /// Places a prompt with a tight gap limit wherever a slot is free, preferably on a dedicated
    /// engine.
    fn place_tight(
        &self,
        request: &Request<'_>,
        division: Division<'_>,
        profile: profile::Profile,
        queued: Queued,
        now: clock::Moment,
    ) -> Result<Placement, Refusal> {
        let usable = division.usable;
        let total_ms = profile.prefill_ms(request.prompt_tokens);
        let may_share = Self::may_share(usable, total_ms > self.settings.part_ms);
        let may_use = |index: &usize| usable[*index].is_open() && may_share(usable[*index]);
        let all: Vec<usize> = (0..usable.len()).filter(may_use).collect();
        let slots = Slots::of(all.iter().map(|index| usable[*index]));
        if slots.free <= queued.turn.unwrap_or_default().ahead {
            return Err(self.refuse_without_slot(request, profile, queued, slots, now));
        }
        match self.plan(request, division, &all, (total_ms, self.settings.part_ms), now) {
            Ok(plan) => Ok(self.to_placement(request, usable, profile, &plan, now)),
            Err(Refusal::Deferred(_)) => {
                Err(self.refuse_without_slot(request, profile, queued, slots, now))
            }
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
        queued: Queued,
        now: clock::Moment,
    ) -> Result<Placement, Refusal> {
        let Division { usable, dedicated, .. } = division;
        let total_ms = profile.prefill_ms(request.prompt_tokens);
        let part_ms = self.settings.loose_part_ms;
        let part_count = self.part_count(total_ms, part_ms);
        self.check_backlog(
            request,
            &usable[dedicated.min(usable.len() - 1)..],
            part_count,
            queued,
            now,
        )?;
        self.check_memory(request, division, queued, profile)?;
        let mut best: Option<Plan> = None;
        let mut refusal = Refusal::NoUpstream;
        let free_ms = self.mean_answer_span(profile).as_secs_f64() * 1e3;
        let part_alone_ms = total_ms / part_count as f64;
        for scope in [Scope::Harmless, Scope::Loose, Scope::All] {
            let eligible = self.eligible(division, scope, (total_ms, part_ms));
            match self.plan(request, division, &eligible, (total_ms, part_ms), now) {
                Ok(mut plan) => {
                    plan.net_value = self.net_value(request, division, &plan, now);
                    if best.as_ref().is_none_or(|best| plan.net_value > best.net_value) {
                        best = Some(plan);
                    }
                }
                Err(error) => refusal = error,
            }
        }
        match best {
            Some(plan) if plan.net_value >= 0.0 => {
                Ok(self.to_placement(request, usable, profile, &plan, now))
            }
            Some(plan) => {
                let first_token_ms = plan.first_token_ms;
                Err(self
                    .refuse(request, Outlook { shortage: Shortage::Gap, free_ms, first_token_ms }))
            }
            None => match refusal {
                Refusal::Deferred(shortage) => {
                    let first_token_ms = part_alone_ms;
                    Err(self.refuse(request, Outlook { shortage, free_ms, first_token_ms }))
                }
                other => Err(other),
            },
        }
    }

    /// The refusal of a prompt with a tight gap limit when no slot is free, no engine with a free
    /// slot has the memory, or the free slots go to others first.
    ///
    /// Load pattern: short prompts arrive faster than engines finish their answers. If they queued
    /// in the engines, each would wait behind all earlier ones, and soon every answer would be late
    /// although the engines work at full capacity. A prompt therefore waits at this host for a slot
    /// as long as it can still be in time, and is then refused, so that accepted prompts are in
    /// time. Within the duration of an average answer every slot becomes free once.
    ///
    /// If others of another urgency or customer wait too, it is refused at once when it is certain
    /// to be late: even with far more slots than usual becoming free, all would go to those ahead.
    fn refuse_without_slot(
        &self,
        request: &Request<'_>,
        profile: profile::Profile,
        queued: Queued,
        slots: Slots,
        now: clock::Moment,
    ) -> Refusal {
        let longest = request.target.mul_f64(self.settings.slot_wait_share);
        let mean_span = self.mean_answer_span(profile);
        let Some(turn) = queued.turn else {
            if request.waited < longest {
                return Refusal::Deferred(Shortage::Slot);
            }
            return Refusal::Rejected(Shortage::Slot, mean_span);
        };
        let missing = (turn.ahead * self.waitlist.placing_hosts() + 1).saturating_sub(slots.free);
        let is_hopeless = self.is_hopeless(request, turn.ahead, slots, profile);
        if request.waited < longest && (!is_hopeless || self.awaits_identity(request)) {
            return Refusal::Deferred(Shortage::Slot);
        }
        if missing == 0 {
            // It lacks memory, not a slot.
            return Refusal::Rejected(Shortage::Slot, mean_span);
        }
        let promised =
            self.waitlist.promised_turn(request.waiter, &queued.claim, &self.charges, now);
        let returning = promised.ahead.saturating_sub(turn.ahead);
        let span = self.slot_span((missing, returning), slots.per_second(mean_span), longest);
        Refusal::Rejected(Shortage::Slot, span.max(self.settings.full_span))
    }

    /// Time until a slot becomes free for a prompt that lacks `missing` slots as long as those
    /// ahead of it wait, and whose caller goes behind `returning` others who come back, if `rate`
    /// slots per second become free and prompts wait for at most `longest`.
    fn slot_span(
        &self,
        (missing, returning): (usize, usize),
        rate: f64,
        longest: clock::Span,
    ) -> clock::Span {
        let rate = rate.max(MIN_RATE);
        // Of those ahead only so many get a slot; the others are refused before that.
        let waiting = (missing as f64).min(most_arrivals(rate * longest.as_secs_f64()));
        let returning = (returning * self.waitlist.placing_hosts()) as f64;
        let seconds = waiting / rate + returning / (rate * RETURNING_SHARE);
        clock::Span::try_from_secs_f64(seconds).unwrap_or(clock::Span::MAX)
    }

    /// Whether the order of waiting prompts applies to `request` and can change its outcome. It cannot
    /// if there are slots for all that wait, nor if there are none and the prompt would wait even as
    /// the last. Prompts with a loose gap limit have an order only if their urgencies differ or
    /// [`super::Settings::fair_prefill`] asks for it.
    pub(super) fn order_matters(
        &self,
        request: &Request<'_>,
        usable: &[&UpstreamState],
        claim: &Claim,
        profile: profile::Profile,
        now: clock::Moment,
    ) -> bool {
        if !self.is_tight(request) {
            let mut rivals = self.waitlist.rivals(request.waiter, claim, now);
            return self.settings.fair_prefill
                || rivals.any(|rival| rival.account.urgency != claim.account.urgency);
        }
        let slots = Slots::of(usable.iter().copied().filter(|engine| engine.is_open()));
        let waiting = self.waitlist.rivals(request.waiter, claim, now).count();
        if slots.free > 0 {
            return slots.free <= waiting;
        }
        let longest = request.target.mul_f64(self.settings.slot_wait_share);
        let can_be_hopeless = self.is_hopeless(request, waiting, slots, profile);
        request.waited >= longest || can_be_hopeless && !self.awaits_identity(request)
    }

    /// Whether a slot for `request` behind `ahead` others at this host is certain to come too late.
    fn is_hopeless(
        &self,
        request: &Request<'_>,
        ahead: usize,
        slots: Slots,
        profile: profile::Profile,
    ) -> bool {
        let longest = request.target.mul_f64(self.settings.slot_wait_share);
        let left = longest.saturating_sub(request.waited).as_secs_f64();
        let missing = (ahead * self.waitlist.placing_hosts() + 1).saturating_sub(slots.free);
        let fastest = self.settings.tight_answer_span.min(self.mean_answer_span(profile));
        missing as f64 > most_arrivals(slots.per_second(fastest) * left)
    }

    /// Whether the host that asks should be asked for the identity of `request` before it is
    /// refused. Without it, the caller would be last again when it comes back.
    fn awaits_identity(&self, request: &Request<'_>) -> bool {
        request.identity.is_none() && request.waited < IDENTITY_WAIT
    }

    /// How long a full engine takes for an average answer; slots and memory become free within it.
    pub(super) fn mean_answer_span(&self, profile: profile::Profile) -> clock::Span {
        let context = u64::from(profile.slots) * profile.mean_prompt;
        let pass_ms = profile.pass_ms(profile.slots, context);
        profile.decode_span(profile.mean_answer, pass_ms)
    }

    /// Checks whether a prompt with a loose gap limit may add to the prefill backlog of the engines
    /// that are not dedicated to tight gap limits.
    ///
    /// Load pattern: a burst of long prompts brings more prefill than the engines can do. If all
    /// were dispatched at once, they would queue in the engines, where they cannot be reordered:
    /// every one of them would be late, and short prompts that arrive later would find seconds of
    /// prefill ahead of them. The backlog is therefore bounded, with a smaller bound for a larger
    /// prompt, so that smaller ones, which have more value for the time they take, overtake it at
    /// the hosts. The bound grows while the prompt waits. Only the engines that would prefill the
    /// prompt count, because in a fleet of hundreds some are idle while others have a long backlog.
    fn check_backlog(
        &self,
        request: &Request<'_>,
        engines: &[&UpstreamState],
        part_count: usize,
        queued: Queued,
        now: clock::Moment,
    ) -> Result<(), Refusal> {
        let Queued { claim, turn } = queued;
        let total_ms = claim.prefill_ms;
        let mut backlogs: Vec<f64> =
            engines.iter().map(|engine| engine.queued_prefill_ms()).collect();
        backlogs.sort_by(f64::total_cmp);
        backlogs.truncate(part_count.max(1));
        let backlog = backlogs.iter().sum::<f64>() / backlogs.len().max(1) as f64;
        let bound = self.backlog_bound_ms(request, total_ms);
        let ahead = turn.unwrap_or_default();
        if backlog <= bound && self.has_prefill_room(request, engines, (bound, ahead)) {
            return Ok(());
        }
        // While the prompt waits, the backlog falls at one millisecond of prefill per millisecond
        // and the bound rises by `backlog_growth` of that, so they approach each other at the sum.
        let until_bound_ms = (backlog - bound).max(0.0) / (1.0 + self.settings.backlog_growth);
        let planned_engines = engines.len() as f64 * self.settings.prefill_share;
        let prefilling_engines = self.prefill_load.engines(now).max(planned_engines).max(1.0);
        let hosts = self.waitlist.placing_hosts() as f64;
        let ahead_ms = match turn {
            Some(turn) => turn.prefill_ms * hosts,
            None => self.waitlist.ahead_ms(request.waiter, total_ms),
        };
        let free_ms = until_bound_ms + ahead_ms / prefilling_engines;
        let first_token_ms = free_ms + bound + total_ms / part_count as f64;
        let refusal =
            self.refuse(request, Outlook { shortage: Shortage::Prefill, free_ms, first_token_ms });
        let Refusal::Rejected(shortage, span) = refusal else { return Err(refusal) };
        if turn.is_none() {
            return Err(refusal);
        }
        if self.awaits_identity(request) {
            return Err(Refusal::Deferred(shortage));
        }
        let promised = self.waitlist.promised_turn(request.waiter, &claim, &self.charges, now);
        let promised_ms = until_bound_ms + promised.prefill_ms * hosts / prefilling_engines;
        let promised = clock::Span::try_from_secs_f64(promised_ms / 1e3).unwrap_or(span);
        Err(Refusal::Rejected(shortage, span.max(promised)))
    }

    /// Average prefill backlog per engine in milliseconds up to which a prompt with a prefill time
    /// of `total_ms` is dispatched that has waited as long as `request`.
    fn backlog_bound_ms(&self, request: &Request<'_>, total_ms: f64) -> f64 {
        let waited = request.waited.as_secs_f64() * 1e3;
        let scaled =
            self.settings.backlog_ms * self.settings.backlog_reference_ms / total_ms.max(1.0);
        scaled.clamp(self.settings.backlog_ms / 4.0, self.settings.backlog_ms)
            + waited * self.settings.backlog_growth
    }

    /// Whether the prefill of the prompts `ahead`, and then that of `request`, fits into the backlog
    /// of `engines`. The smallest bound of those ahead applies: under a larger one, smaller prompts
    /// would keep the backlog too long for them.
    fn has_prefill_room(
        &self,
        request: &Request<'_>,
        engines: &[&UpstreamState],
        (own_bound, ahead): (f64, Turn),
    ) -> bool {
        if ahead.ahead == 0 {
            return true;
        }
        let bound = own_bound.min(self.backlog_bound_ms(request, ahead.largest_ms));
        let room = engines.iter().map(|engine| (bound - engine.queued_prefill_ms()).max(0.0));
        room.sum::<f64>() > ahead.prefill_ms
    }

    /// Checks that the free memory of `usable` is enough for the prompts ahead and then for
    /// `request`.
    ///
    /// Load pattern: one prompt waits for the memory of several engines while smaller ones, each of
    /// which fits somewhere, keep arriving. It would never find enough.
    fn check_memory(
        &self,
        request: &Request<'_>,
        Division { usable, .. }: Division<'_>,
        Queued { claim, turn }: Queued,
        profile: profile::Profile,
    ) -> Result<(), Refusal> {
        let ahead = turn.unwrap_or_default();
        let share = self.settings.memory_share;
        let free: u64 = usable.iter().map(|engine| engine.free_memory(share)).sum();
        if ahead.ahead == 0 || free >= ahead.tokens + claim.tokens {
            return Ok(());
        }
        let free_ms = self.mean_answer_span(profile).as_secs_f64() * 1e3;
        let part_count = self.part_count(claim.prefill_ms, self.settings.loose_part_ms);
        let first_token_ms = claim.prefill_ms / part_count as f64;
        Err(self.refuse(request, Outlook { shortage: Shortage::Memory, free_ms, first_token_ms }))
    }

    /// Indices of the engines that a plan for a prompt with a loose gap limit may use. Engines that
    /// limit their requests are used only if all do, since such a prompt takes several: its parts,
    /// and the orders about its memory. Cold ones are used as [`Placer::may_share`] says.
    fn eligible(
        &self,
        division: Division<'_>,
        scope: Scope,
        (total_ms, part_ms): (f64, f64),
    ) -> Vec<usize> {
        let Division { usable, dedicated, .. } = division;
        let all_limited = usable.iter().all(|engine| engine.needs_permits());
        let may_share = Self::may_share(usable, total_ms > part_ms);
        let allowed = |index: &usize| {
            let engine = usable[*index];
            engine.is_open() && (all_limited || !engine.is_limited()) && may_share(engine)
        };
        let alone_ms = total_ms.min(part_ms);
        let harmless = |index: &usize| usable[*index].late_answers(alone_ms) == 0;
        match scope {
            Scope::Harmless => (dedicated..usable.len()).filter(allowed).filter(harmless).collect(),
            Scope::Loose => (dedicated..usable.len()).filter(allowed).collect(),
            Scope::All => (0..usable.len()).filter(allowed).collect(),
        }
    }

    /// Whether an engine may prefill a prompt, alone or, if `is_shared`, together with others. Cold
    /// engines share a prefill only if all of `usable` are cold or limited: it takes a permit of
    /// each engine.
    fn may_share<'a>(
        usable: &[&UpstreamState],
        is_shared: bool,
    ) -> impl Fn(&'a UpstreamState) -> bool {
        let all_need_permits = usable.iter().all(|engine| engine.needs_permits());
        move |engine| !is_shared || all_need_permits || !engine.is_cold()
    }

    /// Number of engines that should share a prefill of `total_ms` in parts of `part_ms`.
    fn part_count(&self, total_ms: f64, part_ms: f64) -> usize {
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
        let Division { usable, dedicated, .. } = division;
        let tight = self.is_tight(request);
        if eligible.is_empty() {
            return Err(Refusal::NoUpstream);
        }
        let wanted_ms = part_ms;
        let part_count = self.part_count(total_ms, wanted_ms).min(eligible.len());
        let part_ms = total_ms / part_count as f64;
        let with_slot: Vec<usize> =
            eligible.iter().copied().filter(|index| usable[*index].has_free_slot()).collect();
        let candidates = if with_slot.is_empty() { eligible } else { &with_slot };
        let spillover = |index: usize| {
            if tight && index >= dedicated { self.settings.spillover_penalty_ms } else { 0.0 }
        };
        let by_cost = self.order_by_cost(request, usable, candidates, |index| {
            let engine = usable[index];
            let failures = engine.failure_rate(now) * FAILURE_PENALTY_MS;
            let answers_none = !tight && engine.used_slots() == 0;
            let idle_penalty = if answers_none { self.settings.idle_penalty_ms } else { 0.0 };
            let placement_cost = engine.occupancy_cost_ms()
                + self.remote_cost(request, engine)
                + spillover(index)
                + idle_penalty;
            let overtaking_ms = self.overtaking_ms(request, usable, engine, now);
            let saving_ms = division.saving_ms(index);
            let saving = self.comparable_saving_ms(request, saving_ms, part_count);
            self.cost(request, engine, part_ms) + placement_cost + failures + overtaking_ms - saving
        });
        let need = request.prompt_tokens + request.answer_tokens;
        let share = self.settings.memory_share;
        // The primary decodes the answer, so it needs the memory, or helpers that hold the excess.
        let fitting = by_cost.iter().find(|index| usable[**index].free_memory(share) >= need);
        let could_fit = usable.iter().any(|engine| engine.usable_memory(share) >= need);
        if fitting.is_none() && tight && could_fit {
            // An engine without a free slot may have the memory, but the answer would be late
            // there.
            return Err(Refusal::Deferred(Shortage::Memory));
        }
        let (primary, mut helpers) = match fitting {
            Some(index) => (*index, Vec::new()),
            None => {
                let primary = self.most_free_memory(usable, eligible);
                (
                    primary,
                    self.memory_helpers(
                        usable,
                        &self.reachable(usable, eligible, primary, now),
                        need,
                    )?,
                )
            }
        };
        // A prompt of which much is cached needs fewer helpers for the rest.
        let total_ms = total_ms - division.saving_ms(primary);
        let part_count = self.part_count(total_ms, wanted_ms).min(eligible.len());
        let part_ms = total_ms / part_count as f64;
        let eligible = &self.reachable(usable, eligible, primary, now);
        for index in self.order_by_cost(request, usable, eligible, |index| {
            let engine = usable[index];
            self.helper_cost(request, engine, part_ms)
                + engine.failure_rate(now) * FAILURE_PENALTY_MS
                + spillover(index)
        }) {
            if helpers.len() + 1 >= part_count {
                break;
            }
            if index != primary && helpers.iter().all(|(other, _)| *other != index) {
                helpers.push((index, 0));
            }
        }
        let part_ms = total_ms / (helpers.len() + 1) as f64;
        let waits = helpers.iter().map(|(index, _)| usable[*index].helper_wait_ms());
        let overtaking_ms = self.overtaking_ms(request, usable, usable[primary], now);
        let wait = waits.fold(usable[primary].wait_ms() + overtaking_ms, f64::max);
        let first_token_ms = wait + part_ms + usable[primary].pass_ms();
        let runner_up = by_cost.iter().copied().find(|index| *index != primary);
        Ok(Plan { primary, helpers, part_ms, first_token_ms, net_value: 0.0, runner_up })
    }

    /// Value of a plan less the harm that it does to in-flight requests and to short prompts that
    /// are about to arrive, in units of an answer in time to a prompt of [`UNIT_PROMPT`] tokens.
    fn net_value(
        &self,
        request: &Request<'_>,
        Division { usable, dedicated, .. }: Division<'_>,
        plan: &Plan,
        now: clock::Moment,
    ) -> f64 {
        let target = request.target.as_secs_f64() * 1e3;
        let in_time = match plan.first_token_ms {
            expected if expected <= target => 1.0,
            expected if expected <= target * ABANDON_FACTOR => LATE_VALUE,
            _ => 0.0,
        };
        let parts = || plan.helpers.iter().map(|(index, _)| *index).chain([plan.primary]);
        let harm = |(tokens, urgency)| value(tokens) * harm_weight(request.urgency, urgency);
        let lost = |index: usize| usable[index].newly_late(plan.part_ms).map(harm).sum::<f64>();
        let late_value: f64 = parts().map(lost).sum();
        let tight = self.tight_requests(usable);
        let dedicated_share =
            parts().filter(|index| *index < dedicated).count() as f64 / dedicated.max(1) as f64;
        let stall = (plan.part_ms - self.settings.tight_slack_ms).max(0.0) / 1e3;
        let arrival_loss = f64::from(tight) / self.settings.tight_answer_span.as_secs_f64()
            * dedicated_share
            * stall;
        let served = 1.0 - usable[plan.primary].failure_rate(now);
        value(request.prompt_tokens) * in_time * served
            - (late_value + arrival_loss) * (1.0 - LATE_VALUE)
    }

    /// The refusal of a prompt for which engines lack a resource.
    ///
    /// Load pattern: long prompts arrive faster than engines prefill them, or one needs the memory
    /// of several engines during a burst of short ones. If it were held until the maximum wait, it
    /// would be refused seconds after it could no longer be in time. It therefore waits only while
    /// it can be in time, and is refused as soon as the prompts ahead of it or the remaining time
    /// show that it cannot, with the time after which the missing resource is expected to be free,
    /// but at least [`super::Settings::full_span`].
    fn refuse(&self, request: &Request<'_>, outlook: Outlook) -> Refusal {
        let in_time = outlook.first_token_ms <= request.target.as_secs_f64() * 1e3;
        if in_time && request.waited < self.settings.max_wait {
            return Refusal::Deferred(outlook.shortage);
        }
        let free = clock::Span::try_from_secs_f64(outlook.free_ms / 1e3).unwrap_or_default();
        Refusal::Rejected(outlook.shortage, free.max(self.settings.full_span))
    }

    /// The indices `eligible` ordered by cost, with a random jitter that hides small differences.
    /// Hosts that have not yet heard of each other's decisions would otherwise all choose the same
    /// engine, and several prompts would be prefilled in one pass.
    fn order_by_cost<Cost>(
        &self,
        request: &Request<'_>,
        usable: &[&UpstreamState],
        eligible: &[usize],
        cost: Cost,
    ) -> Vec<usize>
    where
        Cost: Fn(usize) -> f64,
    {
        let keyed = eligible.iter().map(|index| {
            let jitter = tie_break(request.random, usable[*index]) % 1_000;
            (cost(*index) + jitter as f64 / 1e3 * self.settings.jitter_ms, *index)
        });
        let mut keyed: Vec<(f64, usize)> = keyed.collect();
        keyed.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        keyed.into_iter().map(|(_, index)| index).collect()
    }

    /// The engines of `eligible` that the engine `primary` can reach, with `primary` itself at the
    /// front.
    fn reachable(
        &self,
        usable: &[&UpstreamState],
        eligible: &[usize],
        primary: usize,
        now: clock::Moment,
    ) -> Vec<usize> {
        let from = &usable[primary].entry().zone;
        let others = eligible.iter().copied().filter(|index| {
            *index != primary
                && !self.partitions.is_partitioned(from, &usable[*index].entry().zone, now)
        });
        std::iter::once(primary).chain(others).collect()
    }

    fn most_free_memory(&self, usable: &[&UpstreamState], eligible: &[usize]) -> usize {
        let share = self.settings.memory_share;
        let most = eligible.iter().copied().max_by_key(|index| usable[*index].free_memory(share));
        most.unwrap_or(0)
    }

    /// Chooses as few engines as possible to hold the memory that a prompt needs beyond that of the
    /// first of `eligible`, each with the tokens to reserve on it.
    fn memory_helpers(
        &self,
        usable: &[&UpstreamState],
        eligible: &[usize],
        need: u64,
    ) -> Result<Vec<(usize, u64)>, Refusal> {
        let share = self.settings.memory_share;
        let total: u64 = usable.iter().map(|engine| engine.usable_memory(share)).sum();
        if need > total {
            return Err(Refusal::TooLong);
        }
        let free = |index: &usize| usable[*index].free_memory(share);
        let mut by_free_memory: Vec<usize> = eligible[1..].to_vec();
        by_free_memory.sort_by_key(|index| std::cmp::Reverse(free(index)));
        let mut left = need.saturating_sub(free(&eligible[0]));
        let mut memory_helpers = Vec::new();
        for index in by_free_memory.into_iter().take(self.settings.max_helpers) {
            let part = left.min(free(&index));
            if part == 0 {
                break;
            }
            memory_helpers.push((index, part));
            left -= part;
        }
        if left > 0 { Err(Refusal::Deferred(Shortage::Memory)) } else { Ok(memory_helpers) }
    }

    /// Milliseconds by which parts of later prompts are expected to delay the prefill of a prompt
    /// with a loose gap limit that `engine` answers.
    ///
    /// Load pattern: a burst of long prompts, each prefilled by many engines, keeps most engines
    /// busy. An engine prefills parts for others ahead of its own prompts, also parts that come
    /// later, so its queue shrinks only in the time that these leave. A prompt on an engine with a
    /// short queue could wait for many seconds while prompts sent after it are answered.
    fn overtaking_ms(
        &self,
        request: &Request<'_>,
        usable: &[&UpstreamState],
        engine: &UpstreamState,
        now: clock::Moment,
    ) -> f64 {
        if self.is_tight(request) {
            return 0.0;
        }
        let share = self.prefill_load.engines(now) / usable.len().max(1) as f64;
        let share = share.min(MAX_OVERTAKING_SHARE);
        engine.queued_prefill_ms() * share / (1.0 - share)
    }

    /// Cost of prefilling a part on `engine`, in milliseconds of delay: the wait until the part
    /// starts, and the answers that it makes late.
    fn cost(&self, request: &Request<'_>, engine: &UpstreamState, part_ms: f64) -> f64 {
        engine.wait_ms() + self.lateness_cost(request, engine, part_ms)
    }

    /// Cost of prefilling a part for another engine: it goes ahead of the engine's own prompts and
    /// delays each of those by its length.
    ///
    /// Load pattern: prompts that are each prefilled by many engines, so that most engines both
    /// answer one prompt and help with others. If an answering engine has many helper parts ahead
    /// of its own part, its own part is the last of its prompt to finish, and all the other engines
    /// have waited for it.
    fn helper_cost(&self, request: &Request<'_>, engine: &UpstreamState, part_ms: f64) -> f64 {
        let lateness_cost = self.lateness_cost(request, engine, part_ms);
        engine.helper_wait_ms() + lateness_cost + engine.own_prefills() as f64 * part_ms
    }

    /// Cost in milliseconds of delay of the answers that a prefill on `engine` would make late. A
    /// prompt with a late target can wait for longer to spare the others.
    fn lateness_cost(&self, request: &Request<'_>, engine: &UpstreamState, part_ms: f64) -> f64 {
        let cost_ms = request.target.as_secs_f64() * 1e3 * self.settings.lateness_cost_share;
        f64::from(engine.late_answers(part_ms)) * cost_ms
    }

    fn remote_cost(&self, request: &Request<'_>, engine: &UpstreamState) -> f64 {
        if engine.entry().zone == *request.zone { 0.0 } else { self.settings.remote_penalty_ms }
    }

    /// Converts a plan into a placement.
    fn to_placement(
        &self,
        request: &Request<'_>,
        usable: &[&UpstreamState],
        profile: profile::Profile,
        plan: &Plan,
        now: clock::Moment,
    ) -> Placement {
        let helper = |(index, reserve): &(usize, u64)| Helper {
            entry: usable[*index].entry().clone(),
            reserve: *reserve,
        };
        let on_helpers: u64 = plan.helpers.iter().map(|(_, reserve)| reserve).sum();
        let need = (request.prompt_tokens + request.answer_tokens).saturating_sub(on_helpers);
        let large = need as f64 > profile.memory_tokens as f64 * self.settings.reserve_threshold;
        Placement {
            primary: usable[plan.primary].entry().clone(),
            reserve: if large { need } else { 0 },
            helpers: plan.helpers.iter().map(helper).collect(),
            expected: clock::Span::try_from_secs_f64(plan.first_token_ms / 1e3).unwrap_or_default(),
            estimate: usable[plan.primary].estimate(now),
            runner_up: plan.runner_up.map(|index| usable[index].estimate(now)),
            limited: usable[plan.primary].is_limited(),
        }
    }
}

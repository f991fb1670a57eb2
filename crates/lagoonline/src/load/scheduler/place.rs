//! Admission, queueing and routing of one request.

use crate::clock;
use crate::control::document;
use crate::load::admit;
use crate::load::baseline;
use crate::load::floor;
use crate::load::prefix;
use crate::load::queue;
use crate::load::route;
use crate::load::scheduler;
use crate::load::settings;
use crate::load::silence;
use crate::load::upstream;
use crate::outcome;

/// Priorities that are passed to engines, by length class.
const PRIORITY: [u8; 4] = [208, 160, 96, 64];
/// Priority of every request if the priority safeguard is off.
const DEFAULT_PRIORITY: u8 = 128;
/// Priority bonus of a request that has aged in the queue of this host; less than the distance
/// between two classes.
const AGED_BONUS: u8 = 24;
/// A waiter moves up by one class each time it has waited this fraction of its longest wait.
const AGEING_DIVISOR: u32 = 4;

/// Weight of the delay that a request causes for pending longer prompts, relative to its own delay,
/// if the teams' weights do not count the slowdown of short requests. Otherwise the weight is
/// reduced by the share of that slowdown in all weights.
const LONG_WEIGHT: f64 = 8.0;

impl scheduler::Scheduler {
    /// Dispatches the request at once if nothing as urgent waits, else queues or refuses it.
    pub(super) fn place_or_queue(
        &mut self,
        now: clock::Moment,
        request: scheduler::Request,
    ) -> scheduler::Verdict {
        if !self.upstreams.iter().any(|upstream| !upstream.leaving && !upstream.removed) {
            return self.refuse(outcome::Reason::NoUpstream, 1.0);
        }
        let band = self.rank(now, &request) as usize;
        let first = (0..=band).all(|band| self.queue.band_is_empty(band));
        if first && let Some(placement) = self.place(now, &request, false) {
            self.forecast.record_dispatch(now, band, queue::cost(&request), false);
            return scheduler::Verdict::Dispatch(placement);
        }
        let expiry = match self.admit(now, band, &request) {
            Ok(expiry) => expiry,
            Err(failure) => return scheduler::Verdict::Refuse(failure),
        };
        if !self.make_room(&request) {
            return self.refuse(outcome::Reason::Saturated, 1.0);
        }
        self.last_id += 1;
        let waiter = scheduler::Waiter(self.last_id);
        self.queue.push(band, queue::Item { waiter, request, expiry });
        scheduler::Verdict::Wait(waiter)
    }

    /// Refuses waiters that have reached their expiry.
    pub(super) fn expire(&mut self, now: clock::Moment, wakes: &mut Vec<scheduler::Wake>) {
        while let Some((expiry, waiter)) = self.queue.first_expiry()
            && expiry <= now
        {
            let deadline = self.queue.remove(waiter).map(|item| item.request.deadline);
            let passed = deadline.is_none_or(|deadline| deadline <= now);
            let reason =
                if passed { outcome::Reason::DeadlinePassed } else { outcome::Reason::Saturated };
            let random = self.next_random();
            let mut failure = admit::refusal(reason, 1.0, random);
            failure.step = outcome::Step::Queue;
            wakes.push(scheduler::Wake::Refuse(waiter, failure));
        }
    }

    /// Dispatches one waiter, the most urgent first; returns none if no waiter can be placed.
    pub(super) fn dispatch_next(
        &mut self,
        now: clock::Moment,
        queue: &mut queue::Queue,
    ) -> Option<scheduler::Wake> {
        let mut aged_waits = false;
        for (urgency, band) in self.band_order(now, queue) {
            // While an aged request waits, only short prompts may be dispatched: memory for it
            // becomes free only if no other longer prompt takes it first.
            if aged_waits && band > document::Class::Short as usize {
                continue;
            }
            let Some(item) = queue.head(band) else { continue };
            let waiter = item.waiter;
            let aged = urgency < band as i64;
            if let Some(placement) = self.place(now, &item.request, aged) {
                let cost = queue::cost(&item.request);
                queue.pop(band);
                self.forecast.record_dispatch(now, band, cost, !queue.band_is_empty(band));
                return Some(scheduler::Wake::Dispatch(waiter, placement));
            }
            aged_waits |= aged;
        }
        None
    }

    pub(super) fn next_random(&mut self) -> u64 {
        // SplitMix64: takes a few instructions and gives the same numbers for the same seed.
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed =
            (self.random_state ^ (self.random_state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub(super) fn is_full_policy(&self) -> bool {
        self.settings.policy == settings::Policy::Full
    }

    /// Class as which a request is ranked: one class later for customers over their share, and the
    /// same for all requests if the priority safeguard is off. A request waits in the band with the
    /// number of its rank.
    fn rank(&self, now: clock::Moment, request: &scheduler::Request) -> document::Class {
        let safeguards = self.settings.safeguards;
        if !self.is_full_policy() || !safeguards.priority {
            return document::Class::Short;
        }
        let class = scheduler::class(request);
        if !safeguards.fair || !self.is_over_share(now, class, request) {
            return class;
        }
        document::Class::ALL[(class as usize + 1).min(document::Class::ALL.len() - 1)]
    }

    fn is_over_share(
        &self,
        now: clock::Moment,
        class: document::Class,
        request: &scheduler::Request,
    ) -> bool {
        self.usage[class as usize].is_over_share(now, &request.customer, queue::cost(request))
    }

    /// Bands in order of urgency, which is the band less the steps that its first waiter has moved
    /// up because of its age.
    fn band_order(&self, now: clock::Moment, queue: &queue::Queue) -> [(i64, usize); queue::BANDS] {
        let mut order = [(0, 0); queue::BANDS];
        for (band, entry) in order.iter_mut().enumerate() {
            let arrived = queue.head(band).map_or(now, |item| item.request.arrived);
            let step = (self.settings.longest_wait[band] / AGEING_DIVISOR).as_micros().max(1);
            let moved = now.since(arrived).as_micros() / step;
            // Four steps are enough to pass every band.
            *entry = (band as i64 - moved.min(4) as i64, band);
        }
        order.sort_unstable();
        order
    }

    /// Dispatches the request if an upstream can take it now and its answer would be in time.
    fn place(
        &mut self,
        now: clock::Moment,
        request: &scheduler::Request,
        aged: bool,
    ) -> Option<scheduler::Placement> {
        let need = self.need(now, request);
        let random = self.next_random();
        let full_policy = self.is_full_policy();
        let clear_count = if full_policy { self.clear_engine_count(now) } else { 0 };
        let mut router = self.router_with(now, clear_count);
        router.aged = aged;
        let route = if need.kv > self.largest_kv {
            router.group(&need)?
        } else if full_policy {
            router.choose(&need, random)?
        } else {
            let (policy, counter) = (self.settings.policy, self.last_id);
            let index = baseline::choose(policy, now, &self.upstreams, counter, random)?;
            let upstream = &self.upstreams[index];
            // Without a prediction a long prompt would be abandoned as silent.
            let seconds = router.seconds(upstream, &need, upstream.rate(now));
            route::Route::Single { index, seconds }
        };
        if full_policy
            && self.settings.safeguards.admit
            && self.is_late(now, request, &need, &route)
        {
            return None;
        }
        Some(self.dispatch(now, request, &need, route, aged))
    }

    /// Share of an engine's rate that a request is guaranteed: for longer prompts only the floor.
    pub(super) fn guaranteed_rate_share(&self, need: &route::Need) -> f64 {
        let longer = 1.0 - self.prompt_mix.fraction_up_to(document::Class::Short);
        if need.rank == document::Class::Short { 1.0 } else { floor::share(longer) }
    }

    /// Whether the answer would end after the deadline on this route.
    fn is_late(
        &self,
        now: clock::Moment,
        request: &scheduler::Request,
        need: &route::Need,
        route: &route::Route,
    ) -> bool {
        let (route::Route::Single { seconds, .. } | route::Route::Group { seconds, .. }) = *route;
        let end = seconds / self.guaranteed_rate_share(need)
            + self.forecast.answer(request.answer_tokens);
        end > request.deadline.since(now).as_secs_f64()
    }

    fn dispatch(
        &mut self,
        now: clock::Moment,
        request: &scheduler::Request,
        need: &route::Need,
        route: route::Route,
        aged: bool,
    ) -> scheduler::Placement {
        self.last_id += 1;
        let ticket = scheduler::Ticket(self.last_id);
        let parts = self.charge(now, need, &route);
        if let route::Route::Single { index, seconds } = route {
            let upstream = &mut self.upstreams[index];
            upstream.health.record_sent();
            if need.rank == document::Class::Short {
                let expected = (seconds - upstream.zone_delay) / upstream.slowness.factor(now);
                upstream.slowness.record_dispatch(now, ticket, expected);
            }
        }
        let hit = self.expected_hit(need, &route);
        let is_group = parts.len() > 1;
        let reserve_tokens = parts.iter().filter(|_| is_group).map(|part| part.kv).collect();
        let mut names = parts.iter().map(|part| part.upstream.clone());
        let upstream = names.next().unwrap_or_default();
        let members = names.collect();
        let priority = self.priority(need.rank, aged);
        let answer_tokens = request.answer_tokens;
        let dispatched = scheduler::InFlight {
            parts,
            answer_tokens,
            first_token_at: None,
            prompt_tokens: need.tokens,
            prefixes: request.prefixes.clone(),
            hit,
        };
        self.in_flight.insert(ticket, dispatched);
        let (route::Route::Single { seconds, .. } | route::Route::Group { seconds, .. }) = route;
        let first_token_silence =
            silence::before_first_token(seconds / self.guaranteed_rate_share(need));
        let token_silence = silence::between_tokens(self.forecast.token_interval());
        scheduler::Placement {
            ticket,
            upstream,
            members,
            reserve_tokens,
            cached_tokens: hit.tokens,
            priority,
            first_token_silence,
            token_silence,
        }
    }

    /// The prefix that the answering engine of the route probably has cached.
    fn expected_hit(&self, need: &route::Need, route: &route::Route) -> prefix::Hit {
        let first = match route {
            route::Route::Single { index, .. } => Some(*index),
            route::Route::Group { plan, .. } => plan.allocations().first().map(|(index, _)| *index),
        };
        first.map_or_else(Default::default, |index| need.hits.on(self.upstreams[index].number))
    }

    /// Whether a dispatched request without output would be better off on another upstream: one
    /// that has a slot and memory for it now, with a retry left in the budget.
    pub fn is_better_elsewhere(
        &self,
        now: clock::Moment,
        ticket: scheduler::Ticket,
        request: &scheduler::Request,
    ) -> bool {
        let Some(dispatched) = self.in_flight.get(&ticket) else { return false };
        let limited = self.is_full_policy() && self.settings.safeguards.retry_budget;
        if limited && !self.budget.has_retry() {
            return false;
        }
        let silent = dispatched.parts.first().map(|part| &part.upstream);
        let safeguards = self.settings.safeguards;
        let others = self.upstreams.iter().filter(|upstream| {
            Some(&upstream.name) != silent
                && upstream.is_available(now, safeguards.outlier)
                && upstream.free_slots(now, safeguards.ramp) > 0
        });
        let need = request.prompt_tokens + request.answer_tokens;
        let mut free = others.map(|upstream| upstream.free_kv(now));
        if need > self.largest_kv {
            free.sum::<u64>() >= need
        } else {
            free.any(|free| free >= need)
        }
    }

    /// Charges the request to all its engines.
    fn charge(
        &mut self,
        now: clock::Moment,
        need: &route::Need,
        route: &route::Route,
    ) -> Vec<scheduler::Part> {
        let one = |index: usize| [(index, need.kv)];
        match route {
            route::Route::Single { index, .. } => self.charge_allocations(now, need, &one(*index)),
            route::Route::Group { plan, .. } => {
                self.charge_allocations(now, need, plan.allocations())
            }
        }
    }

    fn charge_allocations(
        &mut self,
        now: clock::Moment,
        need: &route::Need,
        allocations: &[(usize, u64)],
    ) -> Vec<scheduler::Part> {
        let short_rate_share = self.short_rate_share();
        let mut parts = Vec::with_capacity(allocations.len());
        for &(index, kv) in allocations {
            let upstream = &mut self.upstreams[index];
            let left = need.tokens - need.cached(upstream.number);
            let tokens = left.min(kv);
            upstream.requests += 1;
            let prefill = upstream::PromptPrefill { class: need.class, rank: need.rank, tokens };
            upstream.add_prefill(now, prefill, kv);
            if need.rank == document::Class::Short {
                let hosts = f64::from(self.settings.hosts_in_zone.max(1));
                let rate = short_rate_share * upstream.nominal_rate / hosts;
                upstream.short_excess.record_sent(now, tokens as f64, rate);
            }
            parts.push(scheduler::Part { upstream: upstream.name.clone(), kv, prefill });
        }
        parts
    }

    fn priority(&self, rank: document::Class, aged: bool) -> u8 {
        if !self.is_full_policy() || !self.settings.safeguards.priority {
            return DEFAULT_PRIORITY;
        }
        PRIORITY[rank as usize] + if aged { AGED_BONUS } else { 0 }
    }

    /// Number of local engines to keep clear of long prompts now.
    fn clear_engine_count(&mut self, now: clock::Moment) -> usize {
        if !self.settings.safeguards.clear {
            return 0;
        }
        self.prompt_mix.engines(now, self.local_count, self.weights.short_share())
    }

    /// Share of an engine's rate that short prompts may use.
    fn short_rate_share(&self) -> f64 {
        let longer = 1.0 - self.prompt_mix.fraction_up_to(document::Class::Short);
        let floor = self.settings.safeguards.floor && longer > 0.0;
        if floor { 1.0 - floor::share(longer) } else { 1.0 }
    }

    pub(super) fn router(&self, now: clock::Moment) -> route::Router<'_> {
        self.router_with(now, 0)
    }

    fn router_with(&self, now: clock::Moment, clear_count: usize) -> route::Router<'_> {
        let short_rate_share = self.short_rate_share();
        let long_weight = LONG_WEIGHT * (1.0 - self.weights.short_share());
        route::Router {
            settings: &self.settings,
            upstreams: &self.upstreams,
            local_count: self.local_count,
            index_by_number: &self.index_by_number,
            min_zone_delay: self.min_zone_delay,
            clear_count,
            aged: false,
            short_rate_share,
            long_weight,
            ahead_seconds: self.settings.ahead.as_secs_f64(),
            now,
        }
    }

    pub(super) fn need(&self, now: clock::Moment, request: &scheduler::Request) -> route::Need {
        let affinity = self.is_full_policy() && self.settings.safeguards.affinity;
        let hits = if affinity { self.prefix_hits(now, request) } else { prefix::Hits::default() };
        let kv = request.prompt_tokens + request.answer_tokens;
        let (class, rank) = (scheduler::class(request), self.rank(now, request));
        route::Need { class, rank, tokens: request.prompt_tokens, kv, hits }
    }

    /// Engines that probably have the longest known prefix of the prompt cached.
    fn prefix_hits(&self, now: clock::Moment, request: &scheduler::Request) -> prefix::Hits {
        let prefixes = &request.prefixes;
        let recorded = &prefixes[..prefixes.len().min(scheduler::MAX_PROMPT_PREFIXES)];
        prefix::Hits::find(&self.prefixes, recorded, |location| self.holds(now, location))
    }

    /// Whether the engine probably still has what was recorded. Each of the zone's hosts is assumed
    /// to place as much there as this one, so this one's prefixes have their share of the room.
    fn holds(&self, now: clock::Moment, location: &prefix::Location) -> bool {
        let Some(&index) = self.index_by_number.get(&location.engine) else { return false };
        let upstream = &self.upstreams[index];
        let room = upstream.free_kv(now) / u64::from(self.settings.hosts_in_zone.max(1));
        upstream.cache.holds(location, room, &self.settings.prefixes, now)
    }

    fn refuse(&mut self, reason: outcome::Reason, seconds: f64) -> scheduler::Verdict {
        let random = self.next_random();
        scheduler::Verdict::Refuse(admit::refusal(reason, seconds, random))
    }
}

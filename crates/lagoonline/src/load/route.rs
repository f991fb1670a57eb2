//! Routing: chooses the upstream for a request.
//!
//! Load pattern: upstreams that differ in load, speed, cache and distance. A request goes where its
//! first token is predicted soonest: outstanding prefill there plus its own prompt less the cached
//! tokens, divided by the learned rate, plus the delay and cost of another zone. An
//! upstream gets nothing new if it has no free slot, no memory for the request, or more outstanding
//! prefill than it needs to stay busy; the request waits here instead, where the order can still
//! change. Long prompts go only where the outstanding long prefill stays within its bound, and
//! never to the engines kept clear of them.

use std::collections;
use std::ops;

use crate::clock;
use crate::control::document;
use crate::load::group;
use crate::load::prefix;
use crate::load::settings;
use crate::load::upstream;
use crate::port::engine;

/// Penalty for short prompts on an engine meant for long ones, in seconds.
const WRONG_ROLE_PENALTY_SECONDS: f64 = 0.2;
/// Penalty for medium prompts where a long one is pending, in seconds: they would use up the floor
/// of the engine's rate that lets the long one progress.
const PENDING_LONG_PENALTY_SECONDS: f64 = 2.0;
/// Fraction of the bound on long prefill that medium prompts may fill.
const MEDIUM_FRACTION: f64 = 0.5;
/// Fraction that medium prompts may fill if they have waited long: they were admitted and should
/// not end in a refusal.
const AGED_FRACTION: f64 = 0.75;
/// Fraction of the zone's engines that customers over their share leave to the others. Priority
/// alone is not enough: a new request waits for the current chunk, and a heavy customer would have
/// one on every engine.
const OVER_SHARE_CLEAR: f64 = 0.3;
/// Outstanding prefill up to which an engine gets work of a customer over its share, in seconds of
/// its rate: almost none, because work that waits here can still be overtaken.
const OVER_SHARE_AHEAD_SECONDS: f64 = 0.02;
/// Suitable upstreams among which the best is chosen. The best of 32 random ones is within a few
/// percent of the best of all, and the cost stays constant as the fleet grows.
const MAX_CANDIDATES: usize = 32;
/// Upstreams of other zones that are examined, whether they are suitable or not.
const MAX_REMOTE_SCANNED: usize = 64;
/// Penalty in seconds for each second of short prefill that this host has sent to an upstream
/// beyond the rate that it may use there.
const IMBALANCE_WEIGHT: f64 = 2.0;
/// Pairs of random draws. The first two suitable upstreams among all draws are compared; if none is
/// suitable, all upstreams are examined.
const RANDOM_PAIRS: usize = 2;

/// Resources that a request needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Need {
    /// Class by the length of the prompt.
    pub class: document::Class,
    /// Class as which it is ranked, by length and the customer's share.
    pub rank: document::Class,
    /// Prompt length in tokens.
    pub tokens: u64,
    /// KV memory for prompt and answer, in tokens.
    pub kv: u64,
    /// Engines that probably have the longest known prefix of this prompt cached.
    pub hits: prefix::Hits,
}

impl Need {
    /// Tokens of the prompt that are cached on the engine with this number.
    pub fn cached(&self, number: u32) -> u64 {
        self.hits.on(number).tokens.min(self.tokens)
    }
}

/// Chosen upstreams, and the predicted seconds to the first token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Route {
    /// One upstream, by its index.
    Single { index: usize, seconds: f64 },
    /// Several engines that hold the prompt together.
    Group { plan: group::Plan, seconds: f64 },
}

/// Result of a survey of the zone's upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Survey {
    /// Sum of their learned rates, in tokens per second.
    pub rate: f64,
    /// Soonest first token if the request could be dispatched now, in seconds.
    pub soonest: f64,
}

/// Inputs of one routing decision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Router<'a> {
    pub settings: &'a settings::Settings,
    /// Upstreams, those of this host's zone first.
    pub upstreams: &'a [upstream::Upstream],
    /// Number of upstreams in this host's zone.
    pub local_count: usize,
    /// Indices of the upstreams, by number.
    pub index_by_number: &'a collections::HashMap<u32, usize>,
    /// Smallest delay of another zone, in seconds; other zones are considered if the request's own
    /// prefill would start later than that in this zone.
    pub min_zone_delay: f64,
    /// Number of local upstreams kept clear of long prompts.
    pub clear_count: usize,
    /// Whether the request has moved up in the queue because of its age; a medium prompt may then
    /// fill more of the bound on long prefill.
    pub aged: bool,
    /// Share of an engine's rate that short prompts may use; 1 while no longer ones arrive.
    pub short_rate_share: f64,
    /// Weight of the delay of pending longer prompts relative to that of the request itself.
    pub long_weight: f64,
    /// Outstanding prefill up to which an engine gets more, in seconds of its rate.
    pub ahead_seconds: f64,
    pub now: clock::Moment,
}

impl Router<'_> {
    fn safeguards(&self) -> settings::Safeguards {
        self.settings.safeguards
    }

    /// Last rank whose prefill goes before the request.
    fn ahead_rank(&self, need: &Need) -> document::Class {
        if self.safeguards().priority { need.rank } else { document::Class::Huge }
    }

    /// Rate at which this host may send short prefill to the upstream, in tokens per second.
    pub fn short_rate(&self, upstream: &upstream::Upstream) -> f64 {
        self.short_rate_share * upstream.nominal_rate
            / f64::from(self.settings.hosts_in_zone.max(1))
    }

    /// Predicted seconds to the first token on the upstream, including penalties.
    pub fn seconds(&self, upstream: &upstream::Upstream, need: &Need, rate: f64) -> f64 {
        let tokens = need.tokens - need.cached(upstream.number);
        let seconds =
            upstream.first_token_seconds(self.now, self.ahead_rank(need), tokens as f64, rate);
        let wrong_role =
            upstream.role == engine::Role::Long && need.class == document::Class::Short;
        let delays_long =
            need.class == document::Class::Medium && upstream.has_later_rank(need.rank);
        let seconds = if delays_long { seconds + PENDING_LONG_PENALTY_SECONDS } else { seconds };
        let seconds = seconds + self.imbalance_penalty(upstream, need, rate);
        let seconds =
            seconds + self.long_delay_penalty(upstream, need, tokens as f64 / rate.max(1.0));
        if wrong_role { seconds + WRONG_ROLE_PENALTY_SECONDS } else { seconds }
    }

    /// Penalty in seconds for short prefill that this host has sent to the upstream beyond the rate
    /// that it may use there. Reports lag by longer than a short queue lasts, so even sending
    /// balances short prompts better than reports do.
    fn imbalance_penalty(&self, upstream: &upstream::Upstream, need: &Need, rate: f64) -> f64 {
        if need.rank != document::Class::Short {
            return 0.0;
        }
        let sent = upstream.short_excess.excess(self.now, self.short_rate(upstream));
        IMBALANCE_WEIGHT * sent / rate.max(1.0)
    }

    /// Weighted delay that the request would cause for longer prompts pending on the upstream.
    fn long_delay_penalty(&self, upstream: &upstream::Upstream, need: &Need, seconds: f64) -> f64 {
        let delays_longer = self.long_weight > 0.0 && upstream.has_longer_than(need.rank);
        if delays_longer { self.long_weight * seconds } else { 0.0 }
    }

    /// Whether the upstream can take the request now.
    fn fits(&self, upstream: &upstream::Upstream, need: &Need, rate: f64) -> bool {
        let safeguards = self.safeguards();
        upstream.is_available(self.now, safeguards.outlier)
            && !(safeguards.outlier && self.is_restricted(upstream))
            && upstream.free_slots(self.now, safeguards.ramp) > 0
            && upstream.free_kv(self.now) >= need.kv
            && self.has_room(upstream, need, rate)
    }

    /// Whether a slow upstream has its probe request already, or must not be probed yet.
    fn is_restricted(&self, upstream: &upstream::Upstream) -> bool {
        let hosts = self.settings.hosts_in_zone.max(1);
        upstream.slowness.is_slow(self.now)
            && (upstream.requests > 0 || !upstream.slowness.may_probe(self.now, hosts))
    }

    /// Whether the bounds on outstanding prefill and the share of long prompts allow the request.
    fn has_room(&self, upstream: &upstream::Upstream, need: &Need, rate: f64) -> bool {
        let is_clear = upstream.local_index.is_some_and(|index| index < self.clear_count)
            || upstream.role == engine::Role::Short;
        if is_clear && need.class > document::Class::Medium {
            return false;
        }
        if need.class >= document::Class::Long && self.safeguards().long_bound {
            let pending = upstream.long_rank_pending(self.now);
            return pending <= 0.0
                || pending + need.tokens as f64 <= self.settings.long_tokens as f64;
        }
        if need.rank == document::Class::Short
            && self.short_rate_share < 1.0
            && !upstream.short_excess.allows(self.now, self.short_rate(upstream))
        {
            return false;
        }
        if need.class == document::Class::Medium && self.safeguards().long_bound {
            // In the engine a medium prompt progresses at the floor rate when there are many short
            // ones.
            let part = if self.aged { AGED_FRACTION } else { MEDIUM_FRACTION };
            let pending = upstream.later_rank_pending(self.now);
            return pending <= 0.0
                || pending + need.tokens as f64 <= self.settings.long_tokens as f64 * part;
        }
        let over = need.rank > need.class;
        let share = OVER_SHARE_CLEAR * self.local_count as f64;
        if over && upstream.local_index.is_some_and(|index| (index as f64) < share) {
            return false;
        }
        let seconds = if over { OVER_SHARE_AHEAD_SECONDS } else { self.ahead_seconds };
        upstream.ahead(self.now, self.ahead_rank(need), rate) < seconds * rate
    }

    /// Samples some upstreams of the zone, starting at a random one, or of all zones if it has
    /// none.
    pub fn survey(&self, need: &Need, random: u64) -> Survey {
        let mut survey = Survey { soonest: f64::MAX, ..Survey::default() };
        let count = if self.local_count > 0 { self.local_count } else { self.upstreams.len() };
        let sampled = count.min(MAX_CANDIDATES);
        for step in 0..sampled {
            let index = (random % count as u64) as usize + step;
            let upstream = &self.upstreams[if index < count { index } else { index - count }];
            if upstream.leaving || upstream.removed {
                continue;
            }
            let rate = upstream.rate(self.now);
            survey.soonest = survey.soonest.min(self.seconds(upstream, need, rate));
            survey.rate += rate * count as f64 / sampled as f64;
        }
        survey
    }

    /// Chooses the upstream for a request that is sent now; `random` is a random number.
    pub fn choose(&self, need: &Need, random: u64) -> Option<Route> {
        let two = match self.settings.choice {
            settings::Choice::Shortest => None,
            settings::Choice::Two => self.better_of_two(need, random),
        };
        let (index, seconds) = two.or_else(|| self.best_of_all(need, random))?;
        Some(Route::Single { index, seconds })
    }

    /// Chooses engines that hold the prompt together; none if they cannot now.
    pub fn group(&self, need: &Need) -> Option<Route> {
        let free = |index: usize| {
            let upstream = &self.upstreams[index];
            let local = upstream.local_index.is_some_and(|index| index >= self.clear_count);
            let open = upstream.is_available(self.now, self.safeguards().outlier);
            let slot = upstream.free_slots(self.now, self.safeguards().ramp) > 0;
            if local && open && slot { upstream.free_kv(self.now) } else { 0 }
        };
        let plan = group::plan(need.kv, self.upstreams.len(), free)?;
        let (first, _) = plan.allocations()[0];
        let upstream = &self.upstreams[first];
        let seconds = self.seconds(upstream, need, upstream.rate(self.now));
        Some(Route::Group { plan, seconds })
    }

    /// The best upstream among those with the prefix cached and a sample of all, own zone first.
    fn best_of_all(&self, need: &Need, random: u64) -> Option<(usize, f64)> {
        let mut best = None;
        for hit in need.hits.iter() {
            if let Some(&index) = self.index_by_number.get(&hit.location.engine) {
                self.consider(index, need, &mut best);
            }
        }
        self.scan(0..self.local_count, random, need, &mut best);
        if best
            .is_none_or(|(index, _)| self.seconds_before_prefill(index, need) > self.min_zone_delay)
        {
            self.scan(self.local_count..self.upstreams.len(), random, need, &mut best);
        }
        best
    }

    /// Predicted seconds on the upstream before the request's own prefill: what another zone could
    /// save. Penalties between the zone's upstreams are left out; otherwise requests would cross a
    /// partitioned link for no better reason than balance.
    fn seconds_before_prefill(&self, index: usize, need: &Need) -> f64 {
        let upstream = &self.upstreams[index];
        let rate = upstream.rate(self.now);
        upstream.first_token_seconds(self.now, self.ahead_rank(need), 0.0, rate)
    }

    /// Examines upstreams of the range, starting at a random one, until enough of them are
    /// suitable.
    fn scan(
        &self,
        range: ops::Range<usize>,
        random: u64,
        need: &Need,
        best: &mut Option<(usize, f64)>,
    ) {
        let max_scanned =
            if range.start == 0 { range.len() } else { range.len().min(MAX_REMOTE_SCANNED) };
        let mut index = range.start + (random % range.len().max(1) as u64) as usize;
        let mut fitting = 0;
        for _ in 0..max_scanned {
            fitting += usize::from(self.consider(index, need, best));
            if fitting >= MAX_CANDIDATES {
                return;
            }
            index = if index + 1 == range.end { range.start } else { index + 1 };
        }
    }

    /// Updates `best` if the upstream is suitable and better; returns whether it is suitable.
    fn consider(&self, index: usize, need: &Need, best: &mut Option<(usize, f64)>) -> bool {
        let upstream = &self.upstreams[index];
        let rate = upstream.rate(self.now);
        if !self.fits(upstream, need, rate) {
            return false;
        }
        let seconds = self.seconds(upstream, need, rate);
        if best.is_none_or(|(_, other)| seconds < other) {
            *best = Some((index, seconds));
        }
        true
    }

    /// The better of the first two suitable upstreams out of a few random ones.
    fn better_of_two(&self, need: &Need, random: u64) -> Option<(usize, f64)> {
        let count = self.upstreams.len().max(1) as u64;
        let draws = (0..2 * RANDOM_PAIRS as u64).map(|shift| (random >> (16 * shift)) % count);
        let indexes = draws.map(|index| index as usize);
        let timed = indexes.filter_map(|index| {
            let upstream = self.upstreams.get(index)?;
            let rate = upstream.rate(self.now);
            let fits = self.fits(upstream, need, rate);
            fits.then(|| (index, self.seconds(upstream, need, rate)))
        });
        timed.take(2).min_by(|(_, a), (_, b)| a.total_cmp(b))
    }
}

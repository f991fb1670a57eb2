//! Updates of the scheduler's view of upstreams: fleet changes, load reports, marks of leaving
//! upstreams.

use std::collections;
use std::mem;

use crate::clock;
use crate::id;
use crate::load::group;
use crate::load::outlier;
use crate::load::scheduler;
use crate::load::settings;
use crate::load::tokens;
use crate::load::upstream;
use crate::port::engine;
use crate::view;

impl scheduler::Scheduler {
    /// Replaces the upstreams by the engines of `model` in a new fleet; work in flight keeps its
    /// tickets.
    pub fn set_fleet(&mut self, now: clock::Moment, fleet: &view::Shared, model: &id::Model) {
        let old = mem::take(&mut self.upstreams);
        let mut old: collections::HashMap<_, _> =
            old.into_iter().map(|upstream| (upstream.name.clone(), upstream)).collect();
        let mut listed: Vec<_> = fleet.engines(model).collect();
        let is_remote = |engine: &view::Upstream| engine.entry.zone != self.settings.zone;
        listed.sort_by(|a, b| (is_remote(a), &a.name).cmp(&(is_remote(b), &b.name)));
        self.local_count = 0;
        for engine in listed {
            let known = old.remove(&engine.name);
            let upstream = self.updated_upstream(now, known, engine);
            self.upstreams.push(upstream);
        }
        let working = old.into_values().filter(|upstream| upstream.requests > 0);
        self.upstreams.extend(working.map(|mut old| {
            old.removed = true;
            old
        }));
        let names = self.upstreams.iter().enumerate();
        self.index = names.map(|(index, upstream)| (upstream.name.clone(), index)).collect();
        let numbers = self.upstreams.iter().enumerate();
        self.index_by_number = numbers.map(|(index, upstream)| (upstream.number, index)).collect();
        self.update_sizes();
        self.reset_ratio(fleet, model);
        self.started = true;
        if self.settings.weights.is_none() {
            self.weights = mean_weights(fleet);
        }
    }

    /// Resets the token estimate to the model's configured one if the document has changed it.
    fn reset_ratio(&mut self, fleet: &view::Fleet, model: &id::Model) {
        let Some(model) = fleet.models.get(model) else { return };
        if model.bytes_per_token.to_bits() != self.configured_ratio.to_bits() {
            self.configured_ratio = model.bytes_per_token;
            self.ratio = tokens::Ratio::new(model.bytes_per_token);
        }
    }

    fn updated_upstream(
        &mut self,
        now: clock::Moment,
        known: Option<upstream::Upstream>,
        listed: &view::Upstream,
    ) -> upstream::Upstream {
        let fresh = known.is_none();
        let mut upstream = known.unwrap_or_default();
        if fresh {
            self.last_number += 1;
            upstream.number = self.last_number;
            upstream.nominal_rate = listed.entry.prefill_rate;
            upstream.joined_at = if self.started { Some(now) } else { None };
        }
        let is_local = listed.entry.zone == self.settings.zone;
        upstream.name = listed.name.clone();
        upstream.removed = false;
        upstream.slots = listed.entry.slots;
        upstream.kv_tokens = listed.entry.kv_tokens;
        upstream.role = listed.entry.role;
        upstream.local_index = if is_local { Some(self.local_count) } else { None };
        upstream.zone_delay = if is_local { 0.0 } else { self.zone_delay(&listed.entry.zone) };
        self.local_count += usize::from(is_local);
        upstream
    }

    fn zone_delay(&self, zone: &id::Zone) -> f64 {
        let listed = self.settings.remote_zones.iter().find(|(name, _)| name == zone);
        listed.map_or(self.settings.remote_default, |(_, span)| *span).as_secs_f64()
    }

    /// Applies a load report, which lags behind the engine's state.
    pub fn observe(
        &mut self,
        now: clock::Moment,
        upstream: &id::Upstream,
        load: &engine::LoadReport,
    ) {
        let Some(&index) = self.index.get(upstream) else { return };
        let upstream = &mut self.upstreams[index];
        if upstream.incarnation != 0 && load.incarnation != upstream.incarnation {
            upstream.cache.restart();
            upstream.joined_at = Some(now);
            upstream.health = outlier::Health::default();
        }
        upstream.incarnation = load.incarnation;
        let before = upstream.kv_tokens;
        upstream.observe(now, load, &mut self.typical_prefill);
        if upstream.kv_tokens != before {
            self.update_sizes();
        }
    }

    fn update_sizes(&mut self) {
        let sizes = self.upstreams.iter().map(|upstream| upstream.kv_tokens);
        self.largest_kv = sizes.max().unwrap_or(0);
        // All members of a group are in one zone; without engines in this zone a single engine is
        // the limit.
        let local_sizes =
            self.upstreams[..self.local_count].iter().map(|upstream| upstream.kv_tokens);
        self.group_kv = group::capacity(local_sizes).max(self.largest_kv);
        let delays = self.upstreams[self.local_count..].iter().map(|upstream| upstream.zone_delay);
        self.min_zone_delay = delays.fold(f64::MAX, f64::min);
    }

    /// Marks an upstream as leaving, or clears the mark for a new incarnation.
    pub fn set_leaving(&mut self, _now: clock::Moment, upstream: &id::Upstream, leaving: bool) {
        if let Some(&index) = self.index.get(upstream) {
            self.upstreams[index].leaving = leaving;
        }
    }
}

/// Mean of the weights in the policies of the fleet's teams.
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

//! Reassigns engines between models as demand changes.
//!
//! Load pattern: a mix that changes over the day, and demand that jumps from one model to another.
//! Without hysteresis engines would load weights back and forth and serve nobody meanwhile; without
//! a limit by the weight store's rate, ten engines that move at once would all wait for the same
//! store. So a model must need at least one whole engine more than it has, for some time, before
//! one moves; an engine that has moved stays for a while; weight loads are spread over time at the
//! store's rate. A team's claim takes precedence: idle capacity may be borrowed, and is ordered
//! back within [`MAX_RETURN_DELAY`], because a returned engine moves before any other, without
//! hysteresis, and doesn't wait for weight loads of borrowed engines.

use std::collections;

use crate::clock;
use crate::id;

/// Time for which demand must exceed a model's capacity by an engine: longer than a burst.
pub const MIN_SHORTAGE: clock::Span = clock::Span::from_secs(30);
/// Time for which an engine stays with the model to which it moved: many times the duration of a
/// weight load.
pub const MIN_STAY: clock::Span = clock::Span::from_secs(300);
/// Time within which a borrowed engine is ordered back to a claim that needs it. It is a guarantee
/// that tests check, not a parameter of the decision.
pub const MAX_RETURN_DELAY: clock::Span = clock::Span::from_secs(10);
/// Excess of demand over capacity from which a model is short of engines, in engines.
const SHORTAGE_ENGINES: f64 = 1.0;
/// Engines that a model must keep after giving one away, as a multiple of its demand.
const SPARE_FACTOR: f64 = 1.25;

/// Demand and claims of one model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Number of engines that its load keeps busy: prefill and decode work divided by an engine's
    /// rate.
    pub engines: f64,
    /// Number of engines that teams claim for it.
    pub claimed: u32,
    /// Size of the model's weights, which an engine must load, in bytes.
    pub weight_bytes: u64,
}

/// An engine that may move.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Its name.
    pub name: id::Upstream,
    /// The model that it serves now.
    pub model: id::Model,
    /// When it moved to that model.
    pub since: clock::Moment,
    /// Whether an order to it is in progress.
    pub moving: bool,
    /// Requests that it processes; the least busy engine moves.
    pub requests: u32,
}

/// An order that should be issued now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Move {
    /// The engine to move.
    pub engine: id::Upstream,
    /// The model to load.
    pub to: id::Model,
    /// Whether a borrowed engine returns to a claim.
    pub for_claim: bool,
}

/// Decides the moves of one zone's engines.
#[derive(Debug)]
pub struct Rebalancer {
    /// Rate of the weight store, in bytes per second.
    store_rate: f64,
    /// Since when each model has been short of engines.
    shortage_since: collections::BTreeMap<id::Model, clock::Moment>,
    /// When the store will have served the loads ordered so far.
    store_free_at: clock::Moment,
}

impl Rebalancer {
    /// Creates a rebalancer for a weight store with this rate, in bytes per second.
    pub fn new(store_rate: f64) -> Self {
        let shortage_since = collections::BTreeMap::new();
        Rebalancer { store_rate, shortage_since, store_free_at: clock::Moment::START }
    }

    /// The next move, if one is due. Must be called again after it was ordered, and every second.
    pub fn next(
        &mut self,
        now: clock::Moment,
        demands: &collections::BTreeMap<id::Model, Demand>,
        engines: &[Engine],
    ) -> Option<Move> {
        let mut shortages = Vec::new();
        for (model, demand) in demands {
            if let Some(for_claim) = self.shortage(now, model, demand, engines) {
                shortages.push((!for_claim, model, demand));
            }
        }
        // Claims first, then by name, so that every steward makes the same decision.
        shortages.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        for (borrows, model, demand) in shortages {
            let for_claim = !borrows;
            if borrows && self.store_free_at > now {
                continue;
            }
            let Some(engine) = donor(now, model, demands, engines, for_claim) else { continue };
            self.record_order(now, model, demand);
            return Some(Move { engine: engine.name.clone(), to: model.clone(), for_claim });
        }
        None
    }

    /// Whether the model is short of an engine now: `Some(true)` if its claim is unmet,
    /// `Some(false)` if its demand has exceeded its engines for long enough.
    fn shortage(
        &mut self,
        now: clock::Moment,
        model: &id::Model,
        demand: &Demand,
        engines: &[Engine],
    ) -> Option<bool> {
        let current = engine_count(model, engines);
        let wanted = demand.engines.ceil() as u32;
        if current < wanted.min(demand.claimed) {
            return Some(true);
        }
        if demand.engines < f64::from(current) + SHORTAGE_ENGINES {
            self.shortage_since.remove(model);
            return None;
        }
        let since = *self.shortage_since.entry(model.clone()).or_insert(now);
        (now.since(since) >= MIN_SHORTAGE).then_some(false)
    }

    fn record_order(&mut self, now: clock::Moment, model: &id::Model, demand: &Demand) {
        let seconds = demand.weight_bytes as f64 / self.store_rate.max(1.0);
        self.store_free_at = self.store_free_at.max(now) + clock::Span::from_secs_f64(seconds);
        self.shortage_since.remove(model);
    }
}

fn engine_count(model: &id::Model, engines: &[Engine]) -> u32 {
    let serving = engines.iter().filter(|engine| engine.model == *model);
    u32::try_from(serving.count()).unwrap_or(u32::MAX)
}

/// The least busy engine of a model that can give one away.
fn donor<'a>(
    now: clock::Moment,
    to: &id::Model,
    demands: &collections::BTreeMap<id::Model, Demand>,
    engines: &'a [Engine],
    for_claim: bool,
) -> Option<&'a Engine> {
    let can_spare = |engine: &&Engine| {
        let demand = demands.get(&engine.model).copied().unwrap_or_default();
        let left = engine_count(&engine.model, engines).saturating_sub(1);
        let keeps_claim = left >= demand.claimed.min(demand.engines.ceil() as u32);
        let is_free = f64::from(left) >= demand.engines * SPARE_FACTOR;
        let stayed = now.since(engine.since) >= MIN_STAY;
        let movable = engine.model != *to && !engine.moving;
        movable && keeps_claim && (for_claim || (is_free && stayed))
    };
    engines.iter().filter(can_spare).min_by_key(|engine| (engine.requests, &engine.name))
}

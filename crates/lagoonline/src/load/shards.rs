//! The schedulers of all models.

use std::collections;
use std::sync;

use crate::clock;
use crate::id;
use crate::load::scheduler::Scheduler;
use crate::load::settings::Settings;
use crate::view;

/// Schedulers of all models, each under its own lock; cheap to replace when the fleet changes.
#[derive(Clone, Debug, Default)]
pub struct Shards {
    shards: collections::HashMap<id::Model, sync::Arc<sync::Mutex<Scheduler>>>,
}

impl Shards {
    /// Returns one scheduler for each model of the fleet; existing ones are kept and updated.
    ///
    /// ```
    /// use lagoonline::{clock::Moment, load, view};
    /// let shards = load::Shards::default();
    /// let fleet = view::Shared::default();
    /// let shards = shards.with_fleet(Moment::START, &fleet, &load::Settings::default());
    /// assert!(shards.get(&"m".into()).is_none());
    /// ```
    pub fn with_fleet(
        &self,
        now: clock::Moment,
        fleet: &view::Shared,
        settings: &Settings,
    ) -> Shards {
        let mut shards = collections::HashMap::new();
        for model in fleet.models.keys() {
            let kept = self.shards.get(model).cloned();
            let shard = kept.unwrap_or_else(|| {
                sync::Arc::new(sync::Mutex::new(Scheduler::new(settings.clone())))
            });
            lock(&shard).set_fleet(now, fleet, model);
            shards.insert(model.clone(), shard);
        }
        Shards { shards }
    }

    /// The scheduler of a model; none for a model that is not in the fleet.
    pub fn get(&self, model: &id::Model) -> Option<&sync::Arc<sync::Mutex<Scheduler>>> {
        self.shards.get(model)
    }

    /// All schedulers with their models.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Model, &sync::Arc<sync::Mutex<Scheduler>>)> {
        self.shards.iter()
    }
}

/// Locks a scheduler. If another holder panicked, its counts may be wrong, but refusals by the
/// engines correct them, so a poisoned lock is used regardless.
pub fn lock(shard: &sync::Mutex<Scheduler>) -> sync::MutexGuard<'_, Scheduler> {
    shard.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

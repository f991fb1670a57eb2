//! One scheduler for each model.

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
    /// One scheduler for each model of the fleet, keeping those that were there.
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

    /// The scheduler of a model.
    pub fn get(&self, model: &id::Model) -> Option<&sync::Arc<sync::Mutex<Scheduler>>> {
        self.shards.get(model)
    }

    /// Every scheduler with its model.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Model, &sync::Arc<sync::Mutex<Scheduler>>)> {
        self.shards.iter()
    }
}

/// Locks a scheduler. A panic of another holder leaves counts that the engines' own refusals
/// correct, so a poisoned lock is taken all the same.
pub fn lock(shard: &sync::Mutex<Scheduler>) -> sync::MutexGuard<'_, Scheduler> {
    shard.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

//! The schedulers of all models, one for each.

use std::collections;
use std::sync;

use crate::clock;
use crate::id;
use crate::load::scheduler::Scheduler;
use crate::load::settings::Settings;
use crate::view;

/// Schedulers of all models, each under its own lock; cheap to replace when the fleet changes.
#[derive(Clone, Debug, Default)]
pub struct Schedulers {
    schedulers: collections::HashMap<id::Model, sync::Arc<sync::Mutex<Scheduler>>>,
}

impl Schedulers {
    /// Returns one scheduler for each model of the fleet; existing ones are kept and updated.
    ///
    /// ```
    /// use lagoonline::{clock::Moment, load, view};
    /// let schedulers = load::Schedulers::default();
    /// let fleet = view::Shared::default();
    /// let schedulers = schedulers.with_fleet(Moment::START, &fleet, &load::Settings::default());
    /// assert!(schedulers.get(&"m".into()).is_none());
    /// ```
    pub fn with_fleet(
        &self,
        now: clock::Moment,
        fleet: &view::Shared,
        settings: &Settings,
    ) -> Schedulers {
        let mut schedulers = collections::HashMap::new();
        for model in fleet.models.keys() {
            let kept = self.schedulers.get(model).cloned();
            let scheduler = kept.unwrap_or_else(|| {
                sync::Arc::new(sync::Mutex::new(Scheduler::new(settings.clone())))
            });
            lock(&scheduler).set_fleet(now, fleet, model);
            schedulers.insert(model.clone(), scheduler);
        }
        Schedulers { schedulers }
    }

    /// The scheduler of a model; none for a model that is not in the fleet.
    pub fn get(&self, model: &id::Model) -> Option<&sync::Arc<sync::Mutex<Scheduler>>> {
        self.schedulers.get(model)
    }

    /// All schedulers with their models.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Model, &sync::Arc<sync::Mutex<Scheduler>>)> {
        self.schedulers.iter()
    }
}

/// Locks a scheduler. If another holder panicked, its counts may be wrong, but refusals by the
/// engines correct them, so a poisoned lock is used regardless.
pub fn lock(scheduler: &sync::Mutex<Scheduler>) -> sync::MutexGuard<'_, Scheduler> {
    scheduler.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

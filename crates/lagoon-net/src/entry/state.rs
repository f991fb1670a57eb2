//! State that is shared by the worker threads of an entry host.

use std::collections;
use std::sync;
use std::sync::atomic;

use arc_swap::ArcSwap;
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::control::document;
use lagoonline::id;
use lagoonline::load;
use lagoonline::load::limit;
use lagoonline::view;
use tokio::sync as async_sync;

use super::admission;
use super::cancel;
use super::link;
use super::metrics;
use super::replica;
use super::settings;
use crate::platform;

/// Phase of the shutdown of this host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    Serving,
    /// `/readyz` fails, but requests are still accepted: load balancers may not have polled it yet.
    Unready,
    /// New requests are refused; requests in progress continue.
    Draining,
    /// Requests in progress fail.
    Aborting,
}

/// Snapshot of the fleet's configuration (all sections in force, merged) with the queues and
/// replicas for it.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub(crate) fleet: view::Shared,
    /// The scheduler of each model.
    pub(crate) schedulers: load::Schedulers,
    pub(crate) queues: collections::HashMap<id::Model, sync::Arc<admission::Queue>>,
    pub(crate) replicas: replica::Replicas,
}

/// State shared by all threads of one entry host.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: settings::Settings,
    pub(crate) clock: clock::System,
    pub(crate) owner: id::Owner,
    pub(crate) metrics: metrics::Metrics,
    pub(crate) cancels: cancel::Sender,
    pub(crate) link: link::Link,
    /// Limits on this host's calls to the platform; `None` without a platform.
    pub(crate) platform_limits: Option<sync::Arc<platform::Limits>>,
    /// Rate limits of the customers.
    rate_limits: sync::Mutex<limit::Limits>,
    view: ArcSwap<View>,
    /// The newest known section of each team.
    sections: sync::Mutex<collections::BTreeMap<id::Team, document::Section>>,
    /// When the fleet's configuration last changed: the age of the view when there is no steward.
    fleet_changed_at: sync::Mutex<clock::Moment>,
    /// Sends new queues to the control thread, which wakes their requests: the thread of the entry
    /// host that runs `server::serve`, besides the worker threads.
    new_queues: async_sync::mpsc::UnboundedSender<sync::Weak<admission::Queue>>,
    phase: async_sync::watch::Sender<Phase>,
    /// Number of requests in progress.
    active: async_sync::watch::Sender<usize>,
    /// Number of requests that failed because the drain was cut short.
    aborted: atomic::AtomicUsize,
}

/// Receivers of the work that the control thread does for the worker threads.
#[derive(Debug)]
pub(crate) struct Receivers {
    pub(crate) new_queues: async_sync::mpsc::UnboundedReceiver<sync::Weak<admission::Queue>>,
    pub(crate) cancels: cancel::Receiver,
    pub(crate) link: Option<crate::link::Task>,
}

impl State {
    pub(crate) fn new(mut settings: settings::Settings) -> (sync::Arc<State>, Receivers) {
        settings.scheduling.zone = settings.zone.clone();
        // With the same seed everywhere, the hosts of a zone would pick the same upstreams at the
        // same time.
        settings.scheduling.seed = rand::random();
        let clock = clock::System::default();
        let incarnation = id::Incarnation(clock.wall_millis());
        let (new_queues, queues_in) = async_sync::mpsc::unbounded_channel();
        let (cancels, cancels_in) = cancel::channel();
        let (link, task) = link::Link::open(&settings, incarnation);
        let platform_limits = settings.platform.clone().map(platform::Limits::new);
        let rate_limits = limit::Limits::new(settings.scheduling.hosts_in_zone);
        let sections = settings.sections.clone();
        let state = sync::Arc::new(State {
            owner: id::Owner { host: settings.host.clone(), incarnation },
            metrics: metrics::Metrics::new(&settings.zone),
            settings,
            clock,
            cancels,
            link,
            platform_limits,
            rate_limits: sync::Mutex::new(rate_limits),
            view: ArcSwap::default(),
            sections: sync::Mutex::default(),
            fleet_changed_at: sync::Mutex::default(),
            new_queues,
            phase: async_sync::watch::Sender::new(Phase::Serving),
            active: async_sync::watch::Sender::new(0),
            aborted: atomic::AtomicUsize::new(0),
        });
        state.install(sections);
        (state, Receivers { new_queues: queues_in, cancels: cancels_in, link: task })
    }

    pub(crate) fn view(&self) -> sync::Arc<View> {
        self.view.load_full()
    }

    /// Applies sections. A section whose version is not above the current one is ignored, so that a
    /// late or replayed message cannot revert it.
    pub(crate) fn install(&self, sections: Vec<document::Section>) {
        let current = &self.sections;
        let mut current = current.lock().unwrap_or_else(sync::PoisonError::into_inner);
        for section in sections {
            let newer = current.get(&section.team).is_none_or(|old| old.version < section.version);
            if newer {
                current.insert(section.team.clone(), section);
            }
        }
        self.install_fleet(sync::Arc::new(view::Fleet::merge(current.values())));
    }

    /// Replaces the fleet's configuration in the current view.
    pub(crate) fn install_fleet(&self, fleet: view::Shared) {
        // Held until the new view is stored: of two concurrent changes, the later one must keep the
        // queues that the earlier one created.
        let mut changed =
            self.fleet_changed_at.lock().unwrap_or_else(sync::PoisonError::into_inner);
        for (team, version) in &fleet.versions {
            self.metrics.set_version(team, *version);
        }
        let old = self.view();
        let now = self.clock.now();
        let schedulers = old.schedulers.with_fleet(now, &fleet, &self.settings.scheduling);
        let queues = self.build_queues(&old, &schedulers);
        let replicas = old.replicas.with_fleet(&fleet);
        for queue in queues.values() {
            queue.wake_due();
        }
        self.view.store(sync::Arc::new(View { fleet, schedulers, queues, replicas }));
        *changed = now;
    }

    /// Returns the queues of all models; those of models that remain are kept, new ones are handed
    /// to the control thread.
    fn build_queues(
        &self,
        old: &View,
        schedulers: &load::Schedulers,
    ) -> collections::HashMap<id::Model, sync::Arc<admission::Queue>> {
        let mut queues = collections::HashMap::new();
        for (model, scheduler) in schedulers.iter() {
            let kept = old.queues.get(model).cloned();
            let queue = kept.unwrap_or_else(|| {
                let queue = admission::Queue::new(self.clock, scheduler.clone());
                // The control thread runs as long as the process, so the receiver exists.
                let _ended = self.new_queues.send(sync::Arc::downgrade(&queue));
                queue
            });
            queues.insert(model.clone(), queue);
        }
        queues
    }

    /// Sets whether an upstream is leaving, in all queues and replicas.
    pub(crate) fn set_leaving(&self, upstream: &id::Upstream, leaving: bool) {
        let view = self.view();
        for queue in view.queues.values() {
            queue.set_leaving(upstream, leaving);
        }
        view.replicas.set_leaving(upstream, leaving);
    }

    /// Rate limits of the customers. A single lock is enough: each request holds it for one map
    /// lookup.
    pub(crate) fn rate_limits(&self) -> sync::MutexGuard<'_, limit::Limits> {
        self.rate_limits.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns whether load balancers may send requests to this host.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.link.is_complete()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub(crate) fn watch_phase(&self) -> async_sync::watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Advances to `phase`; an earlier phase than the current one is ignored.
    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let later = *current < phase;
            *current = phase.max(*current);
            later
        });
        self.metrics.draining.set(i64::from(self.phase() > Phase::Serving));
    }

    pub(crate) fn active(&self) -> usize {
        *self.active.borrow()
    }

    pub(crate) fn watch_active(&self) -> async_sync::watch::Receiver<usize> {
        self.active.subscribe()
    }

    /// Returns the number of requests that failed because the drain was cut short.
    pub(crate) fn aborted(&self) -> usize {
        self.aborted.load(atomic::Ordering::Relaxed)
    }

    pub(crate) fn count_aborted(&self) {
        self.aborted.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Updates the gauges that are computed only when the metrics are read.
    pub(crate) fn refresh(&self) {
        let changed = *self.fleet_changed_at.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let age = self.link.view_age().unwrap_or_else(|| self.clock.now().since(changed));
        self.metrics.view_age.set(age.as_secs_f64());
        for (model, queue) in &self.view().queues {
            self.metrics.set_waiting(model, queue.queued());
        }
    }
}

/// Counts a request as in progress until dropped.
#[derive(Debug)]
pub(crate) struct ActiveGuard(sync::Arc<State>);

impl ActiveGuard {
    pub(crate) fn new(state: &sync::Arc<State>) -> ActiveGuard {
        state.active.send_modify(|count| *count += 1);
        state.metrics.active.inc();
        ActiveGuard(state.clone())
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.send_modify(|count| *count -= 1);
        self.0.metrics.active.dec();
    }
}

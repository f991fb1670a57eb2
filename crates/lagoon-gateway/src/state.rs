//! What the process knows, shared by its threads; each part under its own lock.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use arc_swap::{ArcSwap, ArcSwapOption};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::{placement, retry};
use lagoonline::routing;
use rand::Rng;
use tokio::sync::{Notify, mpsc, watch};

use crate::crash;
use crate::event;
use crate::feed;
use crate::mesh;
use crate::metrics;
use crate::peers;
use crate::quarantine;
use crate::relay;
use crate::schedule;
use crate::settings;
use crate::word;

/// How far the process is on its way to its end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// All is served.
    Serving,
    /// Not ready, and connections close after their answer; all is served.
    Unready,
    /// No new connections.
    Draining,
}

/// What is decided for one service.
#[derive(Debug)]
pub(crate) struct Desk {
    /// What is under way on its upstreams.
    pub(crate) board: placement::Placer,
    /// Repeats that are left.
    pub(crate) budget: retry::Budget,
}

/// What the process knows since its start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Knowledge {
    /// Not yet which routes and upstreams there are.
    Nothing,
    /// Routes and upstreams, but not what other hosts have under way on them.
    Lists,
    /// As much as the other hosts told.
    Loads,
}

/// Time from the start of the process in which requests wait for what other hosts have under way.
///
/// Failure answered: a host starts again within half a second, its callers are back at once, and it
/// sends them all to the engine that it believes to be idle. If the platform is slow, callers are not
/// held longer than a request to a busy engine takes.
const ACQUAINTANCE: clock::Span = clock::Span::from_millis(400);

/// Part of the bound on taken keys that the confirmation of the desired state may be old.
const KEY_MARGIN: clock::Span = clock::Span::from_millis(250);
/// How long what another host said of its confirmation holds: hosts with callers say it many times
/// a second, and in an outage all lose their confirmation within a second of each other.
const SAID: clock::Span = clock::Span::from_millis(500);

type Desks = collections::HashMap<id::Service, sync::Arc<sync::Mutex<Desk>>>;

/// Words to the other hosts that wait to be sent; two seconds' worth at the highest rate.
const WORDS: usize = 4_096;

/// All that the process knows.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: settings::Settings,
    pub(crate) clock: crate::Boot,
    pub(crate) metrics: metrics::Metrics,
    /// This life of the process among the entry hosts.
    pub(crate) number: u64,
    table: ArcSwapOption<routing::Table>,
    confirmation: sync::Mutex<routing::Confirmation>,
    registry: sync::Mutex<routing::Registry>,
    /// What is known of the platform's tables.
    pub(crate) feed: feed::Feed,
    /// Whether the list of upstreams was ever read.
    listed: atomic::AtomicBool,
    knowledge: watch::Sender<Knowledge>,
    started: clock::Moment,
    /// When another host last said that it can trust keys.
    trusted_elsewhere: sync::Mutex<Option<clock::Moment>>,
    pub(crate) desks: ArcSwap<Desks>,
    phase: watch::Sender<Phase>,
    active: watch::Sender<usize>,
    dispatches: atomic::AtomicU64,
    hosts: atomic::AtomicUsize,
    deciders: atomic::AtomicUsize,
    /// This host's row is gone from the platform's table.
    pub(crate) unregistered: Notify,
    /// The other hosts.
    pub(crate) peers: sync::Mutex<peers::Peers>,
    /// Those of this zone, as the relay asks them.
    pub(crate) members: relay::Members,
    /// What this host asked the one that schedules for its zone.
    pub(crate) questions: schedule::Questions,
    /// Words that wait to be told.
    pub(crate) words: mpsc::Sender<mesh::Said>,
    pub(crate) socket: net::UdpSocket,
    /// Requests whose connections broke.
    pub(crate) breaks: crash::Breaks,
    /// Requests that crash upstreams.
    pub(crate) keeper: quarantine::Keeper,
}

/// Locks; a panic of another holder leaves figures that are still whole.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl State {
    /// The state of a process that knows nothing yet and sends words by `socket`, and the words that
    /// it wants to tell.
    pub(crate) fn new(
        settings: settings::Settings,
        socket: net::UdpSocket,
    ) -> (sync::Arc<State>, mpsc::Receiver<mesh::Said>) {
        let (words, receiver) = mpsc::channel(WORDS);
        let clock = crate::Boot::default();
        let node = &settings.node;
        let standing = routing::HostInfo { zone: node.zone.clone(), cores: node.cpu_share };
        let roster = routing::RosterSettings {
            min_hosts: settings.tuning.relay_hosts,
            ..routing::RosterSettings::default()
        };
        let roster = routing::Roster::new(roster, node.host.clone(), standing, clock.now());
        let state = State {
            settings,
            started: clock.now(),
            clock,
            metrics: metrics::Metrics::default(),
            number: rand::rng().random(),
            table: ArcSwapOption::empty(),
            confirmation: sync::Mutex::default(),
            registry: sync::Mutex::default(),
            feed: feed::Feed::default(),
            listed: atomic::AtomicBool::new(false),
            trusted_elsewhere: sync::Mutex::default(),
            knowledge: watch::Sender::new(Knowledge::Nothing),
            desks: ArcSwap::default(),
            phase: watch::Sender::new(Phase::Serving),
            active: watch::Sender::new(0),
            dispatches: atomic::AtomicU64::new(0),
            hosts: atomic::AtomicUsize::new(1),
            deciders: atomic::AtomicUsize::new(1),
            unregistered: Notify::new(),
            peers: sync::Mutex::new(peers::Peers::new(roster)),
            members: relay::Members::default(),
            questions: schedule::Questions::default(),
            words,
            socket,
            breaks: crash::Breaks::default(),
            keeper: quarantine::Keeper::default(),
        };
        (sync::Arc::new(state), receiver)
    }

    /// The desired state in force; `None` before the first.
    pub(crate) fn table(&self) -> Option<sync::Arc<routing::Table>> {
        self.table.load_full()
    }

    /// Puts a version in force unless a later one is; it was the newest at `at`.
    pub(crate) fn install(&self, desired: routing::Desired, at: clock::Moment) {
        let version = desired.version;
        let known = self.table.load().as_ref().map_or(0, |table| table.version());
        if self.table.load().is_none() || version > known {
            event::Line::new("desired_state_in_force")
                .number("version", version)
                .number("previous", known)
                .number("routes", desired.routes.len())
                .info();
            self.table.store(Some(sync::Arc::new(routing::Table::new(desired))));
            self.metrics.desired_version.set(i64::try_from(version).unwrap_or(i64::MAX));
            self.refresh_desks();
        }
        if version >= known {
            self.confirm(at);
        }
    }

    /// The version in force was the newest at `at`.
    pub(crate) fn confirm(&self, at: clock::Moment) {
        lock(&self.confirmation).confirm(at);
    }

    /// Time since the version in force was known to be the newest.
    pub(crate) fn confirmation_age(&self) -> Option<clock::Span> {
        lock(&self.confirmation).age(self.clock.now())
    }

    /// The platform answers again since `at`.
    pub(crate) fn platform_returned(&self, at: clock::Moment) {
        lock(&self.registry).record_recovery(at);
    }

    /// Takes in changes of the list of upstreams.
    pub(crate) fn change_upstreams(&self, changes: Vec<routing::Change>) {
        let is_first = !self.listed.swap(true, atomic::Ordering::Relaxed);
        if is_first {
            // A line each would use up the lines of the start's second.
            event::Line::new("upstreams_listed").number("upstreams", changes.len()).info();
        }
        if changes.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut registry = lock(&self.registry);
        for change in changes {
            if !is_first {
                log_change(&change);
            }
            registry.apply(change, now);
        }
        drop(registry);
        self.refresh_desks();
    }

    /// Drops what has lapsed.
    pub(crate) fn expire(&self) {
        let now = self.clock.now();
        if lock(&self.registry).expire(now) {
            self.refresh_desks();
        }
        for desk in self.desks.load().values() {
            lock(desk).board.expire(now);
        }
    }

    /// Another host told how old its confirmation of the desired state is.
    pub(crate) fn heard_confirmation(&self, age_ms: Option<u32>) {
        let age = age_ms.map(word::span);
        if age.is_some() && self.trusts_keys(age) {
            *lock(&self.trusted_elsewhere) = Some(self.clock.now());
        }
    }

    /// Whether keys can be trusted at a host whose desired state was confirmed so long ago, or never:
    /// one that was taken away is known within the bound, where there is one.
    pub(crate) fn trusts_keys(&self, age: Option<clock::Span>) -> bool {
        let Some(bound) = self.settings.node.bounds.revoke else { return true };
        age.is_some_and(|age| age + KEY_MARGIN <= bound)
    }

    /// Whether another host said of late that it can trust keys.
    pub(crate) fn is_trusted_elsewhere(&self) -> bool {
        let at = *lock(&self.trusted_elsewhere);
        at.is_some_and(|at| self.clock.now().since(at) <= SAID)
    }

    /// The model engines of all services.
    pub(crate) fn engines(&self) -> Vec<(id::Service, routing::Registration)> {
        let mut engines = Vec::new();
        for (service, desk) in self.desks.load().iter() {
            let desk = lock(desk);
            engines.extend(desk.board.engines().map(|entry| (service.clone(), entry.clone())));
        }
        engines
    }

    /// What is decided for a service.
    pub(crate) fn desk(&self, service: &id::Service) -> Option<sync::Arc<sync::Mutex<Desk>>> {
        self.desks.load().get(service).cloned()
    }

    /// Tells the board of a service what happened, at this moment; a service that is gone has none.
    pub(crate) fn with_board<Act, Told>(&self, service: &id::Service, act: Act) -> Option<Told>
    where
        Act: FnOnce(&mut placement::Placer, clock::Moment) -> Told,
    {
        let desk = self.desk(service)?;
        let mut desk = lock(&desk);
        Some(act(&mut desk.board, self.clock.now()))
    }

    /// Waits until the process knows as much as `knowledge`.
    pub(crate) async fn wait_for(&self, knowledge: Knowledge) {
        // The sender lives as long as this state, so the wait ends only by a change.
        drop(self.knowledge.subscribe().wait_for(|current| *current >= knowledge).await);
    }

    /// The process knows as much as `knowledge`.
    pub(crate) fn learn(&self, knowledge: Knowledge) {
        self.knowledge.send_if_modified(|current| {
            let more = knowledge > *current;
            *current = knowledge.max(*current);
            more
        });
    }

    /// Waits until what other hosts have under way is known; not beyond [`ACQUAINTANCE`].
    pub(crate) async fn acquainted(&self) {
        let left = (self.started + ACQUAINTANCE).since(self.clock.now());
        // Without an answer in time the host goes on with what it knows.
        drop(tokio::time::timeout(left, self.wait_for(Knowledge::Loads)).await);
    }

    fn refresh_desks(&self) {
        let Some(table) = self.table() else { return };
        let registry = lock(&self.registry);
        let mut by_service: collections::HashMap<id::Service, Vec<routing::Registration>> =
            table.services().map(|service| (service.name.clone(), Vec::new())).collect();
        for entry in registry.entries() {
            if let Some(entries) = by_service.get_mut(&entry.service) {
                entries.push(entry.clone());
            }
        }
        let known = self.desks.load_full();
        let mut desks = Desks::default();
        for (service, entries) in by_service {
            let profile = table.service(&service).and_then(|service| service.profile);
            let desk = known.get(&service).cloned().unwrap_or_else(|| self.new_desk());
            lock(&desk).board.set_upstreams(&entries, profile);
            desks.insert(service, desk);
        }
        self.desks.store(sync::Arc::new(desks));
        if self.listed.load(atomic::Ordering::Relaxed) {
            self.learn(Knowledge::Lists);
        }
    }

    fn new_desk(&self) -> sync::Arc<sync::Mutex<Desk>> {
        let mut board =
            placement::Placer::new(self.settings.tuning.placement, self.settings.node.zone.clone());
        let mut budget = retry::Budget::default();
        let hosts = self.hosts.load(atomic::Ordering::Relaxed);
        budget.set_ratio(self.settings.node.bounds.retry_ratio);
        budget.set_slack(self.settings.node.bounds.retry_slack, hosts);
        board.set_placing_hosts(self.deciders.load(atomic::Ordering::Relaxed));
        sync::Arc::new(sync::Mutex::new(Desk { board, budget }))
    }

    /// There are so many entry hosts, this one included, of which `deciders` decide where requests
    /// go.
    pub(crate) fn set_hosts(&self, hosts: usize, deciders: usize) {
        let before = self.hosts.swap(hosts, atomic::Ordering::Relaxed);
        let decided = self.deciders.swap(deciders, atomic::Ordering::Relaxed);
        if (before, decided) == (hosts, deciders) {
            return;
        }
        let slack = self.settings.node.bounds.retry_slack;
        for desk in self.desks.load().values() {
            let mut desk = lock(desk);
            desk.budget.set_slack(slack, hosts);
            desk.board.set_placing_hosts(deciders);
        }
    }

    /// The id of a new dispatch.
    pub(crate) fn next_work(&self) -> placement::DispatchId {
        let number = self.dispatches.fetch_add(1, atomic::Ordering::Relaxed);
        placement::DispatchId { host: self.number, number }
    }

    /// Whether the process knows as much as `knowledge`.
    pub(crate) fn knows(&self, knowledge: Knowledge) -> bool {
        *self.knowledge.borrow() >= knowledge
    }

    /// How far the process is.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Goes on to `phase`; never back.
    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            *current = phase.max(*current);
            later
        });
    }

    /// Waits until the process is as far as `phase`.
    pub(crate) async fn reach(&self, phase: Phase) {
        // The sender lives as long as this state, so the wait ends only by a change.
        drop(self.phase.subscribe().wait_for(|current| *current >= phase).await);
    }

    /// Whether the host may be sent callers.
    pub(crate) fn is_ready(&self) -> bool {
        let listed = self.listed.load(atomic::Ordering::Relaxed);
        self.phase() == Phase::Serving && self.table.load().is_some() && listed
    }

    /// Counts a request as under way until the guard is dropped.
    pub(crate) fn enter(self: &sync::Arc<Self>) -> Active {
        self.active.send_modify(|count| *count += 1);
        Active { state: self.clone() }
    }

    /// Requests under way.
    pub(crate) fn watch_active(&self) -> watch::Receiver<usize> {
        self.active.subscribe()
    }
}

fn log_change(change: &routing::Change) {
    match change {
        routing::Change::Put(entry) => event::Line::new("upstream_listed")
            .text("upstream", &entry.upstream)
            .text("service", &entry.service)
            .text("address", entry.address)
            .number("leaving", entry.leaving)
            .info(),
        routing::Change::Removed(upstream) => {
            event::Line::new("upstream_vanished").text("upstream", upstream).info();
        }
    }
}

/// A request under way.
#[derive(Debug)]
pub(crate) struct Active {
    state: sync::Arc<State>,
}

impl Drop for Active {
    fn drop(&mut self) {
        self.state.active.send_modify(|count| *count -= 1);
    }
}

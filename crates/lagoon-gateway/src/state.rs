//! State shared by the threads of the process. Each part has a lock of its own.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use arc_swap::{ArcSwap, ArcSwapOption};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::{backoff, placement};
use lagoonline::routing;
use rand::Rng;
use tokio::sync::{Notify, mpsc, watch};

use crate::buffers;
use crate::carriers;
use crate::crash;
use crate::departures;
use crate::era;
use crate::event;
use crate::heads;
use crate::mesh;
use crate::message;
use crate::metrics;
use crate::peers;
use crate::quarantine;
use crate::relay;
use crate::retries;
use crate::schedule;
use crate::settings;
use crate::tables;

/// Phases of the process, from serving to shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// Serves all requests.
    Serving,
    /// Reports not ready and closes connections after their answers, but serves all requests.
    /// Begins with the log line `draining`.
    Unready,
    /// Accepts no new requests.
    Draining,
    /// Gives up the requests that are left, since the grace time ends.
    Ending,
}

/// Placement state of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    /// Places requests and tracks the dispatches in flight on the service's upstreams.
    pub(crate) placer: placement::Placer,
}

/// How much the process has learned since its start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum SyncLevel {
    /// Neither routes nor upstreams are known.
    Nothing,
    /// Routes and upstreams are known, but not the dispatches that other hosts have in flight on
    /// them.
    Tables,
    /// Other hosts have reported their dispatches in flight, or the time for it has passed.
    Dispatches,
}

/// Maximum time after the start for which requests wait until other hosts have reported their
/// dispatches in flight.
///
/// A host restarts within half a second and its callers reconnect at once. Without the wait it
/// would send them all to the engine that it believes to be idle. The wait ends even if the
/// platform is slow, after no longer than a request to a busy engine takes.
const MAX_DISPATCHES_WAIT: clock::Span = clock::Span::from_millis(400);

/// Margin that is subtracted from the key revocation bound when the age of the last confirmation is
/// checked.
const KEY_AGE_MARGIN: clock::Span = clock::Span::from_millis(250);
/// Time that a request may take from the check of its upstream until it arrives there, and interval
/// of the check itself.
const SEND_MARGIN: clock::Span = clock::Span::from_millis(200);
/// How long another host's report that it can trust keys stays valid. Hosts with callers report it
/// many times a second, and in an outage all hosts lose their confirmation within a second of each
/// other.
const PEER_REPORT_VALIDITY: clock::Span = clock::Span::from_millis(500);

type ServiceStates = collections::HashMap<id::Service, sync::Arc<sync::Mutex<ServiceState>>>;

/// Capacity of the queue of updates to the other hosts: two seconds at the highest rate of updates.
const UPDATE_QUEUE_CAPACITY: usize = 4_096;

/// The shared state of the process.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: settings::Settings,
    pub(crate) clock: crate::BootClock,
    pub(crate) metrics: metrics::Metrics,
    /// The era of the platform's store.
    pub(crate) era: era::SharedEra,
    /// What this host holds for callers and upstreams.
    pub(crate) buffers: sync::Arc<buffers::Buffers>,
    /// Random number that identifies this run of the process among the entry hosts.
    pub(crate) incarnation: u64,
    /// The desired state in force.
    routing_table: ArcSwapOption<routing::Table>,
    /// When the desired state was last confirmed to be the newest.
    confirmation: sync::Mutex<routing::Confirmation>,
    /// The registered upstreams.
    registry: sync::Mutex<routing::Registry>,
    /// Names of fields of answers that nobody reads.
    pub(crate) unread_names: sync::Mutex<heads::UnreadNames>,
    /// Values of fields of answers that could not be read.
    pub(crate) unreadable_values: sync::Mutex<heads::UnreadableValues>,
    /// Times for which upstreams want no requests, of this host and of those for which it places
    /// requests.
    pub(crate) backoffs: sync::Mutex<backoff::Backoffs>,
    /// What upstreams said to hosts that carried connections, which is repeated to them.
    pub(crate) repeated_to_carriers: sync::Mutex<carriers::Repeated>,
    /// The evacuated zones, and the region of each zone.
    pub(crate) eligibility: sync::Mutex<sync::Arc<routing::Eligibility>>,
    /// Departures of upstreams that are repeated to other hosts.
    pub(crate) repeated_departures: sync::Mutex<departures::Repeated>,
    /// Contents of the platform's tables.
    pub(crate) tables: tables::Tables,
    /// Whether the list of upstreams has been read at least once.
    upstreams_listed: atomic::AtomicBool,
    sync_level: watch::Sender<SyncLevel>,
    started_at: clock::Moment,
    /// When another host last reported that it can trust keys.
    peer_trusted_keys_at: sync::Mutex<Option<clock::Moment>>,
    /// Placement state of each service in the desired state.
    pub(crate) service_states: ArcSwap<ServiceStates>,
    phase: watch::Sender<Phase>,
    /// Number of active requests.
    active: watch::Sender<usize>,
    /// Number of the next dispatch.
    dispatch_counter: atomic::AtomicU64,
    /// Retry budget of each service.
    pub(crate) retries: retries::Budgets,
    /// Number of hosts that place requests.
    placing_hosts: atomic::AtomicUsize,
    /// Signalled when the table of hosts was read.
    pub(crate) hosts_read: Notify,
    /// Signalled when this host's row is missing from the platform's table.
    pub(crate) unregistered: Notify,
    /// This host's paths to upstreams.
    pub(crate) paths: sync::Mutex<routing::Paths>,
    /// Addresses at which other hosts answer relay requests and carry connections.
    pub(crate) host_addresses: sync::Mutex<collections::HashMap<id::Host, net::SocketAddr>>,
    /// The host that last carried a connection of this one.
    pub(crate) last_host_through: sync::Mutex<Option<id::Host>>,
    /// Number of connections that this host carries for others.
    pub(crate) carried: atomic::AtomicUsize,
    /// Upstreams that failed on open connections and are connected to again.
    pub(crate) looked_at: sync::Mutex<collections::HashSet<id::Upstream>>,
    /// The other entry hosts.
    pub(crate) peers: sync::Mutex<peers::Peers>,
    /// The other hosts of this zone, as the relay uses them.
    pub(crate) members: relay::Members,
    /// Questions to the zone's scheduler that have no answer yet.
    pub(crate) questions: schedule::PendingQuestions,
    /// Queue of updates to the other hosts.
    pub(crate) updates: mpsc::Sender<mesh::QueuedUpdate>,
    pub(crate) socket: net::UdpSocket,
    /// Requests whose upstream connections broke and whose upstream is being probed.
    pub(crate) broken_requests: crash::BrokenRequests,
    /// Requests that crash upstreams.
    pub(crate) quarantine: quarantine::SharedQuarantine,
}

/// Locks `mutex` even if a holder panicked: every update leaves the data consistent.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl State {
    /// Creates the state of a process that has read nothing yet and sends datagrams through
    /// `socket`. Also returns the receiving end of the update queue.
    pub(crate) fn new(
        settings: settings::Settings,
        socket: net::UdpSocket,
    ) -> (sync::Arc<State>, mpsc::Receiver<mesh::QueuedUpdate>) {
        let (updates, receiver) = mpsc::channel(UPDATE_QUEUE_CAPACITY);
        let clock = crate::BootClock::default();
        let node = &settings.node;
        let info = routing::HostInfo { zone: node.zone.clone(), cores: node.cpu_share };
        let roster = routing::RosterSettings {
            min_hosts: settings.tuning.relay_hosts,
            ..routing::RosterSettings::default()
        };
        let roster = routing::Roster::new(roster, node.host.clone(), info, clock.now());
        let paths = routing::Paths::new(routing::PathSettings::default(), node.zone.clone());
        let bounds = &node.bounds;
        let grace = routing::RegistrySettings {
            grace_after_answer: bounds.leaving.saturating_sub(SEND_MARGIN),
            grace_after_failure: bounds.stable.saturating_sub(SEND_MARGIN),
            ..routing::RegistrySettings::default()
        };
        let eligibility = sync::Arc::new(routing::Eligibility::new(node.regions.clone()));
        let memory = node.memory;
        let settle_span = settings.tuning.settle_span;
        let metrics = metrics::Metrics::default();
        let state = State {
            clock,
            registry: sync::Mutex::new(routing::Registry::new(grace, node.zone.clone())),
            settings,
            started_at: clock.now(),
            buffers: sync::Arc::new(buffers::Buffers::new(clock, memory, metrics.clone())),
            era: era::SharedEra::new(settle_span, metrics.clone()),
            metrics,
            incarnation: rand::rng().random(),
            routing_table: ArcSwapOption::empty(),
            confirmation: sync::Mutex::default(),
            unread_names: sync::Mutex::default(),
            unreadable_values: sync::Mutex::default(),
            backoffs: sync::Mutex::default(),
            repeated_to_carriers: sync::Mutex::default(),
            eligibility: sync::Mutex::new(eligibility),
            repeated_departures: sync::Mutex::default(),
            tables: tables::Tables::default(),
            upstreams_listed: atomic::AtomicBool::new(false),
            peer_trusted_keys_at: sync::Mutex::default(),
            sync_level: watch::Sender::new(SyncLevel::Nothing),
            service_states: ArcSwap::default(),
            phase: watch::Sender::new(Phase::Serving),
            active: watch::Sender::new(0),
            dispatch_counter: atomic::AtomicU64::new(0),
            retries: retries::Budgets::default(),
            placing_hosts: atomic::AtomicUsize::new(1),
            hosts_read: Notify::new(),
            unregistered: Notify::new(),
            paths: sync::Mutex::new(paths),
            host_addresses: sync::Mutex::default(),
            last_host_through: sync::Mutex::default(),
            carried: atomic::AtomicUsize::new(0),
            looked_at: sync::Mutex::default(),
            peers: sync::Mutex::new(peers::Peers::new(roster)),
            members: relay::Members::default(),
            questions: schedule::PendingQuestions::default(),
            updates,
            socket,
            broken_requests: crash::BrokenRequests::default(),
            quarantine: quarantine::SharedQuarantine::default(),
        };
        (sync::Arc::new(state), receiver)
    }

    /// Returns the desired state in force; `None` until the first is read.
    pub(crate) fn routing_table(&self) -> Option<sync::Arc<routing::Table>> {
        self.routing_table.load_full()
    }

    /// Puts `desired` in force unless the version in force is newer. It was the newest at `at`. The
    /// version is the number in the document, not the store's version of its row.
    pub(crate) fn install(&self, desired: routing::Desired, at: clock::Moment) {
        let version = desired.version;
        // Held from the comparison to the change: versions come by two ways.
        let mut confirmation = lock(&self.confirmation);
        let known = self.routing_table.load().as_ref().map(|table| table.version());
        if known.is_some_and(|known| version < known) {
            drop(confirmation);
            return self.log_older_version(version, known);
        }
        self.confirm_held(&mut confirmation, at);
        if known == Some(version) {
            return;
        }
        event::Line::new("desired_state_in_force")
            .number("version", version)
            .number("previous", known.unwrap_or(0))
            .number("routes", desired.routes.len())
            .info();
        self.routing_table.store(Some(sync::Arc::new(routing::Table::new(desired))));
        drop(confirmation);
        self.metrics.desired_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.refresh_service_states();
    }

    /// Logs and counts a version of the desired state that is older than the one in force.
    fn log_older_version(&self, version: u64, known: Option<u64>) {
        self.metrics.older_statements.inc();
        event::Line::new("older_version_ignored")
            .number("version", version)
            .number("in_force", known.unwrap_or(0))
            .info();
    }

    /// Records that the platform showed no later version than the one in force at `at`.
    pub(crate) fn confirm(&self, at: clock::Moment) {
        self.confirm_held(&mut lock(&self.confirmation), at);
    }

    /// Confirms the desired state at `at`, if the platform had been back for long enough from its last
    /// restore.
    fn confirm_held(&self, confirmation: &mut routing::Confirmation, at: clock::Moment) {
        confirmation.hold_until(self.era.get().settled_at());
        confirmation.confirm(at);
    }

    /// Records when other hosts saw the era `number` of the platform's store begin.
    pub(crate) fn learn_era(&self, number: u64, since: Option<clock::Moment>) {
        self.era.learn(number, since);
        lock(&self.confirmation).hold_until(self.era.get().settled_at());
    }

    /// Returns the time since the desired state in force was last known to be the newest.
    pub(crate) fn confirmation_age(&self) -> Option<clock::Span> {
        lock(&self.confirmation).age(self.clock.now())
    }

    /// Records that the platform answered at `answered_at`, after an outage in which the last call
    /// that failed was started at `failed_at`.
    pub(crate) fn platform_recovered(&self, failed_at: clock::Moment, answered_at: clock::Moment) {
        lock(&self.registry).record_recovery(failed_at, answered_at);
    }

    /// Records the first list of upstreams of an era of the platform's store. Has to be called before it
    /// is applied.
    pub(crate) fn begin_era(&self, began: &tables::Began) {
        let now = self.clock.now();
        let mut registry = lock(&self.registry);
        if began.is_restore {
            registry.record_recovery(now, now);
        }
        registry.begin_era(began.revision, now);
    }

    /// Locks the registry of upstreams.
    pub(crate) fn registry(&self) -> sync::MutexGuard<'_, routing::Registry> {
        lock(&self.registry)
    }

    /// Applies changes to the list of upstreams. They came by `way` and are `age` old. `is_first` if they
    /// are the first list of an era of the platform's store.
    pub(crate) fn apply_upstream_changes(
        &self,
        changes: Vec<routing::Change>,
        is_first: bool,
        way: tables::Way,
        age: clock::Span,
    ) {
        let is_first = !self.upstreams_listed.swap(true, atomic::Ordering::Relaxed) || is_first;
        if is_first {
            // One line for all of them: a line per upstream would use up the log rate of a second.
            event::Line::new("upstreams_listed").number("upstreams", changes.len()).info();
        }
        if changes.is_empty() {
            return;
        }
        let mut registry = lock(&self.registry);
        for change in changes {
            if !is_first {
                log_change(&change, way, age);
            }
            self.apply_change(&mut registry, change, way, age);
        }
        drop(registry);
        self.refresh_service_states();
    }

    /// Drops expired entries.
    pub(crate) fn expire(&self) {
        let now = self.clock.now();
        let mut registry = lock(&self.registry);
        let effects = registry.expire(now);
        let leaving = registry.entries().filter(|entry| entry.leaving).count();
        self.metrics.upstreams_leaving.set(i64::try_from(leaving).unwrap_or(i64::MAX));
        self.metrics.upstreams_kept.set(i64::try_from(registry.kept()).unwrap_or(i64::MAX));
        drop(registry);
        for (upstream, effect) in &effects {
            self.log_effect(upstream, None, effect, departures::Source::Time);
        }
        if !effects.is_empty() {
            self.refresh_service_states();
        }
        let list_age = tables::age(self, self.tables.upstreams_confirmed_at()).unwrap_or_default();
        self.metrics.list_age_ms.set(i64::try_from(list_age.as_millis()).unwrap_or(i64::MAX));
        for service_state in self.service_states.load().values() {
            lock(service_state).placer.expire(now);
        }
        self.expire_paths();
        self.expire_backoffs();
        self.buffers.update_metrics();
        self.report_retries();
    }

    /// Records the age of another host's last confirmation of the desired state.
    pub(crate) fn record_peer_confirmation(&self, age_ms: Option<u32>) {
        let age = age_ms.map(message::from_millis);
        if age.is_some() && self.trusts_keys(age) {
            *lock(&self.peer_trusted_keys_at) = Some(self.clock.now());
        }
    }

    /// Whether keys can be trusted at a host whose desired state was confirmed `age` ago, or never.
    /// A revoked key must be refused within the revocation bound, if there is one.
    pub(crate) fn trusts_keys(&self, age: Option<clock::Span>) -> bool {
        let Some(bound) = self.settings.node.bounds.revoke else { return true };
        age.is_some_and(|age| age + KEY_AGE_MARGIN <= bound)
    }

    /// Whether another host reported recently that it can trust keys.
    pub(crate) fn peer_trusts_keys(&self) -> bool {
        let at = *lock(&self.peer_trusted_keys_at);
        at.is_some_and(|at| self.clock.now().since(at) <= PEER_REPORT_VALIDITY)
    }

    /// Returns the model engines of all services.
    pub(crate) fn engines(&self) -> Vec<(id::Service, routing::Registration)> {
        let mut engines = Vec::new();
        for (service, service_state) in self.service_states.load().iter() {
            let service_state = lock(service_state);
            engines.extend(
                service_state.placer.engines().map(|entry| (service.clone(), entry.clone())),
            );
        }
        engines
    }

    /// Returns the state of a service; `None` if the desired state does not have the service.
    pub(crate) fn service_state(
        &self,
        service: &id::Service,
    ) -> Option<sync::Arc<sync::Mutex<ServiceState>>> {
        self.service_states.load().get(service).cloned()
    }

    /// Calls `act` with the service's placer and the current time. Returns `None` if the service
    /// does not exist.
    pub(crate) fn with_placer<Act, Output>(&self, service: &id::Service, act: Act) -> Option<Output>
    where
        Act: FnOnce(&mut placement::Placer, clock::Moment) -> Output,
    {
        let service_state = self.service_state(service)?;
        let mut service_state = lock(&service_state);
        Some(act(&mut service_state.placer, self.clock.now()))
    }

    /// Forgets which upstreams could not be reached.
    pub(crate) fn forget_failures(&self) {
        for service_state in self.service_states.load().values() {
            lock(service_state).placer.forget_failures();
        }
    }

    /// Waits until the process has reached `level`.
    pub(crate) async fn wait_for_level(&self, level: SyncLevel) {
        // The sender lives as long as this state, so the wait ends only by a change.
        drop(self.sync_level.subscribe().wait_for(|current| *current >= level).await);
    }

    /// Records that the process has reached `level`; a lower value is ignored.
    pub(crate) fn raise_level(&self, level: SyncLevel) {
        self.sync_level.send_if_modified(|current| {
            let raised = level > *current;
            *current = level.max(*current);
            raised
        });
    }

    /// Waits until the dispatches in flight at other hosts are known, for at most
    /// [`MAX_DISPATCHES_WAIT`].
    pub(crate) async fn wait_for_dispatches(&self) {
        let left = (self.started_at + MAX_DISPATCHES_WAIT).since(self.clock.now());
        // On a timeout the host goes on with what it knows.
        drop(tokio::time::timeout(left, self.wait_for_level(SyncLevel::Dispatches)).await);
    }

    /// Updates the service states after a change of the desired state or of the registered
    /// upstreams. A service that is still listed keeps its state.
    pub(crate) fn refresh_service_states(&self) {
        let Some(table) = self.routing_table() else { return };
        let registry = lock(&self.registry);
        let mut by_service: collections::HashMap<id::Service, Vec<routing::Registration>> =
            table.services().map(|service| (service.name.clone(), Vec::new())).collect();
        for entry in registry.entries() {
            if let Some(entries) = by_service.get_mut(&entry.service) {
                entries.push(entry.clone());
            }
        }
        let listed = registry.entries().count();
        lock(&self.paths).retain(listed, |upstream| registry.is_listed(upstream));
        let known = self.service_states.load_full();
        let mut service_states = ServiceStates::default();
        let mut changed = Vec::new();
        for (service, entries) in by_service {
            let profile = table.service(&service).and_then(|service| service.profile);
            let service_state =
                known.get(&service).cloned().unwrap_or_else(|| self.new_service_state());
            let mut locked = lock(&service_state);
            locked.placer.set_upstreams(&entries, profile);
            let cold_start = table.service(&service).and_then(|service| service.cold_start);
            let now = self.clock.now();
            let changes = locked.placer.update_cold(cold_start, self.cold_bound(), now);
            drop(locked);
            changed.push((service.clone(), changes));
            service_states.insert(service, service_state);
        }
        self.service_states.store(sync::Arc::new(service_states));
        for (service, changes) in &changed {
            self.log_cold(service, changes);
        }
        if self.upstreams_listed.load(atomic::Ordering::Relaxed) {
            self.raise_level(SyncLevel::Tables);
        }
    }

    fn new_service_state(&self) -> sync::Arc<sync::Mutex<ServiceState>> {
        let mut placer = placement::Placer::new(
            self.settings.tuning.placement,
            self.settings.node.zone.clone(),
            self.incarnation,
        );
        placer.set_placing_hosts(self.placing_hosts.load(atomic::Ordering::Relaxed));
        // Until the roster has been asked.
        placer.set_cold_share(0.0, self.clock.now());
        sync::Arc::new(sync::Mutex::new(ServiceState { placer }))
    }

    /// Sets the number of hosts that place requests.
    pub(crate) fn set_placing_hosts(&self, hosts: usize) {
        if self.placing_hosts.swap(hosts, atomic::Ordering::Relaxed) == hosts {
            return;
        }
        for service_state in self.service_states.load().values() {
            lock(service_state).placer.set_placing_hosts(hosts);
        }
    }

    /// Returns the id of a new dispatch.
    pub(crate) fn next_dispatch_id(&self) -> placement::DispatchId {
        let number = self.dispatch_counter.fetch_add(1, atomic::Ordering::Relaxed);
        placement::DispatchId { host: self.incarnation, number }
    }

    /// Whether the process has reached `level`.
    pub(crate) fn has_reached(&self, level: SyncLevel) -> bool {
        *self.sync_level.borrow() >= level
    }

    /// Returns the current phase.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Advances to `phase`; an earlier phase is ignored.
    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            *current = phase.max(*current);
            later
        });
    }

    /// Waits until the process has reached `phase`.
    pub(crate) async fn wait_for_phase(&self, phase: Phase) {
        // The sender lives as long as this state, so the wait ends only by a change.
        drop(self.phase.subscribe().wait_for(|current| *current >= phase).await);
    }

    /// Whether the balancer may send callers to this host.
    pub(crate) fn is_ready(&self) -> bool {
        let listed = self.upstreams_listed.load(atomic::Ordering::Relaxed);
        self.phase() == Phase::Serving && self.routing_table.load().is_some() && listed
    }

    /// Counts a request as active until the guard is dropped.
    pub(crate) fn track_request(self: &sync::Arc<Self>) -> ActiveRequest {
        self.active.send_modify(|count| *count += 1);
        ActiveRequest { state: self.clone() }
    }

    /// Returns a receiver of the number of active requests.
    pub(crate) fn watch_active(&self) -> watch::Receiver<usize> {
        self.active.subscribe()
    }
}

/// Logs a change of the list that came by `way` and is `age` old.
fn log_change(change: &routing::Change, way: tables::Way, age: clock::Span) {
    let line = match change {
        routing::Change::Put(listing) => {
            let entry = &listing.registration;
            event::Line::new("upstream_listed")
                .text("service", &entry.service)
                .text("address", entry.address)
                .number("life", entry.started_ms)
                .number("sequence", listing.sequence)
                .number("leaving", entry.leaving)
        }
        // The row of the upstream was removed, or spoiled.
        routing::Change::Removed { .. } | routing::Change::Invalid { .. } => {
            event::Line::new("upstream_vanished")
        }
    };
    line.text("upstream", change.upstream())
        .revision(change.revision())
        .text("way", way)
        .span("age_ms", age)
        .info();
}

/// Guard of an active request.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    state: sync::Arc<State>,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.state.active.send_modify(|count| *count -= 1);
    }
}

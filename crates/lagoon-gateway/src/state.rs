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
use prost::Message as _;
use rand::Rng;
use tokio::sync::{mpsc, watch};

use crate::event;
use crate::feed;
use crate::mesh;
use crate::metrics;
use crate::peers;
use crate::relay;
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
    pub(crate) board: placement::Board,
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
/// sends them all to the engine that it believes to be idle. The platform's lists are there after
/// some 110 ms, the other hosts' answers 30 ms later; if the platform is slow, callers are not held
/// longer than a request to a busy engine takes.
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
    desks: ArcSwap<Desks>,
    phase: watch::Sender<Phase>,
    active: watch::Sender<usize>,
    dispatches: atomic::AtomicU64,
    hosts: atomic::AtomicUsize,
    /// The other hosts.
    pub(crate) peers: sync::Mutex<peers::Peers>,
    /// Those of this zone, as the relay asks them.
    pub(crate) members: relay::Members,
    /// What this host asked the one that schedules for its zone.
    pub(crate) questions: mesh::Questions,
    words: mpsc::Sender<mesh::Said>,
    socket: net::UdpSocket,
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
        let standing = routing::Standing { zone: node.zone.clone(), cores: node.cpu_share };
        let roster = routing::RosterSettings {
            least_hosts: settings.tuning.relay_hosts,
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
            peers: sync::Mutex::new(peers::Peers::new(roster)),
            members: relay::Members::default(),
            questions: mesh::Questions::default(),
            words,
            socket,
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
        lock(&self.registry).returned(at);
    }

    /// Takes in changes of the list of upstreams.
    pub(crate) fn change_upstreams(&self, changes: Vec<routing::Change>) {
        self.listed.store(true, atomic::Ordering::Relaxed);
        if changes.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut registry = lock(&self.registry);
        for change in changes {
            log_change(&change);
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

    /// What a life of the host at `address`, heard of for the first time, is told of what is under
    /// way: all that this host knows of its own zone, where that is for it to tell.
    pub(crate) fn told_when_met(&self, address: net::SocketAddr) -> Vec<word::Word> {
        let now = self.clock.now();
        let zone = &self.settings.node.zone;
        let peers = lock(&self.peers);
        let roster = &peers.roster;
        if !roster.is_own_shared() {
            drop(peers);
            return self.under_way(|host| host == self.number);
        }
        let follows = peers.is_among(address, &roster.watched(now));
        let near = peers.is_in(address, zone);
        if !roster.is_candidate(now) || near && !follows || !near && !roster.leads(now) {
            return Vec::new();
        }
        let mut lives = peers.lives_in(zone);
        drop(peers);
        lives.insert(self.number);
        self.under_way(|host| near || lives.contains(&host))
    }

    /// What the lives of which `wanted` holds have under way, as words.
    fn under_way<Wanted>(&self, wanted: Wanted) -> Vec<word::Word>
    where
        Wanted: Fn(u64) -> bool,
    {
        let now = self.clock.now();
        let mut words = Vec::new();
        for (service, desk) in self.desks.load().iter() {
            for (work, read) in lock(desk).board.under_way(&wanted) {
                let mut say = |what| words.push(word::Word::about(work.id, service, what));
                say(word::What::Sent(word::Sent::new(work, now)));
                if read {
                    say(word::What::First(word::Nothing {}));
                }
            }
        }
        words
    }

    /// Numbers of the dispatches that each of `lives` has under way, of lives without any too.
    pub(crate) fn numbers(&self, lives: &collections::HashSet<u64>) -> Vec<word::UnderWay> {
        let mut numbers: collections::HashMap<u64, Vec<u64>> =
            lives.iter().map(|life| (*life, Vec::new())).collect();
        for desk in self.desks.load().values() {
            for (work, _) in lock(desk).board.under_way(|host| lives.contains(&host)) {
                numbers.entry(work.id.host).or_default().push(work.id.number);
            }
        }
        let under_way = |(host, numbers)| word::UnderWay { host, numbers };
        numbers.into_iter().map(under_way).collect()
    }

    /// A heartbeat.
    pub(crate) fn heartbeat(&self, under_way: Vec<word::UnderWay>, wants_answer: bool) -> Vec<u8> {
        let node = &self.settings.node;
        let beat = word::Beat {
            host: node.host.to_string(),
            zone: node.zone.to_string(),
            cores: node.cpu_share,
            under_way,
            wants_answer,
        };
        self.batch(word::Batch { beat: Some(beat), ..word::Batch::default() })
    }

    /// The datagram of `batch`, said by this life.
    pub(crate) fn batch(&self, batch: word::Batch) -> Vec<u8> {
        let confirmed_ms = self.confirmation_age().map(word::millis);
        word::Batch { host: self.number, confirmed_ms, ..batch }.encode_to_vec()
    }

    /// The datagrams that carry `words` to the other hosts.
    pub(crate) fn datagrams(&self, words: Vec<word::Word>) -> Vec<Vec<u8>> {
        word::Batch::datagrams(self.number, self.confirmation_age(), words)
    }

    /// Sends `datagrams` to a host. One that cannot be sent now is lost, which costs only efficiency.
    pub(crate) fn send(&self, address: net::SocketAddr, datagrams: &[Vec<u8>]) {
        for datagram in datagrams {
            if self.socket.send_to(datagram, address).is_err() {
                self.metrics.words_lost.inc();
            }
        }
    }

    /// Where the hosts of this zone, and those of others, hear words that are to know what is under
    /// way.
    pub(crate) fn reached(&self) -> (Vec<net::SocketAddr>, Vec<net::SocketAddr>) {
        let now = self.clock.now();
        let peers = lock(&self.peers);
        (peers.near(now), peers.far(now))
    }

    /// Whether this host tells other zones what the host at `address` says.
    pub(crate) fn relays_for(&self, address: net::SocketAddr) -> bool {
        let now = self.clock.now();
        let peers = lock(&self.peers);
        let shared = peers.roster.is_own_shared();
        shared && peers.roster.leads(now) && peers.is_in(address, &self.settings.node.zone)
    }

    /// Another host told how old its confirmation of the desired state is.
    pub(crate) fn heard_confirmation(&self, age_ms: Option<u32>) {
        let age = age_ms.map(|age_ms| clock::Span::from_millis(u64::from(age_ms)));
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
    pub(crate) fn engines(&self) -> Vec<(id::Service, routing::Entry)> {
        let mut engines = Vec::new();
        for (service, desk) in self.desks.load().iter() {
            let desk = lock(desk);
            engines.extend(desk.board.engines().map(|entry| (service.clone(), entry.clone())));
        }
        engines
    }

    /// A life of a host ended: what it had under way is over.
    pub(crate) fn forget_life(&self, life: u64) {
        self.keep_only(life, &collections::HashSet::new(), clock::Span::ZERO);
    }

    /// All that `life` has under way are the dispatches `numbers`: others of it that were heard of
    /// longer than `span` ago are over. Other zones are told by the host that schedules for this one.
    pub(crate) fn keep_only(
        &self,
        life: u64,
        numbers: &collections::HashSet<u64>,
        span: clock::Span,
    ) {
        let now = self.clock.now();
        let peers = lock(&self.peers);
        let shared = peers.roster.is_own_shared();
        let tells = shared
            && peers.roster.leads(now)
            && peers.lives_in(&self.settings.node.zone).contains(&life);
        drop(peers);
        for (service, desk) in self.desks.load().iter() {
            let over = lock(desk).board.keep_only(life, numbers, now.before(span), now);
            for id in over.into_iter().filter(|_| tells) {
                let ended = word::What::Ended(word::Nothing {});
                self.say(word::Word::about(id, service, ended), mesh::Reach::Far);
            }
        }
    }

    /// What is decided for a service.
    pub(crate) fn desk(&self, service: &id::Service) -> Option<sync::Arc<sync::Mutex<Desk>>> {
        self.desks.load().get(service).cloned()
    }

    /// Tells the board of a service what happened, at this moment; a service that is gone has none.
    pub(crate) fn with_board<Act, Told>(&self, service: &id::Service, act: Act) -> Option<Told>
    where
        Act: FnOnce(&mut placement::Board, clock::Moment) -> Told,
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
        let mut by_service: collections::HashMap<id::Service, Vec<routing::Entry>> =
            table.services().map(|service| (service.name.clone(), Vec::new())).collect();
        for entry in registry.entries() {
            if let Some(entries) = by_service.get_mut(&entry.service) {
                entries.push(entry.clone());
            }
        }
        let known = self.desks.load_full();
        let mut desks = Desks::default();
        for (service, entries) in by_service {
            let pace = table.service(&service).and_then(|service| service.pace);
            let desk = known.get(&service).cloned().unwrap_or_else(|| self.new_desk());
            lock(&desk).board.set_upstreams(&entries, pace);
            desks.insert(service, desk);
        }
        self.desks.store(sync::Arc::new(desks));
        if self.listed.load(atomic::Ordering::Relaxed) {
            self.learn(Knowledge::Lists);
        }
    }

    fn new_desk(&self) -> sync::Arc<sync::Mutex<Desk>> {
        let board =
            placement::Board::new(self.settings.tuning.placement, self.settings.node.zone.clone());
        let mut budget = retry::Budget::default();
        let hosts = self.hosts.load(atomic::Ordering::Relaxed);
        budget.share_slack(self.settings.node.bounds.retry_slack, hosts);
        sync::Arc::new(sync::Mutex::new(Desk { board, budget }))
    }

    /// There are so many entry hosts, this one included.
    pub(crate) fn set_hosts(&self, hosts: usize) {
        if self.hosts.swap(hosts, atomic::Ordering::Relaxed) == hosts {
            return;
        }
        let slack = self.settings.node.bounds.retry_slack;
        for desk in self.desks.load().values() {
            lock(desk).budget.share_slack(slack, hosts);
        }
    }

    /// The id of a new dispatch.
    pub(crate) fn next_work(&self) -> placement::WorkId {
        let number = self.dispatches.fetch_add(1, atomic::Ordering::Relaxed);
        placement::WorkId { host: self.number, number }
    }

    /// Tells what happened to a dispatch of this host: in a zone in which one host schedules for the
    /// others, that host tells other zones.
    pub(crate) fn tell(&self, word: word::Word) {
        let peers = lock(&self.peers);
        let near = peers.roster.is_own_shared() && !peers.roster.leads(self.clock.now());
        drop(peers);
        self.say(word, if near { mesh::Reach::Near } else { mesh::Reach::All });
    }

    /// A dispatch of this host will not be made, or is over.
    pub(crate) fn say_ended(&self, service: &id::Service, id: placement::WorkId) {
        self.tell(word::Word::new(id.number, service, word::What::Ended(word::Nothing {})));
    }

    /// Says a word to those in `reach`. A full channel loses it, which costs them only efficiency.
    pub(crate) fn say(&self, word: word::Word, reach: mesh::Reach) {
        if self.words.try_send(mesh::Said { word, reach }).is_err() {
            self.metrics.words_lost.inc();
        }
    }

    /// A request showed how an upstream of `service` fares. In a zone in which one host schedules
    /// for the others, it is told.
    ///
    /// Load pattern: engines crash beside hundreds of hosts with two requests a second each. If each
    /// host had to find out by itself, each crash would cost hundreds of requests.
    pub(crate) fn saw(&self, service: &id::Service, seen: word::Seen) {
        self.with_board(service, |board, now| seen.note(board, now));
        if lock(&self.peers).roster.is_own_shared() {
            let word = word::Word::new(0, service, word::What::Seen(seen));
            self.say(word, mesh::Reach::Near);
        }
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

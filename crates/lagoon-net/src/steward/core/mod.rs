//! State of a steward, and what each message does to it.

mod brief;
mod document;
mod message;
mod report;
mod spending;
mod traffic;

use std::collections;
use std::sync;
use std::sync::atomic;

use lagoonline::clock;
use lagoonline::clock::Clock;
use lagoonline::control::delta_log;
use lagoonline::control::ledger;
use lagoonline::control::membership;
use lagoonline::control::mesh;
use lagoonline::control::rendezvous;
use lagoonline::control::replication;
use lagoonline::id;
use lagoonline::port::engine;
use lagoonline::view;
use tokio::sync::mpsc;

use super::orders;
use super::settings;
use crate::link;
use crate::wire;
pub(in crate::steward) use brief::Room;

/// Messages that may wait on one link: beyond it the link is closed, and the next one brings the
/// whole state again.
pub(in crate::steward) const LINK_QUEUE: usize = 1_024;

/// Age below which a link is kept though the mesh does not want it.
const LINK_GRACE: clock::Span = clock::Span::from_secs(10);

/// What a steward counts.
#[derive(Debug, Default)]
pub struct Counters {
    /// Datagrams sent.
    pub datagrams_sent: atomic::AtomicU64,
    /// Bytes of datagrams sent, without headers below UDP.
    pub datagram_bytes_sent: atomic::AtomicU64,
    /// Datagrams refused: wrong tag, too old, or sent again.
    pub datagrams_refused: atomic::AtomicU64,
    /// Frames sent on links.
    pub frames_sent: atomic::AtomicU64,
    /// Bytes of frames sent on links, entry process included.
    pub frame_bytes_sent: atomic::AtomicU64,
    /// Bytes of frames sent to other hosts.
    pub peer_bytes_sent: atomic::AtomicU64,
    /// Bytes of frames received from other hosts.
    pub peer_bytes_received: atomic::AtomicU64,
    /// Frames sent to other hosts.
    pub peer_frames_sent: atomic::AtomicU64,
    /// Frames received from other hosts.
    pub peer_frames_received: atomic::AtomicU64,
    /// Bytes of datagrams received, without headers below UDP.
    pub datagram_bytes_received: atomic::AtomicU64,
    /// Datagrams received.
    pub datagrams_received: atomic::AtomicU64,
    /// Bytes of frames sent to other hosts, by kind of message: see [`PEER_MESSAGE_KINDS`].
    pub kind_bytes_sent: [atomic::AtomicU64; PEER_MESSAGE_KINDS.len()],
    /// Connections refused.
    pub connections_refused: atomic::AtomicU64,
    /// Sections applied.
    pub sections_applied: atomic::AtomicU64,
    /// Changes of sections that did not fit what was in force: whole texts were asked for.
    pub deltas_refused: atomic::AtomicU64,
    /// Members held to be dead.
    pub members_declared_dead: atomic::AtomicU64,
    /// Orders that were written after their lease had ended.
    pub late_commands: atomic::AtomicU64,
    /// Holdings of dead owners that engines gave back.
    pub holdings_released: atomic::AtomicU64,
    /// Failed calls of the platform.
    pub platform_failures: atomic::AtomicU64,
}

/// Kinds of messages that stewards send each other.
pub const PEER_MESSAGE_KINDS: [&str; 6] =
    ["digest", "sections", "loads", "marks", "members", "statuses"];

/// Place of a message's kind in [`PEER_MESSAGE_KINDS`]; kinds that no host sends another: none.
pub(in crate::steward) fn kind(body: &wire::Body) -> Option<usize> {
    let name = match body {
        wire::Body::Digest(_) => "digest",
        wire::Body::Sections(_) => "sections",
        wire::Body::Loads(_) => "loads",
        wire::Body::Marks(_) => "marks",
        wire::Body::Members(_) => "members",
        wire::Body::Statuses(_) => "statuses",
        wire::Body::Challenge(_)
        | wire::Body::Hello(_)
        | wire::Body::Heartbeat(_)
        | wire::Body::Spending(_)
        | wire::Body::Status(_)
        | wire::Body::Call(_)
        | wire::Body::Reply(_) => return None,
    };
    PEER_MESSAGE_KINDS.iter().position(|kind| *kind == name)
}

impl Counters {
    pub(in crate::steward) fn add(counter: &atomic::AtomicU64, number: u64) {
        counter.fetch_add(number, atomic::Ordering::Relaxed);
    }
}

/// One connection.
pub(in crate::steward) struct Link {
    pub(in crate::steward) peer: link::Peer,
    sender: mpsc::Sender<wire::Body>,
    versions: replication::Versions,
    has_digest: bool,
    is_dialed: bool,
    opened: clock::Moment,
}

/// Names a connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(in crate::steward) struct LinkId(u64);

/// What the platform said last.
#[derive(Default)]
struct Platform {
    head: Option<replication::Versions>,
    failed: bool,
}

/// State of a steward.
pub(in crate::steward) struct Core {
    pub(in crate::steward) group: membership::Group,
    pub(in crate::steward) replica: replication::Replica,
    delta_log: delta_log::DeltaLog,
    pub(in crate::steward) board: replication::Reports,
    pub(in crate::steward) fleet: view::Shared,
    pub(in crate::steward) counters: sync::Arc<Counters>,
    pub(in crate::steward) complete: bool,
    pub(in crate::steward) loads: collections::BTreeMap<id::Upstream, Observed>,
    pub(in crate::steward) marks: collections::BTreeMap<id::Upstream, wire::Mark>,
    /// Whose the time of each engine is, by the sections in force.
    pub(in crate::steward) accounts: collections::BTreeMap<id::Upstream, ledger::Attribution>,
    /// What was last seen and decided of each engine that orders went to.
    pub(in crate::steward) orders: collections::BTreeMap<id::Upstream, orders::Line>,
    /// Loads that other hosts of the zone are to hear of, and who has told them already.
    untold: collections::BTreeMap<id::Upstream, collections::BTreeSet<id::Host>>,
    /// The upstream that heartbeats told of last.
    told: id::Upstream,
    /// Upstreams in a new life, to be told in full, and the link that each came by.
    lives: collections::BTreeMap<id::Upstream, Option<LinkId>>,
    /// Upstreams by the codes of their names; `None` where two share one.
    codes: collections::HashMap<u32, Option<id::Upstream>>,
    spending: spending::Spending,
    reports: report::Reports,
    /// Dead stewards whose rows were removed from the table.
    pub(in crate::steward) removed: collections::BTreeSet<id::Host>,
    pub(in crate::steward) dialing: collections::BTreeSet<id::Host>,
    links: collections::BTreeMap<LinkId, Link>,
    platform: Platform,
    pull: Option<clock::Moment>,
    next_link: u64,
    began: clock::Moment,
    clock: clock::System,
}

/// A load and when it was read.
#[derive(Clone, Copy, Debug)]
pub(in crate::steward) struct Observed {
    pub(in crate::steward) load: engine::Load,
    pub(in crate::steward) read: clock::Moment,
    told: engine::Load,
    told_at: clock::Moment,
}

impl Core {
    pub(in crate::steward) fn new(
        own: membership::Member,
        settings: &settings::Settings,
        counters: sync::Arc<Counters>,
        clock: clock::System,
    ) -> Self {
        let now = clock.now();
        Core {
            spending: spending::Spending::new(own.incarnation),
            group: membership::Group::new(own, settings.membership, now),
            replica: replication::Replica::default(),
            delta_log: delta_log::DeltaLog::default(),
            board: replication::Reports::default(),
            fleet: view::Shared::default(),
            counters,
            complete: false,
            loads: collections::BTreeMap::new(),
            marks: collections::BTreeMap::new(),
            accounts: collections::BTreeMap::new(),
            orders: collections::BTreeMap::new(),
            untold: collections::BTreeMap::new(),
            told: id::Upstream::default(),
            lives: collections::BTreeMap::new(),
            codes: collections::HashMap::new(),
            reports: report::Reports::default(),
            removed: collections::BTreeSet::new(),
            dialing: collections::BTreeSet::new(),
            links: collections::BTreeMap::new(),
            platform: Platform::default(),
            pull: None,
            next_link: 0,
            began: now,
            clock,
        }
    }

    pub(in crate::steward) fn zone(&self) -> &id::Zone {
        &self.group.own().zone
    }

    /// Whether this steward is the one of its zone that looks after `thing`.
    pub(in crate::steward) fn owns(&self, thing: &str) -> bool {
        let own = &self.group.own();
        rendezvous::choose(self.group.live_in(&own.zone), thing) == Some(own.host.as_str())
    }

    /// Takes a new link in, and tells the other side what is known here.
    pub(in crate::steward) fn open(
        &mut self,
        peer: link::Peer,
        is_dialed: bool,
    ) -> (LinkId, mpsc::Receiver<wire::Body>) {
        let (sender, receiver) = mpsc::channel(LINK_QUEUE);
        self.next_link += 1;
        let name = LinkId(self.next_link);
        let role = peer.role;
        let (versions, has_digest) = (replication::Versions::new(), false);
        let opened = self.clock.now();
        let link = Link { peer, sender, versions, has_digest, is_dialed, opened };
        self.links.insert(name, link);
        match role {
            wire::Role::Steward => self.greet_steward(name),
            wire::Role::Entry => self.greet_entry(name),
            wire::Role::Operator | wire::Role::Unspecified => {}
        }
        (name, receiver)
    }

    fn greet_steward(&mut self, name: LinkId) {
        let members = wire::members(&self.group.roster().updates());
        self.send(name, wire::Body::Members(members));
        self.send(name, self.digest());
        self.send(name, self.statuses());
        let marks = self.marks.values().cloned().collect();
        self.send(name, wire::Body::Marks(wire::Marks { marks }));
        self.send_loads(name);
    }

    fn send_loads(&mut self, name: LinkId) {
        let now = self.clock.now();
        let load = |(upstream, observed): (&id::Upstream, &Observed)| {
            wire::load(upstream, &observed.load, age_ms(now, observed.read))
        };
        let loads = self.loads.iter().map(load).collect();
        self.send(name, wire::Body::Loads(wire::Loads { loads }));
    }

    fn greet_entry(&mut self, name: LinkId) {
        self.send(name, self.digest());
        let sections = self.replica.sections().map(|section| wire::section(section)).collect();
        let sections = wire::Sections { sections, complete: self.complete };
        self.send(name, wire::Body::Sections(sections));
        self.send_loads(name);
        let marks = self.marks.values().cloned().collect();
        self.send(name, wire::Body::Marks(wire::Marks { marks }));
    }

    pub(in crate::steward) fn close(&mut self, name: LinkId) {
        let Some(link) = self.links.remove(&name) else { return };
        if link.peer.role != wire::Role::Entry {
            return;
        }
        let host = id::Host::from(link.peer.sender);
        let Some(report) = self.board.report(&host) else { return };
        log::warn!("entry process of {host} is gone");
        let report = replication::Report { ready: false, ..report.clone() };
        self.take_own_report(&host, report);
    }

    pub(in crate::steward) fn send(&mut self, name: LinkId, body: wire::Body) {
        let Some(link) = self.links.get(&name) else { return };
        // A peer that does not read is dropped; it gets the whole state when it comes back.
        if link.sender.try_send(body).is_err() {
            self.links.remove(&name);
        }
    }

    pub(super) fn send_all<F>(&mut self, body: &wire::Body, wanted: F)
    where
        F: Fn(LinkId, &Link) -> bool,
    {
        let links = self.links.iter().filter(|(name, link)| wanted(**name, link));
        let names: Vec<LinkId> = links.map(|(name, _)| *name).collect();
        for name in names {
            self.send(name, body.clone());
        }
    }

    pub(in crate::steward) fn is_linked(&self, host: &id::Host) -> bool {
        let linked = |link: &Link| {
            link.peer.role == wire::Role::Steward && link.peer.sender == host.as_str()
        };
        self.links.values().any(linked)
    }

    /// Closes links that this side made and that the mesh no longer wants: else, as hosts come and
    /// go, links and the messages on them would grow without end.
    pub(in crate::steward) fn prune(&mut self) {
        let now = self.clock.now();
        let wanted = mesh::link_targets(&self.group);
        let is_wanted = |link: &Link| wanted.iter().any(|host| link.peer.sender == host.as_str());
        if !self.links.values().any(is_wanted) {
            return;
        }
        self.links.retain(|_, link| {
            !link.is_dialed || is_wanted(link) || now.since(link.opened) < LINK_GRACE
        });
    }

    pub(in crate::steward) fn steward_links(&self) -> usize {
        self.links.values().filter(|link| link.peer.role == wire::Role::Steward).count()
    }
}

fn age_ms(now: clock::Moment, read: clock::Moment) -> u64 {
    u64::try_from(now.since(read).as_millis()).unwrap_or(u64::MAX)
}

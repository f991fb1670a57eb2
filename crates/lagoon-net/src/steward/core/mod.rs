//! State of a steward, and the handlers that apply messages to it.

mod document;
mod message;
mod payload;
mod report;
mod spending;
mod upstream;

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

use super::reconcile;
use super::settings;
use crate::link;
use crate::wire;
pub(in crate::steward) use payload::Payload;

/// Outgoing messages that one link queues. When the queue is full the link is closed; the link that
/// replaces it starts with the full state.
pub(in crate::steward) const LINK_QUEUE: usize = 1_024;

/// Minimum age of a dialed link before it is closed because the mesh does not need it. Links to
/// configured peers and to dead members may be outside the mesh; they need time to exchange the
/// membership.
const LINK_GRACE: clock::Span = clock::Span::from_secs(10);

/// Counters of a steward.
#[derive(Debug, Default)]
pub struct Counters {
    /// Datagrams sent.
    pub datagrams_sent: atomic::AtomicU64,
    /// Bytes of datagrams sent, without headers below UDP.
    pub datagram_bytes_sent: atomic::AtomicU64,
    /// Datagrams rejected: wrong tag, too old, or replayed.
    pub datagrams_refused: atomic::AtomicU64,
    /// Frames sent on links.
    pub frames_sent: atomic::AtomicU64,
    /// Bytes of frames sent on all links, including the link to the entry process.
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
    /// Incoming connections that failed the handshake.
    pub connections_refused: atomic::AtomicU64,
    /// Section versions applied.
    pub sections_applied: atomic::AtomicU64,
    /// Section deltas that did not fit the version in force; the full texts were requested.
    pub deltas_refused: atomic::AtomicU64,
    /// Members declared dead.
    pub members_declared_dead: atomic::AtomicU64,
    /// Engine commands that were still being sent when their lease expired.
    pub late_commands: atomic::AtomicU64,
    /// Holdings of dead owners that engines released.
    pub holdings_released: atomic::AtomicU64,
    /// Failed reads of the document from the platform.
    pub platform_failures: atomic::AtomicU64,
}

/// Kinds of messages between stewards, in the order of [`Counters::kind_bytes_sent`].
pub const PEER_MESSAGE_KINDS: [&str; 6] =
    ["digest", "sections", "loads", "marks", "members", "statuses"];

/// Returns the index of a message's kind in [`PEER_MESSAGE_KINDS`]; `None` for messages that
/// stewards do not send each other.
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

/// An open link to a steward, an entry process or an operator.
pub(in crate::steward) struct Link {
    pub(in crate::steward) peer: link::Peer,
    sender: mpsc::Sender<wire::Body>,
    /// Section versions that the peer has, or that were sent to it.
    versions: replication::Versions,
    /// Whether the peer has sent a digest.
    has_digest: bool,
    /// Whether this side opened the connection.
    is_dialed: bool,
    opened_at: clock::Moment,
}

/// Identifies a link within this process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(in crate::steward) struct LinkId(u64);

/// Result of the last reads of the platform.
#[derive(Default)]
struct PlatformReads {
    /// Versions in the document's head row that was read last: the newest version of each section.
    head: Option<replication::Versions>,
    /// Whether any read has failed.
    failed: bool,
}

/// State of a steward, shared by its tasks.
pub(in crate::steward) struct Core {
    pub(in crate::steward) group: membership::Group,
    pub(in crate::steward) replica: replication::Replica,
    delta_log: delta_log::DeltaLog,
    /// Reports of the entry processes of the zone.
    pub(in crate::steward) entry_reports: replication::Reports,
    /// The sections in force, merged.
    pub(in crate::steward) fleet: view::Shared,
    pub(in crate::steward) counters: sync::Arc<Counters>,
    /// Whether the document is complete: see [`Core::check_complete`].
    pub(in crate::steward) complete: bool,
    /// Last known load of each upstream of the zone.
    pub(in crate::steward) loads: collections::BTreeMap<id::Upstream, Observed>,
    /// Leaving marks, by the name of an upstream or of an entry host.
    pub(in crate::steward) marks: collections::BTreeMap<id::Upstream, wire::Mark>,
    /// Who the time of each engine is attributed to, by the sections in force.
    pub(in crate::steward) attributions: collections::BTreeMap<id::Upstream, ledger::Attribution>,
    /// Last observed state and decision for each engine that this steward sends commands to.
    pub(in crate::steward) engine_status:
        collections::BTreeMap<id::Upstream, reconcile::EngineStatus>,
    /// Loads to be sent to other hosts of the zone, with the hosts that have them already.
    pending_loads: collections::BTreeMap<id::Upstream, collections::BTreeSet<id::Host>>,
    /// Upstream whose load was sent last; the next heartbeat continues after it.
    last_sent_load: id::Upstream,
    /// Upstreams whose full load is to be sent, because their incarnation is new or their name code
    /// is not unique, and the link that each load came from.
    pending_full_loads: collections::BTreeMap<id::Upstream, Option<LinkId>>,
    /// Upstreams by the hash codes of their names; `None` where two names collide.
    name_codes: collections::HashMap<u32, Option<id::Upstream>>,
    spending: spending::State,
    report_outbox: report::Outbox,
    /// Dead stewards whose rows are already removed from the table.
    pub(in crate::steward) removed_rows: collections::BTreeSet<id::Host>,
    /// Hosts to which a connection is being opened; for a configured peer the text of its address.
    pub(in crate::steward) dialing: collections::BTreeSet<id::Host>,
    links: collections::BTreeMap<LinkId, Link>,
    platform: PlatformReads,
    /// Time of the last request for missing sections; `None` after sections were applied.
    sections_requested_at: Option<clock::Moment>,
    next_link: u64,
    started_at: clock::Moment,
    clock: clock::System,
}

/// The load of an upstream, and the load that was last announced to other hosts.
#[derive(Clone, Copy, Debug)]
pub(in crate::steward) struct Observed {
    pub(in crate::steward) load: engine::LoadReport,
    pub(in crate::steward) read_at: clock::Moment,
    announced: engine::LoadReport,
    announced_at: clock::Moment,
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
            spending: spending::State::new(own.incarnation),
            group: membership::Group::new(own, settings.membership, now),
            replica: replication::Replica::default(),
            delta_log: delta_log::DeltaLog::default(),
            entry_reports: replication::Reports::default(),
            fleet: view::Shared::default(),
            counters,
            complete: false,
            loads: collections::BTreeMap::new(),
            marks: collections::BTreeMap::new(),
            attributions: collections::BTreeMap::new(),
            engine_status: collections::BTreeMap::new(),
            pending_loads: collections::BTreeMap::new(),
            last_sent_load: id::Upstream::default(),
            pending_full_loads: collections::BTreeMap::new(),
            name_codes: collections::HashMap::new(),
            report_outbox: report::Outbox::default(),
            removed_rows: collections::BTreeSet::new(),
            dialing: collections::BTreeSet::new(),
            links: collections::BTreeMap::new(),
            platform: PlatformReads::default(),
            sections_requested_at: None,
            next_link: 0,
            started_at: now,
            clock,
        }
    }

    pub(in crate::steward) fn zone(&self) -> &id::Zone {
        &self.group.own().zone
    }

    /// Whether rendezvous hashing assigns `name` to this steward among the live ones of its zone.
    pub(in crate::steward) fn is_assigned(&self, name: &str) -> bool {
        let own = &self.group.own();
        rendezvous::choose(self.group.live_in(&own.zone), name) == Some(own.host.as_str())
    }

    /// Registers a new link and sends the peer the state that it needs.
    pub(in crate::steward) fn add_link(
        &mut self,
        peer: link::Peer,
        is_dialed: bool,
    ) -> (LinkId, mpsc::Receiver<wire::Body>) {
        let (sender, receiver) = mpsc::channel(LINK_QUEUE);
        self.next_link += 1;
        let link_id = LinkId(self.next_link);
        let role = peer.role;
        let (versions, has_digest) = (replication::Versions::new(), false);
        let opened_at = self.clock.now();
        let link = Link { peer, sender, versions, has_digest, is_dialed, opened_at };
        self.links.insert(link_id, link);
        match role {
            wire::Role::Steward => self.init_steward_link(link_id),
            wire::Role::Entry => self.init_entry_link(link_id),
            wire::Role::Operator | wire::Role::Unspecified => {}
        }
        (link_id, receiver)
    }

    /// Sends the state that a newly linked steward needs.
    fn init_steward_link(&mut self, link_id: LinkId) {
        let members = wire::encode_members(&self.group.roster().updates());
        self.send(link_id, wire::Body::Members(members));
        self.send(link_id, self.digest());
        self.send(link_id, self.zone_reports());
        let marks = self.marks.values().cloned().collect();
        self.send(link_id, wire::Body::Marks(wire::Marks { marks }));
        self.send_loads(link_id);
    }

    fn send_loads(&mut self, link_id: LinkId) {
        let now = self.clock.now();
        let load = |(upstream, observed): (&id::Upstream, &Observed)| {
            wire::encode_load(upstream, &observed.load, age_ms(now, observed.read_at))
        };
        let loads = self.loads.iter().map(load).collect();
        self.send(link_id, wire::Body::Loads(wire::Loads { loads }));
    }

    /// Sends the state that a newly linked entry process needs.
    fn init_entry_link(&mut self, link_id: LinkId) {
        self.send(link_id, self.digest());
        let sections =
            self.replica.sections().map(|section| wire::encode_section(section)).collect();
        let sections = wire::Sections { sections, complete: self.complete };
        self.send(link_id, wire::Body::Sections(sections));
        self.send_loads(link_id);
        let marks = self.marks.values().cloned().collect();
        self.send(link_id, wire::Body::Marks(wire::Marks { marks }));
    }

    /// Removes a closed link. The report of a disconnected entry process becomes unready.
    pub(in crate::steward) fn remove_link(&mut self, link_id: LinkId) {
        let Some(link) = self.links.remove(&link_id) else { return };
        if link.peer.role != wire::Role::Entry {
            return;
        }
        let host = id::Host::from(link.peer.sender);
        let Some(report) = self.entry_reports.report(&host) else { return };
        log::warn!("entry process of {host} disconnected");
        let report = replication::Report { ready: false, ..report.clone() };
        self.apply_own_report(&host, report);
    }

    pub(in crate::steward) fn send(&mut self, link_id: LinkId, body: wire::Body) {
        let Some(link) = self.links.get(&link_id) else { return };
        // A peer that does not read is disconnected; it gets the full state when it reconnects.
        if link.sender.try_send(body).is_err() {
            self.links.remove(&link_id);
        }
    }

    /// Sends a message on all links that match `filter`.
    pub(super) fn send_all<F>(&mut self, body: &wire::Body, filter: F)
    where
        F: Fn(LinkId, &Link) -> bool,
    {
        let links = self.links.iter().filter(|(link_id, link)| filter(**link_id, link));
        let link_ids: Vec<LinkId> = links.map(|(link_id, _)| *link_id).collect();
        for link_id in link_ids {
            self.send(link_id, body.clone());
        }
    }

    pub(in crate::steward) fn is_linked(&self, host: &id::Host) -> bool {
        let linked = |link: &Link| {
            link.peer.role == wire::Role::Steward && link.peer.sender == host.as_str()
        };
        self.links.values().any(linked)
    }

    /// Closes links that this side dialed and the mesh does not need, unless no link of the mesh is
    /// open. Without this, links and the messages on them grow without bound as hosts join and
    /// leave.
    pub(in crate::steward) fn close_unneeded_links(&mut self) {
        let now = self.clock.now();
        let targets = mesh::link_targets(&self.group);
        let is_needed = |link: &Link| targets.iter().any(|host| link.peer.sender == host.as_str());
        if !self.links.values().any(is_needed) {
            return;
        }
        self.links.retain(|_, link| {
            !link.is_dialed || is_needed(link) || now.since(link.opened_at) < LINK_GRACE
        });
    }

    pub(in crate::steward) fn steward_links(&self) -> usize {
        self.links.values().filter(|link| link.peer.role == wire::Role::Steward).count()
    }
}

fn age_ms(now: clock::Moment, read_at: clock::Moment) -> u64 {
    u64::try_from(now.since(read_at).as_millis()).unwrap_or(u64::MAX)
}

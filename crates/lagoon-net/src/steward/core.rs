//! State of a steward, and what each message does to it.

use std::collections;
use std::sync;
use std::sync::atomic;

use lagoonline::clock;
use lagoonline::clock::Clock;
use lagoonline::control::document;
use lagoonline::control::membership;
use lagoonline::control::mesh;
use lagoonline::control::owner;
use lagoonline::control::spread;
use lagoonline::id;
use lagoonline::port::engine;
use lagoonline::port::hosts;
use lagoonline::view;
use tokio::sync::mpsc;

use super::settings;
use crate::link;
use crate::wire;

/// Messages that may wait on one link: beyond it the link is closed, and the next one brings the
/// whole state again.
pub(super) const LINK_QUEUE: usize = 1_024;

/// Time after which sections that were asked of a peer are asked of another.
const PULL_TIME: clock::Span = clock::Span::from_secs(1);

/// Age below which a link is kept though the mesh does not want it.
const LINK_GRACE: clock::Span = clock::Span::from_secs(10);

/// Time that a newcomer gives the platform before the peers' word is enough.
const PLATFORM_TIME: clock::Span = clock::Span::from_millis(1_500);

/// Time between two messages on an upstream's load to other hosts, if it changed little.
const LOAD_REFRESH: clock::Span = clock::Span::from_secs(5);

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
    /// Connections refused.
    pub connections_refused: atomic::AtomicU64,
    /// Sections applied.
    pub sections_applied: atomic::AtomicU64,
    /// Members held to be dead.
    pub deaths: atomic::AtomicU64,
    /// Failed calls of the platform.
    pub platform_failures: atomic::AtomicU64,
}

impl Counters {
    pub(super) fn add(counter: &atomic::AtomicU64, number: u64) {
        counter.fetch_add(number, atomic::Ordering::Relaxed);
    }
}

/// One connection.
pub(super) struct Link {
    pub(super) peer: link::Peer,
    sender: mpsc::Sender<wire::Body>,
    versions: spread::Versions,
    has_digest: bool,
    is_dialed: bool,
    opened: clock::Moment,
}

/// Names a connection.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct LinkId(u64);

/// What the platform said last.
#[derive(Default)]
struct Platform {
    head: Option<spread::Versions>,
    failed: bool,
}

/// State of a steward.
pub(super) struct Core {
    pub(super) group: membership::Group,
    pub(super) replica: spread::Replica,
    pub(super) board: spread::Board,
    pub(super) fleet: view::Shared,
    pub(super) counters: sync::Arc<Counters>,
    pub(super) complete: bool,
    pub(super) loads: collections::BTreeMap<id::Upstream, Observed>,
    pub(super) marks: collections::BTreeMap<id::Upstream, wire::Mark>,
    /// Dead stewards whose rows were removed from the table.
    pub(super) removed: collections::BTreeSet<id::Host>,
    pub(super) dialing: collections::BTreeSet<id::Host>,
    links: collections::BTreeMap<LinkId, Link>,
    spent: collections::HashMap<String, (u64, u64)>,
    platform: Platform,
    pull: Option<clock::Moment>,
    next_link: u64,
    began: clock::Moment,
    clock: clock::Host,
}

/// A load and when it was read.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observed {
    pub(super) load: engine::Load,
    pub(super) read: clock::Moment,
    told: engine::Load,
    told_at: clock::Moment,
}

impl Core {
    pub(super) fn new(
        own: membership::Member,
        settings: &settings::Settings,
        counters: sync::Arc<Counters>,
        clock: clock::Host,
    ) -> Self {
        let now = clock.now();
        Core {
            group: membership::Group::new(own, settings.membership, now),
            replica: spread::Replica::default(),
            board: spread::Board::default(),
            fleet: view::Shared::default(),
            counters,
            complete: false,
            loads: collections::BTreeMap::new(),
            marks: collections::BTreeMap::new(),
            removed: collections::BTreeSet::new(),
            dialing: collections::BTreeSet::new(),
            links: collections::BTreeMap::new(),
            spent: collections::HashMap::new(),
            platform: Platform::default(),
            pull: None,
            next_link: 0,
            began: now,
            clock,
        }
    }

    pub(super) fn zone(&self) -> &id::Zone {
        &self.group.own().zone
    }

    /// Whether this steward is the one of its zone that looks after `thing`.
    pub(super) fn owns(&self, thing: &str) -> bool {
        let own = &self.group.own();
        owner::choose(self.group.live_in(&own.zone), thing) == Some(own.host.as_str())
    }

    // Links.

    /// Takes a new link in, and tells the other side what is known here.
    pub(super) fn open(
        &mut self,
        peer: link::Peer,
        is_dialed: bool,
    ) -> (LinkId, mpsc::Receiver<wire::Body>) {
        let (sender, receiver) = mpsc::channel(LINK_QUEUE);
        self.next_link += 1;
        let name = LinkId(self.next_link);
        let role = peer.role;
        let (versions, has_digest) = (spread::Versions::new(), false);
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
        let members = wire::members(&self.group.roster().news());
        self.send(name, wire::Body::Members(members));
        self.send(name, self.digest());
        let reports = self.board.reports().filter(|(_, report)| report.zone == *self.zone());
        let statuses: Vec<_> = reports.map(|(host, report)| wire::status(host, report)).collect();
        for status in statuses {
            self.send(name, wire::Body::Status(status));
        }
        let marks = self.marks.values().cloned().collect();
        self.send(name, wire::Body::Marks(wire::Marks { marks }));
    }

    fn greet_entry(&mut self, name: LinkId) {
        self.send(name, self.digest());
        let sections = self.replica.sections().map(|section| wire::section(section)).collect();
        let sections = wire::Sections { sections, complete: self.complete };
        self.send(name, wire::Body::Sections(sections));
        let now = self.clock.now();
        let load = |(upstream, observed): (&id::Upstream, &Observed)| {
            wire::load(upstream, &observed.load, age_ms(now, observed.read))
        };
        let loads = self.loads.iter().map(load).collect();
        self.send(name, wire::Body::Loads(wire::Loads { loads }));
        let marks = self.marks.values().cloned().collect();
        self.send(name, wire::Body::Marks(wire::Marks { marks }));
    }

    pub(super) fn close(&mut self, name: LinkId) {
        let Some(link) = self.links.remove(&name) else { return };
        if link.peer.role != wire::Role::Entry {
            return;
        }
        let host = id::Host::from(link.peer.sender);
        let Some(report) = self.board.report(&host) else { return };
        log::warn!("entry process of {host} is gone");
        let report = spread::Report { ready: false, ..report.clone() };
        self.take_report(&host, report, name);
    }

    pub(super) fn send(&mut self, name: LinkId, body: wire::Body) {
        let Some(link) = self.links.get(&name) else { return };
        // A peer that does not read is dropped; it gets the whole state when it comes back.
        if link.sender.try_send(body).is_err() {
            self.links.remove(&name);
        }
    }

    fn send_all<F>(&mut self, body: &wire::Body, wanted: F)
    where
        F: Fn(LinkId, &Link) -> bool,
    {
        let links = self.links.iter().filter(|(name, link)| wanted(**name, link));
        let names: Vec<LinkId> = links.map(|(name, _)| *name).collect();
        for name in names {
            self.send(name, body.clone());
        }
    }

    pub(super) fn is_linked(&self, host: &id::Host) -> bool {
        let linked = |link: &Link| {
            link.peer.role == wire::Role::Steward && link.peer.sender == host.as_str()
        };
        self.links.values().any(linked)
    }

    /// Closes links that this side made and that the mesh no longer wants: else, as hosts come and
    /// go, links and the messages on them would grow without end.
    pub(super) fn prune(&mut self) {
        let now = self.clock.now();
        let wanted = mesh::wanted(&self.group);
        let is_wanted = |link: &Link| wanted.iter().any(|host| link.peer.sender == host.as_str());
        if !self.links.values().any(is_wanted) {
            return;
        }
        self.links.retain(|_, link| {
            !link.is_dialed || is_wanted(link) || now.since(link.opened) < LINK_GRACE
        });
    }

    pub(super) fn steward_links(&self) -> usize {
        self.links.values().filter(|link| link.peer.role == wire::Role::Steward).count()
    }

    // The document.

    fn digest(&self) -> wire::Body {
        let versions = wire::team_versions(&self.replica.versions());
        wire::Body::Digest(wire::Digest { versions })
    }

    /// Puts sections in force, tells the entry process, and announces them to peers.
    pub(super) fn apply(&mut self, sections: Vec<document::Section>, from: Option<LinkId>) {
        let mut applied = Vec::new();
        for section in sections {
            let (team, version) = (section.team.clone(), section.version);
            if self.replica.apply(section) {
                log::info!("section {team} version {} is in force", version.0);
                applied.push(team);
            }
        }
        if applied.is_empty() {
            return;
        }
        self.pull = None;
        Counters::add(&self.counters.sections_applied, applied.len() as u64);
        let merged = view::Fleet::merge(self.replica.sections().map(sync::Arc::as_ref));
        self.fleet = sync::Arc::new(merged);
        let sections = applied.iter().filter_map(|team| self.replica.section(team));
        let sections = sections.map(|section| wire::section(section)).collect();
        let complete = self.complete;
        let body = wire::Body::Sections(wire::Sections { sections, complete });
        self.send_all(&body, |_, link| link.peer.role == wire::Role::Entry);
        let digest = self.digest();
        let replica = self.replica.clone();
        self.send_all(&digest, |name, link| {
            let lacks = !replica.lacking(&link.versions).is_empty();
            link.peer.role == wire::Role::Steward && Some(name) != from && lacks
        });
        self.check_complete();
    }

    fn take_sections(&mut self, sections: &wire::Sections, from: LinkId) {
        let mut parsed = Vec::new();
        for section in &sections.sections {
            let team = id::Team::from(section.team.as_str());
            let version = id::Version(section.version);
            if let Some(link) = self.links.get_mut(&from) {
                let known = link.versions.entry(team.clone()).or_default();
                *known = version.max(*known);
            }
            match document::Section::parse(team, version, &section.text) {
                Ok(section) => parsed.push(section),
                Err(faults) => log::error!("section {} is not understood: {faults}", section.team),
            }
        }
        self.apply(parsed, Some(from));
    }

    fn take_digest(&mut self, digest: &wire::Digest, from: LinkId) {
        let versions = wire::versions(&digest.versions);
        let lacking = self.replica.lacking(&versions);
        if let Some(link) = self.links.get_mut(&from) {
            link.versions.clone_from(&versions);
            link.has_digest = true;
            // What is sent now need not be sent again before the peer says otherwise.
            let sent = lacking.iter().map(|section| (section.team.clone(), section.version));
            link.versions.extend(sent);
        }
        if !lacking.is_empty() {
            let sections = lacking.iter().map(|section| wire::section(section)).collect();
            let complete = self.complete;
            self.send(from, wire::Body::Sections(wire::Sections { sections, complete }));
        }
        if !self.replica.covers(&versions) {
            self.ask(from);
        }
        self.check_complete();
    }

    /// Asks one peer at a time, so that a section crosses each host's links once.
    fn ask(&mut self, peer: LinkId) {
        let now = self.clock.now();
        if self.pull.is_some_and(|since| now.since(since) < PULL_TIME) {
            return;
        }
        self.pull = Some(now);
        self.send(peer, self.digest());
    }

    /// Compares with peers that are ahead, after a lost link or answer.
    pub(super) fn repair(&mut self) {
        let ahead = |link: &Link| {
            link.peer.role == wire::Role::Steward && !self.replica.covers(&link.versions)
        };
        let found = self.links.iter().find(|(_, link)| ahead(link)).map(|(name, _)| *name);
        if let Some(name) = found {
            self.ask(name);
        }
        self.check_complete();
    }

    pub(super) fn platform_head(&mut self, versions: spread::Versions) {
        self.platform.head = Some(versions);
        self.check_complete();
    }

    pub(super) fn platform_failed(&mut self) {
        Counters::add(&self.counters.platform_failures, 1);
        self.platform.failed = true;
        self.check_complete();
    }

    /// A newcomer is complete with the highest versions of the platform, or, while that is out,
    /// of every peer that it reached.
    ///
    /// Failure answered: all hosts of a zone are replaced during an outage, and one starts to
    /// serve before it heard of the last change. Symptom: an accepted section reverts. A host
    /// that reaches neither the platform nor a peer stays unready.
    fn check_complete(&mut self) {
        if self.complete {
            return;
        }
        let by_platform = self.platform.head.as_ref().is_some_and(|head| self.replica.covers(head));
        if !by_platform && !self.is_complete_by_peers() {
            return;
        }
        self.complete = true;
        log::info!("document is complete");
        let sections = wire::Sections { sections: Vec::new(), complete: true };
        self.send_all(&wire::Body::Sections(sections), |_, link| {
            link.peer.role == wire::Role::Entry
        });
    }

    fn is_complete_by_peers(&self) -> bool {
        let waited = self.clock.now().since(self.began) >= PLATFORM_TIME;
        let is_steward = |link: &&Link| link.peer.role == wire::Role::Steward;
        let mut peers = self.links.values().filter(is_steward).peekable();
        let any = peers.peek().is_some();
        let heard = peers.all(|link| link.has_digest && self.replica.covers(&link.versions));
        let head = self.platform.head.is_none() && self.platform.failed;
        waited
            && any
            && heard
            && head
            && self.dialing.is_empty()
            && !self.replica.versions().is_empty()
    }

    // Messages.

    pub(super) fn take(&mut self, body: wire::Body, from: LinkId) {
        match body {
            wire::Body::Digest(digest) => self.take_digest(&digest, from),
            wire::Body::Sections(sections) => self.take_sections(&sections, from),
            wire::Body::Members(members) => self.take_members(&members, from),
            wire::Body::Status(status) => {
                let host = id::Host::from(status.host.as_str());
                self.take_report(&host, wire::report(&status), from);
            }
            wire::Body::Loads(loads) => self.take_loads(&loads, from),
            wire::Body::Marks(marks) => self.take_marks(&marks.marks, Some(from)),
            wire::Body::Spending(spending) => self.take_spending(spending, from),
            // The rest is for others, or handled where calls are.
            _ => {}
        }
    }

    fn take_members(&mut self, members: &wire::Members, from: LinkId) {
        let now = self.clock.now();
        let fresh = self.group.take(&wire::news(members), now);
        self.removed.retain(|host| !self.group.is_live(host));
        self.tell_members(&fresh, Some(from));
    }

    /// Passes news of members on to stewards.
    pub(super) fn tell_members(&mut self, news: &[membership::News], from: Option<LinkId>) {
        if news.is_empty() {
            return;
        }
        let body = wire::Body::Members(wire::members(news));
        self.send_all(&body, |name, link| {
            link.peer.role == wire::Role::Steward && Some(name) != from
        });
    }

    fn take_report(&mut self, host: &id::Host, report: spread::Report, from: LinkId) {
        let status = wire::status(host, &report);
        if report.zone == *self.zone() && self.board.take(host, report) {
            let zone = self.zone().clone();
            self.send_all(&wire::Body::Status(status), |name, link| {
                let near = link.peer.zone == zone || link.peer.zone.as_str().is_empty();
                link.peer.role == wire::Role::Steward && near && name != from
            });
        }
    }

    // Loads.

    /// Takes the load of an upstream that this steward observes.
    pub(super) fn observe(&mut self, upstream: &id::Upstream, load: engine::Load) {
        let now = self.clock.now();
        let body = wire::Body::Loads(wire::Loads { loads: vec![wire::load(upstream, &load, 0)] });
        self.send_all(&body, |_, link| link.peer.role == wire::Role::Entry);
        let fresh = Observed { load, read: now, told: engine::Load::default(), told_at: now };
        let known = self.loads.entry(upstream.clone()).or_insert(fresh);
        let tell = is_news(&known.told, &load) || now.since(known.told_at) >= LOAD_REFRESH;
        (known.load, known.read) = (load, now);
        if tell {
            (known.told, known.told_at) = (load, now);
            self.tell_loads(&body, None);
        }
    }

    fn tell_loads(&mut self, body: &wire::Body, from: Option<LinkId>) {
        let zone = self.zone().clone();
        self.send_all(body, |name, link| {
            let near = link.peer.zone == zone || link.peer.zone.as_str().is_empty();
            link.peer.role == wire::Role::Steward && near && Some(name) != from
        });
    }

    fn take_loads(&mut self, loads: &wire::Loads, from: LinkId) {
        let now = self.clock.now();
        let mut fresh = Vec::new();
        for line in &loads.loads {
            let upstream = id::Upstream::from(line.upstream.as_str());
            let load = wire::engine_load(line);
            let known = self.loads.get(&upstream).map(|known| &known.load);
            let order = |load: &engine::Load| (load.incarnation, load.sequence);
            if known.is_some_and(|known| order(known) >= order(&load)) {
                continue;
            }
            let observed = Observed { load, read: now, told: load, told_at: now };
            self.loads.insert(upstream, observed);
            fresh.push(line.clone());
        }
        if fresh.is_empty() {
            return;
        }
        let body = wire::Body::Loads(wire::Loads { loads: fresh });
        self.send_all(&body, |name, link| link.peer.role == wire::Role::Entry && name != from);
        self.tell_loads(&body, Some(from));
    }

    // Marks.

    /// Takes marks; a later life replaces an earlier one, and within one, leaving stays.
    pub(super) fn take_marks(&mut self, marks: &[wire::Mark], from: Option<LinkId>) {
        let mut fresh = Vec::new();
        for mark in marks {
            let order = |mark: &wire::Mark| (mark.incarnation, mark.leaving);
            let known = self.marks.get(mark.upstream.as_str());
            if known.is_some_and(|known| order(known) >= order(mark)) {
                continue;
            }
            if mark.leaving {
                log::info!("{} in its life {} leaves", mark.upstream, mark.incarnation);
            }
            self.marks.insert(id::Upstream::from(mark.upstream.as_str()), mark.clone());
            fresh.push(mark.clone());
        }
        if fresh.is_empty() {
            return;
        }
        let body = wire::Body::Marks(wire::Marks { marks: fresh });
        self.send_all(&body, |name, link| {
            let wanted = matches!(link.peer.role, wire::Role::Entry | wire::Role::Steward);
            wanted && Some(name) != from
        });
    }

    /// Takes the platform's list: its leaving hosts become marks, and reports of hosts that are
    /// dead to their watchers and gone from the list are forgotten. The list lags, so alone it
    /// makes nobody dead.
    pub(super) fn take_hosts(&mut self, lines: &[hosts::Line]) {
        let mark = |line: &hosts::Line| wire::Mark {
            upstream: line.name.clone(),
            incarnation: line.incarnation.0,
            leaving: line.state == hosts::State::Leaving,
        };
        let upstreams = lines
            .iter()
            .filter(|line| self.fleet.upstream(&id::Upstream::from(line.name.as_str())).is_some());
        let marks: Vec<_> = upstreams.map(mark).collect();
        self.take_marks(&marks, None);
        let listed = |host: &id::Host| lines.iter().any(|line| line.name == host.as_str());
        let reports = self.board.reports().map(|(host, _)| host);
        let gone = reports.filter(|host| !self.group.is_live(host) && !listed(host));
        for host in gone.cloned().collect::<Vec<_>>() {
            self.board.remove(&host);
        }
    }

    // Spending.

    fn take_spending(&mut self, spending: wire::Spending, from: LinkId) {
        let Some(link) = self.links.get(&from) else { return };
        let order = (link.peer.incarnation.0, spending.sequence);
        if link.peer.role == wire::Role::Steward {
            let last = self.spent.entry(spending.host.clone()).or_default();
            if spending.sequence <= last.1 && last.1 - spending.sequence < SPENDING_WINDOW {
                return;
            }
            *last = order;
        } else {
            self.spent.insert(spending.host.clone(), order);
        }
        let zone = self.zone().clone();
        self.send_all(&wire::Body::Spending(spending), |name, link| {
            let near = link.peer.zone == zone || link.peer.zone.as_str().is_empty();
            let wanted = match link.peer.role {
                wire::Role::Entry => true,
                wire::Role::Steward => near,
                wire::Role::Operator | wire::Role::Unspecified => false,
            };
            wanted && name != from
        });
    }
}

/// A sequence this far below the last one is that of an entry process that started anew.
const SPENDING_WINDOW: u64 = 16;

fn age_ms(now: clock::Moment, read: clock::Moment) -> u64 {
    u64::try_from(now.since(read).as_millis()).unwrap_or(u64::MAX)
}

/// Whether a load differs enough from the one told last to be worth a message to every host of
/// the zone: by two requests, or by an eighth of the memory or of the prefill work.
fn is_news(told: &engine::Load, load: &engine::Load) -> bool {
    let requests = (told.running + told.waiting).abs_diff(load.running + load.waiting);
    let memory = told.kv_free_tokens.abs_diff(load.kv_free_tokens);
    let prefill = told.prefill_tokens.abs_diff(load.prefill_tokens);
    told.incarnation != load.incarnation
        || requests >= 2
        || memory > load.kv_tokens / 8
        || prefill > told.prefill_tokens.max(load.prefill_tokens) / 8 + 4_096
}

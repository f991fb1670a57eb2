//! One steward's view of the members, and failure detection by heartbeats and votes.

use std::collections;

use super::roster;
use crate::clock;
use crate::control::rendezvous;
use crate::id;

/// Settings of heartbeats and failure detection.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Interval between heartbeats to the same peer.
    pub interval: clock::Span,
    /// Number of rings that the hosts of a zone are arranged on. Hosts next to each other on a
    /// ring are neighbours and monitor each other.
    pub rings: usize,
    /// Time without a heartbeat after which a host votes against a neighbour: four heartbeat
    /// intervals plus network delay. At 5% packet loss a vote is wrong once in 160,000 intervals,
    /// and a member is declared dead only when most of its neighbours are wrong at the same time.
    pub heartbeat_timeout: clock::Span,
    /// Longest normal time between two ticks, which are due every 100 ms. Anything beyond it is
    /// treated as a pause of this process and not as silence of its peers.
    pub max_tick_gap: clock::Span,
    /// Time after which a dead member is removed.
    pub forget_after: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            interval: clock::Span::from_millis(500),
            rings: 2,
            heartbeat_timeout: clock::Span::from_millis(2_200),
            max_tick_gap: clock::Span::from_millis(250),
            forget_after: clock::Span::from_secs(600),
        }
    }
}

/// A change in the set of live members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A member joined, or rejoined with a new incarnation.
    Live(id::Host),
    /// The majority of a member's eligible neighbours voted against it.
    Dead(id::Host),
}

/// Failure detector of one steward, with its view of the members of all zones.
///
/// The *neighbours* of a host are the hosts next to it on the rings of its zone; only their votes
/// on the host are counted. Its *heartbeat peers* are its neighbours and, after timeouts, some
/// substitutes for them.
///
/// The caller feeds in heartbeats and updates, calls [`Group::tick`] every 100 ms, and sends the
/// updates that these calls return to all hosts that it has links to.
#[derive(Clone, Debug)]
pub struct Group {
    own: roster::Member,
    settings: Settings,
    roster: roster::Roster,
    /// Time from which the heartbeat timeout of each host is measured: its last heartbeat, or when it
    /// joined or became a heartbeat peer if that was later; moved forward by pauses of this process.
    timeout_starts: collections::HashMap<id::Host, clock::Moment>,
    /// Dead members and the time at which they were declared dead.
    dead: collections::HashMap<id::Host, clock::Moment>,
    /// Neighbours of each live member. Cleared to force a recomputation when live members change,
    /// or when a heartbeat timeout requires substitute peers.
    neighbours: collections::HashMap<id::Host, Vec<id::Host>>,
    /// Members that this steward exchanges heartbeats with, sorted.
    heartbeat_peers: Vec<id::Host>,
    /// Members that joined since the last tick.
    joined: Vec<id::Host>,
    /// Sequence number of the last vote of this steward.
    last_vote: u64,
    /// Time of the last tick.
    last_tick: clock::Moment,
}

impl Group {
    /// Creates a group that contains only this steward.
    ///
    /// ```
    /// use lagoonline::clock::Moment;
    /// use lagoonline::control::membership::{Group, Member, Update, Settings};
    /// use lagoonline::id::{Host, Incarnation, Zone};
    /// let member = |name: &str| Member {
    ///     host: Host::from(name),
    ///     zone: Zone::from("suva"),
    ///     address: ([127, 0, 0, 1], 1).into(),
    ///     incarnation: Incarnation(1),
    /// };
    /// let mut group = Group::new(member("a"), Settings::default(), Moment::START);
    /// group.apply(&[Update::Member(member("b"))], Moment::START);
    /// for millis in (0..3_000).step_by(100) {
    ///     group.tick(Moment::from_millis(millis));
    /// }
    /// assert!(!group.is_live(&Host::from("b")));
    /// ```
    pub fn new(own: roster::Member, settings: Settings, now: clock::Moment) -> Self {
        let mut roster = roster::Roster::default();
        roster.apply(&roster::Update::Member(own.clone()));
        let (timeout_starts, dead, neighbours) = Default::default();
        let (heartbeat_peers, joined, last_vote, last_tick) = (Vec::new(), Vec::new(), 0, now);
        Group {
            own,
            settings,
            roster,
            timeout_starts,
            dead,
            neighbours,
            heartbeat_peers,
            joined,
            last_vote,
            last_tick,
        }
    }

    /// Returns this steward's own member record.
    pub fn own(&self) -> &roster::Member {
        &self.own
    }

    /// Returns the known members and votes.
    pub fn roster(&self) -> &roster::Roster {
        &self.roster
    }

    /// Returns whether a member is known and not dead.
    pub fn is_live(&self, host: &id::Host) -> bool {
        self.roster.member(host).is_some() && !self.dead.contains_key(host)
    }

    /// Returns the members that are not dead, including this one.
    pub fn live(&self) -> impl Iterator<Item = &roster::Member> {
        self.roster.members().filter(|member| !self.dead.contains_key(&member.host))
    }

    /// Returns the dead members that have not been removed yet.
    pub fn dead(&self) -> impl Iterator<Item = &roster::Member> {
        self.roster.members().filter(|member| self.dead.contains_key(&member.host))
    }

    /// Returns the names of the live members of `zone`.
    pub fn live_in<'a>(&'a self, zone: &'a id::Zone) -> impl Iterator<Item = &'a str> {
        self.live().filter(move |member| member.zone == *zone).map(|member| member.host.as_str())
    }

    /// Returns the members that this steward exchanges heartbeats with and keeps links to.
    pub fn heartbeat_peers(&self) -> &[id::Host] {
        &self.heartbeat_peers
    }

    /// Returns the hosts of `zone` in the order of ring `number`.
    ///
    /// Each ring is ordered by a rendezvous hash of its own. A host's neighbours on a ring are its
    /// predecessor and its successor, so it has at most two per ring, and several differently
    /// ordered rings form a random graph. If each host selected its neighbours independently, the
    /// load would be uneven: of 39 hosts one would have eight neighbours instead of four, and send
    /// twice as many heartbeats as planned.
    fn ring<'a>(&'a self, zone: &'a id::Zone, number: usize) -> Vec<&'a str> {
        let members = self.live_in(zone).collect::<Vec<_>>();
        let count = members.len();
        rendezvous::rank(members, &format!("ring {number}"), count)
    }

    /// Recomputes neighbours and heartbeat peers if the neighbours have been cleared.
    fn update_heartbeat_peers(&mut self) {
        if !self.neighbours.is_empty() {
            return;
        }
        let mut neighbours = collections::HashMap::<id::Host, Vec<id::Host>>::new();
        let zones: collections::BTreeSet<_> = self.live().map(|member| &member.zone).collect();
        let numbers = 0..self.settings.rings;
        for (zone, number) in zones.iter().flat_map(|zone| numbers.clone().map(move |n| (zone, n)))
        {
            let ring = self.ring(zone, number);
            let following = ring.iter().cycle().skip(1);
            for (host, next) in ring.iter().zip(following) {
                let (host, next) = (id::Host::from(*host), id::Host::from(*next));
                neighbours.entry(host.clone()).or_default().push(next.clone());
                neighbours.entry(next).or_default().push(host);
            }
        }
        for (host, list) in &mut neighbours {
            list.retain(|neighbour| neighbour != host);
        }
        for list in neighbours.values_mut() {
            list.sort();
            list.dedup();
        }
        let mut peers = neighbours.get(&self.own.host).cloned().unwrap_or_default();
        peers.extend(self.substitute_peers());
        peers.sort();
        peers.dedup();
        // A host that becomes a peer again starts with a full timeout.
        self.timeout_starts.retain(|host, _| peers.binary_search(host).is_ok());
        (self.neighbours, self.heartbeat_peers) = (neighbours, peers);
    }

    /// Returns substitute peers while this steward has voted against live hosts: one for each of
    /// them, and one more for each ring.
    ///
    /// If all neighbours of this host fail at once, it receives no votes but its own. It could not
    /// declare the failed hosts dead, and would stay isolated, considering them live. A substitute
    /// that does not respond is voted against too, which replaces it and adds one more. Substitutes
    /// are dropped when no vote of this steward against a live host of its zone is left.
    fn substitute_peers(&self) -> Vec<id::Host> {
        let is_not_voted_against =
            |name: &&str| !self.roster.has_voted_against(&self.own.host, &id::Host::from(*name));
        let others = self.live_in(&self.own.zone).filter(|name| *name != self.own.host.as_str());
        let others: Vec<&str> = others.collect();
        let voted_against_count =
            others.len() - others.iter().filter(|name| is_not_voted_against(name)).count();
        if voted_against_count == 0 {
            return Vec::new();
        }
        let candidates = others.into_iter().filter(is_not_voted_against);
        let ranked = rendezvous::rank(
            candidates,
            self.own.host.as_str(),
            self.settings.rings + voted_against_count,
        );
        ranked.into_iter().map(id::Host::from).collect()
    }

    /// Records a heartbeat from the given incarnation of a member and returns the updates to send.
    ///
    /// Withdraws this steward's vote against the member, if there is one. Heartbeats of unknown
    /// members and of other incarnations are ignored.
    pub fn record_heartbeat(
        &mut self,
        host: &id::Host,
        incarnation: id::Incarnation,
        now: clock::Moment,
    ) -> Vec<roster::Update> {
        let Some(member) = self.roster.member(host) else { return Vec::new() };
        if member.incarnation != incarnation || *host == self.own.host {
            return Vec::new();
        }
        self.timeout_starts.insert(host.clone(), now);
        if !self.roster.has_voted_against(&self.own.host, host) {
            return Vec::new();
        }
        vec![self.vote(host, incarnation, false)]
    }

    /// Records a vote by this steward and returns it as an update.
    fn vote(
        &mut self,
        host: &id::Host,
        incarnation: id::Incarnation,
        against: bool,
    ) -> roster::Update {
        self.last_vote += 1;
        let vote = roster::Vote {
            voter: self.own.host.clone(),
            voter_incarnation: self.own.incarnation,
            sequence: self.last_vote,
            host: host.clone(),
            incarnation,
            against,
        };
        let update = roster::Update::Vote(vote);
        self.roster.apply(&update);
        update
    }

    /// Applies updates from a peer and returns those that were new, to be forwarded.
    pub fn apply(&mut self, updates: &[roster::Update], now: clock::Moment) -> Vec<roster::Update> {
        let mut new = Vec::new();
        for update in updates {
            if !self.roster.apply(update) {
                continue;
            }
            if let roster::Update::Member(member) = update {
                self.add_live(member, now);
            }
            new.push(update.clone());
        }
        new
    }

    /// Marks a member that joined or has a new incarnation as live.
    fn add_live(&mut self, member: &roster::Member, now: clock::Moment) {
        self.timeout_starts.insert(member.host.clone(), now);
        self.dead.remove(&member.host);
        self.joined.push(member.host.clone());
        self.neighbours.clear();
    }

    /// Runs one round of failure detection and returns the updates to send and the changes of the
    /// live members.
    ///
    /// Votes against peers whose heartbeats timed out, counts votes, refutes votes against this
    /// steward, and removes members that have been dead for long enough.
    pub fn tick(&mut self, now: clock::Moment) -> (Vec<roster::Update>, Vec<Change>) {
        self.update_heartbeat_peers();
        self.exclude_pause(now);
        let mut updates = self.vote_on_timeouts(now);
        updates.extend(self.refute());
        let changes = self.count_votes(now);
        updates.extend(self.vote_on_dead(&changes));
        self.remove_expired(now);
        (updates, changes)
    }

    /// Excludes a pause of this process from the heartbeat timeouts of its peers.
    ///
    /// Otherwise every peer would appear to have timed out when the process resumes, and a paused
    /// host would vote against all its neighbours.
    fn exclude_pause(&mut self, now: clock::Moment) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        let Some(pause) = gap.checked_sub(self.settings.max_tick_gap) else { return };
        for start in self.timeout_starts.values_mut() {
            *start = *start + pause;
        }
    }

    /// Votes against the peers whose heartbeats timed out.
    fn vote_on_timeouts(&mut self, now: clock::Moment) -> Vec<roster::Update> {
        let mut timed_out = Vec::new();
        for host in &self.heartbeat_peers {
            let start = *self.timeout_starts.entry(host.clone()).or_insert(now);
            if now.since(start) < self.settings.heartbeat_timeout {
                continue;
            }
            let member = self.roster.member(host);
            if let Some(member) =
                member.filter(|_| !self.roster.has_voted_against(&self.own.host, host))
            {
                timed_out.push((host.clone(), member.incarnation));
            }
        }
        if !timed_out.is_empty() {
            self.neighbours.clear();
        }
        timed_out.iter().map(|(host, incarnation)| self.vote(host, *incarnation, true)).collect()
    }

    /// Refutes votes against this incarnation by starting a new one, which invalidates them.
    ///
    /// Otherwise a zone would never recover from a network partition: each half holds votes against
    /// the other, and these votes persist after the partition ends. A new incarnation is also
    /// started if the roster has a higher one for this host, since other stewards would ignore the
    /// member record of the lower one.
    fn refute(&mut self) -> Vec<roster::Update> {
        let known = self.roster.member(&self.own.host).map(|member| member.incarnation);
        let is_replaced = known.is_some_and(|known| known > self.own.incarnation);
        if !is_replaced && !self.roster.has_any_vote_against(&self.own.host) {
            return Vec::new();
        }
        let own = &self.own.host;
        let members = self.roster.members();
        let voted_against =
            members.filter(|member| self.roster.has_voted_against(own, &member.host));
        let voted_against = voted_against.map(|member| (member.host.clone(), member.incarnation));
        let voted_against: Vec<_> = voted_against.collect();
        let last = known.unwrap_or_default().max(self.own.incarnation);
        self.own.incarnation = id::Incarnation(last.0 + 1);
        let mut updates = vec![roster::Update::Member(self.own.clone())];
        self.roster.apply(&updates[0]);
        // The new incarnation invalidates all votes cast by the earlier one. The votes against
        // other hosts must not be lost, since these hosts may be dead, so they are cast again.
        updates.extend(
            voted_against.iter().map(|(host, incarnation)| self.vote(host, *incarnation, true)),
        );
        updates
    }

    /// Returns whether the majority of the eligible `neighbours` of `host` voted against it.
    ///
    /// Neighbours that have votes against themselves are not eligible: they may have failed
    /// together with `host` and then cannot vote.
    fn is_voted_dead(&self, host: &id::Host, neighbours: &[id::Host]) -> bool {
        if !self.roster.has_any_vote_against(host) {
            return false;
        }
        let is_eligible = |neighbour: &&id::Host| {
            **neighbour == self.own.host || !self.roster.has_any_vote_against(neighbour)
        };
        let eligible: Vec<_> = neighbours.iter().filter(is_eligible).collect();
        let against =
            eligible.iter().filter(|neighbour| self.roster.has_voted_against(neighbour, host));
        2 * against.count() > eligible.len()
    }

    /// Counts the votes, marks members as dead and returns the changes since the last tick.
    fn count_votes(&mut self, now: clock::Moment) -> Vec<Change> {
        let joined = std::mem::take(&mut self.joined);
        let mut changes: Vec<_> = joined.into_iter().map(Change::Live).collect();
        let voted_dead = |(host, neighbours): &(&id::Host, &Vec<id::Host>)| {
            **host != self.own.host && self.is_voted_dead(host, neighbours)
        };
        let died = self.neighbours.iter().filter(voted_dead).map(|(host, _)| host.clone());
        let mut died: Vec<id::Host> = died.collect();
        died.sort();
        if !died.is_empty() {
            self.neighbours.clear();
        }
        for host in died {
            self.dead.insert(host.clone(), now);
            changes.push(Change::Dead(host));
        }
        changes
    }

    /// Adds this steward's own votes against members of its zone that it just declared dead.
    ///
    /// Each host counts votes with its own view of who the neighbours are, and these views differ
    /// while many members fail at once. Hosts that declared a member dead stop monitoring it, so
    /// without their votes the member could stay live for ever in the view of the others.
    fn vote_on_dead(&mut self, changes: &[Change]) -> Vec<roster::Update> {
        let mut votes = Vec::new();
        for change in changes {
            let Change::Dead(host) = change else { continue };
            let Some(member) = self.roster.member(host) else { continue };
            let is_needed = !self.roster.has_voted_against(&self.own.host, host);
            if is_needed && member.zone == self.own.zone {
                votes.push((host.clone(), member.incarnation));
            }
        }
        votes.iter().map(|(host, incarnation)| self.vote(host, *incarnation, true)).collect()
    }

    /// Removes the members that have been dead for the configured time.
    fn remove_expired(&mut self, now: clock::Moment) {
        let limit = self.settings.forget_after;
        let expired = self.dead.iter().filter(|(_, since)| now.since(**since) >= limit);
        let expired: Vec<id::Host> = expired.map(|(host, _)| host.clone()).collect();
        for host in expired {
            self.dead.remove(&host);
            self.timeout_starts.remove(&host);
            self.roster.remove(&host);
        }
    }
}

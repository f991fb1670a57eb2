//! The members as one steward sees them, and what it does about silence.

use std::collections;

use super::roster;
use crate::clock;
use crate::control::owner;
use crate::id;

/// Times and numbers of the heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between two heartbeats to the same neighbour.
    pub interval: clock::Span,
    /// Rings that the hosts of a zone stand on; next to each other on one are neighbours, who watch
    /// each other.
    pub rings: usize,
    /// Silence after which a host votes against a neighbour: four heartbeats and some delay. At 5%
    /// loss one is wrong once in 160,000 intervals, and most of the neighbours must be at once.
    pub silence: clock::Span,
    /// Most time between two ticks that counts: beyond it, this process was paused.
    pub longest_tick: clock::Span,
    /// Time after which a dead member is forgotten.
    pub forget: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            interval: clock::Span::from_millis(500),
            rings: 2,
            silence: clock::Span::from_millis(2_200),
            longest_tick: clock::Span::from_millis(250),
            forget: clock::Span::from_secs(600),
        }
    }
}

/// A change of who lives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A member joined, or came back in a new life.
    Live(id::Host),
    /// The majority of a member's neighbours is against it.
    Dead(id::Host),
}

/// The members as one steward sees them.
#[derive(Clone, Debug)]
pub struct Group {
    own: roster::Member,
    settings: Settings,
    roster: roster::Roster,
    heard: collections::HashMap<id::Host, clock::Moment>,
    dead: collections::HashMap<id::Host, clock::Moment>,
    /// Neighbours of each live member; computed again when the live members change.
    neighbours: collections::HashMap<id::Host, Vec<id::Host>>,
    /// Members that this steward exchanges heartbeats with, in order.
    contacts: Vec<id::Host>,
    joined: Vec<id::Host>,
    votes: u64,
    ticked: clock::Moment,
}

impl Group {
    /// A group of this steward alone.
    ///
    /// ```
    /// use lagoonline::clock::Moment;
    /// use lagoonline::control::membership::{Group, Member, News, Settings};
    /// use lagoonline::id::{Host, Incarnation, Zone};
    /// let member = |name: &str| Member {
    ///     host: Host::from(name),
    ///     zone: Zone::from("suva"),
    ///     address: ([127, 0, 0, 1], 1).into(),
    ///     incarnation: Incarnation(1),
    /// };
    /// let mut group = Group::new(member("a"), Settings::default(), Moment::START);
    /// group.take(&[News::Member(member("b"))], Moment::START);
    /// for millis in (0..3_000).step_by(100) {
    ///     group.tick(Moment::from_millis(millis));
    /// }
    /// assert!(!group.is_live(&Host::from("b")));
    /// ```
    pub fn new(own: roster::Member, settings: Settings, now: clock::Moment) -> Self {
        let mut roster = roster::Roster::default();
        roster.take(&roster::News::Member(own.clone()));
        let (heard, dead, neighbours) = Default::default();
        let (contacts, joined, votes, ticked) = (Vec::new(), Vec::new(), 0, now);
        Group { own, settings, roster, heard, dead, neighbours, contacts, joined, votes, ticked }
    }

    /// This steward.
    pub fn own(&self) -> &roster::Member {
        &self.own
    }

    /// What is known of members and votes.
    pub fn roster(&self) -> &roster::Roster {
        &self.roster
    }

    /// Whether a member is known and not dead.
    pub fn is_live(&self, host: &id::Host) -> bool {
        self.roster.member(host).is_some() && !self.dead.contains_key(host)
    }

    /// Members that are not dead, this one included.
    pub fn live(&self) -> impl Iterator<Item = &roster::Member> {
        self.roster.members().filter(|member| !self.dead.contains_key(&member.host))
    }

    /// Dead members that are not forgotten yet.
    pub fn dead(&self) -> impl Iterator<Item = &roster::Member> {
        self.roster.members().filter(|member| self.dead.contains_key(&member.host))
    }

    /// Names of the live members of `zone`.
    pub fn live_in<'a>(&'a self, zone: &'a id::Zone) -> impl Iterator<Item = &'a str> {
        self.live().filter(move |member| member.zone == *zone).map(|member| member.host.as_str())
    }

    /// Whom this steward exchanges heartbeats with, and keeps links with.
    pub fn contacts(&self) -> &[id::Host] {
        &self.contacts
    }

    /// Failure answered: hosts that choose neighbours freely are chosen unevenly. Symptom: of 39
    /// hosts one has eight neighbours, and pays twice the budget of heartbeats. On each ring, an
    /// order by rendezvous of its own, a host has the one before it and the one behind it, so
    /// nobody has more than two for each ring; rings of different orders make a random graph.
    fn ring<'a>(&'a self, zone: &'a id::Zone, number: usize) -> Vec<&'a str> {
        let members = self.live_in(zone).collect::<Vec<_>>();
        let count = members.len();
        owner::rank(members, &format!("ring {number}"), count)
    }

    fn update_contacts(&mut self) {
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
        let mut contacts = neighbours.get(&self.own.host).cloned().unwrap_or_default();
        contacts.extend(self.substitutes());
        contacts.sort();
        contacts.dedup();
        // Whoever starts to watch a host gives it the whole time from then on.
        self.heard.retain(|host, _| contacts.binary_search(host).is_ok());
        (self.neighbours, self.contacts) = (neighbours, contacts);
    }

    /// Failure answered: all neighbours of this host went at once, so it hears nobody's votes and
    /// finds nobody dead. Symptom: it stays alone with a list of dead hosts. For each host that it
    /// is against it takes another one as a contact, until one answers.
    fn substitutes(&self) -> Vec<id::Host> {
        let trusted = |name: &&str| !self.roster.is_against(&self.own.host, &id::Host::from(*name));
        let others = self.live_in(&self.own.zone).filter(|name| *name != self.own.host.as_str());
        let others: Vec<&str> = others.collect();
        let doubted = others.len() - others.iter().filter(|name| trusted(name)).count();
        if doubted == 0 {
            return Vec::new();
        }
        let trusted = others.into_iter().filter(trusted);
        let ranked = owner::rank(trusted, self.own.host.as_str(), self.settings.rings + doubted);
        ranked.into_iter().map(id::Host::from).collect()
    }

    /// A heartbeat came from a member in this life.
    pub fn hear(
        &mut self,
        host: &id::Host,
        incarnation: id::Incarnation,
        now: clock::Moment,
    ) -> Vec<roster::News> {
        let Some(member) = self.roster.member(host) else { return Vec::new() };
        if member.incarnation != incarnation || *host == self.own.host {
            return Vec::new();
        }
        self.heard.insert(host.clone(), now);
        if !self.roster.is_against(&self.own.host, host) {
            return Vec::new();
        }
        vec![self.vote(host, incarnation, false)]
    }

    fn vote(
        &mut self,
        host: &id::Host,
        incarnation: id::Incarnation,
        against: bool,
    ) -> roster::News {
        self.votes += 1;
        let vote = roster::Vote {
            by: self.own.host.clone(),
            by_incarnation: self.own.incarnation,
            number: self.votes,
            host: host.clone(),
            incarnation,
            against,
        };
        let news = roster::News::Vote(vote);
        self.roster.take(&news);
        news
    }

    /// Takes news from a peer; what of it was new, to be passed on.
    pub fn take(&mut self, news: &[roster::News], now: clock::Moment) -> Vec<roster::News> {
        let mut passed = Vec::new();
        for item in news {
            if !self.roster.take(item) {
                continue;
            }
            if let roster::News::Member(member) = item {
                self.welcome(member, now);
            }
            passed.push(item.clone());
        }
        passed
    }

    fn welcome(&mut self, member: &roster::Member, now: clock::Moment) {
        self.heard.insert(member.host.clone(), now);
        self.dead.remove(&member.host);
        self.joined.push(member.host.clone());
        self.neighbours.clear();
    }

    /// Votes against contacts that are silent, counts votes, answers votes against this
    /// steward, and forgets the long dead.
    pub fn tick(&mut self, now: clock::Moment) -> (Vec<roster::News>, Vec<Change>) {
        self.update_contacts();
        self.excuse_pause(now);
        let mut news = self.vote_on_silent(now);
        news.extend(self.refute());
        let changes = self.count(now);
        news.extend(self.second(&changes));
        self.forget(now);
        (news, changes)
    }

    /// Failure answered: this process was paused, and on waking every host looks silent. Symptom:
    /// one paused host votes against all its neighbours. The time of the pause is taken off.
    fn excuse_pause(&mut self, now: clock::Moment) {
        let gap = now.since(self.ticked);
        self.ticked = now;
        let Some(pause) = gap.checked_sub(self.settings.longest_tick) else { return };
        for heard in self.heard.values_mut() {
            *heard = *heard + pause;
        }
    }

    fn vote_on_silent(&mut self, now: clock::Moment) -> Vec<roster::News> {
        let mut silent = Vec::new();
        for host in &self.contacts {
            let heard = *self.heard.entry(host.clone()).or_insert(now);
            if now.since(heard) < self.settings.silence {
                continue;
            }
            let member = self.roster.member(host);
            if let Some(member) = member.filter(|_| !self.roster.is_against(&self.own.host, host)) {
                silent.push((host.clone(), member.incarnation));
            }
        }
        if !silent.is_empty() {
            self.neighbours.clear();
        }
        silent.iter().map(|(host, incarnation)| self.vote(host, *incarnation, true)).collect()
    }

    /// Answers votes against this life with a new one.
    ///
    /// Failure answered: the hosts of a zone were cut in two, each half holds the other dead, and
    /// the votes outlive the cut. Symptom: the halves never join again. A new life voids them.
    fn refute(&mut self) -> Vec<roster::News> {
        let known = self.roster.member(&self.own.host).map(|member| member.incarnation);
        let is_replaced = known.is_some_and(|known| known > self.own.incarnation);
        if !is_replaced && !self.roster.is_doubted(&self.own.host) {
            return Vec::new();
        }
        let own = &self.own.host;
        let members = self.roster.members();
        let doubted = members.filter(|member| self.roster.is_against(own, &member.host));
        let doubted = doubted.map(|member| (member.host.clone(), member.incarnation));
        let doubted: Vec<_> = doubted.collect();
        let last = known.unwrap_or_default().max(self.own.incarnation);
        self.own.incarnation = id::Incarnation(last.0 + 1);
        let mut news = vec![roster::News::Member(self.own.clone())];
        self.roster.take(&news[0]);
        // Votes of the earlier life are void; those against hosts that are dead must not be lost.
        news.extend(doubted.iter().map(|(host, life)| self.vote(host, *life, true)));
        news
    }

    /// Neighbours that went at once with a host have no say in it: those that are doubted
    /// themselves are left out of the count.
    fn is_condemned(&self, host: &id::Host, neighbours: &[id::Host]) -> bool {
        if !self.roster.is_doubted(host) {
            return false;
        }
        let has_say = |neighbour: &&id::Host| {
            **neighbour == self.own.host || !self.roster.is_doubted(neighbour)
        };
        let with_say: Vec<_> = neighbours.iter().filter(has_say).collect();
        let against = with_say.iter().filter(|neighbour| self.roster.is_against(neighbour, host));
        2 * against.count() > with_say.len()
    }

    fn count(&mut self, now: clock::Moment) -> Vec<Change> {
        let joined = std::mem::take(&mut self.joined);
        let mut changes: Vec<_> = joined.into_iter().map(Change::Live).collect();
        let condemned = |(host, neighbours): &(&id::Host, &Vec<id::Host>)| {
            **host != self.own.host && self.is_condemned(host, neighbours)
        };
        let died = self.neighbours.iter().filter(condemned).map(|(host, _)| host.clone());
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

    /// Votes as well against members of the own zone that were counted dead.
    ///
    /// Failure answered: each host counts with its own view of who the neighbours are, which differ
    /// while many die at once. Symptom: a host that some hold dead, and so no longer watch, stays
    /// live for ever to the others. With their votes these count it dead too.
    fn second(&mut self, changes: &[Change]) -> Vec<roster::News> {
        let mut seconded = Vec::new();
        for change in changes {
            let Change::Dead(host) = change else { continue };
            let Some(member) = self.roster.member(host) else { continue };
            let is_needed = !self.roster.is_against(&self.own.host, host);
            if is_needed && member.zone == self.own.zone {
                seconded.push((host.clone(), member.incarnation));
            }
        }
        seconded.iter().map(|(host, incarnation)| self.vote(host, *incarnation, true)).collect()
    }

    fn forget(&mut self, now: clock::Moment) {
        let limit = self.settings.forget;
        let old = self.dead.iter().filter(|(_, since)| now.since(**since) >= limit);
        let old: Vec<id::Host> = old.map(|(host, _)| host.clone()).collect();
        for host in old {
            self.dead.remove(&host);
            self.heard.remove(&host);
            self.roster.remove(&host);
        }
    }
}

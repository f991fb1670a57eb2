//! The members as one steward sees them, and what it does about silence.

use std::collections;

use super::roster;
use crate::clock;
use crate::control::owner;
use crate::id;

/// Times and numbers of the heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time between two heartbeats to the same watcher.
    pub interval: clock::Span,
    /// Hosts of the zone that watch each host.
    pub watchers: usize,
    /// Silence after which a watcher votes against a host: four heartbeats and some delay. At 5%
    /// loss one watcher is wrong once in 160,000 intervals, and two of three must be at once.
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
            watchers: 3,
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
    /// The majority of a member's watchers is against it.
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
    /// Watchers of each live member; computed again when the live members change.
    watchers: collections::HashMap<id::Host, Vec<id::Host>>,
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
    /// assert_eq!(group.watchers(), [Host::from("b")]);
    /// for millis in (0..3_000).step_by(100) {
    ///     group.tick(Moment::from_millis(millis));
    /// }
    /// assert!(!group.is_live(&Host::from("b")));
    /// ```
    pub fn new(own: roster::Member, settings: Settings, now: clock::Moment) -> Self {
        let mut roster = roster::Roster::default();
        roster.take(&roster::News::Member(own.clone()));
        let (heard, dead, watchers, joined) = Default::default();
        Group { own, settings, roster, heard, dead, watchers, joined, votes: 0, ticked: now }
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

    /// Whom this steward sends its heartbeats to, and keeps links with.
    pub fn watchers(&self) -> Vec<id::Host> {
        match self.watchers.get(&self.own.host) {
            Some(watchers) => watchers.clone(),
            None => self.watchers_of(&self.own),
        }
    }

    fn watchers_of(&self, member: &roster::Member) -> Vec<id::Host> {
        let others = self.live_in(&member.zone).filter(|name| *name != member.host.as_str());
        let chosen = owner::rank(others, member.host.as_str(), self.settings.watchers);
        chosen.into_iter().map(id::Host::from).collect()
    }

    fn update_watchers(&mut self) {
        if !self.watchers.is_empty() {
            return;
        }
        let lists = self.live().map(|member| (member.host.clone(), self.watchers_of(member)));
        self.watchers = lists.collect();
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
        self.watchers.clear();
    }

    /// Votes against watched members that are silent, counts votes, answers votes against this
    /// steward, and forgets the long dead.
    pub fn tick(&mut self, now: clock::Moment) -> (Vec<roster::News>, Vec<Change>) {
        self.update_watchers();
        self.excuse_pause(now);
        let mut news = self.vote_on_silent(now);
        news.extend(self.refute());
        let changes = self.count(now);
        self.forget(now);
        (news, changes)
    }

    /// Failure answered: this process was paused, and on waking every host looks silent. Symptom:
    /// one paused host votes against all that it watches. The time of the pause is taken off.
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
        for (host, watchers) in &self.watchers {
            if !watchers.contains(&self.own.host) {
                // Whoever starts to watch a host gives it the whole time from then on.
                self.heard.remove(host);
                continue;
            }
            let heard = *self.heard.entry(host.clone()).or_insert(now);
            if now.since(heard) < self.settings.silence {
                continue;
            }
            let member = self.roster.member(host);
            if let Some(member) = member.filter(|_| !self.roster.is_against(&self.own.host, host)) {
                silent.push((host.clone(), member.incarnation));
            }
        }
        silent.sort();
        silent.iter().map(|(host, incarnation)| self.vote(host, *incarnation, true)).collect()
    }

    /// Answers votes against this life with a new one.
    ///
    /// Failure answered: the hosts of a zone were cut in two, each half holds the other dead, and
    /// the votes outlive the cut. Symptom: the halves never join again. A new life voids them.
    fn refute(&mut self) -> Option<roster::News> {
        let known = self.roster.member(&self.own.host).map(|member| member.incarnation);
        let is_replaced = known.is_some_and(|known| known > self.own.incarnation);
        if !is_replaced && !self.roster.is_doubted(&self.own.host) {
            return None;
        }
        let last = known.unwrap_or_default().max(self.own.incarnation);
        self.own.incarnation = id::Incarnation(last.0 + 1);
        let news = roster::News::Member(self.own.clone());
        self.roster.take(&news);
        Some(news)
    }

    /// Watchers that went at once with the host they watch have no say in it: those that are
    /// doubted themselves are left out of the count.
    fn is_condemned(&self, host: &id::Host, watchers: &[id::Host]) -> bool {
        let has_say =
            |watcher: &&id::Host| **watcher == self.own.host || !self.roster.is_doubted(watcher);
        let with_say: Vec<_> = watchers.iter().filter(has_say).collect();
        let against = with_say.iter().filter(|watcher| self.roster.is_against(watcher, host));
        2 * against.count() > with_say.len()
    }

    fn count(&mut self, now: clock::Moment) -> Vec<Change> {
        let joined = std::mem::take(&mut self.joined);
        let mut changes: Vec<_> = joined.into_iter().map(Change::Live).collect();
        let condemned = |(host, watchers): &(&id::Host, &Vec<id::Host>)| {
            **host != self.own.host && self.is_condemned(host, watchers)
        };
        let died = self.watchers.iter().filter(condemned).map(|(host, _)| host.clone());
        let mut died: Vec<id::Host> = died.collect();
        died.sort();
        if !died.is_empty() {
            self.watchers.clear();
        }
        for host in died {
            self.dead.insert(host.clone(), now);
            changes.push(Change::Dead(host));
        }
        changes
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

//! What is known of members and votes; the higher number wins, in whatever order news comes.

use std::collections;
use std::net;

use crate::id;

/// A steward.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Its host.
    pub host: id::Host,
    /// Its zone.
    pub zone: id::Zone,
    /// Where it listens, by TCP and UDP.
    pub address: net::SocketAddr,
    /// Its life.
    pub incarnation: id::Incarnation,
}

/// A watcher's word on a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vote {
    /// The watcher.
    pub by: id::Host,
    /// The watcher's life.
    pub by_incarnation: id::Incarnation,
    /// Counts the watcher's votes in this life.
    pub number: u64,
    /// The member voted on.
    pub host: id::Host,
    /// The member's life.
    pub incarnation: id::Incarnation,
    /// True: silent. False: heard again.
    pub against: bool,
}

/// Something that others should know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum News {
    /// A member in a new life.
    Member(Member),
    /// A vote.
    Vote(Vote),
}

/// Members and votes.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: collections::BTreeMap<id::Host, Member>,
    votes: collections::BTreeMap<id::Host, collections::BTreeMap<id::Host, Vote>>,
}

impl Roster {
    /// Takes news; false when it is old.
    pub fn take(&mut self, news: &News) -> bool {
        match news {
            News::Member(member) => self.take_member(member),
            News::Vote(vote) => self.take_vote(vote),
        }
    }

    fn take_member(&mut self, member: &Member) -> bool {
        let known = self.members.get(&member.host);
        if known.is_some_and(|known| known.incarnation >= member.incarnation) {
            return false;
        }
        // Votes against an earlier life say nothing of this one.
        self.votes.remove(&member.host);
        self.members.insert(member.host.clone(), member.clone());
        true
    }

    fn take_vote(&mut self, vote: &Vote) -> bool {
        let Some(member) = self.members.get(&vote.host) else { return false };
        if vote.incarnation != member.incarnation {
            return false;
        }
        let votes = self.votes.entry(vote.host.clone()).or_default();
        let order = |vote: &Vote| (vote.by_incarnation, vote.number);
        if votes.get(&vote.by).is_some_and(|known| order(known) >= order(vote)) {
            return false;
        }
        votes.insert(vote.by.clone(), vote.clone());
        true
    }

    /// The member of this name.
    pub fn member(&self, host: &id::Host) -> Option<&Member> {
        self.members.get(host)
    }

    /// All members, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Whether `by` has voted against `host`, in the life that `by` is known in.
    pub fn is_against(&self, by: &id::Host, host: &id::Host) -> bool {
        let vote = self.votes.get(host).and_then(|votes| votes.get(by));
        let life = self.members.get(by).map(|member| member.incarnation);
        vote.is_some_and(|vote| vote.against && life == Some(vote.by_incarnation))
    }

    /// Whether any member, in the life that it is known in, has voted against `host`.
    pub fn is_doubted(&self, host: &id::Host) -> bool {
        let votes = self.votes.get(host).into_iter().flat_map(collections::BTreeMap::keys);
        votes.into_iter().any(|by| self.is_against(by, host))
    }

    /// Forgets a member and its votes.
    pub fn remove(&mut self, host: &id::Host) {
        self.members.remove(host);
        self.votes.remove(host);
        for votes in self.votes.values_mut() {
            votes.remove(host);
        }
    }

    /// Everything, for a host that knows nothing yet.
    pub fn news(&self) -> Vec<News> {
        let members = self.members.values().cloned().map(News::Member);
        let votes = self.votes.values().flat_map(|votes| votes.values());
        members.chain(votes.cloned().map(News::Vote)).collect()
    }
}

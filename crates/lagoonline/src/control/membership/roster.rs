//! The known members and votes.
//!
//! Updates may arrive in any order. Of two records of the same member the one with the higher
//! incarnation is kept, and of two votes by the same voter on the same member the one with the
//! higher voter incarnation and sequence number.

use std::collections;
use std::net;

use crate::id;

/// A steward process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Host that the steward runs on; identifies the member.
    pub host: id::Host,
    /// Availability zone of the host.
    pub zone: id::Zone,
    /// Address that it listens on, for both TCP and UDP.
    pub address: net::SocketAddr,
    /// Incarnation; raised by each restart and to refute votes.
    pub incarnation: id::Incarnation,
}

/// A vote by one member on whether another one has failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Vote {
    /// The voter.
    pub voter: id::Host,
    /// Incarnation of the voter when it voted.
    pub voter_incarnation: id::Incarnation,
    /// Sequence number of the vote within the voter's incarnation.
    pub sequence: u64,
    /// The member voted on.
    pub host: id::Host,
    /// Incarnation of the member that the vote applies to.
    pub incarnation: id::Incarnation,
    /// True when heartbeats timed out; false to withdraw an earlier vote.
    pub against: bool,
}

/// Information about a member that is propagated to all stewards.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Update {
    /// A member that is new or has a new incarnation.
    Member(Member),
    /// A vote, or its withdrawal.
    Vote(Vote),
}

/// The known members and the latest vote of each voter on each member.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: collections::BTreeMap<id::Host, Member>,
    /// Votes by the member voted on, then by voter.
    votes: collections::BTreeMap<id::Host, collections::BTreeMap<id::Host, Vote>>,
}

impl Roster {
    /// Applies an update; returns false when it is outdated or about an unknown member.
    pub fn apply(&mut self, update: &Update) -> bool {
        match update {
            Update::Member(member) => self.apply_member(member),
            Update::Vote(vote) => self.apply_vote(vote),
        }
    }

    fn apply_member(&mut self, member: &Member) -> bool {
        let known = self.members.get(&member.host);
        if known.is_some_and(|known| known.incarnation >= member.incarnation) {
            return false;
        }
        // Votes against an earlier incarnation do not apply to the new one.
        self.votes.remove(&member.host);
        self.members.insert(member.host.clone(), member.clone());
        true
    }

    fn apply_vote(&mut self, vote: &Vote) -> bool {
        let Some(member) = self.members.get(&vote.host) else { return false };
        if vote.incarnation != member.incarnation {
            return false;
        }
        let votes = self.votes.entry(vote.host.clone()).or_default();
        let order = |vote: &Vote| (vote.voter_incarnation, vote.sequence);
        if votes.get(&vote.voter).is_some_and(|known| order(known) >= order(vote)) {
            return false;
        }
        votes.insert(vote.voter.clone(), vote.clone());
        true
    }

    /// Returns the member on `host`.
    pub fn member(&self, host: &id::Host) -> Option<&Member> {
        self.members.get(host)
    }

    /// Returns all members, including dead ones.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns whether the latest vote of `voter` on `host` is against it and was cast by the
    /// current incarnation of `voter`.
    pub fn has_voted_against(&self, voter: &id::Host, host: &id::Host) -> bool {
        let vote = self.votes.get(host).and_then(|votes| votes.get(voter));
        let incarnation = self.members.get(voter).map(|member| member.incarnation);
        vote.is_some_and(|vote| vote.against && incarnation == Some(vote.voter_incarnation))
    }

    /// Returns whether any voter has [voted against](Roster::has_voted_against) `host`.
    pub fn has_any_vote_against(&self, host: &id::Host) -> bool {
        let votes = self.votes.get(host).into_iter().flat_map(collections::BTreeMap::keys);
        votes.into_iter().any(|voter| self.has_voted_against(voter, host))
    }

    /// Removes a member, the votes on it and the votes by it.
    pub fn remove(&mut self, host: &id::Host) {
        self.members.remove(host);
        self.votes.remove(host);
        for votes in self.votes.values_mut() {
            votes.remove(host);
        }
    }

    /// Returns all members and votes as updates, for a peer that has none of them yet.
    pub fn updates(&self) -> Vec<Update> {
        let members = self.members.values().cloned().map(Update::Member);
        let votes = self.votes.values().flat_map(|votes| votes.values());
        members.chain(votes.cloned().map(Update::Vote)).collect()
    }
}

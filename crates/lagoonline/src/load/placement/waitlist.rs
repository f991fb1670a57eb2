//! Prompts that wait at the hosts until engines have the resources for them, and callers that were
//! told when to come back.

use std::collections;

use super::DispatchId;
use super::order::{Charges, Claim};
use crate::clock;
use crate::lifecycle::fingerprint;

/// How long a prompt counts as waiting after the last attempt to place it: several times the
/// longest interval between two attempts. A prompt whose caller left is not tried again.
const ATTEMPT_VALIDITY: clock::Span = clock::Span::from_millis(250);
/// How long after its last attempt room is kept for a prompt that goes first. Attempts are at most
/// 60 ms apart and a scheduler is asked again after 60 ms; kept longer, the room of a prompt whose
/// caller left would stay unused.
const HOLD_VALIDITY: clock::Span = clock::Span::from_millis(120);
/// Time by which a caller may come back too early.
const EARLY_SLACK: clock::Span = clock::Span::from_millis(50);
/// How long a caller is remembered beyond the time at which it was told to come back: times are
/// named up to half longer than needed, and the caller's way takes time.
const RETURN_GRACE: clock::Span = clock::Span::from_millis(2_000);
/// Longest time after which a caller is remembered until it comes back. Callers do not wait longer.
const MAX_PROMISED_WAIT: clock::Span = clock::Span::from_secs(3);
/// Largest number of callers that are remembered; the ones due first are kept.
const MAX_PROMISES: usize = 1_024;

/// A waiting prompt.
#[derive(Clone, Copy, Debug)]
struct Prompt {
    claim: Claim,
    last_attempt: clock::Moment,
}

/// A refused prompt whose caller was told to come back.
#[derive(Clone, Copy, Debug)]
struct Promise {
    claim: Claim,
    due: clock::Moment,
}

impl Promise {
    /// Whether its caller may still come back.
    fn is_valid(&self, now: clock::Moment) -> bool {
        now.since(self.due) <= RETURN_GRACE
    }
}

/// What goes before a prompt in the order of those that lack the same kind of room.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Turn {
    /// Number of prompts.
    pub(super) ahead: usize,
    /// Their prefill time on one engine in milliseconds.
    pub(super) prefill_ms: f64,
    /// The largest of these times.
    pub(super) largest_ms: f64,
    /// Memory in tokens that they need.
    pub(super) tokens: u64,
}

impl Turn {
    fn add(mut self, claim: &Claim) -> Turn {
        self.ahead += 1;
        self.prefill_ms += claim.prefill_ms;
        self.largest_ms = self.largest_ms.max(claim.prefill_ms);
        self.tokens += claim.tokens;
        self
    }
}

/// The waiting prompts that this host places.
#[derive(Clone, Debug)]
pub(super) struct Waitlist {
    prompts: collections::HashMap<DispatchId, Prompt>,
    promises: collections::BTreeMap<fingerprint::Fingerprint, Promise>,
    /// Number of deferred attempts so far, from which a new waiting prompt gets its `arrival`.
    deferrals: u64,
    /// Number of hosts that place requests, including this one.
    placing_hosts: usize,
}

impl Default for Waitlist {
    fn default() -> Self {
        Waitlist {
            prompts: collections::HashMap::new(),
            promises: collections::BTreeMap::new(),
            deferrals: 0,
            placing_hosts: 1,
        }
    }
}

impl Waitlist {
    pub(super) fn set_placing_hosts(&mut self, hosts: usize) {
        self.placing_hosts = hosts.max(1);
    }

    /// Number of hosts that place requests, including this one.
    pub(super) fn placing_hosts(&self) -> usize {
        self.placing_hosts
    }

    /// Records an attempt to place a prompt; `waits` tells whether it was deferred and will be
    /// tried again.
    pub(super) fn record_attempt(
        &mut self,
        waiter: DispatchId,
        claim: Claim,
        waits: bool,
        now: clock::Moment,
    ) {
        self.prompts.retain(|_, prompt| now.since(prompt.last_attempt) <= ATTEMPT_VALIDITY);
        if !waits {
            self.prompts.remove(&waiter);
            return;
        }
        self.deferrals += 1;
        let arrival = claim.arrival.min(self.deferrals);
        let new = Prompt { claim: Claim { arrival, ..claim }, last_attempt: now };
        let prompt = self.prompts.entry(waiter).or_insert(new);
        prompt.last_attempt = now;
        prompt.claim.has_returned = claim.has_returned;
    }

    /// Forgets callers that did not come back.
    pub(super) fn expire(&mut self, now: clock::Moment) {
        self.promises.retain(|_, promise| promise.is_valid(now));
    }

    /// Records that the caller of the prompt `identity` was told to come back after `span`.
    pub(super) fn promise(
        &mut self,
        identity: fingerprint::Fingerprint,
        claim: Claim,
        span: clock::Span,
        now: clock::Moment,
    ) {
        if span > MAX_PROMISED_WAIT {
            return;
        }
        self.deferrals += 1;
        let arrival = claim.arrival.min(self.deferrals);
        let claim = Claim { arrival, has_returned: false, ..claim };
        self.promises.insert(identity, Promise { claim, due: now + span });
        if self.promises.len() > MAX_PROMISES {
            let last = self.promises.iter().max_by_key(|(_, promise)| promise.due);
            if let Some(last) = last.map(|(identity, _)| *identity) {
                self.promises.remove(&last);
            }
        }
    }

    /// Forgets that the caller of the prompt `identity` was told to come back.
    pub(super) fn fulfil(&mut self, identity: &fingerprint::Fingerprint) {
        self.promises.remove(identity);
    }

    /// When the caller of the prompt `identity` was told to come back, if it was.
    pub(super) fn due(
        &self,
        identity: Option<fingerprint::Fingerprint>,
        now: clock::Moment,
    ) -> Option<clock::Moment> {
        let promise = self.promises.get(&identity?)?;
        promise.is_valid(now).then_some(promise.due)
    }

    /// The claim of a prompt as it is known from earlier attempts.
    pub(super) fn recall(
        &self,
        waiter: DispatchId,
        identity: Option<fingerprint::Fingerprint>,
        claim: Claim,
        now: clock::Moment,
    ) -> Claim {
        let waiting = self.prompts.get(&waiter).map(|prompt| prompt.claim.arrival);
        let due = self.due(identity, now);
        let has_returned = due.is_some_and(|due| due <= now + EARLY_SLACK);
        let promised = identity.and_then(|identity| self.promises.get(&identity));
        let promised = promised.filter(|_| has_returned).map(|promise| promise.claim.arrival);
        let arrival = promised.or(waiting).unwrap_or(claim.arrival);
        Claim { arrival, has_returned, ..claim }
    }

    /// What goes before `claim` of `waiter` among the prompts that wait for the same kind of room.
    /// `None` if the order has no effect: no other urgency or customer waits or was told to come
    /// back.
    pub(super) fn turn(
        &self,
        waiter: DispatchId,
        claim: &Claim,
        charges: &Charges,
        now: clock::Moment,
    ) -> Option<Turn> {
        let others = self.others(waiter, claim, now);
        let has_rival = others.iter().any(|other| other.account != claim.account);
        let room = claim.account.room;
        let is_promised = || {
            let mut promises = self.promises.values();
            promises.any(|other| other.claim.account.room == room && other.is_valid(now))
        };
        if !has_rival && !is_promised() {
            return None;
        }
        Some(ahead(claim, others, charges, now))
    }

    /// What goes before `claim` of `waiter`, with the prompts of callers that were told to come
    /// back later.
    pub(super) fn promised_turn(
        &self,
        waiter: DispatchId,
        claim: &Claim,
        charges: &Charges,
        now: clock::Moment,
    ) -> Turn {
        let mut others = self.others(waiter, claim, now);
        let room = claim.account.room;
        let promised = self.promises.values().filter(|promise| promise.due > now);
        let promised = promised.map(|promise| promise.claim);
        others.extend(promised.filter(|promised| promised.account.room == room));
        ahead(claim, others, charges, now)
    }

    /// The prompts that wait for the same kind of room as `claim` of `waiter`.
    fn others(&self, waiter: DispatchId, claim: &Claim, now: clock::Moment) -> Vec<Claim> {
        self.rivals(waiter, claim, now).copied().collect()
    }

    /// As [`Waitlist::others`], without a copy.
    pub(super) fn rivals(
        &self,
        waiter: DispatchId,
        claim: &Claim,
        now: clock::Moment,
    ) -> impl Iterator<Item = &Claim> {
        let room = claim.account.room;
        let is_other = move |(other, prompt): &(&DispatchId, &Prompt)| {
            **other != waiter
                && prompt.claim.account.room == room
                && now.since(prompt.last_attempt) <= HOLD_VALIDITY
        };
        self.prompts.iter().filter(is_other).map(|(_, prompt)| &prompt.claim)
    }

    /// Total prefill time at all hosts, in milliseconds, of the prompts ahead of one with a prefill
    /// time of `prefill_ms`: those that began to wait earlier and are not larger, since smaller
    /// prompts overtake larger ones.
    pub(super) fn ahead_ms(&self, waiter: DispatchId, prefill_ms: f64) -> f64 {
        let arrival = self.prompts.get(&waiter).map_or(u64::MAX, |prompt| prompt.claim.arrival);
        let claims = self.prompts.values().map(|prompt| &prompt.claim);
        let ahead = |claim: &&Claim| claim.arrival < arrival && claim.prefill_ms <= prefill_ms;
        let ahead_ms: f64 = claims.filter(ahead).map(|claim| claim.prefill_ms).sum();
        ahead_ms * self.placing_hosts as f64
    }
}

/// What goes before `claim` if `others` want the same kind of room.
fn ahead(claim: &Claim, others: Vec<Claim>, charges: &Charges, now: clock::Moment) -> Turn {
    let mut claims = others;
    claims.push(*claim);
    let arranged = charges.arrange(claims, now);
    arranged.iter().take_while(|other| *other != claim).fold(Turn::default(), Turn::add)
}

//! Frees engine memory: retries cancels, and releases what dead owners left behind.
//!
//! If a cancel is lost, or an entry host dies between two steps of a handover, memory stays
//! allocated on the engine until it refuses work. A cancel is therefore repeated until the engine
//! acknowledges it, and whatever an engine lists for a dead owner is released. This covers every
//! case because every holding names its owner and an engine's list is complete; the engine's own
//! expiry is the last resort.

use std::collections;

use crate::clock;
use crate::id;
use crate::lifecycle::owner;
use crate::lifecycle::safeguard;
use crate::port::engine;

/// Retry policy for cancels.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    /// Delay before the first retry; doubles with each retry.
    pub initial_delay: clock::Span,
    /// Upper bound of the delay.
    pub max_delay: clock::Span,
    /// Time after which a cancel is given up, because the engine's own expiry has freed the memory
    /// by then.
    pub max_age: clock::Span,
    /// Safeguards in force; all of them outside of mutation tests.
    pub safeguards: safeguard::Set,
}

/// Bounds how long a lost packet keeps memory on the engine occupied.
const INITIAL_DELAY: clock::Span = clock::Span::from_millis(50);
/// An engine that becomes reachable again gets its cancels within this time; 1,000 pending cancels
/// then cause 50 calls per second.
const MAX_DELAY: clock::Span = clock::Span::from_secs(20);
/// Longer than usual deadlines of long prompts, and than the time for which engines keep finished
/// streams.
const MAX_AGE: clock::Span = clock::Span::from_secs(3_600);

impl Default for RetryPolicy {
    fn default() -> Self {
        RetryPolicy {
            initial_delay: INITIAL_DELAY,
            max_delay: MAX_DELAY,
            max_age: MAX_AGE,
            safeguards: safeguard::Set::default(),
        }
    }
}

/// Retry state of a pending cancel.
#[derive(Clone, Copy, Debug)]
struct Retry {
    at: clock::Moment,
    delay: clock::Span,
    expires_at: clock::Moment,
}

/// Cancels that have not been acknowledged yet, by key.
///
/// ```
/// use lagoonline::{clock::{Moment, Span}, lifecycle::reap::{CancelQueue, RetryPolicy}};
/// let now = Moment::START;
/// let mut cancels = CancelQueue::new(RetryPolicy::default());
/// cancels.add("a", now);
/// assert_eq!(cancels.due(now, 1.0), ["a"]);
/// assert!(cancels.due(now, 1.0).is_empty());
/// assert_eq!(cancels.due(now + Span::from_secs(1), 1.0), ["a"]);
/// assert!(cancels.acknowledge(&"a"));
/// assert!(cancels.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct CancelQueue<K> {
    policy: RetryPolicy,
    pending: collections::BTreeMap<K, Retry>,
}

impl<K> CancelQueue<K>
where
    K: Clone + Ord,
{
    /// Creates an empty queue.
    pub fn new(policy: RetryPolicy) -> Self {
        CancelQueue { policy, pending: collections::BTreeMap::new() }
    }

    /// Adds a cancel, to be sent at once and retried until it is acknowledged.
    pub fn add(&mut self, key: K, now: clock::Moment) {
        let retry = Retry {
            at: now,
            delay: self.policy.initial_delay,
            expires_at: now + self.policy.max_age,
        };
        self.pending.entry(key).or_insert(retry);
    }

    /// Returns the cancels to send now and schedules their next retry; `jitter`, around 1, scales
    /// the delay.
    pub fn due(&mut self, now: clock::Moment, jitter: f64) -> Vec<K> {
        let max_delay = self.policy.max_delay;
        let due = self.pending.iter_mut().filter(|(_, retry)| retry.at <= now);
        let sent: Vec<_> = due
            .map(|(key, retry)| {
                retry.at = now + retry.delay.mul_f64(jitter);
                retry.delay = (retry.delay * 2).min(max_delay);
                key.clone()
            })
            .collect();
        if !self.policy.safeguards.has(safeguard::Safeguard::CancelRepeat) {
            self.pending.clear();
        }
        sent
    }

    /// Removes a cancel that the engine acknowledged with status 200; returns false if it was not
    /// pending.
    pub fn acknowledge(&mut self, key: &K) -> bool {
        self.pending.remove(key).is_some()
    }

    /// Gives up the cancels that have reached their maximum age; returns their number.
    pub fn expire(&mut self, now: clock::Moment) -> usize {
        let before = self.pending.len();
        self.pending.retain(|_, retry| now < retry.expires_at);
        before - self.pending.len()
    }

    /// Returns whether no cancel is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

/// Rules by which an owner counts as dead.
#[derive(Clone, Debug)]
pub struct Settings {
    /// An owner that was not seen for this long is dead.
    pub owner_timeout: clock::Span,
    /// A host that was not seen for this long no longer counts in
    /// [`Settings::min_heard_share`].
    pub forget_after: clock::Span,
    /// Unless heartbeats arrive from more than this share of the hosts, the reaper assumes that it
    /// is itself cut off.
    pub min_heard_share: f64,
    /// How long a dead owner's stream is kept for a caller that resumes it at another entry host.
    pub takeover_window: clock::Span,
    /// Safeguards in force; all of them outside of mutation tests.
    pub safeguards: safeguard::Set,
}

/// Thirty heartbeats at one per second, and longer than a merely slow host stays silent.
const OWNER_TIMEOUT: clock::Span = clock::Span::from_secs(30);
/// Longer than a usual network partition; hosts that fail permanently, 20 per day, do not count for
/// longer than this.
const FORGET_AFTER: clock::Span = clock::Span::from_secs(3_600);
/// Lies between the failure of a rack, which holds less than half of a zone's hosts, and a network
/// cut, which removes all hosts but the reaper's own.
const MIN_HEARD_SHARE: f64 = 0.5;

/// Covers a client's first few retries. The earlier incarnation of a host that restarts right away
/// counts as dead without waiting for the owner timeout, so only this window keeps its streams.
const TAKEOVER_WINDOW: clock::Span = clock::Span::from_secs(15);

impl Default for Settings {
    fn default() -> Self {
        Settings {
            owner_timeout: OWNER_TIMEOUT,
            forget_after: FORGET_AFTER,
            min_heard_share: MIN_HEARD_SHARE,
            takeover_window: TAKEOVER_WINDOW,
            safeguards: safeguard::Set::default(),
        }
    }
}

/// What is known of the latest incarnation of an owner.
#[derive(Clone, Copy, Debug)]
struct OwnerState {
    incarnation: id::Incarnation,
    /// When it was last seen: by a heartbeat, a report of its zone, or a new holding.
    last_seen: clock::Moment,
    /// The last heartbeat; `None` for an owner known only from holdings or from another zone.
    last_heartbeat: Option<clock::Moment>,
    /// Whether its liveness was last reported by a steward instead of by a heartbeat. Such owners
    /// do not count in the share of heard hosts.
    is_reported: bool,
}

/// Decides which holdings on engines have no live owner.
///
/// ```
/// use lagoonline::{clock::{Moment, Span}, id::Owner, lifecycle::reap::{Reaper, Settings}};
/// use lagoonline::port::engine::{Holding, Kind};
/// let holding = |id: &str| Holding {
///     id: id.into(), owner: "suva-1/6".into(), kind: Kind::Export, bytes: 1, expires_ms: 9,
/// };
/// let mut reaper = Reaper::new(Settings::default());
/// let engine = lagoonline::id::Upstream::from("e");
/// assert!(reaper.sweep(&engine, &[holding("a")], Moment::START).is_empty());
/// reaper.record_heartbeat(&"suva-1/7".parse().unwrap(), Moment::from_millis(5));
/// assert_eq!(reaper.sweep(&engine, &[holding("a")], Moment::from_millis(6)), ["a"]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Reaper {
    settings: Settings,
    owners: collections::BTreeMap<id::Host, OwnerState>,
    /// Holding ids in each engine's previous list.
    listed: collections::BTreeMap<id::Upstream, collections::BTreeSet<String>>,
    /// When each of these holdings was first found to have a dead owner.
    orphaned: collections::BTreeMap<id::Upstream, collections::BTreeMap<String, clock::Moment>>,
}

impl Reaper {
    /// Creates a reaper that knows no owners yet.
    pub fn new(settings: Settings) -> Self {
        Reaper { settings, ..Reaper::default() }
    }

    /// Records a heartbeat, received directly or reported by a peer.
    pub fn record_heartbeat(&mut self, owner: &id::Owner, now: clock::Moment) {
        self.record_seen(owner, now, Some(now));
    }

    /// Records that the steward of another zone reports the owner as alive there.
    ///
    /// Such owners do not count in the share of heard hosts, which covers heartbeats only.
    pub fn record_remote_alive(&mut self, owner: &id::Owner, now: clock::Moment) {
        self.record_seen(owner, now, None);
        if let Some(state) = self.owners.get_mut(&owner.host) {
            state.is_reported = true;
        }
    }

    /// Records that the owner's liveness cannot be determined, for example because its availability
    /// zone is cut off. It counts as alive, so what it holds is left to the engine's own expiry.
    ///
    /// Without this, a zone cut off from the reaper's zone would be taken for dead, and streams
    /// that engines still deliver to it over another path would be interrupted. Such owners do not
    /// count in the share of heard hosts either.
    pub fn record_unsure(&mut self, owner: &id::Owner, now: clock::Moment) {
        if self.settings.safeguards.has(safeguard::Safeguard::UnsureOwner) {
            self.record_remote_alive(owner, now);
        }
    }

    /// Records that the steward of the owner's zone reports the process as gone, or that it is not
    /// known there. It counts as dead only after the usual timeout, because the process may merely
    /// have lost its steward.
    pub fn record_gone(&mut self, owner: &id::Owner, now: clock::Moment) {
        let known = self.owners.get(&owner.host);
        if known.is_none_or(|known| known.incarnation < owner.incarnation) {
            self.record_seen(owner, now, None);
        }
        if let Some(state) = self.owners.get_mut(&owner.host) {
            state.is_reported = true;
        }
    }

    /// Applies the status of an owner reported by its zone. `is_own` is set for the reaper's own
    /// zone, whose hosts send it heartbeats.
    pub fn apply_status(&mut self, status: &owner::Status, is_own: bool, now: clock::Moment) {
        let Ok(owner) = status.owner.parse::<id::Owner>() else { return };
        match status.sign {
            owner::Liveness::Serving if is_own => self.record_heartbeat(&owner, now),
            owner::Liveness::Serving => self.record_remote_alive(&owner, now),
            owner::Liveness::Gone => self.record_gone(&owner, now),
            owner::Liveness::Unsure => self.record_unsure(&owner, now),
        }
    }

    /// Returns the owners among `holdings` to ask other zones about: unknown ones, and those
    /// not seen for half of the timeout after which they count as dead.
    pub fn owners_to_query(
        &self,
        holdings: &[engine::Holding],
        now: clock::Moment,
    ) -> collections::BTreeSet<id::Owner> {
        let owners = holdings.iter().filter_map(|holding| holding.owner.parse::<id::Owner>().ok());
        let needs_query = |owner: &id::Owner| match self.owners.get(&owner.host) {
            Some(state) if state.incarnation > owner.incarnation => false,
            Some(state) => {
                let is_unknown = state.last_heartbeat.is_none() && !state.is_reported;
                is_unknown || now.since(state.last_seen) >= self.settings.owner_timeout / 2
            }
            None => true,
        };
        owners.filter(needs_query).collect()
    }

    /// Updates the state of an owner unless a later incarnation of it is known.
    fn record_seen(
        &mut self,
        owner: &id::Owner,
        now: clock::Moment,
        last_heartbeat: Option<clock::Moment>,
    ) {
        let state = OwnerState {
            incarnation: owner.incarnation,
            last_seen: now,
            last_heartbeat,
            is_reported: false,
        };
        let known = self.owners.entry(owner.host.clone()).or_insert(state);
        if owner.incarnation >= known.incarnation {
            *known = OwnerState {
                last_heartbeat: last_heartbeat.or(known.last_heartbeat),
                is_reported: known.is_reported && last_heartbeat.is_none(),
                ..state
            };
        }
    }

    /// Returns the ids to release among the holdings that `upstream` lists at `now`. They are
    /// returned again until the engine no longer lists them.
    ///
    /// An owner also counts as seen when a holding of it is new in the list, or when it is listed
    /// for the first time, so a newly started reaper releases nothing for
    /// [`Settings::owner_timeout`], except what belongs to an earlier incarnation of a known owner.
    pub fn sweep(
        &mut self,
        upstream: &id::Upstream,
        holdings: &[engine::Holding],
        now: clock::Moment,
    ) -> Vec<String> {
        let ids = holdings.iter().map(|holding| holding.id.clone()).collect();
        let before = self.listed.insert(upstream.clone(), ids).unwrap_or_default();
        for holding in holdings.iter().filter(|holding| !before.contains(&holding.id)) {
            if let Ok(owner) = holding.owner.parse::<id::Owner>() {
                self.record_seen(&owner, now, None);
            }
        }
        let forget_after = self.settings.forget_after;
        self.owners.retain(|_, state| now.since(state.last_seen) <= forget_after);
        let is_cut_off = self.is_cut_off(now);
        let before = self.orphaned.remove(upstream).unwrap_or_default();
        let orphaned = holdings.iter().filter(|holding| self.is_orphaned(holding, is_cut_off, now));
        let since = |id: &String| before.get(id).copied().unwrap_or(now);
        let orphaned: Vec<_> = orphaned.map(|holding| (holding, since(&holding.id))).collect();
        let first_found = orphaned.iter().map(|(holding, since)| (holding.id.clone(), *since));
        self.orphaned.insert(upstream.clone(), first_found.collect());
        let due =
            orphaned.iter().filter(|(holding, since)| self.is_releasable(holding, *since, now));
        due.map(|(holding, _)| holding.id.clone()).collect()
    }

    /// Returns whether a dead owner's holding may be released now. The earlier incarnation of a host
    /// that restarts right away is dead without a timeout; if its streams were released without
    /// this delay, a caller that resumes one a second later would have its million tokens prefilled
    /// again.
    fn is_releasable(
        &self,
        holding: &engine::Holding,
        since: clock::Moment,
        now: clock::Moment,
    ) -> bool {
        match holding.kind {
            engine::Kind::Stream => now.since(since) >= self.settings.takeover_window,
            engine::Kind::Reservation | engine::Kind::Export => true,
        }
    }

    /// Returns whether the owner of a holding is dead: replaced by a later incarnation, not seen
    /// for the timeout, or not even known any more. The last two do not count while this host seems
    /// cut off.
    fn is_orphaned(&self, holding: &engine::Holding, is_cut_off: bool, now: clock::Moment) -> bool {
        let Ok(owner) = holding.owner.parse::<id::Owner>() else {
            return false;
        };
        match self.owners.get(&owner.host) {
            Some(state) if state.incarnation > owner.incarnation => true,
            Some(state) => !is_cut_off && self.has_timed_out(state, now),
            None => !is_cut_off,
        }
    }

    fn has_timed_out(&self, state: &OwnerState, now: clock::Moment) -> bool {
        now.since(state.last_seen) > self.settings.owner_timeout
            || !self.settings.safeguards.has(safeguard::Safeguard::OwnerSilence)
    }

    /// Returns whether the reaper itself seems to be cut off. In that case it would take all hosts
    /// for dead and release streams that are being read, interrupting the answers of a whole zone
    /// at once. When most hosts become silent together, the reaper therefore waits until they are
    /// heard again or forgotten. Only heartbeats within half of the timeout count: before a cut the
    /// last heartbeats of all hosts are about equally old, and all of them must have dropped out by
    /// the time the first host counts as dead.
    fn is_cut_off(&self, now: clock::Moment) -> bool {
        let max_age = self.settings.owner_timeout / 2;
        let is_recent = |beat: clock::Moment| now.since(beat) <= max_age;
        let local = self.owners.values().filter(|state| !state.is_reported);
        let heard =
            local.clone().filter(|state| state.last_heartbeat.is_some_and(is_recent)).count();
        let share = heard as f64 / local.count().max(1) as f64;
        share <= self.settings.min_heard_share
            && self.settings.safeguards.has(safeguard::Safeguard::CutOffReaper)
    }
}

/// Bytes that an entry host has reserved on engines, and how many of them were returned.
///
/// ```
/// use lagoonline::lifecycle::reap::Ledger;
/// let mut ledger = Ledger::default();
/// ledger.record_reserved("a", 10);
/// ledger.record_reserved("a", 10);
/// assert_eq!(ledger.outstanding(), 10);
/// ledger.record_returned("a");
/// ledger.record_returned("a");
/// assert_eq!((ledger.outstanding(), ledger.total_returned()), (0, 10));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    open: collections::BTreeMap<String, u64>,
    reserved: u64,
    returned: u64,
}

impl Ledger {
    /// Records a reservation; recording it again has no effect.
    pub fn record_reserved(&mut self, id: &str, bytes: u64) {
        if !self.open.contains_key(id) {
            self.open.insert(id.to_owned(), bytes);
            self.reserved += bytes;
        }
    }

    /// Records that a reservation was returned; recording it again has no effect.
    pub fn record_returned(&mut self, id: &str) {
        self.returned += self.open.remove(id).unwrap_or(0);
    }

    /// Returns the bytes reserved since the start.
    pub fn total_reserved(&self) -> u64 {
        self.reserved
    }

    /// Returns the bytes returned since the start.
    pub fn total_returned(&self) -> u64 {
        self.returned
    }

    /// Returns the bytes reserved and not returned yet; zero when the host is idle.
    pub fn outstanding(&self) -> u64 {
        self.reserved.saturating_sub(self.returned)
    }
}

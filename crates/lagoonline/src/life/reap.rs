//! Returns engine memory: cancels that are repeated, and a sweep of what dead owners left.
//!
//! Failure answered: a cancel is lost, or an entry host dies between two steps of a handover.
//! Symptom: an engine's memory shrinks until it refuses work. A cancel is repeated until the
//! engine acknowledges it or starts anew, and whatever an engine lists for an owner that is dead
//! is released. That is enough because every holding names its owner and an engine's list is
//! complete; the engine's own expiry stands behind both.

use std::collections;

use crate::clock;
use crate::id;
use crate::life::safeguard;
use crate::port::engine;

/// Pace of repeated cancels.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Time to the first repetition; doubles with each.
    pub first: clock::Span,
    /// Longest time between two.
    pub most: clock::Span,
    /// All but in tests of the oracle.
    pub safeguards: safeguard::Set,
}

/// Longer than a round trip between regions.
const FIRST: clock::Span = clock::Span::from_millis(250);
/// An engine that comes back is relieved within this; 100 cancels are then 50 calls a second.
const MOST: clock::Span = clock::Span::from_secs(2);

impl Default for Pace {
    fn default() -> Self {
        Pace { first: FIRST, most: MOST, safeguards: safeguard::Set::default() }
    }
}

#[derive(Clone, Copy, Debug)]
struct Next {
    at: clock::Moment,
    wait: clock::Span,
}

/// Cancels that are not acknowledged yet.
///
/// ```
/// use lagoonline::{clock::{Moment, Span}, id::{Attempt, Upstream}, life::reap::{Cancels, Pace}};
/// let (engine, now) = (Upstream::from("e"), Moment::START);
/// let mut cancels = Cancels::new(Pace::default());
/// cancels.add(engine.clone(), Attempt(1), now);
/// assert_eq!(cancels.due(now).len(), 1);
/// assert_eq!(cancels.due(now).len(), 0);
/// assert_eq!(cancels.due(now + Span::from_secs(1)).len(), 1);
/// cancels.acknowledged(&engine, Attempt(1));
/// assert!(cancels.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Cancels {
    pace: Pace,
    open: collections::BTreeMap<(id::Upstream, id::Attempt), Next>,
}

impl Cancels {
    /// None yet.
    pub fn new(pace: Pace) -> Self {
        Cancels { pace, open: collections::BTreeMap::new() }
    }

    /// A cancel to send at once and until it is acknowledged.
    pub fn add(&mut self, upstream: id::Upstream, attempt: id::Attempt, now: clock::Moment) {
        let next = Next { at: now, wait: self.pace.first };
        self.open.entry((upstream, attempt)).or_insert(next);
    }

    /// The cancels to send now.
    pub fn due(&mut self, now: clock::Moment) -> Vec<(id::Upstream, id::Attempt)> {
        let most = self.pace.most;
        let due = self.open.iter_mut().filter(|(_, next)| next.at <= now);
        let sent: Vec<_> = due
            .map(|(key, next)| {
                next.at = now + next.wait;
                next.wait = (next.wait * 2).min(most);
                key.clone()
            })
            .collect();
        if !self.pace.safeguards.has(safeguard::Safeguard::CancelRepeat) {
            self.open.clear();
        }
        sent
    }

    /// The engine answered 200.
    pub fn acknowledged(&mut self, upstream: &id::Upstream, attempt: id::Attempt) {
        self.open.remove(&(upstream.clone(), attempt));
    }

    /// The engine started anew: it holds nothing from before.
    pub fn restarted(&mut self, upstream: &id::Upstream) {
        self.open.retain(|(name, _), _| name != upstream);
    }

    /// Cancels not acknowledged.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether all are acknowledged.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

/// When an owner counts as dead.
#[derive(Clone, Debug)]
pub struct Settings {
    /// An owner of which nothing was heard for this long is dead.
    pub silence: clock::Span,
    /// A host that was silent for this long no longer counts in the share below.
    pub forget: clock::Span,
    /// Unless more than this share of hosts is heard, the sweeper takes itself for the one cut off.
    pub heard_share: f64,
    /// All but in tests of the oracle.
    pub safeguards: safeguard::Set,
}

/// Thirty heartbeats at one a second, and longer than a host that is merely slow.
const SILENCE: clock::Span = clock::Span::from_secs(30);
/// Longer than a usual partition; 20 hosts a day fail for good.
const FORGET: clock::Span = clock::Span::from_secs(3_600);
/// A rack is fewer than half of a zone's hosts, a cut takes all but the sweeper's own.
const HEARD_SHARE: f64 = 0.5;

impl Default for Settings {
    fn default() -> Self {
        Settings {
            silence: SILENCE,
            forget: FORGET,
            heard_share: HEARD_SHARE,
            safeguards: safeguard::Set::default(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Life {
    incarnation: id::Incarnation,
    /// The last sign of life.
    heard: clock::Moment,
    /// The last heartbeat; none for an owner known only from holdings.
    beat: Option<clock::Moment>,
}

/// Decides which holdings no live owner can use.
///
/// ```
/// use lagoonline::{clock::{Moment, Span}, id::Owner, life::reap::{Settings, Sweep}};
/// use lagoonline::port::engine::{Holding, Kind};
/// let holding = |id: &str| Holding {
///     id: id.into(), owner: "suva-1/6".into(), kind: Kind::Stream, bytes: 1, expires_ms: 9,
/// };
/// let mut sweep = Sweep::new(Settings::default());
/// let engine = lagoonline::id::Upstream::from("e");
/// assert!(sweep.releases(&engine, &[holding("a")], Moment::START).is_empty());
/// sweep.heard(&"suva-1/7".parse().unwrap(), Moment::from_millis(5));
/// assert_eq!(sweep.releases(&engine, &[holding("a")], Moment::from_millis(6)), ["a"]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Sweep {
    settings: Settings,
    lives: collections::BTreeMap<id::Host, Life>,
    /// Ids that each engine listed last time.
    listed: collections::BTreeMap<id::Upstream, collections::BTreeSet<String>>,
}

impl Sweep {
    /// Knows nobody yet.
    pub fn new(settings: Settings) -> Self {
        Sweep { settings, ..Sweep::default() }
    }

    /// A heartbeat, or a peer's word of one.
    pub fn heard(&mut self, owner: &id::Owner, now: clock::Moment) {
        self.alive(owner, now, Some(now));
    }

    fn alive(&mut self, owner: &id::Owner, now: clock::Moment, beat: Option<clock::Moment>) {
        let life = Life { incarnation: owner.incarnation, heard: now, beat };
        let known = self.lives.entry(owner.host.clone()).or_insert(life);
        if owner.incarnation >= known.incarnation {
            *known = Life { beat: beat.or(known.beat), ..life };
        }
    }

    /// The ids to release of what `upstream` lists at `now`; ask again until they are gone.
    ///
    /// A holding that was not there before is a sign of its owner's life, as is the first sight
    /// of its owner: a sweeper that has just started releases nothing for `silence`.
    pub fn releases(
        &mut self,
        upstream: &id::Upstream,
        holdings: &[engine::Holding],
        now: clock::Moment,
    ) -> Vec<String> {
        let ids = holdings.iter().map(|holding| holding.id.clone()).collect();
        let before = self.listed.insert(upstream.clone(), ids).unwrap_or_default();
        for holding in holdings.iter().filter(|holding| !before.contains(&holding.id)) {
            if let Ok(owner) = holding.owner.parse::<id::Owner>() {
                self.alive(&owner, now, None);
            }
        }
        let forget = self.settings.forget;
        self.lives.retain(|_, life| now.since(life.heard) <= forget);
        let cut_off = self.is_cut_off(now);
        let over = |holding: &&engine::Holding| self.is_over(holding, cut_off, now);
        holdings.iter().filter(over).map(|holding| holding.id.clone()).collect()
    }

    fn is_over(&self, holding: &engine::Holding, cut_off: bool, now: clock::Moment) -> bool {
        let Ok(owner) = holding.owner.parse::<id::Owner>() else {
            return false;
        };
        match self.lives.get(&owner.host) {
            Some(life) if life.incarnation > owner.incarnation => true,
            Some(life) => !cut_off && self.is_silent(life, now),
            None => !cut_off,
        }
    }

    fn is_silent(&self, life: &Life, now: clock::Moment) -> bool {
        now.since(life.heard) > self.settings.silence
            || !self.settings.safeguards.has(safeguard::Safeguard::OwnerSilence)
    }

    /// Failure answered: the sweeper is cut off, takes everyone for dead and releases streams
    /// that are being read. Symptom: a zone's answers break off at once. When most hosts fall
    /// silent together, the sweeper waits until they are heard or forgotten. Only heartbeats count
    /// here, and only those of half the silence: all hosts' last ones before a cut are about
    /// equally old, and must all have dropped out when the first of them counts as silent.
    fn is_cut_off(&self, now: clock::Moment) -> bool {
        let recent = self.settings.silence / 2;
        let fresh = |beat: clock::Moment| now.since(beat) <= recent;
        let heard = self.lives.values().filter(|life| life.beat.is_some_and(fresh)).count();
        let share = heard as f64 / self.lives.len().max(1) as f64;
        share <= self.settings.heard_share
            && self.settings.safeguards.has(safeguard::Safeguard::CutOffSweeper)
    }
}

/// Bytes that an entry host reserved on engines, less those returned.
///
/// ```
/// use lagoonline::life::reap::Ledger;
/// let mut ledger = Ledger::default();
/// ledger.reserved("a", 10);
/// ledger.reserved("a", 10);
/// assert_eq!(ledger.outstanding(), 10);
/// ledger.returned("a");
/// ledger.returned("a");
/// assert_eq!((ledger.outstanding(), ledger.total_returned()), (0, 10));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    open: collections::BTreeMap<String, u64>,
    reserved: u64,
    returned: u64,
}

impl Ledger {
    /// A holding came about; saying so again changes nothing.
    pub fn reserved(&mut self, id: &str, bytes: u64) {
        if !self.open.contains_key(id) {
            self.open.insert(id.to_owned(), bytes);
            self.reserved += bytes;
        }
    }

    /// A holding is gone; saying so again changes nothing.
    pub fn returned(&mut self, id: &str) {
        self.returned += self.open.remove(id).unwrap_or(0);
    }

    /// Bytes reserved since the start.
    pub fn total_reserved(&self) -> u64 {
        self.reserved
    }

    /// Bytes returned since the start.
    pub fn total_returned(&self) -> u64 {
        self.returned
    }

    /// Bytes reserved and not returned; comes to zero when the host is idle.
    pub fn outstanding(&self) -> u64 {
        self.reserved.saturating_sub(self.returned)
    }
}

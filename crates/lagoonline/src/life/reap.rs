//! Returns engine memory: cancels that are repeated, and a sweep of what dead owners left.
//!
//! Failure answered: a cancel is lost, or an entry host dies between two steps of a handover.
//! Symptom: an engine's memory shrinks until it refuses work. A cancel is repeated until the
//! engine acknowledges it, and whatever an engine lists for an owner that is dead
//! is released. That is enough because every holding names its owner and an engine's list is
//! complete; the engine's own expiry stands behind both.

use std::collections;

use crate::clock;
use crate::id;
use crate::life::owner;
use crate::life::safeguard;
use crate::port::engine;

/// Pace of repeated cancels.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Time to the first repetition; doubles with each.
    pub first: clock::Span,
    /// Longest time between two.
    pub most: clock::Span,
    /// Time after which a cancel is given up: the engine's own expiry has come by then.
    pub limit: clock::Span,
    /// All but in tests of the oracle.
    pub safeguards: safeguard::Set,
}

/// A lost packet costs the engine's place no longer than this.
const FIRST: clock::Span = clock::Span::from_millis(50);
/// An engine that comes back is relieved within this; 1,000 cancels are then 50 calls a second.
const MOST: clock::Span = clock::Span::from_secs(20);
/// Longer than a long prompt's deadline and the time for which engines keep finished streams.
const LIMIT: clock::Span = clock::Span::from_secs(3_600);

impl Default for Pace {
    fn default() -> Self {
        Pace { first: FIRST, most: MOST, limit: LIMIT, safeguards: safeguard::Set::default() }
    }
}

#[derive(Clone, Copy, Debug)]
struct Next {
    at: clock::Moment,
    wait: clock::Span,
    until: clock::Moment,
}

/// Cancels that are not acknowledged yet, each named by a key.
///
/// ```
/// use lagoonline::{clock::{Moment, Span}, life::reap::{Cancels, Pace}};
/// let now = Moment::START;
/// let mut cancels = Cancels::new(Pace::default());
/// cancels.add("a", now);
/// assert_eq!(cancels.due(now, 1.0), ["a"]);
/// assert!(cancels.due(now, 1.0).is_empty());
/// assert_eq!(cancels.due(now + Span::from_secs(1), 1.0), ["a"]);
/// assert!(cancels.acknowledged(&"a"));
/// assert!(cancels.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Cancels<K> {
    pace: Pace,
    open: collections::BTreeMap<K, Next>,
}

impl<K> Cancels<K>
where
    K: Clone + Ord,
{
    /// None yet.
    pub fn new(pace: Pace) -> Self {
        Cancels { pace, open: collections::BTreeMap::new() }
    }

    /// A cancel to send at once and until it is acknowledged.
    pub fn add(&mut self, key: K, now: clock::Moment) {
        let next = Next { at: now, wait: self.pace.first, until: now + self.pace.limit };
        self.open.entry(key).or_insert(next);
    }

    /// The cancels to send now; `jitter`, about 1, stretches the time to their next repetition.
    pub fn due(&mut self, now: clock::Moment, jitter: f64) -> Vec<K> {
        let most = self.pace.most;
        let due = self.open.iter_mut().filter(|(_, next)| next.at <= now);
        let sent: Vec<_> = due
            .map(|(key, next)| {
                next.at = now + next.wait.mul_f64(jitter);
                next.wait = (next.wait * 2).min(most);
                key.clone()
            })
            .collect();
        if !self.pace.safeguards.has(safeguard::Safeguard::CancelRepeat) {
            self.open.clear();
        }
        sent
    }

    /// The engine answered 200; false when that is not news.
    pub fn acknowledged(&mut self, key: &K) -> bool {
        self.open.remove(key).is_some()
    }

    /// Gives up those that are past their limit; how many.
    pub fn expire(&mut self, now: clock::Moment) -> usize {
        let before = self.open.len();
        self.open.retain(|_, next| now < next.until);
        before - self.open.len()
    }

    /// Whether all are acknowledged or given up.
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
    /// How long a dead owner's stream is left to a caller that comes back for it elsewhere.
    pub takeover: clock::Span,
    /// All but in tests of the oracle.
    pub safeguards: safeguard::Set,
}

/// Thirty heartbeats at one a second, and longer than a host that is merely slow.
const SILENCE: clock::Span = clock::Span::from_secs(30);
/// Longer than a usual partition; 20 hosts a day fail for good.
const FORGET: clock::Span = clock::Span::from_secs(3_600);
/// A rack is fewer than half of a zone's hosts, a cut takes all but the sweeper's own.
const HEARD_SHARE: f64 = 0.5;

/// A client's first few retries; a host that restarts at once proves its streams dead at once.
const TAKEOVER: clock::Span = clock::Span::from_secs(15);

impl Default for Settings {
    fn default() -> Self {
        Settings {
            silence: SILENCE,
            forget: FORGET,
            heard_share: HEARD_SHARE,
            takeover: TAKEOVER,
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
    /// Judged by the word of another zone, not by heartbeats.
    apart: bool,
}

/// Decides which holdings no live owner can use.
///
/// ```
/// use lagoonline::{clock::{Moment, Span}, id::Owner, life::reap::{Settings, Sweep}};
/// use lagoonline::port::engine::{Holding, Kind};
/// let holding = |id: &str| Holding {
///     id: id.into(), owner: "suva-1/6".into(), kind: Kind::Export, bytes: 1, expires_ms: 9,
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
    /// When each of them was first seen to be a dead owner's.
    over: collections::BTreeMap<id::Upstream, collections::BTreeMap<String, clock::Moment>>,
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

    /// The word of another zone's steward that the owner lives there.
    ///
    /// Such owners do not count in the share of hosts heard: that is of heartbeats.
    pub fn told(&mut self, owner: &id::Owner, now: clock::Moment) {
        self.alive(owner, now, None);
        if let Some(life) = self.lives.get_mut(&owner.host) {
            life.apart = true;
        }
    }

    /// Nobody in reach can tell whether the owner lives, as when its availability zone is cut off:
    /// what it holds is left to the engine's own expiry.
    ///
    /// Failure answered: a zone cut off from the sweeper's is taken for dead. Symptom: streams
    /// that the engine still serves to it, by a way that is not cut, break off. Such owners do not
    /// count as silent.
    pub fn unsure(&mut self, owner: &id::Owner, now: clock::Moment) {
        if self.settings.safeguards.has(safeguard::Safeguard::UnsureOwner) {
            self.told(owner, now);
        }
    }

    /// The word of its zone's steward that the owner's process is gone, or not known there. It
    /// counts as dead after the same silence: the process may only have lost its steward.
    pub fn gone(&mut self, owner: &id::Owner, now: clock::Moment) {
        let known = self.lives.get(&owner.host);
        if known.is_none_or(|known| known.incarnation < owner.incarnation) {
            self.alive(owner, now, None);
        }
        if let Some(life) = self.lives.get_mut(&owner.host) {
            life.apart = true;
        }
    }

    /// Takes in the word of the owner's zone: of the sweeper's own, whose hosts it hears, or of
    /// another.
    pub fn take(&mut self, word: &owner::Word, is_own: bool, now: clock::Moment) {
        let Ok(owner) = word.owner.parse::<id::Owner>() else { return };
        match word.sign {
            owner::Sign::Serving if is_own => self.heard(&owner, now),
            owner::Sign::Serving => self.told(&owner, now),
            owner::Sign::Gone => self.gone(&owner, now),
            owner::Sign::Unsure => self.unsure(&owner, now),
        }
    }

    /// Owners among `holdings` to ask other zones about: those never heard of, and those of which
    /// nothing was heard for half of the silence after which they count as dead.
    pub fn questions(
        &self,
        holdings: &[engine::Holding],
        now: clock::Moment,
    ) -> collections::BTreeSet<id::Owner> {
        let owners = holdings.iter().filter_map(|holding| holding.owner.parse::<id::Owner>().ok());
        let is_quiet = |owner: &id::Owner| match self.lives.get(&owner.host) {
            Some(life) if life.incarnation > owner.incarnation => false,
            Some(life) => {
                let is_stranger = life.beat.is_none() && !life.apart;
                is_stranger || now.since(life.heard) >= self.settings.silence / 2
            }
            None => true,
        };
        owners.filter(is_quiet).collect()
    }

    fn alive(&mut self, owner: &id::Owner, now: clock::Moment, beat: Option<clock::Moment>) {
        let life = Life { incarnation: owner.incarnation, heard: now, beat, apart: false };
        let known = self.lives.entry(owner.host.clone()).or_insert(life);
        if owner.incarnation >= known.incarnation {
            *known =
                Life { beat: beat.or(known.beat), apart: known.apart && beat.is_none(), ..life };
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
        let before = self.over.remove(upstream).unwrap_or_default();
        let over = holdings.iter().filter(|holding| self.is_over(holding, cut_off, now));
        let since = |id: &String| before.get(id).copied().unwrap_or(now);
        let over: Vec<_> = over.map(|holding| (holding, since(&holding.id))).collect();
        let noted = over.iter().map(|(holding, since)| (holding.id.clone(), *since));
        self.over.insert(upstream.clone(), noted.collect());
        let due = over.iter().filter(|(holding, since)| self.is_due(holding, *since, now));
        due.map(|(holding, _)| holding.id.clone()).collect()
    }

    /// Failure answered: a host restarts at once, its old streams are proven dead at once, and a
    /// caller that comes back for one a second later has its million tokens prefilled again.
    fn is_due(&self, holding: &engine::Holding, since: clock::Moment, now: clock::Moment) -> bool {
        match holding.kind {
            engine::Kind::Stream => now.since(since) >= self.settings.takeover,
            engine::Kind::Reservation | engine::Kind::Export => true,
        }
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
        let sure = self.lives.values().filter(|life| !life.apart);
        let heard = sure.clone().filter(|life| life.beat.is_some_and(fresh)).count();
        let share = heard as f64 / sure.count().max(1) as f64;
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

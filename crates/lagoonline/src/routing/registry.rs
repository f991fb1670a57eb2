//! Registry of upstreams, built from the platform's list and from what other hosts know.
//!
//! What a host learns of an upstream may come late, twice or out of order: from its own watch of
//! the list, through the host that reads for the zone, from another host, or from a write that the
//! platform carries out late. Three orders decide which statement is the newer one:
//!
//! 1. The lifetime of the upstream, by its start time. An announced departure is final within a
//!    lifetime ([`leaving::Marks`]); only a later lifetime ends it. A statement that names no
//!    lifetime is about the latest one known.
//! 2. The platform's [`Revision`] of the row. An entry that is not newer than the one known, or than the
//!    removal that is known, changes nothing.
//! 3. The upstream's own sequence of reports. An entry with a lower one is an older write of the
//!    same lifetime, whatever its revision.
//!
//! An entry that vanishes may belong to an upstream that left without notice, or to a live one that
//! could not report during an outage and registers again soon after it. One that vanishes while the
//! platform answers this host is dropped at once. One that is found missing after an outage stays
//! in use for a short time ([`Settings`]), unless a host of its own zone was served by the platform
//! when the entry vanished: that zone had no outage, so the upstream left.
//!
//! A platform that was restored from an older copy may list an upstream whose removal is known, or lack
//! one that registered later. Its list is right again once it has dropped what it does not hear and
//! upstreams have registered again. Until then an entry of the copy does not undo a removal that came
//! after it, and missing entries are treated as after an outage.

use std::collections;

use super::{Change, Departure, DepartureCause, Effect, Listing, Older, Registration, Revision};
use crate::clock;
use crate::id;
use crate::lifecycle::leaving;

/// How long knowledge is kept that the platform no longer confirms.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum time for which a vanished entry stays in use after the platform has answered again.
    /// It is shorter than the bound on leaving upstreams, since this host has read of the removal.
    pub grace_after_answer: clock::Span,
    /// Maximum time for which a vanished entry stays in use after the start of the last call that
    /// failed, when the outage had not ended. It is shorter than the time after which a host that
    /// can reach the platform is held to the bound on leaving upstreams, however late it notices.
    pub grace_after_failure: clock::Span,
    /// How long after a failed call, or an outage, this host does not tell others to rely on the
    /// removals that it reads, and how long after a restore an entry of the copy does not undo a
    /// removal: the platform drops what it has not heard for three reports, and an upstream registers
    /// again within two more.
    pub doubt_span: clock::Span,
    /// How long an entry of an earlier lifetime or report is taken for a late write. After that it is
    /// taken for an upstream that restarted with its clock set back, or whose last entry was of another
    /// writer.
    pub late_write_span: clock::Span,
    /// How long the departure of an upstream is remembered that is no longer listed. Writes that
    /// the platform carries out late are done by then, and the upstream has ended.
    pub departure_memory: clock::Span,
    /// Maximum number of such departures; the oldest is forgotten first.
    pub max_departures: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            grace_after_answer: clock::Span::from_millis(1_900),
            grace_after_failure: clock::Span::from_millis(2_900),
            doubt_span: clock::Span::from_secs(6),
            late_write_span: clock::Span::from_secs(15),
            departure_memory: clock::Span::from_secs(60),
            max_departures: 4_096,
        }
    }
}

/// The end of an outage of the platform, as this host saw it.
#[derive(Clone, Copy, Debug)]
struct Recovery {
    failed_at: clock::Moment,
    answered_at: clock::Moment,
}

/// The beginning of the platform's era, as this host saw it.
#[derive(Clone, Copy, Debug)]
struct Beginning {
    /// Revision of the first list, whose entries may be of the copy from which the platform was
    /// restored.
    revision: Revision,
    /// Until when entries of the copy are in doubt.
    doubt_until: clock::Moment,
}

/// The removal of an entry that is no longer in use.
#[derive(Clone, Debug)]
struct Removal {
    started_ms: u64,
    sequence: u64,
    revision: Revision,
    /// Whether other hosts can rely on it.
    witnessed: bool,
    at: clock::Moment,
}

impl Removal {
    /// The removal of an entry of which no more is known than the start time of its lifetime.
    fn unlisted(started_ms: u64, revision: Revision, now: clock::Moment) -> Removal {
        Removal { started_ms, sequence: 0, revision, witnessed: false, at: now }
    }
}

/// An entry that vanished around an outage and stays in use.
#[derive(Clone, Copy, Debug)]
struct Vanished {
    until: clock::Moment,
    revision: Revision,
}

/// An entry of the list that is not followed, because a newer statement is known.
#[derive(Clone, Debug)]
struct Overruled {
    listing: Listing,
    since: clock::Moment,
    /// Until when it is in doubt after a restore; `None` if that is not why.
    doubted_until: Option<clock::Moment>,
}

/// All upstreams.
///
/// ```
/// use lagoonline::{clock::Moment, id::Zone, routing::{Registry, RegistrySettings}};
/// let mut registry = Registry::new(RegistrySettings::default(), Zone::from("a"));
/// assert_eq!(registry.entries().count(), 0);
/// assert!(registry.expire(Moment::from_millis(5)).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Registry {
    settings: Settings,
    /// Availability zone of this host.
    zone: id::Zone,
    entries: collections::BTreeMap<id::Upstream, Listing>,
    vanished: collections::BTreeMap<id::Upstream, Vanished>,
    overruled: collections::BTreeMap<id::Upstream, Overruled>,
    removals: collections::BTreeMap<id::Upstream, Removal>,
    /// The latest lifetime of each upstream, and whether it has announced its departure.
    marks: leaving::Marks,
    recovery: Option<Recovery>,
    beginning: Option<Beginning>,
    /// When a call to the platform last failed.
    last_failure: Option<clock::Moment>,
}

impl Registry {
    /// Creates the registry of a host in `zone`.
    pub fn new(settings: Settings, zone: id::Zone) -> Registry {
        Registry {
            settings,
            zone,
            entries: collections::BTreeMap::new(),
            vanished: collections::BTreeMap::new(),
            overruled: collections::BTreeMap::new(),
            removals: collections::BTreeMap::new(),
            marks: leaving::Marks::default(),
            recovery: None,
            beginning: None,
            last_failure: None,
        }
    }

    /// Records that the platform answered at `answered_at` after an outage. The last call that
    /// failed was started at `failed_at`. Call this before applying the changes of that answer.
    pub fn record_recovery(&mut self, failed_at: clock::Moment, answered_at: clock::Moment) {
        self.recovery = Some(Recovery { failed_at, answered_at });
    }

    /// Records that at `now` the platform listed all entries as of `revision`, the first list of its era
    /// that this host reads. If it knew an earlier one, the platform was restored from an older copy of
    /// itself, which counts as an outage too. Call this before applying the list.
    pub fn begin_era(&mut self, revision: Revision, now: clock::Moment) {
        let doubt_until = now + self.settings.doubt_span;
        self.beginning = Some(Beginning { revision, doubt_until });
    }

    /// Records that a call to the platform, for any of its tables, failed at `now`.
    pub fn record_failure(&mut self, now: clock::Moment) {
        self.last_failure = Some(now);
    }

    /// Applies a change of the platform's list.
    pub fn apply(&mut self, change: Change, now: clock::Moment) -> Effect {
        match change {
            Change::Put(listing) => self.put(listing, now),
            Change::Removed { upstream, revision } => self.remove(&upstream, revision, true, now),
            Change::Invalid { upstream, revision } => self.remove(&upstream, revision, false, now),
        }
    }

    /// Applies a departure that another host reported.
    pub fn learn(&mut self, departure: &Departure, now: clock::Moment) -> Effect {
        let started_ms = self.lifetime(&departure.upstream, departure.started_ms);
        let departure = &Departure { started_ms, ..departure.clone() };
        match departure.cause {
            DepartureCause::Announced => self.learn_announcement(departure, now),
            DepartureCause::Removed { revision } => self.learn_removal(departure, revision, now),
        }
    }

    /// Applies what the time that has passed changes: vanished entries whose time is over are
    /// dropped, old departures are forgotten. Returns the effects on upstreams in use.
    pub fn expire(&mut self, now: clock::Moment) -> Vec<(id::Upstream, Effect)> {
        let mut effects = self.drop_vanished(now);
        effects.extend(self.follow_overruled(now));
        self.forget_departures(now);
        effects
    }

    /// Returns the upstreams in use and the leaving ones that are still listed.
    pub fn entries(&self) -> impl Iterator<Item = &Registration> {
        self.entries.values().map(|listing| &listing.registration)
    }

    /// Whether an upstream is in use, or leaving and still listed.
    pub fn is_listed(&self, upstream: &id::Upstream) -> bool {
        self.entries.contains_key(upstream)
    }

    /// Whether an upstream is listed, or was until lately.
    pub fn is_remembered(&self, upstream: &id::Upstream) -> bool {
        self.is_listed(upstream) || self.marks.mark(upstream).is_some()
    }

    /// Returns the number of vanished entries that are in use.
    pub fn kept(&self) -> usize {
        self.vanished.len()
    }

    /// Returns the departures that other hosts can rely on.
    pub fn departures(&self) -> impl Iterator<Item = Departure> {
        let announced = self.marks.iter().filter(|(_, mark)| mark.leaving);
        let announced = announced.map(|(upstream, mark)| Departure {
            upstream: upstream.clone(),
            started_ms: mark.incarnation.0,
            cause: DepartureCause::Announced,
        });
        let witnessed = self.removals.iter().filter(|(_, removal)| removal.witnessed);
        let witnessed = witnessed.map(|(upstream, removal)| Departure {
            upstream: upstream.clone(),
            started_ms: removal.started_ms,
            cause: DepartureCause::Removed { revision: removal.revision },
        });
        announced.chain(witnessed)
    }

    fn put(&mut self, mut listing: Listing, now: clock::Moment) -> Effect {
        let registration = &mut listing.registration;
        registration.started_ms = self.lifetime(&registration.upstream, registration.started_ms);
        if let Some(until) = self.doubted_until(&listing, now) {
            self.overrule(listing, Some(until), now);
            return Effect::Ignored(Older::BeforeRestore);
        }
        let older = self.compare(&listing);
        if let Some(older) = older.or_else(|| self.compare_with_mark(&listing.registration)) {
            if matches!(
                older,
                Older::EarlierReport | Older::EarlierLifetime | Older::AfterAnnouncement
            ) {
                self.overrule(listing, None, now);
            }
            return Effect::Ignored(older);
        }
        let Registration { upstream, started_ms, leaving, .. } = listing.registration.clone();
        let mark = leaving::Mark { incarnation: id::Incarnation(started_ms), leaving };
        let is_news = self.marks.merge(&upstream, mark).is_some();
        self.vanished.remove(&upstream);
        self.overruled.remove(&upstream);
        self.removals.remove(&upstream);
        self.entries.insert(upstream.clone(), listing);
        if !leaving {
            return Effect::Listed;
        }
        let departure = Departure { upstream, started_ms, cause: DepartureCause::Announced };
        if is_news { Effect::Departed { departure, witnessed: true } } else { Effect::Unchanged }
    }

    /// Keeps an entry that is not followed now. An upstream that registers again and again is not
    /// followed since the first of these entries.
    fn overrule(
        &mut self,
        listing: Listing,
        doubted_until: Option<clock::Moment>,
        now: clock::Moment,
    ) {
        let Registration { upstream, started_ms, .. } = &listing.registration;
        let is_same = |known: &&Overruled| {
            known.doubted_until.is_none()
                && doubted_until.is_none()
                && known.listing.registration.started_ms == *started_ms
        };
        let since = self.overruled.get(upstream).filter(is_same).map_or(now, |known| known.since);
        let overruled = Overruled { since, doubted_until, listing: listing.clone() };
        self.overruled.insert(upstream.clone(), overruled);
    }

    /// Returns the lifetime of a statement about `upstream` that names `started_ms`. A statement that names
    /// none, 0, is about the latest one known.
    fn lifetime(&self, upstream: &id::Upstream, started_ms: u64) -> u64 {
        match (started_ms, self.marks.mark(upstream)) {
            (0, Some(mark)) => mark.incarnation.0,
            _ => started_ms,
        }
    }

    /// Returns until when `listing` is in doubt: it may be of the copy from which the platform was
    /// restored, and its removal came later in the part of the history that was lost.
    fn doubted_until(&self, listing: &Listing, now: clock::Moment) -> Option<clock::Moment> {
        let Registration { upstream, started_ms, .. } = &listing.registration;
        let is_of_lifetime = |removal: &&Removal| removal.started_ms >= *started_ms;
        let removal = self.removals.get(upstream).filter(is_of_lifetime);
        let removal = removal.map(|removal| removal.revision);
        let vanished = self.vanished.get(upstream).map(|vanished| vanished.revision);
        let removed = removal.max(vanished)?;
        self.doubt_end(listing, removed, now)
    }

    /// Returns until when the removal of an upstream in the revision `removed` counts though the
    /// platform lists it; `None` if `listing` is certainly newer.
    fn doubt_end(
        &self,
        listing: &Listing,
        removed: Revision,
        now: clock::Moment,
    ) -> Option<clock::Moment> {
        let Beginning { revision, doubt_until } = self.beginning?;
        let is_of_copy =
            listing.revision <= revision && listing.revision.version <= removed.version;
        let is_lost = removed.era < revision.era;
        (is_of_copy && is_lost && now < doubt_until).then_some(doubt_until)
    }

    /// Returns why `listing` is older than the known entry or removal of its upstream; `None` if it
    /// is not.
    fn compare(&self, listing: &Listing) -> Option<Older> {
        let Listing { registration, sequence, revision } = listing;
        let is_earlier_report = |started_ms: u64, known: u64| {
            started_ms == registration.started_ms && *sequence > 0 && *sequence < known
        };
        if let Some(removal) = self.removals.get(&registration.upstream) {
            if *revision <= removal.revision {
                return Some(Older::BeforeRemoval);
            }
            if is_earlier_report(removal.started_ms, removal.sequence) {
                return Some(Older::EarlierReport);
            }
        }
        if let Some(vanished) = self.vanished.get(&registration.upstream)
            && *revision <= vanished.revision
        {
            return Some(Older::BeforeRemoval);
        }
        let known = self.entries.get(&registration.upstream)?;
        if *revision <= known.revision {
            return Some(Older::BeforeEntry);
        }
        is_earlier_report(known.registration.started_ms, known.sequence)
            .then_some(Older::EarlierReport)
    }

    /// Returns why `registration` is older than the known lifetime of its upstream, or its
    /// announced departure; `None` if it is not.
    fn compare_with_mark(&self, registration: &Registration) -> Option<Older> {
        let mark = self.marks.mark(&registration.upstream)?;
        let incarnation = id::Incarnation(registration.started_ms);
        if mark.incarnation > incarnation {
            return Some(Older::EarlierLifetime);
        }
        let is_undone = mark.incarnation == incarnation && mark.leaving && !registration.leaving;
        is_undone.then_some(Older::AfterAnnouncement)
    }

    /// Applies a removal. `stated` tells that the entry was removed, and not merely spoiled.
    fn remove(
        &mut self,
        upstream: &id::Upstream,
        revision: Revision,
        stated: bool,
        now: clock::Moment,
    ) -> Effect {
        if self.overruled.get(upstream).is_some_and(|known| known.listing.revision < revision) {
            self.overruled.remove(upstream);
        }
        let Some(known) = self.entries.get(upstream) else {
            return self.remember_removal(upstream, Removal::unlisted(0, revision, now));
        };
        if known.revision >= revision {
            return Effect::Ignored(Older::BeforeEntry);
        }
        if let Some(vanished) = self.vanished.get_mut(upstream) {
            vanished.revision = vanished.revision.max(revision);
            return Effect::Kept(vanished.until);
        }
        let is_leaving = known.registration.leaving;
        let until = self.grace_end().filter(|until| *until > now && !is_leaving);
        if let Some(until) = until {
            self.vanished.insert(upstream.clone(), Vanished { until, revision });
            return Effect::Kept(until);
        }
        let witnessed = stated && !is_leaving && self.is_own(known) && !self.is_in_doubt(now);
        match self.drop_entry(upstream, revision, witnessed, now) {
            Some(departure) if !is_leaving => Effect::Departed { departure, witnessed },
            _ => Effect::Forgotten,
        }
    }

    /// Removes the entry of an upstream and remembers its removal in `revision`. Returns its
    /// departure; `None` if there is no entry.
    fn drop_entry(
        &mut self,
        upstream: &id::Upstream,
        revision: Revision,
        witnessed: bool,
        now: clock::Moment,
    ) -> Option<Departure> {
        self.vanished.remove(upstream);
        let listing = self.entries.remove(upstream)?;
        let started_ms = listing.registration.started_ms;
        let sequence = listing.sequence;
        let removal = Removal { started_ms, sequence, revision, witnessed, at: now };
        self.removals.insert(upstream.clone(), removal);
        let cause = DepartureCause::Removed { revision };
        Some(Departure { upstream: upstream.clone(), started_ms, cause })
    }

    fn learn_announcement(&mut self, departure: &Departure, now: clock::Moment) -> Effect {
        let Departure { upstream, started_ms, .. } = departure;
        let incarnation = id::Incarnation(*started_ms);
        let mark = leaving::Mark { incarnation, leaving: true };
        if self.marks.merge(upstream, mark).is_none() {
            let is_later = |known: leaving::Mark| known.incarnation > incarnation;
            return match self.marks.mark(upstream).is_some_and(is_later) {
                true => Effect::Ignored(Older::EarlierLifetime),
                false => Effect::Unchanged,
            };
        }
        match (self.vanished.remove(upstream), self.entries.get_mut(upstream)) {
            // Its row is gone, and no further removal will be read.
            (Some(vanished), _) => drop(self.drop_entry(upstream, vanished.revision, false, now)),
            (None, Some(known)) => known.registration.leaving = true,
            (None, None) => {
                // Precedes all rows.
                let revision = Revision::default();
                let removal = Removal::unlisted(*started_ms, revision, now);
                drop(self.remember_removal(upstream, removal));
            }
        }
        Effect::Departed { departure: departure.clone(), witnessed: true }
    }

    fn learn_removal(
        &mut self,
        departure: &Departure,
        revision: Revision,
        now: clock::Moment,
    ) -> Effect {
        let Departure { upstream, started_ms, .. } = departure;
        let Some(known) = self.entries.get(upstream) else {
            let removal =
                Removal { witnessed: true, ..Removal::unlisted(*started_ms, revision, now) };
            return self.remember_removal(upstream, removal);
        };
        if known.registration.started_ms > *started_ms {
            return Effect::Ignored(Older::EarlierLifetime);
        }
        let doubted_until = self.doubt_end(known, revision, now);
        if doubted_until.is_none() && known.revision >= revision {
            return Effect::Ignored(Older::BeforeEntry);
        }
        let was_leaving = known.registration.leaving;
        if doubted_until.is_some() {
            // The list is not read again for an entry that a restore has brought back.
            let overruled = Overruled { listing: known.clone(), since: now, doubted_until };
            self.overruled.insert(upstream.clone(), overruled);
        }
        drop(self.drop_entry(upstream, revision, true, now));
        if was_leaving {
            return Effect::Forgotten;
        }
        Effect::Departed { departure: departure.clone(), witnessed: true }
    }

    /// Remembers the removal of an upstream that is not listed here, so that an entry from before
    /// it is not followed.
    fn remember_removal(&mut self, upstream: &id::Upstream, removal: Removal) -> Effect {
        let revision = removal.revision;
        let known = self.removals.entry(upstream.clone()).or_insert(removal);
        known.revision = known.revision.max(revision);
        Effect::Unchanged
    }

    /// Returns until when an entry that is found missing stays in use; `None` without an outage.
    fn grace_end(&self) -> Option<clock::Moment> {
        let Recovery { failed_at, answered_at } = self.recovery?;
        let settings = &self.settings;
        Some(
            (failed_at + settings.grace_after_failure)
                .min(answered_at + settings.grace_after_answer),
        )
    }

    /// Whether an upstream is in the zone of this host.
    fn is_own(&self, listing: &Listing) -> bool {
        listing.registration.zone == self.zone
    }

    /// Whether entries may be missing because of an outage: this host had one, or may have missed a
    /// short one of which only another call failed.
    fn is_in_doubt(&self, now: clock::Moment) -> bool {
        let span = self.settings.doubt_span;
        let recovered_at = self.recovery.map(|recovery| recovery.answered_at);
        recovered_at.max(self.last_failure).is_some_and(|at| at + span > now)
    }

    fn drop_vanished(&mut self, now: clock::Moment) -> Vec<(id::Upstream, Effect)> {
        let overdue = self.vanished.iter().filter(|(_, vanished)| vanished.until <= now);
        let overdue: Vec<_> =
            overdue.map(|(name, vanished)| (name.clone(), vanished.revision)).collect();
        let dropped = overdue.into_iter().filter_map(|(upstream, revision)| {
            let departure = self.drop_entry(&upstream, revision, false, now)?;
            Some((upstream, Effect::Departed { departure, witnessed: false }))
        });
        dropped.collect()
    }

    /// Follows the entries that were not followed for some time only: those of earlier lifetimes or
    /// reports that are too old for late writes, and those that are still listed long after a restore.
    fn follow_overruled(&mut self, now: clock::Moment) -> Vec<(id::Upstream, Effect)> {
        let span = self.settings.late_write_span;
        let is_due = |overruled: &&Overruled| match overruled.doubted_until {
            Some(until) => until <= now,
            None => {
                let listing = &overruled.listing;
                let older = self.compare(listing);
                let older = older.or_else(|| self.compare_with_mark(&listing.registration));
                let is_late = matches!(older, Some(Older::EarlierReport | Older::EarlierLifetime));
                overruled.since + span <= now && is_late
            }
        };
        let due: Vec<_> = self.overruled.values().filter(is_due).cloned().collect();
        let mut effects = Vec::new();
        for Overruled { listing, doubted_until, .. } in due {
            let upstream = listing.registration.upstream.clone();
            if doubted_until.is_some() {
                self.overruled.remove(&upstream);
                // The platform lists it still, so the removal of the earlier era no longer counts.
                let era = self.beginning.map_or(0, |beginning| beginning.revision.era);
                let is_kept = |name: &id::Upstream, removal: &Removal| {
                    *name != upstream || removal.revision.era >= era
                };
                self.removals.retain(|name, removal| is_kept(name, removal));
            } else if self.compare(&listing) == Some(Older::EarlierReport) {
                self.entries.remove(&upstream);
                self.removals.remove(&upstream);
            } else {
                self.marks.retain(|name| *name != upstream);
            }
            effects.push((upstream, self.put(listing, now)));
        }
        effects
    }

    fn forget_departures(&mut self, now: clock::Moment) {
        let span = self.settings.departure_memory;
        self.removals.retain(|_, removal| removal.at + span > now);
        while self.removals.len() > self.settings.max_departures {
            let oldest = self.removals.iter().min_by_key(|(_, removal)| removal.at);
            let Some(oldest) = oldest.map(|(name, _)| name.clone()) else { break };
            self.removals.remove(&oldest);
        }
        let Registry { entries, overruled, removals, marks, .. } = self;
        marks.retain(|name| {
            entries.contains_key(name)
                || overruled.contains_key(name)
                || removals.contains_key(name)
        });
    }
}

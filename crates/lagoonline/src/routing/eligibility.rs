//! Whether an upstream may get a request now: the one question that is asked before every send.
//!
//! Load pattern: operators evacuate a zone while all hosts send to it at full rate, and return it
//! while its upstreams have just started. Requests of some customers may only be processed in some
//! regions, whatever the load elsewhere. A request that was placed, queued or kept before that must
//! not be sent on what was known then, so every way to an upstream asks again just before it sends.
//!
//! An evacuation is a row of the platform that exists while the zone is evacuated. It binds from the
//! moment at which this host learns of it, which is always within the bound. Statements about a zone
//! are ordered by the revision of the table that they were read from, so that a late or repeated one
//! never undoes a newer one. A host ignores what others say of revisions that it has read itself.
//!
//! A platform that was restored from an older copy may lack an evacuation until operators have written it
//! again. Until then an evacuation of the earlier era stays in force, and may still be learned.

use std::collections;
use std::fmt;

use super::{Customer, Registration, Revision, Route};
use crate::clock;
use crate::id;

/// Maximum number of zones about which statements are kept. Deployments have less than twenty zones;
/// the limit bounds what faulty messages can add.
const MAX_ZONES: usize = 256;

/// The regions in which a request may be processed.
///
/// ```
/// use lagoonline::{id::Region, routing::Homes};
/// let (east, west) = (Region::from("east"), Region::from("west"));
/// assert!(Homes::default().allows(None));
/// let homes = Homes::only([east.clone()]);
/// assert!(homes.allows(Some(&east)));
/// assert!(!homes.allows(Some(&west)));
/// assert!(!homes.allows(None));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Homes {
    /// `None` if all regions are allowed.
    regions: Option<collections::BTreeSet<id::Region>>,
}

impl Homes {
    /// Only the given regions; none at all if there are none.
    pub fn only<Regions>(regions: Regions) -> Homes
    where
        Regions: IntoIterator<Item = id::Region>,
    {
        Homes { regions: Some(regions.into_iter().collect()) }
    }

    /// The homes of a request on `route` of `customer`. If both have homes, both constraints apply.
    pub fn of(route: &Route, customer: Option<&Customer>) -> Homes {
        let customer = customer.map_or(&[][..], |customer| &customer.homes);
        let listed = |homes: &&[id::Region]| !homes.is_empty();
        let mut constraints = [&route.homes[..], customer].into_iter().filter(listed);
        let Some(first) = constraints.next() else { return Homes::default() };
        let rest: Vec<_> = constraints.collect();
        let in_all = |region: &&id::Region| rest.iter().all(|homes| homes.contains(region));
        Homes::only(first.iter().filter(in_all).cloned())
    }

    /// Whether a request may be processed in `region`, `None` being an unknown region.
    pub fn allows(&self, region: Option<&id::Region>) -> bool {
        match &self.regions {
            None => true,
            Some(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }

    /// The only regions that are allowed; `None` if all are.
    pub fn regions(&self) -> Option<impl Iterator<Item = &id::Region>> {
        self.regions.as_ref().map(|regions| regions.iter())
    }
}

/// What is to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// A request, a part of one, a reservation for one, or a call that serves no running request.
    New,
    /// A call about a request that is running, which ends whole whatever the operators evacuate.
    Running,
}

/// A send that is about to be made.
#[derive(Clone, Copy, Debug)]
pub struct Send<'a> {
    /// The upstream as it was chosen.
    pub chosen: &'a Registration,
    /// The upstream as it is listed now; `None` if it is not.
    pub listed: Option<&'a Registration>,
    /// Where the request may be processed.
    pub homes: &'a Homes,
    /// Until when the upstream wants no requests from the host that sends.
    pub backoff_until: Option<clock::Moment>,
    /// What is sent.
    pub work: Work,
}

/// Why nothing may be sent to an upstream now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Exclusion {
    /// It is leaving, or no longer listed.
    Left,
    /// It has restarted since it was chosen.
    OtherLifetime,
    /// Operators have evacuated its zone.
    Evacuated(id::Zone),
    /// Its region, if that is known at all, is none of the request's homes.
    OutsideHomes(id::Zone),
    /// It wants no requests from this host until this moment.
    BackedOff(clock::Moment),
}

impl fmt::Display for Exclusion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Exclusion::Left => formatter.write_str("it has left"),
            Exclusion::OtherLifetime => formatter.write_str("it has restarted"),
            Exclusion::Evacuated(zone) => write!(formatter, "zone {zone} is evacuated"),
            Exclusion::OutsideHomes(zone) => {
                write!(formatter, "zone {zone} is in no home region of the request")
            }
            Exclusion::BackedOff(_) => formatter.write_str("it asked this host to wait"),
        }
    }
}

/// What the platform's table says of a zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Evacuation {
    /// The zone.
    pub zone: id::Zone,
    /// Revision of the platform's table that says so. It is the revision up to which the host that
    /// read it had read all rows, and not that of the row: a row that was removed and written again
    /// may be seen only once.
    pub revision: Revision,
    /// Whether the zone is evacuated, or else returned to service.
    pub in_force: bool,
}

/// The newest statement about a zone.
#[derive(Clone, Copy, Debug)]
struct Statement {
    revision: Revision,
    in_force: bool,
    /// When this host learned of it.
    since: clock::Moment,
}

/// What this host knows of zones: which are evacuated, and in which region each is.
///
/// ```
/// use lagoonline::{clock::Moment, routing::{Eligibility, Evacuation, Revision}};
/// let mut eligibility = Eligibility::default();
/// let revision = Revision { era: 1, version: 7 };
/// let evacuation = Evacuation { zone: "erie".into(), revision, in_force: true };
/// assert!(eligibility.learn(&evacuation, Moment::from_millis(5)));
/// assert!(eligibility.is_evacuated(&"erie".into()));
/// let revision = Revision { era: 1, version: 6 };
/// let older = Evacuation { revision, in_force: false, ..evacuation };
/// assert!(!eligibility.learn(&older, Moment::from_millis(9)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Eligibility {
    regions: collections::BTreeMap<id::Zone, id::Region>,
    statements: collections::BTreeMap<id::Zone, Statement>,
    /// Revision of the platform up to which this host has read all rows.
    read_revision: Revision,
    /// When operators have written again what the last restore of the platform has lost.
    settled_at: Option<clock::Moment>,
}

impl Eligibility {
    /// Creates the knowledge of a host that has heard of no evacuation, with the region of each
    /// zone.
    pub fn new(regions: collections::BTreeMap<id::Zone, id::Region>) -> Eligibility {
        Eligibility { regions, ..Eligibility::default() }
    }

    /// Returns why `send` must not be made now; `None` if it may be.
    pub fn exclusion(&self, send: &Send<'_>) -> Option<Exclusion> {
        let Some(listed) = send.listed.filter(|listed| !listed.leaving) else {
            return Some(Exclusion::Left);
        };
        if listed.started_ms != send.chosen.started_ms {
            return Some(Exclusion::OtherLifetime);
        }
        let zone = &listed.zone;
        if send.work == Work::New && self.is_evacuated(zone) {
            return Some(Exclusion::Evacuated(zone.clone()));
        }
        if !send.homes.allows(self.region(zone)) {
            return Some(Exclusion::OutsideHomes(zone.clone()));
        }
        send.backoff_until.map(Exclusion::BackedOff)
    }

    /// Returns the region of a zone; `None` if it is unknown.
    pub fn region(&self, zone: &id::Zone) -> Option<&id::Region> {
        self.regions.get(zone)
    }

    /// Whether operators have evacuated this zone, as far as known.
    pub fn is_evacuated(&self, zone: &id::Zone) -> bool {
        self.statements.get(zone).is_some_and(|statement| statement.in_force)
    }

    /// Sets when operators have written again what the last restore of the platform has lost.
    pub fn set_settled_at(&mut self, settled_at: clock::Moment) {
        self.settled_at = Some(settled_at);
    }

    /// Applies the table of the platform as of `revision`: the zones in `listed` are evacuated, and
    /// no others but those that a restore may have lost. Returns what changed.
    ///
    /// The table is compared as a whole, since a host may know of an evacuation from others only,
    /// and then reads no removal when it first reads the table.
    pub fn read(
        &mut self,
        listed: &[id::Zone],
        revision: Revision,
        now: clock::Moment,
    ) -> Vec<Evacuation> {
        if revision < self.read_revision {
            return Vec::new();
        }
        self.read_revision = revision;
        let is_lost = |zone: &id::Zone| {
            let known = self.statements.get(zone);
            known.is_some_and(|known| self.may_be_lost(known.revision, now))
        };
        let is_missing = |zone: &&id::Zone| !listed.contains(zone) && !is_lost(zone);
        let missing: Vec<_> = self.evacuated().filter(is_missing).collect();
        let ended = missing.into_iter().cloned().map(|zone| (zone, false));
        let zones: Vec<_> = ended.chain(listed.iter().cloned().map(|zone| (zone, true))).collect();
        let statements =
            zones.into_iter().map(|(zone, in_force)| Evacuation { zone, revision, in_force });
        statements.filter(|statement| self.apply(statement, now)).collect()
    }

    /// Applies a statement that another host passed on. Returns whether it changes which zones are
    /// evacuated.
    pub fn learn(&mut self, evacuation: &Evacuation, now: clock::Moment) -> bool {
        let known = self.statements.get(&evacuation.zone);
        let known = known.map_or(Revision::default(), |known| known.revision);
        let is_new = evacuation.revision > known.max(self.read_revision);
        let is_lost = evacuation.in_force
            && evacuation.revision > known
            && self.may_be_lost(evacuation.revision, now);
        (is_new || is_lost) && self.apply(evacuation, now)
    }

    /// Whether a restore may have lost what the platform said in `revision`, and operators may not have
    /// written it again yet.
    fn may_be_lost(&self, revision: Revision, now: clock::Moment) -> bool {
        revision.era < self.read_revision.era && self.settled_at.is_some_and(|at| now < at)
    }

    /// Returns the zones that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &id::Zone> {
        self.statements.iter().filter(|(_, known)| known.in_force).map(|(zone, _)| zone)
    }

    /// Returns all statements that are known, each with the time since this host learned of it.
    pub fn statements(
        &self,
        now: clock::Moment,
    ) -> impl Iterator<Item = (Evacuation, clock::Span)> {
        self.statements.iter().map(move |(zone, known)| {
            let Statement { revision, in_force, since } = *known;
            (Evacuation { zone: zone.clone(), revision, in_force }, now.since(since))
        })
    }

    /// Applies a statement unless a newer one is known. Returns whether it changes which zones are
    /// evacuated.
    fn apply(&mut self, evacuation: &Evacuation, now: clock::Moment) -> bool {
        let Evacuation { zone, revision, in_force } = evacuation;
        let known = self.statements.get(zone).copied();
        if known.is_some_and(|known| known.revision > *revision) {
            return false;
        }
        if known.is_none() && self.statements.len() >= MAX_ZONES && !self.forget_oldest() {
            return false;
        }
        let changes = known.is_some_and(|known| known.in_force) != *in_force;
        let since = known.filter(|_| !changes).map_or(now, |known| known.since);
        let statement = Statement { revision: *revision, in_force: *in_force, since };
        self.statements.insert(zone.clone(), statement);
        changes
    }

    /// Forgets the oldest evacuation that has ended. Returns whether there was one.
    fn forget_oldest(&mut self) -> bool {
        let ended = self.statements.iter().filter(|(_, known)| !known.in_force);
        let oldest = ended.min_by_key(|(_, known)| known.revision);
        let Some(oldest) = oldest.map(|(zone, _)| zone.clone()) else { return false };
        self.statements.remove(&oldest).is_some()
    }
}

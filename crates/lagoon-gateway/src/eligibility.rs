//! Which upstreams may get requests now: the evacuated zones as this host reads them or hears of
//! them, and the question that is asked before each send.
//!
//! A host that has lost the platform does not read that a zone was evacuated or returned. The hosts
//! that read it tell all others at once, tell them again with the heartbeats between zones, and tell
//! each host that they meet. [`routing::Eligibility`] decides which statement is the newer one.

use std::fmt;
use std::sync;

use lagoon_platform::desired;
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::{backoff, placement};
use lagoonline::routing;

use crate::event;
use crate::mesh;
use crate::message;
use crate::state;
use crate::tables;

/// Time for which the end of an evacuation is told again: datagrams may be lost, and zones cut off
/// from each other for some seconds. An evacuation is told again for as long as it lasts.
const END_REPEAT_TIME: clock::Span = clock::Span::from_secs(30);

/// A statement about the evacuation of a zone.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Evacuated {
    /// Name of the zone.
    #[prost(string, tag = "1")]
    zone: String,
    /// Version of the platform's table that says so.
    #[prost(uint64, tag = "2")]
    version: u64,
    /// Whether the zone is evacuated, or else returned to service.
    #[prost(bool, tag = "3")]
    in_force: bool,
    /// Era of the platform's store for that version; absent from a host of an earlier build.
    #[prost(uint64, optional, tag = "4")]
    era: Option<u64>,
}

impl Evacuated {
    fn new(evacuation: &routing::Evacuation) -> Evacuated {
        let routing::Evacuation { zone, revision, in_force } = evacuation;
        let routing::Revision { era, version } = *revision;
        Evacuated { zone: zone.to_string(), version, in_force: *in_force, era: Some(era) }
    }

    /// Decodes the statement. If it names no era, it is of `era`.
    fn evacuation(&self, era: u64) -> routing::Evacuation {
        let zone = id::Zone::from(self.zone.as_str());
        let era = self.era.unwrap_or(era);
        let revision = routing::Revision { era, version: self.version };
        routing::Evacuation { zone, revision, in_force: self.in_force }
    }

    /// Creates the update that tells other hosts. It concerns no service in particular.
    fn update(self) -> message::Update {
        message::Update::new(0, &id::Service::from(""), message::Kind::Evacuated(self))
    }
}

/// The way by which a statement about a zone reached this host.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// The platform's table, read by this host or passed on.
    Table(tables::Way),
    /// The host incarnation that reported it.
    Host(u64),
}

impl fmt::Display for Source {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Table(way) => way.fmt(formatter),
            Source::Host(incarnation) => write!(formatter, "host {incarnation}"),
        }
    }
}

impl state::State {
    /// Returns what is known of zones now.
    pub(crate) fn eligibility(&self) -> sync::Arc<routing::Eligibility> {
        state::lock(&self.eligibility).clone()
    }

    /// Returns why `work` must not be sent now to an upstream that was chosen, for a request with
    /// these homes; `None` if it may be. If its service itself is gone, the request still goes where
    /// it was placed.
    pub(crate) fn exclusion(
        &self,
        chosen: &routing::Registration,
        homes: &routing::Homes,
        work: routing::Work,
    ) -> Option<routing::Exclusion> {
        let entry =
            |placer: &mut placement::Placer, _| placer.entry(chosen.upstream.as_str()).cloned();
        let listed = self.with_placer(&chosen.service, entry);
        self.eligibility().exclusion(&routing::Send {
            chosen,
            listed: listed.as_ref().map_or(Some(chosen), Option::as_ref),
            homes,
            backoff_until: self.backoff_until(chosen),
            work,
        })
    }

    /// Returns until when an upstream wants no calls about a running request, which are made whether
    /// it leaves or its zone is evacuated; `None` if it takes them.
    pub(crate) fn running_work_until(
        &self,
        chosen: &routing::Registration,
    ) -> Option<clock::Moment> {
        let exclusion = self.eligibility().exclusion(&routing::Send {
            chosen,
            listed: Some(chosen),
            homes: &routing::Homes::default(),
            backoff_until: self.backoff_until(chosen),
            work: routing::Work::Running,
        });
        match exclusion {
            Some(routing::Exclusion::BackedOff(until)) => Some(until),
            _ => None,
        }
    }

    /// Returns the other hosts that must not carry a body for a request with these homes: those that
    /// are neither in one of them nor in this host's region.
    pub(crate) fn barred_hosts(&self, homes: &routing::Homes) -> Vec<id::Host> {
        if homes.regions().is_none() {
            return Vec::new();
        }
        let node = &self.settings.node;
        let eligibility = self.eligibility();
        let is_allowed = |zone: &id::Zone| {
            let region = eligibility.region(zone);
            let is_own = *zone == node.zone || region == Some(&node.region);
            is_own || homes.allows(region)
        };
        let paths = state::lock(&self.paths);
        let barred = paths.hosts().filter(|(_, zone)| !is_allowed(zone));
        barred.map(|(host, _)| host.clone()).collect()
    }

    /// Applies the rows about evacuated zones, which came by `way`. Nothing is applied while the
    /// table is incomplete.
    pub(crate) fn read_evacuations(&self, way: tables::Way) {
        let mirror = state::lock(&self.tables.desired);
        let Some(revision) = mirror.revision() else { return };
        let listed: Vec<_> =
            mirror.rows().filter_map(|row| desired::evacuated_zone(&row.key)).collect();
        drop(mirror);
        let mut eligibility = state::lock(&self.eligibility);
        let now = self.clock.now();
        let known = sync::Arc::make_mut(&mut eligibility);
        known.set_settled_at(self.era.get().settled_at());
        let changes = known.read(&listed, revision, now);
        drop(eligibility);
        for change in &changes {
            self.log_evacuation(change, Source::Table(way));
            if way == tables::Way::Platform {
                self.publish(Evacuated::new(change).update());
            }
        }
    }

    /// Applies a statement of the host incarnation `sender`.
    pub(crate) fn apply_evacuated(&self, sender: u64, word: &Evacuated) {
        let evacuation = word.evacuation(self.era.get().number());
        let mut eligibility = state::lock(&self.eligibility);
        let now = self.clock.now();
        let is_change = sync::Arc::make_mut(&mut eligibility).learn(&evacuation, now);
        drop(eligibility);
        if is_change {
            self.log_evacuation(&evacuation, Source::Host(sender));
        }
    }

    /// Returns updates that tell a host which zones are evacuated, and which were.
    pub(crate) fn evacuation_updates(&self) -> Vec<message::Update> {
        let eligibility = self.eligibility();
        let statements = eligibility.statements(self.clock.now());
        statements.map(|(evacuation, _)| Evacuated::new(&evacuation).update()).collect()
    }

    /// Tells other hosts again which zones are evacuated, and which were until lately, if this host
    /// reads that from the platform.
    pub(crate) fn repeat_evacuations(&self) {
        if !self.tables.reads_platform() || self.tables.platform_fails() {
            return;
        }
        let eligibility = self.eligibility();
        for (evacuation, age) in eligibility.statements(self.clock.now()) {
            if evacuation.in_force || age <= END_REPEAT_TIME {
                self.publish(Evacuated::new(&evacuation).update());
            }
        }
    }

    /// Tells the host that places requests for this zone why it must not place any at `entry`. It
    /// has not heard of it, or forgot it. It has the homes from the question, and the list of
    /// upstreams from the platform.
    pub(crate) fn tell_scheduler_why(
        &self,
        entry: &routing::Registration,
        exclusion: &routing::Exclusion,
    ) {
        match exclusion {
            routing::Exclusion::BackedOff(until) => self.tell_scheduler(&backoff::Backoff {
                upstream: entry.upstream.clone(),
                started_ms: entry.started_ms,
                until: *until,
            }),
            routing::Exclusion::Evacuated(zone) => {
                let eligibility = self.eligibility();
                let mut statements = eligibility.statements(self.clock.now());
                if let Some((known, _)) = statements.find(|(known, _)| known.zone == *zone) {
                    let update = Evacuated::new(&known).update();
                    self.queue_update(update, mesh::Audience::OwnZone);
                }
            }
            routing::Exclusion::Left
            | routing::Exclusion::OtherLifetime
            | routing::Exclusion::OutsideHomes(_) => {}
        }
    }

    /// Logs that a zone was evacuated or returned, and updates the metric.
    fn log_evacuation(&self, evacuation: &routing::Evacuation, source: Source) {
        let eligibility = self.eligibility();
        let zones: Vec<_> = eligibility.evacuated().map(id::Zone::as_str).collect();
        self.metrics.evacuated_zones.set(i64::try_from(zones.len()).unwrap_or(i64::MAX));
        let event = if evacuation.in_force { "zone_evacuated" } else { "zone_returned" };
        event::Line::new(event)
            .text("zone", &evacuation.zone)
            .revision(evacuation.revision)
            .text("way", source)
            .text("evacuated", zones.join(" "))
            .info();
    }
}

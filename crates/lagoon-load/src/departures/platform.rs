//! The platform's list and the upstreams that report to it.

use std::net;

use lagoonline::id;
use lagoonline::routing;
use rand::Rng;
use rand::rngs::StdRng;

use super::scenario::{Departure, Fault, Scenario};

/// Interval of an upstream's reports, in milliseconds.
const REPORT_MS: u64 = 1_200;
/// Time without a report after which the entry is dropped, in milliseconds.
const EXPIRY_MS: u64 = 3 * REPORT_MS;
/// Time after which a late write is carried out, in milliseconds.
const LATE_WRITE_MS: u64 = 1_500;
/// How long before the others leave one upstream starts, in milliseconds. Hosts pause after they
/// have read of it, so that some have not read of the departures when a fault begins.
const START_BEFORE_MS: u64 = 200;
/// When a fault begins, in milliseconds.
pub(super) const FAULT_MS: u64 = 10_000;

/// An upstream.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) zone: usize,
    /// When the platform acknowledged its departure.
    pub(super) left_at: Option<u64>,
    leaves: bool,
    next_report: u64,
    reported_at: u64,
    sequence: u64,
    listed: bool,
}

impl Upstream {
    /// Whether it has reported at least once.
    pub(super) fn has_started(&self) -> bool {
        self.reported_at > 0
    }
}

/// The platform's list and its upstreams.
#[derive(Debug)]
pub(super) struct Platform {
    scenario: Scenario,
    pub(super) upstreams: Vec<Upstream>,
    /// Changes of the list, one for each version from 1 on, and when they were made.
    log: Vec<(u64, routing::Change)>,
    late_writes: Vec<(u64, usize)>,
}

/// Returns the name of the upstream `index`.
pub(super) fn name(index: usize) -> id::Upstream {
    id::Upstream::from(format!("u{index}"))
}

/// Returns the index of the upstream with this name.
pub(super) fn index(upstream: &id::Upstream) -> usize {
    upstream.as_str()[1..].parse().unwrap_or(usize::MAX)
}

/// Returns the name of a zone.
pub(super) fn zone(index: usize) -> id::Zone {
    id::Zone::from(format!("z{index}"))
}

impl Platform {
    pub(super) fn new(scenario: &Scenario, random: &mut StdRng) -> Platform {
        let upstream = |index: usize| Upstream {
            zone: index % scenario.zones,
            left_at: None,
            leaves: index % 5 == 1,
            next_report: 0,
            reported_at: 0,
            sequence: 1,
            listed: false,
        };
        let mut upstreams: Vec<_> = (0..scenario.upstreams).map(upstream).collect();
        for upstream in &mut upstreams {
            upstream.next_report = random.random_range(0..REPORT_MS);
        }
        upstreams[0].next_report = scenario.leave_ms.saturating_sub(START_BEFORE_MS);
        let (log, late_writes) = (Vec::new(), Vec::new());
        Platform { scenario: *scenario, upstreams, log, late_writes }
    }

    /// Whether the fault is in force.
    pub(super) fn is_faulty(&self, now: u64) -> bool {
        self.scenario.fault != Fault::None
            && (FAULT_MS..FAULT_MS + self.scenario.fault_ms).contains(&now)
    }

    /// Whether upstreams of `zone` can report to the platform.
    fn hears(&self, zone: usize, now: u64) -> bool {
        let out_of_reach = match self.scenario.fault {
            Fault::ZoneCut => zone == 0,
            Fault::Silent | Fault::Busy => true,
            Fault::None | Fault::HostsTurnedAway | Fault::ZoneTurnedAway | Fault::Frozen => false,
        };
        !(out_of_reach && self.is_faulty(now))
    }

    /// Version of the last change.
    pub(super) fn version(&self) -> u64 {
        self.log.len() as u64
    }

    /// Returns the changes after `version`.
    pub(super) fn changes_since(&self, version: u64) -> impl Iterator<Item = &routing::Change> {
        let known = usize::try_from(version).unwrap_or(usize::MAX);
        self.log.iter().skip(known).map(|(_, change)| change)
    }

    /// Advances to `now`, in steps that are small beside all times here.
    pub(super) fn step(&mut self, now: u64) {
        for index in 0..self.upstreams.len() {
            self.leave_if_due(index, now);
            self.report_if_due(index, now);
            self.expire_if_due(index, now);
        }
        let due: Vec<_> = self.late_writes.iter().filter(|(at, _)| *at <= now).copied().collect();
        self.late_writes.retain(|(at, _)| *at > now);
        for (_, index) in due {
            self.put(index, false, 1, now);
        }
    }

    fn leave_if_due(&mut self, index: usize, now: u64) {
        let upstream = &self.upstreams[index];
        let due = upstream.leaves && upstream.left_at.is_none() && now >= self.scenario.leave_ms;
        if !due || !self.hears(upstream.zone, now) || !upstream.listed {
            return;
        }
        self.upstreams[index].left_at = Some(now);
        self.upstreams[index].sequence += 1;
        match self.scenario.departure {
            Departure::Silent => self.remove(index, now),
            Departure::Announced => self.put(index, true, self.upstreams[index].sequence, now),
            Departure::ThenOlderEntry => {
                self.put(index, true, self.upstreams[index].sequence, now);
                self.late_writes.push((now + LATE_WRITE_MS, index));
            }
        }
    }

    fn report_if_due(&mut self, index: usize, now: u64) {
        if self.upstreams[index].next_report > now {
            return;
        }
        let hears = self.hears(self.upstreams[index].zone, now);
        let upstream = &mut self.upstreams[index];
        upstream.next_report = now + REPORT_MS;
        upstream.sequence += 1;
        if !hears {
            return;
        }
        upstream.reported_at = now;
        if !upstream.listed && upstream.left_at.is_none() {
            let sequence = upstream.sequence;
            self.put(index, false, sequence, now);
        }
    }

    fn expire_if_due(&mut self, index: usize, now: u64) {
        let upstream = &self.upstreams[index];
        if upstream.listed && now >= upstream.reported_at + EXPIRY_MS {
            self.remove(index, now);
        }
    }

    fn put(&mut self, index: usize, leaving: bool, sequence: u64, now: u64) {
        let version = self.version() + 1;
        self.upstreams[index].listed = true;
        let registration = routing::Registration {
            upstream: name(index),
            service: id::Service::from("s"),
            address: net::SocketAddr::from(([127, 0, 0, 1], 80)),
            zone: zone(self.upstreams[index].zone),
            slots: 16,
            leaving,
            started_ms: 1,
            cold: None,
        };
        let revision = routing::Revision { era: 0, version };
        let listing = routing::Listing { registration, sequence, revision };
        self.log.push((now, routing::Change::Put(listing)));
    }

    fn remove(&mut self, index: usize, now: u64) {
        let version = self.version() + 1;
        self.upstreams[index].listed = false;
        let upstream = name(index);
        let revision = routing::Revision { era: 0, version };
        self.log.push((now, routing::Change::Removed { upstream, revision }));
    }
}

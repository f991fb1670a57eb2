//! Replication of sections to all hosts, and tracking of the versions that entry hosts apply.
//!
//! A change of the document reaches every host of every zone within seconds, even while the
//! platform is unavailable. A replica accepts only higher versions; otherwise a host that was
//! partitioned would reintroduce sections that others have already replaced.

use std::collections;
use std::sync;

use crate::control::document;
use crate::id;

/// Section versions by team.
pub type Versions = collections::BTreeMap<id::Team, id::Version>;

/// The sections in force in one process: the newest valid version of each section that it received.
///
/// The steward and the entry process of a host each have a replica, and a version may be in force in
/// the steward but not yet in the entry process. [`Report`] and [`LaggingHost`] refer to the latter.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    sections: collections::BTreeMap<id::Team, sync::Arc<document::Section>>,
}

impl Replica {
    /// Replaces the section in force if `section` has a higher version; returns whether it did.
    ///
    /// ```
    /// use lagoonline::control::{document::Section, replication::Replica};
    /// use lagoonline::id::{Team, Version};
    /// let section = |version| Section::parse(Team::from("a"), Version(version), "{}").unwrap();
    /// let mut replica = Replica::default();
    /// assert!(replica.apply(section(2)));
    /// assert!(!replica.apply(section(1)));
    /// assert_eq!(replica.versions()["a"], Version(2));
    /// ```
    pub fn apply(&mut self, section: document::Section) -> bool {
        if self.version(&section.team) >= section.version {
            return false;
        }
        self.sections.insert(section.team.clone(), sync::Arc::new(section));
        true
    }

    /// Returns the version in force of a team's section; 0 if there is none.
    pub fn version(&self, team: &id::Team) -> id::Version {
        self.sections.get(team).map_or(id::Version(0), |section| section.version)
    }

    /// Returns all versions in force.
    pub fn versions(&self) -> Versions {
        self.sections.iter().map(|(team, section)| (team.clone(), section.version)).collect()
    }

    /// Returns the sections in force.
    pub fn sections(&self) -> impl Iterator<Item = &sync::Arc<document::Section>> {
        self.sections.values()
    }

    /// Returns the section in force of one team.
    pub fn section(&self, team: &id::Team) -> Option<&sync::Arc<document::Section>> {
        self.sections.get(team)
    }

    /// Returns the sections that are newer than `versions`, as needed by a process that has those.
    pub fn newer_than(&self, versions: &Versions) -> Vec<sync::Arc<document::Section>> {
        let newer = |section: &&sync::Arc<document::Section>| {
            versions.get(&section.team).is_none_or(|version| *version < section.version)
        };
        self.sections.values().filter(newer).cloned().collect()
    }

    /// Returns whether each of `versions`, or a higher one, is in force in this process.
    pub fn covers(&self, versions: &Versions) -> bool {
        versions.iter().all(|(team, version)| self.version(team) >= *version)
    }

    /// Returns a hash of the versions in force; processes with equal hashes need not exchange them.
    pub fn digest(&self) -> u64 {
        // FNV-1a, with its standard offset basis and prime.
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        for (team, section) in &self.sections {
            let version = section.version.0.to_be_bytes();
            for byte in team.as_str().bytes().chain([0]).chain(version) {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
        }
        hash
    }
}

/// Status of an entry host, as reported by its entry process and steward.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Availability zone of the host.
    pub zone: id::Zone,
    /// Incarnation of the entry process.
    pub incarnation: id::Incarnation,
    /// Sequence number of the report within the incarnation, assigned by the steward of the host.
    pub sequence: u64,
    /// Whether the steward has been without an entry process for so long that it considers the host
    /// unable to serve requests.
    pub entry_down: bool,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Number of requests in flight.
    pub in_flight: u64,
    /// Versions in force in the entry process, which it uses to handle requests.
    pub in_force: Versions,
}

/// A host where a version is not yet in force in the entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LaggingHost {
    /// Name of the host.
    pub host: id::Host,
    /// Availability zone of the host.
    pub zone: id::Zone,
    /// Version that it reported last; 0 if it has not reported one.
    pub version: id::Version,
}

/// The latest reports of all known entry hosts.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    reports: collections::BTreeMap<id::Host, Report>,
}

impl Reports {
    /// Applies a report. Returns false if it is outdated or changes nothing except the number of
    /// requests in flight.
    ///
    /// Reports of earlier incarnations are dropped, and so are reports whose versions are lower
    /// than those known within the same incarnation. Reordered reports therefore cannot hide a
    /// version that a host uses, nor show the versions of an earlier incarnation as used.
    pub fn apply(&mut self, host: &id::Host, report: Report) -> bool {
        let Some(known) = self.reports.get_mut(host) else {
            self.reports.insert(host.clone(), report);
            return true;
        };
        if report.incarnation < known.incarnation {
            return false;
        }
        let same_incarnation = report.incarnation == known.incarnation;
        // Reports arrive over several paths. If an older report were accepted after a newer one, it
        // would be forwarded as a change, followed by the newer one again, in an endless loop.
        if same_incarnation && report.sequence < known.sequence {
            return false;
        }
        let is_behind = |(team, version): (&id::Team, &id::Version)| {
            report.in_force.get(team).is_none_or(|reported| reported < version)
        };
        if same_incarnation && known.in_force.iter().any(is_behind) {
            return false;
        }
        let comparable =
            Report { in_flight: known.in_flight, sequence: known.sequence, ..report.clone() };
        let is_unchanged = *known == comparable;
        *known = report;
        !is_unchanged
    }

    /// Returns the latest report of a host.
    pub fn report(&self, host: &id::Host) -> Option<&Report> {
        self.reports.get(host)
    }

    /// Removes the report of a host that no longer exists.
    pub fn remove(&mut self, host: &id::Host) {
        self.reports.remove(host);
    }

    /// Returns all reports by host.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Host, &Report)> {
        self.reports.iter()
    }

    /// Applies a report that lists only the versions that changed since the last report of the same
    /// incarnation; returns the same as [`Reports::apply`].
    pub fn apply_partial(&mut self, host: &id::Host, mut report: Report) -> bool {
        let known = self.reports.get(host);
        let known = known.filter(|known| known.incarnation == report.incarnation);
        for (team, version) in known.into_iter().flat_map(|known| &known.in_force) {
            let merged = report.in_force.entry(team.clone()).or_default();
            *merged = version.max(merged).to_owned();
        }
        self.apply(host, report)
    }

    /// Returns the hosts where `version` of the team's section is not yet in force in the entry
    /// process. A version is reported to operators as *accepted* when there are none left.
    ///
    /// `expected` lists live hosts that may not have reported yet. Hosts without an entry process
    /// are left out: they serve no requests, and a new entry process does not become ready before
    /// it has the version.
    ///
    /// ```
    /// use lagoonline::control::replication::{Reports, Report};
    /// use lagoonline::id::{Host, Team, Version, Zone};
    /// let mut reports = Reports::default();
    /// reports.apply(&Host::from("h"), Report::default());
    /// let expected = [(Host::from("i"), Zone::from("z"))];
    /// let hosts = reports.lagging_hosts(&Team::from("a"), Version(1), expected);
    /// assert_eq!(hosts.len(), 2);
    /// ```
    pub fn lagging_hosts<I>(
        &self,
        team: &id::Team,
        version: id::Version,
        expected: I,
    ) -> Vec<LaggingHost>
    where
        I: IntoIterator<Item = (id::Host, id::Zone)>,
    {
        let mut hosts: collections::BTreeMap<_, _> = expected.into_iter().collect();
        hosts.extend(self.reports.iter().map(|(host, report)| (host.clone(), report.zone.clone())));
        let in_force = |host: &id::Host| {
            let report = self.reports.get(host);
            report.and_then(|report| report.in_force.get(team)).copied().unwrap_or_default()
        };
        let hosts = hosts.into_iter().map(|(host, zone)| {
            let version = in_force(&host);
            LaggingHost { host, zone, version }
        });
        let is_down =
            |host: &id::Host| self.reports.get(host).is_some_and(|report| report.entry_down);
        hosts.filter(|host| host.version < version && !is_down(&host.host)).collect()
    }
}

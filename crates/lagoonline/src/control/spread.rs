//! Versions in force here, what others lack, and where a version is in force.
//!
//! Load pattern: one change of the document, then every host of every zone within seconds, also
//! while the platform is out. Without the rule "only higher versions" a host that was cut off
//! would bring back what others have replaced.

use std::collections;
use std::sync;

use crate::control::document;
use crate::id;

/// Versions by team.
pub type Versions = collections::BTreeMap<id::Team, id::Version>;

/// The sections in force at one host.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    sections: collections::BTreeMap<id::Team, sync::Arc<document::Section>>,
}

impl Replica {
    /// Puts `section` in force if its version is higher than the one in force.
    ///
    /// ```
    /// use lagoonline::control::{document::Section, spread::Replica};
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

    /// Version in force of a team's section; 0 when there is none.
    pub fn version(&self, team: &id::Team) -> id::Version {
        self.sections.get(team).map_or(id::Version(0), |section| section.version)
    }

    /// All versions in force.
    pub fn versions(&self) -> Versions {
        self.sections.iter().map(|(team, section)| (team.clone(), section.version)).collect()
    }

    /// The sections in force.
    pub fn sections(&self) -> impl Iterator<Item = &sync::Arc<document::Section>> {
        self.sections.values()
    }

    /// One team's section.
    pub fn section(&self, team: &id::Team) -> Option<&sync::Arc<document::Section>> {
        self.sections.get(team)
    }

    /// Sections that a host with `versions` lacks.
    pub fn lacking(&self, versions: &Versions) -> Vec<sync::Arc<document::Section>> {
        let newer = |section: &&sync::Arc<document::Section>| {
            versions.get(&section.team).is_none_or(|version| *version < section.version)
        };
        self.sections.values().filter(newer).cloned().collect()
    }

    /// Whether every version of `versions` or a higher one is in force here.
    pub fn covers(&self, versions: &Versions) -> bool {
        versions.iter().all(|(team, version)| self.version(team) >= *version)
    }

    /// A hash of the versions in force: hosts with equal hashes need not compare further.
    pub fn digest(&self) -> u64 {
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

/// What an entry host said of itself last.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Its zone.
    pub zone: id::Zone,
    /// Life of its entry process.
    pub incarnation: id::Incarnation,
    /// Counts the reports of that life as its steward passes them on.
    pub number: u64,
    /// Whether its steward has had no entry process for so long that nothing can be served there.
    pub gone: bool,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Requests under way.
    pub in_flight: u64,
    /// Versions that its data path works with.
    pub in_force: Versions,
}

/// A host where a version is not in force yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Missing {
    /// The host.
    pub host: id::Host,
    /// Its zone.
    pub zone: id::Zone,
    /// The version that it reported last; 0 when it never did.
    pub version: id::Version,
}

/// Reports of all entry hosts known.
#[derive(Clone, Debug, Default)]
pub struct Board {
    reports: collections::BTreeMap<id::Host, Report>,
}

impl Board {
    /// Takes a report; false when it says nothing new but how many requests are under way.
    ///
    /// A report of an earlier life is dropped, and within one life versions only rise, so reports
    /// that cross on their way cannot make a version seem lost or a host seem ahead.
    pub fn take(&mut self, host: &id::Host, report: Report) -> bool {
        let Some(known) = self.reports.get_mut(host) else {
            self.reports.insert(host.clone(), report);
            return true;
        };
        if report.incarnation < known.incarnation {
            return false;
        }
        let same_life = report.incarnation == known.incarnation;
        // Reports come by several ways: an older one after a newer one would be passed on again as
        // news, and the newer one after it, without end.
        if same_life && report.number < known.number {
            return false;
        }
        let behind = |(team, version): (&id::Team, &id::Version)| {
            report.in_force.get(team).is_none_or(|newer| newer < version)
        };
        if same_life && known.in_force.iter().any(behind) {
            return false;
        }
        let unlike = Report { in_flight: known.in_flight, number: known.number, ..report.clone() };
        let same = *known == unlike;
        *known = report;
        !same
    }

    /// What a host reported last.
    pub fn report(&self, host: &id::Host) -> Option<&Report> {
        self.reports.get(host)
    }

    /// Forgets a host that is gone.
    pub fn remove(&mut self, host: &id::Host) {
        self.reports.remove(host);
    }

    /// All reports.
    pub fn reports(&self) -> impl Iterator<Item = (&id::Host, &Report)> {
        self.reports.iter()
    }

    /// Takes a report that names only the versions that changed in its life.
    pub fn take_changes(&mut self, host: &id::Host, mut report: Report) -> bool {
        let known = self.reports.get(host);
        let known = known.filter(|known| known.incarnation == report.incarnation);
        for (team, version) in known.into_iter().flat_map(|known| &known.in_force) {
            let newer = report.in_force.entry(team.clone()).or_default();
            *newer = version.max(newer).to_owned();
        }
        self.take(host, report)
    }

    /// Hosts where `version` of the team's section is not in force: *accepted* is said when this
    /// is empty. `expected` are hosts known to live that may not have reported yet. Hosts whose
    /// entry process is gone do not count: nothing is served there, and the next entry process is
    /// not ready before it has the version.
    ///
    /// ```
    /// use lagoonline::control::spread::{Board, Report};
    /// use lagoonline::id::{Host, Team, Version, Zone};
    /// let mut board = Board::default();
    /// board.take(&Host::from("h"), Report::default());
    /// let missing = board.missing(&Team::from("a"), Version(1), [(Host::from("i"), Zone::from("z"))]);
    /// assert_eq!(missing.len(), 2);
    /// ```
    pub fn missing<I>(&self, team: &id::Team, version: id::Version, expected: I) -> Vec<Missing>
    where
        I: IntoIterator<Item = (id::Host, id::Zone)>,
    {
        let mut hosts: collections::BTreeMap<_, _> = expected.into_iter().collect();
        hosts.extend(self.reports.iter().map(|(host, report)| (host.clone(), report.zone.clone())));
        let in_force = |host: &id::Host| {
            let report = self.reports.get(host);
            report.and_then(|report| report.in_force.get(team)).copied().unwrap_or_default()
        };
        let lines = hosts.into_iter().map(|(host, zone)| {
            let version = in_force(&host);
            Missing { host, zone, version }
        });
        let is_gone = |host: &id::Host| self.reports.get(host).is_some_and(|report| report.gone);
        lines.filter(|line| line.version < version && !is_gone(&line.host)).collect()
    }
}

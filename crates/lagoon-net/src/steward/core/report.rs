//! States of entry processes: where each section is in force.
//!
//! Load pattern: at each edit every entry host of the zone has something new to say, and every
//! steward is to hear it. One frame for each on each link, with the versions of all teams, was
//! 60 KB for each edit and host at 39 hosts; gathered for a tenth of a second, with what changed
//! only, it is some 8 KB.

use std::collections;

use lagoonline::clock;
use lagoonline::clock::Clock;
use lagoonline::control::replication;
use lagoonline::id;

use super::{Core, LinkId};
use crate::wire;

/// Time without an entry process after which this host does not count as one any more. An entry
/// process that lives connects again within two seconds; one that is stopped keeps its connection.
const ENTRY_TIME: clock::Span = clock::Span::from_secs(10);

/// What is known and told of entry processes.
#[derive(Default)]
pub(super) struct Reports {
    /// Hosts of whom the others are to hear, and the link that the news came by.
    untold: collections::BTreeMap<id::Host, Option<LinkId>>,
    /// Life and versions told of each host.
    told: collections::BTreeMap<id::Host, (id::Incarnation, replication::Versions)>,
    /// When the own entry process was there last.
    seen: Option<clock::Moment>,
}

impl Core {
    /// Takes the state of the own entry process.
    pub(super) fn take_own_report(&mut self, host: &id::Host, report: replication::Report) {
        // By the wall clock, so that a steward that started anew goes on above its last number.
        let known = self.board.report(host).map_or(0, |known| known.sequence);
        let sequence = self.clock.wall_millis().max(known + 1);
        self.take_report(host, replication::Report { sequence, ..report }, None);
    }

    fn take_report(&mut self, host: &id::Host, report: replication::Report, from: Option<LinkId>) {
        if report.zone == *self.zone() && self.board.apply_partial(host, report) {
            self.reports.untold.insert(host.clone(), from);
        }
    }

    pub(super) fn take_statuses(&mut self, statuses: &wire::Statuses, from: LinkId) {
        for status in &statuses.statuses {
            let host = id::Host::from(status.host.as_str());
            self.take_report(&host, wire::report(status), Some(from));
        }
    }

    /// The states of all entry processes of the zone, for a steward that is new on a link.
    pub(super) fn statuses(&self) -> wire::Body {
        let reports = self.board.iter().filter(|(_, report)| report.zone == *self.zone());
        let statuses = reports.map(|(host, report)| wire::status(host, report)).collect();
        wire::Body::Statuses(wire::Statuses { statuses })
    }

    /// Passes on what entry processes said since the last call.
    pub(in crate::steward) fn flush_reports(&mut self) {
        let mut lines = Vec::new();
        for (host, from) in std::mem::take(&mut self.reports.untold) {
            lines.extend(self.changes_of(&host).map(|status| (status, from)));
        }
        if lines.is_empty() {
            return;
        }
        for name in self.near_links() {
            let others = lines.iter().filter(|(_, from)| *from != Some(name));
            let statuses: Vec<_> = others.map(|(status, _)| status.clone()).collect();
            if !statuses.is_empty() {
                self.send(name, wire::Body::Statuses(wire::Statuses { statuses }));
            }
        }
    }

    /// A host's state with the versions that were not told of this life yet. What a new link was
    /// told at its start is never older than what was told to all.
    fn changes_of(&mut self, host: &id::Host) -> Option<wire::Status> {
        let report = self.board.report(host)?;
        let mut status = wire::status(host, report);
        let known = self.reports.told.get(host);
        if let Some((_, told)) = known.filter(|(life, _)| *life == report.incarnation) {
            let is_told = |line: &wire::TeamVersion| {
                told.get(line.team.as_str()) == Some(&id::Version(line.version))
            };
            status.in_force.retain(|line| !is_told(line));
            status.changes = true;
        }
        let told = (report.incarnation, report.in_force.clone());
        self.reports.told.insert(host.clone(), told);
        Some(status)
    }

    /// Notices that the own entry process is gone.
    ///
    /// Failure answered: an entry process dies while its steward lives. Symptom: no section is
    /// accepted any more, since that host never says that it has it.
    pub(in crate::steward) fn watch_entry(&mut self) {
        let now = self.clock.now();
        let is_entry = |link: &super::Link| link.peer.role == wire::Role::Entry;
        if self.links.values().any(is_entry) {
            self.reports.seen = Some(now);
            return;
        }
        let seen = self.reports.seen.unwrap_or(self.began);
        let host = self.group.own().host.clone();
        let known = self.board.report(&host).cloned();
        if now.since(seen) < ENTRY_TIME || known.as_ref().is_some_and(|known| known.entry_down) {
            return;
        }
        log::warn!("no entry process for {} s: this host does not count", ENTRY_TIME.as_secs());
        let zone = self.zone().clone();
        let known = known.unwrap_or(replication::Report { zone, ..replication::Report::default() });
        self.take_own_report(
            &host,
            replication::Report { ready: false, entry_down: true, ..known },
        );
    }
}

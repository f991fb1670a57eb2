//! Reports of entry processes: which section versions each host has in force.
//!
//! Load pattern: after each edit every entry host of the zone reports a new version, and every
//! steward needs all reports. One frame per report and link with the versions of all teams took
//! 60 KB per edit and host at 39 hosts. Batched for a tenth of a second and limited to the changed
//! versions, it takes about 8 KB.

use std::collections;

use lagoonline::clock;
use lagoonline::clock::Clock;
use lagoonline::control::replication;
use lagoonline::id;

use super::{Core, LinkId};
use crate::wire;

/// Time without a linked entry process after which this host is reported as having none. A running
/// entry process reconnects within two seconds; a suspended one (SIGSTOP) keeps its connection.
const ENTRY_TIMEOUT: clock::Span = clock::Span::from_secs(10);

/// Reports to be sent to other stewards, and the versions sent before.
#[derive(Default)]
pub(super) struct Outbox {
    /// Hosts with a new report, and the link that it came from.
    pending: collections::BTreeMap<id::Host, Option<LinkId>>,
    /// Incarnation and versions last sent for each host.
    sent: collections::BTreeMap<id::Host, (id::Incarnation, replication::Versions)>,
    /// Last time at which the own entry process was linked.
    last_linked: Option<clock::Moment>,
}

impl Core {
    /// Applies a report of the own entry process.
    pub(super) fn apply_own_report(&mut self, host: &id::Host, report: replication::Report) {
        // Based on the wall clock, so that sequence numbers keep growing when the steward restarts.
        let known = self.entry_reports.report(host).map_or(0, |known| known.sequence);
        let sequence = self.clock.wall_millis().max(known + 1);
        self.apply_report(host, replication::Report { sequence, ..report }, None);
    }

    fn apply_report(&mut self, host: &id::Host, report: replication::Report, from: Option<LinkId>) {
        if report.zone == *self.zone() && self.entry_reports.apply_partial(host, report) {
            self.report_outbox.pending.insert(host.clone(), from);
        }
    }

    pub(super) fn handle_statuses(&mut self, statuses: &wire::Statuses, from: LinkId) {
        for status in &statuses.statuses {
            let host = id::Host::from(status.host.as_str());
            self.apply_report(&host, wire::decode_report(status), Some(from));
        }
    }

    /// Builds the message with all reports of the zone, for a newly linked steward.
    pub(super) fn zone_reports(&self) -> wire::Body {
        let reports = self.entry_reports.iter().filter(|(_, report)| report.zone == *self.zone());
        let statuses = reports.map(|(host, report)| wire::encode_status(host, report)).collect();
        wire::Body::Statuses(wire::Statuses { statuses })
    }

    /// Sends the reports that changed since the last call to the stewards of the zone.
    pub(in crate::steward) fn flush_reports(&mut self) {
        let mut lines = Vec::new();
        for (host, from) in std::mem::take(&mut self.report_outbox.pending) {
            lines.extend(self.report_delta(&host).map(|status| (status, from)));
        }
        if lines.is_empty() {
            return;
        }
        for link_id in self.zone_links() {
            let others = lines.iter().filter(|(_, from)| *from != Some(link_id));
            let statuses: Vec<_> = others.map(|(status, _)| status.clone()).collect();
            if !statuses.is_empty() {
                self.send(link_id, wire::Body::Statuses(wire::Statuses { statuses }));
            }
        }
    }

    /// Returns a host's status with only the versions not yet sent for its incarnation. A new link
    /// starts with the full reports, which are never older than what was sent to all, so leaving
    /// versions out is safe.
    fn report_delta(&mut self, host: &id::Host) -> Option<wire::Status> {
        let report = self.entry_reports.report(host)?;
        let mut status = wire::encode_status(host, report);
        let known = self.report_outbox.sent.get(host);
        if let Some((_, sent)) = known.filter(|(incarnation, _)| *incarnation == report.incarnation)
        {
            let is_sent = |line: &wire::TeamVersion| {
                sent.get(line.team.as_str()) == Some(&id::Version(line.version))
            };
            status.in_force.retain(|line| !is_sent(line));
            status.changes = true;
        }
        let sent = (report.incarnation, report.in_force.clone());
        self.report_outbox.sent.insert(host.clone(), sent);
        Some(status)
    }

    /// Reports the own entry process as down when it has not been linked for [`ENTRY_TIMEOUT`].
    ///
    /// Prevents this failure: an entry process dies while its steward keeps running. Symptom: no
    /// section is accepted any more, because that host never reports the new version.
    pub(in crate::steward) fn check_entry(&mut self) {
        let now = self.clock.now();
        let is_entry = |link: &super::Link| link.peer.role == wire::Role::Entry;
        if self.links.values().any(is_entry) {
            self.report_outbox.last_linked = Some(now);
            return;
        }
        let last_linked = self.report_outbox.last_linked.unwrap_or(self.started_at);
        let host = self.group.own().host.clone();
        let known = self.entry_reports.report(&host).cloned();
        if now.since(last_linked) < ENTRY_TIMEOUT
            || known.as_ref().is_some_and(|known| known.entry_down)
        {
            return;
        }
        log::warn!("no entry process for {} s; reporting it as down", ENTRY_TIMEOUT.as_secs());
        let zone = self.zone().clone();
        let known = known.unwrap_or(replication::Report { zone, ..replication::Report::default() });
        self.apply_own_report(
            &host,
            replication::Report { ready: false, entry_down: true, ..known },
        );
    }
}

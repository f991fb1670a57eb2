//! Replication of the document: sections in force, sections that peers lack, and completeness.

use std::borrow;
use std::sync;

use lagoonline::clock;
use lagoonline::clock::Clock;
use lagoonline::control::delta_log;
use lagoonline::control::document;
use lagoonline::control::ledger;
use lagoonline::control::replication;
use lagoonline::id;
use lagoonline::view;

use super::{Core, Counters, Link, LinkId};
use crate::wire;

/// Time after which missing sections are requested from another peer.
const SECTIONS_TIMEOUT: clock::Span = clock::Span::from_secs(1);

/// Time that a new steward waits for the platform. After it, having the versions of all its peers
/// is enough for a complete document.
const PLATFORM_GRACE: clock::Span = clock::Span::from_millis(1_500);

impl Core {
    /// Builds the digest of the versions in force.
    pub(super) fn digest(&self) -> wire::Body {
        let versions = wire::encode_versions(&self.replica.versions());
        wire::Body::Digest(wire::Digest { versions })
    }

    /// Puts sections in force, sends them to the entry process, and announces them to peers.
    pub(in crate::steward) fn apply(
        &mut self,
        sections: Vec<document::Section>,
        from: Option<LinkId>,
    ) {
        let mut applied = Vec::new();
        for section in sections {
            let (team, version) = (section.team.clone(), section.version);
            let old = self.replica.section(&team).cloned();
            if self.replica.apply(section) {
                let new = self.replica.section(&team);
                if let Some((old, new)) = old.as_deref().zip(new) {
                    self.delta_log.record(old, new);
                }
                log::info!("section {team} version {} is in force", version.0);
                applied.push(team);
            }
        }
        if applied.is_empty() {
            return;
        }
        self.sections_requested_at = None;
        Counters::add(&self.counters.sections_applied, applied.len() as u64);
        let merged = view::Fleet::merge(self.replica.sections().map(sync::Arc::as_ref));
        self.attributions = ledger::attributions(&merged);
        self.fleet = sync::Arc::new(merged);
        self.index_name_codes();
        let sections = applied.iter().filter_map(|team| self.replica.section(team));
        let sections = sections.map(|section| wire::encode_section(section)).collect();
        let complete = self.complete;
        let body = wire::Body::Sections(wire::Sections { sections, complete });
        self.send_all(&body, |_, link| link.peer.role == wire::Role::Entry);
        let digest = self.digest();
        let replica = self.replica.clone();
        self.send_all(&digest, |link_id, link| {
            let lacks = !replica.newer_than(&link.versions).is_empty();
            link.peer.role == wire::Role::Steward && Some(link_id) != from && lacks
        });
        self.check_complete();
    }

    /// Applies received sections, and requests full texts where a delta does not fit.
    pub(super) fn handle_sections(&mut self, sections: &wire::Sections, from: LinkId) {
        let mut parsed = Vec::new();
        let mut needs_full_text = false;
        for section in &sections.sections {
            let team = id::Team::from(section.team.as_str());
            let version = id::Version(section.version);
            if let Some(link) = self.links.get_mut(&from) {
                let known = link.versions.entry(team.clone()).or_default();
                *known = version.max(*known);
            }
            let Some(text) = self.text_of(section) else {
                needs_full_text |= self.replica.version(&team) < version;
                continue;
            };
            match document::Section::parse(team, version, &text) {
                Ok(section) => parsed.push(section),
                Err(faults) => log::error!("section {} is invalid: {faults}", section.team),
            }
        }
        self.apply(parsed, Some(from));
        if needs_full_text {
            self.request_full_text(sections, from);
        }
    }

    /// Returns the section's text, either as sent or by applying its deltas to the one in force.
    fn text_of<'a>(&self, section: &'a wire::Section) -> Option<borrow::Cow<'a, str>> {
        if section.deltas.is_empty() {
            return Some(borrow::Cow::Borrowed(&section.text));
        }
        let known = self.replica.section(&id::Team::from(section.team.as_str()));
        let text = delta_log::apply(known.map(sync::Arc::as_ref), &wire::decode_deltas(section));
        text.map(borrow::Cow::Owned)
    }

    /// Requests full texts: a digest that omits a team makes the peer send its whole section.
    fn request_full_text(&mut self, sections: &wire::Sections, from: LinkId) {
        Counters::add(&self.counters.deltas_refused, 1);
        let mut versions = self.replica.versions();
        versions.retain(|team, _| !sections.sections.iter().any(|s| s.team == team.as_str()));
        let versions = wire::encode_versions(&versions);
        self.send(from, wire::Body::Digest(wire::Digest { versions }));
    }

    /// Encodes sections for a peer that has `versions`, as deltas where the log has them.
    fn sections_for(
        &self,
        sections: &[sync::Arc<document::Section>],
        versions: &replication::Versions,
    ) -> Vec<wire::Section> {
        let encode = |section: &sync::Arc<document::Section>| {
            let known = versions.get(&section.team).copied().unwrap_or_default();
            let deltas = self.delta_log.since(known, section);
            if deltas.is_empty() {
                return wire::encode_section(section);
            }
            wire::encode_section_deltas(section, &deltas)
        };
        sections.iter().map(encode).collect()
    }

    /// Records a peer's versions, sends the sections it lacks, and requests those it is ahead in.
    pub(super) fn handle_digest(&mut self, digest: &wire::Digest, from: LinkId) {
        let versions = wire::decode_versions(&digest.versions);
        let lacking = self.replica.newer_than(&versions);
        if let Some(link) = self.links.get_mut(&from) {
            link.versions.clone_from(&versions);
            link.has_digest = true;
            // Sections sent below are assumed to arrive until the next digest of the peer.
            let sent = lacking.iter().map(|section| (section.team.clone(), section.version));
            link.versions.extend(sent);
        }
        if !lacking.is_empty() {
            let sections = self.sections_for(&lacking, &versions);
            let complete = self.complete;
            self.send(from, wire::Body::Sections(wire::Sections { sections, complete }));
        }
        if !self.replica.covers(&versions) {
            self.request_missing_from(from);
        }
        self.check_complete();
    }

    /// Requests missing sections from `peer`, unless a request to any peer is younger than
    /// [`SECTIONS_TIMEOUT`]: with one request at a time, a host receives each section only once.
    fn request_missing_from(&mut self, peer: LinkId) {
        let now = self.clock.now();
        if self.sections_requested_at.is_some_and(|since| now.since(since) < SECTIONS_TIMEOUT) {
            return;
        }
        self.sections_requested_at = Some(now);
        self.send(peer, self.digest());
    }

    /// Requests missing sections from any peer that is ahead, in case a link or a response was
    /// lost.
    pub(in crate::steward) fn request_missing(&mut self) {
        let ahead = |link: &Link| {
            link.peer.role == wire::Role::Steward && !self.replica.covers(&link.versions)
        };
        let found = self.links.iter().find(|(_, link)| ahead(link)).map(|(link_id, _)| *link_id);
        if let Some(link_id) = found {
            self.request_missing_from(link_id);
        }
        self.check_complete();
    }

    /// Records the versions of a head row read from the platform.
    pub(in crate::steward) fn record_platform_head(&mut self, versions: replication::Versions) {
        self.platform.head = Some(versions);
        self.check_complete();
    }

    /// Records that a read from the platform failed.
    pub(in crate::steward) fn record_platform_failure(&mut self) {
        Counters::add(&self.counters.platform_failures, 1);
        self.platform.failed = true;
        self.check_complete();
    }

    /// Marks the document complete once the steward has the highest versions of the platform or,
    /// while the platform is unreachable, of every peer that it reached.
    ///
    /// Prevents this failure: all hosts of a zone are replaced during a platform outage, and one
    /// serves before it has the last change. Symptom: an accepted section reverts. A host that
    /// reaches neither the platform nor a peer stays unready.
    pub(super) fn check_complete(&mut self) {
        if self.complete {
            return;
        }
        let by_platform = self.platform.head.as_ref().is_some_and(|head| self.replica.covers(head));
        if !by_platform && !self.is_complete_by_peers() {
            return;
        }
        self.complete = true;
        log::info!("document is complete");
        let sections = wire::Sections { sections: Vec::new(), complete: true };
        self.send_all(&wire::Body::Sections(sections), |_, link| {
            link.peer.role == wire::Role::Entry
        });
    }

    /// Whether the replica covers all peers that were reached, and the platform is unavailable.
    fn is_complete_by_peers(&self) -> bool {
        let waited = self.clock.now().since(self.started_at) >= PLATFORM_GRACE;
        let is_steward = |link: &&Link| link.peer.role == wire::Role::Steward;
        let mut peers = self.links.values().filter(is_steward).peekable();
        let any = peers.peek().is_some();
        let all_covered = peers.all(|link| link.has_digest && self.replica.covers(&link.versions));
        let platform_unavailable = self.platform.head.is_none() && self.platform.failed;
        waited
            && any
            && all_covered
            && platform_unavailable
            && self.dialing.is_empty()
            && !self.replica.versions().is_empty()
    }
}

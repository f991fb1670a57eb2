//! The document at one steward: what is in force, what peers lack, and when it is complete.

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

/// Time after which sections that were asked of a peer are asked of another.
const PULL_TIME: clock::Span = clock::Span::from_secs(1);

/// Time that a newcomer gives the platform before the peers' word is enough.
const PLATFORM_TIME: clock::Span = clock::Span::from_millis(1_500);

impl Core {
    pub(super) fn digest(&self) -> wire::Body {
        let versions = wire::team_versions(&self.replica.versions());
        wire::Body::Digest(wire::Digest { versions })
    }

    /// Puts sections in force, tells the entry process, and announces them to peers.
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
        self.pull = None;
        Counters::add(&self.counters.sections_applied, applied.len() as u64);
        let merged = view::Fleet::merge(self.replica.sections().map(sync::Arc::as_ref));
        self.accounts = ledger::attributions(&merged);
        self.fleet = sync::Arc::new(merged);
        self.name_codes();
        let sections = applied.iter().filter_map(|team| self.replica.section(team));
        let sections = sections.map(|section| wire::section(section)).collect();
        let complete = self.complete;
        let body = wire::Body::Sections(wire::Sections { sections, complete });
        self.send_all(&body, |_, link| link.peer.role == wire::Role::Entry);
        let digest = self.digest();
        let replica = self.replica.clone();
        self.send_all(&digest, |name, link| {
            let lacks = !replica.newer_than(&link.versions).is_empty();
            link.peer.role == wire::Role::Steward && Some(name) != from && lacks
        });
        self.check_complete();
    }

    pub(super) fn take_sections(&mut self, sections: &wire::Sections, from: LinkId) {
        let mut parsed = Vec::new();
        let mut is_whole_needed = false;
        for section in &sections.sections {
            let team = id::Team::from(section.team.as_str());
            let version = id::Version(section.version);
            if let Some(link) = self.links.get_mut(&from) {
                let known = link.versions.entry(team.clone()).or_default();
                *known = version.max(*known);
            }
            let Some(text) = self.text_of(section) else {
                is_whole_needed |= self.replica.version(&team) < version;
                continue;
            };
            match document::Section::parse(team, version, &text) {
                Ok(section) => parsed.push(section),
                Err(faults) => log::error!("section {} is not understood: {faults}", section.team),
            }
        }
        self.apply(parsed, Some(from));
        if is_whole_needed {
            self.ask_whole(sections, from);
        }
    }

    /// The section's text as told, or made by changes of the one in force here.
    fn text_of<'a>(&self, section: &'a wire::Section) -> Option<borrow::Cow<'a, str>> {
        if section.deltas.is_empty() {
            return Some(borrow::Cow::Borrowed(&section.text));
        }
        let known = self.replica.section(&id::Team::from(section.team.as_str()));
        let text = delta_log::apply(known.map(sync::Arc::as_ref), &wire::deltas(section));
        text.map(borrow::Cow::Owned)
    }

    /// Asks for whole texts: to a digest without its team, a peer answers with that.
    fn ask_whole(&mut self, sections: &wire::Sections, from: LinkId) {
        Counters::add(&self.counters.deltas_refused, 1);
        let mut versions = self.replica.versions();
        versions.retain(|team, _| !sections.sections.iter().any(|s| s.team == team.as_str()));
        let versions = wire::team_versions(&versions);
        self.send(from, wire::Body::Digest(wire::Digest { versions }));
    }

    /// Sections for a peer that has `versions`: by their changes where those are known.
    fn sections_for(
        &self,
        sections: &[sync::Arc<document::Section>],
        versions: &replication::Versions,
    ) -> Vec<wire::Section> {
        let told = |section: &sync::Arc<document::Section>| {
            let known = versions.get(&section.team).copied().unwrap_or_default();
            let deltas = self.delta_log.since(known, section);
            if deltas.is_empty() {
                return wire::section(section);
            }
            wire::section_with_deltas(section, &deltas)
        };
        sections.iter().map(told).collect()
    }

    pub(super) fn take_digest(&mut self, digest: &wire::Digest, from: LinkId) {
        let versions = wire::versions(&digest.versions);
        let lacking = self.replica.newer_than(&versions);
        if let Some(link) = self.links.get_mut(&from) {
            link.versions.clone_from(&versions);
            link.has_digest = true;
            // What is sent now need not be sent again before the peer says otherwise.
            let sent = lacking.iter().map(|section| (section.team.clone(), section.version));
            link.versions.extend(sent);
        }
        if !lacking.is_empty() {
            let sections = self.sections_for(&lacking, &versions);
            let complete = self.complete;
            self.send(from, wire::Body::Sections(wire::Sections { sections, complete }));
        }
        if !self.replica.covers(&versions) {
            self.ask(from);
        }
        self.check_complete();
    }

    /// Asks one peer at a time, so that a section crosses each host's links once.
    fn ask(&mut self, peer: LinkId) {
        let now = self.clock.now();
        if self.pull.is_some_and(|since| now.since(since) < PULL_TIME) {
            return;
        }
        self.pull = Some(now);
        self.send(peer, self.digest());
    }

    /// Compares with peers that are ahead, after a lost link or answer.
    pub(in crate::steward) fn repair(&mut self) {
        let ahead = |link: &Link| {
            link.peer.role == wire::Role::Steward && !self.replica.covers(&link.versions)
        };
        let found = self.links.iter().find(|(_, link)| ahead(link)).map(|(name, _)| *name);
        if let Some(name) = found {
            self.ask(name);
        }
        self.check_complete();
    }

    pub(in crate::steward) fn platform_head(&mut self, versions: replication::Versions) {
        self.platform.head = Some(versions);
        self.check_complete();
    }

    pub(in crate::steward) fn platform_failed(&mut self) {
        Counters::add(&self.counters.platform_failures, 1);
        self.platform.failed = true;
        self.check_complete();
    }

    /// A newcomer is complete with the highest versions of the platform, or, while that is out,
    /// of every peer that it reached.
    ///
    /// Failure answered: all hosts of a zone are replaced during an outage, and one starts to
    /// serve before it heard of the last change. Symptom: an accepted section reverts. A host
    /// that reaches neither the platform nor a peer stays unready.
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

    fn is_complete_by_peers(&self) -> bool {
        let waited = self.clock.now().since(self.began) >= PLATFORM_TIME;
        let is_steward = |link: &&Link| link.peer.role == wire::Role::Steward;
        let mut peers = self.links.values().filter(is_steward).peekable();
        let any = peers.peek().is_some();
        let heard = peers.all(|link| link.has_digest && self.replica.covers(&link.versions));
        let head = self.platform.head.is_none() && self.platform.failed;
        waited
            && any
            && heard
            && head
            && self.dialing.is_empty()
            && !self.replica.versions().is_empty()
    }
}

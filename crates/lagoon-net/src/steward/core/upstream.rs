//! Propagation of upstream loads and of leaving marks between the hosts of a zone.

use std::collections;

use lagoonline::clock;
use lagoonline::clock::Clock;
use lagoonline::id;
use lagoonline::port::engine;
use lagoonline::port::hosts;

use super::{Core, Link, LinkId, Observed};
use crate::wire;

/// Time after which the load of an upstream is sent to other hosts though it changed little.
const LOAD_REFRESH_INTERVAL: clock::Span = clock::Span::from_secs(30);

/// Full loads sent in one flush, once a second.
const MAX_FULL_LOADS_PER_FLUSH: usize = 64;

impl Core {
    /// Records the load of an upstream that this steward polls and sends it to the entry process.
    pub(in crate::steward) fn observe(
        &mut self,
        upstream: &id::Upstream,
        load: engine::LoadReport,
    ) {
        let now = self.clock.now();
        let body =
            wire::Body::Loads(wire::Loads { loads: vec![wire::encode_load(upstream, &load, 0)] });
        self.send_all(&body, |_, link| link.peer.role == wire::Role::Entry);
        let fresh = Observed {
            load,
            read_at: now,
            announced: engine::LoadReport::default(),
            announced_at: now,
        };
        let known = self.loads.entry(upstream.clone()).or_insert(fresh);
        (known.load, known.read_at) = (load, now);
        self.queue_load(upstream, None);
    }

    /// Queues a load for other hosts if it changed enough or was not sent for a while.
    fn queue_load(&mut self, upstream: &id::Upstream, from: Option<LinkId>) {
        let now = self.clock.now();
        let Some(known) = self.loads.get_mut(upstream) else { return };
        let is_new_incarnation = known.announced.incarnation != known.load.incarnation;
        let is_old = now.since(known.announced_at) >= LOAD_REFRESH_INTERVAL;
        if !is_new_incarnation && !is_old && !is_significant(&known.announced, &known.load) {
            return;
        }
        (known.announced, known.announced_at) = (known.load, now);
        if is_new_incarnation || !self.has_unique_code(upstream) {
            self.pending_full_loads.insert(upstream.clone(), from);
        } else {
            self.pending_loads.insert(upstream.clone(), collections::BTreeSet::new());
        }
    }

    /// Sends pending full loads to the other hosts of the zone: those of upstreams in a new
    /// incarnation, and of upstreams without a unique name code. All other loads go with heartbeats
    /// in compact form: see [`super::payload`].
    pub(in crate::steward) fn flush_full_loads(&mut self) {
        let now = self.clock.now();
        let mut lines = Vec::new();
        while lines.len() < MAX_FULL_LOADS_PER_FLUSH {
            let Some((name, from)) = self.pending_full_loads.pop_first() else { break };
            if let Some(seen) = self.loads.get(&name) {
                lines.push((
                    wire::encode_load(&name, &seen.load, super::age_ms(now, seen.read_at)),
                    from,
                ));
            }
        }
        for link_id in self.zone_links() {
            let others = lines.iter().filter(|(_, from)| *from != Some(link_id));
            let loads: Vec<_> = others.map(|(load, _)| load.clone()).collect();
            if !loads.is_empty() {
                self.send(link_id, wire::Body::Loads(wire::Loads { loads }));
            }
        }
    }

    /// Returns the links to stewards of this zone, and to those whose zone is not known yet.
    pub(super) fn zone_links(&self) -> Vec<LinkId> {
        let near =
            |link: &Link| link.peer.zone == *self.zone() || link.peer.zone.as_str().is_empty();
        let links = self.links.iter();
        let near = links.filter(|(_, link)| link.peer.role == wire::Role::Steward && near(link));
        near.map(|(link_id, _)| *link_id).collect()
    }

    /// Applies received loads that are newer than the known ones, and passes them on.
    pub(super) fn handle_loads(&mut self, loads: &wire::Loads, from: LinkId) {
        let now = self.clock.now();
        let role = self.links.get(&from).map(|link| link.peer.role);
        let mut fresh = Vec::new();
        for line in &loads.loads {
            let upstream = id::Upstream::from(line.upstream.as_str());
            let load = wire::decode_load(line);
            let known = self.loads.get(&upstream);
            let order = |load: &engine::LoadReport| (load.incarnation, load.sequence);
            if known.is_some_and(|known| order(&known.load) >= order(&load)) {
                continue;
            }
            // The age is part of the message, so that a load that was relayed late looks old.
            let micros = now.as_micros().saturating_sub(line.age_ms.saturating_mul(1_000));
            let read_at = clock::Moment::from_micros(micros);
            let (announced, announced_at) = known
                .map_or((engine::LoadReport::default(), now), |known| {
                    (known.announced, known.announced_at)
                });
            self.loads
                .insert(upstream.clone(), Observed { load, read_at, announced, announced_at });
            self.queue_load(&upstream, Some(from));
            fresh.push(line.clone());
        }
        if fresh.is_empty() {
            return;
        }
        let body = wire::Body::Loads(wire::Loads { loads: fresh });
        let is_from_entry = role == Some(wire::Role::Entry);
        self.send_all(&body, |link_id, link| {
            link.peer.role == wire::Role::Entry && (!is_from_entry || link_id != from)
        });
    }

    /// Applies marks. A later incarnation replaces an earlier one; within one, leaving is final.
    pub(in crate::steward) fn apply_marks(&mut self, marks: &[wire::Mark], from: Option<LinkId>) {
        let mut fresh = Vec::new();
        for mark in marks {
            let order = |mark: &wire::Mark| (mark.incarnation, mark.leaving);
            let known = self.marks.get(mark.upstream.as_str());
            if known.is_some_and(|known| order(known) >= order(mark)) {
                continue;
            }
            if mark.leaving {
                log::info!("{} is leaving (incarnation {})", mark.upstream, mark.incarnation);
            }
            self.marks.insert(id::Upstream::from(mark.upstream.as_str()), mark.clone());
            fresh.push(mark.clone());
        }
        if fresh.is_empty() {
            return;
        }
        let body = wire::Body::Marks(wire::Marks { marks: fresh });
        self.send_all(&body, |link_id, link| {
            let wanted = matches!(link.peer.role, wire::Role::Entry | wire::Role::Steward);
            wanted && Some(link_id) != from
        });
    }

    /// Applies the platform's list of hosts. Entries that name an upstream of the document become
    /// marks, which state whether it is leaving or in service. Reports of entry hosts that the
    /// membership declared dead and that are off the list are removed. The list lags, so that a
    /// missing host alone is not treated as dead.
    pub(in crate::steward) fn apply_host_list(&mut self, list: &[hosts::Entry]) {
        let mark = |entry: &hosts::Entry| wire::Mark {
            upstream: entry.name.clone(),
            incarnation: entry.incarnation.0,
            leaving: entry.state == hosts::State::Leaving,
        };
        let upstreams = list.iter().filter(|entry| {
            self.fleet.upstream(&id::Upstream::from(entry.name.as_str())).is_some()
        });
        let marks: Vec<_> = upstreams.map(mark).collect();
        self.apply_marks(&marks, None);
        let listed = |host: &id::Host| list.iter().any(|entry| entry.name == host.as_str());
        let reports = self.entry_reports.iter().map(|(host, _)| host);
        let unlisted = reports.filter(|host| !self.group.is_live(host) && !listed(host));
        for host in unlisted.cloned().collect::<Vec<_>>() {
            self.entry_reports.remove(&host);
        }
    }
}

/// Whether a load differs enough from the announced one to be sent to every host of the zone: by at
/// least two requests and a quarter of the announced number, by more than an eighth of the memory,
/// or by more than an eighth of the prefill work and 4,096 tokens. A new incarnation always does. A
/// busy engine's load changes by a few requests between reads, which affects no placement decision.
fn is_significant(announced: &engine::LoadReport, load: &engine::LoadReport) -> bool {
    let requests = (announced.running + announced.waiting).abs_diff(load.running + load.waiting);
    let memory = announced.kv_free_tokens.abs_diff(load.kv_free_tokens);
    let prefill = announced.prefill_tokens.abs_diff(load.prefill_tokens);
    announced.incarnation != load.incarnation
        || requests >= 2.max((announced.running + announced.waiting) / 4)
        || memory > load.kv_tokens / 8
        || prefill > announced.prefill_tokens.max(load.prefill_tokens) / 8 + 4_096
}

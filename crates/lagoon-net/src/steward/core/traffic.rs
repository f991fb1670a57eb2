//! Loads, marks and spending: what hosts of a zone tell each other all the time.

use std::ops;

use lagoonline::clock;
use lagoonline::clock::Clock;
use lagoonline::id;
use lagoonline::port::engine;
use lagoonline::port::hosts;

use super::{Core, Link, LinkId, Observed};
use crate::wire;

/// Time between two messages on an upstream's load to other hosts, if it changed little.
const LOAD_REFRESH: clock::Span = clock::Span::from_secs(30);

/// Loads told at once, once a second.
const LOADS_AT_ONCE: usize = 8;

/// A sequence this far below the last one is that of an entry process that started anew.
const SPENDING_WINDOW: u64 = 16;

/// Age at which what a customer used no longer says whom engines work for.
const SPENDING_AGE: clock::Span = clock::Span::from_secs(10);

impl Core {
    /// Shares of customers in the work of the zone's engines, by the tokens they used lately: what
    /// an engine reports names no customers.
    pub(in crate::steward) fn shares(&self) -> Vec<(id::Customer, id::Team, u64)> {
        let share = |(name, (tokens, _)): (&id::Customer, &(u64, clock::Moment))| {
            let known = self.fleet.customers.iter().find(|customer| customer.name == *name)?;
            Some((name.clone(), known.team.clone(), *tokens))
        };
        let mut shares: Vec<_> = self.spending.iter().filter_map(share).collect();
        shares.sort();
        shares
    }

    /// Takes the load of an upstream that this steward observes.
    pub(in crate::steward) fn observe(&mut self, upstream: &id::Upstream, load: engine::Load) {
        let now = self.clock.now();
        let body = wire::Body::Loads(wire::Loads { loads: vec![wire::load(upstream, &load, 0)] });
        self.send_all(&body, |_, link| link.peer.role == wire::Role::Entry);
        let fresh = Observed { load, read: now, told: engine::Load::default(), told_at: now };
        let known = self.loads.entry(upstream.clone()).or_insert(fresh);
        let tell = is_news(&known.told, &load) || now.since(known.told_at) >= LOAD_REFRESH;
        (known.load, known.read) = (load, now);
        if tell {
            (known.told, known.told_at) = (load, now);
            self.untold.insert(upstream.clone(), None);
        }
    }

    /// Tells the other hosts of the zone of changed loads, some at a time.
    ///
    /// Failure answered: every change of every engine in a frame of its own, passed on by every
    /// host. Symptom: at 39 hosts and 133 engines a zone, 15 KB a second for each host. Together
    /// and bounded they cost no more when all engines change at once; then they lag more.
    pub(in crate::steward) fn flush_loads(&mut self) {
        let now = self.clock.now();
        let mut lines = Vec::new();
        while lines.len() < LOADS_AT_ONCE {
            // Where the last flush ended, this one goes on.
            let after = self.flushed.clone();
            let next =
                self.untold.range((ops::Bound::Excluded(after), ops::Bound::Unbounded)).next();
            let next = next.or_else(|| self.untold.iter().next());
            let Some((name, from)) = next.map(|(name, from)| (name.clone(), *from)) else { break };
            self.untold.remove(&name);
            if let Some(seen) = self.loads.get(&name) {
                lines.push((wire::load(&name, &seen.load, super::age_ms(now, seen.read)), from));
            }
            self.flushed = name;
        }
        let zone = self.zone().clone();
        let near = |link: &Link| link.peer.zone == zone || link.peer.zone.as_str().is_empty();
        let links = self
            .links
            .iter()
            .filter(|(_, link)| link.peer.role == wire::Role::Steward && near(link));
        for name in links.map(|(name, _)| *name).collect::<Vec<_>>() {
            let others = lines.iter().filter(|(_, from)| *from != Some(name));
            let loads: Vec<_> = others.map(|(load, _)| load.clone()).collect();
            if !loads.is_empty() {
                self.send(name, wire::Body::Loads(wire::Loads { loads }));
            }
        }
    }

    pub(super) fn take_loads(&mut self, loads: &wire::Loads, from: LinkId) {
        let now = self.clock.now();
        let mut fresh = Vec::new();
        for line in &loads.loads {
            let upstream = id::Upstream::from(line.upstream.as_str());
            let load = wire::engine_load(line);
            let known = self.loads.get(&upstream).map(|known| &known.load);
            let order = |load: &engine::Load| (load.incarnation, load.sequence);
            if known.is_some_and(|known| order(known) >= order(&load)) {
                continue;
            }
            // Its age travels with it: what was passed on late must not look fresh.
            let micros = now.as_micros().saturating_sub(line.age_ms.saturating_mul(1_000));
            let read = clock::Moment::from_micros(micros);
            let observed = Observed { load, read, told: load, told_at: now };
            self.untold.insert(upstream.clone(), Some(from));
            self.loads.insert(upstream, observed);
            fresh.push(line.clone());
        }
        if fresh.is_empty() {
            return;
        }
        let body = wire::Body::Loads(wire::Loads { loads: fresh });
        self.send_all(&body, |name, link| link.peer.role == wire::Role::Entry && name != from);
    }

    /// Takes marks; a later life replaces an earlier one, and within one, leaving stays.
    pub(in crate::steward) fn take_marks(&mut self, marks: &[wire::Mark], from: Option<LinkId>) {
        let mut fresh = Vec::new();
        for mark in marks {
            let order = |mark: &wire::Mark| (mark.incarnation, mark.leaving);
            let known = self.marks.get(mark.upstream.as_str());
            if known.is_some_and(|known| order(known) >= order(mark)) {
                continue;
            }
            if mark.leaving {
                log::info!("{} in its life {} leaves", mark.upstream, mark.incarnation);
            }
            self.marks.insert(id::Upstream::from(mark.upstream.as_str()), mark.clone());
            fresh.push(mark.clone());
        }
        if fresh.is_empty() {
            return;
        }
        let body = wire::Body::Marks(wire::Marks { marks: fresh });
        self.send_all(&body, |name, link| {
            let wanted = matches!(link.peer.role, wire::Role::Entry | wire::Role::Steward);
            wanted && Some(name) != from
        });
    }

    /// Takes the platform's list: its leaving hosts become marks, and reports of hosts that are
    /// dead to their watchers and gone from the list are forgotten. The list lags, so alone it
    /// makes nobody dead.
    pub(in crate::steward) fn take_hosts(&mut self, lines: &[hosts::Line]) {
        let mark = |line: &hosts::Line| wire::Mark {
            upstream: line.name.clone(),
            incarnation: line.incarnation.0,
            leaving: line.state == hosts::State::Leaving,
        };
        let upstreams = lines
            .iter()
            .filter(|line| self.fleet.upstream(&id::Upstream::from(line.name.as_str())).is_some());
        let marks: Vec<_> = upstreams.map(mark).collect();
        self.take_marks(&marks, None);
        let listed = |host: &id::Host| lines.iter().any(|line| line.name == host.as_str());
        let reports = self.board.reports().map(|(host, _)| host);
        let gone = reports.filter(|host| !self.group.is_live(host) && !listed(host));
        for host in gone.cloned().collect::<Vec<_>>() {
            self.board.remove(&host);
        }
    }

    pub(super) fn take_spending(&mut self, spending: wire::Spending, from: LinkId) {
        let Some(link) = self.links.get(&from) else { return };
        let order = (link.peer.incarnation.0, spending.sequence);
        if link.peer.role == wire::Role::Steward {
            let last = self.spent.entry(spending.host.clone()).or_default();
            if spending.sequence <= last.1 && last.1 - spending.sequence < SPENDING_WINDOW {
                return;
            }
            *last = order;
        } else {
            self.spent.insert(spending.host.clone(), order);
        }
        let now = self.clock.now();
        self.spending.retain(|_, (_, since)| now.since(*since) < SPENDING_AGE);
        for line in &spending.lines {
            let customer = id::Customer::from(line.customer.as_str());
            let sum = self.spending.entry(customer).or_insert((0, now));
            *sum = (sum.0 / 2 + line.tokens, now);
        }
        let zone = self.zone().clone();
        self.send_all(&wire::Body::Spending(spending), |name, link| {
            let near = link.peer.zone == zone || link.peer.zone.as_str().is_empty();
            let wanted = match link.peer.role {
                wire::Role::Entry => true,
                wire::Role::Steward => near,
                wire::Role::Operator | wire::Role::Unspecified => false,
            };
            wanted && name != from
        });
    }
}

/// Whether a load differs enough from the one told last to be worth a message to every host of
/// the zone: by two requests, or by an eighth of the memory or of the prefill work.
fn is_news(told: &engine::Load, load: &engine::Load) -> bool {
    let requests = (told.running + told.waiting).abs_diff(load.running + load.waiting);
    let memory = told.kv_free_tokens.abs_diff(load.kv_free_tokens);
    let prefill = told.prefill_tokens.abs_diff(load.prefill_tokens);
    told.incarnation != load.incarnation
        || requests >= 2
        || memory > load.kv_tokens / 8
        || prefill > told.prefill_tokens.max(load.prefill_tokens) / 8 + 4_096
}

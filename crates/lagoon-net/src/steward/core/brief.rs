//! What heartbeats carry besides life: loads in short, and use by customers near their limits.
//!
//! Load pattern: at the target 39 hosts and 133 engines a zone, whose loads all change at each
//! look when they are busy. Without a bound, or in frames of their own on every link, a node sends
//! more than all its budget of 3 KB/s; heartbeats go out anyway, to the same neighbours, so what
//! they carry costs no headers. When all change at once loads lag more, they do not cost more.

use std::collections;
use std::ops;

use lagoonline::clock;
use lagoonline::clock::Clock;
use lagoonline::id;
use prost::Message;

use super::{Core, Observed};
use crate::wire;

/// Bytes that one heartbeat may carry. With four neighbours and two heartbeats a second, a
/// datagram of 94 bytes with its headers, and as much coming in, this keeps a node below 3 KB/s.
const ROOM_BYTES: usize = 80;

/// Part of them for spending, which is passed on first.
pub(super) const SPENDING_BYTES: usize = 40;

/// What the heartbeats of one round carry, and who knows it already.
#[derive(Default)]
pub(in crate::steward) struct Room {
    loads: Vec<(wire::CompactLoad, collections::BTreeSet<id::Host>)>,
    spendings: Vec<(wire::Spending, id::Host)>,
}

impl Room {
    /// The heartbeat for one neighbour: without what came from it.
    pub(in crate::steward) fn heartbeat(&self, to: &id::Host) -> wire::Heartbeat {
        let unknown = self.loads.iter().filter(|(_, knows)| !knows.contains(to));
        let lines: Vec<_> = unknown.map(|(line, _)| *line).collect();
        let spendings = self.spendings.iter().filter(|(_, from)| from != to);
        wire::Heartbeat {
            loads: (!lines.is_empty()).then(|| wire::compact_loads(&lines)),
            spendings: spendings.map(|(spending, _)| spending.clone()).collect(),
        }
    }
}

impl Core {
    /// Learns the codes of the names of all upstreams in the fleet.
    pub(super) fn name_codes(&mut self) {
        self.codes.clear();
        for upstream in &self.fleet.upstreams {
            let code = wire::name_code(upstream.name.as_str());
            let known = self.codes.entry(code).or_insert_with(|| Some(upstream.name.clone()));
            if known.as_ref() != Some(&upstream.name) {
                *known = None;
            }
        }
    }

    /// Whether the upstream's name can be told by its code.
    pub(super) fn has_code(&self, upstream: &id::Upstream) -> bool {
        let code = wire::name_code(upstream.as_str());
        self.codes.get(&code).is_some_and(|known| known.as_ref() == Some(upstream))
    }

    /// Fills the heartbeats of one round.
    pub(in crate::steward) fn next_room(&mut self) -> Room {
        let mut room = Room::default();
        let mut left = ROOM_BYTES;
        let mut for_spending = SPENDING_BYTES;
        while let Some((spending, from)) = self.spending.next(for_spending) {
            let bytes = spending.encoded_len() + 2;
            left -= bytes.min(left);
            for_spending -= bytes.min(for_spending);
            room.spendings.push((spending, from));
        }
        while left >= wire::COMPACT_LOAD_BYTES {
            let Some((line, knows)) = self.next_load() else { break };
            left -= wire::COMPACT_LOAD_BYTES;
            room.loads.push((line, knows));
        }
        room
    }

    /// The next load to be told: where the last heartbeat ended, this one goes on.
    fn next_load(&mut self) -> Option<(wire::CompactLoad, collections::BTreeSet<id::Host>)> {
        let after = (ops::Bound::Excluded(self.told.clone()), ops::Bound::Unbounded);
        let next = self.untold.range(after).next().or_else(|| self.untold.iter().next());
        let name = next.map(|(name, _)| name.clone())?;
        let knows = self.untold.remove(&name)?;
        let seen = self.loads.get(&name)?;
        let age_ms = super::age_ms(self.clock.now(), seen.read);
        let line = wire::CompactLoad::new(&name, &seen.load, age_ms);
        self.told = name;
        Some((line, knows))
    }

    /// Takes loads that came with a heartbeat, and passes on what is new.
    pub(in crate::steward) fn take_brief(&mut self, from: &id::Host, brief: &wire::CompactLoads) {
        let now = self.clock.now();
        let mut fresh = Vec::new();
        for line in wire::parse_compact_loads(brief) {
            let Some(Some(upstream)) = self.codes.get(&line.upstream) else { continue };
            let Some(known) = self.loads.get_mut(upstream) else { continue };
            let Some(load) = line.load(&known.load) else { continue };
            if line.sequence == known.load.sequence
                && let Some(knows) = self.untold.get_mut(upstream)
            {
                knows.insert(from.clone());
            }
            if line.sequence <= known.load.sequence {
                continue;
            }
            let micros = now.as_micros().saturating_sub(line.age_ms.saturating_mul(1_000));
            let read = clock::Moment::from_micros(micros);
            *known = Observed { load, read, told: load, told_at: now };
            self.untold.insert(upstream.clone(), [from.clone()].into());
            fresh.push(wire::load(upstream, &load, line.age_ms));
        }
        if fresh.is_empty() {
            return;
        }
        let body = wire::Body::Loads(wire::Loads { loads: fresh });
        self.send_all(&body, |_, link| link.peer.role == wire::Role::Entry);
    }
}

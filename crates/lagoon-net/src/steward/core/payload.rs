//! Payload of heartbeats: compact loads, and spending of customers near their limits.
//!
//! Load pattern: at the target size a zone has 39 hosts and 133 engines, and under load every
//! engine's load changes between two reads. Unbounded messages, or separate frames on every link,
//! exceed a host's whole budget of 3 KB/s for control traffic. Heartbeats go to the same peers
//! anyway, so data in them costs no extra headers. When all loads change at once, they are sent
//! later, at the same cost.

use std::collections;
use std::ops;

use lagoonline::clock;
use lagoonline::clock::Clock;
use lagoonline::id;
use prost::Message;

use super::{Core, Observed};
use crate::wire;

/// Payload bytes of one heartbeat. With four peers, two heartbeats a second, 94 bytes of datagram
/// and headers besides, and the same volume received, a host stays below 3 KB/s.
const PAYLOAD_BYTES: usize = 80;

/// Share of [`PAYLOAD_BYTES`] for customer spending, which is sent before loads.
pub(super) const SPENDING_BYTES: usize = 40;

/// Payload of one round of heartbeats, with the hosts that know each item already.
#[derive(Default)]
pub(in crate::steward) struct Payload {
    loads: Vec<(wire::CompactLoad, collections::BTreeSet<id::Host>)>,
    spendings: Vec<(wire::Spending, id::Host)>,
}

impl Payload {
    /// Builds the heartbeat for one peer, without the items that the peer knows already.
    pub(in crate::steward) fn heartbeat_for(&self, to: &id::Host) -> wire::Heartbeat {
        let unknown = self.loads.iter().filter(|(_, known_by)| !known_by.contains(to));
        let lines: Vec<_> = unknown.map(|(line, _)| *line).collect();
        let spendings = self.spendings.iter().filter(|(_, from)| from != to);
        wire::Heartbeat {
            loads: (!lines.is_empty()).then(|| wire::encode_compact_loads(&lines)),
            spendings: spendings.map(|(spending, _)| spending.clone()).collect(),
        }
    }
}

impl Core {
    /// Rebuilds the map from name codes to upstreams.
    pub(super) fn index_name_codes(&mut self) {
        self.name_codes.clear();
        for upstream in &self.fleet.upstreams {
            let code = wire::name_code(upstream.name.as_str());
            let known = self.name_codes.entry(code).or_insert_with(|| Some(upstream.name.clone()));
            if known.as_ref() != Some(&upstream.name) {
                *known = None;
            }
        }
    }

    /// Whether the code of the upstream's name identifies it: compact loads carry only codes.
    pub(super) fn has_unique_code(&self, upstream: &id::Upstream) -> bool {
        let code = wire::name_code(upstream.as_str());
        self.name_codes.get(&code).is_some_and(|known| known.as_ref() == Some(upstream))
    }

    /// Takes items off the queues for one round of heartbeats.
    pub(in crate::steward) fn next_payload(&mut self) -> Payload {
        let mut payload = Payload::default();
        let mut left = PAYLOAD_BYTES;
        let mut spending_left = SPENDING_BYTES;
        while let Some((spending, from)) = self.spending.pop(spending_left) {
            // Two more bytes for the field's tag and the length of the message.
            let bytes = spending.encoded_len() + 2;
            left -= bytes.min(left);
            spending_left -= bytes.min(spending_left);
            payload.spendings.push((spending, from));
        }
        while left >= wire::COMPACT_LOAD_BYTES {
            let Some((line, known_by)) = self.next_load() else { break };
            left -= wire::COMPACT_LOAD_BYTES;
            payload.loads.push((line, known_by));
        }
        payload
    }

    /// Takes the next pending load, in the order of names after the one sent last.
    fn next_load(&mut self) -> Option<(wire::CompactLoad, collections::BTreeSet<id::Host>)> {
        let after = (ops::Bound::Excluded(self.last_sent_load.clone()), ops::Bound::Unbounded);
        let next =
            self.pending_loads.range(after).next().or_else(|| self.pending_loads.iter().next());
        let name = next.map(|(name, _)| name.clone())?;
        let known_by = self.pending_loads.remove(&name)?;
        let seen = self.loads.get(&name)?;
        let age_ms = super::age_ms(self.clock.now(), seen.read_at);
        let line = wire::CompactLoad::new(&name, &seen.load, age_ms);
        self.last_sent_load = name;
        Some((line, known_by))
    }

    /// Applies the loads of a heartbeat and queues newer ones for other hosts.
    pub(in crate::steward) fn handle_compact_loads(
        &mut self,
        from: &id::Host,
        compact: &wire::CompactLoads,
    ) {
        let now = self.clock.now();
        let mut fresh = Vec::new();
        for line in wire::decode_compact_loads(compact) {
            let Some(Some(upstream)) = self.name_codes.get(&line.upstream) else { continue };
            let Some(known) = self.loads.get_mut(upstream) else { continue };
            let Some(load) = line.load(&known.load) else { continue };
            if line.sequence == known.load.sequence
                && let Some(known_by) = self.pending_loads.get_mut(upstream)
            {
                known_by.insert(from.clone());
            }
            if line.sequence <= known.load.sequence {
                continue;
            }
            let micros = now.as_micros().saturating_sub(line.age_ms.saturating_mul(1_000));
            let read_at = clock::Moment::from_micros(micros);
            *known = Observed { load, read_at, announced: load, announced_at: now };
            self.pending_loads.insert(upstream.clone(), [from.clone()].into());
            fresh.push(wire::encode_load(upstream, &load, line.age_ms));
        }
        if fresh.is_empty() {
            return;
        }
        let body = wire::Body::Loads(wire::Loads { loads: fresh });
        self.send_all(&body, |_, link| link.peer.role == wire::Role::Entry);
    }
}

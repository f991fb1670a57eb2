//! Which replica of a plain service gets a call.
//!
//! Pattern answered: calls of unlike length over few replicas. Each call goes to the replica with
//! the fewest calls of this host under way, the own zone first; a call that finds every replica's
//! slots taken is refused at once, since a plain service has no queue of ours to wait in.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use lagoonline::control::document;
use lagoonline::id;
use lagoonline::view;

#[derive(Debug, Default)]
struct Replica {
    outstanding: atomic::AtomicU32,
    leaving: atomic::AtomicBool,
}

/// Calls under way at each replica of this host's view.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replicas(collections::HashMap<id::Upstream, sync::Arc<Replica>>);

/// One call's place at a replica, free again when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    replica: sync::Arc<Replica>,
    pub(crate) upstream: id::Upstream,
    pub(crate) address: net::SocketAddr,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.replica.outstanding.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Why there is no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Shortage {
    /// No replica is known, or all are leaving.
    None,
    /// All slots are taken.
    Full,
}

impl Replicas {
    pub(crate) fn with_fleet(&self, fleet: &view::Fleet) -> Replicas {
        let mut replicas = collections::HashMap::new();
        for upstream in &fleet.upstreams {
            if let document::Serves::Service(_) = upstream.entry.serves {
                let kept = self.0.get(&upstream.name).cloned().unwrap_or_default();
                replicas.insert(upstream.name.clone(), kept);
            }
        }
        Replicas(replicas)
    }

    pub(crate) fn set_leaving(&self, upstream: &id::Upstream, leaving: bool) {
        if let Some(replica) = self.0.get(upstream) {
            replica.leaving.store(leaving, atomic::Ordering::Relaxed);
        }
    }

    /// Takes a slot at a replica that is not among `tried`.
    pub(crate) fn take(
        &self,
        fleet: &view::Fleet,
        service: &id::Service,
        zone: &id::Zone,
        tried: &[id::Upstream],
    ) -> Result<Slot, Shortage> {
        let mut shortage = Shortage::None;
        let mut best: Option<(bool, u32, Slot)> = None;
        for upstream in fleet.replicas(service) {
            let Some(replica) = self.0.get(&upstream.name) else { continue };
            if tried.contains(&upstream.name) || replica.leaving.load(atomic::Ordering::Relaxed) {
                continue;
            }
            let outstanding = replica.outstanding.fetch_add(1, atomic::Ordering::Relaxed);
            let slot = Slot {
                replica: replica.clone(),
                upstream: upstream.name.clone(),
                address: upstream.entry.address,
            };
            if outstanding >= upstream.entry.slots {
                shortage = Shortage::Full;
                continue;
            }
            let far = upstream.entry.zone != *zone;
            if best.as_ref().is_none_or(|(f, o, _)| (far, outstanding) < (*f, *o)) {
                best = Some((far, outstanding, slot));
            }
        }
        best.map(|(_, _, slot)| slot).ok_or(shortage)
    }
}

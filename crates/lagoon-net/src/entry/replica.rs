//! Chooses the replica of a plain service for each call.
//!
//! Calls differ much in duration, and a service has few replicas. Each call goes to the replica
//! with the fewest calls of this host in progress, with replicas of the own zone first. A call that
//! finds all slots taken waits in first-in, first-out order, and new calls do not overtake waiting
//! ones. The wait is limited in time and in number, so that a call which cannot be served soon is
//! refused.
//!
//! Guards against a replica that fails every call at once: it would always have the fewest calls in
//! progress and attract all of them. Without a circuit breaker, 745 calls ended as unknown within
//! 15 s while the other replicas were idle. Three failed calls in a row open the replica's circuit,
//! as for an engine (`lagoonline::load::outlier`): the replica is ejected and gets no calls, except
//! for single calls that probe it later. At most a third of a service's replicas, and at least one,
//! may be ejected.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use lagoonline::clock;
use lagoonline::control::document;
use lagoonline::id;
use lagoonline::load::outlier;
use lagoonline::view;
use tokio::sync as async_sync;

/// State of one replica that this host tracks.
#[derive(Debug, Default)]
struct Replica {
    /// Slots in use.
    in_flight: atomic::AtomicU32,
    leaving: atomic::AtomicBool,
    health: sync::Mutex<outlier::Health>,
}

impl Replica {
    fn health(&self) -> sync::MutexGuard<'_, outlier::Health> {
        self.health.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Takes one of `slots`. Returns how many were taken before, or `None` when all are.
    fn take(&self, slots: u32) -> Option<u32> {
        let more = |taken| (taken < slots).then_some(taken + 1);
        let (set, get) = (atomic::Ordering::Relaxed, atomic::Ordering::Relaxed);
        self.in_flight.fetch_update(set, get, more).ok()
    }

    fn release(&self) {
        self.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Queue of the calls that wait for a slot of one service.
#[derive(Debug, Default)]
struct WaitQueue {
    /// Notified when a slot is released.
    freed: async_sync::Notify,
    /// Number of waiting calls.
    waiting: atomic::AtomicUsize,
}

/// Interval at which a waiting call checks by itself: slots also appear when a new section is
/// applied, and a wakeup may be lost when several slots are released at once.
const RECHECK_INTERVAL: clock::Span = clock::Span::from_millis(50);

/// A waiting call. Dropping it removes it from the queue.
#[derive(Debug)]
pub(crate) struct Waiter(sync::Arc<WaitQueue>);

impl Waiter {
    /// Waits until a slot may be free.
    pub(crate) async fn wait(&self) {
        let _timeout = tokio::time::timeout(RECHECK_INTERVAL, self.0.freed.notified()).await;
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, atomic::Ordering::Relaxed);
        // Passes a wakeup that this call may have received and not used to the next one.
        self.0.freed.notify_one();
    }
}

/// State of all service replicas in this host's view, and the queues of the services.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replicas {
    replicas: collections::HashMap<id::Upstream, sync::Arc<Replica>>,
    queues: collections::HashMap<id::Service, sync::Arc<WaitQueue>>,
}

/// A slot at a replica, released when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    replica: sync::Arc<Replica>,
    queue: sync::Arc<WaitQueue>,
    pub(crate) upstream: id::Upstream,
    pub(crate) address: net::SocketAddr,
    /// Whether the replica is in another zone.
    remote: bool,
    /// Number of replicas of the service.
    total: usize,
    /// Number of those replicas that are ejected: their circuit is open or being probed.
    ejected: usize,
}

impl Slot {
    /// Records that the replica responded, with whatever status.
    pub(crate) fn record_response(&self) {
        self.replica.health().record_success();
    }

    /// Records that no connection was established or no response arrived, and that this was not the
    /// caller's fault.
    pub(crate) fn record_failure(&self, now: clock::Moment) {
        self.replica.health().record_failure(now, self.ejected, self.total, self.remote);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        // A probe of an open circuit that ended without a result, as when its caller disconnected,
        // must not leave the circuit in the probing state forever. `START` lets the next call probe
        // at once. This has no effect after a result.
        self.replica.health().record_inconclusive(clock::Moment::START);
        self.replica.release();
        self.queue.freed.notify_one();
    }
}

/// Reason why no slot is available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Unavailable {
    /// No replica is known, or all are leaving, have an open circuit or were already tried.
    NoReplica,
    /// All slots are taken.
    Full,
}

impl Replicas {
    /// Returns the replicas of a new fleet; the state of those that remain is kept.
    pub(crate) fn with_fleet(&self, fleet: &view::Fleet) -> Replicas {
        let mut replicas = collections::HashMap::new();
        let mut queues = collections::HashMap::new();
        for upstream in &fleet.upstreams {
            if let document::Serves::Service(service) = &upstream.entry.serves {
                let kept = self.replicas.get(&upstream.name).cloned().unwrap_or_default();
                replicas.insert(upstream.name.clone(), kept);
                let kept = self.queues.get(service).cloned().unwrap_or_default();
                queues.insert(service.clone(), kept);
            }
        }
        Replicas { replicas, queues }
    }

    /// Sets whether a replica is leaving; a leaving one gets no new calls.
    pub(crate) fn set_leaving(&self, upstream: &id::Upstream, leaving: bool) {
        if let Some(replica) = self.replicas.get(upstream) {
            replica.leaving.store(leaving, atomic::Ordering::Relaxed);
        }
    }

    /// Adds a call to those that wait for a slot of the service. Returns `None` when `max_waiting`
    /// wait already.
    pub(crate) fn enqueue(&self, service: &id::Service, max_waiting: usize) -> Option<Waiter> {
        let queue = self.queues.get(service)?;
        let waiter = Waiter(queue.clone());
        let before = queue.waiting.fetch_add(1, atomic::Ordering::Relaxed);
        (before < max_waiting).then_some(waiter)
    }

    /// Takes a slot at a replica that is not in `tried`. `waited` is set for a call from the queue,
    /// which goes before new calls.
    pub(crate) fn take(
        &self,
        fleet: &view::Fleet,
        service: &id::Service,
        (zone, now): (&id::Zone, clock::Moment),
        tried: &[id::Upstream],
        waited: bool,
    ) -> Result<Slot, Unavailable> {
        let queue = self.queues.get(service).ok_or(Unavailable::NoReplica)?;
        if !waited && queue.waiting.load(atomic::Ordering::Relaxed) > 0 {
            return Err(Unavailable::Full);
        }
        let mut unavailable = Unavailable::NoReplica;
        let (mut total, mut ejected) = (0, 0);
        let mut best: Option<(bool, u32, &sync::Arc<Replica>, &view::Upstream)> = None;
        for upstream in fleet.replicas(service) {
            let Some(replica) = self.replicas.get(&upstream.name) else { continue };
            let health = *replica.health();
            total += 1;
            ejected += usize::from(health.is_out());
            if !health.allows(now)
                || tried.contains(&upstream.name)
                || replica.leaving.load(atomic::Ordering::Relaxed)
            {
                continue;
            }
            let slots = upstream.entry.slots;
            let Some(in_flight) = replica.take(slots) else {
                unavailable = Unavailable::Full;
                continue;
            };
            let remote = upstream.entry.zone != *zone;
            if best.as_ref().is_some_and(|(best_remote, best_in_flight, ..)| {
                (remote, in_flight) >= (*best_remote, *best_in_flight)
            }) {
                replica.release();
                continue;
            }
            if let Some((_, _, other, _)) = best.replace((remote, in_flight, replica, upstream)) {
                other.release();
            }
        }
        let (remote, _, replica, upstream) = best.ok_or(unavailable)?;
        replica.health().record_sent();
        Ok(Slot {
            remote,
            total,
            ejected,
            replica: replica.clone(),
            queue: queue.clone(),
            upstream: upstream.name.clone(),
            address: upstream.entry.address,
        })
    }
}

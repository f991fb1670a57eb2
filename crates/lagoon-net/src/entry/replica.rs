//! Which replica of a plain service gets a call.
//!
//! Pattern answered: calls of unlike length over few replicas. Each call goes to the replica with
//! the fewest calls of this host under way, the own zone first. A call that finds every replica's
//! slots taken waits for one, first come first served; newcomers do not pass those that wait. The
//! wait is bounded in time and number, so that what cannot be served soon is told so.
//!
//! Pattern answered: a replica that loses every answer ends its calls at once, so it has the fewest
//! under way and gets them all. Symptom: 745 bookings in 15 s ended as unknown while the other
//! replicas stood idle. Three losses in a row open its circuit, as for an engine
//! (`lagoonline::load::outlier`); one call tries it again later. That is enough because at most a
//! third of a service's replicas, and at least one, may be out.

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

#[derive(Debug, Default)]
struct Replica {
    outstanding: atomic::AtomicU32,
    leaving: atomic::AtomicBool,
    health: sync::Mutex<outlier::Health>,
}

impl Replica {
    fn health(&self) -> sync::MutexGuard<'_, outlier::Health> {
        self.health.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Takes one of `slots`; how many were taken before.
    fn take(&self, slots: u32) -> Option<u32> {
        let more = |taken| (taken < slots).then_some(taken + 1);
        let (set, get) = (atomic::Ordering::Relaxed, atomic::Ordering::Relaxed);
        self.outstanding.fetch_update(set, get, more).ok()
    }

    fn give_back(&self) {
        self.outstanding.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Calls of one service that wait for a slot.
#[derive(Debug, Default)]
struct Lobby {
    freed: async_sync::Notify,
    waiting: atomic::AtomicUsize,
}

/// How often a waiting call looks by itself: slots also come with a new document, and of slots
/// that are freed at once a wake may be lost.
const RECHECK: clock::Span = clock::Span::from_millis(50);

/// A waiting call's turn; it leaves the queue when dropped.
#[derive(Debug)]
pub(crate) struct Turn(sync::Arc<Lobby>);

impl Turn {
    /// Waits until a slot may be free.
    pub(crate) async fn next(&self) {
        let _timeout = tokio::time::timeout(RECHECK, self.0.freed.notified()).await;
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, atomic::Ordering::Relaxed);
        // The wake that this call took and did not use is the next one's.
        self.0.freed.notify_one();
    }
}

/// Calls under way at each replica of this host's view.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replicas {
    replicas: collections::HashMap<id::Upstream, sync::Arc<Replica>>,
    lobbies: collections::HashMap<id::Service, sync::Arc<Lobby>>,
}

/// One call's place at a replica, free again when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    replica: sync::Arc<Replica>,
    lobby: sync::Arc<Lobby>,
    pub(crate) upstream: id::Upstream,
    pub(crate) address: net::SocketAddr,
    /// Whether it is in another zone.
    far: bool,
    /// Replicas of the service, and those of them whose circuit was not closed.
    all: usize,
    out: usize,
}

impl Slot {
    /// It answered, whatever it said.
    pub(crate) fn answered(&self) {
        self.replica.health().record_success();
    }

    /// No answer came, though the caller did its part.
    pub(crate) fn failed(&self, now: clock::Moment) {
        self.replica.health().record_failure(now, self.out, self.all, self.far);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        // A call that tried an open circuit and ended without a word, as when its caller left,
        // must not leave it as being tried for ever. After a word this changes nothing.
        self.replica.health().record_inconclusive(clock::Moment::START);
        self.replica.give_back();
        self.lobby.freed.notify_one();
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
        let mut lobbies = collections::HashMap::new();
        for upstream in &fleet.upstreams {
            if let document::Serves::Service(service) = &upstream.entry.serves {
                let kept = self.replicas.get(&upstream.name).cloned().unwrap_or_default();
                replicas.insert(upstream.name.clone(), kept);
                let kept = self.lobbies.get(service).cloned().unwrap_or_default();
                lobbies.insert(service.clone(), kept);
            }
        }
        Replicas { replicas, lobbies }
    }

    pub(crate) fn set_leaving(&self, upstream: &id::Upstream, leaving: bool) {
        if let Some(replica) = self.replicas.get(upstream) {
            replica.leaving.store(leaving, atomic::Ordering::Relaxed);
        }
    }

    /// Joins those that wait for a slot of the service; none when `most` do already.
    pub(crate) fn wait(&self, service: &id::Service, most: usize) -> Option<Turn> {
        let lobby = self.lobbies.get(service)?;
        let turn = Turn(lobby.clone());
        let before = lobby.waiting.fetch_add(1, atomic::Ordering::Relaxed);
        (before < most).then_some(turn)
    }

    /// Takes a slot at a replica that is not among `tried`; `waited` says that it is this call's
    /// turn before newcomers.
    pub(crate) fn take(
        &self,
        fleet: &view::Fleet,
        service: &id::Service,
        (zone, now): (&id::Zone, clock::Moment),
        tried: &[id::Upstream],
        waited: bool,
    ) -> Result<Slot, Shortage> {
        let lobby = self.lobbies.get(service).ok_or(Shortage::None)?;
        if !waited && lobby.waiting.load(atomic::Ordering::Relaxed) > 0 {
            return Err(Shortage::Full);
        }
        let mut shortage = Shortage::None;
        let (mut all, mut out) = (0, 0);
        let mut best: Option<(bool, u32, &sync::Arc<Replica>, &view::Upstream)> = None;
        for upstream in fleet.replicas(service) {
            let Some(replica) = self.replicas.get(&upstream.name) else { continue };
            let health = *replica.health();
            all += 1;
            out += usize::from(health.is_out());
            if !health.allows(now)
                || tried.contains(&upstream.name)
                || replica.leaving.load(atomic::Ordering::Relaxed)
            {
                continue;
            }
            let slots = upstream.entry.slots;
            let Some(outstanding) = replica.take(slots) else {
                shortage = Shortage::Full;
                continue;
            };
            let far = upstream.entry.zone != *zone;
            if best.as_ref().is_some_and(|(f, o, ..)| (far, outstanding) >= (*f, *o)) {
                replica.give_back();
                continue;
            }
            if let Some((_, _, other, _)) = best.replace((far, outstanding, replica, upstream)) {
                other.give_back();
            }
        }
        let (far, _, replica, upstream) = best.ok_or(shortage)?;
        replica.health().record_sent();
        Ok(Slot {
            far,
            all,
            out,
            replica: replica.clone(),
            lobby: lobby.clone(),
            upstream: upstream.name.clone(),
            address: upstream.entry.address,
        })
    }
}

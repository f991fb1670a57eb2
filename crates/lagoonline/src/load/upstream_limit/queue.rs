//! Requests that wait for a permit of any upstream, and those that were told when to come back.

use std::collections;
use std::hash::Hash;

use super::Supply;
use crate::clock;
use crate::lifecycle::fingerprint;

/// How long a request counts as waiting after its last try: several times the longest pause between
/// two tries. One whose caller left is not tried again.
const TRY_VALIDITY: clock::Span = clock::Span::from_millis(250);
/// How long a permit is kept for a caller beyond the time at which it was told to come back: it may
/// be late by a lost packet, and other hosts may use the next permits first.
const RETURN_GRACE: clock::Span = clock::Span::from_millis(800);
/// Time by which a caller may come back too early.
const EARLY_SLACK: clock::Span = clock::Span::from_millis(50);
/// Share of the permits that are kept for callers who come back. With all of them, no request would
/// be served at its first attempt any more, and so none in time.
const PROMISED_SHARE: f64 = 0.5;
/// Longest time after which a caller is told to come back with a permit kept for it. Callers do not
/// wait longer, and a longer list would be of use to nobody.
const MAX_PROMISED_WAIT: clock::Span = clock::Span::from_secs(3);
/// Largest number of callers that a permit is kept for; the ones due first are kept.
const MAX_PROMISES: usize = 4_096;

/// A request that wants a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Requester<Key> {
    /// Identifies it while it waits.
    pub waiter: Key,
    /// What it is, if that is known: the same when its caller comes back.
    pub identity: Option<fingerprint::Fingerprint>,
}

/// The queue of one service at one host. `Key` identifies a waiting request.
///
/// ```
/// use lagoonline::clock::Moment;
/// use lagoonline::lifecycle::fingerprint::Fingerprint;
/// use lagoonline::load::upstream_limit::{Bucket, Queue, Requester, Supply};
/// let (mut queue, now) = (Queue::default(), Moment::from_millis(10));
/// let supply = Supply::new(vec![Bucket::new(2.0, now)], 1.0);
/// let identity = Some(Fingerprint::new("acme", "/talk/a", b"hello"));
/// let first = Requester { waiter: 1, identity };
/// let span = queue.return_time(&first, &supply, 0.0, now);
/// queue.promise(identity.unwrap(), span, now);
/// let later = Requester { waiter: 2, identity: None };
/// assert_eq!(queue.ahead(&later, now + span), 1);
/// assert_eq!(queue.ahead(&Requester { waiter: 3, identity }, now + span), 0);
/// ```
#[derive(Clone, Debug)]
pub struct Queue<Key> {
    /// For each waiting request its place in the order of arrival, and when it was last tried.
    waiting: collections::HashMap<Key, (u64, clock::Moment)>,
    arrivals: u64,
    /// When each caller that was refused was told to come back.
    promises: collections::BTreeMap<fingerprint::Fingerprint, clock::Moment>,
}

impl<Key> Default for Queue<Key> {
    fn default() -> Self {
        Queue {
            waiting: collections::HashMap::new(),
            arrivals: 0,
            promises: collections::BTreeMap::new(),
        }
    }
}

impl<Key> Queue<Key>
where
    Key: Copy + Eq + Hash,
{
    /// Records a try of `waiter`, which waits from its first try on.
    pub fn record_try(&mut self, waiter: Key, now: clock::Moment) {
        self.arrivals += 1;
        self.waiting.entry(waiter).or_insert((self.arrivals, now)).1 = now;
    }

    /// Records that a request does not wait any more.
    pub fn stop_waiting(&mut self, waiter: Key) {
        self.waiting.remove(&waiter);
    }

    /// Records that a request has its permit, so that none is kept for its caller any more.
    pub fn leave(&mut self, requester: &Requester<Key>) {
        self.stop_waiting(requester.waiter);
        if let Some(identity) = requester.identity {
            self.promises.remove(&identity);
        }
    }

    /// Records that the caller of the request `identity` was told to come back after `span`. No
    /// permit is kept for one that will not wait that long.
    pub fn promise(
        &mut self,
        identity: fingerprint::Fingerprint,
        span: clock::Span,
        now: clock::Moment,
    ) {
        if span > MAX_PROMISED_WAIT {
            return;
        }
        self.promises.entry(identity).or_insert(now + span);
        if self.promises.len() > MAX_PROMISES {
            let last = self.promises.iter().max_by_key(|(_, due)| **due);
            if let Some(last) = last.map(|(identity, _)| *identity) {
                self.promises.remove(&last);
            }
        }
    }

    /// Forgets requests that are not tried any more and callers that did not come back.
    pub fn expire(&mut self, now: clock::Moment) {
        self.waiting.retain(|_, (_, tried)| now.since(*tried) <= TRY_VALIDITY);
        self.promises.retain(|_, due| now.since(*due) <= RETURN_GRACE);
    }

    /// Whether any caller was told to come back.
    pub fn has_promises(&self) -> bool {
        !self.promises.is_empty()
    }

    /// When the caller of the request was told to come back, if it was.
    fn due(&self, requester: &Requester<Key>) -> Option<clock::Moment> {
        self.promises.get(&requester.identity?).copied()
    }

    /// Whether the caller of the request has come back when it was told to.
    pub fn is_due(&self, requester: &Requester<Key>, now: clock::Moment) -> bool {
        self.due(requester).is_some_and(|due| due <= now + EARLY_SLACK)
    }

    /// Number of permits that go to others first: to requests that have waited longer, and to
    /// callers that should have come back by now. A caller that has come back goes before all.
    pub fn ahead(&self, requester: &Requester<Key>, now: clock::Moment) -> usize {
        if self.is_due(requester, now) {
            return 0;
        }
        let order = self.waiting.get(&requester.waiter).map_or(u64::MAX, |(order, _)| *order);
        let waiting = self.waiting.values().filter(|(other, _)| *other < order).count();
        waiting + self.promises.values().filter(|due| **due <= now).count()
    }

    /// Time until there is a permit for a request that stays.
    pub fn wait(
        &self,
        requester: &Requester<Key>,
        supply: &Supply,
        now: clock::Moment,
    ) -> clock::Span {
        let share = if self.promises.is_empty() { 1.0 } else { 1.0 - PROMISED_SHARE };
        supply.time_until(1.0 + self.ahead(requester, now) as f64 / share)
    }

    /// Time after which the caller of a request that is refused should come back: one that came too
    /// early keeps its time. If no permit can be kept for it, that is when those kept now have been
    /// used and later, at `spread` (from 0 to 1) of as long a time, so that not all come back at
    /// once.
    pub fn return_time(
        &self,
        requester: &Requester<Key>,
        supply: &Supply,
        spread: f64,
        now: clock::Moment,
    ) -> clock::Span {
        if let Some(due) = self.due(requester) {
            return due.since(now);
        }
        let span = supply.time_until((self.promises.len() + 1) as f64 / PROMISED_SHARE);
        if span <= MAX_PROMISED_WAIT {
            span
        } else {
            span + MAX_PROMISED_WAIT + MAX_PROMISED_WAIT.mul_f64(spread)
        }
    }
}

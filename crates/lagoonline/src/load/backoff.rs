//! Times for which upstreams want no requests from a host that they turned away.
//!
//! Load pattern: an upstream refuses requests at once, for a few seconds, although it has few under
//! way; it looks the least used one, so that nearly all requests of all hosts try it first and use
//! up the retries. With the refusal it names the time after which it wants further requests.
//!
//! Such a time is for one host, the one that was turned away, and for one lifetime of the upstream.
//! Nothing else ends it early, and of two times the later end holds. A host that places requests for
//! others keeps their times as well.
//!
//! Other hosts were asked for nothing. If they obeyed, upstreams that are full for a moment would get
//! no request from any host; if they knew nothing, each of hundreds of hosts would find out by a
//! refused request. They are told, and prefer other upstreams while these have room.

use std::collections;

use crate::clock;
use crate::id;

/// Longest time for which a host prefers other upstreams because of what another host was told.
const MAX_HINT: clock::Span = clock::Span::from_secs(10);
/// How long the end of a time is remembered for logs.
const MEMORY: clock::Span = clock::Span::from_secs(5);

/// A time in force, for placement: see [`super::placement::Request::backoffs`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backoff {
    /// The upstream that wants no requests.
    pub upstream: id::Upstream,
    /// When its lifetime began, as [`crate::routing::Registration::started_ms`].
    pub started_ms: u64,
    /// When it wants requests again.
    pub until: clock::Moment,
}

/// What a refusal changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The time begins.
    Begun,
    /// It ends later than known.
    Extended,
}

/// Identifies the host that was turned away and the upstream.
type Pair = (u64, id::Upstream);

#[derive(Clone, Copy, Debug)]
struct Time {
    started_ms: u64,
    until: clock::Moment,
}

impl Time {
    fn of(self, upstream: &id::Upstream) -> Backoff {
        Backoff { upstream: upstream.clone(), started_ms: self.started_ms, until: self.until }
    }
}

/// The times of one host, or of all hosts for which one places requests.
///
/// ```
/// use lagoonline::{clock::{Moment, Span}, id::Upstream, load::backoff::{Backoffs, Change}};
/// let (mut backoffs, engine) = (Backoffs::default(), Upstream::from("e"));
/// let now = Moment::from_millis(10);
/// let asked = backoffs.record((7, &engine), 1, Span::from_secs(3), now);
/// assert_eq!(asked, Some(Change::Begun));
/// assert_eq!(backoffs.until((7, &engine), 1, now), Some(Moment::from_millis(3_010)));
/// assert_eq!(backoffs.until((8, &engine), 1, now), None);
/// assert_eq!(backoffs.until((7, &engine), 2, now), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    times: collections::BTreeMap<Pair, Time>,
    /// What any host was told last, by upstream.
    hints: collections::BTreeMap<id::Upstream, Time>,
}

impl Backoffs {
    /// Records that an upstream, in the lifetime that began at `started_ms`, wants no requests from a
    /// host for `span`. Returns what that changed; `None` if a later end or lifetime is known.
    pub fn record(
        &mut self,
        (host, upstream): (u64, &id::Upstream),
        started_ms: u64,
        span: clock::Span,
        now: clock::Moment,
    ) -> Option<Change> {
        let until = now + span;
        let known = self.times.get(&(host, upstream.clone())).copied();
        let is_older = |known: Time| {
            known.started_ms > started_ms || known.started_ms == started_ms && known.until >= until
        };
        if span.is_zero() || known.is_some_and(is_older) {
            return None;
        }
        self.times.insert((host, upstream.clone()), Time { started_ms, until });
        let was_in_force =
            known.is_some_and(|known| known.started_ms == started_ms && known.until > now);
        Some(if was_in_force { Change::Extended } else { Change::Begun })
    }

    /// Records that an upstream wants no requests from some host. Returns whether it is news: no such
    /// time was in force, so that other hosts should hear of it.
    pub fn record_hint(
        &mut self,
        upstream: &id::Upstream,
        started_ms: u64,
        span: clock::Span,
        now: clock::Moment,
    ) -> bool {
        let time = Time { started_ms, until: now + span.min(MAX_HINT) };
        let known = self.hints.get(upstream).copied();
        let is_later = known
            .is_none_or(|known| (known.started_ms, known.until) < (time.started_ms, time.until));
        if is_later {
            self.hints.insert(upstream.clone(), time);
        }
        let was_in_force =
            known.is_some_and(|known| known.started_ms >= started_ms && known.until > now);
        is_later && !was_in_force
    }

    /// Returns the upstreams that want no requests from some host now, in the order of their names.
    pub fn hints(&self, now: clock::Moment) -> Vec<Backoff> {
        let in_force = self.hints.iter().filter(|(_, time)| time.until > now);
        in_force.map(|(upstream, time)| time.of(upstream)).collect()
    }

    /// Returns until when an upstream in the lifetime that began at `started_ms` wants no requests
    /// from `host`; `None` if it takes them.
    pub fn until(
        &self,
        (host, upstream): (u64, &id::Upstream),
        started_ms: u64,
        now: clock::Moment,
    ) -> Option<clock::Moment> {
        let time = self.times.get(&(host, upstream.clone()))?;
        (time.until > now && started_ms <= time.started_ms).then_some(time.until)
    }

    /// Returns how long ago the last time of `host` at an upstream ended; `None` if there was none
    /// lately.
    pub fn ended(
        &self,
        (host, upstream): (u64, &id::Upstream),
        now: clock::Moment,
    ) -> Option<clock::Span> {
        let time = self.times.get(&(host, upstream.clone()))?;
        (time.until <= now).then(|| now.since(time.until))
    }

    /// Whether no time is kept, in force or over.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty() && self.hints.is_empty()
    }

    /// Returns the times of `host` in force, in the order of the upstreams' names.
    pub fn in_force(&self, host: u64, now: clock::Moment) -> Vec<Backoff> {
        if self.times.is_empty() {
            return Vec::new();
        }
        let first = (host, id::Upstream::from(""));
        let of_host = self.times.range(first..).take_while(|((other, _), _)| *other == host);
        let in_force = of_host.filter(|(_, time)| time.until > now);
        in_force.map(|((_, upstream), time)| time.of(upstream)).collect()
    }

    /// Forgets times that ended a while ago, and those of hosts and upstreams that `is_known` says
    /// are gone for good.
    pub fn expire<Known>(&mut self, now: clock::Moment, is_known: Known)
    where
        Known: Fn(u64, &id::Upstream) -> bool,
    {
        self.times.retain(|(host, upstream), time| {
            time.until + MEMORY > now && is_known(*host, upstream)
        });
        self.hints.retain(|_, time| time.until > now);
    }
}

/// Returns the end of the time in force of an upstream among `backoffs`, which are in the order of
/// the upstreams' names.
pub(super) fn find(
    backoffs: &[Backoff],
    upstream: &id::Upstream,
    started_ms: u64,
) -> Option<clock::Moment> {
    let found = backoffs.binary_search_by(|backoff| backoff.upstream.cmp(upstream)).ok()?;
    let backoff = &backoffs[found];
    (started_ms <= backoff.started_ms).then_some(backoff.until)
}

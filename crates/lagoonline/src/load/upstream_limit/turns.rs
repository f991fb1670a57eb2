//! Which host goes first when several need the same upstream.

use std::collections;
use std::hash::{Hash, Hasher};

use crate::clock;
use crate::id;

/// How long a host counts as one that sends requests after it last did.
const ACTIVE_SPAN: clock::Span = clock::Span::from_secs(2);
/// Time by which one host goes before the next: within it the next one usually hears of the
/// request, which is collected in a batch, crosses zones, and may find a busy receiver.
const STEP: clock::Span = clock::Span::from_millis(25);
/// Longest time that a host lets others go first, however many there are.
const MAX_LEAD: clock::Span = clock::Span::from_millis(250);
/// Half-life of the number of requests by which a host's share of them is estimated.
const SHARE_HALF_LIFE: clock::Span = clock::Span::from_secs(1);
/// The same for the estimate of [`Turns::part`]: the sum of the shares that hosts find for themselves
/// must grow by little until a zone that is cut off is noticed, after 1.3 s.
const PART_HALF_LIFE: clock::Span = clock::Span::from_secs(3);
/// Time for which the same hosts are drawn: long enough to hear of their requests.
const DRAW_SPAN: clock::Span = clock::Span::from_millis(250);
/// Number of requests, spread evenly over the hosts, that count besides those seen in an estimate
/// for a known number of hosts: the first request after a pause must not give its host all.
const EVEN_REQUESTS: f64 = 3.0;

/// The recent requests of one host.
#[derive(Clone, Copy, Debug)]
struct Activity {
    /// Number of requests, decayed up to `at`.
    requests: f64,
    /// The same with the half-life [`PART_HALF_LIFE`].
    steady: f64,
    /// When the last one was sent.
    at: clock::Moment,
}

impl Activity {
    /// Number of requests, decayed up to `now`.
    fn requests(&self, now: clock::Moment) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / SHARE_HALF_LIFE.as_secs_f64();
        self.requests * 0.5_f64.powf(half_lives)
    }

    /// Number of requests, decayed up to `now` with the half-life [`PART_HALF_LIFE`].
    fn steady(&self, now: clock::Moment) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / PART_HALF_LIFE.as_secs_f64();
        self.steady * 0.5_f64.powf(half_lives)
    }
}

/// The hosts that place requests, as far as they have done so lately.
///
/// ```
/// use lagoonline::{clock::{Moment, Span}, id::Upstream, load::upstream_limit::Turns};
/// let (upstream, now) = (Upstream::from("e1"), Moment::from_millis(10));
/// let mut turns = [Turns::new(7), Turns::new(8)];
/// for turns in &mut turns {
///     turns.record(7, now);
///     turns.record(8, now);
/// }
/// let first = turns.iter().filter(|turns| turns.lead(&upstream, now) == Span::ZERO);
/// assert_eq!(first.count(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Turns {
    own: u64,
    /// Recent requests by the number of their host.
    active: collections::BTreeMap<u64, Activity>,
}

impl Turns {
    /// No host has sent a request; this one has the number `own`.
    pub fn new(own: u64) -> Turns {
        Turns { own, active: collections::BTreeMap::new() }
    }

    /// Records that `host` placed a request, wherever it went.
    pub fn record(&mut self, host: u64, now: clock::Moment) {
        let known = self.active.get(&host);
        let requests = known.map_or(0.0, |activity| activity.requests(now)) + 1.0;
        let steady = known.map_or(0.0, |activity| activity.steady(now)) + 1.0;
        self.active.insert(host, Activity { requests, steady, at: now });
    }

    /// Forgets the hosts that have sent nothing lately.
    pub fn expire(&mut self, now: clock::Moment) {
        self.active.retain(|_, activity| now.since(activity.at) <= ACTIVE_SPAN);
    }

    /// Number of hosts that send requests, this one included.
    pub fn hosts(&self, now: clock::Moment) -> usize {
        self.others(now).count() + 1
    }

    /// Time by which other hosts go first at `upstream`.
    pub fn lead(&self, upstream: &id::Upstream, now: clock::Moment) -> clock::Span {
        let own = score(self.own, upstream);
        let before = self.others(now).filter(|host| score(*host, upstream) < own).count();
        let hosts = u32::try_from(self.hosts(now)).unwrap_or(u32::MAX);
        STEP.min(MAX_LEAD / hosts) * u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Share of the recent requests that were this host's; at least half of an even share.
    pub fn own_share(&self, now: clock::Moment) -> f64 {
        let requests = |activity: &Activity| activity.requests(now);
        let all: f64 = self.active.values().map(requests).sum();
        let own = self.active.get(&self.own).map_or(0.0, requests);
        let least = 0.5 / self.hosts(now) as f64;
        if all > 0.0 { (own / all).max(least) } else { 1.0 }
    }

    /// Whether this host is drawn for `upstream` now, which `part` of the hosts are, from 0 to 1;
    /// others are some moments later.
    pub fn is_drawn(&self, upstream: &id::Upstream, part: f64, now: clock::Moment) -> bool {
        let round = now.since(clock::Moment::START).as_millis() / DRAW_SPAN.as_millis();
        let mut hasher = collections::hash_map::DefaultHasher::new();
        (self.own, upstream.as_str(), round).hash(&mut hasher);
        part >= 1.0 || (hasher.finish() as f64) < part * u64::MAX as f64
    }

    /// Share of the recent requests that were this host's, one of `hosts` hosts that place
    /// requests; an even share if there were none. The shares that hosts with the same knowledge
    /// find for themselves add up to one.
    pub fn part(&self, hosts: usize, now: clock::Moment) -> f64 {
        let steady = |activity: &Activity| activity.steady(now);
        let all: f64 = self.active.values().map(steady).sum();
        let own = self.active.get(&self.own).map_or(0.0, steady);
        let even = EVEN_REQUESTS / hosts.max(1) as f64;
        (own + even) / (all + EVEN_REQUESTS)
    }

    fn others(&self, now: clock::Moment) -> impl Iterator<Item = u64> {
        let is_active = move |activity: &Activity| now.since(activity.at) <= ACTIVE_SPAN;
        let active = self.active.iter().filter(move |(_, activity)| is_active(activity));
        active.map(|(host, _)| *host).filter(|host| *host != self.own)
    }
}

/// Position of `host` in the order at `upstream`, which is another one at each upstream. Hosts whose
/// builds compute it differently only use some permits twice.
fn score(host: u64, upstream: &id::Upstream) -> u64 {
    let mut hasher = collections::hash_map::DefaultHasher::new();
    (host, upstream.as_str()).hash(&mut hasher);
    hasher.finish()
}

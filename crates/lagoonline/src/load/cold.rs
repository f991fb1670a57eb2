//! Upstreams that are cold after a start, and the requests that they may get meanwhile.
//!
//! Load pattern: an upstream starts, or a whole zone of them returns, and all hosts see an idle
//! upstream at the same moment. It takes a few requests a second until its caches are warm and
//! crashes if it gets many more, while each of hundreds of hosts would send its share of the burst
//! before it hears of the others.
//!
//! So each host that places requests counts those of all hosts in a bucket for each cold upstream,
//! as for a limit that an upstream names itself ([`super::upstream_limit`]). A limit may be exceeded
//! for a moment and the debt is paid back; here each single second counts. Hence a small burst, and
//! a second bucket for the host's own choices: what the hosts send together stays within the bound
//! even if none of them hears of the others, and what it adds to the first is only that a host whose
//! share of the traffic grows suddenly gets its share of the permits some seconds later.
//!
//! How long an upstream is cold is known from its entry, from its answers, and from its start: an
//! entry may be older than the whole cold time. `docs/design/cold-upstreams.md` has the arithmetic.

use super::upstream_limit;
use crate::clock;
use crate::routing;

/// Longest time from a request's placement, which takes its permit, until it is sent without another
/// permit. The permits of 1.25 s then arrive in one second: 25 of the 30 that the bound allows at 17
/// a second.
pub const MAX_SEND_DELAY: clock::Span = clock::Span::from_millis(250);
/// Longest cold time that is believed.
const MAX_SPAN: clock::Span = clock::Span::from_secs(3_600);
/// Time for which an entry may be older than an answer: entries are rewritten every 1.2 s and may
/// be relayed. An entry that names no cold time does not end one that an answer named within it.
const MAX_ENTRY_AGE: clock::Span = clock::Span::from_secs(3);
/// Extension of a cold time that is worth a log line; answers and entries differ by less.
const MIN_EXTENSION: clock::Span = clock::Span::from_millis(500);
/// Part of the excess that the bound allows beyond the rate which the burst of all hosts may use.
const BURST_PART: f64 = 0.25;
/// Part of the excess which the bursts of the single hosts may use together.
const OWN_BURST_PART: f64 = 0.5;
/// Smallest burst: a bucket that never holds a whole permit gives none.
const MIN_BURST: f64 = 1.0;
/// Most by which the rates of the hosts' own choices together exceed the rate: a host that waits for
/// a permit of all must not lose those of its own, of which it keeps only one.
const MAX_OWN_RATE: f64 = 1.15;
/// Growth of these rates until a zone that is cut off is noticed, for which the bound keeps room.
const OWN_RATE_GROWTH: f64 = 1.1;
/// Smallest number of placing hosts that a host's own burst is sized for: one that was frozen knows
/// of no others at first.
const MIN_PLACING_HOSTS: f64 = 2.0;

/// The bound on arrivals at a cold upstream in any second, summed over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Multiple of the rate that the upstream sustains.
    pub overage: f64,
    /// Further arrivals in the second.
    pub slack: f64,
}

impl Default for Bound {
    fn default() -> Self {
        Bound { overage: 1.0, slack: 0.0 }
    }
}

/// How requests to a cold upstream are limited.
///
/// ```
/// use lagoonline::load::cold::{Bound, Plan};
/// use lagoonline::{clock::Span, routing::ColdStart};
/// let cold_start = ColdStart { span: Span::from_secs(20), rate: 17.0 };
/// let plan = Plan::new(cold_start, Bound { overage: 1.5, slack: 5.0 });
/// assert_eq!((plan.rate, plan.burst, plan.own_burst(3)), (17.0, 3.375, 2.25));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// How long an upstream is cold after a start.
    pub span: clock::Span,
    /// Permits per second for all hosts together.
    pub rate: f64,
    /// Most permits that are kept for all hosts together.
    pub burst: f64,
    /// Permits that all hosts together may use in a second beyond the rate.
    excess: f64,
    /// Arrivals that the bound allows in a second.
    allowed: f64,
}

impl Plan {
    /// The plan that keeps `bound`. In a second there are `rate` + `burst` permits; what the bound
    /// allows beyond these is for permits that several hosts use before they hear of each other.
    pub fn new(cold_start: routing::ColdStart, bound: Bound) -> Plan {
        let allowed = cold_start.rate * bound.overage + bound.slack;
        let excess = (allowed - cold_start.rate).max(0.0);
        let burst = (excess * BURST_PART).max(MIN_BURST);
        // A bound without an excess leaves no room for a burst and for a permit that is used twice,
        // so that the rate has to be lower.
        let rate = cold_start.rate.min((allowed - 2.0 * burst).max(allowed / 2.0));
        Plan { span: cold_start.span.min(MAX_SPAN), rate, burst, excess, allowed }
    }

    /// Most permits that one of `hosts` hosts which place requests keeps for its own choices.
    pub fn own_burst(&self, hosts: usize) -> f64 {
        let hosts = (hosts as f64).max(MIN_PLACING_HOSTS);
        (self.excess * OWN_BURST_PART / hosts).max(MIN_BURST)
    }

    /// Part of `hosts` hosts which place requests that may use a cold upstream at the same moment: if
    /// there are very many, and each uses one permit before it hears of the others, the bound has no
    /// room for all of them.
    pub fn part_at_once(&self, hosts: usize) -> f64 {
        (self.excess.max(MIN_BURST) / hosts.max(1) as f64).min(1.0)
    }

    /// Permits per second that `hosts` hosts which place requests have for their own choices
    /// together: as many as the bound allows besides their bursts, and not much more than the rate.
    fn own_rate(&self, hosts: usize) -> f64 {
        let bursts = self.own_burst(hosts) * hosts as f64;
        let room = (self.allowed - bursts) / self.rate / OWN_RATE_GROWTH;
        self.rate * room.clamp(1.0, MAX_OWN_RATE)
    }
}

/// By what an upstream is known to be cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// Its entry in the list of upstreams.
    Entry,
    /// An answer of the upstream, to this host or another one.
    Answer,
    /// Its lifetime began since this host has had the list.
    Start,
}

/// What one answer of an upstream says. It was made at some time between `sent` and `seen`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Observation {
    /// How much longer the upstream is cold; zero if it is not.
    pub remaining: clock::Span,
    /// When its request was sent.
    pub sent: clock::Moment,
    /// When it arrived at the host that sent the request.
    pub seen: clock::Moment,
}

impl Observation {
    /// When the upstream is warm at the latest.
    fn until(&self) -> clock::Moment {
        self.seen + self.remaining.min(MAX_SPAN)
    }
}

/// What a statement about an upstream changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is cold.
    Begun,
    /// It is cold for longer than was known.
    Extended,
    /// It is not cold any more.
    Ended,
}

/// The permits of one cold upstream, as one host counts them.
#[derive(Clone, Copy, Debug)]
pub struct Permits {
    /// Filled at this host's share of the rate; requests of all hosts take from it.
    all: upstream_limit::Bucket,
    /// Filled at the rate times this host's part of the traffic; its own choices take from it.
    own: upstream_limit::Bucket,
}

impl Permits {
    fn new(plan: &Plan, now: clock::Moment) -> Permits {
        Permits {
            all: upstream_limit::Bucket::with_burst(plan.rate, plan.burst, now),
            own: upstream_limit::Bucket::with_burst(plan.rate, MIN_BURST, now),
        }
    }

    /// Adds the permits for the time until `now`. This host, one of `hosts` which place requests,
    /// places the part `own_part` of all requests.
    pub fn fill(&mut self, plan: &Plan, hosts: usize, own_part: f64, now: clock::Moment) {
        self.all.fill(now);
        self.own.set_rate(plan.own_rate(hosts) * own_part, now);
        self.own.set_burst(plan.own_burst(hosts));
    }

    /// Whether this host may send a request, where others go first by `lead`.
    pub fn has_permit(&self, lead: clock::Span) -> bool {
        self.all.has_permit(lead) && self.own.has_permit(clock::Span::ZERO)
    }

    /// Takes the permit of a request of any host.
    pub fn take(&mut self, now: clock::Moment) {
        self.all.take(now);
    }

    /// Counts a choice of this host; its request takes a permit besides.
    pub fn take_own(&mut self, now: clock::Moment) {
        self.own.take(now);
    }

    /// Sets the share of the rate that this host counts on.
    pub fn set_share(&mut self, share: f64, now: clock::Moment) {
        self.all.set_share(share, now);
    }

    /// The permits of all hosts.
    pub fn bucket(&self) -> &upstream_limit::Bucket {
        &self.all
    }
}

/// A cold time in force.
#[derive(Clone, Copy, Debug)]
struct Current {
    until: clock::Moment,
    source: Source,
    permits: Permits,
}

/// What is known of the coldness of one upstream in one of its lifetimes.
///
/// ```
/// use lagoonline::load::cold::{Bound, Change, Cold, Observation, Plan};
/// use lagoonline::{clock::{Moment, Span}, routing::ColdStart};
/// let plan = Plan::new(ColdStart { span: Span::from_secs(20), rate: 17.0 }, Bound::default());
/// let (mut cold, now) = (Cold::default(), Moment::from_millis(10));
/// let change = cold.observe_entry(Some(Span::from_secs(3)), true, &plan, now);
/// assert_eq!((change, cold.until()), (Some(Change::Begun), Some(now + plan.span)));
/// let later = now + Span::from_secs(1);
/// let answer = Observation { remaining: Span::ZERO, sent: later, seen: later };
/// assert_eq!(cold.observe_answer(&answer, &plan, later), Some(Change::Ended));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Cold {
    /// Whether an entry was taken.
    is_listed: bool,
    /// What the last entry named, if anything.
    named: Option<clock::Span>,
    current: Option<Current>,
    /// Of the answers that were taken: when the request of the last one was sent, and when the last
    /// one arrived.
    sent: clock::Moment,
    seen: clock::Moment,
}

impl Cold {
    /// Takes the entry of the upstream, which names `remaining`, or nothing; `is_start` if this host
    /// has seen the lifetime begin. An entry that was taken before has no effect, nor has one that
    /// names nothing unless it shows a start.
    pub fn observe_entry(
        &mut self,
        remaining: Option<clock::Span>,
        is_start: bool,
        plan: &Plan,
        now: clock::Moment,
    ) -> Option<Change> {
        let starts = is_start && !self.is_listed;
        let is_known = self.is_listed && self.named == remaining;
        self.is_listed = true;
        self.named = remaining;
        if is_known {
            return None;
        }
        let remaining = match remaining {
            Some(remaining) => remaining.min(MAX_SPAN),
            None if starts => plan.span,
            None => return None,
        };
        if remaining.is_zero() {
            let by_answer = self.current.is_some_and(|current| current.source == Source::Answer);
            let is_older = by_answer && now.since(self.seen) < MAX_ENTRY_AGE;
            return if is_older { None } else { self.end() };
        }
        if starts {
            self.begin(now + remaining.max(plan.span), Source::Start, plan, now)
        } else {
            self.begin(now + remaining, Source::Entry, plan, now)
        }
    }

    /// Takes what an answer says. An answer may have been overtaken by others: it ends or shortens
    /// the time only if its request was sent after the last one that was taken had arrived.
    pub fn observe_answer(
        &mut self,
        answer: &Observation,
        plan: &Plan,
        now: clock::Moment,
    ) -> Option<Change> {
        let is_later = answer.sent >= self.seen;
        if !is_later && answer.sent < self.sent {
            return None;
        }
        let until = answer.until();
        let known = self.until();
        let is_longer = known.is_none_or(|known| until > known);
        if !is_later && !is_longer {
            return None;
        }
        self.sent = self.sent.max(answer.sent);
        self.seen = self.seen.max(answer.seen);
        if answer.remaining.is_zero() || until <= now {
            return if is_later { self.end() } else { None };
        }
        if is_longer {
            return self.begin(until, Source::Answer, plan, now);
        }
        if let Some(current) = &mut self.current {
            (current.until, current.source) = (until, Source::Answer);
        }
        None
    }

    /// Begins a cold time, or extends it.
    fn begin(
        &mut self,
        until: clock::Moment,
        source: Source,
        plan: &Plan,
        now: clock::Moment,
    ) -> Option<Change> {
        match &mut self.current {
            None => {
                self.current = Some(Current { until, source, permits: Permits::new(plan, now) });
                Some(Change::Begun)
            }
            Some(current) if until > current.until => {
                let extension = until.since(current.until);
                (current.until, current.source) = (until, source);
                (extension >= MIN_EXTENSION).then_some(Change::Extended)
            }
            Some(_) => None,
        }
    }

    fn end(&mut self) -> Option<Change> {
        self.current.take().map(|_| Change::Ended)
    }

    /// Ends the cold time if it is over.
    pub fn expire(&mut self, now: clock::Moment) -> Option<Change> {
        let is_over = self.until().is_some_and(|until| until <= now);
        if is_over { self.end() } else { None }
    }

    /// Forgets a cold time, and what the entry named.
    pub fn reset(&mut self) -> Option<Change> {
        let change = self.end();
        let named = self.is_listed.then_some(clock::Span::ZERO);
        *self = Cold { is_listed: self.is_listed, named, ..Cold::default() };
        change
    }

    /// Until when it is cold; `None` if it is not.
    pub fn until(&self) -> Option<clock::Moment> {
        self.current.map(|current| current.until)
    }

    /// The last answer that was taken, as an observation for other hosts; `None` if the time in force
    /// is not from an answer.
    pub fn observation(&self) -> Option<Observation> {
        let current = self.current.filter(|current| current.source == Source::Answer)?;
        let remaining = current.until.since(self.seen);
        Some(Observation { remaining, sent: self.sent, seen: self.seen })
    }

    /// By what it is known to be cold.
    pub fn source(&self) -> Option<Source> {
        self.current.map(|current| current.source)
    }

    /// The permits of the cold time in force.
    pub fn permits(&self) -> Option<&Permits> {
        self.current.as_ref().map(|current| &current.permits)
    }

    /// The permits of the cold time in force, to be changed.
    pub fn permits_mut(&mut self) -> Option<&mut Permits> {
        self.current.as_mut().map(|current| &mut current.permits)
    }
}

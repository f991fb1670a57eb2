//! Customers' limits over all entry hosts of a zone, without a call to anyone on the request path.
//!
//! Load pattern: a customer far over what it pays for, through all hosts at once. A limit held by
//! each host alone would let it through once for each host; a shared counter would put the
//! platform on the request path. Here each host fills its bucket at the whole zone's rate and
//! takes off what the other hosts report to have let in. A host that serves a customer alone may
//! thus use the whole limit, and no share has to be agreed.
//!
//! Error bound: a host lets in only while its bucket is above zero, and learns of the others'
//! use after a lag of at most D. So in any time t the zone lets in at most
//! `rate * t + burst + (hosts - 1) * rate * D` and one request for each host: the burst is divided
//! by the hosts, and only use of the last D is unknown. With reports each 250 ms, 39 hosts and a
//! customer that uses all of them evenly the excess is at most 10 s of its rate, once; it is paid
//! back, as buckets go below zero.
//!
//! A host that hears from no other for three seconds is cut off or its steward is down. It then
//! fills at its even share of the rate, since the others go on using theirs. A zone cut off from
//! other zones is not affected: limits hold for each zone.

use std::collections;

use crate::clock;
use crate::id;
use crate::load::admit;
use crate::outcome;

/// Tokens and requests that may come at once, as time at the limit's rate: two bursts of a page
/// that sends its requests together.
const BURST_SECONDS: f64 = 2.0;
/// Time without reports after which a host falls back to its share.
const SILENCE: clock::Span = clock::Span::from_secs(3);
/// Deepest debt, as time at the limit's rate: a customer is not locked out for long by a report
/// that comes late and at once.
const DEBT_SECONDS: f64 = 10.0;

/// A customer's limits over one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests a second.
    pub requests: f64,
    /// Tokens a second.
    pub tokens: f64,
}

/// Use by one customer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Spend {
    /// Whose.
    pub customer: id::Customer,
    /// Requests let in.
    pub requests: u64,
    /// Tokens let in.
    pub tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: Rate,
    requests: f64,
    tokens: f64,
    filled: clock::Moment,
    /// Let in here since the last report.
    unreported: (u64, u64),
}

/// One host's buckets, for customers that were active of late.
#[derive(Debug, Default)]
pub struct Limits {
    hosts: u32,
    heard: clock::Moment,
    buckets: collections::HashMap<id::Customer, Bucket>,
    kept: usize,
}

/// Buckets kept before those that are full again are dropped.
const KEPT: usize = 256;

impl Limits {
    /// Limits at one of `hosts` entry hosts of a zone.
    pub fn new(hosts: u32) -> Self {
        Limits { hosts: hosts.max(1), ..Limits::default() }
    }

    /// The zone has this many entry hosts now.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Lets one request of `tokens` tokens in, or says when the customer may ask again.
    ///
    /// ```
    /// use lagoonline::{clock::Moment, id::Customer, load::limit, outcome::Reason};
    /// let mut limits = limit::Limits::new(1);
    /// let rate = limit::Rate { requests: 1.0, tokens: 1e6 };
    /// let customer = Customer::from("clerk");
    /// let mut ask = || limits.take(Moment::START, &customer, rate, 100);
    /// assert!(ask().is_ok() && ask().is_ok());
    /// assert_eq!(ask().unwrap_err().reason, Reason::OverLimit);
    /// ```
    pub fn take(
        &mut self,
        now: clock::Moment,
        customer: &id::Customer,
        rate: Rate,
        tokens: u64,
    ) -> Result<(), outcome::Failure> {
        self.forget(now);
        let (hosts, share) = (f64::from(self.hosts), self.share(now));
        let bucket = self.buckets.entry(customer.clone()).or_insert(Bucket {
            rate,
            requests: (rate.requests * BURST_SECONDS / hosts).max(1.0),
            tokens: rate.tokens * BURST_SECONDS / hosts,
            filled: now,
            unreported: (0, 0),
        });
        bucket.rate = rate;
        bucket.fill(now, hosts, share);
        if bucket.requests < 1.0 || bucket.tokens <= 0.0 {
            let requests = (1.0 - bucket.requests) / (rate.requests * share).max(1e-9);
            let seconds = requests.max(-bucket.tokens / (rate.tokens * share).max(1e-9));
            return Err(admit::refusal(outcome::Reason::OverLimit, seconds, now.as_micros()));
        }
        bucket.requests -= 1.0;
        bucket.tokens -= tokens as f64;
        bucket.unreported.0 += 1;
        bucket.unreported.1 += tokens;
        Ok(())
    }

    /// What was let in here since the last call, for the other hosts.
    pub fn report(&mut self) -> Vec<Spend> {
        let mut spends = Vec::new();
        for (customer, bucket) in &mut self.buckets {
            let (requests, tokens) = std::mem::take(&mut bucket.unreported);
            if requests > 0 {
                spends.push(Spend { customer: customer.clone(), requests, tokens });
            }
        }
        spends
    }

    /// Takes off what other hosts of the zone let in. An empty report counts as hearing from them.
    pub fn heard(&mut self, now: clock::Moment, spends: &[Spend]) {
        let (hosts, share) = (f64::from(self.hosts), self.share(now));
        self.heard = now;
        for spend in spends {
            let Some(bucket) = self.buckets.get_mut(&spend.customer) else { continue };
            bucket.fill(now, hosts, share);
            let debt = -DEBT_SECONDS;
            let requests = bucket.requests - spend.requests as f64;
            bucket.requests = requests.max(debt * bucket.rate.requests);
            let tokens = bucket.tokens - spend.tokens as f64;
            bucket.tokens = tokens.max(debt * bucket.rate.tokens);
        }
    }

    /// Part of the zone's rate at which buckets fill here.
    fn share(&self, now: clock::Moment) -> f64 {
        let silent = self.hosts > 1 && now.since(self.heard) >= SILENCE;
        if silent { 1.0 / f64::from(self.hosts) } else { 1.0 }
    }

    /// Drops buckets that are full and reported, each time their number has doubled.
    fn forget(&mut self, now: clock::Moment) {
        if self.buckets.len() < self.kept.max(KEPT) {
            return;
        }
        let (hosts, share) = (f64::from(self.hosts), self.share(now));
        self.buckets.retain(|_, bucket| {
            bucket.fill(now, hosts, share);
            bucket.unreported.0 > 0 || !bucket.is_full(hosts)
        });
        self.kept = 2 * self.buckets.len();
    }
}

impl Bucket {
    fn fill(&mut self, now: clock::Moment, hosts: f64, share: f64) {
        let seconds = now.since(self.filled).as_secs_f64() * share;
        let most = BURST_SECONDS / hosts;
        let requests = (self.rate.requests * most).max(1.0);
        self.requests = (self.requests + self.rate.requests * seconds).min(requests);
        self.tokens = (self.tokens + self.rate.tokens * seconds).min(self.rate.tokens * most);
        self.filled = now;
    }

    fn is_full(&self, hosts: f64) -> bool {
        self.tokens >= self.rate.tokens * BURST_SECONDS / hosts
            && self.requests >= (self.rate.requests * BURST_SECONDS / hosts).max(1.0)
    }
}

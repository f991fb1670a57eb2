//! Rate limits of customers across all entry hosts of a zone, without a remote call on the request
//! path.
//!
//! Load pattern: a customer sends far more than its limit, through all hosts at once. If each host
//! enforced the limit separately, it would be granted once per host; a shared counter would need a
//! call to the platform's store on the request path. Instead each host fills its token bucket at
//! the rate of the whole zone and subtracts what the other hosts report as admitted. A host that is
//! the only one to serve a customer can thus use the whole limit, and no shares have to be agreed.
//!
//! Error bound: a host admits requests only while its bucket is above zero, and learns of the use
//! at other hosts after a lag of at most D. In any time t the zone therefore admits at most
//! `rate * t + burst + (hosts - 1) * rate * D` and one request per host: the burst is divided by
//! the hosts, and only the use of the last D is unknown. With a report every 250 ms, 39 hosts and a
//! customer that uses all of them evenly, the excess is at most 10 s of its rate, once; it is paid
//! back because buckets go below zero.
//!
//! A host that receives no reports for three seconds is partitioned from the others or its steward
//! is down. It then fills its buckets at its even share of the rate, since the other hosts keep
//! using theirs. A partition between zones has no effect: limits apply per zone.

use std::collections;

use crate::clock;
use crate::id;
use crate::load::admit;
use crate::outcome;

/// Burst size, as time at the limit's rate: room for two bursts of a web page that sends its
/// requests together.
const BURST_SECONDS: f64 = 2.0;
/// Time without reports after which a host falls back to its share of the rate.
const REPORT_TIMEOUT: clock::Span = clock::Span::from_secs(3);
/// Largest debt, as time at the limit's rate, so that delayed reports that arrive together do not
/// lock a customer out for long.
const MAX_DEBT_SECONDS: f64 = 10.0;

/// A customer's limits within one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests per second.
    pub requests: f64,
    /// Tokens per second.
    pub tokens: f64,
}

/// Use of one customer that was admitted at one host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// The customer.
    pub customer: id::Customer,
    /// Number of requests admitted.
    pub requests: u64,
    /// Number of tokens admitted.
    pub tokens: u64,
}

/// Token bucket of one customer; below zero it is in debt.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: Rate,
    requests: f64,
    tokens: f64,
    filled_at: clock::Moment,
    /// Requests and tokens admitted here since the last report.
    unreported: (u64, u64),
}

/// Token buckets of one host, for customers that were active recently.
#[derive(Debug, Default)]
pub struct Limits {
    /// Number of entry hosts in the zone.
    hosts: u32,
    /// When another host last reported.
    last_report: clock::Moment,
    buckets: collections::HashMap<id::Customer, Bucket>,
    /// Number of buckets from which on refilled ones are dropped next.
    cleanup_size: usize,
}

/// Number of buckets from which on those that are full again are dropped.
const MIN_CLEANUP_SIZE: usize = 256;

impl Limits {
    /// Limits at one of `hosts` entry hosts of a zone.
    pub fn new(hosts: u32) -> Self {
        Limits { hosts: hosts.max(1), ..Limits::default() }
    }

    /// Sets the number of entry hosts of the zone.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Admits one request of `tokens` tokens, or refuses it with the time after which it may be
    /// repeated.
    ///
    /// ```
    /// use lagoonline::{clock::Moment, id::Customer, load::limit, outcome::Reason};
    /// let mut limits = limit::Limits::new(1);
    /// let rate = limit::Rate { requests: 1.0, tokens: 1e6 };
    /// let customer = Customer::from("clerk");
    /// let mut admit = || limits.admit(Moment::START, &customer, rate, 100);
    /// assert!(admit().is_ok() && admit().is_ok());
    /// assert_eq!(admit().unwrap_err().reason, Reason::OverLimit);
    /// ```
    pub fn admit(
        &mut self,
        now: clock::Moment,
        customer: &id::Customer,
        rate: Rate,
        tokens: u64,
    ) -> Result<(), outcome::Failure> {
        self.drop_refilled(now);
        let (hosts, share) = (f64::from(self.hosts), self.share(now));
        let bucket = self.buckets.entry(customer.clone()).or_insert(Bucket {
            rate,
            requests: (rate.requests * BURST_SECONDS / hosts).max(1.0),
            tokens: rate.tokens * BURST_SECONDS / hosts,
            filled_at: now,
            unreported: (0, 0),
        });
        bucket.rate = rate;
        bucket.fill(now, hosts, share);
        if bucket.requests < 1.0 || bucket.tokens <= 0.0 {
            let requests = (1.0 - bucket.requests) / (rate.requests * share).max(1e-9);
            let seconds = requests.max(-bucket.tokens / (rate.tokens * share).max(1e-9));
            // The time serves as the random number by which the Retry-After is extended.
            return Err(admit::refusal(outcome::Reason::OverLimit, seconds, now.as_micros()));
        }
        bucket.requests -= 1.0;
        bucket.tokens -= tokens as f64;
        bucket.unreported.0 += 1;
        bucket.unreported.1 += tokens;
        Ok(())
    }

    /// Returns what was admitted here since the last call, to be sent to the other hosts.
    pub fn take_report(&mut self) -> Vec<Usage> {
        let mut usages = Vec::new();
        for (customer, bucket) in &mut self.buckets {
            let (requests, tokens) = std::mem::take(&mut bucket.unreported);
            if requests > 0 {
                usages.push(Usage { customer: customer.clone(), requests, tokens });
            }
        }
        usages
    }

    /// Subtracts what other hosts of the zone admitted. An empty report still counts as contact
    /// with them.
    pub fn apply_report(&mut self, now: clock::Moment, usages: &[Usage]) {
        let (hosts, share) = (f64::from(self.hosts), self.share(now));
        self.last_report = now;
        for usage in usages {
            let Some(bucket) = self.buckets.get_mut(&usage.customer) else { continue };
            bucket.fill(now, hosts, share);
            let min_seconds = -MAX_DEBT_SECONDS;
            let requests = bucket.requests - usage.requests as f64;
            bucket.requests = requests.max(min_seconds * bucket.rate.requests);
            let tokens = bucket.tokens - usage.tokens as f64;
            bucket.tokens = tokens.max(min_seconds * bucket.rate.tokens);
        }
    }

    /// Fraction of the zone's rate at which buckets fill here.
    fn share(&self, now: clock::Moment) -> f64 {
        let isolated = self.hosts > 1 && now.since(self.last_report) >= REPORT_TIMEOUT;
        if isolated { 1.0 / f64::from(self.hosts) } else { 1.0 }
    }

    /// Drops refilled buckets without unreported use, each time the number of buckets has doubled.
    fn drop_refilled(&mut self, now: clock::Moment) {
        if self.buckets.len() < self.cleanup_size.max(MIN_CLEANUP_SIZE) {
            return;
        }
        let (hosts, share) = (f64::from(self.hosts), self.share(now));
        self.buckets.retain(|_, bucket| {
            bucket.fill(now, hosts, share);
            bucket.unreported.0 > 0 || !bucket.is_refilled(hosts)
        });
        self.cleanup_size = 2 * self.buckets.len();
    }
}

impl Bucket {
    fn fill(&mut self, now: clock::Moment, hosts: f64, share: f64) {
        let seconds = now.since(self.filled_at).as_secs_f64() * share;
        let max_seconds = BURST_SECONDS / hosts;
        let requests = (self.rate.requests * max_seconds).max(1.0);
        self.requests = (self.requests + self.rate.requests * seconds).min(requests);
        self.tokens =
            (self.tokens + self.rate.tokens * seconds).min(self.rate.tokens * max_seconds);
        self.filled_at = now;
    }

    fn is_refilled(&self, hosts: f64) -> bool {
        self.tokens >= self.rate.tokens * BURST_SECONDS / hosts
            && self.requests >= (self.rate.requests * BURST_SECONDS / hosts).max(1.0)
    }
}

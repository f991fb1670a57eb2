//! The permits of one upstream, as one host counts them.

use crate::clock;

/// Lowest rate in requests per second that is enforced. Only an answer can end a limit, so an
/// upstream that names less still gets a request now and then.
const MIN_RATE: f64 = 0.05;
/// Time for which permits that nobody needs are kept, besides one. Longer than the longest lead of
/// [`super::Turns`], so that the last host in turn can use the whole limit.
const TOLERANCE: clock::Span = clock::Span::from_millis(500);
/// Largest debt, as time at the limit's rate, and as a number of requests where that is more.
/// Announcements that arrive late and all at once must not block an upstream for long.
const MAX_DEBT: clock::Span = clock::Span::from_secs(4);
const MAX_DEBT_REQUESTS: f64 = 3.0;

/// A token bucket with a token for each request that an upstream takes. It is filled at this host's
/// share of the rate, and requests of all hosts take from it; below zero it is in debt.
///
/// It starts empty: the upstream is in need, and has just had requests that were not counted.
///
/// ```
/// use lagoonline::clock::{Moment, Span};
/// use lagoonline::load::upstream_limit::Bucket;
/// let now = Moment::from_millis(10);
/// let mut bucket = Bucket::new(2.0, now);
/// assert!(!bucket.has_permit(Span::ZERO));
/// let later = now + Span::from_millis(500);
/// bucket.fill(later);
/// assert!(bucket.has_permit(Span::ZERO));
/// bucket.take(later);
/// assert!(!bucket.has_permit(Span::ZERO));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    /// This host's share of the rate, from 0 to 1.
    share: f64,
    /// Most permits that are kept at the full share; `None` for those of [`TOLERANCE`] besides one.
    burst: Option<f64>,
    level: f64,
    filled_at: clock::Moment,
}

impl Bucket {
    /// An empty bucket for `rate` requests per second.
    pub fn new(rate: f64, now: clock::Moment) -> Bucket {
        Bucket { rate: rate.max(MIN_RATE), share: 1.0, burst: None, level: 0.0, filled_at: now }
    }

    /// An empty bucket for `rate` requests per second that keeps `burst` permits at most, and as
    /// many of them as its share, but at least one.
    pub fn with_burst(rate: f64, burst: f64, now: clock::Moment) -> Bucket {
        Bucket { burst: Some(burst), ..Bucket::new(rate, now) }
    }

    /// Changes the number of permits that are kept.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = Some(burst);
        self.level = self.level.min(self.capacity());
    }

    /// Most permits that are kept.
    fn capacity(&self) -> f64 {
        match self.burst {
            Some(burst) => (burst * self.share).max(1.0),
            None => 1.0 + self.own_rate() * TOLERANCE.as_secs_f64(),
        }
    }

    /// Changes the rate from `now` on; permits and debt are kept.
    pub fn set_rate(&mut self, rate: f64, now: clock::Moment) {
        self.fill(now);
        self.rate = rate.max(MIN_RATE);
    }

    /// Changes this host's share of the rate from `now` on.
    pub fn set_share(&mut self, share: f64, now: clock::Moment) {
        self.fill(now);
        self.share = share;
    }

    /// Adds the permits for the time until `now`.
    pub fn fill(&mut self, now: clock::Moment) {
        let added = self.own_rate() * now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + added).min(self.capacity());
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes the permit of a request of any host.
    pub fn take(&mut self, now: clock::Moment) {
        self.fill(now);
        let least = -(self.rate * MAX_DEBT.as_secs_f64()).max(MAX_DEBT_REQUESTS);
        self.level = (self.level - 1.0).max(least);
    }

    /// Requests per second at this host's share.
    pub fn own_rate(&self) -> f64 {
        self.rate * self.share
    }

    /// Permits; negative for a debt.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Permits in `seconds` seconds if none is taken, also those that would be too many to be kept.
    pub(super) fn level_in(&self, seconds: f64) -> f64 {
        self.level + self.own_rate() * seconds
    }

    /// Whether there has been a permit for `lead`, the time by which other hosts go first, or as
    /// many as are kept.
    pub fn has_permit(&self, lead: clock::Span) -> bool {
        let wanted = 1.0 + self.own_rate() * lead.as_secs_f64();
        self.level >= wanted.min(self.capacity())
    }
}

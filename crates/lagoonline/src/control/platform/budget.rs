//! Rate limit for the calls of one host.

use crate::clock;

/// Token bucket that limits the rate of calls. Reads and writes have separate buckets.
///
/// The platform supports 2,000 reads and several hundred writes per second over all hosts. Each
/// host gets a fixed share, whether or not the others use theirs, so no coordination is needed.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Calls per second.
    rate: f64,
    /// Capacity of the bucket, in calls.
    burst: f64,
    /// Calls that can be made now.
    available: f64,
    last_refill: clock::Moment,
}

impl Budget {
    /// Creates a full bucket of `burst` calls, refilled at `rate` calls per second.
    ///
    /// ```
    /// use lagoonline::{clock, control::platform};
    /// let mut budget = platform::Budget::new(2.0, 1.0, clock::Moment::START);
    /// assert!(budget.take(clock::Moment::START));
    /// assert!(!budget.take(clock::Moment::from_millis(400)));
    /// assert!(budget.take(clock::Moment::from_millis(500)));
    /// ```
    pub fn new(rate: f64, burst: f64, now: clock::Moment) -> Self {
        Budget { rate, burst, available: burst, last_refill: now }
    }

    /// Takes one call from the bucket; returns false if it is empty.
    pub fn take(&mut self, now: clock::Moment) -> bool {
        let refill = now.since(self.last_refill).as_secs_f64() * self.rate;
        self.available = (self.available + refill).min(self.burst);
        self.last_refill = now;
        let is_available = self.available >= 1.0;
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }
}

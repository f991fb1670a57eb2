//! How many calls a second one host may make.

use crate::clock;

/// A token bucket.
///
/// The platform takes 2,000 reads and several hundred writes a second over all hosts; each host
/// gets its share whether the others use theirs or not, so that no agreement is needed.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: clock::Moment,
}

impl Budget {
    /// A full bucket of `burst` calls, filled at `rate` calls a second.
    ///
    /// ```
    /// use lagoonline::{clock, control::platform};
    /// let mut budget = platform::Budget::new(2.0, 1.0, clock::Moment::START);
    /// assert!(budget.take(clock::Moment::START));
    /// assert!(!budget.take(clock::Moment::from_millis(400)));
    /// assert!(budget.take(clock::Moment::from_millis(500)));
    /// ```
    pub fn new(rate: f64, burst: f64, now: clock::Moment) -> Self {
        Budget { rate, burst, tokens: burst, filled: now }
    }

    /// Takes one call; false when none is left.
    pub fn take(&mut self, now: clock::Moment) -> bool {
        let filled = now.since(self.filled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + filled).min(self.burst);
        self.filled = now;
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

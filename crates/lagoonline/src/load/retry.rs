//! Retry budget that is filled by first attempts.
//!
//! Load pattern: saturation or a failing engine, where many attempts fail at once. Without a budget
//! each failure becomes another request, the load doubles when there is least capacity for it, and
//! the overload feeds itself. A tenth of first attempts is enough for one engine in ten to fail
//! with all its work; the burst of ten allows retries at a host with little traffic.
//!
//! The load scenarios of `lagoon-load` do not exhaust the budget, because failing upstreams are
//! avoided at once.

/// Retries added per first attempt unless [`Budget::set_ratio`] changes it.
const DEFAULT_RATIO: f64 = 0.1;
/// Largest number of retries that can accumulate.
const MAX_BURST: f64 = 10.0;

/// Retries that may still be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    available: f64,
    burst: f64,
    /// Retries added per first attempt.
    ratio: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { available: MAX_BURST, burst: MAX_BURST, ratio: DEFAULT_RATIO }
    }
}

/// Fraction of the slack that the bursts of all hosts may use together: the rest is for hosts that
/// join and leave. The slack is the number of retries that all hosts together may make beyond the
/// allowed ratio.
const SLACK_SHARE: f64 = 0.6;
/// Fraction of the allowed ratio that each first attempt adds. It is below one because first
/// attempts that reach no upstream add to the budget too, and because starting hosts bring a burst
/// of their own.
const RATIO_SHARE: f64 = 0.75;
/// Smallest burst: with less, a host with little traffic could never retry.
const MIN_BURST: f64 = 1.0;

impl Budget {
    /// Limits the burst so that the bursts of `hosts` hosts together stay within `slack`, the
    /// retries that they may make together beyond the allowed ratio.
    ///
    /// Load pattern: many upstreams fail together in a fleet of hundreds of hosts, each of which
    /// may retry a few requests at once. If each used its full burst, together they would exceed by
    /// far the retries that are allowed for all.
    ///
    /// ```
    /// let mut budget = lagoonline::load::retry::Budget::default();
    /// budget.set_slack(200.0, 60);
    /// assert_eq!((0..100).filter(|_| budget.take_retry()).count(), 2);
    /// ```
    pub fn set_slack(&mut self, slack: f64, hosts: usize) {
        let share = slack * SLACK_SHARE / hosts.max(1) as f64;
        self.burst = share.clamp(MIN_BURST, MAX_BURST);
        self.available = self.available.min(self.burst);
    }

    /// Sets the retries added per first attempt so that those of all hosts stay within `ratio` per
    /// request.
    ///
    /// ```
    /// let mut budget = lagoonline::load::retry::Budget::default();
    /// while budget.take_retry() {}
    /// budget.set_ratio(0.4);
    /// for _ in 0..10 { budget.record_first_attempt(); }
    /// assert_eq!((0..100).filter(|_| budget.take_retry()).count(), 3);
    /// ```
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio * RATIO_SHARE;
    }

    /// Records a first attempt.
    ///
    /// ```
    /// let mut budget = lagoonline::load::retry::Budget::default();
    /// assert_eq!((0..100).filter(|_| budget.take_retry()).count(), 10);
    /// for _ in 0..100 { budget.record_first_attempt(); }
    /// assert_eq!((0..100).filter(|_| budget.take_retry()).count(), 10);
    /// ```
    pub fn record_first_attempt(&mut self) {
        self.available = (self.available + self.ratio).min(self.burst);
    }

    /// Returns the retries that are left, possibly a fraction.
    pub fn available(&self) -> f64 {
        self.available
    }

    /// Returns the largest number of retries that can accumulate.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Whether a retry is left.
    pub fn has_retry(&self) -> bool {
        // A sum of tenths can be a rounding error below a whole number.
        self.available >= 1.0 - 1e-9
    }

    /// Takes one retry; returns false if none is left.
    pub fn take_retry(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

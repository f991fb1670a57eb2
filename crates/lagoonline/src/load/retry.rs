//! Retries draw on a budget that first attempts fill.
//!
//! Load pattern: saturation or a dying engine, where many attempts fail at once. Without a budget
//! each failure becomes another request, the load doubles when there is least room for it, and the
//! overload feeds itself. A tenth of first attempts is enough for one engine in ten to die with
//! all its work; the burst of ten lets a quiet host repeat at all.
//!
//! No scenario uses the budget up since failing upstreams are left alone at once: its worth is not
//! measured.

/// What one first attempt adds unless [`Budget::allow_ratio`] says otherwise.
const SHARE: f64 = 0.1;
/// Most that is kept.
const BURST: f64 = 10.0;

/// Retries that may still be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    left: f64,
    burst: f64,
    /// What one first attempt adds.
    share: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { left: BURST, burst: BURST, share: SHARE }
    }
}

/// Part of a slack that all hosts share which their bursts may use up: the rest is for hosts that
/// come and go.
const SLACK_SHARE: f64 = 0.6;
/// Part of the retries allowed for each request that first attempts add: callers' requests that
/// reach no upstream count too, and hosts that start bring a burst of their own.
const RATIO_SHARE: f64 = 0.75;
/// Least burst: with less a quiet host could never repeat.
const LEAST_BURST: f64 = 1.0;

impl Budget {
    /// Bounds the burst so that those of `hosts` hosts together stay within `slack`.
    ///
    /// Load pattern: hundreds of hosts, each of which may repeat a few requests at once, when many
    /// upstreams fail together. Each within its own burst, they go far beyond what all may repeat.
    ///
    /// ```
    /// let mut budget = lagoonline::load::retry::Budget::default();
    /// budget.share_slack(200.0, 60);
    /// assert_eq!((0..100).filter(|_| budget.take()).count(), 2);
    /// ```
    pub fn share_slack(&mut self, slack: f64, hosts: usize) {
        let share = slack * SLACK_SHARE / hosts.max(1) as f64;
        self.burst = share.clamp(LEAST_BURST, BURST);
        self.left = self.left.min(self.burst);
    }

    /// Allows `ratio` retries for each request of all hosts.
    ///
    /// ```
    /// let mut budget = lagoonline::load::retry::Budget::default();
    /// while budget.take() {}
    /// budget.allow_ratio(0.4);
    /// for _ in 0..10 { budget.first_attempt(); }
    /// assert_eq!((0..100).filter(|_| budget.take()).count(), 3);
    /// ```
    pub fn allow_ratio(&mut self, ratio: f64) {
        self.share = ratio * RATIO_SHARE;
    }

    /// A first attempt was made.
    ///
    /// ```
    /// let mut budget = lagoonline::load::retry::Budget::default();
    /// assert_eq!((0..100).filter(|_| budget.take()).count(), 10);
    /// for _ in 0..100 { budget.first_attempt(); }
    /// assert_eq!((0..100).filter(|_| budget.take()).count(), 10);
    /// ```
    pub fn first_attempt(&mut self) {
        self.left = (self.left + self.share).min(self.burst);
    }

    /// Whether a retry is left.
    pub fn has_one(&self) -> bool {
        // Sums of tenths fall a rounding error short of a whole.
        self.left >= 1.0 - 1e-9
    }

    /// Takes one retry, or says that there is none left.
    pub fn take(&mut self) -> bool {
        if !self.has_one() {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

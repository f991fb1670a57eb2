//! Exponential backoff with jitter for retried calls.

use crate::clock;

/// Exponential backoff up to a limit, with each delay drawn from the whole interval ("full
/// jitter").
///
/// All hosts notice an outage at the same time. Without jitter they would also retry at the same
/// time and overload the platform as soon as it recovers; full jitter spreads the retries evenly.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub base: clock::Span,
    /// Upper bound of all delays.
    pub limit: clock::Span,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff { base: clock::Span::from_millis(100), limit: clock::Span::from_secs(5) }
    }
}

/// Maximum number of doublings, so that the shift cannot overflow. With the default settings the
/// limit is reached after 6 doublings, so this does not affect the delays.
const MAX_DOUBLINGS: u32 = 16;

impl Backoff {
    /// Returns the delay after `failures` consecutive failures; `random` is uniform in 0 to 1.
    ///
    /// ```
    /// use lagoonline::{clock, control::platform};
    /// let backoff = platform::Backoff::default();
    /// assert_eq!(backoff.delay(1, 1.0), clock::Span::from_millis(100));
    /// assert_eq!(backoff.delay(3, 0.5), clock::Span::from_millis(200));
    /// assert_eq!(backoff.delay(60, 1.0), clock::Span::from_secs(5));
    /// ```
    pub fn delay(&self, failures: u32, random: f64) -> clock::Span {
        let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let bound = self.base.saturating_mul(1 << doublings).min(self.limit);
        bound.mul_f64(random.clamp(0.0, 1.0))
    }
}

//! How long to wait before a call is made again.

use crate::clock;

/// Waits that double up to a limit, each drawn anew from the whole interval ("full jitter").
///
/// Failure answered: every host saw the outage at the same moment and would come back at the same
/// moment. Symptom: the platform is overloaded as soon as it answers. A wait drawn from the whole
/// interval spreads them evenly over it.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Longest first wait.
    pub base: clock::Span,
    /// Longest wait.
    pub limit: clock::Span,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff { base: clock::Span::from_millis(100), limit: clock::Span::from_secs(5) }
    }
}

/// Doublings after which the limit holds in any case.
const MOST_DOUBLINGS: u32 = 16;

impl Backoff {
    /// The wait after `failures` in a row; `random` is uniform within 0 to 1.
    ///
    /// ```
    /// use lagoonline::{clock, control::platform};
    /// let backoff = platform::Backoff::default();
    /// assert_eq!(backoff.wait(1, 1.0), clock::Span::from_millis(100));
    /// assert_eq!(backoff.wait(3, 0.5), clock::Span::from_millis(200));
    /// assert_eq!(backoff.wait(60, 1.0), clock::Span::from_secs(5));
    /// ```
    pub fn wait(&self, failures: u32, random: f64) -> clock::Span {
        let doublings = failures.saturating_sub(1).min(MOST_DOUBLINGS);
        let most = self.base.saturating_mul(1 << doublings).min(self.limit);
        most.mul_f64(random.clamp(0.0, 1.0))
    }
}

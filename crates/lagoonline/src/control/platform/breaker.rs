//! Circuit breaker for calls to the platform.

use crate::clock;

/// Consecutive failures after which the breaker opens. With fewer, the loss of one or two packets
/// would open it; with more, the work of a host would be delayed by as many timeouts.
const FAILURE_THRESHOLD: u32 = 5;

/// State of the breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// All calls are allowed; counts consecutive failures.
    Closed { failures: u32 },
    /// No call is allowed before `until`.
    Open { until: clock::Moment },
    /// One trial call is in progress; the next one is allowed at `until`.
    HalfOpen { until: clock::Moment },
}

/// Circuit breaker: stops calls while the platform fails, and periodically allows one trial call.
///
/// Without it, every call during an outage would wait for its timeout. This would block work that
/// does not depend on the platform, and put the full load on the platform while it recovers.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: State,
    open_duration: clock::Span,
}

impl Breaker {
    /// Creates a closed breaker that stays open for up to `open_duration` once it opens.
    ///
    /// ```
    /// use lagoonline::{clock, control::platform};
    /// let (start, open_duration) = (clock::Moment::START, clock::Span::from_secs(1));
    /// let mut breaker = platform::Breaker::new(open_duration);
    /// for _ in 0..5 {
    ///     assert!(breaker.admit(start));
    ///     breaker.record_failure(start, 1.0);
    /// }
    /// assert!(!breaker.admit(start));
    /// assert!(breaker.admit(start + open_duration), "one trial");
    /// assert!(!breaker.admit(start + open_duration), "only one");
    /// breaker.record_answer();
    /// assert!(breaker.admit(start + open_duration));
    /// ```
    pub fn new(open_duration: clock::Span) -> Self {
        Breaker { state: State::Closed { failures: 0 }, open_duration }
    }

    /// Returns whether a call may be made now.
    pub fn admit(&mut self, now: clock::Moment) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until } | State::HalfOpen { until } if now < until => false,
            // A trial call whose result is never recorded expires after `open_duration`.
            State::Open { .. } | State::HalfOpen { .. } => {
                self.state = State::HalfOpen { until: now + self.open_duration };
                true
            }
        }
    }

    /// Records that the platform answered. An error answer counts too, since it shows that the
    /// platform is reachable.
    pub fn record_answer(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// Records that a call failed. `random` in 0 to 1 spreads the next trial calls of all hosts
    /// over half of `open_duration`.
    pub fn record_failure(&mut self, now: clock::Moment, random: f64) {
        let until = now + self.open_duration.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0));
        self.state = match self.state {
            State::Closed { failures } if failures + 1 < FAILURE_THRESHOLD => {
                State::Closed { failures: failures + 1 }
            }
            State::Closed { .. } | State::Open { .. } | State::HalfOpen { .. } => {
                State::Open { until }
            }
        };
    }
}

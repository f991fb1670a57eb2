//! Whether the platform is worth calling.

use crate::clock;

/// Failures in a row after which calls stop: fewer would open it on the loss of a packet or two,
/// more would hold up a host's work for as many timeouts.
const OPEN_AFTER: u32 = 5;

/// What the breaker lets through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Closed { failures: u32 },
    Open { until: clock::Moment },
    Trial { until: clock::Moment },
}

/// Stops calls while the platform fails, then lets one through to try.
///
/// Failure answered: the platform is out and every call waits for its timeout. Symptom: work that
/// could go on without it stands still, and the platform gets the full load while it recovers.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: State,
    rest: clock::Span,
}

impl Breaker {
    /// A closed breaker that stays open for `rest` once it opens.
    ///
    /// ```
    /// use lagoonline::{clock, control::platform};
    /// let (start, rest) = (clock::Moment::START, clock::Span::from_secs(1));
    /// let mut breaker = platform::Breaker::new(rest);
    /// for _ in 0..5 {
    ///     assert!(breaker.admit(start));
    ///     breaker.failed(start, 1.0);
    /// }
    /// assert!(!breaker.admit(start));
    /// assert!(breaker.admit(start + rest), "one trial");
    /// assert!(!breaker.admit(start + rest), "only one");
    /// breaker.answered();
    /// assert!(breaker.admit(start + rest));
    /// ```
    pub fn new(rest: clock::Span) -> Self {
        Breaker { state: State::Closed { failures: 0 }, rest }
    }

    /// Whether a call may be made now.
    pub fn admit(&mut self, now: clock::Moment) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until } | State::Trial { until } if now < until => false,
            // A trial that never reported back is over after another rest.
            State::Open { .. } | State::Trial { .. } => {
                self.state = State::Trial { until: now + self.rest };
                true
            }
        }
    }

    /// The platform answered, whatever it said.
    pub fn answered(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// A call failed; `random` within 0 to 1 spreads the next trials of all hosts over half a rest.
    pub fn failed(&mut self, now: clock::Moment, random: f64) {
        let until = now + self.rest.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0));
        self.state = match self.state {
            State::Closed { failures } if failures + 1 < OPEN_AFTER => {
                State::Closed { failures: failures + 1 }
            }
            State::Closed { .. } | State::Open { .. } | State::Trial { .. } => {
                State::Open { until }
            }
        };
    }
}

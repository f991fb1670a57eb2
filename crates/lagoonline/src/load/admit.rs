//! Refuses at once what cannot be answered in time.
//!
//! Load pattern: saturation at twice capacity. Without this the queue fills with requests that are
//! answered after their callers gave up, and goodput falls although the engines are busy. A caller
//! who is told early can go elsewhere; the Retry-After is the time by which the predicted wait is
//! too long, so one who obeys it finds the queue short enough. It is spread by a quarter, else all
//! who were refused in one burst come back in one burst.
//!
//! Without it at twice capacity 4,479 answers come in time and 28,741 late; with it 43,097 and none
//! (`docs/measurements/load.md`, as for every figure of this folder).

use crate::clock;
use crate::outcome;

/// Shortest and longest time to come back, in seconds.
const RETRY: (f64, f64) = (1.0, 60.0);
/// Part of the time to come back by which it is spread.
const SPREAD: f64 = 0.25;

/// What is predicted for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Seconds at this host.
    pub wait: f64,
    /// Seconds from dispatch to the first token.
    pub first_token: f64,
    /// Seconds from the first token to the end.
    pub answer: f64,
}

/// Refuses a request that would wait longer than `longest_wait` or end after `left`; `draw` is
/// random.
///
/// ```
/// use lagoonline::{clock::Span, load::admit, outcome::Reason};
/// let late = admit::Prediction { wait: 1.0, first_token: 5.0, answer: 5.0 };
/// let failure = admit::check(late, Span::from_secs(2), Span::from_secs(8), 0).unwrap_err();
/// assert_eq!(failure.reason, Reason::CannotMeetDeadline);
/// assert_eq!(failure.retry_after, Some(Span::from_secs(3)));
/// assert!(admit::check(late, Span::from_secs(2), Span::from_secs(12), 0).is_ok());
/// ```
pub fn check(
    prediction: Prediction,
    longest_wait: clock::Span,
    left: clock::Span,
    draw: u64,
) -> Result<(), outcome::Failure> {
    let end = prediction.wait + prediction.first_token + prediction.answer;
    let late = end - left.as_secs_f64();
    let long = prediction.wait - longest_wait.as_secs_f64();
    if late > 0.0 {
        return Err(refusal(outcome::Reason::CannotMeetDeadline, late, draw));
    }
    if long > 0.0 {
        return Err(refusal(outcome::Reason::Saturated, long, draw));
    }
    Ok(())
}

/// A refusal before anything was sent, worth asking again after about `seconds`.
pub fn refusal(reason: outcome::Reason, seconds: f64, draw: u64) -> outcome::Failure {
    let spread = 1.0 + SPREAD * (draw % 1_024) as f64 / 1_024.0;
    let seconds = (seconds.clamp(RETRY.0, RETRY.1) * spread).ceil() as u64;
    let failure = outcome::Failure::new(reason, outcome::Step::Admit, outcome::Outcome::NotRun);
    failure.retry_after(clock::Span::from_secs(seconds))
}

//! Admission control: refuses at once what cannot be answered in time.
//!
//! Load pattern: saturation at twice capacity. Without admission control the queue fills with
//! requests that are answered after their callers gave up, and goodput falls although the engines
//! are busy. A caller that is refused early can go elsewhere. The Retry-After is the time by which
//! the predicted wait is too long, so a caller that respects it finds the queue short enough. It is
//! spread by a quarter; otherwise all callers refused in one burst would return in one burst.
//!
//! At twice capacity 4,479 answers are in time and 28,741 late without admission control, 43,097
//! and none with it (`docs/measurements/load.md`, as for all measurements quoted in this folder).

use crate::clock;
use crate::outcome;

/// Shortest and longest Retry-After before the random extension, in seconds.
const RETRY_AFTER_SECONDS: (f64, f64) = (1.0, 60.0);
/// Fraction by which the Retry-After is randomly extended.
const RETRY_AFTER_SPREAD: f64 = 0.25;

/// Predicted times of a request, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Wait at this host.
    pub wait: f64,
    /// Time from dispatch to the first token.
    pub first_token: f64,
    /// Time from the first token to the end.
    pub answer: f64,
}

/// Refuses a request whose predicted wait is longer than `longest_wait` or whose predicted end is
/// after `left`; `random` is a random number.
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
    random: u64,
) -> Result<(), outcome::Failure> {
    let end = prediction.wait + prediction.first_token + prediction.answer;
    let overrun = end - left.as_secs_f64();
    let excess = prediction.wait - longest_wait.as_secs_f64();
    if overrun > 0.0 {
        return Err(refusal(outcome::Reason::CannotMeetDeadline, overrun, random));
    }
    if excess > 0.0 {
        return Err(refusal(outcome::Reason::Saturated, excess, random));
    }
    Ok(())
}

/// A refusal of a request that was not sent anywhere. Its Retry-After is `seconds`, clamped to 1 to
/// 60 s, then extended at random by up to a quarter and rounded up to whole seconds. Callers that
/// predict no time pass 1.
pub fn refusal(reason: outcome::Reason, seconds: f64, random: u64) -> outcome::Failure {
    let spread = 1.0 + RETRY_AFTER_SPREAD * (random % 1_024) as f64 / 1_024.0;
    let seconds =
        (seconds.clamp(RETRY_AFTER_SECONDS.0, RETRY_AFTER_SECONDS.1) * spread).ceil() as u64;
    let failure = outcome::Failure::new(reason, outcome::Step::Admit, outcome::Outcome::NotRun);
    failure.retry_after(clock::Span::from_secs(seconds))
}

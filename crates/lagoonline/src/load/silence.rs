//! How long an upstream may be silent before a call is better off elsewhere.
//!
//! Load pattern: an engine that accepts connections and then says nothing, because its process is
//! frozen or its link drops what comes back. No connection breaks, so without a bound each call on
//! it is held until its deadline while other engines idle, and the callers see timeouts with
//! nothing in the errors. The bound comes from what was predicted: four times the first token's
//! predicted time covers the lateness that the learned pace has not caught up with, and two
//! seconds on top are four times the first-token objective, so a merely busy engine is not left. It is
//! enough because the call is given up there only when another upstream can take it and the retry
//! budget allows it; otherwise it waits on, and an engine that thaws still answers.

use crate::clock;

/// Silence below this says nothing.
const LEAST: f64 = 2.0;
/// Multiple of the predicted time to the first token.
const FACTOR: f64 = 4.0;
/// Multiple of the usual time between tokens: a long prompt's chunks stretch a gap tenfold.
const GAPS: f64 = 40.0;

/// Longest silence before the first token, which was predicted after `predicted` seconds.
///
/// ```
/// use lagoonline::{clock::Span, load::silence};
/// assert_eq!(silence::first_token(0.5), Span::from_secs(4));
/// ```
pub fn first_token(predicted: f64) -> clock::Span {
    clock::Span::try_from_secs_f64(LEAST + FACTOR * predicted).unwrap_or(clock::Span::MAX)
}

/// Longest silence within a stream whose tokens usually come every `usual` seconds; 0 when that
/// is not known.
///
/// ```
/// use lagoonline::{clock::Span, load::silence};
/// assert_eq!(silence::between(0.02), Span::from_secs(2));
/// assert_eq!(silence::between(0.1), Span::from_secs(4));
/// ```
pub fn between(usual: f64) -> clock::Span {
    clock::Span::try_from_secs_f64(LEAST.max(GAPS * usual)).unwrap_or(clock::Span::MAX)
}

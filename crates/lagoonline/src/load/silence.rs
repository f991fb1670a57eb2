//! How long an upstream may be silent before a request is better off on another one.
//!
//! Load pattern: an engine accepts connections and then sends nothing, because its process is
//! frozen or its link drops the responses. No connection breaks, so without a bound each request on
//! it is held until its deadline while other engines are idle, and callers see timeouts although no
//! error is recorded. The bound is derived from the prediction: four times the predicted time to
//! the first token covers the slowness that has not been learned yet, and the additional two
//! seconds are four times the first-token objective, so an engine that is merely busy is not
//! abandoned. The bound can be this short because the request is abandoned there only if another
//! upstream can take it and the retry budget allows it; otherwise it keeps waiting, and an engine
//! that resumes still answers.

use crate::clock;

/// Silence in seconds that is always tolerated.
const MIN_SECONDS: f64 = 2.0;
/// Multiple of the predicted time to the first token.
const FIRST_TOKEN_FACTOR: f64 = 4.0;
/// Multiple of the usual time between tokens: the chunks of a long prompt stretch a gap tenfold, so
/// this is four times such a gap.
const GAP_FACTOR: f64 = 40.0;

/// Longest silence before a first token that was predicted after `predicted` seconds.
///
/// ```
/// use lagoonline::{clock::Span, load::silence};
/// assert_eq!(silence::before_first_token(0.5), Span::from_secs(4));
/// ```
pub fn before_first_token(predicted: f64) -> clock::Span {
    clock::Span::try_from_secs_f64(MIN_SECONDS + FIRST_TOKEN_FACTOR * predicted)
        .unwrap_or(clock::Span::MAX)
}

/// Longest silence within a stream whose tokens usually arrive every `usual` seconds; `usual` is 0
/// if that is unknown.
///
/// ```
/// use lagoonline::{clock::Span, load::silence};
/// assert_eq!(silence::between_tokens(0.02), Span::from_secs(2));
/// assert_eq!(silence::between_tokens(0.1), Span::from_secs(4));
/// ```
pub fn between_tokens(usual: f64) -> clock::Span {
    clock::Span::try_from_secs_f64(MIN_SECONDS.max(GAP_FACTOR * usual)).unwrap_or(clock::Span::MAX)
}

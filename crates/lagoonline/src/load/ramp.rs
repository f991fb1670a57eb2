//! Slow start of new upstreams.
//!
//! Load pattern: an engine joins or restarts under load with an empty cache and cold kernels. It
//! looks idle, so every host of the zone would send its whole queue to it at once, and those
//! requests would wait together. Its usable slots grow from an eighth to all within ten seconds,
//! about the time in which the zone's most used prefixes occur again.

use crate::clock;

/// Time from joining to full load, in seconds.
const RAMP_SECONDS: f64 = 10.0;
/// Share of the slots at the start.
const INITIAL_SHARE: f64 = 0.125;

/// Slots out of `slots` that an upstream which joined at `joined` may use at `now`; `joined` is
/// none for one that was there from the start.
///
/// ```
/// use lagoonline::{clock::Moment, load::ramp};
/// let joined = Some(Moment::from_millis(1_000));
/// assert_eq!(ramp::slots(32, joined, Moment::from_millis(1_000)), 4);
/// assert_eq!(ramp::slots(32, joined, Moment::from_millis(20_000)), 32);
/// assert_eq!(ramp::slots(32, None, Moment::START), 32);
/// ```
pub fn slots(slots: u32, joined: Option<clock::Moment>, now: clock::Moment) -> u32 {
    let Some(joined) = joined else { return slots };
    let share =
        INITIAL_SHARE + (1.0 - INITIAL_SHARE) * now.since(joined).as_secs_f64() / RAMP_SECONDS;
    if share >= 1.0 { slots } else { ((f64::from(slots) * share) as u32).max(1) }
}

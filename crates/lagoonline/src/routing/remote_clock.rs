//! Relates the platform's clock to the one of this host.
//!
//! An answer to a watch is held back until something changes, and is as new as the moment at which
//! it was made. A host that knows only when it sent the call and when the answer arrived would have
//! to take it to be as old as the call, several seconds. The platform's clock, which its answers
//! show, tells by how much an answer was made after an earlier one.

use crate::clock;

/// Share by which the clocks may differ in speed, and more.
const MAX_DRIFT: f64 = 0.000_2;

/// How long after it has looked up what it answers a slow platform may read its clock: twice the
/// time that its answers take then.
const READING_LAG: clock::Span = clock::Span::from_millis(500);

/// What is known of the platform's clock.
///
/// ```
/// use lagoonline::clock::Moment;
/// use lagoonline::routing::RemoteClock;
/// let at = Moment::from_millis;
/// let mut remote = RemoteClock::default();
/// // A quick answer, then one that was held back for 2 s and took 100 ms.
/// assert_eq!(remote.made_at(at(1_000), 70_000, at(1_010)), at(1_000));
/// let made = remote.made_at(at(1_010), 72_010, at(3_110));
/// assert!(made > at(2_500) && made <= at(3_010));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RemoteClock {
    /// A reading of the platform's clock in milliseconds, and a moment of this host's clock that
    /// is not later than the reading.
    reading: Option<(u64, clock::Moment)>,
}

impl RemoteClock {
    /// Returns a moment that is not later than the one at which an answer was made. The answer was
    /// made between `earliest` and `arrived`, when the platform's clock showed `millis`, or at most
    /// [`READING_LAG`] before.
    pub fn made_at(
        &mut self,
        earliest: clock::Moment,
        millis: u64,
        arrived: clock::Moment,
    ) -> clock::Moment {
        let by_clock = self.reading.and_then(|(known, at)| {
            let span = clock::Span::from_millis(millis.checked_sub(known)?);
            Some(at + span.mul_f64(1.0 - MAX_DRIFT))
        });
        // A clock that went back or too far ahead was set anew, and the readings tell nothing.
        let by_clock = by_clock.filter(|read| *read <= arrived);
        let read_at = by_clock.map_or(earliest, |read| read.max(earliest)).min(arrived);
        self.reading = Some((millis, read_at));
        read_at.saturating_sub(READING_LAG).max(earliest.min(arrived))
    }
}

//! Tracks until when the version in force is known to be the newest.
//!
//! If a key is revoked while this host is cut off, suspended or refused by the platform, its holder
//! must not be served for as long as that lasts. A version counts as the newest only up to the last
//! moment at which the platform is known to have had no later one, and requests with a key are
//! admitted only within a bound after that moment. This is sufficient because a key revoked after
//! that moment was valid within the bound, whatever happened to this host since. The clock must
//! keep counting while the host is suspended.

use crate::clock;

/// The last moment at which the version in force is known to have been the newest.
///
/// ```
/// use lagoonline::clock::{Moment, Span};
/// use lagoonline::routing::Confirmation;
/// let mut confirmation = Confirmation::default();
/// assert!(!confirmation.is_fresh(Moment::from_millis(10), Span::from_secs(5)));
/// confirmation.confirm(Moment::from_millis(10));
/// confirmation.confirm(Moment::from_millis(5));
/// assert!(confirmation.is_fresh(Moment::from_millis(5_010), Span::from_secs(5)));
/// assert!(!confirmation.is_fresh(Moment::from_millis(5_011), Span::from_secs(5)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmation {
    at: Option<clock::Moment>,
}

impl Confirmation {
    /// Records that the version in force was the newest at `at`; moments earlier than the last are
    /// ignored.
    pub fn confirm(&mut self, at: clock::Moment) {
        self.at = self.at.max(Some(at));
    }

    /// Returns the time since the last confirmation, or `None` before the first.
    pub fn age(&self, now: clock::Moment) -> Option<clock::Span> {
        self.at.map(|at| now.since(at))
    }

    /// Returns whether the last confirmation is at most `bound` old.
    pub fn is_fresh(&self, now: clock::Moment, bound: clock::Span) -> bool {
        self.age(now).is_some_and(|age| age <= bound)
    }
}

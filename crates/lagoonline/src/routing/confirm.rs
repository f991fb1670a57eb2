//! Until when the version in force is known to be the newest.
//!
//! Failure answered: a key is taken away while this host is cut off, frozen or turned away by the
//! platform, and its holder is served on for as long as that lasts. A version counts as the newest
//! only up to the last moment at which the platform is known to have held no later one; a request
//! with a key is let in only within a bound after that moment. That is enough because a key taken
//! away later than that moment was valid within the bound, whatever this host did since. The
//! clock must count time in which the host is suspended.

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
    /// The version in force was the newest at `at`; earlier news than the last is passed over.
    pub fn confirm(&mut self, at: clock::Moment) {
        self.at = self.at.max(Some(at));
    }

    /// Time since the last confirmation; `None` before the first.
    pub fn age(&self, now: clock::Moment) -> Option<clock::Span> {
        self.at.map(|at| now.since(at))
    }

    /// Whether it is at most `bound` old.
    pub fn is_fresh(&self, now: clock::Moment, bound: clock::Span) -> bool {
        self.age(now).is_some_and(|age| age <= bound)
    }
}

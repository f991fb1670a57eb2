//! Tracks until when the routing configuration in force is known to be the newest version.
//!
//! If a key is revoked while this host is cut off, suspended or refused by the platform, the host
//! does not learn of it and would serve the holder of the key for as long as that lasts. Requests
//! with a key are therefore refused once the last confirmation is older than a bound. A
//! confirmation states that the platform had no later version at that moment, so a key that was
//! revoked afterwards is accepted for at most the bound after its revocation, whatever happened to
//! this host since. The clock must keep counting while the host is suspended.

use crate::clock;

/// The last moment at which the configuration in force is known to have been the newest.
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
    /// Records that the configuration in force was the newest at `at`; moments earlier than the
    /// last are ignored.
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

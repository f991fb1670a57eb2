//! Tracks until when the routing configuration in force is known to be the newest version.
//!
//! If a key is revoked while this host is cut off, suspended or refused by the platform, the host
//! does not learn of it and would serve the holder of the key for as long as that lasts. Requests
//! with a key are therefore refused once the last confirmation is older than a bound. A
//! confirmation states that the platform had no later version at that moment, so a key that was
//! revoked afterwards is accepted for at most the bound after its revocation, whatever happened to
//! this host since. The clock must keep counting while the host is suspended.
//!
//! A platform that has just come back from an older copy confirms nothing until operators have had time
//! to write again what was lost, see [`super::Era`].

use crate::clock;

/// The last moment at which the configuration in force is known to have been the newest.
///
/// ```
/// use lagoonline::clock::{Moment, Span};
/// use lagoonline::routing::Confirmation;
/// let at = Moment::from_millis;
/// let mut confirmation = Confirmation::default();
/// assert!(!confirmation.is_fresh(at(10), Span::from_secs(5)));
/// confirmation.confirm(at(10));
/// confirmation.confirm(at(5));
/// assert!(confirmation.is_fresh(at(5_010), Span::from_secs(5)));
/// assert!(!confirmation.is_fresh(at(5_011), Span::from_secs(5)));
/// // The platform was restored, and what it shows counts from 8 s on.
/// confirmation.hold_until(at(8_000));
/// confirmation.confirm(at(7_000));
/// assert!(!confirmation.is_fresh(at(7_000), Span::from_secs(5)));
/// confirmation.confirm(at(8_000));
/// assert!(confirmation.is_fresh(at(8_000), Span::from_secs(5)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmation {
    /// When the platform last showed no later version.
    seen_at: Option<clock::Moment>,
    /// The earliest moment at which what the platform shows counts.
    held_until: Option<clock::Moment>,
    /// The last moment that counts.
    at: Option<clock::Moment>,
}

impl Confirmation {
    /// Records that the platform showed no later version than the one in force at `at`; moments
    /// earlier than the last are ignored.
    pub fn confirm(&mut self, at: clock::Moment) {
        self.seen_at = self.seen_at.max(Some(at));
        self.update();
    }

    /// Lets what the platform shows count only from `until` on. Replaces an earlier call; what counted
    /// until now still does.
    pub fn hold_until(&mut self, until: clock::Moment) {
        self.held_until = Some(until);
        self.update();
    }

    fn update(&mut self) {
        if self.seen_at >= self.held_until {
            self.at = self.at.max(self.seen_at);
        }
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

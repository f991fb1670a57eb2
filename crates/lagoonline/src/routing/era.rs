//! The era of the platform's store: how often it has come back from an older copy of itself.
//!
//! After a restore the store shows an older state until operators and upstreams have written again what
//! was lost. What it shows until then confirms nothing: a key may have been revoked, a zone evacuated,
//! or an upstream gone in the part that was lost.

use crate::clock;

/// What this host knows of the era of the platform's store.
///
/// ```
/// use lagoonline::clock::{Moment, Span};
/// use lagoonline::routing::Era;
/// let at = Moment::from_millis;
/// let mut era = Era::new(Span::from_secs(2));
/// assert!(era.is_settled(at(0)));
/// assert!(era.observe(3, at(1_000)));
/// assert!(!era.is_settled(at(2_999)));
/// assert!(era.is_settled(at(3_000)));
/// // Another host has seen this era for longer.
/// era.learn(3, Some(at(400)));
/// assert_eq!(era.settled_at(), at(2_400));
/// assert!(!era.has_followed());
/// assert!(era.observe(4, at(9_000)) && era.has_followed());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Era {
    /// Time in which what was lost is written again.
    settle_span: clock::Span,
    /// The latest known era; 0 until the store names one.
    number: u64,
    /// When it had begun at the latest; `None` if it is not known to have begun lately.
    since: Option<clock::Moment>,
    /// Whether this host knew an earlier one.
    followed: bool,
}

impl Era {
    /// Creates the knowledge of a host that has had no answer of the store. What a restore lost is
    /// written again within `settle_span`.
    pub fn new(settle_span: clock::Span) -> Era {
        Era { settle_span, number: 0, since: None, followed: false }
    }

    /// Returns the latest known era.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns whether this host knew an earlier era, so that the store was restored while it ran.
    pub fn has_followed(&self) -> bool {
        self.followed
    }

    /// Returns when the latest known era had begun at the latest; `None` if it is not known to have
    /// begun lately.
    pub fn since(&self) -> Option<clock::Moment> {
        self.since
    }

    /// Records that the store was in the era `number` at `now`. Returns whether that era is later than
    /// the latest known one.
    pub fn observe(&mut self, number: u64, now: clock::Moment) -> bool {
        if number <= self.number {
            return false;
        }
        self.followed = self.number > 0;
        (self.number, self.since) = (number, Some(now));
        true
    }

    /// Records that a host saw the era `number` begin at `since`, or did not see it begin. Another era
    /// than the latest known one is ignored.
    pub fn learn(&mut self, number: u64, since: Option<clock::Moment>) {
        if number == self.number {
            // `None`, which precedes every moment, stands for an era that began long ago.
            self.since = self.since.min(since);
        }
    }

    /// Returns when what a restore has lost is written again.
    pub fn settled_at(&self) -> clock::Moment {
        self.since.map_or(clock::Moment::from_millis(0), |since| since + self.settle_span)
    }

    /// Whether at `now` what a restore has lost is written again.
    pub fn is_settled(&self, now: clock::Moment) -> bool {
        now >= self.settled_at()
    }
}

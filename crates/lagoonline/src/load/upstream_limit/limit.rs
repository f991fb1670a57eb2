//! What is known of the limit of one upstream.

use super::Bucket;
use crate::clock;

/// What one answer of an upstream says about its limit. The answer was made at some time between
/// `sent` and `seen`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Requests per second that the upstream takes; `None` if the answer names no limit.
    pub rate: Option<f64>,
    /// When its request was sent.
    pub sent: clock::Moment,
    /// When it arrived at the host that sent the request.
    pub seen: clock::Moment,
}

/// How an observation changed a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The upstream has a limit that was not known.
    Learned,
    /// The limit has another value.
    Changed,
    /// The upstream has no limit any more.
    Ended,
}

/// The limit of one upstream in one of its lifetimes.
///
/// Answers overtake each other, and a late one may say what no longer holds. The upstream's clock
/// is not known, but an answer was certainly made after another if its request was sent after the
/// other had arrived. A limit is ended or raised only by such an answer. It is lowered, or named
/// for the first time, by any answer whose request was not sent before that of the answer which the
/// current state comes from.
///
/// ```
/// use lagoonline::clock::Moment;
/// use lagoonline::load::upstream_limit::{Change, Limit, Observation};
/// let answer = |rate, sent, seen| Observation {
///     rate,
///     sent: Moment::from_millis(sent),
///     seen: Moment::from_millis(seen),
/// };
/// let mut limit = Limit::default();
/// let now = Moment::from_millis(100);
/// assert_eq!(limit.observe(&answer(Some(2.0), 10, 20), now), Some(Change::Learned));
/// assert_eq!(limit.observe(&answer(None, 15, 25), now), None);
/// assert_eq!(limit.observe(&answer(None, 30, 40), now), Some(Change::Ended));
/// assert_eq!(limit.observe(&answer(Some(2.0), 12, 90), now), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Limit {
    /// The limit in force, and its permits.
    current: Option<(f64, Bucket)>,
    /// When it was learned or last changed.
    since: clock::Moment,
    /// Of the answers that the state comes from: when the request of the last one was sent, and
    /// when the last one arrived.
    sent: clock::Moment,
    seen: clock::Moment,
}

impl Limit {
    /// Applies what an answer says.
    pub fn observe(&mut self, answer: &Observation, now: clock::Moment) -> Option<Change> {
        let is_later = answer.sent >= self.seen;
        let is_not_earlier = answer.sent >= self.sent;
        let rate = self.rate();
        let change = match (rate, answer.rate) {
            (None, None) => return None,
            (Some(known), Some(named)) if named == known => None,
            (None, Some(_)) if is_not_earlier => Some(Change::Learned),
            (Some(known), Some(named)) if named < known && is_not_earlier || is_later => {
                Some(Change::Changed)
            }
            (Some(_), None) if is_later => Some(Change::Ended),
            _ => return None,
        };
        self.sent = self.sent.max(answer.sent);
        self.seen = self.seen.max(answer.seen);
        if change.is_some() {
            self.set_rate(answer.rate, now);
        }
        change
    }

    fn set_rate(&mut self, rate: Option<f64>, now: clock::Moment) {
        self.since = now;
        self.current = rate.map(|rate| match self.current {
            Some((_, mut bucket)) => {
                bucket.set_rate(rate, now);
                (rate, bucket)
            }
            None => (rate, Bucket::new(rate, now)),
        });
    }

    /// The limit in force in requests per second.
    pub fn rate(&self) -> Option<f64> {
        self.current.map(|(rate, _)| rate)
    }

    /// The permits of the limit in force.
    pub fn bucket(&self) -> Option<&Bucket> {
        self.current.as_ref().map(|(_, bucket)| bucket)
    }

    /// The permits of the limit in force, to be changed.
    pub fn bucket_mut(&mut self) -> Option<&mut Bucket> {
        self.current.as_mut().map(|(_, bucket)| bucket)
    }

    /// When the state was learned or last changed.
    pub fn since(&self) -> clock::Moment {
        self.since
    }

    /// The last answer that names the limit in force, as an observation for other hosts.
    pub fn observation(&self) -> Option<Observation> {
        let rate = self.rate()?;
        Some(Observation { rate: Some(rate), sent: self.sent, seen: self.seen })
    }
}

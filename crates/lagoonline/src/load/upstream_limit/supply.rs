//! When there will be permits of several upstreams together.

use super::Bucket;
use crate::clock;

/// Steps by which the time of a permit is narrowed down: from a day to a tenth of a millisecond.
const STEPS: u32 = 30;
/// Longest time that is looked ahead.
const HORIZON: clock::Span = clock::Span::from_secs(86_400);

/// The permits of all upstreams of a service, as far as this host gets them.
///
/// ```
/// use lagoonline::clock::{Moment, Span};
/// use lagoonline::load::upstream_limit::{Bucket, Supply};
/// let now = Moment::from_millis(10);
/// let mut in_debt = Bucket::new(1.0, now);
/// in_debt.take(now);
/// let supply = Supply::new(vec![Bucket::new(1.0, now), in_debt], 1.0);
/// let span = supply.time_until(1.0);
/// assert!(span > Span::from_millis(999) && span < Span::from_millis(1_001));
/// ```
#[derive(Clone, Debug)]
pub struct Supply {
    buckets: Vec<Bucket>,
    /// Share of the permits that this host has been getting.
    own_share: f64,
}

impl Supply {
    /// The permits of `buckets`, of which this host has been getting `own_share`.
    pub fn new(buckets: Vec<Bucket>, own_share: f64) -> Supply {
        Supply { buckets, own_share }
    }

    /// Time until this host has got `permits`. An upstream in debt gives none before that is paid.
    pub fn time_until(&self, permits: f64) -> clock::Span {
        let wanted = permits / self.own_share;
        let (mut low, mut high) = (0.0, HORIZON.as_secs_f64());
        for _ in 0..STEPS {
            let middle = (low + high) / 2.0;
            if self.permits_in(middle) < wanted { low = middle } else { high = middle }
        }
        clock::Span::from_secs_f64(high)
    }

    fn permits_in(&self, seconds: f64) -> f64 {
        self.buckets.iter().map(|bucket| bucket.level_in(seconds).max(0.0)).sum()
    }
}

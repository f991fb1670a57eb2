//! Detection of network partitions between zones, from failures across zone boundaries.
//!
//! Load pattern: a zone is cut off by a network partition. Without this module the caller would try
//! every engine behind the partition separately and repeatedly, and every prompt that is prefilled
//! by engines on both sides would fail. When two upstreams of one zone fail in a row, with no
//! answer from that zone in between, the pair of zones counts as partitioned; a single failing
//! upstream may just have crashed. The pair is tried again after a delay that doubles each time: a
//! trial costs one attempt, and the end of the partition is noticed within the longest delay.

use std::collections;

use crate::clock;
use crate::id;

/// Distinct upstreams of a zone that must fail before the pair of zones counts as partitioned.
const MIN_FAILED_UPSTREAMS: usize = 2;
/// How long a pair counts as partitioned the first time.
const FIRST_SPAN: clock::Span = clock::Span::from_millis(600);
/// How often that span is doubled at most.
const MAX_DOUBLINGS: u32 = 2;
/// Failures further apart than this are unrelated and don't add up.
const FAILURE_WINDOW: clock::Span = clock::Span::from_millis(3_000);

/// Recent failures between one pair of zones.
#[derive(Clone, Debug, Default)]
struct Pair {
    failed_upstreams: collections::BTreeSet<id::Upstream>,
    last_failure: clock::Moment,
    partitioned_until: Option<clock::Moment>,
    /// Partitions in a row; each one doubles the span, up to [`MAX_DOUBLINGS`] times.
    occurrences: u32,
}

/// All pairs of zones with recent failures between them.
///
/// ```
/// use lagoonline::{clock::Moment, id::{Upstream, Zone}, load::placement::Partitions};
/// let (a, b) = (Zone::from("a"), Zone::from("b"));
/// let (mut partitions, now) = (Partitions::default(), Moment::from_millis(10));
/// partitions.record_failure(&a, &b, &Upstream::from("x"), now);
/// assert!(!partitions.is_partitioned(&a, &b, now));
/// partitions.record_failure(&a, &b, &Upstream::from("y"), now);
/// assert!(partitions.is_partitioned(&b, &a, now));
/// partitions.record_success(&a, &b);
/// assert!(!partitions.is_partitioned(&a, &b, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Partitions {
    pairs: collections::BTreeMap<(id::Zone, id::Zone), Pair>,
}

fn key(a: &id::Zone, b: &id::Zone) -> (id::Zone, id::Zone) {
    if a <= b { (a.clone(), b.clone()) } else { (b.clone(), a.clone()) }
}

impl Partitions {
    /// Records that `upstream`, which is in zone `to`, could not be reached from zone `from`.
    pub fn record_failure(
        &mut self,
        from: &id::Zone,
        to: &id::Zone,
        upstream: &id::Upstream,
        now: clock::Moment,
    ) {
        if from == to {
            return;
        }
        let pair = self.pairs.entry(key(from, to)).or_default();
        if now.since(pair.last_failure) > FAILURE_WINDOW {
            *pair = Pair::default();
        }
        pair.last_failure = now;
        pair.failed_upstreams.insert(upstream.clone());
        let active = pair.partitioned_until.is_some_and(|until| until > now);
        if pair.failed_upstreams.len() >= MIN_FAILED_UPSTREAMS && !active {
            pair.partitioned_until =
                Some(now + FIRST_SPAN * 2u32.pow(pair.occurrences.min(MAX_DOUBLINGS)));
            pair.occurrences += 1;
        }
    }

    /// Records that an upstream of one zone answered the other, which ends the partition.
    pub fn record_success(&mut self, from: &id::Zone, to: &id::Zone) {
        self.pairs.remove(&key(from, to));
    }

    /// Whether the zones currently count as partitioned from each other.
    pub fn is_partitioned(&self, from: &id::Zone, to: &id::Zone, now: clock::Moment) -> bool {
        if from == to || self.pairs.is_empty() {
            return false;
        }
        let pair = self.pairs.get(&key(from, to));
        pair.and_then(|pair| pair.partitioned_until).is_some_and(|until| until > now)
    }
}

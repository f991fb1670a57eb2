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
const UPSTREAMS: usize = 2;
/// How long a pair counts as partitioned the first time.
const FIRST: clock::Span = clock::Span::from_millis(600);
/// How often that span is doubled at most.
const DOUBLINGS: u32 = 2;
/// Failures further apart than this are unrelated and don't add up.
const MEMORY: clock::Span = clock::Span::from_millis(3_000);

/// Recent failures between one pair of zones.
#[derive(Clone, Debug, Default)]
struct Pair {
    failed: collections::BTreeSet<id::Upstream>,
    last: clock::Moment,
    until: Option<clock::Moment>,
    times: u32,
}

/// All pairs of zones with recent failures between them.
///
/// ```
/// use lagoonline::{clock::Moment, id::{Upstream, Zone}, load::placement::Partitions};
/// let (a, b) = (Zone::from("a"), Zone::from("b"));
/// let (mut cuts, now) = (Partitions::default(), Moment::from_millis(10));
/// cuts.failed(&a, &b, &Upstream::from("x"), now);
/// assert!(!cuts.is_cut(&a, &b, now));
/// cuts.failed(&a, &b, &Upstream::from("y"), now);
/// assert!(cuts.is_cut(&b, &a, now));
/// cuts.answered(&a, &b);
/// assert!(!cuts.is_cut(&a, &b, now));
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
        if now.since(pair.last) > MEMORY {
            *pair = Pair::default();
        }
        pair.last = now;
        pair.failed.insert(upstream.clone());
        let open = pair.until.is_some_and(|until| until > now);
        if pair.failed.len() >= UPSTREAMS && !open {
            pair.until = Some(now + FIRST * 2u32.pow(pair.times.min(DOUBLINGS)));
            pair.times += 1;
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
        pair.and_then(|pair| pair.until).is_some_and(|until| until > now)
    }
}

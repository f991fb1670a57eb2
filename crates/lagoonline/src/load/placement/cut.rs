//! Which zones cannot reach each other, from failures between them.
//!
//! Load pattern: a zone is cut off. Without this every engine behind the cut is tried by itself,
//! again and again, and each prompt that is read by engines on both sides fails. Two upstreams of
//! a zone that fail in a row, with no answer from that zone between, cut the pair of zones; one
//! upstream may have crashed by itself. The pair is tried again after a span that doubles: a trial
//! costs one attempt, and a healed cut is found within the longest span.

use std::collections;

use crate::clock;
use crate::id;

/// Upstreams that must have failed.
const UPSTREAMS: usize = 2;
/// First span for which a pair counts as cut.
const FIRST: clock::Span = clock::Span::from_millis(600);
/// Doublings of that span.
const DOUBLINGS: u32 = 2;
/// Failures further apart than this have causes of their own.
const MEMORY: clock::Span = clock::Span::from_millis(3_000);

/// What is known of one pair of zones.
#[derive(Clone, Debug, Default)]
struct Pair {
    failed: collections::BTreeSet<id::Upstream>,
    last: clock::Moment,
    until: Option<clock::Moment>,
    times: u32,
}

/// All pairs of zones between which something failed.
///
/// ```
/// use lagoonline::{clock::Moment, id::{Upstream, Zone}, load::placement::Cuts};
/// let (a, b) = (Zone::from("a"), Zone::from("b"));
/// let (mut cuts, now) = (Cuts::default(), Moment::from_millis(10));
/// cuts.failed(&a, &b, &Upstream::from("x"), now);
/// assert!(!cuts.is_cut(&a, &b, now));
/// cuts.failed(&a, &b, &Upstream::from("y"), now);
/// assert!(cuts.is_cut(&b, &a, now));
/// cuts.answered(&a, &b);
/// assert!(!cuts.is_cut(&a, &b, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Cuts {
    pairs: collections::BTreeMap<(id::Zone, id::Zone), Pair>,
}

fn key(a: &id::Zone, b: &id::Zone) -> (id::Zone, id::Zone) {
    if a <= b { (a.clone(), b.clone()) } else { (b.clone(), a.clone()) }
}

impl Cuts {
    /// The upstream, in `to`, could not be reached from `from`.
    pub fn failed(
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

    /// An upstream of one zone answered the other.
    pub fn answered(&mut self, from: &id::Zone, to: &id::Zone) {
        self.pairs.remove(&key(from, to));
    }

    /// Whether the zones count as cut off from each other.
    pub fn is_cut(&self, from: &id::Zone, to: &id::Zone, now: clock::Moment) -> bool {
        if from == to || self.pairs.is_empty() {
            return false;
        }
        let pair = self.pairs.get(&key(from, to));
        pair.and_then(|pair| pair.until).is_some_and(|until| until > now)
    }
}

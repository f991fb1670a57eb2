//! Marks as an entry host keeps them.

use lagoonline::id::{Incarnation, Upstream};
use lagoonline::lifecycle::leaving::Mark;

use super::Link;

fn mark(incarnation: u64, leaving: bool) -> Mark {
    Mark { incarnation: Incarnation(incarnation), leaving }
}

/// A leaving upstream refused this host, then its steward restarts and, from a stale list, says
/// that the upstream is live in the same life. The host sends it nothing new all the same, until
/// a new life is named.
#[test]
fn a_stale_steward_does_not_end_a_refusal() {
    let (link, upstream) = (Link::default(), Upstream::from("engine"));
    assert_eq!(link.merge(&upstream, mark(5, false)), Some(false));
    link.saw_leaving(&upstream);
    assert_eq!(link.merge(&upstream, mark(5, false)), None);
    assert_eq!(link.merge(&upstream, mark(4, false)), None);
    assert_eq!(link.merge(&upstream, mark(6, false)), Some(false));
}

/// The refusal comes before any life is known, as from a plain service: the first life that is
/// named is the one that refused.
#[test]
fn a_refusal_before_any_life_is_known_counts() {
    let (link, upstream) = (Link::default(), Upstream::from("runner"));
    link.saw_leaving(&upstream);
    assert_eq!(link.merge(&upstream, mark(5, false)), Some(true));
    assert_eq!(link.merge(&upstream, mark(5, false)), None);
    assert_eq!(link.merge(&upstream, mark(6, false)), Some(false));
}

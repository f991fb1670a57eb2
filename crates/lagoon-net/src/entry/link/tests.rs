//! Leaving marks of an entry host.

use lagoonline::id::{Incarnation, Upstream};
use lagoonline::lifecycle::leaving::Mark;

use super::Link;

fn mark(incarnation: u64, leaving: bool) -> Mark {
    Mark { incarnation: Incarnation(incarnation), leaving }
}

/// A leaving upstream refuses a call of this host. Its steward restarts and reports, from a stale
/// list, the upstream as live in the same incarnation. The host must not send it new work before a
/// new incarnation is reported.
#[test]
fn a_stale_steward_does_not_end_a_refusal() {
    let (link, upstream) = (Link::default(), Upstream::from("engine"));
    assert_eq!(link.merge(&upstream, mark(5, false)), Some(false));
    link.report_leaving(&upstream);
    assert_eq!(link.merge(&upstream, mark(5, false)), None);
    assert_eq!(link.merge(&upstream, mark(4, false)), None);
    assert_eq!(link.merge(&upstream, mark(6, false)), Some(false));
}

/// An upstream refuses a call before any incarnation of it is known, as a plain service does. The
/// refusal applies to the first incarnation that is reported.
#[test]
fn a_refusal_before_any_incarnation_is_known_counts() {
    let (link, upstream) = (Link::default(), Upstream::from("runner"));
    link.report_leaving(&upstream);
    assert_eq!(link.merge(&upstream, mark(5, false)), Some(true));
    assert_eq!(link.merge(&upstream, mark(5, false)), None);
    assert_eq!(link.merge(&upstream, mark(6, false)), Some(false));
}

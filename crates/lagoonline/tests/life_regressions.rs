//! One test for each fault that the fuzzing found.

use lagoonline::clock::{Moment, Span};
use lagoonline::id::{Incarnation, Owner, Upstream};
use lagoonline::life::{leaving, reap};
use lagoonline::port::engine;

fn owner(text: &str) -> Owner {
    text.parse().expect("an owner")
}

fn stream_of(owner: &str) -> engine::Holding {
    let (id, owner, kind) = ("s".into(), owner.into(), engine::Kind::Stream);
    engine::Holding { id, owner, kind, bytes: 1, expires_ms: 1 }
}

/// Callers get `no upstream` although an engine is in service. The engine refuses as leaving
/// before any life of it is known, its life is then named with the mark, and it restarts: the new
/// life took on the old refusal as well, because the first naming did not use it up.
#[test]
fn a_refusal_marks_one_life_only() {
    let (mut marks, engine) = (leaving::Marks::default(), Upstream::from("e"));
    assert_eq!(marks.refused(&engine), None);
    assert!(marks.is_leaving(&engine));
    let first = leaving::Mark { incarnation: Incarnation(1), leaving: true };
    assert_eq!(marks.merge(&engine, first), Some(first));
    marks.merge(&engine, leaving::Mark { incarnation: Incarnation(2), leaving: false });
    assert!(!marks.is_leaving(&engine));
}

/// A caller's stream breaks off though its entry host is well. A sweeper that is cut off from its
/// start knows the other host only by its stream; half of two hosts heard was taken for enough.
#[test]
fn a_sweeper_that_hears_only_itself_releases_nothing() {
    let mut sweep = reap::Sweep::new(reap::Settings::default());
    let holding = stream_of("other/1");
    let mut now = Moment::START;
    for _ in 0..300 {
        now = now + Span::from_secs(1);
        sweep.heard(&owner("own/1"), now);
        let released = sweep.releases(&Upstream::from("e"), std::slice::from_ref(&holding), now);
        assert!(released.is_empty());
    }
}

/// Callers' streams break off all over a zone for one second, half a minute after the sweeper was
/// cut off. The host whose last heartbeat was the oldest counted as silent while the others, also
/// cut off, still counted as heard.
#[test]
fn hosts_fall_silent_together() {
    let mut sweep = reap::Sweep::new(reap::Settings::default());
    let hosts = ["own/1", "a/1", "b/1", "c/1"];
    for (host, millis) in hosts.iter().zip([900, 100, 500, 900]) {
        sweep.heard(&owner(host), Moment::from_millis(millis));
    }
    let holding = stream_of("a/1");
    for tenths in 10..900 {
        let now = Moment::from_millis(tenths * 100);
        sweep.heard(&owner("own/1"), now);
        let released = sweep.releases(&Upstream::from("e"), std::slice::from_ref(&holding), now);
        assert!(released.is_empty(), "at {now:?}");
    }
}

//! Regression tests for bugs found by fuzzing.

use lagoonline::clock::{Moment, Span};
use lagoonline::id::{Incarnation, Owner, Upstream};
use lagoonline::lifecycle::{leaving, reap};
use lagoonline::port::engine;

fn owner(text: &str) -> Owner {
    text.parse().expect("an owner")
}

fn stream_of(owner: &str) -> engine::Holding {
    let (id, owner, kind) = ("s".into(), owner.into(), engine::Kind::Stream);
    engine::Holding { id, owner, kind, bytes: 1, expires_ms: 1 }
}

/// Callers got `no upstream` although an engine was in service. The engine refused work as leaving
/// before any incarnation of it was known, the incarnation then became known together with the
/// mark, and the engine restarted. The old refusal was applied to the new incarnation as well,
/// because the first incarnation had not consumed it.
#[test]
fn a_refusal_marks_one_incarnation_only() {
    let (mut marks, engine) = (leaving::Marks::default(), Upstream::from("e"));
    assert_eq!(marks.record_refusal(&engine), None);
    assert!(marks.is_leaving(&engine));
    let first = leaving::Mark { incarnation: Incarnation(1), leaving: true };
    assert_eq!(marks.merge(&engine, first), Some(first));
    marks.merge(&engine, leaving::Mark { incarnation: Incarnation(2), leaving: false });
    assert!(!marks.is_leaving(&engine));
}

/// A stream was interrupted although its entry host was healthy. A reaper that was cut off from its
/// start knew the other host only by its stream, and hearing one of two hosts counted as enough.
#[test]
fn a_reaper_that_hears_only_itself_releases_nothing() {
    let mut reaper = reap::Reaper::new(reap::Settings::default());
    let holding = stream_of("other/1");
    let mut now = Moment::START;
    for _ in 0..300 {
        now = now + Span::from_secs(1);
        reaper.record_heartbeat(&owner("own/1"), now);
        let released = reaper.sweep(&Upstream::from("e"), std::slice::from_ref(&holding), now);
        assert!(released.is_empty());
    }
}

/// Streams all over a zone were interrupted for one second, half a minute after the reaper was cut
/// off. The host with the oldest last heartbeat counted as dead while the other hosts, also cut
/// off, still counted as heard.
#[test]
fn a_cut_off_reaper_releases_nothing_while_heartbeats_expire() {
    let mut reaper = reap::Reaper::new(reap::Settings::default());
    let hosts = ["own/1", "a/1", "b/1", "c/1"];
    for (host, millis) in hosts.iter().zip([900, 100, 500, 900]) {
        reaper.record_heartbeat(&owner(host), Moment::from_millis(millis));
    }
    let holding = stream_of("a/1");
    for tenths in 10..900 {
        let now = Moment::from_millis(tenths * 100);
        reaper.record_heartbeat(&owner("own/1"), now);
        let released = reaper.sweep(&Upstream::from("e"), std::slice::from_ref(&holding), now);
        assert!(released.is_empty(), "at {now:?}");
    }
}

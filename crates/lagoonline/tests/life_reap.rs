//! Release of a dead owner's holdings, by kind.

use lagoonline::clock::{Moment, Span};
use lagoonline::id::{Owner, Upstream};
use lagoonline::lifecycle::reap::{Reaper, Settings};
use lagoonline::port::engine::{Holding, Kind};
use rstest::rstest;

/// An entry host restarts. A caller that retries at another host within the takeover window must
/// still find its stream on the engine. Once taken over, the stream has a live owner and is kept.
/// Holdings that no caller can resume are released at once.
#[rstest]
#[case(Kind::Reservation, &[true, true])]
#[case(Kind::Export, &[true, true])]
#[case(Kind::Stream, &[false, true])]
fn streams_are_kept_for_their_callers(#[case] kind: Kind, #[case] released: &[bool]) {
    let owner = |text: &str| text.parse::<Owner>().expect("an owner");
    let takeover = Settings::default().takeover_window;
    let mut reaper = Reaper::new(Settings::default());
    let engine = Upstream::from("e");
    let held = |owner: &str| Holding {
        id: "a".into(),
        owner: owner.into(),
        kind,
        bytes: 1,
        expires_ms: 1,
    };
    reaper.sweep(&engine, &[held("h/1")], Moment::START);
    reaper.record_heartbeat(&owner("h/2"), Moment::START);
    for (at, expected) in [Span::ZERO, takeover].iter().zip(released) {
        let ids = reaper.sweep(&engine, &[held("h/1")], Moment::START + *at);
        assert_eq!(!ids.is_empty(), *expected, "after {at:?}");
    }
    assert!(reaper.sweep(&engine, &[held("h/2")], Moment::START + takeover).is_empty());
}

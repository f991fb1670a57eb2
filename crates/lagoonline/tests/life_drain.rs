//! An entry host's shutdown, step by step.

use lagoonline::clock::{Moment, Span};
use lagoonline::life::drain::{Drain, Settings, State};
use rstest::rstest;

fn drain() -> Drain {
    let mut drain =
        Drain::new(Settings { unready: Span::from_secs(3), grace: Span::from_secs(100) });
    assert!(drain.is_ready() && drain.accepts() && !drain.closes_connections());
    assert_eq!(drain.signal(Moment::START, 2), State::Unready);
    drain
}

/// The balancer goes on sending for two probes after the signal. Callers that it sends are served
/// as before, their connections closed after the answer; nobody is reset or refused.
#[test]
fn serves_what_the_balancer_still_sends() {
    let mut drain = drain();
    assert!(!drain.is_ready() && drain.accepts() && drain.closes_connections());
    assert_eq!(drain.tick(Moment::from_millis(2_999), 0), State::Unready);
    assert_eq!(drain.tick(Moment::from_millis(3_000), 2), State::Draining);
    assert!(!drain.accepts());
}

/// A caller reads a long stream when the host is told to go. It gets the stream to its end; only
/// then, and not before, does the process exit.
#[test]
fn waits_for_the_last_stream() {
    let mut drain = drain();
    assert_eq!(drain.tick(Moment::from_millis(99_999), 1), State::Draining);
    assert_eq!(drain.tick(Moment::from_millis(99_999), 0), State::Ended { cut: false });
}

/// A stream outlasts the limit, or an operator insists by a second signal. Its caller hears a
/// clear failure and the process exits; with nothing under way the end is clean.
#[rstest]
#[case(2, true)]
#[case(0, false)]
fn second_signal_ends_it(#[case] open: usize, #[case] cut: bool) {
    let mut drain = drain();
    assert_eq!(drain.signal(Moment::from_millis(10), open), State::Ended { cut });
    assert_eq!(drain.signal(Moment::from_millis(20), 9), State::Ended { cut });
    assert_eq!(drain.tick(Moment::from_millis(30), 9), State::Ended { cut });
}

/// As above, by the limit; also where the host was never ticked between.
#[test]
fn limit_ends_it() {
    let mut drain = drain();
    assert_eq!(drain.tick(Moment::from_millis(100_000), 1), State::Ended { cut: true });
    assert!(!drain.is_ready() && !drain.accepts() && drain.closes_connections());
}

/// A host that was told nothing serves for ever.
#[test]
fn serves_without_a_signal() {
    let mut drain = Drain::default();
    assert_eq!(drain.tick(Moment::from_millis(u64::MAX / 2_000), 0), State::Serving);
}

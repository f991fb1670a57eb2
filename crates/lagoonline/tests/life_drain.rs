//! Graceful shutdown of an entry host.

use lagoonline::clock::{Moment, Span};
use lagoonline::lifecycle::drain::{Drain, Settings, State};
use rstest::rstest;

const UNREADY: Span = Span::from_secs(3);
const GRACE: Span = Span::from_secs(100);
const INTERRUPTED: State = State::Ended { interrupted: true };
const COMPLETED: State = State::Ended { interrupted: false };

#[derive(Clone, Copy, Debug)]
enum Event {
    Tick,
    Signal,
}

/// After the first signal, with two requests in flight, a host reports not ready and closes
/// connections after their answers. Then:
///
/// - the load balancer keeps sending for two probes, and its requests are served as before instead
///   of being reset or refused;
/// - a caller that reads a long stream receives it completely before the process exits;
/// - a second signal ends the shutdown with a clear error to callers still being served, and so
///   does the time limit, even if `tick` was not called in between; later events change nothing.
#[rstest]
#[case::balancer(&[(2_999, Event::Tick, 0, State::Unready), (3_000, Event::Tick, 2, State::Draining)])]
#[case::stream(&[(99_999, Event::Tick, 1, State::Draining), (99_999, Event::Tick, 0, COMPLETED)])]
#[case::second_signal(&[(10, Event::Signal, 2, INTERRUPTED), (20, Event::Signal, 9, INTERRUPTED), (30, Event::Tick, 9, INTERRUPTED)])]
#[case::second_signal_idle(&[(10, Event::Signal, 0, COMPLETED), (20, Event::Signal, 9, COMPLETED), (30, Event::Tick, 9, COMPLETED)])]
#[case::limit(&[(100_000, Event::Tick, 1, INTERRUPTED)])]
fn drains(#[case] events: &[(u64, Event, usize, State)]) {
    let mut drain = Drain::new(Settings { unready: UNREADY, grace: GRACE });
    assert!(drain.is_ready() && drain.accepts() && !drain.closes_connections());
    assert_eq!(drain.signal(Moment::START, 2), State::Unready);
    for &(millis, event, open, state) in events {
        let now = Moment::from_millis(millis);
        let reached = match event {
            Event::Tick => drain.tick(now, open),
            Event::Signal => drain.signal(now, open),
        };
        assert_eq!(reached, state, "after {event:?} at {millis} ms");
        assert!(!drain.is_ready() && drain.closes_connections());
        assert_eq!(drain.accepts(), state == State::Unready);
    }
}

/// A host that gets no signal keeps serving.
#[test]
fn serves_without_a_signal() {
    let mut drain = Drain::default();
    // Far in the future, but without an overflow in `from_millis`.
    assert_eq!(drain.tick(Moment::from_millis(u64::MAX / 2_000), 0), State::Serving);
}

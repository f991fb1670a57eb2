//! An entry host's shutdown: nothing in progress is cut before the limit.
//!
//! Failure answered: the balancer goes on sending for a while after a host says that it is not
//! ready, and closing its listener at once resets those callers. So the host first says that it is
//! not ready and goes on serving, closing each connection after its answer; then takes no new
//! connections and waits for what is under way. A second signal, or the limit, ends it, and each
//! caller still waiting hears a clear failure.

use crate::clock;

/// How long each part may take.
#[derive(Clone, Debug)]
pub struct Settings {
    /// From not ready to no new connections.
    pub unready: clock::Span,
    /// From the first signal to the end at the latest; at least the longest deadline.
    pub grace: clock::Span,
}

/// Two readiness probes of a balancer that probes each second, and one to spare.
const UNREADY: clock::Span = clock::Span::from_secs(3);
/// An answer of a million-token prompt takes minutes.
const GRACE: clock::Span = clock::Span::from_secs(3_600);

impl Default for Settings {
    fn default() -> Self {
        Settings { unready: UNREADY, grace: GRACE }
    }
}

/// How far the shutdown is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// All is served.
    Serving,
    /// Not ready, yet all is served; connections close after their answer.
    Unready,
    /// No new connections or requests; those under way go on.
    Draining,
    /// Over: requests still under way fail with `Draining`, then the process exits.
    Ended {
        /// Whether requests were under way.
        cut: bool,
    },
}

/// The shutdown.
///
/// ```
/// use lagoonline::{clock::Moment, life::drain::{Drain, State}};
/// let mut drain = Drain::default();
/// drain.signal(Moment::START, 1);
/// assert_eq!(drain.tick(Moment::from_millis(5_000), 1), State::Draining);
/// assert_eq!(drain.tick(Moment::from_millis(6_000), 0), State::Ended { cut: false });
/// ```
#[derive(Clone, Debug)]
pub struct Drain {
    settings: Settings,
    state: State,
    since: clock::Moment,
}

impl Default for Drain {
    fn default() -> Self {
        Drain::new(Settings::default())
    }
}

impl Drain {
    /// Serving.
    pub fn new(settings: Settings) -> Self {
        Drain { settings, state: State::Serving, since: clock::Moment::START }
    }

    /// SIGTERM or an operator's `drain`, with `open` requests under way; the second one ends it.
    pub fn signal(&mut self, now: clock::Moment, open: usize) -> State {
        self.state = match self.state {
            State::Serving => {
                self.since = now;
                State::Unready
            }
            State::Unready | State::Draining => State::Ended { cut: open > 0 },
            ended @ State::Ended { .. } => ended,
        };
        self.state
    }

    /// Call it often, and when a request ends; `open` requests are under way.
    pub fn tick(&mut self, now: clock::Moment, open: usize) -> State {
        let elapsed = now.since(self.since);
        if self.state == State::Unready && elapsed >= self.settings.unready {
            self.state = State::Draining;
        }
        let going = matches!(self.state, State::Unready | State::Draining);
        if self.state == State::Draining && open == 0 {
            self.state = State::Ended { cut: false };
        } else if going && elapsed >= self.settings.grace {
            self.state = State::Ended { cut: open > 0 };
        }
        self.state
    }

    /// How far it is.
    pub fn state(&self) -> State {
        self.state
    }

    /// What `/readyz` says.
    pub fn is_ready(&self) -> bool {
        self.state == State::Serving
    }

    /// Whether the listener accepts, and a request that comes on an open connection is served;
    /// otherwise it is refused with `Draining`, `not-run`.
    pub fn accepts(&self) -> bool {
        matches!(self.state, State::Serving | State::Unready)
    }

    /// Whether an answer closes its connection.
    pub fn closes_connections(&self) -> bool {
        self.state != State::Serving
    }
}

//! Graceful shutdown of an entry host: nothing in progress is cut before the time limit.
//!
//! A load balancer keeps sending for a while after a host reports not ready, and closing the
//! listener at once would reset those connections. The host therefore first reports not ready while
//! it continues to serve, closing each connection after its answer; then it accepts no new
//! connections and waits for the requests in flight. A second signal, or the time limit, ends the
//! shutdown, and each caller still waiting gets a clear error.

use crate::clock;

/// Time limits of the shutdown phases.
#[derive(Clone, Debug)]
pub struct Settings {
    /// From the first signal, when the host reports not ready, until it accepts no new connections.
    pub unready: clock::Span,
    /// From the first signal until the process ends at the latest; should be at least the longest
    /// deadline in use.
    pub grace: clock::Span,
}

/// Two probes of a load balancer that probes readiness once a second, and one to spare.
const UNREADY: clock::Span = clock::Span::from_secs(3);
/// Covers a million-token prompt, which takes minutes to answer. With longer deadlines
/// [`Settings::grace`] must be longer.
const GRACE: clock::Span = clock::Span::from_secs(3_600);

impl Default for Settings {
    fn default() -> Self {
        Settings { unready: UNREADY, grace: GRACE }
    }
}

/// Phase of the shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// No shutdown was requested; everything is served.
    Serving,
    /// Reports not ready but serves everything; connections close after their answer.
    Unready,
    /// Accepts no new connections or requests; those in flight continue.
    Draining,
    /// Requests still in flight fail with `Draining`, then the process exits.
    Ended {
        /// Whether requests were in flight.
        interrupted: bool,
    },
}

/// State machine of the shutdown.
///
/// ```
/// use lagoonline::{clock::Moment, lifecycle::drain::{Drain, State}};
/// let mut drain = Drain::default();
/// drain.signal(Moment::START, 1);
/// assert_eq!(drain.tick(Moment::from_millis(5_000), 1), State::Draining);
/// assert_eq!(drain.tick(Moment::from_millis(6_000), 0), State::Ended { interrupted: false });
/// ```
#[derive(Clone, Debug)]
pub struct Drain {
    settings: Settings,
    state: State,
    signalled_at: clock::Moment,
}

impl Default for Drain {
    fn default() -> Self {
        Drain::new(Settings::default())
    }
}

impl Drain {
    /// Creates the state machine of a host that is serving.
    pub fn new(settings: Settings) -> Self {
        Drain { settings, state: State::Serving, signalled_at: clock::Moment::START }
    }

    /// Handles SIGTERM or an operator's `drain` while `open` requests are in flight; the second one
    /// ends the shutdown.
    pub fn signal(&mut self, now: clock::Moment, open: usize) -> State {
        self.state = match self.state {
            State::Serving => {
                self.signalled_at = now;
                State::Unready
            }
            State::Unready | State::Draining => State::Ended { interrupted: open > 0 },
            ended @ State::Ended { .. } => ended,
        };
        self.state
    }

    /// Advances the state while `open` requests are in flight; call it often, and whenever a
    /// request ends.
    pub fn tick(&mut self, now: clock::Moment, open: usize) -> State {
        let elapsed = now.since(self.signalled_at);
        if self.state == State::Unready && elapsed >= self.settings.unready {
            self.state = State::Draining;
        }
        let is_ending = matches!(self.state, State::Unready | State::Draining);
        if self.state == State::Draining && open == 0 {
            self.state = State::Ended { interrupted: false };
        } else if is_ending && elapsed >= self.settings.grace {
            self.state = State::Ended { interrupted: open > 0 };
        }
        self.state
    }

    /// Returns the current phase.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether `/readyz` reports ready.
    pub fn is_ready(&self) -> bool {
        self.state == State::Serving
    }

    /// Returns whether the listener accepts connections, and requests on open connections are
    /// served; otherwise they are refused with `Draining`, `not-run`.
    pub fn accepts(&self) -> bool {
        matches!(self.state, State::Serving | State::Unready)
    }

    /// Returns whether a connection is closed after its answer.
    pub fn closes_connections(&self) -> bool {
        self.state != State::Serving
    }
}

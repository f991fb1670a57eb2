//! Monotonic time as plain numbers, so that time-dependent logic can be tested with a fake clock.

use std::ops;
use std::sync::atomic;
use std::time;

pub use std::time::Duration as Span;

/// A point on a monotonic clock, in microseconds since that clock was created, usually at the start
/// of the process.
///
/// Moments of different clocks cannot be compared; messages between processes carry the remaining
/// time instead.
///
/// ```
/// use lagoonline::clock::{Moment, Span};
/// let start = Moment::from_millis(10);
/// assert_eq!((start + Span::from_millis(5)).since(start), Span::from_millis(5));
/// assert_eq!(start.since(start + Span::from_millis(5)), Span::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Moment(u64);

impl Moment {
    /// The moment at which the clock was created.
    pub const START: Moment = Moment(0);
    /// A moment that is never reached.
    pub const NEVER: Moment = Moment(u64::MAX);

    /// Returns the moment `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Self {
        Moment(micros)
    }

    /// Returns the moment `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Moment(millis * 1_000)
    }

    /// Returns the microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since the start, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is the later of the two.
    pub const fn since(self, earlier: Moment) -> Span {
        Span::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the moment `span` earlier, or [`Moment::START`] if there is none.
    ///
    /// ```
    /// use lagoonline::clock::{Moment, Span};
    /// let moment = Moment::from_millis(9);
    /// assert_eq!(moment.saturating_sub(Span::from_millis(4)), Moment::from_millis(5));
    /// assert_eq!(moment.saturating_sub(Span::from_secs(1)), Moment::START);
    /// ```
    pub fn saturating_sub(self, span: Span) -> Moment {
        Moment(self.0.saturating_sub(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl ops::Add<Span> for Moment {
    type Output = Moment;

    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

/// A source of time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the current moment of this process's monotonic clock.
    fn now(&self) -> Moment;

    /// Returns the milliseconds since the Unix epoch on the host's wall clock, which may jump.
    fn wall_millis(&self) -> u64;
}

/// The monotonic and wall clock of the operating system. A process creates one and copies it.
///
/// ```
/// use lagoonline::clock::{Clock, System};
/// let clock = System::default();
/// let first = clock.now();
/// assert!(clock.now() >= first);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct System {
    start: time::Instant,
}

impl Default for System {
    fn default() -> Self {
        System { start: time::Instant::now() }
    }
}

impl Clock for System {
    fn now(&self) -> Moment {
        Moment::START + self.start.elapsed()
    }

    fn wall_millis(&self) -> u64 {
        let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        since.map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

/// A clock for tests that only moves when advanced; clones share the same time.
///
/// ```
/// use lagoonline::clock::{Clock, Fake, Moment, Span};
/// let clock = Fake::default();
/// clock.advance(Span::from_millis(7));
/// assert_eq!(clock.now(), Moment::from_millis(7));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Fake {
    micros: std::sync::Arc<atomic::AtomicU64>,
}

impl Fake {
    /// Moves the clock forward by `span`.
    pub fn advance(&self, span: Span) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.micros.fetch_add(micros, atomic::Ordering::SeqCst);
    }
}

impl Clock for Fake {
    fn now(&self) -> Moment {
        Moment::from_micros(self.micros.load(atomic::Ordering::SeqCst))
    }

    fn wall_millis(&self) -> u64 {
        self.now().as_millis()
    }
}

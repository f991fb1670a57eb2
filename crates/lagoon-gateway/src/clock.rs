//! The clock of a host that may be suspended.

use lagoonline::clock;
use nix::time;

/// Monotonic time that includes the time for which the host was suspended.
///
/// The usual monotonic clock stops during a suspend. A host that was suspended for seconds would
/// take what it knew before for recent, and a key revoked meanwhile would still work.
///
/// ```
/// use lagoonline::clock::Clock;
/// let clock = lagoon_gateway::BootClock::default();
/// let first = clock.now();
/// assert!(clock.now() >= first);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: u64,
}

impl Default for BootClock {
    fn default() -> Self {
        BootClock { start: micros() }
    }
}

impl clock::Clock for BootClock {
    fn now(&self) -> clock::Moment {
        clock::Moment::from_micros(micros().saturating_sub(self.start))
    }

    fn wall_millis(&self) -> u64 {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        since.map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Returns the microseconds since the host started. Linux has this clock since 2.6.39. Without it
/// the process cannot enforce its time bounds, so it panics.
fn micros() -> u64 {
    let now = match time::clock_gettime(time::ClockId::CLOCK_BOOTTIME) {
        Ok(now) => std::time::Duration::from(now),
        Err(error) => panic!("the host has no clock that counts suspended time: {error}"),
    };
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

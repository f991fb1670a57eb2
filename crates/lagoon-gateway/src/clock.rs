//! The clock of a host that may be suspended.

use lagoonline::clock;
use nix::time;

/// Monotonic time that goes on while the host is suspended.
///
/// Failure answered: a host that was suspended for seconds wakes up and takes what it knew before
/// for fresh, so a key taken away meanwhile still works. The usual monotonic clock stands still
/// while a host is suspended; this one does not.
///
/// ```
/// use lagoonline::clock::Clock;
/// let clock = lagoon_gateway::Boot::default();
/// let first = clock.now();
/// assert!(clock.now() >= first);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Boot {
    start: u64,
}

impl Default for Boot {
    fn default() -> Self {
        Boot { start: micros() }
    }
}

impl clock::Clock for Boot {
    fn now(&self) -> clock::Moment {
        clock::Moment::from_micros(micros().saturating_sub(self.start))
    }

    fn wall_millis(&self) -> u64 {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        since.map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Microseconds since the host started. The kernel has had this clock since Linux 2.6.39; without
/// it the process cannot keep its promises and ends.
fn micros() -> u64 {
    let now = match time::clock_gettime(time::ClockId::CLOCK_BOOTTIME) {
        Ok(now) => std::time::Duration::from(now),
        Err(error) => panic!("the host has no clock that counts suspended time: {error}"),
    };
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

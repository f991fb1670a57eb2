//! Token bucket with a burst of one second's worth of its rate.

use std::time;

/// A token bucket. Each call gives the rate, because fault switches can change it.
#[derive(Debug)]
pub(crate) struct Bucket {
    /// `None` until the first call, which finds the bucket full.
    level: Option<f64>,
    /// Time of the last call.
    at: time::Instant,
}

impl Bucket {
    /// Creates a full bucket.
    pub(crate) fn new(now: time::Instant) -> Self {
        Bucket { level: None, at: now }
    }

    /// Takes `amount` units (reads, rows or bytes); the bucket refills with `rate` units per
    /// second. An amount above one second's worth is granted when the bucket is full, and leaves
    /// the level negative.
    ///
    /// # Errors
    ///
    /// Returns the seconds until the same call can succeed.
    pub(crate) fn take(&mut self, amount: f64, rate: f64, now: time::Instant) -> Result<(), f64> {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        let level = self.level.unwrap_or(rate) + elapsed * rate;
        let level = level.min(rate);
        self.at = now;
        let required = amount.min(rate);
        if level < required || rate <= 0.0 {
            self.level = Some(level);
            return Err((required - level) / rate.max(1e-9));
        }
        self.level = Some(level - amount);
        Ok(())
    }
}

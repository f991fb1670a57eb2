//! Token buckets: a rate, with a burst of one second.

use std::time;

/// What is left of a rate.
#[derive(Debug)]
pub(crate) struct Bucket {
    level: Option<f64>,
    at: time::Instant,
}

impl Bucket {
    /// A full bucket.
    pub(crate) fn new(now: time::Instant) -> Self {
        Bucket { level: None, at: now }
    }

    /// Takes `amount` of `rate` a second. More than one second's worth is let through when the
    /// bucket is full, and then owed.
    ///
    /// # Errors
    ///
    /// Seconds until it is worthwhile to ask again.
    pub(crate) fn take(&mut self, amount: f64, rate: f64, now: time::Instant) -> Result<(), f64> {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let level = self.level.unwrap_or(rate) + passed * rate;
        let level = level.min(rate);
        self.at = now;
        let least = amount.min(rate);
        if level < least || rate <= 0.0 {
            self.level = Some(level);
            return Err((least - level) / rate.max(1e-9));
        }
        self.level = Some(level - amount);
        Ok(())
    }
}

//! Retries of one process, filled by first attempts.

/// Retries added per first attempt.
const RATIO: f64 = 0.1;
/// Largest number of retries that can accumulate.
const MAX_BURST: f64 = 10.0;

/// Retries that one process may still make by itself.
///
/// A tenth of first attempts is enough for one engine in ten to fail with all its work; the burst
/// of ten allows retries at a host with little traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    available: f64,
}

impl Default for Bucket {
    fn default() -> Self {
        Bucket { available: MAX_BURST }
    }
}

impl Bucket {
    /// Records a first attempt.
    ///
    /// ```
    /// let mut bucket = lagoonline::load::retry::Bucket::default();
    /// assert_eq!((0..100).filter(|_| bucket.take_retry()).count(), 10);
    /// for _ in 0..100 { bucket.record_first_attempt(); }
    /// assert_eq!((0..100).filter(|_| bucket.take_retry()).count(), 10);
    /// ```
    pub fn record_first_attempt(&mut self) {
        self.available = (self.available + RATIO).min(MAX_BURST);
    }

    /// Whether a retry is left.
    pub fn has_retry(&self) -> bool {
        // A sum of tenths can be a rounding error below a whole number.
        self.available >= 1.0 - 1e-9
    }

    /// Takes one retry; returns false if none is left.
    pub fn take_retry(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

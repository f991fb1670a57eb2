//! Retries draw on a budget that first attempts fill.
//!
//! Load pattern: saturation or a dying engine, where many attempts fail at once. Without a budget
//! each failure becomes another request, the load doubles when there is least room for it, and the
//! overload feeds itself. A tenth of first attempts is enough for one engine in ten to die with
//! all its work; the burst of ten lets a quiet host repeat at all.
//!
//! No scenario uses the budget up since failing upstreams are left alone at once: its worth is not
//! measured.

/// What one first attempt adds.
const SHARE: f64 = 0.1;
/// Most that is kept.
const BURST: f64 = 10.0;

/// Retries that may still be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    left: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { left: BURST }
    }
}

impl Budget {
    /// A first attempt was made.
    ///
    /// ```
    /// let mut budget = lagoonline::load::retry::Budget::default();
    /// assert_eq!((0..100).filter(|_| budget.take()).count(), 10);
    /// for _ in 0..100 { budget.first_attempt(); }
    /// assert_eq!((0..100).filter(|_| budget.take()).count(), 10);
    /// ```
    pub fn first_attempt(&mut self) {
        self.left = (self.left + SHARE).min(BURST);
    }

    /// Whether a retry is left.
    pub fn has_one(&self) -> bool {
        // Sums of tenths fall a rounding error short of a whole.
        self.left >= 1.0 - 1e-9
    }

    /// Takes one retry, or says that there is none left.
    pub fn take(&mut self) -> bool {
        if !self.has_one() {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

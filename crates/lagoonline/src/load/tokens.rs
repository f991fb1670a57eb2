//! Estimates prompt tokens from bytes, corrected by the counts of engines.
//!
//! Load pattern: prompts in languages and formats whose bytes per token differ from the model's
//! configured estimate. Without the correction a prompt that consists of dense numbers, for
//! example, is taken for half its length, and queues and memory are planned wrong for every request
//! of that model. One answer changes the estimate by a twentieth of the difference, so a single odd
//! prompt has little effect; the bounds of 0.5 to 16 bytes prevent a faulty engine's counts from
//! breaking admission.

use crate::control::document;

/// Fraction of the difference by which one answer changes the estimate.
const GAIN: f64 = 0.05;
/// Smallest and largest plausible number of bytes per token.
const BYTES_PER_TOKEN_BOUNDS: (f64, f64) = (0.5, 16.0);

/// Bytes per token of one model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ratio {
    bytes_per_token: f64,
}

impl Default for Ratio {
    fn default() -> Self {
        Ratio::new(document::Model::default().bytes_per_token)
    }
}

impl Ratio {
    /// Starts from the model's configured estimate.
    ///
    /// ```
    /// let mut ratio = lagoonline::load::tokens::Ratio::new(4.0);
    /// assert_eq!(ratio.tokens(400), 100);
    /// for _ in 0..200 { ratio.learn(400, 200); }
    /// assert!((195..=205).contains(&ratio.tokens(400)));
    /// ```
    pub fn new(bytes_per_token: f64) -> Self {
        Ratio {
            bytes_per_token: bytes_per_token
                .clamp(BYTES_PER_TOKEN_BOUNDS.0, BYTES_PER_TOKEN_BOUNDS.1),
        }
    }

    /// Expected tokens in a prompt of `bytes` bytes.
    pub fn tokens(&self, bytes: u64) -> u64 {
        (bytes as f64 / self.bytes_per_token).ceil() as u64
    }

    /// Updates the ratio with an engine's token count for a prompt of `bytes` bytes.
    pub fn learn(&mut self, bytes: u64, tokens: u64) {
        if bytes == 0 || tokens == 0 {
            return;
        }
        let seen = (bytes as f64 / tokens as f64)
            .clamp(BYTES_PER_TOKEN_BOUNDS.0, BYTES_PER_TOKEN_BOUNDS.1);
        self.bytes_per_token += GAIN * (seen - self.bytes_per_token);
    }
}

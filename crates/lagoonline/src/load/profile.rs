//! Published performance profile of a model engine: the duration of passes and prefill, and its
//! memory.
//!
//! An engine works in passes over all its requests. A pass with at least one request in decode runs
//! [`Profile::stride`] decode steps. Prefill runs between these steps, so a long prefill in a pass
//! delays every request in decode on the engine by as much.

use crate::clock;

/// Performance figures of a model engine.
///
/// ```
/// use lagoonline::load::profile::Profile;
/// let profile = Profile { prefill_per_ms: 206.0, pairs_ms_per_m: 0.138, ..Profile::default() };
/// assert_eq!(profile.prefill_ms(45_000).round(), 358.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// Requests that it processes at once.
    pub slots: u32,
    /// KV memory in tokens.
    pub memory_tokens: u64,
    /// Decode steps of a pass with at least one request in decode; each such request gets one token
    /// per step.
    pub stride: u32,
    /// Milliseconds of a decode step.
    pub step_ms: f64,
    /// Milliseconds that each request in decode adds to a step.
    pub sequence_ms: f64,
    /// Milliseconds that each thousand tokens of context add to a step.
    pub context_ms_per_k: f64,
    /// Prompt tokens prefilled per millisecond.
    pub prefill_per_ms: f64,
    /// Milliseconds of attention per million pairs of a prompt token and an earlier one.
    pub pairs_ms_per_m: f64,
    /// Most prompt tokens prefilled in one step. Not used by placement.
    pub chunk: u32,
    /// Age of a load report, in milliseconds. Not used by placement.
    pub report_lag_ms: f64,
    /// Extra milliseconds of a step for a request that several engines prefilled, for the network
    /// hop between them. Not used by placement.
    pub hop_ms: f64,
    /// Mean prompt length in tokens.
    pub mean_prompt: u64,
    /// Mean answer length in tokens.
    pub mean_answer: u64,
}

impl Default for Profile {
    fn default() -> Self {
        Profile {
            slots: 16,
            memory_tokens: 232_000,
            stride: 43,
            step_ms: 1.0,
            sequence_ms: 0.002,
            context_ms_per_k: 0.004,
            prefill_per_ms: 200.0,
            pairs_ms_per_m: 0.14,
            chunk: 2_048,
            report_lag_ms: 200.0,
            hop_ms: 0.1,
            mean_prompt: 12_000,
            mean_answer: 1_300,
        }
    }
}

impl Profile {
    /// Milliseconds to prefill a prompt of `tokens` on one otherwise idle engine.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        tokens / self.prefill_per_ms.max(f64::MIN_POSITIVE) + pairs * self.pairs_ms_per_m
    }

    /// Milliseconds of prefill that the first `cached` tokens of a prompt of `tokens` save if they
    /// are cached.
    ///
    /// The rest takes `prefill_ms(tokens) - prefill_ms(cached)`, which is more than the prefill of
    /// a prompt as long as the rest, because its tokens still attend to the cached ones.
    ///
    /// ```
    /// use lagoonline::load::profile::Profile;
    /// let profile = Profile { prefill_per_ms: 200.0, pairs_ms_per_m: 0.1, ..Profile::default() };
    /// let rest_ms = profile.prefill_ms(20_000) - profile.saving_ms(20_000, 10_000);
    /// assert_eq!((rest_ms, profile.prefill_ms(10_000)), (65.0, 55.0));
    /// ```
    pub fn saving_ms(&self, tokens: u64, cached: u64) -> f64 {
        self.prefill_ms(cached.min(tokens))
    }

    /// Milliseconds that each of `parts` engines needs for its part of a prompt of `tokens`.
    pub fn part_ms(&self, tokens: u64, parts: u32) -> f64 {
        self.prefill_ms(tokens) / f64::from(parts.max(1))
    }

    /// Milliseconds of a pass with `sequences` requests in decode over `context` tokens in total,
    /// without any prefill.
    pub fn pass_ms(&self, sequences: u32, context: u64) -> f64 {
        if sequences == 0 {
            return 0.0;
        }
        let step = self.step_ms
            + self.sequence_ms * f64::from(sequences)
            + self.context_ms_per_k * context as f64 / 1e3;
        step * f64::from(self.stride)
    }

    /// Time to decode an answer of `tokens` if a pass takes `pass_ms`.
    pub fn decode_span(&self, tokens: u64, pass_ms: f64) -> clock::Span {
        let passes = (tokens as f64 / f64::from(self.stride.max(1))).ceil();
        clock::Span::try_from_secs_f64(passes * pass_ms / 1e3).unwrap_or(clock::Span::MAX)
    }
}

//! How a model engine works, as its owner publishes it: the time that passes, reads and memory
//! take.
//!
//! An engine does all waiting work in passes. A pass in which some request writes makes
//! [`Pace::stride`] steps; prompts are read between the tokens of the others, so a long read in a
//! pass delays every writer of the engine by as much.

use crate::clock;

/// What an engine needs for each part of its work.
///
/// ```
/// use lagoonline::load::pass::Pace;
/// let pace = Pace { read_per_ms: 206.0, pairs_ms_per_m: 0.138, ..Pace::default() };
/// assert_eq!(pace.read_ms(45_000).round(), 358.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Requests that it works on at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Steps of a pass in which some request writes; each writer gets a token a step.
    pub stride: u32,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds that each writer adds to a step.
    pub writer_ms: f64,
    /// Milliseconds that each thousand tokens of a writer's context add to a step.
    pub context_ms_per_k: f64,
    /// Prompt tokens read in a millisecond.
    pub read_per_ms: f64,
    /// Milliseconds for each million pairs of a prompt token and an earlier one.
    pub pairs_ms_per_m: f64,
    /// Most prompt tokens read in one step.
    pub chunk: u32,
    /// Age of a load report, in milliseconds.
    pub report_lag_ms: f64,
    /// Milliseconds that a step of a request read by several engines takes longer.
    pub hop_ms: f64,
    /// Mean tokens of a prompt.
    pub usual_prompt: u64,
    /// Mean tokens of an answer.
    pub usual_answer: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            slots: 16,
            memory_tokens: 232_000,
            stride: 43,
            step_ms: 1.0,
            writer_ms: 0.002,
            context_ms_per_k: 0.004,
            read_per_ms: 200.0,
            pairs_ms_per_m: 0.14,
            chunk: 2_048,
            report_lag_ms: 200.0,
            hop_ms: 0.1,
            usual_prompt: 12_000,
            usual_answer: 1_300,
        }
    }
}

impl Pace {
    /// Milliseconds to read a prompt of `tokens` alone on an idle engine.
    pub fn read_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let pairs = tokens * tokens / 2.0 / 1e6;
        tokens / self.read_per_ms.max(f64::MIN_POSITIVE) + pairs * self.pairs_ms_per_m
    }

    /// Milliseconds that each of `parts` engines needs for its part of a prompt of `tokens`.
    pub fn part_ms(&self, tokens: u64, parts: u32) -> f64 {
        self.read_ms(tokens) / f64::from(parts.max(1))
    }

    /// Milliseconds of a pass in which `writers` requests write over `context` tokens in all, with
    /// no prompt read in it.
    pub fn pass_ms(&self, writers: u32, context: u64) -> f64 {
        if writers == 0 {
            return 0.0;
        }
        let step = self.step_ms
            + self.writer_ms * f64::from(writers)
            + self.context_ms_per_k * context as f64 / 1e3;
        step * f64::from(self.stride)
    }

    /// How long an answer of `tokens` takes to write at `pass_ms` a pass.
    pub fn write_span(&self, tokens: u64, pass_ms: f64) -> clock::Span {
        let passes = (tokens as f64 / f64::from(self.stride.max(1))).ceil();
        clock::Span::try_from_secs_f64(passes * pass_ms / 1e3).unwrap_or(clock::Span::MAX)
    }
}

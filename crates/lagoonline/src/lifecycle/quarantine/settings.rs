//! Settings of the quarantine.

use crate::clock;

/// What counts as proof that a request crashes upstreams, and how long it is then refused.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of crashes at different times that prove a request lethal.
    pub required_crashes: usize,
    /// Time after an answer started during which a crash of the upstream counts against the request
    /// even if events of the answer were received.
    pub start_window: clock::Span,
    /// Time after a crash during which hosts report what they had in flight there. If evaluated
    /// earlier, a request that merely ran beside a lethal one could look like the only suspect.
    pub settle_time: clock::Span,
    /// As `settle_time`, for crashes that count against a part of prompts that were answered shortly
    /// before: answers that clear it have time to begin and to go on.
    pub sound_settle_time: clock::Span,
    /// Crashes within this time of each other count as one. A rack failure takes down several
    /// upstreams at once, and a request with many copies in flight runs on each of them.
    pub correlation_window: clock::Span,
    /// Crash reports about one upstream within this time refer to the same crash.
    pub dedup_window: clock::Span,
    /// How long evidence against a request is kept.
    pub evidence_retention: clock::Span,
    /// How long a request that was answered completely is not suspected again.
    pub trust_duration: clock::Span,
    /// Duration of the first quarantine; each further one lasts twice as long.
    pub base_duration: clock::Span,
    /// Upper bound on the duration of a quarantine.
    pub max_duration: clock::Span,
    /// Maximum number of suspects, and of quarantine records, kept in memory.
    pub max_entries: usize,
    /// Maximum number of crashes kept in memory.
    pub max_crashes: usize,
    /// Maximum number of crashes kept as evidence against parts of prompts, which is judged anew with
    /// each crash.
    pub max_part_crashes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            required_crashes: 3,
            start_window: clock::Span::from_millis(250),
            settle_time: clock::Span::from_millis(300),
            sound_settle_time: clock::Span::from_millis(1_000),
            correlation_window: clock::Span::from_millis(100),
            dedup_window: clock::Span::from_millis(700),
            evidence_retention: clock::Span::from_secs(600),
            trust_duration: clock::Span::from_secs(60),
            base_duration: clock::Span::from_secs(600),
            max_duration: clock::Span::from_secs(86_400),
            max_entries: 16_384,
            max_crashes: 2_048,
            max_part_crashes: 512,
        }
    }
}

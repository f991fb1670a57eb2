//! Figures of the placement, each with what it was chosen for.

use crate::clock;

/// Figures of the placement.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// A part of a prompt that one engine reads should take no longer than this, in milliseconds:
    /// a pass of writers and two such parts stay below the pause that answers to short prompts bear.
    pub part_ms: f64,
    /// The same for prompts whose answers bear longer pauses, in milliseconds. Smaller parts wait
    /// for more engines, and the first token comes after the last of them.
    pub loose_part_ms: f64,
    /// Engines that may help with one prompt: one less than an engine takes names of, since its own
    /// reservation is named as well.
    pub helpers: usize,
    /// Part of an engine's memory that is planned with; the rest is for answers and for what this
    /// host has not heard of.
    pub memory_share: f64,
    /// A prompt that needs more than this part of an engine's memory reserves it before it is sent:
    /// two such prompts, sent at once by hosts that do not know of each other, do not fit together,
    /// and the second waits in the engine for seconds until the first has ended.
    pub reserve_share: f64,
    /// How long an engine that had no memory to reserve is taken for full.
    pub full_span: clock::Span,
    /// Milliseconds that another zone's upstream must be ahead to be chosen.
    pub remote_ms: f64,
    /// Longest pause between events of an answer that counts as tight: three passes of writers
    /// with a part of a prompt in each.
    pub tight_gap: clock::Span,
    /// Part of the places of an engine kept for tight answers that those should take; the rest is
    /// left for a burst.
    pub tight_share: f64,
    /// Milliseconds by which an engine that is kept for answers with long pauses must be ahead to
    /// get a prompt whose answer bears only short ones.
    pub stray_ms: f64,
    /// Milliseconds by which an engine that writes no answer must be ahead to answer a prompt whose
    /// answer bears long pauses: an engine makes all steps of a pass for one answer as for ten, so
    /// one that writes none reads for others in half the time.
    pub reader_ms: f64,
    /// Part of an engine's time that is planned for reading prompts whose answers bear long pauses:
    /// with less, short prompts lack places; with more, the long ones wait for each other.
    pub read_share: f64,
    /// Milliseconds by which a short prompt's first token may come later without being late.
    pub stall_ms: f64,
    /// How long a short prompt's answer takes, by which the rate of short prompts is known from
    /// those under way.
    pub tight_life: clock::Span,
    /// Milliseconds by which equal choices are spread.
    pub jitter_ms: f64,
    /// Milliseconds that engines may have to read, on the average, when a long prompt is sent: a
    /// burst of short prompts waits no longer than this and their own reading.
    pub backlog_ms: f64,
    /// Milliseconds of reading of a prompt for which that bound holds in full; a larger prompt's is
    /// smaller in proportion, down to a quarter.
    pub backlog_prompt_ms: f64,
    /// Part of the time that a prompt has waited by which its bound grows.
    pub backlog_growth: f64,
    /// Part of the time left to its first token that a short prompt waits for a place.
    pub hold_share: f64,
    /// How long a prompt waits at most for engines to have less to read.
    pub patience: clock::Span,
    /// Milliseconds of delay that one answer made late is worth.
    pub harm_ms: f64,
    /// How long an upstream that failed without a word is passed over.
    pub suspect_span: clock::Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            part_ms: 60.0,
            loose_part_ms: 60.0,
            helpers: 15,
            memory_share: 0.92,
            reserve_share: 0.25,
            full_span: clock::Span::from_millis(150),
            remote_ms: 12.0,
            tight_gap: clock::Span::from_millis(400),
            tight_share: 0.69,
            stray_ms: 120.0,
            reader_ms: 150.0,
            read_share: 0.6,
            stall_ms: 100.0,
            tight_life: clock::Span::from_millis(1_900),
            jitter_ms: 20.0,
            backlog_ms: 200.0,
            backlog_prompt_ms: 1_200.0,
            backlog_growth: 0.12,
            hold_share: 0.3,
            patience: clock::Span::from_millis(5_000),
            harm_ms: 60.0,
            suspect_span: clock::Span::from_secs(1),
        }
    }
}

//! Parameters of placement.

use crate::clock;
use crate::load::prefix;

/// Parameters of placement. Where a host's settings can set a field, the name of the setting is
/// given.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Target prefill time of one engine's part of a prompt, in milliseconds, for prompts with a
    /// tight gap limit: the decode steps of a pass and two such parts stay below the gap limit of
    /// short prompts. Setting `part_ms`.
    pub part_ms: f64,
    /// Target prefill time of a part for prompts with a loose gap limit, in milliseconds. Smaller
    /// parts involve more engines, and the first token comes only after the last of them has
    /// finished. Setting `loose_part_ms`.
    pub loose_part_ms: f64,
    /// Most engines that may help with one prompt: the request to an engine lists the helpers and
    /// the engine's own reservation, and an engine accepts one more entry than this.
    pub max_helpers: usize,
    /// Share of an engine's memory that placement may fill; the rest is for answers and for
    /// dispatches that this host has not heard of.
    pub memory_share: f64,
    /// Share of an engine's memory above which a prompt's memory is reserved before the prompt is
    /// sent. Otherwise two such prompts, sent at once by hosts that don't know of each other, would
    /// not fit together, and the second would wait for seconds in the engine until the first has
    /// ended.
    pub reserve_threshold: f64,
    /// How long an engine that refused a reservation counts as full; also the shortest retry time
    /// of a rejected prompt.
    pub full_span: clock::Span,
    /// Milliseconds by which an upstream of another zone must be better to be chosen.
    pub remote_penalty_ms: f64,
    /// Longest gap limit that counts as tight: three passes of decode steps with a part of a prompt
    /// in each.
    pub tight_gap: clock::Span,
    /// Share of the slots on the engines dedicated to tight gap limits that the division plans to
    /// fill; the rest is headroom for a burst. Setting `tight_share`.
    pub tight_share: f64,
    /// Milliseconds by which an engine that is not dedicated to tight gap limits must be better to
    /// get a prompt with a tight one. Setting `stray_ms`.
    pub spillover_penalty_ms: f64,
    /// Milliseconds by which an engine that answers no request, whether in prefill or decode, must
    /// be better to become the primary of a prompt with a loose gap limit. An engine runs all
    /// decode steps of a pass for one answer as for ten, and without them it prefills for others in
    /// half the time, so answers should share few engines. Setting `reader_ms`.
    pub idle_penalty_ms: f64,
    /// Share of an engine's time planned for the prefill of prompts with a loose gap limit. With
    /// less, short prompts lack slots; with more, the long prompts wait for each other. Setting
    /// `read_share`.
    pub prefill_share: f64,
    /// Milliseconds by which the first token of a short prompt may be delayed without being late.
    /// Setting `stall_ms`.
    pub tight_slack_ms: f64,
    /// Average duration of an answer with a tight gap limit, from which the arrival rate of short
    /// prompts is estimated by the number in flight.
    pub tight_answer_span: clock::Span,
    /// Range in milliseconds of the random jitter that is added to the cost of each engine, which
    /// hides small differences. Setting `jitter_ms`.
    pub jitter_ms: f64,
    /// Average prefill backlog per engine, in milliseconds, up to which a long prompt is
    /// dispatched: a burst of short prompts waits no longer than this and their own prefill.
    /// Setting `backlog_ms`.
    pub backlog_ms: f64,
    /// Prefill time in milliseconds of the largest prompt to which that bound applies in full; a
    /// larger prompt has a proportionally smaller bound, down to a quarter. Setting
    /// `backlog_prompt_ms`.
    pub backlog_reference_ms: f64,
    /// Share of a prompt's waiting time by which its bound grows. Setting `backlog_growth`.
    pub backlog_growth: f64,
    /// Share of the time left to its first token that a short prompt may wait for a slot. Setting
    /// `hold_share`.
    pub slot_wait_share: f64,
    /// Longest time that a prompt with a loose gap limit waits at a host, whatever resource engines
    /// lack for it.
    pub max_wait: clock::Span,
    /// Share of the time left until its own first token is late by which a prompt may be delayed to
    /// avoid making one other answer late. Setting `harm_share`.
    pub lateness_cost_share: f64,
    /// Whether customers of equal urgency share prefill time fairly among their prompts with a loose
    /// gap limit. Otherwise the smaller prompts go first, which leaves less of the engines' time
    /// unused while a large one waits. Setting `fair_prefill`.
    pub fair_prefill: bool,
    /// How long an upstream is avoided after a failure without a response. The span is multiplied
    /// by the number of its consecutive failures of this kind, up to four.
    pub avoid_span: clock::Span,
    /// Bounds on the belief that engines have prefixes cached; `None` for a service that does not
    /// say that its engines retain prompts, which is the case on the platform.
    pub retained: Option<prefix::Settings>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            part_ms: 60.0,
            loose_part_ms: 60.0,
            max_helpers: 15,
            memory_share: 0.92,
            reserve_threshold: 0.25,
            full_span: clock::Span::from_millis(150),
            remote_penalty_ms: 12.0,
            tight_gap: clock::Span::from_millis(400),
            tight_share: 0.69,
            spillover_penalty_ms: 120.0,
            idle_penalty_ms: 150.0,
            prefill_share: 0.6,
            tight_slack_ms: 100.0,
            tight_answer_span: clock::Span::from_millis(1_900),
            jitter_ms: 20.0,
            backlog_ms: 200.0,
            backlog_reference_ms: 1_200.0,
            backlog_growth: 0.12,
            slot_wait_share: 0.3,
            max_wait: clock::Span::from_millis(5_000),
            lateness_cost_share: 0.15,
            fair_prefill: false,
            avoid_span: clock::Span::from_secs(1),
            retained: None,
        }
    }
}

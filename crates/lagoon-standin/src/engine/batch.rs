//! Plans one step of a continuous batch: prefill tokens per stream, decoding streams, duration.

use super::settings;

/// Work of one step for the running streams, which are in priority order.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Tokens to prefill, one entry for each stream.
    pub prefill: Vec<u64>,
    /// Number of streams that decode one token each.
    pub decoding: usize,
    /// Duration of the step in engine seconds.
    pub seconds: f64,
}

/// Plans a step. `prefill_left` holds the tokens that each running stream still has to prefill, 0
/// for a stream that decodes. Streams share the tokens of `prefill_chunk` in order, so a long
/// prompt delays a decode step by the time for at most `prefill_chunk` tokens.
///
/// ```
/// use lagoon_standin::engine::{self, batch};
/// let settings = engine::Settings { prefill_chunk: 100, ..engine::Settings::default() };
/// let step = batch::plan(&settings, &[70, 0, 1_000]);
/// assert_eq!(step.prefill, [70, 0, 30]);
/// assert_eq!(step.decoding, 1);
/// ```
pub fn plan(settings: &settings::Settings, prefill_left: &[u64]) -> Step {
    let mut budget = settings.prefill_chunk;
    let mut prefill = Vec::with_capacity(prefill_left.len());
    for &left in prefill_left {
        let share = left.min(budget);
        budget -= share;
        prefill.push(share);
    }
    let decoding = prefill_left.iter().filter(|&&left| left == 0).count();
    let prefilled_tokens = (settings.prefill_chunk - budget) as f64;
    let mut seconds = prefilled_tokens / settings.prefill_rate;
    if decoding > 0 {
        let other_streams = (decoding - 1) as f64;
        seconds += (settings.decode_ms + settings.decode_stream_ms * other_streams) / 1_000.0;
    }
    Step { prefill, decoding, seconds }
}

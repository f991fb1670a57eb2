//! One step of a continuous batch: who prefills how much, who decodes, and how long it takes.

use super::settings;

/// What one step does to the running streams, given in their order of priority.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Tokens that each stream prefills.
    pub prefill: Vec<u64>,
    /// Streams that decode one token.
    pub decoding: usize,
    /// Engine seconds that the step takes.
    pub seconds: f64,
}

/// Plans a step; `left` has the tokens that each running stream has yet to prefill, 0 for one that
/// decodes. The chunk of prefill is shared in order, so that a long prompt cannot hold up the
/// streams that decode for more than one chunk.
///
/// ```
/// use lagoon_standin::engine::{self, batch};
/// let settings = engine::Settings { prefill_chunk: 100, ..engine::Settings::default() };
/// let step = batch::plan(&settings, &[70, 0, 1_000]);
/// assert_eq!(step.prefill, [70, 0, 30]);
/// assert_eq!(step.decoding, 1);
/// ```
pub fn plan(settings: &settings::Settings, left: &[u64]) -> Step {
    let mut budget = settings.prefill_chunk;
    let mut prefill = Vec::with_capacity(left.len());
    for &left in left {
        let share = left.min(budget);
        budget -= share;
        prefill.push(share);
    }
    let decoding = left.iter().filter(|&&left| left == 0).count();
    let prefilled = (settings.prefill_chunk - budget) as f64;
    let mut seconds = prefilled / settings.prefill_rate;
    if decoding > 0 {
        let further = (decoding - 1) as f64;
        seconds += (settings.decode_ms + settings.decode_stream_ms * further) / 1_000.0;
    }
    Step { prefill, decoding, seconds }
}

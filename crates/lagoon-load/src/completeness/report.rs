//! The figures of a simulation.

use serde::Serialize;

/// What callers and upstreams would see.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Streams.
    pub streams: u64,
    /// Streams that were cut by their first upstream.
    pub cut: u64,
    /// Streams with an end mark that are not whole; none wanted.
    pub marked_short: u64,
    /// Streams without an end mark that are not whole and end between two events: their callers
    /// cannot tell.
    pub doubtful_short: u64,
    /// Streams that are whole and were told as broken; none wanted.
    pub whole_as_broken: u64,
    /// Streams that were told as broken and are.
    pub broken: u64,
    /// Whole streams that came in time, without a pause over the target.
    pub in_time: u64,
    /// Whole streams that came late.
    pub late: u64,
    /// Requests to another upstream to continue a stream.
    pub resumed: u64,
    /// Requests to continue a stream that was whole.
    pub resumed_whole: u64,
    /// Prompt tokens that were prefilled again, in thousands.
    pub tokens_again: u64,
    /// Connections opened to see whether a process still runs.
    pub probes: u64,
    /// Connections of callers that ended with their stream.
    pub connections_closed: u64,
    /// Milliseconds from a cut to the next event, sorted.
    pub gaps_ms: Vec<u64>,
}

impl Report {
    /// Returns the quantile `share` of the times from a cut to the next event, in milliseconds.
    ///
    /// ```
    /// use lagoon_load::completeness::Report;
    /// let report = Report { gaps_ms: vec![10, 20, 30], ..Report::default() };
    /// assert_eq!(report.gap_ms(0.5), Some(20));
    /// ```
    pub fn gap_ms(&self, share: f64) -> Option<u64> {
        let last = self.gaps_ms.len().checked_sub(1)?;
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "an index")]
        let index = (last as f64 * share).round() as usize;
        self.gaps_ms.get(index).copied()
    }
}

//! Report of a trial, as text or as one JSON object.

use std::fmt;
use std::time;

use hdrhistogram::Histogram;
use lagoonline::control::document;
use serde::Serialize;

use super::Settings;
use super::caller;
use super::fleet;
use super::plan;
use super::verdict;

/// Median and 95th percentile of a set of times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// Number of times.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile, in milliseconds.
    pub p95_ms: f64,
}

impl Times {
    fn new<I>(times: I) -> Times
    where
        I: Iterator<Item = time::Duration>,
    {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else { return Times::default() };
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            // `record` resizes the histogram. `saturating_record` does not, and all times would
            // read as 0.
            if histogram.record(micros).is_err() {
                log::error!("a time of {micros} us could not be recorded");
            }
        }
        let at = |share| histogram.value_at_quantile(share) as f64 / 1_000.0;
        Times { count: histogram.len(), p50_ms: at(0.5), p95_ms: at(0.95) }
    }
}

/// Time to first token of one length class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Class {
    /// Name of the length class.
    pub class: &'static str,
    /// Time to first token in the phases with all lengths, faults included.
    pub first_token: Times,
}

/// Report of a trial.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Simulated engine seconds per real second.
    pub time_scale: f64,
    /// Time to first token by length class.
    pub classes: Vec<Class>,
    /// Time between tokens of streamed answers.
    pub between_tokens: Times,
    /// Time to first token of short prompts in the phase with short prompts alone.
    pub short_alone: Times,
    /// Time to first token of short prompts in the phase with all lengths, before the faults.
    pub short_mixed: Times,
    /// Ratio of the 95th percentiles of `short_mixed` and `short_alone`.
    pub short_slowdown: f64,
    /// Time from the last response until the engines had freed all KV memory, or until the wait for
    /// it timed out, in milliseconds.
    pub memory_settled_ms: f64,
    /// Counts of outcomes and of violated checks.
    pub verdict: verdict::Verdict,
    /// Whether every check passed.
    pub holds: bool,
}

impl Report {
    pub(super) fn new(
        settings: &Settings,
        results: &[caller::CallResult],
        verdict: &verdict::Verdict,
        settle_time: time::Duration,
    ) -> Report {
        let of_class = |class| {
            results
                .iter()
                .filter(move |result: &&caller::CallResult| result.call.class() == Some(class))
        };
        let classes = document::Class::ALL.map(|class| {
            let mixed = of_class(class).filter(|result| result.call.phase.is_mixed());
            let first_token = Times::new(mixed.filter_map(|result| result.first_token));
            Class { class: class.as_str(), first_token }
        });
        let short_in = |phase| {
            let short = of_class(document::Class::Short);
            Times::new(
                short
                    .filter(move |result| result.call.phase == phase)
                    .filter_map(|result| result.first_token),
            )
        };
        let (alone, mixed) = (short_in(plan::Phase::Alone), short_in(plan::Phase::Mixed));
        Report {
            seed: settings.seed,
            time_scale: fleet::TIME_SCALE,
            classes: classes.to_vec(),
            between_tokens: Times::new(
                results.iter().flat_map(|result| result.token_intervals.iter().copied()),
            ),
            short_alone: alone,
            short_mixed: mixed,
            short_slowdown: mixed.p95_ms / alone.p95_ms.max(f64::MIN_POSITIVE),
            verdict: verdict.clone(),
            memory_settled_ms: settle_time.as_secs_f64() * 1_000.0,
            holds: verdict.holds(),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "first token      count   p50 ms   p95 ms")?;
        for Class { class, first_token: Times { count, p50_ms, p95_ms } } in &self.classes {
            writeln!(f, "  {class:<12}{count:>8}{p50_ms:>9.1}{p95_ms:>9.1}")?;
        }
        let Times { count, p50_ms, p95_ms } = self.between_tokens;
        writeln!(f, "between tokens{count:>8}{p50_ms:>9.1}{p95_ms:>9.1}")?;
        let (alone, mixed) = (self.short_alone.p95_ms, self.short_mixed.p95_ms);
        writeln!(
            f,
            "short prompts: p95 {alone:.1} ms alone, {mixed:.1} ms beside long ones: {:.2} times",
            self.short_slowdown
        )?;
        let verdict = &self.verdict;
        writeln!(
            f,
            "calls {}: done {}, not-run {}, unknown {}",
            verdict.calls, verdict.done, verdict.not_run, verdict.unknown
        )?;
        writeln!(
            f,
            "past deadline {}, cut {}, doubled {}, crossed {}, false not-run {}, false done {}, \
             no clear end {}, engine bytes not returned {}",
            verdict.past_deadline,
            verdict.cut,
            verdict.doubled,
            verdict.crossed,
            verdict.false_not_run,
            verdict.false_done,
            verdict.no_clear_end,
            verdict.bytes_left
        )?;
        writeln!(
            f,
            "engine memory settled {:.0} ms after the last answer",
            self.memory_settled_ms
        )?;
        for (failure, count) in &verdict.failures {
            writeln!(f, "  {count:>6} {failure}")?;
        }
        let conclusion = if self.holds { "every check held" } else { "A CHECK FAILED" };
        write!(f, "engine time runs {} times faster than real time; {conclusion}", self.time_scale)
    }
}

//! Results of a run, and their summary over the runs of all seeds. Results are what callers got,
//! how much the engines did, and whether KV memory or tickets leaked.

use std::collections;

use hdrhistogram as hdr;
use lagoonline::clock;
use lagoonline::control::document;
use lagoonline::outcome;
use serde::Serialize;

use super::arrival;
use super::simulation;

/// Largest time recorded by a histogram, in microseconds; longer times are clamped to it.
const MAX_TIME_US: u64 = 3_600_000_000;
/// Time allowed to detect a slow engine; requests that arrive earlier may still be placed on it.
const DETECTION_TIME: clock::Span = clock::Span::from_secs(2);

/// Counts and time histograms of one run.
///
/// Arrays are indexed by [`document::Class`].
#[derive(Clone, Debug)]
pub struct Tally {
    /// Time to first token by length class, in microseconds.
    pub first_token: [hdr::Histogram<u64>; 4],
    /// Time to first token of short prompts of all customers but the first, in microseconds.
    pub others_first_token: hdr::Histogram<u64>,
    /// Sum of the ideal times to first token by class, in microseconds: prefill on an idle engine.
    pub ideal_first_token: [f64; 4],
    /// Ratio of the actual to the ideal time to first token of short prompts, in hundredths.
    pub first_token_ratio: hdr::Histogram<u64>,
    /// Time from arrival to a refusal, in microseconds.
    pub refusal_time: hdr::Histogram<u64>,
    /// Requests by class, counted when they end.
    pub offered: [u64; 4],
    /// Requests answered within the deadline, by class.
    pub good: [u64; 4],
    /// Requests answered after the deadline.
    pub late: u64,
    /// Refusals by reason.
    pub refusal_reasons: collections::BTreeMap<&'static str, u64>,
    /// Refusals by class.
    pub refusals: [u64; 4],
    /// Dispatches, retries included, in the simulation; in runs over HTTP, attempts that the
    /// engines accepted.
    pub attempts: u64,
    /// Prompt tokens of the long and huge requests whose answers ended before the arrivals did.
    pub long_tokens: u64,
    /// Prompt tokens of the requests answered within the deadline.
    pub good_tokens: u64,
    /// Prompt tokens prefilled, without those found in prefix caches.
    pub prefilled: u64,
    /// Prompt tokens found in prefix caches.
    pub cached: u64,
    /// Prompt tokens that hosts believed cached at dispatch.
    pub believed: u64,
    /// Requests that arrived more than two seconds after the fault began and were answered by the
    /// faulty engine.
    pub on_faulty: u64,
    /// Requests that arrived more than two seconds after the fault began and were answered.
    pub after_detection: u64,
    /// KV memory still reserved at the end of the run, in tokens in the simulation and in bytes in
    /// runs over HTTP; nonzero means a leak.
    pub kv_held: u64,
    /// Dispatched requests for which the schedulers still hold a ticket at the end of the run;
    /// nonzero means a leak.
    pub tickets_held: usize,
    /// Duration of the arrivals, in seconds.
    seconds: f64,
}

fn histogram() -> hdr::Histogram<u64> {
    // The bounds are valid constants.
    hdr::Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("constant bounds")
}

fn micros(span: clock::Span) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(MAX_TIME_US).clamp(1, MAX_TIME_US)
}

impl Tally {
    /// Returns an empty tally for a run with `seconds` of arrivals.
    pub fn new(seconds: f64) -> Self {
        Tally {
            first_token: [(); 4].map(|()| histogram()),
            ideal_first_token: [0.0; 4],
            others_first_token: histogram(),
            first_token_ratio: histogram(),
            refusal_time: histogram(),
            offered: [0; 4],
            good: [0; 4],
            late: 0,
            refusal_reasons: collections::BTreeMap::new(),
            refusals: [0; 4],
            attempts: 0,
            long_tokens: 0,
            good_tokens: 0,
            prefilled: 0,
            cached: 0,
            believed: 0,
            on_faulty: 0,
            after_detection: 0,
            kv_held: 0,
            tickets_held: 0,
            seconds,
        }
    }

    /// Records a complete answer, its first token at `first` and its last at `end`.
    pub fn record_answer(
        &mut self,
        arrival: &arrival::Arrival,
        first: clock::Moment,
        end: clock::Moment,
        on_faulty: bool,
    ) {
        let class = document::Class::of(arrival.prompt_tokens) as usize;
        self.offered[class] += 1;
        let elapsed = micros(first.since(arrival.at));
        self.first_token[class].saturating_record(elapsed);
        let ideal = arrival.prompt_tokens as f64 / super::scenario::PREFILL_RATE * 1e6;
        self.ideal_first_token[class] += ideal;
        // Short prompts.
        if class == 0 {
            self.first_token_ratio
                .saturating_record((elapsed as f64 / ideal * 100.0).max(1.0) as u64);
            if arrival.customer != 0 {
                self.others_first_token.saturating_record(elapsed);
            }
        }
        if end.since(arrival.at) <= arrival.deadline {
            self.good[class] += 1;
            self.good_tokens += arrival.prompt_tokens;
        } else {
            self.late += 1;
        }
        // Long and huge prompts.
        if class >= 2 && end.as_micros() as f64 <= self.seconds * 1e6 {
            self.long_tokens += arrival.prompt_tokens;
        }
        if simulation::is_after_fault_start(arrival.at, self.seconds) {
            let fault_start = clock::Moment::from_micros((self.seconds / 3.0 * 1e6) as u64);
            if arrival.at.since(fault_start) > DETECTION_TIME {
                self.after_detection += 1;
                self.on_faulty += u64::from(on_faulty);
            }
        }
    }

    /// Records a request that ended without a complete answer: a refusal, and in runs over HTTP
    /// also a failed call or one with an unknown outcome.
    pub fn record_refusal(
        &mut self,
        arrival: &arrival::Arrival,
        at: clock::Moment,
        reason: outcome::Reason,
    ) {
        let class = document::Class::of(arrival.prompt_tokens) as usize;
        self.offered[class] += 1;
        self.refusals[class] += 1;
        *self.refusal_reasons.entry(reason.as_str()).or_default() += 1;
        self.refusal_time.saturating_record(micros(at.since(arrival.at)));
    }

    /// Returns the ratio of the mean actual to the mean ideal time to first token, averaged over
    /// the length classes with equal weight.
    fn mean_first_token_ratio(&self) -> f64 {
        let classes = self.first_token.iter().zip(self.ideal_first_token);
        let mean_ratio = |(histogram, ideal): (&hdr::Histogram<u64>, f64)| {
            (ideal > 0.0).then(|| histogram.mean() * histogram.len() as f64 / ideal)
        };
        let ratios: Vec<f64> = classes.filter_map(mean_ratio).collect();
        ratios.iter().sum::<f64>() / ratios.len().max(1) as f64
    }

    /// Returns the figures by name; times are in milliseconds.
    pub fn figures(&self) -> collections::BTreeMap<String, f64> {
        let mut figures = collections::BTreeMap::new();
        let mut put = |name: &str, value: f64| figures.insert(name.to_owned(), value);
        for class in document::Class::ALL {
            let index = class as usize;
            let class_name = class.as_str();
            let histogram = &self.first_token[index];
            put(&format!("{class_name}_p50_ms"), histogram.value_at_quantile(0.5) as f64 / 1e3);
            put(&format!("{class_name}_p95_ms"), histogram.value_at_quantile(0.95) as f64 / 1e3);
            put(&format!("{class_name}_p99_ms"), histogram.value_at_quantile(0.99) as f64 / 1e3);
            put(&format!("{class_name}_mean_ms"), histogram.mean() / 1e3);
            put(&format!("{class_name}_offered"), self.offered[index] as f64);
            put(&format!("{class_name}_good"), self.good[index] as f64);
            put(&format!("{class_name}_refused"), self.refusals[index] as f64);
            let late = self.offered[index] - self.good[index] - self.refusals[index];
            put(&format!("{class_name}_late"), late as f64);
        }
        let offered: u64 = self.offered.iter().sum();
        put("first_token_by_length", self.mean_first_token_ratio());
        put("others_p95_ms", self.others_first_token.value_at_quantile(0.95) as f64 / 1e3);
        put("slowdown_mean", self.first_token_ratio.mean() / 100.0);
        put("slowdown_p95", self.first_token_ratio.value_at_quantile(0.95) as f64 / 100.0);
        put("refusal_p50_ms", self.refusal_time.value_at_quantile(0.5) as f64 / 1e3);
        put("refusal_p95_ms", self.refusal_time.value_at_quantile(0.95) as f64 / 1e3);
        put("refusal_p99_ms", self.refusal_time.value_at_quantile(0.99) as f64 / 1e3);
        put("offered", offered as f64);
        put("good", self.good.iter().sum::<u64>() as f64);
        put("good_tokens", self.good_tokens as f64);
        put("late", self.late as f64);
        put("refused", self.refusals.iter().sum::<u64>() as f64);
        put("attempts_per_request", self.attempts as f64 / offered.max(1) as f64);
        put("long_tokens", self.long_tokens as f64);
        put("cached_part", self.cached as f64 / (self.cached + self.prefilled).max(1) as f64);
        put("believed_part", self.believed as f64 / (self.cached + self.prefilled).max(1) as f64);
        put("on_faulty_part", self.on_faulty as f64 / self.after_detection.max(1) as f64);
        put("kv_held", self.kv_held as f64);
        put("tickets_held", self.tickets_held as f64);
        for (reason, count) in &self.refusal_reasons {
            put(&format!("refused_{reason}"), *count as f64);
        }
        figures.values_mut().for_each(|value| *value = round_figure(*value));
        figures
    }
}

/// Rounds to four decimal places, finer than the spread between runs.
fn round_figure(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

/// Summary of all runs of one scenario under one policy.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy, with the safeguards that were turned off.
    pub policy: String,
    /// Number of seeds, one run each.
    pub seeds: u64,
    /// Median of each figure over the seeds.
    pub median: collections::BTreeMap<String, f64>,
    /// Minimum of each figure over the seeds.
    pub lowest: collections::BTreeMap<String, f64>,
    /// Maximum of each figure over the seeds.
    pub highest: collections::BTreeMap<String, f64>,
}

/// Summarizes the runs of all seeds.
pub fn summarize(scenario: &str, policy: &str, runs: &[Tally]) -> Row {
    let mut values: collections::BTreeMap<String, Vec<f64>> = collections::BTreeMap::new();
    for (name, value) in runs.iter().flat_map(Tally::figures) {
        values.entry(name).or_default().push(value);
    }
    for list in values.values_mut() {
        // Refusal reasons that did not occur in a run are absent from its figures and count as 0.
        list.resize(runs.len(), 0.0);
        list.sort_by(f64::total_cmp);
    }
    let pick = |index: fn(usize) -> usize| {
        values.iter().map(|(name, list)| (name.clone(), list[index(list.len())])).collect()
    };
    Row {
        scenario: scenario.to_owned(),
        policy: policy.to_owned(),
        seeds: runs.len() as u64,
        median: pick(|count| count / 2),
        lowest: pick(|_| 0),
        highest: pick(|count| count - 1),
    }
}

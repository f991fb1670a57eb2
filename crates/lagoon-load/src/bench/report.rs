//! What callers got in one run, and medians over seeds.

use std::collections;

use hdrhistogram as hdr;
use lagoonline::clock;
use lagoonline::control::document;
use lagoonline::outcome;
use serde::Serialize;

use super::arrival;
use super::world;

/// Longest time a histogram tells apart, in microseconds.
const LONGEST: u64 = 3_600_000_000;
/// Time after a fault in which its load may still go to a slow engine.
const SHED: clock::Span = clock::Span::from_secs(2);

/// Counts of one run.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Time to first token by length class, in microseconds.
    pub first_token: [hdr::Histogram<u64>; 4],
    /// The same of short prompts of all customers but the first.
    pub others: hdr::Histogram<u64>,
    /// Sum of the ideal times to first token by class, in microseconds.
    pub ideal: [f64; 4],
    /// Time to first token over the ideal one of short prompts, in hundredths.
    pub slowdown: hdr::Histogram<u64>,
    /// Time to a refusal, in microseconds.
    pub refusal: hdr::Histogram<u64>,
    /// Requests by class.
    pub offered: [u64; 4],
    /// Answers within the deadline by class.
    pub good: [u64; 4],
    /// Answers after the deadline.
    pub late: u64,
    /// Refusals by reason.
    pub reasons: collections::BTreeMap<&'static str, u64>,
    /// Refusals by class.
    pub refusals: [u64; 4],
    /// Dispatches.
    pub attempts: u64,
    /// Prompt tokens of long and huge answers that ended within the time of arrivals.
    pub long_tokens: u64,
    /// Prompt tokens of all good answers.
    pub good_tokens: u64,
    /// Prompt tokens prefilled, and found in caches.
    pub prefilled: u64,
    /// Prompt tokens found in caches.
    pub cached: u64,
    /// Requests answered by the faulty engine that arrived later than two seconds after the fault.
    pub on_faulty: u64,
    /// Requests that arrived later than two seconds after the fault.
    pub after_fault: u64,
    /// KV memory still held at the end.
    pub kv_held: u64,
    /// Tickets still held at the end.
    pub tickets_held: usize,
    seconds: f64,
}

fn histogram() -> hdr::Histogram<u64> {
    // Bounds are constants that the library accepts.
    hdr::Histogram::new_with_bounds(1, LONGEST, 3).expect("constant bounds")
}

fn micros(span: clock::Span) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(LONGEST).clamp(1, LONGEST)
}

impl Tally {
    /// Nothing yet.
    pub fn new(seconds: f64) -> Self {
        Tally {
            first_token: [(); 4].map(|()| histogram()),
            ideal: [0.0; 4],
            others: histogram(),
            slowdown: histogram(),
            refusal: histogram(),
            offered: [0; 4],
            good: [0; 4],
            late: 0,
            reasons: collections::BTreeMap::new(),
            refusals: [0; 4],
            attempts: 0,
            long_tokens: 0,
            good_tokens: 0,
            prefilled: 0,
            cached: 0,
            on_faulty: 0,
            after_fault: 0,
            kv_held: 0,
            tickets_held: 0,
            seconds,
        }
    }

    /// An answer came whole.
    pub fn done(
        &mut self,
        arrival: &arrival::Arrival,
        first: clock::Moment,
        end: clock::Moment,
        on_faulty: bool,
    ) {
        let class = document::Class::of(arrival.tokens) as usize;
        self.offered[class] += 1;
        let took = micros(first.since(arrival.at));
        self.first_token[class].saturating_record(took);
        let ideal = arrival.tokens as f64 / super::scenario::RATE * 1e6;
        self.ideal[class] += ideal;
        if class == 0 {
            self.slowdown.saturating_record((took as f64 / ideal * 100.0).max(1.0) as u64);
            if arrival.customer != 0 {
                self.others.saturating_record(took);
            }
        }
        if end.since(arrival.at) <= arrival.deadline {
            self.good[class] += 1;
            self.good_tokens += arrival.tokens;
        } else {
            self.late += 1;
        }
        if class >= 2 && end.as_micros() as f64 <= self.seconds * 1e6 {
            self.long_tokens += arrival.tokens;
        }
        if world::in_fault(arrival.at, self.seconds) {
            let third = clock::Moment::from_micros((self.seconds / 3.0 * 1e6) as u64);
            if arrival.at.since(third) > SHED {
                self.after_fault += 1;
                self.on_faulty += u64::from(on_faulty);
            }
        }
    }

    /// The caller was told that there will be no answer.
    pub fn refused(
        &mut self,
        arrival: &arrival::Arrival,
        at: clock::Moment,
        reason: outcome::Reason,
    ) {
        let class = document::Class::of(arrival.tokens) as usize;
        self.offered[class] += 1;
        self.refusals[class] += 1;
        *self.reasons.entry(reason.as_str()).or_default() += 1;
        self.refusal.saturating_record(micros(at.since(arrival.at)));
    }

    /// Mean time to first token over the ideal one, each length class counted alike.
    fn first_token_by_length(&self) -> f64 {
        let classes = self.first_token.iter().zip(self.ideal);
        let stretch = |(histogram, ideal): (&hdr::Histogram<u64>, f64)| {
            (ideal > 0.0).then(|| histogram.mean() * histogram.len() as f64 / ideal)
        };
        let stretches: Vec<f64> = classes.filter_map(stretch).collect();
        stretches.iter().sum::<f64>() / stretches.len().max(1) as f64
    }

    /// The figures by name; times in milliseconds.
    pub fn figures(&self) -> collections::BTreeMap<String, f64> {
        let mut figures = collections::BTreeMap::new();
        let mut put = |name: &str, value: f64| figures.insert(name.to_owned(), value);
        for class in document::Class::ALL {
            let index = class as usize;
            let word = class.as_str();
            let histogram = &self.first_token[index];
            put(&format!("{word}_p50_ms"), histogram.value_at_quantile(0.5) as f64 / 1e3);
            put(&format!("{word}_p95_ms"), histogram.value_at_quantile(0.95) as f64 / 1e3);
            put(&format!("{word}_p99_ms"), histogram.value_at_quantile(0.99) as f64 / 1e3);
            put(&format!("{word}_mean_ms"), histogram.mean() / 1e3);
            put(&format!("{word}_offered"), self.offered[index] as f64);
            put(&format!("{word}_good"), self.good[index] as f64);
            put(&format!("{word}_refused"), self.refusals[index] as f64);
            let late = self.offered[index] - self.good[index] - self.refusals[index];
            put(&format!("{word}_late"), late as f64);
        }
        let offered: u64 = self.offered.iter().sum();
        put("first_token_by_length", self.first_token_by_length());
        put("others_p95_ms", self.others.value_at_quantile(0.95) as f64 / 1e3);
        put("slowdown_mean", self.slowdown.mean() / 100.0);
        put("slowdown_p95", self.slowdown.value_at_quantile(0.95) as f64 / 100.0);
        put("refusal_p50_ms", self.refusal.value_at_quantile(0.5) as f64 / 1e3);
        put("refusal_p95_ms", self.refusal.value_at_quantile(0.95) as f64 / 1e3);
        put("refusal_p99_ms", self.refusal.value_at_quantile(0.99) as f64 / 1e3);
        put("offered", offered as f64);
        put("good", self.good.iter().sum::<u64>() as f64);
        put("good_tokens", self.good_tokens as f64);
        put("late", self.late as f64);
        put("refused", self.refusals.iter().sum::<u64>() as f64);
        put("attempts_per_request", self.attempts as f64 / offered.max(1) as f64);
        put("long_tokens", self.long_tokens as f64);
        put("cached_part", self.cached as f64 / (self.cached + self.prefilled).max(1) as f64);
        put("on_faulty_part", self.on_faulty as f64 / self.after_fault.max(1) as f64);
        put("kv_held", self.kv_held as f64);
        put("tickets_held", self.tickets_held as f64);
        for (reason, count) in &self.reasons {
            put(&format!("refused_{reason}"), *count as f64);
        }
        figures.values_mut().for_each(|value| *value = rounded(*value));
        figures
    }
}

/// Four decimal places, more than the runs' spread tells apart.
fn rounded(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}

/// All runs of one scenario under one policy.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The scenario.
    pub scenario: String,
    /// The policy, with what was turned off.
    pub policy: String,
    /// Seeds run.
    pub seeds: u64,
    /// Median of each figure over the seeds.
    pub median: collections::BTreeMap<String, f64>,
    /// Lowest of each figure.
    pub lowest: collections::BTreeMap<String, f64>,
    /// Highest of each figure.
    pub highest: collections::BTreeMap<String, f64>,
}

/// Puts the runs of all seeds together.
pub fn row(scenario: &str, policy: &str, runs: &[Tally]) -> Row {
    let mut values: collections::BTreeMap<String, Vec<f64>> = collections::BTreeMap::new();
    for (name, value) in runs.iter().flat_map(Tally::figures) {
        values.entry(name).or_default().push(value);
    }
    for list in values.values_mut() {
        // A figure that a run lacks is a count of nothing.
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

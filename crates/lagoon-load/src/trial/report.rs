//! What a trial found: measures, counts, and the checks that decide its exit code.

use std::collections;
use std::fmt;
use std::time;

use serde::Serialize;

use super::call;
use super::plan;
use super::world;

/// Time to first token of one length class, in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Class {
    /// Length of the prompts, in tokens.
    pub tokens: u64,
    /// Answers measured.
    pub count: usize,
    /// Half were faster.
    pub p50_ms: f64,
    /// 95 of 100 were faster.
    pub p95_ms: f64,
}

/// How the calls ended.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Whole and their own.
    pub done: usize,
    /// Told that they did not run.
    pub not_run: usize,
    /// Told that they may have run.
    pub unknown: usize,
    /// Ended after their deadline.
    pub past_deadline: usize,
    /// Broke off without a word, or lacked a part.
    pub cut: usize,
    /// Bookings that ran more than once.
    pub doubled: usize,
    /// Text of another answer.
    pub crossed: usize,
    /// Told that they did not run, and a stand-in's record says that they did.
    pub false_not_run: usize,
    /// Bookings told done that no record has.
    pub false_done: usize,
}

/// What a trial found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Time to first token by length class.
    pub first_token: Vec<Class>,
    /// Time between tokens that 95 of 100 kept to, in milliseconds.
    pub between_tokens_p95_ms: f64,
    /// p95 time to first token of short prompts beside long ones over that alone.
    pub short_slowdown: f64,
    /// How the calls ended.
    pub counts: Counts,
    /// Failed calls by error code.
    pub codes: collections::BTreeMap<String, usize>,
    /// KV memory that engines did not get back, in bytes.
    pub engine_bytes_not_returned: u64,
    /// Requests that the drained entry host still had at the end.
    pub drained_host_active: usize,
}

impl Report {
    pub(super) fn new(
        results: &[call::Result],
        world: &world::World,
        settled: world::Settled,
    ) -> Self {
        let short = |alone| {
            let matching = results.iter().filter(move |result| {
                result.call.alone == alone
                    && matches!(result.call.kind, plan::Kind::Prompt { class: 0, .. })
            });
            quantile(matching.filter_map(|result| result.first_token).collect(), 0.95)
        };
        let gaps = results.iter().flat_map(|result| result.gaps.iter().copied()).collect();
        let mut codes = collections::BTreeMap::new();
        for result in results.iter().filter(|result| !result.code.is_empty()) {
            *codes.entry(result.code.clone()).or_default() += 1;
        }
        Report {
            first_token: (0..plan::LENGTHS.len()).map(|class| measure(results, class)).collect(),
            between_tokens_p95_ms: quantile(gaps, 0.95),
            short_slowdown: short(false) / short(true).max(0.001),
            counts: count(results, world),
            codes,
            engine_bytes_not_returned: world.bytes_out(),
            drained_host_active: settled.drained_active,
        }
    }

    /// Whether every check held.
    pub fn holds(&self) -> bool {
        let counts = &self.counts;
        let broken = counts.past_deadline + counts.cut + counts.doubled + counts.crossed;
        let false_words = counts.false_not_run + counts.false_done;
        let measured = self.first_token.iter().all(|class| class.count > 0);
        let returned = self.engine_bytes_not_returned == 0 && self.drained_host_active == 0;
        broken + false_words == 0 && measured && returned && counts.done > 0
    }

    /// The same as one JSON object.
    pub fn json(&self) -> String {
        let mut value = serde_json::to_value(self).unwrap_or_default();
        value["holds"] = self.holds().into();
        value.to_string()
    }
}

fn measure(results: &[call::Result], wanted: usize) -> Class {
    let matching = results.iter().filter(
        |result| matches!(result.call.kind, plan::Kind::Prompt { class, .. } if class == wanted),
    );
    let times: Vec<_> = matching.filter_map(|result| result.first_token).collect();
    Class {
        tokens: plan::LENGTHS[wanted].0,
        count: times.len(),
        p50_ms: quantile(times.clone(), 0.5),
        p95_ms: quantile(times, 0.95),
    }
}

fn quantile(mut times: Vec<time::Duration>, share: f64) -> f64 {
    times.sort();
    let index = (times.len() as f64 * share) as usize;
    let found = times.get(index.min(times.len().saturating_sub(1)));
    found.map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
}

fn count(results: &[call::Result], world: &world::World) -> Counts {
    let engines = world.fleet.engines.iter().map(|engine| engine.node().record());
    let ran_prompts: collections::HashSet<u64> =
        engines.flat_map(|record| record.attempts).map(|attempt| attempt.prompt_hash).collect();
    let mut ran_bookings: collections::HashMap<String, usize> = collections::HashMap::new();
    let services = world.fleet.services.iter().map(|service| service.node().record());
    for call in services.flat_map(|record| record.calls).filter(|call| call.ran) {
        *ran_bookings.entry(call.body_sha256).or_default() += 1;
    }
    let mut counts = Counts::default();
    for result in results {
        let booking = matches!(result.call.kind, plan::Kind::Booking { .. });
        let times = ran_bookings.get(&result.body_sha256).copied().unwrap_or(0);
        let ran = if booking { times > 0 } else { ran_prompts.contains(&result.prompt_hash) };
        match result.end {
            call::End::Done => counts.done += 1,
            call::End::NotRun => counts.not_run += 1,
            call::End::Unknown => counts.unknown += 1,
            call::End::Cut => counts.cut += 1,
            call::End::Crossed => counts.crossed += 1,
        }
        counts.past_deadline += usize::from(result.late);
        counts.doubled += usize::from(booking && times > 1);
        counts.false_not_run += usize::from(result.end == call::End::NotRun && ran);
        counts.false_done += usize::from(result.end == call::End::Done && !ran);
    }
    counts
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for class in &self.first_token {
            let Class { tokens, count, p50_ms, p95_ms } = class;
            write!(f, "first token, {tokens} tokens: ")?;
            writeln!(f, "p50 {p50_ms:.0} ms, p95 {p95_ms:.0} ms ({count} answers)")?;
        }
        writeln!(f, "between tokens: p95 {:.1} ms", self.between_tokens_p95_ms)?;
        writeln!(f, "short beside long against alone: {:.2} times", self.short_slowdown)?;
        let counts = &self.counts;
        write!(f, "done {}, not-run {}, ", counts.done, counts.not_run)?;
        write!(f, "unknown {}, past deadline {}, ", counts.unknown, counts.past_deadline)?;
        write!(f, "cut {}, doubled {}, ", counts.cut, counts.doubled)?;
        writeln!(f, "crossed {}", counts.crossed)?;
        write!(f, "told not-run but ran {}, ", counts.false_not_run)?;
        writeln!(f, "told done but not in a record {}", counts.false_done)?;
        writeln!(f, "failures by code: {:?}", self.codes)?;
        writeln!(f, "engine bytes not returned: {}", self.engine_bytes_not_returned)?;
        writeln!(f, "requests left on the drained host: {}", self.drained_host_active)?;
        write!(f, "{}", if self.holds() { "every check held" } else { "A CHECK FAILED" })
    }
}

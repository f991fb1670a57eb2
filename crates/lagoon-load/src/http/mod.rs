//! Named scenarios over HTTP against entry hosts with stand-in engines, all on loopback.
//!
//! Arrivals are those of [`crate::bench`]: drawn from the seed before the run and open-loop.
//! Latency counts from the time at which a call was scheduled. The fleet is started by
//! [`crate::trial`], with a steward for each entry host.

mod calls;

use std::collections;
use std::io;
use std::sync;
use std::thread;
use std::time;

use lagoon_standin::engine;
use lagoonline::load;

use crate::bench::report;
use crate::bench::scenario;
use crate::trial::caller;
use crate::trial::fleet;

/// The only zone.
const ZONES: [&str; 1] = ["suva"];
/// Number of caller threads.
const CALLER_THREADS: usize = 2;
/// Time after the last response within which every engine must have freed all KV memory.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Engine time of a decode step and the addition per stream, in milliseconds. Prefill steps of
/// the stand-ins, 512 tokens each, take 26 ms, so that decoding costs about a tenth of the prefill
/// capacity.
const DECODE_MS: (f64, f64) = (2.0, 0.05);

/// Maximum prompt length, in tokens. It is low enough that a run of one minute has several prompts
/// over 100,000 tokens, each of which takes an idle engine about 7 s.
const MAX_PROMPT_TOKENS: f64 = 150_000.0;

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Load, fleet and fault.
    pub scenario: scenario::Scenario,
    /// Scheduler settings of every entry host.
    pub load: load::Settings,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Duration of the arrivals, in seconds.
    pub seconds: f64,
}

/// Returns the scenarios that can run over HTTP, all of them in one zone. Those with shared
/// prefixes, rate limits, a crash or a partition run only in the simulation: here every prompt
/// starts differently, the customers' limits are fixed, and the only fault that is injected is a
/// slow engine.
///
/// ```
/// let names = lagoon_load::http::scenarios();
/// assert!(names.iter().any(|scenario| scenario.name == "long-among-short"));
/// assert!(names.iter().all(|scenario| scenario.zones == 1));
/// ```
pub fn scenarios() -> Vec<scenario::Scenario> {
    let names = [
        "alone",
        "long-among-short",
        "burst",
        "even-customers",
        "few-customers",
        "slow-upstream",
        "no-slow-upstream",
        "saturation-0.8",
        "saturation-1.0",
        "saturation-1.2",
        "saturation-2.0",
    ];
    let all = scenario::all().into_iter().filter(|scenario| names.contains(&scenario.name));
    all.map(|scenario| scenario::Scenario { longest_prompt: MAX_PROMPT_TOKENS, ..scenario })
        .collect()
}

/// Runs a scenario and returns its tally.
///
/// # Errors
///
/// A part of the fleet cannot be started or stopped, or a caller thread panicked.
pub fn run(settings: &Settings) -> io::Result<report::Tally> {
    let scenario = &settings.scenario;
    let hosts_in_zone = scenario.hosts;
    let fleet = fleet::start(&fleet::Layout {
        zones: &ZONES,
        hosts: to_usize(scenario.hosts),
        engines: to_usize(scenario.engines),
        engine: engine::Settings {
            prefill_rate: scenario::PREFILL_RATE,
            kv_tokens: scenario::KV_TOKENS,
            slots: to_usize(scenario::SLOTS),
            decode_ms: DECODE_MS.0,
            decode_stream_ms: DECODE_MS.1,
            ..engine::Settings::default()
        },
        load: load::Settings { hosts_in_zone, ..settings.load.clone() },
    })?;
    let arrivals = calls::draw(scenario, settings.seed, settings.seconds);
    let balancer = sync::Arc::new(caller::Balancer::new(fleet.entry_hosts(), fleet::target()));
    let start_time = (time::Instant::now(), time::SystemTime::now());
    let results = thread::scope(|scope| {
        let start = |share| {
            let balancer = balancer.clone();
            scope.spawn(move || caller::run(start_time.0, &balancer, share))
        };
        let callers: Vec<_> =
            calls::split(&arrivals, CALLER_THREADS).into_iter().map(start).collect();
        slow_down(&fleet, settings, start_time.0);
        let mut results = Vec::new();
        for caller in callers {
            let share = caller.join();
            results.extend(share.map_err(|_| io::Error::other("a caller thread panicked"))?);
        }
        Ok::<_, io::Error>(results)
    })?;
    let (unfreed, _) = fleet.wait_until_freed(SETTLE_TIMEOUT);
    let is_faulty = scenario.fault != scenario::Fault::None;
    let faulty = if is_faulty { prompts_on_faulty(&fleet) } else { collections::HashSet::new() };
    let mut tally = calls::tally(&arrivals, &results, start_time.1, settings.seconds, &faulty);
    tally.kv_held = unfreed;
    tally.attempts = count_attempts(&fleet);
    fleet.stop()?;
    Ok(tally)
}

fn to_usize(number: u32) -> usize {
    usize::try_from(number).unwrap_or(1)
}

/// Slows down the first engine after one third of the run, if the scenario has this fault.
fn slow_down(fleet: &fleet::Fleet, settings: &Settings, start_time: time::Instant) {
    let scenario::Fault::Slow(slow) = settings.scenario.fault else { return };
    let at = start_time + time::Duration::from_secs_f64(settings.seconds / 3.0);
    thread::sleep(at.saturating_duration_since(time::Instant::now()));
    let node = fleet.stand_ins.engines[0].node();
    node.set_faults(engine::Faults { slow, ..node.faults() });
}

/// Returns the hashes of the prompts that the first engine, the faulty one, accepted.
fn prompts_on_faulty(fleet: &fleet::Fleet) -> collections::HashSet<u64> {
    let record = fleet.stand_ins.engines[0].node().record();
    record.attempts.iter().map(|attempt| attempt.prompt_hash).collect()
}

/// Returns the number of attempts that the engines accepted.
fn count_attempts(fleet: &fleet::Fleet) -> u64 {
    let records = fleet.stand_ins.engines.iter().map(|engine| engine.node().record());
    records.map(|record| record.attempts.len() as u64).sum()
}

//! Named scenarios by HTTP against entry hosts before stand-in engines, all on loopback.
//!
//! Arrivals are those of [`crate::bench`], drawn from the seed beforehand and made at their times
//! whatever became of earlier ones; latency counts from the time at which a call was meant to be
//! made. Parts are started by [`crate::trial`], with a steward beside each entry host.

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

/// The one zone.
const ZONES: [&str; 1] = ["suva"];
/// Threads of callers.
const CALLERS: usize = 2;
/// Time after the last answer within which every engine must have returned all memory.
const SETTLE: time::Duration = time::Duration::from_secs(15);
/// Engine time of a decode step, and what each further stream adds, in milliseconds. Steps of the
/// prefill take 26 ms, so that decoding costs about a tenth of the capacity for prefill.
const DECODE_MS: (f64, f64) = (2.0, 0.05);

/// Longest prompt, in tokens: so that a run of a minute has several over 100,000, each of which
/// takes an engine some 7 s alone.
const LONGEST: f64 = 150_000.0;

/// One run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What comes and what goes wrong.
    pub scenario: scenario::Scenario,
    /// The decisions of every entry host.
    pub load: load::Settings,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Seconds of arrivals.
    pub seconds: f64,
}

/// The scenarios that one zone on one machine can play.
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
    all.map(|scenario| scenario::Scenario { longest_prompt: LONGEST, ..scenario }).collect()
}

/// Plays one run and tells what callers got.
///
/// # Errors
///
/// A part could not be started, or a thread failed.
pub fn run(settings: &Settings) -> io::Result<report::Tally> {
    let scenario = &settings.scenario;
    let hosts_in_zone = scenario.hosts;
    let fleet = fleet::start(&fleet::Shape {
        zones: &ZONES,
        hosts: count(scenario.hosts),
        engines: count(scenario.engines),
        engine: engine::Settings {
            prefill_rate: scenario::PREFILL_RATE,
            kv_tokens: scenario::KV_TOKENS,
            slots: count(scenario::SLOTS),
            decode_ms: DECODE_MS.0,
            decode_stream_ms: DECODE_MS.1,
            ..engine::Settings::default()
        },
        load: load::Settings { hosts_in_zone, ..settings.load.clone() },
    })?;
    let arrivals = calls::draw(scenario, settings.seed, settings.seconds);
    let balancer = sync::Arc::new(caller::Balancer::new(fleet.entry_hosts(), fleet::target()));
    let began = (time::Instant::now(), time::SystemTime::now());
    let told = thread::scope(|scope| {
        let start = |share| {
            let balancer = balancer.clone();
            scope.spawn(move || caller::run(began.0, &balancer, share))
        };
        let callers: Vec<_> = calls::split(&arrivals, CALLERS).into_iter().map(start).collect();
        slow_down(&fleet, settings, began.0);
        let mut told = Vec::new();
        for caller in callers {
            let share = caller.join();
            told.extend(share.map_err(|_| io::Error::other("a caller's thread panicked"))?);
        }
        Ok::<_, io::Error>(told)
    })?;
    let (left, _) = fleet.wait_for_memory(SETTLE);
    let is_faulty = scenario.fault != scenario::Fault::None;
    let faulty = if is_faulty { on_faulty(&fleet) } else { collections::HashSet::new() };
    let mut tally = calls::tally(&arrivals, &told, began.1, settings.seconds, &faulty);
    tally.kv_held = left;
    tally.attempts = attempts(&fleet);
    fleet.stop()?;
    Ok(tally)
}

fn count(number: u32) -> usize {
    usize::try_from(number).unwrap_or(1)
}

/// At a third of the run the first engine becomes slow, if that is what goes wrong.
fn slow_down(fleet: &fleet::Fleet, settings: &Settings, began: time::Instant) {
    let scenario::Fault::Slow(slow) = settings.scenario.fault else { return };
    let at = began + time::Duration::from_secs_f64(settings.seconds / 3.0);
    thread::sleep(at.saturating_duration_since(time::Instant::now()));
    let node = fleet.stand_ins.engines[0].node();
    node.set_faults(engine::Faults { slow, ..node.faults() });
}

/// Hashes of the prompts that the first engine accepted.
fn on_faulty(fleet: &fleet::Fleet) -> collections::HashSet<u64> {
    let record = fleet.stand_ins.engines[0].node().record();
    record.attempts.iter().map(|attempt| attempt.prompt_hash).collect()
}

/// Attempts that all engines accepted.
fn attempts(fleet: &fleet::Fleet) -> u64 {
    let records = fleet.stand_ins.engines.iter().map(|engine| engine.node().record());
    records.map(|record| record.attempts.len() as u64).sum()
}

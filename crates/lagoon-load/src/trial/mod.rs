//! The main job on embedded stand-ins: three zones, mixed lengths, a few faults, in one process.
//!
//! `plan` says what callers ask and when, `fleet` starts everything on loopback, `fault` does the
//! damage, `caller` asks and checks each answer, `verdict` compares what callers were told with the
//! stand-ins' own records, `report` prints it. No check reads a counter of lagoonline.

pub(crate) mod caller;
mod fault;
pub(crate) mod fleet;
pub(crate) mod plan;
mod report;
pub(crate) mod verdict;

use std::io;
use std::sync;
use std::thread;
use std::time;

pub use report::Report;

/// How long a trial takes and what it asks.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seconds of arrivals: short requests alone, then all lengths, then with faults.
    pub seconds: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Model calls a second.
    pub rate: f64,
    /// Bookings a second.
    pub bookings: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { seconds: 32.0, seed: 1, rate: 40.0, bookings: 10.0 }
    }
}

/// Time after the last arrival within which every engine must have returned all memory.
const SETTLE: time::Duration = time::Duration::from_secs(15);
/// Threads of callers.
const CALLERS: usize = 3;

/// Runs a trial.
///
/// # Errors
///
/// A process part could not be started, or a thread failed.
pub fn run(settings: &Settings) -> io::Result<Report> {
    let fleet = fleet::start(&fleet::Shape::default())?;
    let plan = plan::new(settings);
    let began = time::Instant::now();
    let balancer = sync::Arc::new(caller::Balancer::new(fleet.entry_hosts(), fleet::target()));
    let faults = (settings.seconds * plan::CALM, settings.seconds);
    let mut results = Vec::new();
    thread::scope(|scope| {
        let callers: Vec<_> = plan
            .split(CALLERS)
            .into_iter()
            .map(|share| {
                let balancer = balancer.clone();
                scope.spawn(move || caller::run(began, &balancer, share))
            })
            .collect();
        fault::run(&fleet, &balancer, began, faults);
        for caller in callers {
            let share =
                caller.join().map_err(|_| io::Error::other("a caller's thread panicked"))?;
            results.extend(share);
        }
        Ok::<_, io::Error>(())
    })?;
    let (bytes_left, settled) = fleet.wait_for_memory(SETTLE);
    log::info!("memory settled in {} ms", settled.as_millis());
    for told in results.iter().filter(|told| told.outcome.as_deref() != Some("done")) {
        log::info!("{told:?}");
    }
    let record = fleet.record(bytes_left);
    fleet.stop()?;
    Ok(report::Report::new(settings, &results, &verdict::judge(&results, &record), settled))
}

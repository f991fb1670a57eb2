//! End-to-end trial on embedded stand-ins in one process: three zones, mixed prompt lengths and a
//! few faults.
//!
//! `plan` draws the calls, `fleet` starts all parts on loopback, `fault` injects the faults,
//! `caller` makes the calls and checks each response, `verdict` compares the outcomes that callers
//! received with the stand-ins' own records, and `report` prints the result. No check relies on a
//! counter of lagoonline.

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

/// Duration and load of a trial.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Duration of the arrivals in seconds: short prompts alone, then all lengths, then all lengths
    /// with faults.
    pub seconds: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Model calls per second.
    pub rate: f64,
    /// Bookings per second.
    pub bookings: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { seconds: 32.0, seed: 1, rate: 40.0, bookings: 10.0 }
    }
}

/// Time after the last response within which every engine must have freed all KV memory.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Number of caller threads.
const CALLER_THREADS: usize = 3;

/// Runs a trial.
///
/// # Errors
///
/// A part of the fleet cannot be started or stopped, or a caller thread panicked.
pub fn run(settings: &Settings) -> io::Result<Report> {
    let fleet = fleet::start(&fleet::Layout::default())?;
    let plan = plan::draw(settings);
    let start_time = time::Instant::now();
    let balancer = sync::Arc::new(caller::Balancer::new(fleet.entry_hosts(), fleet::target()));
    let fault_period = (settings.seconds * plan::FAULTS_START, settings.seconds);
    let mut results = Vec::new();
    thread::scope(|scope| {
        let callers: Vec<_> = plan
            .split(CALLER_THREADS)
            .into_iter()
            .map(|share| {
                let balancer = balancer.clone();
                scope.spawn(move || caller::run(start_time, &balancer, share))
            })
            .collect();
        fault::run(&fleet, &balancer, start_time, fault_period);
        for caller in callers {
            let share = caller.join().map_err(|_| io::Error::other("a caller thread panicked"))?;
            results.extend(share);
        }
        Ok::<_, io::Error>(())
    })?;
    let (unfreed_bytes, settled) = fleet.wait_until_freed(SETTLE_TIMEOUT);
    log::info!("memory settled in {} ms", settled.as_millis());
    for result in results.iter().filter(|result| result.outcome.as_deref() != Some("done")) {
        log::info!("{result:?}");
    }
    let record = fleet.record(unfreed_bytes);
    fleet.stop()?;
    Ok(report::Report::new(settings, &results, &verdict::evaluate(&results, &record), settled))
}

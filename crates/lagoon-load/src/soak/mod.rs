//! Soak test: a long run against a fleet of processes that an external script starts, kills and
//! pauses.
//!
//! `plan` draws the calls, `fault` sets the stand-ins' fault switches over HTTP, `notes` reads
//! which entry hosts were killed or paused meanwhile, and `remote` reads the stand-ins' records.
//! Callers and checks are those of [`crate::trial`]. No check relies on a counter of lagoonline.

mod fault;
pub mod notes;
mod plan;
mod remote;
mod report;
mod settings;

use std::fs;
use std::io;
use std::sync;
use std::thread;
use std::time;

pub use report::{Disruption, Report};
pub use settings::Settings;

use crate::trial::caller;
use crate::trial::verdict;

/// Time after the last response within which every engine must have freed all KV memory.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Number of caller threads.
const CALLER_THREADS: usize = 2;

/// Runs a soak.
///
/// # Errors
///
/// The fleet's settings, the notes or the stand-ins' records cannot be read, or a caller thread
/// panicked.
pub fn run(settings: &Settings) -> io::Result<Report> {
    let fleet = settings::Fleet::read(&settings.fleet)?;
    let target = caller::Target {
        keys: settings.keys.clone(),
        model: settings.model.clone(),
        booking_path: format!("services/{}/bookings", settings.service),
        retry_elsewhere: true,
    };
    let balancer = sync::Arc::new(caller::Balancer::new(fleet.hosts.clone(), target));
    let mut shares = vec![Vec::new(); CALLER_THREADS];
    for (index, call) in plan::draw(settings).into_iter().enumerate() {
        shares[index % CALLER_THREADS].push(call);
    }
    let start_time = time::Instant::now();
    let mut results = Vec::new();
    thread::scope(|scope| {
        let start = |share| {
            let balancer = balancer.clone();
            scope.spawn(move || caller::run(start_time, &balancer, share))
        };
        let callers: Vec<_> = shares.into_iter().map(start).collect();
        fault::run(&fleet, &balancer, start_time, settings.seconds);
        for caller in callers {
            let share = caller.join();
            results.extend(share.map_err(|_| io::Error::other("a caller thread panicked"))?);
        }
        Ok::<_, io::Error>(())
    })?;
    let record = remote::wait_for_record(&fleet, SETTLE_TIMEOUT)?;
    let host_notes =
        notes::parse(&fs::read_to_string(&settings.notes)?).map_err(io::Error::other)?;
    let verdict = verdict::evaluate(&results, &record);
    Ok(Report::new(settings, &results, verdict, &record, &host_notes))
}

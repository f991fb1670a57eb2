//! A long run against a fleet of real processes that somebody else starts, ends and pauses.
//!
//! `plan` says what callers ask, `fault` sets the stand-ins' switches by HTTP, `notes` says which
//! entry hosts were ended or paused meanwhile, `remote` reads the stand-ins' records. Callers and
//! checks are those of [`crate::trial`]. No check reads a counter of lagoonline.

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

pub use report::{Loss, Report};
pub use settings::Settings;

use crate::trial::caller;
use crate::trial::verdict;

/// Time after the last answer within which every engine must have returned all memory.
const SETTLE: time::Duration = time::Duration::from_secs(20);
/// Threads of callers.
const CALLERS: usize = 2;

/// Runs a soak.
///
/// # Errors
///
/// The fleet's settings or the stand-ins' records could not be read, or a thread failed.
pub fn run(settings: &Settings) -> io::Result<Report> {
    let fleet = settings::Fleet::read(&settings.fleet)?;
    let target = caller::Target {
        keys: settings.keys.clone(),
        model: settings.model.clone(),
        booking: format!("services/{}/bookings", settings.service),
        again: true,
    };
    let balancer = sync::Arc::new(caller::Balancer::new(fleet.hosts.clone(), target));
    let mut shares = vec![Vec::new(); CALLERS];
    for (index, call) in plan::draw(settings).into_iter().enumerate() {
        shares[index % CALLERS].push(call);
    }
    let began = time::Instant::now();
    let mut results = Vec::new();
    thread::scope(|scope| {
        let start = |share| {
            let balancer = balancer.clone();
            scope.spawn(move || caller::run(began, &balancer, share))
        };
        let callers: Vec<_> = shares.into_iter().map(start).collect();
        fault::run(&fleet, &balancer, began, settings.seconds);
        for caller in callers {
            let share = caller.join();
            results.extend(share.map_err(|_| io::Error::other("a caller's thread panicked"))?);
        }
        Ok::<_, io::Error>(())
    })?;
    let record = remote::record(&fleet, SETTLE)?;
    let noted = notes::parse(&fs::read_to_string(&settings.notes)?).map_err(io::Error::other)?;
    let verdict = verdict::judge(&results, &record);
    Ok(Report::new(settings, &results, verdict, &record, &noted))
}

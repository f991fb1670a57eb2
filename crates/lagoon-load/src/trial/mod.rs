//! The main job in one process: three zones, mixed lengths, faults, and a check of every answer.
//!
//! What is checked comes from the stand-ins' records and from what callers saw, never from the
//! entry hosts' own counters.

mod call;
mod plan;
mod report;
mod world;

use std::cell;
use std::io;
use std::rc;
use std::time;

pub use report::{Class, Counts, Report};

/// Settings of a trial.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seconds of load.
    pub seconds: u64,
    /// Model requests a second, over all zones.
    pub requests_per_second: f64,
    /// Bookings a second, over all zones.
    pub bookings_per_second: f64,
    /// Seed of arrivals and lengths.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { seconds: 20, requests_per_second: 20.0, bookings_per_second: 6.0, seed: 7 }
    }
}

/// Runs a trial; it takes the load's seconds and up to half a minute more.
///
/// # Errors
///
/// A server could not be started.
///
/// ```no_run
/// use lagoon_load::trial;
/// let report = trial::run(&trial::Settings::default()).unwrap();
/// assert!(report.holds(), "{report}");
/// ```
pub fn run(settings: &Settings) -> io::Result<Report> {
    let world = world::World::start()?;
    let settings = settings.clone();
    let system = ntex::rt::System::new("trial", ntex::rt::DefaultRuntime);
    system.block_on(async move {
        let results = load(&settings, &world).await;
        let settled = world.settle().await;
        Ok(report::Report::new(&results, &world, settled))
    })
}

/// Plays the plan: each call starts at its time, whatever the earlier ones do.
async fn load(settings: &Settings, world: &world::World) -> Vec<call::Result> {
    let plan = plan::Plan::new(settings);
    let start = time::Instant::now();
    let results = rc::Rc::new(cell::RefCell::new(Vec::new()));
    let mut running = Vec::with_capacity(plan.calls.len());
    let mut faults = plan.faults.into_iter().peekable();
    for planned in plan.calls {
        while let Some(fault) = faults.next_if(|fault| fault.at <= planned.at) {
            tokio::time::sleep_until((start + fault.at).into()).await;
            world.play(fault.kind);
        }
        tokio::time::sleep_until((start + planned.at).into()).await;
        let results = results.clone();
        let address = world.host(planned.zone);
        running.push(ntex::rt::spawn(async move {
            let result = call::run(planned, address).await;
            results.borrow_mut().push(result);
        }));
    }
    for fault in faults {
        world.play(fault.kind);
    }
    for call in running {
        if call.await.is_err() {
            log::error!("a call of the trial did not end");
        }
    }
    results.take()
}

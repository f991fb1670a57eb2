//! `lagoon-entry`: the program of an entry host's data path, which schedules and forwards requests.
//!
//! Exit codes: 0 success, 1 failure or a drain that was cut short, 2 invalid arguments or settings.

use std::io;
use std::path;
use std::process;
use std::thread;

use lagoon_net::entry;
use lagoon_net::logs;
use lagoon_net::program;
use lagoon_net::signals;

/// Data path of an entry host.
#[derive(argh::FromArgs)]
struct Arguments {
    /// settings file (JSON)
    #[argh(option)]
    settings: path::PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

const PROGRAM: &str = "lagoon-entry";

fn main() -> process::ExitCode {
    let args: Arguments = match program::arguments(PROGRAM) {
        Ok(args) => args,
        Err(code) => return code,
    };
    let settings = match entry::Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => return program::bad_usage(&error),
    };
    if args.check {
        return process::ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(entry::Ending::Clean) => process::ExitCode::SUCCESS,
        Ok(entry::Ending::Cut(count)) => {
            program::failed(PROGRAM, &format!("the drain was cut short: {count} requests failed"))
        }
        Err(error) => program::failed(PROGRAM, &error),
    }
}

/// Runs the data path until its drain has ended. A thread waits for termination signals: the first
/// starts the drain, the second cuts it short, as does the time limit of the drain.
fn run(settings: entry::Settings) -> io::Result<entry::Ending> {
    logs::start(&settings.logs, PROGRAM)?;
    let (host, zone) = (settings.host.clone(), settings.zone.clone());
    // Registered before the server starts, so that an early signal also starts a drain instead of
    // ending the process.
    let mut terminations = signals::TerminationSignals::new()?;
    let running = entry::start(settings)?;
    log::info!("{host} in {zone} listens on {}", running.address());
    let handle = running.handle();
    thread::spawn(move || {
        terminations.wait();
        handle.drain();
        terminations.wait();
        handle.abort();
    });
    running.wait()
}

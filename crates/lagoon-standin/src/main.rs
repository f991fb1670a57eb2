//! Runs the stand-ins of a fleet: `lagoon-standin --settings FILE [--check]`.
//!
//! Exit codes: 0 success, 1 failure, 2 invalid settings.

use std::path;
use std::process;
use std::thread;

use lagoon_net::{logs, program};
use lagoon_standin::fleet;

/// Stand-ins of a platform, engines and services, with fault switches over HTTP.
#[derive(argh::FromArgs)]
struct Args {
    /// settings file (JSON)
    #[argh(option)]
    settings: path::PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

const PROGRAM: &str = "lagoon-standin";
/// Muted because it repeatedly logs that a stand-in that is down cannot accept connections.
const MUTED_CRATES: [&str; 1] = ["ntex_server"];

fn main() -> process::ExitCode {
    let args: Args = match program::arguments(PROGRAM) {
        Ok(args) => args,
        Err(code) => return code,
    };
    let settings = match program::settings(&args.settings, fleet::Settings::parse) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if args.check {
        return process::ExitCode::SUCCESS;
    }
    let logs = logs::Settings { muted_crates: &MUTED_CRATES, ..logs::Settings::default() };
    if let Err(error) = logs::start(&logs, PROGRAM) {
        return program::failed(PROGRAM, &error);
    }
    match fleet::start(settings) {
        // The stand-ins run on their own threads until a signal ends the process.
        Ok(_fleet) => loop {
            thread::park();
        },
        Err(error) => program::failed(PROGRAM, &error),
    }
}

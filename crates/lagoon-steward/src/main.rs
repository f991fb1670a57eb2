//! `lagoon-steward`: the control process that runs beside `lagoon-entry` on an entry host. It
//! maintains the membership of the fleet, replicates the document of all teams' sections,
//! distributes the loads of upstreams, sends commands to engines, and serves operators.
//!
//! Exit codes: 0 success, 1 failure, 2 invalid arguments or settings.

use std::io;
use std::path;
use std::process;

use lagoon_net::logs;
use lagoon_net::program;
use lagoon_net::steward;
use lagoonline::check;

/// Control process of an entry host.
#[derive(argh::FromArgs)]
struct Arguments {
    /// file of settings, in JSON
    #[argh(option)]
    settings: path::PathBuf,
    /// check the settings and end
    #[argh(switch)]
    check: bool,
}

const PROGRAM: &str = "lagoon-steward";

fn main() -> process::ExitCode {
    let arguments: Arguments = match program::arguments(PROGRAM) {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let parse = |text: &str| check::parse(text, steward::Settings::read);
    let settings = match program::settings(&arguments.settings, parse) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if arguments.check {
        return process::ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => program::failed(PROGRAM, &error),
    }
}

/// Runs the steward. Returns an error if it cannot start, otherwise blocks until its thread ends,
/// which only happens when the steward fails.
fn run(settings: steward::Settings) -> io::Result<()> {
    logs::start(&settings.logs, PROGRAM)?;
    let running = steward::start(settings)?;
    log::info!("listens at {}", running.address());
    running.wait();
    Ok(())
}

//! A fleet's stand-ins: `lagoon-standin --settings FILE [--check]`.
//!
//! Exit codes: 0 good, 1 failed, 2 bad settings.

use std::fs;
use std::path;
use std::process;
use std::thread;

use argh::FromArgs;
use lagoon_standin::fleet;

/// Stand-ins of a platform, engines and services, with fault switches over HTTP.
#[derive(FromArgs)]
struct Args {
    /// settings file (JSON)
    #[argh(option)]
    settings: path::PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

const FAILED: u8 = 1;
const BAD_USAGE: u8 = 2;

fn main() -> process::ExitCode {
    let args: Args = argh::from_env();
    let file = args.settings.display();
    let text = match fs::read_to_string(&args.settings) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{file}: {error}");
            return process::ExitCode::from(BAD_USAGE);
        }
    };
    let settings = match fleet::Settings::parse(&text) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{file}:\n{faults}");
            return process::ExitCode::from(BAD_USAGE);
        }
    };
    if args.check {
        return process::ExitCode::SUCCESS;
    }
    match fleet::start(settings) {
        // The stand-ins serve on their own threads until a signal ends the process.
        Ok(_fleet) => loop {
            thread::park();
        },
        Err(error) => {
            eprintln!("{file}: {error}");
            process::ExitCode::from(FAILED)
        }
    }
}

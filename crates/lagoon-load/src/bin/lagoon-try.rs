//! The main job on embedded stand-ins: `lagoon-try [--json] [--seconds N]`.
//!
//! Exit codes: 0 every check held, 1 one did not, or the trial could not run.

use std::process;

use argh::FromArgs;
use lagoon_load::trial;

/// Serves mixed prompts in three zones on loopback, with faults, and checks what callers got.
#[derive(FromArgs)]
struct Args {
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// seconds of load, 10 to 40 (default 20)
    #[argh(option, default = "20")]
    seconds: u64,
}

fn main() -> process::ExitCode {
    let args: Args = argh::from_env();
    let settings = trial::Settings { seconds: args.seconds.clamp(10, 40), ..Default::default() };
    match trial::run(&settings) {
        Ok(report) => {
            println!("{}", if args.json { report.json() } else { report.to_string() });
            if report.holds() { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("lagoon-try: {error}");
            process::ExitCode::FAILURE
        }
    }
}

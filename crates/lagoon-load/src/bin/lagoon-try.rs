//! End-to-end trial on embedded stand-ins, in one process.

use std::process;

use lagoon_load::trial;
use lagoon_net::logs;
use lagoon_net::program;

/// Serve mixed prompts over three zones on embedded stand-ins, with a few faults, and print the
/// measures. Exit code: 0 only if every check held.
#[derive(argh::FromArgs)]
struct Args {
    /// print one JSON object
    #[argh(switch)]
    json: bool,
    /// seconds of arrivals (default 32, at most 45)
    #[argh(option, default = "32.0")]
    seconds: f64,
    /// level of log lines on standard error (default off: dead stand-ins make ntex report errors)
    #[argh(option, default = "log::LevelFilter::Off")]
    log: log::LevelFilter,
    /// seed of the arrivals (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

/// Allowed duration of the arrivals, in seconds.
const ALLOWED_SECONDS: std::ops::RangeInclusive<f64> = 4.0..=45.0;
const PROGRAM: &str = "lagoon-try";

fn main() -> process::ExitCode {
    let args: Args = match program::arguments(PROGRAM) {
        Ok(args) => args,
        Err(code) => return code,
    };
    if !ALLOWED_SECONDS.contains(&args.seconds) {
        let (min, max) = (ALLOWED_SECONDS.start(), ALLOWED_SECONDS.end());
        return program::bad_usage(&format!("{PROGRAM}: --seconds must be from {min} to {max}"));
    }
    let logs = logs::Settings { level: args.log, ..logs::Settings::default() };
    if let Err(error) = logs::start(&logs, PROGRAM) {
        eprintln!("lagoon-try: logs: {error}");
    }
    let settings =
        trial::Settings { seconds: args.seconds, seed: args.seed, ..trial::Settings::default() };
    let report = match trial::run(&settings) {
        Ok(report) => report,
        Err(error) => return program::failed(PROGRAM, &error),
    };
    if args.json {
        println!("{}", serde_json::json!(report));
    } else {
        println!("{report}");
    }
    if report.holds { process::ExitCode::SUCCESS } else { process::ExitCode::FAILURE }
}

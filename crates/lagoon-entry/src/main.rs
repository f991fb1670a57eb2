//! An entry host: `lagoon-entry --settings FILE [--check]`.
//!
//! Exit codes: 0 good, 1 failed, 2 bad usage or settings.

use std::io;
use std::path;
use std::process;
use std::thread;

use argh::FromArgs;
use lagoon_net::entry;
use lagoon_net::logs;
use lagoon_net::signals;

/// Data path of an entry host.
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
    let args = match read_args() {
        Ok(args) => args,
        Err(code) => return code,
    };
    let settings = match entry::Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return process::ExitCode::from(BAD_USAGE);
        }
    };
    if args.check {
        return process::ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(entry::Ending::Clean) => process::ExitCode::SUCCESS,
        Ok(entry::Ending::Cut(count)) => {
            eprintln!("the drain was cut short: {count} requests failed");
            process::ExitCode::from(FAILED)
        }
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::from(FAILED)
        }
    }
}

/// Like `argh::from_env`, but bad usage exits with 2.
fn read_args() -> Result<Args, process::ExitCode> {
    let texts: Vec<String> = std::env::args().collect();
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    let (name, rest) = texts.split_first().map_or(("lagoon-entry", &[][..]), |(n, r)| (*n, r));
    Args::from_args(&[name], rest).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            process::ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", early.output);
            process::ExitCode::from(BAD_USAGE)
        }
    })
}

fn run(settings: entry::Settings) -> io::Result<entry::Ending> {
    logs::start(&settings.logs, "lagoon-entry")?;
    let (host, zone) = (settings.host.clone(), settings.zone.clone());
    // Before anything can be asked to end: a signal that comes early drains too.
    let mut terminations = signals::Terminations::new()?;
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

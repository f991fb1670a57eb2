//! Control process of an entry host.

use std::fs;
use std::process;

use lagoon_net::logs;
use lagoon_net::steward;

/// Control process of an entry host.
#[derive(argh::FromArgs)]
struct Arguments {
    /// file of settings, in JSON
    #[argh(option)]
    settings: String,
    /// check the settings and end
    #[argh(switch)]
    check: bool,
}

/// Exit code for bad usage or settings; argh's own is 1.
const BAD_USAGE: i32 = 2;

fn arguments() -> Arguments {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match <Arguments as argh::FromArgs>::from_args(&["lagoon-steward"], &words) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            process::exit(0);
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            process::exit(BAD_USAGE);
        }
    }
}

fn read(path: &str) -> Result<steward::Settings, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    let read = lagoonline::check::parse(&text, steward::Settings::read);
    read.map_err(|faults| {
        let lines = faults.0.iter().map(|fault| format!("{path}: {fault}"));
        lines.collect::<Vec<_>>().join("\n")
    })
}

fn main() {
    let arguments = arguments();
    let settings = read(&arguments.settings).unwrap_or_else(|message| {
        eprintln!("{message}");
        process::exit(BAD_USAGE);
    });
    if arguments.check {
        return;
    }
    let result = logs::start(&settings.logs, "lagoon-steward").and_then(|()| {
        let running = steward::start(settings)?;
        log::info!("listens at {}", running.address());
        running.wait();
        Ok(())
    });
    if let Err(error) = result {
        eprintln!("lagoon-steward: {error}");
        process::exit(1);
    }
}

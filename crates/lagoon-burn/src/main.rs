//! `lagoon-burn`: collects scrapes of entry hosts and reports the burn rate of objectives.

use std::fs;
use std::io;
use std::path;
use std::process;
use std::time;

use lagoon_burn::{collect, page, report, store, text};
use lagoon_net::program;
use lagoonline::control::document;
use lagoonline::id;

/// Report on service-level burn, from saved scrapes of the entry hosts' metrics.
/// Exit code: 0 no alert, 1 an alert fires or the report failed, 2 bad usage.
#[derive(argh::FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Collect(Collect),
    Report(Report),
}

/// Scrape entry hosts again and again, and save what they say.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "collect")]
struct Collect {
    /// folder to save scrapes in
    #[argh(option)]
    scrapes: path::PathBuf,
    /// seconds between scrapes (default 15)
    #[argh(option, default = "15")]
    every: u64,
    /// scrapes of each host (default 1)
    #[argh(option, default = "1")]
    times: u32,
    /// entry hosts as NAME=IP:PORT
    #[argh(positional)]
    hosts: Vec<String>,
}

/// Report on saved scrapes.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "report")]
struct Report {
    /// folder of saved scrapes: HOST/SECOND.prom
    #[argh(option)]
    scrapes: path::PathBuf,
    /// a team's section with its objectives, as TEAM=FILE; may be given again
    #[argh(option)]
    section: Vec<String>,
    /// end of the report in seconds since 1970 (default: the last scrape)
    #[argh(option)]
    at: Option<u64>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// also write one HTML page to this file
    #[argh(option)]
    html: Option<path::PathBuf>,
}

const PROGRAM: &str = "lagoon-burn";

/// Exit code when an alert fires, the command fails, or any scrape of `collect` fails. All have the
/// same code because scripts must react to each of them.
const ALERT_OR_FAILURE: u8 = program::FAILED;

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0} is not NAME=VALUE")]
    BadPair(String),
    #[error("{file}: {reason}")]
    Section { file: String, reason: String },
    #[error(transparent)]
    Store(#[from] store::Error),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl Error {
    fn code(&self) -> u8 {
        match self {
            Error::BadPair(_) | Error::Section { .. } => program::BAD_USAGE,
            Error::Store(_) | Error::Io(_) | Error::Json(_) => ALERT_OR_FAILURE,
        }
    }
}

fn main() -> process::ExitCode {
    let args: Arguments = match program::arguments(PROGRAM) {
        Ok(args) => args,
        Err(code) => return code,
    };
    let result = match args.command {
        Command::Collect(collect) => run_collect(collect),
        Command::Report(report) => run_report(&report),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            process::ExitCode::from(error.code())
        }
    }
}

/// Splits `NAME=VALUE`.
fn parse_pair(text: &str) -> Result<(&str, &str), Error> {
    text.split_once('=').ok_or_else(|| Error::BadPair(text.to_owned()))
}

/// Scrapes the hosts and returns the exit code: a failure if any scrape failed.
fn run_collect(args: Collect) -> Result<process::ExitCode, Error> {
    let hosts = args.hosts.iter().map(|text| parse_pair(text));
    let hosts: Vec<(String, String)> =
        hosts.map(|pair| pair.map(to_owned_pair)).collect::<Result<_, _>>()?;
    let system = ntex::rt::System::new(PROGRAM, ntex::rt::DefaultRuntime);
    let complete = system.block_on(collect_all(args, hosts));
    Ok(if complete {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::from(ALERT_OR_FAILURE)
    })
}

fn to_owned_pair((name, value): (&str, &str)) -> (String, String) {
    (name.to_owned(), value.to_owned())
}

/// Scrapes each host `args.times` times. Returns whether every scrape succeeded.
async fn collect_all(args: Collect, hosts: Vec<(String, String)>) -> bool {
    let mut complete = true;
    for round in 0..args.times {
        if round > 0 {
            ntex::time::sleep(time::Duration::from_secs(args.every)).await;
        }
        for (host, address) in &hosts {
            if let Err(error) = collect::save(&args.scrapes, host, address).await {
                eprintln!("{PROGRAM}: {error}");
                complete = false;
            }
        }
    }
    complete
}

/// Reads the section of a team from an argument `TEAM=FILE`.
fn read_section(text: &str) -> Result<document::Section, Error> {
    let (team, file) = parse_pair(text)?;
    let fail = |reason: String| Error::Section { file: file.to_owned(), reason };
    let text = fs::read_to_string(file).map_err(|error| fail(error.to_string()))?;
    // The report does not use the version, which a file does not contain.
    let section = document::Section::parse(id::Team::from(team), id::Version::default(), &text);
    section.map_err(|faults| fail(faults.to_string()))
}

/// Prints the report and returns the exit code: [`ALERT_OR_FAILURE`] if any alert fires.
fn run_report(args: &Report) -> Result<process::ExitCode, Error> {
    let sections = args.section.iter().map(|text| read_section(text));
    let sections: Vec<_> = sections.collect::<Result<_, _>>()?;
    let store = store::Store::read(&args.scrapes)?;
    // Without scrapes, the report only lists what is missing, so its end does not matter.
    let at = args.at.or(store.last_timestamp()).unwrap_or(0);
    let report = report::Report::new(&sections, &store, at);
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", text::render(&report));
    }
    if let Some(file) = &args.html {
        fs::write(file, page::render(&report))?;
    }
    let alert = report.worst_alert().is_some();
    Ok(if alert { process::ExitCode::from(ALERT_OR_FAILURE) } else { process::ExitCode::SUCCESS })
}

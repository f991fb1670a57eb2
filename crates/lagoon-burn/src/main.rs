//! `lagoon-burn`: report on service-level burn.

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
struct Args {
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

/// Exit code when an alert fires, the same as of a failure: scripts look at both.
const ALERT: u8 = program::FAILED;

#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("{0} is not NAME=VALUE")]
    Pair(String),
    #[error("{file}: {why}")]
    Section { file: String, why: String },
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
            Error::Pair(_) | Error::Section { .. } => program::BAD_USAGE,
            Error::Store(_) | Error::Io(_) | Error::Json(_) => ALERT,
        }
    }
}

fn main() -> process::ExitCode {
    let args: Args = match program::arguments(PROGRAM) {
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

fn pair(text: &str) -> Result<(&str, &str), Error> {
    text.split_once('=').ok_or_else(|| Error::Pair(text.to_owned()))
}

fn run_collect(args: Collect) -> Result<process::ExitCode, Error> {
    let hosts = args.hosts.iter().map(|text| pair(text));
    let hosts: Vec<(String, String)> = hosts.map(|pair| pair.map(own)).collect::<Result<_, _>>()?;
    let system = ntex::rt::System::new(PROGRAM, ntex::rt::DefaultRuntime);
    let whole = system.block_on(collect_all(args, hosts));
    Ok(if whole { process::ExitCode::SUCCESS } else { process::ExitCode::from(ALERT) })
}

fn own((name, value): (&str, &str)) -> (String, String) {
    (name.to_owned(), value.to_owned())
}

/// Whether every scrape succeeded.
async fn collect_all(args: Collect, hosts: Vec<(String, String)>) -> bool {
    let mut whole = true;
    for round in 0..args.times {
        if round > 0 {
            ntex::time::sleep(time::Duration::from_secs(args.every)).await;
        }
        for (host, address) in &hosts {
            if let Err(error) = collect::save(&args.scrapes, host, address).await {
                eprintln!("{PROGRAM}: {error}");
                whole = false;
            }
        }
    }
    whole
}

fn read_section(text: &str) -> Result<document::Section, Error> {
    let (team, file) = pair(text)?;
    let fail = |why: String| Error::Section { file: file.to_owned(), why };
    let text = fs::read_to_string(file).map_err(|error| fail(error.to_string()))?;
    let section = document::Section::parse(id::Team::from(team), id::Version::default(), &text);
    section.map_err(|faults| fail(faults.to_string()))
}

fn run_report(args: &Report) -> Result<process::ExitCode, Error> {
    let sections = args.section.iter().map(|text| read_section(text));
    let sections: Vec<_> = sections.collect::<Result<_, _>>()?;
    let store = store::Store::read(&args.scrapes)?;
    let at = args.at.or(store.last_second()).unwrap_or(0);
    let report = report::Report::new(&sections, &store, at);
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", text::write(&report));
    }
    if let Some(file) = &args.html {
        fs::write(file, page::write(&report))?;
    }
    let alert = report.worst_alert().is_some();
    Ok(if alert { process::ExitCode::from(ALERT) } else { process::ExitCode::SUCCESS })
}

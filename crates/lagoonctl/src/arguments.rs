//! Command line arguments. The doc comments are the help texts that `--help` prints.

use std::path;

use argh::FromArgs;

/// Drive a lagoonline fleet.
#[derive(FromArgs)]
pub(crate) struct Arguments {
    /// file of settings, in JSON
    #[argh(option, default = "path::PathBuf::from(\"lagoonctl.json\")")]
    pub(crate) settings: path::PathBuf,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Section(Section),
    Status(Status),
    Drain(Drain),
    Orders(Orders),
    Usage(Usage),
}

/// A team's section of the document.
#[derive(FromArgs)]
#[argh(subcommand, name = "section")]
pub(crate) struct Section {
    #[argh(subcommand)]
    pub(crate) command: SectionCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum SectionCommand {
    Get(Get),
    Check(Check),
    Put(Put),
    Status(SectionStatus),
}

/// Print a section; its version goes to standard error.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct Get {
    #[argh(positional)]
    pub(crate) team: String,
}

/// Check a section against the whole document and show what it would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    #[argh(positional)]
    pub(crate) team: String,
    #[argh(positional)]
    pub(crate) file: String,
    /// version that the file was edited from
    #[argh(option)]
    pub(crate) from: u64,
}

/// Store a section and wait until it is in force in every availability zone.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct Put {
    #[argh(positional)]
    pub(crate) team: String,
    #[argh(positional)]
    pub(crate) file: String,
    /// version that the file was edited from; 0 for a new section
    #[argh(option)]
    pub(crate) from: u64,
    /// longest wait in milliseconds until it is in force everywhere (default 10000)
    #[argh(option, default = "10_000")]
    pub(crate) wait_ms: u64,
}

/// Say where a section's version is in force; exit code 1 when one entry host lacks it.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct SectionStatus {
    #[argh(positional)]
    pub(crate) team: String,
    /// the version (default: the one in force at the steward asked)
    #[argh(option, default = "0")]
    pub(crate) version: u64,
}

/// State of entry hosts and upstreams.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

/// Drain an entry host or an upstream.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    #[argh(positional)]
    pub(crate) name: String,
}

/// Orders to engines: those wanted, given and outstanding.
#[derive(FromArgs)]
#[argh(subcommand, name = "orders")]
pub(crate) struct Orders {}

/// Idle cost.
#[derive(FromArgs)]
#[argh(subcommand, name = "usage")]
pub(crate) struct Usage {
    /// team, customer, model, upstream or day (default: team)
    #[argh(option, default = "String::from(\"team\")")]
    pub(crate) by: String,
    /// first day, YYYY-MM-DD in UTC (default: today)
    #[argh(option)]
    pub(crate) from: Option<String>,
    /// last day (default: the first one)
    #[argh(option)]
    pub(crate) to: Option<String>,
}

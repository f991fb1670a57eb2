//! Runs the commands against the stewards.

use std::fs;
use std::process;
use std::time;

use lagoon_net::operator;
use lagoon_net::program;
use lagoon_net::wire;
use lagoonline::clock;
use lagoonline::control::ledger;

use super::arguments;
use super::date;
use super::print;

/// Exit code of success.
const SUCCESS: u8 = 0;

/// Runs a command and returns its exit code.
pub(crate) async fn run(
    settings: operator::Settings,
    arguments: arguments::Arguments,
) -> process::ExitCode {
    let client = operator::Client::new(settings);
    let json = arguments.json;
    let result = match arguments.command {
        arguments::Command::Section(section) => match section.command {
            arguments::SectionCommand::Get(get) => section_get(&client, get, json).await,
            arguments::SectionCommand::Check(check) => section_check(&client, check, json).await,
            arguments::SectionCommand::Put(put) => section_put(&client, put, json).await,
            arguments::SectionCommand::Status(status) => {
                let result = client.section_status(&status.team, status.version).await;
                result.map(|found| print_section_status(&status.team, &found, json))
            }
        },
        arguments::Command::Status(_) => {
            call_and_print(&client, wire::Verb::Status, String::new(), json).await
        }
        arguments::Command::Drain(drain) => {
            call_and_print(&client, wire::Verb::Drain, drain.name, json).await
        }
        arguments::Command::Orders(_) => {
            call_and_print(&client, wire::Verb::Orders, String::new(), json).await
        }
        arguments::Command::Usage(usage) => match usage_query(&usage) {
            Ok(text) => call_and_print(&client, wire::Verb::Usage, text, json).await,
            Err(message) => {
                eprintln!("{message}");
                return process::ExitCode::from(program::BAD_USAGE);
            }
        },
    };
    let code = result.unwrap_or_else(|error| {
        print::error(&error, json);
        program::FAILED
    });
    process::ExitCode::from(code)
}

/// Validates the arguments of `usage` and returns the query in the format that stewards parse. Days
/// default to today in UTC.
fn usage_query(usage: &arguments::Usage) -> Result<String, String> {
    usage.by.parse::<ledger::Grouping>().map_err(|error| error.to_string())?;
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let today = since_epoch.map_or(0, |since| since.as_secs()) / SECONDS_PER_DAY;
    let day = |text: &Option<String>, default: u64| match text {
        None => Ok(default),
        Some(text) => date::parse(text).ok_or_else(|| format!("{text} is not a day, YYYY-MM-DD")),
    };
    let from = day(&usage.from, today)?;
    let to = day(&usage.to, from)?;
    if to < from {
        return Err("the last day is before the first".to_owned());
    }
    let query = operator::UsageQuery { by: usage.by.clone(), from_day: from, to_day: to };
    Ok(query.text())
}

const SECONDS_PER_DAY: u64 = 86_400;

/// Sends a request with one text argument and prints the response.
async fn call_and_print(
    client: &operator::Client,
    verb: wire::Verb,
    text: String,
    json: bool,
) -> Result<u8, operator::Error> {
    let request = operator::Request { verb: Some(verb), text, ..operator::Request::default() };
    let value = client.call(&request).await?;
    match verb {
        wire::Verb::Usage => print::usage(&value, json),
        wire::Verb::Orders => print::orders(&value, json),
        _ => print::value(&value, json),
    }
    Ok(SUCCESS)
}

/// Reads a file, or prints the error and returns the exit code.
fn read_file(path: &str) -> Result<String, u8> {
    fs::read_to_string(path).map_err(|error| {
        eprintln!("{path}: {error}");
        program::BAD_USAGE
    })
}

async fn section_get(
    client: &operator::Client,
    get: arguments::Get,
    json: bool,
) -> Result<u8, operator::Error> {
    let verb = Some(wire::Verb::SectionGet);
    let request = operator::Request { verb, team: get.team, ..operator::Request::default() };
    let value = client.call(&request).await?;
    if json {
        print::value(&value, true);
    } else {
        println!("{}", value["text"].as_str().unwrap_or_default());
        eprintln!("version {}", value["version"]);
    }
    Ok(SUCCESS)
}

async fn section_check(
    client: &operator::Client,
    check: arguments::Check,
    json: bool,
) -> Result<u8, operator::Error> {
    let text = match read_file(&check.file) {
        Ok(text) => text,
        Err(code) => return Ok(code),
    };
    let verb = Some(wire::Verb::SectionCheck);
    // `version` is the one that the file was edited from.
    let request = operator::Request { verb, team: check.team, version: check.from, text };
    let value = client.call(&request).await?;
    print::changes(&value, json);
    Ok(SUCCESS)
}

async fn section_put(
    client: &operator::Client,
    put: arguments::Put,
    json: bool,
) -> Result<u8, operator::Error> {
    let text = match read_file(&put.file) {
        Ok(text) => text,
        Err(code) => return Ok(code),
    };
    let (verb, team) = (Some(wire::Verb::SectionPut), put.team.clone());
    // `version` is the one that the file was edited from, 0 for a new section.
    let request = operator::Request { verb, team, version: put.from, text };
    let value = client.call(&request).await?;
    let version = value["version"].as_u64().unwrap_or_default();
    eprintln!("stored as version {version}");
    let limit = clock::Span::from_millis(put.wait_ms);
    let status = client.wait_accepted(&put.team, version, limit).await?;
    Ok(print_section_status(&put.team, &status, json))
}

/// Prints where a section's version is in force. Returns the exit code: a failure unless every live
/// entry host reports it in force.
fn print_section_status(team: &str, status: &operator::SectionStatus, json: bool) -> u8 {
    print::section_status(team, status, json);
    if status.accepted { SUCCESS } else { program::FAILED }
}

//! Prints results and errors, as JSON or for people.

use lagoon_net::operator;
use serde_json::json;

use super::date;

/// Prints a value as JSON: on one line, or indented for people.
pub(crate) fn value(value: &serde_json::Value, json: bool) {
    if json {
        println!("{value}");
    } else {
        println!("{value:#}");
    }
}

/// Prints the changes that a section would make, one line for each.
pub(crate) fn changes(value: &serde_json::Value, json: bool) {
    if json {
        return println!("{value}");
    }
    let lines = value["changes"].as_array().into_iter().flatten();
    for line in lines.filter_map(serde_json::Value::as_str) {
        println!("{line}");
    }
}

/// Prints whether a section's version is accepted, which means that every live entry host of every
/// zone reports it in force, and what is missing if not.
pub(crate) fn section_status(team: &str, status: &operator::SectionStatus, json: bool) {
    let operator::SectionStatus { version, accepted, missing } = status;
    if json {
        let value = json!({ "version": version, "accepted": accepted, "missing": missing });
        return println!("{value}");
    }
    if *accepted {
        return println!("accepted: version {version} of {team} is in force in every zone");
    }
    println!("not accepted yet: version {version} of {team} is not in force everywhere");
    for line in missing {
        println!("  {line}");
    }
}

/// Prints why a call failed. If a steward refused it, that is the code and message, and for code
/// `raced` also the changes that another operator stored in the meantime.
pub(crate) fn error(error: &operator::Error, json: bool) {
    if let operator::Error::Refused { code, message, details } = error {
        if json {
            let value = json!({ "error": { "code": code, "message": message, "details": details }});
            return println!("{value}");
        }
        eprintln!("{code}: {message}");
        return print_conflict(details);
    }
    eprintln!("{error}");
}

/// Prints the changes that the details of a `raced` error list. Other errors have no changes.
fn print_conflict(details: &serde_json::Value) {
    if details["changes"].is_array() {
        eprintln!("changed since the version that was edited:");
        for line in details["changes"].as_array().into_iter().flatten() {
            eprintln!("  {}", line.as_str().unwrap_or_default());
        }
    }
}

/// One hour, in milliseconds.
const HOUR_MS: f64 = 3_600_000.0;

/// Prints the usage of accelerators as a table, in accelerator-hours: working time, idle time of
/// engines that are assigned to a team's claim (its reservation of engines for a model), idle time
/// of other engines, and time in which no steward observed the engine.
pub(crate) fn usage(value: &serde_json::Value, json: bool) {
    if json {
        return println!("{value}");
    }
    let by = value["by"].as_str().unwrap_or_default();
    println!(
        "{by:<32} {:>12} {:>14} {:>16} {:>12}",
        "work", "claimed idle", "unclaimed idle", "unobserved"
    );
    for (name, sum) in value["accelerator_ms"].as_object().into_iter().flatten() {
        // Usage by day is keyed by days since the Unix epoch.
        let date_text = name.parse().ok().filter(|_| by == "day").map(date::format);
        let name = date_text.as_ref().unwrap_or(name);
        let hours = |field: &str| sum[field].as_f64().unwrap_or_default() / HOUR_MS;
        let (work, claimed) = (hours("work_ms"), hours("claimed_idle_ms"));
        let (unclaimed, unobserved) = (hours("unclaimed_idle_ms"), hours("unobserved_ms"));
        println!("{name:<32} {work:>12.3} {claimed:>14.3} {unclaimed:>16.3} {unobserved:>12.3}");
    }
}

/// Prints one line for each engine, which is an upstream: its model, the decision on it, the number
/// of commands it was sent, and how many of them were repairs. Operators know these commands as
/// orders. The decision says whether the engine is in the desired state and, if not, what its
/// steward waits for or how the last command ended. A repair is sent to an engine that ignores
/// fencing numbers and is no longer in the desired state, as after a late command of an earlier
/// lease holder.
pub(crate) fn orders(value: &serde_json::Value, json: bool) {
    if json {
        return println!("{value}");
    }
    for line in value["engines"].as_array().into_iter().flatten() {
        let text = |field: &str| line[field].as_str().unwrap_or_default().to_owned();
        let model = line["actual"]["model"].as_str().unwrap_or("?");
        let (name, decision) = (text("upstream"), text("decision"));
        let (sent, repaired) = (&line["sent"], &line["repaired"]);
        println!("{name:<32} {model:<24} {decision} (sent {sent}, repaired {repaired})");
    }
    for zone in value["silent_zones"].as_array().into_iter().flatten() {
        println!("zone {}: no steward answers", zone.as_str().unwrap_or_default());
    }
}

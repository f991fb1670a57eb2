//! What operators see.

use lagoon_net::operator;
use serde_json::json;

/// Prints a value: JSON on one line, or indented for people.
pub(crate) fn value(value: &serde_json::Value, json: bool) {
    if json {
        println!("{value}");
    } else {
        println!("{value:#}");
    }
}

/// Prints the lines of a diff.
pub(crate) fn changes(value: &serde_json::Value, json: bool) {
    if json {
        return println!("{value}");
    }
    let lines = value["changes"].as_array().into_iter().flatten();
    for line in lines.filter_map(serde_json::Value::as_str) {
        println!("{line}");
    }
}

/// Says where a version is in force and what is missing.
pub(crate) fn standing(team: &str, standing: &operator::Standing, json: bool) {
    let operator::Standing { version, accepted, missing } = standing;
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

/// Says why a call failed, with faults or with what another operator changed.
pub(crate) fn error(error: &operator::Error, json: bool) {
    if let operator::Error::Refused { code, message, details } = error {
        if json {
            let value = json!({ "error": { "code": code, "message": message, "details": details }});
            return println!("{value}");
        }
        eprintln!("{code}: {message}");
        return changes_of(details);
    }
    eprintln!("{error}");
}

fn changes_of(details: &serde_json::Value) {
    if details["changes"].is_array() {
        eprintln!("changed since the version that was edited:");
        for line in details["changes"].as_array().into_iter().flatten() {
            eprintln!("  {}", line.as_str().unwrap_or_default());
        }
    }
}

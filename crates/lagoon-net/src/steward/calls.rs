//! Calls of operators, and of stewards of other zones on their behalf.

use std::collections;

use lagoonline::check;
use lagoonline::control::document;
use lagoonline::control::ledger;
use lagoonline::control::replication;
use lagoonline::id;
use serde::{Deserialize, Serialize};
use serde_json::json;
use sha2::Digest;

use super::Context;
use super::core;
use super::memory_sweep;
use super::usage;
use super::zones;
use crate::operator;
use crate::platform;
use crate::wire;

/// Error of a call: a `code` for programs, a `message` for people.
#[derive(Debug)]
struct Failure {
    code: &'static str,
    message: String,
    details: serde_json::Value,
}

impl Failure {
    fn new<M>(code: &'static str, message: M) -> Self
    where
        M: ToString,
    {
        Failure { code, message: message.to_string(), details: serde_json::Value::Null }
    }
}

type Outcome = Result<serde_json::Value, Failure>;

/// Executes a call and sends the reply on its link.
pub(super) async fn handle(context: Context, link: core::LinkId, call: wire::Call) {
    let outcome = dispatch(&context, &call).await;
    let (good, value) = match outcome {
        Ok(value) => (true, value),
        Err(failure) => {
            let error = json!({
                "code": failure.code,
                "message": failure.message,
                "details": failure.details,
            });
            (false, json!({ "error": error }))
        }
    };
    let reply = wire::Reply { id: call.id, good, text: value.to_string() };
    context.core.borrow_mut().send(link, wire::Body::Reply(reply));
}

async fn dispatch(context: &Context, call: &wire::Call) -> Outcome {
    match call.verb() {
        wire::Verb::SectionGet => section_get(context, call).await,
        wire::Verb::SectionCheck => section_check(context, call).await,
        wire::Verb::SectionPut => section_put(context, call).await,
        wire::Verb::SectionStatus => section_status(context, call).await,
        wire::Verb::Status => status(context, call).await,
        wire::Verb::Drain => drain(context, call).await,
        wire::Verb::Orders => orders(context, call).await,
        wire::Verb::Usage => usage_report(context, call).await,
        wire::Verb::Owners => Ok(json!(memory_sweep::owner_statuses(context, &call.text).await)),
        wire::Verb::Unspecified => {
            Err(Failure::new("unknown_call", "this steward does not know the call"))
        }
    }
}

/// Whether `hash` is the hash of an operators' key.
fn is_operator(context: &Context, hash: &document::KeyHash) -> bool {
    context.settings.operator_keys.iter().any(|key| keys_match(key, hash))
}

/// Compares in constant time, so that timing reveals nothing about the key.
fn keys_match(one: &document::KeyHash, other: &document::KeyHash) -> bool {
    use subtle::ConstantTimeEq;
    one.ct_eq(other).into()
}

/// Accepts an operators' key, or a team key of the team's section in force.
fn authorize(context: &Context, call: &wire::Call) -> Result<(), Failure> {
    let hash: document::KeyHash = sha2::Sha256::digest(call.key.as_bytes()).into();
    let core = context.core.borrow();
    let section = core.replica.section(&id::Team::from(call.team.as_str()));
    let keys = section.map(|section| section.body.policy.team_keys.as_slice()).unwrap_or_default();
    if is_operator(context, &hash) || keys.iter().any(|key| keys_match(key, &hash)) {
        return Ok(());
    }
    Err(Failure::new("denied", format!("the key may not act for team {}", call.team)))
}

/// Accepts an operators' key only.
fn authorize_operator(context: &Context, call: &wire::Call) -> Result<(), Failure> {
    let hash: document::KeyHash = sha2::Sha256::digest(call.key.as_bytes()).into();
    if is_operator(context, &hash) {
        return Ok(());
    }
    Err(Failure::new("denied", "the key is not an operators' key"))
}

fn platform(context: &Context) -> Result<&platform::Client, Failure> {
    let none = || Failure::new("no_platform", "this steward has no platform in its settings");
    context.platform.as_ref().ok_or_else(none)
}

/// Converts an error of the document store to the error of a call.
fn store_failure(error: document::StoreError) -> Failure {
    let message = error.to_string();
    let (code, details) = match error {
        document::StoreError::Invalid(check::Faults(faults)) => {
            let fault = |fault: &check::Fault| json!([fault.pointer, fault.reason]);
            ("faulty", json!({ "faults": faults.iter().map(fault).collect::<Vec<_>>() }))
        }
        document::StoreError::Conflict { version, changes } => {
            let changes: Vec<_> = changes.iter().map(ToString::to_string).collect();
            ("raced", json!({ "version": version, "changes": changes }))
        }
        document::StoreError::Table(lagoonline::port::table::Error::Unknown { .. }) => {
            ("unknown", serde_json::Value::Null)
        }
        document::StoreError::Table(_) => ("platform", serde_json::Value::Null),
    };
    Failure { code, message, details }
}

/// Returns the put that a call asks for.
fn put_of(call: &wire::Call) -> document::Put {
    document::Put {
        team: id::Team::from(call.team.as_str()),
        base: id::Version(call.version),
        id: call.put.clone(),
        text: call.text.clone(),
    }
}

/// Returns the newest version and text of the team's section.
async fn section_get(context: &Context, call: &wire::Call) -> Outcome {
    authorize(context, call)?;
    let team = id::Team::from(call.team.as_str());
    // Edits should start from the newest version, so the table is read first. If the platform does
    // not answer, the version in force is returned.
    if let Some(platform) = &context.platform
        && let Ok(Some((version, stored))) = document::read_section(platform, &team).await
    {
        return Ok(json!({ "version": version, "text": stored.text, "source": "platform" }));
    }
    let core = context.core.borrow();
    match core.replica.section(&team) {
        Some(section) => Ok(json!({
            "version": section.version, "text": &*section.text, "source": "in force",
        })),
        None => Ok(json!({ "version": 0, "text": "{}", "source": "none" })),
    }
}

/// Validates a section and returns the changes that it would make.
async fn section_check(context: &Context, call: &wire::Call) -> Outcome {
    authorize(context, call)?;
    let put = put_of(call);
    document::validate(platform(context)?, &put).await.map_err(store_failure)?;
    let current = document::read_section(platform(context)?, &put.team).await;
    let current = current.map_err(|error| store_failure(error.into()))?;
    let text = current.map_or_else(|| "{}".to_owned(), |(_, stored)| stored.text);
    let changes: Vec<_> =
        document::diff(&text, &put.text).iter().map(ToString::to_string).collect();
    Ok(json!({ "changes": changes }))
}

/// Stores a section, and puts it in force here at once.
async fn section_put(context: &Context, call: &wire::Call) -> Outcome {
    authorize(context, call)?;
    if call.put.is_empty() {
        return Err(Failure::new("bad_call", "a put needs an id"));
    }
    let put = put_of(call);
    let version = document::store(platform(context)?, &put).await.map_err(store_failure)?;
    let section = document::Section::parse(put.team.clone(), version, &put.text);
    if let Ok(section) = section {
        context.core.borrow_mut().apply(vec![section], None);
    }
    Ok(json!({ "version": version }))
}

/// Where one version of a section is in force in a zone.
#[derive(Deserialize, Serialize)]
struct ZoneStatus {
    zone: String,
    /// Number of known entry hosts.
    hosts: usize,
    /// Hosts where the version is not in force, with the version they have.
    missing: Vec<(String, u64)>,
}

/// Argument of a call that a steward forwards to another zone: the receiver answers for its own
/// zone only.
const ZONE_ONLY: &str = r#"{"zone_only":true}"#;

/// Returns where a version is in force in this zone, over hosts with a live steward and all others
/// that have a report.
fn zone_status(context: &Context, team: &id::Team, version: id::Version) -> ZoneStatus {
    let core = context.core.borrow();
    let zone = core.zone();
    let live = core.group.live().filter(|member| member.zone == *zone);
    let expected = live.map(|member| (member.host.clone(), member.zone.clone()));
    let expected: collections::BTreeMap<_, _> = expected.collect();
    let reported = core.entry_reports.iter().filter(|(host, _)| !expected.contains_key(*host));
    let hosts = expected.len() + reported.count();
    let missing = core.entry_reports.lagging_hosts(team, version, expected);
    let lagging = |host: &replication::LaggingHost| (host.host.to_string(), host.version.0);
    ZoneStatus { zone: zone.to_string(), hosts, missing: missing.iter().map(lagging).collect() }
}

/// Returns where a version of the team's section is in force, zone by zone. Version 0 stands for
/// the one in force here.
async fn section_status(context: &Context, call: &wire::Call) -> Outcome {
    let team = id::Team::from(call.team.as_str());
    if call.text == ZONE_ONLY {
        let version = id::Version(call.version);
        return serde_json::to_value(zone_status(context, &team, version))
            .map_err(|error| Failure::new("internal", error));
    }
    authorize(context, call)?;
    let in_force = context.core.borrow().replica.version(&team);
    let version = if call.version == 0 { in_force } else { id::Version(call.version) };
    let mut zones = vec![json!(zone_status(context, &team, version))];
    let forwarded = wire::Call {
        version: version.0,
        text: ZONE_ONLY.to_owned(),
        key: String::new(),
        ..call.clone()
    };
    for reply in zones::call_other_zones(context, &forwarded).await {
        let parsed = reply.text.and_then(|text| serde_json::from_str::<ZoneStatus>(&text).ok());
        zones.push(match parsed {
            Some(status) => json!(status),
            None => json!({ "zone": reply.zone.as_str(), "silent": true }),
        });
    }
    let is_done = |zone: &serde_json::Value| zone["missing"].as_array().is_some_and(Vec::is_empty);
    let accepted = zones.iter().all(is_done);
    Ok(json!({ "version": version, "accepted": accepted, "zones": zones }))
}

/// Returns the state of hosts and upstreams, zone by zone.
async fn status(context: &Context, call: &wire::Call) -> Outcome {
    if call.text == ZONE_ONLY {
        return Ok(zone_state(context));
    }
    authorize_operator(context, call)?;
    let forwarded = wire::Call { text: ZONE_ONLY.to_owned(), key: String::new(), ..call.clone() };
    let mut zones = vec![zone_state(context)];
    for reply in zones::call_other_zones(context, &forwarded).await {
        let parsed = reply.text.and_then(|text| serde_json::from_str(&text).ok());
        let silent = || json!({ "zone": reply.zone.as_str(), "silent": true });
        zones.push(parsed.unwrap_or_else(silent));
    }
    Ok(json!({ "zones": zones }))
}

/// Returns the state of this zone's hosts and upstreams.
fn zone_state(context: &Context) -> serde_json::Value {
    let core = context.core.borrow();
    let zone = core.zone();
    let members = core.group.roster().members().filter(|member| member.zone == *zone);
    let host = |member: &lagoonline::control::membership::Member| {
        let report = core.entry_reports.report(&member.host);
        json!({
            "host": member.host.as_str(),
            "steward": if core.group.is_live(&member.host) { "live" } else { "dead" },
            "ready": report.is_some_and(|report| report.ready),
            "draining": report.is_some_and(|report| report.draining),
            "in_flight": report.map(|report| report.in_flight),
            "in_force": report.map(|report| report.in_force.clone()),
        })
    };
    let hosts: Vec<_> = members.map(host).collect();
    let leaving = core.marks.values().filter(|mark| mark.leaving);
    let leaving: Vec<_> = leaving.map(|mark| mark.upstream.as_str()).collect();
    let upstreams: Vec<_> = core
        .loads
        .iter()
        .map(|(name, observed)| {
            let load = &observed.load;
            json!({
                "upstream": name.as_str(), "running": load.running, "waiting": load.waiting,
                "kv_free_tokens": load.kv_free_tokens,
            })
        })
        .collect();
    json!({
        "zone": zone.as_str(), "complete": core.complete, "hosts": hosts,
        "upstreams": upstreams, "leaving": leaving,
    })
}

/// Drains the entry host or upstream that `text` names.
async fn drain(context: &Context, call: &wire::Call) -> Outcome {
    let name = call.text.as_str();
    let upstream = context.core.borrow().fleet.upstream(&id::Upstream::from(name)).cloned();
    if let Some(upstream) = upstream {
        let call = wire::Call { team: upstream.team.to_string(), ..call.clone() };
        authorize(context, &call)?;
        let core = context.core.borrow();
        let known = core.loads.get(&upstream.name);
        let incarnation = known.map_or(0, |known| known.load.incarnation);
        drop(core);
        return Ok(mark_leaving(context, name, incarnation));
    }
    authorize_operator(context, call)?;
    let host = id::Host::from(name);
    let member = context.core.borrow().group.roster().member(&host).cloned();
    let Some(member) = member else {
        let message = format!("no entry host or upstream is {name}");
        return Err(Failure::new("unknown_name", message));
    };
    if member.zone != context.settings.zone {
        let text = zones::call_zone(context, &member.zone, call).await;
        let value = text.and_then(|text| serde_json::from_str(&text).ok());
        return value
            .ok_or_else(|| Failure::new("silent", format!("no answer from {}", member.zone)));
    }
    let report = context.core.borrow().entry_reports.report(&host).cloned();
    let incarnation = report.map_or(0, |report| report.incarnation.0);
    Ok(mark_leaving(context, name, incarnation))
}

/// Marks an incarnation of an upstream or entry host as leaving.
fn mark_leaving(context: &Context, name: &str, incarnation: u64) -> serde_json::Value {
    let mark = wire::Mark { upstream: name.to_owned(), incarnation, leaving: true };
    context.core.borrow_mut().apply_marks(&[mark], None);
    json!({ "draining": name, "incarnation": incarnation })
}

/// Returns the commands to engines of every zone, as each reconciling steward recorded them.
async fn orders(context: &Context, call: &wire::Call) -> Outcome {
    if call.text == ZONE_ONLY {
        let core = context.core.borrow();
        let engines: Vec<_> = core.engine_status.values().cloned().collect();
        return Ok(json!(engines));
    }
    authorize_operator(context, call)?;
    let forwarded = wire::Call { text: ZONE_ONLY.to_owned(), key: String::new(), ..call.clone() };
    let mut engines = Vec::new();
    let mut silent = Vec::new();
    for reply in zones::call_reconcilers(context, &forwarded).await {
        let parsed = reply.text.and_then(|text| serde_json::from_str(&text).ok());
        match parsed {
            Some(serde_json::Value::Array(found)) => engines.extend(found),
            _ => silent.push(reply.zone.to_string()),
        }
    }
    Ok(json!({ "engines": engines, "silent_zones": silent }))
}

/// Sums the idle ledger; `text` is a JSON [`operator::UsageQuery`].
async fn usage_report(context: &Context, call: &wire::Call) -> Outcome {
    authorize_operator(context, call)?;
    let bad = |message: String| Failure::new("bad_call", message);
    let query: operator::UsageQuery =
        serde_json::from_str(&call.text).map_err(|error| bad(error.to_string()))?;
    let grouping = query.by.parse::<ledger::Grouping>().map_err(|error| bad(error.to_string()))?;
    let found = usage::report(platform(context)?, grouping, &query).await;
    let found = found.map_err(|error| store_failure(error.into()))?;
    let usage::Report { sums, rows } = found.ok_or_else(|| {
        let message = format!("more than {} rows: ask for fewer days", usage::MAX_REPORT_ROWS);
        Failure::new("too_much", message)
    })?;
    Ok(json!({
        "by": query.by, "from_day": query.from_day, "to_day": query.to_day, "rows": rows,
        "accelerator_ms": sums,
    }))
}

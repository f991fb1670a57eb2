//! Releases engine memory that dead entry processes still hold. Each engine is swept by the steward
//! that observes it. A holding is a stream, a reservation or an export (KV cache kept until
//! another engine imports it) that the engine keeps in memory for an owner, an incarnation of an
//! entry process.
//!
//! Two stewards that both consider themselves the observer only cost extra calls: both apply the
//! same rules, and releasing a holding twice has no further effect.

use std::collections;
use std::net;
use std::sync::atomic;
use std::time;

use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::owner;
use lagoonline::lifecycle::reap;
use lagoonline::port::hosts::Hosts as _;
use ntex::client;

use super::Context;
use super::core;
use super::observe;
use super::zones;
use crate::engine;
use crate::wire;

/// Timeout of one call to an engine.
const TIMEOUT: time::Duration = time::Duration::from_secs(1);

pub(super) async fn run(context: Context) {
    let client = client::Client::new().await;
    let mut reaper = reap::Reaper::new(context.settings.reap.clone());
    let mut zone_hosts = collections::BTreeSet::new();
    loop {
        let wait = context.settings.sweep_interval.mul_f64(rand::random_range(0.9..1.1));
        tokio::time::sleep(wait).await;
        let now = context.clock.now();
        for (host, status) in zone_owner_statuses(&context).await {
            zone_hosts.insert(host);
            reaper.apply_status(&status, true, now);
        }
        for (upstream, address) in observe::assigned_engines(&context) {
            let listed = engine::holdings(&client, address, &context.settings.zone);
            let Ok(Some(holdings)) = tokio::time::timeout(TIMEOUT, listed).await else { continue };
            let mut remote_owners = reaper.owners_to_query(&holdings, context.clock.now());
            remote_owners.retain(|owner| !zone_hosts.contains(&owner.host));
            query_zones(&context, &mut reaper, &remote_owners).await;
            let released = reaper.sweep(&upstream, &holdings, context.clock.now());
            release(&context, &client, (&upstream, address), &released).await;
        }
    }
}

/// Returns the status of this zone's entry processes.
async fn zone_owner_statuses(context: &Context) -> Vec<(id::Host, owner::Status)> {
    let listed = listed(context).await;
    let core = context.core.borrow();
    let known = |host: &id::Host| match core.group.is_live(host) {
        true => owner::HostState::Live,
        false => {
            owner::HostState::Dead { listed: listed.as_ref().map(|names| names.contains(host)) }
        }
    };
    let reports = core.entry_reports.iter();
    reports
        .map(|(host, report)| (host.clone(), owner::Status::new(host, report, known(host))))
        .collect()
}

/// Returns the hosts on the platform's list. It is read only while a host of this zone is dead.
async fn listed(context: &Context) -> Option<collections::BTreeSet<id::Host>> {
    let all_live = {
        let core = context.core.borrow();
        core.entry_reports.iter().all(|(host, _)| core.group.is_live(host))
    };
    let platform = context.platform.as_ref().filter(|_| !all_live)?;
    let hosts = platform.list().await.ok()?;
    Some(hosts.iter().map(|host| id::Host::from(host.name.as_str())).collect())
}

/// Queries the other zones about owners that are not hosts of this one. An owner that no zone knows
/// is recorded as gone if every zone answered, and as unsure otherwise.
async fn query_zones(
    context: &Context,
    reaper: &mut reap::Reaper,
    remote_owners: &collections::BTreeSet<id::Owner>,
) {
    if remote_owners.is_empty() {
        return;
    }
    let hosts: collections::BTreeSet<_> = remote_owners.iter().map(|owner| &owner.host).collect();
    let text = serde_json::to_string(&hosts).unwrap_or_default();
    let call = wire::Call { verb: wire::Verb::Owners.into(), text, ..wire::Call::default() };
    let replies = zones::call_other_zones(context, &call).await;
    let now = context.clock.now();
    let mut answered = collections::BTreeSet::new();
    let mut known = collections::BTreeSet::new();
    for reply in replies {
        let statuses = reply.text.and_then(|text| serde_json::from_str(&text).ok());
        let Some(statuses): Option<Vec<owner::Status>> = statuses else { continue };
        answered.insert(reply.zone);
        for status in statuses {
            reaper.apply_status(&status, false, now);
            known.extend(status.owner.parse().map(|owner: id::Owner| owner.host));
        }
    }
    let all_answered = other_zones(context).is_subset(&answered);
    for owner in remote_owners.iter().filter(|owner| !known.contains(&owner.host)) {
        if all_answered { reaper.record_gone(owner, now) } else { reaper.record_unsure(owner, now) }
    }
}

/// Returns the zones in the document or the roster, without this one.
fn other_zones(context: &Context) -> collections::BTreeSet<id::Zone> {
    let core = context.core.borrow();
    let named = core.fleet.upstreams.iter().map(|upstream| &upstream.entry.zone);
    let zones = named.chain(core.group.roster().members().map(|member| &member.zone));
    zones.filter(|zone| *zone != core.zone()).cloned().collect()
}

/// Returns the status of the hosts in the JSON list `text`, for a steward of another zone.
pub(super) async fn owner_statuses(context: &Context, text: &str) -> Vec<owner::Status> {
    let hosts: Vec<id::Host> = serde_json::from_str(text).unwrap_or_default();
    let statuses = zone_owner_statuses(context).await.into_iter();
    statuses.filter(|(host, _)| hosts.contains(host)).map(|(_, status)| status).collect()
}

/// Releases holdings of an engine one by one.
async fn release(
    context: &Context,
    client: &client::Client,
    (upstream, address): (&id::Upstream, net::SocketAddr),
    holdings: &[String],
) {
    let counters = context.core.borrow().counters.clone();
    let before = counters.holdings_released.load(atomic::Ordering::Relaxed);
    for holding in holdings.iter().filter_map(|holding| holding.parse().ok()) {
        let done = engine::release(client, address, holding, &context.settings.zone);
        // A holding whose release is not acknowledged is listed again in the next sweep.
        if tokio::time::timeout(TIMEOUT, done).await == Ok(true) {
            core::Counters::add(&counters.holdings_released, 1);
        }
    }
    let released = counters.holdings_released.load(atomic::Ordering::Relaxed) - before;
    if released > 0 {
        log::info!("{upstream} released {released} holdings of dead owners");
    }
}

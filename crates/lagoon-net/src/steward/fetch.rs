//! Reads of the platform: the document, the list of hosts, and the rows that register stewards.

use std::collections;
use std::time;

use lagoonline::clock;
use lagoonline::clock::Clock;
use lagoonline::control::document;
use lagoonline::control::membership;
use lagoonline::control::platform;
use lagoonline::id;
use lagoonline::port::hosts::Hosts;
use lagoonline::port::table;
use serde::{Deserialize, Serialize};

use super::Context;
use super::dial;

/// Key prefix of the rows by which stewards find each other.
const STEWARD_PREFIX: &str = "steward/";

/// Rows read by one scan.
const SCAN_LIMIT: usize = 1_000;

/// Time between two reads of the list of hosts.
const HOSTS_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Role of the one steward of a zone that reads the platform. The name is hashed to choose it.
const FETCHER: &str = "fetcher";

/// Value of the row that registers a steward, as JSON.
#[derive(Deserialize, Serialize)]
struct StewardRow {
    zone: String,
    address: std::net::SocketAddr,
    incarnation: u64,
}

/// Polls the document while this steward is its zone's fetcher or its own document is incomplete.
pub(super) async fn run(context: Context) {
    let Some(platform) = context.platform.clone() else { return };
    let backoff = platform::Backoff::default();
    let mut failures = 0;
    let mut registered = false;
    let mut pending = PendingVersions::new();
    loop {
        if !registered {
            registered = register(&context, &platform).await.is_ok();
        }
        let should_fetch = {
            let core = context.core.borrow();
            !core.complete || core.is_assigned(FETCHER)
        };
        let result =
            if should_fetch { fetch(&context, &platform, &mut pending).await } else { Ok(()) };
        match result {
            Ok(()) => failures = 0,
            Err(error) => {
                if failures == 0 {
                    log::warn!("reading the document failed: {error}");
                }
                failures += 1;
                context.core.borrow_mut().record_platform_failure();
            }
        }
        let wait = if failures == 0 {
            context.settings.poll_interval.mul_f64(rand::random_range(0.9..1.1))
        } else {
            backoff.delay(failures, rand::random()).max(context.settings.poll_interval / 2)
        };
        tokio::time::sleep(wait).await;
    }
}

/// Time for which the fetcher waits for peers to send a version that the head lists.
///
/// The steward that stored the version sends it as a delta of a few hundred bytes, while the table
/// holds full texts only. Without the wait each zone's fetcher reads a section of 260 KB at each
/// edit, which exceeds a host's budget for control traffic. Where no peer has the version, it comes
/// into force that much later.
const PEER_GRACE: clock::Span = clock::Span::from_millis(800);

/// Versions listed by the head and not yet in force, and the time at which each was first seen.
type PendingVersions = collections::BTreeMap<id::Team, (id::Version, clock::Moment)>;

/// Reads the head row, which lists the newest version of each section, and then the sections that
/// are newer there and that no peer sent in time.
async fn fetch<T>(
    context: &Context,
    table: &T,
    pending: &mut PendingVersions,
) -> Result<(), table::Error>
where
    T: table::Table,
{
    let found = document::read_head(table).await?;
    let versions = found.head.versions;
    for (team, version) in &versions {
        let known = context.core.borrow().replica.version(team);
        if known >= *version {
            continue;
        }
        let now = context.clock.now();
        let since = pending.entry(team.clone()).or_insert((*version, now));
        if since.0 < *version {
            *since = (*version, now);
        }
        if known != id::Version(0) && now.since(since.1) < PEER_GRACE {
            continue;
        }
        let Some((version, stored)) = document::read_section(table, team).await? else { continue };
        match document::Section::parse(team.clone(), version, &stored.text) {
            Ok(section) => context.core.borrow_mut().apply(vec![section], None),
            Err(faults) => log::error!("section {team} is invalid: {faults}"),
        }
    }
    context.core.borrow_mut().record_platform_head(versions);
    Ok(())
}

/// Writes this steward's row and adds the stewards in the table to the membership.
async fn register<T>(context: &Context, table: &T) -> Result<(), table::Error>
where
    T: table::Table,
{
    let own = context.core.borrow().group.own().clone();
    let row = StewardRow {
        zone: own.zone.to_string(),
        address: own.address,
        incarnation: own.incarnation.0,
    };
    let value = serde_json::to_string(&row).unwrap_or_default();
    let change = table::Change::Put { key: format!("{STEWARD_PREFIX}{}", own.host), value };
    let transaction = table::Transaction { checks: Vec::new(), changes: vec![change] };
    table.commit(transaction).await?;
    let rows = table.scan(STEWARD_PREFIX, "", SCAN_LIMIT).await?;
    let member = |row: &table::Row| {
        let host = row.key.strip_prefix(STEWARD_PREFIX)?;
        let steward: StewardRow = serde_json::from_str(&row.value).ok()?;
        Some(membership::Member {
            host: id::Host::from(host),
            zone: id::Zone::from(steward.zone),
            address: steward.address,
            incarnation: id::Incarnation(steward.incarnation),
        })
    };
    dial::add_members(context, rows.iter().filter_map(member).collect());
    Ok(())
}

/// Polls the platform's list of hosts while this steward is its zone's fetcher.
pub(super) async fn run_hosts(context: Context) {
    let Some(platform) = context.platform.clone() else { return };
    loop {
        let is_fetcher = context.core.borrow().is_assigned(FETCHER);
        if is_fetcher && let Ok(hosts) = platform.list().await {
            context.core.borrow_mut().apply_host_list(&hosts);
            // Rows that cannot be removed now are retried after the next read.
            let _ = remove_dead(&context, &platform).await;
        }
        tokio::time::sleep(HOSTS_INTERVAL.mul_f64(rand::random_range(0.9..1.1))).await;
    }
}

/// Removes the rows of dead stewards of this zone, so that new stewards do not consider them live.
async fn remove_dead<T>(context: &Context, table: &T) -> Result<(), table::Error>
where
    T: table::Table,
{
    let dead: Vec<membership::Member> = {
        let core = context.core.borrow();
        let own = core.group.dead().filter(|member| member.zone == *core.zone());
        own.filter(|member| !core.removed_rows.contains(&member.host)).cloned().collect()
    };
    for member in dead {
        let key = format!("{STEWARD_PREFIX}{}", member.host);
        let row = table.read(&key).await?;
        let steward =
            row.as_ref().and_then(|row| serde_json::from_str::<StewardRow>(&row.value).ok());
        // A row of a later incarnation belongs to a steward that has restarted.
        let is_outdated =
            steward.is_some_and(|steward| steward.incarnation <= member.incarnation.0);
        if let Some(row) = row.filter(|_| is_outdated) {
            let checks = vec![table::Check { key: key.clone(), version: row.version }];
            let changes = vec![table::Change::Delete { key }];
            table.commit(table::Transaction { checks, changes }).await?;
        }
        context.core.borrow_mut().removed_rows.insert(member.host);
    }
    Ok(())
}

//! The platform's side: the document, the list of hosts, and the stewards' own rows.

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

/// Prefix of the rows by which stewards find each other.
const STEWARD_PREFIX: &str = "steward/";

/// Rows read at once.
const SCAN_LIMIT: usize = 1_000;

/// Time between two reads of the list of hosts.
const HOSTS_PERIOD: time::Duration = time::Duration::from_secs(1);

/// What only the zone's chosen steward does.
const FETCHER: &str = "fetcher";

#[derive(Deserialize, Serialize)]
struct StewardRow {
    zone: String,
    address: std::net::SocketAddr,
    incarnation: u64,
}

/// Watches the document while this steward is its zone's fetcher or knows too little itself.
pub(super) async fn run(context: Context) {
    let Some(platform) = context.platform.clone() else { return };
    let backoff = platform::Backoff::default();
    let mut failures = 0;
    let mut registered = false;
    let mut named = Named::new();
    loop {
        if !registered {
            registered = register(&context, &platform).await.is_ok();
        }
        let wanted = {
            let core = context.core.borrow();
            !core.complete || core.owns(FETCHER)
        };
        let result = if wanted { fetch(&context, &platform, &mut named).await } else { Ok(()) };
        match result {
            Ok(()) => failures = 0,
            Err(error) => {
                if failures == 0 {
                    log::warn!("document is not read: {error}");
                }
                failures += 1;
                context.core.borrow_mut().platform_failed();
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

/// Time for which the fetcher waits for peers to bring a version that the head names.
///
/// The steward that stored it tells it by changes, some hundred bytes; the table has whole texts
/// only. Without the wait each zone's fetcher reads a section of 260 KB at each edit, more than a
/// node's budget. Where no peer has it, the version is in force that much later.
const PEERS_TIME: clock::Span = clock::Span::from_millis(800);

/// Versions that the head named, and since when.
type Named = collections::BTreeMap<id::Team, (id::Version, clock::Moment)>;

async fn fetch<T>(context: &Context, table: &T, named: &mut Named) -> Result<(), table::Error>
where
    T: table::Table,
{
    let whole = document::read_head(table).await?;
    let versions = whole.head.versions;
    for (team, version) in &versions {
        let known = context.core.borrow().replica.version(team);
        if known >= *version {
            continue;
        }
        let now = context.clock.now();
        let since = named.entry(team.clone()).or_insert((*version, now));
        if since.0 < *version {
            *since = (*version, now);
        }
        if known != id::Version(0) && now.since(since.1) < PEERS_TIME {
            continue;
        }
        let Some((version, stored)) = document::read_section(table, team).await? else { continue };
        match document::Section::parse(team.clone(), version, &stored.text) {
            Ok(section) => context.core.borrow_mut().apply(vec![section], None),
            Err(faults) => log::error!("section {team} is not understood: {faults}"),
        }
    }
    context.core.borrow_mut().platform_head(versions);
    Ok(())
}

/// Writes this steward's row and meets the others.
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
        let line: StewardRow = serde_json::from_str(&row.value).ok()?;
        Some(membership::Member {
            host: id::Host::from(host),
            zone: id::Zone::from(line.zone),
            address: line.address,
            incarnation: id::Incarnation(line.incarnation),
        })
    };
    dial::meet(context, rows.iter().filter_map(member).collect());
    Ok(())
}

/// Reads the platform's list of hosts while this steward is its zone's fetcher.
pub(super) async fn run_hosts(context: Context) {
    let Some(platform) = context.platform.clone() else { return };
    loop {
        let is_fetcher = context.core.borrow().owns(FETCHER);
        if is_fetcher && let Ok(lines) = platform.list().await {
            context.core.borrow_mut().take_hosts(&lines);
            // Rows that cannot be removed now are removed a second later.
            let _ = remove_dead(&context, &platform).await;
        }
        tokio::time::sleep(HOSTS_PERIOD.mul_f64(rand::random_range(0.9..1.1))).await;
    }
}

/// Removes the rows of dead stewards of this zone, so that newcomers do not take them for live.
async fn remove_dead<T>(context: &Context, table: &T) -> Result<(), table::Error>
where
    T: table::Table,
{
    let dead: Vec<membership::Member> = {
        let core = context.core.borrow();
        let own = core.group.dead().filter(|member| member.zone == *core.zone());
        own.filter(|member| !core.removed.contains(&member.host)).cloned().collect()
    };
    for member in dead {
        let key = format!("{STEWARD_PREFIX}{}", member.host);
        let row = table.read(&key).await?;
        let line = row.as_ref().and_then(|row| serde_json::from_str::<StewardRow>(&row.value).ok());
        // A row of a later life is that of a host that came back.
        let is_old = line.is_some_and(|line| line.incarnation <= member.incarnation.0);
        if let Some(row) = row.filter(|_| is_old) {
            let checks = vec![table::Check { key: key.clone(), version: row.version }];
            let changes = vec![table::Change::Delete { key }];
            table.commit(table::Transaction { checks, changes }).await?;
        }
        context.core.borrow_mut().removed.insert(member.host);
    }
    Ok(())
}

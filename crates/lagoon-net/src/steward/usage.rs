//! The idle ledger: meters of the engines that this steward observes, and its report.

use std::collections;

use lagoonline::clock::Clock;
use lagoonline::control::ledger;
use lagoonline::id;
use lagoonline::port::table;

use super::Context;
use super::core;
use crate::operator;
use crate::platform;

/// Time between two readings of the meters.
const READING: std::time::Duration = std::time::Duration::from_millis(500);

/// A pause of this process that is long enough for an engine to have done anything meanwhile.
const LONG_PAUSE: std::time::Duration = std::time::Duration::from_secs(3);

/// Reads of an engine's load that must be missed before nobody is said to have seen it.
const MISSED: u32 = 3;

/// Finished rows kept while the table is out: an hour of every engine that one steward observes.
/// Beyond it the oldest are dropped, and the report shows their time as unobserved.
const KEPT_ROWS: usize = 1_024;

/// Rows read at once for a report.
const SCAN_LIMIT: usize = 500;

pub(super) async fn run(context: Context) {
    let Some(platform) = context.platform.clone() else { return };
    let mut meters = collections::HashMap::<id::Upstream, ledger::Meter>::new();
    let mut finished = collections::VecDeque::<(id::Upstream, ledger::Row)>::new();
    let mut last = context.clock.now();
    loop {
        tokio::time::sleep(READING).await;
        // A pause of this process is time that nobody saw, whatever the engine did before.
        let was_paused = context.clock.now().since(last) >= LONG_PAUSE;
        last = context.clock.now();
        read_meters(&context, was_paused, &mut meters, &mut finished);
        while finished.len() > KEPT_ROWS {
            finished.pop_front();
        }
        write_one(&platform, &mut finished).await;
    }
}

/// Advances the meters of the engines owned here; those that moved away are dropped.
fn read_meters(
    context: &Context,
    was_paused: bool,
    meters: &mut collections::HashMap<id::Upstream, ledger::Meter>,
    finished: &mut collections::VecDeque<(id::Upstream, ledger::Row)>,
) {
    let core = context.core.borrow();
    let (wall_ms, now) = (context.clock.wall_millis(), context.clock.now());
    let stale = context.settings.observe_interval * MISSED;
    let accounts = &core.accounts;
    let in_zone = |name: &id::Upstream| {
        core.fleet.upstream(name).is_some_and(|upstream| upstream.entry.zone == *core.zone())
    };
    meters.retain(|name, _| accounts.contains_key(name) && core.owns(name.as_str()));
    for (name, account) in accounts.iter() {
        if !in_zone(name) || !core.owns(name.as_str()) {
            continue;
        }
        let meter = meters.entry(name.clone()).or_insert_with(|| ledger::Meter::new(wall_ms));
        meter.set_attribution(account);
        let is_fresh = |seen: &&core::Observed| !was_paused && now.since(seen.read) < stale;
        let seen = core.loads.get(name).filter(is_fresh);
        let activity = match seen {
            None => ledger::Activity::Unobserved,
            Some(seen) if seen.load.running + seen.load.waiting == 0 => ledger::Activity::Idle,
            Some(_) => ledger::Activity::Working(core.shares()),
        };
        meter.advance(wall_ms, &activity);
        finished.extend(meter.take_finished().into_iter().map(|row| (name.clone(), row)));
    }
}

/// Writes the oldest row; one that fails stays first and is written again.
async fn write_one(
    platform: &platform::Client,
    finished: &mut collections::VecDeque<(id::Upstream, ledger::Row)>,
) {
    let Some((upstream, row)) = finished.front() else { return };
    if ledger::write(platform, upstream, row).await.is_ok() {
        finished.pop_front();
    }
}

/// Most rows summed for one report: a day of 139 engines. Beyond it the answer would outlast the
/// operator's wait and the steward's budget of reads.
pub(super) const MOST_ROWS: usize = 200_000;

/// Pause between two reads of a report: they leave half of this process's budget to the rest.
const PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

/// Sums, and how many rows they are of.
pub(super) struct Report {
    pub(super) sums: collections::BTreeMap<String, ledger::Sum>,
    pub(super) rows: usize,
}

/// Reads the rows of the days asked for and sums them; `None` when they are too many.
///
/// Keys sort by upstream and then by interval, so each upstream's part is read from the first day
/// on, and what follows its last day is skipped.
pub(super) async fn report<T>(
    table: &T,
    grouping: ledger::Grouping,
    days: &operator::UsageQuery,
) -> Result<Option<Report>, table::Error>
where
    T: table::Table,
{
    let per_day = DAY_MS / ledger::INTERVAL_MS;
    let first = days.from_day.saturating_mul(per_day);
    let end = days.to_day.saturating_add(1).saturating_mul(per_day);
    let mut rows = Vec::new();
    let mut after = String::new();
    loop {
        let found = table.scan("usage/", &after, SCAN_LIMIT).await?;
        let Some(last) = found.last() else { break };
        let place = |key: &str| {
            let (name, interval) = key.strip_prefix("usage/")?.rsplit_once('/')?;
            Some((id::Upstream::from(name), interval.parse::<u64>().ok()?))
        };
        after = match place(&last.key) {
            // Just before the first day, or past everything of this upstream.
            Some((name, interval)) if interval < first => ledger::key(&name, first - 1),
            Some((name, interval)) if interval >= end => ledger::key(&name, LAST_INTERVAL),
            _ => last.key.clone(),
        };
        for row in &found {
            let parsed = serde_json::from_str::<ledger::Row>(&row.value).ok();
            let Some(((name, interval), parsed)) = place(&row.key).zip(parsed) else { continue };
            if (first..end).contains(&interval) {
                rows.push((name, parsed));
            }
        }
        if rows.len() > MOST_ROWS {
            return Ok(None);
        }
        tokio::time::sleep(PAUSE).await;
    }
    let sums = ledger::sum(rows.iter().map(|(upstream, row)| (upstream, row)), grouping);
    Ok(Some(Report { sums, rows: rows.len() }))
}

const DAY_MS: u64 = 86_400_000;

/// The highest interval that a key has room for.
const LAST_INTERVAL: u64 = 999_999_999_999;

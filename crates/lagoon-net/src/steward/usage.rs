//! The idle ledger: records how the time of each engine is used, as work for customers, idle time
//! or unobserved time (`lagoonline::control::ledger`). This steward meters the engines that it
//! observes, writes the rows to the table, and sums rows for reports.

use std::collections;

use lagoonline::clock::Clock;
use lagoonline::control::ledger;
use lagoonline::id;
use lagoonline::port::table;

use super::Context;
use super::core;
use crate::operator;
use crate::platform;

/// Time between two advances of the meters.
const METER_INTERVAL: std::time::Duration = std::time::Duration::from_millis(500);

/// Gap between two advances above which the time counts as unobserved: this process was paused, and
/// an engine may have done anything meanwhile.
const MAX_TICK_GAP: std::time::Duration = std::time::Duration::from_secs(3);

/// Reads of an engine's load that are missed before its time counts as unobserved.
const MAX_MISSED_READS: u32 = 3;

/// Finished rows queued while the table is unavailable: at least an hour of every engine that one
/// steward observes. Beyond it the oldest are dropped, and the report shows their time as
/// unobserved.
const MAX_PENDING_ROWS: usize = 1_024;

/// Rows read by one scan of a report.
const SCAN_LIMIT: usize = 500;

pub(super) async fn run(context: Context) {
    let Some(platform) = context.platform.clone() else { return };
    let mut meters = collections::HashMap::<id::Upstream, ledger::Meter>::new();
    let mut finished = collections::VecDeque::<(id::Upstream, ledger::Row)>::new();
    let mut last = context.clock.now();
    loop {
        tokio::time::sleep(METER_INTERVAL).await;
        // While this process was paused nothing was observed, whatever the last load says.
        let was_paused = context.clock.now().since(last) >= MAX_TICK_GAP;
        last = context.clock.now();
        read_meters(&context, was_paused, &mut meters, &mut finished);
        while finished.len() > MAX_PENDING_ROWS {
            finished.pop_front();
        }
        write_one(&platform, &mut finished).await;
    }
}

/// Advances the meters of the engines observed here. Meters of engines that moved to another
/// steward are dropped.
fn read_meters(
    context: &Context,
    was_paused: bool,
    meters: &mut collections::HashMap<id::Upstream, ledger::Meter>,
    finished: &mut collections::VecDeque<(id::Upstream, ledger::Row)>,
) {
    let core = context.core.borrow();
    let (wall_ms, now) = (context.clock.wall_millis(), context.clock.now());
    let stale = context.settings.observe_interval * MAX_MISSED_READS;
    let attributions = &core.attributions;
    let in_zone = |name: &id::Upstream| {
        core.fleet.upstream(name).is_some_and(|upstream| upstream.entry.zone == *core.zone())
    };
    meters.retain(|name, _| attributions.contains_key(name) && core.is_assigned(name.as_str()));
    for (name, attribution) in attributions.iter() {
        if !in_zone(name) || !core.is_assigned(name.as_str()) {
            continue;
        }
        let meter = meters.entry(name.clone()).or_insert_with(|| ledger::Meter::new(wall_ms));
        meter.set_attribution(attribution);
        let is_fresh = |seen: &&core::Observed| !was_paused && now.since(seen.read_at) < stale;
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

/// Writes the oldest row. A row whose write fails stays first in the queue and is retried.
async fn write_one(
    platform: &platform::Client,
    finished: &mut collections::VecDeque<(id::Upstream, ledger::Row)>,
) {
    let Some((upstream, row)) = finished.front() else { return };
    if ledger::write(platform, upstream, row).await.is_ok() {
        finished.pop_front();
    }
}

/// Maximum number of rows summed for one report: a day of 139 engines. Beyond it the call would
/// exceed the operator's timeout and the steward's budget of reads.
pub(super) const MAX_REPORT_ROWS: usize = 200_000;

/// Delay between two scans of a report, which leaves half of this process's budget of reads free.
const SCAN_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

/// Sums of the ledger and the number of rows they cover.
pub(super) struct Report {
    pub(super) sums: collections::BTreeMap<String, ledger::Sum>,
    pub(super) rows: usize,
}

/// Reads the rows of the requested days and sums them; `None` if there are more than
/// [`MAX_REPORT_ROWS`].
///
/// Keys sort by upstream and then by interval, so the scan skips each upstream's rows before the
/// first day and after the last one.
pub(super) async fn report<T>(
    table: &T,
    grouping: ledger::Grouping,
    query: &operator::UsageQuery,
) -> Result<Option<Report>, table::Error>
where
    T: table::Table,
{
    let per_day = DAY_MS / ledger::INTERVAL_MS;
    let first = query.from_day.saturating_mul(per_day);
    let end = query.to_day.saturating_add(1).saturating_mul(per_day);
    let mut rows = Vec::new();
    let mut after = String::new();
    loop {
        let found = table.scan("usage/", &after, SCAN_LIMIT).await?;
        let Some(last) = found.last() else { break };
        let parse_key = |key: &str| {
            let (name, interval) = key.strip_prefix("usage/")?.rsplit_once('/')?;
            Some((id::Upstream::from(name), interval.parse::<u64>().ok()?))
        };
        after = match parse_key(&last.key) {
            // Continues just before the first day, or past all rows of this upstream.
            Some((name, interval)) if interval < first => ledger::key(&name, first - 1),
            Some((name, interval)) if interval >= end => ledger::key(&name, LAST_INTERVAL),
            _ => last.key.clone(),
        };
        for row in &found {
            let parsed = serde_json::from_str::<ledger::Row>(&row.value).ok();
            let Some(((name, interval), parsed)) = parse_key(&row.key).zip(parsed) else {
                continue;
            };
            if (first..end).contains(&interval) {
                rows.push((name, parsed));
            }
        }
        if rows.len() > MAX_REPORT_ROWS {
            return Ok(None);
        }
        tokio::time::sleep(SCAN_PAUSE).await;
    }
    let sums = ledger::sum(rows.iter().map(|(upstream, row)| (upstream, row)), grouping);
    Ok(Some(Report { sums, rows: rows.len() }))
}

const DAY_MS: u64 = 86_400_000;

/// The highest interval that fits in a key.
const LAST_INTERVAL: u64 = 999_999_999_999;

//! What this host knows of the platform's tables, and how changes are applied, whether this host
//! reads them itself or receives them from the host that reads for the zone.

use std::fmt;
use std::sync;

use lagoon_platform::{desired, entry};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::routing;
use tokio::sync::watch;

use crate::event;
use crate::relay;
use crate::state;

/// Recoveries of the platform closer together than this are the same one, reported twice.
const SAME_RECOVERY: clock::Span = clock::Span::from_millis(500);

/// The way by which changes of a table reached this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Way {
    /// Read from the platform.
    Platform,
    /// Passed on by the host that reads for the zone.
    Relay,
}

impl fmt::Display for Way {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Way::Platform => "platform",
            Way::Relay => "relay",
        })
    }
}

/// A table that is shared by the watch that reads it and the relay that passes it on.
pub(crate) type SharedTable = sync::Arc<sync::Mutex<routing::Mirror>>;

/// Changes that were applied to the copy of a table.
#[derive(Debug)]
pub(crate) struct Applied {
    /// The rows with relevant changes.
    pub(crate) rows: Vec<routing::Row>,
    /// The era that begins with them.
    pub(crate) began: Option<Began>,
}

/// The first rows of an era of the platform's store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Began {
    /// Revision up to which they were read.
    pub(crate) revision: routing::Revision,
    /// Whether this host knew an earlier era, so that the store was restored meanwhile.
    pub(crate) is_restore: bool,
}

/// Applies changes to the copy of the table called `name` in logs. Returns `None` if they do not
/// follow what is known, see [`routing::Mirror::apply`].
pub(crate) fn apply_delta(
    state: &state::State,
    name: &'static str,
    table: &SharedTable,
    delta: routing::Delta,
) -> Option<Applied> {
    let revision = delta.revision;
    let mut mirror = state::lock(table);
    let previous = mirror.last_read();
    let rows = mirror.apply(delta);
    let ignored = mirror.take_ignored();
    drop(mirror);
    for row in &ignored {
        state.metrics.rows_ignored.inc();
        event::Line::new("older_row_ignored")
            .text("dependency", name)
            .text("key", &row.key)
            .revision(row.revision)
            .text("known", row.known)
            .info();
    }
    let rows = rows?;
    let began =
        (revision.era > previous.era).then_some(Began { revision, is_restore: previous.era > 0 });
    if began.is_some_and(|began| began.is_restore) {
        // The store was restored from an older copy, and the copy of this table was replaced.
        let removed = rows.iter().filter(|row| row.value.is_none()).count();
        event::Line::new("table_restored")
            .text("dependency", name)
            .revision(revision)
            .text("previous", previous)
            .number("rows", rows.len() - removed)
            .number("removed", removed)
            .warn();
    }
    Some(Applied { rows, began })
}

/// The row of the desired state that the platform shows.
#[derive(Clone, Copy, Debug, Default)]
struct Shown {
    revision: routing::Revision,
    /// Number in the document; `None` if the row is missing or was never readable.
    number: Option<u64>,
}

/// The tables, and when they were last confirmed to be complete.
#[derive(Debug)]
pub(crate) struct Tables {
    pub(crate) desired: SharedTable,
    pub(crate) upstreams: SharedTable,
    /// The entry hosts.
    pub(crate) hosts: SharedTable,
    /// When the table of the desired state was last read to be complete.
    desired_read_at: sync::Mutex<Option<clock::Moment>>,
    /// The row of the desired state that the platform shows.
    desired_shown: sync::Mutex<Shown>,
    /// When the list of upstreams was last confirmed to be complete.
    upstreams_confirmed_at: sync::Mutex<Option<clock::Moment>>,
    /// Row of this host that was written last.
    own_row: sync::Mutex<Vec<u8>>,
    /// A reading of the platform's clock in milliseconds, and when it was made.
    platform_clock: sync::Mutex<Option<(u64, clock::Moment)>>,
    /// When the platform last answered again after an outage.
    recovered_at: sync::Mutex<Option<clock::Moment>>,
    /// When the last call to the platform that failed was started.
    failed_at: sync::Mutex<Option<clock::Moment>>,
    /// Number of changes so far, to wake waiting relay requests.
    changes: watch::Sender<u64>,
    /// Whether this host reads the platform itself.
    reads_platform: watch::Sender<bool>,
    /// Whether this host's last read of the desired state from the platform failed.
    platform_fails: watch::Sender<bool>,
    /// When another host last sent a relay request.
    last_request_at: sync::Mutex<Option<clock::Moment>>,
}

impl Default for Tables {
    fn default() -> Self {
        let table = |same| sync::Arc::new(sync::Mutex::new(routing::Mirror::new(same)));
        Tables {
            desired: table(same_bytes),
            upstreams: table(same_entry),
            hosts: table(same_bytes),
            desired_read_at: sync::Mutex::default(),
            desired_shown: sync::Mutex::default(),
            upstreams_confirmed_at: sync::Mutex::default(),
            own_row: sync::Mutex::default(),
            platform_clock: sync::Mutex::default(),
            recovered_at: sync::Mutex::default(),
            failed_at: sync::Mutex::default(),
            changes: watch::Sender::new(0),
            reads_platform: watch::Sender::new(true),
            platform_fails: watch::Sender::new(false),
            last_request_at: sync::Mutex::default(),
        }
    }
}

/// Compares rows of which every byte matters.
pub(crate) fn same_bytes(_: &str, known: &[u8], value: &[u8]) -> bool {
    known == value
}

/// Compares entries of upstreams, ignoring fields that are not used, such as the heartbeat counter.
fn same_entry(key: &str, known: &[u8], value: &[u8]) -> bool {
    entry::read(key, known).ok() == entry::read(key, value).ok()
}

impl Tables {
    /// Whether this host reads the platform itself.
    pub(crate) fn reads_platform(&self) -> bool {
        *self.reads_platform.borrow()
    }

    /// Sets whether this host reads the platform itself or relies on another host.
    pub(crate) fn set_reads_platform(&self, reads: bool) {
        let changed =
            self.reads_platform.send_if_modified(|now| std::mem::replace(now, reads) != reads);
        if changed {
            event::Line::new("reads_platform").number("reads", reads).info();
        }
    }

    /// Waits until this host reads the platform itself.
    pub(crate) async fn wait_until_reading(&self) {
        // The sender lives as long as these tables, so the wait ends only by a change.
        drop(self.reads_platform.subscribe().wait_for(|reads| *reads).await);
    }

    /// Waits until another host reads for this one.
    pub(crate) async fn wait_until_relayed(&self) {
        drop(self.reads_platform.subscribe().wait_for(|reads| !*reads).await);
    }

    /// Records whether the platform answered the last read of the desired state.
    pub(crate) fn set_platform_fails(&self, fails: bool) {
        self.platform_fails.send_if_modified(|now| std::mem::replace(now, fails) != fails);
    }

    /// Whether the platform did not answer the last read of the desired state.
    pub(crate) fn platform_fails(&self) -> bool {
        *self.platform_fails.borrow()
    }

    /// Waits until the platform answers a read of the desired state.
    pub(crate) async fn wait_until_platform_answers(&self) {
        // The sender lives as long as these tables, so the wait ends only by a change.
        drop(self.platform_fails.subscribe().wait_for(|fails| !*fails).await);
    }

    /// Records a relay request of another host.
    pub(crate) fn record_request(&self, now: clock::Moment) {
        *state::lock(&self.last_request_at) = Some(now);
    }

    /// Whether another host has sent a relay request recently, so that this host reads for it.
    pub(crate) fn reads_for_others(&self, now: clock::Moment) -> bool {
        state::lock(&self.last_request_at)
            .is_some_and(|at| now.since(at) <= relay::READER_PACE_TIME)
    }

    /// Returns a receiver that is notified of changes.
    pub(crate) fn watch_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns when the table of the desired state was last read to be complete. The platform may show
    /// an older version than the one in force there.
    pub(crate) fn desired_read_at(&self) -> Option<clock::Moment> {
        *state::lock(&self.desired_read_at)
    }

    /// Returns when the list of upstreams was last confirmed to be complete.
    pub(crate) fn upstreams_confirmed_at(&self) -> Option<clock::Moment> {
        *state::lock(&self.upstreams_confirmed_at)
    }

    /// Records that a call to the platform failed that was started at `started`, here or at the
    /// host that reads for this one.
    pub(crate) fn record_failure(&self, started: clock::Moment) {
        let mut failed_at = state::lock(&self.failed_at);
        *failed_at = (*failed_at).max(Some(started));
    }

    /// Returns when the last call to the platform that failed was started.
    pub(crate) fn failed_at(&self) -> Option<clock::Moment> {
        *state::lock(&self.failed_at)
    }

    /// Records the row of this host that is written now.
    pub(crate) fn set_own_row(&self, row: &[u8]) {
        row.clone_into(&mut state::lock(&self.own_row));
    }

    /// Whether `row` is the row of this host that was written last.
    pub(crate) fn is_own_row(&self, row: &[u8]) -> bool {
        *state::lock(&self.own_row) == row
    }

    /// Records that the platform's clock showed `millis` at `at`.
    pub(crate) fn record_platform_clock(&self, millis: u64, at: clock::Moment) {
        *state::lock(&self.platform_clock) = Some((millis, at));
    }

    /// Returns a reading of the platform's clock in milliseconds, and when it was made.
    pub(crate) fn platform_clock(&self) -> Option<(u64, clock::Moment)> {
        *state::lock(&self.platform_clock)
    }

    /// Returns when the platform last answered again after an outage.
    pub(crate) fn recovered_at(&self) -> Option<clock::Moment> {
        *state::lock(&self.recovered_at)
    }
}

/// Records that the platform answered again at `at` after an outage. Has to be called before the
/// changes of that answer are applied.
pub(crate) fn platform_recovered(state: &state::State, at: clock::Moment) {
    let mut known = state::lock(&state.tables.recovered_at);
    if known.is_none_or(|known| at.since(known) > SAME_RECOVERY) {
        *known = Some(at);
        state.platform_recovered(state.tables.failed_at().unwrap_or(at).min(at), at);
    }
}

/// Applies changed rows of the table of the desired state, which had no later change up to `at` and
/// came by `way`. The evacuated zones come first, so that a host knows them before it is ready.
pub(crate) fn apply_desired(
    state: &state::State,
    rows: &[routing::Row],
    at: clock::Moment,
    way: Way,
) {
    state.read_evacuations(way);
    match rows.iter().rev().find(|row| row.key == desired::KEY) {
        Some(row) => apply_desired_row(state, row, at),
        None => {
            // After a restore the platform may show an older version than the one in force, and then
            // does not tell whether there was a later one.
            let shown = state::lock(&state.tables.desired_shown).number;
            let in_force = state.routing_table().map(|table| table.version());
            if in_force.is_some() && shown >= in_force {
                state.confirm(at);
            }
        }
    }
    let mut read_at = state::lock(&state.tables.desired_read_at);
    *read_at = (*read_at).max(Some(at));
    drop(read_at);
    if !rows.is_empty() {
        state.tables.changes.send_modify(|count| *count += 1);
    }
}

/// Applies the row of the desired state, which had no later change up to `at`.
fn apply_desired_row(state: &state::State, row: &routing::Row, at: clock::Moment) {
    let show = |number| {
        let mut shown = state::lock(&state.tables.desired_shown);
        if row.revision >= shown.revision {
            *shown = Shown { revision: row.revision, number };
        }
    };
    match row.value.as_deref().map(desired::read) {
        Some(Ok(desired)) => {
            show(Some(desired.version));
            state.install(desired, at);
        }
        Some(Err(error)) => {
            event::Line::new("desired_state_unreadable").text("error", error).warn();
        }
        None => show(None),
    }
}

/// Applies changes of the list of upstreams, which had no later change up to `at` and came by `way`.
pub(crate) fn apply_upstreams(
    state: &state::State,
    applied: &Applied,
    at: clock::Moment,
    way: Way,
) {
    let Applied { rows, began } = applied;
    if let Some(began) = began {
        state.begin_era(began);
    }
    let changes = rows.iter().map(read_entry).collect();
    let age = age(state, Some(at)).unwrap_or_default();
    state.apply_upstream_changes(changes, began.is_some(), way, age);
    let mut upstreams_confirmed_at = state::lock(&state.tables.upstreams_confirmed_at);
    *upstreams_confirmed_at = (*upstreams_confirmed_at).max(Some(at));
    drop(upstreams_confirmed_at);
    if !rows.is_empty() {
        state.tables.changes.send_modify(|count| *count += 1);
    }
}

/// Decodes a row of the list of upstreams. A row that cannot be read removes its upstream.
fn read_entry(row: &routing::Row) -> routing::Change {
    let upstream = id::Upstream::from(row.key.as_str());
    let revision = row.revision;
    let Some(text) = &row.value else { return routing::Change::Removed { upstream, revision } };
    match entry::read_listing(&row.key, text, revision) {
        Ok(listing) => routing::Change::Put(listing),
        Err(error) => {
            event::Line::new("entry_unreadable").text("error", error).warn();
            routing::Change::Invalid { upstream, revision }
        }
    }
}

/// Returns the time since `at`.
pub(crate) fn age(state: &state::State, at: Option<clock::Moment>) -> Option<clock::Span> {
    at.map(|at| state.clock.now().since(at))
}

//! Watches of the platform's tables.
//!
//! Each watch keeps one call open until the table changes. A failed call is repeated after a
//! randomized exponential backoff, so that hosts do not all return at once. While the desired state
//! cannot be read, the other tables are not tried either: one table is enough to notice that the
//! platform is back, and each call to a platform in an outage adds to its load.

use std::sync;

use lagoon_platform::{desired, entry, store};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::routing;
use rand::Rng;

use crate::event;
use crate::state;
use crate::store as client;
use crate::tables;

/// Time that an answer may take beyond the wait that was asked for, and timeout of a call that
/// reads rows: a slow store takes 250 ms, and a lost packet costs as much again.
const ANSWER_SLACK: clock::Span = clock::Span::from_millis(800);
/// Share of the bound on leaving upstreams that may pass between two reads of the list. The rest is
/// for a slow answer and a lost packet.
const PAUSE_SHARE: f64 = 0.4;
/// Pause between two reads of the list while entries that vanished around an outage are in use, so
/// that upstreams which register again are known before that ends.
const RETURN_PAUSE: clock::Span = clock::Span::from_millis(250);
/// Base of the pause after failed calls, doubled with each consecutive failure, including the
/// first.
const BACKOFF_BASE: clock::Span = clock::Span::from_millis(60);
/// Maximum number of doublings.
const MAX_DOUBLINGS: u32 = 5;

/// Maximum pause after the first read of the desired state.
const MAX_FIRST_PAUSE: clock::Span = clock::Span::from_millis(400);
/// Longest time for which a failing table is not tried because the desired state cannot be read.
const MAX_OUTAGE_WAIT: clock::Span = clock::Span::from_secs(5);

/// A watch of one table.
#[derive(Debug)]
pub(crate) struct Watch {
    client: client::Client,
    /// Name of the table in logs.
    name: &'static str,
    table: &'static str,
    /// How long the platform holds a call open.
    wait: clock::Span,
    /// The local copy of the table.
    mirror: tables::SharedTable,
    /// Tells whether this host reads the platform, and whether the platform answers.
    state: sync::Arc<state::State>,
    /// Consecutive failed calls.
    failures: u32,
    max_pause: clock::Span,
    clock: crate::BootClock,
    /// The platform's clock, as its answers of one era show it.
    platform_clock: (u64, routing::RemoteClock),
}

/// Changes of a table.
#[derive(Debug)]
pub(crate) struct Changes {
    /// The changes, as they were applied.
    pub(crate) applied: tables::Applied,
    /// Reading of the platform's clock in milliseconds when it made the answer.
    pub(crate) clock_ms: Option<u64>,
    /// The table had no later change up to this moment.
    pub(crate) at: clock::Moment,
    /// Whether the previous call failed.
    pub(crate) recovered: bool,
}

impl Watch {
    /// Creates a watch of `table`, called `name` in logs.
    pub(crate) fn new(
        state: &sync::Arc<state::State>,
        name: &'static str,
        table: &'static str,
        wait: clock::Span,
        mirror: tables::SharedTable,
    ) -> Watch {
        Watch {
            client: client::Client::new(state),
            name,
            table,
            wait,
            mirror,
            state: state.clone(),
            failures: 0,
            max_pause: max_pause(state),
            clock: state.clock,
            platform_clock: (0, routing::RemoteClock::default()),
        }
    }

    /// Waits for the next answer of the platform. Returns `None` when another host reads it for this one,
    /// and when the platform was restored, of which another call has told: a watch that is held open
    /// would tell so only at its end.
    pub(crate) async fn next_unless_relayed(&mut self) -> Option<Changes> {
        let state = self.state.clone();
        let latest = state.era.get().number();
        tokio::select! {
            changes = self.next() => return Some(changes),
            () = state.era.wait_for_later(latest) => return None,
            () = state.tables.wait_until_relayed() => {}
        }
        self.forget_failures();
        None
    }

    /// Waits for the next answer of the platform, through failures. Its rows may be empty.
    async fn next(&mut self) -> Changes {
        loop {
            let started = self.clock.now();
            let known = self.known_revision();
            let result = match known {
                Some(revision) => self.read_changes(revision, started).await,
                None => self.read_all(started).await,
            };
            match result {
                Ok(Some(changes)) => {
                    if changes.recovered {
                        // Calls for this table succeed again.
                        event::Line::new("dependency_regained")
                            .text("dependency", self.name)
                            .number("failures", self.failures)
                            .info();
                    }
                    self.failures = 0;
                    self.record_result(true);
                    return changes;
                }
                Ok(None) => {}
                Err(error) => self.back_off(&error, started).await,
            }
        }
    }

    /// Returns the revision up to which the local copy is complete; `None` if all rows have to be read.
    fn known_revision(&self) -> Option<routing::Revision> {
        let known = state::lock(&self.mirror).revision();
        known.filter(|revision| revision.era == self.state.era.get().number())
    }

    /// Waits for the changes since `known`. Returns `None` if the platform does not have them, or is in
    /// a later era.
    async fn read_changes(
        &mut self,
        known: routing::Revision,
        started: clock::Moment,
    ) -> Result<Option<Changes>, client::Error> {
        // After a failure the first answer must come at once. It tells since when the store has
        // been back; entries that vanish later have been removed and have not merely expired in the
        // outage.
        let wait = if self.failures > 0 { clock::Span::ZERO } else { self.wait };
        let call = store::feed(self.table, known.version, wait);
        let answer = self.client.call(&call, wait + ANSWER_SLACK).await?;
        let store::Reply::Rows(rows) = answer.reply else {
            event::Line::new("history_forgotten")
                .text("dependency", self.name)
                .revision(known)
                .number("answered_era", answer.era.unwrap_or_default())
                .info();
            state::lock(&self.mirror).mark_incomplete();
            return Ok(None);
        };
        // An answer without changes means that there was none while the store waited.
        let unchanged_until = if rows.rows.is_empty() { started + wait } else { started };
        let era = answer.era.unwrap_or_default();
        let clock_ms = rows.clock_ms;
        let at = self.made_at(unchanged_until, era, clock_ms);
        let revision = routing::Revision { era, version: rows.version };
        let rows = as_of(era, rows.rows).collect();
        let delta = routing::Delta { rows, since: Some(known), revision };
        Ok(self.apply(delta, at, clock_ms))
    }

    /// Reads all rows of the table.
    async fn read_all(&mut self, started: clock::Moment) -> Result<Option<Changes>, client::Error> {
        let mut rows: Vec<routing::Row> = Vec::new();
        let mut revision = None;
        let mut at = started;
        let mut from = String::new();
        let mut clock_ms = None;
        loop {
            let answer = self.client.call(&store::rows(self.table, &from), ANSWER_SLACK).await?;
            let store::Reply::Rows(page) = answer.reply else { return Ok(None) };
            let era = answer.era.unwrap_or_default();
            // Changes made between two pages are reported by the feed after the first page's
            // version.
            let first = *revision.get_or_insert(routing::Revision { era, version: page.version });
            if first.era != era {
                return Ok(None);
            }
            if rows.is_empty() {
                at = self.made_at(started, era, page.clock_ms);
                clock_ms = page.clock_ms;
            }
            rows.extend(as_of(era, page.rows));
            match rows.last() {
                Some(last) if page.more => from = format!("{}\0", last.key),
                _ => break,
            }
        }
        let delta = routing::Delta { rows, since: None, revision: revision.unwrap_or_default() };
        event::Line::new("table_read")
            .text("dependency", self.name)
            .number("rows", delta.rows.len())
            .revision(delta.revision)
            .info();
        Ok(self.apply(delta, at, clock_ms))
    }

    /// Returns a moment up to which an answer that has just arrived is certainly new: it was made
    /// at `earliest` at the earliest, when the platform's clock showed `clock_ms`.
    fn made_at(
        &mut self,
        earliest: clock::Moment,
        era: u64,
        clock_ms: Option<u64>,
    ) -> clock::Moment {
        let now = self.clock.now();
        let earliest = earliest.min(now);
        if self.platform_clock.0 != era {
            self.platform_clock = (era, routing::RemoteClock::default());
        }
        clock_ms.map_or(earliest, |millis| self.platform_clock.1.made_at(earliest, millis, now))
    }

    /// Applies `delta` to the local copy. Returns `None` if it does not follow what is known.
    fn apply(
        &self,
        delta: routing::Delta,
        at: clock::Moment,
        clock_ms: Option<u64>,
    ) -> Option<Changes> {
        let applied = tables::apply_delta(&self.state, self.name, &self.mirror, delta)?;
        Some(Changes { applied, clock_ms, at, recovered: self.failures > 0 })
    }

    /// Updates the longest pause between failing calls, so that this host calls a failing platform
    /// no more often than it should. That depends on the host's rank in its zone, see
    /// [`lagoonline::routing::Roster::max_retry_pause`]; [`crate::mesh`] explains the rank.
    pub(crate) fn update_max_pause(&mut self) {
        self.max_pause = max_pause(&self.state);
    }

    /// Forgets failed calls, because the changes have come through the relay since. Otherwise the
    /// next answer would be taken for the recovery of the platform.
    fn forget_failures(&mut self) {
        self.failures = 0;
        self.record_result(true);
    }

    /// Records for the watches of the other tables whether the platform answered.
    fn record_result(&self, answered: bool) {
        if self.table == desired::TABLE {
            self.state.tables.set_platform_fails(!answered);
        }
    }

    /// Logs the first of several failures, and sleeps before the next call. The call that failed
    /// was started at `started`.
    async fn back_off(&mut self, error: &client::Error, started: clock::Moment) {
        self.failures += 1;
        self.state.tables.record_failure(started);
        self.state.registry().record_failure(self.clock.now());
        if self.failures == 1 {
            // Calls for this table have begun to fail.
            event::Line::new("dependency_lost")
                .text("dependency", self.name)
                .text("error", error)
                .warn();
        }
        self.record_result(false);
        if self.table != desired::TABLE && self.state.tables.platform_fails() {
            let answers = self.state.tables.wait_until_platform_answers();
            // After this time the call is tried all the same.
            drop(tokio::time::timeout(MAX_OUTAGE_WAIT, answers).await);
            return;
        }
        let doubled = BACKOFF_BASE * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        let limit = doubled.min(self.max_pause);
        tokio::time::sleep(limit.mul_f64(rand::rng().random_range(0.5..1.0))).await;
    }
}

/// Adds the era of the store to rows that it has answered.
fn as_of(era: u64, rows: Vec<store::Row>) -> impl Iterator<Item = routing::Row> {
    rows.into_iter().map(move |row| {
        let store::Row { key, value, version } = row;
        routing::Row { key, value, revision: routing::Revision { era, version } }
    })
}

/// Returns the longest pause between failing calls of this host.
fn max_pause(state: &state::State) -> clock::Span {
    state::lock(&state.peers).roster.max_retry_pause(state.clock.now())
}

/// Keeps the desired state current while this host reads the platform itself.
pub(crate) async fn desired(state: sync::Arc<state::State>) {
    let bounds = &state.settings.node.bounds;
    let bound = bounds.revoke.unwrap_or(clock::Span::MAX).min(bounds.evacuate);
    let tuning = &state.settings.tuning;
    let wait = tuning.desired_wait.min(bound / 2);
    let mirror = state.tables.desired.clone();
    let mut watch = Watch::new(&state, "desired state", desired::TABLE, wait, mirror);
    let mut first_pause = tuning.upstreams_pause.min(MAX_FIRST_PAUSE);
    loop {
        state.tables.wait_until_reading().await;
        let for_others = state.tables.reads_for_others(state.clock.now());
        watch.wait = if for_others { wait.min(tuning.reader_wait) } else { wait };
        // An answer counts again as soon as the store has settled after a restore.
        let unsettled = state.era.get().settled_at().since(state.clock.now());
        if !unsettled.is_zero() {
            watch.wait = watch.wait.min(unsettled);
        }
        watch.update_max_pause();
        let Some(changes) = watch.next_unless_relayed().await else { continue };
        tables::apply_desired(&state, &changes.applied.rows, changes.at, tables::Way::Platform);
        // A pause follows the first read only. No other host can be asked at that point, but during
        // the pause the relay may find one that reads the platform. This host then stops reading
        // here and does not begin a long watch.
        tokio::time::sleep(std::mem::take(&mut first_pause)).await;
    }
}

/// Keeps the list of upstreams current while this host reads the platform itself.
pub(crate) async fn upstreams(state: sync::Arc<state::State>) {
    let tuning = &state.settings.tuning;
    let pause = tuning.upstreams_pause.min(state.settings.node.bounds.leaving.mul_f64(PAUSE_SHARE));
    let mirror = state.tables.upstreams.clone();
    let mut watch = Watch::new(&state, "upstreams", entry::TABLE, tuning.upstreams_wait, mirror);
    loop {
        state.tables.wait_until_reading().await;
        watch.update_max_pause();
        let (wait, pause) = match state.tables.reads_for_others(state.clock.now()) {
            true => (tuning.reader_wait, pause.min(tuning.reader_pause)),
            false => (tuning.upstreams_wait, pause),
        };
        watch.wait = wait;
        let Some(changes) = watch.next_unless_relayed().await else { continue };
        if changes.recovered {
            tables::platform_recovered(&state, state.clock.now());
        }
        tables::apply_upstreams(&state, &changes.applied, changes.at, tables::Way::Platform);
        let keeps = state.registry().kept() > 0;
        tokio::time::sleep(if keeps { pause.min(RETURN_PAUSE) } else { pause }).await;
    }
}

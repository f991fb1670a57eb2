//! Watches of the platform's tables: the desired state and the upstreams.
//!
//! Each watch holds one call open until something changes. A call that fails is made again after a
//! pause that grows and is drawn at random, so that hosts do not all return at once.

use std::sync;

use lagoon_platform::{desired, entry, store};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::routing;
use rand::Rng;

use crate::event;
use crate::state;
use crate::store as client;

/// What an answer may take beyond the time that the store was asked to wait: a slow store takes a
/// quarter of a second, and a lost packet costs as much again.
const SLACK: clock::Span = clock::Span::from_millis(800);
/// Part of the bound on leaving upstreams that may pass between two looks at them: the rest is for a
/// slow answer and a lost packet.
const PAUSE_SHARE: f64 = 0.4;
/// First pause after a failed call.
const FIRST_PAUSE: clock::Span = clock::Span::from_millis(60);
/// Longest pause after failed calls: a host is back well within the bounds after an outage.
const LONGEST_PAUSE: clock::Span = clock::Span::from_millis(400);

/// A table that is watched.
#[derive(Debug)]
pub(crate) struct Watch {
    client: client::Client,
    name: &'static str,
    table: &'static str,
    wait: clock::Span,
    /// Version after which changes are asked for; `None` when all is to be read.
    version: Option<u64>,
    failures: u32,
    clock: crate::Boot,
}

/// News of a table.
#[derive(Debug)]
pub(crate) struct News {
    /// The rows that changed, or all of them.
    pub(crate) rows: Vec<store::Row>,
    /// Whether these are all rows.
    pub(crate) all: bool,
    /// The table had no later change up to this moment.
    pub(crate) at: clock::Moment,
    /// Whether the call before this one failed.
    pub(crate) returned: bool,
}

impl Watch {
    /// A watch of `table`, called `name` in logs.
    pub(crate) fn new(
        state: &state::State,
        name: &'static str,
        table: &'static str,
        wait: clock::Span,
    ) -> Watch {
        Watch {
            client: client::Client::new(state.settings.node.store),
            name,
            table,
            wait,
            version: None,
            failures: 0,
            clock: state.clock,
        }
    }

    /// The next news; waits through failures.
    pub(crate) async fn next(&mut self) -> News {
        loop {
            let started = self.clock.now();
            let asked = match self.version {
                Some(version) => self.changes(version, started).await,
                None => self.read_all(started).await,
            };
            match asked {
                Ok(Some(news)) => {
                    if news.returned {
                        event::Line::new("dependency_regained")
                            .text("dependency", self.name)
                            .number("failures", self.failures)
                            .info();
                    }
                    self.failures = 0;
                    return news;
                }
                Ok(None) => {}
                Err(error) => self.pause(&error).await,
            }
        }
    }

    async fn changes(
        &mut self,
        version: u64,
        started: clock::Moment,
    ) -> Result<Option<News>, client::Trouble> {
        // After a failure the first answer must come at once: it tells since when the store is
        // back, and entries that vanish later than that have not lapsed but are gone.
        let wait = if self.failures > 0 { clock::Span::ZERO } else { self.wait };
        let call = store::feed(self.table, version, wait);
        let reply = self.client.call(&call, wait + SLACK).await?;
        let store::Reply::Rows(rows) = reply else {
            event::Line::new("history_forgotten")
                .text("dependency", self.name)
                .number("version", version)
                .info();
            self.version = None;
            return Ok(None);
        };
        self.version = Some(version.max(rows.version));
        // An answer without changes says that there was none while the store waited.
        let quiet = if rows.rows.is_empty() { started + wait } else { started };
        let at = quiet.min(self.clock.now());
        Ok(Some(News { rows: rows.rows, all: false, at, returned: self.failures > 0 }))
    }

    async fn read_all(&mut self, started: clock::Moment) -> Result<Option<News>, client::Trouble> {
        let mut rows: Vec<store::Row> = Vec::new();
        let mut version = None;
        let mut from = String::new();
        loop {
            let reply = self.client.call(&store::rows(self.table, &from), SLACK).await?;
            let store::Reply::Rows(page) = reply else { return Ok(None) };
            // Changes between two pages come again by the feed after the first page's version.
            version = version.or(Some(page.version));
            rows.extend(page.rows);
            match rows.last() {
                Some(last) if page.more => from = format!("{}\0", last.key),
                _ => break,
            }
        }
        self.version = version;
        Ok(Some(News { rows, all: true, at: started, returned: self.failures > 0 }))
    }

    async fn pause(&mut self, error: &client::Trouble) {
        self.failures += 1;
        if self.failures == 1 {
            event::Line::new("dependency_lost")
                .text("dependency", self.name)
                .text("error", error)
                .warn();
        }
        let doubled = FIRST_PAUSE * 2u32.pow(self.failures.min(4));
        let most = doubled.min(LONGEST_PAUSE);
        tokio::time::sleep(most.mul_f64(rand::rng().random_range(0.5..1.0))).await;
    }
}

/// Keeps the desired state in force.
pub(crate) async fn desired(state: sync::Arc<state::State>) {
    let bound = state.settings.node.bounds.revoke.unwrap_or(clock::Span::MAX);
    let wait = state.settings.tuning.desired_wait.min(bound / 2);
    let mut watch = Watch::new(&state, "desired state", desired::TABLE, wait);
    loop {
        let news = watch.next().await;
        let row = news.rows.iter().rev().find(|row| row.key == desired::KEY);
        let text = row.and_then(|row| row.value.as_deref());
        match text.map(desired::read) {
            Some(Ok(desired)) => state.install(desired, news.at),
            Some(Err(error)) => {
                event::Line::new("desired_state_unreadable").text("error", error).warn();
            }
            None if state.table().is_some() => state.confirm(news.at),
            None => {}
        }
    }
}

/// Keeps the list of upstreams.
pub(crate) async fn upstreams(state: sync::Arc<state::State>) {
    let tuning = &state.settings.tuning;
    let pause = tuning.upstreams_pause.min(state.settings.node.bounds.leaving.mul_f64(PAUSE_SHARE));
    let mut watch = Watch::new(&state, "upstreams", entry::TABLE, tuning.upstreams_wait);
    loop {
        let news = watch.next().await;
        if news.returned {
            state.platform_returned();
        }
        let entries = news.rows.iter().map(read_entry);
        if news.all {
            let listed = entries.filter_map(|change| match change {
                routing::Change::Put(entry) => Some(entry),
                routing::Change::Removed(_) => None,
            });
            state.list_upstreams(listed.collect());
        } else {
            state.change_upstreams(entries.collect());
        }
        tokio::time::sleep(pause).await;
    }
}

fn read_entry(row: &store::Row) -> routing::Change {
    let removed = || routing::Change::Removed(lagoonline::id::Upstream::from(row.key.as_str()));
    let Some(text) = &row.value else { return removed() };
    match entry::read(&row.key, text) {
        Ok(entry) => routing::Change::Put(entry),
        Err(error) => {
            event::Line::new("entry_unreadable").text("error", error).warn();
            removed()
        }
    }
}

//! Watches of the platform's tables: the desired state and the upstreams.
//!
//! Each watch holds one call open until something changes. A call that fails is made again after a
//! pause that grows and is drawn at random, so that hosts do not all return at once.

use std::sync;

use lagoon_platform::{desired, entry, store};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use rand::Rng;

use crate::event;
use crate::feed;
use crate::mirror;
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
/// Doublings of it.
const DOUBLINGS: u32 = 5;

/// Longest pause after the first look at the desired state.
const SETTLED: clock::Span = clock::Span::from_millis(400);

/// A table that is watched.
#[derive(Debug)]
pub(crate) struct Watch {
    client: client::Client,
    name: &'static str,
    table: &'static str,
    wait: clock::Span,
    /// What is known of the table, and up to which version.
    mirror: feed::Table,
    failures: u32,
    longest_pause: clock::Span,
    clock: crate::Boot,
}

/// News of a table.
#[derive(Debug)]
pub(crate) struct News {
    /// The rows that changed.
    pub(crate) rows: Vec<store::Row>,
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
        mirror: feed::Table,
    ) -> Watch {
        Watch {
            client: client::Client::new(state.settings.node.store),
            name,
            table,
            wait,
            mirror,
            failures: 0,
            longest_pause: longest_pause(state),
            clock: state.clock,
        }
    }

    /// The next news; waits through failures.
    pub(crate) async fn next(&mut self) -> News {
        loop {
            let started = self.clock.now();
            let known = state::lock(&self.mirror).version();
            let asked = match known {
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
            state::lock(&self.mirror).forget();
            return Ok(None);
        };
        // An answer without changes says that there was none while the store waited.
        let quiet = if rows.rows.is_empty() { started + wait } else { started };
        let at = quiet.min(self.clock.now());
        let part = mirror::Part { rows: rows.rows, all: false, version: rows.version };
        Ok(Some(self.news(part, at)))
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
        let part = mirror::Part { rows, all: true, version: version.unwrap_or_default() };
        event::Line::new("table_read")
            .text("dependency", self.name)
            .number("rows", part.rows.len())
            .number("version", part.version)
            .info();
        Ok(Some(self.news(part, started)))
    }

    fn news(&self, part: mirror::Part, at: clock::Moment) -> News {
        let rows = state::lock(&self.mirror).take(part);
        News { rows, at, returned: self.failures > 0 }
    }

    /// Calls a platform that fails no more often than this host is to.
    pub(crate) fn set_pause(&mut self, state: &state::State) {
        self.longest_pause = longest_pause(state);
    }

    async fn pause(&mut self, error: &client::Trouble) {
        self.failures += 1;
        if self.failures == 1 {
            event::Line::new("dependency_lost")
                .text("dependency", self.name)
                .text("error", error)
                .warn();
        }
        let doubled = FIRST_PAUSE * 2u32.pow(self.failures.min(DOUBLINGS));
        let most = doubled.min(self.longest_pause);
        tokio::time::sleep(most.mul_f64(rand::rng().random_range(0.5..1.0))).await;
    }
}

fn longest_pause(state: &state::State) -> clock::Span {
    state::lock(&state.peers).roster.max_retry_pause(state.clock.now())
}

/// Keeps the desired state in force, while this host reads for itself.
pub(crate) async fn desired(state: sync::Arc<state::State>) {
    let bound = state.settings.node.bounds.revoke.unwrap_or(clock::Span::MAX);
    let tuning = &state.settings.tuning;
    let wait = tuning.desired_wait.min(bound / 2);
    let mirror = state.feed.desired.clone();
    let mut watch = Watch::new(&state, "desired state", desired::TABLE, wait, mirror);
    let mut first_pause = tuning.upstreams_pause.min(SETTLED);
    loop {
        state.feed.until_reads().await;
        let asked = state.feed.is_asked(state.clock.now());
        watch.wait = if asked { wait.min(tuning.reader_wait) } else { wait };
        watch.set_pause(&state);
        let news = watch.next().await;
        feed::take_desired(&state, &news.rows, news.at);
        // Nobody else can be asked yet at the first look; a moment later another host may read.
        tokio::time::sleep(std::mem::take(&mut first_pause)).await;
    }
}

/// Keeps the list of upstreams, while this host reads for itself.
pub(crate) async fn upstreams(state: sync::Arc<state::State>) {
    let tuning = &state.settings.tuning;
    let pause = tuning.upstreams_pause.min(state.settings.node.bounds.leaving.mul_f64(PAUSE_SHARE));
    let mirror = state.feed.upstreams.clone();
    let mut watch = Watch::new(&state, "upstreams", entry::TABLE, tuning.upstreams_wait, mirror);
    loop {
        state.feed.until_reads().await;
        watch.set_pause(&state);
        let (wait, pause) = match state.feed.is_asked(state.clock.now()) {
            true => (tuning.reader_wait, pause.min(tuning.reader_pause)),
            false => (tuning.upstreams_wait, pause),
        };
        watch.wait = wait;
        let news = watch.next().await;
        if news.returned {
            feed::platform_returned(&state, state.clock.now());
        }
        feed::take_upstreams(&state, &news.rows, news.at);
        tokio::time::sleep(pause).await;
    }
}

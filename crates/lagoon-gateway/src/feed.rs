//! What this host knows of the platform's tables, and how news of them is taken in, whether read
//! here or told by the host that reads for the zone.

use std::sync;

use lagoon_platform::{desired, entry, store};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::routing;
use tokio::sync::watch;

use crate::event;
use crate::mirror;
use crate::relay;
use crate::state;

/// Two returns of the platform closer together than this are one, told by two ways.
const SAME_RETURN: clock::Span = clock::Span::from_millis(500);

/// A table that is shared between what reads it and what tells others of it.
pub(crate) type Table = sync::Arc<sync::Mutex<mirror::Mirror>>;

/// The tables, and when they were last known to be complete.
#[derive(Debug)]
pub(crate) struct Feed {
    pub(crate) desired: Table,
    pub(crate) upstreams: Table,
    /// The entry hosts.
    pub(crate) hosts: Table,
    /// When the list of upstreams was last known to be complete.
    listed_at: sync::Mutex<Option<clock::Moment>>,
    /// When the platform last answered again after an outage.
    returned_at: sync::Mutex<Option<clock::Moment>>,
    /// Counts news.
    news: watch::Sender<u64>,
    /// Whether this host reads for itself.
    reads: watch::Sender<bool>,
    /// When another host last asked this one.
    asked_at: sync::Mutex<Option<clock::Moment>>,
}

impl Default for Feed {
    fn default() -> Self {
        let table = |same| sync::Arc::new(sync::Mutex::new(mirror::Mirror::new(same)));
        Feed {
            desired: table(same_bytes),
            upstreams: table(same_entry),
            hosts: table(same_bytes),
            listed_at: sync::Mutex::default(),
            returned_at: sync::Mutex::default(),
            news: watch::Sender::new(0),
            reads: watch::Sender::new(true),
            asked_at: sync::Mutex::default(),
        }
    }
}

/// Rows whose every byte counts.
pub(crate) fn same_bytes(_: &str, known: &[u8], value: &[u8]) -> bool {
    known == value
}

/// Entries of upstreams that only counted on.
fn same_entry(key: &str, known: &[u8], value: &[u8]) -> bool {
    entry::read(key, known).ok() == entry::read(key, value).ok()
}

impl Feed {
    /// Whether this host reads for itself.
    pub(crate) fn reads(&self) -> bool {
        *self.reads.borrow()
    }

    /// From now on this host reads for itself, or is told by another.
    pub(crate) fn set_reads(&self, reads: bool) {
        let changed = self.reads.send_if_modified(|now| std::mem::replace(now, reads) != reads);
        if changed {
            event::Line::new("reads_platform").number("reads", reads).info();
        }
    }

    /// Waits until this host reads for itself.
    pub(crate) async fn until_reads(&self) {
        // The sender lives as long as this feed, so the wait ends only by a change.
        drop(self.reads.subscribe().wait_for(|reads| *reads).await);
    }

    /// Waits until another host reads for this one.
    pub(crate) async fn until_told(&self) {
        drop(self.reads.subscribe().wait_for(|reads| !*reads).await);
    }

    /// Another host asks.
    pub(crate) fn asked(&self, now: clock::Moment) {
        *state::lock(&self.asked_at) = Some(now);
    }

    /// Whether another host asked of late: this one reads for it.
    pub(crate) fn is_asked(&self, now: clock::Moment) -> bool {
        state::lock(&self.asked_at).is_some_and(|at| now.since(at) <= relay::ASKED)
    }

    /// Tells of news as they come.
    pub(crate) fn watch_news(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// When the list of upstreams was last known to be complete.
    pub(crate) fn listed_at(&self) -> Option<clock::Moment> {
        *state::lock(&self.listed_at)
    }

    /// When the platform last answered again after an outage.
    pub(crate) fn returned_at(&self) -> Option<clock::Moment> {
        *state::lock(&self.returned_at)
    }
}

/// The platform answered again at `at` after an outage; call it before the changes that it brings.
pub(crate) fn platform_returned(state: &state::State, at: clock::Moment) {
    let mut known = state::lock(&state.feed.returned_at);
    if known.is_none_or(|known| at.since(known) > SAME_RETURN) {
        *known = Some(at);
        state.platform_returned(at);
    }
}

/// Takes in rows of the desired state, which had no later change up to `at`.
pub(crate) fn take_desired(state: &state::State, rows: &[store::Row], at: clock::Moment) {
    let row = rows.iter().rev().find(|row| row.key == desired::KEY);
    let text = row.and_then(|row| row.value.as_deref());
    match text.map(desired::read) {
        Some(Ok(desired)) => {
            state.install(desired, at);
            state.feed.news.send_modify(|count| *count += 1);
        }
        Some(Err(error)) => {
            event::Line::new("desired_state_unreadable").text("error", error).warn();
        }
        None if state.table().is_some() => state.confirm(at),
        None => {}
    }
}

/// Takes in rows of the list of upstreams, which had no later change up to `at`.
pub(crate) fn take_upstreams(state: &state::State, rows: &[store::Row], at: clock::Moment) {
    state.change_upstreams(rows.iter().map(read_entry).collect());
    let mut listed_at = state::lock(&state.feed.listed_at);
    *listed_at = (*listed_at).max(Some(at));
    drop(listed_at);
    if !rows.is_empty() {
        state.feed.news.send_modify(|count| *count += 1);
    }
}

fn read_entry(row: &store::Row) -> routing::Change {
    let removed = || routing::Change::Removed(id::Upstream::from(row.key.as_str()));
    let Some(text) = &row.value else { return removed() };
    match entry::read(&row.key, text) {
        Ok(entry) => routing::Change::Put(entry),
        Err(error) => {
            event::Line::new("entry_unreadable").text("error", error).warn();
            removed()
        }
    }
}

/// Time since `at`; `None` where it never was.
pub(crate) fn age(state: &state::State, at: Option<clock::Moment>) -> Option<clock::Span> {
    at.map(|at| state.clock.now().since(at))
}

//! The era of the platform's store, shared by all that call it.

use std::sync;

use lagoonline::clock;
use lagoonline::routing;
use tokio::sync::watch;

use crate::event;
use crate::metrics;
use crate::state;

/// What this host knows of the era of the platform's store.
#[derive(Clone, Debug)]
pub(crate) struct SharedEra {
    inner: sync::Arc<sync::Mutex<routing::Era>>,
    /// The latest known era, to wake those that wait for a later one.
    latest: watch::Sender<u64>,
    metrics: metrics::Metrics,
}

impl SharedEra {
    /// Creates the knowledge of a host that has had no answer of the store. What a restore lost is
    /// written again within `settle_span`.
    pub(crate) fn new(settle_span: clock::Span, metrics: metrics::Metrics) -> SharedEra {
        SharedEra {
            inner: sync::Arc::new(sync::Mutex::new(routing::Era::new(settle_span))),
            latest: watch::Sender::new(0),
            metrics,
        }
    }

    /// Returns what is known now.
    pub(crate) fn get(&self) -> routing::Era {
        *state::lock(&self.inner)
    }

    /// Records that the store was in the era `number` at `now`, and returns the latest known era.
    pub(crate) fn observe(&self, number: u64, now: clock::Moment) -> u64 {
        let mut era = state::lock(&self.inner);
        let previous = era.number();
        if era.observe(number, now) {
            drop(era);
            self.metrics.store_era.set(i64::try_from(number).unwrap_or(i64::MAX));
            self.latest.send_replace(number);
            event::Line::new("store_era").number("era", number).number("previous", previous).info();
            return number;
        }
        previous
    }

    /// Records when other hosts saw the era `number` begin, see [`routing::Era::learn`].
    pub(crate) fn learn(&self, number: u64, since: Option<clock::Moment>) {
        state::lock(&self.inner).learn(number, since);
    }

    /// Waits until an era after `known` is known.
    pub(crate) async fn wait_for_later(&self, known: u64) {
        // The sender lives as long as this value, so the wait ends only by a change.
        drop(self.latest.subscribe().wait_for(|latest| *latest > known).await);
    }
}

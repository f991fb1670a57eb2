//! Sends cancels and releases, and repeats them until the engine acknowledges them.
//!
//! Guards against leaked engine resources: if a cancel is lost, or its engine is unreachable for a
//! while, an attempt that nobody reads keeps its slot in the batch and its KV memory. A [`Guard`]
//! whose attempt did not end submits a cancel when it is dropped, on every path including a panic.
//! The control thread (see `server::serve`) repeats the cancel at the pace of
//! `lagoonline::lifecycle::reap::CancelQueue` until the engine acknowledges it or has expired the
//! stream by itself.

use std::cell;
use std::net;
use std::rc;
use std::sync;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::lifecycle::reap;
use ntex::client;
use rand::Rng as _;
use tokio::sync as async_sync;

use super::state;
use crate::engine;

/// Interval at which pending cancels are checked for their next send time.
const CHECK_INTERVAL: clock::Span = clock::Span::from_millis(25);
/// Time for an engine to acknowledge a cancel.
const ACK_TIMEOUT: clock::Span = clock::Span::from_secs(2);
/// Most cancels that may be pending; further ones are counted and dropped.
const MAX_PENDING: i64 = 100_000;

/// Something that an engine holds for this host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Holding {
    /// The stream of an attempt.
    Stream(id::Attempt),
    /// A KV memory reservation of a group.
    Reservation(id::Attempt),
}

/// A holding that is to be released: a stream by a cancel, a reservation by a release.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Release {
    address: net::SocketAddr,
    holding: Holding,
}

pub(crate) type Sender = async_sync::mpsc::UnboundedSender<Release>;
pub(crate) type Receiver = async_sync::mpsc::UnboundedReceiver<Release>;

pub(crate) fn channel() -> (Sender, Receiver) {
    async_sync::mpsc::unbounded_channel()
}

/// Releases its holding when dropped, unless disarmed.
#[derive(Debug)]
pub(crate) struct Guard {
    state: sync::Arc<state::State>,
    release: Option<Release>,
}

impl Guard {
    pub(crate) fn new(
        state: &sync::Arc<state::State>,
        address: net::SocketAddr,
        holding: Holding,
    ) -> Guard {
        Guard { state: state.clone(), release: Some(Release { address, holding }) }
    }

    /// Disarms the guard because the attempt ended by itself or never began.
    pub(crate) fn disarm(&mut self) {
        self.release = None;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let Some(release) = self.release.take() else { return };
        let metrics = &self.state.metrics;
        if metrics.cancels_pending.get() >= MAX_PENDING {
            metrics.count_cancel("dropped");
            return;
        }
        metrics.cancels_pending.inc();
        if self.state.cancels.send(release).is_err() {
            metrics.cancels_pending.dec();
            metrics.count_cancel("dropped");
        }
    }
}

type Queue = rc::Rc<cell::RefCell<reap::CancelQueue<Release>>>;

/// Sends cancels until the process ends.
pub(crate) async fn run(
    state: sync::Arc<state::State>,
    client: client::Client,
    mut receiver: Receiver,
) {
    let cancels =
        Queue::new(cell::RefCell::new(reap::CancelQueue::new(reap::RetryPolicy::default())));
    loop {
        let is_idle = cancels.borrow().is_empty();
        tokio::select! {
            received = receiver.recv() => match received {
                Some(release) => cancels.borrow_mut().add(release, state.clock.now()),
                None => return,
            },
            () = tokio::time::sleep(CHECK_INTERVAL), if !is_idle => {}
        }
        let now = state.clock.now();
        let given_up = cancels.borrow_mut().expire(now);
        (0..given_up).for_each(|_| finish(&state, "given_up"));
        // The random factor spreads the repetitions of cancels that failed together.
        let due = cancels.borrow_mut().due(now, rand::rng().random_range(0.5..1.5));
        for release in due {
            let (state, client, cancels) = (state.clone(), client.clone(), cancels.clone());
            drop(ntex::rt::spawn(async move { send(&state, &client, &cancels, release).await }));
        }
    }
}

/// Counts the end of a pending cancel.
fn finish(state: &state::State, result: &'static str) {
    state.metrics.cancels_pending.dec();
    state.metrics.count_cancel(result);
}

/// Sends a cancel once and checks for its acknowledgement.
async fn send(state: &state::State, client: &client::Client, cancels: &Queue, release: Release) {
    let (address, zone) = (release.address, &state.settings.zone);
    let work = async {
        match release.holding {
            Holding::Stream(id) => engine::cancel(client, address, id, zone).await,
            Holding::Reservation(id) => engine::release(client, address, id, zone).await,
        }
    };
    if tokio::time::timeout(ACK_TIMEOUT, work).await != Ok(true) {
        // Counts each send without acknowledgement; the queue repeats it until it expires.
        state.metrics.count_cancel("repeated");
    } else if cancels.borrow_mut().acknowledge(&release) {
        finish(state, "acknowledged");
    }
}

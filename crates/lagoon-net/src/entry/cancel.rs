//! Cancels and releases, repeated until the engine acknowledges them.
//!
//! Failure answered: a cancel is lost, or its engine is cut off for a while. Symptom: an attempt
//! that nobody reads holds a place in the batch and KV memory. A [`Guard`] whose attempt did not
//! end hands it over when dropped, on every path, a panic's included; the control thread repeats
//! the cancel at the pace of `lagoonline::lifecycle::reap::CancelQueue`, until the engine acknowledges it or
//! has dropped the stream by its own expiry.

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

/// Time between two looks at what is to be repeated.
const TICK: clock::Span = clock::Span::from_millis(25);
/// How long an engine may take to acknowledge.
const PATIENCE: clock::Span = clock::Span::from_secs(2);
/// Most cancels that are pending; one more is counted and dropped.
const PENDING_LIMIT: i64 = 100_000;

/// What an engine holds that is to be given back.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Holding {
    /// An attempt's stream.
    Stream(id::Attempt),
    /// A reservation of a group.
    Reservation(id::Attempt),
}

/// A holding to be given back.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Pending {
    address: net::SocketAddr,
    holding: Holding,
}

pub(crate) type Sender = async_sync::mpsc::UnboundedSender<Pending>;
pub(crate) type Receiver = async_sync::mpsc::UnboundedReceiver<Pending>;

pub(crate) fn channel() -> (Sender, Receiver) {
    async_sync::mpsc::unbounded_channel()
}

/// Gives its holding back when dropped, unless it ended by itself.
#[derive(Debug)]
pub(crate) struct Guard {
    state: sync::Arc<state::State>,
    pending: Option<Pending>,
}

impl Guard {
    pub(crate) fn new(
        state: &sync::Arc<state::State>,
        address: net::SocketAddr,
        holding: Holding,
    ) -> Guard {
        Guard { state: state.clone(), pending: Some(Pending { address, holding }) }
    }

    /// The attempt ended by itself, or never began.
    pub(crate) fn disarm(&mut self) {
        self.pending = None;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let Some(pending) = self.pending.take() else { return };
        let metrics = &self.state.metrics;
        if metrics.cancels_pending.get() >= PENDING_LIMIT {
            metrics.cancel("dropped");
            return;
        }
        metrics.cancels_pending.inc();
        if self.state.cancels.send(pending).is_err() {
            metrics.cancels_pending.dec();
            metrics.cancel("dropped");
        }
    }
}

type Cancels = rc::Rc<cell::RefCell<reap::CancelQueue<Pending>>>;

/// Sends cancels until the process ends.
pub(crate) async fn run(
    state: sync::Arc<state::State>,
    client: client::Client,
    mut receiver: Receiver,
) {
    let cancels =
        Cancels::new(cell::RefCell::new(reap::CancelQueue::new(reap::RetryPolicy::default())));
    loop {
        let is_idle = cancels.borrow().is_empty();
        tokio::select! {
            received = receiver.recv() => match received {
                Some(pending) => cancels.borrow_mut().add(pending, state.clock.now()),
                None => return,
            },
            () = tokio::time::sleep(TICK), if !is_idle => {}
        }
        let now = state.clock.now();
        let given_up = cancels.borrow_mut().expire(now);
        (0..given_up).for_each(|_| end(&state, "given_up"));
        let due = cancels.borrow_mut().due(now, rand::rng().random_range(0.5..1.5));
        for pending in due {
            let (state, client, cancels) = (state.clone(), client.clone(), cancels.clone());
            drop(ntex::rt::spawn(async move { send(&state, &client, &cancels, pending).await }));
        }
    }
}

fn end(state: &state::State, result: &'static str) {
    state.metrics.cancels_pending.dec();
    state.metrics.cancel(result);
}

async fn send(state: &state::State, client: &client::Client, cancels: &Cancels, pending: Pending) {
    let (address, zone) = (pending.address, &state.settings.zone);
    let give_back = async {
        match pending.holding {
            Holding::Stream(id) => engine::cancel(client, address, id, zone).await,
            Holding::Reservation(id) => engine::release(client, address, id, zone).await,
        }
    };
    if tokio::time::timeout(PATIENCE, give_back).await != Ok(true) {
        state.metrics.cancel("repeated");
    } else if cancels.borrow_mut().acknowledge(&pending) {
        end(state, "acknowledged");
    }
}

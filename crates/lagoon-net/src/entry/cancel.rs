//! Cancels and releases, repeated until the engine acknowledges them.
//!
//! Failure answered: a cancel is lost, or its engine is cut off for a while. Symptom: an attempt
//! that nobody reads holds a place in the batch and KV memory. A [`Guard`] whose attempt did not
//! end hands it over when dropped, on every path, a panic's included; the control thread repeats
//! the cancel with growing pauses. It stops after [`TRIES`], since by then the engine has dropped
//! the stream by its own expiry or a sweep finds it by its owner.

use std::net;
use std::rc;
use std::sync;

use lagoonline::clock;
use lagoonline::id;
use ntex::client;
use rand::Rng as _;
use tokio::sync as async_sync;

use super::state;
use crate::engine;

/// Most cancels of one attempt: about two minutes with the pauses below.
const TRIES: u32 = 12;
const FIRST_PAUSE: clock::Span = clock::Span::from_millis(50);
const LONGEST_PAUSE: clock::Span = clock::Span::from_secs(20);
/// How long an engine may take to acknowledge.
const PATIENCE: clock::Span = clock::Span::from_secs(2);
/// Most cancels that are pending; one more is counted and dropped.
const PENDING_LIMIT: i64 = 100_000;

/// What an engine holds that is to be given back.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Holding {
    /// An attempt's stream.
    Stream(id::Attempt),
    /// A reservation of a group.
    Reservation(id::Attempt),
}

/// A holding to be given back.
#[derive(Clone, Copy, Debug)]
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

/// Sends cancels until the process ends.
pub(crate) async fn run(
    state: sync::Arc<state::State>,
    client: client::Client,
    mut receiver: Receiver,
) {
    let client = rc::Rc::new(client);
    while let Some(pending) = receiver.recv().await {
        let (state, client) = (state.clone(), client.clone());
        drop(ntex::rt::spawn(async move {
            let result = repeat(&state, &client, pending).await;
            state.metrics.cancels_pending.dec();
            state.metrics.cancel(result);
        }));
    }
}

async fn repeat(state: &state::State, client: &client::Client, pending: Pending) -> &'static str {
    let mut pause = FIRST_PAUSE;
    for _ in 0..TRIES {
        let (address, zone) = (pending.address, &state.settings.zone);
        let give_back = async {
            match pending.holding {
                Holding::Stream(id) => engine::cancel(client, address, id, zone).await,
                Holding::Reservation(id) => engine::release(client, address, id, zone).await,
            }
        };
        if tokio::time::timeout(PATIENCE, give_back).await == Ok(true) {
            return "acknowledged";
        }
        state.metrics.cancel("repeated");
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
    "given_up"
}

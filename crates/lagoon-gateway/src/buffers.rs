//! The bytes that this host holds for callers and upstreams, and their accounts.
//!
//! [`lagoonline::load::buffers`] decides; this module has the lock, the signals and the metrics. It
//! costs two locks and map look-ups for each event of a stream, one when it is forwarded and one
//! when the caller's connection takes it, and no copy or wake-up.

use std::collections;
use std::sync;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::load::buffers;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::event;
use crate::metrics;
use crate::state;

/// The accounts of all requests.
#[derive(Debug)]
pub(crate) struct Buffers {
    clock: crate::BootClock,
    metrics: metrics::Metrics,
    inner: sync::Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    ledger: buffers::Ledger,
    /// Signals to the requests that hold something.
    cuts: collections::HashMap<buffers::Id, CancellationToken>,
}

/// The account of one request, closed when its last owner drops it.
#[derive(Clone, Debug)]
pub(crate) struct Account(sync::Arc<Owned>);

#[derive(Debug)]
struct Owned {
    buffers: sync::Arc<Buffers>,
    id: buffers::Id,
    cut: CancellationToken,
    /// Signalled when the caller has taken something.
    room: Notify,
}

impl Drop for Owned {
    fn drop(&mut self) {
        let mut inner = state::lock(&self.buffers.inner);
        inner.ledger.close(self.id);
        inner.cuts.remove(&self.id);
    }
}

impl Buffers {
    /// Creates the accounts of a process that may use `memory` bytes.
    pub(crate) fn new(clock: crate::BootClock, memory: u64, metrics: metrics::Metrics) -> Buffers {
        let settings = buffers::Settings::default();
        let ledger = buffers::Ledger::new(settings, settings.bound(memory));
        metrics.set_buffer_bound(ledger.bound());
        let inner = Inner { ledger, cuts: collections::HashMap::new() };
        Buffers { clock, metrics, inner: sync::Mutex::new(inner) }
    }

    /// Opens the account of a request that may need up to `bytes` bytes; `None` if too little is
    /// left and no caller gives way to it.
    pub(crate) fn open(self: &sync::Arc<Self>, bytes: usize) -> Option<Account> {
        let now = self.clock.now();
        let mut inner = state::lock(&self.inner);
        while let Some(id) = inner.ledger.make_room(bytes, now) {
            self.cut_off(&inner, id);
        }
        if !inner.ledger.admits(bytes) {
            return None;
        }
        let id = inner.ledger.open(now);
        let cut = CancellationToken::new();
        inner.cuts.insert(id, cut.clone());
        drop(inner);
        let buffers = self.clone();
        Some(Account(sync::Arc::new(Owned { buffers, id, cut, room: Notify::new() })))
    }

    /// Signals to the request `id` that its caller gives way.
    fn cut_off(&self, inner: &Inner, id: buffers::Id) {
        let Some(cut) = inner.cuts.get(&id) else { return };
        self.metrics.slow_callers_cut.inc();
        event::Line::new("slow_caller_cut")
            .number("waiting_bytes", inner.ledger.waiting(id))
            .number("held_bytes", inner.ledger.held())
            .number("bound_bytes", inner.ledger.bound())
            .warn();
        cut.cancel();
    }

    /// Returns the bytes that heads of requests may take which have not arrived completely.
    pub(crate) fn head_bound(&self) -> usize {
        state::lock(&self.inner).ledger.head_bound()
    }

    /// Sets the bytes of heads that have not arrived completely. Returns how many of them have to be
    /// released.
    pub(crate) fn set_heads(&self, bytes: usize) -> usize {
        let mut excess = 0;
        self.change(|ledger, _| excess = ledger.set_heads(bytes));
        excess
    }

    /// Sets the metric of the bytes that are held.
    pub(crate) fn update_metrics(&self) {
        self.metrics.set_buffered(state::lock(&self.inner).ledger.held());
    }

    /// Applies `change`, and cuts off a request if more is held than may be. Returns whether no
    /// request can be cut off for it.
    fn change<Change>(&self, change: Change) -> bool
    where
        Change: FnOnce(&mut buffers::Ledger, clock::Moment),
    {
        let now = self.clock.now();
        let mut inner = state::lock(&self.inner);
        change(&mut inner.ledger, now);
        if !inner.ledger.is_over() {
            return false;
        }
        let Some(id) = inner.ledger.cut(now) else { return inner.ledger.is_short() };
        self.cut_off(&inner, id);
        false
    }
}

impl Account {
    /// Adds `bytes` that are kept for the request. Returns whether they may be: if not, the host is
    /// out of memory and no slow caller can give way.
    pub(crate) fn keep(&self, bytes: usize) -> bool {
        !self.0.buffers.change(|ledger, _| ledger.keep(self.0.id, bytes))
    }

    /// Removes `bytes` that were kept.
    pub(crate) fn release(&self, bytes: usize) {
        self.0.buffers.change(|ledger, _| ledger.release(self.0.id, bytes));
    }

    /// Replaces `old` bytes that were kept by `new` ones. Returns whether they may be kept, as
    /// [`Account::keep`].
    pub(crate) fn replace(&self, old: usize, new: usize) -> bool {
        if new == old {
            return true;
        }
        !self.0.buffers.change(|ledger, _| {
            ledger.release(self.0.id, old);
            ledger.keep(self.0.id, new);
        })
    }

    /// Records that the caller begins to send its body.
    pub(crate) fn upload(&self) {
        self.0.buffers.change(|ledger, _| ledger.upload(self.0.id));
    }

    /// Adds `bytes` that wait until the caller takes them.
    pub(crate) fn wait(&self, bytes: usize) {
        self.0.buffers.change(|ledger, now| ledger.wait(self.0.id, bytes, now));
    }

    /// Removes `bytes` that the caller has taken.
    pub(crate) fn take(&self, bytes: usize) {
        let mut has_room = false;
        self.0.buffers.change(|ledger, now| {
            ledger.take(self.0.id, bytes, now);
            has_room = !ledger.is_ahead(self.0.id);
        });
        if has_room {
            self.0.room.notify_one();
        }
    }

    /// Adds `bytes` that the caller sent of its body. Returns whether they may be held.
    pub(crate) fn receive(&self, bytes: usize) -> bool {
        !self.0.buffers.change(|ledger, now| ledger.receive(self.0.id, bytes, now))
    }

    /// Keeps what the caller has sent: its body is complete.
    pub(crate) fn complete(&self) {
        self.0.buffers.change(|ledger, _| ledger.complete(self.0.id));
    }

    /// Returns how many bytes wait for the caller.
    pub(crate) fn waiting(&self) -> usize {
        state::lock(&self.0.buffers.inner).ledger.waiting(self.0.id)
    }

    /// Waits until no more is read ahead than may be.
    pub(crate) async fn wait_for_room(&self) {
        while state::lock(&self.0.buffers.inner).ledger.is_ahead(self.0.id) {
            self.0.room.notified().await;
        }
    }

    /// Waits until the request is cut off to free memory.
    pub(crate) async fn wait_for_cut(&self) {
        self.0.cut.cancelled().await;
    }
}

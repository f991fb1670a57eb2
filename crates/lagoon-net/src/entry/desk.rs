//! Admission queue of each model: hands out upstream slots and lets requests wait for them.
//!
//! Guards against leaked slots: if a caller disconnects or a handler panics between acquiring a
//! slot and reporting its end, the engine's slot would stay taken until the process restarts.
//! [`Slot`] and [`Queued`] release what they hold when dropped. A slot is sent to its waiter as a
//! [`Slot`], so it is also released if the waiter is gone by then. Nothing else holds a scheduler
//! ticket.

use std::collections;
use std::mem;
use std::sync;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load;
use lagoonline::outcome;
use tokio::sync as async_sync;

/// The result that a waiting request gets: a slot or a refusal.
type Turn = Result<Place, outcome::Failure>;

/// The scheduler of one model together with the requests that wait in it.
#[derive(Debug)]
pub(crate) struct Desk {
    clock: clock::System,
    shard: sync::Arc<sync::Mutex<load::Scheduler>>,
    waiting: sync::Mutex<collections::HashMap<load::Waiter, async_sync::oneshot::Sender<Turn>>>,
    /// Notified when a request starts to wait, since that may bring the next wake time forward.
    changed: async_sync::Notify,
}

/// Decision on a request.
#[derive(Debug)]
pub(crate) enum Offer {
    /// A slot on an upstream.
    Place(Place),
    /// The request waits in the queue.
    Wait(Seat),
    /// The request is refused.
    Refuse(outcome::Failure),
}

impl Desk {
    pub(crate) fn new(
        clock: clock::System,
        shard: sync::Arc<sync::Mutex<load::Scheduler>>,
    ) -> sync::Arc<Desk> {
        let waiting = sync::Mutex::default();
        sync::Arc::new(Desk { clock, shard, waiting, changed: async_sync::Notify::new() })
    }

    /// Asks the scheduler for a slot. If none is free, the request waits or is refused.
    pub(crate) fn offer(self: &sync::Arc<Self>, ask: load::Request) -> Offer {
        let mut scheduler = load::lock(&self.shard);
        let verdict = scheduler.offer(self.clock.now(), ask);
        self.settle(scheduler, verdict)
    }

    /// Turns a verdict into a decision. A waiting request is registered under the scheduler's lock,
    /// so that it cannot be granted a slot before it is registered.
    fn settle(
        self: &sync::Arc<Self>,
        scheduler: sync::MutexGuard<'_, load::Scheduler>,
        verdict: load::Verdict,
    ) -> Offer {
        match verdict {
            load::Verdict::Dispatch(placement) => Offer::Place(self.place(placement)),
            load::Verdict::Refuse(failure) => Offer::Refuse(failure),
            load::Verdict::Wait(waiter) => {
                let (sender, turn) = async_sync::oneshot::channel();
                self.waiting().insert(waiter, sender);
                drop(scheduler);
                self.changed.notify_one();
                Offer::Wait(Seat { desk: self.clone(), waiter, turn })
            }
        }
    }

    fn waiting(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<load::Waiter, async_sync::oneshot::Sender<Turn>>>
    {
        self.waiting.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn place(self: &sync::Arc<Self>, placement: load::Placement) -> Place {
        Place { desk: self.clone(), placement: Some(placement) }
    }

    /// Sends the slots and refusals that are due to the requests waiting for them.
    pub(crate) fn turn(self: &sync::Arc<Self>) {
        let mut due = Vec::new();
        {
            let mut scheduler = load::lock(&self.shard);
            let wakes = scheduler.poll(self.clock.now());
            let mut waiting = self.waiting();
            for wake in wakes {
                let (waiter, turn) = match wake {
                    load::Wake::Dispatch(waiter, placement) => (waiter, Ok(self.place(placement))),
                    load::Wake::Refuse(waiter, failure) => (waiter, Err(failure)),
                };
                due.push((waiting.remove(&waiter), turn));
            }
        }
        // Outside the locks: a slot whose waiter is gone is dropped here, which releases it.
        for (sender, turn) in due {
            if let Some(sender) = sender {
                let _gone = sender.send(turn);
            }
        }
    }

    pub(crate) fn set_leaving(self: &sync::Arc<Self>, upstream: &id::Upstream, leaving: bool) {
        load::lock(&self.shard).set_leaving(self.clock.now(), upstream, leaving);
        self.turn();
    }

    pub(crate) fn observe(&self, upstream: &id::Upstream, load: &lagoonline::port::engine::Load) {
        load::lock(&self.shard).observe(self.clock.now(), upstream, load);
    }

    /// Returns the current estimate of prompt bytes per token.
    pub(crate) fn ratio(&self) -> load::tokens::Ratio {
        load::lock(&self.shard).ratio()
    }

    /// Updates the bytes per token estimate: an engine counted `tokens` in a prompt of `bytes`
    /// bytes.
    pub(crate) fn counted(&self, bytes: usize, tokens: u64) {
        load::lock(&self.shard).record_token_count(bytes as u64, tokens);
    }

    pub(crate) fn waiters(&self) -> usize {
        self.waiting().len()
    }

    /// Returns the number of slots in use.
    pub(crate) fn dispatched(&self) -> usize {
        load::lock(&self.shard).dispatched()
    }

    /// Wakes requests that are due until the queue is dropped.
    pub(crate) async fn keep(desk: sync::Weak<Desk>) {
        while let Some(desk) = desk.upgrade() {
            let now = desk.clock.now();
            let wake = load::lock(&desk.shard).next_wake();
            let pause = wake.since(now).clamp(SHORTEST_PAUSE, LONGEST_PAUSE);
            let changed = desk.changed.notified();
            let _timeout = tokio::time::timeout(pause, changed).await;
            desk.turn();
        }
    }
}

/// Lower bound of the sleep, so that a wake time in the past does not cause a busy loop.
const SHORTEST_PAUSE: clock::Span = clock::Span::from_millis(1);
/// Upper bound of the sleep, and so of the time that a replaced queue stays in memory.
const LONGEST_PAUSE: clock::Span = clock::Span::from_secs(1);

/// A slot on an upstream. Dropping it without [`Slot::finish`] reports the attempt as abandoned.
#[derive(Debug)]
pub(crate) struct Place {
    desk: sync::Arc<Desk>,
    placement: Option<load::Placement>,
}

impl Place {
    pub(crate) fn upstream(&self) -> &id::Upstream {
        static NONE: sync::OnceLock<id::Upstream> = sync::OnceLock::new();
        match &self.placement {
            Some(placement) => &placement.upstream,
            None => NONE.get_or_init(id::Upstream::default),
        }
    }

    pub(crate) fn priority(&self) -> u8 {
        self.placement.as_ref().map_or(0, |placement| placement.priority)
    }

    /// Returns the engines of a group with the tokens on each; empty when one engine holds the
    /// prompt.
    pub(crate) fn group(&self) -> Vec<(&id::Upstream, u64)> {
        let Some(placement) = &self.placement else { return Vec::new() };
        let names = std::iter::once(&placement.upstream).chain(&placement.members);
        names.zip(placement.spans.iter().copied()).collect()
    }

    /// Returns the longest accepted silence before the first token and between tokens.
    pub(crate) fn silence(&self) -> (clock::Span, clock::Span) {
        let usual = load::silence::between_tokens(0.0);
        self.placement.as_ref().map_or((usual, usual), |known| (known.silence, known.gap))
    }

    /// Returns whether another upstream could take the request from a silent one; false for a slot
    /// that was released.
    pub(crate) fn is_better_elsewhere(&self, ask: &load::Request) -> bool {
        self.placement.as_ref().is_some_and(|placement| {
            let now = self.desk.clock.now();
            load::lock(&self.desk.shard).is_better_elsewhere(now, placement.ticket, ask)
        })
    }

    /// Reports to the scheduler that the first token arrived.
    pub(crate) fn first_token(&self) {
        if let Some(placement) = &self.placement {
            let now = self.desk.clock.now();
            load::lock(&self.desk.shard).first_token(now, placement.ticket);
        }
    }

    /// Releases the slot. The value that is returned names no upstream; it can still request
    /// another slot.
    pub(crate) fn detached(mut self) -> Place {
        self.give_back(load::Ending::Abandoned);
        self
    }

    /// Releases the slot and reports how the attempt ended.
    pub(crate) fn finish(mut self, ending: load::Ending) {
        self.give_back(ending);
    }

    fn give_back(&mut self, ending: load::Ending) {
        let Some(placement) = self.placement.take() else { return };
        load::lock(&self.desk.shard).finish(self.desk.clock.now(), placement.ticket, ending);
        self.desk.turn();
    }

    /// Ends this attempt and requests another slot.
    pub(crate) fn again(mut self, ending: load::Ending, ask: load::Request) -> Offer {
        let Some(placement) = self.placement.take() else { return self.desk.offer(ask) };
        let desk = self.desk.clone();
        let offer = {
            let mut scheduler = load::lock(&desk.shard);
            let verdict = scheduler.retry(desk.clock.now(), placement.ticket, ending, ask);
            desk.settle(scheduler, verdict)
        };
        desk.turn();
        offer
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.give_back(load::Ending::Abandoned);
    }
}

/// A waiting request. Dropping it removes it from the queue.
#[derive(Debug)]
pub(crate) struct Seat {
    desk: sync::Arc<Desk>,
    waiter: load::Waiter,
    turn: async_sync::oneshot::Receiver<Turn>,
}

impl Seat {
    /// Waits for a slot or a refusal.
    pub(crate) async fn turn(mut self) -> Turn {
        let turn = mem::replace(&mut self.turn, async_sync::oneshot::channel().1);
        let gone = || {
            let step = outcome::Step::Queue;
            outcome::Failure::new(outcome::Reason::Internal, step, outcome::Outcome::NotRun)
        };
        turn.await.unwrap_or_else(|_| Err(gone()))
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut scheduler = load::lock(&self.desk.shard);
        if self.desk.waiting().remove(&self.waiter).is_some() {
            scheduler.cancel(self.waiter);
        }
    }
}

//! Places and waiting for them: one desk for each model, over its scheduler.
//!
//! Failure answered: a caller leaves, or a handler panics, between getting a place and reporting
//! its end. Symptom: the engine's slot stays taken until the process restarts. [`Place`] and
//! [`Seat`] give back what they hold when dropped, and a place travels to its waiter as such, so a
//! waiter that is gone when its turn comes gives it back too. That is enough because nothing else
//! holds a ticket.

use std::collections;
use std::mem;
use std::sync;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load;
use lagoonline::outcome;
use tokio::sync as async_sync;

type Turn = Result<Place, outcome::Failure>;

/// Scheduler of one model with the requests that wait for it.
#[derive(Debug)]
pub(crate) struct Desk {
    clock: clock::System,
    shard: sync::Arc<sync::Mutex<load::Scheduler>>,
    waiting: sync::Mutex<collections::HashMap<load::Waiter, async_sync::oneshot::Sender<Turn>>>,
    changed: async_sync::Notify,
}

/// Answer to an offer.
#[derive(Debug)]
pub(crate) enum Offer {
    Place(Place),
    Wait(Seat),
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

    pub(crate) fn offer(self: &sync::Arc<Self>, ask: load::Ask) -> Offer {
        let mut scheduler = load::lock(&self.shard);
        let verdict = scheduler.offer(self.clock.now(), ask);
        self.settle(scheduler, verdict)
    }

    /// The seat is entered under the scheduler's lock, so that no turn can come before it.
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

    /// Hands out the places and refusals that are due.
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
        // Outside the locks: a turn whose waiter is gone is dropped here and gives its place back.
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

    /// Bytes for each token of the model's prompts.
    pub(crate) fn ratio(&self) -> load::tokens::Ratio {
        load::lock(&self.shard).ratio()
    }

    /// An engine counted `tokens` tokens in a prompt of `bytes` bytes.
    pub(crate) fn counted(&self, bytes: usize, tokens: u64) {
        load::lock(&self.shard).counted(bytes as u64, tokens);
    }

    pub(crate) fn waiters(&self) -> usize {
        self.waiting().len()
    }

    /// Places that were given out and not given back.
    pub(crate) fn dispatched(&self) -> usize {
        load::lock(&self.shard).dispatched()
    }

    /// Gives out due turns until the desk is dropped.
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

/// Keeps a wake in the past from spinning.
const SHORTEST_PAUSE: clock::Span = clock::Span::from_millis(1);
/// How long a desk that was replaced may live on.
const LONGEST_PAUSE: clock::Span = clock::Span::from_secs(1);

/// A place on an upstream; dropped without a word, it counts as abandoned.
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

    /// The engines of a group with the tokens of each; empty when one engine holds the prompt.
    pub(crate) fn group(&self) -> Vec<(&id::Upstream, u64)> {
        let Some(placement) = &self.placement else { return Vec::new() };
        let names = std::iter::once(&placement.upstream).chain(&placement.members);
        names.zip(placement.spans.iter().copied()).collect()
    }

    /// Longest silence before the first token and between tokens.
    pub(crate) fn silence(&self) -> (clock::Span, clock::Span) {
        let usual = load::silence::between(0.0);
        self.placement.as_ref().map_or((usual, usual), |known| (known.silence, known.gap))
    }

    /// Whether another upstream could take the request over from a silent one; never for a place
    /// that was given back.
    pub(crate) fn is_better_elsewhere(&self, ask: &load::Ask) -> bool {
        self.placement.as_ref().is_some_and(|placement| {
            let now = self.desk.clock.now();
            load::lock(&self.desk.shard).is_better_elsewhere(now, placement.ticket, ask)
        })
    }

    pub(crate) fn first_token(&self) {
        if let Some(placement) = &self.placement {
            let now = self.desk.clock.now();
            load::lock(&self.desk.shard).first_token(now, placement.ticket);
        }
    }

    /// Gives the place back; what is left names no upstream and may ask again.
    pub(crate) fn detached(mut self) -> Place {
        self.give_back(load::Ending::Abandoned);
        self
    }

    pub(crate) fn finish(mut self, ending: load::Ending) {
        self.give_back(ending);
    }

    fn give_back(&mut self, ending: load::Ending) {
        let Some(placement) = self.placement.take() else { return };
        load::lock(&self.desk.shard).finish(self.desk.clock.now(), placement.ticket, ending);
        self.desk.turn();
    }

    /// Ends this attempt and asks for another place.
    pub(crate) fn again(mut self, ending: load::Ending, ask: load::Ask) -> Offer {
        let Some(placement) = self.placement.take() else { return self.desk.offer(ask) };
        let desk = self.desk.clone();
        let offer = {
            let mut scheduler = load::lock(&desk.shard);
            let verdict = scheduler.again(desk.clock.now(), placement.ticket, ending, ask);
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

/// A waiting request; dropped, it leaves the queue.
#[derive(Debug)]
pub(crate) struct Seat {
    desk: sync::Arc<Desk>,
    waiter: load::Waiter,
    turn: async_sync::oneshot::Receiver<Turn>,
}

impl Seat {
    /// The place or the refusal, once it is this request's turn.
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
            scheduler.leave(self.waiter);
        }
    }
}

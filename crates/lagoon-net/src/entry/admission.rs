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

/// What a waiting request finally gets: a slot or a refusal.
type Grant = Result<Slot, outcome::Failure>;

/// The scheduler of one model together with the requests that wait in it.
#[derive(Debug)]
pub(crate) struct Queue {
    clock: clock::System,
    /// The scheduler of the model.
    scheduler: sync::Arc<sync::Mutex<load::Scheduler>>,
    /// Channels to the waiting requests.
    waiting: sync::Mutex<collections::HashMap<load::Waiter, async_sync::oneshot::Sender<Grant>>>,
    /// Notified when a request starts to wait, since that may bring the next wake time forward.
    changed: async_sync::Notify,
}

/// Decision on a request: a `load::Verdict` with the slot or the queue position as an owned value.
#[derive(Debug)]
pub(crate) enum Decision {
    /// A slot on an upstream.
    Slot(Slot),
    /// The request waits in the queue.
    Queued(Queued),
    /// The request is refused.
    Refused(outcome::Failure),
}

impl Queue {
    pub(crate) fn new(
        clock: clock::System,
        scheduler: sync::Arc<sync::Mutex<load::Scheduler>>,
    ) -> sync::Arc<Queue> {
        let waiting = sync::Mutex::default();
        sync::Arc::new(Queue { clock, scheduler, waiting, changed: async_sync::Notify::new() })
    }

    /// Asks the scheduler for a slot. If none is free, the request waits or is refused.
    pub(crate) fn offer(self: &sync::Arc<Self>, request: load::Request) -> Decision {
        let mut scheduler = load::lock(&self.scheduler);
        let verdict = scheduler.offer(self.clock.now(), request);
        self.decide(scheduler, verdict)
    }

    /// Turns a verdict into a decision. A waiting request is registered under the scheduler's lock,
    /// so that it cannot be granted a slot before it is registered.
    fn decide(
        self: &sync::Arc<Self>,
        scheduler: sync::MutexGuard<'_, load::Scheduler>,
        verdict: load::Verdict,
    ) -> Decision {
        match verdict {
            load::Verdict::Dispatch(placement) => Decision::Slot(self.new_slot(placement)),
            load::Verdict::Refuse(failure) => Decision::Refused(failure),
            load::Verdict::Wait(waiter) => {
                let (sender, grant) = async_sync::oneshot::channel();
                self.waiting().insert(waiter, sender);
                drop(scheduler);
                self.changed.notify_one();
                Decision::Queued(Queued { queue: self.clone(), waiter, grant })
            }
        }
    }

    fn waiting(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<load::Waiter, async_sync::oneshot::Sender<Grant>>>
    {
        self.waiting.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn new_slot(self: &sync::Arc<Self>, placement: load::Placement) -> Slot {
        Slot { queue: self.clone(), placement: Some(placement) }
    }

    /// Sends the slots and refusals that are due to the requests waiting for them.
    pub(crate) fn wake_due(self: &sync::Arc<Self>) {
        let mut due = Vec::new();
        {
            let mut scheduler = load::lock(&self.scheduler);
            let wakes = scheduler.poll(self.clock.now());
            let mut waiting = self.waiting();
            for wake in wakes {
                let (waiter, grant) = match wake {
                    load::Wake::Dispatch(waiter, placement) => {
                        (waiter, Ok(self.new_slot(placement)))
                    }
                    load::Wake::Refuse(waiter, failure) => (waiter, Err(failure)),
                };
                due.push((waiting.remove(&waiter), grant));
            }
        }
        // Outside the locks: a slot whose waiter is gone is dropped here, which releases it.
        for (sender, grant) in due {
            if let Some(sender) = sender {
                let _dropped = sender.send(grant);
            }
        }
    }

    pub(crate) fn set_leaving(self: &sync::Arc<Self>, upstream: &id::Upstream, leaving: bool) {
        load::lock(&self.scheduler).set_leaving(self.clock.now(), upstream, leaving);
        self.wake_due();
    }

    pub(crate) fn observe(
        &self,
        upstream: &id::Upstream,
        load: &lagoonline::port::engine::LoadReport,
    ) {
        load::lock(&self.scheduler).observe(self.clock.now(), upstream, load);
    }

    /// Returns the current estimate of prompt bytes per token.
    pub(crate) fn bytes_per_token(&self) -> load::tokens::Ratio {
        load::lock(&self.scheduler).ratio()
    }

    /// Updates the bytes per token estimate: an engine counted `tokens` in a prompt of `bytes`
    /// bytes.
    pub(crate) fn record_prompt_tokens(&self, bytes: usize, tokens: u64) {
        load::lock(&self.scheduler).record_token_count(bytes as u64, tokens);
    }

    /// Returns the number of waiting requests.
    pub(crate) fn queued(&self) -> usize {
        self.waiting().len()
    }

    /// Returns the number of slots in use.
    pub(crate) fn slots_in_use(&self) -> usize {
        load::lock(&self.scheduler).dispatched()
    }

    /// Wakes requests that are due until the queue is dropped.
    pub(crate) async fn run(queue: sync::Weak<Queue>) {
        while let Some(queue) = queue.upgrade() {
            let now = queue.clock.now();
            let wake = load::lock(&queue.scheduler).next_wake();
            let pause = wake.since(now).clamp(MIN_PAUSE, MAX_PAUSE);
            let changed = queue.changed.notified();
            let _timeout = tokio::time::timeout(pause, changed).await;
            queue.wake_due();
        }
    }
}

/// Lower bound of the sleep, so that a wake time in the past does not cause a busy loop.
const MIN_PAUSE: clock::Span = clock::Span::from_millis(1);
/// Upper bound of the sleep, and so of the time that a replaced queue stays in memory.
const MAX_PAUSE: clock::Span = clock::Span::from_secs(1);

/// A slot on an upstream. Dropping it without [`Slot::finish`] reports the attempt as abandoned.
#[derive(Debug)]
pub(crate) struct Slot {
    queue: sync::Arc<Queue>,
    /// `None` once the slot is released.
    placement: Option<load::Placement>,
}

impl Slot {
    /// Returns the upstream; an empty name after the slot was released.
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

    /// Returns the prompt tokens that the upstream was believed to have cached at dispatch; 0 after
    /// the slot was released.
    pub(crate) fn believed_cached_tokens(&self) -> u64 {
        self.placement.as_ref().map_or(0, |placement| placement.cached_tokens)
    }

    /// Returns the engines of a group with the tokens on each; empty when one engine holds the
    /// prompt.
    pub(crate) fn group_members(&self) -> Vec<(&id::Upstream, u64)> {
        let Some(placement) = &self.placement else { return Vec::new() };
        let names = std::iter::once(&placement.upstream).chain(&placement.members);
        names.zip(placement.reserve_tokens.iter().copied()).collect()
    }

    /// Returns the longest accepted silence before the first token and between tokens. A slot that
    /// was released gets the shortest limit for both.
    pub(crate) fn silence(&self) -> (clock::Span, clock::Span) {
        // 0 stands for an unknown time between tokens and gives the shortest limit.
        let default = load::silence::between_tokens(0.0);
        self.placement.as_ref().map_or((default, default), |placement| {
            (placement.first_token_silence, placement.token_silence)
        })
    }

    /// Returns whether another upstream has capacity for the request now, with a retry left in the
    /// budget; false for a slot that was released.
    pub(crate) fn has_alternative(&self, request: &load::Request) -> bool {
        self.placement.as_ref().is_some_and(|placement| {
            let now = self.queue.clock.now();
            load::lock(&self.queue.scheduler).is_better_elsewhere(now, placement.ticket, request)
        })
    }

    /// Reports to the scheduler that the first token arrived.
    pub(crate) fn record_first_token(&self) {
        if let Some(placement) = &self.placement {
            let now = self.queue.clock.now();
            load::lock(&self.queue.scheduler).record_first_token(now, placement.ticket);
        }
    }

    /// Releases the slot. The value that is returned names no upstream; it can still request
    /// another slot.
    pub(crate) fn released(mut self) -> Slot {
        self.release(load::Ending::Abandoned);
        self
    }

    /// Releases the slot and reports how the attempt ended.
    pub(crate) fn finish(mut self, ending: load::Ending) {
        self.release(ending);
    }

    fn release(&mut self, ending: load::Ending) {
        let Some(placement) = self.placement.take() else { return };
        load::lock(&self.queue.scheduler).finish(self.queue.clock.now(), placement.ticket, ending);
        self.queue.wake_due();
    }

    /// Ends this attempt and requests another slot.
    pub(crate) fn retry(mut self, ending: load::Ending, request: load::Request) -> Decision {
        let Some(placement) = self.placement.take() else { return self.queue.offer(request) };
        let queue = self.queue.clone();
        let decision = {
            let mut scheduler = load::lock(&queue.scheduler);
            let verdict = scheduler.retry(queue.clock.now(), placement.ticket, ending, request);
            queue.decide(scheduler, verdict)
        };
        queue.wake_due();
        decision
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.release(load::Ending::Abandoned);
    }
}

/// A waiting request. Dropping it removes it from the queue.
#[derive(Debug)]
pub(crate) struct Queued {
    queue: sync::Arc<Queue>,
    waiter: load::Waiter,
    grant: async_sync::oneshot::Receiver<Grant>,
}

impl Queued {
    /// Waits for a slot or a refusal.
    pub(crate) async fn granted(mut self) -> Grant {
        let grant = mem::replace(&mut self.grant, async_sync::oneshot::channel().1);
        let dropped = || {
            let step = outcome::Step::Queue;
            outcome::Failure::new(outcome::Reason::Internal, step, outcome::Outcome::NotRun)
        };
        grant.await.unwrap_or_else(|_| Err(dropped()))
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        let mut scheduler = load::lock(&self.queue.scheduler);
        if self.queue.waiting().remove(&self.waiter).is_some() {
            scheduler.cancel(self.waiter);
        }
    }
}

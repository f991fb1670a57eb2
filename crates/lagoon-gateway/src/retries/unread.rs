//! Requests that are given up while nothing shows that their upstream has read them. It may read them
//! later, so that their retries count on, see [`lagoonline::load::retry`].

use std::sync;
use std::sync::atomic;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;

use crate::forward;
use crate::state;

/// What was sent of a request.
#[derive(Debug, Default)]
pub(crate) struct Sends(sync::Mutex<Record>);

#[derive(Debug, Default)]
struct Record {
    /// When each retry was sent.
    retries: Vec<clock::Moment>,
    /// Upstreams that may not have read it and that the budget does not know of yet: until it is
    /// retried, what they read is its first.
    unread: Vec<id::Upstream>,
    /// Identifies the request in the budget.
    number: Option<u64>,
}

/// A request that was sent to an upstream. Unless [`Sent::end`] is called, the upstream may not have
/// read it when this is dropped.
#[derive(Debug)]
pub(crate) struct Sent<'a> {
    admitted: &'a forward::Admitted,
    upstream: &'a id::Upstream,
    is_over: bool,
}

impl<'a> Sent<'a> {
    pub(crate) fn new(admitted: &'a forward::Admitted, upstream: &'a id::Upstream) -> Sent<'a> {
        Sent { admitted, upstream, is_over: false }
    }

    /// Records that the upstream has read the request, or never will.
    pub(crate) fn end(mut self) {
        self.is_over = true;
    }
}

impl Drop for Sent<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            state::lock(&self.admitted.sends.0).unread.push(self.upstream.clone());
            self.admitted.count_unread();
        }
    }
}

impl forward::Admitted {
    /// Records that a retry of the request is sent now.
    pub(crate) fn record_retry_sent(&self) {
        state::lock(&self.sends.0).retries.push(self.state.clock.now());
        self.count_unread();
    }

    /// Tells the budget which upstreams may still read the request, if it was retried.
    fn count_unread(&self) {
        let mut sends = state::lock(&self.sends.0);
        let Some(sent_at) = sends.retries.first().copied() else { return };
        let unread = std::mem::take(&mut sends.unread);
        if unread.is_empty() {
            return;
        }
        let retries = u32::try_from(sends.retries.len()).unwrap_or(u32::MAX);
        let number = *sends.number.get_or_insert_with(|| self.state.next_dispatch_id().number);
        drop(sends);
        self.state.with_budget(&self.service, |budget, now| {
            for upstream in &unread {
                budget.record_unread(number, upstream, retries, sent_at, now);
            }
            self.state.retries.has_unread.store(true, atomic::Ordering::Relaxed);
        });
    }
}

impl state::State {
    /// Records that an upstream of `service` has read by now what it will read of the requests that were
    /// given up there, since it answers, or its host keeps nothing for it.
    pub(crate) fn settle_unread(&self, service: &id::Service, upstream: &id::Upstream) {
        if self.retries.has_unread.load(atomic::Ordering::Relaxed) {
            self.with_budget(service, |budget, now| budget.settle_unread(upstream, now));
        }
    }

    /// Records that the process of an upstream of `service` has ended, and reads nothing of what was given
    /// up there.
    pub(crate) fn forget_unread(&self, service: &id::Service, upstream: &id::Upstream) {
        if self.retries.has_unread.load(atomic::Ordering::Relaxed) {
            self.with_budget(service, |budget, _| budget.forget_unread(upstream));
        }
    }
}

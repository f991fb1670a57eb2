//! Retries that upstreams may still read.
//!
//! A process that is frozen reads nothing, but the kernel takes connections and requests for it and
//! keeps them, also when the sender has given them up. When the process wakes, it reads all of them
//! at once. So a retry that has left the window counts on until the upstreams that may not have read
//! the request show that they read again, and for a window from then on.

use std::collections;

use super::window::{Usage, Window};
use crate::clock;
use crate::id;

/// Time after which a request that was given up is taken for lost, so that upstreams that never come
/// back do not use up the retries of others.
const MAX_AGE: clock::Span = clock::Span::from_secs(30);

/// The retries of one request.
#[derive(Clone, Debug)]
struct Hold {
    /// Upstreams that may not have read it yet.
    upstreams: Vec<id::Upstream>,
    /// Retries among what these may still read.
    retries: u32,
    /// When the first of the retries was sent, from which on it counts in the window.
    sent_at: clock::Moment,
    /// When the latest of the upstreams was given up.
    given_up_at: clock::Moment,
}

/// The retries of requests that upstreams may still read, by the number of the request.
#[derive(Clone, Debug, Default)]
pub(super) struct Unread(collections::BTreeMap<u64, Hold>);

impl Unread {
    /// Records that `upstream` may not have read `request` yet, of which `retries` were sent, the first
    /// of them at `sent_at`.
    pub(super) fn add(
        &mut self,
        request: u64,
        upstream: &id::Upstream,
        retries: u32,
        sent_at: clock::Moment,
        now: clock::Moment,
    ) {
        let upstreams = Vec::new();
        let new = Hold { upstreams, retries: 0, sent_at, given_up_at: now };
        let hold = self.0.entry(request).or_insert(new);
        hold.upstreams.push(upstream.clone());
        hold.retries = retries.min(hold.retries + 1);
        hold.sent_at = hold.sent_at.min(sent_at);
        hold.given_up_at = now;
    }

    /// Returns the retries that were sent before the window and may still be read.
    pub(super) fn before(&self, oldest: clock::Moment) -> u32 {
        let held = self.0.values().filter(|hold| hold.sent_at <= oldest);
        held.map(|hold| hold.retries).sum()
    }

    /// Records that `upstream` has read what it may read of the requests that were given up. Their
    /// retries count from now on in `window`, unless other upstreams may still read them.
    pub(super) fn settle(
        &mut self,
        upstream: &id::Upstream,
        window: &mut Window,
        now: clock::Moment,
    ) {
        self.remove(upstream, |hold| {
            for _ in 0..hold.retries {
                window.remove_retry(hold.sent_at);
            }
            window.add(Usage { requests: 0, retries: hold.retries }, now);
        });
    }

    /// Records that `upstream` has ended, and reads nothing any more.
    pub(super) fn forget(&mut self, upstream: &id::Upstream) {
        self.remove(upstream, |_| {});
    }

    /// Removes `upstream` from all requests, and calls `settled` for those that no other upstream may
    /// read.
    fn remove<Settled>(&mut self, upstream: &id::Upstream, mut settled: Settled)
    where
        Settled: FnMut(&Hold),
    {
        self.0.retain(|_, hold| {
            let before = hold.upstreams.len();
            hold.upstreams.retain(|known| known != upstream);
            let is_settled = hold.upstreams.is_empty() && before > 0;
            if is_settled {
                settled(hold);
            }
            !is_settled
        });
    }

    /// Forgets requests that are too old to be read.
    pub(super) fn expire(&mut self, now: clock::Moment) {
        self.0.retain(|_, hold| now.since(hold.given_up_at) <= MAX_AGE);
    }

    /// Returns the number of retries that may still be read.
    pub(super) fn retries(&self) -> u32 {
        self.0.values().map(|hold| hold.retries).sum()
    }
}

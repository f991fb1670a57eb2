//! Retries that upstreams may still read.
//!
//! What was sent may be read much later: a process that is frozen reads nothing while the kernel takes
//! connections and requests for it, and a connection may stall while others to the same process work.
//! So a retry counts until something shows that the connection on which it was sent is not read any more,
//! and for a window from then on. Answers on other connections show nothing of it.

use std::collections;

use super::window::{Usage, Window};
use crate::clock;

/// The sends of one request.
#[derive(Clone, Debug, Default)]
struct Hold {
    /// Sends of which nothing shows that they were read or never will be.
    unread: u32,
    /// When the retries were sent that may still be read, from the first on. The first send that is
    /// read is no retry, so there may be one less than unread sends.
    sent: collections::VecDeque<clock::Moment>,
}

/// Retries that may still be read, by the number of their request.
#[derive(Clone, Debug, Default)]
pub(super) struct Unread(collections::BTreeMap<u64, Hold>);

impl Unread {
    /// Records a retry of `request`, of which `unread` sends may still be read, this one included.
    pub(super) fn add(&mut self, request: u64, unread: u32, now: clock::Moment) {
        let hold = self.0.entry(request).or_default();
        hold.unread = unread;
        hold.sent.push_back(now);
    }

    /// Records that one send of `request` was read at `now` or before: if that was a retry, it counts in
    /// `window` from now on.
    pub(super) fn settle(&mut self, request: u64, window: &mut Window, now: clock::Moment) {
        if let Some(sent_at) = self.remove(request) {
            window.remove_retry(sent_at);
            window.add(Usage { requests: 0, retries: 1 }, now);
        }
    }

    /// Records that one send of `request` is taken for lost.
    pub(super) fn forget(&mut self, request: u64) {
        self.remove(request);
    }

    /// Removes one send of `request`. Returns when the retry was sent that can now no longer be read.
    fn remove(&mut self, request: u64) -> Option<clock::Moment> {
        let hold = self.0.get_mut(&request)?;
        hold.unread = hold.unread.saturating_sub(1);
        let is_fewer = hold.sent.len() > hold.unread as usize;
        let sent_at = if is_fewer { hold.sent.pop_front() } else { None };
        if hold.unread == 0 {
            self.0.remove(&request);
        }
        sent_at
    }

    /// Returns the retries that were sent at `oldest` or before and may still be read.
    pub(super) fn before(&self, oldest: clock::Moment) -> u32 {
        count(self.sent().filter(|at| *at <= oldest))
    }

    /// Whether one of them was sent at `from` or later.
    pub(super) fn was_added_since(&self, from: clock::Moment) -> bool {
        self.sent().any(|at| at >= from)
    }

    /// Returns the number of retries that may still be read.
    pub(super) fn retries(&self) -> u32 {
        count(self.sent())
    }

    fn sent(&self) -> impl Iterator<Item = clock::Moment> {
        self.0.values().flat_map(|hold| hold.sent.iter().copied())
    }
}

fn count<Items>(items: Items) -> u32
where
    Items: Iterator,
{
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}

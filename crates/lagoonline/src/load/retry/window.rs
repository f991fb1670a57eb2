//! Counts of requests and retries in a sliding window.

use std::collections;
use std::ops;

use crate::clock;

/// Slots of a window.
const SLOTS: u64 = 40;

/// Requests of callers and retries in a window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Requests that callers sent, each counted once.
    pub requests: u32,
    /// Sends of requests to upstreams beyond the first of each.
    pub retries: u32,
}

impl ops::AddAssign for Usage {
    fn add_assign(&mut self, other: Usage) {
        self.requests = self.requests.saturating_add(other.requests);
        self.retries = self.retries.saturating_add(other.retries);
    }
}

/// What one process used in the last window, in slots.
#[derive(Clone, Debug)]
pub(super) struct Window {
    slot: clock::Span,
    /// Numbers of the slots since the start of the clock, and what was used in them.
    slots: collections::VecDeque<(u64, Usage)>,
}

impl Window {
    pub(super) fn new(length: clock::Span) -> Window {
        let slot = (length / SLOTS as u32).max(clock::Span::from_millis(1));
        Window { slot, slots: collections::VecDeque::new() }
    }

    fn number(&self, at: clock::Moment) -> u64 {
        at.as_micros() / u64::try_from(self.slot.as_micros()).unwrap_or(u64::MAX)
    }

    /// Adds `usage` at `at`.
    pub(super) fn add(&mut self, usage: Usage, at: clock::Moment) {
        let number = self.number(at);
        match self.slots.back_mut() {
            Some((last, sum)) if *last >= number => *sum += usage,
            _ => self.slots.push_back((number, usage)),
        }
        while self.slots.front().is_some_and(|(first, _)| first + SLOTS < number) {
            self.slots.pop_front();
        }
    }

    /// Takes back a retry that was added at `at` and not sent.
    pub(super) fn remove_retry(&mut self, at: clock::Moment) {
        let number = self.number(at);
        let slot = self.slots.iter_mut().rev().find(|(known, _)| *known <= number);
        if let Some((_, usage)) = slot {
            usage.retries = usage.retries.saturating_sub(1);
        }
    }

    /// What was used in the window that ends at `now`. The oldest slot, which is only partly in the
    /// window, counts with its retries and not with its requests.
    pub(super) fn usage(&self, now: clock::Moment) -> Usage {
        let current = self.number(now);
        let mut sum = Usage::default();
        for (number, usage) in &self.slots {
            match (number + SLOTS).cmp(&current) {
                std::cmp::Ordering::Less => {}
                std::cmp::Ordering::Equal => sum += Usage { requests: 0, ..*usage },
                std::cmp::Ordering::Greater => sum += *usage,
            }
        }
        sum
    }
}

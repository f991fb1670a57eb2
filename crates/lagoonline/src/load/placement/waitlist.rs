//! Prompts that wait at the hosts until engines have the resources for them.

use std::collections;

use super::DispatchId;
use crate::clock;

/// How long a prompt counts as waiting after the last attempt to place it: several times the
/// longest interval between two attempts. A prompt whose caller left is not tried again.
const ATTEMPT_VALIDITY: clock::Span = clock::Span::from_millis(250);

/// A waiting prompt.
#[derive(Clone, Copy, Debug)]
struct Prompt {
    /// Prefill time on one engine in milliseconds.
    prefill_ms: f64,
    /// Sequence number in the order in which prompts began to wait.
    order: u64,
    last_attempt: clock::Moment,
}

/// The waiting prompts that this host places.
#[derive(Clone, Debug)]
pub(super) struct Waitlist {
    prompts: collections::HashMap<DispatchId, Prompt>,
    /// Number of deferred attempts so far, from which a new waiting prompt gets its `order`.
    deferrals: u64,
    /// Number of hosts that place requests, including this one.
    placing_hosts: usize,
}

impl Default for Waitlist {
    fn default() -> Self {
        Waitlist { prompts: collections::HashMap::new(), deferrals: 0, placing_hosts: 1 }
    }
}

impl Waitlist {
    pub(super) fn set_placing_hosts(&mut self, hosts: usize) {
        self.placing_hosts = hosts.max(1);
    }

    pub(super) fn placing_hosts(&self) -> usize {
        self.placing_hosts
    }

    /// Records an attempt to place a prompt with a prefill time of `prefill_ms`; `waits` tells
    /// whether it was deferred and will be tried again.
    pub(super) fn record_attempt(
        &mut self,
        waiter: DispatchId,
        prefill_ms: f64,
        waits: bool,
        now: clock::Moment,
    ) {
        self.prompts.retain(|_, prompt| now.since(prompt.last_attempt) <= ATTEMPT_VALIDITY);
        if !waits {
            self.prompts.remove(&waiter);
            return;
        }
        self.deferrals += 1;
        let prompt = Prompt { prefill_ms, order: self.deferrals, last_attempt: now };
        self.prompts.entry(waiter).or_insert(prompt).last_attempt = now;
    }

    /// Total prefill time at all hosts, in milliseconds, of the prompts ahead of one with a prefill
    /// time of `prefill_ms`: those that began to wait earlier and are not larger, since smaller
    /// prompts overtake larger ones.
    pub(super) fn ahead_ms(&self, waiter: DispatchId, prefill_ms: f64) -> f64 {
        let order = self.prompts.get(&waiter).map_or(u64::MAX, |prompt| prompt.order);
        let ahead = |prompt: &&Prompt| prompt.order < order && prompt.prefill_ms <= prefill_ms;
        let ahead_ms: f64 =
            self.prompts.values().filter(ahead).map(|prompt| prompt.prefill_ms).sum();
        ahead_ms * self.placing_hosts as f64
    }
}

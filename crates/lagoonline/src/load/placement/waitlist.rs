//! Prompts that wait at the hosts until engines have the resources for them.

use std::collections;

use super::DispatchId;
use crate::clock;

/// How long a prompt counts as waiting after the last attempt to place it: several times the
/// longest interval between two attempts. A prompt whose caller left is not tried again.
const ASKED: clock::Span = clock::Span::from_millis(250);

/// A waiting prompt.
#[derive(Clone, Copy, Debug)]
struct Prompt {
    /// Prefill time on one engine in milliseconds.
    read_ms: f64,
    /// Sequence number in the order in which prompts began to wait.
    order: u64,
    asked: clock::Moment,
}

/// The waiting prompts that this host places.
#[derive(Clone, Debug)]
pub(super) struct Waitlist {
    prompts: collections::HashMap<DispatchId, Prompt>,
    begun: u64,
    /// Number of hosts that place requests, including this one.
    placing_hosts: usize,
}

impl Default for Waitlist {
    fn default() -> Self {
        Waitlist { prompts: collections::HashMap::new(), begun: 0, placing_hosts: 1 }
    }
}

impl Waitlist {
    pub(super) fn set_placing_hosts(&mut self, hosts: usize) {
        self.placing_hosts = hosts.max(1);
    }

    /// Records an attempt to place a prompt with a prefill time of `read_ms`; `waits` tells whether
    /// it was deferred and will be tried again.
    pub(super) fn note(&mut self, turn: DispatchId, read_ms: f64, waits: bool, now: clock::Moment) {
        self.prompts.retain(|_, prompt| now.since(prompt.asked) <= ASKED);
        if !waits {
            self.prompts.remove(&turn);
            return;
        }
        self.begun += 1;
        let newcomer = Prompt { read_ms, order: self.begun, asked: now };
        self.prompts.entry(turn).or_insert(newcomer).asked = now;
    }

    /// Total prefill time at all hosts, in milliseconds, of the prompts ahead of one with a prefill
    /// time of `read_ms`: those that began to wait earlier and are not larger, since smaller
    /// prompts overtake larger ones.
    pub(super) fn ahead_ms(&self, turn: DispatchId, read_ms: f64) -> f64 {
        let order = self.prompts.get(&turn).map_or(u64::MAX, |prompt| prompt.order);
        let ahead = |prompt: &&Prompt| prompt.order < order && prompt.read_ms <= read_ms;
        let ahead_ms: f64 = self.prompts.values().filter(ahead).map(|prompt| prompt.read_ms).sum();
        ahead_ms * self.placing_hosts as f64
    }
}

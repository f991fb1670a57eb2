//! Prompts that wait at the hosts until engines have what they need.

use std::collections;

use super::WorkId;
use crate::clock;

/// How long a prompt counts as waiting after its host last asked for it: several times the longest
/// pause between two questions. One whose caller left is not asked for again.
const ASKED: clock::Span = clock::Span::from_millis(250);

/// A prompt that waits.
#[derive(Clone, Copy, Debug)]
struct Prompt {
    /// Milliseconds that one engine would read it.
    read_ms: f64,
    /// Its place in the order in which prompts began to wait.
    order: u64,
    asked: clock::Moment,
}

/// The prompts that wait, as far as this host decides for them.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    prompts: collections::HashMap<WorkId, Prompt>,
    begun: u64,
    /// Hosts that decide where requests go, this one included.
    deciders: usize,
}

impl Default for Waiting {
    fn default() -> Self {
        Waiting { prompts: collections::HashMap::new(), begun: 0, deciders: 1 }
    }
}

impl Waiting {
    pub(super) fn set_deciders(&mut self, deciders: usize) {
        self.deciders = deciders.max(1);
    }

    /// A prompt that one engine would read in `read_ms` was asked for; `waits` tells whether it is
    /// to be asked for again.
    pub(super) fn note(&mut self, turn: WorkId, read_ms: f64, waits: bool, now: clock::Moment) {
        self.prompts.retain(|_, prompt| now.since(prompt.asked) <= ASKED);
        if !waits {
            self.prompts.remove(&turn);
            return;
        }
        self.begun += 1;
        let newcomer = Prompt { read_ms, order: self.begun, asked: now };
        self.prompts.entry(turn).or_insert(newcomer).asked = now;
    }

    /// Milliseconds that one engine would read what goes before a prompt that it would read in
    /// `read_ms`, at all hosts: what began to wait before it and is not larger, since smaller
    /// prompts pass larger ones.
    pub(super) fn ahead_ms(&self, turn: WorkId, read_ms: f64) -> f64 {
        let order = self.prompts.get(&turn).map_or(u64::MAX, |prompt| prompt.order);
        let ahead = |prompt: &&Prompt| prompt.order < order && prompt.read_ms <= read_ms;
        let ahead_ms: f64 = self.prompts.values().filter(ahead).map(|prompt| prompt.read_ms).sum();
        ahead_ms * self.deciders as f64
    }
}

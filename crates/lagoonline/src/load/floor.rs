//! A floor of each engine's rate for longer prompts.
//!
//! Load pattern: saturation by short prompts. Engines prefill strictly by priority, so a long
//! prompt that was admitted would make no progress until the short load falls, and miss its
//! deadline. While longer prompts are pending on an engine, short ones are sent there at no more
//! than the rest of its rate. A fifth is enough: a million tokens at a fifth of 20,000 a second
//! take 250 s of the usual 600 s, and short prompts lose nothing below four fifths of capacity.

use crate::clock;

/// Part of an engine's rate kept for longer prompts that are pending there.
pub const PART: f64 = 0.2;
/// By how much one host's part of the rest may exceed an even one: hosts are not equally busy.
const UNEVEN: f64 = 1.25;
/// Short prefill that may come at once, in seconds of the engine's rate.
const BURST: f64 = 0.5;

/// Short prefill that one host may still send to one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Floor {
    /// Tokens sent beyond the rate, none when longer prompts were not pending.
    sent: f64,
    at: clock::Moment,
}

impl Floor {
    /// Whether short prefill may be sent now to an engine of `rate` tokens a second that
    /// `hosts` hosts share.
    pub fn allows(&self, now: clock::Moment, rate: f64, hosts: u32) -> bool {
        self.left(now, rate, hosts) < BURST * rate / f64::from(hosts.max(1)) * UNEVEN
    }

    /// Short prefill of `tokens` is sent.
    pub fn sent(&mut self, now: clock::Moment, tokens: f64, rate: f64, hosts: u32) {
        self.sent = self.left(now, rate, hosts) + tokens;
        self.at = now;
    }

    fn left(&self, now: clock::Moment, rate: f64, hosts: u32) -> f64 {
        let rest = (1.0 - PART) * rate * UNEVEN / f64::from(hosts.max(1));
        (self.sent - rest * now.since(self.at).as_secs_f64()).max(0.0)
    }
}

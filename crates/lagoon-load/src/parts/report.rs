//! The figures of a simulation.

use serde::Serialize;

/// What callers and engines saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Engines that ended, by a prompt or by a fault.
    pub crashes: u64,
    /// Time from the fifth crash by a prompt until nothing was sent to an engine any more that
    /// crashes it.
    pub last_send_ms: u64,
    /// Lethal prompts sent later than 3 s after the fifth crash, by hosts that are not cut off.
    pub late_sends: u64,
    /// Sound prompts with the customer or the first part of the lethal ones, from 6 s after the fifth
    /// crash on (or after the first fault).
    pub near: u64,
    /// Those that began to be answered at their first attempt.
    pub near_begun: u64,
    /// Sound prompts that were refused as lethal.
    pub refused_sound: u64,
    /// Sound prompts in all.
    pub sound: u64,
    /// Sound prompts that began to be answered.
    pub begun: u64,
    /// Words between hosts about crashes, parts and verdicts.
    pub words: u64,
}

impl Report {
    /// Share of the sound prompts near the lethal ones that began at the first attempt; 1 if there
    /// was none.
    ///
    /// ```
    /// use lagoon_load::parts::Report;
    /// assert_eq!(Report { near: 4, near_begun: 3, ..Report::default() }.near_share(), 0.75);
    /// ```
    pub fn near_share(&self) -> f64 {
        if self.near == 0 { 1.0 } else { self.near_begun as f64 / self.near as f64 }
    }
}

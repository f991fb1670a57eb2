//! Figures of the quarantine.

use crate::clock;

/// What proves that a request crashes upstreams, and what follows.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Crashes, each at a moment of its own, that prove it.
    pub crashes: usize,
    /// Time since an upstream began to answer a request within which its crash may be the
    /// request's doing, also where events of the answer came.
    pub begin: clock::Span,
    /// Time after a crash in which hosts tell what they had under way there. Judged earlier, a
    /// request that fell with a lethal one would look alone.
    pub settle: clock::Span,
    /// Crashes within this of each other are one piece of evidence: a rack that goes down ends
    /// several upstreams at once, and a request of which many copies are under way lies on each.
    pub together: clock::Span,
    /// Reports of a crash of one upstream within this are about the same crash.
    pub same: clock::Span,
    /// How long a suspicion is kept.
    pub memory: clock::Span,
    /// How long a request that was answered whole is no suspect again.
    pub trust: clock::Span,
    /// Length of the first quarantine; each further one is twice as long.
    pub hold: clock::Span,
    /// Length of the longest.
    pub longest_hold: clock::Span,
    /// Most suspects, and most requests in quarantine, that are remembered.
    pub most: usize,
    /// Most crashes that are remembered.
    pub most_crashes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            crashes: 3,
            begin: clock::Span::from_millis(250),
            settle: clock::Span::from_millis(300),
            together: clock::Span::from_millis(100),
            same: clock::Span::from_millis(700),
            memory: clock::Span::from_secs(600),
            trust: clock::Span::from_secs(60),
            hold: clock::Span::from_secs(600),
            longest_hold: clock::Span::from_secs(86_400),
            most: 16_384,
            most_crashes: 2_048,
        }
    }
}

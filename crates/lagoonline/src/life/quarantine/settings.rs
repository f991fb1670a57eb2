//! Settings of the quarantine.

use crate::clock;

/// What counts as proof that a request crashes upstreams, and how long it is then refused.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of crashes at different times that prove it.
    pub crashes: usize,
    /// Time after an answer started during which a crash of the upstream counts against the request
    /// even if events of the answer were received.
    pub begin: clock::Span,
    /// Time after a crash during which hosts report what they had in flight there. If evaluated
    /// earlier, a request that merely ran beside a lethal one could look like the only suspect.
    pub settle: clock::Span,
    /// Crashes within this time of each other count as one. A rack failure takes down several
    /// upstreams at once, and a request with many copies in flight runs on each of them.
    pub together: clock::Span,
    /// Crash reports about one upstream within this time refer to the same crash.
    pub same: clock::Span,
    /// How long evidence against a request is kept.
    pub memory: clock::Span,
    /// How long a request that was answered completely is not suspected again.
    pub trust: clock::Span,
    /// Duration of the first quarantine; each further one lasts twice as long.
    pub hold: clock::Span,
    /// Upper bound on the duration of a quarantine.
    pub longest_hold: clock::Span,
    /// Maximum number of suspects, and of quarantine records, kept in memory.
    pub most: usize,
    /// Maximum number of crashes kept in memory.
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

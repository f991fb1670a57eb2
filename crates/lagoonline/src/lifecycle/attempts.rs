//! The attempts of one request, counted from its first dispatch to the end of its answer.
//!
//! Whoever continues a request (a retry, or a stream that is resumed) continues its count. A part
//! that began a count of its own would allow the request to run on more upstreams than its route
//! does.

/// How an attempt ended, as far as it counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The upstream ran the request, or may have run it.
    Run,
    /// The upstream said that it did not run the request.
    Refusal,
    /// Nothing was sent.
    Unsent,
}

impl Kind {
    /// Returns the name in logs.
    ///
    /// ```
    /// use lagoonline::lifecycle::attempts::Kind;
    /// assert_eq!(Kind::Refusal.as_str(), "refusal");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Run => "run",
            Kind::Refusal => "refusal",
            Kind::Unsent => "unsent",
        }
    }
}

/// The bounds on the attempts of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Upstreams on which it may run.
    pub runs: u32,
    /// Refusals after which it is sent once more.
    pub refusals: u32,
    /// Attempts of which nothing was sent.
    pub unsent: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { runs: 1, refusals: 2, unsent: 3 }
    }
}

/// The attempts of one request so far.
///
/// ```
/// use lagoonline::lifecycle::attempts::{Attempts, Kind, Limits};
/// let mut attempts = Attempts::new(Limits { runs: 2, ..Limits::default() });
/// attempts.record(Kind::Run);
/// attempts.record(Kind::Refusal);
/// assert!(attempts.may_follow(Kind::Refusal));
/// attempts.record(Kind::Run);
/// assert!(!attempts.may_follow(Kind::Run));
/// assert_eq!(attempts.total(), 3);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempts {
    limits: Limits,
    runs: u32,
    refusals: u32,
    unsent: u32,
    last_sent: Option<Kind>,
}

impl Attempts {
    /// The attempts of a request that was not dispatched.
    pub fn new(limits: Limits) -> Attempts {
        Attempts { limits, runs: 0, refusals: 0, unsent: 0, last_sent: None }
    }

    /// Counts an attempt.
    pub fn record(&mut self, kind: Kind) {
        if kind != Kind::Unsent {
            self.last_sent = Some(kind);
        }
        match kind {
            Kind::Run => self.runs += 1,
            Kind::Refusal => self.refusals += 1,
            Kind::Unsent => self.unsent += 1,
        }
    }

    /// Whether another attempt may follow one that ended as `kind` and is counted.
    pub fn may_follow(&self, kind: Kind) -> bool {
        let is_within = match kind {
            Kind::Run => true,
            Kind::Refusal => self.refusals <= self.limits.refusals,
            Kind::Unsent => self.unsent < self.limits.unsent,
        };
        is_within && self.runs_left() > 0
    }

    /// Returns on how many further upstreams the request may run.
    ///
    /// ```
    /// use lagoonline::lifecycle::attempts::{Attempts, Kind, Limits};
    /// let mut attempts = Attempts::new(Limits::default());
    /// assert_eq!(attempts.runs_left(), 1);
    /// attempts.record(Kind::Run);
    /// assert_eq!(attempts.runs_left(), 0);
    /// ```
    pub fn runs_left(&self) -> u32 {
        self.limits.runs.saturating_sub(self.runs)
    }

    /// Returns the number of upstreams on which the request may have run.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Returns the number of attempts.
    pub fn total(&self) -> u32 {
        self.runs + self.refusals + self.unsent
    }

    /// Whether an attempt was sent to an upstream, so that another one is a retry.
    pub fn is_sent(&self) -> bool {
        self.last_sent.is_some()
    }

    /// Returns how the last attempt ended that was sent to an upstream; a retry follows it.
    ///
    /// ```
    /// use lagoonline::lifecycle::attempts::{Attempts, Kind, Limits};
    /// let mut attempts = Attempts::new(Limits::default());
    /// attempts.record(Kind::Refusal);
    /// attempts.record(Kind::Unsent);
    /// assert_eq!(attempts.last_sent(), Some(Kind::Refusal));
    /// ```
    pub fn last_sent(&self) -> Option<Kind> {
        self.last_sent
    }
}

//! Which policy decides, and its thresholds.

use crate::clock;
use crate::control::document;
use crate::id;

/// How requests are ordered and placed.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Policy {
    /// Every decision of this folder.
    #[default]
    Full,
    /// Baseline: upstreams in turn, one first-come queue.
    RoundRobin,
    /// Baseline: the upstream with the fewest of our requests, one first-come queue.
    LeastOutstanding,
    /// Baseline: the less loaded of two random upstreams, one first-come queue.
    TwoChoices,
    /// Baseline: the first upstream in order with a free slot, one first-come queue.
    FirstCome,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Policy; 5] = [
        Policy::Full,
        Policy::RoundRobin,
        Policy::LeastOutstanding,
        Policy::TwoChoices,
        Policy::FirstCome,
    ];

    /// The word used in settings and reports.
    ///
    /// ```
    /// assert_eq!(lagoonline::load::Policy::TwoChoices.as_str(), "two-choices");
    /// ```
    pub const fn as_str(self) -> &'static str {
        match self {
            Policy::Full => "full",
            Policy::RoundRobin => "round-robin",
            Policy::LeastOutstanding => "least-outstanding",
            Policy::TwoChoices => "two-choices",
            Policy::FirstCome => "first-come",
        }
    }
}

/// How the full policy picks among upstreams that can take a request.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Choice {
    /// The shortest predicted wait of all.
    #[default]
    Shortest,
    /// The shorter predicted wait of two random ones.
    Two,
}

impl Choice {
    /// Every choice.
    pub const ALL: [Choice; 2] = [Choice::Shortest, Choice::Two];

    /// The word used in settings and reports.
    ///
    /// ```
    /// assert_eq!(lagoonline::load::Choice::Two.as_str(), "two");
    /// ```
    pub const fn as_str(self) -> &'static str {
        match self {
            Choice::Shortest => "shortest",
            Choice::Two => "two",
        }
    }
}

/// Safeguards of the full policy, each of which can be turned off to measure what it is worth.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Safeguards {
    /// Refuse at once what cannot meet its deadline or its longest wait.
    pub admit: bool,
    /// Share the queue between customers and teams by weight.
    pub fair: bool,
    /// Let shorter prompts go first, here and in the engine.
    pub priority: bool,
    /// Bound the long prefill on one engine.
    pub long_bound: bool,
    /// Keep a part of each engine's rate for longer prompts pending there.
    pub floor: bool,
    /// Keep a share of the engines clear of long prompts.
    pub clear: bool,
    /// Prefer engines that have cached the prefix.
    pub affinity: bool,
    /// Learn how slow each upstream is; stop sending to failing ones.
    pub outlier: bool,
    /// Give a new upstream its load little by little.
    pub ramp: bool,
    /// Bound retries by a share of first attempts.
    pub retry_budget: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Safeguards {
            admit: true,
            fair: true,
            priority: true,
            long_bound: true,
            floor: true,
            clear: true,
            affinity: true,
            outlier: true,
            ramp: true,
            retry_budget: true,
        }
    }
}

/// What the owners weigh; see [`document::Policy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of time to first token, by length class.
    pub first_token: [f64; 4],
    /// Weight of the slowdown of short requests.
    pub short_slowdown: f64,
}

impl Default for Weights {
    fn default() -> Self {
        let policy = document::Policy::default();
        Weights {
            first_token: policy.first_token_weight,
            short_slowdown: policy.short_slowdown_weight,
        }
    }
}

impl Weights {
    /// How much the slowdown of short requests counts beside first tokens: 0 to 1.
    ///
    /// ```
    /// assert_eq!(lagoonline::load::Weights::default().short_share(), 0.5);
    /// ```
    pub fn short_share(&self) -> f64 {
        let first = self.first_token.iter().sum::<f64>() / self.first_token.len() as f64;
        let sum = self.short_slowdown + first;
        if sum > 0.0 { self.short_slowdown / sum } else { 0.5 }
    }
}

/// Settings of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Zone of this entry host.
    pub zone: id::Zone,
    /// Entry hosts of the zone that share its upstreams.
    pub hosts_in_zone: u32,
    /// Most requests that wait.
    pub queue_requests: usize,
    /// Most bytes that waiting requests keep in memory.
    pub queue_bytes: u64,
    /// Who decides.
    pub policy: Policy,
    /// How the full policy picks.
    pub choice: Choice,
    /// Safeguards of the full policy.
    pub safeguards: Safeguards,
    /// What the owners weigh; none for the mean of the fleet's team policies.
    pub weights: Option<Weights>,
    /// Longest wait at this host, by length class: past it a refusal that names a time to come
    /// back serves the caller better.
    pub longest_wait: [clock::Span; 4],
    /// Prefill that an engine may have ahead, as time at its rate: enough to stay busy over one
    /// round trip and one load report, short enough that a new short prompt waits little.
    pub ahead: clock::Span,
    /// Long prefill that an engine may have outstanding, in tokens; one prompt always may.
    pub long_tokens: u64,
    /// Delay and cost of other zones, as time by which their wait must be shorter.
    pub remote_zones: Vec<(id::Zone, clock::Span)>,
    /// The same for zones not listed.
    pub remote_default: clock::Span,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            zone: id::Zone::default(),
            hosts_in_zone: 1,
            queue_requests: 1_024,
            queue_bytes: 1 << 30,
            policy: Policy::Full,
            choice: Choice::Shortest,
            safeguards: Safeguards::default(),
            weights: None,
            longest_wait: [5, 20, 60, 300].map(clock::Span::from_secs),
            ahead: clock::Span::from_millis(150),
            long_tokens: 65_536,
            remote_zones: Vec::new(),
            remote_default: clock::Span::from_millis(50),
            seed: 1,
        }
    }
}

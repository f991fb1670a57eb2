//! Policies of the scheduler and their parameters.

use crate::clock;
use crate::control::document;
use crate::id;
use crate::load::prefix;

/// How requests are ordered and placed.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Policy {
    /// All safeguards of [`crate::load`].
    #[default]
    Full,
    /// Baseline: upstreams in turn, one first-come queue.
    RoundRobin,
    /// Baseline: the upstream with the fewest requests of this host, one first-come queue.
    LeastOutstanding,
    /// Baseline: the less loaded of two random upstreams, one first-come queue.
    TwoChoices,
    /// Baseline: the first upstream in order with a free slot, one first-come queue.
    FirstCome,
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 5] = [
        Policy::Full,
        Policy::RoundRobin,
        Policy::LeastOutstanding,
        Policy::TwoChoices,
        Policy::FirstCome,
    ];

    /// Name used in settings and reports.
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

/// How the full policy chooses among upstreams that can take a request.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Choice {
    /// The upstream with the soonest predicted first token, penalties included, among those that
    /// have the prefix cached and a sample of the others.
    #[default]
    Shortest,
    /// The better of two random ones by the same measure.
    Two,
}

impl Choice {
    /// All choices.
    pub const ALL: [Choice; 2] = [Choice::Shortest, Choice::Two];

    /// Name used in settings and reports.
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

/// Safeguards of the full policy; each can be turned off to measure its effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Safeguards {
    /// Refuse at once what cannot meet its deadline or has too long a predicted wait.
    pub admit: bool,
    /// Share the queue evenly between teams, and by weight between the customers of a team.
    pub fair: bool,
    /// Let shorter prompts go first, here and in the engine.
    pub priority: bool,
    /// Bound the long prefill on one engine.
    pub long_bound: bool,
    /// Reserve a share of each engine's rate for longer prompts while such prompts arrive.
    pub floor: bool,
    /// Keep a share of the engines clear of long prompts.
    pub clear: bool,
    /// Prefer engines that have the prefix cached.
    pub affinity: bool,
    /// Avoid failing upstreams, and send slow ones nothing but probes. Predictions use the learned
    /// slowness in any case.
    pub outlier: bool,
    /// Increase the load of a new upstream gradually.
    pub ramp: bool,
    /// Limit retries to a share of first attempts.
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

/// Relative importance of the objectives; teams set it in their policies, see [`document::Policy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of the time to first token, by length class.
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
    /// Weight of the slowdown of short requests relative to all weights: 0 to 1.
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

/// Settings of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Zone of this entry host.
    pub zone: id::Zone,
    /// Number of entry hosts in the zone, which share its upstreams.
    pub hosts_in_zone: u32,
    /// Most requests that may wait.
    pub queue_requests: usize,
    /// Most bytes that waiting requests may keep in memory.
    pub queue_bytes: u64,
    /// The policy in use.
    pub policy: Policy,
    /// How the full policy chooses an upstream.
    pub choice: Choice,
    /// Safeguards of the full policy.
    pub safeguards: Safeguards,
    /// Relative importance of the objectives; none for the mean of the fleet's team policies.
    pub weights: Option<Weights>,
    /// Bound on the predicted wait at this host, by length class: beyond it a refusal with a
    /// Retry-After serves the caller better. A request is admitted if its predicted wait is within
    /// a fraction of this bound; how long it may then wait depends on its deadline instead. A
    /// waiter moves up by one class for each quarter of this bound that it has waited.
    pub longest_wait: [clock::Span; 4],
    /// Outstanding prefill up to which an engine gets more, as time at its rate: enough to stay
    /// busy for one round trip and one load report, and short enough that a new short prompt waits
    /// little.
    pub ahead: clock::Span,
    /// Long prefill that an engine may have outstanding, in tokens; one prompt is always allowed.
    pub long_tokens: u64,
    /// Delay and cost of other zones, as the time by which the first token there must be predicted
    /// sooner.
    pub remote_zones: Vec<(id::Zone, clock::Span)>,
    /// The same for zones that are not listed.
    pub remote_default: clock::Span,
    /// Bounds on the belief that a prefix is cached, unless affinity is off.
    pub prefixes: prefix::Settings,
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
            prefixes: prefix::Settings::default(),
            seed: 1,
        }
    }
}

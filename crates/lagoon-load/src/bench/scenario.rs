//! Named scenarios: a load, a fleet and a fault.

use lagoonline::clock;

/// The fault injected during a run; it begins after one third of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The first engine slows down by this factor until the end of the run.
    Slow(f64),
    /// The first engine crashes and restarts with empty memory after two thirds of the run.
    Crash,
    /// The last zone is partitioned from the others until two thirds of the run.
    Partition,
}

/// A load on a fleet, with an optional fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// Name on the command line and in the results.
    pub name: &'static str,
    /// Number of availability zones.
    pub zones: u32,
    /// Number of engines in each zone.
    pub engines: u32,
    /// Number of entry hosts in each zone.
    pub hosts: u32,
    /// Load of prompts up to 4k tokens, as a fraction of the fleet's prefill capacity.
    pub short: f64,
    /// Load of prompts of 8k to 32k tokens, as a fraction of the capacity.
    pub medium: f64,
    /// Load of prompts of 100k tokens to `longest_prompt`, as a fraction of the capacity.
    pub long: f64,
    /// Maximum length of a prompt, in tokens.
    pub longest_prompt: f64,
    /// Factor on the arrival rate of short prompts during the last 3 s of every 30 s.
    pub burst_factor: f64,
    /// Factor on the short load of the first customer; 1 gives all ten customers equal shares.
    pub heavy_factor: f64,
    /// Token rate limit of every customer, as a multiple of its equal share of the short load; 0
    /// disables limits.
    pub limit_factor: f64,
    /// Fraction of the prompts longer than `prefix_tokens` that start with a shared prefix of this
    /// length.
    pub shared_prefixes: f64,
    /// Number of distinct shared prefixes.
    pub prefix_count: u64,
    /// Length of a shared prefix, in tokens.
    pub prefix_tokens: u64,
    /// The injected fault.
    pub fault: Fault,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: "alone",
            zones: 1,
            engines: 8,
            hosts: 3,
            short: 0.7,
            medium: 0.0,
            long: 0.0,
            longest_prompt: 1_000_000.0,
            burst_factor: 1.0,
            heavy_factor: 1.0,
            limit_factor: 0.0,
            shared_prefixes: 0.0,
            prefix_count: 8,
            prefix_tokens: 1_536,
            fault: Fault::None,
        }
    }
}

/// Prefill rate of an engine, in tokens per second.
pub const PREFILL_RATE: f64 = 20_000.0;
/// Number of slots of an engine: the maximum batch size.
pub const SLOTS: u32 = 32;
/// KV cache size of an engine, in tokens.
pub const KV_TOKENS: u64 = 400_000;
/// Time between two answer tokens of a request.
pub const TOKEN_INTERVAL: clock::Span = clock::Span::from_millis(20);
/// Interval between two load reports of an engine, and their delivery delay.
pub const LOAD_REPORT_INTERVAL_AND_DELAY: (clock::Span, clock::Span) =
    (clock::Span::from_millis(500), clock::Span::from_millis(250));

/// Interval between two usage reports of a host, and their delivery delay.
pub const USAGE_REPORT_INTERVAL_AND_DELAY: (clock::Span, clock::Span) =
    (clock::Span::from_millis(250), clock::Span::from_millis(50));

/// Returns every scenario.
pub fn all() -> Vec<Scenario> {
    let base = Scenario::default();
    let mixed = Scenario { medium: 0.05, long: 0.05, ..base };
    let saturated = |name, load: f64| {
        let (short, medium, long) = (0.8 * load, 0.1 * load, 0.1 * load);
        Scenario { name, short, medium, long, ..base }
    };
    let documents = |name| Scenario {
        name,
        short: 0.3,
        medium: 0.6,
        shared_prefixes: 0.9,
        prefix_tokens: 10_240,
        ..base
    };
    vec![
        // "alone": short prompts only.
        base,
        Scenario { name: "long-among-short", long: 0.1, ..base },
        Scenario { name: "burst", short: 0.4, burst_factor: 5.0, ..mixed },
        // Of the ten customers, one sends ten times the share of each other in "few-customers", and
        // all send equal shares in "even-customers".
        Scenario { name: "even-customers", short: 0.5, ..base },
        Scenario { name: "few-customers", short: 0.5, heavy_factor: 10.0, ..base },
        Scenario { name: "even-customers-limited", short: 0.5, limit_factor: 2.0, ..base },
        Scenario {
            name: "few-customers-limited",
            short: 0.5,
            heavy_factor: 10.0,
            limit_factor: 2.0,
            ..base
        },
        // Few distinct prefixes, and many prompts with each.
        Scenario { name: "few-prefixes", short: 0.9, shared_prefixes: 0.8, ..base },
        // Distinct prefixes that fill about half of the fleet's memory, and five times of it; the
        // rest of the prompts and the requests in progress need the same memory.
        Scenario { prefix_count: 150, ..documents("document-prefixes") },
        Scenario { prefix_count: 1_500, ..documents("many-prefixes") },
        // "no-slow-upstream" is the reference for "slow-upstream": the same load without the fault.
        Scenario { name: "slow-upstream", short: 0.55, fault: Fault::Slow(5.0), ..base },
        Scenario { name: "no-slow-upstream", short: 0.55, ..base },
        Scenario { name: "engine-death", short: 0.6, fault: Fault::Crash, ..mixed },
        Scenario {
            name: "zone-cut",
            zones: 3,
            engines: 4,
            hosts: 2,
            short: 0.6,
            fault: Fault::Partition,
            ..mixed
        },
        // All prompt lengths; the number is the load as a fraction of the prefill capacity.
        saturated("saturation-0.8", 0.8),
        saturated("saturation-1.0", 1.0),
        saturated("saturation-1.2", 1.2),
        saturated("saturation-2.0", 2.0),
    ]
}

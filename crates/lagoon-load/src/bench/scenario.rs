//! Named loads and faults.

use lagoonline::clock;

/// What goes wrong, from a third of the run on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// One engine takes this many times as long, to the end.
    Slow(f64),
    /// One engine dies and comes back empty at two thirds.
    Death,
    /// The last zone is cut off from the others until two thirds.
    Cut,
}

/// One load before one fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// Availability zones.
    pub zones: u32,
    /// Engines in each.
    pub engines: u32,
    /// Entry hosts in each.
    pub hosts: u32,
    /// Work of prompts up to 4k tokens, as a part of prefill capacity.
    pub short: f64,
    /// Work of prompts of 8k to 32k tokens.
    pub medium: f64,
    /// Work of prompts of 100k tokens to a million.
    pub long: f64,
    /// Longest of these, in tokens.
    pub longest: f64,
    /// Every 30 s, short prompts come this many times as often for 3 s.
    pub burst: f64,
    /// The first of ten customers sends this many times its share.
    pub heavy: f64,
    /// Every customer's limit, as a multiple of its share of the short load; 0 for none.
    pub limit: f64,
    /// Share of short prompts that start with one of eight prefixes of 1,536 tokens.
    pub shared: f64,
    /// What goes wrong.
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
            longest: 1_000_000.0,
            burst: 1.0,
            heavy: 1.0,
            limit: 0.0,
            shared: 0.0,
            fault: Fault::None,
        }
    }
}

/// Prefill rate of an engine, in tokens a second.
pub const RATE: f64 = 20_000.0;
/// Slots of an engine.
pub const SLOTS: u32 = 32;
/// KV memory of an engine, in tokens.
pub const KV: u64 = 400_000;
/// Time between two answer tokens.
pub const TOKEN: clock::Span = clock::Span::from_millis(20);
/// Time between two load reports, and their lag.
pub const REPORT: (clock::Span, clock::Span) =
    (clock::Span::from_millis(500), clock::Span::from_millis(250));

/// Time between two exchanges of spending, and their lag.
pub const SPENDING: (clock::Span, clock::Span) =
    (clock::Span::from_millis(250), clock::Span::from_millis(50));

/// Every scenario.
pub fn all() -> Vec<Scenario> {
    let base = Scenario::default();
    let mixed = Scenario { medium: 0.05, long: 0.05, ..base };
    let saturated = |name, load: f64| {
        let (short, medium, long) = (0.8 * load, 0.1 * load, 0.1 * load);
        Scenario { name, short, medium, long, ..base }
    };
    vec![
        base,
        Scenario { name: "long-among-short", long: 0.1, ..base },
        Scenario { name: "burst", short: 0.4, burst: 5.0, ..mixed },
        Scenario { name: "even-customers", short: 0.5, ..base },
        Scenario { name: "few-customers", short: 0.5, heavy: 10.0, ..base },
        Scenario { name: "even-customers-limited", short: 0.5, limit: 2.0, ..base },
        Scenario { name: "few-customers-limited", short: 0.5, heavy: 10.0, limit: 2.0, ..base },
        Scenario { name: "few-prefixes", short: 0.9, shared: 0.8, ..base },
        Scenario { name: "slow-upstream", short: 0.55, fault: Fault::Slow(5.0), ..base },
        Scenario { name: "no-slow-upstream", short: 0.55, ..base },
        Scenario { name: "engine-death", short: 0.6, fault: Fault::Death, ..mixed },
        Scenario {
            name: "zone-cut",
            zones: 3,
            engines: 4,
            hosts: 2,
            short: 0.6,
            fault: Fault::Cut,
            ..mixed
        },
        saturated("saturation-0.8", 0.8),
        saturated("saturation-1.0", 1.0),
        saturated("saturation-1.2", 1.2),
        saturated("saturation-2.0", 2.0),
    ]
}

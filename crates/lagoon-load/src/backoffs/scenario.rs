//! Hosts, upstreams and faults of a simulation.

/// What happens in the middle third of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Twice as many requests.
    Burst,
    /// A third of the upstreams refuse connections.
    Loss,
    /// A quarter of the upstreams take four times as long.
    Slow,
    /// A sixth of the upstreams turn all hosts away, though they have room.
    Moody,
    /// One upstream asks all hosts to wait for an hour, though it has room.
    Hour,
    /// All upstreams turn all hosts away.
    All,
}

/// A fault of hosts or of the messages between them, in the middle third of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// None.
    None,
    /// The hosts of the first zone and the others do not hear from each other.
    Cut,
    /// Three in ten messages are lost.
    Messages,
    /// The first host of each zone, which places requests for the others, is frozen.
    Freeze,
    /// All hosts start anew, once.
    Restart,
}

/// A scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of zones.
    pub zones: usize,
    /// Whether the first host of each zone places the requests of the others.
    pub schedulers: bool,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Requests that an upstream works on at once.
    pub slots: usize,
    /// Requests that wait there.
    pub queue: usize,
    /// Whether the upstreams are engines, for which a host refuses requests without a free slot.
    pub engines: bool,
    /// Requests that arrive, as a share of what the upstreams can do.
    pub load: f64,
    /// What happens.
    pub trouble: Trouble,
    /// A fault beside it.
    pub fault: Fault,
    /// Range of the times that a full upstream names, in milliseconds.
    pub times_ms: (u64, u64),
    /// Duration in seconds.
    pub seconds: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: "burst",
            hosts: 8,
            zones: 3,
            schedulers: false,
            upstreams: 12,
            slots: 16,
            queue: 4,
            engines: true,
            load: 0.6,
            trouble: Trouble::Burst,
            fault: Fault::None,
            times_ms: (1_000, 4_000),
            seconds: 24,
        }
    }
}

/// All scenarios.
pub fn all() -> Vec<Scenario> {
    let base = Scenario::default();
    let moody =
        Scenario { name: "moody", trouble: Trouble::Moody, times_ms: (3_000, 3_000), ..base };
    let plain = Scenario { name: "plain", slots: 6, upstreams: 6, engines: false, ..base };
    let zones = Scenario { name: "zones", hosts: 48, schedulers: true, upstreams: 48, ..moody };
    vec![
        base,
        Scenario { name: "calm", trouble: Trouble::None, ..base },
        Scenario { name: "calm-zones", trouble: Trouble::None, ..zones },
        Scenario { name: "loss", trouble: Trouble::Loss, ..base },
        Scenario { name: "slow", trouble: Trouble::Slow, ..base },
        moody,
        Scenario { name: "hour", trouble: Trouble::Hour, ..base },
        Scenario { name: "all", trouble: Trouble::All, times_ms: (2_000, 2_000), ..base },
        Scenario { name: "two-hosts", hosts: 2, zones: 2, ..moody },
        plain,
        Scenario { name: "plain-calm", trouble: Trouble::None, ..plain },
        Scenario { name: "plain-moody", trouble: Trouble::Moody, ..plain },
        zones,
        Scenario {
            name: "zones-burst",
            trouble: Trouble::Burst,
            times_ms: (1_000, 4_000),
            ..zones
        },
        Scenario { name: "zones-cut", fault: Fault::Cut, ..zones },
        Scenario { name: "zones-messages", fault: Fault::Messages, ..zones },
        Scenario { name: "zones-freeze", fault: Fault::Freeze, ..zones },
        Scenario { name: "restart", fault: Fault::Restart, ..moody },
        Scenario { name: "cut", fault: Fault::Cut, ..moody },
        Scenario { name: "nine-zones", hosts: 350, zones: 9, upstreams: 120, seconds: 12, ..zones },
    ]
}

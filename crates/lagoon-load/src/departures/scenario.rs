//! Hosts, upstreams and faults of a simulation.

/// How upstreams leave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Departure {
    /// Their entries are removed.
    Silent,
    /// Their entries say so.
    Announced,
    /// Their entries say so; 1.5 s later the platform carries out an older write.
    ThenOlderEntry,
}

/// A fault, from 10 s on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// None.
    None,
    /// The first zone is cut off from the others and from the platform.
    ZoneCut,
    /// The platform answers nobody.
    Silent,
    /// The platform refuses every call at once.
    Busy,
    /// The platform does not answer every fourth host, and serves the others.
    HostsTurnedAway,
    /// The platform does not answer the hosts of the first zone, and serves their upstreams.
    ZoneTurnedAway,
    /// Every fourth host is frozen.
    Frozen,
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
    /// Number of upstreams, a fifth of which leaves.
    pub upstreams: usize,
    /// How upstreams leave.
    pub departure: Departure,
    /// The fault.
    pub fault: Fault,
    /// Duration of the fault in milliseconds.
    pub fault_ms: u64,
    /// When upstreams leave, in milliseconds. From the beginning of a fault on only those leave
    /// that can tell the platform.
    pub leave_ms: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: "calm",
            hosts: 9,
            zones: 3,
            upstreams: 20,
            departure: Departure::Silent,
            fault: Fault::None,
            fault_ms: 6_300,
            leave_ms: 9_900,
        }
    }
}

/// All scenarios.
pub fn all() -> Vec<Scenario> {
    let base = Scenario::default();
    let fleet = Scenario { hosts: 85, zones: 5, upstreams: 90, ..base };
    let target = Scenario { hosts: 350, zones: 9, upstreams: 270, ..base };
    let cut = Scenario { fault: Fault::ZoneCut, ..base };
    vec![
        base,
        Scenario { name: "calm-announced", departure: Departure::Announced, ..base },
        Scenario { name: "older-entry", departure: Departure::ThenOlderEntry, ..base },
        Scenario { name: "zone-cut", ..cut },
        Scenario { name: "zone-cut-later", leave_ms: 13_000, ..cut },
        Scenario { name: "zone-cut-announced", departure: Departure::Announced, ..cut },
        Scenario { name: "silent", fault: Fault::Silent, ..base },
        Scenario { name: "busy", fault: Fault::Busy, ..base },
        Scenario { name: "hosts-turned-away", fault: Fault::HostsTurnedAway, ..base },
        Scenario { name: "zone-turned-away", fault: Fault::ZoneTurnedAway, ..base },
        Scenario { name: "frozen", fault: Fault::Frozen, ..base },
        Scenario { name: "2-hosts-cut", hosts: 2, zones: 2, ..cut },
        Scenario { name: "2-hosts-silent", hosts: 2, zones: 2, fault: Fault::Silent, ..base },
        Scenario { name: "85-hosts-calm", ..fleet },
        Scenario { name: "85-hosts-cut", fault: Fault::ZoneCut, ..fleet },
        Scenario { name: "85-hosts-silent", fault: Fault::Silent, ..fleet },
        Scenario { name: "350-hosts-calm", ..target },
        Scenario { name: "350-hosts-cut", fault: Fault::ZoneCut, ..target },
        Scenario { name: "350-hosts-silent", fault: Fault::Silent, ..target },
    ]
}

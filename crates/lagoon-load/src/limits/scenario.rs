//! Hosts, traffic and faults of a simulation.

/// Which hosts the callers come to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Traffic {
    /// All hosts alike.
    Even,
    /// The first host only.
    OneHost,
    /// The hosts of one zone, another one every five seconds.
    Moving,
}

/// A fault, from a third of the run to two thirds of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// None.
    None,
    /// The hosts of the first zone and the others do not hear from each other.
    Cut,
    /// The others do not hear from the hosts of the first zone.
    CutOneWay,
    /// The first host, the owner of [`super::Way::Owner`], is frozen.
    Freeze,
    /// All hosts start anew, once.
    Restart,
    /// Messages between zones are lost, three in a hundred.
    Loss,
}

/// A scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of hosts that place requests.
    pub hosts: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of upstreams, all of which name the limit.
    pub upstreams: usize,
    /// The limit in requests per second.
    pub limit: f64,
    /// Requests that arrive, as a multiple of what the limits allow.
    pub demand: f64,
    /// Which hosts the callers come to.
    pub traffic: Traffic,
    /// The fault.
    pub fault: Fault,
    /// Whether the limit is halved after a quarter of the run, raised to twice its value after a
    /// half, and withdrawn after three quarters.
    pub changes: bool,
    /// Duration in seconds.
    pub seconds: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: "steady",
            hosts: 8,
            zones: 3,
            upstreams: 4,
            limit: 2.0,
            demand: 2.0,
            traffic: Traffic::Even,
            fault: Fault::None,
            changes: false,
            seconds: 60,
        }
    }
}

/// All scenarios.
pub fn all() -> Vec<Scenario> {
    let base = Scenario::default();
    vec![
        base,
        Scenario { name: "two-hosts", hosts: 2, zones: 2, ..base },
        Scenario { name: "many-hosts", hosts: 45, zones: 9, ..base },
        Scenario { name: "350-hosts", hosts: 350, zones: 9, ..base },
        Scenario { name: "low", limit: 0.2, ..base },
        Scenario { name: "high", limit: 100.0, upstreams: 2, seconds: 30, ..base },
        Scenario { name: "room", demand: 0.01, limit: 200.0, ..base },
        Scenario { name: "crowd", demand: 10.0, ..base },
        Scenario { name: "one-upstream", upstreams: 1, ..base },
        Scenario { name: "one-host", traffic: Traffic::OneHost, ..base },
        Scenario { name: "moving", traffic: Traffic::Moving, ..base },
        Scenario { name: "changes", changes: true, ..base },
        Scenario { name: "cut", fault: Fault::Cut, ..base },
        Scenario { name: "cut-one-way", fault: Fault::CutOneWay, ..base },
        Scenario { name: "freeze", fault: Fault::Freeze, ..base },
        Scenario { name: "restart", fault: Fault::Restart, ..base },
        Scenario { name: "loss", fault: Fault::Loss, ..base },
    ]
}

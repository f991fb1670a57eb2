//! Hosts, upstreams and cuts of a simulation.

/// How connections fail on a path that is cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cut {
    /// They do not open.
    Silent,
    /// They are refused.
    Refused,
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
    /// Number of upstreams.
    pub upstreams: usize,
    /// Requests per second and host.
    pub rate: f64,
    /// Share of all hosts that lose paths, the first ones of each zone first.
    pub share: f64,
    /// Whether whole zones lose their paths, one after the other, until the share is reached.
    pub by_zone: bool,
    /// Share of the upstreams to which they lose them, others for each host.
    pub upstream_share: f64,
    /// How connections fail.
    pub cut: Cut,
    /// Duration of a cut in milliseconds.
    pub cut_ms: u64,
    /// Number of cuts in a row, with pauses of the same duration.
    pub cuts: u64,
    /// Share of the upstreams that are down from one second after the beginning of the first cut on.
    pub down_share: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: "half",
            hosts: 8,
            zones: 3,
            upstreams: 26,
            rate: 8.0,
            share: 0.5,
            by_zone: false,
            upstream_share: 1.0,
            cut: Cut::Silent,
            cut_ms: 12_000,
            cuts: 1,
            down_share: 0.0,
        }
    }
}

/// All scenarios.
pub fn all() -> Vec<Scenario> {
    let base = Scenario::default();
    let refused = Scenario { cut: Cut::Refused, ..base };
    let fleet = Scenario { hosts: 85, zones: 5, upstreams: 90, rate: 2.6, ..base };
    let target = Scenario { hosts: 350, zones: 9, upstreams: 1_200, rate: 2.6, ..base };
    vec![
        Scenario { name: "calm", share: 0.0, ..base },
        base,
        Scenario { name: "half-refused", ..refused },
        Scenario { name: "one", share: 0.125, ..base },
        Scenario { name: "zone", share: 0.375, by_zone: true, ..base },
        Scenario { name: "all-but-one", share: 0.875, ..base },
        Scenario { name: "all", share: 1.0, ..base },
        Scenario { name: "third-of-upstreams", upstream_share: 0.33, ..base },
        Scenario { name: "short", cut_ms: 300, ..base },
        Scenario { name: "series", cut_ms: 800, cuts: 8, ..base },
        Scenario { name: "series-refused", cut_ms: 800, cuts: 8, ..refused },
        Scenario { name: "fifth-down", down_share: 0.2, ..base },
        Scenario { name: "fifth-down-calm", down_share: 0.2, share: 0.0, ..base },
        Scenario { name: "all-down", down_share: 1.0, share: 0.0, ..base },
        Scenario { name: "2-hosts", hosts: 2, zones: 2, upstreams: 3, ..base },
        Scenario { name: "85-fifth", share: 0.2, ..fleet },
        Scenario { name: "85-half", ..fleet },
        Scenario { name: "85-most", share: 0.95, ..fleet },
        Scenario { name: "350-calm", share: 0.0, ..target },
        Scenario { name: "350-fifth", share: 0.2, ..target },
        Scenario { name: "350-half", ..target },
        Scenario { name: "350-most", share: 0.95, ..target },
        Scenario { name: "350-zones", share: 0.4, by_zone: true, ..target },
    ]
}

//! The scenarios.

/// What cuts streams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Nothing does.
    None,
    /// A fifth of the upstreams crashes at once.
    Fifth,
    /// One upstream after another crashes, one in ten each second.
    Series,
    /// Upstreams that go on break off one answer in twenty, the half of them by a reset.
    Faulty,
    /// As [`Fault::Series`], and no upstream answers a probe.
    SeriesUnprobed,
}

/// A scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Share of the answers that come without an end mark.
    pub unframed: f64,
    /// Share of the cuts that are inside an event.
    pub inside: f64,
    /// Share of the streams that may be resumed.
    pub resumable: f64,
    /// What cuts streams.
    pub fault: Fault,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: "calm",
            hosts: 8,
            upstreams: 23,
            unframed: 1.0,
            inside: 0.5,
            resumable: 0.9,
            fault: Fault::None,
        }
    }
}

/// Returns all scenarios.
pub fn all() -> Vec<Scenario> {
    let base = Scenario::default();
    let series = Scenario { name: "series", fault: Fault::Series, ..base };
    let fifth = Scenario { name: "fifth", fault: Fault::Fifth, ..base };
    vec![
        base,
        Scenario { name: "calm-few-unframed", unframed: 0.04, ..base },
        series,
        Scenario { name: "series-few-unframed", unframed: 0.04, ..series },
        Scenario { name: "series-half-unframed", unframed: 0.5, ..series },
        Scenario { name: "series-inside", inside: 1.0, ..series },
        Scenario { name: "series-between", inside: 0.0, ..series },
        Scenario { name: "series-not-resumable", resumable: 0.0, ..series },
        Scenario { name: "series-unprobed", fault: Fault::SeriesUnprobed, ..base },
        Scenario { name: "faulty", fault: Fault::Faulty, ..base },
        fifth,
        Scenario { name: "fifth-85", hosts: 85, upstreams: 290, ..fifth },
        Scenario { name: "fifth-350", hosts: 350, upstreams: 1_200, ..fifth },
        Scenario { name: "series-350", hosts: 350, upstreams: 1_200, ..series },
    ]
}

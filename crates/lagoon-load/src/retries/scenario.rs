//! Hosts, traffic and faults of a simulation.

/// Which hosts the requests come to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Traffic {
    /// All hosts alike.
    Even,
    /// The first host only.
    OneHost,
    /// All hosts alike, for the first half of the time when requests fail; then none.
    Ending,
}

/// Hosts that an event concerns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hosts {
    /// All.
    All,
    /// The first one of each zone, which decides for large zones.
    First,
    /// Half of them.
    Half,
    /// The host of this number.
    Number(usize),
}

/// What happens to hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// They are killed at once and start half a second later.
    Restart,
    /// They are killed one after the other, evenly over this many milliseconds.
    RestartInSeries(u64),
    /// They are frozen for this many milliseconds.
    Freeze(u64),
    /// They hear no other host for this many milliseconds, and none hears them.
    Isolate(u64),
    /// Zones do not hear each other for this many milliseconds.
    CutZones(u64),
}

/// An event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// When it happens, in milliseconds.
    pub at: u64,
    /// To whom.
    pub hosts: Hosts,
    /// What.
    pub fault: Fault,
}

/// What hosts believe of the number of hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Knowledge {
    /// The right number.
    Right,
    /// The number is not known.
    None,
    /// Half of the hosts are not listed.
    Half,
    /// As many hosts that are gone are listed as there are.
    Double,
}

/// A scenario. Requests fail from the twelfth second on.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of zones.
    pub zones: usize,
    /// Requests a second.
    pub rate: f64,
    /// The retries that all hosts may make in a window beyond a fifth of the requests.
    pub slack: f64,
    /// Share of attempts that fail.
    pub failing: f64,
    /// Which hosts the requests come to.
    pub traffic: Traffic,
    /// What hosts believe of their number.
    pub knowledge: Knowledge,
    /// Share of the messages that are lost.
    pub loss: f64,
    /// Milliseconds that messages take beyond the usual time.
    pub delay: u64,
    /// Requests beyond the usual ones that come in the moment in which requests begin to fail.
    pub burst: u64,
    /// What happens to hosts.
    pub events: Vec<Event>,
    /// Duration in seconds.
    pub seconds: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: "rejections",
            hosts: 9,
            zones: 3,
            rate: 60.0,
            slack: 106.0,
            failing: 0.9,
            traffic: Traffic::Even,
            knowledge: Knowledge::Right,
            loss: 0.0,
            delay: 0,
            burst: 0,
            events: Vec::new(),
            seconds: 40,
        }
    }
}

fn event(at: u64, hosts: Hosts, fault: Fault) -> Event {
    Event { at, hosts, fault }
}

/// All scenarios.
pub fn all() -> Vec<Scenario> {
    let base = Scenario::default();
    let series = |span| vec![event(14_000, Hosts::All, Fault::RestartInSeries(span))];
    let herds = [13_000, 16_000, 19_000].map(|at| event(at, Hosts::All, Fault::Restart));
    let late_herds = [15_000, 18_000, 21_000].map(|at| event(at, Hosts::All, Fault::Restart));
    let thrice = [13_000, 16_000, 19_000];
    let thrice = thrice.map(|at| event(at, Hosts::All, Fault::RestartInSeries(2_500)));
    let crash_loop: Vec<_> =
        (13..23).map(|s| event(s * 1_000, Hosts::Number(0), Fault::Restart)).collect();
    let first: Vec<_> = (13..23).map(|s| event(s * 1_000, Hosts::First, Fault::Restart)).collect();
    let two = Scenario { hosts: 2, zones: 1, rate: 20.0, ..base.clone() };
    let many = Scenario { hosts: 85, rate: 100.0, slack: 246.0, ..base.clone() };
    let most = Scenario { hosts: 350, zones: 9, rate: 900.0, slack: 700.0, ..base.clone() };
    let serving = Scenario { failing: 0.33, ..base.clone() };
    vec![
        base.clone(),
        Scenario { name: "series", events: series(4_000), ..base.clone() },
        Scenario { name: "series-thrice", events: thrice.into(), ..base.clone() },
        Scenario { name: "herds", events: herds.into(), ..base.clone() },
        Scenario { name: "late-herds", events: late_herds.into(), ..base.clone() },
        Scenario { name: "crash-loop", events: crash_loop.clone(), ..base.clone() },
        Scenario { name: "ending", traffic: Traffic::Ending, ..base.clone() },
        Scenario { name: "one-host", traffic: Traffic::OneHost, ..base.clone() },
        Scenario {
            name: "one-host-crash-loop",
            traffic: Traffic::OneHost,
            events: crash_loop,
            ..base.clone()
        },
        Scenario {
            name: "cut",
            events: vec![event(11_900, Hosts::All, Fault::CutZones(15_000))],
            ..base.clone()
        },
        Scenario {
            name: "isolated",
            events: vec![event(11_900, Hosts::Half, Fault::Isolate(15_000))],
            ..base.clone()
        },
        Scenario {
            name: "freeze",
            events: vec![
                event(13_000, Hosts::Half, Fault::Freeze(4_000)),
                event(20_000, Hosts::Half, Fault::Freeze(11_000)),
            ],
            ..base.clone()
        },
        Scenario { name: "loss", loss: 0.05, events: series(4_000), ..base.clone() },
        Scenario { name: "burst", burst: 300, ..base.clone() },
        Scenario { name: "late-100", delay: 100, burst: 300, ..base.clone() },
        Scenario { name: "late-400", delay: 400, burst: 300, ..base.clone() },
        Scenario { name: "late-600", delay: 600, burst: 300, ..base.clone() },
        Scenario { name: "late-900", delay: 900, burst: 300, ..base.clone() },
        Scenario { name: "2-hosts-late", delay: 400, burst: 100, ..two.clone() },
        Scenario { name: "85-hosts-late", delay: 400, burst: 500, ..many.clone() },
        Scenario {
            name: "count-unknown",
            knowledge: Knowledge::None,
            events: series(4_000),
            ..base.clone()
        },
        Scenario {
            name: "count-half",
            knowledge: Knowledge::Half,
            events: series(4_000),
            ..base.clone()
        },
        Scenario {
            name: "count-double",
            knowledge: Knowledge::Double,
            events: series(4_000),
            ..base.clone()
        },
        Scenario { name: "2-hosts", ..two.clone() },
        Scenario { name: "2-hosts-herds", events: herds.into(), ..two },
        Scenario { name: "85-hosts", ..many.clone() },
        Scenario { name: "85-hosts-series", events: series(8_000), ..many.clone() },
        Scenario { name: "85-hosts-herds", events: herds.into(), ..many.clone() },
        Scenario { name: "85-hosts-leaders", events: first.clone(), ..many.clone() },
        Scenario {
            name: "85-hosts-leaders-frozen",
            events: vec![event(13_000, Hosts::First, Fault::Freeze(4_000))],
            ..many
        },
        Scenario { name: "350-hosts", ..most.clone() },
        Scenario { name: "350-hosts-series", events: series(9_000), ..most.clone() },
        Scenario { name: "350-hosts-herds", events: herds.into(), ..most.clone() },
        Scenario {
            name: "350-hosts-cut",
            events: vec![event(11_900, Hosts::All, Fault::CutZones(15_000))],
            ..most.clone()
        },
        Scenario { name: "350-hosts-late-herds", events: late_herds.into(), ..most.clone() },
        Scenario { name: "serving", ..serving.clone() },
        Scenario { name: "serving-series", events: series(4_000), ..serving.clone() },
        Scenario { name: "serving-herds", events: herds.into(), ..serving.clone() },
        Scenario {
            name: "serving-one-host",
            traffic: Traffic::OneHost,
            events: series(4_000),
            ..serving.clone()
        },
        Scenario {
            name: "serving-2-hosts",
            hosts: 2,
            zones: 1,
            rate: 20.0,
            events: series(4_000),
            ..serving.clone()
        },
        Scenario {
            name: "serving-85-hosts",
            hosts: 85,
            rate: 100.0,
            slack: 246.0,
            events: series(8_000),
            ..serving.clone()
        },
        Scenario { name: "serving-350-hosts", failing: 0.33, events: series(9_000), ..most },
    ]
}

//! Hosts, engines, prompts and faults of a simulation.

/// What lethal prompts hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attack {
    /// Nothing: no prompt is lethal.
    None,
    /// A part behind a first part and others that sound prompts share.
    Middle,
    /// As [`Attack::Middle`], always with a second part that one sound prompt in a hundred has.
    Companion,
    /// A part that sound prompts have, and that is lethal from the sixteenth second on.
    Late,
    /// The first part, which no sound prompt has.
    First,
    /// This many parts, each in its own prompts, behind the same first part.
    Several(usize),
    /// As [`Attack::Middle`], all prompts of one customer.
    OneCustomer,
}

/// Faults of engines beside the prompts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// None.
    None,
    /// One engine that works ends each second.
    Singles,
    /// A third of the engines ends at the same moment, every third second.
    Racks,
    /// Two fifths of the engines end within 1.5 s, every other second.
    Series,
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
    /// Number of engines.
    pub engines: usize,
    /// Sound prompts per second, over all hosts.
    pub rate: f64,
    /// Lethal prompts per second, over all hosts.
    pub lethal_rate: f64,
    /// What lethal prompts hold.
    pub attack: Attack,
    /// Faults of engines.
    pub fault: Fault,
    /// Share of the words between hosts that are lost.
    pub lost: f64,
    /// Whether the hosts of the first zone hear no other zone and are not heard there, from the ninth
    /// second on for ten seconds.
    pub cut: bool,
    /// Whether the hosts start anew one after the other during the attack.
    pub restarts: bool,
    /// Whether all hosts start anew at the same moment, in the twentieth second.
    pub herd: bool,
    /// Share of the prompts that come to the first host.
    pub skew: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: "middle",
            hosts: 8,
            zones: 3,
            engines: 24,
            rate: 40.0,
            lethal_rate: 4.0,
            attack: Attack::Middle,
            fault: Fault::None,
            lost: 0.0,
            cut: false,
            restarts: false,
            herd: false,
            skew: 0.0,
        }
    }
}

/// All scenarios.
pub fn all() -> Vec<Scenario> {
    let base = Scenario::default();
    let sound = Scenario { attack: Attack::None, ..base };
    let fleet =
        Scenario { hosts: 85, zones: 5, engines: 90, rate: 150.0, lethal_rate: 8.0, ..base };
    let target =
        Scenario { hosts: 350, zones: 9, engines: 1_200, rate: 900.0, lethal_rate: 16.0, ..base };
    vec![
        Scenario { name: "calm", ..sound },
        Scenario { name: "singles", fault: Fault::Singles, ..sound },
        Scenario { name: "racks", fault: Fault::Racks, ..sound },
        Scenario { name: "series", fault: Fault::Series, ..sound },
        Scenario { name: "85-series", fault: Fault::Series, attack: Attack::None, ..fleet },
        Scenario { name: "350-series", fault: Fault::Series, attack: Attack::None, ..target },
        base,
        Scenario { name: "companion", attack: Attack::Companion, ..base },
        Scenario { name: "late", attack: Attack::Late, ..base },
        Scenario { name: "first", attack: Attack::First, ..base },
        Scenario { name: "two", attack: Attack::Several(2), ..base },
        Scenario { name: "four", attack: Attack::Several(4), lethal_rate: 8.0, ..base },
        Scenario { name: "one-customer", attack: Attack::OneCustomer, ..base },
        Scenario { name: "rare", lethal_rate: 0.5, ..base },
        Scenario { name: "flood", lethal_rate: 20.0, ..base },
        Scenario { name: "beside-singles", fault: Fault::Singles, ..base },
        Scenario { name: "beside-racks", fault: Fault::Racks, ..base },
        Scenario { name: "beside-series", fault: Fault::Series, ..base },
        Scenario { name: "lost-words", lost: 0.3, ..base },
        Scenario { name: "cut", cut: true, ..base },
        Scenario { name: "restarts", restarts: true, ..base },
        Scenario { name: "herd", herd: true, ..base },
        Scenario { name: "one-host", skew: 0.9, ..base },
        Scenario { name: "2-hosts", hosts: 2, zones: 2, engines: 6, rate: 10.0, ..base },
        Scenario { name: "85", ..fleet },
        Scenario { name: "85-two", attack: Attack::Several(2), ..fleet },
        Scenario { name: "85-cut", cut: true, ..fleet },
        Scenario { name: "85-late", attack: Attack::Late, ..fleet },
        Scenario { name: "350", ..target },
        Scenario { name: "350-two", attack: Attack::Several(2), ..target },
        Scenario { name: "350-restarts", restarts: true, ..target },
        Scenario { name: "350-beside-series", fault: Fault::Series, ..target },
    ]
}

//! Troubles of a day, by name or drawn.

use std::ops;
use std::time;

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::Settings;
use crate::standin::Behavior;
use crate::standin::path::{Disruption, Mode};

/// Time without troubles at the beginning and at the end of a day.
const CALM: time::Duration = time::Duration::from_secs(3);

/// What happens to some upstreams or hosts.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    Behave(Behavior),
    FreezeUpstreams,
    /// Their connections to upstreams are disrupted; new ones work.
    Disrupt(Disruption),
    /// Their connections to upstreams are reset and new ones refused for a moment.
    RefusePaths,
    /// Nothing passes between them and upstreams; what was sent arrives later.
    CutPaths,
    /// What is sent to upstreams stays on the way; they refuse new connections for a part of each 4 s.
    HoldConnections {
        eighths: u64,
        refuses_ms: u64,
    },
    FreezeHosts,
    RestartTogether(Signal),
    RestartInTurn(Signal),
    StoreDown,
    StoreTurnsAway,
    LateDatagrams(u64),
    /// All requests come to hosts of one zone.
    Crowd(&'static str),
    /// Hosts that are stopped most of the time, for 0.3 s each.
    SlowHosts,
    FreezeAndKillHosts,
    /// Datagrams between them and all other hosts are lost.
    CutHosts,
    /// Datagrams between the hosts of a zone and the others are lost, and the paths between hosts and
    /// upstreams of different sides are in this mode.
    CutZone(&'static str, Mode),
    /// Upstreams that leave one after the other, and come back.
    LeaveInTurn,
    /// The desired state is without the plain service.
    RemoveService,
    /// Requests in percent of the usual ones.
    Load(u64),
    /// Callers send a request again at once, three times.
    CallersRepeat,
    /// Some callers leave early.
    CallersLeave,
}

impl Kind {
    /// Returns the number of upstreams or hosts that it may concern.
    fn population(self, settings: &Settings) -> usize {
        match self {
            Kind::Behave(_)
            | Kind::FreezeUpstreams
            | Kind::HoldConnections { .. }
            | Kind::LeaveInTurn => settings.upstreams(),
            _ => settings.hosts.len(),
        }
    }
}

/// A trouble of a day.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub at: time::Duration,
    pub kind: Kind,
    pub span: time::Duration,
    /// Indices of upstreams or hosts.
    pub chosen: Vec<usize>,
}

impl Trouble {
    /// Draws a trouble of a day, of the first `kinds` kinds.
    fn draw(random: &mut StdRng, settings: &Settings, kinds: u32) -> Trouble {
        let zone = |random: &mut StdRng| *["a", "b", "c"].choose(random).unwrap();
        let kind = match random.random_range(0..kinds) {
            0 => Kind::Behave(Behavior::Refuse),
            1 => Kind::Behave(Behavior::BreakAfter(random.random_range(0..5))),
            2 => Kind::Behave(Behavior::DropAnswer),
            3 => Kind::Behave(Behavior::HangAfter(random.random_range(0..4))),
            4 => Kind::Behave(Behavior::IgnoreAll),
            5 | 6 => Kind::FreezeUpstreams,
            7 => Kind::Disrupt(*[Disruption::Reset, Disruption::Stall].choose(random).unwrap()),
            8 => Kind::CutPaths,
            9 => Kind::FreezeHosts,
            10 => Kind::RestartTogether(Signal::SIGKILL),
            11 => Kind::RestartInTurn(Signal::SIGTERM),
            12 => Kind::RestartInTurn(Signal::SIGKILL),
            13 => *[Kind::StoreDown, Kind::StoreTurnsAway].choose(random).unwrap(),
            14 => Kind::LateDatagrams(random.random_range(50..700)),
            15 => Kind::Crowd(zone(random)),
            16 => Kind::SlowHosts,
            17 => Kind::FreezeAndKillHosts,
            18 => Kind::CutHosts,
            19 => {
                let mode = *[Mode::Silent, Mode::Reset, Mode::Refusing].choose(random).unwrap();
                Kind::CutZone(zone(random), mode)
            }
            20 => Kind::LeaveInTurn,
            21 => Kind::RemoveService,
            22 => Kind::Load(random.random_range(30..250)),
            23 => Kind::CallersRepeat,
            _ => Kind::CallersLeave,
        };
        let share = random.random_range(0.15..1.0);
        let chosen = (0..kind.population(settings)).filter(|_| random.random_bool(share)).collect();
        let last = (settings.day - CALM * 2).as_secs_f64();
        Trouble {
            at: CALM + time::Duration::from_secs_f64(random.random_range(0.0..last)),
            kind,
            span: time::Duration::from_millis(random.random_range(1_000..9_000)),
            chosen,
        }
    }
}

/// A trouble of `kind` from `at` on for `span`, both in milliseconds, of the first `share` of those that it
/// concerns.
fn trouble(settings: &Settings, kind: Kind, at: u64, span: u64, share: f64) -> Trouble {
    let population = kind.population(settings);
    let most = share * population as f64;
    let chosen = (0..population).filter(|index| (*index as f64) < most).collect();
    let [at, span] = [at, span].map(time::Duration::from_millis);
    Trouble { at, kind, span, chosen }
}

/// Callers that move from zone to zone every `step` milliseconds.
fn moving(times: ops::Range<u64>, step: usize) -> Vec<Trouble> {
    let zones = ["a", "b", "c"].into_iter().cycle();
    let times = times.step_by(step).zip(zones);
    let span = time::Duration::from_millis(step as u64);
    let moved = |(at, zone)| {
        let at = time::Duration::from_millis(at);
        Trouble { at, kind: Kind::Crowd(zone), span, chosen: Vec::new() }
    };
    times.map(moved).collect()
}

/// A load that alternates between two and a half times and a third of the usual one.
fn waves() -> Vec<Trouble> {
    let loads = [250, 31].into_iter().cycle();
    let times = (2_000..33_000).step_by(10_000).zip(loads);
    let span = time::Duration::from_millis(9_500);
    let wave = |(at, percent)| {
        let at = time::Duration::from_millis(at);
        Trouble { at, kind: Kind::Load(percent), span, chosen: Vec::new() }
    };
    times.map(wave).collect()
}

/// Returns the troubles of a day by its name.
///
/// # Panics
///
/// There is no such day.
pub fn named(name: &str, settings: &Settings) -> Vec<Trouble> {
    let one = |kind, at, span, share| vec![trouble(settings, kind, at, span, share)];
    // The same trouble every `step` milliseconds.
    let series = |kind, times: ops::Range<u64>, step, span, share| -> Vec<_> {
        times.step_by(step).map(|at| trouble(settings, kind, at, span, share)).collect()
    };
    let refusals = Kind::Behave(Behavior::Refuse);
    let (half_held, held_often) = (
        Kind::HoldConnections { eighths: 4, refuses_ms: 0 },
        Kind::HoldConnections { eighths: 6, refuses_ms: 1_500 },
    );
    let resets = Kind::Disrupt(Disruption::Reset);
    let rolls = Kind::RestartInTurn(Signal::SIGTERM);
    let herds = Kind::RestartTogether(Signal::SIGKILL);
    let days = match name {
        "resets" => vec![series(resets, 4_000..32_000, 700, 0, 1.0)],
        "resets-late" => vec![
            series(resets, 6_000..32_000, 700, 0, 1.0),
            one(Kind::LateDatagrams(600), 4_000, 30_000, 1.0),
        ],
        "held-refusing" => vec![one(held_often, 4_000, 22_000, 0.7)],
        "half-held" => vec![one(half_held, 4_000, 23_000, 1.0)],
        "half-held-herds" => {
            vec![one(half_held, 4_000, 23_000, 1.0), series(herds, 7_000..30_000, 6_000, 0, 1.0)]
        }
        "stalls" => {
            vec![series(Kind::Disrupt(Disruption::Stall), 4_000..32_000, 1_500, 0, 1.0)]
        }
        "dark" => vec![
            series(Kind::FreezeUpstreams, 4_000..33_000, 10_000, 8_000, 0.6),
            series(Kind::FreezeUpstreams, 9_000..33_000, 10_000, 3_000, 1.0),
        ],
        // Each replica of the plain service once.
        "dark-replicas" => {
            let replicas = settings.engines..settings.upstreams();
            let dark = |(replica, at)| {
                let dark = trouble(settings, Kind::FreezeUpstreams, at, 4_500, 0.0);
                Trouble { chosen: vec![replica], ..dark }
            };
            vec![replicas.zip([5_000, 14_000, 23_000]).map(dark).collect()]
        }
        "replicas-dark-in-turn" => {
            // All replicas but one, which is another one each time.
            let sound = (settings.engines..settings.upstreams()).cycle();
            let dark = |(at, sound)| {
                let dark = trouble(settings, Kind::FreezeUpstreams, at, 2_200, 1.0);
                let chosen = dark.chosen.into_iter().filter(|index| *index != sound).collect();
                Trouble { chosen, ..dark }
            };
            vec![(1_500..11_000).step_by(2_400).zip(sound).map(dark).collect()]
        }
        "connections-held" => vec![one(half_held, 1_500, 8_000, 1.0)],
        "connections-reset-while-dark" => vec![
            series(Kind::FreezeUpstreams, 1_500..10_000, 3_000, 2_500, 0.7),
            series(resets, 1_600..11_000, 300, 0, 1.0),
        ],
        "answers-lost-before-dark" => vec![
            one(Kind::Behave(Behavior::DropAnswer), 1_000, 12_000, 1.0),
            series(Kind::FreezeUpstreams, 1_500..10_000, 3_000, 2_500, 0.7),
        ],
        "calm" => vec![waves()],
        // Retries that a high load allowed are read when the load is low, by hosts that know nothing of them.
        // Retries that a high load allowed are read when the load is low, by hosts that know nothing of them.
        "dark-as-load-falls" => vec![
            one(Kind::Load(250), 1_000, 10_000, 0.0),
            one(Kind::Load(31), 11_000, 25_000, 0.0),
            one(Kind::FreezeUpstreams, 9_500, 17_000, 0.88),
            one(Kind::Behave(Behavior::BreakAfter(1)), 26_000, 10_000, 1.0),
            series(herds, 23_500..33_000, 2_300, 0, 1.0),
        ],
        "dark-refusals" => vec![
            one(refusals, 4_000, 28_000, 0.6),
            series(Kind::FreezeUpstreams, 5_000..30_000, 10_000, 8_500, 1.0),
        ],
        "dark-lost-answers" => vec![
            one(Kind::Behave(Behavior::DropAnswer), 4_000, 28_000, 1.0),
            series(Kind::FreezeUpstreams, 5_000..30_000, 9_000, 8_000, 0.9),
        ],
        "dark-herds" => vec![
            series(Kind::FreezeUpstreams, 5_000..30_000, 10_000, 9_000, 0.9),
            series(herds, 9_000..33_000, 4_000, 0, 0.7),
        ],
        "dark-rolls" => vec![
            series(Kind::FreezeUpstreams, 5_000..30_000, 10_000, 9_000, 0.9),
            series(rolls, 7_000..30_000, 9_000, 6_000, 1.0),
        ],
        "refused-paths" => vec![series(Kind::RefusePaths, 3_000..33_000, 500, 30, 1.0)],
        "cuts" => vec![series(Kind::CutPaths, 4_000..32_000, 3_000, 1_800, 0.7)],
        "frozen-hosts" => vec![
            one(refusals, 4_000, 28_000, 1.0),
            series(Kind::FreezeHosts, 6_000..30_000, 6_000, 4_000, 0.6),
        ],
        "moving-refused" => vec![
            moving(3_000..33_000, 2_000),
            one(Kind::Behave(Behavior::BreakAfter(2)), 4_000, 28_000, 0.6),
            series(Kind::RefusePaths, 5_000..30_000, 6_000, 4_000, 0.4),
        ],
        "moving-hangs" => vec![
            moving(3_000..33_000, 2_000),
            one(Kind::Behave(Behavior::HangAfter(1)), 4_000, 28_000, 0.5),
            series(Kind::CutPaths, 6_000..30_000, 7_000, 5_000, 0.4),
        ],
        "moving-dark" => vec![
            moving(3_000..33_000, 3_000),
            series(Kind::FreezeUpstreams, 5_000..30_000, 8_000, 6_000, 0.8),
            one(Kind::LateDatagrams(500), 4_000, 28_000, 1.0),
        ],
        "breaks" => vec![
            one(Kind::Behave(Behavior::BreakAfter(2)), 4_000, 28_000, 1.0),
            series(rolls, 7_000..30_000, 9_000, 6_000, 1.0),
        ],
        _ => panic!("no day is called {name}"),
    };
    days.concat()
}

/// Draws the troubles of a day by a seed.
pub type Draw = fn(u64, &Settings) -> Vec<Trouble>;

/// Number of kinds of which [`drawn`] draws.
const FIRST_KINDS: u32 = 16;
/// Number of kinds of which [`drawn_of_all`] draws.
const ALL_KINDS: u32 = 25;

/// Returns a day of some troubles of the first kinds.
pub fn drawn(seed: u64, settings: &Settings) -> Vec<Trouble> {
    let mut random = StdRng::seed_from_u64(seed);
    let count = random.random_range(4..12);
    (0..count).map(|_| Trouble::draw(&mut random, settings, FIRST_KINDS)).collect()
}

/// Returns a day of more troubles of any kind, most of them on loads that rise and fall.
pub fn drawn_of_all(seed: u64, settings: &Settings) -> Vec<Trouble> {
    let mut random = StdRng::seed_from_u64(seed);
    let count = random.random_range(6..14);
    let mut troubles = if random.random_bool(0.7) { waves() } else { Vec::new() };
    troubles.extend((0..count).map(|_| Trouble::draw(&mut random, settings, ALL_KINDS)));
    troubles
}

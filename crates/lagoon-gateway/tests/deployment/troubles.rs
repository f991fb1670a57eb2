//! Troubles of a day, by name or drawn.

use std::ops;
use std::time;

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::{ENGINES, HOSTS, REPLICAS};
use crate::standin::Behavior;
use crate::standin::path::Disruption;

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
}

impl Kind {
    /// Returns the number of upstreams or hosts that it may concern.
    fn population(self) -> usize {
        match self {
            Kind::Behave(_) | Kind::FreezeUpstreams | Kind::HoldConnections { .. } => {
                ENGINES + REPLICAS
            }
            _ => HOSTS.len(),
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
    /// Draws a trouble of a day of length `day`.
    fn draw(random: &mut StdRng, day: time::Duration) -> Trouble {
        let kind = match random.random_range(0..16) {
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
            _ => Kind::Crowd(["a", "b", "c"].choose(random).unwrap()),
        };
        let share = random.random_range(0.15..1.0);
        let chosen = (0..kind.population()).filter(|_| random.random_bool(share)).collect();
        let last = (day - CALM * 2).as_secs_f64();
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
fn trouble(kind: Kind, at: u64, span: u64, share: f64) -> Trouble {
    let most = share * kind.population() as f64;
    let chosen = (0..kind.population()).filter(|index| (*index as f64) < most).collect();
    let [at, span] = [at, span].map(time::Duration::from_millis);
    Trouble { at, kind, span, chosen }
}

fn one(kind: Kind, at: u64, span: u64, share: f64) -> Vec<Trouble> {
    vec![trouble(kind, at, span, share)]
}

/// The same trouble every `step` milliseconds.
fn series(kind: Kind, times: ops::Range<u64>, step: usize, span: u64, share: f64) -> Vec<Trouble> {
    times.step_by(step).map(|at| trouble(kind, at, span, share)).collect()
}

/// Callers that move from zone to zone every `step` milliseconds.
fn moving(times: ops::Range<u64>, step: usize) -> Vec<Trouble> {
    let zones = ["a", "b", "c"].into_iter().cycle();
    let times = times.step_by(step).zip(zones);
    times.map(|(at, zone)| trouble(Kind::Crowd(zone), at, step as u64, 0.0)).collect()
}

/// Returns the troubles of a day by its name.
///
/// # Panics
///
/// There is no such day.
pub fn named(name: &str) -> Vec<Trouble> {
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

/// Returns a day of some troubles of any kind.
pub fn drawn(seed: u64, day: time::Duration) -> Vec<Trouble> {
    let mut random = StdRng::seed_from_u64(seed);
    let count = random.random_range(4..12);
    (0..count).map(|_| Trouble::draw(&mut random, day)).collect()
}

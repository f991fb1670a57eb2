//! What a trial does and when: arrivals, lengths and faults, from one seed.

use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;

/// Prompt lengths in tokens, and how many of 1,000 prompts have each: one in fifty is over 100k.
pub(super) const LENGTHS: [(u64, u32); 4] =
    [(1_000, 720), (10_000, 210), (100_000, 50), (1_000_000, 20)];
/// Availability zones of the trial.
pub(super) const ZONES: [&str; 3] = ["suva", "nausori", "lautoka"];
/// Share of the load's time in which short prompts come alone, for comparison.
const ALONE: f64 = 0.2;

/// What a call asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// A prompt of the length at this index of [`LENGTHS`].
    Prompt { class: usize, streamed: bool },
    /// A booking, which may run at most once.
    Booking { keyed: bool },
}

/// One call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) number: u64,
    pub(super) at: time::Duration,
    pub(super) zone: usize,
    pub(super) kind: Kind,
    /// Whether it comes while there are only short prompts.
    pub(super) alone: bool,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
pub(super) enum Trouble {
    /// An engine dies.
    Kill,
    /// It comes back, empty.
    Revive,
    /// The last zone is cut off from the others and from the platform.
    Cut,
    /// The cut heals.
    Heal,
    /// An entry host of the first zone drains; the balancer knows.
    Drain,
}

/// A fault at its time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fault {
    pub(super) at: time::Duration,
    pub(super) kind: Trouble,
}

/// All of a trial.
#[derive(Debug)]
pub(super) struct Plan {
    pub(super) calls: Vec<Call>,
    pub(super) faults: Vec<Fault>,
}

impl Plan {
    pub(super) fn new(settings: &super::Settings) -> Self {
        let mut random = rngs::SmallRng::seed_from_u64(settings.seed);
        let seconds = settings.seconds as f64;
        let total = settings.requests_per_second + settings.bookings_per_second;
        let mut calls = Vec::new();
        let mut at = 0.0;
        loop {
            at -= (1.0 - random.random::<f64>()).ln() / total;
            if at > seconds {
                break;
            }
            let alone = at < seconds * ALONE;
            let booking = random.random_bool(settings.bookings_per_second / total);
            let kind = if booking {
                Kind::Booking { keyed: random.random_bool(0.5) }
            } else {
                let class = if alone { 0 } else { class(&mut random) };
                Kind::Prompt { class, streamed: random.random_bool(0.8) }
            };
            let number = calls.len() as u64;
            let zone = random.random_range(0..ZONES.len());
            calls.push(Call { number, at: time::Duration::from_secs_f64(at), zone, kind, alone });
        }
        let fault =
            |share: f64, kind| Fault { at: time::Duration::from_secs_f64(seconds * share), kind };
        let faults = vec![
            fault(0.4, Trouble::Kill),
            fault(0.5, Trouble::Drain),
            fault(0.6, Trouble::Revive),
            fault(0.65, Trouble::Cut),
            fault(0.8, Trouble::Heal),
        ];
        Plan { calls, faults }
    }
}

fn class(random: &mut rngs::SmallRng) -> usize {
    let mut point = random.random_range(0..1_000);
    for (index, &(_, share)) in LENGTHS.iter().enumerate() {
        if point < share {
            return index;
        }
        point -= share;
    }
    0
}

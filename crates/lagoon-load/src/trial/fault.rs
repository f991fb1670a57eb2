//! Fault injection of a trial: an engine fails and recovers, an entry host drains, and a zone is
//! partitioned.

use std::thread;
use std::time;

use lagoon_standin::{engine, platform, service};

use super::caller;
use super::fleet;

/// Events with their times as fractions of the phase with faults.
const EVENTS: [(f64, Event); 6] = [
    (0.00, Event::Kill),
    (0.25, Event::Drain),
    (0.45, Event::Revive),
    (0.50, Event::Cut),
    (0.75, Event::Heal),
    (1.00, Event::End),
];

/// Index of the engine that fails.
const FAILING_ENGINE: usize = 1;
/// Index of the entry host that drains.
const DRAINING_HOST: usize = 3;
/// Zone that is partitioned from the other zones and from the platform.
const PARTITIONED_ZONE: &str = "lautoka";

/// A step of the schedule.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The engine fails.
    Kill,
    /// The engine recovers.
    Revive,
    /// The entry host drains.
    Drain,
    /// The partition begins.
    Cut,
    /// The partition ends.
    Heal,
    /// The arrivals end.
    End,
}

/// Applies each event at its time; returns when the arrivals end. Keeps the balancer's readiness
/// view up to date in between. The phase with faults lasts from `from` to `to`, in seconds from the
/// start of the run.
pub(super) fn run(
    fleet: &fleet::Fleet,
    balancer: &caller::Balancer,
    start_time: time::Instant,
    (from, to): (f64, f64),
) {
    for (fraction, event) in EVENTS {
        let at = start_time + time::Duration::from_secs_f64(from + (to - from) * fraction);
        while time::Instant::now() < at {
            balancer.check_readiness();
            thread::sleep(time::Duration::from_millis(100));
        }
        log::info!("{event:?}");
        apply(fleet, event);
    }
}

fn apply(fleet: &fleet::Fleet, event: Event) {
    match event {
        Event::Kill => set_down(fleet, true),
        Event::Revive => set_down(fleet, false),
        Event::Drain => fleet.entries[DRAINING_HOST].drain(),
        Event::Cut => set_partition(fleet, true),
        Event::Heal => set_partition(fleet, false),
        Event::End => {}
    }
}

fn set_down(fleet: &fleet::Fleet, down: bool) {
    let node = fleet.stand_ins.engines[FAILING_ENGINE].node();
    node.set_faults(engine::Faults { down, ..node.faults() });
}

/// Returns the zones to which a stand-in in `zone` does not respond while [`PARTITIONED_ZONE`] is
/// partitioned.
fn blocked_zones(zone: &str) -> Vec<String> {
    if zone == PARTITIONED_ZONE {
        let others = fleet::ZONES.iter().filter(|other| **other != PARTITIONED_ZONE);
        others.map(|other| (*other).to_owned()).collect()
    } else {
        vec![PARTITIONED_ZONE.to_owned()]
    }
}

fn set_partition(fleet: &fleet::Fleet, on: bool) {
    let cut = |name: &str| if on { blocked_zones(fleet::zone_of(name)) } else { Vec::new() };
    for running in &fleet.stand_ins.engines {
        let node = running.node();
        node.set_faults(engine::Faults { cut: cut(&node.settings.name), ..node.faults() });
    }
    for running in &fleet.stand_ins.services {
        let node = running.node();
        node.set_faults(service::Faults { cut: cut(&node.settings.name), ..node.faults() });
    }
    // The platform is in no zone, so that only the partitioned zone is cut off from it.
    if let Some(running) = &fleet.stand_ins.platform {
        let node = running.node();
        node.set_faults(platform::Faults { cut: cut("platform"), ..node.faults() });
    }
}

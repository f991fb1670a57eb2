//! The damage of a run: an engine dies and comes back, an entry host drains, a zone is cut off.

use std::thread;
use std::time;

use lagoon_standin::{engine, platform, service};

use super::caller;
use super::fleet;

/// What happens, and at which part of the time with faults.
const EVENTS: [(f64, Event); 6] = [
    (0.00, Event::Kill),
    (0.25, Event::Drain),
    (0.45, Event::Revive),
    (0.50, Event::Cut),
    (0.75, Event::Heal),
    (1.00, Event::End),
];

/// Engine that dies.
const VICTIM: usize = 1;
/// Entry host that drains.
const DRAINED: usize = 3;
/// Zone that is cut off from the other zones and from the platform.
const CUT: &str = "lautoka";

#[derive(Clone, Copy, Debug)]
enum Event {
    Kill,
    Revive,
    Drain,
    Cut,
    Heal,
    End,
}

/// Does all of it, at its time; returns when arrivals end.
pub(super) fn run(
    fleet: &fleet::Fleet,
    balancer: &caller::Balancer,
    began: time::Instant,
    (from, to): (f64, f64),
) {
    for (part, event) in EVENTS {
        let at = began + time::Duration::from_secs_f64(from + (to - from) * part);
        while time::Instant::now() < at {
            balancer.look();
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
        Event::Drain => fleet.entries[DRAINED].drain(),
        Event::Cut => set_cut(fleet, true),
        Event::Heal => set_cut(fleet, false),
        Event::End => {}
    }
}

fn set_down(fleet: &fleet::Fleet, down: bool) {
    let node = fleet.stand_ins.engines[VICTIM].node();
    node.set_faults(engine::Faults { down, ..node.faults() });
}

/// Zones that get no answer from something in `zone`, while [`CUT`] is cut off.
fn unheard(zone: &str) -> Vec<String> {
    if zone == CUT {
        let others = fleet::ZONES.iter().filter(|other| **other != CUT);
        others.map(|other| (*other).to_owned()).collect()
    } else {
        vec![CUT.to_owned()]
    }
}

fn set_cut(fleet: &fleet::Fleet, on: bool) {
    let cut = |name: &str| if on { unheard(fleet::zone_of(name)) } else { Vec::new() };
    for running in &fleet.stand_ins.engines {
        let node = running.node();
        node.set_faults(engine::Faults { cut: cut(&node.settings.name), ..node.faults() });
    }
    for running in &fleet.stand_ins.services {
        let node = running.node();
        node.set_faults(service::Faults { cut: cut(&node.settings.name), ..node.faults() });
    }
    if let Some(running) = &fleet.stand_ins.platform {
        let node = running.node();
        node.set_faults(platform::Faults { cut: cut("platform"), ..node.faults() });
    }
}

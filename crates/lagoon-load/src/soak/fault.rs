//! Schedule of the fault switches that a soak sets on the stand-ins over HTTP.

use std::thread;
use std::time;

use serde_json::{Value, json};

use super::remote;
use super::settings;
use crate::trial::caller;

/// Fault events with their times as fractions of the run. The switches are fields of the `Faults`
/// types of lagoon-standin. `freeze_ms` is not reset, as a freeze ends by itself after the given
/// time.
const EVENTS: [(f64, Event); 27] = [
    (0.04, Event::Engine(1, "down", SwitchValue::On)),
    (0.09, Event::Engine(1, "down", SwitchValue::Off)),
    (0.13, Event::Engine(4, "cross_chunks", SwitchValue::Number(5))),
    (0.13, Event::Engine(5, "repeat_chunks", SwitchValue::Number(4))),
    (0.13, Event::Engine(6, "cut_after_chunks", SwitchValue::Number(6))),
    (0.20, Event::Platform("down", SwitchValue::On)),
    (0.25, Event::Platform("down", SwitchValue::Off)),
    (0.28, Event::Engine(4, "cross_chunks", SwitchValue::Number(0))),
    (0.28, Event::Engine(5, "repeat_chunks", SwitchValue::Number(0))),
    (0.28, Event::Engine(6, "cut_after_chunks", SwitchValue::Number(0))),
    (0.29, Event::Platform("lose_answer", SwitchValue::On)),
    (0.32, Event::Platform("lose_answer", SwitchValue::Off)),
    (0.35, Event::Service(0, "lose_answer", SwitchValue::On)),
    (0.40, Event::Service(0, "lose_answer", SwitchValue::Off)),
    (0.42, Event::Cut),
    (0.50, Event::Heal),
    (0.54, Event::Engine(7, "freeze_ms", SwitchValue::Number(3_000))),
    (0.58, Event::Engine(8, "lose_cancel", SwitchValue::On)),
    (0.58, Event::Service(1, "loss", SwitchValue::Share(0.05))),
    (0.64, Event::Service(1, "loss", SwitchValue::Share(0.0))),
    (0.66, Event::Engine(8, "lose_cancel", SwitchValue::Off)),
    // Two faults at once: the platform is down and an engine fails.
    (0.68, Event::Platform("down", SwitchValue::On)),
    (0.69, Event::Engine(2, "down", SwitchValue::On)),
    (0.72, Event::Platform("down", SwitchValue::Off)),
    (0.73, Event::Engine(2, "down", SwitchValue::Off)),
    (0.78, Event::Engine(9, "delay_ms", SwitchValue::Number(100))),
    (0.84, Event::Engine(9, "delay_ms", SwitchValue::Number(0))),
];

/// Value of a fault switch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SwitchValue {
    On,
    Off,
    Number(u64),
    /// A probability.
    Share(f64),
}

impl SwitchValue {
    fn json(self) -> Value {
        match self {
            SwitchValue::On => json!(true),
            SwitchValue::Off => json!(false),
            SwitchValue::Number(number) => json!(number),
            SwitchValue::Share(share) => json!(share),
        }
    }

    /// Returns whether the value turns the fault off.
    fn is_off(self) -> bool {
        matches!(self, SwitchValue::Off | SwitchValue::Number(0) | SwitchValue::Share(0.0))
    }
}

/// A change of fault switches.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Index of the engine, name of the switch, new value.
    Engine(usize, &'static str, SwitchValue),
    /// As for an engine, of a service.
    Service(usize, &'static str, SwitchValue),
    /// As for an engine, of the only platform stand-in.
    Platform(&'static str, SwitchValue),
    /// Partitions the last zone from the upstreams of the other zones and from the platform.
    Cut,
    /// Ends the partition.
    Heal,
}

impl Event {
    /// Returns the name of the fault; the event that starts it and the one that ends it share the
    /// name.
    fn label(self) -> String {
        match self {
            Event::Engine(index, name, _) => format!("engine {index} {name}"),
            Event::Service(index, name, _) => format!("service {index} {name}"),
            Event::Platform(name, _) => format!("platform {name}"),
            Event::Cut | Event::Heal => "zone cut".to_owned(),
        }
    }

    fn is_end(self) -> bool {
        match self {
            Event::Engine(_, _, switch)
            | Event::Service(_, _, switch)
            | Event::Platform(_, switch) => switch.is_off(),
            Event::Cut => false,
            Event::Heal => true,
        }
    }
}

/// Time after the end of a fault in which calls may still be affected, in seconds.
const AFTER_EFFECT_SECONDS: f64 = 1.0;

/// Returns the names of the faults that were active at some time from `from` to `to`, in seconds.
pub(super) fn active(seconds: f64, (from, to): (f64, f64)) -> Vec<String> {
    let mut labels = Vec::new();
    for (index, (fraction, event)) in
        EVENTS.iter().enumerate().filter(|(_, entry)| !entry.1.is_end())
    {
        let label = event.label();
        let end = EVENTS[index..].iter().find(|(_, end)| end.is_end() && end.label() == label);
        let until = end.map_or(1.0, |(fraction, _)| *fraction);
        if fraction * seconds <= to && from <= until * seconds + AFTER_EFFECT_SECONDS {
            labels.push(label);
        }
    }
    labels
}

/// Sets each switch at its time; keeps the balancer's readiness view up to date in between.
pub(super) fn run(
    fleet: &settings::Fleet,
    balancer: &caller::Balancer,
    start_time: time::Instant,
    seconds: f64,
) {
    for (fraction, event) in EVENTS {
        check_readiness_until(
            balancer,
            start_time + time::Duration::from_secs_f64(seconds * fraction),
        );
        log::info!("{:.1} s: {event:?}", start_time.elapsed().as_secs_f64());
        apply(fleet, event);
    }
    check_readiness_until(balancer, start_time + time::Duration::from_secs_f64(seconds));
}

/// Interval between two readiness checks of the entry hosts.
const READINESS_INTERVAL: time::Duration = time::Duration::from_millis(100);

fn check_readiness_until(balancer: &caller::Balancer, at: time::Instant) {
    while time::Instant::now() < at {
        balancer.check_readiness();
        thread::sleep(READINESS_INTERVAL);
    }
}

/// Name of the platform stand-in at the control address.
const PLATFORM: &str = "platform";

/// Sets the switches of an event on the stand-ins.
fn apply(fleet: &settings::Fleet, event: Event) {
    match event {
        Event::Engine(index, name, switch) => {
            set_switch(fleet, &fleet.engines[index].name, name, &switch.json());
        }
        Event::Service(index, name, switch) => {
            set_switch(fleet, &fleet.services[index].name, name, &switch.json());
        }
        Event::Platform(name, switch) => set_switch(fleet, PLATFORM, name, &switch.json()),
        Event::Cut => set_partition(fleet, true),
        Event::Heal => set_partition(fleet, false),
    }
}

/// Starts or ends the partition of the last zone: each stand-in gets the list of zones that it
/// does not answer.
fn set_partition(fleet: &settings::Fleet, on: bool) {
    let Some((last, others)) = fleet.zones.split_last() else { return };
    let blocked_zones = |zone: &str| match (on, zone == last) {
        (false, _) => json!([]),
        (true, true) => json!(others),
        (true, false) => json!([last]),
    };
    for upstream in fleet.engines.iter().chain(&fleet.services) {
        set_switch(fleet, &upstream.name, "cut", &blocked_zones(&upstream.zone));
    }
    // The platform is in no zone, so that only the last zone is cut off from it.
    set_switch(fleet, PLATFORM, "cut", &blocked_zones(""));
}

fn set_switch(fleet: &settings::Fleet, stand_in: &str, name: &str, value: &Value) {
    let path = format!("/{stand_in}/faults");
    if let Err(error) = remote::post_json(fleet.control, &path, &json!({name: value})) {
        log::error!("cannot set switch {name} of {stand_in}: {error}");
    }
}

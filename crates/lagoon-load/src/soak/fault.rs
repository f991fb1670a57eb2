//! The fault switches that a soak sets, by HTTP, and when.

use std::thread;
use std::time;

use serde_json::{Value, json};

use super::remote;
use super::settings;
use crate::trial::caller;

/// When, as a part of the run, a switch is set, and which.
const EVENTS: [(f64, Event); 27] = [
    (0.04, Event::Engine(1, "down", Switch::On)),
    (0.09, Event::Engine(1, "down", Switch::Off)),
    (0.13, Event::Engine(4, "cross_chunks", Switch::Number(5))),
    (0.13, Event::Engine(5, "repeat_chunks", Switch::Number(4))),
    (0.13, Event::Engine(6, "cut_after_chunks", Switch::Number(6))),
    (0.20, Event::Platform("down", Switch::On)),
    (0.25, Event::Platform("down", Switch::Off)),
    (0.28, Event::Engine(4, "cross_chunks", Switch::Number(0))),
    (0.28, Event::Engine(5, "repeat_chunks", Switch::Number(0))),
    (0.28, Event::Engine(6, "cut_after_chunks", Switch::Number(0))),
    (0.29, Event::Platform("lose_answer", Switch::On)),
    (0.32, Event::Platform("lose_answer", Switch::Off)),
    (0.35, Event::Service(0, "lose_answer", Switch::On)),
    (0.40, Event::Service(0, "lose_answer", Switch::Off)),
    (0.42, Event::Cut),
    (0.50, Event::Heal),
    (0.54, Event::Engine(7, "freeze_ms", Switch::Number(3_000))),
    (0.58, Event::Engine(8, "lose_cancel", Switch::On)),
    (0.58, Event::Service(1, "loss", Switch::Share(0.05))),
    (0.64, Event::Service(1, "loss", Switch::Share(0.0))),
    (0.66, Event::Engine(8, "lose_cancel", Switch::Off)),
    // Two at once: no platform, and engines die.
    (0.68, Event::Platform("down", Switch::On)),
    (0.69, Event::Engine(2, "down", Switch::On)),
    (0.72, Event::Platform("down", Switch::Off)),
    (0.73, Event::Engine(2, "down", Switch::Off)),
    (0.78, Event::Engine(9, "delay_ms", Switch::Number(100))),
    (0.84, Event::Engine(9, "delay_ms", Switch::Number(0))),
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Switch {
    On,
    Off,
    Number(u64),
    Share(f64),
}

impl Switch {
    fn json(self) -> Value {
        match self {
            Switch::On => json!(true),
            Switch::Off => json!(false),
            Switch::Number(number) => json!(number),
            Switch::Share(share) => json!(share),
        }
    }

    fn is_off(self) -> bool {
        matches!(self, Switch::Off | Switch::Number(0) | Switch::Share(0.0))
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Engine(usize, &'static str, Switch),
    Service(usize, &'static str, Switch),
    Platform(&'static str, Switch),
    /// The last zone is cut off from the other zones' upstreams and from the platform.
    Cut,
    Heal,
}

impl Event {
    /// What is changed, in words; the same for the event that ends it.
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

/// How long a fault may still show after its end, in seconds.
const AFTER: f64 = 1.0;

/// The faults that were on at some time from `from` to `to`, in seconds.
pub(super) fn active(seconds: f64, (from, to): (f64, f64)) -> Vec<String> {
    let mut labels = Vec::new();
    for (index, (part, event)) in EVENTS.iter().enumerate().filter(|(_, event)| !event.1.is_end()) {
        let label = event.label();
        let end = EVENTS[index..].iter().find(|(_, end)| end.is_end() && end.label() == label);
        let until = end.map_or(1.0, |(part, _)| *part);
        if part * seconds <= to && from <= until * seconds + AFTER {
            labels.push(label);
        }
    }
    labels
}

/// Sets each switch at its time; looks for ready hosts between.
pub(super) fn run(
    fleet: &settings::Fleet,
    balancer: &caller::Balancer,
    began: time::Instant,
    seconds: f64,
) {
    for (part, event) in EVENTS {
        look_until(balancer, began + time::Duration::from_secs_f64(seconds * part));
        log::info!("{:.1} s: {event:?}", began.elapsed().as_secs_f64());
        apply(fleet, event);
    }
    look_until(balancer, began + time::Duration::from_secs_f64(seconds));
}

/// Time between two looks at the readiness of the entry hosts.
const LOOK: time::Duration = time::Duration::from_millis(100);

fn look_until(balancer: &caller::Balancer, at: time::Instant) {
    while time::Instant::now() < at {
        balancer.look();
        thread::sleep(LOOK);
    }
}

/// Name of the platform at the control address.
const PLATFORM: &str = "platform";

fn apply(fleet: &settings::Fleet, event: Event) {
    match event {
        Event::Engine(index, name, switch) => {
            set(fleet, &fleet.engines[index].name, name, &switch.json());
        }
        Event::Service(index, name, switch) => {
            set(fleet, &fleet.services[index].name, name, &switch.json());
        }
        Event::Platform(name, switch) => set(fleet, PLATFORM, name, &switch.json()),
        Event::Cut => cut(fleet, true),
        Event::Heal => cut(fleet, false),
    }
}

fn cut(fleet: &settings::Fleet, on: bool) {
    let Some((last, others)) = fleet.zones.split_last() else { return };
    let unheard = |zone: &str| match (on, zone == last) {
        (false, _) => json!([]),
        (true, true) => json!(others),
        (true, false) => json!([last]),
    };
    for upstream in fleet.engines.iter().chain(&fleet.services) {
        set(fleet, &upstream.name, "cut", &unheard(&upstream.zone));
    }
    set(fleet, PLATFORM, "cut", &unheard(""));
}

fn set(fleet: &settings::Fleet, of: &str, name: &str, value: &Value) {
    let path = format!("/{of}/faults");
    if let Err(error) = remote::post(fleet.control, &path, &json!({name: value})) {
        log::error!("switch {name} of {of} was not set: {error}");
    }
}

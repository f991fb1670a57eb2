//! The servers of a trial: entry hosts and stand-ins, all in this process.

use std::io;
use std::net;
use std::time;

use lagoon_net::entry;
use lagoon_net::platform as store;
use lagoon_standin::engine;
use lagoon_standin::fleet;
use lagoon_standin::platform;
use lagoon_standin::service;
use lagoonline::control::document;
use lagoonline::id;
use serde_json::json;
use sha2::Digest;

use super::plan;

/// Key of the trial's only customer.
pub(super) const KEY: &str = "trial-key";
/// KV memory of an engine, in tokens: the longest prompts need two engines.
const KV_TOKENS: u64 = 600_000;
const ENGINES_A_ZONE: usize = 3;
/// Entry hosts: two in the first zone, of which one drains, and one in each other zone.
const HOST_ZONES: [usize; 4] = [0, 0, 1, 2];
/// Longest wait for engines to get their memory back.
const SETTLE: time::Duration = time::Duration::from_secs(8);
/// Longest drain, and longest request of the trial.
const GRACE: time::Duration = time::Duration::from_secs(30);

/// All servers of a trial.
#[derive(Debug)]
pub(super) struct World {
    pub(super) fleet: fleet::Fleet,
    hosts: Vec<entry::Running>,
    draining: std::cell::Cell<bool>,
}

/// How the servers ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Settled {
    /// Whether the drained entry host still has requests.
    pub(super) drained_active: usize,
}

impl World {
    pub(super) fn start() -> io::Result<Self> {
        let engine = engine::Settings {
            time_scale: 20.0,
            kv_tokens: KV_TOKENS,
            prefill_chunk: 1_024,
            resume_ms: 2_000,
            ..engine::Settings::default()
        };
        let fleet = fleet::start(fleet::Settings {
            platform: Some(platform::Settings::default()),
            engines: vec![engine; ENGINES_A_ZONE * plan::ZONES.len()],
            services: vec![service::Settings::default(); plan::ZONES.len()],
        })?;
        let section = section(&fleet).map_err(io::Error::other)?;
        let mut hosts = Vec::with_capacity(HOST_ZONES.len());
        for (number, zone) in HOST_ZONES.into_iter().enumerate() {
            hosts.push(entry::start(host(&fleet, number, zone, &section))?);
        }
        Ok(World { fleet, hosts, draining: std::cell::Cell::new(false) })
    }

    /// An entry host of the zone, as its balancer picks one.
    pub(super) fn host(&self, zone: usize) -> net::SocketAddr {
        let candidates = HOST_ZONES.iter().enumerate().filter(|(_, at)| **at == zone);
        let live = candidates.filter(|(number, _)| *number > 0 || !self.draining.get());
        let picked = live.map(|(number, _)| number).min().unwrap_or(0);
        self.hosts[picked].address()
    }

    pub(super) fn play(&self, trouble: plan::Trouble) {
        let victim = self.fleet.engines[0].node();
        match trouble {
            plan::Trouble::Kill => {
                victim.set_faults(engine::Faults { down: true, ..engine::Faults::default() });
            }
            plan::Trouble::Revive => victim.set_faults(engine::Faults::default()),
            plan::Trouble::Cut => self.cut(true),
            plan::Trouble::Heal => self.cut(false),
            plan::Trouble::Drain => {
                self.draining.set(true);
                self.hosts[0].drain();
            }
        }
    }

    /// Cuts the last zone off from the others and from the platform, both ways.
    fn cut(&self, on: bool) {
        let last = plan::ZONES.len() - 1;
        let cut_for = |zone: usize| -> Vec<String> {
            let names = plan::ZONES.iter().enumerate();
            let far = names.filter(|(other, _)| on && (*other == last) != (zone == last));
            far.map(|(_, name)| (*name).to_owned()).collect()
        };
        for (index, engine) in self.fleet.engines.iter().enumerate() {
            let cut = cut_for(index / ENGINES_A_ZONE);
            engine.node().set_faults(engine::Faults { cut, ..engine.node().faults() });
        }
        for (zone, service) in self.fleet.services.iter().enumerate() {
            let cut = cut_for(zone);
            service.node().set_faults(service::Faults { cut, ..service.node().faults() });
        }
        if let Some(platform) = &self.fleet.platform {
            let cut = cut_for(0);
            platform.node().set_faults(platform::Faults { cut, ..platform.node().faults() });
        }
    }

    /// Bytes that engines reserved and have not got back.
    pub(super) fn bytes_out(&self) -> u64 {
        let records = self.fleet.engines.iter().map(|engine| engine.node().record());
        records.map(|record| record.bytes_reserved - record.bytes_returned).sum()
    }

    /// Waits until the engines have their memory back and the drained host is done.
    pub(super) async fn settle(&self) -> Settled {
        let start = time::Instant::now();
        let busy = || self.bytes_out() > 0 || self.hosts[0].handle().active() > 0;
        while busy() && start.elapsed() < SETTLE {
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        Settled { drained_active: self.hosts[0].handle().active() }
    }
}

fn host(
    fleet: &fleet::Fleet,
    number: usize,
    zone: usize,
    section: &document::Section,
) -> entry::Settings {
    let platform = fleet.platform.as_ref().map(|platform| store::Settings {
        address: platform.address(),
        reads_per_second: 200.0,
        writes_per_second: 50.0,
        ..store::Settings::default()
    });
    entry::Settings {
        host: id::Host::from(format!("host-{number}")),
        zone: id::Zone::from(plan::ZONES[zone]),
        platform,
        sections: vec![section.clone()],
        grace: GRACE,
        ..entry::Settings::default()
    }
}

fn section(fleet: &fleet::Fleet) -> Result<document::Section, lagoonline::check::Faults> {
    let mut upstreams = serde_json::Map::new();
    for (index, engine) in fleet.engines.iter().enumerate() {
        let zone = plan::ZONES[index / ENGINES_A_ZONE];
        let upstream = json!({
            "zone": zone, "address": engine.address(), "models": ["model"], "kv_tokens": KV_TOKENS,
        });
        upstreams.insert(format!("engine-{index}"), upstream);
    }
    for (index, service) in fleet.services.iter().enumerate() {
        let upstream =
            json!({"zone": plan::ZONES[index], "address": service.address(), "service": "pickup"});
        upstreams.insert(format!("pickup-{index}"), upstream);
    }
    let hash = sha2::Sha256::digest(KEY.as_bytes());
    let hash: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    let text = json!({
        "customers": {"crew": {
            "keys": [hash], "requests_per_second": 10_000, "tokens_per_second": 1e9,
        }},
        "models": {"model": {}},
        "services": {"pickup": {}},
        "upstreams": upstreams,
    });
    document::Section::parse(id::Team::from("tin"), id::Version(1), &text.to_string())
}

//! Everything that a run needs, started on loopback: stand-ins, stewards, entry hosts.

use std::collections;
use std::io;
use std::net;
use std::thread;
use std::time;

use lagoon_net::{entry, operator, platform, steward, wire};
use lagoon_standin::{engine, fleet, service};
use lagoonline::control::document;
use lagoonline::id;
use lagoonline::load;
use serde_json::json;
use sha2::Digest;

use super::caller;

/// Availability zones.
pub(crate) const ZONES: [&str; 3] = ["suva", "nausori", "lautoka"];
/// Entry hosts of each zone.
pub(crate) const HOSTS: usize = 2;
/// Engines of each zone.
pub(crate) const ENGINES: usize = 4;
/// Replicas of the booking service in each zone.
const REPLICAS: usize = 1;
/// Customers; each one's key is its name.
pub(crate) const CUSTOMERS: u32 = 10;
/// Engine seconds that pass in a real one, so that a million tokens fit a short run.
pub(crate) const TIME_SCALE: f64 = 8.0;
/// Tokens that an engine prefills in an engine second.
const PREFILL_RATE: f64 = 50_000.0;
/// KV memory of one engine, in tokens: the longest prompts are more than twice that.
const KV_TOKENS: u64 = 400_000;
/// Writes a second that each entry host may make for idempotency keys.
const WRITES: f64 = 50.0;
/// The one team, and the key that may change every section.
const TEAM: &str = "crews";
const OPERATORS_KEY: &str = "operators' key of the trial";
/// Longest time until all entry hosts are ready.
const READY: time::Duration = time::Duration::from_secs(10);

/// How many of each part, and how they are set.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    /// Availability zones.
    pub(crate) zones: &'static [&'static str],
    /// Entry hosts of each zone.
    pub(crate) hosts: usize,
    /// Engines of each zone.
    pub(crate) engines: usize,
    /// Every engine but for its name.
    pub(crate) engine: engine::Settings,
    /// Decisions of every entry host but for its zone.
    pub(crate) load: load::Settings,
}

impl Default for Shape {
    fn default() -> Self {
        let engine = engine::Settings {
            time_scale: TIME_SCALE,
            prefill_rate: PREFILL_RATE,
            kv_tokens: KV_TOKENS,
            ..engine::Settings::default()
        };
        let load = load::Settings::default();
        Shape { zones: &ZONES, hosts: HOSTS, engines: ENGINES, engine, load }
    }
}

/// Running parts.
pub(crate) struct Fleet {
    pub(crate) stand_ins: fleet::Fleet,
    pub(crate) entries: Vec<entry::Running>,
    stewards: Vec<steward::Running>,
}

/// What the stand-ins say they did.
#[derive(Debug, Default)]
pub(crate) struct Record {
    /// Hashes of prompts that an engine accepted.
    pub(crate) prompts: collections::BTreeSet<u64>,
    /// How often each body ran at the booking service.
    pub(crate) bookings: collections::BTreeMap<String, u64>,
    /// KV memory not returned, in bytes.
    pub(crate) bytes_left: u64,
}

fn hex(text: &str) -> String {
    sha2::Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Name of a customer; also its caller key.
pub(crate) fn customer(draw: u32) -> String {
    format!("crew-{}", draw % CUSTOMERS)
}

/// What callers of the trial ask for.
pub(crate) fn target() -> caller::Target {
    caller::Target {
        keys: (0..CUSTOMERS).map(customer).collect(),
        model: "label".to_owned(),
        booking: "services/pickup/bookings".to_owned(),
        again: false,
    }
}

/// Hash under which a service's record has a body.
pub(crate) fn request_hash(body: &str) -> String {
    hex(body)
}

fn stand_ins(shape: &Shape) -> io::Result<fleet::Fleet> {
    let mut settings = fleet::Settings { platform: Some(Default::default()), ..Default::default() };
    for zone in shape.zones {
        for number in 0..shape.engines {
            settings.engines.push(engine::Settings {
                name: format!("{zone}-engine-{number}"),
                model: "label".to_owned(),
                ..shape.engine.clone()
            });
        }
        for number in 0..REPLICAS {
            let name = format!("{zone}-pickup-{number}");
            settings.services.push(service::Settings { name, ..service::Settings::default() });
        }
    }
    fleet::start(settings)
}

/// The one team's section.
fn section(stand_ins: &fleet::Fleet) -> String {
    let mut upstreams = serde_json::Map::new();
    for running in &stand_ins.engines {
        let settings = &running.node().settings;
        let name = settings.name.clone();
        let upstream = json!({
            "zone": zone_of(&name),
            "address": running.address(),
            "models": ["label"],
            "kv_tokens": settings.kv_tokens,
            "prefill_rate": settings.prefill_rate * settings.time_scale,
        });
        upstreams.insert(name, upstream);
    }
    for running in &stand_ins.services {
        let name = running.node().settings.name.clone();
        let upstream =
            json!({"zone": zone_of(&name), "address": running.address(), "service": "pickup"});
        upstreams.insert(name, upstream);
    }
    let customers: serde_json::Map<_, _> = (0..CUSTOMERS)
        .map(customer)
        .map(|name| (name.clone(), json!({"keys": [hex(&name)], "requests_per_second": 1_000})))
        .collect();
    json!({
        "customers": customers,
        "models": {"label": {"max_tokens": 1_100_000}},
        "services": {"pickup": {}},
        "upstreams": upstreams,
    })
    .to_string()
}

/// Zone of a name such as `suva-engine-1`.
pub(crate) fn zone_of(name: &str) -> &str {
    name.split('-').next().unwrap_or_default()
}

/// Starts everything and waits until every entry host is ready.
///
/// # Errors
///
/// A part could not be started, or a host is not ready in time.
pub(crate) fn start(shape: &Shape) -> io::Result<Fleet> {
    let stand_ins = stand_ins(shape)?;
    let running = stand_ins.platform.as_ref().ok_or_else(|| io::Error::other("no platform"))?;
    let address = running.address();
    let key = wire::Key::new(b"key of the trial");
    let mut fleet = Fleet { stand_ins, entries: Vec::new(), stewards: Vec::new() };
    for zone in shape.zones {
        for number in 0..shape.hosts {
            fleet.start_host(zone, number, address, &key, shape)?;
        }
    }
    fleet.wait_until_ready()?;
    fleet.put_section(key)?;
    Ok(fleet)
}

impl Fleet {
    fn start_host(
        &mut self,
        zone: &str,
        number: usize,
        platform: net::SocketAddr,
        key: &wire::Key,
        shape: &Shape,
    ) -> io::Result<()> {
        let host = id::Host::from(format!("{zone}-{number}"));
        let zone = id::Zone::from(zone);
        let zone_name = zone.clone();
        let reach = platform::Settings { address: platform, ..platform::Settings::default() };
        let peers = self.stewards.iter().map(steward::Running::address).collect();
        let steward = steward::start(steward::Settings {
            host: host.clone(),
            zone: zone.clone(),
            key: key.clone(),
            platform: Some(reach.clone()),
            operator_keys: document::parse_key_hash(&hex(OPERATORS_KEY)).into_iter().collect(),
            peers,
            ..steward::Settings::default()
        })?;
        let reach = platform::Settings { writes_per_second: WRITES, ..reach };
        let entry = entry::start(entry::Settings {
            host,
            zone,
            steward: Some(steward.address()),
            key: key.clone(),
            platform: Some(reach),
            load: load::Settings { zone: zone_name, ..shape.load.clone() },
            ..entry::Settings::default()
        })?;
        self.stewards.push(steward);
        self.entries.push(entry);
        Ok(())
    }

    /// Puts the team's section as an operator does, and waits until it is in force everywhere.
    fn put_section(&self, fleet_key: wire::Key) -> io::Result<()> {
        let client = operator::Client::new(operator::Settings {
            stewards: self.stewards.iter().map(steward::Running::address).collect(),
            fleet_key,
            key: OPERATORS_KEY.to_owned(),
            ..operator::Settings::default()
        });
        let request = operator::Request {
            verb: Some(wire::Verb::SectionPut),
            team: TEAM.to_owned(),
            text: section(&self.stand_ins),
            ..operator::Request::default()
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let standing = runtime.block_on(async {
            client.call(&request).await?;
            client.wait_accepted(TEAM, 1, READY).await
        });
        match standing {
            Ok(standing) if standing.accepted => Ok(()),
            Ok(standing) => Err(io::Error::other(format!("not accepted: {:?}", standing.missing))),
            Err(error) => Err(io::Error::other(error.to_string())),
        }
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = time::Instant::now() + READY;
        for entry in &self.entries {
            while !super::caller::is_ready(entry.address()) {
                if time::Instant::now() > deadline {
                    return Err(io::Error::other("an entry host is not ready in time"));
                }
                thread::sleep(time::Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Addresses of the entry hosts.
    pub(crate) fn entry_hosts(&self) -> Vec<net::SocketAddr> {
        self.entries.iter().map(entry::Running::address).collect()
    }

    /// Waits until the engines have returned all memory; what is left after `most`, in bytes, and
    /// how long it took.
    pub(crate) fn wait_for_memory(&self, most: time::Duration) -> (u64, time::Duration) {
        let began = time::Instant::now();
        loop {
            let left = self.bytes_left();
            if left == 0 || began.elapsed() > most {
                return (left, began.elapsed());
            }
            thread::sleep(time::Duration::from_millis(100));
        }
    }

    fn bytes_left(&self) -> u64 {
        let records = self.stand_ins.engines.iter().map(|engine| engine.node().record());
        records.map(|record| record.bytes_reserved - record.bytes_returned).sum()
    }

    /// What the stand-ins did.
    pub(crate) fn record(&self, bytes_left: u64) -> Record {
        let mut record = Record { bytes_left, ..Record::default() };
        for engine in &self.stand_ins.engines {
            let attempts = engine.node().record().attempts;
            record.prompts.extend(attempts.iter().map(|attempt| attempt.prompt_hash));
        }
        for service in &self.stand_ins.services {
            for call in service.node().record().calls.into_iter().filter(|call| call.ran) {
                *record.bookings.entry(call.body_sha256).or_insert(0) += 1;
            }
        }
        record
    }

    /// Drains the entry hosts, then ends the rest.
    pub(crate) fn stop(self) -> io::Result<()> {
        self.entries.iter().for_each(entry::Running::drain);
        for entry in self.entries {
            entry.wait()?;
        }
        self.stewards.into_iter().for_each(steward::Running::stop);
        Ok(())
    }
}

//! Embedded fleet on loopback: stand-ins, stewards and entry hosts.

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
/// Number of entry hosts per zone.
pub(crate) const HOSTS_PER_ZONE: usize = 2;
/// Number of engines per zone.
pub(crate) const ENGINES_PER_ZONE: usize = 4;
/// Number of replicas of the booking service per zone.
const SERVICE_REPLICAS_PER_ZONE: usize = 1;
/// Number of customers. The API key of a customer is its name.
pub(crate) const CUSTOMERS: u32 = 10;
/// Simulated engine seconds per real second, so that prompts of a million tokens fit in a short
/// run.
pub(crate) const TIME_SCALE: f64 = 8.0;
/// Prefill rate of an engine, in tokens per engine second.
const PREFILL_RATE: f64 = 50_000.0;
/// KV cache size of one engine, in tokens. The longest prompts need more than twice as much and so
/// several engines.
const KV_TOKENS: u64 = 400_000;
/// Maximum platform writes per second of each entry host, for idempotency keys.
const WRITES_PER_SECOND: f64 = 50.0;
/// The only team.
const TEAM: &str = "crews";
/// Operator key, which may change every section.
const OPERATOR_KEY: &str = "operators' key of the trial";
/// Time within which all entry hosts must be ready, and within which the section must be accepted.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Zones of a fleet, numbers of its hosts and engines, and their settings.
#[derive(Clone, Debug)]
pub(crate) struct Layout {
    /// Availability zones.
    pub(crate) zones: &'static [&'static str],
    /// Number of entry hosts per zone.
    pub(crate) hosts: usize,
    /// Number of engines per zone.
    pub(crate) engines: usize,
    /// Settings of every engine, without the name and the model.
    pub(crate) engine: engine::Settings,
    /// Scheduler settings of every entry host, without the zone.
    pub(crate) load: load::Settings,
}

impl Default for Layout {
    fn default() -> Self {
        let engine = engine::Settings {
            time_scale: TIME_SCALE,
            prefill_rate: PREFILL_RATE,
            kv_tokens: KV_TOKENS,
            ..engine::Settings::default()
        };
        let load = load::Settings::default();
        Layout { zones: &ZONES, hosts: HOSTS_PER_ZONE, engines: ENGINES_PER_ZONE, engine, load }
    }
}

/// A running fleet.
pub(crate) struct Fleet {
    pub(crate) stand_ins: fleet::Fleet,
    pub(crate) entries: Vec<entry::Running>,
    stewards: Vec<steward::Running>,
}

/// What the stand-ins recorded during a run.
#[derive(Debug, Default)]
pub(crate) struct Record {
    /// Hashes of prompts that an engine accepted.
    pub(crate) prompts: collections::BTreeSet<u64>,
    /// Number of runs at the booking service by hash of the body.
    pub(crate) bookings: collections::BTreeMap<String, u64>,
    /// KV memory that the engines have not freed, in bytes.
    pub(crate) unfreed_bytes: u64,
}

/// Returns the SHA-256 hash of a text in hexadecimal.
fn sha256_hex(text: &str) -> String {
    sha2::Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the name of a customer, which is also its API key.
pub(crate) fn customer(index: u32) -> String {
    format!("crew-{}", index % CUSTOMERS)
}

/// Returns the model, service path and keys that callers of the embedded fleet use.
pub(crate) fn target() -> caller::Target {
    caller::Target {
        keys: (0..CUSTOMERS).map(customer).collect(),
        model: "label".to_owned(),
        booking_path: "services/pickup/bookings".to_owned(),
        retry_elsewhere: false,
    }
}

/// Returns the hash of a body in a service's record.
pub(crate) fn body_hash(body: &str) -> String {
    sha256_hex(body)
}

fn stand_ins(layout: &Layout) -> io::Result<fleet::Fleet> {
    let mut settings = fleet::Settings { platform: Some(Default::default()), ..Default::default() };
    for zone in layout.zones {
        for number in 0..layout.engines {
            settings.engines.push(engine::Settings {
                name: format!("{zone}-engine-{number}"),
                model: "label".to_owned(),
                ..layout.engine.clone()
            });
        }
        for number in 0..SERVICE_REPLICAS_PER_ZONE {
            let name = format!("{zone}-pickup-{number}");
            settings.services.push(service::Settings { name, ..service::Settings::default() });
        }
    }
    fleet::start(settings)
}

/// Returns the section of the only team as JSON text.
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
        .map(|name| {
            (name.clone(), json!({"keys": [sha256_hex(&name)], "requests_per_second": 1_000}))
        })
        .collect();
    json!({
        "customers": customers,
        "models": {"label": {"max_tokens": 1_100_000}},
        "services": {"pickup": {}},
        "upstreams": upstreams,
    })
    .to_string()
}

/// Returns the zone of an upstream from its name, such as `suva-engine-1`.
pub(crate) fn zone_of(name: &str) -> &str {
    name.split('-').next().unwrap_or_default()
}

/// Starts the fleet, waits until every entry host is ready, and puts the section in force.
///
/// # Errors
///
/// A part cannot be started, a host is not ready in time, or the section is not accepted in time.
pub(crate) fn start(layout: &Layout) -> io::Result<Fleet> {
    let stand_ins = stand_ins(layout)?;
    let running = stand_ins.platform.as_ref().ok_or_else(|| io::Error::other("no platform"))?;
    let address = running.address();
    let key = wire::Key::new(b"key of the trial");
    let mut fleet = Fleet { stand_ins, entries: Vec::new(), stewards: Vec::new() };
    for zone in layout.zones {
        for number in 0..layout.hosts {
            fleet.start_host(zone, number, address, &key, layout)?;
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
        layout: &Layout,
    ) -> io::Result<()> {
        let host = id::Host::from(format!("{zone}-{number}"));
        let zone = id::Zone::from(zone);
        let zone_name = zone.clone();
        let platform_settings =
            platform::Settings { address: platform, ..platform::Settings::default() };
        let peers = self.stewards.iter().map(steward::Running::address).collect();
        let steward = steward::start(steward::Settings {
            host: host.clone(),
            zone: zone.clone(),
            key: key.clone(),
            platform: Some(platform_settings.clone()),
            operator_keys: document::parse_key_hash(&sha256_hex(OPERATOR_KEY))
                .into_iter()
                .collect(),
            peers,
            ..steward::Settings::default()
        })?;
        let platform_settings =
            platform::Settings { writes_per_second: WRITES_PER_SECOND, ..platform_settings };
        let entry = entry::start(entry::Settings {
            host,
            zone,
            steward: Some(steward.address()),
            key: key.clone(),
            platform: Some(platform_settings),
            scheduling: load::Settings { zone: zone_name, ..layout.load.clone() },
            ..entry::Settings::default()
        })?;
        self.stewards.push(steward);
        self.entries.push(entry);
        Ok(())
    }

    /// Puts the team's section as an operator does, and waits until every host has accepted it.
    fn put_section(&self, fleet_key: wire::Key) -> io::Result<()> {
        let client = operator::Client::new(operator::Settings {
            stewards: self.stewards.iter().map(steward::Running::address).collect(),
            fleet_key,
            key: OPERATOR_KEY.to_owned(),
            ..operator::Settings::default()
        });
        let request = operator::Request {
            verb: Some(wire::Verb::SectionPut),
            team: TEAM.to_owned(),
            text: section(&self.stand_ins),
            ..operator::Request::default()
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let status = runtime.block_on(async {
            client.call(&request).await?;
            // The first put of a section creates version 1.
            client.wait_accepted(TEAM, 1, READY_TIMEOUT).await
        });
        match status {
            Ok(status) if status.accepted => Ok(()),
            Ok(status) => Err(io::Error::other(format!("not accepted: {:?}", status.missing))),
            Err(error) => Err(io::Error::other(error.to_string())),
        }
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = time::Instant::now() + READY_TIMEOUT;
        for entry in &self.entries {
            while !super::caller::is_ready(entry.address()) {
                if time::Instant::now() > deadline {
                    return Err(io::Error::other("an entry host was not ready in time"));
                }
                thread::sleep(time::Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Returns the addresses of the entry hosts.
    pub(crate) fn entry_hosts(&self) -> Vec<net::SocketAddr> {
        self.entries.iter().map(entry::Running::address).collect()
    }

    /// Waits at most `timeout` until the engines have freed all KV memory; returns the bytes not
    /// freed and the time waited.
    pub(crate) fn wait_until_freed(&self, timeout: time::Duration) -> (u64, time::Duration) {
        let start_time = time::Instant::now();
        loop {
            let unfreed = self.unfreed_bytes();
            if unfreed == 0 || start_time.elapsed() > timeout {
                return (unfreed, start_time.elapsed());
            }
            thread::sleep(time::Duration::from_millis(100));
        }
    }

    fn unfreed_bytes(&self) -> u64 {
        let records = self.stand_ins.engines.iter().map(|engine| engine.node().record());
        records.map(|record| record.bytes_reserved - record.bytes_returned).sum()
    }

    /// Reads the records of the stand-ins.
    pub(crate) fn record(&self, unfreed_bytes: u64) -> Record {
        let mut record = Record { unfreed_bytes, ..Record::default() };
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

    /// Drains the entry hosts, then stops the stewards.
    pub(crate) fn stop(self) -> io::Result<()> {
        self.entries.iter().for_each(entry::Running::drain);
        for entry in self.entries {
            entry.wait()?;
        }
        self.stewards.into_iter().for_each(steward::Running::stop);
        Ok(())
    }
}

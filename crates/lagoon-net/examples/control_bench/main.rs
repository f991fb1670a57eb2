//! Measures the control plane on loopback: the time from the reply to a put until the section is in
//! force at every entry host, the time until it is accepted, and the cost of the control plane per
//! node.
//!
//! `cargo run --release -p lagoon-net --example control_bench -- hosts=3 engines=8 puts=50`; hosts
//! and engines are per zone, of three zones. Further arguments: `busy`, `outage`, `kills=N`,
//! `customers=N`, `hold=SECONDS`.

mod busy;
mod probe;

use std::collections;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use lagoon_net::link;
use lagoon_net::operator;
use lagoon_net::platform as platform_client;
use lagoon_net::steward;
use lagoon_net::wire;
use lagoon_standin::engine;
use lagoon_standin::platform;
use lagoonline::id;
use sha2::Digest;

const ZONES: [&str; 3] = ["suva", "nausori", "lautoka"];
const KEY: &[u8] = b"fleet";
const OPERATOR_KEY: &str = "operators";

/// Time over which idle costs are measured.
const MEASURE_TIME: time::Duration = time::Duration::from_secs(20);

/// Time after which every host knows every other host and every engine's incarnation.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(10);

/// Duration of a platform outage.
const OUTAGE: time::Duration = time::Duration::from_secs(3);

/// Section version in force at each entry process, and how often one reverted to a lower version.
#[derive(Default)]
struct Versions {
    known: collections::BTreeMap<String, u64>,
    reverts: u64,
}

type SharedVersions = sync::Arc<sync::Mutex<Versions>>;

struct Sink {
    team: &'static str,
    host: String,
    handle: link::Handle,
    versions: SharedVersions,
}

impl link::Sink for Sink {
    fn apply(&mut self, update: link::Update) {
        if let link::Update::Fleet { fleet, complete } = update {
            let version = fleet.versions.get(self.team).map_or(0, |version| version.0);
            let mut versions = self.versions.lock().unwrap();
            let last = versions.known.insert(self.host.clone(), version);
            versions.reverts += u64::from(last > Some(version));
            drop(versions);
            let in_force = fleet.versions.clone();
            self.handle.report(link::State { ready: complete, in_force, ..Default::default() });
        }
    }
}

/// Command-line arguments.
struct Arguments {
    hosts: usize,
    engines: usize,
    puts: usize,
    /// Whether engines report a different load at each read, instead of being idle.
    busy: bool,
    /// Whether the platform goes down for 3 s just before each put.
    outage: bool,
    /// Number of stewards to stop, one at a time; each time all others have to detect it.
    kills: usize,
    /// Number of customers, in sections of 20 teams; each put then edits one customer.
    customers: usize,
    /// Seconds for which the fleet keeps running, so that a separate steward can join it.
    hold: u64,
}

impl Arguments {
    fn read() -> Arguments {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let number = |name: &str, default: usize| {
            let argument = arguments
                .iter()
                .find_map(|argument| argument.strip_prefix(name)?.strip_prefix('='));
            argument.map_or(default, |argument| argument.parse().expect("a number"))
        };
        let flag = |name: &str| arguments.iter().any(|argument| argument == name);
        Arguments {
            hosts: number("hosts", 3),
            engines: number("engines", 8),
            puts: number("puts", 50),
            busy: flag("busy"),
            outage: flag("outage"),
            kills: number("kills", 0),
            customers: number("customers", 0),
            hold: number("hold", 0) as u64,
        }
    }
}

const TEAMS: usize = 20;

/// Returns a team's section of `count` customers, one of which depends on `edit`.
fn customers_of(team: usize, count: usize, edit: u64) -> serde_json::Value {
    let customer = |index: usize| {
        let weight = if index == count / 2 { 1 + edit } else { 1 };
        let name = format!("customer-{team}-{index}");
        let key = format!("{:064x}", team * 1_000_000 + index + 1);
        let entry = serde_json::json!({
            "keys": [key], "models": ["m"], "weight": weight, "requests_per_second": 20.5,
            "tokens_per_second": 40_000, "max_deadline_ms": 600_000,
        });
        (name, entry)
    };
    let customers: serde_json::Map<_, _> = (0..count).map(customer).collect();
    serde_json::json!({ "customers": customers })
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * share).ceil() as usize).copied().unwrap_or(f64::NAN)
}

fn main() {
    let Arguments { hosts, engines, puts, busy, outage, kills, customers, hold } =
        Arguments::read();
    let platform = platform::start(platform::Settings::default()).unwrap();
    let versions = SharedVersions::default();
    let team = if customers > 0 { "team-0" } else { "labels" };
    let before_kb = probe::resident_kb();
    let mut stewards = Vec::<steward::Running>::new();
    let mut links = Vec::new();
    for zone in ZONES {
        for index in 0..hosts {
            let host = format!("{zone}-{index}");
            let peers = stewards.iter().take(4).map(steward::Running::address).collect();
            let running = steward::start(steward::Settings {
                host: id::Host::from(host.as_str()),
                zone: id::Zone::from(zone),
                key: wire::Key::new(KEY),
                platform: Some(platform_client::Settings {
                    address: platform.address(),
                    ..platform_client::Settings::default()
                }),
                peers,
                operator_keys: vec![sha2::Sha256::digest(OPERATOR_KEY).into()],
                ..steward::Settings::default()
            })
            .unwrap();
            links.push((host, zone, running.address()));
            stewards.push(running);
        }
    }
    let entry_versions = versions.clone();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let local = tokio::task::LocalSet::new();
        for (host, zone, steward) in links {
            let (handle, task) = link::open(link::Settings {
                steward,
                host: id::Host::from(host.as_str()),
                zone: id::Zone::from(zone),
                incarnation: id::Incarnation(1),
                key: wire::Key::new(KEY),
                ..link::Settings::default()
            });
            local.spawn_local(task.run(Sink {
                team,
                host,
                handle,
                versions: entry_versions.clone(),
            }));
        }
        runtime.block_on(local);
    });
    let total = ZONES.len() * hosts;
    while versions.lock().unwrap().known.len() < total {
        thread::sleep(time::Duration::from_millis(50));
    }
    let names: Vec<_> = (0..engines * ZONES.len()).map(|index| format!("e{index}")).collect();
    let settings = names.iter().map(|name| engine::Settings {
        name: name.clone(),
        model: "m".to_owned(),
        ..engine::Settings::default()
    });
    let running = if busy { Vec::new() } else { engine::start_all(settings.collect()).unwrap() };
    let busy_address = busy::start().unwrap();
    let upstreams: serde_json::Map<_, _> = names
        .iter()
        .enumerate()
        .map(|(index, name)| {
            let zone = ZONES[index % ZONES.len()];
            let address = running.get(index).map_or(busy_address, |engine| engine.address());
            let value = serde_json::json!({ "zone": zone, "address": address, "models": ["m"] });
            (name.clone(), value)
        })
        .collect();
    let addresses: Vec<_> = stewards.iter().map(steward::Running::address).collect();
    let operator = operator::Client::new(operator::Settings {
        stewards: addresses,
        fleet_key: wire::Key::new(KEY),
        key: OPERATOR_KEY.to_owned(),
        ..operator::Settings::default()
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let put = |team: &str, from: u64, text: &serde_json::Value| {
        let request = operator::Request {
            verb: Some(wire::Verb::SectionPut),
            team: team.to_owned(),
            version: from,
            text: text.to_string(),
        };
        runtime.block_on(operator.call(&request)).unwrap()["version"].as_u64().unwrap()
    };
    let labels = |edit: u64| {
        serde_json::json!({
            "models": { "m": { "max_tokens": 1_000 + edit } }, "upstreams": upstreams,
        })
    };
    let mut first = 0;
    if customers > 0 {
        put("labels", 0, &labels(0));
        for index in 0..TEAMS {
            put(&format!("team-{index}"), 0, &customers_of(index, customers / TEAMS, 0));
        }
        first = 1;
    }
    // The initial exchange on new links is not part of the cost of puts.
    thread::sleep(SETTLE_TIME);
    let started = probe::Costs::read(&stewards);
    let began_puts = time::Instant::now();
    let (mut in_force, mut asked, mut accepted) = (Vec::new(), Vec::new(), Vec::new());
    for from in first..first + puts as u64 {
        if outage {
            platform.node().set_faults(platform::Faults { down: true, ..Default::default() });
            let node = platform.node().clone();
            thread::spawn(move || {
                thread::sleep(OUTAGE);
                node.set_faults(platform::Faults::default());
            });
        }
        let began = time::Instant::now();
        let text = match customers {
            0 => labels(from),
            _ => customers_of(0, customers / TEAMS, from),
        };
        let version = put(team, from, &text);
        let stored = time::Instant::now();
        while versions.lock().unwrap().known.values().any(|known| *known < version) {
            thread::sleep(time::Duration::from_millis(1));
        }
        in_force.push(stored.elapsed().as_secs_f64());
        asked.push(began.elapsed().as_secs_f64());
        let limit = time::Duration::from_secs(20);
        let status = runtime.block_on(operator.wait_accepted(team, version, limit)).unwrap();
        assert!(status.accepted, "{status:?}");
        accepted.push(began.elapsed().as_secs_f64());
        thread::sleep(time::Duration::from_millis(100));
    }
    let spread = |mut times: Vec<f64>| {
        times.sort_by(f64::total_cmp);
        serde_json::json!({ "p50": percentile(&times, 0.5), "p99": percentile(&times, 0.99) })
    };
    let seconds = began_puts.elapsed().as_secs_f64();
    let of_puts = probe::Costs::read(&stewards).since(&started, seconds);
    // Costs while no section changes, once every host knows every engine's incarnation.
    thread::sleep(SETTLE_TIME);
    let before = probe::Costs::read(&stewards);
    thread::sleep(MEASURE_TIME);
    let costs = probe::Costs::read(&stewards).since(&before, MEASURE_TIME.as_secs_f64());
    let resident_kb = (probe::resident_kb() - before_kb) / total as u64;
    let known_deaths = |stewards: &[steward::Running]| -> u64 {
        let deaths = stewards.iter().map(|steward| &steward.counters().members_declared_dead);
        deaths.map(|deaths| deaths.load(atomic::Ordering::Relaxed)).sum()
    };
    let false_deaths = known_deaths(&stewards);
    if hold > 0 {
        eprintln!("platform {}, steward {}", platform.address(), stewards[0].address());
        thread::sleep(time::Duration::from_secs(hold));
    }
    let mut detected = Vec::new();
    for _ in 0..kills {
        let dead = stewards.swap_remove(stewards.len() / 2);
        let known = known_deaths(&stewards);
        let began = time::Instant::now();
        dead.stop();
        while known_deaths(&stewards) < known + stewards.len() as u64 {
            thread::sleep(time::Duration::from_millis(5));
        }
        detected.push(began.elapsed().as_secs_f64());
        thread::sleep(time::Duration::from_secs(2));
    }
    // `asked` is the time of the call to put, `stored` that of its reply. The resident memory is
    // that of all parts in this process, divided by the number of hosts.
    let report = serde_json::json!({
        "hosts": total, "engines": names.len(), "busy": busy, "outage": outage, "puts": puts,
        "false_deaths": false_deaths, "reverts": versions.lock().unwrap().reverts,
        "asked_to_in_force_s": spread(asked),
        "stored_to_in_force_s": spread(in_force),
        "asked_to_accepted_s": spread(accepted),
        "death_known_to_all_s": spread(detected),
        "customers": customers, "puts_took_s": seconds, "node_while_putting": of_puts,
        "node": costs, "node_resident_kb_all_parts": resident_kb,
    });
    println!("{report:#}");
}

//! Measures control on loopback: the time from a put's answer until the section is in force at
//! every entry host, the time until it is accepted, and what control costs a node.
//!
//! `cargo run --release -p lagoon-net --example control_bench -- HOSTS_A_ZONE ENGINES_A_ZONE PUTS`

use std::collections;
use std::fs;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use lagoon_net::link;
use lagoon_net::operator;
use lagoon_net::platform as client;
use lagoon_net::steward;
use lagoon_net::wire;
use lagoon_standin::engine;
use lagoon_standin::platform;
use lagoonline::id;
use sha2::Digest;

const ZONES: [&str; 3] = ["suva", "nausori", "lautoka"];
const KEY: &[u8] = b"fleet";
const OPERATOR_KEY: &str = "operators";

/// Version of the section that each entry process works with.
type Board = sync::Arc<sync::Mutex<collections::BTreeMap<String, u64>>>;

struct Sink {
    host: String,
    handle: link::Handle,
    board: Board,
}

impl link::Sink for Sink {
    fn take(&mut self, update: link::Update) {
        if let link::Update::Fleet { fleet, complete } = update {
            let version = fleet.versions.get("labels").map_or(0, |version| version.0);
            self.board.lock().unwrap().insert(self.host.clone(), version);
            let in_force = fleet.versions.clone();
            self.handle.report(link::State { ready: complete, in_force, ..Default::default() });
        }
    }
}

fn arguments() -> [usize; 3] {
    let mut words = std::env::args().skip(1).map(|word| word.parse().unwrap_or(0));
    [words.next().unwrap_or(3), words.next().unwrap_or(8), words.next().unwrap_or(50)]
}

/// Processor time of this process, in clock ticks of 10 ms.
fn ticks() -> u64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    field(11).unwrap_or(0) + field(12).unwrap_or(0)
}

/// Processor time of this process's threads whose names begin so, in ticks.
fn thread_ticks(prefix: &str) -> u64 {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let ticks = tasks.filter_map(|task| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        let text = fs::read_to_string(task.path().join("stat")).ok()?;
        let fields: Vec<&str> = text.rsplit(')').next()?.split_whitespace().collect();
        let sum = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        name.starts_with(prefix).then_some(sum)
    });
    ticks.sum()
}

fn resident_kb() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * share).ceil() as usize).copied().unwrap_or(f64::NAN)
}

fn main() {
    let [hosts, engines, puts] = arguments();
    let platform = platform::start(platform::Settings::default()).unwrap();
    let board = Board::default();
    let before_kb = resident_kb();
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
                platform: Some(client::Settings {
                    address: platform.address(),
                    ..client::Settings::default()
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
    let entry_board = board.clone();
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
            local.spawn_local(task.run(Sink { host, handle, board: entry_board.clone() }));
        }
        runtime.block_on(local);
    });
    let total = ZONES.len() * hosts;
    while board.lock().unwrap().len() < total {
        thread::sleep(time::Duration::from_millis(50));
    }
    let running: Vec<_> = (0..engines * ZONES.len())
        .map(|index| {
            let name = format!("e{index}");
            engine::Settings { name, model: "m".to_owned(), ..engine::Settings::default() }
        })
        .collect();
    let running = engine::start_all(running).unwrap();
    let upstreams: serde_json::Map<_, _> = running
        .iter()
        .enumerate()
        .map(|(index, engine)| {
            let zone = ZONES[index % ZONES.len()];
            let value = serde_json::json!({
                "zone": zone, "address": engine.address(), "models": ["m"],
            });
            (format!("e{index}"), value)
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
    let put = |from: u64| {
        let text = serde_json::json!({
            "models": { "m": { "max_tokens": 1_000 + from } }, "upstreams": upstreams,
        });
        let request = operator::Request {
            verb: Some(wire::Verb::SectionPut),
            team: "labels".to_owned(),
            version: from,
            text: text.to_string(),
        };
        runtime.block_on(operator.call(&request)).unwrap()["version"].as_u64().unwrap()
    };
    let (mut in_force, mut accepted) = (Vec::new(), Vec::new());
    for from in 0..puts as u64 {
        let began = time::Instant::now();
        let version = put(from);
        let stored = time::Instant::now();
        while board.lock().unwrap().values().any(|known| *known < version) {
            thread::sleep(time::Duration::from_millis(1));
        }
        in_force.push(stored.elapsed().as_secs_f64());
        let limit = time::Duration::from_secs(20);
        let standing = runtime.block_on(operator.wait_accepted("labels", version, limit)).unwrap();
        assert!(standing.accepted, "{standing:?}");
        accepted.push(began.elapsed().as_secs_f64());
        thread::sleep(time::Duration::from_millis(100));
    }
    in_force.sort_by(f64::total_cmp);
    accepted.sort_by(f64::total_cmp);
    // What control costs while nothing changes.
    let sum = |pick: fn(&steward::Counters) -> &atomic::AtomicU64| -> u64 {
        let counters = stewards.iter().map(|steward| pick(steward.counters()));
        counters.map(|counter| counter.load(atomic::Ordering::Relaxed)).sum()
    };
    let measure = || {
        (
            sum(|counters| &counters.datagram_bytes_sent)
                + 28 * sum(|counters| &counters.datagrams_sent),
            sum(|counters| &counters.peer_bytes_sent),
            thread_ticks("steward-"),
            ticks(),
        )
    };
    let before = measure();
    let seconds = 10;
    thread::sleep(time::Duration::from_secs(seconds));
    let after = measure();
    let per_node =
        |before: u64, after: u64| (after - before) as f64 / seconds as f64 / total as f64;
    let deaths = sum(|counters| &counters.deaths);
    let report = serde_json::json!({
        "hosts": total, "engines": running.len(), "puts": puts, "false_deaths": deaths,
        "stored_to_in_force_s": { "p50": percentile(&in_force, 0.5), "p99": percentile(&in_force, 0.99) },
        "put_to_accepted_s": { "p50": percentile(&accepted, 0.5), "p99": percentile(&accepted, 0.99) },
        "node": {
            "datagram_bytes_a_second": per_node(before.0, after.0),
            "peer_frame_bytes_a_second": per_node(before.1, after.1),
            "core_share": per_node(before.2, after.2) / 100.0,
            "process_core_share_all_parts": per_node(before.3, after.3) / 100.0,
            "resident_kb_all_parts": (resident_kb() - before_kb) / total as u64,
        },
    });
    println!("{report:#}");
}

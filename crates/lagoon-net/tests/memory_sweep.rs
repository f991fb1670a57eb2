//! Engine memory that dead entry hosts leave, by the engine's own record, over sockets.

use std::io::{Read as _, Write as _};
use std::net;
use std::thread;
use std::time;

use lagoon_net::link;
use lagoon_net::platform as client;
use lagoon_net::steward;
use lagoon_net::wire;
use lagoon_standin::engine;
use lagoon_standin::platform;
use lagoon_standin::server;
use lagoonline::clock::Span;
use lagoonline::id;
use lagoonline::lifecycle::reap;
use rstest::rstest;
use serde_json::json;

const PATIENCE: time::Duration = time::Duration::from_secs(30);
/// Several times what it takes for a dead owner's memory to come back here.
const LONG_ENOUGH: time::Duration = time::Duration::from_secs(6);

struct Silent;

impl link::Sink for Silent {
    fn apply(&mut self, _: link::Update) {}
}

/// What the stewards see of an entry process: a link that reports until it is dropped.
struct Entry {
    runtime: tokio::runtime::Runtime,
    /// The link ends with its last handle.
    handle: link::Handle,
}

impl Entry {
    fn start(steward: net::SocketAddr, host: &str, zone: &str, incarnation: u64) -> Entry {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().expect("a runtime");
        let (handle, task) = link::open(link::Settings {
            steward,
            host: id::Host::from(host),
            zone: id::Zone::from(zone),
            incarnation: id::Incarnation(incarnation),
            key: wire::Key::new(b"fleet"),
            ..link::Settings::default()
        });
        handle.report(link::State { ready: true, ..link::State::default() });
        drop(runtime.spawn(task.run(Silent)));
        Entry { runtime, handle }
    }

    fn kill(self) {
        self.runtime.shutdown_background();
        drop(self.handle);
    }
}

struct Fleet {
    platform: server::Running<platform::Platform>,
    engine: server::Running<engine::Engine>,
    stewards: Vec<steward::Running>,
}

impl Fleet {
    /// Zone suva with an engine and two hosts, zone nausori with one.
    fn start() -> Fleet {
        let platform = platform::start(platform::Settings::default()).expect("a platform");
        let slow = engine::Settings { decode_ms: 100.0, resume_ms: 600_000, ..Default::default() };
        let engine = engine::start(slow).expect("an engine");
        let section = json!({"models": {"model": {}}, "upstreams": {
            "e": {"zone": "suva", "address": engine.address(), "models": ["model"]},
        }});
        let mut fleet = Fleet { platform, engine, stewards: Vec::new() };
        fleet.add("suva-1", "suva");
        fleet.add("suva-2", "suva");
        fleet.add("nausori-1", "nausori");
        let client = lagoon_net::operator::Client::new(lagoon_net::operator::Settings {
            stewards: fleet.stewards.iter().map(steward::Running::address).collect(),
            fleet_key: wire::Key::new(b"fleet"),
            key: "operators".to_owned(),
            total_timeout: PATIENCE,
            ..Default::default()
        });
        let put = lagoon_net::operator::Request {
            verb: Some(wire::Verb::SectionPut),
            team: "tin".to_owned(),
            text: section.to_string(),
            ..Default::default()
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(client.call(&put)).expect("stored");
        fleet
    }

    fn add(&mut self, host: &str, zone: &str) {
        let address = self.platform.address();
        let silence = Span::from_millis(1_000);
        let started = steward::start(steward::Settings {
            host: id::Host::from(host),
            zone: id::Zone::from(zone),
            key: wire::Key::new(b"fleet"),
            platform: Some(client::Settings { address, ..client::Settings::default() }),
            peers: self.stewards.iter().map(steward::Running::address).collect(),
            operator_keys: vec![<sha2::Sha256 as sha2::Digest>::digest("operators").into()],
            sweep_interval: Span::from_millis(100),
            reap: reap::Settings {
                owner_timeout: silence,
                takeover_window: silence,
                ..reap::Settings::default()
            },
            ..steward::Settings::default()
        });
        self.stewards.push(started.expect("a steward"));
    }

    fn send(&self, path: &str, headers: &str, body: &str) -> net::TcpStream {
        let mut stream = net::TcpStream::connect(self.engine.address()).expect("connected");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        let length = body.len();
        let head = format!("POST {path} HTTP/1.1\r\nHost: e\r\nContent-Length: {length}\r\n");
        stream.write_all(format!("{head}{headers}\r\n{body}").as_bytes()).expect("sent");
        let mut first = [0; 512];
        let count = stream.read(&mut first).expect("an answer");
        let answer = String::from_utf8_lossy(&first[..count]);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        stream
    }

    /// A stream of `owner` that runs for minutes.
    fn generate(&self, attempt: u128, owner: &str) -> net::TcpStream {
        let headers = format!(
            "Lagoon-Attempt: {}\r\nLagoon-Owner: {owner}\r\nLagoon-Model: model\r\n\
             Lagoon-Deadline-Ms: 600000\r\nLagoon-Answer-Tokens: 5000\r\n",
            id::Attempt(attempt)
        );
        self.send("/generate", &headers, r#"{"model": "model", "prompt": "tin"}"#)
    }

    /// Bytes reserved less bytes returned.
    fn held(&self) -> u64 {
        let record = self.engine.node().record();
        record.bytes_reserved - record.bytes_returned
    }
}

fn wait_until<Met>(what: &str, met: Met)
where
    Met: Fn() -> bool,
{
    let began = time::Instant::now();
    while !met() {
        assert!(began.elapsed() < PATIENCE, "{what}");
        thread::sleep(time::Duration::from_millis(20));
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Death {
    /// The process ends; its steward lives.
    Process,
    /// The process ends and another takes its place at once.
    Restart,
    /// The host ends, its steward with it.
    Host,
}

/// An entry host dies in the middle of a caller's stream and of a group's reservations. Its caller
/// hears of a broken connection. The engine would keep the memory for ten minutes; the steward
/// that observes it proves the owner dead and has it given back. A stream of a live host that
/// says nothing new all the while is left alone. A host of another zone is judged by that zone's
/// word, and left to the engine when the zone is out of reach.
#[rstest]
#[case("suva-2", 1, Death::Process, true)]
#[case("suva-2", 1, Death::Restart, true)]
#[case("suva-2", 1, Death::Host, true)]
#[case("nausori-1", 2, Death::Process, true)]
#[case("nausori-1", 2, Death::Restart, true)]
#[case("nausori-1", 2, Death::Host, false)]
fn a_dead_hosts_memory_comes_back(
    #[case] host: &str,
    #[case] place: usize,
    #[case] death: Death,
    #[case] returns: bool,
) {
    let mut fleet = Fleet::start();
    let zone = host.split('-').next().expect("a zone");
    let _alive = Entry::start(fleet.stewards[0].address(), "suva-1", "suva", 1);
    let dying = Entry::start(fleet.stewards[place].address(), host, zone, 1);
    let live_stream = fleet.generate(1, "suva-1/1");
    let live_bytes = fleet.held();
    let owner = format!("{host}/1");
    let stream = fleet.generate(2, &owner);
    let reservation = json!({"id": id::Attempt(3).to_string(), "owner": owner, "tokens": 1_000, "ttl_ms": 600_000});
    fleet.send("/kv/reserve", "", &reservation.to_string());
    let all_bytes = fleet.held();
    assert!(live_bytes > 0 && all_bytes > live_bytes);
    // Live owners, known and quiet, lose nothing.
    thread::sleep(LONG_ENOUGH / 2);
    assert_eq!(fleet.held(), all_bytes);

    let killed = time::Instant::now();
    drop(stream);
    dying.kill();
    let address = fleet.stewards[place].address();
    let _next = (death == Death::Restart).then(|| Entry::start(address, host, zone, 2));
    if death == Death::Host {
        fleet.stewards.remove(place).stop();
    }
    if returns {
        wait_until("the dead host's memory is back", || fleet.held() == live_bytes);
        println!(
            "{host} {death:?}: {} bytes back after {:?}",
            all_bytes - live_bytes,
            killed.elapsed()
        );
    } else {
        thread::sleep(LONG_ENOUGH);
        assert_eq!(fleet.held(), all_bytes, "released an owner that nobody could judge");
    }
    drop(live_stream);
    fleet.send(&format!("/streams/{}/cancel", id::Attempt(1)), "", "");
    if returns {
        wait_until("no byte is left", || fleet.held() == 0);
    }
}

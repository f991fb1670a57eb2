//! Release of engine memory that dead entry hosts hold, checked against the engine's record, over
//! real sockets.

use std::io::{Read as _, Write as _};
use std::net;
use std::thread;
use std::time;

use lagoon_net::link;
use lagoon_net::platform as platform_client;
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

const TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Several times as long as the release of a dead owner's memory takes in this test.
const RELEASE_WAIT: time::Duration = time::Duration::from_secs(6);

struct IgnoreUpdates;

impl link::Sink for IgnoreUpdates {
    fn apply(&mut self, _: link::Update) {}
}

/// An entry process as the stewards see it: a link that reports until it is dropped.
struct Entry {
    runtime: tokio::runtime::Runtime,
    /// The link closes when its last handle is dropped.
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
        drop(runtime.spawn(task.run(IgnoreUpdates)));
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
    /// Starts zone suva with an engine and two hosts, and zone nausori with one host.
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
            total_timeout: TIMEOUT,
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
        let timeout = Span::from_millis(1_000);
        let started = steward::start(steward::Settings {
            host: id::Host::from(host),
            zone: id::Zone::from(zone),
            key: wire::Key::new(b"fleet"),
            platform: Some(platform_client::Settings {
                address,
                ..platform_client::Settings::default()
            }),
            peers: self.stewards.iter().map(steward::Running::address).collect(),
            operator_keys: vec![<sha2::Sha256 as sha2::Digest>::digest("operators").into()],
            sweep_interval: Span::from_millis(100),
            reap: reap::Settings {
                owner_timeout: timeout,
                takeover_window: timeout,
                ..reap::Settings::default()
            },
            ..steward::Settings::default()
        });
        self.stewards.push(started.expect("a steward"));
    }

    fn send(&self, path: &str, headers: &str, body: &str) -> net::TcpStream {
        let mut stream = net::TcpStream::connect(self.engine.address()).expect("connected");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
        let length = body.len();
        let head = format!("POST {path} HTTP/1.1\r\nHost: e\r\nContent-Length: {length}\r\n");
        stream.write_all(format!("{head}{headers}\r\n{body}").as_bytes()).expect("sent");
        let mut first = [0; 512];
        let count = stream.read(&mut first).expect("an answer");
        let answer = String::from_utf8_lossy(&first[..count]);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        stream
    }

    /// Starts a stream of `owner` that runs for minutes.
    fn generate(&self, attempt: u128, owner: &str) -> net::TcpStream {
        let headers = format!(
            "Lagoon-Attempt: {}\r\nLagoon-Owner: {owner}\r\nLagoon-Model: model\r\n\
             Lagoon-Deadline-Ms: 600000\r\nLagoon-Answer-Tokens: 5000\r\n",
            id::Attempt(attempt)
        );
        self.send("/generate", &headers, r#"{"model": "model", "prompt": "tin"}"#)
    }

    /// Returns the bytes that are reserved and not yet returned.
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
        assert!(began.elapsed() < TIMEOUT, "{what}");
        thread::sleep(time::Duration::from_millis(20));
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Death {
    /// The process ends; its steward keeps running.
    Process,
    /// The process ends and is restarted at once.
    Restart,
    /// The process and its steward end.
    Host,
}

/// An entry host dies while it owns a stream and a reservation of a group. The engine would keep
/// their memory for ten minutes. The steward that observes the engine establishes that the owner is
/// dead and releases the memory. A stream of a live host is kept, although nothing about it
/// changes. For an owner in another zone the steward asks that zone; if it does not reply, nothing
/// is released, and the memory is left to the engine's own expiry.
#[rstest]
#[case("suva-2", 1, Death::Process, true)]
#[case("suva-2", 1, Death::Restart, true)]
#[case("suva-2", 1, Death::Host, true)]
#[case("nausori-1", 2, Death::Process, true)]
#[case("nausori-1", 2, Death::Restart, true)]
#[case("nausori-1", 2, Death::Host, false)]
fn memory_of_a_dead_host_is_released(
    #[case] host: &str,
    #[case] steward: usize,
    #[case] death: Death,
    #[case] is_released: bool,
) {
    let mut fleet = Fleet::start();
    let zone = host.split('-').next().expect("a zone");
    let _live = Entry::start(fleet.stewards[0].address(), "suva-1", "suva", 1);
    let dying = Entry::start(fleet.stewards[steward].address(), host, zone, 1);
    let live_stream = fleet.generate(1, "suva-1/1");
    let live_bytes = fleet.held();
    let owner = format!("{host}/1");
    let stream = fleet.generate(2, &owner);
    let reservation = json!({"id": id::Attempt(3).to_string(), "owner": owner, "tokens": 1_000, "ttl_ms": 600_000});
    fleet.send("/kv/reserve", "", &reservation.to_string());
    let all_bytes = fleet.held();
    assert!(live_bytes > 0 && all_bytes > live_bytes);
    // Nothing is released while the owners are live.
    thread::sleep(RELEASE_WAIT / 2);
    assert_eq!(fleet.held(), all_bytes);

    let killed = time::Instant::now();
    drop(stream);
    dying.kill();
    let address = fleet.stewards[steward].address();
    let _next = (death == Death::Restart).then(|| Entry::start(address, host, zone, 2));
    if death == Death::Host {
        fleet.stewards.remove(steward).stop();
    }
    if is_released {
        wait_until("the dead host's memory was not released", || fleet.held() == live_bytes);
        println!(
            "{host} {death:?}: {} bytes released after {:?}",
            all_bytes - live_bytes,
            killed.elapsed()
        );
    } else {
        thread::sleep(RELEASE_WAIT);
        assert_eq!(fleet.held(), all_bytes, "released memory of an owner whose state is unknown");
    }
    drop(live_stream);
    fleet.send(&format!("/streams/{}/cancel", id::Attempt(1)), "", "");
    if is_released {
        wait_until("memory is still held", || fleet.held() == 0);
    }
}

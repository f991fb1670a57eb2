//! Test fixture: one entry host with stand-in engines, and an HTTP client that writes raw bytes.
//!
//! The names `crew` (a customer), `pickup` (a service) and `tin` (a team, also used as a prompt and
//! a body) are sample data without a meaning.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::time;

use lagoon_net::entry;
use lagoon_standin::engine;
use lagoon_standin::server;
use lagoonline::control::document;
use lagoonline::id;
use serde_json::json;
use sha2::Digest as _;

/// API key of the customer `crew`.
pub const KEY: &str = "crew-key";
/// KV memory of each engine, in tokens.
pub const KV_TOKENS: u64 = 2_000_000;
/// Prefill rate of each engine in the document, in tokens per second; engines with [`quick`]
/// settings are at least as fast.
pub const PREFILL_RATE: f64 = 1e6;
/// Timeout of every wait in the tests.
pub const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// A running entry host and its stand-in engines.
pub struct Host {
    pub running: entry::Running,
    pub engines: Vec<server::Running<engine::Engine>>,
}

pub fn key_hash(key: &str) -> String {
    let hash = sha2::Sha256::digest(key.as_bytes());
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Settings of an engine that responds quickly.
pub fn quick() -> engine::Settings {
    engine::Settings { time_scale: 50.0, kv_tokens: KV_TOKENS, ..engine::Settings::default() }
}

/// Returns a section with the customer `crew`, the model `model` and these upstreams.
pub fn section(
    engines: &[net::SocketAddr],
    services: &[(&str, net::SocketAddr)],
    continues: bool,
) -> document::Section {
    let mut upstreams = serde_json::Map::new();
    for (index, address) in engines.iter().enumerate() {
        let upstream = json!({
            "zone": "suva", "address": address, "models": ["model"], "kv_tokens": KV_TOKENS,
            "prefill_rate": PREFILL_RATE,
        });
        upstreams.insert(format!("engine-{index}"), upstream);
    }
    let mut names = serde_json::Map::new();
    for (index, (name, address)) in services.iter().enumerate() {
        let upstream = json!({"zone": "suva", "address": address, "service": name});
        upstreams.insert(format!("runner-{index}"), upstream);
        names.insert((*name).to_owned(), json!({}));
    }
    let text = json!({
        "customers": {"crew": {"keys": [key_hash(KEY)], "max_deadline_ms": 60_000}},
        "models": {"model": {"continues": continues}},
        "services": names,
        "upstreams": upstreams,
    });
    let version = id::Version(1);
    document::Section::parse(id::Team::from("tin"), version, &text.to_string()).unwrap()
}

/// Returns settings with the default scheduling policy, `full`.
pub fn settings(sections: Vec<document::Section>) -> entry::Settings {
    let limits = entry::Limits {
        body_timeout: time::Duration::from_millis(300),
        body_bytes: 16 << 20,
        ..entry::Limits::default()
    };
    let unready = time::Duration::ZERO;
    let host = id::Host::from("suva-1");
    let zone = id::Zone::from("suva");
    let default = entry::Settings::default();
    entry::Settings { host, zone, limits, sections, unready, ..default }
}

impl Host {
    pub fn start(engines: Vec<engine::Settings>) -> Host {
        Host::start_with(engines, true, |settings| settings)
    }

    pub fn start_with<Change>(
        engines: Vec<engine::Settings>,
        continues: bool,
        change: Change,
    ) -> Host
    where
        Change: FnOnce(entry::Settings) -> entry::Settings,
    {
        let engines = engine::start_all(engines).unwrap();
        let addresses: Vec<_> = engines.iter().map(server::Running::address).collect();
        let settings = settings(vec![section(&addresses, &[], continues)]);
        Host { running: entry::start(change(settings)).unwrap(), engines }
    }

    /// Starts a host whose document gives each engine `kv_tokens` of KV memory.
    pub fn start_sized(engines: Vec<engine::Settings>, kv_tokens: u64) -> Host {
        Host::start_with(engines, true, |settings| {
            let resized = settings.sections.iter().map(|section| {
                let (old, new) = (KV_TOKENS.to_string(), kv_tokens.to_string());
                let text = section.text.replace(&old, &new);
                document::Section::parse(section.team.clone(), section.version, &text).unwrap()
            });
            entry::Settings { sections: resized.collect(), ..settings }
        })
    }

    pub fn address(&self) -> net::SocketAddr {
        self.running.address()
    }

    pub fn connect(&self) -> net::TcpStream {
        connect(self.address())
    }

    /// Sends raw bytes and reads until the host closes the connection.
    pub fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        stream.write_all(bytes).unwrap();
        read_all(&mut stream)
    }

    /// Posts a JSON body on a new connection.
    pub fn post(&self, path: &str, headers: &str, body: &str) -> String {
        self.exchange(&request("POST", path, headers, body))
    }

    pub fn metrics(&self) -> String {
        self.exchange(&request("GET", "/metrics", "", ""))
    }

    /// Checks that all requests released their resources, and drains the host.
    pub fn finish(self) {
        let handle = self.running.handle();
        wait_until("no request holds a resource", || {
            handle.active() == 0 && handle.resources() == entry::Resources::default()
        });
        self.running.drain();
        assert_eq!(self.running.wait().unwrap(), entry::Ending::Clean);
    }
}

pub fn connect(address: net::SocketAddr) -> net::TcpStream {
    let stream = net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.set_write_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// Returns a request of the customer `crew` that asks for the connection to be closed.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {length}\r\n{headers}\r\n"
    );
    [head.as_bytes(), body.as_bytes()].concat()
}

/// Reads until the other side closes or resets the connection.
pub fn read_all(stream: &mut net::TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => break,
            Err(error) => panic!("{error} after {}", String::from_utf8_lossy(&bytes)),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the body of a completion call.
pub fn completion(prompt: &str, tokens: u64, stream: bool) -> String {
    json!({"model": "model", "prompt": prompt, "max_tokens": tokens, "stream": stream}).to_string()
}

/// Returns the status code of a response.
pub fn status(answer: &str) -> &str {
    answer.get(9..12).unwrap_or("none")
}

/// Polls `met` until it returns true; panics with `what` after [`PATIENCE`].
pub fn wait_until<Met>(what: &str, mut met: Met)
where
    Met: FnMut() -> bool,
{
    let began = time::Instant::now();
    while !met() {
        assert!(began.elapsed() < PATIENCE, "timed out waiting until: {what}");
        std::thread::sleep(time::Duration::from_millis(5));
    }
}

//! An entry host with a stand-in of the platform's store, two engines and two replicas.

pub mod caller;
pub mod process;

use std::io::{Read, Write};
use std::net;
use std::time;

use serde_json::json;

use super::standin::{self, Standin, event};

/// Maximum time of a step on a busy machine.
pub const STEP_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Time within which a host has read a change of the store.
pub const PAUSE: time::Duration = time::Duration::from_millis(2_500);

/// A running host.
pub struct Host {
    pub standin: Standin,
    pub running: Option<lagoon_gateway::Running>,
    pub callers: net::SocketAddr,
    pub ready: net::SocketAddr,
}

/// Identity and settings of a host.
#[derive(Clone, Copy, Debug)]
pub struct HostSettings<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// Minimum number of hosts in a zone for one of them to place requests for the others.
    pub relay_hosts: u64,
    /// Key revocation bound in milliseconds.
    pub revoke_ms: u64,
    /// Window of the retry budget in seconds.
    pub retry_window_s: u64,
    /// Retries of all hosts in a window beyond the allowed share of requests.
    pub retry_slack: u64,
    /// How long the platform holds a watch of the desired state open, in milliseconds.
    pub desired_wait_ms: u64,
    /// Address of the store; that of the stand-in if `None`.
    pub store: Option<net::SocketAddr>,
    /// Further lines of the settings file.
    pub more: &'a str,
    /// Memory of the process in MB.
    pub memory_mb: u64,
    /// Time after a restore of the store in which operators write again, in milliseconds.
    pub settle_ms: u64,
}

impl Default for HostSettings<'_> {
    fn default() -> Self {
        let relay_hosts = lagoon_gateway::Tuning::default().relay_hosts;
        HostSettings {
            name: "h1",
            zone: "a",
            relay_hosts,
            revoke_ms: 1_500,
            retry_window_s: 10,
            retry_slack: 50,
            desired_wait_ms: 400,
            store: None,
            more: "",
            memory_mb: 256,
            settle_ms: 2_000,
        }
    }
}

fn node(standin: &Standin, settings: HostSettings<'_>) -> lagoon_platform::settings::Node {
    let HostSettings { name, zone, revoke_ms, store, retry_window_s, retry_slack, .. } = settings;
    let HostSettings { memory_mb, more, .. } = settings;
    let store = store.unwrap_or(standin.store_address);
    let text = format!(
        "NodeName: {name}\nIp: 127.0.0.1\nZone: {zone}\nListen:\n  Front: \"127.0.0.1:0\"\n  \
         Ready: \"127.0.0.1:0\"\nInternalPorts: [0, 0]\nPlatform:\n  Address: \"{store}\"\n\
         Limits:\n  MemoryMb: {memory_mb}\nBounds:\n  GraceS: 8\n  StrictRevoke: true\n  RevokeMs: {revoke_ms}\n  \
         BudgetWindowS: {retry_window_s}\n  BudgetSlack: {retry_slack}\n{more}"
    );
    lagoon_platform::settings::read(&text).unwrap()
}

/// Returns a desired state in which `keys` are valid and requests time out after `timeout`
/// milliseconds.
pub fn desired(version: u64, keys: &[&str], timeout: u64) -> serde_json::Value {
    let engine = json!({"Slots": 16, "KvCacheTokens": 232000, "Stride": 43, "step_ms": 1.0,
        "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048});
    json!({"Version": version,
        "Routes": [
            {"Name": "talk", "Host": "x.example", "Prefix": "/talk/", "Kind": "streaming",
             "TimeoutMs": timeout, "TargetLatencyMs": 300, "Service": "llm", "MaxAttempts": 2,
             "Resumable": true, "TargetGapMs": 250},
            {"Name": "review", "Host": "x.example", "Prefix": "/review/", "Kind": "streaming",
             "TimeoutMs": timeout, "TargetLatencyMs": 2500, "Service": "llm", "MaxAttempts": 2,
             "Resumable": true, "TargetGapMs": 1000},
            {"Name": "tell", "Host": "x.example", "Prefix": "/tell/", "Kind": "streaming",
             "TimeoutMs": timeout, "TargetLatencyMs": 300, "Service": "llm", "MaxAttempts": 2,
             "TargetGapMs": 250},
            {"Name": "book", "Host": "x.example", "Prefix": "/book/", "Kind": "unsafe",
             "TimeoutMs": timeout, "TargetLatencyMs": 200, "Service": "app", "MaxAttempts": 1},
            {"Name": "look", "Host": "x.example", "Prefix": "/look/", "Kind": "safe",
             "TimeoutMs": timeout, "TargetLatencyMs": 200, "Service": "app", "MaxAttempts": 2}],
        "Services": [{"Name": "llm", "HealthPath": "/h", "MaxConnections": 100, "Engine": engine},
                     {"Name": "app", "HealthPath": "/h", "MaxConnections": 100}],
        "Tenants": [{"Name": "c1", "ApiKeys": keys}]})
}

impl Host {
    /// Starts a host with two engines and two replicas, and waits until it is ready.
    pub fn start() -> Host {
        Host::start_with(|standin, name, service, slots| {
            standin.upstream(name, service, slots);
        })
    }

    /// As [`Host::start`], with upstreams that answer by [`Standin::script`].
    pub fn start_raw() -> Host {
        Host::start_with(Standin::raw_upstream)
    }

    fn start_with(upstream: fn(&Standin, &str, &str, u32)) -> Host {
        Host::join(&start_upstreams(upstream), HostSettings::default())
    }

    /// Starts another host of `standin`, and waits until it is ready.
    pub fn join(standin: &Standin, settings: HostSettings<'_>) -> Host {
        let settings = lagoon_gateway::Settings {
            node: node(standin, settings),
            tuning: lagoon_gateway::Tuning {
                desired_wait: time::Duration::from_millis(settings.desired_wait_ms),
                upstreams_pause: time::Duration::from_millis(20),
                hosts_pause: time::Duration::from_millis(20),
                relay_hosts: settings.relay_hosts,
                settle_span: time::Duration::from_millis(settings.settle_ms),
                ..Default::default()
            },
        };
        let running = lagoon_gateway::start(settings).unwrap();
        let handle = running.handle();
        let host = Host {
            standin: standin.clone(),
            running: Some(running),
            callers: handle.callers(),
            ready: handle.ready(),
        };
        host.until("ready", || host.readiness() == 200);
        host
    }

    /// Waits until `check` returns true; `what` names the awaited state in the failure message.
    pub fn until<Check>(&self, what: &str, mut check: Check)
    where
        Check: FnMut() -> bool,
    {
        let began = time::Instant::now();
        while !check() {
            assert!(began.elapsed() < STEP_TIMEOUT, "not {what} in time");
            std::thread::sleep(time::Duration::from_millis(10));
        }
    }

    /// Returns the status of the readiness check.
    pub fn readiness(&self) -> u16 {
        send_request(self.ready, "GET /api/ready HTTP/1.1\r\nhost: h\r\n\r\n").0
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        let list = send_request(self.ready, "GET /quarantine HTTP/1.1\r\nhost: h\r\n\r\n").1;
        let list: serde_json::Value = serde_json::from_str(&list).unwrap();
        let verdicts = list["quarantine"].as_array().unwrap().iter();
        verdicts.filter(|verdict| verdict["released"] == false).count()
    }

    /// Sends a request with `more` headers and returns its answer.
    pub fn call(&self, method: &str, path: &str, key: &str, more: &str) -> (u16, String) {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
             authorization: Token {key}\r\nlagoonline-request-deadline: 8000\r\n{more}\r\n"
        );
        send_request(self.callers, &head)
    }

    /// Sends a short prompt and returns its answer.
    pub fn talk(&self) -> (u16, String) {
        self.call("POST", "/talk/a", "k1", "lagoonline-token-count: 5000,400\r\n")
    }

    /// Returns the number of requests that upstreams ran.
    pub fn ran_count(&self) -> usize {
        self.standin.received_requests().iter().filter(|request| request.ran).count()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(running) = self.running.take() {
            running.handle().drain();
        }
    }
}

/// Starts a stand-in with two engines and two replicas, each started by `upstream`.
pub fn start_upstreams(upstream: fn(&Standin, &str, &str, u32)) -> Standin {
    let standin = Standin::start();
    standin.put("op", "config", &desired(1, &["k1"], 10_000));
    for name in ["e1", "e2"] {
        upstream(&standin, name, "llm", 16);
    }
    for name in ["r1", "r2"] {
        upstream(&standin, name, "app", 6);
    }
    standin
}

/// Sends a request and returns the status and the body as far as it came. Status 0 means no answer.
/// " CUT" is appended to a chunked body without its terminating chunk.
pub fn send_request(address: net::SocketAddr, head: &str) -> (u16, String) {
    let (status, _, body) = send_request_for_head(address, head);
    (status, body)
}

/// As [`send_request`], but also returns the head of the answer.
pub fn send_request_for_head(address: net::SocketAddr, head: &str) -> (u16, String, String) {
    let mut stream = net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let head = text.split("\r\n\r\n").next().unwrap_or_default().to_owned();
        if let Some((status, body)) = parse(&text, false) {
            return (status, head, body);
        }
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            _ => {
                let (status, body) = parse(&text, true).unwrap_or((0, text));
                return (status, head, body);
            }
        }
    }
}

fn parse(text: &str, ended: bool) -> Option<(u16, String)> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    if !head.contains("chunked") {
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
        let length: usize = length.trim().parse().ok()?;
        return (body.len() >= length).then(|| (status, body.to_owned()));
    }
    let mut decoded = String::new();
    let mut remaining = body;
    while let Some((size, rest)) = remaining.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return Some((status, decoded));
        }
        if rest.len() < size + 2 {
            break;
        }
        decoded.push_str(&rest[..size]);
        remaining = &rest[size + 2..];
    }
    ended.then(|| (status, decoded + " CUT"))
}

/// Returns the events of a complete answer.
pub fn all_events() -> String {
    (1..=standin::EVENTS).map(event).collect()
}

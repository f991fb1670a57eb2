//! A soak of hosts whose platform is restored from older copies again and again, beside outages, hosts
//! that are turned away or start anew, keys that are revoked and upstreams that leave.
//!
//! `LAGOON_SOAK_SEEDS` plays that many seeds, `LAGOON_SOAK_FIRST_SEED` is the first of them.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::collections;
use std::io::{Read, Write};
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use host::{Host, HostSettings, desired};
use standin::{Backup, Entrance, Standin};

const HOSTS: [(&str, &str); 4] = [("h1", "a"), ("h2", "a"), ("h3", "a"), ("h4", "b")];
/// Number of events of a run.
const EVENTS: usize = 25;
/// Key revocation bound, and the time that a request may take until its key is checked.
const REVOKE_BOUND: time::Duration = time::Duration::from_millis(3_000);
const CHECK_TIME: time::Duration = time::Duration::from_millis(500);
/// Bound on requests to upstreams that have left, from then or from the last disturbance of the platform
/// or of a host's way to it.
const LEAVING_BOUND: time::Duration = time::Duration::from_millis(2_500);
/// Time after the last event after which all hosts agree with the platform.
const QUIET_TIME: time::Duration = time::Duration::from_secs(9);
/// Age of the oldest copy from which the platform is restored.
const MAX_COPY_AGE: time::Duration = time::Duration::from_secs(5);

/// What callers know, shared by their threads.
#[derive(Debug, Default)]
struct Keys {
    /// When each key was revoked; `None` if it is valid.
    revoked: sync::Mutex<collections::BTreeMap<String, Option<time::Instant>>>,
    violations: sync::Mutex<Vec<String>>,
    served: atomic::AtomicUsize,
    ended: atomic::AtomicBool,
}

impl Keys {
    /// Checks the status of the answer to a request. `served` are the keys that the host has served.
    fn check(
        &self,
        key: &str,
        sent: time::Instant,
        status: u16,
        served: &mut collections::BTreeSet<String>,
    ) {
        let revoked = self.revoked.lock().unwrap()[key];
        let is_late = revoked.is_some_and(|at| sent > at + REVOKE_BOUND + CHECK_TIME);
        let violation = match status {
            200 if is_late => Some("served a revoked key"),
            401 if revoked.is_none() && served.contains(key) => Some("refused a key it had served"),
            _ => None,
        };
        if status == 200 {
            self.served.fetch_add(1, atomic::Ordering::SeqCst);
            served.insert(key.to_owned());
        }
        if let Some(violation) = violation {
            let since = revoked.map(|at| sent.saturating_duration_since(at));
            self.violations.lock().unwrap().push(format!("{violation}: {key}, {since:?}"));
        }
    }
}

/// Sends a lookup on an open connection, and returns the status of the answer.
fn lookup(stream: &mut net::TcpStream, key: &str) -> std::io::Result<u16> {
    let head = format!(
        "GET /look/1 HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
         authorization: Token {key}\r\nlagoonline-request-deadline: 2000\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        let length = stream.read(&mut buffer)?;
        if length == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let fields = head.to_ascii_lowercase();
        let length = fields.lines().find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length.map_or(0, |length| length.trim().parse().unwrap()) {
            return Ok(head[9..12].parse().unwrap());
        }
    }
}

/// Sends lookups to one host, on one connection for as long as it is open, until the process has ended.
fn call(address: net::SocketAddr, keys: &Keys, mut random: StdRng) {
    let mut served = collections::BTreeSet::new();
    while let Ok(mut stream) = net::TcpStream::connect(address) {
        stream.set_read_timeout(Some(host::STEP_TIMEOUT)).unwrap();
        loop {
            if keys.ended.load(atomic::Ordering::SeqCst) {
                return;
            }
            let key = {
                let known = keys.revoked.lock().unwrap();
                known.keys().nth(random.random_range(0..known.len())).unwrap().clone()
            };
            let sent = time::Instant::now();
            let Ok(status) = lookup(&mut stream, &key) else { break };
            keys.check(&key, sent, status, &mut served);
            thread::sleep(time::Duration::from_millis(random.random_range(5..30)));
        }
    }
}

/// A run with one seed.
struct Soak {
    standin: Standin,
    entrances: Vec<Entrance>,
    hosts: Vec<Option<Host>>,
    keys: sync::Arc<Keys>,
    random: StdRng,
    version: u64,
    /// What operators and upstreams have written last; `None` if it is removed.
    written: collections::BTreeMap<(&'static str, String), Option<serde_json::Value>>,
    backups: Vec<(time::Instant, Backup)>,
    /// When upstreams left.
    left: collections::BTreeMap<String, time::Instant>,
    upstreams: usize,
    started: time::Instant,
    /// What was played, and when.
    played: Vec<(time::Instant, String)>,
}

impl Soak {
    fn start(seed: u64) -> Soak {
        let standin = Standin::start();
        let entrances: Vec<_> = HOSTS.iter().map(|_| standin.entrance()).collect();
        let mut soak = Soak {
            standin,
            entrances,
            hosts: Vec::new(),
            keys: sync::Arc::default(),
            random: StdRng::seed_from_u64(seed),
            version: 0,
            written: collections::BTreeMap::new(),
            backups: Vec::new(),
            left: collections::BTreeMap::new(),
            upstreams: 0,
            started: time::Instant::now(),
            played: Vec::new(),
        };
        soak.keys.revoked.lock().unwrap().insert("k0".to_owned(), None);
        soak.write_desired();
        for _ in 0..3 {
            soak.add_upstream();
        }
        soak.hosts = HOSTS.iter().map(|_| None).collect();
        for index in 0..HOSTS.len() {
            soak.start_host(index);
        }
        soak
    }

    fn pause(&mut self, least: u64, most: u64) {
        thread::sleep(time::Duration::from_millis(self.random.random_range(least..most)));
    }

    fn note(&mut self, event: &str) {
        let (now, after) = (time::Instant::now(), self.started.elapsed().as_secs_f64());
        self.played.push((now, format!("{after:.2} {event}")));
    }

    fn put(&mut self, table: &'static str, key: &str, value: serde_json::Value) {
        self.standin.put(table, key, &value);
        self.written.insert((table, key.to_owned()), Some(value));
    }

    fn write_desired(&mut self) {
        self.version += self.random.random_range(1..4);
        let revoked = self.keys.revoked.lock().unwrap();
        let valid: Vec<_> =
            revoked.iter().filter(|(_, at)| at.is_none()).map(|(key, _)| key.as_str()).collect();
        let state = desired(self.version, &valid, 3_000);
        drop(revoked);
        self.put("op", "config", state);
    }

    fn add_upstream(&mut self) {
        self.upstreams += 1;
        let name = format!("r{}", self.upstreams);
        self.standin.upstream(&name, "app", 16);
        let entry = self.standin.row("servers", &name).unwrap();
        self.written.insert(("servers", name), Some(entry));
    }

    fn remove_upstream(&mut self) {
        let listed = |(table, key): &&(&'static str, String)| {
            *table == "servers" && !self.left.contains_key(key)
        };
        let (_, name) = self.written.keys().find(listed).unwrap().clone();
        self.standin.remove("servers", &name);
        self.written.insert(("servers", name.clone()), None);
        self.note(&format!("{name} left"));
        self.left.insert(name, time::Instant::now());
    }

    fn start_host(&mut self, index: usize) {
        let (name, zone) = HOSTS[index];
        let settings = HostSettings {
            name,
            zone,
            relay_hosts: 2,
            revoke_ms: u64::try_from(REVOKE_BOUND.as_millis()).unwrap(),
            store: Some(self.entrances[index].address),
            ..HostSettings::default()
        };
        let host = Host::join(&self.standin, settings);
        let (address, keys) = (host.callers, self.keys.clone());
        let random = StdRng::seed_from_u64(self.random.random());
        thread::spawn(move || call(address, &keys, random));
        self.hosts[index] = Some(host);
    }

    /// Lets the platform come back from a copy, and operators and upstreams write again what was lost.
    fn restore(&mut self) {
        let now = time::Instant::now();
        self.backups.retain(|(at, _)| now.duration_since(*at) <= MAX_COPY_AGE);
        if self.backups.is_empty() {
            return;
        }
        if self.random.random_bool(0.5) {
            self.standin.set_down(true);
            self.pause(50, 900);
        }
        let index = self.random.random_range(0..self.backups.len());
        let (_, backup) = self.backups[index].clone();
        self.backups.truncate(index + 1);
        self.standin.restore(&backup);
        self.standin.set_down(false);
        self.note("restored");
        self.pause(0, 900);
        self.note("written again");
        for ((table, key), value) in &self.written {
            if self.standin.row(table, key) != *value {
                match value {
                    Some(value) => self.standin.put(table, key, value),
                    None => self.standin.remove(table, key),
                }
            }
        }
    }

    fn play_event(&mut self) {
        self.backups.push((time::Instant::now(), self.standin.backup()));
        match self.random.random_range(0..12) {
            0..=2 => {
                let key = format!("k{}", self.version);
                self.keys.revoked.lock().unwrap().insert(key, None);
                self.write_desired();
            }
            3 | 4 => {
                let keys = self.keys.clone();
                let mut revoked = keys.revoked.lock().unwrap();
                if let Some((_, at)) = revoked.iter_mut().find(|(_, at)| at.is_none()) {
                    // The revocation is acknowledged before this moment is over.
                    *at = Some(time::Instant::now() + time::Duration::from_millis(50));
                }
                drop(revoked);
                self.write_desired();
            }
            5 => {
                self.add_upstream();
                self.remove_upstream();
            }
            6 => self.standin.forget_history(),
            7 => {
                let index = self.random.random_range(0..HOSTS.len());
                self.note(&format!("{} is turned away", HOSTS[index].0));
                self.entrances[index].set_closed(true);
                self.pause(100, 1_500);
                self.entrances[index].set_closed(false);
                self.note("and served");
            }
            8 => {
                let index = self.random.random_range(0..HOSTS.len());
                self.note(&format!("{} ends", HOSTS[index].0));
                self.hosts[index] = None;
                self.pause(0, 500);
                self.start_host(index);
            }
            _ => self.restore(),
        }
    }

    /// Checks that the hosts agree with the platform some time after the last event.
    fn check_end(&mut self) {
        self.keys.revoked.lock().unwrap().insert("last".to_owned(), None);
        self.write_desired();
        thread::sleep(QUIET_TIME);
        let mut registered: Vec<_> = self.standin.keys("lagoon-hosts");
        registered.sort();
        assert_eq!(registered, HOSTS.map(|(name, _)| name));
        let revoked = self.keys.revoked.lock().unwrap().clone();
        for host in self.hosts.iter().flatten() {
            for (key, at) in &revoked {
                let expected = if at.is_none() { 200 } else { 401 };
                assert_eq!(host.call("GET", "/look/1", key, "").0, expected, "{key}");
            }
        }
        let since = time::Instant::now() - time::Duration::from_secs(1);
        let received = self.standin.received_requests();
        let recent = received.iter().filter(|request| request.at >= since);
        let used: collections::BTreeSet<_> = recent.map(|request| &request.upstream).collect();
        for ((_, name), value) in self.written.iter().filter(|((table, _), _)| *table == "servers")
        {
            assert_eq!(used.contains(name), value.is_some(), "{name} of {used:?}");
        }
        for request in &received {
            if let Some(left) = self.left.get(&request.upstream) {
                let played = self.played.iter().map(|(at, _)| *at);
                let last = played.filter(|at| *at <= request.at).max();
                let late =
                    request.at.saturating_duration_since(last.map_or(*left, |at| at.max(*left)));
                let upstream = &request.upstream;
                assert!(late <= LEAVING_BOUND, "{upstream}, {late:?} late: {:#?}", self.played);
            }
        }
    }
}

fn play(seed: u64) {
    let mut soak = Soak::start(seed);
    for _ in 0..EVENTS {
        soak.pause(100, 700);
        soak.play_event();
    }
    soak.check_end();
    soak.keys.ended.store(true, atomic::Ordering::SeqCst);
    let violations = soak.keys.violations.lock().unwrap().clone();
    assert_eq!(violations, Vec::<String>::new());
    let served = soak.keys.served.load(atomic::Ordering::SeqCst);
    println!("seed {seed}: {served} served");
    assert!(served > 0);
}

/// Guards against copies of tables that stay behind a restored platform, keys that are served beyond the
/// revocation bound, and hosts that go back behind what they have served.
#[rstest]
fn hosts_agree_with_a_platform_that_is_restored() {
    let number = |name: &str, default: u64| {
        std::env::var(name).map_or(default, |text| text.parse().unwrap())
    };
    let first = number("LAGOON_SOAK_FIRST_SEED", 1);
    let seeds: Vec<_> = (first..first + number("LAGOON_SOAK_SEEDS", 2)).collect();
    let mut failed = Vec::new();
    for seeds in seeds.chunks(6) {
        let runs: Vec<_> = seeds
            .iter()
            .map(|seed| {
                (
                    *seed,
                    thread::spawn({
                        let seed = *seed;
                        move || play(seed)
                    }),
                )
            })
            .collect();
        failed
            .extend(runs.into_iter().filter_map(|(seed, run)| run.join().is_err().then_some(seed)));
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
}

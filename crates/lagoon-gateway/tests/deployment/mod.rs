//! A deployment as processes: hosts of several zones, upstreams that may be frozen, and days of troubles.

mod play;
pub mod requests;
pub mod troubles;
pub mod verdict;

use std::collections;
use std::io::Write;
use std::net;
use std::sync;
use std::thread;
use std::time;

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::host;
use crate::host::process::{Process, ProcessSettings};
use crate::standin::frozen::Freezer;
use crate::standin::mesh::Mesh;
use crate::standin::{Behavior, Entrance, Standin};
use troubles::Trouble;

/// Window in which retries are counted, in seconds.
const WINDOW_S: u64 = 10;
const WINDOW: time::Duration = time::Duration::from_secs(WINDOW_S);
/// Retries of all hosts in a window as a share of its requests.
const RETRY_RATIO: f64 = 0.2;
/// Zones of the upstreams in turn.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The size of a deployment and its load.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Names of the hosts; the first letter is the zone.
    pub hosts: &'static [&'static str],
    pub engines: usize,
    pub replicas: usize,
    /// Requests a second to all hosts.
    pub rate: f64,
    /// Share of the requests of each kind.
    pub mix: requests::Mix,
    /// Retries of all hosts in a window beyond the share of its requests.
    pub retry_slack: u64,
    /// Limit of the routes to the plain service, in milliseconds.
    pub call_timeout_ms: u64,
    /// Length of a day.
    pub day: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            hosts: &["a1", "a2", "a3", "a4", "b1", "b2", "b3", "c1", "c2"],
            engines: 18,
            replicas: 3,
            rate: 49.0,
            mix: requests::Mix::default(),
            retry_slack: 106,
            call_timeout_ms: 1_500,
            day: time::Duration::from_secs(36),
        }
    }
}

impl Settings {
    /// Fewer hosts before more engines, and callers that wait one second for a call.
    pub fn eight_hosts() -> Settings {
        Settings {
            hosts: &["a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2"],
            engines: 23,
            rate: 61.3,
            mix: requests::Mix { shares: [48.9, 2.67, 2.24, 4.61, 3.0], call_left_ms: 1_000 },
            retry_slack: 104,
            call_timeout_ms: 15_000,
            ..Settings::default()
        }
    }

    /// Two hosts that get nothing but calls of the plain service, on a short day.
    pub fn calls() -> Settings {
        Settings {
            hosts: &["a1", "b1"],
            engines: 1,
            rate: 60.0,
            mix: requests::Mix { shares: [0.0, 0.0, 0.0, 1.0, 4.0], call_left_ms: 1_000 },
            call_timeout_ms: 15_000,
            day: time::Duration::from_secs(14),
            ..Settings::default()
        }
    }

    pub fn upstreams(&self) -> usize {
        self.engines + self.replicas
    }
}

/// An entry host, which is down while it has no process.
struct HostSlot {
    name: &'static str,
    retry_slack: u64,
    entrance: Entrance,
    process: sync::Mutex<Option<Process>>,
}

impl HostSlot {
    fn zone(&self) -> &'static str {
        &self.name[..1]
    }

    fn start(&self, standin: &Standin) {
        let settings = ProcessSettings {
            name: self.name,
            zone: self.zone(),
            retry_window_s: WINDOW_S,
            retry_slack: self.retry_slack,
            store: Some(self.entrance.address),
            ..ProcessSettings::default()
        };
        *self.process.lock().unwrap() = Process::try_start(standin, settings);
    }

    /// Ends the process by `signal` and starts it again.
    fn restart(&self, standin: &Standin, signal: Signal) {
        let Some(mut process) = self.process.lock().unwrap().take() else { return };
        process.signal(signal);
        // One that is stopped ends when it goes on.
        process.signal(Signal::SIGCONT);
        process.child.wait().unwrap();
        thread::sleep(time::Duration::from_millis(300));
        self.start(standin);
    }

    fn signal(&self, signal: Signal) {
        if let Some(process) = self.process.lock().unwrap().as_ref() {
            process.signal(signal);
        }
    }

    fn callers(&self) -> Option<net::SocketAddr> {
        self.process.lock().unwrap().as_ref().map(|process| process.callers)
    }
}

/// How callers behave at some moment.
#[derive(Clone, Copy, Debug)]
struct Callers {
    /// Zone of all requests, if callers moved there.
    zone: Option<&'static str>,
    /// Requests in percent of the usual ones.
    load: u64,
    /// Whether they send each request again at once and more often.
    repeat_at_once: bool,
    /// Whether a part of them leaves early.
    leave: bool,
}

impl Default for Callers {
    fn default() -> Self {
        Callers { zone: None, load: 100, repeat_at_once: false, leave: false }
    }
}

/// Hosts in three zones as processes, and their upstreams.
pub struct Fleet {
    settings: Settings,
    standin: Standin,
    upstreams: Vec<(String, Freezer)>,
    hosts: Vec<HostSlot>,
    mesh: Mesh,
    sent: sync::Mutex<collections::BTreeMap<String, requests::Sent>>,
    callers: sync::Mutex<Callers>,
    statuses: sync::Mutex<collections::BTreeMap<u16, usize>>,
}

impl Fleet {
    /// Starts all hosts and upstreams.
    fn start(settings: Settings) -> Fleet {
        let standin = Standin::start();
        standin.put("op", "config", &desired(settings, 1));
        let names = (0..settings.engines).map(|number| (format!("e{number}"), "llm", 16));
        let names =
            names.chain((0..settings.replicas).map(|number| (format!("r{number}"), "app", 6)));
        let mut upstreams = Vec::new();
        for (number, (name, service, slots)) in names.enumerate() {
            let freezer = Freezer::start(&standin, &name, service, slots);
            register(&standin, &name, number, service, slots, ("ready", 2));
            standin.behavior(&name, Behavior::SlowEvents);
            upstreams.push((name, freezer));
        }
        let mesh = Mesh::open(settings.hosts);
        let slot = |name: &&'static str| {
            let entrance = standin.entrance_with_paths();
            entrance.set_mesh(name, &mesh);
            let retry_slack = settings.retry_slack;
            HostSlot { name, retry_slack, entrance, process: sync::Mutex::default() }
        };
        let hosts: Vec<_> = settings.hosts.iter().map(slot).collect();
        thread::scope(|scope| {
            hosts.iter().for_each(|host| drop(scope.spawn(|| host.start(&standin))));
        });
        let (sent, callers, statuses) = Default::default();
        Fleet { settings, standin, upstreams, hosts, mesh, sent, callers, statuses }
    }

    /// Writes the entry of an upstream, with its state and the number of the entry.
    fn register(&self, index: usize, state: (&str, u64)) {
        let Some((name, _)) = self.upstreams.get(index) else { return };
        let is_engine = index < self.settings.engines;
        let (service, slots) = if is_engine { ("llm", 16) } else { ("app", 6) };
        register(&self.standin, name, index, service, slots, state);
    }

    /// Sends requests for `span`, and waits for their answers.
    fn send_for(&self, span: time::Duration, random: &mut StdRng) {
        let began = time::Instant::now();
        thread::scope(|scope| {
            let mut due = began;
            while due < began + span {
                let load = self.callers.lock().unwrap().load as f64 / 100.0;
                let pause = -(1.0 - random.random::<f64>()).ln() / (self.settings.rate * load);
                due += time::Duration::from_secs_f64(pause);
                thread::sleep(due.saturating_duration_since(time::Instant::now()));
                let (mut shape, first, second) = (
                    self.settings.mix.draw(random),
                    self.draw_host(random),
                    self.draw_host(random),
                );
                let callers = *self.callers.lock().unwrap();
                if callers.leave && random.random_bool(0.3) {
                    let stays = time::Duration::from_millis(random.random_range(20..1_500));
                    shape.stays = Some(stays);
                }
                let hosts: &[_] = if callers.repeat_at_once {
                    &[first, second, second, first]
                } else {
                    &[first, second]
                };
                let (hosts, at_once) = (hosts.to_vec(), callers.repeat_at_once);
                let spawned = thread::Builder::new().stack_size(128 << 10);
                spawned
                    .spawn_scoped(scope, move || self.call_until_served(shape, &hosts, at_once))
                    .unwrap();
            }
        });
    }

    fn draw_host(&self, random: &mut StdRng) -> &HostSlot {
        let crowded = self.callers.lock().unwrap().zone;
        let hosts = self.hosts.iter().filter(|host| crowded.is_none_or(|zone| host.zone() == zone));
        hosts.collect::<Vec<_>>().choose(random).unwrap()
    }

    /// Sends a request to one host after the other until it is served.
    fn call_until_served(&self, shape: requests::Shape, hosts: &[&HostSlot], at_once: bool) {
        let began = time::Instant::now();
        for host in hosts {
            let left = shape.left.saturating_sub(began.elapsed());
            let Some(address) = host.callers().filter(|_| !left.is_zero()) else { continue };
            let (status, wait) = self.call(shape, address, left);
            *self.statuses.lock().unwrap().entry(status).or_default() += 1;
            let may_repeat = shape.may_repeat || [408, 421, 429, 503].contains(&status);
            if status == 200 || !may_repeat {
                return;
            }
            if !at_once {
                thread::sleep(wait.min(left / 3));
            }
        }
    }

    /// Sends a request, and returns its status and the time after which to return.
    fn call(
        &self,
        shape: requests::Shape,
        address: net::SocketAddr,
        left: time::Duration,
    ) -> (u16, time::Duration) {
        let mut sent = self.sent.lock().unwrap();
        // Ports may go from one deployment to another one that is played beside it.
        let id = format!("{}-{}", self.standin.store_address.port(), sent.len());
        let at = time::Instant::now();
        let requests::Shape { service, max_runs, .. } = shape;
        sent.insert(id.clone(), requests::Sent { at, service, left, max_runs });
        drop(sent);
        let text = shape.request(&id, left);
        let Ok(mut stream) = net::TcpStream::connect(address) else {
            return (0, time::Duration::ZERO);
        };
        let until = at + shape.stays.map_or(left, |stays| stays.min(left));
        if stream.write_all(text.as_bytes()).is_err() {
            return (0, time::Duration::ZERO);
        }
        let answer = requests::read_answer(&mut stream, until);
        let head = answer.split("\r\n\r\n").next().unwrap_or_default().to_ascii_lowercase();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let wait = head.lines().find_map(|line| line.strip_prefix("retry-after: "));
        let wait = wait.and_then(|wait| wait.parse().ok()).unwrap_or(0.0);
        let is_whole = answer.contains("content-length") || answer.ends_with("0\r\n\r\n");
        (if is_whole { status } else { 0 }, time::Duration::from_secs_f64(wait))
    }

    /// Returns what upstreams saw of the bounds on attempts.
    fn judge(&self) -> verdict::Verdict {
        let slack = self.settings.retry_slack as f64;
        verdict::Verdict::new(&self.sent.lock().unwrap(), self.standin.received_requests(), slack)
    }

    /// Keeps the logs of the hosts that run now.
    fn keep_logs(&self) {
        let running: Vec<_> = self.hosts.iter().map(|host| host.process.lock().unwrap()).collect();
        running.iter().filter_map(|process| process.as_ref()).for_each(Process::keep_log);
    }
}

/// Plays a day of `troubles` and returns what upstreams saw. The logs stay if a bound was broken.
pub fn play_day(settings: Settings, troubles: &[Trouble], seed: u64) -> verdict::Verdict {
    let fleet = Fleet::start(settings);
    let mut random = StdRng::seed_from_u64(seed);
    thread::scope(|scope| {
        let began = time::Instant::now();
        for trouble in troubles {
            let fleet = &fleet;
            scope.spawn(move || {
                thread::sleep((began + trouble.at).saturating_duration_since(time::Instant::now()));
                fleet.play(trouble);
            });
        }
        fleet.send_for(settings.day, &mut random);
    });
    thread::sleep(time::Duration::from_secs(1));
    let verdict = fleet.judge();
    println!("{verdict}; callers got {:?}", fleet.statuses.lock().unwrap());
    if !verdict.is_kept() {
        fleet.keep_logs();
    }
    verdict
}

/// The desired state, with the classes of requests of `settings`.
fn desired(settings: Settings, version: u64) -> serde_json::Value {
    let mut desired = host::desired(version, &["k1"], 15_000);
    for route in desired["Routes"].as_array_mut().unwrap() {
        if route["Service"] == "app" {
            route["TimeoutMs"] = json!(settings.call_timeout_ms);
        }
    }
    desired
}

/// Writes the entry of the upstream `number`, with its state and the number of the entry.
fn register(
    standin: &Standin,
    name: &str,
    number: usize,
    service: &str,
    slots: u32,
    (state, sequence): (&str, u64),
) {
    let entry = json!({"Service": service, "Address": standin.address(name).to_string(),
        "Zone": ZONES[number % 3], "Version": "v1", "Slots": slots, "State": state,
        "Sequence": sequence, "born": 1});
    standin.put("servers", name, &entry);
}

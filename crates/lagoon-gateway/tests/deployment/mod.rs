//! A deployment as processes: hosts of several zones, upstreams that may be frozen, and days of troubles.

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
use crate::standin::path::Mode;
use crate::standin::{Behavior, Entrance, Standin};
use troubles::{Kind, Trouble};

/// Names of the hosts; the first letter is the zone.
const HOSTS: [&str; 9] = ["a1", "a2", "a3", "a4", "b1", "b2", "b3", "c1", "c2"];
const ENGINES: usize = 18;
const REPLICAS: usize = 3;
/// Requests a second to all hosts.
const RATE: f64 = 49.0;
/// Window in which retries are counted, in seconds.
const WINDOW_S: u64 = 10;
const WINDOW: time::Duration = time::Duration::from_secs(WINDOW_S);
/// Retries of all hosts in a window: this share of its requests, and this number beyond.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: u64 = 106;
/// Length of a day.
pub const DAY: time::Duration = time::Duration::from_secs(36);

/// An entry host, which is down while it has no process.
struct HostSlot {
    name: &'static str,
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
            retry_slack: RETRY_SLACK,
            store: Some(self.entrance.address),
            ..ProcessSettings::default()
        };
        *self.process.lock().unwrap() = Process::try_start(standin, settings);
    }

    /// Ends the process by `signal` and starts it again.
    fn restart(&self, standin: &Standin, signal: Signal) {
        let Some(mut process) = self.process.lock().unwrap().take() else { return };
        process.signal(signal);
        process.child.wait().unwrap();
        thread::sleep(time::Duration::from_millis(300));
        self.start(standin);
    }

    fn callers(&self) -> Option<net::SocketAddr> {
        self.process.lock().unwrap().as_ref().map(|process| process.callers)
    }
}

/// Nine hosts in three zones as processes, and their upstreams.
pub struct Fleet {
    standin: Standin,
    upstreams: Vec<(String, Freezer)>,
    hosts: Vec<HostSlot>,
    mesh: Mesh,
    sent: sync::Mutex<collections::BTreeMap<String, requests::Sent>>,
    /// Zone of all requests, if callers moved there.
    crowded: sync::Mutex<Option<&'static str>>,
    statuses: sync::Mutex<collections::BTreeMap<u16, usize>>,
}

impl Fleet {
    /// Starts all hosts and upstreams.
    fn start() -> Fleet {
        let standin = Standin::start();
        standin.put("op", "config", &desired());
        let names = (0..ENGINES).map(|number| (format!("e{number}"), "llm", 16));
        let names = names.chain((0..REPLICAS).map(|number| (format!("r{number}"), "app", 6)));
        let mut upstreams = Vec::new();
        for (number, (name, service, slots)) in names.enumerate() {
            let freezer = Freezer::start(&standin, &name, service, slots);
            let zone = ["a", "b", "c"][number % 3];
            let entry = json!({"Service": service, "Address": standin.address(&name).to_string(),
                "Zone": zone, "Version": "v1", "Slots": slots, "State": "ready", "Sequence": 2,
                "born": 1});
            standin.put("servers", &name, &entry);
            standin.behavior(&name, Behavior::SlowEvents);
            upstreams.push((name, freezer));
        }
        let mesh = Mesh::open(&HOSTS);
        let slot = |name| {
            let entrance = standin.entrance_with_paths();
            entrance.set_mesh(name, &mesh);
            HostSlot { name, entrance, process: sync::Mutex::default() }
        };
        let hosts: Vec<_> = HOSTS.into_iter().map(slot).collect();
        thread::scope(|scope| {
            hosts.iter().for_each(|host| drop(scope.spawn(|| host.start(&standin))));
        });
        let (sent, crowded, statuses) = Default::default();
        Fleet { standin, upstreams, hosts, mesh, sent, crowded, statuses }
    }

    /// Applies `trouble` and, after its time, takes it back.
    fn play(&self, trouble: &Trouble) {
        let span = trouble.span;
        let upstreams = || trouble.chosen.iter().filter_map(|index| self.upstreams.get(*index));
        let hosts = || trouble.chosen.iter().filter_map(|index| self.hosts.get(*index));
        let set_paths = |mode| hosts().for_each(|host| host.entrance.set_paths(mode));
        match trouble.kind {
            Kind::Behave(behavior) => {
                upstreams().for_each(|(name, _)| self.standin.behavior(name, behavior));
                thread::sleep(span);
                upstreams().for_each(|(name, _)| self.standin.behavior(name, Behavior::SlowEvents));
            }
            Kind::FreezeUpstreams => upstreams().for_each(|(_, upstream)| upstream.freeze(span)),
            Kind::Disrupt(disruption) => {
                hosts().for_each(|host| host.entrance.disrupt_paths(disruption));
            }
            Kind::HoldConnections { eighths, refuses_ms } => {
                let set = |mode| {
                    for (host, (name, _)) in self
                        .hosts
                        .iter()
                        .flat_map(|host| upstreams().map(move |upstream| (host, upstream)))
                    {
                        host.entrance.set_path(name, mode);
                    }
                };
                let refuses = time::Duration::from_millis(refuses_ms);
                let until = time::Instant::now() + span;
                while time::Instant::now() < until {
                    set(Mode::Held { eighths, refuses: false });
                    thread::sleep(time::Duration::from_secs(4) - refuses);
                    if !refuses.is_zero() {
                        set(Mode::Held { eighths, refuses: true });
                        thread::sleep(refuses);
                    }
                }
                set(Mode::Open);
            }
            Kind::RefusePaths => {
                set_paths(Mode::Reset);
                thread::sleep(span);
                set_paths(Mode::Open);
            }
            Kind::CutPaths => {
                set_paths(Mode::Silent);
                thread::sleep(span);
                set_paths(Mode::Open);
            }
            Kind::FreezeHosts => {
                let signal = |signal| {
                    for host in hosts() {
                        if let Some(process) = host.process.lock().unwrap().as_ref() {
                            process.signal(signal);
                        }
                    }
                };
                signal(Signal::SIGSTOP);
                thread::sleep(span);
                signal(Signal::SIGCONT);
            }
            Kind::RestartTogether(signal) => thread::scope(|scope| {
                for host in hosts() {
                    scope.spawn(|| host.restart(&self.standin, signal));
                }
            }),
            Kind::RestartInTurn(signal) => thread::scope(|scope| {
                for host in hosts() {
                    scope.spawn(|| host.restart(&self.standin, signal));
                    thread::sleep(span / 8);
                }
            }),
            Kind::StoreDown => {
                self.standin.set_down(true);
                thread::sleep(span);
                self.standin.set_down(false);
            }
            Kind::StoreTurnsAway => {
                hosts().for_each(|host| host.entrance.set_closed(true));
                thread::sleep(span);
                hosts().for_each(|host| host.entrance.set_closed(false));
            }
            Kind::LateDatagrams(millis) => {
                self.mesh.set_delay(time::Duration::from_millis(millis));
                thread::sleep(span);
                self.mesh.set_delay(time::Duration::ZERO);
            }
            Kind::Crowd(zone) => {
                *self.crowded.lock().unwrap() = Some(zone);
                thread::sleep(span);
                *self.crowded.lock().unwrap() = None;
            }
        }
    }

    /// Sends requests for `span`, and waits for their answers.
    fn send_for(&self, span: time::Duration, random: &mut StdRng) {
        let began = time::Instant::now();
        thread::scope(|scope| {
            let mut due = began;
            while due < began + span {
                due += time::Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / RATE);
                thread::sleep(due.saturating_duration_since(time::Instant::now()));
                let (shape, first, second) =
                    (requests::Shape::draw(random), self.draw_host(random), self.draw_host(random));
                let spawned = thread::Builder::new().stack_size(128 << 10);
                spawned.spawn_scoped(scope, move || self.call_twice(shape, first, second)).unwrap();
            }
        });
    }

    fn draw_host(&self, random: &mut StdRng) -> &HostSlot {
        let crowded = *self.crowded.lock().unwrap();
        let hosts = self.hosts.iter().filter(|host| crowded.is_none_or(|zone| host.zone() == zone));
        hosts.collect::<Vec<_>>().choose(random).unwrap()
    }

    /// Sends a request, and once more if it fails.
    fn call_twice(&self, shape: requests::Shape, first: &HostSlot, second: &HostSlot) {
        let began = time::Instant::now();
        for host in [first, second] {
            let left = shape.left.saturating_sub(began.elapsed());
            let Some(address) = host.callers().filter(|_| !left.is_zero()) else { continue };
            let (status, wait) = self.call(shape, address, left);
            *self.statuses.lock().unwrap().entry(status).or_default() += 1;
            let may_repeat = shape.may_repeat || [408, 421, 429, 503].contains(&status);
            if status == 200 || !may_repeat {
                return;
            }
            thread::sleep(wait.min(left / 3));
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
        let id = format!("q{}", sent.len());
        let at = time::Instant::now();
        sent.insert(id.clone(), requests::Sent { at, service: shape.service, left });
        drop(sent);
        let text = shape.request(&id, left);
        let Ok(mut stream) = net::TcpStream::connect(address) else {
            return (0, time::Duration::ZERO);
        };
        stream.set_read_timeout(Some(left)).unwrap();
        if stream.write_all(text.as_bytes()).is_err() {
            return (0, time::Duration::ZERO);
        }
        let answer = requests::read_answer(&mut stream);
        let head = answer.split("\r\n\r\n").next().unwrap_or_default().to_ascii_lowercase();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let wait = head.lines().find_map(|line| line.strip_prefix("retry-after: "));
        let wait = wait.and_then(|wait| wait.parse().ok()).unwrap_or(0.0);
        let is_whole = answer.contains("content-length") || answer.ends_with("0\r\n\r\n");
        (if is_whole { status } else { 0 }, time::Duration::from_secs_f64(wait))
    }

    /// Returns what upstreams saw of the bounds on attempts.
    fn judge(&self) -> verdict::Verdict {
        verdict::Verdict::new(&self.sent.lock().unwrap(), self.standin.received_requests())
    }

    /// Keeps the logs of the hosts that run now.
    fn keep_logs(&self) {
        let running: Vec<_> = self.hosts.iter().map(|host| host.process.lock().unwrap()).collect();
        running.iter().filter_map(|process| process.as_ref()).for_each(Process::keep_log);
    }
}

/// Plays a day of `troubles` and returns what upstreams saw. The logs stay if a bound was broken.
pub fn play_day(troubles: &[Trouble], seed: u64) -> verdict::Verdict {
    let fleet = Fleet::start();
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
        fleet.send_for(DAY, &mut random);
    });
    thread::sleep(time::Duration::from_secs(1));
    let verdict = fleet.judge();
    println!("{verdict}; callers got {:?}", fleet.statuses.lock().unwrap());
    if !verdict.is_kept() {
        fleet.keep_logs();
    }
    verdict
}

/// The desired state, with the classes of requests below.
fn desired() -> serde_json::Value {
    let mut desired = host::desired(1, &["k1"], 15_000);
    for route in desired["Routes"].as_array_mut().unwrap() {
        if route["Service"] == "app" {
            route["TimeoutMs"] = json!(1_500);
        }
    }
    desired
}

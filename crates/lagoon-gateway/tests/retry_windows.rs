//! Tests of the bound on retries with the gateway as processes, counted when upstreams read them.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::collections;
use std::net;
use std::sync;
use std::thread;
use std::time;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use host::process::{Process, ProcessSettings};
use host::{caller, desired};
use standin::frozen::Freezer;
use standin::mesh::Mesh;
use standin::path::{Disruption, Mode};
use standin::{Behavior, Entrance, Standin};

const ENGINES: usize = 6;
/// Window in which retries are counted, and its length in seconds.
const WINDOW_S: u64 = 4;
const WINDOW: time::Duration = time::Duration::from_secs(WINDOW_S);
/// Retries of all hosts in a window: this share of its requests, and this number beyond.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: u64 = 20;
/// Names of the hosts, all of one zone.
const HOSTS: [&str; 8] = ["h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8"];
/// Hosts of a zone in which each decides for itself, and of one in which a scheduler does.
const WITHOUT_SCHEDULER: usize = 5;
const WITH_SCHEDULER: usize = 8;

/// What is sent on half of the connections stays on the way.
const HALF_HELD: Mode = Mode::Held { eighths: 4, refuses: false };

/// Hosts that are processes, and engines that may be frozen.
struct Fleet {
    standin: Standin,
    engines: Vec<Freezer>,
    hosts: Vec<Process>,
    /// Where each host reaches the platform, which tells it its paths to the engines.
    entrances: Vec<Entrance>,
    mesh: Mesh,
    /// Time after which callers give up, in milliseconds.
    deadline_ms: u64,
    /// When each prompt was sent.
    prompts: sync::Mutex<Vec<time::Instant>>,
}

impl Fleet {
    fn start(hosts: usize) -> Fleet {
        let standin = Standin::start();
        standin.put("op", "config", &desired(1, &["k1"], 8_000));
        let start = |number| Freezer::start(&standin, &format!("e{number}"), "llm", 200);
        let engines = (0..ENGINES).map(start).collect();
        let mesh = Mesh::open(&HOSTS[..hosts]);
        let entrances: Vec<_> = (0..hosts).map(|_| standin.entrance_with_paths()).collect();
        let names = HOSTS.iter().zip(&entrances);
        let hosts = names.map(|(name, entrance)| join(&standin, &mesh, entrance, name)).collect();
        // Until hosts that started know of the window before them.
        thread::sleep(WINDOW);
        let prompts = sync::Mutex::default();
        Fleet { standin, engines, hosts, entrances, mesh, deadline_ms: 8_000, prompts }
    }

    /// Kills the host `index` and starts it again.
    fn restart(&mut self, index: usize) {
        drop(self.hosts.remove(index));
        let entrance = &self.entrances[index];
        self.hosts.insert(index, join(&self.standin, &self.mesh, entrance, HOSTS[index]));
    }

    /// Makes all engines behave so from now on.
    fn behave(&self, behavior: Behavior) {
        (0..ENGINES).for_each(|number| self.standin.behavior(&format!("e{number}"), behavior));
    }

    /// Freezes all engines until `wake`.
    fn freeze_until(&self, wake: time::Instant) {
        let span = wake.saturating_duration_since(time::Instant::now());
        self.engines.iter().for_each(|engine| engine.freeze(span));
    }

    /// Sets the state of all paths to engines.
    fn set_paths(&self, mode: Mode) {
        self.entrances.iter().for_each(|entrance| entrance.set_paths(mode));
    }

    /// Opens all paths after `span` while `work` goes on.
    fn open_paths_during<Work>(&self, span: time::Duration, work: Work)
    where
        Work: FnOnce(),
    {
        thread::scope(|scope| {
            scope.spawn(|| {
                thread::sleep(span);
                self.set_paths(Mode::Open);
            });
            work();
        });
        thread::sleep(time::Duration::from_secs(1));
    }

    /// Sends `count` prompts evenly over `span`, to the hosts in turn, and waits for their answers.
    fn send(&self, count: u32, span: time::Duration) {
        let began = time::Instant::now();
        thread::scope(|scope| {
            for index in 0..count {
                let due = began + span * index / count;
                thread::sleep(due.saturating_duration_since(time::Instant::now()));
                let address = self.hosts[index as usize % self.hosts.len()].callers;
                let mut prompts = self.prompts.lock().unwrap();
                prompts.push(time::Instant::now());
                let text = prompt(prompts.len(), self.deadline_ms);
                scope.spawn(move || send_prompt(address, &text));
            }
        });
    }

    /// Returns when each arrival beyond the first of its request was read.
    fn retries(&self) -> Vec<time::Instant> {
        let mut seen = collections::HashSet::new();
        let mut received = self.standin.received_requests();
        received.retain(|request| request.path.starts_with("/talk/"));
        received.sort_by_key(|request| request.at);
        let id =
            |request: &standin::ReceivedRequest| request.headers["lagoonline-request-id"].clone();
        received.retain(|request| !seen.insert(id(request)));
        received.iter().map(|request| request.at).collect()
    }

    /// Returns the largest share of the allowed retries in any window, counted as the users do: the
    /// requests are those of the window, of the one before or of the one half a window before.
    fn worst_share(&self) -> f64 {
        let (prompts, retries) = (self.prompts.lock().unwrap(), self.retries());
        let count = |times: &[time::Instant], end: time::Instant| {
            times.iter().filter(|at| **at <= end && end - **at < WINDOW).count() as f64
        };
        let share = |end: &time::Instant| {
            let requests = [0, 1, 2].map(|halves| count(&prompts, *end - WINDOW * halves / 2));
            let requests = requests.into_iter().fold(0.0, f64::max);
            count(&retries, *end) / (RETRY_RATIO * requests + RETRY_SLACK as f64)
        };
        retries.iter().map(share).fold(0.0, f64::max)
    }

    /// Checks that no window has more retries than allowed.
    fn check_retries(&self) {
        let share = self.worst_share();
        println!("{share:.2} of the allowed retries");
        let lines = self.hosts.iter().filter_map(|host| host.logged("retry_budget").pop());
        let lines: Vec<_> = lines.map(|line| line.to_string()).collect();
        assert!(share <= 1.0, "{share:.2} of the allowed retries; {}", lines.join("\n"));
    }
}

/// Starts the host `name`, which reaches the others through `mesh` and the platform at `entrance`.
fn join(standin: &Standin, mesh: &Mesh, entrance: &Entrance, name: &str) -> Process {
    entrance.set_mesh(name, mesh);
    let settings = ProcessSettings {
        name,
        retry_window_s: WINDOW_S,
        retry_slack: RETRY_SLACK,
        store: Some(entrance.address),
        ..ProcessSettings::default()
    };
    Process::start(standin, settings)
}

fn prompt(number: usize, deadline_ms: u64) -> String {
    format!(
        "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: r{number}\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: {deadline_ms}\r\n\
         lagoonline-token-count: 5000,400\r\ncontent-length: 0\r\n\r\n"
    )
}

fn send_prompt(address: net::SocketAddr, text: &str) {
    caller::call(address, text);
}

/// The log lines of a run alone must tell who used a window: no other record is left of many runs.
#[rstest]
fn log_lines_tell_who_made_the_retries() {
    let fleet = Fleet::start(3);
    fleet.behave(Behavior::Refuse);
    fleet.send(60, WINDOW / 2);
    thread::sleep(time::Duration::from_millis(1_300));
    let last = |host: &Process| host.logged("retry_budget").pop().unwrap();
    let lines: Vec<_> = fleet.hosts.iter().map(last).collect();
    let sum = |field: &str| lines.iter().map(|line| line[field].as_u64().unwrap()).sum::<u64>();
    assert_eq!(sum("requests"), 60);
    assert_eq!(sum("retries_after_refusal"), fleet.retries().len() as u64);
    assert_eq!(sum("retries_after_run"), 0);
    assert!(sum("retries_after_refusal") > 0);
}

/// Retries to frozen upstreams, which the kernel keeps for them, arrived together when they woke.
#[rstest]
fn upstreams_that_wake_read_no_more_retries_than_allowed(
    #[values(3, WITH_SCHEDULER)] hosts: usize,
) {
    let fleet = Fleet::start(hosts);
    fleet.send(40, WINDOW / 2);
    let wake = time::Instant::now() + WINDOW * 5 / 2;
    fleet.freeze_until(wake);
    fleet.send(200, WINDOW * 5 / 2);
    fleet.send(40, WINDOW / 2);
    thread::sleep(time::Duration::from_secs(1));
    fleet.check_retries();
}

/// A reset connection was taken to show that its upstream never reads what was sent on it.
#[rstest]
fn connections_that_are_reset_bring_no_more_retries_than_allowed(
    #[values(3, WITH_SCHEDULER)] hosts: usize,
) {
    let fleet = Fleet::start(hosts);
    fleet.send(80, WINDOW);
    let wake = time::Instant::now() + WINDOW * 5 / 2;
    thread::scope(|scope| {
        scope.spawn(|| fleet.freeze_until(wake));
        scope.spawn(|| {
            while time::Instant::now() < wake {
                thread::sleep(time::Duration::from_millis(700));
                let entrances = fleet.entrances.iter();
                entrances.for_each(|entrance| entrance.disrupt_paths(Disruption::Reset));
            }
        });
        fleet.send(200, WINDOW * 5 / 2);
    });
    fleet.send(40, WINDOW / 2);
    thread::sleep(time::Duration::from_secs(1));
    fleet.check_retries();
}

/// Half of the connections of each engine stalled while the others answered, and were read together.
#[rstest]
fn connections_that_stall_bring_no_more_retries_than_allowed(
    #[values(3, WITH_SCHEDULER)] hosts: usize,
) {
    let fleet = Fleet::start(hosts);
    fleet.send(80, WINDOW);
    fleet.set_paths(HALF_HELD);
    fleet.open_paths_during(WINDOW * 4, || fleet.send(440, WINDOW * 11 / 2));
    fleet.check_retries();
}

/// Retries that were allowed by requests which had left the window when they were read exceeded it.
#[rstest]
fn retries_that_are_read_after_the_load_has_gone_keep_the_bound(
    #[values(3, WITH_SCHEDULER)] hosts: usize,
) {
    let fleet = Fleet::start(hosts);
    fleet.send(80, WINDOW);
    fleet.set_paths(HALF_HELD);
    fleet.send(320, WINDOW * 4);
    fleet.set_paths(Mode::Open);
    fleet.send(40, WINDOW / 2);
    thread::sleep(time::Duration::from_secs(1));
    fleet.check_retries();
}

/// A refused connection was taken to show that nothing is read on those that stand.
#[rstest]
fn engines_that_refuse_connections_still_read_those_that_stand() {
    let fleet = Fleet { deadline_ms: 1_500, ..Fleet::start(3) };
    fleet.send(80, WINDOW);
    for _ in 0..4 {
        fleet.set_paths(HALF_HELD);
        fleet.send(70, WINDOW * 3 / 4);
        fleet.set_paths(Mode::Held { eighths: 4, refuses: true });
        fleet.send(10, WINDOW / 8);
    }
    fleet.set_paths(HALF_HELD);
    fleet.open_paths_during(WINDOW / 2, || fleet.send(120, WINDOW * 3 / 2));
    fleet.check_retries();
}

/// What a host had sent and nobody had read was forgotten a window after the host ended.
#[rstest]
fn unread_retries_outlive_their_host() {
    let mut fleet = Fleet { deadline_ms: 1_500, ..Fleet::start(3) };
    fleet.send(80, WINDOW);
    fleet.set_paths(HALF_HELD);
    for index in [0, 1, 2] {
        fleet.send(100, WINDOW * 5 / 4);
        fleet.restart(index);
    }
    fleet.open_paths_during(WINDOW, || fleet.send(160, WINDOW * 2));
    fleet.check_retries();
}

/// Hosts that heard late of each other's retries each took what was left for all of them.
#[rstest]
fn hosts_that_hear_of_each_other_late_keep_the_bound(
    #[values(0, 100, 500, 650)] delay_ms: u64,
    #[values(WITHOUT_SCHEDULER, WITH_SCHEDULER)] hosts: usize,
) {
    let fleet = Fleet::start(hosts);
    fleet.send(80, WINDOW);
    fleet.mesh.set_delay(time::Duration::from_millis(delay_ms));
    thread::sleep(time::Duration::from_secs(1));
    fleet.behave(Behavior::Refuse);
    fleet.send(300, time::Duration::from_millis(300));
    fleet.check_retries();
}

/// A step of a drawn schedule.
#[derive(Clone, Copy, Debug)]
enum Step {
    Behave(Behavior),
    /// Freezes some engines for some milliseconds.
    Freeze(usize, u64),
    /// Lets datagrams between hosts take some milliseconds.
    Delay(u64),
    /// Kills a host and starts it again.
    Restart(usize),
    /// Sends some prompts at one moment.
    Burst(u32),
}

fn draw_step(random: &mut StdRng, hosts: usize) -> Step {
    match random.random_range(0..8) {
        0 => Step::Behave(Behavior::Refuse),
        1 => Step::Behave(Behavior::BreakAfter(random.random_range(0..4))),
        2 => Step::Behave(Behavior::Complete),
        3 | 4 => Step::Freeze(random.random_range(1..=ENGINES), random.random_range(300..9_000)),
        5 => Step::Delay(random.random_range(0..700)),
        6 => Step::Restart(random.random_range(0..hosts)),
        _ => Step::Burst(random.random_range(20..150)),
    }
}

/// Upstreams must read no more retries than allowed whatever freezes, is late, ends and starts.
#[rstest]
fn drawn_schedules_keep_the_bound() {
    let seeds = std::env::var("LAGOON_RETRY_SEEDS").unwrap_or_else(|_| "1..3".to_owned());
    let (first, last) = seeds.split_once("..").unwrap();
    for seed in first.parse::<u64>().unwrap()..last.parse().unwrap() {
        let mut random = StdRng::seed_from_u64(seed);
        let hosts = random.random_range(2..=WITHOUT_SCHEDULER);
        let mut fleet = Fleet::start(hosts);
        let mut steps = Vec::new();
        for _ in 0..10 {
            let step = draw_step(&mut random, hosts);
            steps.push(step);
            match step {
                Step::Behave(behavior) => fleet.behave(behavior),
                Step::Freeze(count, millis) => {
                    let span = time::Duration::from_millis(millis);
                    fleet.engines[..count].iter().for_each(|engine| engine.freeze(span));
                }
                Step::Delay(millis) => fleet.mesh.set_delay(time::Duration::from_millis(millis)),
                Step::Restart(index) => fleet.restart(index),
                Step::Burst(count) => fleet.send(count, time::Duration::from_millis(100)),
            }
            fleet.send(20, time::Duration::from_secs(1));
        }
        thread::sleep(time::Duration::from_secs(1));
        let share = fleet.worst_share();
        println!("seed {seed}: {hosts} hosts, {share:.2} of the allowed retries, {steps:?}");
        fleet.check_retries();
    }
}

//! Tests of the bound on the retries of all hosts together.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::collections;
use std::thread;
use std::time;

use rstest::rstest;

use host::{Host, HostSettings, desired, send_request};
use standin::{Behavior, Standin};

/// Number of engines behind the hosts.
const ENGINES: usize = 6;
/// Window in which retries are counted, and its length in seconds.
const WINDOW_S: u64 = 4;
const WINDOW: time::Duration = time::Duration::from_secs(WINDOW_S);
/// Retries of all hosts in a window: this share of its requests, and this number beyond.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: u64 = 20;
/// Prompts that each host gets at once.
const PROMPTS_AT_ONCE: usize = 6;

/// A fleet whose hosts start and end.
struct Fleet {
    standin: Standin,
    hosts: Vec<Host>,
    names: Vec<(&'static str, &'static str)>,
    relay_hosts: u64,
    /// When each prompt was sent.
    prompts: Vec<time::Instant>,
}

impl Fleet {
    /// Starts the hosts `names`, given with their zones. A zone of at least `relay_hosts` hosts has
    /// a scheduler.
    fn start(names: &[(&'static str, &'static str)], relay_hosts: u64) -> Fleet {
        let standin = Standin::start();
        standin.put("op", "config", &desired(1, &["k1"], 10_000));
        for number in 0..ENGINES {
            standin.upstream(&format!("e{number}"), "llm", 16);
        }
        let mut fleet = Fleet {
            standin,
            hosts: Vec::new(),
            names: names.to_vec(),
            relay_hosts,
            prompts: Vec::new(),
        };
        fleet.hosts = (0..names.len()).map(|index| fleet.join(index)).collect();
        fleet
    }

    fn join(&self, index: usize) -> Host {
        let (name, zone) = self.names[index];
        let settings = HostSettings {
            name,
            zone,
            relay_hosts: self.relay_hosts,
            revoke_ms: 20_000,
            retry_window_s: WINDOW_S,
            retry_slack: RETRY_SLACK,
            ..HostSettings::default()
        };
        Host::join(&self.standin, settings)
    }

    /// Ends the host `index` and starts it anew.
    fn restart(&mut self, index: usize) {
        drop(self.hosts.remove(index));
        let host = self.join(index);
        self.hosts.insert(index, host);
    }

    /// Ends all hosts and starts them anew.
    fn restart_all(&mut self) {
        self.hosts.clear();
        self.hosts = (0..self.names.len()).map(|index| self.join(index)).collect();
    }

    /// Makes the first `count` engines refuse prompts.
    fn refuse(&self, count: usize) {
        let behavior = Behavior::Refuse;
        for number in 0..count {
            self.standin.behavior(&format!("e{number}"), behavior);
        }
    }

    /// Sends prompts to the host `index`, all at once, and returns how many were answered.
    fn send(&mut self, index: usize) -> usize {
        let address = self.hosts[index].callers;
        let first = self.prompts.len();
        self.prompts.resize(first + PROMPTS_AT_ONCE, time::Instant::now());
        let numbers = first..self.prompts.len();
        thread::scope(|scope| {
            let send = |number| scope.spawn(move || send_request(address, &prompt(number)).0);
            let callers: Vec<_> = numbers.map(send).collect();
            let statuses = callers.into_iter().map(|caller| caller.join().unwrap());
            statuses.filter(|status| *status == 200).count()
        })
    }

    /// Sends prompts to all hosts, one after the other.
    fn send_to_all(&mut self) {
        for index in 0..self.hosts.len() {
            self.send(index);
        }
    }

    /// Returns when each arrival beyond the first of its request reached an upstream.
    fn retries(&self) -> Vec<time::Instant> {
        let mut seen = collections::HashSet::new();
        let received = self.standin.received_requests().into_iter();
        let is_retry = |request: &standin::ReceivedRequest| {
            let id = request.headers.get("lagoonline-request-id");
            id.is_some_and(|id| !seen.insert(id.clone()))
        };
        received.filter(is_retry).map(|request| request.at).collect()
    }

    /// Checks that no window has more retries than allowed.
    fn check_retries(&self) {
        let retries = self.retries();
        for end in &retries {
            let in_window = |at: &&time::Instant| **at <= *end && *end - **at < WINDOW;
            let count = retries.iter().filter(in_window).count();
            let requests = self.prompts.iter().filter(in_window).count();
            let allowed = RETRY_RATIO * requests as f64 + RETRY_SLACK as f64;
            assert!(
                count as f64 <= allowed,
                "{count} retries in {WINDOW:?} for {requests} requests, {allowed} allowed"
            );
        }
    }
}

fn prompt(number: usize) -> String {
    format!(
        "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: r{number}\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n\
         lagoonline-token-count: 5000,400\r\n\r\n"
    )
}

const SMALL_FLEET: [(&str, &str); 3] = [("h1", "a"), ("h2", "a"), ("h3", "b")];

/// A host that starts must not forget what its earlier lives used of the fleet's retries.
#[rstest]
#[case::each_host_for_itself(9)]
#[case::with_a_scheduler(2)]
fn a_restart_does_not_renew_the_retries_of_the_fleet(#[case] relay_hosts: u64) {
    let mut fleet = Fleet::start(&SMALL_FLEET, relay_hosts);
    fleet.refuse(ENGINES);
    for round in 0..10 {
        fleet.send_to_all();
        fleet.restart(round % SMALL_FLEET.len());
        fleet.send(round % SMALL_FLEET.len());
    }
    fleet.check_retries();
}

/// One host that crashes again and again must not bring retries with each of its lives.
#[rstest]
fn a_crash_loop_does_not_renew_the_retries_of_the_fleet() {
    let mut fleet = Fleet::start(&SMALL_FLEET, 9);
    fleet.refuse(ENGINES);
    for _ in 0..14 {
        fleet.restart(0);
        fleet.send(0);
    }
    fleet.check_retries();
}

/// Hosts that all start at once find nobody who knows what the lives before them used.
#[rstest]
fn a_restart_of_all_hosts_does_not_renew_their_retries() {
    let mut fleet = Fleet::start(&SMALL_FLEET, 9);
    fleet.refuse(ENGINES);
    for _ in 0..7 {
        fleet.send_to_all();
        fleet.restart_all();
    }
    fleet.send_to_all();
    fleet.check_retries();
}

/// A host must not fail its first callers for want of retries that nobody else uses.
#[rstest]
#[case::each_host_for_itself(9)]
#[case::with_a_scheduler(2)]
fn a_host_that_just_started_retries_for_its_first_callers(#[case] relay_hosts: u64) {
    let mut fleet = Fleet::start(&SMALL_FLEET, relay_hosts);
    thread::sleep(WINDOW);
    fleet.restart(0);
    fleet.refuse(1);
    assert_eq!(fleet.send(0), PROMPTS_AT_ONCE);
}

//! Tests of prompts that crash engines because of one part, which no two of them hold alike.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::thread;
use std::time;

use rstest::rstest;

use host::{Host, HostSettings, STEP_TIMEOUT, all_events, desired, send_request};
use standin::{Behavior, LETHAL_PART, ReceivedRequest, Standin, has_lethal_part};

/// Time after the fifth crash from which requests with the part may reach engines only a few times.
const STABLE_TIME: time::Duration = time::Duration::from_millis(3_000);
/// Number of requests that may still reach engines after that.
const LATE_SENDS: usize = 3;
/// Number of crashes that count.
const CRASHES: usize = 5;
/// Number of engines behind the hosts.
const ENGINES: usize = 8;
/// Pause between two rounds of requests.
const PAUSE: time::Duration = time::Duration::from_millis(30);
/// A part that sound prompts and lethal ones begin with.
const FIRST_PART: &str = "f125";
/// Bound on the age of keys, which is no subject here.
const REVOKE_MS: u64 = 20_000;
/// Table of the quarantine verdicts.
const TABLE: &str = "lagoon-quarantine";
/// Longest that an attack lasts.
const ATTACK_TIME: time::Duration = time::Duration::from_secs(10);

/// Hosts of two zones in front of the same engines.
struct Fleet {
    standin: Standin,
    hosts: Vec<Host>,
    sent: usize,
}

/// What became of sound prompts.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    sent: usize,
    served: usize,
    /// Refused as if they were lethal.
    refused: usize,
}

impl Served {
    fn count(&mut self, answer: &(u16, String)) {
        self.sent += 1;
        self.served += usize::from(*answer == (200, all_events()));
        self.refused += usize::from(is_refused(answer));
    }
}

fn is_refused(answer: &(u16, String)) -> bool {
    answer.0 == 503 && answer.1.contains("quarantined") && answer.1.contains("not-run")
}

impl Fleet {
    /// A zone has two hosts; with a larger `relay_hosts` it has no scheduler, and each host evaluates
    /// suspects itself.
    fn start(relay_hosts: u64) -> Fleet {
        let standin = Standin::start();
        standin.put("op", "config", &desired(1, &["k1"], 10_000));
        for number in 0..ENGINES {
            standin.upstream(&format!("e{number}"), "llm", 16);
        }
        let names = [("h1", "a"), ("h2", "a"), ("h3", "b"), ("h4", "b")];
        let settings = Fleet::settings(relay_hosts);
        let hosts =
            names.map(|(name, zone)| Host::join(&standin, HostSettings { name, zone, ..settings }));
        Fleet { standin, hosts: hosts.into(), sent: 0 }
    }

    fn settings(relay_hosts: u64) -> HostSettings<'static> {
        HostSettings { relay_hosts, revoke_ms: REVOKE_MS, ..HostSettings::default() }
    }

    /// Sends lethal prompts beside sound ones until one is refused at each host.
    fn attack_until_refused(&mut self) {
        let began = time::Instant::now();
        let mut refused = 0;
        while refused < self.hosts.len() {
            assert!(began.elapsed() < STEP_TIMEOUT, "not refused in time");
            refused = if is_refused(&self.lethal_prompt()) { refused + 1 } else { 0 };
            self.sound_prompt();
            // The next lethal prompt goes to the next host.
            self.sent += self.hosts.len() - 1;
            thread::sleep(PAUSE);
        }
    }

    /// Waits until the platform has stored a verdict on the part, and returns its key.
    fn wait_for_row(&self) -> String {
        let stored = || {
            let keys = self.standin.keys(TABLE).into_iter();
            keys.filter(|key| {
                let row = self.standin.row(TABLE, key);
                row.is_some_and(|row| row["parts"] == serde_json::json!([LETHAL_PART]))
            })
        };
        self.hosts[0].until("stored", || stored().next().is_some());
        stored().next().expect("stored")
    }

    /// Sends a prompt that no other one is alike, with these shared parts, to the next host in turn.
    fn prompt(&mut self, shared: &[&str]) -> (u16, String) {
        self.sent += 1;
        let host = &self.hosts[self.sent % self.hosts.len()];
        send(host, self.sent, shared)
    }

    fn sound_prompt(&mut self) -> (u16, String) {
        let other = format!("d{}", self.sent % 3);
        self.prompt(&[FIRST_PART, &other])
    }

    fn lethal_prompt(&mut self) -> (u16, String) {
        self.prompt(&[FIRST_PART, LETHAL_PART])
    }

    /// Returns when the last crash that counts was.
    fn counted_crash(&self) -> Option<time::Instant> {
        self.standin.crashes().get(CRASHES - 1).copied()
    }

    /// Returns the requests with the lethal part that reached engines after `moment`.
    fn lethal_after(&self, moment: time::Instant) -> Vec<ReceivedRequest> {
        let requests = self.standin.received_requests().into_iter();
        requests.filter(|sent| sent.at > moment && has_lethal_part(&sent.headers)).collect()
    }
}

/// Sends a prompt with these shared parts, under the request id `number` and with a body of its own.
fn send(host: &Host, number: usize, shared: &[&str]) -> (u16, String) {
    let body = format!("prompt {number}");
    let shared: String = shared.iter().map(|part| format!("{part}:40,")).collect();
    let head = format!(
        "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q{number}\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n\
         lagoonline-token-count: 5000,400\r\n\
         lagoonline-prompt-prefix: {shared}{number:x}:100\r\ncontent-length: {}\r\n\r\n{body}",
        body.len(),
    );
    send_request(host.callers, &head)
}

/// Guards against prompts with one lethal part that crash engines without end, since no two of them
/// are alike; and against a safeguard that refuses the sound prompts which share their other parts.
#[rstest]
#[case::each_host_evaluates(6)]
#[case::one_host_of_each_zone_evaluates(2)]
fn a_part_that_crashed_five_engines_is_sent_no_more(#[case] relay_hosts: u64) {
    let mut fleet = Fleet::start(relay_hosts);
    for _ in 0..20 {
        assert_eq!(fleet.sound_prompt(), (200, all_events()), "not served before the attack");
    }
    let began = time::Instant::now();
    let (mut sound, mut refused) = (Served::default(), 0);
    while began.elapsed() < ATTACK_TIME {
        fleet.lethal_prompt();
        for _ in 0..2 {
            let is_late =
                fleet.counted_crash().is_some_and(|at| at + STABLE_TIME * 2 < time::Instant::now());
            let answer = fleet.sound_prompt();
            refused += usize::from(is_refused(&answer));
            if is_late {
                sound.count(&answer);
            }
        }
        thread::sleep(PAUSE);
    }
    let crashes = fleet.standin.crashes().len();
    let counted = fleet.counted_crash().expect("five crashes");
    let late = fleet.lethal_after(counted + STABLE_TIME).len();
    println!("{late} sent late, {crashes} engines crashed, sound prompts: {sound:?}");
    assert!(late <= LATE_SENDS, "sent {late} times more, {crashes} engines crashed");
    assert!(sound.sent >= 20 && sound.served * 2 >= sound.sent, "sound prompts: {sound:?}");
    assert_eq!(refused, 0, "sound prompts refused as lethal");
}

/// Guards against a fleet that forgets lethal parts when all of its hosts are killed.
#[rstest]
fn verdicts_on_parts_survive_a_crash_of_all_hosts() {
    let mut fleet = Fleet::start(6);
    fleet.attack_until_refused();
    fleet.wait_for_row();
    fleet.hosts.clear();
    let began = time::Instant::now();
    let settings = HostSettings { name: "h5", zone: "c", ..Fleet::settings(6) };
    fleet.hosts.push(Host::join(&fleet.standin, settings));
    while began.elapsed() < STABLE_TIME {
        fleet.lethal_prompt();
        thread::sleep(PAUSE);
    }
    let late = fleet.lethal_after(began).len();
    assert!(late <= LATE_SENDS, "sent {late} times more after all hosts were killed");
}

/// Guards against a host that starts after a verdict, or comes back from a cut, and goes on sending.
#[rstest]
fn a_late_host_learns_verdicts_on_parts_from_other_hosts() {
    let mut fleet = Fleet::start(6);
    fleet.attack_until_refused();
    let row = fleet.wait_for_row();
    // The platform no longer has it, so only the other hosts can report it.
    fleet.standin.remove(TABLE, &row);
    let settings = HostSettings { name: "h5", zone: "c", ..Fleet::settings(6) };
    let late = Host::join(&fleet.standin, settings);
    late.until("learnt", || late.quarantined_count() >= 1);
    fleet.hosts = vec![late];
    let began = time::Instant::now();
    assert!(is_refused(&fleet.lethal_prompt()));
    assert_eq!(fleet.sound_prompt(), (200, all_events()));
    assert_eq!(fleet.lethal_after(began).len(), 0);
}

/// Guards against a part that stays refused though an operator knows better.
#[rstest]
fn operators_can_list_and_release_parts() {
    let mut fleet = Fleet::start(6);
    fleet.attack_until_refused();
    let row = fleet.wait_for_row();
    let list = send_request(fleet.hosts[0].ready, "GET /quarantine HTTP/1.1\r\nhost: h\r\n\r\n").1;
    assert!(list.contains(LETHAL_PART), "{list}");
    let release = format!("POST /quarantine/release/{row} HTTP/1.1\r\nhost: h\r\n\r\n");
    assert_eq!(send_request(fleet.hosts[0].ready, &release).0, 200);
    let crashes = fleet.standin.crashes().len();
    fleet.hosts[0].until("released", || !is_refused(&send(&fleet.hosts[1], 9_000, &[LETHAL_PART])));
    fleet.hosts[0].until("sent again", || fleet.standin.crashes().len() > crashes);
}

/// Guards against a verdict for crashes that were none: connections that break for other reasons.
#[rstest]
#[case::reset(Behavior::DropAnswer)]
#[case::broken_off(Behavior::BreakAfter(0))]
fn broken_connections_do_not_quarantine_a_part(#[case] behavior: Behavior) {
    let mut fleet = Fleet::start(6);
    for number in 0..ENGINES {
        fleet.standin.behavior(&format!("e{number}"), behavior);
    }
    for _ in 0..12 {
        assert!(!is_refused(&fleet.sound_prompt()));
    }
    for number in 0..ENGINES {
        fleet.standin.behavior(&format!("e{number}"), Behavior::Complete);
    }
    assert_eq!(fleet.sound_prompt(), (200, all_events()));
}

//! Tests of requests that crash the engines which begin to run them, with several hosts and zones.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::thread;
use std::time;

use rstest::rstest;

use host::{Host, HostSettings, STEP_TIMEOUT, all_events, desired, send_request};
use standin::{Behavior, LETHAL, Standin};

/// Time after the third crash within which all hosts have the verdict.
const VERDICT_SPREAD_TIME: time::Duration = time::Duration::from_millis(3_000);
/// Number of times that a lethal request may still be sent after that.
const LATE_SENDS: usize = 3;
/// Number of engines behind the hosts.
const ENGINES: usize = 8;
/// Table of the quarantine verdicts.
const TABLE: &str = "lagoon-quarantine";
/// Table of the entry hosts.
const HOSTS: &str = "lagoon-hosts";
/// Pause between two requests.
const PAUSE: time::Duration = time::Duration::from_millis(80);

/// Settings of a host that starts after the others.
fn late_host() -> HostSettings<'static> {
    HostSettings { name: "h5", zone: "c", ..HostSettings::default() }
}

fn engine(number: usize) -> String {
    format!("e{number}")
}

/// Sends a prompt with `body` under the request id `number` and returns the answer.
fn send(host: &Host, number: u64, body: &str) -> (u16, String) {
    let head = format!(
        "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q{number}\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n\
         lagoonline-token-count: 5000,400\r\ncontent-length: {}\r\n\r\n{body}",
        body.len(),
    );
    send_request(host.callers, &head)
}

/// Hosts of two zones in front of the same engines.
struct Fleet {
    standin: Standin,
    hosts: Vec<Host>,
    sent: u64,
}

impl Fleet {
    fn start() -> Fleet {
        Fleet::start_with(HostSettings::default())
    }

    /// Starts all hosts with `settings`, except for name and zone. A zone has two hosts; with a
    /// larger `relay_hosts` it has no scheduler, and each host evaluates suspects itself.
    fn start_with(settings: HostSettings<'_>) -> Fleet {
        let standin = Standin::start();
        standin.put("op", "config", &desired(1, &["k1"], 10_000));
        for number in 0..ENGINES {
            standin.upstream(&engine(number), "llm", 16);
        }
        let names = [("h1", "a"), ("h2", "a"), ("h3", "b"), ("h4", "b")];
        let hosts =
            names.map(|(name, zone)| Host::join(&standin, HostSettings { name, zone, ..settings }));
        Fleet { standin, hosts: hosts.into(), sent: 0 }
    }

    /// Sends a prompt with `body` to the next host in turn, under a new request id, and returns the
    /// answer.
    fn prompt(&mut self, body: &str) -> (u16, String) {
        self.sent += 1;
        let host = &self.hosts[self.sent as usize % self.hosts.len()];
        send(host, self.sent, body)
    }

    /// Sends the lethal request repeatedly for `span`.
    fn send_lethal_for(&mut self, span: time::Duration) {
        let until = time::Instant::now() + span;
        while time::Instant::now() < until {
            self.prompt(LETHAL);
            thread::sleep(PAUSE);
        }
    }

    /// Sets the behavior of all engines.
    fn all_engines(&self, behavior: Behavior) {
        for number in 0..ENGINES {
            self.standin.behavior(&engine(number), behavior);
        }
    }

    /// Sends the lethal request until it is refused because of the quarantine.
    fn send_lethal_until_refused(&mut self) {
        let began = time::Instant::now();
        while !self.prompt(LETHAL).1.contains("quarantined") {
            assert!(began.elapsed() < STEP_TIMEOUT, "not refused in time");
            thread::sleep(PAUSE);
        }
    }

    /// Waits until the platform has stored the verdict, and returns its key.
    fn wait_for_row(&self) -> String {
        let keys = || self.standin.keys(TABLE);
        self.hosts[0].until("stored", || !keys().is_empty());
        keys().remove(0)
    }

    /// Counts the lethal requests that reached an engine after `moment`.
    fn lethal_after(&self, moment: time::Instant) -> usize {
        let requests = self.standin.received_requests();
        let lethal = requests.iter().filter(|request| request.body == LETHAL.as_bytes());
        lethal.filter(|request| request.at > moment).count()
    }

    /// Returns when the third engine crashed.
    fn third_crash(&self) -> time::Instant {
        let crashes = self.standin.crashes();
        assert!(crashes.len() >= 3, "{} engines crashed", crashes.len());
        crashes[2]
    }
}

/// A request that has crashed three engines must not be sent any more.
#[rstest]
#[case::each_host_evaluates(6)]
#[case::one_host_of_each_zone_evaluates(2)]
fn a_request_that_crashed_three_engines_is_sent_no_more(#[case] relay_hosts: u64) {
    let mut fleet = Fleet::start_with(HostSettings { relay_hosts, ..HostSettings::default() });
    fleet.send_lethal_for(VERDICT_SPREAD_TIME * 2);
    let late = fleet.lethal_after(fleet.third_crash() + VERDICT_SPREAD_TIME);
    let crashes = fleet.standin.crashes().len();
    assert!(late <= LATE_SENDS, "sent {late} times more, {crashes} engines crashed");
}

/// A verdict must survive a crash of all hosts, through the platform's table.
#[rstest]
fn verdicts_survive_a_crash_of_all_hosts() {
    let mut fleet = Fleet::start();
    fleet.send_lethal_until_refused();
    fleet.wait_for_row();
    fleet.hosts.clear();
    let began = time::Instant::now();
    fleet.hosts.push(Host::join(&fleet.standin, late_host()));
    fleet.send_lethal_for(VERDICT_SPREAD_TIME);
    let late = fleet.lethal_after(began);
    assert!(late <= LATE_SENDS, "sent {late} times more after all hosts were killed");
}

/// A host that starts after a verdict must learn it from the other hosts.
#[rstest]
fn a_late_host_learns_verdicts_from_other_hosts() {
    let mut fleet = Fleet::start();
    fleet.send_lethal_until_refused();
    let row = fleet.wait_for_row();
    // The platform no longer has it, so only the other hosts can report it.
    fleet.standin.remove(TABLE, &row);
    let late = Host::join(&fleet.standin, late_host());
    late.until("learnt", || late.quarantined_count() == 1);
    fleet.hosts = vec![late];
    let began = time::Instant::now();
    let (status, body) = fleet.prompt(LETHAL);
    assert_eq!(status, 503, "{body}");
    assert!(body.contains("quarantined") && body.contains("not-run"), "{body}");
    assert_eq!(fleet.lethal_after(began), 0);
}

/// Requests that run beside a lethal one, even frequent ones, must not be quarantined.
#[rstest]
fn prompts_beside_a_lethal_one_are_answered() {
    let mut fleet = Fleet::start();
    for round in 0..40 {
        let own = format!("prompt {round}");
        for body in [LETHAL, "popular", own.as_str()] {
            let (status, answer) = fleet.prompt(body);
            let refused = answer.contains("quarantined");
            assert!(body == LETHAL || !refused, "{body} is refused in round {round}: {answer}");
            assert!(body == LETHAL || status != 200 || answer == all_events(), "{body}: {answer}");
        }
    }
    assert!(fleet.prompt(LETHAL).1.contains("quarantined"));
    assert_eq!(fleet.prompt("popular"), (200, all_events()));
}

/// Connections that break for another reason than a crash must not lead to a quarantine.
#[rstest]
#[case::reset(Behavior::DropAnswer)]
#[case::broken_off(Behavior::BreakAfter(0))]
#[case::unsigned(Behavior::Unsigned)]
fn broken_connections_do_not_quarantine_a_request(#[case] behavior: Behavior) {
    let mut fleet = Fleet::start();
    fleet.all_engines(behavior);
    for _ in 0..6 {
        let (_, answer) = fleet.prompt("unlucky");
        assert!(!answer.contains("quarantined"), "{answer}");
        thread::sleep(PAUSE);
    }
    fleet.all_engines(Behavior::Complete);
    assert_eq!(fleet.prompt("unlucky"), (200, all_events()));
}

/// Operators must be able to list and to end a quarantine.
#[rstest]
fn operators_can_list_and_release_quarantined_requests() {
    let mut fleet = Fleet::start();
    fleet.send_lethal_until_refused();
    let row = fleet.wait_for_row();
    let release = format!("POST /quarantine/release/{row} HTTP/1.1\r\nhost: h\r\n\r\n");
    assert_eq!(send_request(fleet.hosts[0].ready, &release).0, 200);
    for host in &fleet.hosts {
        host.until("released", || host.quarantined_count() == 0);
    }
    let crashes = fleet.standin.crashes().len();
    fleet.prompt(LETHAL);
    fleet.hosts[0].until("sent again", || fleet.standin.crashes().len() > crashes);
}

/// A zone that was cut off when a verdict was made must learn it on reconnection, and not go on
/// sending the request.
#[rstest]
fn a_zone_learns_verdicts_after_a_partition() {
    let mut fleet = Fleet::start();
    // Behind the partition the zone sees the engines, but neither the platform nor the hosts of the
    // others.
    let behind = Standin::start();
    behind.put("op", "config", &desired(1, &["k1"], 10_000));
    behind.copy(&fleet.standin, "servers");
    let host = Host::join(&behind, late_host());
    fleet.send_lethal_until_refused();
    assert_eq!(host.quarantined_count(), 0);
    behind.copy(&fleet.standin, HOSTS);
    host.until("learnt", || host.quarantined_count() == 1);
    let began = time::Instant::now();
    fleet.hosts = vec![host];
    assert_eq!(fleet.prompt(LETHAL).0, 503);
    assert_eq!(fleet.lethal_after(began), 0);
}

/// A verdict that is made while the platform is down must be stored when it is back.
#[rstest]
fn a_verdict_made_during_a_platform_outage_is_stored() {
    let mut fleet =
        Fleet::start_with(HostSettings { revoke_ms: 20_000, ..HostSettings::default() });
    fleet.standin.set_down(true);
    fleet.send_lethal_until_refused();
    for host in &fleet.hosts {
        host.until("told", || host.quarantined_count() == 1);
    }
    assert!(fleet.standin.keys(TABLE).is_empty());
    fleet.standin.set_down(false);
    fleet.wait_for_row();
}

/// The platform's store comes back from a copy that lacks a stored verdict. It must be stored again,
/// or it would not survive an end of all hosts.
#[rstest]
fn a_verdict_that_was_lost_by_a_restore_is_stored_again() {
    let mut fleet = Fleet::start();
    let backup = fleet.standin.backup();
    fleet.send_lethal_until_refused();
    fleet.wait_for_row();
    // The leader of each zone stores it.
    thread::sleep(VERDICT_SPREAD_TIME);
    fleet.standin.restore(&backup);
    assert!(fleet.standin.keys(TABLE).is_empty());
    fleet.wait_for_row();
}

//! Requests that crash the engines which begin to run them, over several hosts and zones.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::thread;
use std::time;

use rstest::rstest;

use host::{Host, PATIENCE, Place, all_events, desired, exchange};
use standin::{LETHAL, Manner, Standin};

/// Time after the third crash in which all hosts have learnt of it.
const STABLE_WINDOW: time::Duration = time::Duration::from_millis(3_000);
/// Sends of a lethal request that may follow later.
const LATE_SENDS: usize = 3;
/// Engines before which the hosts stand.
const ENGINES: usize = 8;
/// Table of the requests that are refused.
const TABLE: &str = "lagoon-quarantine";
/// Table of the entry hosts.
const HOSTS: &str = "lagoon-hosts";
/// Pause between two callers.
const PAUSE: time::Duration = time::Duration::from_millis(80);

/// A host that starts after the others.
fn late() -> Place<'static> {
    Place { name: "h5", zone: "c", ..Place::default() }
}

fn engine(number: usize) -> String {
    format!("e{number}")
}

/// Sends a prompt with `body` under the id `number`; the answer.
fn send(host: &Host, number: u64, body: &str) -> (u16, String) {
    let head = format!(
        "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q{number}\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n\
         lagoonline-token-count: 5000,400\r\ncontent-length: {}\r\n\r\n{body}",
        body.len(),
    );
    exchange(host.callers, &head)
}

/// Hosts of two zones before the same engines.
struct Fleet {
    standin: Standin,
    hosts: Vec<Host>,
    sent: u64,
}

impl Fleet {
    fn start() -> Fleet {
        Fleet::start_with(Place::default())
    }

    /// All hosts are set as `place` is.
    fn start_with(place: Place<'_>) -> Fleet {
        let standin = Standin::start();
        standin.put("op", "config", &desired(1, &["k1"], 10_000));
        for number in 0..ENGINES {
            standin.upstream(&engine(number), "llm", 16);
        }
        let places = [("h1", "a"), ("h2", "a"), ("h3", "b"), ("h4", "b")];
        let hosts = places.map(|(name, zone)| Host::join(&standin, Place { name, zone, ..place }));
        Fleet { standin, hosts: hosts.into(), sent: 0 }
    }

    /// Sends a prompt with `body`, under an id of its own, to the next host in turn; the answer.
    fn prompt(&mut self, body: &str) -> (u16, String) {
        self.sent += 1;
        let host = &self.hosts[self.sent as usize % self.hosts.len()];
        send(host, self.sent, body)
    }

    /// Sends the lethal request again and again for `span`.
    fn attack(&mut self, span: time::Duration) {
        let until = time::Instant::now() + span;
        while time::Instant::now() < until {
            self.prompt(LETHAL);
            thread::sleep(PAUSE);
        }
    }

    /// What all engines do from now on.
    fn all_engines(&self, manner: Manner) {
        for number in 0..ENGINES {
            self.standin.manner(&engine(number), manner);
        }
    }

    /// Sends the lethal request until it is refused as such.
    fn attack_until_refused(&mut self) {
        let began = time::Instant::now();
        while !self.prompt(LETHAL).1.contains("quarantined") {
            assert!(began.elapsed() < PATIENCE, "not refused in time");
            thread::sleep(PAUSE);
        }
    }

    /// Waits until the platform holds the verdict; its key.
    fn await_row(&self) -> String {
        let keys = || self.standin.keys(TABLE);
        self.hosts[0].until("stored", || !keys().is_empty());
        keys().remove(0)
    }

    /// Sends of the lethal request that reached an engine after `moment`.
    fn lethal_after(&self, moment: time::Instant) -> usize {
        let seen = self.standin.seen();
        let lethal = seen.iter().filter(|seen| seen.body == LETHAL.as_bytes());
        lethal.filter(|seen| seen.at > moment).count()
    }

    /// When the third engine crashed.
    fn third_crash(&self) -> time::Instant {
        let crashes = self.standin.crashes();
        assert!(crashes.len() >= 3, "{} engines crashed", crashes.len());
        crashes[2]
    }
}

/// Guards against sending a request on that has crashed three engines.
#[rstest]
#[case::each_host_judges(6)]
#[case::one_host_of_each_zone_judges(2)]
fn a_request_that_crashed_three_engines_is_sent_no_more(#[case] relay_hosts: u64) {
    let mut fleet = Fleet::start_with(Place { relay_hosts, ..Place::default() });
    fleet.attack(STABLE_WINDOW * 2);
    let late = fleet.lethal_after(fleet.third_crash() + STABLE_WINDOW);
    let crashes = fleet.standin.crashes().len();
    assert!(late <= LATE_SENDS, "sent {late} times more, {crashes} engines crashed");
}

/// Guards against hosts that forget a lethal request because all of them were killed.
#[rstest]
fn a_kill_of_all_hosts_forgets_no_lethal_request() {
    let mut fleet = Fleet::start();
    fleet.attack_until_refused();
    fleet.await_row();
    fleet.hosts.clear();
    let began = time::Instant::now();
    fleet.hosts.push(Host::join(&fleet.standin, late()));
    fleet.attack(STABLE_WINDOW);
    let late = fleet.lethal_after(began);
    assert!(late <= LATE_SENDS, "sent {late} times more after all hosts were killed");
}

/// Guards against a host that starts late and does not know what the others refuse.
#[rstest]
fn a_host_that_starts_late_learns_from_the_others() {
    let mut fleet = Fleet::start();
    fleet.attack_until_refused();
    let row = fleet.await_row();
    // The platform holds it no longer: only the other hosts can tell.
    fleet.standin.remove(TABLE, &row);
    let late = Host::join(&fleet.standin, late());
    late.until("learnt", || late.held() == 1);
    fleet.hosts = vec![late];
    let began = time::Instant::now();
    let (status, body) = fleet.prompt(LETHAL);
    assert_eq!(status, 503, "{body}");
    assert!(body.contains("quarantined") && body.contains("not-run"), "{body}");
    assert_eq!(fleet.lethal_after(began), 0);
}

/// Guards against refusing the prompts that lie beside a lethal one, popular ones among them.
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

/// Guards against refusing a request because its connections broke, whatever broke them.
#[rstest]
#[case::reset(Manner::LoseAnswer)]
#[case::broken_off(Manner::BreakAfter(0))]
#[case::spoiled(Manner::Unproven)]
fn connections_that_break_refuse_no_request(#[case] manner: Manner) {
    let mut fleet = Fleet::start();
    fleet.all_engines(manner);
    for _ in 0..6 {
        let (_, answer) = fleet.prompt("unlucky");
        assert!(!answer.contains("quarantined"), "{answer}");
        thread::sleep(PAUSE);
    }
    fleet.all_engines(Manner::Whole);
    assert_eq!(fleet.prompt("unlucky"), (200, all_events()));
}

/// Guards against a verdict that operators can neither see nor end.
#[rstest]
fn operators_list_and_release_what_is_refused() {
    let mut fleet = Fleet::start();
    fleet.attack_until_refused();
    let row = fleet.await_row();
    let release = format!("POST /quarantine/release/{row} HTTP/1.1\r\nhost: h\r\n\r\n");
    assert_eq!(exchange(fleet.hosts[0].ready, &release).0, 200);
    for host in &fleet.hosts {
        host.until("released", || host.held() == 0);
    }
    let crashes = fleet.standin.crashes().len();
    fleet.prompt(LETHAL);
    fleet.hosts[0].until("sent again", || fleet.standin.crashes().len() > crashes);
}

/// Guards against a zone that was cut off and goes on sending what the others refuse.
#[rstest]
fn a_zone_that_was_cut_off_learns_at_its_return() {
    let mut fleet = Fleet::start();
    // Behind the cut the zone sees the engines, but neither the platform of the others nor them.
    let behind = Standin::start();
    behind.put("op", "config", &desired(1, &["k1"], 10_000));
    behind.copy(&fleet.standin, "servers");
    let host = Host::join(&behind, late());
    fleet.attack_until_refused();
    assert_eq!(host.held(), 0);
    behind.copy(&fleet.standin, HOSTS);
    host.until("learnt", || host.held() == 1);
    let began = time::Instant::now();
    fleet.hosts = vec![host];
    assert_eq!(fleet.prompt(LETHAL).0, 503);
    assert_eq!(fleet.lethal_after(began), 0);
}

/// Guards against losing verdicts that are made while the platform is away.
#[rstest]
fn a_verdict_made_while_the_platform_is_away_is_kept() {
    let mut fleet = Fleet::start_with(Place { revoke_ms: 20_000, ..Place::default() });
    fleet.standin.set_out(true);
    fleet.attack_until_refused();
    for host in &fleet.hosts {
        host.until("told", || host.held() == 1);
    }
    assert!(fleet.standin.keys(TABLE).is_empty());
    fleet.standin.set_out(false);
    fleet.await_row();
}

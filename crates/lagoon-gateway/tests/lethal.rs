//! Requests that crash the engines which begin to run them, over several hosts and zones.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::thread;
use std::time;

use rstest::rstest;

use host::{Host, desired, exchange};
use standin::{LETHAL, Standin};

/// Time after the third crash in which all hosts have learnt of it.
const STABLE_WINDOW: time::Duration = time::Duration::from_millis(3_000);
/// Sends of a lethal request that may follow later.
const LATE_SENDS: usize = 3;
/// Engines before which the hosts stand.
const ENGINES: usize = 8;
/// Pause between two callers.
const PAUSE: time::Duration = time::Duration::from_millis(80);

/// Hosts of two zones before the same engines.
struct Fleet {
    standin: Standin,
    hosts: Vec<Host>,
    sent: u64,
}

impl Fleet {
    fn start() -> Fleet {
        let standin = Standin::start();
        standin.put("op", "config", &desired(1, &["k1"], 10_000));
        for number in 0..ENGINES {
            standin.upstream(&format!("e{number}"), "llm", 16);
        }
        let places = [("h1", "a"), ("h2", "a"), ("h3", "b"), ("h4", "b")];
        let hosts = places.map(|(name, zone)| Host::join(&standin, name, zone));
        Fleet { standin, hosts: hosts.into(), sent: 0 }
    }

    /// Sends a prompt with `body`, under an id of its own, to the next host in turn; the answer.
    fn prompt(&mut self, body: &str) -> (u16, String) {
        self.sent += 1;
        let host = &self.hosts[self.sent as usize % self.hosts.len()];
        let head = format!(
            "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q{}\r\n\
             authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n\
             lagoonline-token-count: 5000,400\r\ncontent-length: {}\r\n\r\n{body}",
            self.sent,
            body.len(),
        );
        exchange(host.callers, &head)
    }

    /// Sends the lethal request again and again for `span`.
    fn attack(&mut self, span: time::Duration) {
        let until = time::Instant::now() + span;
        while time::Instant::now() < until {
            self.prompt(LETHAL);
            thread::sleep(PAUSE);
        }
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
fn a_request_that_crashed_three_engines_is_sent_no_more() {
    let mut fleet = Fleet::start();
    fleet.attack(STABLE_WINDOW * 2);
    let late = fleet.lethal_after(fleet.third_crash() + STABLE_WINDOW);
    let crashes = fleet.standin.crashes().len();
    assert!(late <= LATE_SENDS, "sent {late} times more, {crashes} engines crashed");
}

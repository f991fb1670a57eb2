//! Tests of calls that are sent once more.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use rstest::rstest;

use host::Host;
use standin::Behavior;

/// Number of calls of a test, so that each replica gets some.
const CALLS: usize = 6;

/// Starts a host with two replicas that behave like this.
fn start(first: Behavior, second: Behavior) -> Host {
    let host = Host::start();
    host.standin.behavior("r1", first);
    host.standin.behavior("r2", second);
    host
}

/// Returns how often upstreams received the call `id`.
fn received(host: &Host, id: &str) -> usize {
    let requests = host.standin.received_requests();
    let ids = requests.iter().filter_map(|request| request.headers.get("lagoonline-request-id"));
    ids.filter(|known| *known == id).count()
}

/// Makes calls one after the other, and returns the status of each and how often it was received.
fn call(host: &Host) -> Vec<(u16, usize)> {
    let call = |number| {
        let id = format!("c{number}");
        let head = format!(
            "GET /look/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: {id}\r\n\
             authorization: Token k1\r\nlagoonline-request-deadline: 3000\r\n\r\n"
        );
        let (status, _) = host::send_request(host.callers, &head);
        (status, received(host, &id))
    };
    (0..CALLS).map(call).collect()
}

/// A call must not be sent once more to an upstream that does not read, nor while the one before may read it.
#[rstest]
#[case::first_closes_its_connections(Behavior::DropAnswer)]
#[case::first_reads_nothing(Behavior::IgnoreAll)]
fn a_call_is_not_repeated_where_it_may_be_read_late(#[case] first: Behavior) {
    let host = start(first, Behavior::IgnoreAll);
    assert_eq!(call(&host), [(502, 1); CALLS]);
}

/// A call must be sent once more to an upstream that reads, after one that closed its connection.
#[rstest]
fn a_call_is_repeated_where_it_is_read_at_once() {
    let host = start(Behavior::DropAnswer, Behavior::Complete);
    let answers = call(&host);
    assert!(answers.iter().all(|(status, _)| *status == 200), "{answers:?}");
    assert!(answers.contains(&(200, 2)), "{answers:?}");
}

//! Tests that a broken answer looks broken to its caller, whatever its framing, and that all parts
//! of a host count the attempts of a request together.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::io::Write;
use std::net;
use std::thread;
use std::time;

use host::caller::{self, Answer, End, call};
use host::process::{Process, ProcessSettings};
use host::{Host, HostSettings};
use rstest::rstest;
use serde_json::json;
use standin::Standin;
use standin::raw::{self, Body, End as Ending, Framing, Script, WHOLE};

const UNFRAMED: Script = Script { framing: Framing::Unframed, ..WHOLE };
/// An answer of which no byte arrives.
const LOST: Script =
    Script { framing: Framing::Verbatim, body: Body::Text(""), end: Ending::Reset, ..WHOLE };
/// A refusal that states that the request did not run.
const REFUSED: Script = Script {
    framing: Framing::Verbatim,
    body: Body::Text(
        "HTTP/1.1 503 full\r\nlagoonline-not-executed: true\r\ncontent-length: 0\r\n\r\n",
    ),
    ..WHOLE
};

/// Returns the place in a body after `events` events and `bytes` bytes of the next one.
fn after(events: u64, bytes: usize) -> usize {
    raw::events_after(0, "\n").len() - raw::events_after(events, "\n").len() + bytes
}

fn prompt_text(route: &str, version: &str) -> String {
    format!(
        "POST /{route}/a HTTP/{version}\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n\
         lagoonline-token-count: 5000,400\r\ncontent-length: 0\r\n\r\n"
    )
}

fn prompt(host: &Host, route: &str, version: &str) -> Answer {
    call(host.callers, &prompt_text(route, version))
}

/// Whether a client takes `answer` for a complete success. A body without a length or chunks is
/// complete if its connection was closed in order (RFC 9112, section 8).
fn looks_complete(answer: &Answer) -> bool {
    answer.status == 200 && answer.end != End::Early
}

/// Asserts that the answer is whole or does not look so.
fn assert_whole_or_broken(answer: &Answer) {
    let whole = raw::events_after(0, "\n");
    assert!(whole.starts_with(&answer.body) || answer.status != 200, "{answer:?}");
    assert!(answer.body == whole || !looks_complete(answer), "looks complete: {answer:?}");
}

/// Starts a host with `engines` engines and a replica that answer by [`Standin::script`].
fn start_raw(engines: usize) -> Host {
    let standin = Standin::start();
    standin.put("op", "config", &host::desired(1, &["k1"], 10_000));
    for number in 1..=engines {
        standin.raw_upstream(&format!("e{number}"), "llm", 16);
    }
    standin.raw_upstream("r1", "app", 6);
    Host::join(&standin, HostSettings::default())
}

/// Returns how many upstreams received the request.
fn sends(host: &Host) -> usize {
    host.standin.received_requests().len()
}

/// A stream that was reset or crashed reached its caller as complete.
#[rstest]
fn a_broken_stream_never_looks_complete(
    #[values(
        Framing::Unframed,
        Framing::UnframedClose,
        Framing::UnframedKeepAlive,
        Framing::Http10,
        Framing::Length,
        Framing::Chunks
    )]
    framing: Framing,
    #[values(after(0, 0), after(0, 3), after(4, 0), after(4, 9))] cut: usize,
    #[values(Ending::Reset, Ending::Crash)] end: Ending,
    #[values("1.0", "1.1")] version: &str,
) {
    let host = Host::start_raw();
    host.standin.script(&[Script { framing, cut: Some(cut), end, ..WHOLE }]);
    assert_whole_or_broken(&prompt(&host, "tell", version));
    assert_eq!(sends(&host), 1, "sent again although it may run only once");
}

/// A stream that broke at each upstream reached its caller as complete.
#[rstest]
fn a_stream_that_breaks_at_each_upstream_never_looks_complete(
    #[values(Framing::Unframed, Framing::Length, Framing::Chunks)] first: Framing,
    #[values(Framing::Unframed, Framing::Length, Framing::Chunks)] second: Framing,
    #[values(Ending::Reset, Ending::Crash)] end: Ending,
    #[values("1.0", "1.1")] version: &str,
) {
    let host = Host::start_raw();
    let cut = |framing, events| Script { framing, cut: Some(after(events, 0)), end, ..WHOLE };
    host.standin.script(&[cut(first, 3), cut(second, 2)]);
    assert_whole_or_broken(&prompt(&host, "talk", version));
}

/// A stream whose upstream was killed while it left, or after it had left the list, reached its
/// caller as complete, since nobody asked whether its process still ran.
#[rstest]
fn a_stream_of_an_upstream_that_is_killed_while_it_leaves_never_looks_complete(
    #[values("draining", "gone")] state: &str,
    #[values("talk", "tell")] route: &str,
) {
    let host = Host::start_raw();
    let cut = Some(after(4, 0));
    host.standin.script(&[Script { cut, end: Ending::LateCrash(1_000), ..UNFRAMED }]);
    let (address, text) = (host.callers, prompt_text(route, "1.1"));
    let calling = thread::spawn(move || call(address, &text));
    host.until("sent", || sends(&host) == 1);
    let upstream = host.standin.received_requests()[0].upstream.clone();
    if state == "gone" {
        host.standin.remove("servers", &upstream);
    } else {
        let address = host.standin.address(&upstream).to_string();
        let entry = json!({"Service": "llm", "Address": address, "Zone": "a", "Version": "v1",
            "Slots": 16, "State": state, "Sequence": 2, "born": 1});
        host.standin.put("servers", &upstream, &entry);
    }
    let answer = calling.join().unwrap();
    assert_whole_or_broken(&answer);
    if route == "talk" {
        assert_eq!((&answer.body[..], answer.end), (&raw::events_after(0, "\n")[..], End::Marked));
    }
}

/// A stream that its upstream ended early, in order and without an end mark, reached its caller as
/// complete although another upstream could tell what was missing.
#[rstest]
fn a_stream_that_is_ended_early_is_completed_elsewhere(#[values(0, 1, 4)] events: u64) {
    let host = Host::start_raw();
    host.standin.script(&[Script { cut: Some(after(events, 0)), ..UNFRAMED }]);
    let answer = prompt(&host, "talk", "1.1");
    assert_eq!((&answer.body[..], answer.end), (&raw::events_after(0, "\n")[..], End::Marked));
}

/// A stream that its upstream ended early looked complete although another one had begun to send what
/// was missing.
#[rstest]
fn a_part_of_an_event_shows_that_a_stream_was_ended_early() {
    let host = Host::start_raw();
    let early = Script { cut: Some(after(4, 0)), ..UNFRAMED };
    host.standin.script(&[early, Script { cut: Some(9), end: Ending::Reset, ..WHOLE }]);
    let answer = prompt(&host, "talk", "1.1");
    let events = &raw::events_after(0, "\n")[..after(4, 0)];
    assert_eq!((&answer.body[..], answer.end), (events, End::Early));
}

/// Streams that are whole were told as broken since nobody could confirm their end.
#[rstest]
#[case::refused(&[UNFRAMED, REFUSED, REFUSED, REFUSED])]
#[case::lost(&[UNFRAMED, LOST])]
#[case::unmarked(&[UNFRAMED, UNFRAMED])]
fn a_whole_stream_whose_end_nobody_confirms_is_delivered(#[case] scripts: &[Script]) {
    let host = Host::start_raw();
    host.standin.script(scripts);
    let answer = prompt(&host, "talk", "1.1");
    assert_eq!(answer.body, raw::events_after(0, "\n"));
    assert!(looks_complete(&answer), "{answer:?}");
}

/// An answer whose upstream stopped inside its head reached its caller as an empty or short success.
#[rstest]
fn an_answer_that_ends_inside_its_head_is_lost(
    #[values(1, 9, 15, 16, 17, 40, 60, 90, 110, 120, 121, 122, 123)] length: usize,
    #[values(Ending::Close, Ending::HalfClose, Ending::Reset)] end: Ending,
    #[values("talk", "tell", "look", "book")] route: &str,
) {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nlagoonline-request-id: q1\r\n\
        lagoonline-response-signature: e1\r\ncontent-length: 12\r\n\
        content-type: text/plain\r\n\r\n";
    let host = Host::start_raw();
    let length = length.min(HEAD.len() - 1);
    let script =
        Script { framing: Framing::Verbatim, body: Body::Text(&HEAD[..length]), end, ..WHOLE };
    host.standin.script(&[script; 4]);
    let method = if route == "look" { "GET" } else { "POST" };
    let answer = call(host.callers, &prompt_text(route, "1.1").replacen("POST", method, 1));
    assert_eq!(answer.status, 502, "{answer:?}");
}

/// A host that was killed left a stream that looked complete.
#[rstest]
fn a_killed_host_leaves_no_stream_that_looks_complete(
    #[values(Framing::Unframed, Framing::Chunks)] framing: Framing,
    #[values("1.0", "1.1")] version: &str,
) {
    let standin = host::start_upstreams(Standin::raw_upstream);
    let cut = Some(after(4, 0));
    standin.script(&[Script { framing, cut, end: Ending::Silent, ..WHOLE }]);
    let mut process = Process::start(&standin, ProcessSettings::default());
    let mut stream = net::TcpStream::connect(process.callers).unwrap();
    stream.set_read_timeout(Some(host::STEP_TIMEOUT)).unwrap();
    stream.write_all(prompt_text("tell", version).as_bytes()).unwrap();
    thread::sleep(time::Duration::from_millis(600));
    process.child.kill().unwrap();
    assert_whole_or_broken(&caller::read(&mut stream));
}

/// The attempts that were made before a stream began did not count in it, so that it ran on more
/// upstreams than its route allows.
#[rstest]
#[case::lost_and_cut(&[LOST], 2)]
#[case::cut_twice(&[], 2)]
#[case::refused_before(&[REFUSED], 3)]
fn a_stream_runs_on_no_more_upstreams_than_allowed(
    #[case] before: &[Script],
    #[case] allowed_sends: usize,
) {
    let host = start_raw(6);
    let cut = Script { cut: Some(after(1, 3)), end: Ending::Reset, ..WHOLE };
    let scripts: Vec<_> = before.iter().copied().chain([cut; 8]).collect();
    host.standin.script(&scripts);
    assert_whole_or_broken(&prompt(&host, "talk", "1.1"));
    assert_eq!(sends(&host), allowed_sends, "upstreams");
}

/// A refusal while a stream was resumed allowed it one more run, each time.
#[rstest]
fn a_refusal_while_a_stream_is_resumed_allows_no_further_run() {
    let host = start_raw(6);
    let cut = Script { cut: Some(after(1, 3)), end: Ending::Reset, ..WHOLE };
    host.standin.script(&[cut, REFUSED, LOST, cut, cut, cut]);
    assert_whole_or_broken(&prompt(&host, "talk", "1.1"));
    assert_eq!(sends(&host), 3, "two runs and a refusal");
}

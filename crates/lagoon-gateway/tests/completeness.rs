//! Tests that each answer reaches its caller with an end mark if it is whole and without one if it is
//! not, over sockets, with upstreams that frame, cut and end their answers in any way.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use host::Host;
use host::caller::{Answer, End, call};
use rstest::rstest;
use standin::raw::{self, Body, End as Ending, Framing, Script, WHOLE};

/// A whole answer that ends with its connection.
const UNFRAMED: Script = Script { framing: Framing::Unframed, ..WHOLE };
/// The same, not streamed.
const UNFRAMED_TEXT: Script =
    Script { content_type: "text/plain", body: Body::Text("booked for friday"), ..UNFRAMED };

/// Returns the place in a body after `events` events and `bytes` bytes of the next one.
fn after(events: u64, bytes: usize) -> usize {
    raw::events_after(0, "\n").len() - raw::events_after(events, "\n").len() + bytes
}

fn request(method: &str, path: &str, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n{more}\r\n"
    )
}

/// Sends a prompt on a route whose streams may be resumed (`talk`) or may not (`tell`).
fn prompt(host: &Host, route: &str) -> Answer {
    let tokens = "lagoonline-token-count: 5000,400\r\ncontent-length: 0\r\n";
    call(host.callers, &request("POST", &format!("/{route}/a"), tokens))
}

fn book(host: &Host) -> Answer {
    call(host.callers, &request("POST", "/book/1", "content-length: 0\r\n"))
}

fn look(host: &Host) -> Answer {
    call(host.callers, &request("GET", "/look/1", ""))
}

/// Returns the requests that upstreams received, as the last event that each names.
fn resumptions(host: &Host) -> Vec<Option<String>> {
    let requests = host.standin.received_requests();
    requests.iter().map(|request| request.headers.get("last-event-id").cloned()).collect()
}

/// Guards against a crash in the middle of an event that passes for the end of the stream: without
/// a length or chunks, only the incomplete event shows it. The stream has to go on elsewhere.
#[rstest]
fn a_stream_that_ends_inside_an_event_goes_on_elsewhere(
    #[values(
        Framing::Unframed,
        Framing::UnframedClose,
        Framing::UnframedKeepAlive,
        Framing::Http10,
        Framing::Length,
        Framing::Chunks
    )]
    framing: Framing,
    // Inside the first event, inside its id, inside a data line, between its two line ends.
    #[values(after(0, 1), after(3, 4), after(3, 12), after(9, 20), after(9, 21))] cut: usize,
    #[values(Ending::Close, Ending::HalfClose, Ending::Reset, Ending::Crash)] end: Ending,
) {
    let host = Host::start_raw();
    host.standin.script(&[Script { framing, cut: Some(cut), end, ..WHOLE }]);
    let answer = prompt(&host, "talk");
    assert_eq!((answer.status, answer.body), (200, raw::events_after(0, "\n")));
    let events = (0..10).take_while(|events| after(events + 1, 0) <= cut).count();
    let resumed = (events > 0).then(|| events.to_string());
    assert_eq!(resumptions(&host), [None, resumed]);
}

/// Guards against an end mark that is believed although the body ends inside an event, as when an
/// upstream closes its answer in order while it breaks off.
#[rstest]
fn an_end_mark_inside_an_event_is_not_believed(
    #[values(Framing::Length, Framing::Chunks)] framing: Framing,
    #[values("id: 11", "id: 11\n", "data: wor", "data: word 11\n", ": note\nid: 11\n")]
    rest: &'static str,
) {
    let host = Host::start_raw();
    let body: String = raw::events_after(0, "\n") + rest;
    let body: &'static str = Box::leak(body.into_boxed_str());
    host.standin.script(&[Script { framing, body: Body::Text(body), ..WHOLE }, WHOLE]);
    let answer = prompt(&host, "talk");
    assert_eq!((answer.body, answer.end), (raw::events_after(0, "\n"), End::Marked));
    assert_eq!(resumptions(&host), [None, Some("10".to_owned())]);
}

/// Guards against a stream that may not be resumed and ends inside an event: its caller must not
/// take it for whole. Its end mark is missing, whatever the framing of the upstream.
#[rstest]
fn a_stream_that_ends_inside_an_event_is_not_whole(
    #[values(Framing::Unframed, Framing::UnframedClose, Framing::Http10, Framing::Chunks)]
    framing: Framing,
    #[values(Ending::Close, Ending::Crash)] end: Ending,
) {
    let host = Host::start_raw();
    host.standin.script(&[Script { framing, cut: Some(after(4, 9)), end, ..WHOLE }]);
    let answer = prompt(&host, "tell");
    let body = raw::events_after(0, "\n");
    assert_eq!((&answer.body[..], answer.end), (&body[..after(4, 0)], End::Early));
    assert_eq!(resumptions(&host).len(), 1, "sent again although it may run only once");
}

/// Guards against a crash exactly between two events, or before the first one, that passes for the
/// end of the stream. Nothing in the bytes shows it, but the process is gone a moment later.
#[rstest]
fn a_crash_between_two_events_is_not_the_end_of_a_stream(
    #[values(Framing::Unframed, Framing::UnframedClose, Framing::Http10)] framing: Framing,
    // After the last one, the next upstream says that nothing is left.
    #[values(0, 1, 7, 10)] events: u64,
) {
    let host = Host::start_raw();
    let cut = Some(after(events, 0));
    host.standin.script(&[Script { framing, cut, end: Ending::Crash, ..WHOLE }]);
    let answer = prompt(&host, "talk");
    assert_eq!((answer.status, answer.body), (200, raw::events_after(0, "\n")));
    assert_eq!(resumptions(&host).len(), 2);
}

/// Guards against a whole stream without an end mark that is passed on without one: its caller could
/// not tell it from one that was broken off, and would lose its connection.
#[rstest]
fn a_whole_stream_without_an_end_mark_gets_one(
    #[values(
        Framing::Unframed,
        Framing::UnframedClose,
        Framing::UnframedKeepAlive,
        Framing::Http10
    )]
    framing: Framing,
    #[values("talk", "tell")] route: &str,
    #[values(Ending::Close, Ending::HalfClose)] end: Ending,
) {
    let host = Host::start_raw();
    host.standin.script(&[Script { framing, end, ..WHOLE }]);
    let answer = prompt(&host, route);
    assert_eq!((answer.status, &answer.body[..]), (200, &raw::events_after(0, "\n")[..]));
    assert_eq!(answer.end, End::Marked);
    assert!(!answer.head.contains("connection: close"), "{}", answer.head);
    // Another upstream says that nothing is left, if it may be asked.
    let asked = (route == "talk").then(|| Some("10".to_owned()));
    let expected: Vec<_> = std::iter::once(None).chain(asked).collect();
    assert_eq!(resumptions(&host), expected);
}

/// A framed stream still ends with its last chunk, on a connection that is kept.
#[rstest]
fn a_stream_with_an_end_mark_keeps_it(
    #[values(Framing::Length, Framing::Chunks)] framing: Framing,
    #[values("talk", "tell")] route: &str,
) {
    let host = Host::start_raw();
    host.standin.script(&[Script { framing, ..WHOLE }]);
    let answer = prompt(&host, route);
    assert_eq!((answer.body, answer.end), (raw::events_after(0, "\n"), End::Marked));
    assert!(!answer.head.contains("connection: close"), "{}", answer.head);
}

/// Guards against a whole stream that is told as broken since it began at an upstream that marks its
/// end and goes on at one that does not.
#[rstest]
fn a_stream_that_began_framed_and_goes_on_unframed_is_whole() {
    let host = Host::start_raw();
    let first = Script { cut: Some(after(4, 3)), ..WHOLE };
    host.standin.script(&[first, UNFRAMED]);
    let answer = prompt(&host, "talk");
    assert_eq!((answer.body, answer.end), (raw::events_after(0, "\n"), End::Marked));
}

/// The reverse.
#[rstest]
fn a_stream_that_began_unframed_and_goes_on_framed_is_whole() {
    let host = Host::start_raw();
    host.standin.script(&[Script { cut: Some(after(4, 3)), ..UNFRAMED }, WHOLE]);
    let answer = prompt(&host, "talk");
    assert_eq!((answer.body, answer.end), (raw::events_after(0, "\n"), End::Marked));
}

/// Guards against a stream that is cut whenever it is resumed: it ends without an end mark once no
/// upstream may be tried any more, and holds only whole events of it.
#[rstest]
fn a_stream_that_breaks_at_each_upstream_is_not_whole() {
    let host = Host::start_raw();
    let cut = |events| Some(after(events, 5));
    let scripts = [
        Script { cut: cut(2), end: Ending::Crash, ..WHOLE },
        Script { cut: cut(1), end: Ending::Crash, ..UNFRAMED },
    ];
    host.standin.script(&scripts);
    let answer = prompt(&host, "talk");
    let body = raw::events_after(0, "\n")[..after(3, 0)].to_owned();
    assert_eq!((answer.body, answer.end), (body, End::Early));
}

/// Guards against a comment after the last event that passes for the beginning of another one: it
/// belongs to no event, so that the stream is not broken.
#[rstest]
#[case::comment(": done\n")]
#[case::comment_without_a_line_end(": done")]
#[case::line_ends("\n\r\n")]
fn a_comment_after_the_last_event_breaks_nothing(#[case] rest: &'static str) {
    let host = Host::start_raw();
    let body: String = raw::events_after(0, "\n") + rest;
    let body: &'static str = Box::leak(body.into_boxed_str());
    host.standin.script(&[Script { body: Body::Text(body), ..WHOLE }]);
    let answer = prompt(&host, "talk");
    assert_eq!((&answer.body[..], answer.end), (body, End::Marked));
    assert_eq!(resumptions(&host).len(), 1);
}

/// Guards against a reader of events that knows only some of the line ends of the format (LF, CR LF
/// and CR): it would hold back a stream until its end, and resume it from its start.
#[rstest]
fn a_stream_with_any_line_end_goes_on_after_its_last_event(
    #[values("\n", "\r\n", "\r")] line_end: &'static str,
) {
    let host = Host::start_raw();
    let whole = raw::events_after(0, line_end);
    let cut = whole.len() - raw::events_after(4, line_end).len() + 3;
    host.standin.script(&[
        Script { line_end, cut: Some(cut), end: Ending::Reset, ..WHOLE },
        Script { line_end, ..WHOLE },
    ]);
    let answer = prompt(&host, "talk");
    assert_eq!((answer.body, answer.end), (whole, End::Marked));
    assert_eq!(resumptions(&host), [None, Some("4".to_owned())]);
}

/// Guards against an event that never ends and fills the host's memory: the stream is cut as soon
/// as the event is larger than any answer may be, not at its deadline.
#[rstest]
fn an_event_that_never_ends_does_not_fill_the_memory() {
    let host = Host::start_raw();
    let (body, end) = (Body::Text("data: x"), Ending::Endless);
    host.standin.script(&[Script { framing: Framing::Unframed, body, end, ..WHOLE }]);
    let began = std::time::Instant::now();
    let answer = prompt(&host, "tell");
    assert!(answer.body.len() < 12 << 20, "{} bytes", answer.body.len());
    assert!(began.elapsed() < std::time::Duration::from_secs(5), "{:?}", began.elapsed());
}

/// Guards against a stream that outlives its deadline because its upstream never pauses.
#[rstest]
fn a_stream_that_never_pauses_ends_at_its_deadline() {
    let host = Host::start_raw();
    let end = Ending::EndlessEvents;
    host.standin.script(&[Script { framing: Framing::Unframed, end, ..WHOLE }]);
    let began = std::time::Instant::now();
    let answer = prompt(&host, "tell");
    assert_eq!(answer.status, 200);
    // Its deadline is 8 s.
    assert!(began.elapsed() < std::time::Duration::from_secs(9), "{:?}", began.elapsed());
}

/// Guards against a caller that waits for an upstream which fell silent inside an event.
#[rstest]
fn a_stream_that_falls_silent_inside_an_event_goes_on_elsewhere() {
    let host = Host::start_raw();
    host.standin.script(&[Script { cut: Some(after(4, 9)), end: Ending::Silent, ..UNFRAMED }]);
    let answer = prompt(&host, "talk");
    assert_eq!((answer.body, answer.end), (raw::events_after(0, "\n"), End::Marked));
    assert_eq!(resumptions(&host), [None, Some("4".to_owned())]);
}

/// Guards against a whole plain answer without an end mark that is passed on without one.
#[rstest]
fn a_whole_answer_without_an_end_mark_gets_one(
    #[values(
        Framing::Unframed,
        Framing::UnframedClose,
        Framing::UnframedKeepAlive,
        Framing::Http10
    )]
    framing: Framing,
    #[values(200, 404, 500)] status: u16,
) {
    let host = Host::start_raw();
    host.standin.script(&[Script { framing, status, ..UNFRAMED_TEXT }]);
    let answer = book(&host);
    assert_eq!((answer.status, &answer.body[..]), (status, "booked for friday"));
    assert_eq!(answer.end, End::Marked);
    assert_eq!(resumptions(&host).len(), 1);
}

/// Guards against a body that came without an end mark and is cut for a slow caller.
#[rstest]
fn a_slow_caller_gets_all_of_a_body_without_an_end_mark() {
    let host = Host::start_raw();
    let long: &'static str = Box::leak("x".repeat(7 << 20).into_boxed_str());
    host.standin.script(&[Script { body: Body::Text(long), ..UNFRAMED_TEXT }]);
    let mut stream = std::net::TcpStream::connect(host.callers).unwrap();
    stream.set_read_timeout(Some(host::STEP_TIMEOUT)).unwrap();
    let booking = request("POST", "/book/1", "content-length: 0\r\n");
    std::io::Write::write_all(&mut stream, booking.as_bytes()).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(2_500));
    let answer = host::caller::read(&mut stream);
    assert_eq!((answer.body.len(), answer.end), (long.len(), End::Marked));
}

/// Guards against answers without a body that are taken for cut or in doubt, since they come with
/// neither a length nor chunks.
#[rstest]
fn an_answer_that_has_no_body_needs_no_end_mark(
    #[values(("HEAD", 200), ("GET", 204), ("GET", 304))] (method, status): (&str, u16),
) {
    let host = Host::start_raw();
    host.standin.script(&[Script { status, body: Body::Text(""), ..UNFRAMED_TEXT }]);
    let mut stream = std::net::TcpStream::connect(host.callers).unwrap();
    stream.set_read_timeout(Some(host::STEP_TIMEOUT)).unwrap();
    let look = request(method, "/look/1", "");
    std::io::Write::write_all(&mut stream, look.as_bytes()).unwrap();
    let mut head = [0; 1024];
    let length = std::io::Read::read(&mut stream, &mut head).unwrap();
    let head = String::from_utf8_lossy(&head[..length]).to_ascii_lowercase();
    assert!(head.starts_with(&format!("http/1.1 {status} ")), "{head}");
    assert!(!head.contains("connection: close") && head.ends_with("\r\n\r\n"), "{head}");
    assert_eq!(resumptions(&host).len(), 1);
}

/// An empty answer that ends with its connection is whole as any other.
#[rstest]
fn an_empty_answer_without_an_end_mark_gets_one() {
    let host = Host::start_raw();
    host.standin.script(&[Script { body: Body::Text(""), ..UNFRAMED_TEXT }]);
    let answer = look(&host);
    assert_eq!((answer.status, &answer.body[..], answer.end), (200, "", End::Marked));
}

/// Guards against half a booking that passes for a whole one after a crash. It may have run, so the
/// answer must not promise that it did not, and it must not be sent again.
#[rstest]
fn a_booking_whose_upstream_crashed_is_unknown() {
    let host = Host::start_raw();
    host.standin.script(&[Script { cut: Some(6), end: Ending::Crash, ..UNFRAMED_TEXT }]);
    let answer = book(&host);
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(resumptions(&host).len(), 1);
}

/// Guards against half a lookup that passes for a whole one after a crash: it is asked again.
#[rstest]
fn a_lookup_whose_upstream_crashed_is_asked_again() {
    let host = Host::start_raw();
    let whole = Script { framing: Framing::Length, ..UNFRAMED_TEXT };
    host.standin.script(&[Script { cut: Some(6), end: Ending::Crash, ..UNFRAMED_TEXT }, whole]);
    let answer = look(&host);
    assert_eq!((answer.status, &answer.body[..]), (200, "booked for friday"));
    assert_eq!(answer.end, End::Marked);
}

/// A JSON body that parses is a proof of its own, whatever its framing, and one that ends before
/// its value does is half of one.
#[rstest]
fn a_json_answer_without_an_end_mark_shows_whether_it_is_whole() {
    let host = Host::start_raw();
    let body = Body::Text("{\"booked\": [\"friday\"]}");
    let json = Script { content_type: "application/json", body, ..UNFRAMED_TEXT };
    host.standin.script(&[Script { cut: Some(12), ..json }, json]);
    let answer = look(&host);
    assert_eq!((answer.status, &answer.body[..]), (200, "{\"booked\": [\"friday\"]}"));
    assert_eq!(answer.end, End::Marked);
    assert_eq!(resumptions(&host).len(), 2);
}

/// Returns how many of 24 prompts, each answered by `script`, each engine gets.
fn shares(script: Script, end: End) -> [usize; 2] {
    let host = Host::start_raw();
    host.standin.script(&[script; 24]);
    for _ in 0..24 {
        let answer = prompt(&host, "talk");
        assert_eq!((answer.body, answer.end), (raw::events_after(0, "\n"), end));
    }
    assert_eq!(host.quarantined_count(), 0);
    let requests = host.standin.received_requests();
    let (first, again): (Vec<_>, Vec<_>) =
        requests.iter().partition(|request| !request.headers.contains_key("last-event-id"));
    assert_eq!(first.len(), 24, "a stream was read twice from its start");
    // Half of the retries that this host may make: of 50, and of a fifth of 24 requests.
    assert!(again.len() <= 17, "{} ends were confirmed", again.len());
    ["e1", "e2"].map(|upstream| first.iter().filter(|request| request.upstream == upstream).count())
}

/// Guards against upstreams that are avoided or taken for crashed since they mark no end: they get
/// the same requests as if they did, each stream is read once, and nothing is quarantined.
#[rstest]
fn upstreams_that_mark_no_end_are_not_punished() {
    assert_eq!(shares(UNFRAMED, End::Marked), shares(WHOLE, End::Marked));
}

/// Guards against requests on a caller's connection that are lost behind a stream that came without
/// an end mark.
#[rstest]
fn a_request_behind_a_stream_without_an_end_mark_is_answered() {
    let host = Host::start_raw();
    host.standin.script(&[UNFRAMED]);
    let tokens = "lagoonline-token-count: 5000,400\r\ncontent-length: 0\r\n";
    let stream = request("POST", "/tell/a", tokens);
    let booking = request("POST", "/book/1", "content-length: 0\r\nconnection: close\r\n");
    let mut connection = std::net::TcpStream::connect(host.callers).unwrap();
    connection.set_read_timeout(Some(host::STEP_TIMEOUT)).unwrap();
    std::io::Write::write_all(&mut connection, (stream + &booking).as_bytes()).unwrap();
    let mut answers = String::new();
    std::io::Read::read_to_string(&mut connection, &mut answers).unwrap();
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers}");
    assert_eq!(resumptions(&host).len(), 2);
}

/// Guards against a stream to a caller of HTTP/1.0, which knows no chunks, that looks whole after
/// it was broken off: it gets a failure, and a whole one with a length.
#[rstest]
#[case::broken(Some(after(4, 9)), 502)]
#[case::whole(None, 200)]
fn an_old_caller_gets_a_whole_stream_or_a_failure(#[case] cut: Option<usize>, #[case] status: u16) {
    let host = Host::start_raw();
    host.standin.script(&[Script { cut, ..WHOLE }]);
    let tokens = "lagoonline-token-count: 5000,400\r\ncontent-length: 0\r\n";
    let request = request("POST", "/tell/a", tokens).replace("HTTP/1.1", "HTTP/1.0");
    let answer = call(host.callers, &request);
    assert_eq!((answer.status, answer.end), (status, End::Marked));
    assert!(cut.is_some() || answer.body == raw::events_after(0, "\n"), "{answer:?}");
}

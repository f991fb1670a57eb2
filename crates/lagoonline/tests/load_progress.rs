//! Which bytes of an upstream exceed the bounds on bytes that become no answer, and which do not.

use lagoonline::clock::{Moment, Span};
use lagoonline::event_stream::Rest;
use lagoonline::load::progress::{Body, Connection, Settings, Stream, Violation};

fn at(millis: u64) -> Moment {
    Moment::START + Span::from_millis(millis)
}

fn connection() -> Connection {
    let mut watch = Connection::default();
    watch.begin_head();
    watch
}

// Guards against informational heads that are taken for progress. They are counted together with
// the head that they announce, and they may be far apart.
#[test]
fn informational_heads_count_towards_one_bound() {
    let mut watch = connection();
    let head = b"HTTP/1.1 103 Early Hints\r\n\r\n";
    let mut accepted = 0;
    while watch.receive(head, at(accepted * 60_000)).is_ok() {
        accepted += 1;
    }
    let limit = Settings::default().head_bytes;
    assert_eq!(accepted as usize, limit.div_ceil(head.len()));
}

// Guards against a body that is counted as a head because both arrive in one read.
#[test]
fn a_body_that_comes_with_its_head_is_no_head() {
    let mut watch = connection();
    let mut read = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
    read.resize(128 << 10, b'x');
    assert_eq!(watch.receive(&read, at(0)), Ok(()));
    watch.begin_body();
    assert_eq!(watch.receive(&read, at(0)), Ok(()));
}

// Guards against a head that arrives a byte a second, and against one that is interrupted by a lost
// packet or by the work of its upstream and is taken for such a one.
#[test]
fn only_a_head_of_many_pieces_is_slow() {
    let mut watch = connection();
    for second in 0..3 {
        assert_eq!(watch.receive(b"H", at(second * 1_000)), Ok(()));
    }
    assert_eq!(watch.receive(b"H", at(3_000)), Err(Violation::SlowHead));
    let mut watch = connection();
    assert_eq!(watch.receive(b"HTTP/1.1 200 OK\r\n", at(0)), Ok(()));
    assert_eq!(watch.receive(b"x-a: b\r\n", at(60_000)), Ok(()));
    assert_eq!(watch.receive(b"\r\n", at(120_000)), Ok(()));
}

// Guards against chunks whose line ends and sizes arrive apart from their content, minutes apart,
// and are taken for bytes without content.
#[test]
fn the_frame_of_a_chunk_is_no_violation() {
    let mut watch = connection();
    watch.begin_body();
    for minute in 0..100 {
        let now = at(minute * 60_000);
        assert_eq!(watch.receive(b"5\r\n", now), Ok(()));
        assert_eq!(watch.receive(b"words", now), Ok(()));
        watch.deliver();
        assert_eq!(watch.receive(b"\r\n", now), Ok(()));
    }
}

// Guards against a body that begins fast and then trickles, which a mean over all of it hides.
#[test]
fn a_body_that_becomes_slow_is_a_violation() {
    let mut watch = Body::new(8 << 20);
    for piece in 0..100 {
        assert_eq!(watch.receive(60_000, at(piece * 100)), Ok(()));
    }
    let slow = (10..).map(|second| watch.receive(1, at(second * 1_000)));
    let accepted = slow.take_while(Result::is_ok).count();
    assert!(accepted <= 8, "{accepted}");
}

// Guards against a body that is cut because it pauses or is slow but steady.
#[test]
fn a_slow_body_is_no_violation() {
    let mut watch = Body::new(8 << 20);
    for second in 0..1_000 {
        assert_eq!(watch.receive(100, at(second * 1_000)), Ok(()));
    }
    let mut watch = Body::new(8 << 20);
    assert_eq!(watch.receive(10, at(0)), Ok(()));
    assert_eq!(watch.receive(10, at(100_000)), Ok(()));
    assert_eq!(Body::new(5).receive(6, at(0)), Err(Violation::Body));
}

// Guards against keep-alive comments that hold a stream for ever, and against ones before the first
// event, while a prompt waits, that end it early.
#[test]
fn comments_are_no_events() {
    let comment_after = |has_event: bool| {
        let mut watch = Stream::new(at(0));
        if has_event {
            watch.complete_event(at(0));
        }
        let comments = (1..).map(|second| watch.receive(8, Rest::Nothing, at(second * 1_000)));
        1 + comments.take_while(|checked| *checked != Err(Violation::NoEvent)).count()
    };
    assert_eq!(comment_after(true), 10);
    assert_eq!(comment_after(false), 30);
}

// Guards against a large event, which arrives over seconds, that is taken for a slow one.
#[test]
fn a_large_event_is_no_slow_one() {
    let mut watch = Stream::new(at(0));
    for piece in 1..100 {
        assert_eq!(watch.receive(60_000, Rest::Event, at(piece * 90)), Ok(()));
    }
    let mut watch = Stream::new(at(0));
    let slow = (0..).map(|second| watch.receive(1, Rest::Event, at(second * 1_000)));
    assert_eq!(slow.take_while(Result::is_ok).count(), 3);
}

// Guards against content of single bytes, which costs a host much more than its size tells. Events
// are counted one by one.
#[test]
fn content_in_too_many_pieces_is_a_violation() {
    let most = Settings::default().max_pieces as usize;
    let mut watch = Body::new(8 << 20);
    let accepted = (0..).take_while(|_| watch.receive(1, at(0)).is_ok()).count();
    assert_eq!(accepted, most);
    assert_eq!(watch.receive(1, at(0)), Err(Violation::Pieces));
    let mut watch = Stream::new(at(0));
    for _ in 0..most * 2 {
        watch.complete_event(at(0));
        assert_eq!(watch.receive(1, Rest::Event, at(0)), Ok(()));
    }
    let accepted = (1..).take_while(|_| watch.receive(1, Rest::Event, at(0)).is_ok()).count();
    assert_eq!(accepted + 1, most);
    assert_eq!(watch.receive(1, Rest::Event, at(0)), Err(Violation::Pieces));
}

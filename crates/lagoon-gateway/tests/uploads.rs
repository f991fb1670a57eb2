//! Tests, over sockets, that upstreams get the bodies of callers unchanged.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::io::Write;
use std::net;

use rstest::rstest;

use host::{Host, caller};

/// Size of the segments in which a host keeps a body.
const SEGMENT: usize = 64 << 10;

/// Returns `length` bytes of which no two segments are alike.
fn body(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index % 251) as u8 ^ (index / SEGMENT) as u8).collect()
}

/// Returns `body` in chunks of `size` bytes.
fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let chunk = |part: &[u8]| [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
    let chunks: Vec<_> = body.chunks(size).map(chunk).collect();
    [chunks.concat(), b"0\r\n\r\n".to_vec()].concat()
}

/// Sends a booking with `field` and `sent` behind its head. Returns the status and the body that an upstream
/// got.
fn book(host: &Host, field: &str, sent: Vec<u8>) -> (u16, Option<Vec<u8>>) {
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n{field}\r\n\r\n"
    );
    let mut stream = net::TcpStream::connect(host.callers).unwrap();
    stream.set_read_timeout(Some(host::STEP_TIMEOUT)).unwrap();
    stream.write_all(&[head.into_bytes(), sent].concat()).unwrap();
    let status = caller::read(&mut stream).status;
    let received = host.standin.received_requests();
    let request = received.into_iter().find(|request| request.path == "/book/1");
    (status, request.map(|request| request.body))
}

/// Guards against a body that is cut, doubled or out of order where it is kept in segments.
#[rstest]
fn bodies_arrive_unchanged(
    #[values(0, 1, SEGMENT - 1, SEGMENT, SEGMENT + 1, 3 * SEGMENT, 1_000_000)] length: usize,
    #[values(None, Some(777), Some(100_000))] chunk: Option<usize>,
) {
    let host = Host::start();
    let body = body(length);
    let (status, received) = match chunk {
        Some(size) => book(&host, "transfer-encoding: chunked", chunked(&body, size)),
        None => book(&host, &format!("content-length: {length}"), body.clone()),
    };
    assert_eq!((status, received.as_ref().map(Vec::len)), (200, Some(length)));
    assert!(received == Some(body));
}

/// Guards against refusing a single request for what only crowds may not do.
#[rstest]
#[case::chunks_of_one_byte(chunked(&body(100_000), 1), body(100_000))]
#[case::extensions(b"5;name=value\r\nhello\r\n0;last\r\n\r\n".to_vec(), b"hello".to_vec())]
fn an_unusual_body_is_served_in_calm(#[case] sent: Vec<u8>, #[case] body: Vec<u8>) {
    let (status, received) = book(&Host::start(), "transfer-encoding: chunked", sent);
    assert_eq!(status, 200);
    assert!(received == Some(body));
}

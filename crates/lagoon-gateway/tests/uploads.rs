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

/// Guards against a body that is cut, doubled or out of order where it is kept in segments.
#[rstest]
fn bodies_arrive_unchanged(
    #[values(0, 1, SEGMENT - 1, SEGMENT, SEGMENT + 1, 3 * SEGMENT, 1_000_000)] length: usize,
    #[values(None, Some(777), Some(100_000))] chunk: Option<usize>,
) {
    let host = Host::start();
    let body = body(length);
    let (field, sent) = match chunk {
        Some(size) => ("transfer-encoding: chunked".to_owned(), chunked(&body, size)),
        None => (format!("content-length: {length}"), body.clone()),
    };
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n{field}\r\n\r\n"
    );
    let mut stream = net::TcpStream::connect(host.callers).unwrap();
    stream.set_read_timeout(Some(host::STEP_TIMEOUT)).unwrap();
    stream.write_all(&[head.into_bytes(), sent].concat()).unwrap();
    assert_eq!(caller::read(&mut stream).status, 200);
    let received = host.standin.received_requests();
    let request = received.iter().find(|request| request.path == "/book/1").unwrap();
    assert_eq!(request.body.len(), length);
    assert!(request.body == body);
}

//! A caller that reads an answer by its framing, and tells how it ended.

use std::io::{ErrorKind, Read, Write};
use std::net;

/// How an answer ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// By its length or last chunk: the host says that it is whole.
    Marked,
    /// With its connection, as the answer's head announced: the host says nothing.
    Closed,
    /// Before its end was marked: the host says that it is broken.
    Early,
}

/// An answer as its caller got it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    pub end: End,
}

/// Sends `request` and reads one answer.
pub fn call(address: net::SocketAddr, request: &str) -> Answer {
    let mut stream = net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(super::STEP_TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    read(&mut stream)
}

/// Reads one answer.
pub fn read(stream: &mut net::TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let mut is_reset = false;
    let mut buffer = [0; 4096];
    loop {
        if let Some(answer) = marked_answer(&bytes) {
            return answer;
        }
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                is_reset = true;
                break;
            }
            Err(error) => panic!("no end of the answer: {error} after {}", bytes.len()),
        }
    }
    ended_answer(&bytes, is_reset)
}

fn split(bytes: &[u8]) -> Option<(u16, String, &[u8])> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head, &bytes[end + 4..]))
}

fn length(head: &str) -> Option<usize> {
    head.lines().find_map(|line| line.strip_prefix("content-length: "))?.trim().parse().ok()
}

/// Returns the answer in `bytes` if its end is marked there.
fn marked_answer(bytes: &[u8]) -> Option<Answer> {
    let (status, head, body) = split(bytes)?;
    let body = if head.contains("transfer-encoding: chunked") {
        dechunk(body).1.then(|| dechunk(body).0)?
    } else {
        let length = length(&head)?;
        body.get(..length)?.to_vec()
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Answer { status, head, body, end: End::Marked })
}

/// Returns the answer in `bytes`, whose connection has ended.
fn ended_answer(bytes: &[u8], is_reset: bool) -> Answer {
    let Some((status, head, body)) = split(bytes) else {
        return Answer { status: 0, head: String::new(), body: String::new(), end: End::Early };
    };
    let is_chunked = head.contains("transfer-encoding: chunked");
    let is_marked = is_chunked || length(&head).is_some();
    let body = if is_chunked { dechunk(body).0 } else { body.to_vec() };
    let end = if is_marked || is_reset { End::Early } else { End::Closed };
    Answer { status, head, body: String::from_utf8_lossy(&body).into_owned(), end }
}

/// Returns the content of chunks, and whether the last one is there.
fn dechunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut content = Vec::new();
    while let Some(end) = rest.windows(2).position(|part| part == b"\r\n") {
        let size = std::str::from_utf8(&rest[..end]).unwrap();
        let size = usize::from_str_radix(size.trim(), 16).unwrap();
        if size == 0 {
            return (content, true);
        }
        let Some(chunk) = rest.get(end + 2..end + 2 + size) else { break };
        content.extend_from_slice(chunk);
        rest = rest.get(end + 4 + size..).unwrap_or_default();
    }
    (content, false)
}

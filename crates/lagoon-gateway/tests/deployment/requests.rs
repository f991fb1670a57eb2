//! Requests of callers.

use std::io::Read;
use std::net;
use std::time;

use rand::Rng;
use rand::rngs::StdRng;

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: time::Instant,
    pub service: &'static str,
    /// Time that its caller gave it.
    pub left: time::Duration,
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    path: &'static str,
    pub service: &'static str,
    tokens: u32,
    /// Time that its caller gives it.
    pub left: time::Duration,
    /// Whether its caller sends it again after any failure.
    pub may_repeat: bool,
}

impl Shape {
    /// Draws a request as often as its kind comes.
    pub fn draw(random: &mut StdRng) -> Shape {
        let stream = |path, tokens, seconds| {
            let left = time::Duration::from_secs(seconds);
            Shape { path, service: "llm", tokens, left, may_repeat: true }
        };
        let plain = |path, may_repeat| {
            let left = time::Duration::from_secs(3);
            Shape { path, service: "app", tokens: 0, left, may_repeat }
        };
        match random.random_range(0.0..48.8) {
            ..38.3 => stream("/talk/a", 5_000, 10),
            38.3..40.4 => stream("/review/a", 45_000, 10),
            40.4..42.2 => stream("/review/b", 133_000, 15),
            42.2..45.8 => plain("/book/a", false),
            _ => plain("/look/a", true),
        }
    }

    /// Returns the request on the wire.
    pub fn request(self, id: &str, left: time::Duration) -> String {
        let Shape { path, tokens, .. } = self;
        let method = if path == "/look/a" { "GET" } else { "POST" };
        let tokens = if tokens > 0 {
            format!("lagoonline-token-count: {tokens},400\r\n")
        } else {
            String::new()
        };
        format!(
            "{method} {path} HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: {id}\r\n\
             authorization: Token k1\r\nlagoonline-request-deadline: {}\r\n{tokens}\
             content-length: 0\r\n\r\n",
            left.as_millis()
        )
    }
}

/// Reads one answer as far as it comes.
pub fn read_answer(stream: &mut net::TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length = length.and_then(|length| length.parse::<usize>().ok());
            if length.is_some_and(|length| body.len() >= length) || body.ends_with("0\r\n\r\n") {
                return text.into_owned();
            }
        }
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            _ => return String::from_utf8_lossy(&bytes).into_owned(),
        }
    }
}

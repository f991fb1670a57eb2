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
    /// Upstreams on which it may run.
    pub max_runs: usize,
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
    /// Upstreams on which it may run.
    pub max_runs: usize,
    /// When its caller leaves, if earlier.
    pub stays: Option<time::Duration>,
}

/// How often each kind of request comes.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Short, long and very long prompts, bookings and lookups.
    pub shares: [f64; 5],
    /// Time that callers give calls of the plain service, in milliseconds.
    pub call_left_ms: u64,
}

impl Default for Mix {
    fn default() -> Self {
        Mix { shares: [38.3, 2.1, 1.8, 3.6, 3.0], call_left_ms: 3_000 }
    }
}

impl Mix {
    /// Draws a request as often as its kind comes.
    pub fn draw(&self, random: &mut StdRng) -> Shape {
        let stream = |path, tokens, seconds| {
            let left = time::Duration::from_secs(seconds);
            let (may_repeat, max_runs, stays) = (true, 2, None);
            Shape { path, service: "llm", tokens, left, may_repeat, max_runs, stays }
        };
        let plain = |path, may_repeat, max_runs| {
            let left = time::Duration::from_millis(self.call_left_ms);
            Shape { path, service: "app", tokens: 0, left, may_repeat, max_runs, stays: None }
        };
        let mut drawn = random.random_range(0.0..self.shares.iter().sum());
        let chosen = self.shares.iter().position(|share| {
            drawn -= share;
            drawn < 0.0
        });
        match chosen {
            Some(0) => stream("/talk/a", 5_000, 10),
            Some(1) => stream("/review/a", 45_000, 10),
            Some(2) => stream("/review/b", 133_000, 15),
            Some(3) => plain("/book/a", false, 1),
            _ => plain("/look/a", true, 2),
        }
    }
}

impl Shape {
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

/// Reads one answer as far as it comes before `until`.
pub fn read_answer(stream: &mut net::TcpStream, until: time::Instant) -> String {
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
        let left = until.saturating_duration_since(time::Instant::now());
        if left.is_zero() {
            return text.into_owned();
        }
        stream.set_read_timeout(Some(left)).unwrap();
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            _ => return String::from_utf8_lossy(&bytes).into_owned(),
        }
    }
}

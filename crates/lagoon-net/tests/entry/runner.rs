//! Stand-in for a replica of a plain service ("runner") that treats every call in the same way.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::thread;
use std::time;

/// What the runner does with every call.
#[derive(Clone, Copy)]
pub enum Runner {
    Answer,
    /// Like `Answer`, after a delay.
    AnswerSlowly,
    /// Responds as to HEAD: the head of a long body, without the body.
    AnswerHead,
    AnswerOtherAttempt,
    /// Answers with a body that ends with its connection.
    AnswerUnframed,
    /// The same, by HTTP/1.0.
    AnswerHttp10,
    /// Answers in chunks.
    AnswerInChunks,
    /// The same, but closes before the last chunk.
    BreakOffChunks,
    /// Closes before the last bytes of a body of [`LONG_BODY`] bytes.
    BreakOffLength,
    CloseAfterReading,
    /// Closes after this many bytes of the head of its answer.
    CloseInsideHead(usize),
    RefuseAsNotRun,
}

/// Length of a body that is streamed to the caller, since it is too long to be read first.
pub const LONG_BODY: usize = 300_000;

/// Starts a runner that accepts one call per connection. Returns its address and the calls that it
/// read.
pub fn start(runner: Runner) -> (net::SocketAddr, sync::Arc<sync::Mutex<Vec<String>>>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let calls = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let seen = calls.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let call = read_call(&mut stream);
            let attempt = call.split("lagoon-attempt: ").nth(1).unwrap_or_default();
            let attempt = attempt.split("\r\n").next().unwrap_or_default().to_owned();
            seen.lock().unwrap().push(call);
            if matches!(runner, Runner::AnswerSlowly) {
                thread::sleep(time::Duration::from_millis(100));
            }
            let _sent = stream.write_all(answer(runner, &attempt).as_bytes());
        }
    });
    (address, calls)
}

fn answer(runner: Runner, attempt: &str) -> String {
    let other = "0".repeat(32);
    match runner {
        Runner::AnswerHead => format!(
            "HTTP/1.1 200 OK\r\nLagoon-Attempt: {attempt}\r\nContent-Length: 12345\r\n\
             Connection: close\r\n\r\n"
        ),
        Runner::Answer | Runner::AnswerSlowly => format!(
            "HTTP/1.1 201 Created\r\nLagoon-Attempt: {attempt}\r\nX-Tin: 7\r\n\
             Content-Length: 3\r\nConnection: close\r\n\r\nbin"
        ),
        Runner::AnswerOtherAttempt => {
            format!("HTTP/1.1 200 OK\r\nLagoon-Attempt: {other}\r\nContent-Length: 3\r\n\r\nbad")
        }
        Runner::AnswerUnframed => format!(
            "HTTP/1.1 201 Created\r\nLagoon-Attempt: {attempt}\r\nConnection: close\r\n\r\nbin"
        ),
        Runner::AnswerHttp10 => {
            format!("HTTP/1.0 201 Created\r\nLagoon-Attempt: {attempt}\r\n\r\nbin")
        }
        Runner::AnswerInChunks => {
            format!("{}0\r\n\r\n", answer(Runner::BreakOffChunks, attempt))
        }
        Runner::BreakOffChunks => format!(
            "HTTP/1.1 201 Created\r\nLagoon-Attempt: {attempt}\r\nTransfer-Encoding: chunked\r\n\
             Connection: close\r\n\r\n3\r\ntin\r\n3\r\ncan\r\n"
        ),
        Runner::BreakOffLength => format!(
            "HTTP/1.1 201 Created\r\nLagoon-Attempt: {attempt}\r\nContent-Length: {LONG_BODY}\r\n\
             Connection: close\r\n\r\n{}",
            "t".repeat(LONG_BODY - 40)
        ),
        Runner::CloseAfterReading => String::new(),
        Runner::CloseInsideHead(length) => {
            let whole = answer(Runner::Answer, attempt);
            let head = whole.split_once("\r\n\r\n").unwrap().0;
            whole[..length.min(head.len() + 3)].to_owned()
        }
        Runner::RefuseAsNotRun => "HTTP/1.1 503 Service Unavailable\r\nLagoon-Not-Run: 1\r\n\
             Content-Length: 0\r\nConnection: close\r\n\r\n"
            .to_owned(),
    }
}

/// Reads a call and returns its head in lower case and its body, chunked or not.
pub fn read_call(stream: &mut net::TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 65_536];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_lowercase();
            let length = head.split("content-length: ").nth(1).unwrap_or("0");
            let length: usize = length.split("\r\n").next().unwrap().parse().unwrap();
            let chunked = head.contains("transfer-encoding: chunked");
            if (chunked && body.ends_with("0\r\n\r\n")) || (!chunked && body.len() >= length) {
                return format!("{head}\r\n\r\n{body}");
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return text,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

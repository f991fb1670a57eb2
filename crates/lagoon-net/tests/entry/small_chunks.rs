//! Answers in chunks of one byte, as fast as they are taken.

use std::io;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use lagoon_net::entry;
use rstest::rstest;

use crate::host;
use crate::runner;

/// Time in which a call beside such answers gets its own.
const LIMIT: time::Duration = time::Duration::from_secs(1);
/// Number of such answers.
const POURING: usize = 4;

/// Starts an upstream that answers each call in chunks of one byte, without end.
fn start_pouring() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || pour(&mut stream.unwrap()));
        }
    });
    address
}

fn pour(stream: &mut net::TcpStream) {
    let call = runner::read_call(stream);
    let attempt = call.split("lagoon-attempt: ").nth(1).unwrap_or_default();
    let attempt = attempt.split("\r\n").next().unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nLagoon-Attempt: {attempt}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let chunks = "1\r\nx\r\n".repeat(8 << 10);
    let mut sent = stream.write_all(head.as_bytes());
    while sent.is_ok() {
        sent = stream.write_all(chunks.as_bytes());
    }
}

/// Guards against a worker that only reads such answers while it has calls of other callers.
#[rstest]
#[case::engine("POST", "/v1/completions", &host::completion("tin", 8, true))]
#[case::service("GET", "/services/spill/x", "")]
fn callers_beside_an_answer_in_chunks_of_one_byte_are_served(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
) {
    let pouring = start_pouring();
    let (sound, _calls) = runner::start(runner::Runner::Answer);
    let services = [("spill", pouring), ("pickup", sound)];
    let settings = host::settings(vec![host::section(&[pouring], &services, true)]);
    let settings = entry::Settings { workers: 1, ..settings };
    let host = host::Host { running: entry::start(settings).unwrap(), engines: Vec::new() };
    let streams: Vec<_> = (0..POURING)
        .map(|_| {
            let mut stream = host.connect();
            let deadline = "Lagoon-Deadline-Ms: 4000\r\n";
            stream.write_all(&host::request(method, path, deadline, body)).unwrap();
            let mut reader = stream.try_clone().unwrap();
            thread::spawn(move || io::copy(&mut reader, &mut io::sink()));
            stream
        })
        .collect();
    thread::sleep(time::Duration::from_millis(200));
    let late: Vec<_> = (0..10)
        .map(|_| {
            let began = time::Instant::now();
            let answer = host.exchange(&host::request("GET", "/services/pickup/x", "", ""));
            (host::status(&answer).to_owned(), began.elapsed())
        })
        .filter(|(status, span)| status != "201" || *span > LIMIT)
        .collect();
    streams.iter().for_each(|stream| drop(stream.shutdown(net::Shutdown::Both)));
    assert!(late.is_empty(), "{} of 10: {late:?}", late.len());
    host.finish();
}

//! Tests of a host that gets most of the new connections of its zone.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::io::{Read, Write};
use std::net;
use std::thread;
use std::time;

use rstest::rstest;

use host::{Host, HostSettings, STEP_TIMEOUT, desired};
use standin::Standin;

/// Number of engines behind the hosts.
const ENGINES: usize = 8;
/// Callers that connect at the same time.
const CALLERS: usize = 8;
/// Requests of each caller, every one on a new connection, which stays open.
const REQUESTS: usize = 120;
/// Pause of a caller between two requests.
const PAUSE: time::Duration = time::Duration::from_millis(20);
/// Bound on the age of keys, which is no subject here.
const REVOKE_MS: u64 = 20_000;

fn start(relay_hosts: u64) -> (Standin, Vec<Host>) {
    let standin = Standin::start();
    standin.put("op", "config", &desired(1, &["k1"], 10_000));
    for number in 0..ENGINES {
        standin.upstream(&format!("e{number}"), "llm", 16);
    }
    let settings = HostSettings { relay_hosts, revoke_ms: REVOKE_MS, ..HostSettings::default() };
    let hosts = ["h1", "h2", "h3"]
        .map(|name| Host::join(&standin, HostSettings { name, zone: "a", ..settings }));
    (standin, hosts.into())
}

/// Sends a prompt on a new connection. Returns the connection and whether it was answered.
fn call(address: net::SocketAddr, number: usize) -> (net::TcpStream, bool) {
    let mut stream = net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    let head = format!(
        "POST /talk/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: s{number}\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n\
         lagoonline-token-count: 500,40\r\ncontent-length: 2\r\n\r\nhi"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !bytes.ends_with(b"0\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            _ => break,
        }
    }
    let is_served = bytes.starts_with(b"HTTP/1.1 200") && bytes.ends_with(b"0\r\n\r\n");
    (stream, is_served)
}

/// Lets all callers send to `address` of each of their turns. Returns the share that was served, and
/// how long the answer took that was slower than 95 in 100.
fn load(addresses: &[net::SocketAddr]) -> (f64, time::Duration) {
    let callers = (0..CALLERS).map(|caller| {
        let addresses = addresses.to_vec();
        thread::spawn(move || {
            let mut open = Vec::new();
            let mut results = Vec::new();
            for number in 0..REQUESTS {
                let began = time::Instant::now();
                let address = addresses[(caller + number) % addresses.len()];
                let (stream, is_served) = call(address, caller * REQUESTS + number);
                results.push((is_served, began.elapsed()));
                open.push(stream);
                thread::sleep(PAUSE);
            }
            results
        })
    });
    let callers: Vec<_> = callers.collect();
    let results = callers.into_iter().flat_map(|caller| caller.join().unwrap());
    let results: Vec<_> = results.collect();
    let served = results.iter().filter(|(is_served, _)| *is_served).count();
    let mut times: Vec<_> = results.iter().map(|(_, span)| *span).collect();
    times.sort();
    (served as f64 / results.len() as f64, times[times.len() * 95 / 100])
}

/// Guards against a host that serves its callers worse while it gets most of the new connections of
/// its zone.
#[rstest]
#[case::each_host_places(6)]
#[case::one_host_places(2)]
fn a_host_with_most_new_connections_serves_as_before(#[case] relay_hosts: u64) {
    let (_standin, hosts) = start(relay_hosts);
    let all: Vec<_> = hosts.iter().map(|host| host.callers).collect();
    let before = load(&all);
    for host in [&hosts[2], &hosts[0]] {
        let skewed = load(&[host.callers]);
        println!("before {before:?}, all at one host {skewed:?}");
        assert!(skewed.0 >= before.0 * 0.75, "{skewed:?} after {before:?}");
    }
}

//! Tests, over sockets, that callers which read nothing neither fill the host's memory nor hold up
//! callers which read.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::io::{Read, Write};
use std::net;
use std::thread;
use std::time;

use host::{Host, HostSettings, desired, send_request, send_request_for_head, start_upstreams};
use rstest::rstest;
use standin::raw::{Body, End, Framing, Script, WHOLE};

/// Memory of the host in MB, within which the whole test process has to stay.
const MEMORY_MB: u64 = 112;
/// Number of callers that read nothing.
const SLOW_CALLERS: usize = 120;
/// Number of callers that read all the time.
const FAST_CALLERS: usize = 10;
/// Time for which callers read.
const READ_TIME: time::Duration = time::Duration::from_secs(19);
/// Longest pause of a stream of an event each 10 ms on a busy machine.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(1_500);

const STREAM: &str = "HTTP/1.1 200 OK\r\nlagoonline-response-signature: e\r\n\
    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Returns a stream of events of `length` bytes, with a pause in milliseconds after each.
fn stream(length: usize, pause: u64) -> Script {
    let event = format!("data: {}\n\n", "x".repeat(length));
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    let end = End::Repeat(Box::leak(chunk.into_boxed_str()), pause);
    Script { framing: Framing::Verbatim, body: Body::Text(STREAM), end, ..WHOLE }
}

fn request(id: &str) -> String {
    format!(
        "POST /tell/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: {id}\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 25000\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Sends a request on a connection that takes a few KB while nobody reads it.
fn send_slow(address: net::SocketAddr, number: usize) -> net::TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    socket.connect(&address.into()).unwrap();
    let mut stream = net::TcpStream::from(socket);
    stream.write_all(request(&format!("slow{number}")).as_bytes()).unwrap();
    stream
}

/// Reads a stream for [`READ_TIME`]. Returns the longest pause, and whether it was still open then.
fn read_fast(address: net::SocketAddr, number: usize) -> (time::Duration, bool) {
    let mut stream = net::TcpStream::connect(address).unwrap();
    stream.write_all(request(&format!("fast{number}")).as_bytes()).unwrap();
    stream.set_read_timeout(Some(host::STEP_TIMEOUT)).unwrap();
    let mut buffer = [0; 64 << 10];
    let (began, mut last) = (time::Instant::now(), time::Instant::now());
    let mut longest = time::Duration::ZERO;
    while began.elapsed() < READ_TIME {
        if stream.read(&mut buffer).unwrap() == 0 {
            return (longest, false);
        }
        longest = longest.max(last.elapsed());
        last = time::Instant::now();
    }
    (longest, true)
}

/// Returns the value of a metric of the host.
fn metric(host: &Host, name: &str) -> u64 {
    let text = send_request(host.ready, "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n").1;
    let name = format!("lagoon_gateway_{name} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&name)).unwrap();
    line.parse().unwrap()
}

/// Returns the largest resident memory of this process so far, in MB.
fn peak_memory_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() >> 10
}

/// Guards against hundreds of callers that read nothing: without a bound the process is killed, and
/// with it the streams of callers that read. Those must go on without a pause, new requests must be
/// refused before the memory is full, as certainly not run, and nothing may stay held afterwards.
#[rstest]
fn callers_that_read_nothing_give_way() {
    let standin = start_upstreams(|standin, name, service, _| {
        standin.raw_upstream(name, service, 1_000);
    });
    standin.put("op", "config", &desired(1, &["k1"], 25_000));
    let settings = HostSettings { memory_mb: MEMORY_MB, ..Default::default() };
    let host = Host::join(&standin, settings);
    let mut scripts = vec![stream(20, 10); FAST_CALLERS];
    scripts.extend(vec![stream(16 << 10, 60); SLOW_CALLERS]);
    standin.script(&scripts);
    let address = host.callers;
    let fast: Vec<_> =
        (0..FAST_CALLERS).map(|number| thread::spawn(move || read_fast(address, number))).collect();
    host.until("read", || standin.received_requests().len() >= FAST_CALLERS);
    let slow: Vec<_> = (0..SLOW_CALLERS).map(|number| send_slow(address, number)).collect();
    host.until("refusing", || {
        metric(&host, "memory_refused_total") > 0 || {
            let (status, head, body) = send_request_for_head(address, &request("new"));
            let is_refused = status == 503;
            if is_refused {
                assert!(head.contains("retry-after: "), "{head}");
                assert!(body.contains("\"outcome\":\"not-run\""), "{body}");
            }
            is_refused
        }
    });
    host.until("cutting", || metric(&host, "slow_callers_cut_total") > 0);
    for fast in fast {
        let (longest, is_open) = fast.join().unwrap();
        assert!(is_open, "a caller that reads was cut off");
        println!("longest pause {longest:?}");
        assert!(longest < MAX_PAUSE, "{longest:?}");
    }
    let (held, bound) = (metric(&host, "buffered_bytes"), metric(&host, "buffer_bound_bytes"));
    assert!(held <= bound, "{held} of {bound} bytes");
    drop(slow);
    host.until("released", || metric(&host, "buffered_bytes") == 0);
    let peak = peak_memory_mb();
    println!(
        "peak {peak} MB, {} cut, {} refused",
        metric(&host, "slow_callers_cut_total"),
        metric(&host, "memory_refused_total")
    );
    assert!(peak < MEMORY_MB, "{peak} MB");
    assert_eq!(host.talk().0, 200);
}

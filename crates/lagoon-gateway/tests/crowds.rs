//! Tests, with the gateway as a process of its own, that crowds of clients which do not behave neither
//! end it, nor take more than the memory and descriptors of its machine, nor keep it from ordinary
//! callers. They run one after the other.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use std::io;
use std::io::Write;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use nix::sys::signal::Signal;
use rstest::rstest;

use host::process::{Process, ProcessSettings};
use host::{STEP_TIMEOUT, desired, send_request, start_upstreams};
use standin::Standin;

/// Memory of the smallest hosts, in MB.
const MEMORY_MB: u64 = 112;
/// Descriptors that the host may have open.
const MAX_FDS: u64 = 2_000;
/// Maximum size of a body by default, in bytes.
const MAX_BODY: usize = 4 << 20;
/// Time without progress after which a crowd has sent what the host takes.
const QUIET_TIME: time::Duration = time::Duration::from_secs(1);
/// Time for which a crowd sends at most.
const PRESS_TIME: time::Duration = time::Duration::from_secs(8);

/// Pause between the connections of a crowd.
const CONNECT_PAUSE: time::Duration = time::Duration::from_millis(1);
/// Bytes that a crowd keeps to send one at a time, and the pause between two of them.
const TRICKLED: usize = 1_000;
const TRICKLE_PAUSE: time::Duration = time::Duration::from_millis(100);

/// Keeps tests of the same program from running at the same time.
static ALONE: sync::Mutex<()> = sync::Mutex::new(());

/// A crowd of clients that each send some bytes and keep their connection.
struct Crowd {
    clients: usize,
    /// What the clients send, in turn.
    bytes: Vec<Vec<u8>>,
    /// Whether clients go on with a byte at a time.
    trickles: bool,
}

/// Returns the head of a request with `fields`, and `body`.
fn request(fields: &str, body: Vec<u8>) -> Vec<u8> {
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 30000\r\n{fields}\r\n"
    );
    [head.into_bytes(), body].concat()
}

/// Returns a request with `chunks` of a body in chunks.
fn chunked(chunks: Vec<u8>) -> Vec<u8> {
    request("transfer-encoding: chunked\r\n", chunks)
}

/// Returns `length` bytes of a body in chunks of `chunk` bytes, without the last chunk.
fn chunks(length: usize, chunk: usize) -> Vec<u8> {
    let text = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
    text.repeat(length / chunk).into_bytes()
}

/// Returns the beginning of a chunk with an extension of 2 MB.
fn extension() -> Vec<u8> {
    format!("5;{}", "a=b;".repeat(500_000)).into_bytes()
}

/// Returns a request with a body of [`MAX_BODY`] bytes, without its last `missing` bytes.
fn unfinished(missing: usize) -> Vec<u8> {
    request(&format!("content-length: {MAX_BODY}\r\n"), vec![b'x'; MAX_BODY - missing])
}

/// Returns the beginning of a head, of `length` bytes and more.
fn unfinished_head(length: usize) -> Vec<u8> {
    let field = format!("x: {}", "x".repeat(length));
    request(&field, Vec::new())
}

/// Returns what a crowd sends of which one in 30 stops before the end of a body, and the others before
/// the end of a head.
fn heads_and_bodies() -> Vec<Vec<u8>> {
    [vec![unfinished_head(30 << 10); 29], vec![unfinished(1)]].concat()
}

fn crowd(clients: usize, bytes: Vec<u8>) -> Crowd {
    Crowd { clients, bytes: vec![bytes], trickles: false }
}

/// A client of a crowd.
struct Client<'a> {
    stream: net::TcpStream,
    left: &'a [u8],
    is_closed: bool,
}

impl Client<'_> {
    /// Whether the host has not taken the connection yet.
    fn is_connecting(&self) -> bool {
        let peer = self.stream.peer_addr();
        peer.is_err_and(|error| error.kind() == io::ErrorKind::NotConnected) && !self.is_closed
    }

    /// Sends some bytes; returns whether the host has taken any.
    fn send(&mut self, most: usize) -> bool {
        if self.is_closed || self.left.is_empty() {
            return false;
        }
        match self.stream.write(&self.left[..most.min(self.left.len())]) {
            Ok(length) => self.left = &self.left[length..],
            Err(error) if is_pending(&error) => return false,
            Err(_) => self.is_closed = true,
        }
        true
    }
}

/// Whether a connection is not established yet, or takes nothing now.
fn is_pending(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected)
}

/// Connects without waiting until the host takes the connection.
fn connect(address: net::SocketAddr) -> net::TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_nonblocking(true).unwrap();
    if let Err(error) = socket.connect(&address.into()) {
        assert_eq!(error.raw_os_error(), Some(nix::errno::Errno::EINPROGRESS as i32), "{error}");
    }
    net::TcpStream::from(socket)
}

impl Crowd {
    /// Connects the clients one after the other: the host's backlog holds few.
    fn connect(&self, address: net::SocketAddr) -> Vec<Client<'_>> {
        let bytes = self.bytes.iter().cycle();
        let client = |left| {
            thread::sleep(CONNECT_PAUSE);
            Client { stream: connect(address), left, is_closed: false }
        };
        bytes.take(self.clients).map(|bytes| client(bytes.as_slice())).collect()
    }

    /// Sends until the host takes no more.
    fn press(&self, clients: &mut [Client<'_>]) {
        let began = time::Instant::now();
        let mut progressed = began;
        let kept = if self.trickles { TRICKLED } else { 0 };
        while progressed.elapsed() < QUIET_TIME && began.elapsed() < PRESS_TIME {
            for client in clients.iter_mut() {
                let most = client.left.len().saturating_sub(kept);
                if client.is_connecting() || most > 0 && client.send(most) {
                    progressed = time::Instant::now();
                }
            }
            thread::sleep(time::Duration::from_millis(1));
        }
    }

    /// Goes on a byte at a time, if this crowd does, until `ended`.
    fn trickle(&self, clients: &mut [Client<'_>], ended: &atomic::AtomicBool) {
        while self.trickles && !ended.load(atomic::Ordering::SeqCst) {
            for client in clients.iter_mut() {
                let _is_taken = client.send(1);
            }
            thread::sleep(TRICKLE_PAUSE);
        }
    }
}

/// Sends an ordinary request until it is answered; returns whether it is.
fn is_served(address: net::SocketAddr) -> bool {
    let began = time::Instant::now();
    let text = "GET /look/1 HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: o\r\n\
        authorization: Token k1\r\nlagoonline-request-deadline: 8000\r\n\r\n";
    while began.elapsed() < STEP_TIMEOUT {
        if send_request(address, text).0 == 200 {
            return true;
        }
        thread::sleep(time::Duration::from_millis(100));
    }
    false
}

fn start_standin() -> Standin {
    start_upstreams(|standin, name, service, slots| {
        standin.upstream(name, service, slots);
    })
}

fn start_process(standin: &Standin) -> Process {
    let settings =
        ProcessSettings { memory_mb: MEMORY_MB, max_fds: MAX_FDS, ..ProcessSettings::default() };
    Process::start(standin, settings)
}

/// Plays a crowd with `beside` in the midst of it, and checks what must hold then and once the crowd has
/// left.
fn outlive<Beside>(crowd: &Crowd, beside: Beside)
where
    Beside: FnOnce(&Standin, &Process),
{
    let _alone = ALONE.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let standin = start_standin();
    let mut process = start_process(&standin);
    let mut clients = crowd.connect(process.callers);
    crowd.press(&mut clients);
    process.wait_until_calm();
    println!("{} MB, {} descriptors", process.peak_memory_mb(), process.open_descriptors());
    let ended = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| crowd.trickle(&mut clients, &ended));
        beside(&standin, &process);
        let is_served = is_served(process.callers);
        ended.store(true, atomic::Ordering::SeqCst);
        assert!(is_served, "an ordinary request beside the crowd");
    });
    let descriptors = process.open_descriptors();
    drop(clients);
    assert!(is_served(process.callers), "an ordinary request after the crowd");
    assert!(process.is_running(), "the process has ended");
    let peak = process.peak_memory_mb();
    println!("{peak} MB at the peak, {descriptors} descriptors");
    assert!(peak < MEMORY_MB && descriptors < MAX_FDS, "{peak} MB, {descriptors} descriptors");
}

fn nothing(_: &Standin, _: &Process) {}

/// Guards against bytes that belong to no body and are counted by nobody.
#[rstest]
fn extensions_of_a_chunk_without_end() {
    outlive(&crowd(60, chunked(extension())), nothing);
}

/// Guards against small chunks that each take more memory than the bytes for which they count.
#[rstest]
fn bodies_in_chunks_of_one_byte() {
    outlive(&crowd(800, chunked(chunks(4 << 10, 1))), nothing);
}

/// Guards against callers that stop before the end of their body and keep the memory that others need.
#[rstest]
#[case::chunks_of_64_kb(crowd(40, chunked(chunks(MAX_BODY, 64 << 10))))]
#[case::chunks_of_1_mb(crowd(40, chunked(chunks(MAX_BODY, 1 << 20))))]
#[case::one_chunk(crowd(40, chunked(chunks(MAX_BODY, MAX_BODY))))]
#[case::chunks_of_1_kb(crowd(100, chunked(chunks(1 << 20, 1 << 10))))]
#[case::chunks_of_16_bytes(crowd(100, chunked(chunks(512 << 10, 16))))]
#[case::length(crowd(40, unfinished(1)))]
#[case::nothing(crowd(1_300, request("content-length: 10\r\n", Vec::new())))]
#[case::a_byte_at_a_time(Crowd { trickles: true, ..crowd(40, unfinished(1)) })]
fn bodies_that_stop_before_their_end(#[case] crowd: Crowd) {
    outlive(&crowd, nothing);
}

/// Guards against a body that never ends and is waited for beyond the deadline of its request.
#[rstest]
fn a_body_that_does_not_arrive_in_time_is_refused() {
    let _alone = ALONE.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let standin = start_standin();
    let process = start_process(&standin);
    let text = "POST /book/1 HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q\r\n\
        authorization: Token k1\r\nlagoonline-request-deadline: 500\r\ncontent-length: 10\r\n\r\n";
    let (status, body) = send_request(process.callers, text);
    assert_eq!(status, 503, "{body}");
    assert!(body.contains("\"outcome\":\"not-run\""), "{body}");
}

/// Guards against whatever else a client may send and leave open.
#[rstest]
#[case::whole_bodies(crowd(60, request(&format!("content-length: {MAX_BODY}\r\n"), vec![b'x'; MAX_BODY])))]
#[case::bodies_beyond_the_limit(crowd(60, chunked(chunks(3 * MAX_BODY, 64 << 10))))]
#[case::trailers(crowd(60, chunked([b"0\r\n".to_vec(), b"a: b\r\n".repeat(350_000)].concat())))]
#[case::heads(crowd(900, unfinished_head(13 << 10)))]
#[case::heads_and_bodies(Crowd { bytes: heads_and_bodies(), ..crowd(1_300, Vec::new()) })]
#[case::pipelined(crowd(100, b"GET /look/1 HTTP/1.1\r\nhost: x.example\r\n\
    lagoonline-request-id: p\r\nauthorization: Token k1\r\n\r\n".repeat(300)))]
#[case::nothing(crowd(2_500, Vec::new()))]
fn other_clients_that_do_not_behave(#[case] crowd: Crowd) {
    outlive(&crowd, nothing);
}

/// Returns a crowd of all kinds together.
fn mixed() -> Crowd {
    let bytes = vec![
        chunked(extension()),
        chunked(chunks(4 << 10, 1)),
        chunked(chunks(MAX_BODY, 64 << 10)),
        unfinished(1),
        unfinished_head(13 << 10),
    ];
    Crowd { clients: 500, bytes, trickles: true }
}

/// Puts a desired state in force that allows bodies of `bytes` bytes.
fn limit_bodies(standin: &Standin, version: u64, bytes: usize) {
    let mut desired = desired(version, &["k1"], 10_000);
    desired["Limits"] = serde_json::json!({"MaxBodyBytes": bytes});
    standin.put("op", "config", &desired);
}

/// Guards against a crowd whose kinds together take what each of them may, and against one that meets
/// changes of the settings and of the limits.
#[rstest]
#[case::alone(nothing)]
#[case::reloads_and_limits(|standin: &Standin, process: &Process| {
    for (version, bytes) in [(2, 64 << 10), (3, 8 << 20), (4, MAX_BODY)] {
        process.signal(Signal::SIGHUP);
        limit_bodies(standin, version, bytes);
        thread::sleep(QUIET_TIME);
    }
})]
fn a_crowd_of_all_kinds<Beside>(#[case] beside: Beside)
where
    Beside: FnOnce(&Standin, &Process),
{
    outlive(&mixed(), beside);
}

/// Guards against a process that does not end while a crowd holds its connections.
#[rstest]
fn a_host_stops_beside_a_crowd() {
    let _alone = ALONE.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let standin = start_standin();
    let mut process = start_process(&standin);
    let crowd = mixed();
    let mut clients = crowd.connect(process.callers);
    crowd.press(&mut clients);
    process.signal(Signal::SIGTERM);
    let began = time::Instant::now();
    while process.is_running() {
        assert!(began.elapsed() < STEP_TIMEOUT, "the process has not ended");
        thread::sleep(time::Duration::from_millis(10));
    }
    assert!(process.child.wait().unwrap().success());
}

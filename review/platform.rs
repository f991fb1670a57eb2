#![allow(dead_code)]
//! Stand-ins for the review's cases, with the standard library only: the platform's store, a
//! client of HTTP/1.1, and the start of entry hosts with the command of the deploy file.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::os::unix::process::CommandExt;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The command of `deploy/system.toml`, from the root of the repository.
pub const GATEWAY: &str = "target/release/lagoon-gateway";

/// Whether the case brings its disruption about.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    began: Instant,
}

/// Time after which a run is given up.
const LONGEST_RUN: Duration = Duration::from_secs(115);

/// Processes that this run has started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends a run that takes too long, with the processes that it started.
fn watch() {
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        for process in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").arg("-KILL").arg(process.to_string()).status();
        }
        std::process::exit(2);
    });
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        watch();
        let file = Arc::new(Mutex::new(fs::File::create(path)?));
        Ok(Record { file, began: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let millis = self.began.elapsed().as_millis();
        let line = format!("{millis:>7} ms  {text}\n");
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A message of HTTP/1.1: its head, and its body as far as it came.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn parse_head(head: &str) -> Message {
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or("").to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let fields = fields.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    Message { first_line, fields: fields.collect(), body: Vec::new() }
}

/// Reads a head; `None` if the connection ends before.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    loop {
        if let Some(end) = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            rest.drain(..end + 4);
            return Ok(Some(parse_head(&head)));
        }
        let mut buffer = [0; 16 << 10];
        let length = stream.read(&mut buffer)?;
        if length == 0 {
            return Ok(None);
        }
        rest.extend_from_slice(&buffer[..length]);
    }
}

/// Reads a request with a body that has a length.
pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let Some(mut request) = read_head(stream, rest)? else { return Ok(None) };
    let length = request.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while rest.len() < length {
        let mut buffer = [0; 16 << 10];
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Ok(None);
        }
        rest.extend_from_slice(&buffer[..read]);
    }
    request.body = rest.drain(..length).collect();
    Ok(Some(request))
}

/// How an answer ended for a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// By its length or its last chunk, or, if it has neither, with its channel in order.
    Complete,
    /// Its channel ended before its length or last chunk, or was reset.
    Early,
    /// Nothing came in time.
    Silent,
}

/// Reads an answer as a client of HTTP/1.1 does (RFC 9112, 6.3), until `deadline`.
pub fn read_answer(stream: &mut TcpStream, deadline: Instant) -> (Message, End) {
    let mut rest = Vec::new();
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    let mut answer = match read_head(stream, &mut rest) {
        Ok(Some(answer)) => answer,
        Ok(None) => return (Message::default(), End::Early),
        Err(error) if is_timeout(&error) => return (Message::default(), End::Silent),
        Err(_) => return (Message::default(), End::Early),
    };
    let chunked = answer.field("transfer-encoding").is_some_and(|text| text.contains("chunked"));
    let length: Option<usize> = answer.field("content-length").and_then(|text| text.parse().ok());
    loop {
        if chunked {
            if let Some(body) = unchunk(&rest, &mut answer.body) {
                rest.drain(..body);
                return (answer, End::Complete);
            }
        } else if let Some(length) = length
            && rest.len() >= length
        {
            answer.body = rest.drain(..length).collect();
            return (answer, End::Complete);
        }
        let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = stream.set_read_timeout(Some(left));
        let mut buffer = [0; 16 << 10];
        match stream.read(&mut buffer) {
            Ok(0) if chunked || length.is_some() => return (answer, End::Early),
            Ok(0) => {
                answer.body = rest;
                return (answer, End::Complete);
            }
            Ok(read) => rest.extend_from_slice(&buffer[..read]),
            Err(error) => {
                if !chunked {
                    answer.body = rest;
                }
                let end = if is_timeout(&error) { End::Silent } else { End::Early };
                return (answer, end);
            }
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Decodes chunks into `body`; returns the length of all chunks once the last one has come.
fn unchunk(bytes: &[u8], body: &mut Vec<u8>) -> Option<usize> {
    body.clear();
    let mut at = 0;
    loop {
        let line = bytes[at..].windows(2).position(|pair| pair == b"\r\n")?;
        let size = std::str::from_utf8(&bytes[at..at + line]).ok()?;
        let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
        at += line + 2;
        if size == 0 {
            return bytes[at..].starts_with(b"\r\n").then_some(at + 2);
        }
        if bytes.len() < at + size + 2 {
            body.extend_from_slice(&bytes[at.min(bytes.len())..bytes.len().min(at + size)]);
            return None;
        }
        body.extend_from_slice(&bytes[at..at + size]);
        at += size + 2;
    }
}

/// Sends one request on a new channel and returns its answer.
pub fn call(address: SocketAddr, request: &[u8], patience: Duration) -> (Message, End) {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return (Message::default(), End::Early);
    };
    let _ = stream.set_nodelay(true);
    if stream.write_all(request).is_err() {
        return (Message::default(), End::Early);
    }
    read_answer(&mut stream, Instant::now() + patience)
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for index in 0..4 {
            let six = (word >> (18 - 6 * index)) & 63;
            let digit = if index <= group.len() { ALPHABET[six as usize] } else { b'=' };
            text.push(char::from(digit));
        }
    }
    text
}

#[derive(Clone)]
struct Row {
    /// In base64; `None` if the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// The platform's store: rows that are read, watched and written without conditions.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Rows>, Condvar)>,
    began: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Store { shared: Arc::default(), began: Instant::now(), address };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row; the call returns when the store has acknowledged it.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Whether a row exists.
    pub fn has(&self, table: &str, key: &str) -> bool {
        let rows = self.shared.0.lock().unwrap();
        let row = rows.rows.get(&(table.to_owned(), key.to_owned()));
        row.is_some_and(|row| row.value.is_some())
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.shared.0.lock().unwrap();
        rows.version += 1;
        let row = Row { value, version: rows.version };
        rows.rows.insert((table.to_owned(), key.to_owned()), row);
        drop(rows);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut rest) {
            let body = self.perform(&request);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn perform(&self, request: &Message) -> String {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let table = query.get("Table").copied().unwrap_or("");
        match path {
            "/api/rows-get" => {
                // Pages are not needed: a table of a case has a few rows. A call for the next page
                // begins behind the last key.
                let from = query.get("From").copied().unwrap_or("");
                let rows = self.shared.0.lock().unwrap();
                self.answer(&rows, table, |_, row| from.is_empty() && row.value.is_some())
            }
            "/api/rows-feed" => {
                let after: u64 = query.get("After").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 = query.get("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                self.feed(table, after, Duration::from_millis(wait))
            }
            _ => {
                self.write_rows(&String::from_utf8_lossy(&request.body));
                let rows = self.shared.0.lock().unwrap();
                format!("{{\"Ver\":{},\"NowMs\":{}}}", rows.version, self.now_ms())
            }
        }
    }

    fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis() + 50_000
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut rows = self.shared.0.lock().unwrap();
        loop {
            let changed =
                rows.rows.iter().any(|((of, _), row)| of == table && row.version > after);
            let left = until.saturating_duration_since(Instant::now());
            if changed || left.is_zero() {
                return self.answer(&rows, table, |_, row| row.version > after);
            }
            rows = self.shared.1.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn answer<Wanted>(&self, rows: &Rows, table: &str, wanted: Wanted) -> String
    where
        Wanted: Fn(&str, &Row) -> bool,
    {
        let listed = rows.rows.iter().filter(|((of, key), row)| of == table && wanted(key, row));
        let mut listed: Vec<_> = listed.collect();
        listed.sort_by_key(|(_, row)| row.version);
        let listed: Vec<String> = listed
            .into_iter()
            .map(|((table, key), row)| {
                let value = match &row.value {
                    Some(value) => format!("\"Value\":\"{value}\""),
                    None => "\"Removed\":true".to_owned(),
                };
                let version = row.version;
                format!(
                    "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",{value},\"Ver\":{version}}}"
                )
            })
            .collect();
        format!(
            "{{\"Rows\":[{}],\"HasMore\":false,\"Ver\":{},\"NowMs\":{}}}",
            listed.join(","),
            rows.version,
            self.now_ms()
        )
    }

    /// Performs the writes and removals of a transaction of entry hosts: each has at most one row,
    /// without a condition.
    fn write_rows(&self, body: &str) {
        let text = |name: &str| {
            let begin = body.find(&format!("\"{name}\":\""))? + name.len() + 4;
            let end = body[begin..].find('"')? + begin;
            Some(body[begin..end].to_owned())
        };
        let (Some(table), Some(key)) = (text("Table"), text("Key")) else { return };
        self.write(&table, &key, text("Value"));
    }
}

/// Returns `count` ports of `ip` that are free now, one after the other.
fn free_ports(ip: &str, count: u16) -> io::Result<u16> {
    for _ in 0..200 {
        let first = TcpListener::bind((ip, 0))?.local_addr()?.port();
        let Some(last) = first.checked_add(count) else { continue };
        let all = (first..last).map(|port| {
            TcpListener::bind((ip, port)).is_ok() && std::net::UdpSocket::bind((ip, port)).is_ok()
        });
        if all.collect::<Vec<_>>().into_iter().all(|free| free) {
            return Ok(first);
        }
    }
    Err(io::Error::other("no free ports"))
}

/// Lets the kernel kill a started process if the run ends first, however it ends.
fn end_with_parent() -> io::Result<()> {
    unsafe extern "C" {
        fn prctl(option: i32, value: u64) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the option takes a number.
    if unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
}

/// A running entry host, killed when it is dropped.
pub struct Gateway {
    child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    node_file: PathBuf,
}

impl Gateway {
    /// Starts the entry host `name` in `zone` with the command of the deploy file, and the settings
    /// of a small installation.
    pub fn start(name: &str, zone: &str, store: SocketAddr, folder: &Path) -> io::Result<Gateway> {
        let ip = "127.0.0.1";
        let port = free_ports(ip, 6)?;
        let node_file = folder.join(format!("{name}.yaml"));
        let (front, ready, control) = (port, port + 1, port + 2);
        let (internal, last) = (port + 3, port + 5);
        let text = format!(
            "NodeName: \"{name}\"\nRole: \"gateway\"\nMachineClass: \"edge\"\nServes:\n  - \"edge\"\n\
             Ip: \"{ip}\"\nZone: \"{zone}\"\nRegion: \"great-lakes\"\nZones:\n  {zone}: \"great-lakes\"\n\
             Listen:\n  Front: \"{ip}:{front}\"\n  Ready: \"{ip}:{ready}\"\n  Control: \"{ip}:{control}\"\n\
             InternalPorts:\n  - {internal}\n  - {last}\nSeeds: []\nBootstrap: true\nLossCounts: false\n\
             Limits:\n  CpuShare: 0.25\n  Cores: 1\n  MemoryMb: 260\n  MaxFds: 4100\n  LinkMbps: 1000.0\n  \
             DiskMb: 0\nDataDir: null\nDiscovery: \"platform\"\nEntry: \"vip\"\nHeartbeatMs: 1200\n\
             Bounds:\n  SeedLagS: 3\n  ReuseAfterS: 2\n  StableWindowMs: 3000\n  AckMs: 4000\n  \
             CatchUpS: 4\n  DrainMs: 2000\n  GraceS: 8\n  LossSlackMs: 200\n  ConfigApplyMs: 2000\n  \
             RollbackSlackMs: 250\n  OuterMs: 5000\n  StrictRevoke: true\n  RevokeMs: 5000\n  \
             RetryBudgetRatio: 0.2\n  BudgetWindowS: 10\n  BudgetSlack: 104\n  RecoveryS: 12\n  \
             PassMs: 120\n  RetryAfterS: 0\n  stall_ms: 1500\n  HoldMaxMs: 20000\n  FreeMs: 4000\n  \
             IdleMaxMs: 9000\nPlatform:\n  Address: \"{store}\"\n  form: \"table\"\n  WritesPerS: 400\n  \
             ReadsPerS: 2000\n  TxMs: 5.0\n  PartitionWritesS: 200\n  RowBytes: 65536\n  Across: false\n  \
             HistoryS: 20\n  BlobBytes: 8388608\n  BlobMs: 25.0\n  BlobMbS: 80.0\n"
        );
        fs::write(&node_file, text)?;
        let log = fs::File::create(folder.join(format!("{name}.log")))?;
        let mut command = Command::new(GATEWAY);
        // SAFETY: prctl may be called between fork and exec.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .env_clear()
            .envs(["PATH", "HOME", "LANG"].into_iter().filter_map(|name| {
                std::env::var(name).ok().map(|value| (name, value))
            }))
            .env("LAGOONLINE_NODE_FILE", &node_file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Ok(Gateway { child, callers: address(front), ready: address(ready), node_file })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the file with the host's settings.
    pub fn node_file(&self) -> &Path {
        &self.node_file
    }

    /// Waits until the host says that it is ready.
    pub fn wait_until_ready(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            let (answer, _) = call(
                self.ready,
                b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n",
                Duration::from_millis(500),
            );
            if answer.status() == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("no such process")) }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|process| *process != self.child.id());
    }
}

/// A temporary folder, removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("lagoon-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Closes a channel with a reset instead of an orderly end.
///
/// A socket that is closed with bytes that it has not read resets its channel. The runner's peer has
/// nothing more to send, so the option that closes without lingering is set instead.
pub fn reset(stream: TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the value lives through the call, and its length is given.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
    drop(stream);
}

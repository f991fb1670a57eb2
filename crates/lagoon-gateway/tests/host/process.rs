//! The gateway as a process of its own.

use std::fs;
use std::io::{Read, Write};
use std::net;
use std::path;
use std::process;
use std::sync::atomic;
use std::thread;
use std::time;

use nix::sys::signal::{self, Signal};
use nix::unistd;

use crate::standin::Standin;

/// Time over which a calm process uses at most [`CALM_TICKS`] of the processor.
const CALM_TIME: time::Duration = time::Duration::from_millis(500);
const CALM_TICKS: u64 = 10;

/// Identity and settings of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessSettings<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// Window of the retry budget in seconds.
    pub retry_window_s: u64,
    /// Retries of all hosts in a window beyond the allowed share of requests.
    pub retry_slack: u64,
    /// Address of the store; that of the stand-in if `None`.
    pub store: Option<net::SocketAddr>,
    /// Memory of the process in MB.
    pub memory_mb: u64,
    /// Descriptors that the process may have open.
    pub max_fds: u64,
}

impl Default for ProcessSettings<'_> {
    fn default() -> Self {
        ProcessSettings {
            name: "h1",
            zone: "a",
            retry_window_s: 10,
            retry_slack: 50,
            store: None,
            memory_mb: 256,
            max_fds: 4_100,
        }
    }
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    pub child: process::Child,
    pub callers: net::SocketAddr,
    /// Where it writes its log.
    log: path::PathBuf,
    node: path::PathBuf,
}

impl Process {
    /// Starts the gateway on free ports, and waits until it is ready.
    pub fn start(standin: &Standin, settings: ProcessSettings<'_>) -> Process {
        Process::try_start(standin, settings).expect("not ready")
    }

    /// As [`Process::start`]; `None` if it is not ready in time, as while the store is down.
    pub fn try_start(standin: &Standin, settings: ProcessSettings<'_>) -> Option<Process> {
        let [callers, ready, first, last] = [(); 4].map(|()| free_port());
        let ProcessSettings { name, zone, retry_window_s, retry_slack, store, .. } = settings;
        let ProcessSettings { memory_mb, max_fds, .. } = settings;
        let file = format!("lagoon-gateway-{}-{callers}", process::id());
        let node = std::env::temp_dir().join(format!("{file}.yaml"));
        let log = std::env::temp_dir().join(format!("{file}.log"));
        let store = store.unwrap_or(standin.store_address);
        let text = format!(
            "NodeName: {name}\nIp: 127.0.0.1\nZone: {zone}\nListen:\n  Front: \"127.0.0.1:{callers}\"\n  \
             Ready: \"127.0.0.1:{ready}\"\nInternalPorts: [{first}, {last}]\nPlatform:\n  \
             Address: \"{store}\"\nLimits:\n  MemoryMb: {memory_mb}\n  MaxFds: {max_fds}\n\
             Bounds:\n  GraceS: 8\n  RevokeMs: 5000\n  BudgetWindowS: {retry_window_s}\n  BudgetSlack: {retry_slack}\n"
        );
        fs::write(&node, text).unwrap();
        let child = process::Command::new(program())
            .arg("--node")
            .arg(&node)
            .stdout(fs::File::create(&log).unwrap())
            .stderr(process::Stdio::null())
            .spawn()
            .unwrap();
        let address = |port| net::SocketAddr::from(([127, 0, 0, 1], port));
        let process = Process { child, callers: address(callers), log, node };
        let began = time::Instant::now();
        while !is_ready(address(ready)) {
            if began.elapsed() >= super::STEP_TIMEOUT {
                return None;
            }
            thread::sleep(time::Duration::from_millis(20));
        }
        Some(process)
    }

    /// Copies the log to where it stays when the process ends, and prints where that is.
    pub fn keep_log(&self) {
        let kept = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(self.log.file_name().unwrap());
        fs::copy(&self.log, &kept).unwrap();
        println!("log: {}", kept.display());
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = unistd::Pid::from_raw(i32::try_from(self.child.id()).unwrap());
        signal::kill(id, signal).unwrap();
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Returns the largest resident memory of the process so far, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() >> 10
    }

    /// Waits until the process uses little processor time, or for [`super::STEP_TIMEOUT`].
    pub fn wait_until_calm(&self) {
        let began = time::Instant::now();
        let mut before = self.processor_ticks();
        while began.elapsed() < super::STEP_TIMEOUT {
            thread::sleep(CALM_TIME);
            let ticks = self.processor_ticks();
            if ticks - before <= CALM_TICKS {
                return;
            }
            before = ticks;
        }
    }

    /// Returns the processor time used so far, in ticks of 10 ms.
    fn processor_ticks(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let (_, fields) = stat.rsplit_once(')').unwrap();
        let field = |number: usize| fields.split_whitespace().nth(number).unwrap();
        // User and system time are the fields 14 and 15 of the line, 11 and 12 behind the name.
        field(11).parse::<u64>().unwrap() + field(12).parse::<u64>().unwrap()
    }

    /// Returns how many descriptors the process has open.
    pub fn open_descriptors(&self) -> u64 {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count() as u64
    }

    /// Returns the lines logged so far about `event`.
    pub fn logged(&self, event: &str) -> Vec<serde_json::Value> {
        let text = fs::read_to_string(&self.log).unwrap();
        let lines = text.lines().filter_map(|line| serde_json::from_str(line).ok());
        lines.filter(|line: &serde_json::Value| line["event"] == event).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        drop(fs::remove_file(&self.node));
        drop(fs::remove_file(&self.log));
    }
}

/// Returns a port that was not returned before and is free. The kernel gives none of this range to
/// connections, which other processes open all the time.
fn free_port() -> u16 {
    static RETURNED: atomic::AtomicU16 = atomic::AtomicU16::new(0);
    let first = 10_000 + u16::try_from(process::id() % 100).unwrap() * 200;
    let mut ports =
        std::iter::repeat_with(|| first + RETURNED.fetch_add(1, atomic::Ordering::SeqCst) % 200);
    let is_free = |port: &u16| {
        let address = (net::Ipv4Addr::LOCALHOST, *port);
        net::TcpListener::bind(address).is_ok() && net::UdpSocket::bind(address).is_ok()
    };
    ports.find(is_free).unwrap()
}

fn is_ready(address: net::SocketAddr) -> bool {
    let Ok(mut stream) = net::TcpStream::connect(address) else { return false };
    drop(stream.write_all(b"GET /api/ready HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"));
    let mut head = [0; 16];
    stream.read(&mut head).is_ok() && head.starts_with(b"HTTP/1.1 200")
}

/// Returns the gateway to start: another build if the environment names one, to compare builds, or
/// several in turn, with commas between them, to play them side by side.
fn program() -> String {
    static STARTED: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
    let built = env!("CARGO_BIN_EXE_lagoon-gateway");
    let named = std::env::var("LAGOON_GATEWAY").unwrap_or_else(|_| built.to_owned());
    let builds: Vec<_> = named.split(',').collect();
    builds[STARTED.fetch_add(1, atomic::Ordering::SeqCst) % builds.len()].to_owned()
}

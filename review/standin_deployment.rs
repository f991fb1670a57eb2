//! A small deployment of real processes: gateways as the deploy file starts them, and runners.

use std::env;
use std::fs;
use std::io::{self, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::runner;

/// The program of the deploy file's role.
const GATEWAY: &str = "target/release/lagoon-gateway";
/// Variable that names the settings file.
const NODE_FILE: &str = "LAGOONLINE_NODE_FILE";
/// Time within which a gateway that cannot listen has ended, and how often one is started.
const STARTING: Duration = Duration::from_millis(150);
const MAX_STARTS: usize = 5;
/// Time for a gateway to be ready.
const START: Duration = Duration::from_secs(15);

/// The zones of the deployment.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Time after which an entry expires: three intervals of reports.
pub const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<fs::File>>,
    began: Instant,
}

impl Record {
    /// Creates the record of the case in `folder`.
    pub fn new(folder: &PathBuf) -> io::Result<Record> {
        let lines = Arc::new(Mutex::new(fs::File::create(folder.join("record.txt"))?));
        Ok(Record { lines, began: Instant::now() })
    }

    pub fn add(&self, line: &str) {
        let line = format!("{:7.3} s  {line}\n", self.began.elapsed().as_secs_f64());
        print!("{line}");
        drop(self.lines.lock().unwrap().write_all(line.as_bytes()));
    }
}

/// Starts a runner as a process of its own, with answers as `mode` says.
pub fn start_runner(
    name: &str,
    zone: &str,
    port: u16,
    store: u16,
    mode: &str,
    folder: &PathBuf,
) -> io::Result<Process> {
    let log = fs::OpenOptions::new().create(true).append(true).open(folder.join("runners.log"))?;
    let words = ["runner", name, zone, &port.to_string(), &store.to_string(), mode];
    Process::start(Command::new(env::current_exe()?).args(words).stdout(log))
}

/// Returns a route to the only service, as the desired state has it.
pub fn route(name: &str, kind: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"a.example\",\"Prefix\":\"/{name}/\",\"Kind\":\"{kind}\",\
         \"TimeoutMs\":10000,\"TargetLatencyMs\":3000,\"Priority\":1,\"Service\":\"app\",\
         \"MaxAttempts\":1,\"Public\":true}}"
    )
}

/// A process that is killed when this is dropped.
pub struct Process(Child);

/// Processes that run, and the time after which a case that hangs ends them and itself.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
const MAX_TIME: Duration = Duration::from_secs(110);

fn send_signal(name: &str, pid: u32) {
    drop(Command::new("/bin/sh").args(["-c", "kill -$0 $1", name, &pid.to_string()]).status());
}

/// Ends all processes if the case is not over in time.
fn watch() {
    thread::sleep(MAX_TIME);
    RUNNING.lock().unwrap().iter().for_each(|pid| send_signal("KILL", *pid));
    eprintln!("the case took too long");
    std::process::exit(2);
}

impl Process {
    fn start(command: &mut Command) -> io::Result<Process> {
        let child = command.spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        Ok(Process(child))
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        send_signal(name, self.0.id());
    }

    pub fn kill(&mut self) {
        RUNNING.lock().unwrap().retain(|pid| *pid != self.0.id());
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns ports that are free now.
pub fn free_ports<const N: usize>() -> io::Result<[u16; N]> {
    let mut listeners = Vec::new();
    let mut ports = [0; N];
    for port in &mut ports {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        *port = listener.local_addr()?.port();
        listeners.push(listener);
    }
    Ok(ports)
}

/// A gateway.
pub struct Gateway {
    pub name: String,
    pub front: u16,
    pub process: Process,
    ready: u16,
}

impl Gateway {
    /// Starts the gateway `number` of `zone`. Its settings and its log stand in `folder`. A port that was
    /// free may be taken before the gateway listens on it; then it ends at once, and gets others.
    pub fn start(folder: &PathBuf, zone: &str, number: usize, store: u16) -> io::Result<Gateway> {
        for _ in 0..MAX_STARTS {
            let mut gateway = Gateway::try_start(folder, zone, number, store)?;
            thread::sleep(STARTING);
            if gateway.process.0.try_wait()?.is_none() {
                return Ok(gateway);
            }
        }
        Err(io::Error::other("a gateway does not start"))
    }

    fn try_start(folder: &PathBuf, zone: &str, number: usize, store: u16) -> io::Result<Gateway> {
        let [front, ready, internal] = free_ports()?;
        let name = format!("edge-{zone}-{number}");
        let settings = format!(
            "NodeName: \"{name}\"\nRole: \"gateway\"\nMachineClass: \"edge\"\nServes: [\"edge\"]\n\
             Ip: \"127.0.0.1\"\nZone: \"{zone}\"\nRegion: \"r\"\n\
             Zones: {{a: \"r\", b: \"r\", c: \"r\"}}\n\
             Listen: {{Front: \"127.0.0.1:{front}\", Ready: \"127.0.0.1:{ready}\"}}\n\
             InternalPorts: [{internal}, {internal}]\nSeeds: []\nBootstrap: true\n\
             Limits: {{CpuShare: 0.25, Cores: 1, MemoryMb: 260, MaxFds: 4100, LinkMbps: 1000.0}}\n\
             HeartbeatMs: 1200\n\
             Bounds: {{SeedLagS: 3, ReuseAfterS: 2, StableWindowMs: 3000, AckMs: 4000, CatchUpS: 4, \
             DrainMs: 2000, GraceS: 8, LossSlackMs: 200, ConfigApplyMs: 2000, \
             RollbackSlackMs: 250, OuterMs: 5000, StrictRevoke: true, RevokeMs: 5000, \
             RetryBudgetRatio: 0.2, BudgetWindowS: 10, BudgetSlack: 104, RecoveryS: 12, \
             PassMs: 120, stall_ms: 1500, HoldMaxMs: 20000, FreeMs: 4000, IdleMaxMs: 9000}}\n\
             Platform: {{Address: \"127.0.0.1:{store}\", form: \"table\", WritesPerS: 400, \
             ReadsPerS: 2000, TxMs: 5.0, RowBytes: 65536, HistoryS: 20}}\n"
        );
        let file = folder.join(format!("{name}.yaml"));
        fs::write(&file, settings)?;
        let log = fs::File::create(folder.join(format!("{name}.log")))?;
        let process = Process::start(
            Command::new(GATEWAY).env(NODE_FILE, &file).stdout(log).stderr(Stdio::null()),
        )?;
        Ok(Gateway { name, front, ready, process })
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + START;
        let request = b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        while Instant::now() < until {
            let answer = http::call(self.ready, request).ok().flatten();
            if answer.is_some_and(|answer| answer.word(1) == "200") {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Runs the program of a case: `runner ...` is a runner, which a case starts; otherwise the word is the
/// folder of the record. `TROUBLE=0` leaves the disruptions out. Exit codes: 0 the rule held, 1 it was
/// broken, 2 the case could not run.
pub fn run(play: fn(&str, bool) -> io::Result<bool>) -> ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let result = match words[..] {
        ["runner", name, zone, port, store, mode] => {
            let ports = (port.parse().unwrap_or(0), store.parse().unwrap_or(0));
            runner::run(name, zone, ports.0, ports.1, mode).map(|()| true)
        }
        [folder] => {
            thread::spawn(watch);
            play(folder, has_trouble)
        }
        _ => Err(io::Error::other("usage: case FOLDER")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

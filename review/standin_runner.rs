//! A stand-in of a runner, a process of its own: registers itself in the store, writes there every
//! `HeartbeatMs`, and answers requests.

use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::store;

/// Time between two writes to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time between the two halves of an answer.
const HALF: Duration = Duration::from_millis(1_000);
/// Requests that run at the same time; more are turned away.
const SLOTS: usize = 6;

/// The halves of the body of every answer.
pub const HALVES: [&str; 2] = ["first half, ", "second half."];

struct Runner {
    name: String,
    zone: String,
    port: u16,
    store: u16,
    born: u128,
    /// Whether answers come with a length and at once.
    is_quick: bool,
    slots: Arc<()>,
    /// Whether it has left: it writes no more to the store, and still serves.
    has_left: Mutex<bool>,
}

/// Runs the runner `name` in `zone` at `port` until it is killed.
pub fn run(name: &str, zone: &str, port: u16, store: u16, mode: &str) -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", port))?;
    let runner = Arc::new(Runner {
        name: name.to_owned(),
        zone: zone.to_owned(),
        port,
        store,
        born: unix_millis(),
        is_quick: mode == "quick",
        slots: Arc::new(()),
        has_left: Mutex::new(false),
    });
    let beating = runner.clone();
    thread::spawn(move || beating.beat());
    for stream in listener.incoming().flatten() {
        let runner = runner.clone();
        thread::spawn(move || drop(runner.serve(stream)));
    }
    Ok(())
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

impl Runner {
    fn beat(&self) {
        for sequence in 1.. {
            let Runner { name, zone, port, born, .. } = self;
            let entry = format!(
                "{{\"Service\":\"app\",\"Address\":\"127.0.0.1:{port}\",\"Zone\":\"{zone}\",\
                 \"Version\":\"v1\",\"Slots\":{SLOTS},\"State\":\"ready\",\"ColdRemainingMs\":0,\
                 \"Sequence\":{sequence},\"born\":{born}}}"
            );
            let value = store::base64(entry.as_bytes());
            let body = format!(
                "{{\"ExpectedRev\":[],\"Writes\":[{{\"Table\":\"servers\",\"part\":\"\",\
                 \"Key\":\"{name}\",\"Value\":\"{value}\"}}],\"Remove\":[]}}"
            );
            let head = "POST /api/rows-tx HTTP/1.1\r\nHost: store\r\nConnection: close\r\n";
            let request = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            let has_left = self.has_left.lock().unwrap();
            if *has_left {
                return;
            }
            drop(write_only(self.store, request.as_bytes()));
            drop(has_left);
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read(&mut reader, false)? {
            let instance = ("Lagoonline-Instance-Id", self.name.as_str());
            match request.word(1) {
                "/healthz" => http::answer(&stream, "200 OK", &[instance], b"")?,
                "/api/report" => {
                    let report = format!("{{\"Stage\":\"unified\",\"born\":{}}}", self.born);
                    http::answer(&stream, "200 OK", &[instance], report.as_bytes())?;
                }
                "/leave" => {
                    *self.has_left.lock().unwrap() = true;
                    http::answer(&stream, "200 OK", &[], b"")?;
                }
                _ => return self.run_request(&request, &stream),
            }
        }
        Ok(())
    }

    /// Answers with a body that ends with its channel.
    fn run_request(&self, request: &http::Message, mut stream: &TcpStream) -> io::Result<()> {
        let id = request.field("lagoonline-request-id");
        let not_run = ("Lagoonline-Not-Executed", "1");
        if request.field("lagoonline-target-instance") != self.name {
            let instance = ("Lagoonline-Instance-Id", self.name.as_str());
            return http::answer(stream, "421 Misdirected Request", &[not_run, instance], b"");
        }
        let slot = self.slots.clone();
        // One is the runner's own.
        if Arc::strong_count(&slot) > SLOTS + 1 {
            return http::answer(stream, "503 Service Unavailable", &[not_run], b"");
        }
        println!("runner {} (born {}) runs {id} at {}", self.name, self.born, unix_millis());
        if self.is_quick {
            let signature = format!("s.{}.{id}", self.name);
            let fields =
                [("Lagoonline-Request-Id", id), ("Lagoonline-Response-Signature", &signature)];
            return http::answer(stream, "200 OK", &fields, HALVES.concat().as_bytes());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\
             Lagoonline-Request-Id: {id}\r\nLagoonline-Response-Signature: s.{}.{id}\r\n\r\n",
            self.name
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(HALVES[0].as_bytes())?;
        thread::sleep(HALF);
        stream.write_all(HALVES[1].as_bytes())?;
        println!("runner {} has answered {id}", self.name);
        stream.shutdown(std::net::Shutdown::Write)
    }
}

fn write_only(port: u16, request: &[u8]) -> io::Result<()> {
    http::call(port, request).map(|_| ())
}

//! Case 1: the channel of an answer without a length is reset between two events of its stream, and
//! the consumer gets an answer that ends in order.

#[path = "../platform.rs"]
mod platform;

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use platform::{End, Folder, Gateway, Record, Store, call, has_trouble, read_request, reset};

/// Pieces of a whole stream.
const PIECES: u64 = 16;
/// Pieces after which a channel is reset.
const PIECES_BEFORE_RESET: u64 = 5;
const PAUSE: Duration = Duration::from_millis(60);
/// Requests on each of the two routes.
const REQUESTS: usize = 10;

/// One of two channels is reset, half as `reset_conns` does by default.
fn is_reset(number: usize) -> bool {
    has_trouble() && number % 2 == 1
}

/// What the runner did with a request.
#[derive(Clone, Debug)]
struct Run {
    id: String,
    pieces: u64,
    was_reset: bool,
}

type Runs = Arc<Mutex<Vec<Run>>>;

fn desired() -> String {
    let engine = r#"{"Slots":16,"KvCacheTokens":232000,"Stride":43,"step_ms":1.02,"per_seq_ms":0.00226,
        "context_per_k":0.00431,"read_per_s":206000.0,"pairs_per_m":0.138,"chunk":2048,"report_lag_ms":300}"#;
    format!(
        r#"{{"Version":7,"Routes":[
        {{"Name":"r-1","Host":"ficu95.example","Prefix":"/open/","Kind":"streaming","TimeoutMs":10000,
          "TargetLatencyMs":300,"Priority":1,"Service":"llm","MaxAttempts":2,"Public":true,"Sticky":true,
          "Resumable":false,"TargetGapMs":250}},
        {{"Name":"r-2","Host":"ficu95.example","Prefix":"/chunks/","Kind":"streaming","TimeoutMs":10000,
          "TargetLatencyMs":300,"Priority":1,"Service":"llm","MaxAttempts":2,"Public":true,"Sticky":true,
          "Resumable":false,"TargetGapMs":250}}],
        "Services":[{{"Name":"llm","HealthPath":"/healthz","MaxConnections":274,"Protocol":"h1",
          "Tls":false,"Engine":{engine}}}],
        "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,
          "IdleTimeoutMs":60000}}}}"#
    )
}

/// Starts the runner `id` and registers it.
fn start_runner(store: &Store, id: &'static str, runs: Runs, record: Record) -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let entry = format!(
        r#"{{"Service":"llm","Address":"{address}","Zone":"suva","Version":"v1","Slots":16,
        "State":"ready","ColdRemainingMs":0,"Stage":"unified","Sequence":4,"born":1700000000000}}"#
    );
    store.put("servers", id, &entry);
    let number = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (runs, record, number) = (runs.clone(), record.clone(), number.clone());
            thread::spawn(move || serve(stream, id, &runs, &record, &number));
        }
    });
    Ok(())
}

fn serve(mut stream: TcpStream, own: &str, runs: &Runs, record: &Record, number: &AtomicUsize) {
    let _ = stream.set_nodelay(true);
    let mut rest = Vec::new();
    let Ok(Some(request)) = read_request(&mut stream, &mut rest) else { return };
    if request.target() == "/api/report" || request.target() == "/api/order" {
        let body = r#"{"Stage":"unified","Busy":false,"Sequence":2,"Queued":0,"Active":0,"KvUsed":0,"KvTotal":232000,"Handles":0}"#;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let _ = stream.write_all((head + body).as_bytes());
        return;
    }
    if request.field("lagoonline-target-instance").is_some_and(|target| target != own) {
        let _ = stream.write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    let id = request.field("lagoonline-request-id").unwrap_or("").to_owned();
    let has_chunks = request.target().starts_with("/chunks/");
    let resets = is_reset(number.fetch_add(1, Ordering::SeqCst));
    let framing = if has_chunks { "Transfer-Encoding: chunked" } else { "Connection: close" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nLagoonline-Request-Id: {id}\r\n\
         Lagoonline-Response-Signature: {id}.{PIECES}\r\n{framing}\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes());
    let last = if resets { PIECES_BEFORE_RESET } else { PIECES };
    for piece in 1..=last {
        thread::sleep(PAUSE);
        let event = format!("id: {piece}\ndata: piece {piece} of {PIECES}\n\n");
        let event = if has_chunks { format!("{:x}\r\n{event}\r\n", event.len()) } else { event };
        let _ = stream.write_all(event.as_bytes());
    }
    if resets {
        // What was sent has arrived by then.
        thread::sleep(PAUSE * 3);
        reset(stream);
    } else if has_chunks {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
    let end = if resets { "reset between two events" } else { "ended in order" };
    record.line(&format!("runner {own}: ran {id}, sent {last} of {PIECES} pieces, {end}"));
    runs.lock().unwrap().push(Run { id, pieces: last, was_reset: resets });
}

fn play(record: &Record) -> Result<usize, String> {
    let folder = Folder::create().map_err(|error| error.to_string())?;
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op", "config", &desired());
    let runs = Runs::default();
    for id in ["i-7f3a91c2", "i-02d9e6b4"] {
        start_runner(&store, id, runs.clone(), record.clone()).map_err(|error| error.to_string())?;
    }
    let gateway = Gateway::start("edge-suva-1", "suva", store.address, &folder.0);
    let gateway = gateway.map_err(|error| error.to_string())?;
    record.line(&format!("started {} as process {}", platform::GATEWAY, gateway.id()));
    if !gateway.wait_until_ready(Duration::from_secs(15)) {
        return Err("the entry host isn't ready".to_owned());
    }
    let mut broken = 0;
    for route in ["open", "chunks"] {
        for number in 0..REQUESTS {
            let id = format!("{route}-{number}");
            let request = format!(
                "POST /{route}/2f HTTP/1.1\r\nHost: ficu95.example\r\nLagoonline-Request-Id: {id}\r\n\
                 Lagoonline-Model: m\r\nLagoonline-Token-Count: 1460,80\r\n\
                 Lagoonline-Prompt-Prefix: 5c1e07a2:800,91bd3f06:660\r\n\
                 Lagoonline-Request-Deadline: 10000\r\nContent-Length: 4\r\n\r\nbody"
            );
            let (answer, end) = call(gateway.callers, request.as_bytes(), Duration::from_secs(12));
            thread::sleep(Duration::from_millis(20));
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let pieces = body.matches("data: piece").count() as u64;
            let known = runs.lock().unwrap().iter().rev().find(|run| run.id == id).cloned();
            let run = known.ok_or("a request was not run")?;
            let framing = match (answer.field("transfer-encoding"), answer.field("content-length")) {
                (Some(_), _) => "chunks",
                (_, Some(_)) => "a length",
                (None, None) => "its channel",
            };
            let signed = answer.field("lagoonline-response-signature").is_some();
            // The rule: an answer that ends early must not look complete.
            let is_broken = answer.status() == 200 && end == End::Complete && pieces < PIECES;
            broken += usize::from(is_broken);
            record.line(&format!(
                "consumer: {id} got {} with {pieces} of {PIECES} pieces, signed: {signed}, framed by \
                 {framing}, ended: {end:?}; the runner's channel was reset: {}{}",
                answer.status(),
                run.was_reset,
                if is_broken { "  <- ends early and looks complete" } else { "" },
            ));
            if pieces > run.pieces || (!run.was_reset && (end != End::Complete || pieces < PIECES)) {
                return Err(format!("{id} did not come as its runner sent it"));
            }
        }
    }
    Ok(broken)
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| "review/1".to_owned());
    let Ok(record) = Record::create(&Path::new(&folder).join("record.txt")) else {
        return ExitCode::from(2);
    };
    record.line(&format!("channels are reset: {}", has_trouble()));
    match play(&record) {
        Ok(0) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            record.line(&format!("MIXED broken: {broken} answers ended early and look complete"));
            ExitCode::FAILURE
        }
        Err(error) => {
            record.line(&format!("could not run: {error}"));
            ExitCode::from(2)
        }
    }
}

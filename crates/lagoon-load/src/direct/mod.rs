//! Overhead of an entry host: calls through it compared with the same calls directly to the engine.
//!
//! Both paths use loopback and alternate in the same run, so that other load on the machine affects
//! both alike. The entry host and the stand-ins are processes that already run; the CPU time and
//! memory of the entry host are read from the kernel.

pub mod call;
pub mod process;

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use hdrhistogram::Histogram;
use serde_json::json;

/// Settings of a comparison.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of the entry host.
    pub entry: net::SocketAddr,
    /// Process id of the entry host.
    pub entry_pid: u32,
    /// Address of the only engine of `model`.
    pub engine: net::SocketAddr,
    /// API key of the customer.
    pub key: String,
    /// Model of the single calls.
    pub model: String,
    /// Model of the streams, served by other engines. Their settings must give the time between
    /// tokens for which the overhead is to be measured.
    pub stream_model: String,
    /// Number of concurrent streams.
    pub streams: usize,
    /// Duration of the stream measurement, in seconds.
    pub seconds: u64,
    /// Number of rounds of single calls; each round uses both paths.
    pub rounds: usize,
}

/// Rows of single calls: prompt bytes, concurrent callers, calls of each caller per round.
const CALL_ROWS: [(usize, usize, usize); 3] =
    [(4 << 10, 1, 50), (4 << 10, 16, 50), (8 << 20, 2, 2)];
/// Answer tokens of a stream: more than it receives in a minute, but few enough that all streams
/// fit in the engines' memory. Warm-up and measurement together must take less than a minute, so
/// that no stream ends during them; this is not checked.
const STREAM_TOKENS: u64 = 2_000;
/// Time for all streams to start before the measurement.
const STREAM_WARM_UP: time::Duration = time::Duration::from_secs(3);

/// Reason why a comparison failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A call failed.
    #[error("call to {0:?}: {1}")]
    Call(call::Path, call::Error),
    /// The usage of the entry host's process cannot be read.
    #[error("entry process: {0}")]
    Process(#[from] io::Error),
}

/// Results of the calls on one path.
struct Tally {
    latencies: Histogram<u64>,
    seconds: f64,
}

/// Makes all calls and streams, and returns the figures as JSON.
///
/// # Errors
///
/// A call failed, or the usage of the entry host's process cannot be read.
pub async fn run(settings: &Settings) -> Result<serde_json::Value, Error> {
    let caller = call::Caller::new(&settings.key, &settings.model).await;
    let before = process::read(settings.entry_pid)?;
    let mut rows = Vec::new();
    for (bytes, callers, calls) in CALL_ROWS {
        rows.push(compare_paths(settings, &caller, bytes, callers, calls).await?);
    }
    let after_calls = process::read(settings.entry_pid)?;
    let streams = measure_streams(settings).await?;
    let after = process::read(settings.entry_pid)?;
    Ok(json!({
        "calls": rows,
        "streams": streams,
        "entry_kb": {
            "before": before.resident_kb,
            "after_calls": after_calls.resident_kb,
            "after_streams": after.resident_kb,
            "highest": after.peak_resident_kb,
        },
    }))
}

/// Measures one row of single calls on both paths.
async fn compare_paths(
    settings: &Settings,
    caller: &call::Caller,
    bytes: usize,
    callers: usize,
    calls: usize,
) -> Result<serde_json::Value, Error> {
    let paths = [call::Path::Engine(settings.engine), call::Path::Entry(settings.entry)];
    // One untimed call per path opens the connections and gives the entry host's learned estimates
    // a first sample.
    for path in paths {
        make_call(caller, path, bytes).await?;
    }
    let mut tallies = paths.map(|_| Tally { latencies: histogram(), seconds: 0.0 });
    for _ in 0..settings.rounds {
        for (path, tally) in paths.into_iter().zip(&mut tallies) {
            let start_time = time::Instant::now();
            let each = (0..callers).map(|_| make_calls(caller, path, bytes, calls));
            for latencies in futures_util::future::join_all(each).await {
                latencies?
                    .into_iter()
                    .for_each(|latency| tally.latencies.saturating_record(latency));
            }
            tally.seconds += start_time.elapsed().as_secs_f64();
        }
    }
    let [direct, entry] = tallies.map(|tally| figures(&tally));
    let added = |name: &str| {
        let [entry, direct] = [&entry, &direct].map(|row| row[name].as_f64().unwrap_or(f64::NAN));
        (entry - direct).round()
    };
    let (mean, p50) = (added("mean_us"), added("p50_us"));
    let (p95, p99) = (added("p95_us"), added("p99_us"));
    Ok(json!({
        "prompt_bytes": bytes,
        "callers": callers,
        "direct": direct,
        "entry": entry,
        "added_us": {"mean": mean, "p50": p50, "p95": p95, "p99": p99},
    }))
}

/// Returns a histogram of microseconds up to one hour, longer than any deadline.
fn histogram() -> Histogram<u64> {
    let histogram = Histogram::new_with_bounds(1, 3_600_000_000, 3);
    histogram.unwrap_or_else(|_| unreachable!("these bounds are allowed"))
}

fn figures(tally: &Tally) -> serde_json::Value {
    let at = |quantile| tally.latencies.value_at_quantile(quantile);
    json!({
        "calls": tally.latencies.len(),
        "per_second": (tally.latencies.len() as f64 / tally.seconds * 10.0).round() / 10.0,
        "mean_us": tally.latencies.mean().round(),
        "p50_us": at(0.5),
        "p95_us": at(0.95),
        "p99_us": at(0.99),
    })
}

/// Makes `calls` calls one after another and returns their latencies in microseconds.
async fn make_calls(
    caller: &call::Caller,
    path: call::Path,
    bytes: usize,
    calls: usize,
) -> Result<Vec<u64>, Error> {
    let mut latencies = Vec::with_capacity(calls);
    for _ in 0..calls {
        latencies.push(make_call(caller, path, bytes).await?);
    }
    Ok(latencies)
}

/// Makes one call and returns the microseconds from sending to the end of the response.
async fn make_call(caller: &call::Caller, path: call::Path, bytes: usize) -> Result<u64, Error> {
    let body = caller.body(bytes, 1, false);
    let start_time = time::Instant::now();
    let sent = caller.send(path, body, 1, |_| ()).await;
    sent.map_err(|error| Error::Call(path, error))?;
    Ok(u64::try_from(start_time.elapsed().as_micros()).unwrap_or(u64::MAX))
}

/// Streams through the entry host and measures its rate of events, `chunks` in the figures, and its
/// CPU time.
async fn measure_streams(settings: &Settings) -> Result<serde_json::Value, Error> {
    let caller = call::Caller::new(&settings.key, &settings.stream_model).await;
    let path = call::Path::Entry(settings.entry);
    let events = rc::Rc::new(cell::Cell::new(0_u64));
    let failed = rc::Rc::new(cell::RefCell::new(None));
    let tasks: Vec<_> = (0..settings.streams)
        .map(|_| {
            let (caller, events, failed) = (caller.clone(), events.clone(), failed.clone());
            ntex::rt::spawn(async move {
                let body = caller.body(1 << 10, STREAM_TOKENS, true);
                let count = |chunk: &[u8]| {
                    let starts = chunk
                        .windows(EVENT_START.len())
                        .filter(|text| *text == EVENT_START)
                        .count();
                    events.set(events.get() + starts as u64);
                };
                let ended = caller.send(path, body, STREAM_TOKENS, count).await;
                failed.replace(ended.err());
            })
        })
        .collect();
    tokio::time::sleep(STREAM_WARM_UP).await;
    let (before, events_before, start_time) =
        (process::read(settings.entry_pid)?, events.get(), time::Instant::now());
    tokio::time::sleep(time::Duration::from_secs(settings.seconds)).await;
    let (after, events_after, elapsed) =
        (process::read(settings.entry_pid)?, events.get(), start_time.elapsed().as_secs_f64());
    for task in tasks {
        task.cancel();
    }
    if let Some(error) = failed.take() {
        return Err(Error::Call(path, error));
    }
    let (count, cpu_seconds) =
        ((events_after - events_before) as f64, (after.cpu_time - before.cpu_time).as_secs_f64());
    let round = |value: f64| (value * 100.0).round() / 100.0;
    Ok(json!({
        "streams": settings.streams,
        "seconds": round(elapsed),
        "chunks": events_after - events_before,
        "chunks_per_second": round(count / elapsed),
        "processor_ms_per_1000_chunks": round(cpu_seconds * 1e6 / count),
        "processor_percent_of_a_core": round(cpu_seconds / elapsed * 100.0),
    }))
}

/// Start of each event of a streamed answer that carries tokens.
const EVENT_START: &[u8] = b"data: {";

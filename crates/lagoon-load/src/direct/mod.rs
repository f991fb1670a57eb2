//! What an entry host adds to a call, beside the same call to the engine itself.
//!
//! Both go over loopback in the same run and in turns, so that what else the machine does strikes
//! both. The entry host and the stand-ins are processes started beforehand; the entry's processor
//! time and memory are read from the kernel.

pub mod call;
pub mod process;

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use hdrhistogram::Histogram;
use serde_json::json;

/// What is compared.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The entry host.
    pub entry: net::SocketAddr,
    /// Its process.
    pub entry_id: u32,
    /// The only engine of `model`.
    pub engine: net::SocketAddr,
    /// The caller key.
    pub key: String,
    /// The model of the single calls.
    pub model: String,
    /// The model of the streams, by other engines with the target's time between tokens.
    pub stream_model: String,
    /// Streams at once.
    pub streams: usize,
    /// Seconds of streaming.
    pub seconds: u64,
    /// Rounds of single calls; in each, both paths are taken.
    pub rounds: usize,
}

/// A row of single calls: prompt bytes, callers at once, calls of each caller in a round.
const ROWS: [(usize, usize, usize); 3] = [(4 << 10, 1, 50), (4 << 10, 16, 50), (8 << 20, 2, 2)];
/// Tokens of a stream: more than it gets in a minute, few enough for the engines to hold all.
const ENDLESS: u64 = 2_000;
/// Time before the streams are measured, for all to begin.
const WARM: time::Duration = time::Duration::from_secs(3);

/// Why there are no figures.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A call failed.
    #[error("call to {0:?}: {1}")]
    Call(call::Path, call::Error),
    /// The process cannot be read.
    #[error("entry process: {0}")]
    Process(#[from] io::Error),
}

/// Calls of one path.
struct Tally {
    latencies: Histogram<u64>,
    seconds: f64,
}

/// Makes all calls and streams; the figures as JSON.
///
/// # Errors
///
/// A call failed, or the entry's process cannot be read.
pub async fn run(settings: &Settings) -> Result<serde_json::Value, Error> {
    let caller = call::Caller::new(&settings.key, &settings.model).await;
    let before = process::read(settings.entry_id)?;
    let mut rows = Vec::new();
    for (bytes, callers, calls) in ROWS {
        rows.push(compare(settings, &caller, bytes, callers, calls).await?);
    }
    let calls = process::read(settings.entry_id)?;
    let streams = stream(settings).await?;
    let after = process::read(settings.entry_id)?;
    Ok(json!({
        "calls": rows,
        "streams": streams,
        "entry_kb": {
            "before": before.resident_kb,
            "after_calls": calls.resident_kb,
            "after_streams": after.resident_kb,
            "highest": after.highest_kb,
        },
    }))
}

async fn compare(
    settings: &Settings,
    caller: &call::Caller,
    bytes: usize,
    callers: usize,
    calls: usize,
) -> Result<serde_json::Value, Error> {
    let paths = [call::Path::Engine(settings.engine), call::Path::Entry(settings.entry)];
    // One untimed call each: connections are opened, and what is learned has a first sample.
    for path in paths {
        single(caller, path, bytes).await?;
    }
    let mut tallies = paths.map(|_| Tally { latencies: histogram(), seconds: 0.0 });
    for _ in 0..settings.rounds {
        for (path, tally) in paths.into_iter().zip(&mut tallies) {
            let began = time::Instant::now();
            let each = (0..callers).map(|_| many(caller, path, bytes, calls));
            for latencies in futures_util::future::join_all(each).await {
                latencies?
                    .into_iter()
                    .for_each(|latency| tally.latencies.saturating_record(latency));
            }
            tally.seconds += began.elapsed().as_secs_f64();
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

/// Microseconds up to an hour, longer than any deadline.
fn histogram() -> Histogram<u64> {
    let histogram = Histogram::new_with_bounds(1, 3_600_000_000, 3);
    histogram.unwrap_or_else(|_| unreachable!("these bounds are allowed"))
}

fn figures(tally: &Tally) -> serde_json::Value {
    let at = |part| tally.latencies.value_at_quantile(part);
    json!({
        "calls": tally.latencies.len(),
        "per_second": (tally.latencies.len() as f64 / tally.seconds * 10.0).round() / 10.0,
        "mean_us": tally.latencies.mean().round(),
        "p50_us": at(0.5),
        "p95_us": at(0.95),
        "p99_us": at(0.99),
    })
}

async fn many(
    caller: &call::Caller,
    path: call::Path,
    bytes: usize,
    calls: usize,
) -> Result<Vec<u64>, Error> {
    let mut latencies = Vec::with_capacity(calls);
    for _ in 0..calls {
        latencies.push(single(caller, path, bytes).await?);
    }
    Ok(latencies)
}

/// Microseconds from sending to the end of the answer.
async fn single(caller: &call::Caller, path: call::Path, bytes: usize) -> Result<u64, Error> {
    let body = caller.body(bytes, 1, false);
    let began = time::Instant::now();
    let sent = caller.send(path, body, 1, |_| ()).await;
    sent.map_err(|error| Error::Call(path, error))?;
    Ok(u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX))
}

/// Streams through the entry host, and what they cost it.
async fn stream(settings: &Settings) -> Result<serde_json::Value, Error> {
    let caller = call::Caller::new(&settings.key, &settings.stream_model).await;
    let path = call::Path::Entry(settings.entry);
    let chunks = rc::Rc::new(cell::Cell::new(0_u64));
    let failed = rc::Rc::new(cell::RefCell::new(None));
    let tasks: Vec<_> = (0..settings.streams)
        .map(|_| {
            let (caller, chunks, failed) = (caller.clone(), chunks.clone(), failed.clone());
            ntex::rt::spawn(async move {
                let body = caller.body(1 << 10, ENDLESS, true);
                let count = |piece: &[u8]| {
                    let events = piece.windows(EVENT.len()).filter(|text| *text == EVENT).count();
                    chunks.set(chunks.get() + events as u64);
                };
                let ended = caller.send(path, body, ENDLESS, count).await;
                failed.replace(ended.err());
            })
        })
        .collect();
    tokio::time::sleep(WARM).await;
    let (before, first, began) =
        (process::read(settings.entry_id)?, chunks.get(), time::Instant::now());
    tokio::time::sleep(time::Duration::from_secs(settings.seconds)).await;
    let (after, last, took) =
        (process::read(settings.entry_id)?, chunks.get(), began.elapsed().as_secs_f64());
    for task in tasks {
        task.cancel();
    }
    if let Some(error) = failed.take() {
        return Err(Error::Call(path, error));
    }
    let (count, spent) =
        ((last - first) as f64, (after.processor - before.processor).as_secs_f64());
    let round = |value: f64| (value * 100.0).round() / 100.0;
    Ok(json!({
        "streams": settings.streams,
        "seconds": round(took),
        "chunks": last - first,
        "chunks_per_second": round(count / took),
        "processor_ms_per_1000_chunks": round(spent * 1e6 / count),
        "processor_percent_of_a_core": round(spent / took * 100.0),
    }))
}

/// Begins each event of a streamed answer.
const EVENT: &[u8] = b"data: {";

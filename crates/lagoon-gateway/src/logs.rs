//! Structured logs on standard output: one JSON object a line, bounded, never blocking.
//!
//! Failure answered: whoever reads the output stalls, the pipe fills, and every request waits for a
//! log line; or a storm of failures spends the host's processor on lines. Lines go through a
//! bounded channel to a thread that writes; a full channel drops the line and counts it, and the
//! next line that gets through tells how many were dropped. Lines beyond a rate are dropped the
//! same way, warnings last.

use std::io;
use std::io::Write;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

/// Lines that wait to be written: a second's worth at the highest rate.
const QUEUE: usize = 1_024;
/// Lines a second beyond which information is dropped; ten requests a second write some forty.
const RATE: u32 = 200;
/// Lines a second beyond which warnings are dropped too.
const WARN_RATE: u32 = 400;

/// Lines written in the current second.
#[derive(Debug)]
struct Rate {
    second: u64,
    lines: u32,
}

struct Output {
    lines: mpsc::SyncSender<String>,
    rate: sync::Mutex<Rate>,
    dropped: sync::Arc<atomic::AtomicU64>,
    began: time::Instant,
}

impl Output {
    fn admits(&self, level: log::Level) -> bool {
        let second = self.began.elapsed().as_secs();
        let mut rate = self.rate.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if rate.second != second {
            *rate = Rate { second, lines: 0 };
        }
        rate.lines += 1;
        rate.lines <= if level <= log::Level::Warn { WARN_RATE } else { RATE }
    }
}

impl log::Log for Output {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let sent =
            self.admits(record.level()) && self.lines.try_send(record.args().to_string()).is_ok();
        if !sent {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Starts the logs of the process.
///
/// # Errors
///
/// The writing thread cannot be started, or logs were started before.
pub fn start(level: log::LevelFilter) -> io::Result<()> {
    let (sender, receiver) = mpsc::sync_channel(QUEUE);
    let dropped = sync::Arc::new(atomic::AtomicU64::new(0));
    let began = time::Instant::now();
    let output = Output {
        lines: sender,
        rate: sync::Mutex::new(Rate { second: 0, lines: 0 }),
        dropped: dropped.clone(),
        began,
    };
    thread::Builder::new().name("logs".to_owned()).spawn(move || write(&receiver, &dropped))?;
    let layout = move |out: fern::FormatCallback<'_>,
                       text: &std::fmt::Arguments<'_>,
                       record: &log::Record<'_>| {
        let millis = began.elapsed().as_millis();
        let level = record.level();
        if record.target().starts_with("lagoon") {
            out.finish(format_args!("{{\"ms\":{millis},\"level\":\"{level}\",{text}}}"));
        } else {
            let text = serde_json::Value::String(text.to_string());
            let target = record.target();
            out.finish(format_args!(
                "{{\"ms\":{millis},\"level\":\"{level}\",\"event\":\"library\",\
                 \"library\":\"{target}\",\"text\":{text}}}"
            ));
        }
    };
    let lines: Box<dyn log::Log> = Box::new(output);
    fern::Dispatch::new()
        .format(layout)
        .level(log::LevelFilter::Warn)
        .level_for("lagoon_gateway", level)
        .chain(lines)
        .apply()
        .map_err(io::Error::other)
}

fn write(lines: &mpsc::Receiver<String>, dropped: &atomic::AtomicU64) {
    let mut output = io::stdout();
    while let Ok(line) = lines.recv() {
        let lost = dropped.swap(0, atomic::Ordering::Relaxed);
        if lost > 0 {
            let note = writeln!(output, "{{\"event\":\"lines_dropped\",\"count\":{lost}}}");
            drop(note);
        }
        // Nobody is left to be told when the output itself is gone.
        if writeln!(output, "{line}").is_err() {
            return;
        }
    }
}

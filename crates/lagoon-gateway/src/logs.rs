//! Structured logs on standard output: one JSON object per line, with a bounded queue that never
//! blocks.
//!
//! If the reader of the output stalls and the pipe fills up, a blocking log would stall every
//! request; and a burst of failures could spend the host's processor on log lines. So lines go
//! through a bounded channel to a writer thread. A line that finds the channel full is dropped and
//! counted, and the next line that is written reports the count. Lines beyond a rate limit are
//! dropped in the same way, with a higher limit for warnings.

use std::io;
use std::io::Write;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

/// Capacity of the queue: more than a second at the highest rate.
const QUEUE_LENGTH: usize = 1_024;
/// Lines per second, of all levels together, beyond which info lines are dropped; ten requests a
/// second write about forty.
const INFO_LINES_PER_SECOND: u32 = 200;
/// Lines per second, of all levels together, beyond which warnings are dropped as well.
const WARN_LINES_PER_SECOND: u32 = 400;

/// Lines counted in the current second.
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
    fn is_within_rate(&self, level: log::Level) -> bool {
        let second = self.began.elapsed().as_secs();
        let mut rate = self.rate.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if rate.second != second {
            *rate = Rate { second, lines: 0 };
        }
        rate.lines += 1;
        rate.lines
            <= if level <= log::Level::Warn { WARN_LINES_PER_SECOND } else { INFO_LINES_PER_SECOND }
    }
}

impl log::Log for Output {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let sent = self.is_within_rate(record.level())
            && self.lines.try_send(record.args().to_string()).is_ok();
        if !sent {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Starts logging for the process.
///
/// # Errors
///
/// The writer thread cannot be started, or logging was started before.
pub fn start(level: log::LevelFilter) -> io::Result<()> {
    let (sender, receiver) = mpsc::sync_channel(QUEUE_LENGTH);
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
        // The output is closed, so there is nowhere to report it.
        if writeln!(output, "{line}").is_err() {
            return;
        }
    }
}

//! Logging setup of a program: level and target come from its settings.
//!
//! Programs log changes of state, with one line for each.

use std::fmt;
use std::io;
use std::path;

use lagoonline::check;

/// Destination of log lines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// Standard error.
    Stderr,
    /// Appended to a file.
    File(path::PathBuf),
}

/// Log level and target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Lines less severe than this level are dropped.
    pub level: log::LevelFilter,
    /// Where lines are written.
    pub target: Target,
    /// Crates whose lines are all dropped.
    pub muted_crates: &'static [&'static str],
}

impl Default for Settings {
    fn default() -> Self {
        Settings { level: log::LevelFilter::Info, target: Target::Stderr, muted_crates: &[] }
    }
}

impl Settings {
    /// Reads `{"level": "info", "target": "stderr"}`; a target other than `stderr` is a path.
    ///
    /// ```
    /// use lagoon_net::logs;
    /// use lagoonline::check;
    /// let settings = check::parse(r#"{"level": "warn"}"#, logs::Settings::read).unwrap();
    /// assert_eq!(settings.level, log::LevelFilter::Warn);
    /// assert_eq!(settings.target, logs::Target::Stderr);
    /// ```
    pub fn read(reader: &check::Reader<'_>) -> Settings {
        let level = reader.parsed("level", "off, error, warn, info, debug or trace");
        let target = match reader.text("target", "stderr").as_str() {
            "stderr" => Target::Stderr,
            path => Target::File(path.into()),
        };
        Settings { level: level.unwrap_or(log::LevelFilter::Info), target, muted_crates: &[] }
    }
}

/// Libraries that log each worker and setting at start, which operators of a host do not need.
/// Their lines below warnings are dropped.
const NOISY_CRATES: [&str; 6] =
    ["ntex", "ntex_net", "ntex_rt", "ntex_server", "ntex_service", "ntex_util"];

/// Installs the logger of the process. Lines have the milliseconds since this call, the level, the
/// program and the text.
///
/// # Errors
///
/// The file cannot be opened, or a logger is installed already.
pub fn start(settings: &Settings, program: &'static str) -> io::Result<()> {
    let began = std::time::Instant::now();
    let layout = move |out: fern::FormatCallback<'_>,
                       text: &fmt::Arguments<'_>,
                       record: &log::Record<'_>| {
        let millis = began.elapsed().as_millis();
        out.finish(format_args!("{millis} {} {program} {text}", record.level()));
    };
    let mut dispatch = fern::Dispatch::new().format(layout).level(settings.level);
    for library in NOISY_CRATES {
        dispatch = dispatch.level_for(library, settings.level.min(log::LevelFilter::Warn));
    }
    for library in settings.muted_crates {
        dispatch = dispatch.level_for(*library, log::LevelFilter::Off);
    }
    let dispatch = match &settings.target {
        Target::Stderr => dispatch.chain(io::stderr()),
        Target::File(path) => dispatch.chain(fern::log_file(path)?),
    };
    dispatch.apply().map_err(io::Error::other)
}

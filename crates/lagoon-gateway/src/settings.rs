//! Settings of the process: the host's, as the platform writes them, and the product's own.

use std::fs;
use std::path;

use lagoon_platform::settings as node;
use lagoonline::check;
use lagoonline::clock;
use lagoonline::load::placement;
use lagoonline::routing;

/// What the process runs with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host, as the platform describes it.
    pub node: node::Node,
    /// The product's own figures.
    pub tuning: Tuning,
}

/// The product's own figures; all have defaults.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Lines below this level are not logged.
    pub level: log::LevelFilter,
    /// How long the platform holds a watch of the desired state open, at most half of the bound on
    /// keys: each call costs, and a version counts as confirmed from call to call.
    pub desired_wait: clock::Span,
    /// How long the platform holds a watch of the upstreams open. A connection that fell silent is
    /// found out after it, and what changed meanwhile must still be in force within the bounds.
    pub upstreams_wait: clock::Span,
    /// Pause after an answer of that watch, in which changes gather: several come in one call. At
    /// most two fifths of the bound on leaving upstreams.
    pub upstreams_pause: clock::Span,
    /// How long the platform holds a watch of the entry hosts open.
    pub hosts_wait: clock::Span,
    /// Pause after an answer of that watch. Without it, sixty hosts that restart in turn wake every
    /// watch of all hosts sixty times; a host that is heard of later only costs words.
    pub hosts_pause: clock::Span,
    /// Silence after which the row of a host is removed. A host that is cut off for longer writes
    /// its row again.
    pub hosts_gone: clock::Span,
    /// Hosts of a zone from which on one of them reads the platform for the others, and one decides
    /// where their requests go. A smaller zone saves less by it than a silent reader costs, which is
    /// found out after a second.
    pub relay_hosts: u64,
    /// How long the platform holds a watch of a host that reads for others: what those believe is
    /// older by it.
    pub reader_wait: clock::Span,
    /// Pause after an answer of the watch of the upstreams at such a host: few hosts read, so that
    /// news may come sooner for fewer calls.
    pub reader_pause: clock::Span,
    /// Time between two batches of words to the other entry hosts.
    pub words_pause: clock::Span,
    /// Figures of the placement.
    pub placement: placement::Settings,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            level: log::LevelFilter::Info,
            desired_wait: clock::Span::from_millis(2_500),
            upstreams_wait: clock::Span::from_millis(2_500),
            upstreams_pause: clock::Span::from_millis(1_200),
            hosts_wait: clock::Span::from_millis(20_000),
            relay_hosts: routing::SourceSettings::default().min_hosts,
            reader_wait: clock::Span::from_millis(1_000),
            reader_pause: clock::Span::from_millis(400),
            hosts_pause: clock::Span::from_millis(5_000),
            hosts_gone: clock::Span::from_secs(600),
            words_pause: clock::Span::from_millis(8),
            placement: placement::Settings::default(),
        }
    }
}

impl Tuning {
    /// Reads the product's own settings; what is absent has its default.
    fn read(reader: &check::Reader<'_>) -> Tuning {
        let default = Tuning::default();
        let millis = |name: &str, span: clock::Span, most: u64| {
            let span = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
            clock::Span::from_millis(reader.number(name, span, 1..=most))
        };
        let level = reader.parsed("level", "off, error, warn, info, debug or trace");
        let figure = |name: &str, value: f64| reader.float(name, value, 0.0..=10_000.0);
        let placement = placement::Settings {
            part_ms: reader.float("part_ms", default.placement.part_ms, 1.0..=10_000.0),
            loose_part_ms: reader.float(
                "loose_part_ms",
                default.placement.loose_part_ms,
                1.0..=10_000.0,
            ),
            backlog_ms: figure("backlog_ms", default.placement.backlog_ms),
            backlog_prompt_ms: figure("backlog_prompt_ms", default.placement.backlog_prompt_ms),
            backlog_growth: figure("backlog_growth", default.placement.backlog_growth),
            stall_ms: figure("stall_ms", default.placement.stall_ms),
            hold_share: figure("hold_share", default.placement.hold_share),
            jitter_ms: figure("jitter_ms", default.placement.jitter_ms),
            harm_ms: figure("harm_ms", default.placement.harm_ms),
            tight_share: reader.float("tight_share", default.placement.tight_share, 0.05..=1.0),
            stray_ms: figure("stray_ms", default.placement.stray_ms),
            reader_ms: figure("reader_ms", default.placement.reader_ms),
            read_share: figure("read_share", default.placement.read_share),
            ..default.placement
        };
        Tuning {
            level: level.unwrap_or(default.level),
            desired_wait: millis("desired_wait_ms", default.desired_wait, 30_000),
            upstreams_wait: millis("upstreams_wait_ms", default.upstreams_wait, 30_000),
            upstreams_pause: millis("upstreams_pause_ms", default.upstreams_pause, 30_000),
            hosts_wait: millis("hosts_wait_ms", default.hosts_wait, 30_000),
            relay_hosts: reader.number("relay_hosts", default.relay_hosts, 2..=1_000_000),
            reader_wait: millis("reader_wait_ms", default.reader_wait, 1_500),
            reader_pause: millis("reader_pause_ms", default.reader_pause, 1_000),
            hosts_pause: millis("hosts_pause_ms", default.hosts_pause, 30_000),
            hosts_gone: millis("hosts_gone_ms", default.hosts_gone, 86_400_000),
            words_pause: millis("words_pause_ms", default.words_pause, 10_000),
            placement,
        }
    }
}

/// Reads the host's settings, and the product's own where a file of them is given.
///
/// # Errors
///
/// The files that cannot be read or used, each fault on a line of its own.
///
/// ```
/// use std::path::Path;
/// let error = lagoon_gateway::load(Path::new("/no/such/file"), None).unwrap_err();
/// assert!(error.starts_with("/no/such/file: "));
/// ```
pub fn load(host: &path::Path, own: Option<&path::Path>) -> Result<Settings, String> {
    let text = read(host)?;
    let node = node::read(&text).map_err(|faults| prefixed(host, &faults.0))?;
    let tuning = match own {
        None => Tuning::default(),
        Some(file) => check::parse(&read(file)?, Tuning::read).map_err(|faults| {
            let lines: Vec<_> = faults.0.iter().map(ToString::to_string).collect();
            prefixed(file, &lines)
        })?,
    };
    Ok(Settings { node, tuning })
}

fn read(file: &path::Path) -> Result<String, String> {
    fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))
}

fn prefixed(file: &path::Path, faults: &[String]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("{}: {fault}", file.display())).collect();
    lines.join("\n")
}

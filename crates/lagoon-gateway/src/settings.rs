//! Settings of the process: the host's, written by the platform, and the tuning of this program.

use std::fs;
use std::path;

use lagoon_platform::settings as node;
use lagoonline::check;
use lagoonline::clock;
use lagoonline::load::placement;
use lagoonline::routing;

/// All settings of the process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings of the host, written by the platform.
    pub node: node::Node,
    /// Tuning of this program.
    pub tuning: Tuning,
}

/// Tuning of this program; every setting has a default. A wait is how long the platform holds a
/// call open, a pause is the time between two calls to it.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// Minimum level of the lines that are logged.
    pub level: log::LevelFilter,
    /// How long the platform holds a watch of the desired state open, at most half of the key
    /// revocation bound and of the bound on evacuations. Each call has a cost, and the version in force is confirmed once per call.
    pub desired_wait: clock::Span,
    /// How long the platform holds a watch of the upstreams open. A dead connection is noticed only
    /// after this time, and changes made meanwhile must still be applied within the bounds.
    pub upstreams_wait: clock::Span,
    /// Pause after an answer of the upstreams watch, so that several changes arrive in one call.
    /// Limited to two fifths of the bound on leaving upstreams.
    pub upstreams_pause: clock::Span,
    /// How long the platform holds a watch of the entry hosts open.
    pub hosts_wait: clock::Span,
    /// Pause after an answer of the entry hosts watch. Without it, a rolling restart of sixty hosts
    /// wakes the watch of every host sixty times; learning of a host later costs only some
    /// messages.
    pub hosts_pause: clock::Span,
    /// Time without heartbeats after which a host's row is removed. A host that is only cut off
    /// writes its row again.
    pub hosts_gone: clock::Span,
    /// Minimum number of hosts in a zone for one of them to read the platform for the others and
    /// for one to place their requests. A smaller zone saves less than a failed reader costs, which
    /// is noticed only after a second.
    pub relay_hosts: u64,
    /// How long the platform holds a watch open that was made by a host which reads for others. It
    /// adds to the age of what the others know.
    pub reader_wait: clock::Span,
    /// Pause after an answer of the upstreams watch at a host that reads for others. Few hosts
    /// read, so changes can arrive sooner at fewer calls.
    pub reader_pause: clock::Span,
    /// Time after a restore of the platform from an older copy in which operators write again what was
    /// lost. What the platform shows until then confirms no keys. Setting `settle_ms`.
    pub settle_span: clock::Span,
    /// Time for which updates to the other entry hosts are collected into a batch. Setting
    /// `words_pause_ms`.
    pub batch_window: clock::Span,
    /// Settings of the placement; [`placement::Settings`] explains each.
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
            settle_span: clock::Span::from_secs(2),
            batch_window: clock::Span::from_millis(8),
            placement: placement::Settings::default(),
        }
    }
}

impl Tuning {
    /// Reads the tuning; absent settings have their defaults.
    fn read(reader: &check::Reader<'_>) -> Tuning {
        let default = Tuning::default();
        let millis = |name: &str, span: clock::Span, most: u64| {
            let span = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
            clock::Span::from_millis(reader.number(name, span, 1..=most))
        };
        let level = reader.parsed("level", "off, error, warn, info, debug or trace");
        let float = |name: &str, value: f64| reader.float(name, value, 0.0..=10_000.0);
        let placement = placement::Settings {
            part_ms: reader.float("part_ms", default.placement.part_ms, 1.0..=10_000.0),
            loose_part_ms: reader.float(
                "loose_part_ms",
                default.placement.loose_part_ms,
                1.0..=10_000.0,
            ),
            backlog_ms: float("backlog_ms", default.placement.backlog_ms),
            backlog_reference_ms: float(
                "backlog_prompt_ms",
                default.placement.backlog_reference_ms,
            ),
            backlog_growth: float("backlog_growth", default.placement.backlog_growth),
            tight_slack_ms: float("stall_ms", default.placement.tight_slack_ms),
            slot_wait_share: float("hold_share", default.placement.slot_wait_share),
            jitter_ms: float("jitter_ms", default.placement.jitter_ms),
            lateness_cost_share: float("harm_share", default.placement.lateness_cost_share),
            tight_share: reader.float("tight_share", default.placement.tight_share, 0.05..=1.0),
            spillover_penalty_ms: float("stray_ms", default.placement.spillover_penalty_ms),
            idle_penalty_ms: float("reader_ms", default.placement.idle_penalty_ms),
            prefill_share: float("read_share", default.placement.prefill_share),
            fair_prefill: reader.flag("fair_prefill", default.placement.fair_prefill),
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
            settle_span: millis("settle_ms", default.settle_span, 60_000),
            batch_window: millis("words_pause_ms", default.batch_window, 10_000),
            placement,
        }
    }
}

/// Reads the host's settings, and the tuning if a file is given.
///
/// # Errors
///
/// A file cannot be read or is invalid; one line per fault.
///
/// ```
/// use std::path::Path;
/// let error = lagoon_gateway::load(Path::new("/no/such/file"), None).unwrap_err();
/// assert!(error.starts_with("/no/such/file: "));
/// ```
pub fn load(node_file: &path::Path, tuning_file: Option<&path::Path>) -> Result<Settings, String> {
    let text = read(node_file)?;
    let node = node::read(&text).map_err(|faults| prefixed(node_file, &faults.0))?;
    let tuning = match tuning_file {
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

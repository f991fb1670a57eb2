//! Settings of an entry host: one JSON file, fully validated before anything starts.

use std::fs;
use std::net;
use std::path;

use lagoonline::check;
use lagoonline::clock;
use lagoonline::control::document;
use lagoonline::id;
use lagoonline::load;
use serde_json::Value;

use super::queue_settings;
use crate::logs;
use crate::platform;
use crate::wire;

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest request head, in bytes.
    pub head_bytes: usize,
    /// Most headers in a request.
    pub headers: usize,
    /// Longest body of a model call, in bytes. It is kept in memory until it is dispatched.
    pub body_bytes: usize,
    /// Longest body of a service call, in bytes. It is streamed.
    pub service_body_bytes: u64,
    /// Timeout for receiving a request's head.
    pub head_timeout: clock::Span,
    /// Longest pause between two chunks of a request body.
    pub body_timeout: clock::Span,
    /// How long an idle connection is kept open.
    pub keep_alive: clock::Span,
    /// How long a caller may take after its deadline to read the rest of a response.
    pub linger: clock::Span,
    /// Longest wait of a service call for a replica with a free slot.
    pub service_wait: clock::Span,
    /// Most calls of one service that may wait for a slot.
    pub service_waiting: usize,
    /// Limit on repeating a model call. Until a response starts it bounds the rounds of finding a
    /// slot and dispatching, which include rounds that fail before the dispatch. A stream that
    /// breaks off moves to another engine only if the call was dispatched fewer times than this.
    pub max_attempts: u32,
    /// Batches of a streamed response that are buffered for a slow caller before reading from the
    /// engine pauses.
    pub stream_batches: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head_bytes: 64 << 10,
            headers: 96,
            body_bytes: 64 << 20,
            service_body_bytes: 1 << 30,
            head_timeout: clock::Span::from_secs(5),
            body_timeout: clock::Span::from_secs(10),
            keep_alive: clock::Span::from_secs(75),
            linger: clock::Span::from_secs(10),
            service_wait: clock::Span::from_secs(5),
            service_waiting: 1_024,
            max_attempts: 6,
            stream_batches: 16,
        }
    }
}

/// Settings of an entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for callers; with port 0 the kernel chooses a port.
    pub listen: net::SocketAddr,
    /// Number of worker threads.
    pub workers: usize,
    /// Name of this entry host.
    pub host: id::Host,
    /// Availability zone of this host.
    pub zone: id::Zone,
    /// Region of this host, from the settings file; no other code reads it.
    pub region: id::Region,
    /// Address of the steward that provides sections. Without a steward, only `sections` below are
    /// used.
    pub steward: Option<net::SocketAddr>,
    /// Shared key of the fleet, which the steward must have too.
    pub key: wire::Key,
    /// The platform that stores idempotency keys. Without one, calls that have a key and may not be
    /// repeated are refused.
    pub platform: Option<platform::Settings>,
    /// Sections in force at the start.
    pub sections: Vec<document::Section>,
    /// Limits on requests.
    pub limits: Limits,
    /// How long a drain reports the host as unready before it refuses new requests.
    pub unready: clock::Span,
    /// Longest drain; requests still in progress after it fail.
    pub grace: clock::Span,
    /// Scheduling policy and queue limits, from the object `queue` of the settings file.
    pub scheduling: load::Settings,
    /// Log settings.
    pub logs: logs::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            workers: 2,
            host: id::Host::from("entry"),
            zone: id::Zone::default(),
            region: id::Region::default(),
            steward: None,
            key: wire::Key::new(&[]),
            platform: None,
            sections: Vec::new(),
            limits: Limits::default(),
            unready: clock::Span::from_millis(500),
            grace: clock::Span::from_secs(600),
            scheduling: load::Settings::default(),
            logs: logs::Settings::default(),
        }
    }
}

/// Error while loading a settings file.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {cause}")]
pub struct LoadError {
    /// The file that cannot be used.
    pub file: path::PathBuf,
    /// What is wrong with it.
    pub cause: LoadErrorCause,
}

/// Reason why a file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadErrorCause {
    /// It cannot be read.
    #[error("{0}")]
    Unreadable(std::io::Error),
    /// Its contents are invalid.
    #[error("{0}")]
    Invalid(check::Faults),
}

impl Settings {
    /// Reads a settings file and the document file that it may name.
    ///
    /// # Errors
    ///
    /// The file with everything that is wrong in it, each entry with its JSON pointer.
    pub fn load(file: &path::Path) -> Result<Settings, LoadError> {
        let text = read_file(file)?;
        let refuse =
            |faults| LoadError { file: file.to_owned(), cause: LoadErrorCause::Invalid(faults) };
        let (mut settings, document) = Settings::parse(&text).map_err(refuse)?;
        if let Some(path) = document {
            settings.sections.extend(load_document(&path)?);
        }
        Ok(settings)
    }

    /// Parses settings. The second value is the path of a document file, if one is named.
    ///
    /// # Errors
    ///
    /// Everything that is wrong in the text, each entry with its JSON pointer.
    ///
    /// ```
    /// use lagoon_net::entry::Settings;
    /// let text = r#"{"listen": "127.0.0.1:0", "host": "suva-1", "zone": "suva",
    ///     "sections": {"labels": {"version": 1, "models": {"tin-label": {}}}}}"#;
    /// let (settings, document) = Settings::parse(text).unwrap();
    /// assert_eq!(settings.zone.as_str(), "suva");
    /// assert_eq!(settings.sections.len(), 1);
    /// assert!(document.is_none());
    /// let faults = Settings::parse(r#"{"listen": "here", "host": "a"}"#).unwrap_err();
    /// assert_eq!(
    ///     faults.to_string(),
    ///     "/listen: must be IP:PORT\n/zone: must be given and not be empty"
    /// );
    /// ```
    pub fn parse(text: &str) -> Result<(Settings, Option<path::PathBuf>), check::Faults> {
        let mut value: Value = serde_json::from_str(text).map_err(syntax_error)?;
        let sections = value.as_object_mut().and_then(|fields| fields.remove("sections"));
        let mut faults = Vec::new();
        let read = match check::object(&value, read_settings) {
            Ok(read) => Some(read),
            Err(found) => {
                faults.extend(found.0);
                None
            }
        };
        let sections = sections.map(|value| read_sections(value, "/sections", &mut faults));
        faults.sort();
        match read {
            Some((settings, document)) if faults.is_empty() => {
                let sections = sections.unwrap_or_default();
                Ok((Settings { sections, ..settings }, document))
            }
            _ => Err(check::Faults(faults)),
        }
    }
}

fn syntax_error(error: serde_json::Error) -> check::Faults {
    check::Faults(vec![check::Fault { pointer: String::new(), reason: error.to_string() }])
}

fn read_file(file: &path::Path) -> Result<String, LoadError> {
    let unreadable =
        |error| LoadError { file: file.to_owned(), cause: LoadErrorCause::Unreadable(error) };
    fs::read_to_string(file).map_err(unreadable)
}

fn load_document(file: &path::Path) -> Result<Vec<document::Section>, LoadError> {
    let text = read_file(file)?;
    parse_document(&text).map_err(|faults| LoadError {
        file: file.to_owned(),
        cause: LoadErrorCause::Invalid(faults),
    })
}

/// Parses a whole document: `{"sections": {TEAM: {"version": N, ...}}}`.
///
/// # Errors
///
/// Everything that is wrong in any section, each entry with its JSON pointer.
///
/// ```
/// use lagoon_net::entry;
/// let text = r#"{"sections": {"a": {"version": 4, "models": {"m": {}}}}}"#;
/// let sections = entry::parse_document(text).unwrap();
/// assert_eq!(sections[0].version.0, 4);
/// ```
pub fn parse_document(text: &str) -> Result<Vec<document::Section>, check::Faults> {
    let mut value: Value = serde_json::from_str(text).map_err(syntax_error)?;
    let sections = value.as_object_mut().and_then(|fields| fields.remove("sections"));
    let mut faults = Vec::new();
    if let Err(found) = check::object(&value, |_| ()) {
        faults.extend(found.0);
    }
    let sections = sections.unwrap_or_else(|| Value::Object(serde_json::Map::new()));
    let sections = read_sections(sections, "/sections", &mut faults);
    if faults.is_empty() { Ok(sections) } else { Err(check::Faults(faults)) }
}

/// Parses the sections of all teams; a missing version counts as 1. What is wrong in them is added
/// to `faults`.
fn read_sections(
    value: Value,
    pointer: &str,
    faults: &mut Vec<check::Fault>,
) -> Vec<document::Section> {
    let Value::Object(teams) = value else {
        let reason = "must be an object".to_owned();
        faults.push(check::Fault { pointer: pointer.to_owned(), reason });
        return Vec::new();
    };
    let mut sections = Vec::new();
    for (team, mut body) in teams {
        let place = format!("{pointer}/{}", team.replace('~', "~0").replace('/', "~1"));
        let version = body.as_object_mut().and_then(|fields| fields.remove("version"));
        let version = version.map_or(Some(1), |version| version.as_u64());
        let Some(version) = version else {
            let reason = "must be a whole number".to_owned();
            faults.push(check::Fault { pointer: format!("{place}/version"), reason });
            continue;
        };
        let (team, version) = (id::Team::from(team), id::Version(version));
        match document::Section::parse(team, version, &body.to_string()) {
            Ok(section) => sections.push(section),
            Err(found) => faults.extend(found.0.into_iter().map(|fault| check::Fault {
                pointer: format!("{place}{}", fault.pointer),
                reason: fault.reason,
            })),
        }
    }
    sections
}

fn read_settings(reader: &check::Reader<'_>) -> (Settings, Option<path::PathBuf>) {
    let default = Settings::default();
    let zone = id::Zone::from(reader.required("zone"));
    let scheduling = reader.child("queue", |reader| queue_settings::read(reader, &zone));
    let settings = Settings {
        listen: reader.required_parsed("listen", "IP:PORT", default.listen),
        workers: read_size(reader, "workers", default.workers, 1, 256),
        host: id::Host::from(reader.required("host")),
        region: id::Region::from(reader.text("region", "")),
        steward: reader.parsed("steward", "IP:PORT"),
        key: wire::Key::new(read_key(reader).as_bytes()),
        platform: reader.child("platform", platform::Settings::read),
        sections: Vec::new(),
        limits: reader.child("limits", read_limits).unwrap_or_default(),
        unready: read_span(reader, "unready_ms", default.unready, 0, 60_000),
        grace: read_span(reader, "grace_ms", default.grace, 0, 86_400_000),
        scheduling: scheduling
            .unwrap_or_else(|| load::Settings { zone: zone.clone(), ..default.scheduling }),
        logs: reader.child("logs", logs::Settings::read).unwrap_or_default(),
        zone,
    };
    let document = reader.text("document", "");
    (settings, (!document.is_empty()).then(|| path::PathBuf::from(document)))
}

/// Reads the fleet's key, which is required if there is a steward.
fn read_key(reader: &check::Reader<'_>) -> String {
    if reader.has("steward") { reader.required("key") } else { reader.text("key", "") }
}

fn read_limits(reader: &check::Reader<'_>) -> Limits {
    let default = Limits::default();
    let attempts = reader.number("attempts", u64::from(default.max_attempts), 1..=100);
    Limits {
        head_bytes: read_size(reader, "head_bytes", default.head_bytes, 1_024, 1 << 20),
        headers: read_size(reader, "headers", default.headers, 8, 1_024),
        body_bytes: read_size(reader, "body_bytes", default.body_bytes, 1_024, 1 << 30),
        service_body_bytes: reader.number(
            "service_body_bytes",
            default.service_body_bytes,
            0..=1 << 40,
        ),
        head_timeout: read_span(reader, "head_timeout_ms", default.head_timeout, 1_000, 600_000),
        body_timeout: read_span(reader, "body_timeout_ms", default.body_timeout, 10, 600_000),
        keep_alive: read_span(reader, "keep_alive_ms", default.keep_alive, 1_000, 3_600_000),
        linger: read_span(reader, "linger_ms", default.linger, 0, 3_600_000),
        service_wait: read_span(reader, "service_wait_ms", default.service_wait, 0, 3_600_000),
        service_waiting: read_size(
            reader,
            "service_waiting",
            default.service_waiting,
            0,
            1_000_000,
        ),
        max_attempts: u32::try_from(attempts).unwrap_or(default.max_attempts),
        stream_batches: read_size(reader, "stream_batches", default.stream_batches, 1, 4_096),
    }
}

pub(crate) fn read_size(
    reader: &check::Reader<'_>,
    name: &str,
    default: usize,
    min: u64,
    max: u64,
) -> usize {
    let number = reader.number(name, default as u64, min..=max);
    usize::try_from(number).unwrap_or(default)
}

pub(crate) fn read_span(
    reader: &check::Reader<'_>,
    name: &str,
    default: clock::Span,
    min: u64,
    max: u64,
) -> clock::Span {
    let default_ms = u64::try_from(default.as_millis()).unwrap_or(max);
    clock::Span::from_millis(reader.number(name, default_ms, min..=max))
}

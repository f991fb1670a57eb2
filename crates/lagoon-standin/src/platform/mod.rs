//! The platform in one server: table, objects, list of hosts, weight store.

mod http;
mod limit;
mod settings;
mod table;

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub(crate) use http::handle;
pub use settings::Settings;
pub use table::{Commit, Row, Table};

use crate::port;
use crate::server;

/// Snapshots of the list of hosts kept, so that a lagging one can be shown.
const SNAPSHOTS: usize = 1_024;

/// Fault switches of the platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// It is out: every call is answered 503 and has no effect.
    pub down: bool,
    /// Milliseconds before a call is looked at.
    pub delay_ms: u64,
    /// A write takes effect, its answer is lost.
    pub lose_answer: bool,
    /// Reads allowed in a second.
    pub reads_per_second: f64,
    /// Rows and objects written in a second.
    pub writes_per_second: f64,
    /// Age of the list of hosts, in milliseconds.
    pub hosts_lag_ms: u64,
    /// Zones whose hosts get no answer.
    pub cut: Vec<String>,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            down: false,
            delay_ms: 0,
            lose_answer: false,
            reads_per_second: 2_000.0,
            writes_per_second: 400.0,
            hosts_lag_ms: 2_000,
            cut: Vec::new(),
        }
    }
}

/// One line of the list of hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Name of the upstream or entry host.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Which life of it the line speaks of.
    pub incarnation: u64,
    /// `live` or `leaving`.
    pub state: String,
}

/// What the platform did.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Reads answered.
    pub reads: u64,
    /// Rows and objects written.
    pub writes: u64,
    /// Calls refused: over a limit, a check that failed, or out.
    pub refused: u64,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    table: Table,
    objects: collections::HashMap<String, Bytes>,
    hosts: collections::VecDeque<(time::Instant, Vec<HostEntry>)>,
    reads: limit::Bucket,
    writes: limit::Bucket,
    weights: limit::Bucket,
    record: Record,
}

/// The platform's servers, as one.
#[derive(Debug)]
pub struct Platform {
    /// What it was started with.
    pub settings: Settings,
    state: sync::Mutex<State>,
}

impl Platform {
    /// A platform that stores nothing yet.
    pub fn new(settings: Settings) -> Self {
        let now = time::Instant::now();
        let state = State {
            faults: settings.faults.clone(),
            table: Table::default(),
            objects: collections::HashMap::new(),
            hosts: collections::VecDeque::from([(now, settings.hosts.clone())]),
            reads: limit::Bucket::new(now),
            writes: limit::Bucket::new(now),
            weights: limit::Bucket::new(now),
            record: Record::default(),
        };
        Platform { settings, state: sync::Mutex::new(state) }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// The switches as they stand.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Sets the switches.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// What it did.
    pub fn record(&self) -> Record {
        self.lock().record
    }

    /// All rows whose keys start with `prefix`, past limits and faults.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.lock().table.rows(prefix, "", usize::MAX)
    }

    /// Writes a row, past limits and faults; its new version.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.lock().table.put(key, value)
    }

    /// Replaces the list of hosts; readers see it after the lag.
    pub fn set_hosts(&self, lines: Vec<HostEntry>) {
        let mut state = self.lock();
        if state.hosts.len() == SNAPSHOTS {
            state.hosts.pop_front();
        }
        state.hosts.push_back((time::Instant::now(), lines));
    }

    /// The list as it is now, without the lag.
    pub fn hosts(&self) -> Vec<HostEntry> {
        self.lock().hosts.back().map(|(_, lines)| lines.clone()).unwrap_or_default()
    }
}

/// Starts the platform with threads of its own.
///
/// # Errors
///
/// The address cannot be bound, or a thread not be started.
///
/// ```
/// use lagoon_standin::platform;
/// let running = platform::start(platform::Settings::default()).unwrap();
/// assert_eq!(running.node().put("section/a", "{}"), 1);
/// assert_eq!(running.node().rows("section/").len(), 1);
/// ```
pub fn start(settings: Settings) -> io::Result<server::Running<Platform>> {
    let bound = bind(settings)?;
    let server = server::serve(vec![bound.0])?;
    Ok(server::Running::new(bound.1, bound.2, sync::Arc::new(server)))
}

type Bound = ((net::TcpListener, server::Node), net::SocketAddr, sync::Arc<Platform>);

/// Binds a platform that is not served yet.
pub(crate) fn bind(settings: Settings) -> io::Result<Bound> {
    let listener = port::bind(settings.address)?;
    let address = listener.local_addr()?;
    let platform = sync::Arc::new(Platform::new(Settings { address, ..settings }));
    Ok(((listener, server::Node::Platform(platform.clone())), address, platform))
}

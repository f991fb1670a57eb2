//! Platform stand-in: table, object store, host list and weight store in one server.

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

use crate::server;
use crate::transport;

/// Number of host list snapshots kept, from which an outdated list is served.
const MAX_HOST_SNAPSHOTS: usize = 1_024;

/// Fault switches of the platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage: every call is answered with 503 and has no effect.
    pub down: bool,
    /// Delay before a call is handled, in milliseconds.
    pub delay_ms: u64,
    /// Writes take effect, but their responses are lost.
    pub lose_answer: bool,
    /// Limit of reads per second.
    pub reads_per_second: f64,
    /// Limit of rows and objects written per second. A commit without writes counts as one.
    pub writes_per_second: f64,
    /// Delay after which a change of the host list becomes visible, in milliseconds.
    pub hosts_lag_ms: u64,
    /// Zones that are cut off: requests whose `Lagoon-Zone` header names one are held until the cut
    /// ends. After 30 s their connection is closed without a response.
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

/// One entry of the host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Name of the upstream or entry host.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Incarnation of the host, a number that grows with each of its restarts.
    pub incarnation: u64,
    /// `live` or `leaving`.
    pub state: String,
}

/// Counters of the platform's activity, for test assertions.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Number of reads answered.
    pub reads: u64,
    /// Number of rows and objects written. A commit without writes counts as one.
    pub writes: u64,
    /// Number of calls refused by a rate limit, a failed precondition or an outage.
    pub refused: u64,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    table: Table,
    objects: collections::HashMap<String, Bytes>,
    /// Host list snapshots with the time of each change, the oldest first.
    hosts: collections::VecDeque<(time::Instant, Vec<HostEntry>)>,
    /// Rate limit of reads; the other two limit writes and weight requests.
    reads: limit::Bucket,
    writes: limit::Bucket,
    weights: limit::Bucket,
    record: Record,
}

/// The platform: settings, and state behind one lock.
#[derive(Debug)]
pub struct Platform {
    /// Settings, with the address that is actually bound.
    pub settings: Settings,
    state: sync::Mutex<State>,
}

impl Platform {
    /// Creates a platform with an empty table and no objects.
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

    /// Returns the current fault switches.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the activity counters.
    pub fn record(&self) -> Record {
        self.lock().record
    }

    /// Returns all rows whose keys start with `prefix`. Bypasses rate limits and faults.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.lock().table.rows(prefix, "", usize::MAX)
    }

    /// Writes a row and returns its new version. Bypasses rate limits and faults.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.lock().table.put(key, value)
    }

    /// Replaces the host list; HTTP callers see it after `hosts_lag_ms`.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        let mut state = self.lock();
        if state.hosts.len() == MAX_HOST_SNAPSHOTS {
            state.hosts.pop_front();
        }
        state.hosts.push_back((time::Instant::now(), hosts));
    }

    /// Returns the current host list, without the lag.
    pub fn hosts(&self) -> Vec<HostEntry> {
        self.lock().hosts.back().map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }
}

/// Starts the platform on its own threads.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or a thread cannot be started.
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

/// Creates a platform and binds its address, without serving it yet.
pub(crate) fn bind(settings: Settings) -> io::Result<Bound> {
    let listener = transport::bind(settings.address)?;
    let address = listener.local_addr()?;
    let platform = sync::Arc::new(Platform::new(Settings { address, ..settings }));
    Ok(((listener, server::Node::Platform(platform.clone())), address, platform))
}

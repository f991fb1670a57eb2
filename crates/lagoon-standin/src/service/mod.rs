//! A replica of a plain service: answers any call, and keeps a record of those that ran.

mod http;
mod settings;

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;

use serde::{Deserialize, Serialize};

pub(crate) use http::handle;
pub use settings::Settings;

use crate::fault;
use crate::gate;
use crate::port;
use crate::server;

/// Fault switches of a service; all off by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// It is dead: connections are refused, and those there were are closed.
    pub down: bool,
    /// Milliseconds before a request is looked at.
    pub delay_ms: u64,
    /// The call runs, its answer is lost.
    pub lose_answer: bool,
    /// Share of requests lost before they run, 0 to 1.
    pub loss: f64,
    /// Zones whose entry hosts get no answer.
    pub cut: Vec<String>,
}

/// One call that reached the service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRecord {
    /// The attempt, as it came.
    pub attempt: String,
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// SHA-256 of its whole body, as 64 hex digits; empty when half a body came.
    pub body_sha256: String,
    /// Whether it ran; half a body does not run.
    pub ran: bool,
}

/// What a service did.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Every call, in the order in which they ran.
    pub calls: Vec<CallRecord>,
}

/// One replica.
#[derive(Debug)]
pub struct Service {
    /// What it was started with.
    pub settings: Settings,
    faults: sync::Mutex<Faults>,
    calls: sync::Mutex<Vec<CallRecord>>,
    running: atomic::AtomicUsize,
    pub(crate) gate: gate::Gate,
    leaving: atomic::AtomicBool,
}

impl Service {
    /// A replica that did nothing yet.
    pub fn new(settings: Settings) -> Self {
        Service {
            settings,
            faults: sync::Mutex::default(),
            calls: sync::Mutex::default(),
            running: atomic::AtomicUsize::new(0),
            gate: gate::Gate::default(),
            leaving: atomic::AtomicBool::new(false),
        }
    }

    /// The switches as they stand.
    pub fn faults(&self) -> Faults {
        self.faults.lock().unwrap_or_else(sync::PoisonError::into_inner).clone()
    }

    /// Sets the switches. `down` ends its connections and refuses new ones.
    pub fn set_faults(&self, faults: Faults) {
        self.gate.set(!faults.down);
        *self.faults.lock().unwrap_or_else(sync::PoisonError::into_inner) = faults;
    }

    /// The platform's word to leave: calls in progress end, new ones are refused as not run.
    pub fn leave(&self) {
        self.leaving.store(true, atomic::Ordering::Release);
    }

    /// What it did.
    pub fn record(&self) -> Record {
        let calls = self.calls.lock().unwrap_or_else(sync::PoisonError::into_inner);
        Record { calls: calls.clone() }
    }

    fn note(&self, call: CallRecord) {
        self.calls.lock().unwrap_or_else(sync::PoisonError::into_inner).push(call);
    }

    fn port_faults(&self) -> fault::Port {
        let Faults { down, delay_ms, loss, cut, .. } = self.faults();
        fault::Port { down, delay_ms, loss, cut }
    }
}

/// Starts one replica with threads of its own.
///
/// # Errors
///
/// The address cannot be bound, or a thread not be started.
///
/// ```
/// use lagoon_standin::service;
/// let running = service::start(service::Settings::default()).unwrap();
/// assert!(running.node().record().calls.is_empty());
/// ```
pub fn start(settings: Settings) -> io::Result<server::Running<Service>> {
    let bound = bind(settings)?;
    let server = server::serve(vec![bound.0])?;
    Ok(server::Running::new(bound.1, bound.2, sync::Arc::new(server)))
}

type Bound = ((net::TcpListener, server::Node), net::SocketAddr, sync::Arc<Service>);

/// Binds a replica that is not served yet.
pub(crate) fn bind(settings: Settings) -> io::Result<Bound> {
    let listener = port::bind(settings.address)?;
    let address = listener.local_addr()?;
    let service = sync::Arc::new(Service::new(Settings { address, ..settings }));
    service.gate.hold(&listener)?;
    Ok(((listener, server::Node::Service(service.clone())), address, service))
}

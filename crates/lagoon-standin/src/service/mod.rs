//! Stand-in for a replica of a plain service, one that is not a model engine: answers any call and
//! records the calls that it accepted.

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
use crate::listener;
use crate::server;
use crate::transport;

/// Fault switches of a service; all off by default.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The process is down: new connections are refused and open ones are closed.
    pub down: bool,
    /// Delay before a request is handled, in milliseconds.
    pub delay_ms: u64,
    /// Calls run, but their responses are lost.
    pub lose_answer: bool,
    /// Probability that a request is dropped before it runs, 0 to 1.
    pub loss: f64,
    /// Zones that are cut off: requests whose `Lagoon-Zone` header names one are held until the cut
    /// ends, before they run and again before their response is sent. After 30 s of either wait the
    /// connection is closed without a response.
    pub cut: Vec<String>,
}

/// One call that was accepted, so neither refused as not run nor dropped by a fault.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRecord {
    /// Value of the header `Lagoon-Attempt`.
    pub attempt: String,
    /// HTTP method.
    pub method: String,
    /// Request path.
    pub path: String,
    /// SHA-256 of the body, as 64 hex digits; empty when the body was incomplete.
    pub body_sha256: String,
    /// Whether it ran; a call with an incomplete body does not run.
    pub ran: bool,
}

/// Record of a service's activity, for test assertions.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Calls in the order of recording. Refused and dropped calls and administrative ones are not
    /// recorded.
    pub calls: Vec<CallRecord>,
}

/// One replica of a plain service.
#[derive(Debug)]
pub struct Service {
    /// Settings, with the address that is actually bound.
    pub settings: Settings,
    faults: sync::Mutex<Faults>,
    calls: sync::Mutex<Vec<CallRecord>>,
    in_flight: atomic::AtomicUsize,
    pub(crate) listener: listener::Listener,
    leaving: atomic::AtomicBool,
}

impl Service {
    /// Creates a replica with an empty record.
    pub fn new(settings: Settings) -> Self {
        Service {
            settings,
            faults: sync::Mutex::default(),
            calls: sync::Mutex::default(),
            in_flight: atomic::AtomicUsize::new(0),
            listener: listener::Listener::default(),
            leaving: atomic::AtomicBool::new(false),
        }
    }

    /// Returns the current fault switches.
    pub fn faults(&self) -> Faults {
        self.faults.lock().unwrap_or_else(sync::PoisonError::into_inner).clone()
    }

    /// Sets the fault switches. `down` closes all connections and refuses new ones.
    pub fn set_faults(&self, faults: Faults) {
        self.listener.set_open(!faults.down);
        *self.faults.lock().unwrap_or_else(sync::PoisonError::into_inner) = faults;
    }

    /// Starts a drain, as when the platform announces that the replica leaves: calls in flight
    /// finish, new ones are refused as not run.
    pub fn leave(&self) {
        self.leaving.store(true, atomic::Ordering::Release);
    }

    /// Returns the record of calls.
    pub fn record(&self) -> Record {
        let calls = self.calls.lock().unwrap_or_else(sync::PoisonError::into_inner);
        Record { calls: calls.clone() }
    }

    fn record_call(&self, call: CallRecord) {
        self.calls.lock().unwrap_or_else(sync::PoisonError::into_inner).push(call);
    }

    fn transport_faults(&self) -> fault::Transport {
        let Faults { down, delay_ms, loss, cut, .. } = self.faults();
        fault::Transport { down, delay_ms, loss, cut }
    }
}

/// Starts one replica on its own threads.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or a thread cannot be started.
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

/// Creates a replica and binds its address, without serving it yet.
pub(crate) fn bind(settings: Settings) -> io::Result<Bound> {
    let listener = transport::bind(settings.address)?;
    let address = listener.local_addr()?;
    let service = sync::Arc::new(Service::new(Settings { address, ..settings }));
    service.listener.attach(&listener)?;
    Ok(((listener, server::Node::Service(service.clone())), address, service))
}

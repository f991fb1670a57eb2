//! A model engine: continuous batching, limited KV memory, prefix cache, streams that resume.

pub mod batch;
pub(crate) mod cache;
pub(crate) mod delivery;
mod faults;
pub(crate) mod http;
pub(crate) mod kv;
mod orders;
mod settings;
mod state;

use std::io;
use std::net;
use std::sync;
use std::time;

pub use faults::Faults;
pub use settings::Settings;
pub use state::{AttemptRecord, Record};

use crate::fault;
use crate::gate;
use crate::port;
use crate::server;

/// One engine: its settings, and its state under one lock.
#[derive(Debug)]
pub struct Engine {
    /// What it was started with.
    pub settings: sync::Arc<Settings>,
    pub(crate) gate: gate::Gate,
    state: sync::Mutex<state::State>,
}

impl Engine {
    /// An engine with nothing in it.
    pub fn new(settings: Settings) -> Self {
        let settings = sync::Arc::new(settings);
        let state = state::State::new(settings.clone(), time::Instant::now());
        Engine { settings, gate: gate::Gate::default(), state: sync::Mutex::new(state) }
    }

    pub(crate) fn lock(&self) -> sync::MutexGuard<'_, state::State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    pub(crate) fn tick(&self, now: time::Instant) {
        self.lock().advance(now);
    }

    pub(crate) fn port_faults(&self) -> fault::Port {
        self.lock().faults.port()
    }

    /// The switches as they stand.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Sets the switches. `down` loses all that the engine held, ends its connections and refuses
    /// new ones; when it comes back it is a new incarnation.
    pub fn set_faults(&self, faults: Faults) {
        self.gate.set(!faults.down);
        self.lock().set_faults(faults, time::Instant::now());
    }

    /// The platform's word to leave: running streams end, new ones are refused.
    pub fn leave(&self) {
        self.lock().leaving = true;
    }

    /// What it did.
    pub fn record(&self) -> Record {
        self.lock().record()
    }
}

/// Starts one engine with threads of its own.
///
/// # Errors
///
/// The address cannot be bound, or a thread not be started.
pub fn start(settings: Settings) -> io::Result<server::Running<Engine>> {
    let mut all = start_all(vec![settings])?;
    all.pop().ok_or_else(|| io::Error::other("no engine was started"))
}

/// Starts engines that share worker threads; any number of them costs four threads.
///
/// # Errors
///
/// As [`start`].
///
/// ```
/// use lagoon_standin::engine;
/// let all = engine::start_all(vec![engine::Settings::default(); 3]).unwrap();
/// assert_eq!(all.len(), 3);
/// ```
pub fn start_all(settings: Vec<Settings>) -> io::Result<Vec<server::Running<Engine>>> {
    let mut nodes = Vec::with_capacity(settings.len());
    let mut bound: Vec<(net::SocketAddr, sync::Arc<Engine>)> = Vec::new();
    for settings in settings {
        let (node, address, engine) = bind(settings)?;
        nodes.push(node);
        bound.push((address, engine));
    }
    let server = sync::Arc::new(server::serve(nodes)?);
    let running = |(address, engine)| server::Running::new(address, engine, server.clone());
    Ok(bound.into_iter().map(running).collect())
}

type Bound = ((net::TcpListener, server::Node), net::SocketAddr, sync::Arc<Engine>);

/// Binds an engine that is not served yet.
pub(crate) fn bind(settings: Settings) -> io::Result<Bound> {
    let listener = port::bind(settings.address)?;
    let address = listener.local_addr()?;
    let engine = sync::Arc::new(Engine::new(Settings { address, ..settings }));
    engine.gate.hold(&listener)?;
    Ok(((listener, server::Node::Engine(engine.clone())), address, engine))
}

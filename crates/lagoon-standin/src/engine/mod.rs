//! Model engine stand-in: continuous batching, limited KV memory, prefix cache, resumable streams.

pub mod batch;
pub(crate) mod cache;
mod commands;
pub(crate) mod delivery;
mod faults;
pub(crate) mod http;
pub(crate) mod kv;
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
use crate::listener;
use crate::server;
use crate::transport;

/// One engine: its settings, and its state behind one lock.
#[derive(Debug)]
pub struct Engine {
    /// Settings, with the address that is actually bound.
    pub settings: sync::Arc<Settings>,
    pub(crate) listener: listener::Listener,
    state: sync::Mutex<state::State>,
}

impl Engine {
    /// Creates an engine without streams, reservations or cached blocks.
    pub fn new(settings: Settings) -> Self {
        let settings = sync::Arc::new(settings);
        let state = state::State::new(settings.clone(), time::Instant::now());
        Engine { settings, listener: listener::Listener::default(), state: sync::Mutex::new(state) }
    }

    pub(crate) fn lock(&self) -> sync::MutexGuard<'_, state::State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    pub(crate) fn tick(&self, now: time::Instant) {
        self.lock().advance(now);
    }

    pub(crate) fn transport_faults(&self) -> fault::Transport {
        self.lock().faults.transport()
    }

    /// Returns the current fault switches.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Sets the fault switches. `down` discards streams, KV memory and cache, closes all
    /// connections and refuses new ones. After it is cleared, the engine serves as a new
    /// incarnation.
    pub fn set_faults(&self, faults: Faults) {
        self.listener.set_open(!faults.down);
        self.lock().set_faults(faults, time::Instant::now());
    }

    /// Starts a drain, as when the platform announces that the engine leaves: accepted streams
    /// finish, new ones are refused.
    pub fn leave(&self) {
        self.lock().leaving = true;
    }

    /// Returns the record of accepted attempts and KV memory totals.
    pub fn record(&self) -> Record {
        self.lock().record()
    }
}

/// Starts one engine on its own threads.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or a thread cannot be started.
pub fn start(settings: Settings) -> io::Result<server::Running<Engine>> {
    let mut all = start_all(vec![settings])?;
    all.pop().ok_or_else(|| io::Error::other("no engine was started"))
}

/// Starts engines that share worker threads: four threads in all, for any number of engines.
///
/// # Errors
///
/// Returns an error in the same cases as [`start`].
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

/// Creates an engine and binds its address, without serving it yet.
pub(crate) fn bind(settings: Settings) -> io::Result<Bound> {
    let listener = transport::bind(settings.address)?;
    let address = listener.local_addr()?;
    let engine = sync::Arc::new(Engine::new(Settings { address, ..settings }));
    engine.listener.attach(&listener)?;
    Ok(((listener, server::Node::Engine(engine.clone())), address, engine))
}

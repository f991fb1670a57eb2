//! Serves stand-ins: many listeners on one set of worker threads, and one thread that advances
//! engine time.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use ntex::http;
use ntex::service;

use crate::control;
use crate::engine;
use crate::listener;
use crate::platform;
use crate::service as plain;

/// Interval at which engines advance, in real time.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(2);
/// HTTP worker threads of one server.
const WORKER_THREADS: usize = 2;
/// Time after which an idle connection is closed, in seconds.
const KEEP_ALIVE_SECONDS: u16 = 75;

/// One stand-in of any kind, or the control address.
#[derive(Clone, Debug)]
pub enum Node {
    /// A model engine.
    Engine(sync::Arc<engine::Engine>),
    /// The platform.
    Platform(sync::Arc<platform::Platform>),
    /// A replica of a plain service.
    Service(sync::Arc<plain::Service>),
    /// The control address for other stand-ins.
    Control(sync::Arc<control::Control>),
}

impl Node {
    pub(crate) async fn handle(self, request: http::Request) -> http::Response {
        match self {
            Node::Engine(engine) => engine::http::handle(engine, request).await,
            Node::Platform(platform) => platform::handle(platform, request).await,
            Node::Service(service) => plain::handle(service, request).await,
            Node::Control(control) => control.handle(request).await,
        }
    }

    fn tick(&self, now: time::Instant) {
        match self {
            Node::Engine(engine) => engine.tick(now),
            Node::Platform(_) | Node::Service(_) | Node::Control(_) => {}
        }
    }
}

impl Node {
    /// Returns the listener that closes while the stand-in is down. The platform has none, because
    /// it answers 503 during an outage.
    fn listener(&self) -> Option<&listener::Listener> {
        match self {
            Node::Engine(engine) => Some(&engine.listener),
            Node::Service(service) => Some(&service.listener),
            Node::Platform(_) | Node::Control(_) => None,
        }
    }

    async fn watch_connection(self, connection: ntex::io::IoRef) {
        if let Some(listener) = self.listener() {
            listener.watch_connection(connection).await;
        }
    }
}

/// Server threads of a set of stand-ins. They end when it is dropped.
#[derive(Debug)]
pub struct Server {
    stop: sync::Arc<atomic::AtomicBool>,
    /// In a mutex only because the handle is not `Sync`.
    handle: sync::Mutex<ntex::server::Server>,
    /// Thread that advances engine time.
    clock: Option<thread::JoinHandle<()>>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.store(true, atomic::Ordering::Release);
        let handle = self.handle.get_mut().unwrap_or_else(sync::PoisonError::into_inner);
        drop(handle.stop(false));
        // The HTTP threads end on their own and are not joined: a server that is stopped while its
        // workers are starting may never report that it has stopped, and a join would hang.
        if self.clock.take().is_some_and(|clock| clock.join().is_err()) {
            log::error!("the stand-ins' clock thread panicked");
        }
    }
}

/// Serves each node on its listener, on new threads.
///
/// # Errors
///
/// Returns an error if a thread cannot be started or a listener cannot be used.
pub fn serve(nodes: Vec<(net::TcpListener, Node)>) -> io::Result<Server> {
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let ticked: Vec<Node> = nodes.iter().map(|(_, node)| node.clone()).collect();
    let (sender, receiver) = mpsc::channel();
    thread::Builder::new().name("standin-http".to_owned()).spawn(move || {
        ntex::rt::System::new("standin", ntex::rt::DefaultRuntime).block_on(run(nodes, sender));
    })?;
    let handle = receiver.recv().map_err(io::Error::other)??;
    let stopped = stop.clone();
    let clock = thread::Builder::new().name("standin-clock".to_owned()).spawn(move || {
        while !stopped.load(atomic::Ordering::Acquire) {
            let now = time::Instant::now();
            ticked.iter().for_each(|node| node.tick(now));
            thread::sleep(TICK_INTERVAL);
        }
    })?;
    let handle = sync::Mutex::new(handle);
    Ok(Server { stop, handle, clock: Some(clock) })
}

async fn run(
    nodes: Vec<(net::TcpListener, Node)>,
    sender: mpsc::Sender<io::Result<ntex::server::Server>>,
) {
    let built = build(nodes);
    let server = built.map(ntex::server::ServerBuilder::run);
    match server {
        Ok(server) => {
            // `serve` waits for this message, so the receiver exists.
            let _ = sender.send(Ok(server.clone()));
            if let Err(error) = server.await {
                log::error!("the stand-ins' HTTP server failed: {error}");
            }
        }
        Err(error) => drop(sender.send(Err(error))),
    }
}

fn build(nodes: Vec<(net::TcpListener, Node)>) -> io::Result<ntex::server::ServerBuilder> {
    let mut builder = ntex::server::ServerBuilder::new().workers(WORKER_THREADS).disable_signals();
    let keep_alive = http::KeepAlive::Timeout(ntex::time::Seconds(KEEP_ALIVE_SECONDS));
    let settings = http::HttpServiceConfig::new().set_keepalive(keep_alive);
    let shared = ntex::SharedCfg::from(ntex::SharedCfg::new("standin").add(settings));
    for (listener, node) in nodes {
        let name = listener.local_addr()?.to_string();
        let shared = shared.clone();
        builder = builder.listen(name, listener, async move |config| {
            config.config(shared.clone());
            let (node, watched_node) = (node.clone(), node.clone());
            let watch = move |connection: ntex::io::Io| {
                ntex::rt::spawn(watched_node.clone().watch_connection(connection.get_ref()));
                async move { Ok::<_, http::error::DispatchError>(connection) }
            };
            let serve =
                http::HttpService::new(service::fn_service(move |request: http::Request| {
                    let node = node.clone();
                    async move { Ok::<_, io::Error>(node.handle(request).await) }
                }));
            service::chain_factory(service::fn_service(watch)).and_then(serve)
        })?;
    }
    Ok(builder)
}

/// A running stand-in.
#[derive(Debug)]
pub struct Running<T> {
    address: net::SocketAddr,
    node: sync::Arc<T>,
    server: sync::Arc<Server>,
}

impl<T> Running<T> {
    pub(crate) fn new(
        address: net::SocketAddr,
        node: sync::Arc<T>,
        server: sync::Arc<Server>,
    ) -> Self {
        Running { address, node, server }
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the stand-in itself, which gives access to its faults and record.
    pub fn node(&self) -> &sync::Arc<T> {
        &self.node
    }

    /// Drops this handle. The server threads end with the last handle of the stand-ins that were
    /// started together.
    pub fn stop(self) {
        drop(self.server);
    }
}

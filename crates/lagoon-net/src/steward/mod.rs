//! The steward, the control process of an entry host. It maintains the membership, replicates the
//! document, distributes loads and marks of upstreams, sends commands to engines, and serves
//! operators.
//!
//! [`start`] runs a steward on its own thread, so that several can share a process.

mod calls;
mod claim_sweep;
mod core;
mod dial;
mod fetch;
mod heartbeat;
mod memory_sweep;
mod observe;
mod reconcile;
mod session;
mod settings;
mod usage;
mod zones;

use std::cell;
use std::io;
use std::net;
use std::rc;
use std::sync;
use std::thread;
use std::time;

use lagoonline::clock;
use lagoonline::id;
use ntex::rt;
use tokio::net as tokio_net;
use tokio::sync::watch;

pub use self::core::{Counters, PEER_MESSAGE_KINDS};
pub use settings::Settings;

use crate::platform;

/// State shared by the tasks of one steward, which all run on its thread.
type Shared = rc::Rc<cell::RefCell<core::Core>>;

/// Shared handles of the tasks of a steward.
#[derive(Clone)]
struct Context {
    core: Shared,
    settings: rc::Rc<Settings>,
    clock: clock::System,
    platform: Option<platform::Client>,
    incarnation: id::Incarnation,
    address: net::SocketAddr,
}

/// Handle of a running steward; dropping it stops the steward.
#[derive(Debug)]
pub struct Running {
    address: net::SocketAddr,
    counters: sync::Arc<Counters>,
    stop: watch::Sender<bool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Running {
    /// Returns the address it listens on, for both TCP and UDP.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns its counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Stops the steward and waits for its thread to end.
    pub fn stop(mut self) {
        self.end();
    }

    /// Blocks on the thread of the steward, which ends only when the steward fails.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    fn end(&mut self) {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.end();
    }
}

/// Attempts to find a port that is free for both TCP and UDP.
const MAX_BIND_ATTEMPTS: usize = 16;

fn bind(listen: net::SocketAddr) -> io::Result<(net::TcpListener, net::UdpSocket)> {
    let mut last = None;
    for _ in 0..MAX_BIND_ATTEMPTS {
        let listener = net::TcpListener::bind(listen)?;
        match net::UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => last = Some(error),
        }
        if listen.port() != 0 {
            break;
        }
    }
    Err(last.unwrap_or_else(|| io::Error::other("no port is free for both TCP and UDP")))
}

/// Starts a steward. It is listening when this returns.
///
/// # Errors
///
/// The address cannot be bound, or the thread cannot be started.
///
/// ```
/// use lagoon_net::steward;
/// let running = steward::start(steward::Settings::default()).unwrap();
/// assert_ne!(running.address().port(), 0);
/// running.stop();
/// ```
pub fn start(settings: Settings) -> io::Result<Running> {
    let (listener, socket) = bind(settings.listen)?;
    listener.set_nonblocking(true)?;
    socket.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let counters = sync::Arc::new(Counters::default());
    let (stop, stopped) = watch::channel(false);
    let name = format!("steward-{}", settings.host);
    let sockets = (listener, socket);
    let thread_counters = counters.clone();
    let thread = thread::Builder::new().name(name.clone()).spawn(move || {
        let system = rt::System::new(&name, rt::DefaultRuntime);
        system.block_on(run(settings, address, sockets, thread_counters, stopped));
    })?;
    Ok(Running { address, counters, stop, thread: Some(thread) })
}

/// Returns the incarnation of this process: the wall clock in microseconds, so that a restarted
/// process has a higher one.
fn wall_incarnation() -> id::Incarnation {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let micros = since.map_or(1, |span| span.as_micros());
    id::Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}

async fn run(
    settings: Settings,
    address: net::SocketAddr,
    sockets: (net::TcpListener, net::UdpSocket),
    counters: sync::Arc<Counters>,
    mut stopped: watch::Receiver<bool>,
) {
    let clock = clock::System::default();
    let incarnation = wall_incarnation();
    let platform = match &settings.platform {
        Some(platform) => {
            let limits = platform::Limits::new(platform.clone());
            Some(platform::Client::new(limits, settings.zone.as_str()).await)
        }
        None => None,
    };
    let own = lagoonline::control::membership::Member {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        address: settings.advertise.unwrap_or(address),
        incarnation,
    };
    let core = core::Core::new(own, &settings, counters, clock);
    let core = rc::Rc::new(cell::RefCell::new(core));
    let settings = rc::Rc::new(settings);
    let context = Context { core, settings, clock, platform, incarnation, address };
    let (listener, socket) = sockets;
    let (Ok(listener), Ok(socket)) =
        (tokio_net::TcpListener::from_std(listener), tokio_net::UdpSocket::from_std(socket))
    else {
        log::error!("cannot register the listening sockets with the runtime");
        return;
    };
    let tasks = [
        rt::spawn(session::listen(context.clone(), listener)),
        rt::spawn(heartbeat::run(context.clone(), socket)),
        rt::spawn(dial::run(context.clone())),
        rt::spawn(fetch::run(context.clone())),
        rt::spawn(fetch::run_hosts(context.clone())),
        rt::spawn(observe::run(context.clone())),
        rt::spawn(reconcile::run(context.clone())),
        rt::spawn(claim_sweep::run(context.clone())),
        rt::spawn(memory_sweep::run(context.clone())),
        rt::spawn(usage::run(context)),
    ];
    let _ = stopped.wait_for(|stop| *stop).await;
    for task in tasks {
        task.cancel();
    }
}

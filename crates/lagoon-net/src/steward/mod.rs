//! The control process of an entry host: membership, the document, loads and marks, operators.
//!
//! [`start`] runs it on a thread of its own, so that several stewards can share a process.

mod beat;
mod calls;
mod core;
mod dial;
mod fetch;
mod observe;
mod orders;
mod retain;
mod session;
mod settings;
mod sweep;
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

/// What every task of a steward needs.
#[derive(Clone)]
struct Context {
    core: Shared,
    settings: rc::Rc<Settings>,
    clock: clock::System,
    platform: Option<platform::Client>,
    incarnation: id::Incarnation,
    address: net::SocketAddr,
}

/// A steward that runs.
#[derive(Debug)]
pub struct Running {
    address: net::SocketAddr,
    counters: sync::Arc<Counters>,
    stop: watch::Sender<bool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Running {
    /// Where it listens, by TCP and UDP.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// What it counts.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Ends it and waits until it has ended.
    pub fn stop(mut self) {
        self.end();
    }

    /// Waits until it ends by itself, which it does not.
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

/// Tries to find a port that is free for both TCP and UDP.
const BIND_TRIES: usize = 16;

fn bind(listen: net::SocketAddr) -> io::Result<(net::TcpListener, net::UdpSocket)> {
    let mut last = None;
    for _ in 0..BIND_TRIES {
        let listener = net::TcpListener::bind(listen)?;
        match net::UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => last = Some(error),
        }
        if listen.port() != 0 {
            break;
        }
    }
    Err(last.unwrap_or_else(|| io::Error::other("no port")))
}

/// Starts a steward; it listens when this returns.
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
        log::error!("sockets cannot be used");
        return;
    };
    let tasks = [
        rt::spawn(session::listen(context.clone(), listener)),
        rt::spawn(beat::run(context.clone(), socket)),
        rt::spawn(dial::run(context.clone())),
        rt::spawn(fetch::run(context.clone())),
        rt::spawn(fetch::run_hosts(context.clone())),
        rt::spawn(observe::run(context.clone())),
        rt::spawn(orders::run(context.clone())),
        rt::spawn(retain::run(context.clone())),
        rt::spawn(sweep::run(context.clone())),
        rt::spawn(usage::run(context)),
    ];
    let _ = stopped.wait_for(|stop| *stop).await;
    for task in tasks {
        task.cancel();
    }
}

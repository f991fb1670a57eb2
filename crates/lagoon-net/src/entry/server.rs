//! HTTP server of an entry host: worker threads, routing and drain.

use std::io;
use std::net;
use std::rc;
use std::sync;
use std::thread;

use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::control::document;
use lagoonline::id;
use lagoonline::lifecycle::drain;
use lagoonline::outcome::{Outcome, Reason, Step};
use ntex::http;
use ntex::web;

use super::admission;
use super::body;
use super::call;
use super::cancel;
use super::fault;
use super::link;
use super::metrics;
use super::model;
use super::prompt;
use super::services;
use super::settings;
use super::state;
use super::worker;

/// Time for sending complete responses when the server stops.
const FLUSH_TIMEOUT: ntex::time::Seconds = ntex::time::Seconds(5);
/// Interval at which the progress of a drain is checked.
const DRAIN_TICK: clock::Span = clock::Span::from_millis(10);
/// Time for sending error responses after a drain was cut short, and for outstanding cancels to be
/// acknowledged at the end of every drain.
const SETTLE_TIMEOUT: clock::Span = clock::Span::from_millis(500);

/// A running entry host. Dropping this value leaves the server running; call [`Running::drain`].
#[derive(Debug)]
pub struct Running {
    handle: Handle,
    thread: thread::JoinHandle<io::Result<()>>,
}

/// Controls a running entry host from any thread.
#[derive(Clone, Debug)]
pub struct Handle {
    address: net::SocketAddr,
    state: sync::Arc<state::State>,
}

/// Number of resources that requests hold; all zero when no request is in progress.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resources {
    /// Slots on upstreams.
    pub slots: usize,
    /// Requests waiting in queues.
    pub queued: usize,
    /// Cancels that engines have not acknowledged.
    pub cancels: usize,
}

/// How a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Every accepted request ran to its end.
    Clean,
    /// The drain was cut short, which failed this number of requests.
    Cut(usize),
}

impl Running {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.handle.address
    }

    /// Returns a handle that controls this server.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Starts a drain: the host reports unready, then refuses new requests, then stops.
    pub fn drain(&self) {
        self.handle.drain();
    }

    /// Waits until the server has stopped.
    ///
    /// # Errors
    ///
    /// The server's thread failed.
    pub fn wait(self) -> io::Result<Ending> {
        let ended = self.thread.join();
        ended.map_err(|_| io::Error::other("the server thread panicked"))??;
        Ok(match self.handle.state.aborted() {
            0 => Ending::Clean,
            count => Ending::Cut(count),
        })
    }
}

impl Handle {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Starts a drain; see [`Running::drain`].
    pub fn drain(&self) {
        self.state.advance(state::Phase::Unready);
    }

    /// Stops at once: requests in progress fail, and their callers get an error.
    pub fn abort(&self) {
        self.state.advance(state::Phase::Aborting);
    }

    /// Returns the number of requests in progress.
    pub fn active(&self) -> usize {
        self.state.active()
    }

    /// Returns the number of resources that requests hold now.
    pub fn resources(&self) -> Resources {
        let view = self.state.view();
        let queues = || view.queues.values();
        Resources {
            slots: queues().map(|queue| queue.slots_in_use()).sum(),
            queued: queues().map(|queue| queue.queued()).sum(),
            cancels: usize::try_from(self.state.metrics.cancels_pending.get()).unwrap_or(0),
        }
    }

    /// Returns the host and its incarnation, as they are sent to upstreams.
    pub fn owner(&self) -> &id::Owner {
        &self.state.owner
    }

    /// Applies sections. A section whose version is not above the current one is ignored.
    pub fn install(&self, sections: Vec<document::Section>) {
        self.state.install(sections);
    }

    /// Sets whether an upstream is leaving; `false` is for a new incarnation of it.
    pub fn set_leaving(&self, upstream: &id::Upstream, leaving: bool) {
        self.state.set_leaving(upstream, leaving);
    }

    /// Applies a load report of an engine to the queues of all models.
    pub fn observe(&self, upstream: &id::Upstream, load: &lagoonline::port::engine::LoadReport) {
        for queue in self.state.view().queues.values() {
            queue.observe(upstream, load);
        }
    }
}

/// Starts an entry host on threads of its own.
///
/// # Errors
///
/// The address cannot be listened on.
///
/// ```
/// use lagoon_net::entry;
/// let settings = entry::Settings { unready: std::time::Duration::ZERO, ..Default::default() };
/// let running = entry::start(settings).unwrap();
/// assert_ne!(running.address().port(), 0);
/// running.drain();
/// assert_eq!(running.wait().unwrap(), entry::Ending::Clean);
/// ```
pub fn start(settings: settings::Settings) -> io::Result<Running> {
    let listener = net::TcpListener::bind(settings.listen)?;
    let address = listener.local_addr()?;
    let (state, receivers) = state::State::new(settings);
    let handle = Handle { address, state: state.clone() };
    let name = format!("entry-{}", state.settings.host);
    let system = move || {
        let system = ntex::rt::System::build().name(&name).build(ntex::rt::DefaultRuntime);
        system.block_on(serve(state, listener, receivers))
    };
    let thread = thread::Builder::new().name("lagoon-entry".to_owned()).spawn(system)?;
    Ok(Running { handle, thread })
}

/// Runs the server until it is drained. The thread that this runs on is called the control thread:
/// it also runs the queues, the cancels and the link to the steward.
async fn serve(
    state: sync::Arc<state::State>,
    listener: net::TcpListener,
    receivers: state::Receivers,
) -> io::Result<()> {
    let limits = state.settings.limits;
    let config = http::HttpServiceConfig::new()
        .set_max_headers(limits.headers)
        .set_max_buf_size(limits.head_bytes)
        .set_keepalive(seconds(limits.keep_alive))
        .set_client_timeout(seconds(limits.head_timeout));
    let config = ntex::SharedCfg::new("entry").add(config);
    let shared = state.clone();
    let server = web::HttpServer::new(async move || {
        let worker = rc::Rc::new(worker::Worker::new(shared.clone()).await);
        web::App::new().state(worker).default_service(web::to(route))
    });
    let server = server
        .workers(state.settings.workers)
        .disable_signals()
        .shutdown_timeout(FLUSH_TIMEOUT)
        .config(config)
        .listen(listener)?
        .run();
    let client = worker::new_client(1).await;
    drop(ntex::rt::spawn(cancel::run(state.clone(), client, receivers.cancels)));
    drop(ntex::rt::spawn(run_queues(receivers.new_queues)));
    if let Some(task) = receivers.link {
        drop(ntex::rt::spawn(task.run(link::Sink(state.clone()))));
        drop(ntex::rt::spawn(link::report(state.clone())));
    }
    run_until_drained(&state).await;
    server.stop(true).await;
    Ok(())
}

fn seconds(span: clock::Span) -> ntex::time::Seconds {
    ntex::time::Seconds(u16::try_from(span.as_millis().div_ceil(1_000)).unwrap_or(u16::MAX))
}

/// Runs each new queue in a task of its own.
async fn run_queues(
    mut queues: tokio::sync::mpsc::UnboundedReceiver<sync::Weak<admission::Queue>>,
) {
    while let Some(queue) = queues.recv().await {
        drop(ntex::rt::spawn(admission::Queue::run(queue)));
    }
}

/// Waits for a drain to begin and to end. The server may stop when this returns.
async fn run_until_drained(state: &sync::Arc<state::State>) {
    let mut phase = state.watch_phase();
    // `state` owns the sender, so the wait ends only when the phase changes.
    wait_for_phase(&mut phase, state::Phase::Unready).await;
    log::info!("draining with {} requests in progress", state.active());
    if run_drain(state, &mut phase).await {
        log::warn!("drain cut short with {} requests in progress", state.active());
        state.advance(state::Phase::Aborting);
        let _timeout = tokio::time::timeout(SETTLE_TIMEOUT, wait_until_idle(state)).await;
    }
    // The cancels of requests that were just aborted may not be acknowledged yet.
    let settled = async {
        while state.metrics.cancels_pending.get() > 0 {
            tokio::time::sleep(clock::Span::from_millis(10)).await;
        }
    };
    let _timeout = tokio::time::timeout(SETTLE_TIMEOUT, settled).await;
    log::info!("drained");
}

/// Runs the drain from its start to its end. Returns whether it was cut short (by a second signal
/// or the grace limit) while requests were in progress.
async fn run_drain(
    state: &state::State,
    phase: &mut tokio::sync::watch::Receiver<state::Phase>,
) -> bool {
    let settings = drain::Settings { unready: state.settings.unready, grace: state.settings.grace };
    let mut drain = drain::Drain::new(settings);
    let mut reached = drain.signal(state.clock.now(), state.active());
    loop {
        match reached {
            drain::State::Serving | drain::State::Unready => {}
            drain::State::Draining => state.advance(state::Phase::Draining),
            drain::State::Ended { interrupted } => return interrupted,
        }
        reached = tokio::select! {
            biased;
            // A second signal cuts the drain short.
            () = wait_for_phase(phase, state::Phase::Aborting) => {
                drain.signal(state.clock.now(), state.active())
            }
            () = tokio::time::sleep(DRAIN_TICK) => drain.tick(state.clock.now(), state.active()),
        };
    }
}

/// Waits until `wanted` or a later phase is reached. The returned value is dropped at once because
/// it holds the channel's lock.
async fn wait_for_phase(
    phase: &mut tokio::sync::watch::Receiver<state::Phase>,
    wanted: state::Phase,
) {
    drop(phase.wait_for(|phase| *phase >= wanted).await);
}

/// Waits until no request is in progress.
async fn wait_until_idle(state: &state::State) {
    drop(state.watch_active().wait_for(|count| *count == 0).await);
}

/// Handles one HTTP request: probes and metrics here, everything else by [`call_handler`].
async fn route(
    request: web::HttpRequest,
    payload: web::types::Payload,
    worker: web::types::State<rc::Rc<worker::Worker>>,
) -> web::HttpResponse {
    let state = &worker.state;
    let path = request.path();
    let unread = body::Unread::new(payload.into_inner());
    let max_bytes = state.settings.limits.body_bytes;
    match path {
        "/healthz" => return web::HttpResponse::Ok().body("ok\n"),
        "/readyz" => return readiness(state),
        "/metrics" => return metrics_page(state),
        _ => {}
    }
    let request_id = call::request_id(request.headers());
    let kind = if path.starts_with("/services/") { "service" } else { "model" };
    if state.phase() >= state::Phase::Draining {
        let fault = fault::new(Reason::Draining, Step::Admit, Outcome::NotRun);
        state.metrics.count_failed(&metrics::CallLabels::new(kind), &fault.failure);
        unread.discard(request.headers(), max_bytes).await;
        return fault.response(&request_id, true);
    }
    let work = async {
        let result = call_handler(&worker, &request, &unread, &request_id).await;
        if result.is_err() {
            unread.discard(request.headers(), max_bytes).await;
        }
        result
    };
    let result = match request.io() {
        Some(io) => tokio::select! {
            biased;
            result = work => result,
            () = io.on_disconnect() => {
                Err(fault::new(Reason::CallerLeft, Step::Stream, Outcome::Unknown))
            }
        },
        None => work.await,
    };
    result.unwrap_or_else(|fault| {
        let labels = request.extensions().get::<metrics::CallLabels>().cloned();
        let labels = labels.unwrap_or_else(|| metrics::CallLabels::new(kind));
        state.metrics.count_failed(&labels, &fault.failure);
        fault.response(&request_id, state.phase() >= state::Phase::Draining)
    })
}

/// Calls the handler for the path and method.
async fn call_handler(
    worker: &rc::Rc<worker::Worker>,
    request: &web::HttpRequest,
    unread: &body::Unread,
    request_id: &str,
) -> Result<web::HttpResponse, fault::Fault> {
    let path = request.path();
    let post = *request.method() == http::Method::POST;
    let get = *request.method() == http::Method::GET;
    match path {
        "/v1/completions" if post => {
            model::handle(worker, prompt::Endpoint::Completions, request, unread, request_id).await
        }
        "/v1/chat/completions" if post => {
            model::handle(worker, prompt::Endpoint::Chat, request, unread, request_id).await
        }
        "/v1/models" if get => model::list(&worker.state, request, request_id),
        path if path.starts_with("/services/") => {
            services::handle(worker, request, unread, request_id).await
        }
        _ => {
            let fault = fault::new(Reason::UnknownName, Step::Read, Outcome::NotRun);
            Err(fault.with_detail(format!("{} {path} is not served", request.method())))
        }
    }
}

/// Responds to `/readyz`.
fn readiness(state: &state::State) -> web::HttpResponse {
    if state.is_ready() {
        return web::HttpResponse::Ok().body("ready\n");
    }
    let why =
        if state.phase() > state::Phase::Serving { "draining\n" } else { "no sections yet\n" };
    let mut response = web::HttpResponse::ServiceUnavailable();
    response.set_header("Retry-After", "1").body(why)
}

/// Responds to `/metrics`.
fn metrics_page(state: &state::State) -> web::HttpResponse {
    state.refresh();
    match state.metrics.encode() {
        Ok(text) => web::HttpResponse::Ok()
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(text),
        Err(_) => web::HttpResponse::InternalServerError().finish(),
    }
}

//! The servers for callers, readiness and metrics, and the shutdown of the process.

use std::io;
use std::net;
use std::sync;
use std::thread;

use lagoon_platform::head;
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::load::connections;
use lagoonline::outcome::{Outcome, Reason, Step};
use lagoonline::routing;
use ntex::http;
use ntex::server;
use ntex::service;
use ntex::web;
use tokio::sync::mpsc;

use crate::answer;
use crate::buffers;
use crate::connection;
use crate::event;
use crate::forward;
use crate::hosts;
use crate::mesh;
use crate::payload;
use crate::quarantine;
use crate::relay;
use crate::report;
use crate::settings;
use crate::state;
use crate::upload;
use crate::watch;

/// Time between reporting not ready and refusing requests. The balancer checks every second and
/// removes a host after two failed checks; half a second is to spare.
const UNREADY_TIME: clock::Span = clock::Span::from_millis(2_500);
/// Time before the kill at which the process stops waiting for requests: [`FLUSH_TIME`] plus
/// [`STOP_TIMEOUT`], and as much again for the process to exit.
const EXIT_RESERVE: clock::Span = clock::Span::from_millis(500);
/// Time for the last answers to be sent: two round trips to a caller.
const FLUSH_TIME: clock::Span = clock::Span::from_millis(100);
/// Timeout for the servers to stop; log lines are written meanwhile.
const STOP_TIMEOUT: clock::Span = clock::Span::from_millis(150);
/// Interval of the removal of expired state and of the evaluation of quarantine suspects.
pub(crate) const EXPIRY_INTERVAL: clock::Span = clock::Span::from_millis(100);
/// Timeout for the head of a request; the limit that callers are told is shorter, see
/// `routing::Limits`.
const HEAD_TIMEOUT: ntex::time::Seconds = ntex::time::Seconds(10);
/// Timeout for the body of a request whose route is not known.
const UNROUTED_UPLOAD_TIMEOUT: clock::Span = clock::Span::from_secs(10);
/// Maximum size in bytes of a connection's read buffer while a head arrives.
const MAX_HEAD_BUFFER: usize = 40 << 10;
/// Interval at which read buffers are added up while they could take too much.
const HEADS_INTERVAL: clock::Span = clock::Span::from_millis(20);
/// Maximum number of read buffers that are kept for further use.
const MAX_SPARE_READ_BUFFERS: usize = 128;
/// Idle timeout of a caller's connection: longer than callers keep one, so that no connection is
/// closed just as a request is sent.
const KEEP_ALIVE: ntex::time::Seconds = ntex::time::Seconds(75);

/// A running entry host.
#[derive(Debug)]
pub struct Running {
    handle: Handle,
    thread: thread::JoinHandle<io::Result<()>>,
}

/// Controls a running entry host from any thread.
#[derive(Clone, Debug)]
pub struct Handle {
    callers: net::SocketAddr,
    ready: net::SocketAddr,
    state: sync::Arc<state::State>,
}

impl Handle {
    /// Returns the address at which callers connect.
    pub fn callers(&self) -> net::SocketAddr {
        self.callers
    }

    /// Returns the address of readiness, metrics and operator calls.
    pub fn ready(&self) -> net::SocketAddr {
        self.ready
    }

    /// Starts the shutdown: reports not ready, then refuses requests, then ends.
    pub fn drain(&self) {
        self.state.advance(state::Phase::Unready);
    }

    /// Logs the result of checking changed settings, which apply at the next start.
    pub fn settings_checked(&self, checked: Result<(), String>) {
        match checked {
            Ok(()) => event::Line::new("reload").text("settings", "good").info(),
            Err(error) => event::Line::new("reload").text("settings", error).warn(),
        }
    }
}

impl Running {
    /// Returns a handle to control the host.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Waits until the host has ended.
    ///
    /// # Errors
    ///
    /// The server's thread failed.
    pub fn wait(self) -> io::Result<()> {
        self.thread.join().map_err(|_| io::Error::other("the server's thread panicked"))?
    }
}

/// Starts an entry host on threads of its own.
///
/// # Errors
///
/// An address cannot be listened on.
pub fn start(settings: settings::Settings) -> io::Result<Running> {
    let callers = net::TcpListener::bind(settings.node.callers)?;
    let ready = net::TcpListener::bind(settings.node.ready)?;
    let datagrams = net::UdpSocket::bind((settings.node.ip, settings.node.ports.0))?;
    datagrams.set_nonblocking(true)?;
    let relay = net::TcpListener::bind((settings.node.ip, settings.node.ports.0))?;
    let (state, updates) = state::State::new(settings, datagrams.try_clone()?);
    let handle =
        Handle { callers: callers.local_addr()?, ready: ready.local_addr()?, state: state.clone() };
    let work = move || {
        let system = ntex::rt::System::build().name("gateway").build(ntex::rt::DefaultRuntime);
        system.block_on(serve(state, Sockets { callers, ready, relay, datagrams }, updates))
    };
    let thread = thread::Builder::new().name("gateway".to_owned()).spawn(work)?;
    Ok(Running { handle, thread })
}

/// The sockets of the process.
#[derive(Debug)]
struct Sockets {
    callers: net::TcpListener,
    ready: net::TcpListener,
    /// Relay requests of other hosts of the zone.
    relay: net::TcpListener,
    datagrams: net::UdpSocket,
}

/// Starts all tasks of the process, and runs until it is drained.
async fn serve(
    state: sync::Arc<state::State>,
    sockets: Sockets,
    updates: mpsc::Receiver<mesh::QueuedUpdate>,
) -> io::Result<()> {
    let node = &state.settings.node;
    event::Line::new("start")
        .text("host", &node.host)
        .text("zone", &node.zone)
        .text("callers", node.callers)
        .text("store", node.store)
        .info();
    let callers = listen(state.clone(), sockets.callers, Role::Callers)?;
    let ready = listen(state.clone(), sockets.ready, Role::Ready)?;
    drop(ntex::rt::spawn(watch::desired(state.clone())));
    drop(ntex::rt::spawn(watch::upstreams(state.clone())));
    let relay_address = sockets.relay.local_addr()?;
    relay::serve(state.clone(), sockets.relay)?;
    let address = sockets.datagrams.local_addr()?;
    mesh::run(&state, sockets.datagrams, updates)?;
    hosts::run(&state, address, relay_address);
    drop(ntex::rt::spawn(relay::follow(state.clone())));
    drop(ntex::rt::spawn(report::run(state.clone())));
    drop(ntex::rt::spawn(quarantine::run(state.clone())));
    drop(ntex::rt::spawn(expire(state.clone())));
    state.wait_for_phase(state::Phase::Unready).await;
    shut_down(&state).await;
    event::Line::new("stop").info();
    // Stopping waits for requests in progress, possibly beyond the grace time, so it has a timeout.
    let stopped = async {
        callers.stop(false).await;
        ready.stop(false).await;
    };
    drop(tokio::time::timeout(STOP_TIMEOUT, stopped).await);
    Ok(())
}

/// Shuts down: reports not ready so that the balancer stops sending, then refuses new requests,
/// then waits for the last request or the end of the grace time.
async fn shut_down(state: &state::State) {
    let started = state.clock.now();
    let grace = state.settings.node.bounds.grace.saturating_sub(EXIT_RESERVE);
    let mut active = state.watch_active();
    event::Line::new("draining").number("active", *active.borrow()).info();
    tokio::time::sleep(UNREADY_TIME.min(grace / 2)).await;
    state.advance(state::Phase::Draining);
    let left = grace.saturating_sub(state.clock.now().since(started));
    let ended = tokio::time::timeout(left, active.wait_for(|count| *count == 0)).await.is_ok();
    event::Line::new("drained").number("all_ended", ended).number("left", *active.borrow()).info();
    state.advance(state::Phase::Ending);
    // The last answers are still in the send buffers.
    tokio::time::sleep(FLUSH_TIME).await;
}

/// Periodically removes expired state and updates the quarantine, the limits and
/// cold times of upstreams and the confirmation age metric.
async fn expire(state: sync::Arc<state::State>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        state.expire();
        state.update_quarantine();
        state.update_limits();
        state.update_cold();
        let age = state.confirmation_age().unwrap_or_default();
        state.metrics.confirmation_age_ms.set(i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
    }
}

/// Which server a listener belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    Callers,
    /// Readiness, metrics and operator calls.
    Ready,
}

/// Starts an HTTP server on `listener`.
fn listen(
    state: sync::Arc<state::State>,
    listener: net::TcpListener,
    role: Role,
) -> io::Result<ntex::server::Server> {
    let config = http_config();
    let factory = async move |service: server::Config| {
        service.config(config.clone());
        let state = state.clone();
        let connections = connection::Connections::new(state.clock, max_open(&state, role));
        drop(ntex::rt::spawn(close_idle(state.clone(), connections.clone())));
        if role == Role::Callers {
            drop(ntex::rt::spawn(watch_connections(state.clone(), connections.clone())));
        }
        let accepting = (state.clone(), connections.clone());
        let handler = move |request: web::HttpRequest, payload: web::types::Payload| {
            let (state, connections) = (state.clone(), connections.clone());
            async move {
                match role {
                    Role::Callers => handle_caller(&state, &connections, &request, payload).await,
                    Role::Ready => handle_status(&state, &request),
                }
            }
        };
        let accept = move |io: ntex::io::Io| {
            let (state, connections) = accepting.clone();
            async move {
                if connections.accept(&io.get_ref()) {
                    state.metrics.connections_closed.inc();
                }
                Ok::<_, http::error::DispatchError>(io)
            }
        };
        let app = web::App::new().default_service(web::to(handler));
        service::chain_factory(service::fn_service(accept)).and_then(http::HttpService::new(app))
    };
    let server = server::build().workers(1).disable_signals();
    Ok(server.listen("gateway", listener, factory)?.run())
}

/// Returns the limits and timeouts of the HTTP servers.
fn http_config() -> ntex::SharedCfg {
    let limits = routing::Limits::default();
    let http = http::HttpServiceConfig::new()
        .set_max_headers(256)
        .set_max_buf_size(limits.head_bytes * 2)
        .set_keepalive(KEEP_ALIVE)
        .set_client_timeout(HEAD_TIMEOUT);
    let buffers = ntex::io::IoConfig::new().set_read_buf(
        upload::READ_BUFFER,
        upload::READ_BUFFER / 4,
        MAX_SPARE_READ_BUFFERS,
    );
    ntex::SharedCfg::new("gateway").add(http).add(buffers).into()
}

/// Returns how many connections of a server may be open.
fn max_open(state: &state::State, role: Role) -> usize {
    let settings = connections::Settings::default();
    match role {
        Role::Callers => settings.max_callers(state.settings.node.descriptors),
        Role::Ready => settings.status_connections,
    }
}

/// Forgets closed connections, and keeps heads that arrive slowly from filling the memory: without a
/// request there is no account, so the connections are looked at, more often if they are many.
async fn watch_connections(state: sync::Arc<state::State>, connections: connection::Connections) {
    let mut interval = EXPIRY_INTERVAL;
    loop {
        tokio::time::sleep(interval).await;
        let may_exceed = connections.sweep() * MAX_HEAD_BUFFER > state.buffers.head_bound();
        interval = if may_exceed { HEADS_INTERVAL } else { EXPIRY_INTERVAL };
        bound_heads(&state, &connections, may_exceed);
    }
}

/// Closes connections if heads that have not arrived completely take more than they may.
fn bound_heads(state: &state::State, connections: &connection::Connections, may_exceed: bool) {
    let heads = if may_exceed { connections.heads() } else { 0 };
    let excess = state.buffers.set_heads(heads);
    if excess == 0 {
        return;
    }
    let closed = connections.close_heads(excess);
    state.metrics.connections_closed.inc_by(closed as u64);
    event::Line::new("slow_heads_closed")
        .number("connections", closed)
        .number("head_bytes", heads)
        .number("bound_bytes", state.buffers.head_bound())
        .warn();
}

/// Closes idle connections once requests are refused: a request that arrived on them now might not
/// end before the process does.
async fn close_idle(state: sync::Arc<state::State>, connections: connection::Connections) {
    state.wait_for_phase(state::Phase::Draining).await;
    connections.close_idle();
}

/// Serves readiness for the balancer, metrics and the quarantine calls.
fn handle_status(state: &state::State, request: &web::HttpRequest) -> web::HttpResponse {
    if request.path() == "/metrics" {
        return match state.metrics.encode() {
            Ok(text) => web::HttpResponse::Ok().body(text),
            Err(error) => {
                event::Line::new("metrics_failed").text("error", error).warn();
                web::HttpResponse::InternalServerError().finish()
            }
        };
    }
    if let Some(answer) = quarantine::handle_operator_call(state, request.method(), request.path())
    {
        return answer;
    }
    if state.is_ready() {
        web::HttpResponse::Ok().body("ready\n")
    } else {
        web::HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

/// Reads a caller's request and answers it.
async fn handle_caller(
    state: &sync::Arc<state::State>,
    connections: &connection::Connections,
    request: &web::HttpRequest,
    payload: web::types::Payload,
) -> web::HttpResponse {
    let arrived = state.clock.now();
    let io = request.io().cloned();
    let busy = io.as_ref().map(|io| connections.track_request(io));
    let headers = headers(request);
    let head = head::read_request(headers.iter().map(|(name, value)| (name.as_str(), &value[..])));
    let id = head.request_id.clone();
    let reads_chunks = request.version() >= http::Version::HTTP_11;
    let active = state.track_request();
    let work = async {
        let max_bytes = max_body_bytes(state);
        let account = state.buffers.open(max_bytes).ok_or_else(|| out_of_memory(state))?;
        account.upload();
        let upload = upload::Upload::new(payload.into_inner(), io.as_ref(), &account, max_bytes);
        let body = tokio::select! {
            biased;
            body = upload.receive() => body,
            () = account.wait_for_cut() => Err(upload::Failure::OutOfMemory),
            () = async { tokio::time::sleep(max_upload_time(state, request, &head)).await } => {
                let detail = "the body did not arrive in time";
                return Err(answer::Fault::not_run(Reason::DeadlinePassed, Step::Read, detail));
            }
            () = state.wait_for_phase(state::Phase::Ending) => return Err(draining()),
        };
        let body = body.map_err(|failure| match failure {
            upload::Failure::Invalid(fault) => fault,
            upload::Failure::OutOfMemory => out_of_memory(state),
        })?;
        let request = build_request(request, headers, Received { head, body, account, arrived });
        if state.phase() >= state::Phase::Draining {
            return Err(draining());
        }
        let caller = forward::Caller { reads_chunks, io: io.clone(), _busy: busy, _active: active };
        forward::handle(state, request, caller).await
    };
    let result = match &io {
        Some(io) => tokio::select! {
            biased;
            result = work => result,
            () = io.on_disconnect() => {
                let fault = answer::Fault::not_run(Reason::CallerLeft, Step::Stream, "");
                Err(answer::Fault { outcome: Outcome::Unknown, ..fault })
            }
        },
        None => work.await,
    };
    let closing = state.phase() > state::Phase::Serving;
    result.unwrap_or_else(|fault| {
        state.metrics.count_answer("", Some(fault.reason));
        event::Line::new("failed")
            .text("request", &id)
            .text("reason", fault.reason.as_str())
            .text("step", fault.step.as_str())
            .text("outcome", fault.outcome)
            .text("detail", &fault.detail)
            .number("status", fault.status().as_u16())
            .span("after_ms", state.clock.now().since(arrived))
            .warn();
        fault.to_response(&id, closing)
    })
}

/// Returns the headers of a request.
fn headers(request: &web::HttpRequest) -> Vec<(String, Vec<u8>)> {
    let headers = request.headers().iter();
    headers.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec())).collect()
}

/// Returns the maximum size of a request's body, in bytes.
fn max_body_bytes(state: &state::State) -> usize {
    let table = state.routing_table();
    table.map_or(routing::Limits::default().body_bytes, |table| table.limits().body_bytes)
}

/// Returns how long the body of a request may take to arrive: as long as the request may take.
fn max_upload_time(
    state: &state::State,
    request: &web::HttpRequest,
    head: &head::Request,
) -> clock::Span {
    let table = state.routing_table();
    let route = table.as_ref().and_then(|table| table.route(host(request), request.uri().path()));
    let timeout = route.map_or(UNROUTED_UPLOAD_TIMEOUT, |route| route.timeout);
    head.time_left.map_or(timeout, |left| left.min(timeout))
}

/// Returns the name of the host that a request is for.
fn host(request: &web::HttpRequest) -> &str {
    request.headers().get("host").and_then(|host| host.to_str().ok()).unwrap_or("")
}

/// Returns the refusal of a request for which this host has no memory; another host may have some.
fn out_of_memory(state: &state::State) -> answer::Fault {
    state.metrics.refused_for_memory.inc();
    let detail = "this host has no memory for the request";
    let fault = answer::Fault::not_run(Reason::Saturated, Step::Read, detail);
    fault.with_retry_after(forward::RETRY_AFTER)
}

/// Returns the refusal of a request that a stopping host does not take; another host may.
fn draining() -> answer::Fault {
    let fault = answer::Fault::not_run(Reason::Draining, Step::Admit, "this host is shutting down");
    fault.with_retry_after(forward::RETRY_ELSEWHERE_AFTER)
}

/// What was received of a request.
struct Received {
    head: head::Request,
    body: payload::Content,
    account: buffers::Account,
    arrived: clock::Moment,
}

/// Builds a request with its complete body, which is kept for further attempts.
fn build_request(
    request: &web::HttpRequest,
    headers: Vec<(String, Vec<u8>)>,
    received: Received,
) -> forward::Request {
    let Received { head, body, account, arrived } = received;
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
    forward::Request {
        method: request.method().as_str().to_owned(),
        target: target.to_owned(),
        path: request.uri().path().to_owned(),
        host: host(request).to_owned(),
        body,
        head,
        account,
        arrived,
        headers,
    }
}

//! Connections to upstreams: directly, or through another host if this host's own path is lost.
//!
//! Whatever does not connect directly is tried through another host, which opens the connection and
//! passes bytes on (a tunnel). Everything else stays with this host: admission, placement, attempts,
//! the retry budget, the deadline and the end of the answer. So a request runs as it does without
//! the detour; the other host adds nothing and decides nothing, and no connection makes two detours.
//!
//! The detour is also the second opinion on an upstream: only what a host with working paths cannot
//! reach either is reported to others as unreachable, or taken for a crash.
//! [`lagoonline::routing::Paths`] decides; this module has the sockets.

mod connection;
pub(crate) mod message;
mod serve;
mod through;
mod verify;

use std::io;
use std::time;

use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::load::placement;
use lagoonline::routing;
use tokio::net::TcpStream;

use crate::event;
use crate::metrics;
use crate::state;
use crate::tcp;

pub(crate) use connection::Connection;
pub(crate) use serve::serve;

/// Timeout for a connection to another upstream that shows whether this host has paths.
const LOOK_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// What a connection is opened for.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    /// A caller's request that was admitted so and may be processed in these regions.
    Request(message::Admission, routing::Homes),
    /// A call of this host's own.
    Call(routing::Work),
}

impl Purpose {
    /// A call about a running request, or a look at an upstream that sends nothing.
    pub(crate) const RUNNING: Purpose = Purpose::Call(routing::Work::Running);
}

/// What is known of an upstream to which no connection opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// Its address refuses connections: its process has ended.
    Refused,
    /// It does not respond.
    Silent,
    /// Nothing: this host may have lost its path, and no other host could tell.
    Unknown,
    /// It has left, its zone is evacuated, or the request is no longer allowed, as another host
    /// knows.
    Outdated,
    /// It wants no requests for a time from the host that would carry the connection.
    BackedOff,
}

impl Verdict {
    /// Whether the upstream is at fault.
    pub(crate) fn is_down(self) -> bool {
        matches!(self, Verdict::Refused | Verdict::Silent)
    }
}

/// Why no connection opened; nothing was sent.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{detail}")]
pub(crate) struct Failure {
    pub(crate) verdict: Verdict,
    detail: String,
}

/// Connects to the upstream `entry` within `timeout`. A host in between checks a request's admission
/// against a newer desired state than this host's.
///
/// # Errors
///
/// No connection opened, by any way.
pub(crate) async fn connect(
    state: &state::State,
    entry: &routing::Registration,
    purpose: Purpose,
    timeout: time::Duration,
) -> Result<Connection, Failure> {
    let plan = state::lock(&state.paths).plan(&entry.upstream, state.clock.now());
    let opened = match plan {
        routing::PathPlan::Direct { hedge_after } => {
            hedged(state, entry, purpose, hedge_after, timeout).await
        }
        routing::PathPlan::Through => avoiding_direct(state, entry, purpose, timeout).await,
    };
    state.metrics.count_path(match &opened {
        Ok(connection) => connection.label(),
        Err(_) => metrics::PathLabel::Failed,
    });
    opened
}

/// Connects directly and, if that fails or takes longer than `hedge_after`, also through another
/// host. The first connection that opens is used.
async fn hedged(
    state: &state::State,
    entry: &routing::Registration,
    purpose: Purpose,
    hedge_after: time::Duration,
    timeout: time::Duration,
) -> Result<Connection, Failure> {
    let mut direct = std::pin::pin!(connect_directly(state, entry, timeout));
    let early = tokio::time::timeout(hedge_after.min(timeout), &mut direct).await;
    let left = timeout.saturating_sub(hedge_after);
    let mut through = std::pin::pin!(through::connect(state, entry, purpose, left));
    match early {
        Ok(Ok(stream)) => return Ok(Connection::Direct(stream)),
        Ok(Err(error)) => return after_direct(state, entry, &error, through.await).await,
        Err(_) => {}
    }
    let failure = tokio::select! {
        biased;
        opened = &mut direct => return match opened {
            Ok(stream) => Ok(Connection::Direct(stream)),
            Err(error) => after_direct(state, entry, &error, through.await).await,
        },
        opened = &mut through => match opened {
            Ok(tunnel) => return use_tunnel(state, entry, tunnel),
            Err(failure) => failure,
        },
    };
    match direct.await {
        Ok(stream) => Ok(Connection::Direct(stream)),
        Err(error) => Err(conclude(state, entry, &error, &failure).await),
    }
}

/// Ends a connection whose direct way failed with `error` and whose other way brought `through`.
async fn after_direct(
    state: &state::State,
    entry: &routing::Registration,
    error: &io::Error,
    through: Result<through::Tunnel, through::Failure>,
) -> Result<Connection, Failure> {
    match through {
        Ok(tunnel) => use_tunnel(state, entry, tunnel),
        Err(failure) => Err(conclude(state, entry, error, &failure).await),
    }
}

/// Uses a connection through another host in place of a direct one that did not open: the upstream
/// is up, and this host's path to it is lost.
fn use_tunnel(
    state: &state::State,
    entry: &routing::Registration,
    tunnel: through::Tunnel,
) -> Result<Connection, Failure> {
    record_lost(state, &entry.upstream);
    let forget = |placer: &mut placement::Placer, _| placer.forget_failure(&entry.upstream);
    state.with_placer(&entry.service, forget);
    Ok(Connection::Tunnel(Box::new(tunnel)))
}

/// Connects through another host. The direct way is used only if no other host can be asked.
async fn avoiding_direct(
    state: &state::State,
    entry: &routing::Registration,
    purpose: Purpose,
    timeout: time::Duration,
) -> Result<Connection, Failure> {
    let began = state.clock.now();
    let failure = match through::connect(state, entry, purpose, timeout).await {
        Ok(tunnel) => return Ok(Connection::Tunnel(Box::new(tunnel))),
        Err(failure) => failure,
    };
    if !failure.is_unasked() {
        let lost = io::Error::other("its path is lost");
        return Err(conclude(state, entry, &lost, &failure).await);
    }
    let left = timeout.saturating_sub(state.clock.now().since(began));
    match connect_directly(state, entry, left).await {
        Ok(stream) => Ok(Connection::Direct(stream)),
        Err(error) => Err(conclude(state, entry, &error, &failure).await),
    }
}

/// Connects directly, and records that it opened.
async fn connect_directly(
    state: &state::State,
    entry: &routing::Registration,
    timeout: time::Duration,
) -> io::Result<TcpStream> {
    let opened = tcp::connect(entry.address, timeout).await;
    state.metrics.count_connection(metrics::ConnectionOutcome::of(&opened));
    if opened.is_ok() {
        let change = state::lock(&state.paths).record_opened(&entry.upstream, state.clock.now());
        log_change(state, change);
    }
    opened
}

/// Concludes what two failures say of the upstream: the `direct` one, and that `through` other hosts.
async fn conclude(
    state: &state::State,
    entry: &routing::Registration,
    direct: &io::Error,
    through: &through::Failure,
) -> Failure {
    let verdict = match through.verdict() {
        Verdict::Unknown => own_verdict(state, entry, direct).await,
        verdict => verdict,
    };
    match verdict {
        Verdict::Refused | Verdict::Silent => {
            state::lock(&state.paths).record_down(&entry.upstream);
        }
        Verdict::Unknown => record_lost(state, &entry.upstream),
        Verdict::Outdated | Verdict::BackedOff => {}
    }
    Failure { verdict, detail: format!("{direct}; {through}") }
}

/// Returns what this host alone can say of `entry`, to which no other host could tell the way. A
/// refusal counts if another upstream is reached at the same time, as when all other hosts have
/// ended; a host that knows no other has only its own attempts to go by.
async fn own_verdict(
    state: &state::State,
    entry: &routing::Registration,
    direct: &io::Error,
) -> Verdict {
    let is_alone = !state::lock(&state.paths).has_hosts();
    let is_cut_off = state::lock(&state.paths).is_cut_off();
    let is_refused = direct.kind() == io::ErrorKind::ConnectionRefused;
    match (is_alone, is_refused) {
        (true, true) => Verdict::Refused,
        (true, false) => Verdict::Silent,
        (false, true)
            if !is_cut_off && serve::reaches_another(state, entry, LOOK_TIMEOUT).await =>
        {
            Verdict::Refused
        }
        (false, _) => Verdict::Unknown,
    }
}

/// Records that this host's path to `upstream` is lost. Once it counts as cut off, what it believed
/// of upstreams that it could not reach is forgotten: its own paths were at fault.
fn record_lost(state: &state::State, upstream: &id::Upstream) {
    let change = state::lock(&state.paths).record_lost(upstream, state.clock.now());
    if change.is_some() {
        state.forget_failures();
    }
    log_change(state, change);
}

impl state::State {
    /// Forgets lost paths that no request has tried for long.
    pub(crate) fn expire_paths(&self) {
        let was_cut_off = state::lock(&self.paths).expire(self.clock.now());
        log_change(self, None);
        if was_cut_off {
            event::Line::new("paths_forgotten").info();
        }
    }
}

/// Logs that this host's paths were lost or regained.
fn log_change(state: &state::State, change: Option<routing::PathChange>) {
    let lost = state::lock(&state.paths).lost();
    state.metrics.paths_lost.set(i64::try_from(lost).unwrap_or(i64::MAX));
    match change {
        Some(routing::PathChange::Lost { upstreams }) => {
            // No direct connection opened since those to this many upstreams failed; connections go
            // through other hosts now.
            event::Line::new("paths_lost").number("upstreams", upstreams).warn();
        }
        Some(routing::PathChange::Regained { after, still_lost }) => {
            event::Line::new("paths_regained")
                .span("after_ms", after)
                .number("still_lost", still_lost)
                .info();
        }
        None => {}
    }
}

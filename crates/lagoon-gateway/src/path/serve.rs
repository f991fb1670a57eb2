//! The serving side: opens a connection to an upstream for another host and passes bytes on.

use std::io;
use std::sync;
use std::sync::atomic;

use futures_util::{Sink, SinkExt, StreamExt};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::routing;
use rand::seq::IndexedRandom;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, tcp};

use super::message;
use super::through::MAX_CHUNK;
use crate::buffers;
use crate::event;
use crate::relay;
use crate::state;

/// Maximum number of connections carried for other hosts. Each takes two descriptors, of which a
/// host has some thousands for its own callers.
const MAX_CARRIED: usize = 512;
/// Bytes that count for each carried connection: a message that is written, and one that is read.
const BUFFER_BYTES: usize = 2 * MAX_CHUNK;
/// Time after which a connection that does not open is compared with one to another upstream. It is
/// longer than connections between zones take, and leaves time for the other one to open.
const CONTROL_AFTER: clock::Span = clock::Span::from_millis(40);
/// Time for which a host keeps reading after the upstream's last byte, so that closing the
/// connection does not discard bytes that the asking host has yet to read.
const LINGER_TIME: clock::Span = clock::Span::from_secs(2);

/// Guard of a connection that this host carries for another.
#[derive(Debug)]
struct Carried {
    state: sync::Arc<state::State>,
    /// Keeps the process from shutting down.
    _active: state::ActiveRequest,
    /// The buffers of both connections; `None` if there is no memory for them.
    buffers: Option<buffers::Account>,
}

impl Carried {
    /// Takes a place among the carried connections; `None` if there are too many, or if there is no
    /// memory for another one.
    fn begin(state: &sync::Arc<state::State>) -> Option<Carried> {
        let before = state.carried.fetch_add(1, atomic::Ordering::Relaxed);
        state.metrics.tunnels_carried.inc();
        let buffers = state.buffers.open(BUFFER_BYTES).filter(|account| account.keep(BUFFER_BYTES));
        let carried = Carried { state: state.clone(), _active: state.track_request(), buffers };
        if carried.buffers.is_none() {
            state.metrics.refused_for_memory.inc();
        }
        (before < MAX_CARRIED && carried.buffers.is_some()).then_some(carried)
    }
}

impl Drop for Carried {
    fn drop(&mut self) {
        self.state.carried.fetch_sub(1, atomic::Ordering::Relaxed);
        self.state.metrics.tunnels_carried.dec();
    }
}

/// Answers `open`, which came on `connection`, and carries the connection to its end.
///
/// # Errors
///
/// The asking host's connection broke.
pub(crate) async fn serve(
    state: &sync::Arc<state::State>,
    mut connection: relay::Connection,
    open: &message::Open,
) -> io::Result<()> {
    let carried = Carried::begin(state);
    let opened = match &carried {
        Some(_) => connect(state, open).await,
        None => Err(message::Outcome::Unavailable),
    };
    let outcome = opened.as_ref().map_or_else(|outcome| *outcome, |_| message::Outcome::Opened);
    log(state, open, outcome);
    let elsewhere = match outcome {
        message::Outcome::CutOff => state::lock(&state.last_host_through).clone(),
        _ => None,
    };
    let elsewhere = elsewhere.map(|host| host.to_string());
    let answer = message::Answer { outcome: outcome.into(), elsewhere };
    connection.send(relay::encode_answer(answer)).await?;
    match opened {
        Ok(upstream) => carry(connection, upstream).await,
        Err(_) => Ok(()),
    }
}

/// Logs and counts that another host asked for a connection.
fn log(state: &state::State, open: &message::Open, outcome: message::Outcome) {
    state.metrics.count_tunnel("served", outcome.as_str());
    let request = open.admission.as_ref().map_or("", |admission| &admission.request);
    event::Line::new("tunnel")
        .text("request", request)
        .text("for", &open.host)
        .text("upstream", &open.upstream)
        .text("outcome", outcome.as_str())
        .info();
}

/// Connects to the upstream that `open` names, always directly.
///
/// # Errors
///
/// Why not.
async fn connect(
    state: &state::State,
    open: &message::Open,
) -> Result<TcpStream, message::Outcome> {
    let entry = admit(state, open)?;
    let was_lost = state::lock(&state.paths).is_avoided(&entry.upstream);
    let plan = state::lock(&state.paths).plan(&entry.upstream, state.clock.now());
    if plan == routing::PathPlan::Through {
        return Err(own_loss(state));
    }
    let timeout = crate::message::from_millis(open.timeout_ms);
    let mut connecting = std::pin::pin!(super::connect_directly(state, &entry, timeout));
    let early = tokio::time::timeout(CONTROL_AFTER.min(timeout), &mut connecting).await;
    if let Ok(Ok(stream)) = early {
        return Ok(stream);
    }
    if let (Ok(Err(_)), true) = (&early, was_lost) {
        return Err(own_loss(state));
    }
    let comparing = reaches_another(state, &entry, timeout.saturating_sub(CONTROL_AFTER));
    let (opened, has_paths) = match early {
        Ok(opened) => (opened, comparing.await),
        Err(_) => tokio::join!(connecting, comparing),
    };
    opened.map_err(|error| conclude(state, &entry, &error, has_paths))
}

/// Returns what this host can say of `entry`, to which it did not connect because of `error`;
/// `has_paths` tells whether it reached another upstream at the same time.
fn conclude(
    state: &state::State,
    entry: &routing::Registration,
    error: &io::Error,
    has_paths: bool,
) -> message::Outcome {
    if !has_paths {
        super::record_lost(state, &entry.upstream);
        return message::Outcome::CutOff;
    }
    // A host that reaches a few upstreams cannot tell whether one of the others is down.
    if state::lock(&state.paths).is_cut_off() {
        return message::Outcome::CutOff;
    }
    let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
    if is_refused { message::Outcome::Refused } else { message::Outcome::Silent }
}

/// Returns the upstream that `open` names, if this host may connect to it now.
///
/// # Errors
///
/// Why not.
fn admit(
    state: &state::State,
    open: &message::Open,
) -> Result<routing::Registration, message::Outcome> {
    if state.phase() > state::Phase::Serving || !state.is_ready() {
        return Err(message::Outcome::Unavailable);
    }
    let service = id::Service::from(open.service.as_str());
    let entry = state.with_placer(&service, |placer, _| placer.entry(&open.upstream).cloned());
    let entry = entry.flatten().ok_or(message::Outcome::Left)?;
    let chosen = routing::Registration { started_ms: open.life, ..entry };
    let table = state.routing_table();
    let admission = open.admission.as_ref().zip(table.as_ref());
    let homes = admission.map(|(admission, table)| admission.homes(table)).unwrap_or_default();
    if let Some(exclusion) = state.exclusion(&chosen, &homes, open.work()) {
        return Err(outcome(&exclusion));
    }
    // A host's own call, or a request that no table of this host speaks of, is allowed.
    let is_allowed =
        admission.is_none_or(|(admission, table)| admission.is_allowed(table, &service));
    if is_allowed { Ok(chosen) } else { Err(message::Outcome::NotAllowed) }
}

/// Returns the answer about an upstream to which nothing may be sent.
fn outcome(exclusion: &routing::Exclusion) -> message::Outcome {
    match exclusion {
        routing::Exclusion::Left | routing::Exclusion::OtherLifetime => message::Outcome::Left,
        routing::Exclusion::Evacuated(_) => message::Outcome::Evacuated,
        routing::Exclusion::OutsideHomes(_) => message::Outcome::NotAllowed,
        routing::Exclusion::BackedOff(_) => message::Outcome::BackedOff,
    }
}

/// Returns the answer of a host whose own path is lost.
fn own_loss(state: &state::State) -> message::Outcome {
    if state::lock(&state.paths).is_cut_off() {
        message::Outcome::CutOff
    } else {
        message::Outcome::PathLost
    }
}

/// Whether this host reaches one of two other upstreams than `failed` right now. Without that it
/// cannot tell whether the upstream is down or its own path is lost; one alone may be down too.
pub(super) async fn reaches_another(
    state: &state::State,
    failed: &routing::Registration,
    timeout: clock::Span,
) -> bool {
    let eligibility = state.eligibility();
    // Those of an evacuated zone may be shut down.
    let is_control = |entry: &&routing::Registration| {
        entry.upstream != failed.upstream
            && !entry.leaving
            && !eligibility.is_evacuated(&entry.zone)
    };
    let others: Vec<_> = state.registry().entries().filter(is_control).cloned().collect();
    // Of this zone, if there are any: while zones are partitioned from each other, upstreams of the
    // other one are unreachable for all hosts of this zone, which have paths all the same.
    let zone = &state.settings.node.zone;
    let near: Vec<_> = others.iter().filter(|entry| entry.zone == *zone).cloned().collect();
    let candidates = if near.is_empty() { others } else { near };
    let mut chosen = candidates.choose_multiple(&mut rand::rng(), 2);
    let (first, second) = (chosen.next(), chosen.next());
    let (first, second) =
        tokio::join!(reaches(state, first, timeout), reaches(state, second, timeout));
    first || second
}

/// Whether this host reaches `control`, if there is one.
async fn reaches(
    state: &state::State,
    control: Option<&routing::Registration>,
    timeout: clock::Span,
) -> bool {
    match control {
        Some(control) => super::connect_directly(state, control, timeout).await.is_ok(),
        None => false,
    }
}

/// Passes bytes on between the asking host and the upstream. The upstream's connection closes as
/// soon as the asking host closes its own, which is how it learns that the caller left.
async fn carry(connection: relay::Connection, upstream: TcpStream) -> io::Result<()> {
    let (mut to_host, mut from_host) = connection.split();
    let (mut from_upstream, mut to_upstream) = upstream.into_split();
    let request = async {
        let mut is_taken = true;
        while let Some(chunk) = from_host.next().await {
            let chunk = chunk?;
            // If the upstream reads no more, its answer may still come; reading it tells the rest.
            is_taken = is_taken && to_upstream.write_all(&chunk).await.is_ok();
        }
        Ok(())
    };
    let answer = async {
        let copied = copy_answer(&mut from_upstream, &mut to_host).await;
        let closed = to_host.close().await;
        copied.and(closed)
    };
    let mut request = std::pin::pin!(request);
    tokio::select! {
        biased;
        ended = answer => {
            let left = tokio::time::timeout(LINGER_TIME, &mut request).await;
            ended.and(left.unwrap_or(Ok(())))
        }
        ended = &mut request => ended,
    }
}

/// Passes on all that the upstream sends, and marks the end if it ends in order.
async fn copy_answer<Sender>(
    from_upstream: &mut tcp::OwnedReadHalf,
    to_host: &mut Sender,
) -> io::Result<()>
where
    Sender: Sink<bytes::Bytes, Error = io::Error> + Unpin,
{
    let mut buffer = bytes::BytesMut::new();
    loop {
        buffer.reserve(MAX_CHUNK);
        let length = from_upstream.read_buf(&mut buffer).await?;
        // The empty message of the last turn is the mark.
        to_host.send(buffer.split().freeze()).await?;
        if length == 0 {
            return Ok(());
        }
    }
}

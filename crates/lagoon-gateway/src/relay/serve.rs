//! The reading side of the relay: answers hosts that ask for the tables.

use std::io;
use std::net;
use std::sync;

use futures_util::{SinkExt, StreamExt};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::routing;
use prost::Message;
use tokio::net::{TcpListener, TcpStream};

use super::message;
use crate::event;
use crate::path;
use crate::state;
use crate::tables;
use crate::tcp;

/// Timeout for sending an answer; by then the asking host has given up on this one.
const WRITE_TIMEOUT: clock::Span = clock::Span::from_secs(2);
/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_PAUSE: clock::Span = clock::Span::from_millis(200);

/// Answers relay requests on `listener` for as long as the process runs.
///
/// # Errors
///
/// The listener cannot be used.
pub(crate) fn run(state: sync::Arc<state::State>, listener: net::TcpListener) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    drop(ntex::rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    drop(ntex::rt::spawn(serve(state.clone(), stream, peer)));
                }
                Err(error) => {
                    // A relay connection could not be accepted.
                    event::Line::new("host_not_accepted").text("error", error).warn();
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }));
    Ok(())
}

async fn serve(state: sync::Arc<state::State>, stream: TcpStream, peer: net::SocketAddr) {
    if let Err(error) = serve_requests(&state, stream).await {
        // The relay connection of another host broke.
        event::Line::new("host_lost").text("peer", peer).text("error", error).info();
    }
}

/// Answers the requests on one connection until it is closed.
async fn serve_requests(state: &sync::Arc<state::State>, stream: TcpStream) -> io::Result<()> {
    tcp::set_options(&stream)?;
    let mut connection = super::framed(stream);
    while let Some(frame) = connection.next().await {
        let request = message::Request::decode(frame?)?;
        if let Some(open) = request.open {
            return path::serve(state, connection, &open).await;
        }
        let news = answer(state, &request).await;
        let response = message::Response { news, ..message::Response::default() };
        let sent = tokio::time::timeout(
            WRITE_TIMEOUT,
            connection.send(bytes::Bytes::from(response.encode_to_vec())),
        )
        .await;
        sent.map_err(|_| {
            io::Error::new(io::ErrorKind::TimedOut, "timed out while sending the answer")
        })??;
    }
    Ok(())
}

/// Answers a host that has the versions in `request`: at once if there are changes, otherwise after
/// the hold time. Returns `None` if this host does not read the platform.
async fn answer(state: &state::State, request: &message::Request) -> Option<message::Changes> {
    let mut changes = state.tables.watch_changes();
    state.tables.record_request(state.clock.now());
    // A host that cannot answer says so at once instead of holding the request. Tables that are
    // being read again, because the platform dropped its history, count as known here: they are
    // complete again in a moment.
    ages(state)?;
    let known = request.known(state.era.get().number());
    let waiting = changes.wait_for(|_| has_changes(state, known));
    // Whether there was a change or the time has passed, the current state is sent.
    drop(tokio::time::timeout(super::HOLD_TIME, waiting).await);
    snapshot(state, known)
}

/// Whether the desired state or the list of upstreams has changed since the `known` revisions.
fn has_changes(state: &state::State, known: message::Known) -> bool {
    let has_changed = |table: &tables::SharedTable, known: Option<routing::Revision>| {
        known.is_none_or(|known| state::lock(table).is_ahead_of(known))
    };
    has_changed(&state.tables.desired, known.desired)
        || has_changed(&state.tables.upstreams, known.upstreams)
}

/// Returns the ages of the last reads of the desired state and of the list of upstreams. Returns
/// `None` if this host does not read the platform, or has not succeeded recently.
fn ages(state: &state::State) -> Option<(clock::Span, clock::Span)> {
    if !state.tables.reads_platform() || state.phase() > state::Phase::Serving {
        return None;
    }
    let fresh = |age: Option<clock::Span>| age.filter(|age| *age <= super::MAX_ANSWER_AGE);
    let desired = fresh(tables::age(state, state.tables.desired_read_at()))?;
    let upstreams = fresh(tables::age(state, state.tables.upstreams_confirmed_at()))?;
    Some((desired, upstreams))
}

/// Returns the changes of all tables since the `known` revisions.
fn snapshot(state: &state::State, known: message::Known) -> Option<message::Changes> {
    let (desired_age, upstreams_age) = ages(state)?;
    let desired = state::lock(&state.tables.desired).changes_since(known.desired)?;
    let upstreams = state::lock(&state.tables.upstreams).changes_since(known.upstreams)?;
    // The entry hosts are sent whatever their age: learning of a host late costs only some
    // messages.
    let hosts = state::lock(&state.tables.hosts).changes_since(known.hosts);
    let age_ms = |at| {
        let age = tables::age(state, at)?;
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    };
    Some(message::Changes {
        desired: Some(message::TableChanges::new(desired, desired_age)),
        upstreams: Some(message::TableChanges::new(upstreams, upstreams_age)),
        hosts: hosts.map(|hosts| message::TableChanges::new(hosts, clock::Span::ZERO)),
        returned_ms: age_ms(state.tables.recovered_at()),
        failed_ms: age_ms(state.tables.failed_at()),
    })
}

//! The reading side of the relay: answers hosts that ask for the tables.

use std::io;
use std::net;
use std::sync;

use futures_util::{SinkExt, StreamExt};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use prost::Message;
use tokio::net::{TcpListener, TcpStream};

use super::message;
use crate::event;
use crate::feed;
use crate::link;
use crate::state;

/// Timeout for sending an answer; by then the asking host has long turned to another.
const WRITE: clock::Span = clock::Span::from_secs(2);
/// Pause after a failed accept, for example when file descriptors have run out.
const AGAIN: clock::Span = clock::Span::from_millis(200);

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
                    event::Line::new("host_not_accepted").text("error", error).warn();
                    tokio::time::sleep(AGAIN).await;
                }
            }
        }
    }));
    Ok(())
}

async fn serve(state: sync::Arc<state::State>, stream: TcpStream, peer: net::SocketAddr) {
    if let Err(error) = talk(&state, stream).await {
        event::Line::new("host_lost").text("peer", peer).text("error", error).info();
    }
}

async fn talk(state: &state::State, stream: TcpStream) -> io::Result<()> {
    link::tune(&stream)?;
    let mut link = super::framed(stream);
    while let Some(frame) = link.next().await {
        let ask = message::Ask::decode(frame?)?;
        let told = message::Told { news: answer(state, &ask).await };
        let sent =
            tokio::time::timeout(WRITE, link.send(bytes::Bytes::from(told.encode_to_vec()))).await;
        sent.map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "answer not taken"))??;
    }
    Ok(())
}

/// Answers a host that has the versions in `ask`: at once if there are changes, otherwise after the
/// hold time. Returns `None` if this host does not read the platform.
async fn answer(state: &state::State, ask: &message::Ask) -> Option<message::News> {
    let mut news = state.feed.watch_news();
    state.feed.asked(state.clock.now());
    // Without recent knowledge of its own, this host says so at once instead of holding the
    // request. Tables that are being read again, because the platform dropped its history, are
    // available in a moment, so they do not count as missing here.
    ages(state)?;
    let waiting = news.wait_for(|_| knows_more(state, ask));
    // Whether there was a change or the time has passed, the current state is sent.
    drop(tokio::time::timeout(super::HOLD, waiting).await);
    look(state, ask)
}

fn knows_more(state: &state::State, ask: &message::Ask) -> bool {
    let changed = |table: &feed::Table| state::lock(table).changed();
    ask.desired.is_none_or(|known| changed(&state.feed.desired) > known)
        || ask.upstreams.is_none_or(|known| changed(&state.feed.upstreams) > known)
}

/// Returns the ages of the last confirmations of the desired state and of the list of upstreams.
/// Returns `None` if this host does not read the platform, or has not succeeded recently.
fn ages(state: &state::State) -> Option<(clock::Span, clock::Span)> {
    if !state.feed.reads() || state.phase() > state::Phase::Serving {
        return None;
    }
    let fresh = |age: Option<clock::Span>| age.filter(|age| *age <= super::STALE);
    let desired = fresh(state.confirmation_age())?;
    let upstreams = fresh(feed::age(state, state.feed.listed_at()))?;
    Some((desired, upstreams))
}

fn look(state: &state::State, ask: &message::Ask) -> Option<message::News> {
    let (desired_age, upstreams_age) = ages(state)?;
    let desired = state::lock(&state.feed.desired).since(ask.desired)?;
    let upstreams = state::lock(&state.feed.upstreams).since(ask.upstreams)?;
    // The entry hosts are sent whatever their age: learning of a host late costs only some
    // messages.
    let hosts = state::lock(&state.feed.hosts).since(ask.hosts);
    let returned = feed::age(state, state.feed.returned_at());
    Some(message::News {
        desired: Some(message::Table::new(desired, desired_age)),
        upstreams: Some(message::Table::new(upstreams, upstreams_age)),
        hosts: hosts.map(|hosts| message::Table::new(hosts, clock::Span::ZERO)),
        returned_ms: returned.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
    })
}

//! Answers hosts that ask what this host read.

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

/// Longest time for an answer to leave: beyond it the asking host has long gone elsewhere.
const WRITE: clock::Span = clock::Span::from_secs(2);
/// Pause after a connection could not be accepted, as when descriptors have run out.
const AGAIN: clock::Span = clock::Span::from_millis(200);

/// Answers on `listener` as long as the process lives.
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

/// What a host that knows as much as `ask` says is told: at once where there is news, else after a
/// short time; `None` while this host does not read.
async fn answer(state: &state::State, ask: &message::Ask) -> Option<message::News> {
    let mut news = state.feed.watch_news();
    state.feed.asked(state.clock.now());
    // A host that cannot answer says so at once. One that reads a table anew, since the platform
    // forgot its history, knows it in a moment.
    ages(state)?;
    let waiting = news.wait_for(|_| knows_more(state, ask));
    // Whether there was news or the time has passed, what is known now is told.
    drop(tokio::time::timeout(super::HOLD, waiting).await);
    look(state, ask)
}

fn knows_more(state: &state::State, ask: &message::Ask) -> bool {
    let changed = |table: &feed::Table| state::lock(table).changed();
    ask.desired.is_none_or(|known| changed(&state.feed.desired) > known)
        || ask.upstreams.is_none_or(|known| changed(&state.feed.upstreams) > known)
}

/// How long this host has known the desired state and the list of upstreams to be the newest;
/// `None` where it does not read, or has not of late.
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
    // The entry hosts are told whatever their age: a host that is heard of late costs only words.
    let hosts = state::lock(&state.feed.hosts).since(ask.hosts);
    let returned = feed::age(state, state.feed.returned_at());
    Some(message::News {
        desired: Some(message::Table::new(desired, desired_age)),
        upstreams: Some(message::Table::new(upstreams, upstreams_age)),
        hosts: hosts.map(|hosts| message::Table::new(hosts, clock::Span::ZERO)),
        returned_ms: returned.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
    })
}

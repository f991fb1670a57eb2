//! The asking side of the relay: polls the host that reads for the zone, and decides when this host
//! has to read the platform itself.

use std::collections;
use std::io;
use std::net;
use std::sync;

use futures_util::{SinkExt, StreamExt};
use lagoonline::clock;
use lagoonline::clock::Clock as _;
use lagoonline::id;
use lagoonline::routing;
use prost::Message;

use super::message;
use crate::event;
use crate::feed;
use crate::hosts;
use crate::link;
use crate::state;

/// Timeout for connecting to another host of the zone: a lost packet is retransmitted within it.
const CONNECT: clock::Span = clock::Span::from_millis(350);
/// Time that an answer may take beyond the reader's hold time: a lost packet is retransmitted
/// within it, and a change of the desired state is still applied in time.
const SLACK: clock::Span = clock::Span::from_millis(350);
/// Interval between searches for a reader while this host reads the platform itself.
const SEARCH: clock::Span = clock::Span::from_millis(1_000);
/// Pause before hosts that were not reading are asked again.
const MOMENT: clock::Span = clock::Span::from_millis(150);

/// Another host of the zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    /// Address at which it answers relay requests.
    pub(crate) address: net::SocketAddr,
    pub(crate) peer: routing::Peer,
}

/// The other hosts of the zone.
pub(crate) type Members = sync::Mutex<Known>;

type Known = collections::BTreeMap<id::Host, Member>;

/// Follows the reader of the zone for as long as the process runs.
pub(crate) async fn run(state: sync::Arc<state::State>) {
    let node = &state.settings.node;
    let settings = routing::SourceSettings {
        least_hosts: state.settings.tuning.relay_hosts,
        ..routing::SourceSettings::default()
    };
    let look = settings.look_span(node.bounds.apply);
    let mut sources = routing::Sources::new(settings, node.host.clone(), node.cpu_share);
    let mut known = collections::BTreeMap::new();
    loop {
        update(&mut sources, &mut known, &state.members);
        match sources.next(state.clock.now()) {
            // The hosts ranked before this one do not read yet, but one of them soon will.
            routing::Source::Platform
                if is_fresh(&state, look) && !sources.is_first(state.clock.now()) =>
            {
                tokio::time::sleep(MOMENT).await;
            }
            routing::Source::Platform => {
                state.feed.set_reads(true);
                tokio::time::sleep(SEARCH).await;
                let age = feed::age(&state, state.feed.listed_at());
                if age.is_none_or(|age| age > super::STALE) {
                    sources.platform_failed(state.clock.now());
                }
            }
            routing::Source::Peer(host) => {
                let member = known.get(&host).copied();
                let ended = match member {
                    Some(member) => ask(&state, &mut sources, &mut known, &host, member).await,
                    None => Ended::Silent("its address is not known".to_owned()),
                };
                leave(&state, &mut sources, &host, &ended);
                if !is_fresh(&state, look) {
                    state.feed.set_reads(true);
                }
                event::Line::new("reader_left").text("host", &host).text("why", ended).info();
            }
        }
    }
}

/// Records why this host stopped following a reader.
fn leave(state: &state::State, sources: &mut routing::Sources, host: &id::Host, ended: &Ended) {
    let now = state.clock.now();
    match ended {
        Ended::Outranked => {}
        Ended::NotReading => sources.idle(host, now),
        Ended::Silent(_) => sources.failed(host, now),
    }
}

/// Whether this host's knowledge of the tables is no older than `span`, so that there is time to
/// ask other hosts.
///
/// When the host that reads for forty others ends, the platform would get a hundred calls at once
/// if each of them read for itself until it had found the next reader. Beyond this age a host does
/// read for itself, whatever the others report: the platform may be refusing just the hosts that it
/// asks.
fn is_fresh(state: &state::State, span: clock::Span) -> bool {
    let ages = [state.confirmation_age(), feed::age(state, state.feed.listed_at())];
    ages.iter().all(|age| age.is_some_and(|age| age <= span))
}

/// Updates `known` and `sources` from the current members of the zone.
fn update(sources: &mut routing::Sources, known: &mut Known, members: &Members) {
    let now = state::lock(members).clone();
    for gone in known.keys().filter(|host| !now.contains_key(*host)) {
        sources.remove_peer(gone);
    }
    for (host, member) in &now {
        sources.set_peer(host.clone(), member.peer);
    }
    *known = now;
}

/// Why this host stopped following a reader.
#[derive(Debug, thiserror::Error)]
enum Ended {
    #[error("it does not read now")]
    NotReading,
    #[error("another host comes before it")]
    Outranked,
    #[error("{0}")]
    Silent(String),
}

impl From<io::Error> for Ended {
    fn from(error: io::Error) -> Ended {
        Ended::Silent(error.to_string())
    }
}

/// Asks one host repeatedly and applies its answers, until it fails or another host ranks before
/// it.
///
/// Hosts that start together do not all know of each other at first, so the highest-ranked host may
/// follow one that it met earlier. If it kept following, every host that asks it would be told that
/// it does not read.
async fn ask(
    state: &state::State,
    sources: &mut routing::Sources,
    known: &mut Known,
    host: &id::Host,
    member: Member,
) -> Ended {
    let mut link = match open(member.address).await {
        Ok(link) => link,
        Err(ended) => return ended,
    };
    loop {
        if let Err(ended) = talk(state, &mut link).await {
            return ended;
        }
        update(sources, known, &state.members);
        if sources.next(state.clock.now()) != routing::Source::Peer(host.clone()) {
            return Ended::Outranked;
        }
    }
}

async fn open(address: net::SocketAddr) -> Result<super::Link, Ended> {
    Ok(super::framed(link::connect(address, CONNECT).await?))
}

/// Sends one request and applies the answer.
async fn talk(state: &state::State, link: &mut super::Link) -> Result<(), Ended> {
    let asked = state.clock.now();
    let ask = message::Ask {
        desired: state::lock(&state.feed.desired).version(),
        upstreams: state::lock(&state.feed.upstreams).version(),
        hosts: state::lock(&state.feed.hosts).version(),
    };
    link.send(bytes::Bytes::from(ask.encode_to_vec())).await?;
    let told = tokio::time::timeout(super::HOLD + SLACK, link.next()).await;
    let told = told.map_err(|_| Ended::Silent("no answer in time".to_owned()))?;
    let frame = told.ok_or_else(|| Ended::Silent("connection closed".to_owned()))??;
    let told = message::Told::decode(frame).map_err(io::Error::from)?;
    let news = told.news.ok_or(Ended::NotReading)?;
    take_in(state, news, asked);
    state.feed.set_reads(false);
    Ok(())
}

/// Applies a reader's answer. The ages in it count from `asked`, the time of the request, and can
/// only be too old.
fn take_in(state: &state::State, news: message::News, asked: clock::Moment) {
    if let Some(returned) = news.returned_ms {
        let age = clock::Span::from_millis(returned);
        feed::platform_returned(state, state.clock.now().before(age));
    }
    if let Some(table) = news.desired {
        let at = asked.before(clock::Span::from_millis(table.age_ms));
        let rows = state::lock(&state.feed.desired).take(table.into_part());
        feed::take_desired(state, &rows, at);
    }
    if let Some(table) = news.upstreams {
        let at = asked.before(clock::Span::from_millis(table.age_ms));
        let rows = state::lock(&state.feed.upstreams).take(table.into_part());
        feed::take_upstreams(state, &rows, at);
    }
    if let Some(table) = news.hosts {
        let rows = state::lock(&state.feed.hosts).take(table.into_part());
        hosts::take(state, &rows);
    }
}
